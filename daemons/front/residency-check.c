/*
 * residency-check.c: regions of a request against those of workers and of the ledger's machines.
 */
#include "residency-check.h"

#include "forward/residency-lookup.h"

void
quince_residency_check_take_place (QuinceFront *front, const char *node, GBytes *value)
{
  g_autofree char *zone
      = value != NULL ? g_strndup (g_bytes_get_data (value, NULL), g_bytes_get_size (value)) : NULL;
  quince_machine_zones_set (front->zones, node, zone);
}

static void
get_residency (QuinceFront *front, const QuinceRoute *route, const char *tenant, QuinceResidency *residency)
{
  const QuinceTenantTable *tenants
      = quince_route_table_get_tenants (quince_observer_get_routes (front->observer));
  const QuinceTenant *found
      = tenants != NULL && tenant != NULL ? quince_tenant_table_find (tenants, tenant) : NULL;
  quince_route_get_residency (route, found, residency);
}

gboolean
quince_residency_check_workers (QuinceFront *front,
                                const QuinceRoute *route,
                                const char *tenant,
                                const char *service)
{
  QuinceResidency residency;
  get_residency (front, route, tenant, &residency);
  return quince_residency_is_free (&residency)
         || quince_backends_has_allowed_worker (front->backends, service, &residency);
}

gboolean
quince_residency_check_ledger (QuinceFront *front, const QuinceRoute *route, const char *tenant)
{
  QuinceResidency residency;
  get_residency (front, route, tenant, &residency);
  if (quince_residency_is_free (&residency))
    return TRUE;
  const QuinceLedgerView *view = quince_ledger_caller_get_view (front->ledger);
  for (guint i = 0; view != NULL && i < view->members.members_len; i++)
    if (!quince_machine_zones_allow (front->zones, &residency, view->members.members_val[i].node))
      return FALSE;
  return view != NULL;
}
