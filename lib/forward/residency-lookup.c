/*
 * residency-lookup.c: the regions in which a request may be served, and the regions of workers.
 */
#include "forward/residency-lookup.h"

#include "backends-private.h"

static gboolean
restricts_regions (const QuinceRouteTable *routes)
{
  for (guint i = 0; i < quince_route_table_get_n_routes (routes); i++)
    if (quince_route_table_get_route (routes, i)->regions != NULL)
      return TRUE;
  const QuinceTenantTable *tenants = quince_route_table_get_tenants (routes);
  g_autoptr (GPtrArray) all = tenants != NULL ? quince_tenant_table_list (tenants) : g_ptr_array_new ();
  for (guint i = 0; i < all->len; i++)
    if (((const QuinceTenant *)all->pdata[i])->regions != NULL)
      return TRUE;
  return FALSE;
}

void
quince_backends_set_routes (QuinceBackends *backends, const QuinceRouteTable *routes)
{
  backends->routes = routes;
  backends->has_region_rules = routes != NULL && restricts_regions (routes);
  quince_backends_prune_attempt_budgets (backends);
}

gboolean
quince_backends_has_region_rules (const QuinceBackends *backends)
{
  return backends->has_region_rules;
}

gboolean
quince_backends_is_allowed_worker (const QuinceBackends *backends,
                                   const QuinceWorker *worker,
                                   const QuinceResidency *residency)
{
  if (quince_residency_is_unrestricted (residency))
    return TRUE;
  const char *region = quince_topology_get_region (backends->topology, worker->zone);
  return quince_residency_allows (residency, region);
}

gboolean
quince_backends_has_allowed_worker (QuinceBackends *backends,
                                    const char *service,
                                    const QuinceResidency *residency)
{
  g_autoptr (GPtrArray) all = quince_worker_table_list (backends->workers, service);
  for (guint i = 0; i < all->len; i++)
    {
      const QuinceWorker *worker = all->pdata[i];
      if (!worker->draining && quince_backends_is_allowed_worker (backends, worker, residency))
        return TRUE;
    }
  return FALSE;
}

static void
copy_regions (QuinceResidencyLookup *lookup,
              const QuinceRouteTable *table,
              const QuinceRoute *route,
              const char *tenant)
{
  const QuinceTenantTable *tenants = quince_route_table_get_tenants (table);
  const QuinceTenant *known_tenant
      = tenants != NULL && tenant != NULL ? quince_tenant_table_find (tenants, tenant) : NULL;
  g_strfreev (lookup->tenant_regions);
  lookup->tenant_regions = known_tenant != NULL ? g_strdupv (known_tenant->regions) : NULL;
  /* The regions of a deleted route still apply to its requests in flight. */
  if (route == NULL)
    return;
  g_strfreev (lookup->route_regions);
  lookup->route_regions = g_strdupv (route->regions);
}

void
quince_residency_resolve (QuinceResidencyLookup *lookup,
                          const QuinceBackends *backends,
                          const char *host,
                          const char *target,
                          const char *tenant,
                          QuinceResidency *residency)
{
  const QuinceRouteTable *table = backends->routes;
  gboolean is_unchanged = table == lookup->table
                          && (table == NULL || quince_route_table_get_version (table) == lookup->version);
  gboolean has_regions = lookup->route_regions != NULL || lookup->tenant_regions != NULL;
  if (!is_unchanged && table != NULL && (backends->has_region_rules || has_regions))
    {
      const QuinceRoute *route = quince_route_table_find (table, host != NULL ? host : "", target);
      copy_regions (lookup, table, route, tenant);
      lookup->table = table;
      lookup->version = quince_route_table_get_version (table);
    }
  *residency = (QuinceResidency){ .route_regions = (const char *const *)lookup->route_regions,
                                  .tenant_regions = (const char *const *)lookup->tenant_regions };
}

void
quince_residency_lookup_clear (QuinceResidencyLookup *lookup)
{
  g_clear_pointer (&lookup->route_regions, g_strfreev);
  g_clear_pointer (&lookup->tenant_regions, g_strfreev);
}
