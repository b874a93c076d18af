/*
 * service-capacity.c: how many workers of a service are ready, of how many.
 */
#include "core/request/service-capacity.h"

/* Time after which a service that has fewer workers counts as smaller, us.  Not measured: far above the time
 * in which a worker that ended comes back (some seconds). */
#define LISTED_MAX_TTL_US (30 * G_USEC_PER_SEC)
/* Time between two sends of suspects to a service with a single worker, us: each end leaves it with none. Not
 * measured: its callers are served for the greater part of the time, and the suspect is held after a few
 * ends. */
#define SINGLE_WORKER_PAUSE_US (10 * G_USEC_PER_SEC)
/* Time after an end in which a service of a few workers gets no hedges, us: requests that end workers come in
 * series, and a hedge before the first worker is known to have ended would leave one of three.  Measured:
 * without hedges at all in such services 6 and 19 of some 710 lookups were late, with this rule 2 and 8 (two
 * days with trouble, one run each).  The minute itself is not measured. */
#define HEDGE_PAUSE_US (60 * G_USEC_PER_SEC)
/* Time in which a service is whole again, us, where that was never seen: the entry of a worker that ended
 * lapses after three heartbeats, 3.6 s, before another one takes its place. */
#define RECOVERY_DEFAULT_US (4 * G_USEC_PER_SEC)
/* Longest recovery that counts, us: services are checked only while something is suspected, so that a
 * recovery may be noticed minutes after it.  Not measured: above the time of a worker's start. */
#define RECOVERY_MAX_US (10 * G_USEC_PER_SEC)
/* Shortest Retry-After of a protected service, us.  Not measured. */
#define WAIT_MIN_US (500 * 1000)

typedef struct
{
  guint ready;
  guint most;
  gint64 listed_max_seen_us; /* when so many were seen last */
  gint64 degraded_since_us;  /* since when fewer are ready; 0: all are */
  gint64 last_recovery_us;   /* how long it took the last time; 0: never seen */
  gint64 ended_us;           /* the last end; G_MININT64: none */
} Seen;

struct _QuinceServiceCapacities
{
  GHashTable *by_service; /* Seen by name, owned */
};

gboolean
quince_service_capacity_survives_end (const QuinceServiceCapacity *capacity)
{
  if (capacity->most <= 1)
    return capacity->ready > capacity->at_risk && capacity->since_end_us >= SINGLE_WORKER_PAUSE_US;
  guint least = (capacity->most + 1) / 2;
  return capacity->ready >= capacity->at_risk + 1 + least;
}

gboolean
quince_service_capacity_allows_hedge (const QuinceServiceCapacity *capacity)
{
  QuinceServiceCapacity one_ended = *capacity;
  one_ended.at_risk++;
  return capacity->since_end_us >= HEDGE_PAUSE_US || quince_service_capacity_survives_end (&one_ended);
}

QuinceServiceCapacities *
quince_service_capacities_new (void)
{
  QuinceServiceCapacities *capacities = g_new0 (QuinceServiceCapacities, 1);
  capacities->by_service = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return capacities;
}

void
quince_service_capacities_free (QuinceServiceCapacities *capacities)
{
  if (capacities == NULL)
    return;
  g_hash_table_unref (capacities->by_service);
  g_free (capacities);
}

static Seen *
find_or_add (QuinceServiceCapacities *capacities, const char *service)
{
  Seen *seen = g_hash_table_lookup (capacities->by_service, service);
  if (seen != NULL)
    return seen;
  seen = g_new0 (Seen, 1);
  seen->ended_us = G_MININT64;
  g_hash_table_insert (capacities->by_service, g_strdup (service), seen);
  return seen;
}

/* Keeps how long the service was weak. */
static void
update_recovery (Seen *seen, gint64 now_us)
{
  gboolean weak = seen->ready < seen->most;
  if (weak && seen->degraded_since_us == 0)
    seen->degraded_since_us = now_us;
  if (weak || seen->degraded_since_us == 0)
    return;
  seen->last_recovery_us = MIN (now_us - seen->degraded_since_us, RECOVERY_MAX_US);
  seen->degraded_since_us = 0;
}

void
quince_service_capacities_update (QuinceServiceCapacities *capacities,
                                  gint64 now_us,
                                  const char *service,
                                  guint listed,
                                  guint ready)
{
  Seen *seen = find_or_add (capacities, service);
  if (listed < seen->most && now_us - seen->listed_max_seen_us >= LISTED_MAX_TTL_US)
    {
      seen->most = listed;
      seen->degraded_since_us = 0; /* it has not recovered: it has become smaller */
    }
  if (listed >= seen->most)
    {
      seen->most = listed;
      seen->listed_max_seen_us = now_us;
    }
  seen->ready = ready;
  update_recovery (seen, now_us);
}

void
quince_service_capacities_record_end (QuinceServiceCapacities *capacities, gint64 now_us, const char *service)
{
  Seen *seen = find_or_add (capacities, service);
  seen->ended_us = MAX (seen->ended_us, now_us);
}

void
quince_service_capacities_get (const QuinceServiceCapacities *capacities,
                               gint64 now_us,
                               const char *service,
                               QuinceServiceCapacity *capacity)
{
  const Seen *seen = g_hash_table_lookup (capacities->by_service, service);
  *capacity = (QuinceServiceCapacity){ .since_end_us = G_MAXINT64 };
  if (seen == NULL)
    return;
  capacity->ready = seen->ready;
  capacity->most = seen->most;
  if (seen->ended_us != G_MININT64)
    capacity->since_end_us = now_us - seen->ended_us;
}

gint64
quince_service_capacities_get_wait_us (const QuinceServiceCapacities *capacities,
                                       gint64 now_us,
                                       const char *service)
{
  const Seen *seen = g_hash_table_lookup (capacities->by_service, service);
  gint64 recovery = seen != NULL && seen->last_recovery_us > 0 ? seen->last_recovery_us : RECOVERY_DEFAULT_US;
  if (seen != NULL && seen->most <= 1)
    recovery = SINGLE_WORKER_PAUSE_US;
  gint64 gone = seen != NULL && seen->ended_us != G_MININT64 ? now_us - seen->ended_us : 0;
  return MAX (recovery - gone, WAIT_MIN_US);
}
