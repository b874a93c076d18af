/*
 * caller-limits.c: the limits of callers' requests that are in force.
 */
#include "caller-limits.h"

/* Limits until the first configuration is known.  They are generous, so that they do not refuse a request
 * that the configuration allows. */
/* Maximum size of a request head, bytes. */
#define DEFAULT_HEAD_MAX_BYTES (64 * 1024)
/* Maximum size of a request body, bytes. */
#define DEFAULT_BODY_MAX_BYTES (64 * 1024 * 1024)
/* Time after which an idle connection is closed, ms. */
#define DEFAULT_IDLE_TIMEOUT_MS 15000
/* Maximum time to receive a request head, ms. */
#define DEFAULT_HEAD_TIMEOUT_MS 3000

QuinceCallerLimits
quince_caller_limits_get (const QuinceFrontContext *context)
{
  QuinceRouteTable *routes = quince_observer_get_routes (context->observer);
  const QuinceCallerLimits defaults = { .max_head_bytes = DEFAULT_HEAD_MAX_BYTES,
                                        .max_body_bytes = DEFAULT_BODY_MAX_BYTES,
                                        .head_timeout_ms = DEFAULT_HEAD_TIMEOUT_MS,
                                        .idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS };
  return routes != NULL ? *quince_route_table_get_limits (routes) : defaults;
}
