/*
 * batch-table.c: applies ledger records to the table of batches.
 */
#include "core/batches/batch-table.h"

struct _QuinceBatchTable
{
  GHashTable *by_id; /* batch id to QuinceBatchEntry; owns the entries */
  GPtrArray *order;  /* QuinceBatchEntry, not owned, in the order of submission */
  const QuinceBatchTableCallbacks *callbacks;
  gpointer user_data;
};

static void
encoded_result_free (gpointer data)
{
  QuinceEncodedResult *encoded_result = data;
  g_bytes_unref (encoded_result->body);
  g_free (encoded_result);
}

static void
entry_free (gpointer data)
{
  QuinceBatchEntry *entry = data;
  quince_batch_job_free (entry->batch);
  g_ptr_array_unref (entry->results);
  g_array_unref (entry->indexes);
  g_free (entry->has_result);
  g_free (entry->tenant);
  g_free (entry);
}

QuinceBatchTable *
quince_batch_table_new (const QuinceBatchTableCallbacks *callbacks, gpointer user_data)
{
  QuinceBatchTable *table = g_new0 (QuinceBatchTable, 1);
  table->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  table->order = g_ptr_array_new ();
  table->callbacks = callbacks;
  table->user_data = user_data;
  return table;
}

void
quince_batch_table_free (QuinceBatchTable *table)
{
  if (table == NULL)
    return;
  g_ptr_array_unref (table->order);
  g_hash_table_unref (table->by_id);
  g_free (table);
}

static void
notify (QuinceBatchTable *table, void (*callback) (QuinceBatchEntry *, gpointer), QuinceBatchEntry *entry)
{
  if (callback != NULL)
    callback (entry, table->user_data);
}

static void
apply_submit (QuinceBatchTable *table, guint64 index, QuinceBatchJob *submitted, const char *tenant)
{
  if (g_hash_table_contains (table->by_id, submitted->id))
    return;
  QuinceBatchEntry *entry = g_new0 (QuinceBatchEntry, 1);
  /* Moves the job out of the record, so that freeing the record does not free it. */
  entry->batch = g_memdup2 (submitted, sizeof *submitted);
  *submitted = (QuinceBatchJob){ 0 };
  entry->tenant = g_strdup (tenant);
  entry->results = g_ptr_array_new_with_free_func (encoded_result_free);
  entry->has_result = g_new0 (gboolean, entry->batch->items.items_len);
  entry->indexes = g_array_new (FALSE, FALSE, sizeof (guint64));
  g_array_append_val (entry->indexes, index);
  g_hash_table_insert (table->by_id, entry->batch->id, entry);
  g_ptr_array_add (table->order, entry);
  notify (table, table->callbacks->submitted, entry);
}

/* Takes ownership of @body. */
static void
add_result (QuinceBatchTable *table, guint64 index, const char *batch_id, guint item, GBytes *body)
{
  g_autoptr (GBytes) owned = body;
  QuinceBatchEntry *entry = g_hash_table_lookup (table->by_id, batch_id);
  if (entry == NULL)
    return;
  g_array_append_val (entry->indexes, index);
  if (item >= entry->batch->items.items_len || entry->has_result[item])
    return;
  entry->has_result[item] = TRUE;
  QuinceEncodedResult *encoded_result = g_new0 (QuinceEncodedResult, 1);
  encoded_result->item = item;
  encoded_result->body = g_steal_pointer (&owned);
  g_ptr_array_add (entry->results, encoded_result);
  notify (table, table->callbacks->result_added, entry);
}

/* Applies a RESULT record, which logs of earlier versions hold.  Newer versions write LISTED records, whose
 * result stays encoded until a caller reads it. */
static void
apply_result (QuinceBatchTable *table, guint64 index, const QuinceBatchResult *result)
{
  add_result (table, index, result->batch, result->item, quince_batch_result_encode (result, NULL));
}

static void
apply_end (QuinceBatchTable *table, guint64 index, const QuinceBatchRecord *record)
{
  QuinceBatchEntry *entry = g_hash_table_lookup (table->by_id, record->QuinceBatchRecord_u.ended);
  if (entry == NULL)
    return;
  g_array_append_val (entry->indexes, index);
  if (entry->ended)
    return;
  entry->ended = TRUE;
  notify (table, table->callbacks->ended, entry);
}

