/*
 * tenant-share.c: limits a tenant to its share of a full service; see tenant-share.h.
 */
#include "core/decisions/tenant-share.h"

/* A cut reduces the limit by the limit divided by this.  A fourth left more slots unused during a burst and
 * protected other tenants no better. */
#define CUT_DIVISOR 8
/* The limit is at least the requests in flight divided by this.  Streams take longer than the time between
 * two cuts, which would otherwise take the limit to 0 before the first one shows an effect. */
#define LIMIT_DIVISOR_MAX 2
/* A step of growth adds the limit divided by this, and at least 1. */
#define GROW_DIVISOR 8
/* Maximum time between two refusals by workers that make the service full, us. */
#define REFUSAL_PAIR_US G_USEC_PER_SEC

typedef struct
{
  guint in_flight;
  guint started;  /* requests since the service became full */
  gint64 used_us; /* start or end of its last request */
} Tenant;

struct _QuinceTenantShare
{
  GHashTable *tenants; /* Tenant by name, owned */
  guint in_flight;     /* of all tenants */
  guint busy;          /* tenants with requests in flight */
  /* Valid while the service is full: */
  gboolean is_full;
  guint limit;   /* maximum requests in flight */
  guint started; /* requests of all tenants since the service became full */
  gint64 last_refusal_us;
  gint64 last_cut_us;
  gint64 last_growth_us;
};

QuinceTenantShare *
quince_tenant_share_new (void)
{
  QuinceTenantShare *share = g_new0 (QuinceTenantShare, 1);
  share->tenants = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return share;
}

void
quince_tenant_share_free (QuinceTenantShare *share)
{
  if (share == NULL)
    return;
  g_hash_table_unref (share->tenants);
  g_free (share);
}

static gboolean
is_inactive (gpointer name, gpointer value, gpointer now_us)
{
  const Tenant *tenant = value;
  return tenant->in_flight == 0 && *(const gint64 *)now_us - tenant->used_us >= QUINCE_TENANT_SHARE_ACTIVE_US;
}

static void
grow_limit (QuinceTenantShare *share, gint64 now_us)
{
  if (!share->is_full)
    return;
  if (now_us - share->last_refusal_us >= QUINCE_TENANT_SHARE_FULL_US)
    {
      share->is_full = FALSE;
      return;
    }
  gint64 since_us = MAX (share->last_growth_us, share->last_refusal_us);
  if (now_us - since_us < QUINCE_TENANT_SHARE_GROW_INTERVAL_US)
    return;
  share->limit += MAX (share->limit / GROW_DIVISOR, 1);
  share->last_growth_us = now_us;
}

/* Returns whether @tenant started more than its share of the requests since the service became full. */
static gboolean
exceeds_start_share (const QuinceTenantShare *share, const Tenant *tenant)
{
  return tenant->started >= QUINCE_TENANT_SHARE_STARTS_MIN
         && tenant->started > share->started / g_hash_table_size (share->tenants);
}

gboolean
quince_tenant_share_admit (QuinceTenantShare *share, const char *name, gint64 now_us)
{
  grow_limit (share, now_us);
  if (!share->is_full || share->in_flight < share->limit)
    return TRUE;
  g_hash_table_foreach_remove (share->tenants, is_inactive, &now_us);
  const Tenant *tenant = g_hash_table_lookup (share->tenants, name);
  if (tenant == NULL || g_hash_table_size (share->tenants) < 2)
    return TRUE;
  if (share->limit == 0 && exceeds_start_share (share, tenant))
    return FALSE;
  if (tenant->in_flight == 0)
    return TRUE;
  gboolean below_limit = tenant->in_flight < MAX (share->limit / share->busy, 1);
  gboolean below_mean = tenant->in_flight * share->busy < share->in_flight;
  return below_limit || below_mean;
}

void
quince_tenant_share_begin (QuinceTenantShare *share, const char *name, gint64 now_us)
{
  Tenant *tenant = g_hash_table_lookup (share->tenants, name);
  if (tenant == NULL)
    {
      g_hash_table_foreach_remove (share->tenants, is_inactive, &now_us);
      tenant = g_new0 (Tenant, 1);
      g_hash_table_insert (share->tenants, g_strdup (name), tenant);
    }
  share->busy += tenant->in_flight == 0;
  tenant->in_flight++;
  tenant->started++;
  share->started++;
  tenant->used_us = now_us;
  share->in_flight++;
}

void
quince_tenant_share_end (QuinceTenantShare *share, const char *name, gint64 now_us)
{
  Tenant *tenant = g_hash_table_lookup (share->tenants, name);
  if (tenant == NULL || tenant->in_flight == 0)
    return;
  tenant->in_flight--;
  tenant->used_us = now_us;
  share->busy -= tenant->in_flight == 0;
  share->in_flight--;
}

static void
begin_full (QuinceTenantShare *share)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, share->tenants);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Tenant *)value)->started = 0;
  share->started = 0;
  share->limit = share->in_flight;
  share->is_full = TRUE;
}

gboolean
quince_tenant_share_counts_refusal (const QuinceTenantShare *share, gint64 last_refusal_us, gint64 now_us)
{
  gboolean is_full = share->is_full && now_us - share->last_refusal_us < QUINCE_TENANT_SHARE_FULL_US;
  return is_full || (last_refusal_us != 0 && now_us - last_refusal_us <= REFUSAL_PAIR_US);
}

void
quince_tenant_share_handle_refusal (QuinceTenantShare *share, gint64 now_us)
{
  grow_limit (share, now_us);
  gboolean was_full = share->is_full;
  if (!was_full)
    begin_full (share);
  share->last_refusal_us = now_us;
  if (was_full && now_us - share->last_cut_us < QUINCE_TENANT_SHARE_CUT_INTERVAL_US)
    return;
  guint base = MIN (share->limit, share->in_flight);
  guint cut = base - MIN (base, MAX (base / CUT_DIVISOR, 1));
  share->limit = MAX (cut, share->in_flight / LIMIT_DIVISOR_MAX);
  share->last_cut_us = now_us;
  share->last_growth_us = now_us;
}

gboolean
quince_tenant_share_is_full (const QuinceTenantShare *share)
{
  return share->is_full;
}
