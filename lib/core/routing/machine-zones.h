/*
 * machine-zones.h: the zones of other machines, and the machines that may store data under a residency.
 *
 * A machine whose zone is unknown has no region, unless the deployment has only one region.  The functions
 * do no I/O.
 */
#pragma once

#include "core/routing/residency.h"
#include "core/routing/topology.h"

G_BEGIN_DECLS

typedef struct _QuinceMachineZones QuinceMachineZones;

/* @topology must outlive the table. */
QuinceMachineZones *quince_machine_zones_new (const QuinceTopology *topology);
void quince_machine_zones_free (QuinceMachineZones *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceMachineZones, quince_machine_zones_free)
/* Sets the zone of the machine @node.  @zone: (nullable): %NULL removes the machine */
void quince_machine_zones_set (QuinceMachineZones *table, const char *node, const char *zone);
/* Returns: (nullable) (transfer none): the zone of @node, or %NULL if it is unknown */
const char *quince_machine_zones_get_zone (const QuinceMachineZones *table, const char *node);
/* Returns %TRUE if @node may store data with @residency (nullable). */
gboolean quince_machine_zones_is_allowed (const QuinceMachineZones *table,
                                          const QuinceResidency *residency,
                                          const char *node);
/* Returns: (transfer container) (element-type utf8): names of the machines with a known zone that may store
 * data of all @residencies, sorted; the table owns them */
GPtrArray *quince_machine_zones_list_allowed (const QuinceMachineZones *table,
                                              const QuinceResidency *residencies,
                                              guint n_residencies);

G_END_DECLS
