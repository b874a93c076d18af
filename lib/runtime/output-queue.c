/*
 * output-queue.c: bytes that wait to be sent on a socket.
 *
 * Shared pieces, and copies that were appended before them, form a list; what was appended after the last
 * shared piece is in the buffer.
 */
#include "runtime/output-queue.h"

/* Smaller pieces are copied: a reference would cost a system call's vector and an allocation. */
#define SHARED_MIN_BYTES (16 * 1024)
/* Pieces that are passed to the kernel at once. */
#define VECTORS_MAX 8
/* Larger buffers are freed when they become empty.  Larger than frequent messages (heartbeats, reports,
 * answers), smaller than complete lists: a leader has hundreds of links. */
#define RETAINED_BUFFER_MAX_BYTES (32 * 1024)

struct _QuinceOutputQueue
{
  GQueue pieces;      /* GBytes, owned */
  GByteArray *buffer; /* follows the pieces */
  gsize offset;       /* bytes sent of the first piece, or of the buffer if there is none */
  gsize length;       /* bytes not sent */
};

QuinceOutputQueue *
quince_output_queue_new (void)
{
  QuinceOutputQueue *queue = g_new0 (QuinceOutputQueue, 1);
  g_queue_init (&queue->pieces);
  queue->buffer = g_byte_array_new ();
  return queue;
}

void
quince_output_queue_free (QuinceOutputQueue *queue)
{
  if (queue == NULL)
    return;
  g_queue_clear_full (&queue->pieces, (GDestroyNotify)g_bytes_unref);
  g_byte_array_unref (queue->buffer);
  g_free (queue);
}

gsize
quince_output_queue_get_length (const QuinceOutputQueue *queue)
{
  return queue->length;
}

/* Empties the buffer, and frees its memory if it is large. */
static void
clear_buffer (QuinceOutputQueue *queue)
{
  if (queue->buffer->len <= RETAINED_BUFFER_MAX_BYTES)
    {
      g_byte_array_set_size (queue->buffer, 0);
      return;
    }
  g_byte_array_unref (queue->buffer);
  queue->buffer = g_byte_array_new ();
}

void
quince_output_queue_clear (QuinceOutputQueue *queue)
{
  g_queue_clear_full (&queue->pieces, (GDestroyNotify)g_bytes_unref);
  clear_buffer (queue);
  queue->offset = 0;
  queue->length = 0;
}

/* Removes sent bytes from the buffer once they are at least half of it, to limit the bytes that are moved. */
static void
discard_sent_bytes (QuinceOutputQueue *queue)
{
  if (!g_queue_is_empty (&queue->pieces) || queue->offset == 0 || queue->offset < queue->length)
    return;
  g_byte_array_remove_range (queue->buffer, 0, (guint)queue->offset);
  queue->offset = 0;
}

void
quince_output_queue_append (QuinceOutputQueue *queue, gconstpointer data, gsize length)
{
  discard_sent_bytes (queue);
  g_byte_array_append (queue->buffer, data, (guint)length);
  queue->length += length;
}

void
quince_output_queue_append_bytes (QuinceOutputQueue *queue, GBytes *bytes, gsize offset)
{
  gsize size;
  const guint8 *data = g_bytes_get_data (bytes, &size);
  if (size - offset < SHARED_MIN_BYTES)
    {
      quince_output_queue_append (queue, data + offset, size - offset);
      return;
    }
  discard_sent_bytes (queue);
  if (queue->buffer->len > 0)
    {
      g_queue_push_tail (&queue->pieces, g_byte_array_free_to_bytes (queue->buffer));
      queue->buffer = g_byte_array_new ();
    }
  g_queue_push_tail (&queue->pieces, g_bytes_new_from_bytes (bytes, offset, size - offset));
  queue->length += size - offset;
}

/* Removes @sent bytes from the start. */
static void
remove_sent (QuinceOutputQueue *queue, gsize sent)
{
  queue->length -= sent;
  queue->offset += sent;
  while (!g_queue_is_empty (&queue->pieces))
    {
      gsize size = g_bytes_get_size (g_queue_peek_head (&queue->pieces));
      if (queue->offset < size)
        return;
      queue->offset -= size;
      g_bytes_unref (g_queue_pop_head (&queue->pieces));
    }
  if (queue->length > 0)
    return;
  queue->offset = 0;
  clear_buffer (queue);
}

/* Lists what is sent next.  Returns the number of vectors. */
static guint
fill_vectors (const QuinceOutputQueue *queue, GOutputVector *vectors)
{
  guint count = 0;
  gsize offset = queue->offset;
  for (const GList *piece = queue->pieces.head; piece != NULL && count < VECTORS_MAX; piece = piece->next)
    {
      gsize size;
      const guint8 *data = g_bytes_get_data (piece->data, &size);
      vectors[count++] = (GOutputVector){ .buffer = data + offset, .size = size - offset };
      offset = 0;
    }
  if (count < VECTORS_MAX && queue->buffer->len > offset)
    vectors[count++]
        = (GOutputVector){ .buffer = queue->buffer->data + offset, .size = queue->buffer->len - offset };
  return count;
}

gssize
quince_output_queue_send (QuinceOutputQueue *queue, GSocket *socket, GError **error)
{
  GOutputVector vectors[VECTORS_MAX];
  guint count = fill_vectors (queue, vectors);
  gssize sent = count == 1
                    ? g_socket_send (socket, vectors[0].buffer, vectors[0].size, NULL, error)
                    : g_socket_send_message (socket, NULL, vectors, (gint)count, NULL, 0, 0, NULL, error);
  if (sent > 0)
    remove_sent (queue, (gsize)sent);
  return sent;
}
