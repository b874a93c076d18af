/*
 * sample-runner.c: which samples there are, and when each is looked at.
 *
 * Samples begin in the order of their batches, since the next step waits for the oldest one; within a batch
 * those begin first that take longest, since a trainer waits for whole groups.
 */
#include "sample-runner-private.h"

#include <string.h>

#include "runtime/log.h"
#include "forward/residency-lookup.h"
#include "runtime/clock.h"
#include "core/scaling/scale-plan.h"

#define PUMP_EVERY_MS 100
/* Members that follow a new leader link to it within some ms, and a few hundred half texts are told in some
 * tens; a sample that begins anew loses up to its whole text, seconds. */
#define PROGRESS_WAIT_MS 200

/* ---- Routes and lengths ------------------------------------------------- */

const QuinceRoute *
quince_sample_runner_find_route (const QuinceSampleRunner *runner, const char *host, const char *path)
{
  QuinceRouteTable *routes = quince_observer_get_routes (runner->observer);
  return routes != NULL ? quince_route_table_find (routes, host, path) : NULL;
}

const QuinceRoute *
quince_sample_runner_route_of_batch (const QuinceSampleRunner *runner, const QuinceBatchJob *batch)
{
  return quince_sample_runner_find_route (runner, batch->host, batch->path);
}

void
quince_sample_runner_get_residency (const QuinceSampleRunner *runner,
                                    const QuinceBatchEntry *entry,
                                    QuinceResidency *residency)
{
  *residency = (QuinceResidency){ NULL, NULL };
  if (!quince_backends_has_region_rules (runner->backends))
    return;
  const QuinceRoute *route = quince_sample_runner_route_of_batch (runner, entry->batch);
  if (route == NULL)
    return; /* nothing of it is sent then */
  const QuinceTenantTable *tenants
      = quince_route_table_get_tenants (quince_observer_get_routes (runner->observer));
  const QuinceTenant *tenant = tenants != NULL ? quince_tenant_table_find (tenants, entry->tenant) : NULL;
  quince_route_get_residency (route, tenant, residency);
}

QuinceLengthModel *
quince_sample_runner_get_lengths (QuinceSampleRunner *runner, const char *model)
{
  QuinceLengthModel *lengths = g_hash_table_lookup (runner->lengths, model);
  if (lengths == NULL)
    {
      lengths = quince_length_model_new ();
      g_hash_table_insert (runner->lengths, g_strdup (model), lengths);
    }
  return lengths;
}

/* ---- The pump --------------------------------------------------------- */

/* What samples share that find the same workers full: a batch that may not go everywhere stands for itself.
 */
static const char *
room_key (const QuinceSampleRunner *runner, const QuinceSample *sample)
{
  QuinceResidency residency;
  quince_sample_runner_get_residency (runner, sample->entry, &residency);
  return quince_residency_is_free (&residency) ? sample->entry->batch->model : sample->entry->batch->id;
}

static gboolean
is_over (const QuinceSample *sample, gint64 now_us)
{
  return sample->state == QUINCE_SAMPLE_WAITING && quince_sample_is_late (sample->give_up_us, now_us);
}

/* No worker has room: other samples of the model need not be tried in this round. */
static gboolean
blocks_model (QuinceBackendOutcome outcome)
{
  return outcome == QUINCE_BACKEND_FULL || outcome == QUINCE_BACKEND_COLD
         || outcome == QUINCE_BACKEND_ZONES_UNKNOWN;
}

void
quince_sample_runner_pump (QuinceSampleRunner *runner)
{
  if (!runner->callbacks->may_run (runner->user_data))
    return;
  gint64 now = quince_now_us ();
  if (now < runner->begin_after_us)
    return;
  /* Moves come first: a sample that leaves a slow worker frees a slot there for one that waits. */
  quince_sample_dispatch_move (runner, now);
  g_autoptr (GHashTable) full
      = g_hash_table_new (g_str_hash, g_str_equal); /* models and batches without room */
  runner->waiting = 0;
  /* Handing a sample over takes it out of the array. */
  for (guint i = 0; i < runner->samples->len;)
    {
      QuinceSample *sample = runner->samples->pdata[i];
      if (is_over (sample, now))
        {
          quince_sample_outcome_give_up (runner, sample, "time_is_up");
          continue;
        }
      i++;
      if (sample->state == QUINCE_SAMPLE_SCORING && sample->reward == NULL && now >= sample->not_before_us)
        quince_sample_outcome_begin_reward (runner, sample);
      if (sample->state != QUINCE_SAMPLE_WAITING)
        continue;
      runner->waiting++;
      const char *key = room_key (runner, sample);
      if (now < sample->not_before_us || g_hash_table_contains (full, key))
        continue;
      QuinceBackendOutcome outcome = quince_sample_dispatch (runner, sample, now);
      if (blocks_model (outcome) && sample->avoid_worker == NULL)
        g_hash_table_add (full, (char *)key);
    }
}

