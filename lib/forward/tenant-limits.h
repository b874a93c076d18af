/*
 * tenant-limits.h: limits each tenant to its share of a full service; the rule is in
 * core/decisions/tenant-share.h.
 *
 * Counts the requests of this process by service and tenant.  Requests without a tenant are neither counted
 * nor limited.  The backends of a process own the object.  All functions must be called from the main thread.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceTenantLimits QuinceTenantLimits;

QuinceTenantLimits *quince_tenant_limits_new (void);
void quince_tenant_limits_free (QuinceTenantLimits *limits);
/* Returns whether a request of @tenant (nullable) for @service may start.  Logs refusals, at most one per
 * second and service. */
gboolean quince_tenant_limits_admit (QuinceTenantLimits *limits, const char *service, const char *tenant);
/* Records that a request of @tenant (nullable) starts or ends. */
void quince_tenant_limits_begin (QuinceTenantLimits *limits, const char *service, const char *tenant);
void quince_tenant_limits_end (QuinceTenantLimits *limits, const char *service, const char *tenant);
/* Records that a worker of @service refused a request for lack of slots.  The service counts as full from the
 * second refusal within a second on; see quince_tenant_share_counts_refusal(). */
void quince_tenant_limits_handle_refusal (QuinceTenantLimits *limits, const char *service);

G_END_DECLS
