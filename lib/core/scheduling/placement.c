/*
 * placement.c: asks the policy and puts a request on an engine.
 */
#include "scheduler-private.h"

#include <math.h>

#include "spread.h"

#define EVENT_LEAD_US (2 * G_USEC_PER_SEC) /* rollouts leave room this long before an event */
#define SHARE_LEAST 0.01
#define SHARE_MOST 100.0

static gboolean
event_is_active (const QuinceScheduler *scheduler, gint64 now_us)
{
  return now_us >= scheduler->event_start_us && now_us < scheduler->event_end_us;
}

static gboolean
event_is_near (const QuinceScheduler *scheduler, gint64 now_us)
{
  return now_us >= scheduler->event_start_us - EVENT_LEAD_US && now_us < scheduler->event_end_us;
}

/* A rollout in an engine's queue would take the extra places from Lookups. */
static QuinceRoomQuery
room_query (const QuinceScheduler *scheduler, gboolean rollout)
{
  return (QuinceRoomQuery){ .overcommit = scheduler->limits.overcommit,
                            .engine_wait_ms = scheduler->limits.engine_wait_ms,
                            .may_queue = !rollout };
}

void
quince_service_view (QuinceScheduler *scheduler, gint64 now_us, const char *service, QuinceServiceView *view)
{
  QuinceRoomQuery room = room_query (scheduler, FALSE);
  *view = (QuinceServiceView){ .engines = quince_engine_table_of_service (scheduler->engines, service) };
  if (view->engines == NULL)
    return;
  for (guint i = 0; i < view->engines->len; i++)
    {
      const QuinceEngine *engine = view->engines->pdata[i];
      if (!quince_engine_table_usable (scheduler->engines, engine, now_us))
        {
          view->unheard += quince_engine_is_serving (engine);
          continue;
        }
      view->usable++;
      view->free_slots += quince_engine_room (engine, &room);
      view->newest_version = MAX (view->newest_version, engine->weight_version);
      view->reachable_version
          = MAX (view->reachable_version, MAX (engine->weight_version, engine->target_version));
    }
}

void
quince_policy_request (QuinceScheduler *scheduler,
                       gint64 now_us,
                       const QuinceGrantRequest *request,
                       guint deadline_ms,
                       QuinceServiceQueue *service,
                       const QuinceServiceView *view,
                       QuincePolicyRequest *out)
{
  gboolean rollout = request->work_class == QUINCE_WORK_ROLLOUT;
  gint priority = rollout ? QUINCE_BUILTIN_ROLLOUT_PRIORITY : QUINCE_BUILTIN_LOOKUP_PRIORITY;
  guint ahead = quince_fair_queue_ahead (service->queue, priority, request->member);
  gboolean event_known = scheduler->event_start_us > now_us && scheduler->event_end_us > now_us;
  *out = (QuincePolicyRequest){
    .service = request->service,
    .member = request->member,
    .kind = request->kind,
    .rollout = rollout,
    .at_most_once = request->at_most_once,
    .attempt = request->attempt,
    .deadline_ms = deadline_ms,
    .prompt_tokens = request->prompt_tokens,
    .expected_tokens = request->expected_tokens,
    .waiting = g_hash_table_size (scheduler->waiting),
    .member_waiting = quince_fair_queue_member_length (service->queue, request->member),
    .estimated_wait_ms = ahead > 0 ? quince_admission_wait_ms (&service->meter, ahead + 1) : 0,
    .event_active = event_is_active (scheduler, now_us),
    .event_in_ms = event_known ? (scheduler->event_start_us - now_us) / 1000 : -1,
    .newest_version = view->newest_version,
  };
}

void
quince_admit (QuinceScheduler *scheduler, const QuincePolicyRequest *request, QuincePolicyAdmission *out)
{
  const QuinceDecider *decider = &scheduler->decider;
  gboolean decided = FALSE;
  if (decider->admit != NULL)
    {
      decided = decider->admit (decider->user_data, request, out);
      if (!decided)
        scheduler->counters.policy_failures++;
    }
  if (!decided)
    quince_builtin_admit (request, out);
  out->share = isfinite (out->share) ? CLAMP (out->share, SHARE_LEAST, SHARE_MOST) : 1.0;
}

/* ---- Scores ------------------------------------------------------------------ */

static void
describe_engine (const QuinceCandidate *candidate, gint64 now_us, QuincePolicyEngine *out)
{
  const QuinceEngine *engine = candidate->engine;
  *out = (QuincePolicyEngine){
    .name = engine->name,
    .running = candidate->used,
    .capacity = engine->capacity,
    .queued = engine->waiting,
    .load = candidate->load,
    .prefix_match = candidate->prefix_match,
    .weight_version = engine->weight_version,
    .target_version = engine->target_version,
    .recent_ms = (guint)engine->service_ms,
    .recent_failures = quince_engine_recent_failures (engine, now_us),
    .same_zone = engine->same_zone,
  };
}

