/*
 * prompt-table.c: the worker that was last sent each prompt part; evicts the least recently used parts.
 */
#include "core/routing/prompt-table.h"

typedef struct
{
  char *part;
  char *worker;    /* id of the worker that was last sent the part */
  GList *lru_link; /* owned by the LRU queue */
} Entry;

struct _QuincePromptTable
{
  GHashTable *entries; /* Entry by part, owned */
  GQueue lru;          /* Entry, most recently used last */
  guint parts_max;
};

static void
entry_free (gpointer data)
{
  Entry *entry = data;
  g_free (entry->part);
  g_free (entry->worker);
  g_free (entry);
}

QuincePromptTable *
quince_prompt_table_new (guint parts_max)
{
  QuincePromptTable *table = g_new0 (QuincePromptTable, 1);
  table->entries = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  g_queue_init (&table->lru);
  table->parts_max = parts_max;
  return table;
}

void
quince_prompt_table_free (QuincePromptTable *table)
{
  if (table == NULL)
    return;
  g_queue_clear (&table->lru);
  g_hash_table_unref (table->entries);
  g_free (table);
}

static void
evict_least_recently_used (QuincePromptTable *table)
{
  Entry *least_recent = g_queue_pop_head (&table->lru);
  g_hash_table_remove (table->entries, least_recent->part);
}

static void
record_part (QuincePromptTable *table, const char *part, const char *worker)
{
  Entry *entry = g_hash_table_lookup (table->entries, part);
  if (entry == NULL)
    {
      entry = g_new0 (Entry, 1);
      entry->part = g_strdup (part);
      g_hash_table_insert (table->entries, entry->part, entry);
      g_queue_push_tail (&table->lru, entry);
      entry->lru_link = g_queue_peek_tail_link (&table->lru);
    }
  else
    {
      g_queue_unlink (&table->lru, entry->lru_link);
      g_queue_push_tail_link (&table->lru, entry->lru_link);
    }
  g_free (entry->worker);
  entry->worker = g_strdup (worker);
}

void
quince_prompt_table_record (QuincePromptTable *table, const char *const *parts, const char *worker)
{
  for (; *parts != NULL; parts++)
    record_part (table, *parts, worker);
  while (g_hash_table_size (table->entries) > table->parts_max)
    evict_least_recently_used (table);
}

const char *
quince_prompt_table_find_worker (const QuincePromptTable *table, const char *const *parts)
{
  const char *found = NULL;
  for (; *parts != NULL; parts++)
    {
      const Entry *entry = g_hash_table_lookup (table->entries, *parts);
      if (entry != NULL)
        found = entry->worker;
    }
  return found;
}
