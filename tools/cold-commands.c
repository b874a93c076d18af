/*
 * cold-commands.c: workers that say they are cold, and what they bear meanwhile.
 */
#include <stdio.h>
#include <string.h>

#include "observer/observer.h"

#include "commands.h"
#include "platform.h"
#include "table.h"

/* What is not told. */
#define NO_VALUE "-"

typedef struct
{
  QuinceTool *tool;
  QuinceRouteTable *routes; /* owned (nullable) */
  GPtrArray *workers;       /* QuinceWorker, owned: those that are cold, or do not say */
} Listing;

static void
configuration_read (const QuinceMetaItem *item, gpointer data)
{
  Listing *listing = data;
  g_autoptr (GError) error = NULL;
  if (item->value == NULL || !g_str_equal (item->key, QUINCE_PLATFORM_CONFIGURATION_KEY))
    return;
  g_clear_pointer (&listing->routes, quince_route_table_free);
  listing->routes = quince_platform_read_configuration (item->value, &error);
  if (listing->routes == NULL)
    fprintf (stderr, "quinceroute: %s: %s\n", item->key, error->message);
}

static void
worker_read (const QuinceMetaItem *item, gpointer data)
{
  Listing *listing = data;
  g_autoptr (GError) error = NULL;
  if (item->value == NULL)
    return;
  g_autoptr (QuinceWorker) worker = quince_platform_read_worker (item->key, item->value, &error);
  if (worker == NULL)
    fprintf (stderr, "quinceroute: %s: %s\n", item->key, error->message);
  else if (worker->cold_us != 0)
    g_ptr_array_add (listing->workers, g_steal_pointer (&worker));
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

static void
add_row (const Listing *listing, QuinceTable *table, const QuinceWorker *worker)
{
  const QuinceService *service
      = listing->routes != NULL ? quince_route_table_find_service (listing->routes, worker->service) : NULL;
  quince_table_add (table, worker->id);
  quince_table_add (table, worker->service);
  quince_table_add (table, worker->zone);
  if (worker->cold_us == QUINCE_COLD_UNKNOWN)
    quince_table_add (table, NO_VALUE);
  else
    quince_table_add_format (table, "%" G_GINT64_FORMAT, worker->cold_us / 1000);
  if (service != NULL && service->cold_per_s > 0)
    quince_table_add_format (table, "%.1f", service->cold_per_s);
  else
    quince_table_add (table, NO_VALUE);
}

QuinceToolStatus
quince_command_cold (QuinceTool *tool)
{
  static const char *const headings[] = { "WORKER", "SERVICE", "ZONE", "COLD MS", "BEARS A SECOND", NULL };
  static const QuinceMetaMirrorCallbacks configuration = { .item = configuration_read, .synced = all_read };
  static const QuinceMetaMirrorCallbacks workers = { .item = worker_read, .synced = all_read };
  if (tool->meta == NULL)
    return quince_tool_usage ("cold needs --store");
  Listing listing = { .tool = tool };
  listing.workers = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_worker_free);
  read_prefix (&listing, QUINCE_PLATFORM_CONFIGURATION_KEY, &configuration);
  if (tool->status == QUINCE_TOOL_OK)
    read_prefix (&listing, QUINCE_PLATFORM_WORKERS_PREFIX, &workers);
  if (tool->status == QUINCE_TOOL_OK)
    {
      g_autoptr (QuinceTable) table = quince_table_new (headings);
      for (guint i = 0; i < listing.workers->len; i++)
        add_row (&listing, table, listing.workers->pdata[i]);
      quince_table_print (table);
    }
  g_ptr_array_unref (listing.workers);
  g_clear_pointer (&listing.routes, quince_route_table_free);
  return tool->status;
}
