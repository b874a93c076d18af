/*
 * sample-outcome.c: what follows a run of a sample: the next try, the reward call, the result.
 */
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/clock.h"

#include "sample-runner-private.h"

/* ---- Results ---------------------------------------------------------- */

static void
hand_over (QuinceSampleRunner *runner,
           QuinceSample *sample,
           gboolean abandoned,
           const char *score,
           const char *cause)
{
  const QuinceBatchItem *item = quince_sample_get_item (sample);
  QuinceBatchResult result = { .batch = sample->entry->batch->id,
                               .item = sample->item,
                               .abandoned = abandoned,
                               .score = (char *)(score != NULL ? score : "") };
  if (!abandoned)
    {
      result.text.text_val = sample->text->str;
      result.text.text_len = (u_int)sample->text->len;
      result.versions.versions_val = (u_quad_t *)sample->versions->data;
      result.versions.versions_len = sample->versions->len;
    }
  quince_log_info (abandoned ? "sample_abandoned" : "sample_done",
                   "sample=%s batch=%s cause=%s runs=%u events=%" G_GUINT64_FORMAT
                   " age_ms=%" G_GINT64_FORMAT,
                   item->id, sample->entry->batch->id, cause, sample->runs, sample->last_event,
                   (quince_now_us () - sample->submitted_us) / 1000);
  g_autofree char *labels
      = g_strdup_printf ("outcome=\"%s\",cause=\"%s\"", abandoned ? "abandoned" : "completed", cause);
  quince_metric_add ("quince_replica_samples_total", labels, 1);
  quince_metric_observe_us ("quince_replica_sample_seconds", "", quince_now_us () - sample->submitted_us);
  quince_step_reports_listed (runner->reports, sample->entry, quince_now_us (), item->id, sample->worker_id,
                              sample->last_event);
  sample->state = QUINCE_SAMPLE_DONE;
  runner->callbacks->result (&result, runner->user_data);
  quince_sample_runner_drop (runner, sample);
}

/* ---- Rewards ---------------------------------------------------------- */

static guint
reward_attempts (QuinceSampleRunner *runner, const QuinceRewardCall *call)
{
  const QuinceRoute *route = quince_sample_runner_find_route (runner, call->host, call->path);
  return route != NULL ? route->max_attempts : 1;
}

static void
reward_done (const QuinceForwardResult *result, gpointer data)
{
  QuinceSample *sample = data;
  QuinceSampleRunner *runner = sample->user_data;
  sample->reward = NULL;
  sample->reward_failures += result->failed_runs;
  const QuinceRewardCall *call = quince_sample_get_item (sample)->reward.reward_val;
  gboolean good = result->outcome == QUINCE_FORWARD_ANSWERED && result->head->status >= 200
                  && result->head->status < 300 && result->signature != NULL;
  if (good)
    {
      hand_over (runner, sample, FALSE, result->signature, "scored");
      return;
    }
  const QuinceSampleNext next
      = quince_sample_next_after_reward (sample->reward_failures, reward_attempts (runner, call));
  if (next.action == QUINCE_SAMPLE_NEXT_ABANDON)
    hand_over (runner, sample, TRUE, NULL, "reward_failed");
  else
    sample->not_before_us = quince_now_us () + next.pause_us; /* the pump begins it again */
}

void
quince_sample_outcome_begin_reward (QuinceSampleRunner *runner, QuinceSample *sample)
{
  const QuinceRewardCall *call = quince_sample_get_item (sample)->reward.reward_val;
  const QuinceRoute *route = quince_sample_runner_find_route (runner, call->host, call->path);
  gint64 now = quince_now_us ();
  if (route == NULL)
    {
      sample->not_before_us = now + quince_sample_reward_pause_us ();
      return;
    }
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  quince_http_headers_add (headers, "Host", call->host);
  quince_platform_write_request_id (headers, call->id);
  g_autoptr (GBytes) body = g_bytes_new_static (call->body.body_val, call->body.body_len);
  gint64 time_us = (gint64)quince_sample_reward_time_ms (route->timeout_ms) * 1000;
  const QuinceForwardRequest request = { .service = quince_route_pick_service (route, g_random_double ()),
                                         .tenant = sample->entry->tenant,
                                         .kind = route->name,
                                         .method = "POST",
                                         .target = call->path,
                                         .request_id = call->id,
                                         .headers = headers,
                                         .body = body,
                                         .repeatable = TRUE,
                                         .max_attempts = route->max_attempts,
                                         .target_latency_ms = route->target_latency_ms,
                                         .deadline_us = now + time_us,
                                         .give_up_us = now + time_us };
  sample->reward = quince_forward_start (runner->backends, &quince_platform_forward_dialect, &request,
                                         reward_done, sample);
}

