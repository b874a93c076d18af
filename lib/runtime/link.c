/*
 * link.c: framed XDR messages over TCP.
 *
 * A frame is a 4-byte big-endian length and that many bytes of one QuinceMessage.  Reads collect in one
 * buffer; frames that are sent in one turn of the main loop leave in one write.
 */
#include "runtime/link.h"

#include <netinet/in.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <string.h>

#include "runtime/address.h"
#include "runtime/packed-message.h"
#include "runtime/clock.h"

/* The length before each frame, bytes: an unsigned 32-bit number, as quince_protocol.x says. */
#define FRAME_HEADER_BYTES 4
/* Bytes of one read.  A read is always in progress, so that each link holds as much: 5 MB at a leader of 300
 * machines. */
#define READ_BYTES (16 * 1024)
/* A peer that acknowledges nothing for so long is taken for lost, ms (TCP_USER_TIMEOUT).  Not measured: as
 * on connections of callers and workers. */
#define SILENCE_MS 3000
/* Output that waits for a peer, bytes, above which its link is closed: an eighth of the memory of the
 * smallest leaders (270 MB). */
#define OUTPUT_MAX_BYTES (32 * 1024 * 1024)
/* Buffers above this size are released once they are empty, bytes.  Not measured: above frames that are sent
 * all the time (heartbeats, reports), below those of whole lists. */
#define KEEP_BUFFER_BYTES (32 * 1024)

/* Connections that wait to be accepted.  Not measured: above the 300 machines of the largest deployment, all
 * of which connect to a new leader at once. */
#define BACKLOG 1024

G_DEFINE_QUARK (quince - link - error - quark, quince_link_error)

struct _QuinceLink
{
  /* All fields belong to the context that created the link. */
  grefcount references;
  const QuinceLinkCallbacks *callbacks;
  gpointer user_data;
  GSocketConnection *connection;
  GCancellable *cancellable;
  GByteArray *input;   /* bytes not yet framed                      */
  GByteArray *output;  /* bytes not yet handed to a write           */
  GByteArray *writing; /* bytes of the write in progress            */
  GSource *flush_source;
  gboolean open;
  guint64 bytes_sent;
  QuinceAnswerAllowance allowance;
};

QuinceLink *
quince_link_ref (QuinceLink *link)
{
  g_ref_count_inc (&link->references);
  return link;
}

void
quince_link_unref (QuinceLink *link)
{
  if (!g_ref_count_dec (&link->references))
    return;
  quince_source_clear (&link->flush_source);
  g_clear_object (&link->connection);
  g_clear_object (&link->cancellable);
  g_byte_array_unref (link->input);
  g_byte_array_unref (link->output);
  g_byte_array_unref (link->writing);
  g_free (link);
}

static QuinceLink *
link_new (const QuinceLinkCallbacks *callbacks, gpointer user_data)
{
  QuinceLink *link = g_new0 (QuinceLink, 1);
  g_ref_count_init (&link->references);
  link->callbacks = callbacks;
  link->user_data = user_data;
  link->cancellable = g_cancellable_new ();
  link->input = g_byte_array_new ();
  link->output = g_byte_array_new ();
  link->writing = g_byte_array_new ();
  link->open = TRUE;
  return link;
}

void
quince_link_close (QuinceLink *link)
{
  if (!link->open)
    return;
  link->open = FALSE;
  quince_source_clear (&link->flush_source);
  g_cancellable_cancel (link->cancellable);
  if (link->connection != NULL)
    {
      /* Shut down rather than close: a read or write may be pending on the streams. */
      GSocket *socket = g_socket_connection_get_socket (link->connection);
      g_socket_shutdown (socket, TRUE, TRUE, NULL);
    }
}

static void
link_fail (QuinceLink *link, const GError *error)
{
  if (!link->open)
    return;
  quince_link_ref (link);
  quince_link_close (link);
  if (link->callbacks->closed != NULL)
    link->callbacks->closed (link, error, link->user_data);
  quince_link_unref (link);
}

