/*
 * batch-service.c: the batches in the ledger, their samples, and the deletion of old batches.
 */
#include "batch-service.h"

#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/packed-message.h"
#include "runtime/clock.h"
#include "runtime/timer.h"

#include "batch-answers.h"
#include "batch-calls.h"
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
  /* These are owned: */
  QuinceBatchTable *table; /* NULL at a backup; created when a new leader reads its log */
  QuinceBatchCalls *calls;
  QuinceSampleRunner *runner; /* NULL: not leading */
  QuinceTimer *forget_timer;
  guint64 synced_successor;     /* successor number that all progress was sent to; 0: none */
  guint samples_without_result; /* over all batches, ended ones included */
  gint64 retention_us;
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
  service->samples_without_result--;
  quince_batch_calls_result_added (service->calls, entry);
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

void
quince_batch_service_handle_call (QuinceBatchService *service,
                                  QuinceLink *link,
                                  const QuinceServiceCall *call)
{
  /* The table is incomplete while a new leader reads its log. */
  if (service->runner == NULL || !quince_ledger_node_may_answer (service->ledger))
    quince_batch_answer_status (link, call->id, 503);
  else
    quince_batch_calls_handle_call (service->calls, service->samples_without_result, link, call);
}

void
quince_batch_service_link_closed (QuinceBatchService *service, QuinceLink *link)
{
  quince_batch_calls_link_closed (service->calls, link);
}

/* ---- Samples ---------------------------------------------------------- */

static void
append_result (const QuinceBatchResult *result, gpointer data)
{
  QuinceBatchService *service = data;
  g_autoptr (GBytes) body = quince_batch_result_pack (result);
  if (body == NULL)
    {
      quince_log_failure ("result_refused", "batch=%s item=%u reason=encoding", result->batch, result->item);
      return;
    }
  gsize length;
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_LISTED };
  QuinceListedResult *listed = &record.QuinceBatchRecord_u.listed;
  listed->batch = result->batch;
  listed->item = result->item;
  listed->body.body_val = (char *)g_bytes_get_data (body, &length);
  listed->body.body_len = (u_int)length;
  quince_ledger_node_append (service->ledger, &record);
}

static gboolean
may_run (gpointer data)
{
  QuinceBatchService *service = data;
  return quince_ledger_node_may_answer (service->ledger);
}

static const QuinceSampleRunnerCallbacks runner_callbacks = { .result = append_result, .may_run = may_run };

GPtrArray *
quince_batch_service_list (QuinceBatchService *service)
{
  return service->table != NULL ? quince_batch_table_list (service->table) : g_ptr_array_new ();
}

/* Returns: (transfer full): the items whose batches may be sent to the machine @node under their residency
 * rules; none if @node is %NULL.  The texts are borrowed from @items. */
static GArray *
select_allowed_progress (QuinceBatchService *service, const GArray *items, const char *node)
{
  GArray *allowed = g_array_new (FALSE, FALSE, sizeof (QuinceProgressItem));
  for (guint i = 0; node != NULL && i < items->len; i++)
    {
      const QuinceProgressItem *item = &g_array_index (items, QuinceProgressItem, i);
      const QuinceBatchEntry *entry = quince_batch_table_find (service->table, item->batch);
      if (entry != NULL
          && quince_residency_coordinator_is_allowed (service->residency, node, entry->batch->host,
                                                      entry->batch->path, entry->tenant))
        g_array_append_val (allowed, *item);
    }
  return allowed;
}

static void
send_allowed_progress (QuinceBatchService *service, const GArray *items)
{
  g_autoptr (GArray) allowed
      = select_allowed_progress (service, items, quince_ledger_node_get_successor_name (service->ledger));
  if (allowed->len == 0)
    return;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_PROGRESS };
  message.QuinceMessage_u.progress.items.items_val = (QuinceProgressItem *)allowed->data;
  message.QuinceMessage_u.progress.items.items_len = allowed->len;
  quince_ledger_node_send_to_successor (service->ledger, &message);
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
  if (items->len == 0)
    return;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_PROGRESS };
  message.QuinceMessage_u.progress.items.items_val = (QuinceProgressItem *)items->data;
  message.QuinceMessage_u.progress.items.items_len = items->len;
  send_allowed_progress (service, items);
  quince_progress_file_append (service->progress_file, &message.QuinceMessage_u.progress);
}

void
quince_batch_service_apply_progress (QuinceBatchService *service, const QuinceSampleProgress *progress)
{
  if (service->runner != NULL)
    quince_sample_runner_apply_progress (service->runner, progress);
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
  g_autoptr (GPtrArray) entries = quince_batch_table_list (service->table);
  for (guint i = 0; i < entries->len; i++)
    {
      QuinceBatchEntry *entry = entries->pdata[i];
      if (!entry->ended)
        quince_sample_runner_add (service->runner, entry);
    }
  g_autoptr (GArray) known_progress = g_array_new (FALSE, FALSE, sizeof (QuinceProgressItem));
  quince_progress_store_list_recent (service->progress, quince_now_us (), known_progress);
  if (known_progress->len == 0 && service->samples_without_result > 0)
    quince_sample_runner_await_progress (service->runner);
  service->forget_timer = quince_timer_add (FORGET_INTERVAL_MS, forget_old_batches, service);
}

void
quince_batch_service_stop_leading (QuinceBatchService *service)
{
  quince_timer_clear (&service->forget_timer);
  g_clear_pointer (&service->runner, quince_sample_runner_free);
  quince_batch_calls_stop_leading (service->calls);
  quince_residency_coordinator_remove_admitted (service->residency, NULL);
  g_clear_pointer (&service->table, quince_batch_table_free);
  service->samples_without_result = 0;
}

QuinceBatchService *
quince_batch_service_new (QuinceBackends *backends,
                          QuinceObserver *observer,
                          QuinceModelPlacement *placement,
                          QuinceProgressStore *progress,
                          gint64 retention_us)
{
  QuinceBatchService *service = g_new0 (QuinceBatchService, 1);
  service->backends = backends;
  service->observer = observer;
  service->placement = placement;
  service->progress = progress;
  service->retention_us = retention_us;
  service->calls = quince_batch_calls_new ();
  return service;
}

void
quince_batch_service_set_ledger (QuinceBatchService *service,
                                 QuinceLedgerNode *ledger,
                                 QuinceProgressFile *progress_file,
                                 QuinceResidencyCoordinator *residency)
{
  service->ledger = ledger;
  service->residency = residency;
  service->progress_file = progress_file;
  quince_batch_calls_set_ledger (service->calls, ledger, residency);
}

void
quince_batch_service_free (QuinceBatchService *service)
{
  if (service == NULL)
    return;
  quince_timer_clear (&service->forget_timer);
  quince_sample_runner_free (service->runner);
  quince_batch_calls_free (service->calls);
  quince_batch_table_free (service->table);
  g_free (service);
}
