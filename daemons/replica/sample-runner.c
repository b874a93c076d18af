/*
 * sample-runner.c: the owner of the open batches' samples: when each is checked, and what goes to the
 * replica.
 *
 * Samples begin in the order of their batches, since the next step waits for the oldest one; within a batch
 * those begin first that take longest, since a trainer waits for whole groups.
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

/* Interval of the checks of all samples, ms, beside those that events ask for.  Not measured: two or three
 * events of a worker. */
#define SAMPLE_CHECK_INTERVAL_MS 100
/* Time for which a new leader waits for the progress that other replicas know, ms.  Members that follow it
 * link to it within some ms, and a few hundred half texts arrive within some tens; a sample that begins anew
 * loses up to its whole text, seconds. */
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
  QuinceTimer *requested_check; /* a check that was asked for; NULL: none */
  gint64 start_runs_after_us;   /* a new leader: nothing begins before, unless progress arrives */
};

/* ---- The pump --------------------------------------------------------- */

/* Key of the samples that find the same workers full: the model, or the batch where its regions are
 * restricted.
 */
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

/* No worker has room: other samples of the model need not be tried in this round. */
static gboolean
is_without_capacity (QuinceBackendOutcome outcome)
{
  return outcome == QUINCE_BACKEND_FULL || outcome == QUINCE_BACKEND_COLD
         || outcome == QUINCE_BACKEND_ZONES_UNKNOWN;
}

void
quince_sample_runner_check_samples (QuinceSampleRunner *runner)
{
  if (!runner->callbacks->may_run (runner->user_data))
    return;
  gint64 now = quince_now_us ();
  if (now < runner->start_runs_after_us)
    return;
  /* Moves come first: a sample that leaves a slow worker frees a slot there for one that waits. */
  quince_sample_moves_check (&runner->set, &runner->move_check_state, now);
  g_autoptr (GHashTable) full_keys
      = g_hash_table_new (g_str_hash, g_str_equal); /* models and batches without room */
  runner->set.waiting = 0;
  /* Handing a sample over takes it out of the array. */
  for (guint i = 0; i < runner->set.samples->len;)
    {
      QuinceSample *sample = runner->set.samples->pdata[i];
      if (has_expired (sample, now))
        {
          quince_sample_result_abandon (&runner->set, sample, "time_is_up");
          continue;
        }
      i++;
      if (sample->state == QUINCE_SAMPLE_SCORING && sample->reward == NULL && now >= sample->next_attempt_us)
        quince_sample_reward_begin (&runner->set, sample);
      if (sample->state != QUINCE_SAMPLE_WAITING)
        continue;
      runner->set.waiting++;
      const char *capacity_key = get_capacity_key (runner, sample);
      if (now < sample->next_attempt_us || g_hash_table_contains (full_keys, capacity_key))
        continue;
      QuinceBackendOutcome outcome = quince_sample_dispatch (&runner->set, sample, now);
      if (is_without_capacity (outcome) && sample->avoid_worker == NULL)
        g_hash_table_add (full_keys, (char *)capacity_key);
    }
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

/* ---- Events of the samples ---------------------------------------------- */

static void
sample_done (QuinceSample *sample, const QuinceBatchResult *result, gpointer data)
{
  QuinceSampleRunner *runner = data;
  runner->callbacks->result (result, runner->user_data);
  g_ptr_array_remove (runner->set.samples, sample); /* keeps the order */
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

/* Longest first; equals in the order of their batch. */
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
  guint first = runner->set.samples->len;
  quince_step_reports_begin (runner->set.reports, entry, submitted_us);
  for (guint i = 0; i < entry->batch->items.items_len; i++)
    {
      if (entry->has_result[i])
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
      g_ptr_array_add (runner->set.samples, sample);
    }
  /* An array that never held anything has no memory to sort. */
  if (runner->set.samples->len > first)
    qsort (runner->set.samples->pdata + first, runner->set.samples->len - first, sizeof (gpointer),
           compare_lengths);
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
quince_sample_runner_await_progress (QuinceSampleRunner *runner)
{
  runner->start_runs_after_us = quince_now_us () + PROGRESS_WAIT_MS * 1000;
}

void
quince_sample_runner_apply_progress (QuinceSampleRunner *runner, const QuinceSampleProgress *progress)
{
  if (quince_sample_replication_apply (&runner->set, progress) > 0)
    runner->start_runs_after_us = 0;
  schedule_check (runner, 0);
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

guint
quince_sample_runner_get_n_waiting (const QuinceSampleRunner *runner)
{
  return runner->set.waiting;
}

guint
quince_sample_runner_get_n_running (const QuinceSampleRunner *runner)
{
  return runner->set.running;
}
