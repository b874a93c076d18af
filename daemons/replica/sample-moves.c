/*
 * sample-moves.c: moves running samples to faster workers.
 */
#include "sample-moves.h"

#include "forward/residency-lookup.h"

#include "sample-dispatch.h"

/* Returns the time between two events of the fastest other worker that can take @sample now, us; 0 if there
 * is no such worker. */
static gint64
get_best_target_pace_us (QuinceSampleSet *set,
                         const QuinceSample *sample,
                         const QuinceSampleServiceView *view,
                         gint64 now_us)
{
  QuinceResidency residency;
  quince_sample_set_get_residency (set, sample->entry, &residency);
  const QuinceBatchJob *batch = sample->entry->batch;
  gint64 best_us = 0;
  g_autoptr (GPtrArray) workers = quince_worker_table_list_with_version (
      quince_backends_get_workers (set->backends), view->service, batch->model, batch->minimum_version);
  for (guint i = 0; i < workers->len; i++)
    {
      const QuinceWorker *worker = workers->pdata[i];
      gint64 pace_us = quince_worker_get_pace_us (worker, now_us);
      if (pace_us == 0 || (best_us > 0 && pace_us >= best_us))
        continue;
      gboolean can_take_sample = quince_sample_move_can_target (worker, now_us, view->slots)
                                 && quince_backends_may_send (set->backends, worker);
      if (!can_take_sample || !quince_backends_is_allowed_worker (set->backends, worker, &residency)
          || g_str_equal (worker->id, sample->worker.id))
        continue;
      best_us = pace_us;
    }
  return best_us;
}

static gboolean
may_move (const QuinceSample *sample, gint64 now_us)
{
  const QuinceSampleMoveInput move = { .single_version = sample->single_version,
                                       .moves = sample->moves,
                                       .run_us = now_us - sample->started_us,
                                       .measured = sample->last_event_us > 0 };
  return sample->state == QUINCE_SAMPLE_RUNNING && quince_sample_move_is_allowed (&move);
}

/* Returns whether a move of a very long text from @worker to the fastest worker would be worthwhile.  Returns
 * FALSE while @worker loads weights. */
static gboolean
is_slow (const QuinceWorker *worker, const QuinceSampleServiceView *view, gint64 now_us)
{
  double remaining_max = G_MAXINT;
  return !worker->loading
         && quince_sample_move_is_worthwhile (remaining_max, quince_worker_get_pace_us (worker, now_us),
                                              view->fastest_pace_us);
}

static gboolean
is_move_worthwhile (QuinceSampleSet *set, const QuinceSample *sample, gint64 now_us)
{
  const QuinceRoute *route = quince_sample_set_get_batch_route (set, sample->entry->batch);
  const QuinceWorker *worker
      = quince_worker_table_find_ref (quince_backends_get_workers (set->backends), &sample->worker);
  if (route == NULL || worker == NULL)
    return FALSE;
  QuinceSampleServiceView view;
  quince_sample_set_get_service_view (set, route, sample, now_us, &view);
  gboolean is_worthwhile = FALSE;
  if (is_slow (worker, &view, now_us))
    {
      gint64 target_pace_us = get_best_target_pace_us (set, sample, &view, now_us);
      double remaining = quince_sample_set_estimate_remaining_events (set, sample);
      gint64 here_us = quince_pace_history_expect_text_us (&worker->pace_history, now_us, remaining,
                                                           quince_worker_get_pace_us (worker, now_us),
                                                           view.slow_phase_us);
      is_worthwhile
          = target_pace_us > 0
            && quince_sample_move_saves_enough ((double)here_us, remaining * (double)target_pace_us);
    }
  quince_sample_service_view_clear (&view);
  return is_worthwhile;
}

void
quince_sample_moves_check (QuinceSampleSet *set, QuinceMoveCheckState *check_state, gint64 now_us)
{
  guint moves = 0;
  if (!quince_sample_move_check_is_due (check_state, now_us))
    return;
  for (guint i = 0; i < set->samples->len && moves < QUINCE_SAMPLE_MOVES_PER_CHECK_MAX; i++)
    {
      QuinceSample *sample = set->samples->pdata[i];
      if (!may_move (sample, now_us) || !is_move_worthwhile (set, sample, now_us))
        continue;
      moves++;
      sample->moves++;
      quince_sample_stop_run (sample, QUINCE_RUN_MOVED, "moved");
      quince_sample_dispatch (set, sample, now_us);
    }
}
