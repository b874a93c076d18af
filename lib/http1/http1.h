/*
 * http1.h: HTTP/1.1 on connections whose framing the caller controls.
 *
 * For the path between callers and workers.  There a byte too many on a kept connection, an answer that ends
 * without a length and the exact moment of a close decide whether a request may be sent again, and HTTP
 * libraries such as libsoup show none of these.  Messages are parsed by the library http-parser.
 *
 * A connection owns its socket, the bytes that the kernel has not taken and the message being read.
 * Everything belongs to the thread-default context that created it.  Relies on runtime/ for sockets and
 * timers.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

/* Error domain of connections and pools. */
#define QUINCE_HTTP1_ERROR (quince_http1_error_quark ())
GQuark quince_http1_error_quark (void);

typedef enum
{
  QUINCE_HTTP1_ERROR_CLOSED,    /* the peer closed before a message was whole      */
  QUINCE_HTTP1_ERROR_RESET,     /* the connection failed                           */
  QUINCE_HTTP1_ERROR_MALFORMED, /* bytes that are no HTTP message                  */
  QUINCE_HTTP1_ERROR_TOO_LARGE, /* head or body above its limit                    */
  QUINCE_HTTP1_ERROR_TIMEOUT,   /* not done in time                                */
  QUINCE_HTTP1_ERROR_CONNECT,   /* no connection came up; nothing was sent         */
} QuinceHttp1Error;

/* ---- Headers ---------------------------------------------------------- */

typedef struct
{
  char *name;
  char *value;
} QuinceHttpHeader;

typedef struct _QuinceHttpHeaders QuinceHttpHeaders;

QuinceHttpHeaders *quince_http_headers_new (void);
void quince_http_headers_free (QuinceHttpHeaders *headers);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceHttpHeaders, quince_http_headers_free)
/* (transfer full): a copy of @headers */
QuinceHttpHeaders *quince_http_headers_copy (const QuinceHttpHeaders *headers);
/* Names compare without case.  get() returns the first value or %NULL. */
const char *quince_http_headers_get (const QuinceHttpHeaders *headers, const char *name);
void quince_http_headers_add (QuinceHttpHeaders *headers, const char *name, const char *value);
void quince_http_headers_set (QuinceHttpHeaders *headers, const char *name, const char *value);
void quince_http_headers_remove (QuinceHttpHeaders *headers, const char *name);
guint quince_http_headers_get_length (const QuinceHttpHeaders *headers);
const QuinceHttpHeader *quince_http_headers_index (const QuinceHttpHeaders *headers, guint index);
/* Removes what concerns one connection only: Connection and what it names, Keep-Alive, lengths and codings.
 */
void quince_http_headers_remove_hop_by_hop (QuinceHttpHeaders *headers);

/* ---- Message heads ---------------------------------------------------- */

typedef struct
{
  char *method;               /* requests */
  char *target;               /* requests: path and query as they came */
  guint status;               /* answers  */
  QuinceHttpHeaders *headers; /* owned    */
  gboolean keep_alive;        /* the connection may carry another message     */
} QuinceHttpHead;

void quince_http_head_free (QuinceHttpHead *head);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceHttpHead, quince_http_head_free)

/* ---- Connections ------------------------------------------------------ */

typedef struct _QuinceHttpConnection QuinceHttpConnection;

/**
 * QuinceHttpConnectionCallbacks:
 * @connected: (nullable): an outgoing connection is up
 * @head: (transfer full): the head of the next message
 * @body: (nullable): a piece of its body
 * @complete: the message is whole; no further message is parsed before quince_http_connection_next()
 * @refused: (nullable): at a server, the peer's bytes are no request or too many; nothing more is read, and
 * the owner answers and calls quince_http_connection_finish().  Without it the connection closes
 * @closed: the connection is over, called at most once; not after quince_http_connection_close().
 *   @error is %NULL when the peer closed between two messages
 * @drained: (nullable): all output has been handed to the kernel
 */
typedef struct
{
  void (*connected) (QuinceHttpConnection *connection, gpointer user_data);
  void (*head) (QuinceHttpConnection *connection, QuinceHttpHead *head, gpointer user_data);
  void (*body) (QuinceHttpConnection *connection, const char *data, gsize length, gpointer user_data);
  void (*complete) (QuinceHttpConnection *connection, gpointer user_data);
  void (*refused) (QuinceHttpConnection *connection, const GError *error, gpointer user_data);
  void (*closed) (QuinceHttpConnection *connection, const GError *error, gpointer user_data);
  void (*drained) (QuinceHttpConnection *connection, gpointer user_data);
} QuinceHttpConnectionCallbacks;

/**
 * quince_http_connection_new_server:
 * @socket: (transfer full): an accepted socket
 * @max_head_bytes: greatest head of a request; beyond it the connection fails with TOO_LARGE
 */
QuinceHttpConnection *quince_http_connection_new_server (GSocket *socket,
                                                         gsize max_head_bytes,
                                                         const QuinceHttpConnectionCallbacks *callbacks,
                                                         gpointer user_data);
/* Starts to connect to @address, a numeric ip:port; a failure comes through closed(). */
QuinceHttpConnection *quince_http_connection_connect (const char *address,
                                                      const QuinceHttpConnectionCallbacks *callbacks,
                                                      gpointer user_data);
/* Callers hold a reference while a callback may release theirs. */
QuinceHttpConnection *quince_http_connection_ref (QuinceHttpConnection *connection);
void quince_http_connection_unref (QuinceHttpConnection *connection);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceHttpConnection, quince_http_connection_unref)

void quince_http_connection_write (QuinceHttpConnection *connection, const char *data, gsize length);
/* Goes on to the next message; bytes that came early are parsed at once. */
void quince_http_connection_next (QuinceHttpConnection *connection);
/* Closes without further callbacks. */
void quince_http_connection_close (QuinceHttpConnection *connection);
/* Closes for writing once all output is sent, then reads until the peer closes, for up to 2 s. */
void quince_http_connection_finish (QuinceHttpConnection *connection);
gboolean quince_http_connection_is_open (QuinceHttpConnection *connection);
/* Bytes beyond the last whole message have come: on a client's side they belong to no request. */
gboolean quince_http_connection_has_buffered_input (QuinceHttpConnection *connection);
gboolean quince_http_connection_has_pending_output (QuinceHttpConnection *connection);
/* Bytes have arrived that are not read yet, or the end of the connection. */
gboolean quince_http_connection_is_readable (const QuinceHttpConnection *connection);
/* Bytes that the kernel has not taken yet. */
gsize quince_http_connection_get_pending_output_bytes (QuinceHttpConnection *connection);
/* Bytes were written that the other side's machine has not acknowledged. */
gboolean quince_http_connection_has_unacknowledged_data (const QuinceHttpConnection *connection);
/* What is not acknowledged when the connection is closed is never sent again. */
void quince_http_connection_reset_on_close (QuinceHttpConnection *connection);
/* A message has begun to arrive and is not whole. */
gboolean quince_http_connection_is_reading (QuinceHttpConnection *connection);

G_END_DECLS
