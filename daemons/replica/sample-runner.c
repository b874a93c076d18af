/*
 * sample-runner.c: schedules the samples of open batches and passes their results to the replica.
 *
 * Samples start in the order of their batches, since the next step of a trainer waits for the oldest batch.
 * Within a batch the longest samples start first, since a trainer waits for complete groups.
 */
#include "sample-runner.h"

#include <string.h>

#include "forward/residency-lookup.h"
#include "runtime/clock.h"
#include "runtime/timer.h"
#include "runtime/log.h"

#include "sample-demand.h"
#include "sample-dispatch.h"
#include "sample-moves.h"
#include "sample-replication.h"
#include "sample-result.h"
#include "sample-reward.h"
#include "sample-shares.h"

/* Interval of the periodic checks of all samples, ms; other checks are requested by events.  It is the time
 * of two or three events of a worker. */
#define SAMPLE_CHECK_INTERVAL_MS 100
/* Time that a new leader waits for progress from other replicas before it starts samples without text, ms.
 * Replicas connect and send it within tens of ms; without it, samples restart from the beginning.  The limit
 * is for members that are down. */
#define PROGRESS_WAIT_MS 200

struct _QuinceSampleRunner
{
  /* All fields belong to the main context. */
  QuinceSampleSet set;
  QuinceProgressStore *progress; /* not owned */
  const QuinceSampleRunnerCallbacks *callbacks;
  gpointer user_data;
  QuinceMoveCheckState move_check_state;
  QuinceTimer *check_timer;
  QuinceTimer *requested_check;   /* NULL: none is requested */
  gint64 await_progress_until_us; /* at a new leader; 0: no more progress is expected */
};

/* ---- Checks ----------------------------------------------------------- */

/* Returns a key that is equal for samples that compete for the same workers: the model, or the batch if its
 * regions are restricted. */
static const char *
get_capacity_key (const QuinceSampleRunner *runner, const QuinceSample *sample)
{
  QuinceResidency residency;
  quince_sample_set_get_residency (&runner->set, sample->entry, &residency);
  return quince_residency_is_unrestricted (&residency) ? sample->entry->batch->model
                                                       : sample->entry->batch->id;
}

static gboolean
has_expired (const QuinceSample *sample, gint64 now_us)
{
  return sample->state == QUINCE_SAMPLE_WAITING && quince_sample_has_expired (sample->give_up_us, now_us);
}

/* Abandoning a sample removes it from the array. */
static void
abandon_expired_samples (QuinceSampleRunner *runner, gint64 now_us)
{
  for (guint i = 0; i < runner->set.samples->len;)
    {
      QuinceSample *sample = runner->set.samples->pdata[i];
      if (has_expired (sample, now_us))
        quince_sample_result_abandon (&runner->set, sample, "time_is_up");
      else
        i++;
    }
}

/* Returns whether no worker has capacity, so that this check skips other samples with the same key. */
static gboolean
is_without_capacity (QuinceBackendOutcome outcome)
{
  return outcome == QUINCE_BACKEND_FULL || outcome == QUINCE_BACKEND_COLD
         || outcome == QUINCE_BACKEND_ZONES_UNKNOWN;
}

/* Starts a run of a waiting sample, or its reward call, if it is due.  @full_keys: capacity keys without a
 * free worker */
static void
start_if_due (QuinceSampleRunner *runner, QuinceSample *sample, gint64 now_us, GHashTable *full_keys)
{
  if (now_us < sample->next_attempt_us)
    return;
  if (sample->state == QUINCE_SAMPLE_SCORING)
    {
      quince_sample_reward_start (&runner->set, sample);
      return;
    }
  const char *capacity_key = get_capacity_key (runner, sample);
  if (sample->last_event == 0 && now_us < runner->await_progress_until_us)
    return;
  if (g_hash_table_contains (full_keys, capacity_key))
    return;
  QuinceBackendOutcome outcome = quince_sample_dispatch (&runner->set, sample, now_us);
  if (is_without_capacity (outcome) && sample->avoid_worker == NULL)
    g_hash_table_add (full_keys, (char *)capacity_key);
}

/* Returns whether the sample waits for a run or for a reward call. */
static gboolean
is_waiting (const QuinceSample *sample)
{
  return sample->state == QUINCE_SAMPLE_WAITING
         || (sample->state == QUINCE_SAMPLE_SCORING && sample->reward == NULL);
}

