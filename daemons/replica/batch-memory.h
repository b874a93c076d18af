/*
 * batch-memory.h: the leader's account of the memory that callers' batches hold.
 *
 * The frames of submissions count while they arrive and are read, and each batch from its acceptance until it
 * is forgotten, with its results.  Batches of a log that a new leader reads count whether there is room or
 * not.
 */
#pragma once

#include "core/batches/batch-table.h"
#include "runtime/memory-account.h"
#include "runtime/settings.h"

G_BEGIN_DECLS

typedef struct _QuinceBatchMemory QuinceBatchMemory;

/* Reads the settings of [limits]. */
QuinceBatchMemory *quince_batch_memory_new (const QuinceSettings *settings);
void quince_batch_memory_free (QuinceBatchMemory *memory);
/* Returns: (transfer full) (nullable): a hold for a frame of @bytes, or %NULL if there is no room */
QuinceMemoryHold *quince_batch_memory_admit_frame (QuinceBatchMemory *memory, gsize bytes);
/* Returns: (transfer full) (nullable): a copy of @data that counts for as long as anything refers to it, or
 * %NULL if there is no room */
GBytes *quince_batch_memory_copy (QuinceBatchMemory *memory, gconstpointer data, gsize length);
/* Reserves memory for a batch that is about to be accepted.  Returns %FALSE if there is no room. */
gboolean quince_batch_memory_reserve (QuinceBatchMemory *memory, const QuinceBatchJob *batch);
/* A batch is in the table. */
void quince_batch_memory_record_batch (QuinceBatchMemory *memory, const QuinceBatchJob *batch);
/* The batch @id has a further result of @bytes. */
void quince_batch_memory_record_result (QuinceBatchMemory *memory, const char *id, gsize bytes);
/* The batch @id, whether accepted or not, is in memory no more. */
void quince_batch_memory_forget (QuinceBatchMemory *memory, const char *id);
/* Forgets all batches. */
void quince_batch_memory_clear (QuinceBatchMemory *memory);
void quince_batch_memory_set_metrics (const QuinceBatchMemory *memory);

G_END_DECLS
