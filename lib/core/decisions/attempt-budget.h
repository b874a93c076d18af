/*
 * attempt-budget.h: limits the hedges and retries of the requests of one service in this process.
 *
 * A token bucket: each first attempt adds 0.15 tokens, each hedge and each retry of an attempt that may have
 * run takes one.  So workers get at most 1.15 times the first attempts over any longer time.  Only hedges are
 * denied; a retry of a failed attempt is at most delayed, and puts the bucket into debt if it is empty.
 *
 * Pure: time is an argument, in microseconds of one monotonic clock.  Owned by lib/forward/backends, used by
 * lib/forward/forward.c for services whose routes have different latency targets.
 */
#pragma once

#include "core/routing/route-times.h"

G_BEGIN_DECLS

typedef struct _QuinceAttemptBudget QuinceAttemptBudget;

typedef enum
{
  QUINCE_EXTRA_RETRY, /* no attempt is in flight, and an earlier one may have run */
  QUINCE_EXTRA_HEDGE, /* an attempt is in flight, or one that is silent is abandoned in favor of this one */
} QuinceExtraAttempt;

QuinceAttemptBudget *quince_attempt_budget_new (void);
void quince_attempt_budget_free (QuinceAttemptBudget *budget);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceAttemptBudget, quince_attempt_budget_free)

/* Returns the response times of the service by route. (transfer none) */
QuinceRouteTimes *quince_attempt_budget_get_times (QuinceAttemptBudget *budget);

/* ---- Tokens --------------------------------------------------------------- */

/* Adds the tokens of a first attempt. */
void quince_attempt_budget_add_first (QuinceAttemptBudget *budget);
/**
 * quince_attempt_budget_may_take:
 * @is_reward: the attempt is one of a reward call, not of a caller's request
 *
 * Decides whether the bucket has a token for the attempt.  The last four tokens are reserved for retries, and
 * the four before them for hedges of lookups, since only lookups have a caller that waits.  A hedge is also
 * denied while the service is slow at most of its workers or full: another worker would not answer sooner.
 */
gboolean quince_attempt_budget_may_take (QuinceAttemptBudget *budget,
                                         gint64 now_us,
                                         QuinceExtraAttempt extra,
                                         gboolean is_reward);
/* Takes a token; the bucket may go into debt. */
void quince_attempt_budget_take (QuinceAttemptBudget *budget);
/* Returns a token that was taken for an attempt that did not run. */
void quince_attempt_budget_return (QuinceAttemptBudget *budget);
/* Returns the number of tokens; negative: debt. */
double quince_attempt_budget_get_tokens (const QuinceAttemptBudget *budget);

/* ---- Load of the service ------------------------------------------------- */

/* Records a response of the service, or an attempt that is late without a response.  @slowdown: see
 * quince_route_times_get_slowdown() */
void quince_attempt_budget_record_response (QuinceAttemptBudget *budget, gint64 now_us, double slowdown);
/* Records a send to a worker that is not draining.  @refused: the worker refused to run the request */
void quince_attempt_budget_record_send (QuinceAttemptBudget *budget, gint64 now_us, gboolean refused);

/* Records the end of an attempt for which a hedge was denied.  @was_lost: it had no answer when it counted as
 * lost; otherwise the worker answered it */
void quince_attempt_budget_record_unhedged (QuinceAttemptBudget *budget, gint64 now_us, gboolean was_lost);

/* ---- Without tokens ------------------------------------------------------ */

/**
 * quince_attempt_budget_retry_pause_us:
 * @route: route of the request
 * @retries: number of retries of the request so far
 * @time_left_us: time until no attempt of the request may start
 *
 * Decides how long a retry without a token waits: a quarter of the usual response time of the route, doubled
 * with each retry, 10 to 500 ms, and at most a quarter of the remaining time, so that no request fails by it.
 */
gint64 quince_attempt_budget_retry_pause_us (const QuinceAttemptBudget *budget,
                                             const char *route,
                                             guint retries,
                                             gint64 time_left_us);
/**
 * quince_attempt_budget_lost_after_us:
 * @route: route of the request
 * @target_latency_us: latency target of the route, us; 0: none
 * @time_left_us: time from the start of the attempt until no attempt of the request may start
 * @attempts_left: number of attempts that the request may still run, including the one in flight
 *
 * Decides when an attempt without an answer counts as lost.  Then another one starts even without a token,
 * since the request would fail otherwise: after eight times the usual response time of the route, but not
 * before its latency target; at the latest so that the attempts left share the remaining time.  It counts as
 * lost at once if more than three quarters of the recent attempts for which a hedge was denied were lost:
 * such attempts are sent again anyway, so that a wait delays the answer and saves no attempt.  While the
 * service is slow at most of its workers, answers are late rather than lost: an attempt counts as lost after
 * four times the latency target, at the latest after half the remaining time.
 *
 * Returns: us from the start of the attempt
 */
gint64 quince_attempt_budget_lost_after_us (QuinceAttemptBudget *budget,
                                            gint64 now_us,
                                            const char *route,
                                            gint64 target_latency_us,
                                            gint64 time_left_us,
                                            guint attempts_left);
/**
 * quince_attempt_budget_count_denied:
 * @n_denied: (out): number of denied hedges since the last time this returned %TRUE
 *
 * Counts a denied hedge.
 *
 * Returns: whether it is logged, at most once per second
 */
gboolean quince_attempt_budget_count_denied (QuinceAttemptBudget *budget, gint64 now_us, guint *n_denied);

G_END_DECLS
