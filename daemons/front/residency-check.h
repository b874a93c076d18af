/*
 * residency-check.h: whether the regions of a request's route and tenant allow it to be served or kept.
 *
 * Checked before anything of the request leaves this front.  Owns no state; relies on the configuration, the
 * worker table and the replicas' zones of the context, and on forward/residency-lookup.h.
 */
#pragma once

#include "front-context.h"

/* Returns: %TRUE where @service has a worker in a region that @route and @tenant_name (nullable) allow, or
 * where they name no regions. */
gboolean quince_residency_check_workers (const QuinceFrontContext *context,
                                         const QuinceRoute *route,
                                         const char *tenant_name,
                                         const char *service);
/* Returns: %TRUE where all members of the ledger's view are in regions that @route and @tenant_name
 * (nullable) allow, or where they name no regions; %FALSE also while no view is known. */
gboolean quince_residency_check_ledger (const QuinceFrontContext *context,
                                        const QuinceRoute *route,
                                        const char *tenant_name);
