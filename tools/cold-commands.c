/*
 * cold-commands.c: quinceroute cold, which lists workers that are cold or of unknown state, with the request
 * rate that their service allows for a cold worker.
 */
#include <stdio.h>
#include <string.h>

#include "observer/observer.h"

#include "commands.h"
#include "platform.h"
#include "store-calls.h"
#include "table.h"

/* Cell of an unknown or missing value. */
#define NO_VALUE "-"

typedef struct
{
  QuinceRouteTable *routes; /* owned; NULL if there is no valid configuration */
  GPtrArray *workers;       /* owned; QuinceWorker that are cold or of unknown state */
} ColdWorkerListing;

static void
handle_configuration_item (const QuinceMetaItem *item, gpointer data)
{
  ColdWorkerListing *listing = data;
  g_autoptr (GError) error = NULL;
  if (item->value == NULL || !g_str_equal (item->key, QUINCE_PLATFORM_CONFIGURATION_KEY))
    return;
  g_clear_pointer (&listing->routes, quince_route_table_free);
  listing->routes = quince_platform_read_configuration (item->value, &error);
  if (listing->routes == NULL)
    fprintf (stderr, "quinceroute: %s: %s\n", item->key, error->message);
}

static void
handle_worker_item (const QuinceMetaItem *item, gpointer data)
{
  ColdWorkerListing *listing = data;
  g_autoptr (GError) error = NULL;
  if (item->value == NULL)
    return;
  g_autoptr (QuinceWorker) worker = quince_platform_read_worker (item->key, item->value, &error);
  if (worker == NULL)
    fprintf (stderr, "quinceroute: %s: %s\n", item->key, error->message);
  else if (worker->cold_remaining_us != 0)
    g_ptr_array_add (listing->workers, g_steal_pointer (&worker));
}

static void
add_row (const ColdWorkerListing *listing, QuinceTable *table, const QuinceWorker *worker)
{
  const QuinceService *service
      = listing->routes != NULL ? quince_route_table_find_service (listing->routes, worker->service) : NULL;
  quince_table_add (table, worker->id);
  quince_table_add (table, worker->service);
  quince_table_add (table, worker->zone);
  if (worker->cold_remaining_us == QUINCE_COLD_UNKNOWN)
    quince_table_add (table, NO_VALUE);
  else
    quince_table_add_format (table, "%" G_GINT64_FORMAT, worker->cold_remaining_us / 1000);
  if (service != NULL && service->cold_max_requests_per_s > 0)
    quince_table_add_format (table, "%.1f", service->cold_max_requests_per_s);
  else
    quince_table_add (table, NO_VALUE);
}

static void
print_workers (const ColdWorkerListing *listing)
{
  static const char *const headings[] = { "WORKER", "SERVICE", "ZONE", "COLD MS", "REQUESTS/S", NULL };
  g_autoptr (QuinceTable) table = quince_table_new (headings);
  for (guint i = 0; i < listing->workers->len; i++)
    add_row (listing, table, listing->workers->pdata[i]);
  quince_table_print (table);
}

QuinceToolStatus
quince_command_cold (QuinceTool *tool)
{
  if (!quince_tool_require_store (tool))
    return QUINCE_TOOL_USAGE;
  ColdWorkerListing listing = { 0 };
  listing.workers = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_worker_free);
  QuinceToolStatus status = quince_store_read_prefix (tool, QUINCE_PLATFORM_CONFIGURATION_KEY,
                                                      handle_configuration_item, &listing);
  if (status == QUINCE_TOOL_OK)
    status = quince_store_read_prefix (tool, QUINCE_PLATFORM_WORKERS_PREFIX, handle_worker_item, &listing);
  if (status == QUINCE_TOOL_OK)
    print_workers (&listing);
  g_ptr_array_unref (listing.workers);
  g_clear_pointer (&listing.routes, quince_route_table_free);
  return status;
}
