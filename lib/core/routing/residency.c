/*
 * residency.c: the regions that both a route and a tenant allow.
 */
#include "core/routing/residency.h"

gboolean
quince_residency_is_unrestricted (const QuinceResidency *residency)
{
  return residency == NULL || (residency->route_regions == NULL && residency->tenant_regions == NULL);
}

/* A NULL list allows all regions. */
static gboolean
list_allows (const char *const *regions, const char *region)
{
  return regions == NULL || g_strv_contains (regions, region);
}

gboolean
quince_residency_allows (const QuinceResidency *residency, const char *region)
{
  if (quince_residency_is_unrestricted (residency))
    return TRUE;
  return region != NULL && *region != '\0' && list_allows (residency->route_regions, region)
         && list_allows (residency->tenant_regions, region);
}
