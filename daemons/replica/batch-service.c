/*
 * batch-service.c: the batches that lie in the ledger, their samples, and when they are forgotten.
 */
#include "batch-service-private.h"

#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/packed-message.h"
#include "runtime/clock.h"

#include "batch-answers.h"
#include "step-demand.h"

#define FORGET_EVERY_MS 5000
/* Unpacked texts of results: those of the last few steps of three trainers (144 texts of 8 kB each), a
 * thirtieth of the memory of the smallest leaders (270 MB). */
#define RESULTS_UNPACKED_BYTES (8 * 1024 * 1024)

/* ---- What the book tells ---------------------------------------------- */

/* Samples of @model that are not listed, of batches that go on. */
static guint
open_samples (QuinceBatchService *service, const char *model)
{
  g_autoptr (GPtrArray) entries = quince_batch_book_list (service->book);
  guint count = 0;
  for (guint i = 0; i < entries->len; i++)
    {
      const QuinceBatchEntry *entry = entries->pdata[i];
      if (!entry->ended && g_str_equal (entry->batch->model, model))
        count += entry->batch->items.items_len - entry->results->len;
    }
  return count;
}

/* For logs: whether a record is read from the disk again, before this replica leads. */
static const char *
replayed (const QuinceBatchService *service)
{
  return service->runner == NULL ? "true" : "false";
}

static void
batch_submitted (QuinceBatchEntry *entry, gpointer data)
{
  QuinceBatchService *service = data;
  service->unlisted += entry->batch->items.items_len;
  quince_step_demand_note_batch (service->placement, entry->batch,
                                 open_samples (service, entry->batch->model));
  g_hash_table_remove (service->submitting, entry->batch->id);
  quince_residency_coordinator_settle (service->residency, entry->batch->id);
  quince_log_notice ("batch_taken",
                     "batch=%s model=%s step=%" G_GUINT64_FORMAT
                     " items=%u minimum_version=%" G_GUINT64_FORMAT " wanted_groups=%u replayed=%s",
                     entry->batch->id, entry->batch->model, (guint64)entry->batch->step,
                     entry->batch->items.items_len, (guint64)entry->batch->minimum_version,
                     entry->batch->wanted_groups, replayed (service));
  if (service->runner != NULL)
    quince_sample_runner_add (service->runner, entry);
}

/* Readers that wait for a result of this batch. */
static void
batch_listed (QuinceBatchEntry *entry, gpointer data)
{
  QuinceBatchService *service = data;
  service->unlisted--;
  for (guint i = service->waiters->len; i > 0; i--)
    {
      QuinceBatchWaiter *waiter = service->waiters->pdata[i - 1];
      if (waiter->index != 0 || waiter->position >= entry->results->len
          || !g_str_equal (waiter->batch, entry->batch->id))
        continue;
      quince_batch_answer_results (service->results, waiter->link, waiter->id, entry, waiter->position);
      g_ptr_array_remove_index_fast (service->waiters, i - 1);
    }
}

static void
batch_ended (QuinceBatchEntry *entry, gpointer data)
{
  QuinceBatchService *service = data;
  quince_log_notice ("batch_ended", "batch=%s listed=%u of=%u replayed=%s", entry->batch->id,
                     entry->results->len, entry->batch->items.items_len, replayed (service));
  if (service->runner == NULL)
    return;
  quince_step_demand_note_end (service->placement, entry->batch,
                               quince_sample_runner_route_of_batch (service->runner, entry->batch));
  quince_sample_runner_remove (service->runner, entry);
}

static void
batch_forgotten (QuinceBatchEntry *entry, gpointer data)
{
  QuinceBatchService *service = data;
  service->unlisted -= entry->batch->items.items_len - entry->results->len;
  quince_log_info ("batch_forgotten", "batch=%s", entry->batch->id);
  if (service->runner != NULL)
    quince_sample_runner_remove (service->runner, entry);
}

static const QuinceBatchBookCallbacks book_callbacks = { .submitted = batch_submitted,
                                                         .listed = batch_listed,
                                                         .ended = batch_ended,
                                                         .forgotten = batch_forgotten };

