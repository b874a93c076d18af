/*
 * machine-places.h: in which zones other machines stand, and whether they may hold what has a residency.
 *
 * Pure.  A machine of which no zone is known stands nowhere, unless there is one region alone.
 */
#pragma once

#include "core/routing/residency.h"
#include "core/routing/topology.h"

G_BEGIN_DECLS

typedef struct _QuinceMachinePlaces QuinceMachinePlaces;

/* @topology must outlive it. */
QuinceMachinePlaces *quince_machine_places_new (const QuinceTopology *topology);
void quince_machine_places_free (QuinceMachinePlaces *places);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceMachinePlaces, quince_machine_places_free)
/* @zone: (nullable): %NULL: not known any more */
void quince_machine_places_set (QuinceMachinePlaces *places, const char *node, const char *zone);
/* (nullable): %NULL: not known */
const char *quince_machine_places_get_zone (const QuinceMachinePlaces *places, const char *node);
/* (nullable): %NULL: not known */
const char *quince_machine_places_get_region (const QuinceMachinePlaces *places, const char *node);
/* Whether @node may hold what has @residency (nullable). */
gboolean quince_machine_places_allow (const QuinceMachinePlaces *places,
                                      const QuinceResidency *residency,
                                      const char *node);
/* (transfer container): names of the machines, of those whose zone is known, that may hold what has any of
 * @residencies; in order */
GPtrArray *quince_machine_places_choose (const QuinceMachinePlaces *places,
                                         const QuinceResidency *residencies,
                                         guint n_residencies);

G_END_DECLS