static void
link_fail_code (QuinceLink *link, QuinceLinkError code, const char *text)
{
  g_autoptr (GError) error = g_error_new_literal (QUINCE_LINK_ERROR, code, text);
  link_fail (link, error);
}

/* ---- Writing ---------------------------------------------------------- */

static void start_write (QuinceLink *link);

static void
write_done (GObject *stream, GAsyncResult *result, gpointer data)
{
  g_autoptr (QuinceLink) link = data;
  g_autoptr (GError) error = NULL;
  gsize written = 0;
  gboolean done = g_output_stream_write_all_finish (G_OUTPUT_STREAM (stream), result, &written, &error);
  link->bytes_sent += written;
  if (link->writing->len > KEEP_BUFFER_BYTES)
    {
      /* Large frames are rare, and a leader has hundreds of links: it does not keep their buffers. */
      g_byte_array_unref (link->writing);
      link->writing = g_byte_array_new ();
    }
  g_byte_array_set_size (link->writing, 0);
  if (!done)
    {
      link_fail (link, error);
      return;
    }
  start_write (link);
}

static void
start_write (QuinceLink *link)
{
  if (!link->open || link->connection == NULL || link->output->len == 0 || link->writing->len > 0)
    return;
  GByteArray *spare = link->writing;
  link->writing = link->output;
  link->output = spare;
  g_output_stream_write_all_async (g_io_stream_get_output_stream (G_IO_STREAM (link->connection)),
                                   link->writing->data, link->writing->len, G_PRIORITY_DEFAULT,
                                   link->cancellable, write_done, quince_link_ref (link));
}

static gboolean
flush_output (gpointer data)
{
  QuinceLink *link = data;
  quince_source_clear (&link->flush_source);
  start_write (link);
  return G_SOURCE_REMOVE;
}

void
quince_link_send_bytes (QuinceLink *link, GBytes *encoded)
{
  if (!link->open)
    return;
  gsize length;
  const guint8 *data = g_bytes_get_data (encoded, &length);
  gboolean waits = link->output->len > 0 || link->writing->len > 0;
  if (waits && link->output->len + length > OUTPUT_MAX_BYTES)
    {
      link_fail_code (link, QUINCE_LINK_ERROR_SLOW, "peer reads too slowly");
      return;
    }
  guint32 header = GUINT32_TO_BE ((guint32)length);
  g_byte_array_append (link->output, (const guint8 *)&header, FRAME_HEADER_BYTES);
  g_byte_array_append (link->output, data, (guint)length);
  if (link->flush_source == NULL && link->connection != NULL && link->writing->len == 0)
    {
      link->flush_source = g_idle_source_new ();
      g_source_set_priority (link->flush_source, G_PRIORITY_DEFAULT);
      g_source_set_callback (link->flush_source, flush_output, link, NULL);
      g_source_attach (link->flush_source, g_main_context_get_thread_default ());
    }
}

void
quince_link_send (QuinceLink *link, const QuinceMessage *message)
{
  if (!link->open)
    return;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) encoded = quince_message_encode (message, &error);
  if (encoded == NULL)
    {
      g_critical ("message of kind %d does not encode: %s", message->kind, error->message);
      return;
    }
  quince_link_send_bytes (link, encoded);
}

/* ---- Reading ---------------------------------------------------------- */

static void start_read (QuinceLink *link);

/* Returns: (transfer full): NULL: the bytes are no message. */
static QuinceMessage *
read_message (const guint8 *data, gsize length)
{
  QuinceMessage *message = quince_message_decode (data, length, NULL);
  if (message == NULL || message->kind != QUINCE_MESSAGE_PACKED)
    return message;
  QuinceMessage *inner = quince_message_unpack (&message->QuinceMessage_u.packed, NULL);
  quince_message_free (message);
  return inner;
}

