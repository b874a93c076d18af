/*
 * route-splits.c: splits the requests of a route among its services by weight.
 */
#include "route-splits.h"

/* Added to a route's position in [0, 1) with each request.  Steps of the fractional part of the golden ratio
 * form a low-discrepancy sequence: even short runs of requests follow the weights. */
#define POSITION_INCREMENT 0.6180339887498949

struct _QuinceRouteSplits
{
  GHashTable *positions; /* route name to position (double in [0, 1)), both owned */
};

QuinceRouteSplits *
quince_route_splits_new (void)
{
  QuinceRouteSplits *splits = g_new0 (QuinceRouteSplits, 1);
  splits->positions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return splits;
}

void
quince_route_splits_free (QuinceRouteSplits *splits)
{
  if (splits == NULL)
    return;
  g_hash_table_unref (splits->positions);
  g_free (splits);
}

/* A position starts at random, so that fronts that start together do not select the same services in step. */
static double *
find_or_add_position (QuinceRouteSplits *splits, const char *route)
{
  double *position = g_hash_table_lookup (splits->positions, route);
  if (position != NULL)
    return position;
  position = g_new (double, 1);
  *position = g_random_double ();
  g_hash_table_insert (splits->positions, g_strdup (route), position);
  return position;
}

const char *
quince_route_splits_next_service (QuinceRouteSplits *splits, const QuinceRoute *route)
{
  if (route->weighted_services->len == 1)
    return quince_route_pick_service (route, 0);
  double *position = find_or_add_position (splits, route->name);
  *position += POSITION_INCREMENT;
  if (*position >= 1)
    *position -= 1;
  return quince_route_pick_service (route, *position);
}
