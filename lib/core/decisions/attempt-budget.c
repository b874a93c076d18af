/*
 * attempt-budget.c: limits the hedges and retries of the requests of one service in this process.
 */
#include "core/decisions/attempt-budget.h"

#include "core/decisions/hedge.h"

#include <math.h>

/* Tokens per first attempt: the workers of a service get at most 1.15 times its first attempts. */
#define TOKENS_PER_FIRST 0.15
/* Maximum number of tokens.  When half of the workers turn slow, requests are hedged until the choice of a
 * worker avoids them: with 30 tokens, more reward calls missed their target in the replay of attempt-load,
 * with 60 the arrivals reached 1.153. */
#define TOKENS_MAX 45.0
/* Tokens of a new process: six hedges of lookups in a front that sends a lookup every few seconds. */
#define TOKENS_AT_START 10.0
/* Maximum debt, tokens.  Retries of failed attempts are never denied; without a bound, hedges would be denied
 * for minutes after a fault. */
#define DEBT_MAX 30.0
/* Tokens reserved for retries, which hedges cannot take. */
#define RETRY_TOKENS 4.0
/* Further tokens reserved for hedges of lookups, which hedges of reward calls cannot take. */
#define LOOKUP_TOKENS 4.0
/* Tokens reserved for retries of lookups, which retries of reward calls cannot take. */
#define LOOKUP_RETRY_TOKENS 2.0

/* Minimum multiple of the usual response time at which a response counts as slow. */
#define SLOW_RESPONSE_SLOWDOWN 2.0
/* The service is slow if more than this share of the recent responses are.  If half of the workers are slow,
 * hedges still reach the others. */
#define SLOW_SHARE 0.75
/* The service is full if its workers refused more than this share of the recent sends.  With a quarter, more
 * reward calls missed their target in the replay, where half of the workers were slow and full. */
#define FULL_SHARE 0.5
/* The workers lose answers, rather than being slow, if more than this share of the attempts for which a hedge
 * was denied were lost; slow workers answer most of them. */
#define LOST_SHARE 0.75
/* Minimum number of recent responses, sends or denied attempts from which a share is computed. */
#define SHARE_COUNT_MIN 8.0
/* Time after which a response or send counts half, us: a slow phase lasts a few seconds. */
#define HALF_LIFE_US (double)(2 * G_USEC_PER_SEC)

/* The pause before the first retry without a token is the usual response time divided by this: a request
 * whose first attempt fails late can still meet its latency target. */
#define RETRY_PAUSE_USUAL_DIVISOR 4
/* Shortest and longest pause before a retry without a token, us. */
#define RETRY_PAUSE_MIN_US (10 * 1000)
#define RETRY_PAUSE_MAX_US (500 * 1000)
/* Maximum number of doublings of the pause; bounds the shift. */
#define RETRY_PAUSE_DOUBLINGS_MAX 4
/* A pause takes at most the remaining time divided by this. */
#define RETRY_PAUSE_TIME_LEFT_DIVISOR 4
/* Multiple of the usual response time after which an attempt counts as lost: slow workers are seen to be four
 * to seven times slower. */
#define LOST_SLOWDOWN 8
/* While the service is slow, an attempt counts as lost after this many attempt timeouts. */
#define LOST_TIMEOUTS 2
/* While the service is slow, an attempt counts as lost after the remaining time divided by this, at the
 * latest. */
#define LOST_TIME_LEFT_DIVISOR 2
/* Minimum time between two log lines about denied hedges, us. */
#define LOG_INTERVAL_US G_USEC_PER_SEC

/* Share of recent events that have a property; both counts decay. */
typedef struct
{
  double all;
  double hits;
  gint64 updated_us;
} RecentShare;

struct _QuinceAttemptBudget
{
  /* All fields belong to the context of the owner. */
  double tokens; /* negative: debt */
  QuinceRouteTimes *times;
  RecentShare slow_responses;
  RecentShare refused_sends;
  RecentShare lost_attempts; /* of those for which a hedge was denied */
  guint n_denied;            /* hedges denied since the last log line */
  gint64 log_from_us;        /* time from which the next denied hedge is logged */
};

QuinceAttemptBudget *
quince_attempt_budget_new (void)
{
  QuinceAttemptBudget *budget = g_new0 (QuinceAttemptBudget, 1);
  budget->tokens = TOKENS_AT_START;
  budget->times = quince_route_times_new ();
  return budget;
}

void
quince_attempt_budget_free (QuinceAttemptBudget *budget)
{
  if (budget == NULL)
    return;
  quince_route_times_free (budget->times);
  g_free (budget);
}

QuinceRouteTimes *
quince_attempt_budget_get_times (QuinceAttemptBudget *budget)
{
  return budget->times;
}

/* ---- Load of the service ------------------------------------------------- */

