/*
 * zone-commands.c: the zones of a deployment, and which of them the operator has evacuated.
 */
#include <stdio.h>
#include <string.h>

#include "observer/observer.h"
#include "core/routing/topology.h"

#include "commands.h"
#include "platform.h"
#include "table.h"

/* What is not known. */
#define NO_VALUE "-"

/* What the store tells of one zone. */
typedef struct
{
  guint workers;
  guint draining;
  guint64 evacuated; /* revision of the operator's word; 0: not evacuated */
} Zone;

typedef struct
{
  QuinceTool *tool;
  GTree *zones; /* name to Zone, both owned */
  QuinceTopology *topology;
  QuinceTable *table;
} Listing;

static gint
compare_names (gconstpointer a, gconstpointer b, gpointer data)
{
  return strcmp (a, b);
}

static Zone *
find_or_add (Listing *listing, const char *name)
{
  Zone *zone = g_tree_lookup (listing->zones, name);
  if (zone != NULL)
    return zone;
  zone = g_new0 (Zone, 1);
  g_tree_insert (listing->zones, g_strdup (name), zone);
  return zone;
}

static void
evacuation_read (const QuinceMetaItem *item, gpointer data)
{
  if (item->value != NULL)
    find_or_add (data, item->key + strlen (QUINCE_PLATFORM_EVACUATE_PREFIX))->evacuated = item->revision;
}

static void
worker_read (const QuinceMetaItem *item, gpointer data)
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
  Zone *zone = find_or_add (data, worker->zone);
  zone->workers++;
  zone->draining += worker->draining ? 1 : 0;
}

static void
all_read (gpointer data)
{
  quince_tool_finish (((Listing *)data)->tool, QUINCE_TOOL_OK);
}

static void
read_prefix (Listing *listing, const char *prefix, const QuinceMetaMirrorCallbacks *callbacks)
{
  static const QuinceMetaMirrorTimes times = { .read_every_ms = 1000, .patience_ms = 1000 };
  QuinceMetaMirror *mirror = quince_meta_mirror_new (listing->tool->meta, prefix, callbacks, listing);
  quince_meta_mirror_set_times (mirror, &times);
  quince_tool_wait (listing->tool);
  quince_meta_mirror_free (mirror);
}

static gboolean
add_row (gpointer name, gpointer value, gpointer data)
{
  const Zone *zone = value;
  const Listing *listing = data;
  QuinceTable *table = listing->table;
  const char *region = quince_topology_get_region (listing->topology, name);
  quince_table_add (table, name);
  quince_table_add (table, region != NULL ? region : NO_VALUE);
  quince_table_add_format (table, "%u", zone->workers);
  quince_table_add_format (table, "%u", zone->draining);
  quince_table_add (table, zone->evacuated != 0 ? "yes" : "no");
  if (zone->evacuated != 0)
    quince_table_add_format (table, "%" G_GUINT64_FORMAT, zone->evacuated);
  else
    quince_table_add (table, NO_VALUE);
  return FALSE;
}

QuinceToolStatus
quince_command_zones (QuinceTool *tool)
{
  static const char *const headings[]
      = { "ZONE", "REGION", "WORKERS", "DRAINING", "EVACUATED", "REVISION", NULL };
  static const QuinceMetaMirrorCallbacks evacuations = { .item = evacuation_read, .synced = all_read };
  static const QuinceMetaMirrorCallbacks workers = { .item = worker_read, .synced = all_read };
  if (tool->meta == NULL)
    return quince_tool_usage ("zones needs --store");
  g_autoptr (QuinceTopology) topology = quince_topology_new ("", "");
  g_autoptr (GError) error = NULL;
  if (!quince_topology_add_zones (topology, quince_settings_get_text (tool->settings, "operator", "zones"),
                                  &error))
    return quince_tool_usage ("zones: %s", error->message);
  Listing listing = { .tool = tool, .topology = topology };
  listing.zones = g_tree_new_full (compare_names, NULL, g_free, g_free);
  read_prefix (&listing, QUINCE_PLATFORM_WORKERS_PREFIX, &workers);
  if (tool->status == QUINCE_TOOL_OK)
    read_prefix (&listing, QUINCE_PLATFORM_EVACUATE_PREFIX, &evacuations);
  if (tool->status == QUINCE_TOOL_OK)
    {
      g_autoptr (QuinceTable) table = quince_table_new (headings);
      listing.table = table;
      g_tree_foreach (listing.zones, add_row, &listing);
      quince_table_print (table);
    }
  g_tree_unref (listing.zones);
  return tool->status;
}
