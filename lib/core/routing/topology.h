/*
 * topology.h: the zones of a deployment and their regions, from the settings of the process.  Pure.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

#define QUINCE_TOPOLOGY_ERROR (quince_topology_error_quark ())
GQuark quince_topology_error_quark (void);

typedef enum
{
  QUINCE_TOPOLOGY_ERROR_INVALID, /* malformed list of zones, or it contradicts the region of this process */
} QuinceTopologyError;

typedef struct _QuinceTopology QuinceTopology;

/* @own_zone: zone of this process.  @own_region: its region; "": the region that quince_topology_add_zones()
 * gives for @own_zone */
QuinceTopology *quince_topology_new (const char *own_zone, const char *own_region);
void quince_topology_free (QuinceTopology *topology);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceTopology, quince_topology_free)
/* Adds the zones of @text, which has the form "zone=region,zone=region"; spaces around names are ignored, and
 * "" adds none.  Fails with QUINCE_TOPOLOGY_ERROR_INVALID at the first malformed entry, after it added those
 * before it. */
gboolean quince_topology_add_zones (QuinceTopology *topology, const char *text, GError **error);
const char *quince_topology_get_own_zone (const QuinceTopology *topology);
/* Returns the region of this process, or "" if it is unknown. */
const char *quince_topology_get_own_region (const QuinceTopology *topology);
/* Returns: (nullable): the region of @zone, or %NULL if the zone is unknown */
const char *quince_topology_get_region (const QuinceTopology *topology, const char *zone);
/* Returns the number of distinct regions. */
guint quince_topology_count_regions (const QuinceTopology *topology);

G_END_DECLS
