/*
 * tenant-limits.c: limits each tenant to its share of a full service; see tenant-limits.h.
 */
#include "tenant-limits.h"

#include "core/decisions/tenant-share.h"
#include "runtime/clock.h"
#include "runtime/log.h"

/* Minimum time between two log lines of one service, us. */
#define LOG_INTERVAL_US G_USEC_PER_SEC

typedef struct
{
  QuinceTenantShare *share; /* owned */
  gint64 last_logged_us;    /* 0: never */
  gint64 last_refusal_us;   /* by a worker, monotonic; 0: none */
  guint refused;            /* since the last log line */
} ServiceLimit;

struct _QuinceTenantLimits
{
  GHashTable *services; /* ServiceLimit by name, owned; services that tenants used */
};

static void
service_limit_free (gpointer data)
{
  ServiceLimit *limit = data;
  quince_tenant_share_free (limit->share);
  g_free (limit);
}

QuinceTenantLimits *
quince_tenant_limits_new (void)
{
  QuinceTenantLimits *limits = g_new0 (QuinceTenantLimits, 1);
  limits->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, service_limit_free);
  return limits;
}

void
quince_tenant_limits_free (QuinceTenantLimits *limits)
{
  g_hash_table_unref (limits->services);
  g_free (limits);
}

static void
log_refusal (ServiceLimit *limit, const char *service, const char *tenant, gint64 now_us)
{
  limit->refused++;
  if (limit->last_logged_us != 0 && now_us - limit->last_logged_us < LOG_INTERVAL_US)
    return;
  quince_log_notice ("tenant_limited", "service=%s tenant=%s refused=%u", service, tenant, limit->refused);
  limit->last_logged_us = now_us;
  limit->refused = 0;
}

gboolean
quince_tenant_limits_admit (QuinceTenantLimits *limits, const char *service, const char *tenant)
{
  ServiceLimit *limit = g_hash_table_lookup (limits->services, service);
  gint64 now = quince_now_us ();
  if (tenant == NULL || limit == NULL || quince_tenant_share_admit (limit->share, tenant, now))
    return TRUE;
  log_refusal (limit, service, tenant, now);
  return FALSE;
}

void
quince_tenant_limits_begin (QuinceTenantLimits *limits, const char *service, const char *tenant)
{
  if (tenant == NULL)
    return;
  ServiceLimit *limit = g_hash_table_lookup (limits->services, service);
  if (limit == NULL)
    {
      limit = g_new0 (ServiceLimit, 1);
      limit->share = quince_tenant_share_new ();
      g_hash_table_insert (limits->services, g_strdup (service), limit);
    }
  quince_tenant_share_begin (limit->share, tenant, quince_now_us ());
}

void
quince_tenant_limits_end (QuinceTenantLimits *limits, const char *service, const char *tenant)
{
  ServiceLimit *limit = g_hash_table_lookup (limits->services, service);
  if (tenant != NULL && limit != NULL)
    quince_tenant_share_end (limit->share, tenant, quince_now_us ());
}

void
quince_tenant_limits_handle_refusal (QuinceTenantLimits *limits, const char *service)
{
  ServiceLimit *limit = g_hash_table_lookup (limits->services, service);
  if (limit == NULL)
    return;
  gint64 now = quince_now_us ();
  if (quince_tenant_share_counts_refusal (limit->share, limit->last_refusal_us, now))
    quince_tenant_share_handle_refusal (limit->share, now);
  limit->last_refusal_us = now;
}