/* Returns: bytes used of @data, 0 when no whole frame is there or the link failed. */
static gsize
take_frame (QuinceLink *link, const guint8 *data, gsize available)
{
  if (available < FRAME_HEADER_BYTES)
    return 0;
  guint32 header;
  memcpy (&header, data, FRAME_HEADER_BYTES);
  gsize length = GUINT32_FROM_BE (header);
  if (length > QUINCE_FRAME_MAX_BYTES)
    {
      link_fail_code (link, QUINCE_LINK_ERROR_TOO_LARGE, "frame is too large");
      return 0;
    }
  if (available < FRAME_HEADER_BYTES + length)
    return 0;
  QuinceMessage *message = read_message (data + FRAME_HEADER_BYTES, length);
  if (message == NULL)
    {
      link_fail_code (link, QUINCE_LINK_ERROR_MALFORMED, "frame does not decode");
      return 0;
    }
  link->callbacks->message (link, message, link->user_data);
  return FRAME_HEADER_BYTES + length;
}

static void
take_frames (QuinceLink *link)
{
  gsize used = 0;
  while (link->open)
    {
      gsize taken = take_frame (link, link->input->data + used, link->input->len - used);
      if (taken == 0)
        break;
      used += taken;
    }
  if (used == link->input->len && used > KEEP_BUFFER_BYTES)
    {
      g_byte_array_unref (link->input);
      link->input = g_byte_array_new ();
    }
  else if (used > 0)
    g_byte_array_remove_range (link->input, 0, (guint)used);
}

static void
read_done (GObject *stream, GAsyncResult *result, gpointer data)
{
  g_autoptr (QuinceLink) link = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) bytes = g_input_stream_read_bytes_finish (G_INPUT_STREAM (stream), result, &error);
  if (!link->open)
    return;
  if (bytes == NULL)
    {
      link_fail (link, error);
      return;
    }
  gsize length;
  const guint8 *chunk = g_bytes_get_data (bytes, &length);
  if (length == 0)
    {
      link_fail_code (link, QUINCE_LINK_ERROR_CLOSED, "peer closed");
      return;
    }
  g_byte_array_append (link->input, chunk, (guint)length);
  take_frames (link);
  start_read (link);
}

static void
start_read (QuinceLink *link)
{
  if (!link->open)
    return;
  g_input_stream_read_bytes_async (g_io_stream_get_input_stream (G_IO_STREAM (link->connection)), READ_BYTES,
                                   G_PRIORITY_DEFAULT, link->cancellable, read_done, quince_link_ref (link));
}

/* ---- Connecting ------------------------------------------------------- */

static void
link_attach (QuinceLink *link, GSocketConnection *connection)
{
  link->connection = g_object_ref (connection);
  GSocket *socket = g_socket_connection_get_socket (connection);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_USER_TIMEOUT, SILENCE_MS, NULL);
  g_socket_set_keepalive (socket, TRUE);
  start_read (link);
  start_write (link);
}

static void
connect_done (GObject *client, GAsyncResult *result, gpointer data)
{
  g_autoptr (QuinceLink) link = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketConnection) connection
      = g_socket_client_connect_finish (G_SOCKET_CLIENT (client), result, &error);
  if (!link->open)
    return;
  if (connection == NULL)
    {
      link_fail (link, error);
      return;
    }
  link_attach (link, connection);
  if (link->callbacks->connected != NULL)
    link->callbacks->connected (link, link->user_data);
}

static gboolean
fail_bad_address (gpointer data)
{
  link_fail_code (data, QUINCE_LINK_ERROR_ADDRESS, "not a numeric ip:port");
  return G_SOURCE_REMOVE;
}

