/*
 * warmup-sends.c: limits the sends of this process to workers that may be cold.
 */
#include "forward/warmup-sends.h"

#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/clock.h"

/* Time after which an unanswered request is considered lost: far above a round trip between regions (26 ms).
 */
#define LEASE_REQUEST_TIMEOUT_US (300 * 1000)
/* One, since unused sends of a lease count against the limit. */
#define SENDS_PER_LEASE 1
/* Minimum time between two lease requests of this process; limits the load of the leader.  A hundred fronts
 * then send it 2,000 requests per second while workers are cold. */
#define LEASE_REQUEST_INTERVAL_US (50 * 1000)
/* Delay before the next lease request if there is no leader. */
#define NO_LEADER_RETRY_DELAY_US (500 * 1000)

struct _QuinceWarmupSends
{
  /* All fields belong to the context that created it. */
  QuinceWarmupBounds bounds;
  const QuinceWarmupSendsCallbacks *callbacks;
  gpointer user_data;
  QuinceWarmupLimiter *limiter;
  GHashTable *leases;           /* QuinceWarmupLease by id of the worker, both owned */
  guint64 last_request_id;      /* id of the last lease request */
  gint64 next_lease_request_us; /* earliest time of the next request */
};

void
quince_warmup_read_bounds (const QuinceSettings *settings, QuinceWarmupBounds *bounds)
{
  bounds->overage = quince_settings_get_number (settings, "warmup", "overage");
  bounds->slack = quince_settings_get_number (settings, "warmup", "slack");
}

QuinceWarmupSends *
quince_warmup_sends_new (const QuinceWarmupBounds *bounds,
                         const QuinceWarmupSendsCallbacks *callbacks,
                         gpointer user_data)
{
  QuinceWarmupSends *sends = g_new0 (QuinceWarmupSends, 1);
  sends->bounds = *bounds;
  sends->callbacks = callbacks;
  sends->user_data = user_data;
  sends->limiter = quince_warmup_limiter_new (QUINCE_WARMUP_MARGIN_US);
  sends->leases = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  /* Starts at the clock, so that a late answer to an earlier process does not match a request of this one. */
  sends->last_request_id = (guint64)quince_now_us ();
  return sends;
}

void
quince_warmup_sends_free (QuinceWarmupSends *sends)
{
  if (sends == NULL)
    return;
  quince_warmup_limiter_free (sends->limiter);
  g_hash_table_unref (sends->leases);
  g_free (sends);
}

static gboolean
may_grant (const QuinceWarmupSends *sends)
{
  return sends->callbacks->may_grant != NULL && sends->callbacks->may_grant (sends->user_data);
}

static void
count_sends (const char *outcome, guint amount)
{
  g_autofree char *labels = g_strdup_printf ("outcome=\"%s\"", outcome);
  quince_metric_add ("quince_warmup_sends_total", labels, amount);
}

/* ---- Choice of a worker ------------------------------------------------- */

guint
quince_warmup_sends_get_max_sends (QuinceWarmupSends *sends, const char *service)
{
  if (sends == NULL)
    return G_MAXUINT;
  const QuinceService *service_config = sends->callbacks->find_service (service, sends->user_data);
  if (service_config == NULL)
    return G_MAXUINT;
  return quince_warmup_get_max_sends (service_config->cold_max_requests_per_s, sends->bounds.overage,
                                      sends->bounds.slack);
}

gint64
quince_warmup_sends_get_cold_start_us (QuinceWarmupSends *sends, const char *service)
{
  const QuinceService *service_config
      = sends != NULL ? sends->callbacks->find_service (service, sends->user_data) : NULL;
  return service_config != NULL ? (gint64)service_config->cold_start_ms * 1000 : 0;
}

static QuinceWarmupLease *
find_lease (QuinceWarmupSends *sends, const char *worker)
{
  return g_hash_table_lookup (sends->leases, worker);
}

gboolean
quince_warmup_sends_can_send (QuinceWarmupSends *sends,
                              gint64 now_us,
                              const QuinceWorker *worker,
                              guint max_sends)
{
  gboolean cold = quince_worker_is_cold (worker, now_us);
  if (sends->callbacks->may_grant != NULL)
    return quince_warmup_limiter_get_next_grant_us (sends->limiter, now_us, worker->id, cold, max_sends)
               <= now_us
           && (!cold || may_grant (sends));
  const QuinceWarmupLease *lease = find_lease (sends, worker->id);
  return !cold || (lease != NULL && quince_warmup_lease_can_send (lease, now_us));
}

gboolean
quince_warmup_sends_acquire_send (QuinceWarmupSends *sends,
                                  gint64 now_us,
                                  const QuinceWorker *worker,
                                  guint max_sends)
{
  gboolean cold = quince_worker_is_cold (worker, now_us);
  if (sends->callbacks->may_grant != NULL)
    {
      gint64 send_by_us = now_us + (cold ? QUINCE_WARMUP_SEND_TIMEOUT_US : 0);
      if ((cold && !may_grant (sends))
          || quince_warmup_limiter_grant (sends->limiter, now_us, worker->id, cold, max_sends, 1, send_by_us)
                 == 0)
        return FALSE;
    }
  else if (cold)
    {
      QuinceWarmupLease *lease = find_lease (sends, worker->id);
      if (lease == NULL || !quince_warmup_lease_use_send (lease, now_us))
        return FALSE;
    }
  if (cold)
    count_sends ("sent", 1);
  return TRUE;
}

