/*
 * sample-shares.c: metrics of samples and steps by model.
 */
#include "sample-shares.h"

#include "runtime/clock.h"

/* Gauges by model, for one reading of the metrics. */
typedef struct
{
  QuinceShareGauge *waiting;
  QuinceShareGauge *running;
  QuinceShareGauge *behind;
} Gauges;

static void
gauges_init (Gauges *gauges, const QuinceShareMetrics *shares)
{
  gauges->waiting = quince_share_gauge_new (shares, QUINCE_SHARE_MODEL);
  gauges->running = quince_share_gauge_new (shares, QUINCE_SHARE_MODEL);
  gauges->behind = quince_share_gauge_new (shares, QUINCE_SHARE_MODEL);
}

static void
gauges_publish (Gauges *gauges)
{
  quince_share_gauge_publish (gauges->waiting, "quince_share_waiting");
  quince_share_gauge_publish (gauges->running, "quince_share_running");
  quince_share_gauge_publish (gauges->behind, "quince_share_open_step_behind_seconds");
}

/* Returns how long ago the step of @sample was due, us; negative: it is not due yet; 0: it has no deadline.
 */
static gint64
get_behind_us (const QuinceSampleSet *set, const QuinceSample *sample, gint64 now_us)
{
  const QuinceRoute *route = quince_sample_set_get_batch_route (set, sample->entry->batch);
  if (route == NULL || route->deadline_ms == 0)
    return 0;
  return now_us - sample->submitted_us - (gint64)route->deadline_ms * 1000;
}

void
quince_sample_shares_set_metrics (const QuinceSampleSet *set, gint64 now_us)
{
  QuinceShareMetrics *shares = quince_backends_get_share_metrics (set->backends);
  const QuinceBatchEntry *last_entry = NULL;
  /* All models get their labels first, since a new label may replace another one. */
  for (guint i = 0; i < set->samples->len; i++)
    {
      const QuinceSample *sample = set->samples->pdata[i];
      if (sample->entry != last_entry)
        quince_share_metrics_record_use (shares, QUINCE_SHARE_MODEL, sample->entry->batch->model);
      last_entry = sample->entry;
    }
  Gauges gauges;
  gauges_init (&gauges, shares);
  last_entry = NULL;
  for (guint i = 0; i < set->samples->len; i++)
    {
      const QuinceSample *sample = set->samples->pdata[i];
      const char *model = sample->entry->batch->model;
      quince_share_gauge_add (gauges.waiting, model, sample->state == QUINCE_SAMPLE_WAITING);
      quince_share_gauge_add (gauges.running, model, sample->state == QUINCE_SAMPLE_RUNNING);
      if (sample->entry != last_entry)
        quince_share_gauge_max (gauges.behind, model,
                                (double)get_behind_us (set, sample, now_us) / G_USEC_PER_SEC);
      last_entry = sample->entry;
    }
  gauges_publish (&gauges);
}

void
quince_sample_shares_clear_metrics (QuinceBackends *backends)
{
  Gauges gauges;
  gauges_init (&gauges, quince_backends_get_share_metrics (backends));
  gauges_publish (&gauges);
}

void
quince_sample_shares_count_run_end (const QuinceSampleSet *set, const QuinceSample *sample, QuinceRunEnd end)
{
  if (end != QUINCE_RUN_REFUSED && end != QUINCE_RUN_MOVED)
    return;
  const char *metric = end == QUINCE_RUN_MOVED ? "quince_share_moves_total" : "quince_share_refused_total";
  QuinceShareMetrics *shares = quince_backends_get_share_metrics (set->backends);
  const QuinceWorker *worker
      = quince_worker_table_find_ref (quince_backends_get_workers (set->backends), &sample->worker);
  quince_share_metrics_count (shares, QUINCE_SHARE_MODEL, sample->entry->batch->model, metric);
  if (worker != NULL)
    quince_share_metrics_count (shares, QUINCE_SHARE_ZONE, worker->zone, metric);
}

void
quince_sample_shares_count_abandoned (const QuinceSampleSet *set, const QuinceSample *sample)
{
  quince_share_metrics_count (quince_backends_get_share_metrics (set->backends), QUINCE_SHARE_MODEL,
                              sample->entry->batch->model, "quince_share_abandoned_total");
}

void
quince_sample_shares_record_step (QuinceBackends *backends,
                                  const QuinceBatchJob *batch,
                                  const QuinceRoute *route)
{
  if (route == NULL || route->deadline_ms == 0)
    return;
  gint64 behind_ms = quince_wall_ms () - (gint64)batch->submitted_ms - route->deadline_ms;
  quince_share_metrics_set (quince_backends_get_share_metrics (backends), QUINCE_SHARE_MODEL, batch->model,
                            "quince_share_last_step_behind_seconds", (double)MAX (behind_ms, 0) / 1000);
}
