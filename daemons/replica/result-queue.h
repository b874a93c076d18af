/*
 * result-queue.h: results that are ready and not appended to the ledger yet.
 *
 * The leader appends a result at once, or together with the next results of its step; see
 * core/batches/result-batching.h.  A queued result is lost with the leader: the next one resumes the sample
 * from its replicated text and repeats the reward call.
 */
#pragma once

#include "protocol/codec.h"

typedef struct _QuinceResultQueue QuinceResultQueue;

/**
 * QuinceResultQueueCallbacks:
 * @append: appends @record to the ledger
 * @get_next_result_us: returns when the next result of @batch is expected, monotonic, us; 0: none is expected
 * @completes_step: returns whether @items (element-type guint) and the listed results of @batch complete as
 *   many groups as the trainer waits for
 */
typedef struct
{
  void (*append) (const QuinceBatchRecord *record, gpointer user_data);
  gint64 (*get_next_result_us) (const char *batch, gpointer user_data);
  gboolean (*completes_step) (const char *batch, const GArray *items, gpointer user_data);
} QuinceResultQueueCallbacks;

/* @window_us: maximum time for which a result waits for the next ones, us; 0: results do not wait
 * @callbacks: not copied; must outlive the queue */
QuinceResultQueue *
quince_result_queue_new (gint64 window_us, const QuinceResultQueueCallbacks *callbacks, gpointer user_data);
/* Drops all queued results. */
void quince_result_queue_free (QuinceResultQueue *queue);
/* Adds a result and appends it now or later.  A result that cannot be encoded is logged and dropped.
 * @due_us: when the step of the result is due, monotonic, us; 0: the result does not wait */
void quince_result_queue_add (QuinceResultQueue *queue, const QuinceBatchResult *result, gint64 due_us);
/* Appends the queued results of @batch now.  Call before the end of the batch is appended, so that results
 * that are ready are listed. */
void quince_result_queue_flush_batch (QuinceResultQueue *queue, const char *batch);