void
quince_warmup_sends_request_lease (QuinceWarmupSends *sends, gint64 now_us, const QuinceWorker *worker)
{
  if (sends->callbacks->request_lease == NULL || now_us < sends->next_lease_request_us)
    return;
  QuinceWarmupLease *lease = find_lease (sends, worker->id);
  if (lease == NULL)
    {
      lease = g_new0 (QuinceWarmupLease, 1);
      g_hash_table_insert (sends->leases, g_strdup (worker->id), lease);
    }
  if (!quince_warmup_lease_may_request (lease, now_us, LEASE_REQUEST_TIMEOUT_US))
    return;
  /* The validity of the lease starts before the request is sent. */
  gint64 requested_us = quince_now_us ();
  guint64 request_id = ++sends->last_request_id;
  if (!sends->callbacks->request_lease (request_id, worker->id, SENDS_PER_LEASE, sends->user_data))
    {
      lease->refused = TRUE;
      lease->next_request_us = now_us + NO_LEADER_RETRY_DELAY_US;
      return;
    }
  quince_warmup_lease_start_request (lease, requested_us, request_id);
  sends->next_lease_request_us = now_us + LEASE_REQUEST_INTERVAL_US;
}

gint64
quince_warmup_sends_get_next_send_us (QuinceWarmupSends *sends,
                                      gint64 now_us,
                                      const QuinceWorker *worker,
                                      guint max_sends)
{
  if (sends->callbacks->may_grant != NULL)
    return quince_warmup_limiter_get_next_grant_us (sends->limiter, now_us, worker->id,
                                                    quince_worker_is_cold (worker, now_us), max_sends);
  const QuinceWarmupLease *lease = find_lease (sends, worker->id);
  return lease != NULL && lease->refused ? MAX (lease->next_request_us, now_us) : now_us;
}

/* ---- Lease requests ------------------------------------------------------- */

void
quince_warmup_sends_handle_answer (QuinceWarmupSends *sends,
                                   const char *worker,
                                   guint64 request_id,
                                   guint granted,
                                   gint64 valid_us,
                                   gint64 retry_after_us)
{
  QuinceWarmupLease *lease = find_lease (sends, worker);
  if (lease == NULL)
    return;
  valid_us = MIN (valid_us, QUINCE_WARMUP_LEASE_VALID_US);
  quince_warmup_lease_handle_answer (lease, quince_now_us (), request_id, granted, valid_us, retry_after_us);
}

void
quince_warmup_sends_forget_requests (QuinceWarmupSends *sends)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sends->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QuinceWarmupLease *lease = value;
      lease->request_id = 0;
      lease->next_request_us = 0;
      lease->refused = FALSE;
    }
}

/* ---- Grants of the leader ------------------------------------------------- */

void
quince_warmup_sends_take_over (QuinceWarmupSends *sends)
{
  gint64 used_until_us = quince_now_us () + QUINCE_WARMUP_LEASE_VALID_US + QUINCE_WARMUP_SEND_TIMEOUT_US;
  quince_warmup_limiter_take_over (sends->limiter, used_until_us);
}

guint
quince_warmup_sends_grant (QuinceWarmupSends *sends,
                           const char *worker,
                           const char *service,
                           guint wanted_sends,
                           gint64 *retry_after_us)
{
  gint64 now = quince_now_us ();
  guint max_sends = quince_warmup_sends_get_max_sends (sends, service);
  gint64 send_by_us = now + QUINCE_WARMUP_LEASE_VALID_US + QUINCE_WARMUP_SEND_TIMEOUT_US;
  guint granted = 0;
  *retry_after_us = NO_LEADER_RETRY_DELAY_US;
  if (may_grant (sends))
    {
      granted = quince_warmup_limiter_grant (sends->limiter, now, worker, TRUE, max_sends, wanted_sends,
                                             send_by_us);
      *retry_after_us
          = quince_warmup_limiter_get_next_grant_us (sends->limiter, now, worker, TRUE, max_sends) - now;
    }
  count_sends (granted > 0 ? "given" : "refused", granted > 0 ? granted : wanted_sends);
  return granted;
}

void
quince_warmup_sends_expire (QuinceWarmupSends *sends, gint64 now_us)
{
  quince_warmup_limiter_expire (sends->limiter, now_us);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sends->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const QuinceWarmupLease *lease = value;
      gint64 last_used_us = MAX (MAX (lease->requested_us, lease->expires_us), lease->next_request_us);
      if (now_us - last_used_us > 10 * QUINCE_WARMUP_WINDOW_US)
        g_hash_table_iter_remove (&iter);
    }
}
