/*
 * route-splits.h: which service of a split route gets the next request.
 *
 * Owns a position for each split route; relies on core/routing for the weights.
 */
#pragma once

#include "core/routing/route-table.h"

typedef struct _QuinceRouteSplits QuinceRouteSplits;

QuinceRouteSplits *quince_route_splits_new (void);
void quince_route_splits_free (QuinceRouteSplits *splits);
/* Returns: (transfer none): the service for the next request on @route, by the weights of its parts; owned by
 * @route */
const char *quince_route_splits_next_service (QuinceRouteSplits *splits, const QuinceRoute *route);
