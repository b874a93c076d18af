/*
 * residency.h: the regions in which a request may be served and its data stored.
 *
 * A route and a tenant may each restrict the regions; a region must be allowed by both.  Pure.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * QuinceResidency:
 * @route_regions: (nullable): regions that the route allows, %NULL-terminated; %NULL: all
 * @tenant_regions: (nullable): regions that the request's tenant allows, %NULL-terminated; %NULL: all
 *
 * The arrays belong to the configuration, which must outlive the residency.
 */
typedef struct
{
  const char *const *route_regions;
  const char *const *tenant_regions;
} QuinceResidency;

/* Returns %TRUE if neither the route nor the tenant restricts the regions, or if @residency is %NULL. */
gboolean quince_residency_is_unrestricted (const QuinceResidency *residency);
/* Returns %TRUE if @residency (nullable) allows @region (nullable).  Only an unrestricted residency allows an
 * unknown region, which is "" or %NULL. */
gboolean quince_residency_allows (const QuinceResidency *residency, const char *region);

G_END_DECLS
