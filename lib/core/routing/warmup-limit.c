/*
 * warmup-limit.c: limits the requests that reach a cold worker in any second.
 *
 * A send that is granted at time G and leaves by time U reaches the worker between G and U plus a margin.  A
 * grant therefore counts until U plus the margin plus one window.  The limiter grants a send only while fewer
 * sends than the limit count.  This limits the sends that arrive in any one window: when the last of them was
 * granted, all others still counted.
 */
#include "core/routing/warmup-limit.h"

#include <math.h>

guint
quince_warmup_get_max_sends (double max_requests_per_s, double overage, double slack)
{
  if (!(max_requests_per_s > 0))
    return G_MAXUINT;
  double max_sends = floor (max_requests_per_s * overage + slack);
  return max_sends >= 1 ? (guint)MIN (max_sends, G_MAXINT) : 1;
}

/* ---- Limiter of the leader ----------------------------------------------- */

/* Sends to one worker that were granted together. */
typedef struct
{
  gint64 expires_us; /* from this time on, the sends no longer count against the limit */
  guint sends;
} SendGrant;

struct _QuinceWarmupLimiter
{
  GHashTable *workers; /* worker id to GArray of SendGrant, both owned */
  gint64 margin_us;
  gint64 cold_blocked_until_us; /* cold workers get no grants before this time; set by a new leader */
};

QuinceWarmupLimiter *
quince_warmup_limiter_new (gint64 margin_us)
{
  QuinceWarmupLimiter *limiter = g_new0 (QuinceWarmupLimiter, 1);
  limiter->workers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_array_unref);
  limiter->margin_us = margin_us;
  return limiter;
}

void
quince_warmup_limiter_free (QuinceWarmupLimiter *limiter)
{
  if (limiter == NULL)
    return;
  g_hash_table_unref (limiter->workers);
  g_free (limiter);
}

static gint64
get_grant_expiry_us (const QuinceWarmupLimiter *limiter, gint64 send_by_us)
{
  /* One more microsecond, since the window includes both of its ends. */
  return send_by_us + limiter->margin_us + QUINCE_WARMUP_WINDOW_US + 1;
}

void
quince_warmup_limiter_take_over (QuinceWarmupLimiter *limiter, gint64 used_until_us)
{
  g_hash_table_remove_all (limiter->workers);
  limiter->cold_blocked_until_us = get_grant_expiry_us (limiter, used_until_us);
}

static void
drop_expired_grants (GArray *grants, gint64 now_us)
{
  for (guint i = grants->len; i > 0; i--)
    if (g_array_index (grants, SendGrant, i - 1).expires_us <= now_us)
      g_array_remove_index_fast (grants, i - 1);
}

static guint
count_granted_sends (const GArray *grants)
{
  guint sends = 0;
  for (guint i = 0; i < grants->len; i++)
    sends += g_array_index (grants, SendGrant, i).sends;
  return sends;
}

guint
quince_warmup_limiter_grant (QuinceWarmupLimiter *limiter,
                             gint64 now_us,
                             const char *worker_id,
                             gboolean is_cold,
                             guint max_sends,
                             guint wanted_sends,
                             gint64 send_by_us)
{
  if (is_cold && now_us < limiter->cold_blocked_until_us)
    return 0;
  GArray *grants = g_hash_table_lookup (limiter->workers, worker_id);
  if (grants == NULL)
    {
      grants = g_array_new (FALSE, FALSE, sizeof (SendGrant));
      g_hash_table_insert (limiter->workers, g_strdup (worker_id), grants);
    }
  drop_expired_grants (grants, now_us);
  guint outstanding_sends = count_granted_sends (grants);
  guint granted_sends = outstanding_sends < max_sends ? MIN (wanted_sends, max_sends - outstanding_sends) : 0;
  const SendGrant grant
      = { .expires_us = get_grant_expiry_us (limiter, MAX (send_by_us, now_us)), .sends = granted_sends };
  if (granted_sends > 0)
    g_array_append_val (grants, grant);
  return granted_sends;
}

gint64
quince_warmup_limiter_get_next_grant_us (QuinceWarmupLimiter *limiter,
                                         gint64 now_us,
                                         const char *worker_id,
                                         gboolean is_cold,
                                         guint max_sends)
{
  gint64 earliest_us = is_cold ? MAX (limiter->cold_blocked_until_us, now_us) : now_us;
  GArray *grants = g_hash_table_lookup (limiter->workers, worker_id);
  if (grants == NULL)
    return earliest_us;
  drop_expired_grants (grants, now_us);
  if (count_granted_sends (grants) < max_sends)
    return earliest_us;
  gint64 next_expiry_us = G_MAXINT64;
  for (guint i = 0; i < grants->len; i++)
    next_expiry_us = MIN (next_expiry_us, g_array_index (grants, SendGrant, i).expires_us);
  return MAX (next_expiry_us, earliest_us);
}

void
quince_warmup_limiter_expire (QuinceWarmupLimiter *limiter, gint64 now_us)
{
  GHashTableIter iter;
  gpointer grants;
  g_hash_table_iter_init (&iter, limiter->workers);
  while (g_hash_table_iter_next (&iter, NULL, &grants))
    {
      drop_expired_grants (grants, now_us);
      if (((GArray *)grants)->len == 0)
        g_hash_table_iter_remove (&iter);
    }
}

guint
quince_warmup_limiter_get_n_workers (const QuinceWarmupLimiter *limiter)
{
  return g_hash_table_size (limiter->workers);
}

/* ---- Lease of a front ---------------------------------------------------- */

gboolean
quince_warmup_lease_can_send (const QuinceWarmupLease *lease, gint64 now_us)
{
  return lease->remaining_sends > 0 && now_us < lease->expires_us;
}

gboolean
quince_warmup_lease_use_send (QuinceWarmupLease *lease, gint64 now_us)
{
  if (!quince_warmup_lease_can_send (lease, now_us))
    return FALSE;
  lease->remaining_sends--;
  return TRUE;
}

gboolean
quince_warmup_lease_may_request (const QuinceWarmupLease *lease, gint64 now_us, gint64 timeout_us)
{
  gboolean in_progress = lease->request_id != 0 && now_us - lease->requested_us < timeout_us;
  return !in_progress && now_us >= lease->next_request_us && !quince_warmup_lease_can_send (lease, now_us);
}

void
quince_warmup_lease_start_request (QuinceWarmupLease *lease, gint64 now_us, guint64 request_id)
{
  lease->request_id = request_id;
  lease->requested_us = now_us;
}

void
quince_warmup_lease_handle_answer (QuinceWarmupLease *lease,
                                   gint64 now_us,
                                   guint64 request_id,
                                   guint sends,
                                   gint64 valid_us,
                                   gint64 retry_after_us)
{
  if (request_id == 0 || request_id != lease->request_id)
    return;
  lease->request_id = 0;
  lease->remaining_sends = sends;
  lease->expires_us = lease->requested_us + valid_us;
  lease->next_request_us = now_us + retry_after_us;
  lease->refused = sends == 0;
}