static gboolean
pump_now (gpointer data)
{
  QuinceSampleRunner *runner = data;
  quince_source_clear (&runner->soon);
  quince_sample_runner_pump (runner);
  return G_SOURCE_REMOVE;
}

void
quince_sample_runner_pump_after (QuinceSampleRunner *runner, guint wait_ms)
{
  if (runner->soon == NULL)
    runner->soon = quince_timer_add (wait_ms, pump_now, runner);
}

void
quince_sample_runner_pump_soon (QuinceSampleRunner *runner)
{
  quince_sample_runner_pump_after (runner, 0);
}

static gboolean
timer_over (gpointer data)
{
  QuinceSampleRunner *runner = data;
  if (runner->samples->len > 0)
    quince_sample_runner_pump (runner);
  return G_SOURCE_CONTINUE;
}

void
quince_sample_runner_drop (QuinceSampleRunner *runner, QuinceSample *sample)
{
  g_ptr_array_remove (runner->samples, sample); /* keeps the order */
}

/* ---- Public ----------------------------------------------------------- */

QuinceSampleRunner *
quince_sample_runner_new (QuinceBackends *backends,
                          QuinceObserver *observer,
                          QuinceProgressStore *progress,
                          const QuinceSampleRunnerCallbacks *callbacks,
                          gpointer user_data)
{
  QuinceSampleRunner *runner = g_new0 (QuinceSampleRunner, 1);
  runner->backends = backends;
  runner->observer = observer;
  runner->progress = progress;
  runner->callbacks = callbacks;
  runner->user_data = user_data;
  runner->samples = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_sample_free);
  runner->lengths
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)quince_length_model_free);
  runner->paces = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  runner->reports = quince_step_reports_new ();
  runner->timer = quince_timer_add (PUMP_EVERY_MS, timer_over, runner);
  return runner;
}

void
quince_sample_runner_free (QuinceSampleRunner *runner)
{
  if (runner == NULL)
    return;
  quince_source_clear (&runner->timer);
  quince_source_clear (&runner->soon);
  g_ptr_array_unref (runner->samples);
  quince_step_reports_free (runner->reports);
  g_hash_table_unref (runner->lengths);
  g_hash_table_unref (runner->paces);
  g_free (runner);
}

/* Those that take longest first; equals in the order of their batch. */
static gint
compare_lengths (gconstpointer a, gconstpointer b)
{
  const QuinceSample *first = *(const QuinceSample *const *)a;
  const QuinceSample *second = *(const QuinceSample *const *)b;
  if (first->estimated_tokens != second->estimated_tokens)
    return first->estimated_tokens > second->estimated_tokens ? -1 : 1;
  return (first->item > second->item) - (first->item < second->item);
}

