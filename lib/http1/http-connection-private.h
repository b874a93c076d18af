/*
 * http-connection-private.h: internals of an HTTP/1.1 connection, shared by
 *
 *   http-connection-state.c    references, closing and failures
 *   http-connection-input.c    reading and parsing
 *   http-connection-output.c   writing and graceful close
 *   http-connection.c          creation, socket events and state queries
 */
#pragma once

#include <http_parser.h>

#include "http1/http1.h"
#include "http1/status-line.h"
#include "runtime/output-queue.h"
#include "runtime/socket-watch.h"
#include "runtime/timer.h"

G_BEGIN_DECLS

struct _QuinceHttpConnection
{
  grefcount references;
  const QuinceHttpConnectionCallbacks *callbacks;
  gpointer user_data;
  GSocket *socket;
  QuinceSocketWatch *watch;           /* NULL: closed, or connecting failed immediately */
  QuinceTimer *connect_failure_timer; /* reports a failure to start connecting */
  QuinceTimer *finish_timer;          /* limits the time of finish() */
  QuinceOutputQueue *output;          /* bytes that the kernel has not accepted */
  QuinceTimer *parse_timer;           /* parses buffered input that is left for the next turn */
  GByteArray *buffered_input;         /* bytes after the last message that was parsed */
  gsize n_unparsed;                   /* bytes after the complete message in the input being parsed */
  gboolean parsing;                   /* a callback of the parser may be running */
  http_parser parser;
  QuinceHttpHead *head; /* being parsed, else NULL */
  GString *field;       /* name of the header being parsed */
  GString *value;       /* its value so far */
  gboolean value_started;
  gsize max_head_bytes; /* 0: only the parser's limit applies */
  gsize head_bytes;     /* bytes received of an incomplete head */
  gsize reported_bytes; /* last passed to the owner's input_held() */
  gboolean is_client;
  gboolean head_only; /* responses on this client connection have no body */
  gboolean connecting;
  gboolean watches_writable;    /* has output that the kernel did not accept */
  gboolean reading_paused;      /* see quince_http_connection_set_reading() */
  QuinceStatusLine status_line; /* of the response being read */
  gboolean interim_complete;    /* an interim response ended in the input being parsed */
  guint n_interim;              /* interim responses since the last final one */
  gboolean open;
  gboolean awaiting_next;  /* a message is complete and next() was not called */
  gboolean reading;        /* a message is incomplete */
  gboolean head_too_large; /* the parsed request head exceeds max_head_bytes */
  const char *head_error;  /* why the parsed head was rejected; NULL: for no such reason */
  gboolean finishing;      /* finish() was called */
};

/* Closes the connection and calls the owner's closed(), unless quince_http_connection_finish() was called.
 * @error: (nullable): %NULL if the peer closed between two messages */
void quince_http_connection_close_and_notify (QuinceHttpConnection *connection, const GError *error);
/* Closes the connection as above with an error of @code and @text. */
void quince_http_connection_fail (QuinceHttpConnection *connection, QuinceHttp1Error code, const char *text);
/* Returns %FALSE if the connection is closed or finishing, so that the owner gets no more callbacks. */
gboolean quince_http_connection_is_alive (const QuinceHttpConnection *connection);

/* Reads once from the socket and parses or buffers the input. */
void quince_http_connection_read (QuinceHttpConnection *connection);
void quince_http_connection_init_parser (QuinceHttpConnection *connection);

/* Watches the socket for what the connection waits for. */
void quince_http_connection_update_watch (QuinceHttpConnection *connection);
/* Watches the socket until it is writable, to send the pending output. */
void quince_http_connection_watch_writable (QuinceHttpConnection *connection);
/* Sends as much pending output as the kernel accepts.
 * Returns the number of bytes accepted, or -1 if the connection failed and was closed. */
gssize quince_http_connection_send_pending_output (QuinceHttpConnection *connection);
/* Sends pending output after the socket became writable.  Once all output is sent, stops watching and calls
 * the owner's drained(), or shuts down the sending side of a finishing connection. */
void quince_http_connection_handle_writable (QuinceHttpConnection *connection);

G_END_DECLS