QuinceLink *
quince_link_connect (const char *address, const QuinceLinkCallbacks *callbacks, gpointer user_data)
{
  QuinceLink *link = link_new (callbacks, user_data);
  g_autoptr (GSocketAddress) target = quince_address_parse (address, NULL);
  if (target == NULL)
    {
      /* Reported from the loop, as every other failure is. */
      g_autoptr (GSource) source = g_idle_source_new ();
      g_source_set_callback (source, fail_bad_address, quince_link_ref (link),
                             (GDestroyNotify)quince_link_unref);
      g_source_attach (source, g_main_context_get_thread_default ());
      return link;
    }
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_socket_client_set_enable_proxy (client, FALSE);
  g_socket_client_connect_async (client, G_SOCKET_CONNECTABLE (target), link->cancellable, connect_done,
                                 quince_link_ref (link));
  return link;
}

gboolean
quince_link_is_connected (QuinceLink *link)
{
  return link->open && link->connection != NULL;
}

gsize
quince_link_get_backlog (QuinceLink *link)
{
  int unacknowledged = 0;
  if (link->connection != NULL)
    ioctl (g_socket_get_fd (g_socket_connection_get_socket (link->connection)), SIOCOUTQ, &unacknowledged);
  /* What is being written is in the system's queue in part: counted twice rather than not at all. */
  return link->output->len + link->writing->len + (gsize)MAX (unacknowledged, 0);
}

gboolean
quince_link_has_input (QuinceLink *link)
{
  return quince_link_is_connected (link)
         && g_socket_condition_check (g_socket_connection_get_socket (link->connection), G_IO_IN) != 0;
}

QuinceAnswerAllowance *
quince_link_get_allowance (QuinceLink *link)
{
  return &link->allowance;
}

guint64
quince_link_get_bytes_sent (QuinceLink *link)
{
  return link->bytes_sent;
}

/* ---- Listening -------------------------------------------------------- */

struct _QuinceLinkServer
{
  /* All fields belong to the context that created the server. */
  GSocketListener *listener;
  GCancellable *cancellable;
  char *address;
  const QuinceLinkCallbacks *callbacks;
  void (*accepted) (QuinceLink *link, gpointer user_data);
  gpointer user_data;
};

static void start_accept (QuinceLinkServer *server);

static void
accept_done (GObject *listener, GAsyncResult *result, gpointer data)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketConnection) connection
      = g_socket_listener_accept_finish (G_SOCKET_LISTENER (listener), result, NULL, &error);
  if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CANCELLED))
    return; /* The server is gone. */
  QuinceLinkServer *server = data;
  if (connection != NULL)
    {
      QuinceLink *link = link_new (server->callbacks, server->user_data);
      link_attach (link, connection);
      server->accepted (link, server->user_data);
    }
  start_accept (server);
}

static void
start_accept (QuinceLinkServer *server)
{
  g_socket_listener_accept_async (server->listener, server->cancellable, accept_done, server);
}

QuinceLinkServer *
quince_link_server_new (const char *address,
                        const QuinceLinkCallbacks *callbacks,
                        void (*accepted) (QuinceLink *link, gpointer user_data),
                        gpointer user_data,
                        GError **error)
{
  g_autoptr (GSocketAddress) wanted = quince_address_parse (address, error);
  if (wanted == NULL)
    return NULL;
  g_autoptr (GSocketListener) listener = g_socket_listener_new ();
  g_socket_listener_set_backlog (listener, BACKLOG);
  g_autoptr (GSocketAddress) actual = NULL;
  if (!g_socket_listener_add_address (listener, wanted, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL,
                                      &actual, error))
    return NULL;
  QuinceLinkServer *server = g_new0 (QuinceLinkServer, 1);
  server->listener = g_steal_pointer (&listener);
  server->cancellable = g_cancellable_new ();
  server->address = quince_address_format (actual);
  server->callbacks = callbacks;
  server->accepted = accepted;
  server->user_data = user_data;
  start_accept (server);
  return server;
}

const char *
quince_link_server_get_address (QuinceLinkServer *server)
{
  return server->address;
}

void
quince_link_server_free (QuinceLinkServer *server)
{
  g_cancellable_cancel (server->cancellable);
  g_socket_listener_close (server->listener);
  g_clear_object (&server->listener);
  g_clear_object (&server->cancellable);
  g_free (server->address);
  g_free (server);
}
