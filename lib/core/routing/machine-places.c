/*
 * machine-places.c: zones of other machines.
 */
#include "core/routing/machine-places.h"

#include <string.h>

struct _QuinceMachinePlaces
{
  const QuinceTopology *topology;
  GHashTable *zones; /* node name to zone, both owned */
};

QuinceMachinePlaces *
quince_machine_places_new (const QuinceTopology *topology)
{
  QuinceMachinePlaces *places = g_new0 (QuinceMachinePlaces, 1);
  places->topology = topology;
  places->zones = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return places;
}

void
quince_machine_places_free (QuinceMachinePlaces *places)
{
  if (places == NULL)
    return;
  g_hash_table_unref (places->zones);
  g_free (places);
}

void
quince_machine_places_set (QuinceMachinePlaces *places, const char *node, const char *zone)
{
  if (zone == NULL)
    g_hash_table_remove (places->zones, node);
  else
    g_hash_table_replace (places->zones, g_strdup (node), g_strdup (zone));
}

const char *
quince_machine_places_get_zone (const QuinceMachinePlaces *places, const char *node)
{
  return g_hash_table_lookup (places->zones, node);
}

const char *
quince_machine_places_get_region (const QuinceMachinePlaces *places, const char *node)
{
  if (quince_topology_count_regions (places->topology) == 1)
    return quince_topology_get_own_region (places->topology);
  const char *zone = quince_machine_places_get_zone (places, node);
  return zone != NULL ? quince_topology_get_region (places->topology, zone) : NULL;
}

gboolean
quince_machine_places_allow (const QuinceMachinePlaces *places,
                             const QuinceResidency *residency,
                             const char *node)
{
  return quince_residency_allows (residency, quince_machine_places_get_region (places, node));
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  const char *const *first = a;
  const char *const *second = b;
  return strcmp (*first, *second);
}

static gboolean
suits_all (const QuinceMachinePlaces *places,
           const QuinceResidency *residencies,
           guint n_residencies,
           const char *node)
{
  for (guint i = 0; i < n_residencies; i++)
    if (!quince_machine_places_allow (places, &residencies[i], node))
      return FALSE;
  return TRUE;
}

GPtrArray *
quince_machine_places_choose (const QuinceMachinePlaces *places,
                              const QuinceResidency *residencies,
                              guint n_residencies)
{
  GPtrArray *nodes = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer node;
  g_hash_table_iter_init (&iter, places->zones);
  while (g_hash_table_iter_next (&iter, &node, NULL))
    if (suits_all (places, residencies, n_residencies, node))
      g_ptr_array_add (nodes, node);
  g_ptr_array_sort (nodes, compare_names);
  return nodes;
}
