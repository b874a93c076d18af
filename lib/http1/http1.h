/*
 * http1.h: HTTP/1.1 connections that expose message framing to their owner.
 *
 * Connects callers, workers and the metadata store.  Whether a request may be retried depends on excess bytes
 * on a persistent connection, on responses that end without a length and on the time of a close, which HTTP
 * libraries such as libsoup do not report.  The http-parser library parses the messages.
 *
 * A connection owns its socket, its pending output and the message being read.  It belongs to the
 * thread-default main context that created it.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

/* Error domain of connections and pools. */
#define QUINCE_HTTP1_ERROR (quince_http1_error_quark ())
GQuark quince_http1_error_quark (void);

typedef enum
{
  QUINCE_HTTP1_ERROR_CLOSED,    /* closed before the message was complete, or the request was withdrawn */
  QUINCE_HTTP1_ERROR_RESET,     /* reading from or writing to the socket failed */
  QUINCE_HTTP1_ERROR_MALFORMED, /* the input is not a valid HTTP message */
  QUINCE_HTTP1_ERROR_TOO_LARGE, /* the message head, the body or the buffered input exceeds its limit */
  QUINCE_HTTP1_ERROR_TIMEOUT,   /* no complete response before the timeout */
  QUINCE_HTTP1_ERROR_CONNECT,   /* the connection was not established; nothing was sent */
  QUINCE_HTTP1_ERROR_UNMATCHED, /* the response belongs to another request, or to none that is known */
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
/* Returns: (transfer full): a copy of @headers */
QuinceHttpHeaders *quince_http_headers_copy (const QuinceHttpHeaders *headers);
/* Returns the value of the first header called @name, or %NULL if there is none.  Header names are
 * case-insensitive here and below.  The value is valid until @headers changes. */
const char *quince_http_headers_get (const QuinceHttpHeaders *headers, const char *name);
void quince_http_headers_add (QuinceHttpHeaders *headers, const char *name, const char *value);
void quince_http_headers_set (QuinceHttpHeaders *headers, const char *name, const char *value);
void quince_http_headers_remove (QuinceHttpHeaders *headers, const char *name);
guint quince_http_headers_get_length (const QuinceHttpHeaders *headers);
const QuinceHttpHeader *quince_http_headers_index (const QuinceHttpHeaders *headers, guint index);
/* Removes headers that apply to a single connection, including those that the first Connection header
 * lists.  Also removes Content-Length and Expect. */
void quince_http_headers_remove_hop_by_hop (QuinceHttpHeaders *headers);

/* ---- Message heads ---------------------------------------------------- */

typedef struct
{
  char *method;               /* NULL in responses */
  char *target;               /* path and query as received, not decoded; NULL in responses */
  guint status;               /* 0 in requests */
  QuinceHttpHeaders *headers; /* owned */
  gboolean keep_alive;        /* the connection may carry another message */
} QuinceHttpHead;

void quince_http_head_free (QuinceHttpHead *head);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceHttpHead, quince_http_head_free)

/* ---- Connections ------------------------------------------------------ */

typedef struct _QuinceHttpConnection QuinceHttpConnection;

/**
 * QuinceHttpConnectionCallbacks:
 * @connected: (nullable): an outgoing connection has been established
 * @head: (transfer full): the head of the next message
 * @body: (nullable): the next part of the message's body
 * @complete: the message is complete; no further message is parsed before quince_http_connection_next()
 * @refused: (nullable): on a server, the request is malformed or its head is too large.  The owner writes a
 *   response and calls quince_http_connection_finish().  Without this callback the connection is closed
 * @closed: (nullable): the connection was closed by the peer or failed.  Called at most once, and not after
 *   quince_http_connection_close() or quince_http_connection_finish().  @error is %NULL if the peer closed
 *   between two messages
 * @drained: (nullable): output that the kernel did not accept immediately has now been sent
 * @input_held: (nullable): on a server, the number of bytes that the connection holds has changed: those of
 * an incomplete head, or those after a complete message
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
  void (*input_held) (QuinceHttpConnection *connection, gsize bytes, gpointer user_data);
} QuinceHttpConnectionCallbacks;

/**
 * quince_http_connection_new_server:
 * @socket: (transfer full): an accepted socket
 * @max_head_bytes: limit on a request's head, or 0 for the parser's limit only.  A larger head is reported
 *   to refused() with %QUINCE_HTTP1_ERROR_TOO_LARGE
 */
