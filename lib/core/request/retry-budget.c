/*
 * retry-budget.c: token bucket that bounds an agent's retries.
 *
 * Two allowances: a share of the first attempts, so that retries cannot
 * multiply the load of a failing zone, and a small steady rate, so that a
 * quiet agent may retry at all.
 */
#include <quince/attempt.h>

/* Retries that may be saved up from first attempts. */
static const double SAVED_RETRIES_MOST = 100.0;
/* One token, less what rounding of its parts can lose. */
static const double ONE_RETRY = 1.0 - 1e-6;

struct _QuinceRetryBudget
{
  double ratio;            /* tokens for each first attempt                   */
  double least_per_second; /* steady refill                                   */
  double saved;            /* tokens from first attempts                      */
  double steady;           /* tokens from the steady refill                   */
  gint64 refilled_us;      /* when steady was last brought up to date         */
  gboolean started;        /* whether refilled_us holds a time                */
};

/* A second's worth may be saved up, or one token where that is less. */
static double
steady_most (const QuinceRetryBudget *budget)
{
  return budget->least_per_second > 0.0 ? MAX (budget->least_per_second, 1.0) : 0.0;
}

QuinceRetryBudget *
quince_retry_budget_new (double ratio, double least_per_second)
{
  QuinceRetryBudget *budget = g_new0 (QuinceRetryBudget, 1);

  budget->ratio = MAX (ratio, 0.0);
  budget->least_per_second = MAX (least_per_second, 0.0);
  budget->steady = steady_most (budget);
  return budget;
}

void
quince_retry_budget_free (QuinceRetryBudget *budget)
{
  g_free (budget);
}

/* Adds what has come in since the last call. */
static void
refill (QuinceRetryBudget *budget, gint64 now_us)
{
  gint64 elapsed_us = budget->started ? MAX (now_us - budget->refilled_us, 0) : 0;

  budget->steady += budget->least_per_second * (double)elapsed_us / G_USEC_PER_SEC;
  budget->steady = MIN (budget->steady, steady_most (budget));
  budget->refilled_us = budget->started ? MAX (budget->refilled_us, now_us) : now_us;
  budget->started = TRUE;
}

void
quince_retry_budget_first (QuinceRetryBudget *budget, gint64 now_us)
{
  refill (budget, now_us);
  budget->saved = MIN (budget->saved + budget->ratio, SAVED_RETRIES_MOST);
}

gboolean
quince_retry_budget_take (QuinceRetryBudget *budget, gint64 now_us)
{
  double *source;

  refill (budget, now_us);
  source = budget->saved >= ONE_RETRY ? &budget->saved : &budget->steady;
  if (*source < ONE_RETRY)
    return FALSE;
  *source = MAX (*source - 1.0, 0.0);
  return TRUE;
}
