/*
 * worker-response.h: measurements of a worker that serves routes of different latency targets.
 *
 * Pure: time is an argument, in microseconds of one monotonic clock.
 */
#pragma once

#include "core/routing/worker-table.h"

G_BEGIN_DECLS

/**
 * quince_worker_record_route_response:
 * @slowdown: the response time as a multiple of the usual one of its route, see route-times.h
 *
 * Records a response to a request of @route, in addition to quince_worker_record_response().
 */
void quince_worker_record_route_response (QuinceWorker *worker,
                                          gint64 now_us,
                                          const char *route,
                                          gint64 elapsed_us,
                                          double slowdown);
/* Records that a request has had no response yet after @slowdown times the usual response time of its
 * route. */
void quince_worker_record_late (QuinceWorker *worker, gint64 now_us, double slowdown);
/* Records that the worker refused a request because it was full.  It counts as full for 50 ms. */
void quince_worker_record_refusal (QuinceWorker *worker, gint64 now_us);
/* Returns how much slower than usual the worker responded recently, at least 1.  The excess over 1 halves
 * each second without a response, so that requests try the worker again. */
double quince_worker_get_slowdown (const QuinceWorker *worker, gint64 now_us);
/**
 * quince_worker_get_expected_load:
 *
 * Returns: the load by which the worker is compared with others: the fraction of its slots that requests of
 * this process use, all of them while it counts as full, and 1/6 for each unit of its slowdown over 1, at
 * most 0.5
 */
double quince_worker_get_expected_load (const QuinceWorker *worker, gint64 now_us);

G_END_DECLS
