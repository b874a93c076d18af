/*
 * permits.c: permits to send suspect requests.
 */
#include "core/request/quarantine.h"

/* Time after its grant for which a permit counts as recent, us.  A recent permit to run alone blocks other
 * such permits at its service.  Longer than a lookup (25 to 80 ms), and shorter than a sample (a second or
 * more), so that suspect samples do not wait for each other's whole run. */
#define RECENT_PERMIT_US (300 * 1000)

typedef struct
{
  QuinceRequestDigest digest;
  char *service; /* service that the request is sent to */
  gboolean alone;
  gint64 granted_us;
  gconstpointer holder;
  gint64 expiry_us;
} Permit;

struct _QuincePermits
{
  GHashTable *by_digest; /* the permit's digest to Permit, owned */
};

static void
permit_free (gpointer data)
{
  Permit *permit = data;
  g_free (permit->service);
  g_free (permit);
}

QuincePermits *
quince_permits_new (void)
{
  QuincePermits *permits = g_new0 (QuincePermits, 1);
  permits->by_digest
      = g_hash_table_new_full (quince_request_digest_hash, quince_request_digest_equal, NULL, permit_free);
  return permits;
}

void
quince_permits_free (QuincePermits *permits)
{
  if (permits == NULL)
    return;
  g_hash_table_unref (permits->by_digest);
  g_free (permits);
}

typedef struct
{
  gint64 now_us;
  gconstpointer holder; /* NULL: match expired permits instead */
} PermitFilter;

static gboolean
matches_filter (gpointer key, gpointer value, gpointer data)
{
  const Permit *permit = value;
  const PermitFilter *filter = data;
  return filter->holder != NULL ? permit->holder == filter->holder : filter->now_us >= permit->expiry_us;
}

static gboolean
is_recent_at (const Permit *permit, gint64 now_us, const char *service)
{
  return now_us - permit->granted_us < RECENT_PERMIT_US && g_strcmp0 (permit->service, service) == 0;
}

guint
quince_permits_count_recent (const QuincePermits *permits,
                             gint64 now_us,
                             const char *service,
                             const QuinceRequestDigest *excluded)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, permits->by_digest);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Permit *permit = value;
      count += is_recent_at (permit, now_us, service)
               && !quince_request_digest_equal (&permit->digest, excluded);
    }
  return count;
}

static gboolean
has_recent_alone_permit (const QuincePermits *permits, gint64 now_us, const char *service)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, permits->by_digest);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Permit *permit = value;
      if (permit->alone && is_recent_at (permit, now_us, service))
        return TRUE;
    }
  return FALSE;
}

gboolean
quince_permits_take (QuincePermits *permits,
                     gint64 now_us,
                     const QuinceRequestDigest *digest,
                     const char *service,
                     gboolean alone,
                     gconstpointer holder,
                     gint64 expiry_us)
{
  PermitFilter expired = { now_us, NULL };
  g_hash_table_foreach_remove (permits->by_digest, matches_filter, &expired);
  if (g_hash_table_contains (permits->by_digest, digest)
      || (alone && has_recent_alone_permit (permits, now_us, service)))
    return FALSE;
  Permit *permit = g_new0 (Permit, 1);
  permit->digest = *digest;
  permit->service = g_strdup (service);
  permit->alone = alone;
  permit->granted_us = now_us;
  permit->holder = holder;
  permit->expiry_us = expiry_us;
  g_hash_table_insert (permits->by_digest, &permit->digest, permit);
  return TRUE;
}

void
quince_permits_return (QuincePermits *permits, const QuinceRequestDigest *digest, gconstpointer holder)
{
  const Permit *permit = g_hash_table_lookup (permits->by_digest, digest);
  if (permit != NULL && permit->holder == holder)
    g_hash_table_remove (permits->by_digest, digest);
}

void
quince_permits_return_all (QuincePermits *permits, gconstpointer holder)
{
  PermitFilter of_holder = { 0, holder };
  g_hash_table_foreach_remove (permits->by_digest, matches_filter, &of_holder);
}
