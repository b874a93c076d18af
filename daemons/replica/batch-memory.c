/*
 * batch-memory.c: the leader's account of the memory that callers' batches hold.
 */
#include "batch-memory.h"

#include "core/batches/batch-size.h"
#include "http1/answer-budget.h"
#include "runtime/clock.h"
#include "runtime/metrics.h"

#include "../daemon-settings.h"

/* Memory of the process without batches and answers: tables, links and the progress of samples of the largest
 * deployments, the cache of results, and what freed memory costs until it is used again, bytes. */
#define PROCESS_BYTES (40 * QUINCE_BYTES_PER_MB)
/* Batches may hold this part of the rest.  The other part is for the copies of one batch that is being read,
 * written and sent to the backups. */
#define BATCHES_SHARE 0.7

struct _QuinceBatchMemory
{
  /* All fields belong to the main context. */
  QuinceMemoryAccount *account;
  GHashTable *holds; /* batch id to QuinceMemoryHold, both owned */
};

QuinceBatchMemory *
quince_batch_memory_new (const QuinceSettings *settings)
{
  QuinceBatchMemory *memory = g_new0 (QuinceBatchMemory, 1);
  double memory_mb = quince_settings_get_number (settings, "limits", "memory");
  guint64 limit_bytes = quince_memory_account_compute_limit (
      (guint64)(memory_mb * QUINCE_BYTES_PER_MB), PROCESS_BYTES + QUINCE_ANSWER_BUDGET_BYTES, BATCHES_SHARE);
  memory->account = quince_memory_account_new (limit_bytes);
  memory->holds
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)quince_memory_hold_free);
  return memory;
}

void
quince_batch_memory_free (QuinceBatchMemory *memory)
{
  if (memory == NULL)
    return;
  g_hash_table_unref (memory->holds);
  quince_memory_account_free (memory->account);
  g_free (memory);
}

QuinceMemoryHold *
quince_batch_memory_admit_frame (QuinceBatchMemory *memory, gsize bytes)
{
  g_autoptr (QuinceMemoryHold) hold = quince_memory_hold_new (memory->account, NULL, NULL);
  return quince_memory_hold_reserve (hold, bytes, quince_now_us ()) ? g_steal_pointer (&hold) : NULL;
}

/* Bytes outside the table. */
typedef struct
{
  gpointer data;
  QuinceMemoryHold *hold;
} AccountedCopy;

static void
accounted_copy_free (gpointer data)
{
  AccountedCopy *copy = data;
  g_free (copy->data);
  quince_memory_hold_free (copy->hold);
  g_free (copy);
}

GBytes *
quince_batch_memory_copy (QuinceBatchMemory *memory, gconstpointer data, gsize length)
{
  QuinceMemoryHold *hold = quince_batch_memory_admit_frame (memory, length);
  if (hold == NULL)
    return NULL;
  AccountedCopy *copy = g_new0 (AccountedCopy, 1);
  copy->hold = hold;
  copy->data = g_memdup2 (data, length);
  return g_bytes_new_with_free_func (copy->data, length, accounted_copy_free, copy);
}

gboolean
quince_batch_memory_reserve (QuinceBatchMemory *memory, const QuinceBatchJob *batch)
{
  QuinceMemoryHold *hold = quince_memory_hold_new (memory->account, NULL, NULL);
  g_hash_table_replace (memory->holds, g_strdup (batch->id), hold);
  if (quince_memory_hold_reserve (hold, quince_batch_estimate_bytes (batch), quince_now_us ()))
    return TRUE;
  quince_batch_memory_forget (memory, batch->id);
  return FALSE;
}

void
quince_batch_memory_record_batch (QuinceBatchMemory *memory, const QuinceBatchJob *batch)
{
  if (g_hash_table_contains (memory->holds, batch->id))
    return;
  QuinceMemoryHold *hold = quince_memory_hold_new (memory->account, NULL, NULL);
  quince_memory_hold_set (hold, quince_batch_estimate_bytes (batch));
  g_hash_table_insert (memory->holds, g_strdup (batch->id), hold);
}

void
quince_batch_memory_record_result (QuinceBatchMemory *memory, const char *id, gsize bytes)
{
  QuinceMemoryHold *hold = g_hash_table_lookup (memory->holds, id);
  if (hold != NULL)
    quince_memory_hold_set (hold, quince_memory_hold_get_bytes (hold) + bytes);
}

void
quince_batch_memory_forget (QuinceBatchMemory *memory, const char *id)
{
  g_hash_table_remove (memory->holds, id);
}

void
quince_batch_memory_clear (QuinceBatchMemory *memory)
{
  g_hash_table_remove_all (memory->holds);
}

void
quince_batch_memory_set_metrics (const QuinceBatchMemory *memory)
{
  quince_metric_set ("quince_replica_batch_memory_bytes", "",
                     (double)quince_memory_account_get_held (memory->account));
  quince_metric_set ("quince_replica_batch_memory_limit_bytes", "",
                     (double)quince_memory_account_get_limit (memory->account));
}
