/*
 * residency-check.c: compares the regions that a request allows with those of workers and ledger replicas.
 */
#include "residency-check.h"

#include "forward/residency-lookup.h"

static void
get_residency (const QuinceFrontContext *context,
               const QuinceRoute *route,
               const char *tenant_name,
               QuinceResidency *residency)
{
  const QuinceTenantTable *tenants
      = quince_route_table_get_tenants (quince_observer_get_routes (context->observer));
  const QuinceTenant *tenant
      = tenants != NULL && tenant_name != NULL ? quince_tenant_table_find (tenants, tenant_name) : NULL;
  quince_route_get_residency (route, tenant, residency);
}

gboolean
quince_residency_check_workers (const QuinceFrontContext *context,
                                const QuinceRoute *route,
                                const char *tenant_name,
                                const char *service)
{
  QuinceResidency residency;
  get_residency (context, route, tenant_name, &residency);
  return quince_residency_is_unrestricted (&residency)
         || quince_backends_has_allowed_worker (context->backends, service, &residency);
}

gboolean
quince_residency_check_ledger (const QuinceFrontContext *context,
                               const QuinceRoute *route,
                               const char *tenant_name)
{
  QuinceResidency residency;
  get_residency (context, route, tenant_name, &residency);
  if (quince_residency_is_unrestricted (&residency))
    return TRUE;
  const QuinceLedgerView *view = quince_ledger_caller_get_view (context->ledger);
  for (guint i = 0; view != NULL && i < view->members.members_len; i++)
    if (!quince_machine_zones_is_allowed (context->replica_zones, &residency,
                                          view->members.members_val[i].node))
      return FALSE;
  return view != NULL;
}
