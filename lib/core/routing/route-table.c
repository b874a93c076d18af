/*
 * route-table.c: finds the route of a request by its host and the longest matching path prefix.
 */
#include "core/routing/route-table.h"

#include <string.h>

struct _QuinceRouteTable
{
  guint64 version;
  QuinceCallerLimits limits;
  GPtrArray *routes;
  GPtrArray *services;
  QuinceTenantTable *tenants; /* owned; NULL: the configuration has no tenants */
  GHashTable *by_host;        /* key of the host to GPtrArray of routes, longest prefix first */
};

QuinceRoute *
quince_route_new (void)
{
  QuinceRoute *route = g_new0 (QuinceRoute, 1);
  route->max_attempts = 1;
  route->weighted_services = g_array_new (FALSE, FALSE, sizeof (QuinceWeightedService));
  return route;
}

void
quince_route_add_weighted_service (QuinceRoute *route, const char *service, double weight)
{
  QuinceWeightedService weighted_service = { g_strdup (service), weight };
  g_array_append_val (route->weighted_services, weighted_service);
}

void
quince_route_free (QuinceRoute *route)
{
  if (route == NULL)
    return;
  for (guint i = 0; i < route->weighted_services->len; i++)
    g_free (g_array_index (route->weighted_services, QuinceWeightedService, i).service);
  g_array_unref (route->weighted_services);
  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  g_strfreev (route->regions);
  g_free (route);
}

void
quince_route_get_residency (const QuinceRoute *route, const QuinceTenant *tenant, QuinceResidency *residency)
{
  *residency
      = (QuinceResidency){ .route_regions = (const char *const *)route->regions,
                           .tenant_regions = tenant != NULL ? (const char *const *)tenant->regions : NULL };
}

QuinceService *
quince_service_new (const char *name)
{
  QuinceService *service = g_new0 (QuinceService, 1);
  service->name = g_strdup (name);
  service->models = g_ptr_array_new_with_free_func (g_free);
  return service;
}

static void
free_scaling (QuinceScaling *scaling)
{
  if (scaling == NULL)
    return;
  g_array_unref (scaling->prices);
  g_free (scaling);
}

void
quince_service_free (QuinceService *service)
{
  if (service == NULL)
    return;
  g_free (service->name);
  g_ptr_array_unref (service->models);
  free_scaling (service->scaling);
  g_free (service);
}

static void
clear_zone_price (gpointer data)
{
  QuinceZonePrice *price = data;
  g_clear_pointer (&price->zone, g_free);
}

QuinceScaling *
quince_scaling_new (void)
{
  QuinceScaling *scaling = g_new0 (QuinceScaling, 1);
  scaling->prices = g_array_new (FALSE, FALSE, sizeof (QuinceZonePrice));
  g_array_set_clear_func (scaling->prices, clear_zone_price);
  return scaling;
}

QuinceRouteTable *
quince_route_table_new (guint64 version, const QuinceCallerLimits *limits)
{
  QuinceRouteTable *table = g_new0 (QuinceRouteTable, 1);
  table->version = version;
  table->limits = *limits;
  table->routes = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_route_free);
  table->services = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_service_free);
  table->by_host = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  return table;
}

void
quince_route_table_free (QuinceRouteTable *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->by_host);
  g_ptr_array_unref (table->routes);
  g_ptr_array_unref (table->services);
  quince_tenant_table_free (table->tenants);
  g_free (table);
}

/* Returns the key of @host in by_host: in lower case and without a port. (transfer full) */
static char *
get_host_key (const char *host)
{
  const char *colon = strchr (host, ':');
  g_autofree char *host_name = colon != NULL ? g_strndup (host, (gsize)(colon - host)) : g_strdup (host);
  return g_ascii_strdown (host_name, -1);
}

