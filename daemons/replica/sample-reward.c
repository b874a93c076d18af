/*
 * sample-reward.c: reward calls of samples with complete texts.
 */
#include "sample-reward.h"

#include "runtime/clock.h"

#include "sample-result.h"

static guint
get_reward_max_attempts (QuinceSampleSet *set, const QuinceRewardCall *call)
{
  const QuinceRoute *route = quince_sample_set_find_route (set, call->host, call->path);
  return route != NULL ? route->max_attempts : 1;
}

static void
handle_reward_result (const QuinceForwardResult *result, gpointer data)
{
  QuinceSample *sample = data;
  QuinceSampleSet *set = sample->user_data;
  sample->reward = NULL;
  sample->reward_failures += result->failed_runs;
  const QuinceRewardCall *call = quince_sample_get_item (sample)->reward.reward_val;
  gboolean is_scored = result->outcome == QUINCE_FORWARD_ANSWERED && result->head->status >= 200
                       && result->head->status < 300 && result->signature != NULL;
  if (is_scored)
    {
      quince_sample_set_record_reward_time (set, sample, quince_now_us () - sample->reward_started_us);
      quince_sample_result_complete (set, sample, result->signature, "scored");
      return;
    }
  if (result->first_run_us > 0)
    sample->suspect_run_us = quince_now_us ();
  const QuinceRoute *route = quince_sample_set_find_route (set, call->host, call->path);
  if (result->outcome == QUINCE_FORWARD_REFUSED && route != NULL)
    quince_share_metrics_count_refusal (quince_backends_get_share_metrics (set->backends), route->name,
                                        sample->entry->tenant);
  const QuinceSampleNext next
      = quince_sample_next_after_reward (sample->reward_failures, get_reward_max_attempts (set, call));
  if (next.action == QUINCE_SAMPLE_NEXT_ABANDON)
    quince_sample_result_abandon (set, sample, "reward_failed");
  else
    sample->next_attempt_us = quince_now_us () + next.pause_us; /* the next check of all samples retries it */
}

void
quince_sample_reward_start (QuinceSampleSet *set, QuinceSample *sample)
{
  const QuinceRewardCall *call = quince_sample_get_item (sample)->reward.reward_val;
  const QuinceRoute *route = quince_sample_set_find_route (set, call->host, call->path);
  gint64 now = quince_now_us ();
  if (route == NULL)
    {
      sample->next_attempt_us = now + quince_sample_reward_pause_us ();
      return;
    }
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  quince_http_headers_add (headers, "Host", call->host);
  quince_platform_write_request_id (headers, call->id);
  g_autoptr (GBytes) body = g_bytes_new_static (call->body.body_val, call->body.body_len);
  gint64 timeout_us = (gint64)quince_sample_reward_timeout_ms (route->timeout_ms) * 1000;
  const char *service = quince_route_pick_service (route, g_random_double ());
  const QuinceRouteTable *routes = quince_observer_get_routes (set->observer);
  const QuinceForwardRequest request
      = { .service = service,
          .tenant = sample->entry->tenant,
          .kind = route->name,
          .method = "POST",
          .target = call->path,
          .request_id = call->id,
          .headers = headers,
          .body = body,
          .is_reward = TRUE,
          .earlier_runs = sample->reward_failures,
          .mixed_targets = quince_route_table_has_mixed_targets (routes, service),
          .repeatable = TRUE,
          .max_attempts = route->max_attempts,
          .target_latency_ms = route->target_latency_ms,
          .deadline_us = now + timeout_us,
          .give_up_us = now + timeout_us };
  sample->reward_started_us = now;
  sample->reward = quince_forward_start (set->backends, &quince_platform_forward_codec, &request,
                                         handle_reward_result, sample);
}
