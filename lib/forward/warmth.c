/*
 * warmth.c: limits the requests to cold workers when a worker is chosen.
 *
 * A cold worker is a candidate while its warmup limit allows another send.  If only such limits prevent a
 * choice, the outcome is QUINCE_BACKEND_COLD.
 */
#include "backends-private.h"

#include "core/decisions/worker-choice.h"
#include "runtime/log.h"
#include "runtime/clock.h"

/* ---- Cold state of workers ----------------------------------------------- */

/* Returns how long a new worker is assumed to be cold, us: the cold start time of its service if it appears
 * after the first listing and its entry does not state whether it is cold; otherwise 0. */
static gint64
get_assumed_cold_us (QuinceBackends *backends, const QuinceWorker *entry)
{
  if (!backends->first_listing_read || entry->cold_remaining_us != QUINCE_COLD_UNKNOWN)
    return 0;
  return quince_warmup_sends_get_cold_start_us (backends->warmup, entry->service);
}

void
quince_warmth_update_entry (QuinceBackends *backends, QuinceWorker *entry)
{
  gint64 now = quince_now_us ();
  const QuinceWorkerRef ref = { .id = entry->id, .incarnation = entry->incarnation };
  const QuinceWorker *known = quince_worker_table_find_ref (backends->workers, &ref);
  if (known == NULL)
    quince_worker_assume_cold (entry, now + get_assumed_cold_us (backends, entry));
  gboolean was_cold = known != NULL && known->cold_remaining_us > 0;
  if (was_cold == (entry->cold_remaining_us > 0))
    return;
  quince_log_info ("worker_warmth", "worker=%s service=%s cold_ms=%" G_GINT64_FORMAT, entry->id,
                   entry->service, MAX (entry->cold_remaining_us, 0) / 1000);
}

void
quince_backends_finish_first_listing (QuinceBackends *backends)
{
  backends->first_listing_read = TRUE;
}

static void
assume_cold_in_zone (QuinceWorker *worker, gint64 now_us, const char *zone)
{
  if (g_str_equal (worker->zone, zone))
    quince_worker_assume_cold (worker, now_us + QUINCE_WARMUP_ASSUMED_COLD_US);
}

void
quince_backends_assume_zone_cold (QuinceBackends *backends, gint64 now_us, const char *zone)
{
  g_autoptr (GPtrArray) all = quince_worker_table_list_all (backends->workers);
  for (guint i = 0; i < all->len; i++)
    assume_cold_in_zone (all->pdata[i], now_us, zone);
}

guint
quince_backends_count_cold (QuinceBackends *backends)
{
  gint64 now = quince_now_us ();
  guint cold = 0;
  g_autoptr (GPtrArray) all = quince_worker_table_list_all (backends->workers);
  for (guint i = 0; i < all->len; i++)
    cold += quince_worker_is_cold (all->pdata[i], now);
  return cold;
}

/* ---- Choice of a worker --------------------------------------------------- */

/* Returns the maximum number of requests per second to @worker; @max_sends is the limit for cold workers. */
static guint
get_max_sends (const QuinceBackendQuery *query, gint64 now_us, const QuinceWorker *worker, guint max_sends)
{
  return quince_choice_cold_limit (max_sends, quince_worker_is_cold (worker, now_us), query->model != NULL,
                                   query->running_max);
}

void
quince_warmth_begin_choice (QuinceBackends *backends,
                            gint64 now_us,
                            const QuinceBackendQuery *query,
                            QuinceColdChoice *choice)
{
  *choice = (QuinceColdChoice){
    .backends = backends, .query = query, .now_us = now_us, .available_us = G_MAXINT64
  };
  choice->max_sends = quince_warmup_sends_get_max_sends (backends->warmup, query->request->service);
  if (choice->max_sends != G_MAXUINT)
    choice->limited = g_ptr_array_new ();
}

gboolean
quince_warmth_can_send (QuinceColdChoice *choice, QuinceWorker *worker)
{
  if (choice->limited == NULL)
    return TRUE;
  QuinceWarmupSends *warmup = choice->backends->warmup;
  guint max_sends = get_max_sends (choice->query, choice->now_us, worker, choice->max_sends);
  if (quince_warmup_sends_can_send (warmup, choice->now_us, worker, max_sends))
    return TRUE;
  gint64 available_us = quince_warmup_sends_get_next_send_us (warmup, choice->now_us, worker, max_sends);
  choice->available_us = MIN (choice->available_us, available_us);
  g_ptr_array_add (choice->limited, worker);
  return FALSE;
}

gboolean
quince_warmth_is_limited (const QuinceColdChoice *choice)
{
  return choice->limited != NULL && choice->limited->len > 0;
}

gboolean
quince_warmth_end_choice (QuinceColdChoice *choice, gboolean found)
{
  g_autoptr (GPtrArray) limited = g_steal_pointer (&choice->limited);
  if (limited == NULL || limited->len == 0)
    return FALSE;
  QuinceBackends *backends = choice->backends;
  /* Rotates, so that concurrent requests of several fronts go to different workers. */
  QuinceWorker *requested_worker = limited->pdata[backends->rotation % limited->len];
  quince_warmup_sends_request_lease (backends->warmup, choice->now_us, requested_worker);
  backends->rotation += !found;
  backends->cold_worker_available_us = choice->available_us;
  return TRUE;
}

gboolean
quince_warmth_acquire_send (QuinceBackends *backends,
                            gint64 now_us,
                            const QuinceBackendQuery *query,
                            QuinceWorker *worker)
{
  worker->send_by_us = 0;
  guint max_sends = quince_warmup_sends_get_max_sends (backends->warmup, query->request->service);
  if (max_sends == G_MAXUINT)
    return TRUE;
  max_sends = get_max_sends (query, now_us, worker, max_sends);
  gboolean acquired = quince_warmup_sends_acquire_send (backends->warmup, now_us, worker, max_sends);
  if (acquired && quince_worker_is_cold (worker, now_us))
    worker->send_by_us = now_us + QUINCE_WARMUP_SEND_TIMEOUT_US;
  if (!acquired)
    backends->cold_worker_available_us = now_us;
  return acquired;
}

gint64
quince_backends_get_cold_worker_available_us (const QuinceBackends *backends)
{
  return backends->cold_worker_available_us;
}
