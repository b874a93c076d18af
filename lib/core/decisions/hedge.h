/*
 * hedge.h: when a lookup is hedged by a second attempt, and when its oldest attempt times out in favor of a
 * third.
 *
 * Pure functions, used by lib/forward/forward.c.  Streams and samples are never hedged: they resume from the
 * last event at another worker, so a parallel attempt would only double the work.
 */
#pragma once

#include "core/decisions/retry.h"

G_BEGIN_DECLS

/* Maximum attempts of one lookup in flight at the same time: more would overload a service that is already
 * slow. */
#define QUINCE_HEDGE_IN_FLIGHT_MAX 2

/**
 * quince_hedge_is_allowed:
 * @retry: the attempts so far, including the one that starts now
 *
 * Decides whether the attempt may be hedged later: not for an at-most-once request, and not beyond the
 * maximum attempts of the route.  The send guard must also admit the hedge when it starts; see admission.h.
 */
gboolean quince_hedge_is_allowed (const QuinceRetryState *retry);

/**
 * quince_hedge_delay_us:
 * @target_latency_us: latency target of the route, us; 0: none
 * @service_time_us: smoothed response time of the worker of the first attempt, us; 0: unknown
 *
 * Decides when the lookup is hedged: after three times the worker's response time, but at least 60 ms and
 * at most half the latency target.  It is half the target if the response time is not measured.  A latency
 * target below 120 ms, or none, counts as 120 ms.
 *
 * Returns: us from the start of the first attempt
 */
gint64 quince_hedge_delay_us (gint64 target_latency_us, gint64 service_time_us);

/**
 * quince_hedge_route_delay_us:
 * @target_latency_us: latency target of the route, us; 0: none
 * @worker_us: smoothed response time of the route at the worker of the attempt, us; 0: unknown
 * @usual_us: usual response time of the route in the service, us; 0: unknown
 *
 * Decides when a request is hedged whose service serves routes of different latency targets: after three
 * times
 * @worker_us, but at the latest 1.5 times @usual_us before the latency target (or at half of the target, if
 * that is later), and never before twice @usual_us or 60 ms.  If the usual response time is not measured,
 * quince_hedge_delay_us() applies.
 *
 * Returns: us from the start of the attempt
 */
gint64 quince_hedge_route_delay_us (gint64 target_latency_us, gint64 worker_us, gint64 usual_us);

/**
 * quince_hedge_attempt_timeout_us:
 * @target_latency_us: latency target of the route, us; 0: none
 *
 * Decides when the oldest of two attempts in flight is abandoned so that a third one can start: after twice
 * the latency target, but at least 250 ms.
 *
 * Returns: us from the start of the oldest attempt
 */
gint64 quince_hedge_attempt_timeout_us (gint64 target_latency_us);

G_END_DECLS
