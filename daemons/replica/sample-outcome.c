/*
 * sample-outcome.c: handles the end of a run of a sample.
 */
#include "sample-outcome.h"

#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/metrics.h"

#include "sample-result.h"
#include "sample-reward.h"
#include "sample-shares.h"

static void
handle_complete_text (QuinceSampleSet *set, QuinceSample *sample)
{
  quince_length_model_record (quince_sample_set_get_length_model (set, sample->entry->batch->model),
                              sample->estimated_tokens, sample->last_event);
  quince_step_reports_record_complete_text (set->reports, sample->entry, quince_now_us ());
  if (sample->single_version && sample->versions->len > 1)
    {
      quince_sample_discard_text (sample);
      sample->state = QUINCE_SAMPLE_WAITING;
      return;
    }
  sample->state = QUINCE_SAMPLE_SCORING;
  sample->next_attempt_us = 0;
  if (quince_sample_get_item (sample)->reward.reward_len > 0)
    quince_sample_reward_start (set, sample);
  else
    quince_sample_result_complete (set, sample, NULL, "whole");
}

/* ---- Runs ------------------------------------------------------------- */

static void
return_to_queue (QuinceSample *sample, gint64 pause_us)
{
  sample->state = QUINCE_SAMPLE_WAITING;
  sample->next_attempt_us = quince_now_us () + pause_us;
  g_free (sample->avoid_worker);
  sample->avoid_worker = g_strdup (sample->worker.id);
}

static QuinceSampleNext
decide_next_step (QuinceSampleSet *set, QuinceSample *sample, QuinceRunEnd end)
{
  const QuinceRoute *route = quince_sample_set_get_batch_route (set, sample->entry->batch);
  sample->failures += end == QUINCE_RUN_FAILED;
  sample->unprocessable_answers += end == QUINCE_RUN_UNPROCESSABLE;
  gboolean made_event = sample->last_event > sample->event_at_start;
  sample->runs_without_event = made_event ? 0 : sample->runs_without_event + 1;
  const QuinceSampleRunResult run_result = { .end = end,
                                             .failures = sample->failures,
                                             .unprocessable_answers = sample->unprocessable_answers,
                                             .max_attempts = route != NULL ? route->max_attempts : 0,
                                             .runs_without_event = sample->runs_without_event };
  return quince_sample_next_after_run (&run_result);
}

static void
eject_worker (QuinceSampleSet *set, const QuinceSample *sample)
{
  QuinceWorker *worker
      = quince_worker_table_find_ref (quince_backends_get_workers (set->backends), &sample->worker);
  if (worker != NULL)
    quince_worker_record_failure (worker, quince_now_us ());
}

/* Reports the end of the run to the send guard: a lost connection, an answer, or neither. */
static void
report_end_to_guard (QuinceSampleSet *set, QuinceSample *sample, QuinceRunEnd end)
{
  QuinceSendGuard *guard = quince_backends_get_guard (set->backends);
  gboolean answered
      = end == QUINCE_RUN_COMPLETE || end == QUINCE_RUN_FAILED || end == QUINCE_RUN_UNPROCESSABLE;
  if (end == QUINCE_RUN_CONNECTION_LOST)
    {
      const QuinceRequestIdentity *identity = quince_sample_get_identity (sample);
      g_autofree char *text = quince_request_digest_format (&identity->request);
      quince_log_info ("run_lost", "request=%s worker=%s digest=%s", quince_sample_get_item (sample)->id,
                       sample->worker.id, text);
      quince_send_guard_handle_connection_loss (
          guard, identity, &sample->permit, &sample->worker,
          quince_backends_find_lost_worker (set->backends, &sample->worker));
    }
  else if (answered && !quince_send_guard_is_idle (guard))
    quince_send_guard_handle_answer (guard, quince_sample_get_identity (sample), &sample->permit);
  else
    quince_send_guard_return_permit (guard, &sample->permit);
}

void
quince_sample_outcome_handle_run_end (QuinceSample *sample,
                                      QuinceRunEnd end,
                                      const char *cause,
                                      gpointer data)
{
  QuinceSampleSet *set = data;
  set->running--;
  g_autofree char *labels = g_strdup_printf ("cause=\"%s\"", cause);
  quince_metric_add ("quince_replica_sample_runs_total", labels, 1);
  if (end != QUINCE_RUN_COMPLETE)
    quince_log_info ("sample_run_ended", "sample=%s worker=%s cause=%s events=%" G_GUINT64_FORMAT " runs=%u",
                     quince_sample_get_item (sample)->id, sample->worker.id, cause, sample->last_event,
                     sample->runs);
  quince_sample_shares_count_run_end (set, sample, end);
  report_end_to_guard (set, sample, end);
  const QuinceSampleNext next = decide_next_step (set, sample, end);
  if (next.eject_worker)
    eject_worker (set, sample);
  switch (next.action)
    {
    case QUINCE_SAMPLE_NEXT_REWARD:
      handle_complete_text (set, sample);
      break;
    case QUINCE_SAMPLE_NEXT_RUN:
      return_to_queue (sample, next.pause_us);
      break;
    case QUINCE_SAMPLE_NEXT_ABANDON:
      quince_sample_result_abandon (set, sample, cause);
      break;
    }
  set->callbacks->request_dispatch (0, set->owner);
}
