/*
 * link-input.c: frames that arrive on a link.
 *
 * A large frame is shown to the owner of the link once its first bytes have arrived.  The owner reserves
 * memory for it, or has its bytes discarded as they arrive.
 */
#include "link-private.h"

#include <string.h>

#include "runtime/packed-message.h"

/* Maximum size of one read; other links are served before the next read. */
#define READ_BYTES (64 * 1024)
/* Larger buffers are freed when they become empty.  Larger than frequent frames (heartbeats, reports),
 * smaller than complete lists. */
#define RETAINED_BUFFER_MAX_BYTES (32 * 1024)

/* Empties the input, and frees its memory if it is large: a leader has hundreds of links. */
static void
clear_input (QuinceLink *link)
{
  if (link->input->len <= RETAINED_BUFFER_MAX_BYTES)
    {
      g_byte_array_set_size (link->input, 0);
      return;
    }
  g_byte_array_unref (link->input);
  link->input = g_byte_array_new ();
}

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

/* ---- Large frames -------------------------------------------------------- */

/* Asks the owner about the frame at the start of the input, which is not complete.
 *
 * Returns: %FALSE if the frame is to be discarded */
static gboolean
admit_frame (QuinceLink *link, gsize frame_length)
{
  if (link->frame_admitted || frame_length < QUINCE_LINK_ADMIT_MIN_BYTES || link->callbacks->admit == NULL)
    return TRUE;
  const guint8 *start = link->input->data + QUINCE_FRAME_HEADER_BYTES;
  gsize available = MIN (link->input->len - QUINCE_FRAME_HEADER_BYTES, frame_length);
  if (available < QUINCE_LINK_ADMIT_MIN_BYTES)
    return TRUE; /* asked when more has arrived */
  link->frame_admitted = TRUE;
  return link->callbacks->admit (link, start, available, frame_length, &link->input_hold, link->user_data);
}

QuinceMemoryHold *
quince_link_take_hold (QuinceLink *link)
{
  return g_steal_pointer (&link->input_hold);
}

/* Drops what has arrived of the frame at the start of the input, and what arrives of it later. */
static void
discard_frame (QuinceLink *link, gsize frame_length)
{
  gsize length = QUINCE_FRAME_HEADER_BYTES + frame_length;
  gsize arrived = MIN (length, link->input->len);
  link->discarded_bytes_left = length - arrived;
  link->frame_admitted = FALSE;
  g_byte_array_remove_range (link->input, 0, (guint)arrived);
}

/* ---- Frames ---------------------------------------------------------------- */

/* Returns: whether a frame begins at @data; @length is then its length without the header */
static gboolean
read_frame_length (QuinceLink *link, const guint8 *data, gsize available, gsize *length)
{
  guint32 header;
  if (available < QUINCE_FRAME_HEADER_BYTES)
    return FALSE;
  memcpy (&header, data, QUINCE_FRAME_HEADER_BYTES);
  *length = GUINT32_FROM_BE (header);
  if (*length <= QUINCE_FRAME_MAX_BYTES)
    return TRUE;
  quince_link_fail_code (link, QUINCE_LINK_ERROR_TOO_LARGE, "frame exceeds the maximum size");
  return FALSE;
}

static void
pass_message (QuinceLink *link, QuinceMessage *message)
{
  if (message != NULL)
    link->callbacks->message (link, message, link->user_data);
  else
    quince_link_fail_code (link, QUINCE_LINK_ERROR_MALFORMED, "cannot decode frame");
}

/* Passes on the complete frames at the start of @data.  Returns: the bytes consumed */
static gsize
handle_frames (QuinceLink *link, const guint8 *data, gsize length)
{
  gsize used = 0, frame_length;
  while (link->is_open && read_frame_length (link, data + used, length - used, &frame_length)
         && length - used >= QUINCE_FRAME_HEADER_BYTES + frame_length)
    {
      const guint8 *frame = data + used + QUINCE_FRAME_HEADER_BYTES;
      used += QUINCE_FRAME_HEADER_BYTES + frame_length;
      pass_message (link, read_message (frame, frame_length));
    }
  return used;
}

/* Passes on the frame that the input starts with, and frees its bytes as soon as they are decoded. */
static void
handle_large_frame (QuinceLink *link, gsize frame_length)
{
  g_autoptr (GByteArray) input = g_steal_pointer (&link->input);
  gsize used = QUINCE_FRAME_HEADER_BYTES + frame_length;
  link->input = g_byte_array_new ();
  g_byte_array_append (link->input, input->data + used, (guint)(input->len - used));
  link->frame_admitted = FALSE;
  QuinceMessage *message = read_message (input->data + QUINCE_FRAME_HEADER_BYTES, frame_length);
  g_clear_pointer (&input, g_byte_array_unref);
  pass_message (link, message);
  g_clear_pointer (&link->input_hold, quince_memory_hold_free);
}

/* Handles the frames in the input. */
static void
handle_buffered_frames (QuinceLink *link)
{
  gsize frame_length;
  while (link->is_open && read_frame_length (link, link->input->data, link->input->len, &frame_length))
    {
      if (!admit_frame (link, frame_length))
        {
          discard_frame (link, frame_length);
          continue;
        }
      if (link->input->len < QUINCE_FRAME_HEADER_BYTES + frame_length)
        return;
      if (frame_length >= QUINCE_LINK_ADMIT_MIN_BYTES)
        handle_large_frame (link, frame_length);
      else
        {
          gsize used = handle_frames (link, link->input->data, link->input->len);
          if (used == link->input->len)
            clear_input (link);
          else
            g_byte_array_remove_range (link->input, 0, (guint)used);
        }
    }
}

/* Skips bytes of a discarded frame.  Returns: the number of bytes skipped */
static gsize
skip_discarded (QuinceLink *link, gsize length)
{
  gsize skipped = (gsize)MIN (link->discarded_bytes_left, length);
  link->discarded_bytes_left -= skipped;
  return skipped;
}

/* Decodes complete frames in place where possible, and buffers the incomplete frame at the end. */
static void
handle_input (QuinceLink *link, const guint8 *data, gsize length)
{
  gsize used = skip_discarded (link, length);
  if (link->input->len == 0)
    used += handle_frames (link, data + used, length - used);
  if (!link->is_open || used == length)
    return;
  g_byte_array_append (link->input, data + used, (guint)(length - used));
  handle_buffered_frames (link);
}

void
quince_link_read_input (QuinceLink *link)
{
  guint8 buffer[READ_BYTES];
  g_autoptr (GError) error = NULL;
  gssize length = g_socket_receive (link->socket, (char *)buffer, sizeof buffer, NULL, &error);
  if (length > 0)
    handle_input (link, buffer, (gsize)length);
  else if (length == 0)
    quince_link_fail_code (link, QUINCE_LINK_ERROR_CLOSED, "peer closed the connection");
  else if (!g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    quince_link_fail (link, error);
}
