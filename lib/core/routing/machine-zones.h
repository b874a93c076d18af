/*
 * machine-zones.h: the zones of other machines, and which of them may keep data with a residency.
 *
 * Pure.  A machine without a known zone has no region, unless the deployment has only one.
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
/* @node: name of the machine.  @zone: (nullable): %NULL: no longer known */
void quince_machine_zones_set (QuinceMachineZones *table, const char *node, const char *zone);
/* (nullable): %NULL: not known */
const char *quince_machine_zones_get_zone (const QuinceMachineZones *table, const char *node);
/* Whether @node may keep data with @residency (nullable). */
gboolean quince_machine_zones_is_allowed (const QuinceMachineZones *table,
                                          const QuinceResidency *residency,
                                          const char *node);
/* (transfer container): names of the machines with a known zone that may keep data of all @residencies, in
 * order */
GPtrArray *quince_machine_zones_list_allowed (const QuinceMachineZones *table,
                                              const QuinceResidency *residencies,
                                              guint n_residencies);

G_END_DECLS
