/*
 * topology.h: where things stand: zones and the regions they belong to.
 *
 * Pure. Filled from a process's settings, which name all zones of a deployment.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

#define QUINCE_TOPOLOGY_ERROR (quince_topology_error_quark ())
GQuark quince_topology_error_quark (void);

typedef enum
{
  QUINCE_TOPOLOGY_ERROR_TEXT, /* not a list of zones with their regions */
} QuinceTopologyError;

typedef struct _QuinceTopology QuinceTopology;

/* @own_region: "" where it is not told: then it is that of @own_zone in the list of zones. */
QuinceTopology *quince_topology_new (const char *own_zone, const char *own_region);
void quince_topology_free (QuinceTopology *topology);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceTopology, quince_topology_free)
/* Adds all of "zone=region,zone=region"; "" adds none. */
gboolean quince_topology_add_zones (QuinceTopology *topology, const char *text, GError **error);
const char *quince_topology_get_own_zone (const QuinceTopology *topology);
/* "": not known */
const char *quince_topology_get_own_region (const QuinceTopology *topology);
/* (nullable): NULL: the zone is not known */
const char *quince_topology_get_region (const QuinceTopology *topology, const char *zone);
/* How many regions are known. */
guint quince_topology_count_regions (const QuinceTopology *topology);

G_END_DECLS
