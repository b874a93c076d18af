/*
 * grants.c: see grants.h.
 */
#include "grants.h"

struct _QuinceGrantTable
{
  GHashTable *by_key; /* QuinceAttemptKey in the grant -> QuinceGrantEntry, owned */
  GHashTable *by_id;  /* grant id in the grant -> QuinceGrantEntry that has not ended */
  QuinceHeap due;
  guint64 next_id;
};

static void
free_grant (gpointer data)
{
  QuinceGrantEntry *grant = data;
  quince_engine_unref (grant->engine);
  g_free (grant);
}

QuinceGrantTable *
quince_grant_table_new (guint64 incarnation)
{
  QuinceGrantTable *table = g_new0 (QuinceGrantTable, 1);
  table->by_key = g_hash_table_new_full (quince_attempt_key_hash, quince_attempt_key_equal, NULL, free_grant);
  table->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  /* Ids of two incarnations differ, so a late end cannot meet another's grant. */
  table->next_id = incarnation << 32;
  return table;
}

void
quince_grant_table_free (QuinceGrantTable *table)
{
  g_hash_table_unref (table->by_id);
  g_hash_table_unref (table->by_key);
  quince_heap_clear (&table->due);
  g_free (table);
}

QuinceGrantEntry *
quince_grant_table_add (QuinceGrantTable *table,
                        const QuinceAttemptKey *key,
                        QuinceEngine *engine,
                        gint64 expires_us,
                        gint64 abandon_us)
{
  QuinceGrantEntry *grant = g_new0 (QuinceGrantEntry, 1);
  grant->key = *key;
  grant->grant_id = ++table->next_id;
  grant->engine = quince_engine_ref (engine);
  quince_heap_node_init (&grant->due, grant);
  grant->expires_us = expires_us;
  grant->abandon_us = abandon_us;
  quince_heap_push (&table->due, &grant->due, MIN (expires_us + QUINCE_GRANT_SETTLE_US, abandon_us),
                    grant->grant_id);
  g_hash_table_insert (table->by_key, &grant->key, grant);
  g_hash_table_insert (table->by_id, &grant->grant_id, grant);
  return grant;
}

QuinceGrantEntry *
quince_grant_table_find (QuinceGrantTable *table, const QuinceAttemptKey *key)
{
  return g_hash_table_lookup (table->by_key, key);
}

QuinceGrantEntry *
quince_grant_table_find_id (QuinceGrantTable *table, guint64 grant_id)
{
  return g_hash_table_lookup (table->by_id, &grant_id);
}

void
quince_grant_table_end (QuinceGrantTable *table, QuinceGrantEntry *grant, gint64 now_us)
{
  grant->ended = TRUE;
  g_hash_table_remove (table->by_id, &grant->grant_id);
  quince_heap_remove (&table->due, &grant->due);
  quince_heap_push (&table->due, &grant->due, MAX (now_us, grant->expires_us), grant->grant_id);
}

QuinceGrantEntry *
quince_grant_table_due (QuinceGrantTable *table, gint64 now_us)
{
  QuinceHeapNode *node = quince_heap_peek (&table->due);
  return node != NULL && node->key <= now_us ? node->owner : NULL;
}

void
quince_grant_table_look_again (QuinceGrantTable *table, QuinceGrantEntry *grant, gint64 at_us)
{
  quince_heap_remove (&table->due, &grant->due);
  quince_heap_push (&table->due, &grant->due, MIN (at_us, grant->abandon_us), grant->grant_id);
}

void
quince_grant_table_forget (QuinceGrantTable *table, QuinceGrantEntry *grant)
{
  quince_heap_remove (&table->due, &grant->due);
  g_hash_table_remove (table->by_id, &grant->grant_id);
  g_hash_table_remove (table->by_key, &grant->key);
}

gint64
quince_grant_table_next_due (const QuinceGrantTable *table)
{
  QuinceHeapNode *node = quince_heap_peek (&table->due);
  return node != NULL ? node->key : G_MAXINT64;
}

guint
quince_grant_table_outstanding (const QuinceGrantTable *table)
{
  return g_hash_table_size (table->by_id);
}
