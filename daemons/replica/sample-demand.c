/*
 * sample-demand.c: demand of unfinished samples for workers.
 */
#include "sample-demand.h"

#include "core/batches/result-batching.h"
#include "core/scaling/scale-plan.h"
#include "runtime/clock.h"

/* Returns the expected total duration of the run of @sample, us; if no pace is measured, its duration so far;
 * 0 if its worker is no longer listed. */
static gint64
estimate_run_duration_us (QuinceSampleSet *set, const QuinceSample *sample, gint64 now_us)
{
  const QuinceWorker *worker
      = quince_worker_table_find_ref (quince_backends_get_workers (set->backends), &sample->worker);
  if (worker == NULL)
    return 0;
  double events = quince_sample_set_estimate_remaining_events (set, sample);
  return now_us - sample->started_us + (gint64)(events * (double)quince_worker_get_pace_us (worker, now_us));
}

/* Returns whether @sample could start now if a worker had capacity: it waits, and its pause is over. */
static gboolean
may_start_now (const QuinceSample *sample, gint64 now_us)
{
  return sample->state == QUINCE_SAMPLE_WAITING && now_us >= sample->next_attempt_us;
}

void
quince_sample_demand_fill_load_plan (QuinceSampleSet *set, QuinceLoadPlan *plan)
{
  gint64 now = quince_now_us ();
  for (guint i = 0; i < set->samples->len; i++)
    {
      const QuinceSample *sample = set->samples->pdata[i];
      const QuinceBatchJob *batch = sample->entry->batch;
      if (sample->state == QUINCE_SAMPLE_WAITING || sample->state == QUINCE_SAMPLE_RUNNING)
        quince_load_plan_record_sample (plan, batch->model, batch->minimum_version,
                                        may_start_now (sample, now));
      if (sample->state == QUINCE_SAMPLE_RUNNING)
        quince_load_plan_record_run (plan, sample->worker.id, estimate_run_duration_us (set, sample, now));
    }
}

/* Returns when the result of @sample is expected, monotonic, us; 0 if that cannot be estimated. */
static gint64
estimate_result_us (QuinceSampleSet *set, const QuinceSample *sample, gint64 now_us)
{
  gint64 reward_time_us = quince_sample_set_get_reward_time_us (set, sample);
  if (sample->state == QUINCE_SAMPLE_SCORING && sample->reward != NULL)
    return quince_result_batching_expect_reward_us (now_us, sample->reward_started_us, reward_time_us);
  if (sample->state != QUINCE_SAMPLE_RUNNING)
    return 0;
  const QuinceWorker *worker
      = quince_worker_table_find_ref (quince_backends_get_workers (set->backends), &sample->worker);
  gint64 pace_us = worker != NULL ? quince_worker_get_pace_us (worker, now_us) : 0;
  double events = quince_sample_set_estimate_remaining_events (set, sample);
  return quince_result_batching_expect_text_us (events, pace_us, sample->last_event_us, reward_time_us);
}

gint64
quince_sample_demand_get_next_result_us (QuinceSampleSet *set, const char *batch)
{
  gint64 now = quince_now_us ();
  gint64 next_us = 0;
  for (guint i = 0; i < set->samples->len; i++)
    {
      const QuinceSample *sample = set->samples->pdata[i];
      if (!g_str_equal (sample->entry->batch->id, batch))
        continue;
      gint64 expected_us = estimate_result_us (set, sample, now);
      if (expected_us > 0 && (next_us == 0 || expected_us < next_us))
        next_us = expected_us;
    }
  return next_us;
}

/* Returns the mean time between two events at the workers of @service, us; 0 if no pace is measured. */
static gint64
get_mean_pace_us (QuinceSampleSet *set, const char *service, gint64 now_us)
{
  QuinceWorkerTable *table = quince_backends_get_workers (set->backends);
  g_autoptr (GPtrArray) workers = quince_worker_table_list (table, service);
  gint64 sum_us = 0;
  guint n_measured = 0;
  for (guint i = 0; i < workers->len; i++)
    {
      gint64 pace_us = quince_worker_get_pace_us (workers->pdata[i], now_us);
      sum_us += pace_us;
      n_measured += pace_us > 0;
    }
  return n_measured > 0 ? sum_us / n_measured : 0;
}

double
quince_sample_demand_get_slots_needed (QuinceSampleSet *set, const char *service)
{
  gint64 now = quince_now_us ();
  gint64 pace_us = get_mean_pace_us (set, service, now);
  double slots = 0;
  for (guint i = 0; i < set->samples->len; i++)
    {
      const QuinceSample *sample = set->samples->pdata[i];
      const QuinceBatchJob *batch = sample->entry->batch;
      gboolean is_open = sample->state == QUINCE_SAMPLE_WAITING || sample->state == QUINCE_SAMPLE_RUNNING;
      const QuinceRoute *route = is_open ? quince_sample_set_get_batch_route (set, batch) : NULL;
      if (route == NULL || g_strcmp0 (quince_sample_set_pick_service (route, sample), service) != 0)
        continue;
      double events = quince_sample_set_estimate_remaining_events (set, sample);
      slots += quince_scale_slots_needed ((gint64)(events * (double)pace_us), now - sample->submitted_us,
                                          (gint64)route->deadline_ms * 1000);
    }
  return slots;
}
