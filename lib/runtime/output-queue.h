/*
 * output-queue.h: bytes that wait to be sent on a socket.
 *
 * Small pieces are copied into one buffer, so that they leave in one write.  Large ones are shared with their
 * owners: a request, its retries and the frames that carry it refer to the same bytes.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

typedef struct _QuinceOutputQueue QuinceOutputQueue;

QuinceOutputQueue *quince_output_queue_new (void);
void quince_output_queue_free (QuinceOutputQueue *queue);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceOutputQueue, quince_output_queue_free)

/* Appends a copy of @data. */
void quince_output_queue_append (QuinceOutputQueue *queue, gconstpointer data, gsize length);
/* Appends @bytes from @offset on, and refers to them until they are sent if they are large. */
void quince_output_queue_append_bytes (QuinceOutputQueue *queue, GBytes *bytes, gsize offset);
/* Returns the number of bytes that were appended and not sent. */
gsize quince_output_queue_get_length (const QuinceOutputQueue *queue);
/**
 * quince_output_queue_send:
 * @error: (out): G_IO_ERROR_WOULD_BLOCK if the kernel takes nothing now, or another error of the socket
 *
 * Passes bytes to the kernel once.  Call with a queue that is not empty.
 *
 * Returns: the number of bytes sent, or -1 with @error
 */
gssize quince_output_queue_send (QuinceOutputQueue *queue, GSocket *socket, GError **error);
/* Drops all bytes, and the references to them. */
void quince_output_queue_clear (QuinceOutputQueue *queue);

G_END_DECLS
