/*
 * residency-lookup.h: looks up the regions in which a request may be served, in the active configuration.
 *
 * A request looks them up before each send, so that a changed configuration applies to its next send.
 */
#pragma once

#include "forward/backends.h"

G_BEGIN_DECLS

/* @routes: (transfer none) (nullable): the active configuration; to be replaced by another call before it is
 * freed */
void quince_backends_set_routes (QuinceBackends *backends, const QuinceRouteTable *routes);
/* Returns whether any route or tenant of the active configuration restricts regions; if not, new requests may
 * be served anywhere. */
gboolean quince_backends_has_region_rules (const QuinceBackends *backends);
/* Returns whether @worker is in a region that @residency (nullable) allows.  A worker in an unknown region is
 * allowed only if @residency is unrestricted. */
gboolean quince_backends_is_allowed_worker (const QuinceBackends *backends,
                                            const QuinceWorker *worker,
                                            const QuinceResidency *residency);
/* Returns whether @service has a worker that is not draining and is allowed by @residency (nullable). */
gboolean quince_backends_has_allowed_worker (QuinceBackends *backends,
                                             const char *service,
                                             const QuinceResidency *residency);

/**
 * QuinceResidencyLookup: regions of one request at its last lookup; starts zeroed
 * @table: configuration that they were read from, for comparison only; never dereferenced
 * @version: version of @table
 * @route_regions: (nullable): owned; regions that its route allows, kept if the route is deleted
 * @tenant_regions: (nullable): owned; regions that its tenant allows
 */
typedef struct
{
  const QuinceRouteTable *table;
  guint64 version;
  char **route_regions;
  char **tenant_regions;
} QuinceResidencyLookup;

/* Looks up the regions of a request if the configuration changed since the last lookup.
 * @host: (nullable): %NULL equals ""
 * @tenant: (nullable): %NULL or "": no tenant
 * @residency: (out): borrows from @lookup, valid until it changes or is cleared */
void quince_residency_resolve (QuinceResidencyLookup *lookup,
                               const QuinceBackends *backends,
                               const char *host,
                               const char *target,
                               const char *tenant,
                               QuinceResidency *residency);
void quince_residency_lookup_clear (QuinceResidencyLookup *lookup);

G_END_DECLS
