/*
 * link.c: framed XDR messages over TCP.
 *
 * A frame is a 4-byte big-endian length, followed by that many bytes of one encoded QuinceMessage.  Frames
 * that are queued in one iteration of the main loop are written with one system call where possible.
 */
#include "runtime/link.h"

#include <string.h>

#include "runtime/clock.h"
#include "runtime/delivery-meter.h"
#include "runtime/timer.h"
#include "runtime/packed-message.h"
#include "runtime/socket-watch.h"
#include "runtime/tcp-socket.h"

#include "link-private.h"

/* Size of the length field, see quince_protocol.x. */
#define FRAME_HEADER_BYTES 4
/* Maximum size of one read; other links are served before the next read. */
#define READ_BYTES (64 * 1024)
/* Limit of unsent output, above which the link is closed.  An eighth of the memory of the smallest leaders
 * (270 MB). */
#define OUTPUT_MAX_BYTES (32 * 1024 * 1024)
/* Larger buffers are freed when they become empty.  Larger than frequent frames (heartbeats, reports),
 * smaller than complete lists. */
#define RETAINED_BUFFER_MAX_BYTES (32 * 1024)

/* A probe's contents may be this old when it is sent again: two heartbeat intervals.  They name the silent
 * fronts, so that those of a link without heartbeats must not be repeated. */
#define REPEATED_PROBE_MAX_AGE_US (500 * 1000)

G_DEFINE_QUARK (quince - link - error - quark, quince_link_error)

struct _QuinceLink
{
  grefcount references;
  const QuinceLinkCallbacks *callbacks;
  gpointer user_data;
  GSocket *socket;                  /* NULL if the connection attempt failed immediately */
  QuinceSocketWatch *watch;         /* NULL if the link is closed or has no socket */
  QuinceTimer *connect_error_timer; /* reports connect_error from the main loop */
  GError *connect_error;            /* why socket is NULL */
  GByteArray *input;                /* incomplete frame */
  GByteArray *output;               /* unsent bytes start at output_offset */
  gsize output_offset;
  gboolean is_connecting;
  gboolean watches_output; /* the send buffer of the kernel is full */
  gboolean is_open;
  guint64 bytes_sent;
  guint64 bytes_queued; /* since the link was created */
  guint64 answer_start; /* bytes_queued before the last answer */
  GBytes *last_probe;   /* NULL: none */
  gint64 last_probe_us; /* monotonic */
  QuinceDeliveryMeter delivery_meter;
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
  quince_link_close (link);
  g_clear_object (&link->socket);
  g_clear_error (&link->connect_error);
  g_byte_array_unref (link->input);
  g_byte_array_unref (link->output);
  g_clear_pointer (&link->last_probe, g_bytes_unref);
  g_free (link);
}

static QuinceLink *
link_new (const QuinceLinkCallbacks *callbacks, gpointer user_data)
{
  QuinceLink *link = g_new0 (QuinceLink, 1);
  g_ref_count_init (&link->references);
  link->callbacks = callbacks;
  link->user_data = user_data;
  link->input = g_byte_array_new ();
  link->output = g_byte_array_new ();
  link->is_open = TRUE;
  return link;
}

void
quince_link_close (QuinceLink *link)
{
  if (!link->is_open)
    return;
  link->is_open = FALSE;
  quince_timer_clear (&link->connect_error_timer);
  quince_socket_watch_clear (&link->watch);
  /* Shuts the socket down instead of closing it: a close with unread input would reset the connection, and
   * the peer would lose bytes that it has not read. */
  if (link->socket != NULL)
    g_socket_shutdown (link->socket, TRUE, TRUE, NULL);
}

