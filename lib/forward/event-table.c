/*
 * event-table.c: traffic events that operators announce, as the policy sees them.
 */
#include "forward/event-table.h"

struct _QuinceEventTable
{
  /* All fields belong to the context that created it. */
  GHashTable *by_name; /* name to QuinceEventEntry, both owned */
};

static void
event_free (gpointer data)
{
  QuinceEventEntry *event = data;
  g_free (event->service);
  g_free (event);
}

QuinceEventTable *
quince_event_table_new (void)
{
  QuinceEventTable *table = g_new0 (QuinceEventTable, 1);
  table->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, event_free);
  return table;
}

void
quince_event_table_free (QuinceEventTable *table)
{
  g_hash_table_unref (table->by_name);
  g_free (table);
}

void
quince_event_table_set (QuinceEventTable *table, const char *name, const QuinceEventEntry *entry)
{
  g_hash_table_replace (table->by_name, g_strdup (name), g_memdup2 (entry, sizeof *entry));
}

void
quince_event_table_remove (QuinceEventTable *table, const char *name)
{
  g_hash_table_remove (table->by_name, name);
}

void
quince_event_table_describe (const QuinceEventTable *table, gint64 wall_ms, QuincePolicyRequest *request)
{
  request->event_active = FALSE;
  request->event_in_ms = -1;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const QuinceEventEntry *event = value;
      if (!g_str_equal (event->service, "-") && !g_str_equal (event->service, request->service))
        continue;
      gint64 starts_in_ms = event->start_ms - wall_ms;
      if (starts_in_ms <= 0 && wall_ms < event->start_ms + event->duration_ms)
        request->event_active = TRUE;
      else if (starts_in_ms > 0 && (request->event_in_ms < 0 || starts_in_ms < request->event_in_ms))
        request->event_in_ms = starts_in_ms;
    }
}
