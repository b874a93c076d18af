/*
 * tenant-share.h: limits a tenant to its share of one service while the workers of that service are full.
 *
 * Each front decides from its own requests in flight and the refusals by workers that it receives; fronts
 * exchange no messages.  While the service is full, the front limits its requests in flight there: each cut
 * reduces the limit by an eighth, and it grows again while no worker refuses.  Once the limit is reached, a
 * tenant is refused if it has its share of the limit or more in flight, and no fewer than the mean of the
 * tenants with requests in flight.  The limit becomes 0 if the burst of a tenant is spread over many fronts;
 * then a tenant is refused that started QUINCE_TENANT_SHARE_STARTS_MIN requests or more, and more than its
 * share, since the service became full.  There is no limit while the service is not full or only one tenant
 * is active.
 *
 * Owns the names of the tenants; forgets those that were idle for QUINCE_TENANT_SHARE_ACTIVE_US.  Pure: time
 * is an argument, monotonic, us.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* A tenant counts as active for this long after its last request, us.  Long enough that a front that gets
 * one lookup in six seconds sees more than one tenant. */
#define QUINCE_TENANT_SHARE_ACTIVE_US (60 * (gint64)G_USEC_PER_SEC)
/* Minimum time between two cuts of the limit, us: four typical lookups (25 ms), so that the effect of a cut
 * shows before the next one. */
#define QUINCE_TENANT_SHARE_CUT_INTERVAL_US (100 * 1000)
/* Time without a refusal after which the limit grows by one step, us. */
#define QUINCE_TENANT_SHARE_GROW_INTERVAL_US (100 * 1000)
/* Time without a refusal after which the service is no longer full, us.  The limit grows tenfold in it. */
#define QUINCE_TENANT_SHARE_FULL_US (2 * (gint64)G_USEC_PER_SEC)

/* Requests of a tenant since the service became full that a limit of 0 never refuses. */
#define QUINCE_TENANT_SHARE_STARTS_MIN 8

/* State of one service at one front. */
typedef struct _QuinceTenantShare QuinceTenantShare;

QuinceTenantShare *quince_tenant_share_new (void);
void quince_tenant_share_free (QuinceTenantShare *share);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceTenantShare, quince_tenant_share_free)

/* Returns whether a request of @tenant may start. */
gboolean quince_tenant_share_admit (QuinceTenantShare *share, const char *tenant, gint64 now_us);
/* Records that an admitted request of @tenant starts or ends. */
void quince_tenant_share_begin (QuinceTenantShare *share, const char *tenant, gint64 now_us);
void quince_tenant_share_end (QuinceTenantShare *share, const char *tenant, gint64 now_us);
/* Returns whether a refusal by a worker is to be passed to quince_tenant_share_handle_refusal(): the service
 * is full already, or the previous refusal was at most 1 s ago.  A single full worker beside others with free
 * slots only costs another send.  @last_refusal_us: time of the previous refusal; 0: none */
gboolean
quince_tenant_share_counts_refusal (const QuinceTenantShare *share, gint64 last_refusal_us, gint64 now_us);
/* Records that a worker refused a request for lack of slots: the service is full. */
void quince_tenant_share_handle_refusal (QuinceTenantShare *share, gint64 now_us);
/* Returns whether there is a limit: workers refused within QUINCE_TENANT_SHARE_FULL_US. */
gboolean quince_tenant_share_is_full (const QuinceTenantShare *share);

G_END_DECLS