static void
link_fail (QuinceLink *link, const GError *error)
{
  if (!link->is_open)
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

static gsize
get_unsent_bytes (const QuinceLink *link)
{
  return link->output->len - link->output_offset;
}

/* Empties @buffer and frees its memory if it is large: a leader has hundreds of links. */
static void
clear_buffer (GByteArray **buffer)
{
  if ((*buffer)->len <= RETAINED_BUFFER_MAX_BYTES)
    {
      g_byte_array_set_size (*buffer, 0);
      return;
    }
  g_byte_array_unref (*buffer);
  *buffer = g_byte_array_new ();
}

static void
watch_output (QuinceLink *link, gboolean output)
{
  if (link->watches_output == output)
    return;
  link->watches_output = output;
  quince_socket_watch_set_condition (link->watch, output ? G_IO_IN | G_IO_OUT : G_IO_IN);
}

/* Sends as much output as the kernel accepts, and watches for G_IO_OUT if some is left. */
static void
write_output (QuinceLink *link)
{
  while (get_unsent_bytes (link) > 0)
    {
      g_autoptr (GError) error = NULL;
      gssize sent_length
          = g_socket_send (link->socket, (const char *)link->output->data + link->output_offset,
                           get_unsent_bytes (link), NULL, &error);
      if (sent_length < 0 && g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        {
          watch_output (link, TRUE);
          return;
        }
      if (sent_length < 0)
        {
          link_fail (link, error);
          return;
        }
      link->output_offset += (gsize)sent_length;
      link->bytes_sent += (gsize)sent_length;
    }
  link->output_offset = 0;
  clear_buffer (&link->output);
  watch_output (link, FALSE);
}

/* Removes sent bytes from the buffer once they are at least half of it, to limit the bytes that are moved. */
static void
discard_sent_bytes (QuinceLink *link)
{
  if (link->output_offset == 0 || link->output_offset < get_unsent_bytes (link))
    return;
  g_byte_array_remove_range (link->output, 0, (guint)link->output_offset);
  link->output_offset = 0;
}

void
quince_link_send_bytes (QuinceLink *link, GBytes *encoded)
{
  if (!link->is_open)
    return;
  gsize length;
  const guint8 *data = g_bytes_get_data (encoded, &length);
  gsize unsent = get_unsent_bytes (link);
  if (unsent > 0 && unsent + length > OUTPUT_MAX_BYTES)
    {
      link_fail_code (link, QUINCE_LINK_ERROR_SLOW, "output buffer is full: peer reads too slowly");
      return;
    }
  discard_sent_bytes (link);
  guint32 header = GUINT32_TO_BE ((guint32)length);
  g_byte_array_append (link->output, (const guint8 *)&header, FRAME_HEADER_BYTES);
  g_byte_array_append (link->output, data, (guint)length);
  link->bytes_queued += FRAME_HEADER_BYTES + length;
  if (link->watch != NULL && !link->is_connecting && !link->watches_output)
    quince_socket_watch_defer_output (link->watch);
}

void
quince_link_send_probe (QuinceLink *link, GBytes *encoded)
{
  if (!link->is_open)
    return;
  quince_link_send_bytes (link, encoded);
  gint64 now_us = quince_now_us ();
  quince_delivery_meter_record_probe (&link->delivery_meter, now_us, link->bytes_queued);
  if (link->last_probe == encoded)
    return;
  g_clear_pointer (&link->last_probe, g_bytes_unref);
  link->last_probe = g_bytes_ref (encoded);
  link->last_probe_us = now_us;
}

void
quince_link_record_probe_answer (QuinceLink *link)
{
  gint64 now_us = quince_now_us ();
  QuinceDelivery delivery;
  if (quince_delivery_meter_record_answer (&link->delivery_meter, now_us, &delivery))
    quince_answer_allowance_record_delivery (&link->allowance, now_us, delivery.bytes, delivery.duration_us);
}

void
quince_link_send (QuinceLink *link, const QuinceMessage *message)
{
  if (!link->is_open)
    return;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) encoded = quince_message_encode (message, &error);
  if (encoded == NULL)
    {
      g_critical ("cannot encode message of kind %d: %s", message->kind, error->message);
      return;
    }
  quince_link_send_bytes (link, encoded);
}

/* ---- Reading ---------------------------------------------------------- */

/* Decodes a message, and unpacks it if it is packed.
 *
 * Returns: (transfer full) (nullable): the message, or %NULL if the bytes are invalid */
static QuinceMessage *
read_message (const guint8 *data, gsize length)
{
  QuinceMessage *message = quince_message_decode (data, length, NULL);
  if (message == NULL || message->kind != QUINCE_MESSAGE_PACKED)
    return message;
  QuinceMessage *unpacked = quince_message_unpack (&message->QuinceMessage_u.packed, NULL);
  quince_message_free (message);
  return unpacked;
}

/* Returns: the bytes consumed from @data, or 0 if no complete frame is available or the link failed */
static gsize
handle_frame (QuinceLink *link, const guint8 *data, gsize available)
{
  if (available < FRAME_HEADER_BYTES)
    return 0;
  guint32 header;
  memcpy (&header, data, FRAME_HEADER_BYTES);
  gsize length = GUINT32_FROM_BE (header);
  if (length > QUINCE_FRAME_MAX_BYTES)
    {
      link_fail_code (link, QUINCE_LINK_ERROR_TOO_LARGE, "frame exceeds the maximum size");
      return 0;
    }
  if (available < FRAME_HEADER_BYTES + length)
    return 0;
  QuinceMessage *message = read_message (data + FRAME_HEADER_BYTES, length);
  if (message == NULL)
    {
      link_fail_code (link, QUINCE_LINK_ERROR_MALFORMED, "cannot decode frame");
      return 0;
    }
  link->callbacks->message (link, message, link->user_data);
  return FRAME_HEADER_BYTES + length;
}

/* Returns: the bytes consumed from @data */
static gsize
handle_frames (QuinceLink *link, const guint8 *data, gsize length)
{
  gsize used = 0;
  while (link->is_open)
    {
      gsize consumed = handle_frame (link, data + used, length - used);
      if (consumed == 0)
        break;
      used += consumed;
    }
  return used;
}

/* Decodes complete frames in place where possible, and buffers the incomplete frame at the end. */
static void
handle_input (QuinceLink *link, const guint8 *data, gsize length)
{
  if (link->input->len == 0)
    {
      gsize used = handle_frames (link, data, length);
      g_byte_array_append (link->input, data + used, (guint)(length - used));
      return;
    }
  g_byte_array_append (link->input, data, (guint)length);
  gsize used = handle_frames (link, link->input->data, link->input->len);
  if (used == link->input->len)
    clear_buffer (&link->input);
  else if (used > 0)
    g_byte_array_remove_range (link->input, 0, (guint)used);
}

static void
read_input (QuinceLink *link)
{
  guint8 buffer[READ_BYTES];
  g_autoptr (GError) error = NULL;
  gssize length = g_socket_receive (link->socket, (char *)buffer, sizeof buffer, NULL, &error);
  if (length > 0)
    handle_input (link, buffer, (gsize)length);
  else if (length == 0)
    link_fail_code (link, QUINCE_LINK_ERROR_CLOSED, "peer closed the connection");
  else if (!g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    link_fail (link, error);
}

/* ---- Connecting ------------------------------------------------------- */

static void
connect_ready (QuinceLink *link)
{
  g_autoptr (GError) error = NULL;
  if (!g_socket_check_connect_result (link->socket, &error))
    {
      link_fail (link, error);
      return;
    }
  link->is_connecting = FALSE;
  quince_socket_watch_set_condition (link->watch, G_IO_IN);
  if (get_unsent_bytes (link) > 0)
    quince_socket_watch_defer_output (link->watch);
  if (link->callbacks->connected != NULL)
    link->callbacks->connected (link, link->user_data);
}

/* Reads before it writes: if the peer has sent its last messages and closed, a write would fail first. */
static void
socket_ready (GIOCondition condition, gpointer data)
{
  QuinceLink *link = data;
  quince_link_ref (link);
  if (link->is_connecting)
    connect_ready (link);
  else
    {
      if ((condition & ~G_IO_OUT) != 0)
        read_input (link);
      if (link->is_open && (condition & G_IO_OUT) != 0)
        write_output (link);
    }
  quince_link_unref (link);
}

static void
link_attach (QuinceLink *link, GSocket *socket, GIOCondition condition)
{
  link->socket = socket;
  g_socket_set_keepalive (socket, TRUE);
  link->watch = quince_socket_watch_new (socket, condition, socket_ready, link);
}

static gboolean
report_connect_error (gpointer data)
{
  QuinceLink *link = data;
  g_autoptr (GError) connect_error = g_steal_pointer (&link->connect_error);
  if (g_error_matches (connect_error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT))
    link_fail_code (link, QUINCE_LINK_ERROR_ADDRESS, "address is not a numeric ip:port");
  else
    link_fail (link, connect_error);
  return G_SOURCE_REMOVE;
}

QuinceLink *
quince_link_connect (const char *address, const QuinceLinkCallbacks *callbacks, gpointer user_data)
{
  QuinceLink *link = link_new (callbacks, user_data);
  link->is_connecting = TRUE;
  GSocket *socket = quince_tcp_socket_connect (address, &link->connect_error);
  if (socket != NULL)
    link_attach (link, socket, G_IO_OUT);
  else
    /* Reported from the main loop, since the caller does not have the link yet. */
    link->connect_error_timer = quince_timer_add (0, report_connect_error, link);
  return link;
}

QuinceLink *
quince_link_new_accepted (GSocket *socket, const QuinceLinkCallbacks *callbacks, gpointer user_data)
{
  QuinceLink *link = link_new (callbacks, user_data);
  quince_tcp_socket_set_options (socket);
  link_attach (link, socket, G_IO_IN);
  return link;
}

gboolean
quince_link_is_connected (QuinceLink *link)
{
  return link->is_open && !link->is_connecting;
}

/* Returns 0 while the link has unread input, which may contain the answer to a probe. */
static gsize
get_undelivered_bytes (QuinceLink *link)
{
  gsize bytes
      = quince_delivery_meter_get_backlog (&link->delivery_meter, quince_now_us (), link->bytes_queued);
  return bytes > 0 && !quince_link_has_input (link) ? bytes : 0;
}

gsize
quince_link_get_backlog (QuinceLink *link)
{
  gsize unacknowledged = link->socket != NULL ? quince_tcp_socket_get_unacknowledged_bytes (link->socket) : 0;
  return MAX (get_unsent_bytes (link) + unacknowledged, get_undelivered_bytes (link));
}

gboolean
quince_link_has_input (QuinceLink *link)
{
  return quince_link_is_connected (link) && g_socket_condition_check (link->socket, G_IO_IN) != 0;
}

gsize
quince_link_acquire_answer (QuinceLink *link, gsize max_bytes)
{
  gint64 now_us = quince_now_us ();
  gsize bytes
      = quince_answer_allowance_acquire (&link->allowance, now_us, quince_link_get_backlog (link), max_bytes);
  if (bytes == 0)
    return 0;
  link->answer_start = link->bytes_queued;
  quince_delivery_meter_start_delivery (&link->delivery_meter, now_us, link->bytes_queued);
  return bytes;
}

void
quince_link_finish_answer (QuinceLink *link)
{
  quince_answer_allowance_record_size (&link->allowance, (gsize)(link->bytes_queued - link->answer_start));
  gboolean is_recent
      = link->last_probe != NULL && quince_now_us () - link->last_probe_us <= REPEATED_PROBE_MAX_AGE_US;
  if (is_recent && quince_delivery_meter_awaits_probe (&link->delivery_meter))
    quince_link_send_probe (link, link->last_probe);
}

guint64
quince_link_get_bytes_sent (QuinceLink *link)
{
  return link->bytes_sent;
}
