/*
 * service-capacity.h: how many workers of a service are ready, of how many, and whether it survives the loss
 * of one more.
 *
 * A request under which workers ended may end the next one too.  It is sent only while its service would keep
 * half of its workers, and at least one.
 *
 * For: the send guard of each process, and the leader before it gives a permit.  Owns: the last counts of
 * each service, in memory.  Relies on: its caller to count the workers; pure: time is an argument, in
 * microseconds of one clock that counts suspensions too.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * QuinceServiceCapacity:
 * @ready: workers that are listed and are not known to have ended
 * @listed_max: most workers listed at once in the last 30 s
 * @at_risk: ready workers that may be ended by requests sent a moment ago
 * @since_end_us: since the last end at the service
 */
typedef struct
{
  guint ready;
  guint listed_max;
  guint at_risk;
  gint64 since_end_us;
} QuinceServiceCapacity;

/* Whether one more worker may end. */
gboolean quince_service_capacity_survives_end (const QuinceServiceCapacity *capacity);

/* Whether a request of which nothing is known may run at two workers at once.  It may where no worker ended
 * of late, or where both may end. */
gboolean quince_service_capacity_allows_hedge (const QuinceServiceCapacity *capacity);

/* What was seen of all services. */
typedef struct _QuinceServiceCapacities QuinceServiceCapacities;

QuinceServiceCapacities *quince_service_capacities_new (void);
void quince_service_capacities_free (QuinceServiceCapacities *capacities);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceServiceCapacities, quince_service_capacities_free)
/* @listed workers of @service are listed now, and @ready of them are not known to have ended. */
void quince_service_capacities_update (QuinceServiceCapacities *capacities,
                                       gint64 now_us,
                                       const char *service,
                                       guint listed,
                                       guint ready);
/* A worker of @service ended. */
void quince_service_capacities_record_end (QuinceServiceCapacities *capacities,
                                           gint64 now_us,
                                           const char *service);
/* What was noted last; @capacity->at_risk is the caller's. */
void quince_service_capacities_get (const QuinceServiceCapacities *capacities,
                                    gint64 now_us,
                                    const char *service,
                                    QuinceServiceCapacity *capacity);
/* How much longer it takes until @service is whole again, as far as its last recovery tells. */
gint64 quince_service_capacities_get_wait_us (const QuinceServiceCapacities *capacities,
                                              gint64 now_us,
                                              const char *service);

G_END_DECLS
