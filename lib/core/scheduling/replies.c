/*
 * replies.c: builds the decisions that the scheduler hands out.
 */
#include "scheduler-private.h"
#include "spread.h"

#define IDLE_RETRY_MS 500 /* base for refusals that no queue's drain explains */
#define DETAIL_BYTES 256

void
quince_decision_free (QuinceDecision *decision)
{
  xdr_free ((xdrproc_t)xdr_QuinceGrantReply,
            (char *)&decision->reply); /* what the reply holds, not the struct */
  g_free (decision);
}

GPtrArray *
quince_decisions_new (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify)quince_decision_free);
}

static QuinceGrantReply *
add_decision (guint64 client, const void *request_id, guint attempt, guint64 revision, GPtrArray *decisions)
{
  QuinceDecision *decision = g_new0 (QuinceDecision, 1);
  decision->client = client;
  memcpy (decision->reply.request_id, request_id, QUINCE_ID_BYTES);
  decision->reply.attempt = attempt;
  decision->reply.policy_revision = revision;
  g_ptr_array_add (decisions, decision);
  return &decision->reply;
}

void
quince_reply_grant (QuinceScheduler *scheduler,
                    gint64 now_us,
                    guint64 client,
                    const QuinceGrantEntry *grant,
                    GPtrArray *decisions)
{
  QuinceGrantReply *reply
      = add_decision (client, grant->key.request_id, grant->key.attempt, grant->policy_revision, decisions);
  reply->verdict.kind = QUINCE_VERDICT_GRANTED;
  QuinceGrant *out = &reply->verdict.QuinceVerdict_u.grant;
  out->grant_id = grant->grant_id;
  out->engine = quince_string (grant->engine->name);
  out->engine_address = quince_string (grant->engine->address);
  out->priority = grant->priority;
  out->min_version = grant->min_version;
  out->expires_ms = (guint)MAX ((grant->expires_us - now_us) / 1000, 1);
}

/* Overload passes at the drain rate; the other reasons at their own time. */
static guint
retry_after_ms (QuinceScheduler *scheduler, gint64 now_us, QuinceServiceQueue *service, QuinceRefusal reason)
{
  gboolean drains = reason == QUINCE_REFUSAL_OVERLOADED || reason == QUINCE_REFUSAL_POLICY
                    || reason == QUINCE_REFUSAL_DEADLINE;
  if (drains && service != NULL)
    return quince_admission_retry_after_ms (&service->meter, now_us,
                                            quince_fair_queue_length (service->queue), scheduler->seed);
  double spread = 0.5 + quince_spread_unit (scheduler->seed, scheduler->idle_meter.refusals++);
  return (guint)(IDLE_RETRY_MS * spread);
}

void
quince_reply_refuse (QuinceScheduler *scheduler,
                     gint64 now_us,
                     guint64 client,
                     const QuinceGrantRequest *request,
                     QuinceServiceQueue *service,
                     QuinceRefusal reason,
                     guint after_ms,
                     const char *detail,
                     GPtrArray *decisions)
{
  QuinceGrantReply *reply
      = add_decision (client, request->request_id, request->attempt, scheduler->decider.revision, decisions);
  reply->verdict.kind = QUINCE_VERDICT_REFUSED;
  QuinceRefused *out = &reply->verdict.QuinceVerdict_u.refused;
  out->reason = reason;
  out->retry_after_ms = after_ms > 0 ? after_ms : retry_after_ms (scheduler, now_us, service, reason);
  out->detail
      = strlen (detail) < DETAIL_BYTES ? quince_string (detail) : g_strndup (detail, DETAIL_BYTES - 1);
  scheduler->counters.refused[reason]++;
  quince_service_counts_get (scheduler->counts, request->member, request->kind)->count.refused++;
}