void
quince_route_table_add_route (QuinceRouteTable *table, QuinceRoute *route)
{
  g_ptr_array_add (table->routes, route);
  g_autofree char *key = get_host_key (route->host);
  GPtrArray *routes = g_hash_table_lookup (table->by_host, key);
  if (routes == NULL)
    {
      routes = g_ptr_array_new ();
      g_hash_table_insert (table->by_host, g_steal_pointer (&key), routes);
    }
  guint position = 0;
  while (position < routes->len
         && strlen (((QuinceRoute *)routes->pdata[position])->prefix) >= strlen (route->prefix))
    position++;
  g_ptr_array_insert (routes, (gint)position, route);
}

void
quince_route_table_add_service (QuinceRouteTable *table, QuinceService *service)
{
  g_ptr_array_add (table->services, service);
}

void
quince_route_table_set_tenants (QuinceRouteTable *table, QuinceTenantTable *tenants)
{
  table->tenants = tenants;
}

const QuinceTenantTable *
quince_route_table_get_tenants (const QuinceRouteTable *table)
{
  return table->tenants;
}

guint64
quince_route_table_get_version (const QuinceRouteTable *table)
{
  return table->version;
}

const QuinceCallerLimits *
quince_route_table_get_limits (const QuinceRouteTable *table)
{
  return &table->limits;
}

guint
quince_route_table_get_n_routes (const QuinceRouteTable *table)
{
  return table->routes->len;
}

const QuinceRoute *
quince_route_table_get_route (const QuinceRouteTable *table, guint index)
{
  return table->routes->pdata[index];
}

guint
quince_route_table_get_n_services (const QuinceRouteTable *table)
{
  return table->services->len;
}

const QuinceService *
quince_route_table_get_service (const QuinceRouteTable *table, guint index)
{
  return table->services->pdata[index];
}

const QuinceService *
quince_route_table_find_service (const QuinceRouteTable *table, const char *name)
{
  for (guint i = 0; i < table->services->len; i++)
    {
      const QuinceService *service = table->services->pdata[i];
      if (g_str_equal (service->name, name))
        return service;
    }
  return NULL;
}

static gboolean
serves_route (const QuinceRoute *route, const char *service)
{
  for (guint i = 0; i < route->weighted_services->len; i++)
    if (g_str_equal (g_array_index (route->weighted_services, QuinceWeightedService, i).service, service))
      return TRUE;
  return FALSE;
}

gboolean
quince_route_table_has_mixed_targets (const QuinceRouteTable *table, const char *service)
{
  guint target_ms = 0;
  for (guint i = 0; i < table->routes->len; i++)
    {
      const QuinceRoute *route = table->routes->pdata[i];
      gboolean is_forwarded
          = route->kind == QUINCE_ROUTE_IDEMPOTENT || route->kind == QUINCE_ROUTE_AT_MOST_ONCE;
      if (!is_forwarded || route->target_latency_ms == 0 || !serves_route (route, service))
        continue;
      if (target_ms != 0 && route->target_latency_ms != target_ms)
        return TRUE;
      target_ms = route->target_latency_ms;
    }
  return FALSE;
}

const QuinceRoute *
quince_route_table_find (const QuinceRouteTable *table, const char *host, const char *target)
{
  g_autofree char *key = get_host_key (host);
  GPtrArray *routes = g_hash_table_lookup (table->by_host, key);
  for (guint i = 0; routes != NULL && i < routes->len; i++)
    {
      const QuinceRoute *route = routes->pdata[i];
      if (g_str_has_prefix (target, route->prefix))
        return route;
    }
  return NULL;
}

const char *
quince_route_pick_service (const QuinceRoute *route, double fraction)
{
  double total_weight = 0;
  for (guint i = 0; i < route->weighted_services->len; i++)
    total_weight += g_array_index (route->weighted_services, QuinceWeightedService, i).weight;
  double remaining_weight = fraction * total_weight;
  for (guint i = 0; i + 1 < route->weighted_services->len; i++)
    {
      const QuinceWeightedService *candidate
          = &g_array_index (route->weighted_services, QuinceWeightedService, i);
      if (remaining_weight < candidate->weight)
        return candidate->service;
      remaining_weight -= candidate->weight;
    }
  return g_array_index (route->weighted_services, QuinceWeightedService, route->weighted_services->len - 1)
      .service;
}