void
quince_sample_runner_add (QuinceSampleRunner *runner, QuinceBatchEntry *entry)
{
  const QuinceRoute *route = quince_sample_runner_route_of_batch (runner, entry->batch);
  gint64 age_us = MAX (quince_wall_ms () - (gint64)entry->batch->submitted_ms, 0) * 1000;
  gint64 submitted_us = quince_now_us () - age_us;
  guint first = runner->samples->len;
  quince_step_reports_begin (runner->reports, entry, submitted_us);
  for (guint i = 0; i < entry->batch->items.items_len; i++)
    {
      if (entry->is_listed[i])
        continue;
      QuinceSample *sample = quince_sample_new (entry, i);
      QuincePlatformLength length;
      quince_platform_read_length (quince_sample_get_item (sample), &length);
      sample->estimated_tokens = length.estimated_tokens;
      sample->submitted_us = submitted_us;
      quince_progress_store_get (runner->progress, entry->batch->id, i, sample->text, sample->versions,
                                 &sample->last_event);
      sample->failures = quince_progress_store_get_failures (runner->progress, entry->batch->id, i);
      if (route != NULL && route->queue_ttl_ms > 0)
        sample->give_up_us = submitted_us + (gint64)route->queue_ttl_ms * 1000;
      g_ptr_array_add (runner->samples, sample);
    }
  /* An array that never held anything has no memory to sort. */
  if (runner->samples->len > first)
    qsort (runner->samples->pdata + first, runner->samples->len - first, sizeof (gpointer), compare_lengths);
  quince_sample_runner_pump_soon (runner);
}

void
quince_sample_runner_collect (QuinceSampleRunner *runner, gboolean all, GArray *items)
{
  for (guint i = 0; i < runner->samples->len; i++)
    {
      QuinceSample *sample = runner->samples->pdata[i];
      if (all)
        sample->replicated_event = sample->replicated_bytes = sample->replicated_failures = 0;
      if (sample->last_event == sample->replicated_event && sample->failures == sample->replicated_failures)
        continue;
      QuinceProgressItem item = { .batch = sample->entry->batch->id,
                                  .item = sample->item,
                                  .from_event = sample->replicated_event,
                                  .last_event = sample->last_event,
                                  .failures = sample->failures };
      item.text.text_val = sample->text->str + sample->replicated_bytes;
      item.text.text_len = (u_int)(sample->text->len - sample->replicated_bytes);
      item.versions.versions_val = (u_quad_t *)sample->versions->data;
      item.versions.versions_len = sample->versions->len;
      g_array_append_val (items, item);
      sample->replicated_event = sample->last_event;
      sample->replicated_failures = sample->failures;
      sample->replicated_bytes = sample->text->len;
    }
}

void
quince_sample_runner_remove (QuinceSampleRunner *runner, const QuinceBatchEntry *entry)
{
  for (guint i = runner->samples->len; i > 0; i--)
    {
      QuinceSample *sample = runner->samples->pdata[i - 1];
      if (sample->entry != entry)
        continue;
      runner->running -= sample->state == QUINCE_SAMPLE_RUNNING;
      g_ptr_array_remove_index (runner->samples, i - 1);
    }
  quince_step_reports_end (runner->reports, entry, quince_now_us ());
  quince_sample_runner_pump_soon (runner);
}

/* ---- Progress that another replica knows --------------------------------- */

void
quince_sample_runner_await_progress (QuinceSampleRunner *runner)
{
  runner->begin_after_us = quince_now_us () + PROGRESS_WAIT_MS * 1000;
}

static QuinceSample *
find_sample (QuinceSampleRunner *runner, const QuinceProgressItem *item)
{
  for (guint i = 0; i < runner->samples->len; i++)
    {
      QuinceSample *sample = runner->samples->pdata[i];
      if (sample->item == item->item && g_str_equal (sample->entry->batch->id, item->batch))
        return sample;
    }
  return NULL;
}

/* Returns: whether @sample goes on from there */
static gboolean
go_on_from (QuinceSample *sample, const QuinceProgressItem *item)
{
  sample->failures = MAX (sample->failures, item->failures);
  if (sample->state != QUINCE_SAMPLE_WAITING || item->from_event != 0
      || item->last_event <= sample->last_event)
    return FALSE;
  g_string_truncate (sample->text, 0);
  g_string_append_len (sample->text, item->text.text_val, item->text.text_len);
  g_array_set_size (sample->versions, 0);
  for (guint i = 0; i < item->versions.versions_len; i++)
    {
      guint64 version = item->versions.versions_val[i];
      g_array_append_val (sample->versions, version);
    }
  sample->last_event = item->last_event;
  sample->replicated_event = sample->replicated_bytes = 0; /* whoever leads next is told all of it */
  return TRUE;
}

