/*
 * batch-service.c: the batches in the ledger, their samples, and the deletion of old batches.
 */
#include "batch-service.h"

#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/clock.h"
#include "runtime/timer.h"

#include "batch-calls.h"
#include "call-refusals.h"
#include "result-queue.h"
#include "sample-shares.h"
#include "step-demand.h"

/* Interval of the check for batches past their retention (ledger.keep). */
#define FORGET_INTERVAL_MS 5000

struct _QuinceBatchService
{
  /* All fields belong to the main context.  These are borrowed: */
  QuinceLedgerNode *ledger;
  QuinceBackends *backends;
  QuinceObserver *observer;
  QuinceModelPlacement *placement;
  QuinceProgressStore *progress;
  QuinceProgressFile *progress_file;
  QuinceResidencyCoordinator *residency;
  QuinceProgressCopies *copies;
  QuinceBatchMemory *memory;
  /* These are owned: */
  QuinceBatchTable *table; /* NULL at a backup; created when a new leader reads its log */
  QuinceBatchCalls *calls;
  QuinceCallRefusals *refusals;
  QuinceSampleRunner *runner; /* NULL: not leading */
  QuinceResultQueue *results; /* NULL: not leading */
  QuinceTimer *forget_timer;
  guint64 synced_successor;     /* successor number that all progress was sent to; 0: none */
  guint samples_without_result; /* over all batches, ended ones included */
  gint64 retention_us;
  gint64 result_window_us;
};

/* ---- Events of the table ------------------------------------------------- */

/* Returns the number of samples of @model without a result, in batches that are not ended. */
static guint
count_open_samples (QuinceBatchService *service, const char *model)
{
  g_autoptr (GPtrArray) entries = quince_batch_table_list (service->table);
  guint count = 0;
  for (guint i = 0; i < entries->len; i++)
    {
      const QuinceBatchEntry *entry = entries->pdata[i];
      if (!entry->ended && g_str_equal (entry->batch->model, model))
        count += entry->batch->items.items_len - entry->results->len;
    }
  return count;
}

/* Returns the value of the log key "replayed": "true" while a new leader reads its log from disk. */
static const char *
format_replayed (const QuinceBatchService *service)
{
  return service->runner == NULL ? "true" : "false";
}

static void
batch_submitted (QuinceBatchEntry *entry, gpointer data)
{
  QuinceBatchService *service = data;
  service->samples_without_result += entry->batch->items.items_len;
  quince_batch_memory_record_batch (service->memory, entry->batch);
  quince_step_demand_record_batch (service->placement, entry->batch,
                                   count_open_samples (service, entry->batch->model));
  quince_batch_calls_submission_committed (service->calls, entry->batch->id);
  quince_residency_coordinator_remove_admitted (service->residency, entry->batch->id);
  quince_log_notice ("batch_taken",
                     "batch=%s model=%s step=%" G_GUINT64_FORMAT
                     " items=%u minimum_version=%" G_GUINT64_FORMAT " wanted_groups=%u replayed=%s",
                     entry->batch->id, entry->batch->model, (guint64)entry->batch->step,
                     entry->batch->items.items_len, (guint64)entry->batch->minimum_version,
                     entry->batch->wanted_groups, format_replayed (service));
  if (service->runner != NULL)
    quince_sample_runner_add (service->runner, entry);
}

static void
batch_result_added (QuinceBatchEntry *entry, gpointer data)
{
  QuinceBatchService *service = data;
  const QuinceEncodedResult *result = entry->results->pdata[entry->results->len - 1];
  service->samples_without_result--;
  quince_batch_memory_record_result (service->memory, entry->batch->id, g_bytes_get_size (result->body));
  quince_batch_calls_handle_result (service->calls);
}

static void
batch_ended (QuinceBatchEntry *entry, gpointer data)
{
  QuinceBatchService *service = data;
  quince_log_notice ("batch_ended", "batch=%s listed=%u of=%u replayed=%s", entry->batch->id,
                     entry->results->len, entry->batch->items.items_len, format_replayed (service));
  if (service->runner == NULL)
    return;
  quince_step_demand_record_end (service->placement, entry->batch,
                                 quince_sample_runner_get_batch_route (service->runner, entry->batch));
  quince_sample_shares_record_step (service->backends, entry->batch,
                                    quince_sample_runner_get_batch_route (service->runner, entry->batch));
  quince_sample_runner_remove (service->runner, entry);
}

