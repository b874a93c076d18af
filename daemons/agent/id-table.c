/*
 * id-table.c: which worker runs the request of an id.
 */
#include "id-table.h"

#include <string.h>

#include <quince/request-id.h>

typedef struct
{
  guint worker;
  guint64 call;
} IdWaiter;

typedef struct
{
  QuinceRequestId id;
  guint worker;    /* that holds the id                          */
  GArray *waiting; /* IdWaiter, in order; %NULL until the first */
} IdEntry;

struct _QuinceIdTable
{
  /* All fields belong to the hub's context. */
  const QuinceIdTableCallbacks *callbacks;
  gpointer user_data;
  GHashTable *entries; /* IdEntry.id -> IdEntry, owned */
};

static void
entry_free (gpointer data)
{
  IdEntry *entry = data;
  g_clear_pointer (&entry->waiting, g_array_unref);
  g_free (entry);
}

QuinceIdTable *
quince_id_table_new (const QuinceIdTableCallbacks *callbacks, gpointer user_data)
{
  QuinceIdTable *table = g_new0 (QuinceIdTable, 1);
  table->callbacks = callbacks;
  table->user_data = user_data;
  table->entries = g_hash_table_new_full (quince_request_id_hash, quince_request_id_equal, NULL, entry_free);
  return table;
}

void
quince_id_table_free (QuinceIdTable *table)
{
  g_hash_table_unref (table->entries);
  g_free (table);
}

guint
quince_id_table_get_size (const QuinceIdTable *table)
{
  return g_hash_table_size (table->entries);
}

static void
answer (QuinceIdTable *table, const IdEntry *entry, const IdWaiter *waiter, gboolean taken)
{
  if (waiter->call != 0)
    table->callbacks->answer (waiter->worker, waiter->call, entry->id, taken, table->user_data);
}

void
quince_id_table_take (QuinceIdTable *table, const QuinceRequestId id, guint worker, guint64 call)
{
  IdEntry *entry = g_hash_table_lookup (table->entries, id);
  IdWaiter waiter = { worker, call };
  if (entry == NULL)
    {
      entry = g_new0 (IdEntry, 1);
      memcpy (entry->id, id, QUINCE_ID_BYTES);
      entry->worker = worker;
      g_hash_table_insert (table->entries, entry->id, entry);
      answer (table, entry, &waiter, TRUE);
      return;
    }
  if (entry->waiting == NULL)
    entry->waiting = g_array_new (FALSE, FALSE, sizeof (IdWaiter));
  g_array_append_val (entry->waiting, waiter);
  table->callbacks->check (entry->worker, id, table->user_data);
}

void
quince_id_table_release (QuinceIdTable *table, const QuinceRequestId id, guint worker)
{
  IdEntry *entry = g_hash_table_lookup (table->entries, id);
  if (entry == NULL || entry->worker != worker)
    return;
  if (entry->waiting == NULL || entry->waiting->len == 0)
    {
      g_hash_table_remove (table->entries, id);
      return;
    }
  IdWaiter next = g_array_index (entry->waiting, IdWaiter, 0);
  g_array_remove_index (entry->waiting, 0);
  entry->worker = next.worker;
  answer (table, entry, &next, TRUE);
  if (entry->waiting->len > 0)
    table->callbacks->check (entry->worker, entry->id, table->user_data);
}

void
quince_id_table_held (QuinceIdTable *table, const QuinceRequestId id, guint worker)
{
  IdEntry *entry = g_hash_table_lookup (table->entries, id);
  if (entry == NULL || entry->worker != worker || entry->waiting == NULL)
    return;
  for (guint i = 0; i < entry->waiting->len; i++)
    answer (table, entry, &g_array_index (entry->waiting, IdWaiter, i), FALSE);
  g_array_set_size (entry->waiting, 0);
}
