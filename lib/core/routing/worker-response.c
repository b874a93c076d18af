/*
 * worker-response.c: measurements of a worker that serves routes of different latency targets.
 */
#include "core/routing/worker-response.h"

#include <math.h>

/* Weight of the newest response in the slowdown: a worker that is slow or usual again is known after two or
 * three responses, since a slow phase lasts a few seconds. */
#define SLOWDOWN_WEIGHT 0.5
/* Time in which the excess of the slowdown over 1 halves, us. */
#define SLOWDOWN_HALF_LIFE_US (double)G_USEC_PER_SEC

/* Load that is added for each unit of the slowdown over 1, and the maximum of it.  An idle worker that is
 * four times slower compares like one with half of its slots in use.  Without the bound, a worker that lost
 * one answer would come after full ones, at which requests wait. */
#define SLOWDOWN_LOAD (1.0 / 6)
#define SLOWDOWN_LOAD_MAX 0.5
/* How long a worker counts as full after a refusal, us.  Its slots are also used by other processes, so that
 * this process cannot count them; a slot is free again after a usual response time (25 to 200 ms) or less. */
#define FULL_TIME_US (50 * 1000)

void
quince_worker_record_route_response (QuinceWorker *worker,
                                     gint64 now_us,
                                     const char *route,
                                     gint64 elapsed_us,
                                     double slowdown)
{
  if (worker->route_times == NULL)
    worker->route_times = quince_route_times_new ();
  quince_route_times_record (worker->route_times, route, elapsed_us);
  double recent = quince_worker_get_slowdown (worker, now_us);
  worker->slowdown = recent + SLOWDOWN_WEIGHT * (slowdown - recent);
  worker->slowdown_measured_us = now_us;
}

void
quince_worker_record_late (QuinceWorker *worker, gint64 now_us, double slowdown)
{
  worker->slowdown = MAX (quince_worker_get_slowdown (worker, now_us), slowdown);
  worker->slowdown_measured_us = now_us;
}

void
quince_worker_record_refusal (QuinceWorker *worker, gint64 now_us)
{
  worker->full_until_us = now_us + FULL_TIME_US;
}

double
quince_worker_get_slowdown (const QuinceWorker *worker, gint64 now_us)
{
  if (worker->slowdown <= 1)
    return 1;
  double age = (double)MAX (now_us - worker->slowdown_measured_us, 0);
  return 1 + (worker->slowdown - 1) * exp2 (-age / SLOWDOWN_HALF_LIFE_US);
}

double
quince_worker_get_expected_load (const QuinceWorker *worker, gint64 now_us)
{
  double slowdown = quince_worker_get_slowdown (worker, now_us);
  guint slots = MAX (worker->slots, 1);
  guint running = now_us < worker->full_until_us ? MAX (worker->running, slots) : worker->running;
  return (double)running / slots + MIN ((slowdown - 1) * SLOWDOWN_LOAD, SLOWDOWN_LOAD_MAX);
}