static gint
compare_turns (gconstpointer a, gconstpointer b)
{
  const QuinceSample *first = *(const QuinceSample *const *)a;
  const QuinceSample *second = *(const QuinceSample *const *)b;
  return quince_sample_compare_turns (first->suspect_run_us, second->suspect_run_us);
}

void
quince_sample_runner_check_samples (QuinceSampleRunner *runner)
{
  if (!runner->callbacks->may_run (runner->user_data))
    return;
  gint64 now = quince_now_us ();
  /* Moves come first: each frees a slot that a waiting sample can use. */
  quince_sample_moves_check (&runner->set, &runner->move_check_state, now);
  g_autoptr (GHashTable) full_keys = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GPtrArray) later = g_ptr_array_new (); /* see quince_sample_compare_turns() */
  gboolean has_suspects = !quince_send_guard_is_idle (quince_backends_get_guard (runner->set.backends));
  runner->set.waiting = 0;
  abandon_expired_samples (runner, now);
  for (guint i = 0; i < runner->set.samples->len; i++)
    {
      QuinceSample *sample = runner->set.samples->pdata[i];
      runner->set.waiting += sample->state == QUINCE_SAMPLE_WAITING;
      if (!is_waiting (sample))
        continue;
      if (has_suspects && sample->suspect_run_us > 0)
        g_ptr_array_add (later, sample);
      else
        start_if_due (runner, sample, now, full_keys);
    }
  g_ptr_array_sort (later, compare_turns);
  for (guint i = 0; i < later->len; i++)
    start_if_due (runner, later->pdata[i], now, full_keys);
}

static gboolean
run_requested_check (gpointer data)
{
  QuinceSampleRunner *runner = data;
  quince_timer_clear (&runner->requested_check);
  quince_sample_runner_check_samples (runner);
  return G_SOURCE_REMOVE;
}

static void
schedule_check (QuinceSampleRunner *runner, guint wait_ms)
{
  if (runner->requested_check == NULL)
    runner->requested_check = quince_timer_add (wait_ms, run_requested_check, runner);
}

static gboolean
handle_check_timer (gpointer data)
{
  QuinceSampleRunner *runner = data;
  if (runner->set.samples->len > 0)
    quince_sample_runner_check_samples (runner);
  return G_SOURCE_CONTINUE;
}

/* ---- Callbacks of the sample set ---------------------------------------- */

static void
sample_done (QuinceSample *sample, const QuinceBatchResult *result, gpointer data)
{
  QuinceSampleRunner *runner = data;
  runner->callbacks->result (result, runner->user_data);
  g_ptr_array_remove (runner->set.samples, sample); /* preserves the order */
}

static void
handle_dispatch_request (guint wait_ms, gpointer data)
{
  schedule_check (data, wait_ms);
}

static const QuinceSampleSetCallbacks set_callbacks
    = { .done = sample_done, .request_dispatch = handle_dispatch_request };

/* ---- Public ----------------------------------------------------------- */

QuinceSampleRunner *
quince_sample_runner_new (QuinceBackends *backends,
                          QuinceObserver *observer,
                          QuinceProgressStore *progress,
                          const QuinceSampleRunnerCallbacks *callbacks,
                          gpointer user_data)
{
  QuinceSampleRunner *runner = g_new0 (QuinceSampleRunner, 1);
  quince_sample_set_init (&runner->set, backends, observer, &set_callbacks, runner);
  runner->progress = progress;
  runner->callbacks = callbacks;
  runner->user_data = user_data;
  runner->check_timer = quince_timer_add (SAMPLE_CHECK_INTERVAL_MS, handle_check_timer, runner);
  return runner;
}

void
quince_sample_runner_free (QuinceSampleRunner *runner)
{
  if (runner == NULL)
    return;
  quince_timer_clear (&runner->check_timer);
  quince_timer_clear (&runner->requested_check);
  quince_sample_set_clear (&runner->set);
  g_free (runner);
}

