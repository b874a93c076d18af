/*
 * machine-zones.h: in which zones other machines stand, and whether they may hold what has a residency.
 *
 * Pure.  A machine of which no zone is known stands nowhere, unless there is one region alone.
 */
#pragma once

#include "core/routing/residency.h"
#include "core/routing/topology.h"

G_BEGIN_DECLS

typedef struct _QuinceMachineZones QuinceMachineZones;

/* @topology must outlive it. */
QuinceMachineZones *quince_machine_zones_new (const QuinceTopology *topology);
void quince_machine_zones_free (QuinceMachineZones *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceMachineZones, quince_machine_zones_free)
/* @zone: (nullable): %NULL: not known any more */
void quince_machine_zones_set (QuinceMachineZones *table, const char *node, const char *zone);
/* (nullable): %NULL: not known */
const char *quince_machine_zones_get_zone (const QuinceMachineZones *table, const char *node);
/* Whether @node may hold what has @residency (nullable). */
gboolean quince_machine_zones_allow (const QuinceMachineZones *table,
                                     const QuinceResidency *residency,
                                     const char *node);
/* (transfer container): names of the machines, of those whose zone is known, that may hold what has any of
 * @residencies; in order */
GPtrArray *quince_machine_zones_choose (const QuinceMachineZones *table,
                                        const QuinceResidency *residencies,
                                        guint n_residencies);

G_END_DECLS
