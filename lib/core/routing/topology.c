/*
 * topology.c: the zones of a deployment and their regions.
 */
#include "core/routing/topology.h"

G_DEFINE_QUARK (quince - topology - error - quark, quince_topology_error)

#define ZONES_SEPARATOR ","
#define REGION_SEPARATOR "="

struct _QuinceTopology
{
  char *own_zone;
  char *own_region;
  GHashTable *regions; /* zone to region, both owned */
};

static void
add_zone (QuinceTopology *topology, const char *zone, const char *region)
{
  g_hash_table_replace (topology->regions, g_strdup (zone), g_strdup (region));
}

QuinceTopology *
quince_topology_new (const char *own_zone, const char *own_region)
{
  QuinceTopology *topology = g_new0 (QuinceTopology, 1);
  topology->own_zone = g_strdup (own_zone);
  topology->own_region = g_strdup (own_region);
  topology->regions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  if (*own_region != '\0')
    add_zone (topology, own_zone, own_region);
  return topology;
}

void
quince_topology_free (QuinceTopology *topology)
{
  if (topology == NULL)
    return;
  g_hash_table_unref (topology->regions);
  g_free (topology->own_zone);
  g_free (topology->own_region);
  g_free (topology);
}

gboolean
quince_topology_add_zones (QuinceTopology *topology, const char *text, GError **error)
{
  g_auto (GStrv) entries = g_strsplit (text, ZONES_SEPARATOR, -1);
  for (char **entry = entries; *entry != NULL; entry++)
    {
      g_auto (GStrv) names = g_strsplit (*entry, REGION_SEPARATOR, -1);
      if (g_strv_length (names) != 2 || *g_strstrip (names[0]) == '\0' || *g_strstrip (names[1]) == '\0')
        {
          g_set_error (error, QUINCE_TOPOLOGY_ERROR, QUINCE_TOPOLOGY_ERROR_INVALID,
                       "invalid zone '%s': expected zone=region[,zone=region...]", *entry);
          return FALSE;
        }
      add_zone (topology, names[0], names[1]);
    }
  return TRUE;
}

const char *
quince_topology_get_own_zone (const QuinceTopology *topology)
{
  return topology->own_zone;
}

const char *
quince_topology_get_own_region (const QuinceTopology *topology)
{
  if (*topology->own_region != '\0')
    return topology->own_region;
  const char *region = quince_topology_get_region (topology, topology->own_zone);
  return region != NULL ? region : "";
}

const char *
quince_topology_get_region (const QuinceTopology *topology, const char *zone)
{
  return g_hash_table_lookup (topology->regions, zone);
}

guint
quince_topology_count_regions (const QuinceTopology *topology)
{
  g_autoptr (GHashTable) distinct = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer region;
  g_hash_table_iter_init (&iter, topology->regions);
  while (g_hash_table_iter_next (&iter, NULL, &region))
    g_hash_table_add (distinct, region);
  return g_hash_table_size (distinct);
}
