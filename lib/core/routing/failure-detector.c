/*
 * failure-detector.c: which of the processes that the metadata store lists are still heard.
 */
#include "core/routing/failure-detector.h"

/* What the store lists no longer may only have lapsed there, and is judged on for so long. */
#define UNLISTED_KEEP_US (10 * G_USEC_PER_SEC)
/* Who hears less than one in this many of those that are listed doubts itself: cut off with its own zone, a
 * leader hears a third. */
#define ALIVE_MIN_PART 2

typedef struct
{
  gboolean listed;
  gint64 since_us;    /* when it was last heard, or was listed first */
  gint64 unlisted_us; /* since when it is not listed */
} Entry;

struct _QuinceFailureDetector
{
  GHashTable *entries; /* Entry by name, owned */
  gint64 silence_us;
  gint64 began_us;
};

QuinceFailureDetector *
quince_failure_detector_new (gint64 silence_us)
{
  QuinceFailureDetector *table = g_new0 (QuinceFailureDetector, 1);
  table->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  table->silence_us = silence_us;
  return table;
}

void
quince_failure_detector_free (QuinceFailureDetector *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->entries);
  g_free (table);
}

static Entry *
entry_of (QuinceFailureDetector *table, gint64 now_us, const char *name)
{
  Entry *entry = g_hash_table_lookup (table->entries, name);
  if (entry != NULL)
    return entry;
  entry = g_new0 (Entry, 1);
  entry->since_us = now_us;
  entry->unlisted_us = now_us - UNLISTED_KEEP_US; /* never was */
  g_hash_table_insert (table->entries, g_strdup (name), entry);
  return entry;
}

void
quince_failure_detector_set_listed (QuinceFailureDetector *table,
                                    gint64 now_us,
                                    const char *name,
                                    gboolean listed)
{
  Entry *entry = entry_of (table, now_us, name);
  if (entry->listed == listed)
    return;
  entry->listed = listed;
  if (listed)
    entry->since_us = now_us;
  else
    entry->unlisted_us = now_us;
}

void
quince_failure_detector_heartbeat (QuinceFailureDetector *table, gint64 now_us, const char *name)
{
  entry_of (table, now_us, name)->since_us = now_us;
}

void
quince_failure_detector_restart (QuinceFailureDetector *table, gint64 now_us)
{
  table->began_us = now_us;
}

static gboolean
is_alive (const QuinceFailureDetector *table, gint64 now_us, const Entry *entry)
{
  return now_us - entry->since_us < table->silence_us;
}

gboolean
quince_failure_detector_is_alive (const QuinceFailureDetector *table, gint64 now_us, const char *name)
{
  const Entry *entry = g_hash_table_lookup (table->entries, name);
  return entry != NULL && is_alive (table, now_us, entry);
}

void
quince_failure_detector_forget (QuinceFailureDetector *table, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Entry *entry = value;
      if (!entry->listed && now_us - entry->unlisted_us >= UNLISTED_KEEP_US
          && !is_alive (table, now_us, entry))
        g_hash_table_iter_remove (&iter);
    }
}

gboolean
quince_failure_detector_get_silent (const QuinceFailureDetector *table, gint64 now_us, GPtrArray *silent)
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
      if (!entry->listed && now_us - entry->unlisted_us >= UNLISTED_KEEP_US)
        continue;
      listed++;
      if (!is_alive (table, now_us, entry))
        g_ptr_array_add (silent, name);
    }
  guint heard = listed - silent->len;
  if (silent->len == 0 || heard * ALIVE_MIN_PART >= listed)
    return TRUE;
  g_ptr_array_set_size (silent, 0);
  return FALSE;
}