static void
apply_forget (QuinceBatchTable *table, const QuinceBatchRecord *record)
{
  QuinceBatchEntry *entry = g_hash_table_lookup (table->by_id, record->QuinceBatchRecord_u.forget.batch);
  if (entry == NULL)
    return;
  notify (table, table->callbacks->forgotten, entry);
  g_ptr_array_remove (table->order, entry);
  g_hash_table_remove (table->by_id, entry->batch->id);
}

void
quince_batch_table_apply (QuinceBatchTable *table, guint64 index, QuinceBatchRecord *record)
{
  switch (record->kind)
    {
    case QUINCE_BATCH_RECORD_SUBMIT:
      apply_submit (table, index, &record->QuinceBatchRecord_u.submit, "");
      break;
    case QUINCE_BATCH_RECORD_SUBMIT_OF_TENANT:
      apply_submit (table, index, &record->QuinceBatchRecord_u.submit_of_tenant.batch,
                    record->QuinceBatchRecord_u.submit_of_tenant.tenant);
      break;
    case QUINCE_BATCH_RECORD_RESULT:
      apply_result (table, index, &record->QuinceBatchRecord_u.result);
      break;
    case QUINCE_BATCH_RECORD_LISTED:
      {
        QuinceListedResult *listed = &record->QuinceBatchRecord_u.listed;
        GBytes *body = g_bytes_new_take (g_steal_pointer (&listed->body.body_val), listed->body.body_len);
        listed->body.body_len = 0;
        add_result (table, index, listed->batch, listed->item, body);
        break;
      }
    case QUINCE_BATCH_RECORD_END:
      apply_end (table, index, record);
      break;
    case QUINCE_BATCH_RECORD_FORGET:
      apply_forget (table, record);
      break;
    case QUINCE_BATCH_RECORD_USAGE:
    case QUINCE_BATCH_RECORD_USAGE_CLOSED:
    case QUINCE_BATCH_RECORD_USAGE_SENT:
      break; /* QuinceUsageAggregator applies these */
    case QUINCE_BATCH_RECORD_ORDERS:
      break; /* QuinceOrderHistory reads these */
    }
  quince_batch_record_free (record);
}

QuinceBatchEntry *
quince_batch_table_find (QuinceBatchTable *table, const char *batch_id)
{
  return g_hash_table_lookup (table->by_id, batch_id);
}

guint
quince_batch_table_get_size (const QuinceBatchTable *table)
{
  return table->order->len;
}

GPtrArray *
quince_batch_table_list (QuinceBatchTable *table)
{
  GPtrArray *list = g_ptr_array_sized_new (table->order->len);
  for (guint i = 0; i < table->order->len; i++)
    g_ptr_array_add (list, table->order->pdata[i]);
  return list;
}

gboolean
quince_batch_entry_is_visible (const QuinceBatchEntry *entry, const char *tenant)
{
  return *entry->tenant == '\0' || g_str_equal (entry->tenant, tenant);
}

gint
quince_batch_entry_find_item (const QuinceBatchEntry *entry, const char *item_id)
{
  for (guint i = 0; i < entry->batch->items.items_len; i++)
    if (g_str_equal (entry->batch->items.items_val[i].id, item_id))
      return (gint)i;
  return -1;
}

/* Returns whether each item has a result or is in @ready_items, by item index. */
static gboolean *
list_ready_items (const QuinceBatchEntry *entry, const GArray *ready_items)
{
  guint n_items = entry->batch->items.items_len;
  gboolean *is_ready = g_memdup2 (entry->has_result, n_items * sizeof *is_ready);
  for (guint i = 0; i < ready_items->len; i++)
    if (g_array_index (ready_items, guint, i) < n_items)
      is_ready[g_array_index (ready_items, guint, i)] = TRUE;
  return is_ready;
}

guint
quince_batch_entry_count_complete_groups (const QuinceBatchEntry *entry, const GArray *ready_items)
{
  g_autofree gboolean *is_ready = list_ready_items (entry, ready_items);
  g_autoptr (GHashTable) groups = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) incomplete_groups = g_hash_table_new (g_str_hash, g_str_equal);
  guint n_single_items = 0;
  for (guint i = 0; i < entry->batch->items.items_len; i++)
    {
      char *group = entry->batch->items.items_val[i].group;
      if (*group == '\0') /* a group of its own */
        n_single_items += is_ready[i];
      else
        g_hash_table_add (is_ready[i] ? groups : incomplete_groups, group);
    }
  GHashTableIter iter;
  gpointer group;
  g_hash_table_iter_init (&iter, incomplete_groups);
  while (g_hash_table_iter_next (&iter, &group, NULL))
    g_hash_table_remove (groups, group);
  return n_single_items + g_hash_table_size (groups);
}
