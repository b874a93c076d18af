/*
 * attempt.h: one caller's request through its attempts (pure).
 *
 * Each attempt is in one state.  "Not run" may be said only when every
 * attempt of the request is NOT_SENT, or was refused by an engine in so many
 * words.  From MAYBE_SENT or ACCEPTED a repeatable request may be tried
 * again, within a retry budget; one that must not be repeated ends as
 * "outcome unknown".
 */
#pragma once

#include <quince/codec.h>

G_BEGIN_DECLS

typedef enum
{
  QUINCE_ATTEMPT_NOT_SENT,
  QUINCE_ATTEMPT_MAYBE_SENT,
  QUINCE_ATTEMPT_ACCEPTED, /* first bytes of an answer came                 */
  QUINCE_ATTEMPT_FINISHED, /* finish marker seen                            */
  QUINCE_ATTEMPT_REFUSED,  /* engine said that it did not run               */
  QUINCE_ATTEMPT_FAILED,   /* connection failed after dispatch              */
} QuinceAttemptState;

/* What the agent must do next. */
typedef enum
{
  QUINCE_STEP_ASK_GRANT,      /* now, with get_attempt()                   */
  QUINCE_STEP_WAIT,           /* nothing now                               */
  QUINCE_STEP_CLAIM,          /* have the request id claimed in the ledger */
  QUINCE_STEP_DISPATCH,       /* send to the granted engine                */
  QUINCE_STEP_ANSWER_WHOLE,   /* final: the answer is whole                */
  QUINCE_STEP_ANSWER_NOT_RUN, /* final: refused, certainly not run         */
  QUINCE_STEP_ANSWER_UNKNOWN, /* final: may have run, no answer            */
  QUINCE_STEP_ANSWER_BROKEN,  /* final: stream cut after bytes went out    */
} QuinceRequestStep;

typedef struct
{
  gboolean at_most_once;
  gboolean streaming; /* bytes go to the caller as they come          */
  gint64 deadline_us;
  guint attempts_most;
} QuinceRequestOptions;

typedef struct _QuinceRequest QuinceRequest;

QuinceRequest *quince_request_new (const QuinceRequestId id, const QuinceRequestOptions *options);
void quince_request_free (QuinceRequest *request);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceRequest, quince_request_free)

/* Every function returns the next step. @attempt: events of a dead attempt
 * are ignored (QUINCE_STEP_WAIT). */
QuinceRequestStep quince_request_start (QuinceRequest *request, gint64 now_us);
/* @granted_us: when the node gave the grant, in this clock and at most @now_us; the grant
 * expires from then, so that one that lay in a paused process is not taken for fresh. */
QuinceRequestStep quince_request_granted (QuinceRequest *request,
                                          gint64 now_us,
                                          gint64 granted_us,
                                          guint attempt,
                                          const QuinceGrant *grant);
/* Refusal by a node; STOPPING and NOT_READY lead to another node. */
QuinceRequestStep quince_request_grant_refused (QuinceRequest *request,
                                                gint64 now_us,
                                                guint attempt,
                                                const QuinceRefused *refused);
/* The link to the node broke before a verdict. */
QuinceRequestStep quince_request_node_lost (QuinceRequest *request, gint64 now_us, guint attempt);
QuinceRequestStep
quince_request_claimed (QuinceRequest *request, gint64 now_us, guint attempt, QuinceLedgerStatus status);
/* Call immediately before the first byte may leave; FALSE: the grant has expired:
 * quince_request_engine_failed() with @sent FALSE gives the next step. */
gboolean quince_request_dispatching (QuinceRequest *request, gint64 now_us, guint attempt);
void quince_request_accepted (QuinceRequest *request, guint attempt);
/* Bytes went out to the caller: a retry is no longer possible. */
void quince_request_forwarded (QuinceRequest *request, guint attempt);
QuinceRequestStep quince_request_finished (QuinceRequest *request, gint64 now_us, guint attempt);
QuinceRequestStep quince_request_engine_refused (QuinceRequest *request, gint64 now_us, guint attempt);
/* @sent: whether any byte may have left */
QuinceRequestStep
quince_request_engine_failed (QuinceRequest *request, gint64 now_us, guint attempt, gboolean sent);
QuinceRequestStep quince_request_deadline (QuinceRequest *request, gint64 now_us);

guint quince_request_get_attempt (const QuinceRequest *request);
QuinceAttemptState quince_request_get_state (const QuinceRequest *request);
/* Retry-After of the last refusal, at least 1 */
guint quince_request_get_retry_after_ms (const QuinceRequest *request);
QuinceRefusal quince_request_get_refusal (const QuinceRequest *request);
/* Engine of the current grant, "" when none */
const QuinceGrant *quince_request_get_grant (const QuinceRequest *request);
/* Monotonic time at which the current grant expires; 0 when there was none */
gint64 quince_request_get_grant_expiry (const QuinceRequest *request);
/* Engines that failed, for QuinceGrantRequest.avoid (transfer none) */
GPtrArray *quince_request_get_avoid (QuinceRequest *request);

/* ---- Retry budget of one agent -------------------------------------- */

/* Token bucket filled by first attempts: at most @ratio retries per first
 * attempt, and @least a second (as in the SRE practice of retry budgets). */
typedef struct _QuinceRetryBudget QuinceRetryBudget;
QuinceRetryBudget *quince_retry_budget_new (double ratio, double least_per_second);
void quince_retry_budget_free (QuinceRetryBudget *budget);
void quince_retry_budget_first (QuinceRetryBudget *budget, gint64 now_us);
gboolean quince_retry_budget_take (QuinceRetryBudget *budget, gint64 now_us);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceRetryBudget, quince_retry_budget_free)

G_END_DECLS