void
quince_sample_runner_take_progress (QuinceSampleRunner *runner, const QuinceSampleProgress *progress)
{
  guint taken = 0;
  for (guint i = 0; i < progress->items.items_len; i++)
    {
      const QuinceProgressItem *item = &progress->items.items_val[i];
      QuinceSample *sample = find_sample (runner, item);
      taken += sample != NULL && go_on_from (sample, item);
    }
  quince_log_info ("progress_taken", "told=%u taken=%u", progress->items.items_len, taken);
  if (taken > 0)
    runner->begin_after_us = 0;
  quince_sample_runner_pump_soon (runner);
}

/* ---- Loads ----------------------------------------------------------------- */

/* From its start to its expected end; where no pace is measured, as long as it has run. */
static gint64
lasts_us (QuinceSampleRunner *runner, const QuinceSample *sample, gint64 now_us)
{
  const QuinceWorker *worker
      = quince_worker_table_find (quince_backends_get_workers (runner->backends), sample->worker_id);
  if (worker == NULL)
    return 0;
  double events
      = quince_length_model_remaining (quince_sample_runner_get_lengths (runner, sample->entry->batch->model),
                                       sample->estimated_tokens, sample->last_event);
  return now_us - sample->started_us + (gint64)(events * (double)quince_worker_get_pace_us (worker, now_us));
}

/* A sample that is held, or pauses, waits for no worker. */
static gboolean
could_begin (const QuinceSample *sample, gint64 now_us)
{
  return sample->state == QUINCE_SAMPLE_WAITING && now_us >= sample->not_before_us;
}

void
quince_sample_runner_fill_load_plan (QuinceSampleRunner *runner, QuinceLoadPlan *plan)
{
  gint64 now = quince_now_us ();
  for (guint i = 0; i < runner->samples->len; i++)
    {
      const QuinceSample *sample = runner->samples->pdata[i];
      const QuinceBatchJob *batch = sample->entry->batch;
      if (sample->state == QUINCE_SAMPLE_WAITING || sample->state == QUINCE_SAMPLE_RUNNING)
        quince_load_plan_note_sample (plan, batch->model, batch->minimum_version, could_begin (sample, now));
      if (sample->state == QUINCE_SAMPLE_RUNNING)
        quince_load_plan_note_run (plan, sample->worker_id, lasts_us (runner, sample, now));
    }
}

/* Time between two events at workers of @service, on average; 0: none is measured. */
static gint64
mean_pace_us (QuinceSampleRunner *runner, const char *service, gint64 now_us)
{
  QuinceWorkerTable *table = quince_backends_get_workers (runner->backends);
  g_autoptr (GPtrArray) workers = quince_worker_table_list (table, service);
  gint64 sum = 0;
  guint measured = 0;
  for (guint i = 0; i < workers->len; i++)
    {
      gint64 pace = quince_worker_get_pace_us (workers->pdata[i], now_us);
      sum += pace;
      measured += pace > 0;
    }
  return measured > 0 ? sum / measured : 0;
}

double
quince_sample_runner_count_needed (QuinceSampleRunner *runner, const char *service)
{
  gint64 now = quince_now_us ();
  gint64 pace = mean_pace_us (runner, service, now);
  double slots = 0;
  for (guint i = 0; i < runner->samples->len; i++)
    {
      const QuinceSample *sample = runner->samples->pdata[i];
      const QuinceBatchJob *batch = sample->entry->batch;
      gboolean open = sample->state == QUINCE_SAMPLE_WAITING || sample->state == QUINCE_SAMPLE_RUNNING;
      const QuinceRoute *route = open ? quince_sample_runner_route_of_batch (runner, batch) : NULL;
      if (route == NULL || g_strcmp0 (quince_sample_dispatch_service (route, sample), service) != 0)
        continue;
      double events = quince_length_model_remaining (quince_sample_runner_get_lengths (runner, batch->model),
                                                     sample->estimated_tokens, sample->last_event);
      slots += quince_scale_slots_needed ((gint64)(events * (double)pace), now - sample->submitted_us,
                                          (gint64)route->deadline_ms * 1000);
    }
  return slots;
}

guint
quince_sample_runner_get_waiting (const QuinceSampleRunner *runner)
{
  return runner->waiting;
}

guint
quince_sample_runner_get_running (const QuinceSampleRunner *runner)
{
  return runner->running;
}
