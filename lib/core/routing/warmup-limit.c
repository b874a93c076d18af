/*
 * warmup-limit.c: limits the requests that reach a cold worker in any second.
 *
 * A send granted at time G until time U may arrive at any moment from G to U plus a margin.  Two sends can
 * arrive within one second only if the earlier one may arrive less than a second before the later one is
 * granted.  A new send is granted while fewer earlier ones than the limit may do so.  This holds for every
 * window of a second: of the sends that arrive in it, the one granted last counted all others.
 */
#include "core/routing/warmup-limit.h"

#include <math.h>

guint
quince_warmup_get_max_sends (double per_s, double overage, double slack)
{
  if (!(per_s > 0))
    return G_MAXUINT;
  double most = floor (per_s * overage + slack);
  return most >= 1 ? (guint)MIN (most, G_MAXINT) : 1;
}

/* ---- The book of the process that grants --------------------------------- */

/* Sends that were granted together. */
typedef struct
{
  gint64 free_us; /* from then on a new grant cannot arrive in the same second as these */
  guint sends;
} Grant;

struct _QuinceWarmupLimiter
{
  GHashTable *workers; /* id to GArray of Grant, both owned */
  gint64 margin_us;
  gint64 cold_blocked_until_us; /* until then a former leader's grants may arrive in the same second as a new
                                   one */
};

QuinceWarmupLimiter *
quince_warmup_limiter_new (gint64 margin_us)
{
  QuinceWarmupLimiter *book = g_new0 (QuinceWarmupLimiter, 1);
  book->workers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_array_unref);
  book->margin_us = margin_us;
  return book;
}

void
quince_warmup_limiter_free (QuinceWarmupLimiter *book)
{
  if (book == NULL)
    return;
  g_hash_table_unref (book->workers);
  g_free (book);
}

static gint64
get_grant_expiry_us (const QuinceWarmupLimiter *book, gint64 until_us)
{
  return until_us + book->margin_us + QUINCE_WARMUP_WINDOW_US + 1; /* a second has both its ends */
}

void
quince_warmup_limiter_take_over (QuinceWarmupLimiter *book, gint64 used_until_us)
{
  g_hash_table_remove_all (book->workers);
  book->cold_blocked_until_us = get_grant_expiry_us (book, used_until_us);
}

static void
drop_expired_grants (GArray *grants, gint64 now_us)
{
  for (guint i = grants->len; i > 0; i--)
    if (g_array_index (grants, Grant, i - 1).free_us <= now_us)
      g_array_remove_index_fast (grants, i - 1);
}

static guint
count_sends (const GArray *grants)
{
  guint sends = 0;
  for (guint i = 0; i < grants->len; i++)
    sends += g_array_index (grants, Grant, i).sends;
  return sends;
}

guint
quince_warmup_limiter_grant (QuinceWarmupLimiter *book,
                             gint64 now_us,
                             const char *worker,
                             gboolean is_cold,
                             guint most,
                             guint sends,
                             gint64 until_us)
{
  if (is_cold && now_us < book->cold_blocked_until_us)
    return 0;
  GArray *grants = g_hash_table_lookup (book->workers, worker);
  if (grants == NULL)
    {
      grants = g_array_new (FALSE, FALSE, sizeof (Grant));
      g_hash_table_insert (book->workers, g_strdup (worker), grants);
    }
  drop_expired_grants (grants, now_us);
  guint used = count_sends (grants);
  guint granted = used < most ? MIN (sends, most - used) : 0;
  const Grant added = { .free_us = get_grant_expiry_us (book, MAX (until_us, now_us)), .sends = granted };
  if (granted > 0)
    g_array_append_val (grants, added);
  return granted;
}

gint64
quince_warmup_limiter_get_next_grant_us (QuinceWarmupLimiter *book,
                                         gint64 now_us,
                                         const char *worker,
                                         gboolean is_cold,
                                         guint most)
{
  gint64 quiet_us = is_cold ? MAX (book->cold_blocked_until_us, now_us) : now_us;
  GArray *grants = g_hash_table_lookup (book->workers, worker);
  if (grants == NULL)
    return quiet_us;
  drop_expired_grants (grants, now_us);
  if (count_sends (grants) < most)
    return quiet_us;
  gint64 first = G_MAXINT64;
  for (guint i = 0; i < grants->len; i++)
    first = MIN (first, g_array_index (grants, Grant, i).free_us);
  return MAX (first, quiet_us);
}

void
quince_warmup_limiter_expire (QuinceWarmupLimiter *book, gint64 now_us)
{
  GHashTableIter iter;
  gpointer grants;
  g_hash_table_iter_init (&iter, book->workers);
  while (g_hash_table_iter_next (&iter, NULL, &grants))
    {
      drop_expired_grants (grants, now_us);
      if (((GArray *)grants)->len == 0)
        g_hash_table_iter_remove (&iter);
    }
}

guint
quince_warmup_limiter_get_n_workers (const QuinceWarmupLimiter *book)
{
  return g_hash_table_size (book->workers);
}

/* ---- The lease of a process that is granted sends ------------------------ */

gboolean
quince_warmup_lease_can_send (const QuinceWarmupLease *lease, gint64 now_us)
{
  return lease->sends > 0 && now_us < lease->until_us;
}

gboolean
quince_warmup_lease_use_send (QuinceWarmupLease *lease, gint64 now_us)
{
  if (!quince_warmup_lease_can_send (lease, now_us))
    return FALSE;
  lease->sends--;
  return TRUE;
}

gboolean
quince_warmup_lease_may_request (const QuinceWarmupLease *lease, gint64 now_us, gint64 patience_us)
{
  gboolean waits = lease->ask != 0 && now_us - lease->requested_us < patience_us;
  return !waits && now_us >= lease->again_us && !quince_warmup_lease_can_send (lease, now_us);
}

void
quince_warmup_lease_start_request (QuinceWarmupLease *lease, gint64 now_us, guint64 ask)
{
  lease->ask = ask;
  lease->requested_us = now_us;
}

void
quince_warmup_lease_handle_answer (QuinceWarmupLease *lease,
                                   gint64 now_us,
                                   guint64 ask,
                                   guint sends,
                                   gint64 valid_us,
                                   gint64 again_us)
{
  if (ask == 0 || ask != lease->ask)
    return;
  lease->ask = 0;
  lease->sends = sends;
  lease->until_us = lease->requested_us + valid_us;
  lease->again_us = now_us + again_us;
  lease->refused = sends == 0;
}
