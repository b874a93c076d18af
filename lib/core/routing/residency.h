/*
 * residency.h: the regions in which a request may be served and what belongs to it may be kept.
 *
 * Pure.  Routes and tenants may each name regions; where both do, both bind.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * QuinceResidency:
 * @route_regions: (nullable): those that the route allows, %NULL-terminated; %NULL: all
 * @tenant_regions: (nullable): the same for the tenant that asks
 *
 * Points into the configuration that it was made from.
 */
typedef struct
{
  const char *const *route_regions;
  const char *const *tenant_regions;
} QuinceResidency;

/* Neither names regions. (nullable): @residency: %NULL is free too */
gboolean quince_residency_is_free (const QuinceResidency *residency);
/* @region: "" or %NULL: unknown; only a free residency allows that */
gboolean quince_residency_allows (const QuinceResidency *residency, const char *region);

G_END_DECLS
