/*
 * link-output.c: frames that are sent on a link.
 *
 * A frame is a 4-byte big-endian length, followed by that many bytes of one encoded QuinceMessage.  Frames
 * that are queued in one iteration of the main loop are written with one system call where possible.
 */
#include "link-private.h"

/* Unit of the encoding (RFC 4506, section 3). */
#define XDR_UNIT_BYTES 4
/* Limit of unsent output for messages that may be left out.  An eighth of the memory of the smallest leaders
 * (270 MB). */
#define OUTPUT_MAX_BYTES (32 * 1024 * 1024)
/* A message that follows more unsent output, as much as one message may have, closes the link. */
#define WAITING_MAX_BYTES QUINCE_FRAME_MAX_BYTES

gsize
quince_link_get_unsent_bytes (const QuinceLink *link)
{
  return quince_output_queue_get_length (link->output);
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
void
quince_link_write_output (QuinceLink *link)
{
  while (quince_link_get_unsent_bytes (link) > 0)
    {
      g_autoptr (GError) error = NULL;
      gssize sent_length = quince_output_queue_send (link->output, link->socket, &error);
      if (sent_length < 0 && g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        {
          watch_output (link, TRUE);
          return;
        }
      if (sent_length < 0)
        {
          quince_link_fail (link, error);
          return;
        }
      link->bytes_sent += (gsize)sent_length;
    }
  watch_output (link, FALSE);
}

gboolean
quince_link_has_room (QuinceLink *link, gsize length)
{
  gsize unsent = quince_link_get_unsent_bytes (link);
  return link->is_open && (unsent == 0 || unsent + length <= OUTPUT_MAX_BYTES);
}

static gboolean
report_overflow (gpointer data)
{
  QuinceLink *link = data;
  quince_timer_clear (&link->overflow_timer);
  quince_link_fail_code (link, QUINCE_LINK_ERROR_SLOW, "output buffer is full: peer reads too slowly");
  return G_SOURCE_REMOVE;
}

/* Queues the header of a frame of @length bytes.  Returns %FALSE if the link is closed, or is about to be
 * closed because its peer is too slow.  That is reported from the main loop, since the caller uses the link.
 */
static gboolean
queue_frame_header (QuinceLink *link, gsize length)
{
  if (!link->is_open || link->overflow_timer != NULL)
    return FALSE;
  if (quince_link_get_unsent_bytes (link) > WAITING_MAX_BYTES)
    {
      link->overflow_timer = quince_timer_add (0, report_overflow, link);
      return FALSE;
    }
  guint32 header = GUINT32_TO_BE ((guint32)length);
  quince_output_queue_append (link->output, &header, QUINCE_FRAME_HEADER_BYTES);
  link->bytes_queued += QUINCE_FRAME_HEADER_BYTES + length;
  return TRUE;
}

static void
schedule_output (QuinceLink *link)
{
  if (link->watch != NULL && !link->is_connecting && !link->watches_output)
    quince_socket_watch_defer_output (link->watch);
}

void
quince_link_send_bytes (QuinceLink *link, GBytes *encoded)
{
  if (!queue_frame_header (link, g_bytes_get_size (encoded)))
    return;
  quince_output_queue_append_bytes (link->output, encoded, 0);
  schedule_output (link);
}

/* Sends the encoding of a message whose last part is an opaque of no bytes, with @tail as these bytes (RFC
 * 4506, section 4.10): the length, which is encoded last, the bytes, and zeros up to a multiple of four. */
static void
send_encoded_with_tail (QuinceLink *link, GBytes *encoded, GBytes *tail)
{
  static const guint8 padding[XDR_UNIT_BYTES] = { 0 };
  gsize start_length;
  const guint8 *start = g_bytes_get_data (encoded, &start_length);
  gsize tail_length = g_bytes_get_size (tail);
  gsize padding_length = (XDR_UNIT_BYTES - tail_length % XDR_UNIT_BYTES) % XDR_UNIT_BYTES;
  guint32 length_field = GUINT32_TO_BE ((guint32)tail_length);
  if (!queue_frame_header (link, start_length + tail_length + padding_length))
    return;
  quince_output_queue_append (link->output, start, start_length - sizeof length_field);
  quince_output_queue_append (link->output, &length_field, sizeof length_field);
  quince_output_queue_append_bytes (link->output, tail, 0);
  quince_output_queue_append (link->output, padding, padding_length);
  schedule_output (link);
}

/* Returns: (transfer full) (nullable): the encoding; a failure is logged */
static GBytes *
encode_message (const QuinceMessage *message)
{
  g_autoptr (GError) error = NULL;
  GBytes *encoded = quince_message_encode (message, &error);
  if (encoded == NULL)
    g_critical ("cannot encode message of kind %d: %s", message->kind, error->message);
  return encoded;
}

void
quince_link_send (QuinceLink *link, const QuinceMessage *message)
{
  if (!link->is_open)
    return;
  g_autoptr (GBytes) encoded = encode_message (message);
  if (encoded != NULL)
    quince_link_send_bytes (link, encoded);
}

void
quince_link_send_with_tail (QuinceLink *link, const QuinceMessage *message, GBytes *tail)
{
  if (!link->is_open)
    return;
  g_autoptr (GBytes) encoded = encode_message (message);
  if (encoded != NULL)
    send_encoded_with_tail (link, encoded, tail);
}
