/*
 * result-queue.c: results that are ready and not appended to the ledger yet.
 */
#include "result-queue.h"

#include "core/batches/result-batching.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/packed-message.h"
#include "runtime/timer.h"

/* A result in the form in which the ledger stores it. */
typedef struct
{
  guint item;
  GBytes *body; /* owned */
  gint64 ready_us;
} QueuedResult;

/* The queued results of one training step, which is one batch. */
typedef struct
{
  QuinceResultQueue *queue;
  char *batch;
  gint64 due_us;
  GPtrArray *results; /* QueuedResult, owned, in the order in which they were ready */
  QuinceTimer *timer; /* next decision */
} StepResults;

struct _QuinceResultQueue
{
  /* All fields belong to the main context. */
  gint64 window_us;
  const QuinceResultQueueCallbacks *callbacks;
  gpointer user_data;
  GHashTable *steps; /* StepResults by batch id, owned */
};

static void
queued_result_free (gpointer data)
{
  QueuedResult *result = data;
  g_bytes_unref (result->body);
  g_free (result);
}

static void
step_results_free (gpointer data)
{
  StepResults *step = data;
  quince_timer_clear (&step->timer);
  g_ptr_array_unref (step->results);
  g_free (step->batch);
  g_free (step);
}

QuinceResultQueue *
quince_result_queue_new (gint64 window_us, const QuinceResultQueueCallbacks *callbacks, gpointer user_data)
{
  QuinceResultQueue *queue = g_new0 (QuinceResultQueue, 1);
  queue->window_us = window_us;
  queue->callbacks = callbacks;
  queue->user_data = user_data;
  queue->steps = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, step_results_free);
  return queue;
}

void
quince_result_queue_free (QuinceResultQueue *queue)
{
  if (queue == NULL)
    return;
  g_hash_table_unref (queue->steps);
  g_free (queue);
}

static void
append_result (QuinceResultQueue *queue, const char *batch, guint item, GBytes *body)
{
  gsize length;
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_LISTED };
  QuinceListedResult *listed = &record.QuinceBatchRecord_u.listed;
  listed->batch = (char *)batch;
  listed->item = item;
  listed->body.body_val = (char *)g_bytes_get_data (body, &length);
  listed->body.body_len = (u_int)length;
  queue->callbacks->append (&record, queue->user_data);
}

/* Appends all queued results of the step, and frees it. */
static void
flush_step (StepResults *step)
{
  QuinceResultQueue *queue = step->queue;
  gint64 now = quince_now_us ();
  for (guint i = 0; i < step->results->len; i++)
    {
      const QueuedResult *result = step->results->pdata[i];
      append_result (queue, step->batch, result->item, result->body);
      quince_metric_observe_us ("quince_replica_result_wait_seconds", "", now - result->ready_us);
    }
  if (step->results->len > 1)
    quince_metric_add ("quince_replica_results_batched_total", "", step->results->len);
  g_hash_table_remove (queue->steps, step->batch);
}

static gboolean
completes_step (const StepResults *step)
{
  g_autoptr (GArray) items = g_array_new (FALSE, FALSE, sizeof (guint));
  for (guint i = 0; i < step->results->len; i++)
    g_array_append_val (items, ((const QueuedResult *)step->results->pdata[i])->item);
  return step->queue->callbacks->completes_step (step->batch, items, step->queue->user_data);
}

static gboolean handle_decision_timer (gpointer data);

/* Appends the results of the step now, or decides again later. */
static void
append_or_wait (StepResults *step)
{
  QuinceResultQueue *queue = step->queue;
  const QueuedResult *oldest = step->results->pdata[0];
  const QuinceResultBatchingInput input
      = { .now_us = quince_now_us (),
          .ready_us = oldest->ready_us,
          .due_us = step->due_us,
          .window_us = queue->window_us,
          .next_ready_us = queue->callbacks->get_next_result_us (step->batch, queue->user_data),
          .completes_step = completes_step (step) };
  gint64 wait_us = quince_result_batching_wait_us (&input);
  quince_timer_clear (&step->timer);
  if (wait_us == 0)
    flush_step (step);
  else
    step->timer = quince_timer_add ((guint)(wait_us / 1000), handle_decision_timer, step);
}

static gboolean
handle_decision_timer (gpointer data)
{
  append_or_wait (data);
  return G_SOURCE_REMOVE;
}

static StepResults *
ensure_step (QuinceResultQueue *queue, const char *batch, gint64 due_us)
{
  StepResults *step = g_hash_table_lookup (queue->steps, batch);
  if (step != NULL)
    return step;
  step = g_new0 (StepResults, 1);
  step->queue = queue;
  step->batch = g_strdup (batch);
  step->due_us = due_us;
  step->results = g_ptr_array_new_with_free_func (queued_result_free);
  g_hash_table_insert (queue->steps, step->batch, step);
  return step;
}

void
quince_result_queue_add (QuinceResultQueue *queue, const QuinceBatchResult *result, gint64 due_us)
{
  g_autoptr (GBytes) body = quince_batch_result_pack (result);
  if (body == NULL)
    {
      quince_log_failure ("result_refused", "batch=%s item=%u reason=encoding", result->batch, result->item);
      return;
    }
  if (queue->window_us == 0 || due_us == 0)
    {
      append_result (queue, result->batch, result->item, body);
      return;
    }
  StepResults *step = ensure_step (queue, result->batch, due_us);
  QueuedResult *queued = g_new0 (QueuedResult, 1);
  queued->item = result->item;
  queued->body = g_steal_pointer (&body);
  queued->ready_us = quince_now_us ();
  g_ptr_array_add (step->results, queued);
  /* Results that are ready at the same time share one decision. */
  quince_timer_clear (&step->timer);
  step->timer = quince_timer_add (0, handle_decision_timer, step);
}

void
quince_result_queue_flush_batch (QuinceResultQueue *queue, const char *batch)
{
  StepResults *step = g_hash_table_lookup (queue->steps, batch);
  if (step != NULL)
    flush_step (step);
}
