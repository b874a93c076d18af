/*
 * requests.c: decides a request that arrives: at once, later, or refused.
 */
#include "scheduler-private.h"

#define AVOID_MOST 8    /* of the protocol            */
#define FORGET_A_CALL 4 /* grants forgotten in passing */

/* Repeats of an attempt that is known; returns whether it was one. */
static gboolean
answer_repeat (QuinceScheduler *scheduler,
               gint64 now_us,
               guint64 client,
               const QuinceGrantRequest *request,
               const QuinceAttemptKey *key,
               GPtrArray *decisions)
{
  QuinceWaiting *waiting = g_hash_table_lookup (scheduler->waiting, key);
  if (waiting != NULL)
    {
      /* The verdict goes to the one that asked first; nobody waits for a verdict that never comes. */
      if (waiting->client != client)
        quince_reply_refuse (scheduler, now_us, client, request, waiting->service, QUINCE_REFUSAL_OVERLOADED,
                             0, "this attempt waits for another client", decisions);
      return TRUE;
    }
  QuinceGrantEntry *grant = quince_grant_table_find (scheduler->grants, key);
  if (grant == NULL)
    return FALSE;
  if (grant->ended || grant->expires_us <= now_us)
    quince_reply_refuse (scheduler, now_us, client, request, grant->service, QUINCE_REFUSAL_OVERLOADED, 0,
                         "this attempt was granted before; ask with a new attempt", decisions);
  else
    quince_reply_grant (scheduler, now_us, client, grant, decisions);
  return TRUE;
}

/* Within the bounds of the protocol, so that the request can be copied. */
static gboolean
request_is_valid (const QuinceGrantRequest *request)
{
  return request->service[0] != '\0' && strlen (request->service) <= QUINCE_MAX_NAME
         && strlen (request->member) <= QUINCE_MAX_NAME && strlen (request->kind) <= QUINCE_MAX_NAME
         && request->prefix.prefix_len <= QUINCE_MAX_PREFIX && request->avoid.avoid_len <= AVOID_MOST;
}

/* Reasons that need no look at the policy; -1: none. */
static gint
early_refusal (const QuinceScheduler *scheduler,
               const QuinceGrantRequest *request,
               const QuinceServiceView *view,
               const char **detail)
{
  if (!scheduler->ready)
    {
      *detail = "policy not known yet";
      return QUINCE_REFUSAL_NOT_READY;
    }
  if (!request_is_valid (request))
    {
      *detail = "a name is missing or too long, or there are too many prefix blocks";
      return QUINCE_REFUSAL_BAD_REQUEST;
    }
  if (request->deadline_ms == 0)
    {
      *detail = "no time is left";
      return QUINCE_REFUSAL_DEADLINE;
    }
  if (view->usable == 0 && (view->unheard > 0 || !scheduler->heard_engines))
    {
      /* This node was paused or cut off, or has just started: another one may know better. */
      *detail = "engines have not been heard of lately";
      return QUINCE_REFUSAL_NOT_READY;
    }
  if (view->usable == 0)
    {
      *detail = view->engines == NULL ? "no engine serves this" : "no engine can be used now";
      return QUINCE_REFUSAL_NO_ENGINE;
    }
  return -1;
}

/* Whether the request may wait; NULL: yes, otherwise why not. */
static const char *
why_not_wait (QuinceScheduler *scheduler, gint64 now_us, const QuincePlacement *placement)
{
  QuinceServiceQueue *service = placement->service;
  const char *member = placement->request->member;
  guint ahead = quince_fair_queue_ahead (service->queue, placement->priority, member);
  double need_ms = quince_admission_wait_ms (&service->meter, ahead + 1)
                   + quince_drain_meter_service_ms (&service->meter, placement->request->work_class);
  if (now_us + need_ms * 1000 > placement->deadline_us)
    return "cannot finish before its deadline";
  if (!quince_admission_has_room (scheduler->limits.queue_most, g_hash_table_size (scheduler->waiting),
                                  quince_fair_queue_member_length (service->queue, member)))
    return "queue is full";
  return NULL;
}

/* Tries to grant at once.  Whatever still waits after the queue was served
 * cannot run now, be it for its weight version or an event's reserve, so it
 * does not hold up a request that can. */
