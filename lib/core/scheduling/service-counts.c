/*
 * service-counts.c: see service-counts.h.
 */
#include "service-counts.h"

struct _QuinceServiceCounts
{
  GHashTable *entries; /* QuinceServiceEntry as its own key, owned */
};

static guint
hash_entry (gconstpointer data)
{
  const QuinceServiceEntry *entry = data;
  return g_str_hash (entry->count.member) * 31 + g_str_hash (entry->count.kind);
}

static gboolean
equal_entries (gconstpointer first, gconstpointer second)
{
  const QuinceServiceCount *a = &((const QuinceServiceEntry *)first)->count;
  const QuinceServiceCount *b = &((const QuinceServiceEntry *)second)->count;
  return strcmp (a->member, b->member) == 0 && strcmp (a->kind, b->kind) == 0;
}

static void
free_entry (gpointer data)
{
  QuinceServiceEntry *entry = data;
  g_free ((char *)entry->count.member);
  g_free ((char *)entry->count.kind);
  g_free (entry);
}

QuinceServiceCounts *
quince_service_counts_new (void)
{
  QuinceServiceCounts *counts = g_new0 (QuinceServiceCounts, 1);
  counts->entries = g_hash_table_new_full (hash_entry, equal_entries, free_entry, NULL);
  return counts;
}

void
quince_service_counts_free (QuinceServiceCounts *counts)
{
  g_hash_table_unref (counts->entries);
  g_free (counts);
}

QuinceServiceEntry *
quince_service_counts_get (QuinceServiceCounts *counts, const char *member, const char *kind)
{
  QuinceServiceEntry wanted = { .count = { .member = member, .kind = kind } };
  QuinceServiceEntry *entry = g_hash_table_lookup (counts->entries, &wanted);
  if (entry != NULL)
    return entry;
  if (g_hash_table_size (counts->entries) == QUINCE_SERVICE_COUNTS_MOST - 1)
    member = kind = QUINCE_SERVICE_COUNTS_REST;
  else if (g_hash_table_size (counts->entries) >= QUINCE_SERVICE_COUNTS_MOST)
    {
      wanted.count.member = wanted.count.kind = QUINCE_SERVICE_COUNTS_REST;
      return g_hash_table_lookup (counts->entries, &wanted);
    }
  entry = g_new0 (QuinceServiceEntry, 1);
  entry->count.member = g_strdup (member);
  entry->count.kind = g_strdup (kind);
  g_hash_table_add (counts->entries, entry);
  return entry;
}

void
quince_service_counts_foreach (const QuinceServiceCounts *counts,
                               void (*visit) (const QuinceServiceCount *count, gpointer user_data),
                               gpointer user_data)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, counts->entries);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    visit (&((QuinceServiceEntry *)key)->count, user_data);
}
