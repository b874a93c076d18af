/*
 * standin-store-data.c: keys, history and leases of the metadata store stand-in.
 */
#include "standin-store-private.h"

#include <string.h>

void
standin_item_free (gpointer data)
{
  StandinItem *item = data;
  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

StandinItem *
standin_item_copy (const StandinItem *item)
{
  StandinItem *copy = g_new0 (StandinItem, 1);
  copy->key = g_strdup (item->key);
  copy->value = g_strdup (item->value);
  copy->revision = item->revision;
  copy->lease_id = item->lease_id;
  copy->changed_us = item->changed_us;
  return copy;
}

void
standin_store_change (StandinStore *store, const char *key, const char *encoded, guint64 lease_id)
{
  StandinItem *item = g_new0 (StandinItem, 1);
  item->key = g_strdup (key);
  item->value = g_strdup (encoded);
  item->revision = ++store->revision;
  item->lease_id = lease_id;
  item->changed_us = g_get_monotonic_time ();
  g_ptr_array_add (store->history, standin_item_copy (item));
  if (encoded != NULL)
    g_hash_table_replace (store->items, item->key, item);
  else
    {
      g_hash_table_remove (store->items, key);
      standin_item_free (item);
    }
}

void
standin_store_remove_lease (StandinStore *store, guint64 lease_id)
{
  g_autoptr (GPtrArray) keys = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, store->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((StandinItem *)value)->lease_id == lease_id)
      g_ptr_array_add (keys, g_strdup (((StandinItem *)value)->key));
  for (guint i = 0; i < keys->len; i++)
    standin_store_change (store, keys->pdata[i], NULL, 0);
  gint64 id = (gint64)lease_id;
  g_hash_table_remove (store->leases, &id);
}

void
standin_store_remove_expired_leases (StandinStore *store)
{
  gint64 now = g_get_monotonic_time ();
  g_autoptr (GArray) expired_ids = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, store->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((StandinLease *)value)->expires_us < now)
      g_array_append_val (expired_ids, ((StandinLease *)value)->id);
  for (guint i = 0; i < expired_ids->len; i++)
    standin_store_remove_lease (store, g_array_index (expired_ids, guint64, i));
}

/* ---- Reads and snapshots ---------------------------------------------- */

const char *
standin_store_get (const StandinStore *store, const char *key)
{
  static char *decoded;
  const StandinItem *item = g_hash_table_lookup (store->items, key);
  if (item == NULL)
    return NULL;
  gsize length;
  g_autofree guchar *bytes = g_base64_decode (item->value, &length);
  g_free (decoded);
  decoded = g_strndup ((const char *)bytes, length);
  return decoded;
}

GBytes *
standin_store_get_bytes (const StandinStore *store, const char *key)
{
  const StandinItem *item = g_hash_table_lookup (store->items, key);
  if (item == NULL)
    return NULL;
  gsize length;
  guchar *bytes = g_base64_decode (item->value, &length);
  return g_bytes_new_take (bytes, length);
}

char *
standin_store_dump_except (const StandinStore *store, const char *key)
{
  GString *text = g_string_new (NULL);
  GHashTableIter iter;
  gpointer item_key;
  gpointer value;
  g_hash_table_iter_init (&iter, store->items);
  while (g_hash_table_iter_next (&iter, &item_key, &value))
    {
      if (g_str_equal (item_key, key))
        continue;
      gsize length;
      g_autofree guchar *bytes = g_base64_decode (((const StandinItem *)value)->value, &length);
      g_string_append (text, item_key);
      for (gsize i = 0; i < length; i++)
        g_string_append_c (text, g_ascii_isprint (bytes[i]) ? (char)bytes[i] : ' ');
    }
  return g_string_free (text, FALSE);
}

guint64
standin_store_get_revision (const StandinStore *store, const char *key)
{
  const StandinItem *item = g_hash_table_lookup (store->items, key);
  return item != NULL ? item->revision : 0;
}

void
standin_store_save (StandinStore *store)
{
  g_clear_pointer (&store->saved_items, g_ptr_array_unref);
  store->saved_items = g_ptr_array_new_with_free_func (standin_item_free);
  store->saved_revision = store->revision;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, store->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (store->saved_items, standin_item_copy (value));
}
