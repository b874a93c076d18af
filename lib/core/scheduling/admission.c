/*
 * admission.c: see admission.h.
 */
#include "admission.h"

#include <math.h>

#include "spread.h"

#define MEMORY_S 2.0           /* time constant of the measured drain rate      */
#define PRIOR_S 0.5            /* backlogged time that the estimate weighs      */
#define ASSUMED_SERVICE_MS 200 /* until an answer was measured                  */
#define SMOOTHING 0.1
#define RETRY_LEAST_MS 20
#define RETRY_MOST_MS 30000 /* before the spread                             */
#define MEMBER_THRESHOLD 4  /* of the room that is left                      */
#define RETRY_TOKENS_MOST 64.0
#define RETRY_TOKENS_A_SECOND 10.0

/* Of the work that holds slots: its first end is the first departure. */
static double
shortest_service_ms (const QuinceDrainMeter *meter)
{
  double lookup_ms = quince_drain_meter_service_ms (meter, QUINCE_WORK_LOOKUP);
  double rollout_ms = quince_drain_meter_service_ms (meter, QUINCE_WORK_ROLLOUT);
  if (meter->slots[QUINCE_WORK_LOOKUP] == 0)
    return rollout_ms;
  return meter->slots[QUINCE_WORK_ROLLOUT] == 0 ? lookup_ms : MIN (lookup_ms, rollout_ms);
}

void
quince_drain_meter_update (QuinceDrainMeter *meter, gint64 now_us, guint departures, gboolean backlogged)
{
  gint64 first_end_us = meter->began_us + (gint64)(shortest_service_ms (meter) * 1000);
  gint64 since_us = MAX (meter->updated_us, first_end_us);
  double elapsed_s = (double)MAX (now_us - since_us, 0) / G_USEC_PER_SEC;
  if (meter->backlogged && now_us >= first_end_us)
    {
      double kept = exp (-elapsed_s / MEMORY_S);
      meter->departures = meter->departures * kept + departures;
      meter->backlogged_s = meter->backlogged_s * kept + elapsed_s;
    }
  meter->updated_us = MAX (now_us, meter->updated_us);
  if (backlogged && !meter->backlogged)
    meter->began_us = now_us;
  meter->backlogged = backlogged;
}

void
quince_drain_meter_served (QuinceDrainMeter *meter, QuinceWorkClass work_class, guint service_ms)
{
  double *smoothed = &meter->service_ms[work_class];
  if (*smoothed == 0)
    *smoothed = MAX (service_ms, 1);
  else
    *smoothed = MAX (*smoothed + SMOOTHING * (service_ms - *smoothed), 1);
}

double
quince_drain_meter_service_ms (const QuinceDrainMeter *meter, QuinceWorkClass work_class)
{
  return meter->service_ms[work_class] > 0 ? meter->service_ms[work_class] : ASSUMED_SERVICE_MS;
}

double
quince_drain_meter_rate (const QuinceDrainMeter *meter)
{
  guint lookups = meter->slots[QUINCE_WORK_LOOKUP];
  guint rollouts = meter->slots[QUINCE_WORK_ROLLOUT];
  if (lookups + rollouts == 0)
    lookups = 1;
  double estimated = lookups * 1000.0 / quince_drain_meter_service_ms (meter, QUINCE_WORK_LOOKUP)
                     + rollouts * 1000.0 / quince_drain_meter_service_ms (meter, QUINCE_WORK_ROLLOUT);
  return (meter->departures + estimated * PRIOR_S) / (meter->backlogged_s + PRIOR_S);
}

guint
quince_admission_wait_ms (const QuinceDrainMeter *meter, guint ahead)
{
  double wait_ms = ahead * 1000.0 / quince_drain_meter_rate (meter);
  return (guint)MIN (wait_ms, G_MAXINT);
}

guint
quince_admission_retry_after_ms (QuinceDrainMeter *meter, gint64 now_us, guint waiting, guint64 seed)
{
  double interval_us = G_USEC_PER_SEC / quince_drain_meter_rate (meter);
  gint64 drained_us = now_us + (gint64)MIN (waiting * interval_us, RETRY_MOST_MS * 1000.0);
  /* Each one refused gets the next turn at the drain rate, as in a leaky bucket. */
  gint64 turn_us = MAX (meter->next_return_us, drained_us) + (gint64)MIN (interval_us, G_USEC_PER_SEC);
  meter->next_return_us = MIN (turn_us, now_us + RETRY_MOST_MS * 1000);
  double spread = 0.75 + 0.5 * quince_spread_unit (seed, meter->refusals++);
  double after_ms = RETRY_LEAST_MS + (double)(meter->next_return_us - now_us) / 1000 * spread;
  return (
      guint)after_ms; /* at most a quarter above RETRY_MOST_MS: a bound here would bring many back together */
}

gboolean
quince_admission_has_room (guint queue_most, guint waiting, guint member_waiting)
{
  if (waiting >= queue_most)
    return FALSE;
  return member_waiting < (guint64)MEMBER_THRESHOLD * (queue_most - waiting);
}

/* ---- Retries ----------------------------------------------------------------- */

void
quince_retry_budget_init (QuinceRetryBudget *budget)
{
  *budget = (QuinceRetryBudget){ .tokens = RETRY_TOKENS_A_SECOND };
}

void
quince_retry_budget_earn (QuinceRetryBudget *budget, double retry_ratio)
{
  budget->tokens = MIN (budget->tokens + MAX (retry_ratio, 0.0), RETRY_TOKENS_MOST);
}

gboolean
quince_retry_budget_available (QuinceRetryBudget *budget, gint64 now_us)
{
  if (budget->updated_us != 0 && now_us > budget->updated_us)
    {
      double elapsed_s = (double)(now_us - budget->updated_us) / G_USEC_PER_SEC;
      budget->tokens = MIN (budget->tokens + elapsed_s * RETRY_TOKENS_A_SECOND, RETRY_TOKENS_MOST);
    }
  budget->updated_us = MAX (now_us, budget->updated_us);
  return budget->tokens >= 1.0;
}

void
quince_retry_budget_spend (QuinceRetryBudget *budget)
{
  budget->tokens -= 1.0;
}
