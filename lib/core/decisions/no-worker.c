/*
 * no-worker.c: what a lookup or a stream does when no worker can be chosen.
 */
#include "core/decisions/no-worker.h"

#include "core/decisions/retry-after.h"

/* A request without a worker waits for this part of its latency target: the rest is left for its run.  Not
 * measured. */
#define WAIT_TARGET_DIVISOR 2

static gboolean
may_wait_until (const QuinceNoWorkerInput *none, gint64 until_us)
{
  return until_us < none->started_us + none->target_latency_us / WAIT_TARGET_DIVISOR;
}

/* A cold worker may have room while the request may wait. */
static gboolean
cold_room_in_time (const QuinceNoWorkerInput *none)
{
  return may_wait_until (none, MAX (none->cold_room_us, none->now_us));
}

static gboolean
lookup_may_wait (const QuinceNoWorkerInput *none)
{
  gboolean may_change = none->outcome == QUINCE_BACKEND_FULL || none->outcome == QUINCE_BACKEND_COLD
                        || none->outcome == QUINCE_BACKEND_ZONES_UNKNOWN;
  return (none->tried_any || may_change) && (none->runs > 0 || may_wait_until (none, none->now_us));
}

static gboolean
stream_may_wait (const QuinceNoWorkerInput *none, gboolean room_soon)
{
  gboolean started_stream_waits = none->outcome == QUINCE_BACKEND_COLD && none->began;
  gboolean may_change = room_soon || started_stream_waits || none->outcome == QUINCE_BACKEND_ZONES_UNKNOWN;
  return (none->tried_any || may_change) && (none->runs > 0 || may_wait_until (none, none->now_us));
}

QuinceNoWorkerDecision
quince_no_worker_decide (const QuinceNoWorkerInput *none)
{
  QuinceNoWorkerDecision verdict = { FALSE, 0 };
  gboolean cold = none->outcome == QUINCE_BACKEND_COLD;
  gboolean room_soon = cold && cold_room_in_time (none);
  gboolean needs_cold_room = cold && (none->is_stream || none->runs == 0);
  if (needs_cold_room && !room_soon)
    verdict.retry_after_ms = quince_retry_after_until_ms (none->cold_room_us, none->now_us);
  if (none->is_stream)
    verdict.wait = stream_may_wait (none, room_soon);
  else
    verdict.wait = (!needs_cold_room || room_soon) && lookup_may_wait (none);
  return verdict;
}

QuinceHedgeFallback
quince_no_worker_for_hedge (QuinceBackendOutcome outcome)
{
  switch (outcome)
    {
    case QUINCE_BACKEND_EVACUATED:
      return QUINCE_HEDGE_FALLBACK_KEEP;
    case QUINCE_BACKEND_COLD:
    case QUINCE_BACKEND_ZONES_UNKNOWN:
      return QUINCE_HEDGE_FALLBACK_WAIT;
    case QUINCE_BACKEND_CHOSEN:
    case QUINCE_BACKEND_NONE:
    case QUINCE_BACKEND_FULL:
    default:
      return QUINCE_HEDGE_FALLBACK_ABANDON;
    }
}
