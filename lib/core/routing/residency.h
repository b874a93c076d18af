/*
 * residency.h: the regions in which a request may be served and its data kept.
 *
 * Pure.  Routes and tenants may each name regions; a region must be allowed by both.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * QuinceResidency:
 * @route_regions: (nullable): those that the route allows, %NULL-terminated; %NULL: all
 * @tenant_regions: (nullable): the same for the request's tenant
 *
 * Points into the configuration that it was made from, and lives no longer.
 */
typedef struct
{
  const char *const *route_regions;
  const char *const *tenant_regions;
} QuinceResidency;

/* No regions are named.  @residency: (nullable): %NULL is free too */
gboolean quince_residency_is_unrestricted (const QuinceResidency *residency);
/* @region: (nullable): "" or %NULL: unknown, which only a free residency allows */
gboolean quince_residency_allows (const QuinceResidency *residency, const char *region);

G_END_DECLS