static void
decay_share (RecentShare *share, gint64 now_us)
{
  double factor = exp2 (-(double)MAX (now_us - share->updated_us, 0) / HALF_LIFE_US);
  share->all *= factor;
  share->hits *= factor;
  share->updated_us = now_us;
}

static void
record_in_share (RecentShare *share, gint64 now_us, gboolean is_hit)
{
  decay_share (share, now_us);
  share->all += 1;
  share->hits += is_hit ? 1 : 0;
}

static gboolean
exceeds_limit (RecentShare *share, gint64 now_us, double limit)
{
  decay_share (share, now_us);
  return share->all >= SHARE_COUNT_MIN && share->hits > limit * share->all;
}

void
quince_attempt_budget_record_response (QuinceAttemptBudget *budget, gint64 now_us, double slowdown)
{
  record_in_share (&budget->slow_responses, now_us, slowdown >= SLOW_RESPONSE_SLOWDOWN);
}

void
quince_attempt_budget_record_send (QuinceAttemptBudget *budget, gint64 now_us, gboolean refused)
{
  record_in_share (&budget->refused_sends, now_us, refused);
}

void
quince_attempt_budget_record_unhedged (QuinceAttemptBudget *budget, gint64 now_us, gboolean was_lost)
{
  record_in_share (&budget->lost_attempts, now_us, was_lost);
}

/* ---- Tokens --------------------------------------------------------------- */

void
quince_attempt_budget_add_first (QuinceAttemptBudget *budget)
{
  budget->tokens = MIN (budget->tokens + TOKENS_PER_FIRST, TOKENS_MAX);
}

gboolean
quince_attempt_budget_may_take (QuinceAttemptBudget *budget,
                                gint64 now_us,
                                QuinceExtraAttempt extra,
                                gboolean is_reward)
{
  if (extra == QUINCE_EXTRA_RETRY)
    return budget->tokens >= 1 + (is_reward ? LOOKUP_RETRY_TOKENS : 0);
  return budget->tokens >= 1 + RETRY_TOKENS + (is_reward ? LOOKUP_TOKENS : 0)
         && !exceeds_limit (&budget->slow_responses, now_us, SLOW_SHARE)
         && !exceeds_limit (&budget->refused_sends, now_us, FULL_SHARE);
}

void
quince_attempt_budget_take (QuinceAttemptBudget *budget)
{
  budget->tokens = MAX (budget->tokens - 1, -DEBT_MAX);
}

void
quince_attempt_budget_return (QuinceAttemptBudget *budget)
{
  budget->tokens = MIN (budget->tokens + 1, TOKENS_MAX);
}

double
quince_attempt_budget_get_tokens (const QuinceAttemptBudget *budget)
{
  return budget->tokens;
}

/* ---- Without tokens ------------------------------------------------------ */

gint64
quince_attempt_budget_retry_pause_us (const QuinceAttemptBudget *budget,
                                      const char *route,
                                      guint retries,
                                      gint64 time_left_us)
{
  gint64 usual_us = quince_route_times_get_usual_us (budget->times, route);
  gint64 pause_us = (usual_us / RETRY_PAUSE_USUAL_DIVISOR) << MIN (retries, RETRY_PAUSE_DOUBLINGS_MAX);
  return MIN (CLAMP (pause_us, RETRY_PAUSE_MIN_US, RETRY_PAUSE_MAX_US),
              MAX (time_left_us, 0) / RETRY_PAUSE_TIME_LEFT_DIVISOR);
}

gint64
quince_attempt_budget_lost_after_us (QuinceAttemptBudget *budget,
                                     gint64 now_us,
                                     const char *route,
                                     gint64 target_latency_us,
                                     gint64 time_left_us,
                                     guint attempts_left)
{
  gint64 left_us = MAX (time_left_us, 0);
  if (exceeds_limit (&budget->slow_responses, now_us, SLOW_SHARE))
    return MIN (LOST_TIMEOUTS * quince_hedge_attempt_timeout_us (target_latency_us),
                left_us / LOST_TIME_LEFT_DIVISOR);
  if (exceeds_limit (&budget->lost_attempts, now_us, LOST_SHARE))
    return 0;
  gint64 usual_us = quince_route_times_get_usual_us (budget->times, route);
  gint64 lost_us = usual_us > 0 ? LOST_SLOWDOWN * usual_us : left_us;
  return MIN (MAX (lost_us, target_latency_us), left_us / MAX (attempts_left, 1));
}

gboolean
quince_attempt_budget_count_denied (QuinceAttemptBudget *budget, gint64 now_us, guint *n_denied)
{
  budget->n_denied++;
  if (now_us < budget->log_from_us)
    return FALSE;
  *n_denied = budget->n_denied;
  budget->n_denied = 0;
  budget->log_from_us = now_us + LOG_INTERVAL_US;
  return TRUE;
}