void
quince_batch_service_committed (QuinceBatchService *service, guint64 index, QuinceBatchRecord *record)
{
  if (service->book == NULL)
    service->book = quince_batch_book_new (&book_callbacks, service);
  gboolean submits
      = record->kind == QUINCE_BATCH_RECORD_SUBMIT || record->kind == QUINCE_BATCH_RECORD_SUBMIT_OF_TENANT;
  guint status = submits ? 202 : 200;
  quince_batch_book_apply (service->book, index, record);
  if (index != 0)
    quince_batch_calls_answer_committed (service, index, status);
}

/* ---- Samples ---------------------------------------------------------- */

static void
sample_result (const QuinceBatchResult *result, gpointer data)
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

static const QuinceSampleRunnerCallbacks runner_callbacks = { .result = sample_result, .may_run = may_run };

GPtrArray *
quince_batch_service_list (QuinceBatchService *service)
{
  return service->book != NULL ? quince_batch_book_list (service->book) : g_ptr_array_new ();
}

/* Progress of the batches that the machine @node (nullable) may know.  (transfer full): texts are not copied
 */
static GArray *
select_allowed (QuinceBatchService *service, const GArray *items, const char *node)
{
  GArray *allowed = g_array_new (FALSE, FALSE, sizeof (QuinceProgressItem));
  for (guint i = 0; node != NULL && i < items->len; i++)
    {
      const QuinceProgressItem *item = &g_array_index (items, QuinceProgressItem, i);
      const QuinceBatchEntry *entry = quince_batch_book_find (service->book, item->batch);
      if (entry != NULL
          && quince_residency_coordinator_allows (service->residency, node, entry->batch->host,
                                                  entry->batch->path, entry->tenant))
        g_array_append_val (allowed, *item);
    }
  return allowed;
}

static void
tell_allowed (QuinceBatchService *service, const GArray *items)
{
  g_autoptr (GArray) allowed
      = select_allowed (service, items, quince_ledger_node_get_successor_name (service->ledger));
  if (allowed->len == 0)
    return;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_PROGRESS };
  message.QuinceMessage_u.progress.items.items_val = (QuinceProgressItem *)allowed->data;
  message.QuinceMessage_u.progress.items.items_len = allowed->len;
  quince_ledger_node_tell_successor (service->ledger, &message);
}

void
quince_batch_service_tell_progress (QuinceBatchService *service)
{
  if (service->runner == NULL)
    return;
  guint64 successor = quince_ledger_node_get_successor (service->ledger);
  g_autoptr (GArray) items = g_array_new (FALSE, FALSE, sizeof (QuinceProgressItem));
  quince_sample_runner_collect (service->runner, successor != service->informed_successor, items);
  service->informed_successor = successor;
  if (items->len == 0)
    return;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_PROGRESS };
  message.QuinceMessage_u.progress.items.items_val = (QuinceProgressItem *)items->data;
  message.QuinceMessage_u.progress.items.items_len = items->len;
  tell_allowed (service, items);
  quince_progress_file_keep (service->progress_file, &message.QuinceMessage_u.progress);
}

void
quince_batch_service_take_progress (QuinceBatchService *service, const QuinceSampleProgress *progress)
{
  if (service->runner != NULL)
    quince_sample_runner_take_progress (service->runner, progress);
}

void
quince_batch_service_fill_load_plan (QuinceBatchService *service, QuinceLoadPlan *plan)
{
  if (service->runner != NULL)
    quince_sample_runner_fill_load_plan (service->runner, plan);
}

double
quince_batch_service_count_needed (QuinceBatchService *service, const char *of_service)
{
  return service->runner != NULL ? quince_sample_runner_count_needed (service->runner, of_service) : 0;
}

void
quince_batch_service_pump (QuinceBatchService *service)
{
  if (service->runner != NULL)
    quince_sample_runner_pump (service->runner);
}

void
quince_batch_service_set_metrics (QuinceBatchService *service)
{
  gboolean leads = service->runner != NULL;
  quince_metric_set ("quince_replica_batches", "",
                     service->book != NULL ? quince_batch_book_get_size (service->book) : 0);
  quince_metric_set ("quince_replica_samples_waiting", "",
                     leads ? quince_sample_runner_get_waiting (service->runner) : 0);
  quince_metric_set ("quince_replica_samples_running", "",
                     leads ? quince_sample_runner_get_running (service->runner) : 0);
}

