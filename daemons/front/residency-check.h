/*
 * residency-check.h: checks whether the residency rules of a route and a tenant allow a request to be served
 * by the workers, or stored by the ledger.
 *
 * The front checks before it sends any part of the request to another process.  The functions keep no state.
 */
#pragma once

#include "front-context.h"

/* Returns: %TRUE if @service has a worker in a region that @route and @tenant_name (nullable) allow, or if
 * neither limits the regions */
gboolean quince_residency_check_workers (const QuinceFrontContext *context,
                                         const QuinceRoute *route,
                                         const char *tenant_name,
                                         const char *service);
/* Returns: %TRUE if all members of the ledger's view are in regions that @route and @tenant_name (nullable)
 * allow, or if neither limits the regions; %FALSE if regions are limited and no view is known */
gboolean quince_residency_check_ledger (const QuinceFrontContext *context,
                                        const QuinceRoute *route,
                                        const char *tenant_name);
