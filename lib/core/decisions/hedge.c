/*
 * hedge.c: when a second worker is asked beside a slow one, and when a silent attempt is given up for a
 * third.
 */
#include "core/decisions/hedge.h"

/* A hedge begins after this many times the worker's smoothed time of an answer.  Not measured by itself: far
 * enough above the mean that few ordinary answers are hedged. */
#define HEDGE_DELAY_SERVICE_TIMES 3
/* Shortest time before a hedge, us.  Not measured: over twice a usual run of a lookup (25 ms). */
#define HEDGE_DELAY_MIN_US (60 * 1000)
/* Longest time before a hedge, as a part of the latency target: the other half is left for the second worker.
 * Not measured. */
#define HEDGE_DELAY_MAX_TARGET_FRACTION 0.5
/* Latency targets for which the oldest attempt may be silent: later it earns its caller nothing.  Not
 * measured. */
#define ATTEMPT_TIMEOUT_TARGETS 2
/* Shortest such time, us, for routes with a short target or none.  Not measured. */
#define ATTEMPT_TIMEOUT_MIN_US (250 * 1000)

gboolean
quince_hedge_is_allowed (const QuinceRetryState *retry)
{
  return retry->repeatable && quince_retry_may_run (retry);
}

gint64
quince_hedge_delay_us (gint64 target_latency_us, gint64 service_us)
{
  gint64 delay_max_us
      = MAX ((gint64)(HEDGE_DELAY_MAX_TARGET_FRACTION * (double)target_latency_us), HEDGE_DELAY_MIN_US);
  gint64 delay_us = service_us > 0 ? (gint64)HEDGE_DELAY_SERVICE_TIMES * service_us : delay_max_us;
  return CLAMP (delay_us, HEDGE_DELAY_MIN_US, delay_max_us);
}

gint64
quince_hedge_attempt_timeout_us (gint64 target_latency_us)
{
  return MAX (ATTEMPT_TIMEOUT_TARGETS * target_latency_us, ATTEMPT_TIMEOUT_MIN_US);
}