static void
batch_forgotten (QuinceBatchEntry *entry, gpointer data)
{
  QuinceBatchService *service = data;
  service->samples_without_result -= entry->batch->items.items_len - entry->results->len;
  quince_log_info ("batch_forgotten", "batch=%s", entry->batch->id);
  quince_batch_memory_forget (service->memory, entry->batch->id);
  if (service->runner != NULL)
    quince_sample_runner_remove (service->runner, entry);
}

static const QuinceBatchTableCallbacks batch_table_callbacks = { .submitted = batch_submitted,
                                                                 .result_added = batch_result_added,
                                                                 .ended = batch_ended,
                                                                 .forgotten = batch_forgotten };

static void
ensure_table (QuinceBatchService *service)
{
  if (service->table != NULL)
    return;
  service->table = quince_batch_table_new (&batch_table_callbacks, service);
  quince_batch_calls_set_table (service->calls, service->table);
}

void
quince_batch_service_apply_record (QuinceBatchService *service, guint64 index, QuinceBatchRecord *record)
{
  ensure_table (service);
  gboolean is_submission
      = record->kind == QUINCE_BATCH_RECORD_SUBMIT || record->kind == QUINCE_BATCH_RECORD_SUBMIT_OF_TENANT;
  guint status = is_submission ? 202 : 200;
  quince_batch_table_apply (service->table, index, record);
  if (index != 0)
    quince_batch_calls_record_committed (service->calls, index, status);
}

/* ---- Calls of fronts ----------------------------------------------------- */

/* Returns why no call is answered now. */
static QuinceLedgerRefusal
get_refusal (const QuinceBatchService *service)
{
  /* The table is incomplete while a new leader reads its log. */
  QuinceLedgerRefusal refusal = quince_ledger_node_get_answer_refusal (service->ledger);
  if (refusal == QUINCE_LEDGER_REFUSAL_NONE && service->runner == NULL)
    refusal = QUINCE_LEDGER_REFUSAL_LOG_UNREAD;
  return refusal;
}

void
quince_batch_service_handle_call (QuinceBatchService *service, QuinceLink *link, QuinceServiceCall *call)
{
  QuinceLedgerRefusal refusal = get_refusal (service);
  if (refusal != QUINCE_LEDGER_REFUSAL_NONE)
    quince_call_refusals_answer (service->refusals, link, call->id, refusal, NULL);
  else
    quince_batch_calls_handle_call (service->calls, service->samples_without_result, link, call);
}

gboolean
quince_batch_service_admit_call (QuinceBatchService *service,
                                 QuinceLink *link,
                                 guint64 call_id,
                                 gsize frame_bytes,
                                 QuinceMemoryHold **hold)
{
  QuinceLedgerRefusal refusal = get_refusal (service);
  if (refusal == QUINCE_LEDGER_REFUSAL_NONE)
    return quince_batch_calls_admit (service->calls, link, call_id, frame_bytes, hold);
  quince_call_refusals_answer (service->refusals, link, call_id, refusal, NULL);
  return FALSE;
}

void
quince_batch_service_link_closed (QuinceBatchService *service, QuinceLink *link)
{
  quince_batch_calls_link_closed (service->calls, link);
}

/* ---- Samples ---------------------------------------------------------- */

/* Returns when the training step of @entry is due, monotonic, us; 0 if it is no step or has no deadline. */
static gint64
get_step_due_us (QuinceBatchService *service, const QuinceBatchEntry *entry)
{
  const QuinceRoute *route = quince_sample_runner_get_batch_route (service->runner, entry->batch);
  if (entry->batch->wanted_groups == 0 || route == NULL || route->deadline_ms == 0)
    return 0;
  gint64 due_in_ms = (gint64)entry->batch->submitted_ms + route->deadline_ms - quince_wall_ms ();
  return quince_now_us () + due_in_ms * 1000;
}

static void
queue_result (const QuinceBatchResult *result, gpointer data)
{
  QuinceBatchService *service = data;
  const QuinceBatchEntry *entry = quince_batch_table_find (service->table, result->batch);
  quince_result_queue_add (service->results, result, entry != NULL ? get_step_due_us (service, entry) : 0);
}