static gboolean
place_now (QuinceScheduler *scheduler,
           gint64 now_us,
           const QuincePlacement *placement,
           const QuinceServiceView *view,
           GPtrArray *decisions)
{
  QuinceServiceQueue *service = placement->service;
  if (view->free_slots == 0)
    return FALSE;
  quince_queue_serve (scheduler, now_us, service, decisions);
  if (!quince_place (scheduler, now_us, placement, decisions))
    return FALSE;
  if (quince_fair_queue_length (service->queue) > 0)
    quince_drain_meter_update (&service->meter, now_us, 1, TRUE);
  return TRUE;
}

/* Grants at once, queues, or refuses as overloaded. */
static void
place_or_queue (QuinceScheduler *scheduler,
                gint64 now_us,
                const QuincePlacement *placement,
                const QuinceServiceView *view,
                GPtrArray *decisions)
{
  gboolean retry = placement->request->attempt > 1;
  const char *refusal = NULL;
  gboolean placed = FALSE;
  if (retry && !quince_retry_budget_available (&scheduler->retries, now_us))
    refusal = "retry budget is used up";
  else
    placed = place_now (scheduler, now_us, placement, view, decisions);
  if (!placed && refusal == NULL)
    refusal = why_not_wait (scheduler, now_us, placement);
  if (refusal != NULL)
    {
      quince_reply_refuse (scheduler, now_us, placement->client, placement->request, placement->service,
                           QUINCE_REFUSAL_OVERLOADED, 0, refusal, decisions);
      return;
    }
  if (retry)
    quince_retry_budget_spend (&scheduler->retries);
  if (!placed)
    quince_queue_add (scheduler, now_us, placement);
}

static void
decide (QuinceScheduler *scheduler,
        gint64 now_us,
        guint64 client,
        const QuinceGrantRequest *request,
        const QuinceAttemptKey *key,
        const QuinceServiceView *view,
        GPtrArray *decisions)
{
  QuinceServiceQueue *service = quince_claim_service (scheduler, request->service);
  QuincePolicyRequest policy_request;
  QuincePolicyAdmission admission = { 0 };
  quince_policy_request (scheduler, now_us, request, request->deadline_ms, service, view, &policy_request);
  quince_admit (scheduler, &policy_request, &admission);
  if (admission.refuse)
    {
      quince_reply_refuse (scheduler, now_us, client, request, service, QUINCE_REFUSAL_POLICY,
                           admission.retry_after_ms, admission.reason, decisions);
      return;
    }
  QuincePlacement placement = {
    .request = request,
    .key = *key,
    .client = client,
    .deadline_us = now_us + (gint64)request->deadline_ms * 1000,
    .priority = admission.priority,
    .min_version = MAX (request->min_version, admission.min_version),
    .share = admission.share,
    .service = service,
  };
  if (placement.min_version > view->reachable_version)
    quince_reply_refuse (scheduler, now_us, client, request, service, QUINCE_REFUSAL_NO_ENGINE, 0,
                         "no engine has the weight version", decisions);
  else
    place_or_queue (scheduler, now_us, &placement, view, decisions);
}

void
quince_scheduler_request (QuinceScheduler *scheduler,
                          gint64 now_us,
                          guint64 client,
                          const QuinceGrantRequest *request,
                          GPtrArray *decisions)
{
  QuinceAttemptKey key;
  QuinceServiceView view;
  const char *detail = NULL;
  quince_forget_due_grants (scheduler, now_us, FORGET_A_CALL);
  quince_queue_refuse_overdue (scheduler, now_us, decisions);
  if (scheduler->stopping)
    {
      quince_reply_refuse (scheduler, now_us, client, request, NULL, QUINCE_REFUSAL_STOPPING, 0,
                           "node is stopping", decisions);
      return;
    }
  quince_attempt_key_set (&key, request->request_id, request->attempt);
  if (answer_repeat (scheduler, now_us, client, request, &key, decisions))
    return;
  if (request->attempt <= 1)
    quince_service_counts_get (scheduler->counts, request->member, request->kind)->count.asked++;
  quince_service_view (scheduler, now_us, request->service, &view);
  gint refusal = early_refusal (scheduler, request, &view, &detail);
  if (refusal >= 0)
    quince_reply_refuse (scheduler, now_us, client, request, NULL, (QuinceRefusal)refusal, 0, detail,
                         decisions);
  else
    decide (scheduler, now_us, client, request, &key, &view, decisions);
}

/* What the end tells about the engine and the member's service. */
