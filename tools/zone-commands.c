/*
 * zone-commands.c: quinceroute zones, which lists the zones with their workers and evacuations.
 */
#include <stdio.h>
#include <string.h>

#include "observer/observer.h"
#include "core/routing/topology.h"

#include "commands.h"
#include "platform.h"
#include "store-calls.h"
#include "table.h"

/* Cell of an unknown or missing value. */
#define NO_VALUE "-"

/* Entries of the metadata store for one zone. */
typedef struct
{
  guint n_workers;
  guint n_draining;
  guint64 evacuation_revision; /* revision of the evacuation key; 0: not evacuated */
} ZoneSummary;

typedef struct
{
  GTree *zones;             /* owned; name to ZoneSummary, both owned by the tree */
  QuinceTopology *topology; /* not owned */
  QuinceTable *table;       /* not owned */
} ZoneListing;

static gint
compare_names (gconstpointer a, gconstpointer b, gpointer data)
{
  return strcmp (a, b);
}

static ZoneSummary *
find_or_add_zone (ZoneListing *listing, const char *name)
{
  ZoneSummary *zone = g_tree_lookup (listing->zones, name);
  if (zone != NULL)
    return zone;
  zone = g_new0 (ZoneSummary, 1);
  g_tree_insert (listing->zones, g_strdup (name), zone);
  return zone;
}

static void
handle_evacuation_item (const QuinceMetaItem *item, gpointer data)
{
  if (item->value != NULL)
    find_or_add_zone (data, item->key + strlen (QUINCE_PLATFORM_EVACUATE_PREFIX))->evacuation_revision
        = item->revision;
}

static void
handle_worker_item (const QuinceMetaItem *item, gpointer data)
{
  g_autoptr (GError) error = NULL;
  if (item->value == NULL)
    return;
  g_autoptr (QuinceWorker) worker = quince_platform_read_worker (item->key, item->value, &error);
  if (worker == NULL)
    {
      fprintf (stderr, "quinceroute: %s: %s\n", item->key, error->message);
      return;
    }
  ZoneSummary *zone = find_or_add_zone (data, worker->zone);
  zone->n_workers++;
  zone->n_draining += worker->draining ? 1 : 0;
}

static gboolean
add_row (gpointer name, gpointer value, gpointer data)
{
  const ZoneSummary *zone = value;
  const ZoneListing *listing = data;
  QuinceTable *table = listing->table;
  const char *region = quince_topology_get_region (listing->topology, name);
  quince_table_add (table, name);
  quince_table_add (table, region != NULL ? region : NO_VALUE);
  quince_table_add_format (table, "%u", zone->n_workers);
  quince_table_add_format (table, "%u", zone->n_draining);
  quince_table_add (table, zone->evacuation_revision != 0 ? "yes" : "no");
  if (zone->evacuation_revision != 0)
    quince_table_add_format (table, "%" G_GUINT64_FORMAT, zone->evacuation_revision);
  else
    quince_table_add (table, NO_VALUE);
  return FALSE;
}

static void
print_zones (ZoneListing *listing)
{
  static const char *const headings[]
      = { "ZONE", "REGION", "WORKERS", "DRAINING", "EVACUATED", "REVISION", NULL };
  g_autoptr (QuinceTable) table = quince_table_new (headings);
  listing->table = table;
  g_tree_foreach (listing->zones, add_row, listing);
  quince_table_print (table);
}

QuinceToolStatus
quince_command_zones (QuinceTool *tool)
{
  if (!quince_tool_require_store (tool))
    return QUINCE_TOOL_USAGE;
  g_autoptr (QuinceTopology) topology = quince_topology_new ("", "");
  g_autoptr (GError) error = NULL;
  if (!quince_topology_add_zones (topology, quince_settings_get_text (tool->settings, "operator", "zones"),
                                  &error))
    return quince_tool_fail_usage ("zones: %s", error->message);
  ZoneListing listing = { .topology = topology };
  listing.zones = g_tree_new_full (compare_names, NULL, g_free, g_free);
  QuinceToolStatus status
      = quince_store_read_prefix (tool, QUINCE_PLATFORM_WORKERS_PREFIX, handle_worker_item, &listing);
  if (status == QUINCE_TOOL_OK)
    status
        = quince_store_read_prefix (tool, QUINCE_PLATFORM_EVACUATE_PREFIX, handle_evacuation_item, &listing);
  if (status == QUINCE_TOOL_OK)
    print_zones (&listing);
  g_tree_unref (listing.zones);
  return status;
}