static void
append_result_record (const QuinceBatchRecord *record, gpointer data)
{
  QuinceBatchService *service = data;
  quince_ledger_node_append (service->ledger, record);
}

static gint64
get_next_result_us (const char *batch, gpointer data)
{
  QuinceBatchService *service = data;
  return quince_sample_runner_get_next_result_us (service->runner, batch);
}

static gboolean
completes_step (const char *batch, const GArray *items, gpointer data)
{
  QuinceBatchService *service = data;
  const QuinceBatchEntry *entry = quince_batch_table_find (service->table, batch);
  return entry == NULL
         || quince_batch_entry_count_complete_groups (entry, items) >= entry->batch->wanted_groups;
}

static const QuinceResultQueueCallbacks result_callbacks = { .append = append_result_record,
                                                             .get_next_result_us = get_next_result_us,
                                                             .completes_step = completes_step };

static gboolean
may_run (gpointer data)
{
  QuinceBatchService *service = data;
  return quince_ledger_node_may_answer (service->ledger);
}

static const QuinceSampleRunnerCallbacks runner_callbacks = { .result = queue_result, .may_run = may_run };

GPtrArray *
quince_batch_service_list (QuinceBatchService *service)
{
  return service->table != NULL ? quince_batch_table_list (service->table) : g_ptr_array_new ();
}

void
quince_batch_service_send_progress (QuinceBatchService *service)
{
  if (service->runner == NULL)
    return;
  guint64 successor = quince_ledger_node_get_successor_serial (service->ledger);
  g_autoptr (GArray) items = g_array_new (FALSE, FALSE, sizeof (QuinceProgressItem));
  quince_sample_runner_collect_progress (service->runner, successor != service->synced_successor, items);
  service->synced_successor = successor;
  quince_progress_copies_send_further (service->copies, service->runner);
  if (items->len == 0)
    return;
  quince_progress_copies_send_to_successor (service->copies, service->table, items);
  QuinceSampleProgress progress = { 0 };
  progress.items.items_val = (QuinceProgressItem *)items->data;
  progress.items.items_len = items->len;
  quince_progress_file_append (service->progress_file, &progress);
}

void
quince_batch_service_apply_progress (QuinceBatchService *service, const QuinceSampleProgress *progress)
{
  if (service->runner == NULL)
    return;
  guint n_taken = quince_sample_runner_apply_progress (service->runner, progress);
  if (quince_progress_copies_is_complete_with_offers (service->copies, n_taken))
    quince_sample_runner_end_progress_wait (service->runner);
}

void
quince_batch_service_fill_load_plan (QuinceBatchService *service, QuinceLoadPlan *plan)
{
  if (service->runner != NULL)
    quince_sample_runner_fill_load_plan (service->runner, plan);
}

double
quince_batch_service_get_slots_needed (QuinceBatchService *service, const char *service_name)
{
  return service->runner != NULL ? quince_sample_runner_get_slots_needed (service->runner, service_name) : 0;
}

void
quince_batch_service_check_samples (QuinceBatchService *service)
{
  if (service->runner != NULL)
    quince_sample_runner_check_samples (service->runner);
}

void
quince_batch_service_set_metrics (QuinceBatchService *service)
{
  gboolean is_leading = service->runner != NULL;
  quince_batch_memory_set_metrics (service->memory);
  quince_metric_set ("quince_replica_batches", "",
                     service->table != NULL ? quince_batch_table_get_size (service->table) : 0);
  quince_metric_set ("quince_replica_samples_waiting", "",
                     is_leading ? quince_sample_runner_get_n_waiting (service->runner) : 0);
  quince_metric_set ("quince_replica_samples_running", "",
                     is_leading ? quince_sample_runner_get_n_running (service->runner) : 0);
  if (is_leading)
    quince_sample_runner_set_metrics (service->runner);
  else
    quince_sample_shares_clear_metrics (service->backends);
}

/* ---- Retention -------------------------------------------------------- */

static void
append_forget_record (QuinceBatchService *service, const QuinceBatchEntry *entry)
{
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_FORGET };
  QuinceBatchForget *wire = &record.QuinceBatchRecord_u.forget;
  wire->batch = entry->batch->id;
  wire->indexes.indexes_val = (u_quad_t *)entry->indexes->data;
  wire->indexes.indexes_len = entry->indexes->len;
  quince_ledger_node_append (service->ledger, &record);
}

