/*
 * topology.h: the zones of a deployment and the regions that they belong to.
 *
 * Pure.  Filled from a process's settings, which name all zones.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

#define QUINCE_TOPOLOGY_ERROR (quince_topology_error_quark ())
GQuark quince_topology_error_quark (void);

typedef enum
{
  QUINCE_TOPOLOGY_ERROR_INVALID, /* not a list of zone=region */
} QuinceTopologyError;

typedef struct _QuinceTopology QuinceTopology;

/* @own_region: ""; the region is that of @own_zone in the list of zones then */
QuinceTopology *quince_topology_new (const char *own_zone, const char *own_region);
void quince_topology_free (QuinceTopology *topology);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceTopology, quince_topology_free)
/* Adds the zones of "zone=region,zone=region"; "" adds none.  %FALSE with QUINCE_TOPOLOGY_ERROR_INVALID at
 * the first entry that is not of this form. */
gboolean quince_topology_add_zones (QuinceTopology *topology, const char *text, GError **error);
const char *quince_topology_get_own_zone (const QuinceTopology *topology);
/* "": not known */
const char *quince_topology_get_own_region (const QuinceTopology *topology);
/* (nullable): %NULL: the zone is not known */
const char *quince_topology_get_region (const QuinceTopology *topology, const char *zone);
/* Number of distinct regions. */
guint quince_topology_count_regions (const QuinceTopology *topology);

G_END_DECLS
