/*
 * route-times.h: response times by route, of one worker or of one service.
 *
 * Routes of one service differ in their response times, so that a mean over all of them fits none.
 *
 * Pure, owned by its worker (worker-table.h) or attempt budget (core/decisions/attempt-budget.h).
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Maximum number of routes with their own response times; all further ones share one.  Bounds the memory of a
 * worker, and is more than the routes that usually share a service. */
#define QUINCE_ROUTE_TIMES_MAX 16

typedef struct _QuinceRouteTimes QuinceRouteTimes;

QuinceRouteTimes *quince_route_times_new (void);
void quince_route_times_free (QuinceRouteTimes *times);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceRouteTimes, quince_route_times_free)
/* Records a response to a request of @route after @elapsed_us. */
void quince_route_times_record (QuinceRouteTimes *times, const char *route, gint64 elapsed_us);
/* Returns the smoothed response time of @route, us; 0: unknown. */
gint64 quince_route_times_get_smoothed_us (const QuinceRouteTimes *times, const char *route);
/* Returns the usual response time of @route, us; 0: unknown.  It is an estimate of the median, so that
 * a slow minority of workers does not change it. */
gint64 quince_route_times_get_usual_us (const QuinceRouteTimes *times, const char *route);
/* Returns @elapsed_us as a multiple of the usual response time of @route, at least 1.  It is 1 if no response
 * was measured.  Usual times below 20 ms count as 20 ms, since their multiples are within the variation of
 * the network. */
double quince_route_times_get_slowdown (const QuinceRouteTimes *times, const char *route, gint64 elapsed_us);

G_END_DECLS
