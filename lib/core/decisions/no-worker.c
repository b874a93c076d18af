/*
 * no-worker.c: what a lookup or a stream does when no worker can be chosen.
 */
#include "core/decisions/no-worker.h"

#include "core/decisions/retry-after.h"

/* A request without a worker waits for this part of its latency target: the rest is left for its run.  Not
 * measured. */
#define WAIT_TARGET_DIVISOR 2

static gboolean
may_wait_until (const QuinceNoWorkerCase *none, gint64 until_us)
{
  return until_us < none->started_us + none->target_latency_us / WAIT_TARGET_DIVISOR;
}

/* A cold worker may have room while the request may wait. */
static gboolean
has_room_in_time (const QuinceNoWorkerCase *none)
{
  return may_wait_until (none, MAX (none->cold_room_us, none->now_us));
}

static gboolean
waits_for_lookup (const QuinceNoWorkerCase *none)
{
  gboolean may_change = none->outcome == QUINCE_BACKEND_FULL || none->outcome == QUINCE_BACKEND_COLD
                        || none->outcome == QUINCE_BACKEND_ZONES_UNKNOWN;
  return (none->tried_any || may_change) && (none->runs > 0 || may_wait_until (none, none->now_us));
}

static gboolean
waits_for_stream (const QuinceNoWorkerCase *none, gboolean room_soon)
{
  gboolean waits_midway = none->outcome == QUINCE_BACKEND_COLD && none->began;
  gboolean may_change = room_soon || waits_midway || none->outcome == QUINCE_BACKEND_ZONES_UNKNOWN;
  return (none->tried_any || may_change) && (none->runs > 0 || may_wait_until (none, none->now_us));
}

QuinceNoWorkerVerdict
quince_no_worker_decide (const QuinceNoWorkerCase *none)
{
  QuinceNoWorkerVerdict verdict = { FALSE, 0 };
  gboolean cold = none->outcome == QUINCE_BACKEND_COLD;
  gboolean room_soon = cold && has_room_in_time (none);
  gboolean asks_for_room = cold && (none->is_stream || none->runs == 0);
  if (asks_for_room && !room_soon)
    verdict.retry_after_ms = quince_retry_after_until_ms (none->cold_room_us, none->now_us);
  if (none->is_stream)
    verdict.wait = waits_for_stream (none, room_soon);
  else
    verdict.wait = (!asks_for_room || room_soon) && waits_for_lookup (none);
  return verdict;
}

QuinceBeside
quince_no_worker_beside (QuinceBackendOutcome outcome)
{
  switch (outcome)
    {
    case QUINCE_BACKEND_EVACUATED:
      return QUINCE_BESIDE_LEAVE;
    case QUINCE_BACKEND_COLD:
    case QUINCE_BACKEND_ZONES_UNKNOWN:
      return QUINCE_BESIDE_WAIT;
    case QUINCE_BACKEND_CHOSEN:
    case QUINCE_BACKEND_NONE:
    case QUINCE_BACKEND_FULL:
    default:
      return QUINCE_BESIDE_ABANDON;
    }
}
