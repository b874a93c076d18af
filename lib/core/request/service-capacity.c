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
#define RETRY_AFTER_MIN_US (500 * 1000)

typedef struct
{
  guint ready;
  guint listed_max;
  gint64 listed_max_seen_us; /* when so many were seen last */
  gint64 degraded_since_us;  /* since when fewer are ready; 0: all are */
  gint64 last_recovery_us;   /* how long it took the last time; 0: never seen */
  gint64 last_end_us;        /* the last end; G_MININT64: none */
} ServiceState;

struct _QuinceServiceCapacities
{
  GHashTable *by_service; /* Seen by name, owned */
};

gboolean
quince_service_capacity_survives_end (const QuinceServiceCapacity *capacity)
{
  if (capacity->listed_max <= 1)
    return capacity->ready > capacity->at_risk && capacity->since_end_us >= SINGLE_WORKER_PAUSE_US;
  guint remaining_min = (capacity->listed_max + 1) / 2;
  return capacity->ready >= capacity->at_risk + 1 + remaining_min;
}

gboolean
quince_service_capacity_allows_hedge (const QuinceServiceCapacity *capacity)
{
  QuinceServiceCapacity with_hedge = *capacity;
  with_hedge.at_risk++;
  return capacity->since_end_us >= HEDGE_PAUSE_US || quince_service_capacity_survives_end (&with_hedge);
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

static ServiceState *
find_or_add (QuinceServiceCapacities *capacities, const char *service)
{
  ServiceState *state = g_hash_table_lookup (capacities->by_service, service);
  if (state != NULL)
    return state;
  state = g_new0 (ServiceState, 1);
  state->last_end_us = G_MININT64;
  g_hash_table_insert (capacities->by_service, g_strdup (service), state);
  return state;
}

/* Keeps how long the service was weak. */
static void
update_recovery (ServiceState *state, gint64 now_us)
{
  gboolean degraded = state->ready < state->listed_max;
  if (degraded && state->degraded_since_us == 0)
    state->degraded_since_us = now_us;
  if (degraded || state->degraded_since_us == 0)
    return;
  state->last_recovery_us = MIN (now_us - state->degraded_since_us, RECOVERY_MAX_US);
  state->degraded_since_us = 0;
}

void
quince_service_capacities_update (QuinceServiceCapacities *capacities,
                                  gint64 now_us,
                                  const char *service,
                                  guint listed,
                                  guint ready)
{
  ServiceState *state = find_or_add (capacities, service);
  if (listed < state->listed_max && now_us - state->listed_max_seen_us >= LISTED_MAX_TTL_US)
    {
      state->listed_max = listed;
      state->degraded_since_us = 0; /* it has not recovered: it has become smaller */
    }
  if (listed >= state->listed_max)
    {
      state->listed_max = listed;
      state->listed_max_seen_us = now_us;
    }
  state->ready = ready;
  update_recovery (state, now_us);
}

void
quince_service_capacities_record_end (QuinceServiceCapacities *capacities, gint64 now_us, const char *service)
{
  ServiceState *state = find_or_add (capacities, service);
  state->last_end_us = MAX (state->last_end_us, now_us);
}

void
quince_service_capacities_get (const QuinceServiceCapacities *capacities,
                               gint64 now_us,
                               const char *service,
                               QuinceServiceCapacity *capacity)
{
  const ServiceState *state = g_hash_table_lookup (capacities->by_service, service);
  *capacity = (QuinceServiceCapacity){ .since_end_us = G_MAXINT64 };
  if (state == NULL)
    return;
  capacity->ready = state->ready;
  capacity->listed_max = state->listed_max;
  if (state->last_end_us != G_MININT64)
    capacity->since_end_us = now_us - state->last_end_us;
}

gint64
quince_service_capacities_get_wait_us (const QuinceServiceCapacities *capacities,
                                       gint64 now_us,
                                       const char *service)
{
  const ServiceState *state = g_hash_table_lookup (capacities->by_service, service);
  gint64 recovery_us
      = state != NULL && state->last_recovery_us > 0 ? state->last_recovery_us : RECOVERY_DEFAULT_US;
  if (state != NULL && state->listed_max <= 1)
    recovery_us = SINGLE_WORKER_PAUSE_US;
  gint64 elapsed_us = state != NULL && state->last_end_us != G_MININT64 ? now_us - state->last_end_us : 0;
  return MAX (recovery_us - elapsed_us, RETRY_AFTER_MIN_US);
}