static void
score_candidates (QuinceScheduler *scheduler,
                  gint64 now_us,
                  const QuincePlacement *placement,
                  const QuinceCandidate *candidates,
                  guint n_candidates,
                  double *scores)
{
  QuincePolicyEngine engines[QUINCE_CANDIDATES_MOST];
  const QuinceDecider *decider = &scheduler->decider;
  for (guint i = 0; i < n_candidates; i++)
    describe_engine (&candidates[i], now_us, &engines[i]);
  if (decider->score != NULL)
    {
      QuincePolicyRequest request;
      QuinceServiceView view;
      quince_service_view (scheduler, now_us, placement->request->service, &view);
      guint left_ms = (guint)CLAMP ((placement->deadline_us - now_us) / 1000, 0, G_MAXUINT);
      quince_policy_request (scheduler, now_us, placement->request, left_ms, placement->service, &view,
                             &request);
      if (decider->score (decider->user_data, &request, engines, n_candidates, scores))
        return;
      scheduler->counters.policy_failures++;
    }
  for (guint i = 0; i < n_candidates; i++)
    scores[i] = quince_builtin_score (&engines[i]);
}

/* (nullable): the candidate with the greatest score; the policy may rule out all. */
static const QuinceCandidate *
best_candidate (const QuinceCandidate *candidates, const double *scores, guint n_candidates)
{
  gint best = -1;
  for (guint i = 0; i < n_candidates; i++)
    {
      if (isnan (scores[i]) || scores[i] == -HUGE_VAL)
        continue;
      if (best < 0 || scores[i] > scores[best]
          || (scores[i] == scores[best] && candidates[i].tie > candidates[best].tie))
        best = (gint)i;
    }
  return best >= 0 ? &candidates[best] : NULL;
}

/* ---- Grants ------------------------------------------------------------------ */

static void
grant (QuinceScheduler *scheduler,
       gint64 now_us,
       const QuincePlacement *placement,
       const QuinceCandidate *candidate,
       GPtrArray *decisions)
{
  const QuinceGrantRequest *request = placement->request;
  QuinceEngine *engine = candidate->engine;
  gint64 grant_us = (gint64)scheduler->limits.grant_ms * 1000;
  /* An answer is cut at its deadline, so a slot is not held long after it. */
  gint64 abandon_us
      = MIN (now_us + (gint64)scheduler->limits.abandon_ms * 1000, placement->deadline_us + grant_us);
  QuinceGrantEntry *entry
      = quince_grant_table_add (scheduler->grants, &placement->key, engine,
                                MIN (now_us + grant_us, placement->deadline_us), abandon_us);
  entry->granted_us = now_us;
  entry->granted_at_report = quince_engine_granted (engine, candidate->prefix_match);
  entry->count = quince_service_counts_get (scheduler->counts, request->member, request->kind);
  entry->service = placement->service;
  entry->policy_revision = scheduler->decider.revision;
  entry->priority = placement->priority;
  entry->min_version = placement->min_version;
  entry->work_class = request->work_class;
  placement->service->meter.slots[entry->work_class]++;
  quince_prefix_index_store (scheduler->prefixes, engine->prefix_slot, request->prefix.prefix_val,
                             MIN (request->prefix.prefix_len, QUINCE_MAX_PREFIX));
  scheduler->counters.granted++;
  if (request->attempt > 1)
    scheduler->counters.retries_granted++;
  else
    quince_retry_budget_earn (&scheduler->retries, scheduler->limits.retry_ratio);
  quince_reply_grant (scheduler, now_us, placement->client, entry, decisions);
}

gboolean
quince_place (QuinceScheduler *scheduler,
              gint64 now_us,
              const QuincePlacement *placement,
              GPtrArray *decisions)
{
  QuinceCandidate candidates[QUINCE_CANDIDATES_MOST];
  double scores[QUINCE_CANDIDATES_MOST];
  gboolean rollout = placement->request->work_class == QUINCE_WORK_ROLLOUT;
  const GPtrArray *engines = quince_engine_table_of_service (scheduler->engines, placement->request->service);
  QuinceCandidateQuery query = {
    .request = placement->request,
    .min_version = placement->min_version,
    .keep_reserve = rollout && event_is_near (scheduler, now_us),
    .room = room_query (scheduler, rollout),
    .seed = quince_spread (scheduler->seed, quince_attempt_key_hash (&placement->key)),
    .most = scheduler->limits.candidates,
  };
  if (engines == NULL)
    return FALSE;
  guint n_candidates
      = quince_candidates_pick (scheduler->engines, engines, scheduler->prefixes, now_us, &query, candidates);
  if (n_candidates == 0)
    return FALSE;
  score_candidates (scheduler, now_us, placement, candidates, n_candidates, scores);
  const QuinceCandidate *best = best_candidate (candidates, scores, n_candidates);
  if (best == NULL)
    return FALSE;
  grant (scheduler, now_us, placement, best, decisions);
  return TRUE;
}