/* Longest estimate first, then by position in the batch. */
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
  const QuinceRoute *route = quince_sample_set_get_batch_route (&runner->set, entry->batch);
  gint64 age_us = MAX (quince_wall_ms () - (gint64)entry->batch->submitted_ms, 0) * 1000;
  gint64 submitted_us = quince_now_us () - age_us;
  guint first_added = runner->set.samples->len;
  quince_step_reports_begin (runner->set.reports, entry, submitted_us);
  for (guint i = 0; i < entry->batch->items.items_len; i++)
    {
      if (entry->has_result[i])
        continue;
      QuinceSample *sample = quince_sample_new (entry, i);
      QuincePlatformLengthEstimate estimate;
      quince_platform_read_length_estimate (quince_sample_get_item (sample), &estimate);
      sample->estimated_tokens = estimate.estimated_tokens;
      sample->submitted_us = submitted_us;
      quince_progress_store_get (runner->progress, entry->batch->id, i, sample->text, sample->versions,
                                 &sample->last_event);
      gboolean single_version = route != NULL && route->single_version;
      if (!quince_progress_may_resume ((const guint64 *)sample->versions->data, sample->versions->len,
                                       entry->batch->minimum_version, single_version))
        quince_sample_discard_text (sample);
      sample->failures = quince_progress_store_get_failures (runner->progress, entry->batch->id, i);
      if (route != NULL && route->queue_ttl_ms > 0)
        sample->give_up_us = submitted_us + (gint64)route->queue_ttl_ms * 1000;
      g_ptr_array_add (runner->set.samples, sample);
    }
  /* pdata of an array that was never filled is NULL, which qsort() must not receive. */
  if (runner->set.samples->len > first_added)
    qsort (runner->set.samples->pdata + first_added, runner->set.samples->len - first_added,
           sizeof (gpointer), compare_lengths);
  schedule_check (runner, 0);
}

void
quince_sample_runner_remove (QuinceSampleRunner *runner, const QuinceBatchEntry *entry)
{
  for (guint i = runner->set.samples->len; i > 0; i--)
    {
      QuinceSample *sample = runner->set.samples->pdata[i - 1];
      if (sample->entry != entry)
        continue;
      runner->set.running -= sample->state == QUINCE_SAMPLE_RUNNING;
      g_ptr_array_remove_index (runner->set.samples, i - 1);
    }
  quince_step_reports_end (runner->set.reports, entry, quince_now_us ());
  schedule_check (runner, 0);
}

const QuinceRoute *
quince_sample_runner_get_batch_route (const QuinceSampleRunner *runner, const QuinceBatchJob *batch)
{
  return quince_sample_set_get_batch_route (&runner->set, batch);
}

/* ---- Progress ----------------------------------------------------------- */

void
quince_sample_runner_collect_progress (QuinceSampleRunner *runner, gboolean all, GArray *items)
{
  quince_sample_replication_collect (&runner->set, all, items);
}

void
quince_sample_runner_collect_copy (QuinceSampleRunner *runner,
                                   const QuinceSampleCopyTarget *target,
                                   GArray *items)
{
  quince_sample_replication_collect_copy (&runner->set, target, quince_now_us (), items);
}

void
quince_sample_runner_await_progress (QuinceSampleRunner *runner)
{
  runner->await_progress_until_us = quince_now_us () + PROGRESS_WAIT_MS * 1000;
}

void
quince_sample_runner_end_progress_wait (QuinceSampleRunner *runner)
{
  runner->await_progress_until_us = 0;
  schedule_check (runner, 0);
}

guint
quince_sample_runner_apply_progress (QuinceSampleRunner *runner, const QuinceSampleProgress *progress)
{
  guint n_resumed = quince_sample_replication_apply (&runner->set, progress);
  schedule_check (runner, 0);
  return n_resumed;
}

/* ---- Demand ------------------------------------------------------------- */

void
quince_sample_runner_fill_load_plan (QuinceSampleRunner *runner, QuinceLoadPlan *plan)
{
  quince_sample_demand_fill_load_plan (&runner->set, plan);
}

double
quince_sample_runner_get_slots_needed (QuinceSampleRunner *runner, const char *service)
{
  return quince_sample_demand_get_slots_needed (&runner->set, service);
}

gint64
quince_sample_runner_get_next_result_us (QuinceSampleRunner *runner, const char *batch)
{
  return quince_sample_demand_get_next_result_us (&runner->set, batch);
}

guint
quince_sample_runner_get_n_waiting (const QuinceSampleRunner *runner)
{
  return runner->set.waiting;
}

void
quince_sample_runner_set_metrics (const QuinceSampleRunner *runner)
{
  quince_sample_shares_set_metrics (&runner->set, quince_now_us ());
}

guint
quince_sample_runner_get_n_running (const QuinceSampleRunner *runner)
{
  return runner->set.running;
}
