/*
 * attempt.c: one caller's request through its attempts.
 *
 * An attempt passes the phases below in order.  Whatever ends it early leads
 * to a new attempt, while one is allowed, or to the one final answer.
 */
#include <quince/attempt.h>

#include <string.h>

/* Engines named in QuinceGrantRequest.avoid. */
static const guint AVOID_MOST = 8;
static const guint LEAST_RETRY_AFTER_MS = 1;

typedef enum
{
  PHASE_NEW,        /* not started                                            */
  PHASE_ASKING,     /* waits for a verdict                                    */
  PHASE_CLAIMING,   /* granted; waits for the claim on its id                 */
  PHASE_GRANTED,    /* may be dispatched                                      */
  PHASE_DISPATCHED, /* the engine may have it                                 */
  PHASE_ENDED,      /* the final answer is given                              */
} RequestPhase;

struct _QuinceRequest
{
  QuinceRequestId id;
  QuinceRequestOptions options;
  RequestPhase phase;
  guint attempt;            /* current one, from 1                           */
  QuinceAttemptState state; /* of the current attempt                        */
  gboolean may_have_run;    /* an attempt failed after bytes may have left   */
  gboolean forwarded;       /* the caller has part of the answer             */
  gboolean claimed;         /* the ledger keeps the id for this request      */
  QuinceGrant grant;        /* owned strings; engine "" when none            */
  gint64 grant_expires_us;
  QuinceRefusal refusal; /* last one, or the reason of a final NOT_RUN    */
  guint retry_after_ms;
  GPtrArray *avoid; /* owned names, oldest first                     */
};

static void
clear_grant (QuinceRequest *request)
{
  g_free (request->grant.engine);
  g_free (request->grant.engine_address);
  request->grant = (QuinceGrant){ 0 };
  request->grant.engine = quince_string ("");
  request->grant.engine_address = quince_string ("");
}

QuinceRequest *
quince_request_new (const QuinceRequestId id, const QuinceRequestOptions *options)
{
  QuinceRequest *request = g_new0 (QuinceRequest, 1);

  memcpy (request->id, id, QUINCE_ID_BYTES);
  request->options = *options;
  request->attempt = 1;
  request->state = QUINCE_ATTEMPT_NOT_SENT;
  request->refusal = QUINCE_REFUSAL_NOT_READY;
  request->retry_after_ms = LEAST_RETRY_AFTER_MS;
  request->avoid = g_ptr_array_new_with_free_func (g_free);
  clear_grant (request);
  return request;
}

void
quince_request_free (QuinceRequest *request)
{
  if (request == NULL)
    return;
  g_free (request->grant.engine);
  g_free (request->grant.engine_address);
  g_ptr_array_unref (request->avoid);
  g_free (request);
}

/* Whether an event belongs to the current attempt in @phase. */
static gboolean
is_current (const QuinceRequest *request, guint attempt, RequestPhase phase)
{
  return request->phase == phase && request->attempt == attempt;
}

static gboolean
has_passed (const QuinceRequest *request, gint64 now_us)
{
  return now_us >= request->options.deadline_us;
}

/* ---- Ends of an attempt ------------------------------------------------ */

/* The one final answer when there is no whole one: what is true of all attempts together. */
static QuinceRequestStep
end_without_answer (QuinceRequest *request)
{
  request->phase = PHASE_ENDED;
  if (request->forwarded)
    return QUINCE_STEP_ANSWER_BROKEN;
  return request->may_have_run ? QUINCE_STEP_ANSWER_UNKNOWN : QUINCE_STEP_ANSWER_NOT_RUN;
}

static QuinceRequestStep
end_at_deadline (QuinceRequest *request)
{
  request->refusal = QUINCE_REFUSAL_DEADLINE;
  return end_without_answer (request);
}

static QuinceRequestStep
ask_again (QuinceRequest *request, gint64 now_us)
{
  if (has_passed (request, now_us))
    return end_at_deadline (request);
  if (request->attempt >= request->options.attempts_most)
    return end_without_answer (request);
  request->attempt++;
  request->phase = PHASE_ASKING;
  request->state = QUINCE_ATTEMPT_NOT_SENT;
  clear_grant (request);
  return QUINCE_STEP_ASK_GRANT;
}

