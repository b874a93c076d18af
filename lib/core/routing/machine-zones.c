/*
 * machine-zones.c: the zones of other machines.
 */
#include "core/routing/machine-zones.h"

#include "core/routing/sorted-names.h"

struct _QuinceMachineZones
{
  const QuinceTopology *topology;
  GHashTable *zones; /* node name to zone, both owned */
};

QuinceMachineZones *
quince_machine_zones_new (const QuinceTopology *topology)
{
  QuinceMachineZones *table = g_new0 (QuinceMachineZones, 1);
  table->topology = topology;
  table->zones = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return table;
}

void
quince_machine_zones_free (QuinceMachineZones *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->zones);
  g_free (table);
}

void
quince_machine_zones_set (QuinceMachineZones *table, const char *node, const char *zone)
{
  if (zone == NULL)
    g_hash_table_remove (table->zones, node);
  else
    g_hash_table_replace (table->zones, g_strdup (node), g_strdup (zone));
}

const char *
quince_machine_zones_get_zone (const QuinceMachineZones *table, const char *node)
{
  return g_hash_table_lookup (table->zones, node);
}

/* Returns the region of @node, or NULL if it is unknown. */
static const char *
get_node_region (const QuinceMachineZones *table, const char *node)
{
  if (quince_topology_count_regions (table->topology) == 1)
    return quince_topology_get_own_region (table->topology);
  const char *zone = quince_machine_zones_get_zone (table, node);
  return zone != NULL ? quince_topology_get_region (table->topology, zone) : NULL;
}

gboolean
quince_machine_zones_is_allowed (const QuinceMachineZones *table,
                                 const QuinceResidency *residency,
                                 const char *node)
{
  return quince_residency_allows (residency, get_node_region (table, node));
}

static gboolean
is_allowed_by_all (const QuinceMachineZones *table,
                   const QuinceResidency *residencies,
                   guint n_residencies,
                   const char *node)
{
  for (guint i = 0; i < n_residencies; i++)
    if (!quince_machine_zones_is_allowed (table, &residencies[i], node))
      return FALSE;
  return TRUE;
}

GPtrArray *
quince_machine_zones_list_allowed (const QuinceMachineZones *table,
                                   const QuinceResidency *residencies,
                                   guint n_residencies)
{
  GPtrArray *nodes = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer node;
  g_hash_table_iter_init (&iter, table->zones);
  while (g_hash_table_iter_next (&iter, &node, NULL))
    if (is_allowed_by_all (table, residencies, n_residencies, node))
      g_ptr_array_add (nodes, node);
  quince_names_sort (nodes);
  return nodes;
}
