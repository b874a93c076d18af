/*
 * heard-table.c: which of the processes that the metadata store lists are still heard.
 */
#include <quince/heard-table.h>

/* Who hears less than one in this many of those that are listed doubts itself. */
#define HEARD_LEAST_PART 4

typedef struct
{
  gboolean listed;
  gint64 since_us; /* when it was last heard, or was listed first */
} Entry;

struct _QuinceHeardTable
{
  GHashTable *entries; /* Entry by name, owned */
  gint64 silence_us;
  gint64 began_us;
};

QuinceHeardTable *
quince_heard_table_new (gint64 silence_us)
{
  QuinceHeardTable *table = g_new0 (QuinceHeardTable, 1);
  table->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  table->silence_us = silence_us;
  return table;
}

void
quince_heard_table_free (QuinceHeardTable *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->entries);
  g_free (table);
}

static Entry *
entry_of (QuinceHeardTable *table, gint64 now_us, const char *name)
{
  Entry *entry = g_hash_table_lookup (table->entries, name);
  if (entry != NULL)
    return entry;
  entry = g_new0 (Entry, 1);
  entry->since_us = now_us;
  g_hash_table_insert (table->entries, g_strdup (name), entry);
  return entry;
}

void
quince_heard_table_set_listed (QuinceHeardTable *table, gint64 now_us, const char *name, gboolean listed)
{
  if (listed)
    entry_of (table, now_us, name)->listed = TRUE;
  else
    g_hash_table_remove (table->entries, name);
}

void
quince_heard_table_hear (QuinceHeardTable *table, gint64 now_us, const char *name)
{
  entry_of (table, now_us, name)->since_us = now_us;
}

void
quince_heard_table_restart (QuinceHeardTable *table, gint64 now_us)
{
  table->began_us = now_us;
}

gboolean
quince_heard_table_judge (const QuinceHeardTable *table, gint64 now_us, GPtrArray *silent)
{
  guint listed = 0;
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  if (now_us - table->began_us < table->silence_us)
    return FALSE;
  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const Entry *entry = value;
      if (!entry->listed)
        continue;
      listed++;
      if (now_us - entry->since_us >= table->silence_us)
        g_ptr_array_add (silent, name);
    }
  guint heard = listed - silent->len;
  if (silent->len == 0 || heard * HEARD_LEAST_PART >= listed)
    return TRUE;
  g_ptr_array_set_size (silent, 0);
  return FALSE;
}
