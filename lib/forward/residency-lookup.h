/*
 * residency-lookup.h: the regions in which a request may be served, by the configuration in force.
 *
 * A request looks them up before each send, so that a change of the configuration binds the next send.
 *
 * For: dispatch.c, the leader's samples.  Owns: copies of the regions, in each lookup.  Relies on: the route
 * table of the backends.
 */
#pragma once

#include "forward/backends.h"

G_BEGIN_DECLS

/* (transfer none) (nullable): the configuration in force; must be replaced here before it is freed */
void quince_backends_set_routes (QuinceBackends *backends, const QuinceRouteTable *routes);
/* Whether any route or tenant of the configuration in force names regions; if none does, requests may be
 * served anywhere. */
gboolean quince_backends_has_region_rules (const QuinceBackends *backends);
/* Whether @worker is where @residency (nullable) allows. A worker whose region is not known is
 * nowhere. */
gboolean quince_backends_is_allowed_worker (const QuinceBackends *backends,
                                            const QuinceWorker *worker,
                                            const QuinceResidency *residency);
/* Whether any worker of @service that is not draining is where @residency allows. */
gboolean quince_backends_has_allowed_worker (QuinceBackends *backends,
                                             const char *service,
                                             const QuinceResidency *residency);

/**
 * QuinceResidencyLookup: regions of one request, by the last look-up
 * @table: the configuration that they were read from; only compared
 * @route_regions: (nullable): owned; regions of its route, also once it is withdrawn
 * @tenant_regions: (nullable): owned; regions of its tenant
 */
typedef struct
{
  const QuinceRouteTable *table;
  guint64 version;
  char **route_regions;
  char **tenant_regions;
} QuinceResidencyLookup;

/* Looks the regions up in the configuration in force, where it changed since the last time.
 * @tenant: (nullable): %NULL, "": nobody's
 * @residency: (out): points into @lookup */
void quince_residency_resolve (QuinceResidencyLookup *lookup,
                               const QuinceBackends *backends,
                               const char *host,
                               const char *target,
                               const char *tenant,
                               QuinceResidency *residency);
void quince_residency_lookup_clear (QuinceResidencyLookup *lookup);

G_END_DECLS
