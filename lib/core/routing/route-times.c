/*
 * route-times.c: response times by route, of one worker or of one service.
 */
#include "core/routing/route-times.h"

/* Weight of the newest response in the smoothed response time, as a shift: 1/8, as in worker-table.c. */
#define SMOOTHING_SHIFT 3
/* The usual response time is the shortest of this many first responses, then moves by a step per response. */
#define FIRST_RESPONSES 8
/* Step of the usual response time per response, as a shift: 1/32.  A few dozen responses follow a lasting
 * change by a factor of two. */
#define USUAL_STEP_SHIFT 5
/* Shortest usual response time for a slowdown, us. */
#define SLOWDOWN_USUAL_MIN_US (20 * 1000)

typedef struct
{
  char *route; /* NULL: not used yet */
  gint64 smoothed_us;
  gint64 usual_us;
  guint n_responses;
} RouteTime;

struct _QuinceRouteTimes
{
  /* In order of first use.  The last one is shared by all routes beyond QUINCE_ROUTE_TIMES_MAX. */
  RouteTime routes[QUINCE_ROUTE_TIMES_MAX + 1];
};

QuinceRouteTimes *
quince_route_times_new (void)
{
  return g_new0 (QuinceRouteTimes, 1);
}

void
quince_route_times_free (QuinceRouteTimes *times)
{
  if (times == NULL)
    return;
  for (guint i = 0; i < QUINCE_ROUTE_TIMES_MAX; i++)
    g_free (times->routes[i].route);
  g_free (times);
}

/* Returns the index of @route, of the first unused entry, or of the shared one. */
static guint
find_route (const QuinceRouteTimes *times, const char *route)
{
  guint index = 0;
  while (index < QUINCE_ROUTE_TIMES_MAX && times->routes[index].route != NULL
         && !g_str_equal (times->routes[index].route, route))
    index++;
  return index;
}

void
quince_route_times_record (QuinceRouteTimes *times, const char *route, gint64 elapsed_us)
{
  guint index = find_route (times, route);
  RouteTime *time = &times->routes[index];
  gint64 measured_us = MAX (elapsed_us, 1);
  if (time->route == NULL && index < QUINCE_ROUTE_TIMES_MAX)
    time->route = g_strdup (route);
  if (time->n_responses == 0)
    time->smoothed_us = measured_us;
  else
    time->smoothed_us += (measured_us - time->smoothed_us) / (1 << SMOOTHING_SHIFT);
  gint64 step_us = MAX (time->usual_us >> USUAL_STEP_SHIFT, 1);
  if (time->n_responses < FIRST_RESPONSES)
    time->usual_us = time->n_responses == 0 ? measured_us : MIN (time->usual_us, measured_us);
  else if (measured_us > time->usual_us)
    time->usual_us = MIN (time->usual_us + step_us, measured_us);
  else
    time->usual_us = MAX (time->usual_us - step_us, measured_us);
  if (time->n_responses < FIRST_RESPONSES)
    time->n_responses++;
}

gint64
quince_route_times_get_smoothed_us (const QuinceRouteTimes *times, const char *route)
{
  return times != NULL ? times->routes[find_route (times, route)].smoothed_us : 0;
}

gint64
quince_route_times_get_usual_us (const QuinceRouteTimes *times, const char *route)
{
  return times != NULL ? times->routes[find_route (times, route)].usual_us : 0;
}

double
quince_route_times_get_slowdown (const QuinceRouteTimes *times, const char *route, gint64 elapsed_us)
{
  gint64 usual_us = quince_route_times_get_usual_us (times, route);
  return usual_us > 0 ? MAX ((double)elapsed_us / (double)MAX (usual_us, SLOWDOWN_USUAL_MIN_US), 1.0) : 1.0;
}
