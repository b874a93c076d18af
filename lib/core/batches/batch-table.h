/*
 * batch-table.h: the batches of the ledger, their items and their results, built from the ledger's records.
 *
 * Each replica applies the committed records in log order; the same records always give the same table.  The
 * position of a result in its batch never changes.  A repeated submission, result or end of a batch is
 * ignored.  The table performs no I/O.
 */
#pragma once

#include "protocol/codec.h"

G_BEGIN_DECLS

/* One result of a batch, still encoded. */
typedef struct
{
  guint item;   /* index in the items of the batch */
  GBytes *body; /* owned; decode with quince_batch_result_unpack() */
} QuinceEncodedResult;

typedef struct
{
  QuinceBatchJob *batch; /* owned */
  char *tenant;          /* submitter; "" if the deployment has no tenants or the route is public */
  gboolean ended;
  GPtrArray *results;   /* QuinceEncodedResult, owned, in the order of their records */
  gboolean *has_result; /* whether the item has a result, by item index */
  GArray *indexes;     /* guint64: log indexes of its records, submission first, including repeated results */
  gpointer owner_data; /* for the owner of the table; the table does not access it */
} QuinceBatchEntry;

typedef struct _QuinceBatchTable QuinceBatchTable;

/**
 * QuinceBatchTableCallbacks: called when a record changes a batch; each is nullable
 * @submitted: the batch was added
 * @result_added: a result was appended to the results of the batch
 * @ended: the submitter ended the batch
 * @forgotten: the batch is about to be removed and freed; @entry is valid until the callback returns
 */
typedef struct
{
  void (*submitted) (QuinceBatchEntry *entry, gpointer user_data);
  void (*result_added) (QuinceBatchEntry *entry, gpointer user_data);
  void (*ended) (QuinceBatchEntry *entry, gpointer user_data);
  void (*forgotten) (QuinceBatchEntry *entry, gpointer user_data);
} QuinceBatchTableCallbacks;

/* @callbacks: not copied; must outlive the table */
QuinceBatchTable *quince_batch_table_new (const QuinceBatchTableCallbacks *callbacks, gpointer user_data);
void quince_batch_table_free (QuinceBatchTable *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceBatchTable, quince_batch_table_free)
/* Applies the record at log index @index.  Takes ownership of @record.  Ignores usage records. */
void quince_batch_table_apply (QuinceBatchTable *table, guint64 index, QuinceBatchRecord *record);
/* Returns the batch, owned by the table, or NULL if there is none with this id. */
QuinceBatchEntry *quince_batch_table_find (QuinceBatchTable *table, const char *batch_id);
/* Returns the number of batches. */
guint quince_batch_table_get_size (const QuinceBatchTable *table);
/* (transfer container): Returns all batches (QuinceBatchEntry) in the order of their submission. */
GPtrArray *quince_batch_table_list (QuinceBatchTable *table);
/* Returns how many groups are complete: all their items have a result or are in @ready_items.
 * @ready_items: (element-type guint): item indexes */
guint quince_batch_entry_count_complete_groups (const QuinceBatchEntry *entry, const GArray *ready_items);
/* Returns whether @tenant may see the batch.  One without a tenant is visible to every caller: it was
 * submitted on a public route, or the configuration has no tenants. */
gboolean quince_batch_entry_is_visible (const QuinceBatchEntry *entry, const char *tenant);
/* Returns the index of the item with the id @item_id, or -1 if there is none. */
gint quince_batch_entry_find_item (const QuinceBatchEntry *entry, const char *item_id);

G_END_DECLS
