/*
 * observer-operator.c: what the operator and the trainers ask for, by their keys in the metadata store.
 */
#include <string.h>

#include "runtime/log.h"
#include "forward/residency-lookup.h"
#include "runtime/clock.h"

#include "observer-private.h"
#include "platform.h"

/* For the log: this process read the store, or another one did and told it. */
static const char *
source_name (const QuinceObserver *observer)
{
  return quince_meta_mirror_is_fed (observer->operator_mirror) ? "feed" : "store";
}

void
quince_observer_tell_configuration (QuinceObserver *observer)
{
  if (observer->routes != NULL && observer->knows_policy && observer->callbacks->configuration != NULL)
    observer->callbacks->configuration (observer->routes, observer->user_data);
}

static void
take_configuration (QuinceObserver *observer, const QuinceMetaItem *item)
{
  if (item->value == NULL)
    return;
  g_autoptr (GError) error = NULL;
  g_autoptr (QuinceRouteTable) table = quince_platform_read_configuration (item->value, &error);
  if (table == NULL)
    {
      quince_observer_log_bad_item (item->key, error);
      return;
    }
  guint64 version = quince_route_table_get_version (table);
  if (observer->routes != NULL && version <= quince_route_table_get_version (observer->routes))
    return;
  quince_log_info ("configuration",
                   "version=%" G_GUINT64_FORMAT " routes=%u source=%s revision=%" G_GUINT64_FORMAT, version,
                   quince_route_table_get_n_routes (table), source_name (observer), item->revision);
  quince_backends_set_routes (observer->backends, table);
  quince_route_table_free (observer->routes);
  observer->routes = g_steal_pointer (&table);
  quince_observer_tell_configuration (observer);
}

static void
take_version (QuinceObserver *observer, const QuinceMetaItem *item)
{
  if (item->value == NULL)
    return;
  g_autoptr (GError) error = NULL;
  g_autofree char *model = NULL;
  guint64 version = 0;
  if (!quince_platform_read_version (item->value, &model, &version, &error))
    {
      quince_observer_log_bad_item (item->key, error);
      return;
    }
  if (version <= quince_observer_get_version (observer, model))
    return;
  quince_log_info ("version_named", "model=%s version=%" G_GUINT64_FORMAT " source=%s", model, version,
                   source_name (observer));
  g_hash_table_replace (observer->versions, g_strdup (model), g_memdup2 (&version, sizeof version));
  if (observer->callbacks->version != NULL)
    observer->callbacks->version (model, version, observer->user_data);
}

static void
take_leaving (QuinceObserver *observer, const QuinceMetaItem *item)
{
  const char *node = item->key + strlen (QUINCE_PLATFORM_RETIRE_PREFIX);
  guint index;
  gboolean known = g_ptr_array_find_with_equal_func (observer->leaving, node, g_str_equal, &index);
  if (known == (item->value != NULL))
    return;
  if (known)
    g_ptr_array_remove_index (observer->leaving, index);
  else
    g_ptr_array_add (observer->leaving, g_strdup (node));
  g_autofree char *name = quince_log_quote (node);
  quince_log_info ("machine_leaving", "node=%s asked=%s", name, known ? "false" : "true");
  if (observer->callbacks->leaving == NULL)
    return;
  g_autoptr (GPtrArray) nodes = g_ptr_array_new ();
  for (guint i = 0; i < observer->leaving->len; i++)
    g_ptr_array_add (nodes, observer->leaving->pdata[i]);
  g_ptr_array_add (nodes, NULL);
  observer->callbacks->leaving ((const char *const *)nodes->pdata, observer->user_data);
}

static void
take_zone (QuinceObserver *observer, const QuinceMetaItem *item)
{
  const char *zone = item->key + strlen (QUINCE_PLATFORM_EVACUATE_PREFIX);
  gboolean evacuated = item->value != NULL;
  if (!quince_backends_take_zone (observer->backends, quince_now_us (), zone, item->revision, evacuated))
    return;
  g_autofree char *name = quince_log_quote (zone);
  if (evacuated)
    quince_log_notice ("zone_evacuated", "zone=%s source=%s revision=%" G_GUINT64_FORMAT, name,
                       source_name (observer), item->revision);
  else
    quince_log_notice ("zone_returned", "zone=%s source=%s revision=%" G_GUINT64_FORMAT, name,
                       source_name (observer), item->revision);
  if (observer->callbacks->zones != NULL)
    observer->callbacks->zones (observer->user_data);
}

void
quince_observer_take_operator_item (const QuinceMetaItem *item, gpointer data)
{
  QuinceObserver *observer = data;
  if (g_str_equal (item->key, QUINCE_PLATFORM_CONFIGURATION_KEY))
    take_configuration (observer, item);
  else if (g_str_has_prefix (item->key, QUINCE_PLATFORM_VERSION_PREFIX))
    take_version (observer, item);
  else if (g_str_has_prefix (item->key, QUINCE_PLATFORM_RETIRE_PREFIX))
    take_leaving (observer, item);
  else if (g_str_has_prefix (item->key, QUINCE_PLATFORM_EVACUATE_PREFIX))
    take_zone (observer, item);
}