QuinceHttpConnection *quince_http_connection_new_server (GSocket *socket,
                                                         gsize max_head_bytes,
                                                         const QuinceHttpConnectionCallbacks *callbacks,
                                                         gpointer user_data);
/* Starts to connect to @address, a numeric ip:port.  A failure is reported later to closed(). */
QuinceHttpConnection *quince_http_connection_connect (const char *address,
                                                      const QuinceHttpConnectionCallbacks *callbacks,
                                                      gpointer user_data);
/* Hold a reference during calls that may run callbacks which release the owner's reference. */
QuinceHttpConnection *quince_http_connection_ref (QuinceHttpConnection *connection);
void quince_http_connection_unref (QuinceHttpConnection *connection);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceHttpConnection, quince_http_connection_unref)

/* Sends @data, or buffers what the kernel does not accept.  Ignored if the connection is closed or finishing.
 * Never runs callbacks: a write error is reported later to closed(). */
void quince_http_connection_write (QuinceHttpConnection *connection, const char *data, gsize length);
/* The same for @bytes, which are shared in place of a copy while they wait. */
void quince_http_connection_write_bytes (QuinceHttpConnection *connection, GBytes *bytes);
/* Sets whether the next response on a client connection ends with its head, whatever length it announces, as
 * a response to HEAD does. */
void quince_http_connection_set_head_only (QuinceHttpConnection *connection, gboolean head_only);
/* Allows the next message to be parsed.  Input that is already buffered is parsed immediately. */
void quince_http_connection_next (QuinceHttpConnection *connection);
/* Stops or continues to read from the socket, so that TCP slows the peer down.  Reading is on at first. */
void quince_http_connection_set_reading (QuinceHttpConnection *connection, gboolean reading);
/* Closes without further callbacks. */
void quince_http_connection_close (QuinceHttpConnection *connection);
/* Closes gracefully: sends the pending output, shuts down the sending side, and discards input until the peer
 * closes, at most 2 s after this call.  No further callbacks are called. */
void quince_http_connection_finish (QuinceHttpConnection *connection);
/* Returns %FALSE if the connection is closed or being closed by quince_http_connection_finish(). */
gboolean quince_http_connection_is_open (QuinceHttpConnection *connection);
/* Returns %TRUE if bytes after the last complete message are buffered.  On a client these bytes belong to no
 * request. */
gboolean quince_http_connection_has_buffered_input (QuinceHttpConnection *connection);
/* Returns %TRUE if the kernel has not yet accepted all output. */
gboolean quince_http_connection_has_pending_output (QuinceHttpConnection *connection);
/* Returns %TRUE if the socket has connected or failed to, but the main loop has not handled this yet. */
gboolean quince_http_connection_has_connect_result (const QuinceHttpConnection *connection);
/* Returns %TRUE if the socket has unread input, was closed by the peer or failed. */
gboolean quince_http_connection_is_readable (const QuinceHttpConnection *connection);
/* Returns the number of bytes that the kernel has not yet accepted. */
gsize quince_http_connection_get_pending_output_bytes (QuinceHttpConnection *connection);
/* Returns %TRUE if the peer's kernel has not acknowledged all written bytes. */
gboolean quince_http_connection_has_unacknowledged_data (const QuinceHttpConnection *connection);
/* Makes a later close reset the connection, so that the kernel discards unacknowledged data instead of
 * retransmitting it. */
void quince_http_connection_reset_on_close (QuinceHttpConnection *connection);
/* Returns %TRUE if a message has been received in part. */
gboolean quince_http_connection_is_reading (QuinceHttpConnection *connection);

G_END_DECLS
