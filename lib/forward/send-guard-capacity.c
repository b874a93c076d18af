/*
 * send-guard-capacity.c: whether a service can lose one more worker.
 */
#include "send-guard-private.h"

/* A worker that ended remains listed until its entry expires, so it is counted as listed but not as ready.
 * Addresses are counted, since a worker that restarts at its address under a new id is listed beside its
 * former incarnation: both are one worker of the service. */
void
quince_send_guard_count_workers (QuinceSendGuard *guard, gint64 now_us, const char *service)
{
  g_autoptr (GPtrArray) workers = quince_worker_table_list (guard->workers, service);
  g_autoptr (GHashTable) listed = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) ready = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < workers->len; i++)
    {
      const QuinceWorker *worker = workers->pdata[i];
      if (worker->draining || worker->expires_us != 0)
        continue;
      g_hash_table_add (listed, worker->address);
      if (!quince_quarantine_has_worker_ended (guard->quarantine, worker->incarnation))
        g_hash_table_add (ready, worker->address);
    }
  quince_service_capacities_update (guard->capacities, now_us, service, g_hash_table_size (listed),
                                    g_hash_table_size (ready));
}

gboolean
quince_send_guard_service_survives_end (QuinceSendGuard *guard,
                                        gint64 now_us,
                                        const char *service,
                                        guint at_risk)
{
  if (guard->workers == NULL)
    return TRUE;
  QuinceServiceCapacity capacity;
  quince_send_guard_count_workers (guard, now_us, service);
  quince_service_capacities_get (guard->capacities, now_us, service, &capacity);
  capacity.at_risk = at_risk;
  gboolean survives_end = quince_service_capacity_survives_end (&capacity);
  if (!survives_end)
    quince_send_guard_check_returns (guard, now_us, service);
  return survives_end;
}

gboolean
quince_send_guard_service_allows_hedge (QuinceSendGuard *guard, gint64 now_us, const char *service)
{
  if (guard->workers == NULL)
    return TRUE;
  QuinceServiceCapacity capacity;
  quince_send_guard_count_workers (guard, now_us, service);
  quince_service_capacities_get (guard->capacities, now_us, service, &capacity);
  return quince_service_capacity_allows_hedge (&capacity);
}

guint
quince_send_guard_get_retry_after_ms (const QuinceSendGuard *guard, gint64 now_us, const char *service)
{
  return (guint)(quince_service_capacities_get_wait_us (guard->capacities, now_us, service) / 1000);
}

void
quince_send_guard_handle_report (QuinceSendGuard *guard, gint64 now_us, const QuinceRequestDigest *digest)
{
  const QuinceSuspect *suspect = quince_quarantine_find (guard->quarantine, digest);
  if (suspect == NULL || suspect->service == NULL || guard->workers == NULL)
    return;
  quince_send_guard_count_workers (guard, now_us, suspect->service);
  quince_service_capacities_record_end (guard->capacities, suspect->ended_us, suspect->service);
}