void
quince_sample_outcome_give_up (QuinceSampleRunner *runner, QuinceSample *sample, const char *cause)
{
  hand_over (runner, sample, TRUE, NULL, cause);
}

static void
text_whole (QuinceSampleRunner *runner, QuinceSample *sample)
{
  quince_length_model_note (quince_sample_runner_get_lengths (runner, sample->entry->batch->model),
                            sample->estimated_tokens, sample->last_event);
  quince_step_reports_text_whole (runner->reports, sample->entry, quince_now_us ());
  if (sample->single_version && sample->versions->len > 1)
    {
      quince_sample_restart (sample);
      sample->state = QUINCE_SAMPLE_WAITING;
      return;
    }
  sample->state = QUINCE_SAMPLE_SCORING;
  sample->not_before_us = 0;
  if (quince_sample_get_item (sample)->reward.reward_len > 0)
    quince_sample_outcome_begin_reward (runner, sample);
  else
    hand_over (runner, sample, FALSE, NULL, "whole");
}

/* ---- Runs ------------------------------------------------------------- */

static void
wait_again (QuinceSample *sample, gint64 pause_us)
{
  sample->state = QUINCE_SAMPLE_WAITING;
  sample->not_before_us = quince_now_us () + pause_us;
  g_free (sample->avoid_worker);
  sample->avoid_worker = g_strdup (sample->worker_id);
}

static QuinceSampleNext
next_after_run (QuinceSampleRunner *runner, QuinceSample *sample, QuinceRunEnd end)
{
  const QuinceRoute *route = quince_sample_runner_route_of_batch (runner, sample->entry->batch);
  sample->failures += end == QUINCE_RUN_FAILED;
  sample->hopeless += end == QUINCE_RUN_HOPELESS;
  const QuinceSampleRunEnded ended = { .end = end,
                                       .failures = sample->failures,
                                       .hopeless = sample->hopeless,
                                       .max_attempts = route != NULL ? route->max_attempts : 0 };
  return quince_sample_next_after_run (&ended);
}

static void
eject_worker (QuinceSampleRunner *runner, const QuinceSample *sample)
{
  QuinceWorker *worker
      = quince_worker_table_find (quince_backends_get_workers (runner->backends), sample->worker_id);
  if (worker != NULL)
    quince_worker_note_failure (worker, quince_now_us ());
}

/* What the end of a run says of its sample: see send-guard.h. */
static void
tell_guard (QuinceSampleRunner *runner, QuinceSample *sample, QuinceRunEnd end)
{
  QuinceSendGuard *guard = quince_backends_get_guard (runner->backends);
  gboolean answered = end == QUINCE_RUN_WHOLE || end == QUINCE_RUN_FAILED || end == QUINCE_RUN_HOPELESS;
  if (end == QUINCE_RUN_LOST)
    {
      const QuinceRequestIdentity *identity = quince_sample_get_identity (sample);
      g_autofree char *text = quince_request_digest_format (&identity->request);
      quince_log_info ("run_lost", "request=%s worker=%s digest=%s", quince_sample_get_item (sample)->id,
                       sample->worker_id, text);
      QuinceWorker *worker
          = quince_worker_table_find (quince_backends_get_workers (runner->backends), sample->worker_id);
      quince_send_guard_lost (guard, identity, &sample->permit,
                              quince_backends_is_evacuated (runner->backends, worker) ? NULL : worker);
    }
  else if (answered && !quince_send_guard_is_idle (guard))
    quince_send_guard_answered (guard, quince_sample_get_identity (sample), &sample->permit);
  else
    quince_send_guard_over (guard, &sample->permit);
}

void
quince_sample_outcome_run_ended (QuinceSample *sample, QuinceRunEnd end, const char *cause, gpointer data)
{
  QuinceSampleRunner *runner = data;
  runner->running--;
  g_autofree char *labels = g_strdup_printf ("cause=\"%s\"", cause);
  quince_metric_add ("quince_replica_sample_runs_total", labels, 1);
  if (end != QUINCE_RUN_WHOLE)
    quince_log_info ("sample_run_ended", "sample=%s worker=%s cause=%s events=%" G_GUINT64_FORMAT " runs=%u",
                     quince_sample_get_item (sample)->id, sample->worker_id, cause, sample->last_event,
                     sample->runs);
  tell_guard (runner, sample, end);
  const QuinceSampleNext next = next_after_run (runner, sample, end);
  if (next.eject_worker)
    eject_worker (runner, sample);
  switch (next.action)
    {
    case QUINCE_SAMPLE_NEXT_REWARD:
      text_whole (runner, sample);
      break;
    case QUINCE_SAMPLE_NEXT_RUN:
      wait_again (sample, next.pause_us);
      break;
    case QUINCE_SAMPLE_NEXT_ABANDON:
      hand_over (runner, sample, TRUE, NULL, cause);
      break;
    }
  quince_sample_runner_pump_soon (runner);
}