static void
avoid_engine (QuinceRequest *request)
{
  const char *engine = request->grant.engine;

  if (g_ptr_array_find_with_equal_func (request->avoid, engine, g_str_equal, NULL))
    return;
  if (request->avoid->len >= AVOID_MOST)
    g_ptr_array_remove_index (request->avoid, 0);
  g_ptr_array_add (request->avoid, g_strdup (engine));
}

/* ---- Grant and claim --------------------------------------------------- */

QuinceRequestStep
quince_request_start (QuinceRequest *request, gint64 now_us)
{
  if (request->phase != PHASE_NEW)
    return QUINCE_STEP_WAIT;
  if (has_passed (request, now_us))
    return end_at_deadline (request);
  request->phase = PHASE_ASKING;
  return QUINCE_STEP_ASK_GRANT;
}

QuinceRequestStep
quince_request_granted (QuinceRequest *request,
                        gint64 now_us,
                        gint64 granted_us,
                        guint attempt,
                        const QuinceGrant *grant)
{
  if (!is_current (request, attempt, PHASE_ASKING))
    return QUINCE_STEP_WAIT;
  if (has_passed (request, now_us))
    return end_at_deadline (request);
  g_free (request->grant.engine);
  g_free (request->grant.engine_address);
  request->grant = *grant;
  request->grant.engine = quince_string (grant->engine);
  request->grant.engine_address = quince_string (grant->engine_address);
  request->grant_expires_us = granted_us + (gint64)grant->expires_ms * G_TIME_SPAN_MILLISECOND;
  if (now_us >= request->grant_expires_us)
    return ask_again (request, now_us);
  if (request->options.at_most_once && !request->claimed)
    {
      request->phase = PHASE_CLAIMING;
      return QUINCE_STEP_CLAIM;
    }
  request->phase = PHASE_GRANTED;
  return QUINCE_STEP_DISPATCH;
}

QuinceRequestStep
quince_request_grant_refused (QuinceRequest *request,
                              gint64 now_us,
                              guint attempt,
                              const QuinceRefused *refused)
{
  if (!is_current (request, attempt, PHASE_ASKING))
    return QUINCE_STEP_WAIT;
  request->refusal = refused->reason;
  request->retry_after_ms = MAX (refused->retry_after_ms, LEAST_RETRY_AFTER_MS);
  if (refused->reason == QUINCE_REFUSAL_STOPPING || refused->reason == QUINCE_REFUSAL_NOT_READY)
    return ask_again (request, now_us);
  return end_without_answer (request);
}

QuinceRequestStep
quince_request_node_lost (QuinceRequest *request, gint64 now_us, guint attempt)
{
  if (!is_current (request, attempt, PHASE_ASKING))
    return QUINCE_STEP_WAIT;
  request->refusal = QUINCE_REFUSAL_NOT_READY;
  return ask_again (request, now_us);
}

QuinceRequestStep
quince_request_claimed (QuinceRequest *request, gint64 now_us, guint attempt, QuinceLedgerStatus status)
{
  if (!is_current (request, attempt, PHASE_CLAIMING))
    return QUINCE_STEP_WAIT;
  if (status == QUINCE_LEDGER_DUPLICATE)
    {
      /* This request did not run, but the one that holds the id may have. */
      request->phase = PHASE_ENDED;
      return QUINCE_STEP_ANSWER_UNKNOWN;
    }
  request->claimed = status == QUINCE_LEDGER_OK;
  if (has_passed (request, now_us))
    return end_at_deadline (request);
  if (!request->claimed)
    return QUINCE_STEP_CLAIM;
  if (now_us >= request->grant_expires_us)
    return ask_again (request, now_us);
  request->phase = PHASE_GRANTED;
  return QUINCE_STEP_DISPATCH;
}

/* ---- Dispatch ---------------------------------------------------------- */

gboolean
quince_request_dispatching (QuinceRequest *request, gint64 now_us, guint attempt)
{
  if (!is_current (request, attempt, PHASE_GRANTED))
    return FALSE;
  if (has_passed (request, now_us) || now_us >= request->grant_expires_us)
    return FALSE;
  request->phase = PHASE_DISPATCHED;
  request->state = QUINCE_ATTEMPT_MAYBE_SENT;
  return TRUE;
}

