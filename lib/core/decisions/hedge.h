/*
 * hedge.h: when a second worker is asked beside a slow one, and when a silent attempt is given up for a
 * third.
 *
 * For: lookups (lib/forward/forward.c).  Streams and samples are never hedged: their runs are resumed from
 * the last event, so that a second run would only double their work.  Owns nothing; pure.
 */
#pragma once

#include "core/decisions/retry.h"

G_BEGIN_DECLS

/* Attempts of one lookup in progress at the same time: more would load a service that is slow already.  Not
 * measured. */
#define QUINCE_HEDGE_IN_FLIGHT_MAX 2

/**
 * quince_hedge_is_allowed:
 * @retry: the attempts so far, the one that begins now too
 *
 * Decides whether a hedge may ever begin beside an attempt: never for an at-most-once request, and never
 * beyond the route's attempts.  The send guard admits it as well, when it begins: admission.h.
 */
gboolean quince_hedge_is_allowed (const QuinceRetryState *retry);

/**
 * quince_hedge_delay_us:
 * @target_latency_us: of the route, us; 0: none
 * @service_us: smoothed time of an answer of the first attempt's worker, us; 0: not measured
 *
 * Decides how long the first attempt goes on alone: three times its worker's usual time, between 60 ms and
 * half the latency target.  Reason: a silent worker cost a lookup 0.3 s and more
 * (test_slow_worker_is_hedged). Measured: without any hedges in services of three workers 6 and 19 of some
 * 710 lookups were late, with them 2 and 8, and the 99th percentile was 115 and 216 ms in place of 143 and
 * 284 ms (two days with trouble, one run each). On standard days the worth is the same within noise (0.886
 * and 0.887).
 *
 * Edges: half the target where the worker's time is not measured; a target below 120 ms counts as 120 ms.
 *
 * Returns: us from the start of the attempt
 */
gint64 quince_hedge_delay_us (gint64 target_latency_us, gint64 service_us);

/**
 * quince_hedge_attempt_timeout_us:
 * @target_latency_us: of the route, us; 0: none
 *
 * Decides how long the oldest of two attempts may be silent before it gives way to a third one.
 *
 * Returns: us from the start of that attempt
 */
gint64 quince_hedge_attempt_timeout_us (gint64 target_latency_us);

G_END_DECLS
