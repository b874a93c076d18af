/*
 * hedge.c: when a lookup is hedged by a second attempt, and when its oldest attempt times out in favor of a
 * third.
 */
#include "core/decisions/hedge.h"

/* Hedge delay as a multiple of the worker's smoothed response time: high enough above the mean that few
 * ordinary lookups are hedged. */
#define HEDGE_DELAY_SERVICE_TIMES 3
/* Minimum hedge delay, us: more than twice a typical lookup (25 ms). */
#define HEDGE_DELAY_MIN_US (60 * 1000)
/* Maximum hedge delay as a fraction of the latency target: the rest is left for the second attempt. */
#define HEDGE_DELAY_MAX_TARGET_FRACTION 0.5
/* Minimum hedge delay as a multiple of the usual response time of the route. */
#define LATE_USUAL_FACTOR 2
/* Time between the latest hedge and the latency target, as a multiple of the usual response time: the hedge
 * takes one of them, the rest is margin. */
#define HEDGE_RESERVE_USUAL_FACTOR 1.5
/* Timeout of the oldest attempt as a multiple of the latency target: a later answer has no value for the
 * caller. */
#define ATTEMPT_TIMEOUT_TARGETS 2
/* Minimum timeout of the oldest attempt, us, for routes with a short latency target or none. */
#define ATTEMPT_TIMEOUT_MIN_US (250 * 1000)

gboolean
quince_hedge_is_allowed (const QuinceRetryState *retry)
{
  return retry->repeatable && quince_retry_may_run (retry);
}

gint64
quince_hedge_delay_us (gint64 target_latency_us, gint64 service_time_us)
{
  gint64 delay_max_us
      = MAX ((gint64)(HEDGE_DELAY_MAX_TARGET_FRACTION * (double)target_latency_us), HEDGE_DELAY_MIN_US);
  gint64 delay_us = service_time_us > 0 ? (gint64)HEDGE_DELAY_SERVICE_TIMES * service_time_us : delay_max_us;
  return CLAMP (delay_us, HEDGE_DELAY_MIN_US, delay_max_us);
}

gint64
quince_hedge_route_delay_us (gint64 target_latency_us, gint64 worker_us, gint64 usual_us)
{
  if (usual_us <= 0)
    return quince_hedge_delay_us (target_latency_us, worker_us);
  gint64 delay_us = HEDGE_DELAY_SERVICE_TIMES * (worker_us > 0 ? worker_us : usual_us);
  gint64 delay_max_us = MAX (target_latency_us - (gint64)(HEDGE_RESERVE_USUAL_FACTOR * (double)usual_us),
                             (gint64)(HEDGE_DELAY_MAX_TARGET_FRACTION * (double)target_latency_us));
  gint64 delay_min_us = MAX (LATE_USUAL_FACTOR * usual_us, HEDGE_DELAY_MIN_US);
  return MAX (MIN (delay_us, delay_max_us), delay_min_us);
}

gint64
quince_hedge_attempt_timeout_us (gint64 target_latency_us)
{
  return MAX (ATTEMPT_TIMEOUT_TARGETS * target_latency_us, ATTEMPT_TIMEOUT_MIN_US);
}
