/*
 * http-connection-private.h: one HTTP/1.1 connection, shared by its files:
 *
 *   http-connection-state.c    lifetime and failures; calls none of the others
 *   http-connection-input.c    reads and parses; over state
 *   http-connection-output.c   writes and the orderly end; over state
 *   http-connection.c          set-up of both sides and the state as its owner sees it; over all
 */
#pragma once

#include <http_parser.h>

#include "http1/http1.h"
#include "runtime/socket-watch.h"
#include "runtime/timer.h"

G_BEGIN_DECLS

struct _QuinceHttpConnection
{
  /* All fields belong to the context that created the connection. */
  grefcount references;
  const QuinceHttpConnectionCallbacks *callbacks;
  gpointer user_data;
  GSocket *socket;
  QuinceSocketWatch *watch;           /* NULL: closed, or no connection can be made */
  QuinceTimer *connect_failure_timer; /* reports that no connection can be made */
  QuinceTimer *finish_timer;
  GByteArray *output;         /* bytes that the kernel has not taken */
  GByteArray *buffered_input; /* bytes beyond the message that is whole */
  http_parser parser;
  QuinceHttpHead *head; /* being read */
  GString *field;
  GString *value;
  gboolean value_started;
  gsize max_head_bytes; /* 0: the parser's limit alone */
  gsize head_bytes;
  gboolean is_client;
  gboolean connecting;
  gboolean watches_writable; /* the kernel takes no more for now */
  gboolean open;
  gboolean awaiting_next;  /* a whole message waits for next() */
  gboolean reading;        /* a message has begun */
  gboolean head_too_large; /* the head that was read last */
  gboolean finishing;
};

/* Closes, and calls the owner's closed() unless the connection is finishing.  @error: (nullable): the peer
 * closed between two messages */
void quince_http_connection_close_and_notify (QuinceHttpConnection *connection, const GError *error);
void quince_http_connection_fail (QuinceHttpConnection *connection, QuinceHttp1Error code, const char *text);
/* The owner still gets callbacks. */
gboolean quince_http_connection_is_alive (const QuinceHttpConnection *connection);

/* Reads and parses once what has arrived. */
void quince_http_connection_read (QuinceHttpConnection *connection);
/* The parser of a new connection. */
void quince_http_connection_init_parser (QuinceHttpConnection *connection);

/* Sends what is kept as soon as the kernel takes more. */
void quince_http_connection_watch_writable (QuinceHttpConnection *connection);
/* Sends once what is kept, as far as the kernel takes it.
 * Returns: bytes taken, -1 when the connection failed and was closed */
gssize quince_http_connection_send_pending_output (QuinceHttpConnection *connection);
/* The kernel takes more. */
void quince_http_connection_handle_writable (QuinceHttpConnection *connection);

G_END_DECLS
