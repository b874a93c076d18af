/*
 * batch-table.h: batches, their items and listed results, as the records of the ledger give them.
 *
 * The same records in the same order give the same book.  The position of a result never changes, and a
 * record that is applied twice changes nothing.
 *
 * For: each replica.  Owns: the batches.  Relies on: the order of the ledger; pure.
 */
#pragma once

#include "protocol/codec.h"

G_BEGIN_DECLS

/* A result at its position. */
typedef struct
{
  guint item;   /* place among the items of the batch */
  GBytes *body; /* owned: quince_batch_result_unpack() decodes it */
} QuinceEncodedResult;

typedef struct
{
  QuinceBatchJob *batch; /* owned */
  char *tenant;          /* who submitted it; "": the deployment knows no tenants, or its route is public */
  gboolean ended;
  GPtrArray *results;   /* QuinceEncodedResult, owned, by position */
  gboolean *has_result; /* by item */
  GArray *indexes;      /* guint64: log records that speak of this batch */
  gpointer owner_data;  /* the owner's; cleared by its callbacks */
} QuinceBatchEntry;

typedef struct _QuinceBatchTable QuinceBatchTable;

/**
 * QuinceBatchTableCallbacks: what a record changed; each is nullable
 * @submitted: a new batch
 * @listed: the result at the last position of the batch is new
 * @ended: its submitter ended it
 * @forgotten: it is about to be released
 */
typedef struct
{
  void (*submitted) (QuinceBatchEntry *entry, gpointer user_data);
  void (*listed) (QuinceBatchEntry *entry, gpointer user_data);
  void (*ended) (QuinceBatchEntry *entry, gpointer user_data);
  void (*forgotten) (QuinceBatchEntry *entry, gpointer user_data);
} QuinceBatchTableCallbacks;

QuinceBatchTable *quince_batch_table_new (const QuinceBatchTableCallbacks *callbacks, gpointer user_data);
void quince_batch_table_free (QuinceBatchTable *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceBatchTable, quince_batch_table_free)
/* (transfer full): @record; takes the record at @index of the log in. */
void quince_batch_table_apply (QuinceBatchTable *table, guint64 index, QuinceBatchRecord *record);
QuinceBatchEntry *quince_batch_table_find (QuinceBatchTable *table, const char *batch_id);
guint quince_batch_table_get_size (const QuinceBatchTable *table);
/* (transfer container): all entries, in order of their submission. */
GPtrArray *quince_batch_table_list (QuinceBatchTable *table);
/* The place of the item of that id, or -1. */
gint quince_batch_entry_find_item (const QuinceBatchEntry *entry, const char *item_id);

G_END_DECLS
