/*
 * meta-world.h: a mirror of a stand-in of the metadata store, and what the mirror reported.
 */
#pragma once

#include <string.h>

#include "meta/meta-mirror.h"

#include "await.h"
#include "platform.h"
#include "standin-store.h"

#define READ_INTERVAL_MAX_MS 700
#define FEED_TIMEOUT_MS 1300

/* ---- Items reported by a mirror --------------------------------------- */

typedef struct
{
  GHashTable *values; /* owned; key to text */
  guint synced;
  guint items; /* number of reported items */
} Reports;

static inline void
report_item (const QuinceMetaItem *item, gpointer data)
{
  Reports *reports = data;
  reports->items++;
  if (item->value == NULL)
    g_hash_table_remove (reports->values, item->key);
  else
    g_hash_table_replace (reports->values, g_strdup (item->key),
                          g_strndup (g_bytes_get_data (item->value, NULL), g_bytes_get_size (item->value)));
}

static inline void
report_synced (gpointer data)
{
  ((Reports *)data)->synced++;
}

static const QuinceMetaMirrorCallbacks mirror_callbacks = { .item = report_item, .synced = report_synced };

typedef struct
{
  StandinStore *standin;
  QuinceMetaStore *store;
  QuinceMetaMirror *mirror;
  Reports reports;
} World;

static inline void
world_start (World *world, guint read_interval_min_ms)
{
  *world = (World){ 0 };
  world->reports.values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  world->standin = standin_store_new ();
  for (guint i = 0; i < 5; i++)
    {
      g_autofree char *key = g_strdup_printf ("a/%u", i);
      standin_store_put (world->standin, key, "first");
    }
  standin_store_put (world->standin, "b/0", "other");
  world->store
      = quince_meta_store_new (standin_store_get_address (world->standin), &quince_platform_meta_codec);
  const QuinceMetaMirrorTimes times = { .read_interval_min_ms = read_interval_min_ms,
                                        .read_interval_max_ms = READ_INTERVAL_MAX_MS,
                                        .feed_timeout_ms = FEED_TIMEOUT_MS };
  world->mirror = quince_meta_mirror_new (world->store, "a/", FALSE, &mirror_callbacks, &world->reports);
  quince_meta_mirror_set_times (world->mirror, &times);
  AWAIT (world->reports.synced > 0);
}

static inline void
world_stop (World *world)
{
  quince_meta_mirror_free (world->mirror);
  quince_meta_store_free (world->store);
  standin_store_free (world->standin);
  g_hash_table_unref (world->reports.values);
}

static inline const char *
get_value (World *world, const char *key)
{
  const char *text = g_hash_table_lookup (world->reports.values, key);
  return text != NULL ? text : "";
}

static inline QuinceMetaPage *
make_page (guint64 revision, const char *key, const char *text, guint64 key_revision)
{
  QuinceMetaPage *page = g_new0 (QuinceMetaPage, 1);
  page->items = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_meta_item_free);
  page->revision = revision;
  QuinceMetaItem *item = g_new0 (QuinceMetaItem, 1);
  item->key = g_strdup (key);
  item->revision = key_revision;
  if (text != NULL)
    item->value = g_bytes_new (text, strlen (text));
  g_ptr_array_add (page->items, item);
  return page;
}