static gboolean
forget_old_batches (gpointer data)
{
  QuinceBatchService *service = data;
  if (service->table == NULL || !quince_ledger_node_may_accept (service->ledger))
    return G_SOURCE_CONTINUE;
  g_autoptr (GPtrArray) entries = quince_batch_table_list (service->table);
  gint64 now_ms = quince_wall_ms ();
  for (guint i = 0; i < entries->len; i++)
    {
      const QuinceBatchEntry *entry = entries->pdata[i];
      gboolean closed = entry->ended || entry->results->len == entry->batch->items.items_len;
      gint64 age_us = (now_ms - (gint64)entry->batch->submitted_ms) * 1000;
      if (closed && age_us > service->retention_us)
        append_forget_record (service, entry);
    }
  return G_SOURCE_CONTINUE;
}

/* ---- Leadership ------------------------------------------------------- */

void
quince_batch_service_start_leading (QuinceBatchService *service)
{
  ensure_table (service);
  service->runner = quince_sample_runner_new (service->backends, service->observer, service->progress,
                                              &runner_callbacks, service);
  service->results = quince_result_queue_new (service->result_window_us, &result_callbacks, service);
  quince_batch_calls_set_results (service->calls, service->results);
  g_autoptr (GPtrArray) entries = quince_batch_table_list (service->table);
  for (guint i = 0; i < entries->len; i++)
    {
      QuinceBatchEntry *entry = entries->pdata[i];
      if (!entry->ended)
        quince_sample_runner_add (service->runner, entry);
    }
  if (service->samples_without_result > 0
      && !quince_progress_copies_is_complete (service->copies, service->progress))
    quince_sample_runner_await_progress (service->runner);
  service->forget_timer = quince_timer_add (FORGET_INTERVAL_MS, forget_old_batches, service);
}

void
quince_batch_service_stop_leading (QuinceBatchService *service)
{
  quince_timer_clear (&service->forget_timer);
  quince_batch_calls_set_results (service->calls, NULL);
  g_clear_pointer (&service->results, quince_result_queue_free);
  g_clear_pointer (&service->runner, quince_sample_runner_free);
  quince_batch_calls_stop_leading (service->calls);
  quince_residency_coordinator_remove_admitted (service->residency, NULL);
  g_clear_pointer (&service->table, quince_batch_table_free);
  quince_batch_memory_clear (service->memory);
  service->samples_without_result = 0;
}

QuinceBatchService *
quince_batch_service_new (QuinceBackends *backends,
                          QuinceObserver *observer,
                          QuinceModelPlacement *placement,
                          QuinceProgressStore *progress,
                          gint64 retention_us,
                          gint64 result_window_us)
{
  QuinceBatchService *service = g_new0 (QuinceBatchService, 1);
  service->backends = backends;
  service->observer = observer;
  service->placement = placement;
  service->progress = progress;
  service->retention_us = retention_us;
  service->result_window_us = result_window_us;
  service->refusals = quince_call_refusals_new ();
  service->calls = quince_batch_calls_new (service->refusals);
  return service;
}

void
quince_batch_service_set_ledger (QuinceBatchService *service,
                                 QuinceLedgerNode *ledger,
                                 QuinceProgressFile *progress_file,
                                 QuinceResidencyCoordinator *residency,
                                 QuinceProgressCopies *copies,
                                 QuinceBatchMemory *memory)
{
  service->ledger = ledger;
  service->residency = residency;
  service->progress_file = progress_file;
  service->copies = copies;
  service->memory = memory;
  quince_call_refusals_set_ledger (service->refusals, ledger);
  quince_batch_calls_set_ledger (service->calls, ledger, residency, memory);
}

void
quince_batch_service_free (QuinceBatchService *service)
{
  if (service == NULL)
    return;
  quince_timer_clear (&service->forget_timer);
  quince_result_queue_free (service->results);
  quince_sample_runner_free (service->runner);
  quince_batch_calls_free (service->calls);
  quince_call_refusals_free (service->refusals);
  quince_batch_table_free (service->table);
  g_free (service);
}
