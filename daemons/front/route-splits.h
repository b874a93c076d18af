/*
 * route-splits.h: splits the requests of a route among its services by weight.
 *
 * The splits own a position for each split route.  The weights come from core/routing.
 */
#pragma once

#include "core/routing/route-table.h"

typedef struct _QuinceRouteSplits QuinceRouteSplits;

QuinceRouteSplits *quince_route_splits_new (void);
void quince_route_splits_free (QuinceRouteSplits *splits);
/* Returns: (transfer none): the service for the next request on @route, in proportion to the services'
 * weights; owned by @route */
const char *quince_route_splits_next_service (QuinceRouteSplits *splits, const QuinceRoute *route);