void
quince_request_accepted (QuinceRequest *request, guint attempt)
{
  if (is_current (request, attempt, PHASE_DISPATCHED))
    request->state = QUINCE_ATTEMPT_ACCEPTED;
}

void
quince_request_forwarded (QuinceRequest *request, guint attempt)
{
  if (!is_current (request, attempt, PHASE_DISPATCHED))
    return;
  request->state = QUINCE_ATTEMPT_ACCEPTED;
  request->forwarded = TRUE;
}

QuinceRequestStep
quince_request_finished (QuinceRequest *request, gint64 now_us, guint attempt)
{
  if (!is_current (request, attempt, PHASE_DISPATCHED))
    return QUINCE_STEP_WAIT;
  request->state = QUINCE_ATTEMPT_FINISHED;
  request->phase = PHASE_ENDED;
  return QUINCE_STEP_ANSWER_WHOLE;
}

/* The engine may have run the attempt, and no whole answer will come of it. */
static QuinceRequestStep
fail_after_dispatch (QuinceRequest *request, gint64 now_us)
{
  request->state = QUINCE_ATTEMPT_FAILED;
  request->may_have_run = TRUE;
  avoid_engine (request);
  if (request->forwarded || request->options.at_most_once)
    return end_without_answer (request);
  return ask_again (request, now_us);
}

QuinceRequestStep
quince_request_engine_refused (QuinceRequest *request, gint64 now_us, guint attempt)
{
  if (!is_current (request, attempt, PHASE_DISPATCHED))
    return QUINCE_STEP_WAIT;
  /* A refusal after an answer began is no proof that nothing ran. */
  if (request->state == QUINCE_ATTEMPT_ACCEPTED)
    return fail_after_dispatch (request, now_us);
  request->state = QUINCE_ATTEMPT_REFUSED;
  request->refusal = QUINCE_REFUSAL_OVERLOADED;
  avoid_engine (request);
  return ask_again (request, now_us);
}

QuinceRequestStep
quince_request_engine_failed (QuinceRequest *request, gint64 now_us, guint attempt, gboolean sent)
{
  /* The grant expired before the dispatch, or the engine was given up without one. */
  if (is_current (request, attempt, PHASE_GRANTED) && !sent)
    {
      request->refusal = QUINCE_REFUSAL_OVERLOADED;
      return ask_again (request, now_us);
    }
  if (!is_current (request, attempt, PHASE_DISPATCHED))
    return QUINCE_STEP_WAIT;
  if (sent || request->state == QUINCE_ATTEMPT_ACCEPTED)
    return fail_after_dispatch (request, now_us);
  request->state = QUINCE_ATTEMPT_NOT_SENT;
  request->refusal = QUINCE_REFUSAL_NO_ENGINE;
  avoid_engine (request);
  return ask_again (request, now_us);
}

QuinceRequestStep
quince_request_deadline (QuinceRequest *request, gint64 now_us)
{
  if (request->phase == PHASE_ENDED)
    return QUINCE_STEP_WAIT;
  if (request->phase == PHASE_DISPATCHED)
    {
      request->state = QUINCE_ATTEMPT_FAILED;
      request->may_have_run = TRUE;
    }
  return end_at_deadline (request);
}

/* ---- What the agent may ask --------------------------------------------- */

guint
quince_request_get_attempt (const QuinceRequest *request)
{
  return request->attempt;
}

QuinceAttemptState
quince_request_get_state (const QuinceRequest *request)
{
  return request->state;
}

guint
quince_request_get_retry_after_ms (const QuinceRequest *request)
{
  return request->retry_after_ms;
}

QuinceRefusal
quince_request_get_refusal (const QuinceRequest *request)
{
  return request->refusal;
}

const QuinceGrant *
quince_request_get_grant (const QuinceRequest *request)
{
  return &request->grant;
}

gint64
quince_request_get_grant_expiry (const QuinceRequest *request)
{
  return request->grant_expires_us;
}

GPtrArray *
quince_request_get_avoid (QuinceRequest *request)
{
  return request->avoid;
}