/* ---- Forgetting ------------------------------------------------------- */

static void
forget (QuinceBatchService *service, const QuinceBatchEntry *entry)
{
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_FORGET };
  QuinceBatchForget *wire = &record.QuinceBatchRecord_u.forget;
  wire->batch = entry->batch->id;
  wire->indexes.indexes_val = (u_quad_t *)entry->indexes->data;
  wire->indexes.indexes_len = entry->indexes->len;
  quince_ledger_node_append (service->ledger, &record);
}

static gboolean
forget_old (gpointer data)
{
  QuinceBatchService *service = data;
  if (service->book == NULL || !quince_ledger_node_may_accept (service->ledger))
    return G_SOURCE_CONTINUE;
  g_autoptr (GPtrArray) entries = quince_batch_book_list (service->book);
  gint64 now_ms = quince_wall_ms ();
  for (guint i = 0; i < entries->len; i++)
    {
      const QuinceBatchEntry *entry = entries->pdata[i];
      gboolean closed = entry->ended || entry->results->len == entry->batch->items.items_len;
      gint64 age_us = (now_ms - (gint64)entry->batch->submitted_ms) * 1000;
      if (closed && age_us > service->keep_us)
        forget (service, entry);
    }
  return G_SOURCE_CONTINUE;
}

/* ---- Leadership ------------------------------------------------------- */

void
quince_batch_service_lead (QuinceBatchService *service)
{
  if (service->book == NULL)
    service->book = quince_batch_book_new (&book_callbacks, service);
  service->runner = quince_sample_runner_new (service->backends, service->observer, service->progress,
                                              &runner_callbacks, service);
  g_autoptr (GPtrArray) entries = quince_batch_book_list (service->book);
  for (guint i = 0; i < entries->len; i++)
    {
      QuinceBatchEntry *entry = entries->pdata[i];
      if (!entry->ended)
        quince_sample_runner_add (service->runner, entry);
    }
  g_autoptr (GArray) known = g_array_new (FALSE, FALSE, sizeof (QuinceProgressItem));
  quince_progress_store_list (service->progress, quince_now_us (), known);
  if (known->len == 0 && service->unlisted > 0)
    quince_sample_runner_await_progress (service->runner);
  service->forget_timer = quince_timer_add (FORGET_EVERY_MS, forget_old, service);
}

void
quince_batch_service_stop_leading (QuinceBatchService *service)
{
  quince_source_clear (&service->forget_timer);
  g_clear_pointer (&service->runner, quince_sample_runner_free);
  quince_batch_calls_end_all (service);
  g_hash_table_remove_all (service->submitting);
  quince_residency_coordinator_settle (service->residency, NULL);
  g_clear_pointer (&service->book, quince_batch_book_free);
  service->unlisted = 0;
  /* It may not lead again for long. */
  quince_result_cache_free (service->results);
  service->results = quince_result_cache_new (RESULTS_UNPACKED_BYTES);
}

QuinceBatchService *
quince_batch_service_new (QuinceBackends *backends,
                          QuinceObserver *observer,
                          QuinceModelPlacement *placement,
                          QuinceProgressStore *progress,
                          gint64 keep_us)
{
  QuinceBatchService *service = g_new0 (QuinceBatchService, 1);
  service->backends = backends;
  service->observer = observer;
  service->placement = placement;
  service->progress = progress;
  service->keep_us = keep_us;
  service->submitting = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  service->waiters = g_ptr_array_new_with_free_func (quince_batch_waiter_free);
  service->results = quince_result_cache_new (RESULTS_UNPACKED_BYTES);
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
}

void
quince_batch_service_free (QuinceBatchService *service)
{
  if (service == NULL)
    return;
  quince_source_clear (&service->forget_timer);
  quince_sample_runner_free (service->runner);
  g_ptr_array_unref (service->waiters);
  g_hash_table_unref (service->submitting);
  quince_batch_book_free (service->book);
  quince_result_cache_free (service->results);
  g_free (service);
}
