/*
 * service-capacity.c: the ready workers of each service, and whether a service can lose one more.
 */
#include "core/request/service-capacity.h"

/* Time without another end after which a worker that is no longer listed counts as lost for good, us.  Longer
 * than the restart of a worker (up to 5.2 s). */
#define RESTART_TIME_MAX_US (6 * G_USEC_PER_SEC)
/* Time below listed_max after which a service counts as scaled down even if its workers keep ending, us. */
#define LISTED_MAX_TTL_US (30 * G_USEC_PER_SEC)
/* Time after an end in which a service with a single worker gets no suspect, us.  Each end leaves the service
 * without a worker; the pause keeps it available most of the time until the suspect is held. */
#define SINGLE_WORKER_PAUSE_US (10 * G_USEC_PER_SEC)
/* Time after an end in which a service with few workers gets no hedges, us.  Requests that crash workers come
 * in series, and a hedge that starts before the first end is detected costs a second worker. */
#define HEDGE_PAUSE_US (60 * G_USEC_PER_SEC)
/* Duration of a recovery if none was observed yet, us.  The entry of a worker that ended expires after three
 * heartbeats (3.6 s) before another worker takes its place. */
#define RECOVERY_DEFAULT_US (4 * G_USEC_PER_SEC)
/* Upper limit on the duration of a recovery, us.  Services are checked only while there are suspects, so a
 * recovery may be detected minutes late.  Longer than the start of a worker. */
#define RECOVERY_MAX_US (10 * G_USEC_PER_SEC)
/* Shortest Retry-After of a service that cannot lose one more worker, us. */
#define RETRY_AFTER_MIN_US (500 * 1000)

typedef struct
{
  guint ready;
  guint listed_max;
  gint64 listed_max_seen_us; /* last time that listed_max workers were listed */
  gint64 degraded_since_us;  /* since when fewer than listed_max are ready; 0: all are */
  gint64 last_recovery_us;   /* duration of the last recovery; 0: none observed */
  gint64 last_end_us;        /* time of the last end of a worker; G_MININT64: none */
} ServiceState;

struct _QuinceServiceCapacities
{
  GHashTable *by_service; /* service name to ServiceState, owned */
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

/* Measures how long the service had fewer than listed_max ready workers. */
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

/* Returns whether the workers that are missing from the list are not expected back. */
static gboolean
is_scaled_down (const ServiceState *state, gint64 now_us, guint listed)
{
  if (listed >= state->listed_max)
    return FALSE;
  gint64 last_loss_us = MAX (state->degraded_since_us, state->last_end_us);
  gboolean is_overdue = state->degraded_since_us != 0 && now_us - last_loss_us >= RESTART_TIME_MAX_US;
  return is_overdue || now_us - state->listed_max_seen_us >= LISTED_MAX_TTL_US;
}

void
quince_service_capacities_update (QuinceServiceCapacities *capacities,
                                  gint64 now_us,
                                  const char *service,
                                  guint listed,
                                  guint ready)
{
  ServiceState *state = find_or_add (capacities, service);
  if (is_scaled_down (state, now_us, listed))
    {
      state->listed_max = listed;
      state->degraded_since_us = 0; /* scaled down, not recovered */
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
