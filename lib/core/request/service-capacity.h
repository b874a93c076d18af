/*
 * service-capacity.h: the ready workers of each service, and whether a service can lose one more.
 *
 * A suspect (see quarantine.h) may end the worker that it is sent to.  It is sent only if at least half
 * of the service's workers would remain.  A service with a single worker gets one suspect at a time, with a
 * pause after each end.
 *
 * The caller counts the workers; the last counts of each service are kept in memory.  The functions do no I/O
 * and read no clock.  Times are in microseconds of a monotonic clock that includes system suspend.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * QuinceServiceCapacity:
 * @ready: listed workers that are not known to have ended
 * @listed_max: highest number of listed workers; falls to the current number after 6 s below it without
 * another end, and after 30 s in any case
 * @at_risk: ready workers that requests sent a moment ago may still end
 * @since_end_us: time since the last end of a worker of the service, us; %G_MAXINT64 if none was recorded
 */
typedef struct
{
  guint ready;
  guint listed_max;
  guint at_risk;
  gint64 since_end_us;
} QuinceServiceCapacity;

/* Returns whether the service can lose one more worker: at least half of @listed_max remain ready, even if
 * the workers @at_risk end too.  If @listed_max is at most 1, returns whether the worker is ready, is not at
 * risk, and the last end was at least 10 s ago. */
gboolean quince_service_capacity_survives_end (const QuinceServiceCapacity *capacity);

/* Returns whether a request that is not a suspect may be hedged: no worker of the service ended within the
 * last minute, or the service can lose both workers. */
gboolean quince_service_capacity_allows_hedge (const QuinceServiceCapacity *capacity);

/* The worker counts and ends of all services. */
typedef struct _QuinceServiceCapacities QuinceServiceCapacities;

QuinceServiceCapacities *quince_service_capacities_new (void);
void quince_service_capacities_free (QuinceServiceCapacities *capacities);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceServiceCapacities, quince_service_capacities_free)
/* Records that @listed workers of @service are listed, of which @ready are not known to have ended. */
void quince_service_capacities_update (QuinceServiceCapacities *capacities,
                                       gint64 now_us,
                                       const char *service,
                                       guint listed,
                                       guint ready);
/* Records the end of a worker of @service. */
void quince_service_capacities_record_end (QuinceServiceCapacities *capacities,
                                           gint64 now_us,
                                           const char *service);
/* Sets @capacity to the last recorded counts, or zeros if there are none.  Sets @at_risk to 0; the caller
 * fills it in. */
void quince_service_capacities_get (const QuinceServiceCapacities *capacities,
                                    gint64 now_us,
                                    const char *service,
                                    QuinceServiceCapacity *capacity);
/* Returns the estimated time until all workers of @service are ready again, us: the duration of its last
 * recovery (4 s if none was observed, 10 s for a single worker) less the time since the last end, at least
 * 0.5 s. */
gint64 quince_service_capacities_get_wait_us (const QuinceServiceCapacities *capacities,
                                              gint64 now_us,
                                              const char *service);

G_END_DECLS
