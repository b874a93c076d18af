/*
 * no-worker.c: whether a lookup or stream for which no worker can be chosen waits or is refused.
 */
#include "core/decisions/no-worker.h"

#include "core/decisions/retry-after.h"

/* A request may wait for a worker for its latency target divided by this; the rest is for the attempt. */
#define WAIT_TARGET_DIVISOR 2

static gboolean
may_wait_until (const QuinceNoWorkerInput *input, gint64 until_us)
{
  return until_us < input->started_us + input->target_latency_us / WAIT_TARGET_DIVISOR;
}

/* Returns whether a cold worker may have capacity before the request's wait ends. */
static gboolean
cold_available_in_time (const QuinceNoWorkerInput *input)
{
  return may_wait_until (input, MAX (input->cold_available_us, input->now_us));
}

static gboolean
lookup_may_wait (const QuinceNoWorkerInput *input)
{
  gboolean may_change = input->outcome == QUINCE_BACKEND_FULL || input->outcome == QUINCE_BACKEND_COLD
                        || input->outcome == QUINCE_BACKEND_ZONES_UNKNOWN;
  return (input->tried_any || may_change) && (input->runs > 0 || may_wait_until (input, input->now_us));
}

static gboolean
stream_may_wait (const QuinceNoWorkerInput *input, gboolean cold_available_soon)
{
  gboolean started_stream_waits = input->outcome == QUINCE_BACKEND_COLD && input->response_started;
  gboolean may_change
      = cold_available_soon || started_stream_waits || input->outcome == QUINCE_BACKEND_ZONES_UNKNOWN;
  return (input->tried_any || may_change) && (input->runs > 0 || may_wait_until (input, input->now_us));
}

QuinceNoWorkerDecision
quince_no_worker_decide (const QuinceNoWorkerInput *input)
{
  QuinceNoWorkerDecision decision = { FALSE, 0 };
  gboolean cold = input->outcome == QUINCE_BACKEND_COLD;
  gboolean cold_available_soon = cold && cold_available_in_time (input);
  gboolean needs_cold_worker = cold && (input->is_stream || input->runs == 0);
  if (needs_cold_worker && !cold_available_soon)
    decision.retry_after_ms = quince_retry_after_until_ms (input->cold_available_us, input->now_us);
  if (input->is_stream)
    decision.wait = stream_may_wait (input, cold_available_soon);
  else
    decision.wait = (!needs_cold_worker || cold_available_soon) && lookup_may_wait (input);
  return decision;
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
