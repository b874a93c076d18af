/*
 * meta-copy.c: the items of a prefix and the latest removed keys.
 */
#include "meta-copy.h"

/* Number of removed keys that are always kept; more are kept up to the number of present keys.  A process
 * that missed more removals than that receives the whole prefix, which is shorter. */
#define REMOVED_KEYS_MIN 1024

struct _QuinceMetaCopy
{
  gboolean (*is_equivalent) (GBytes *, GBytes *);
  GHashTable *items;      /* QuinceMetaItem by key, owned */
  GQueue removals;        /* QuinceMetaItem without value, owned: removed keys, oldest first */
  guint64 removals_after; /* @removals holds every removal after this revision */
};

QuinceMetaCopy *
quince_meta_copy_new (gboolean (*is_equivalent) (GBytes *before, GBytes *after))
{
  QuinceMetaCopy *copy = g_new0 (QuinceMetaCopy, 1);
  copy->is_equivalent = is_equivalent;
  copy->items = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify)quince_meta_item_free);
  g_queue_init (&copy->removals);
  return copy;
}

static void
clear_removals (QuinceMetaCopy *copy)
{
  g_queue_clear_full (&copy->removals, (GDestroyNotify)quince_meta_item_free);
}

void
quince_meta_copy_free (QuinceMetaCopy *copy)
{
  g_hash_table_unref (copy->items);
  clear_removals (copy);
  g_free (copy);
}

static QuinceMetaItem *
item_new (const char *key, GBytes *value, guint64 revision)
{
  QuinceMetaItem *item = g_new0 (QuinceMetaItem, 1);
  item->key = g_strdup (key);
  item->value = value != NULL ? g_bytes_ref (value) : NULL;
  item->revision = revision;
  return item;
}

static void
record_removal (QuinceMetaCopy *copy, const char *key, guint64 revision)
{
  g_queue_push_tail (&copy->removals, item_new (key, NULL, revision));
  if (g_queue_get_length (&copy->removals) <= MAX (REMOVED_KEYS_MIN, g_hash_table_size (copy->items)))
    return;
  QuinceMetaItem *oldest = g_queue_pop_head (&copy->removals);
  copy->removals_after = oldest->revision;
  quince_meta_item_free (oldest);
}

gboolean
quince_meta_copy_apply_item (QuinceMetaCopy *copy, const QuinceMetaItem *item)
{
  const QuinceMetaItem *current = g_hash_table_lookup (copy->items, item->key);
  if (current != NULL && item->revision <= current->revision)
    return FALSE;
  if (item->value == NULL)
    {
      if (current == NULL)
        return FALSE;
      record_removal (copy, item->key, item->revision);
      g_hash_table_remove (copy->items, item->key);
      return TRUE;
    }
  /* Keeps the older revision, so that the item is not sent again to processes that have it. */
  if (current != NULL && copy->is_equivalent != NULL && copy->is_equivalent (current->value, item->value))
    return FALSE;
  QuinceMetaItem *stored = item_new (item->key, item->value, item->revision);
  g_hash_table_replace (copy->items, stored->key, stored);
  return TRUE;
}

GPtrArray *
quince_meta_copy_remove_unlisted (QuinceMetaCopy *copy, guint64 revision, GHashTable *listed_keys)
{
  GPtrArray *removed = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_meta_item_free);
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, copy->items);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      if (g_hash_table_contains (listed_keys, key))
        continue;
      g_ptr_array_add (removed, item_new (key, NULL, revision));
      g_hash_table_iter_remove (&iter);
    }
  /* A list does not show keys that were created and removed since the last read, so the changes after an
   * earlier revision are not known. */
  clear_removals (copy);
  copy->removals_after = revision;
  return removed;
}

QuinceMetaPage *
quince_meta_copy_get_changes_since (const QuinceMetaCopy *copy,
                                    guint64 after_revision,
                                    guint64 revision,
                                    gboolean *whole)
{
  QuinceMetaPage *page = g_new0 (QuinceMetaPage, 1);
  page->items = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_meta_item_free);
  page->after = after_revision;
  page->revision = revision;
  *whole = after_revision == 0 || after_revision < copy->removals_after || after_revision > revision;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, copy->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const QuinceMetaItem *item = value;
      if (*whole || item->revision > after_revision)
        g_ptr_array_add (page->items, item_new (item->key, item->value, item->revision));
    }
  for (const GList *link = copy->removals.head; link != NULL && !*whole; link = link->next)
    {
      const QuinceMetaItem *item = link->data;
      if (item->revision > after_revision && !g_hash_table_contains (copy->items, item->key))
        g_ptr_array_add (page->items, item_new (item->key, NULL, item->revision));
    }
  return page;
}
