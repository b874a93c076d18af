/*
 * ledger-storage.c: the log and the persistent state of one replica, on disk.
 */
#include "ledger-storage.h"

#include <stdlib.h>

#include "runtime/clock.h"
#include "runtime/log.h"

/* Interval of compactions, us.  A delay of seconds only costs disk space. */
#define COMPACT_INTERVAL_US (5 * G_USEC_PER_SEC)
/* Maximum number of records that one compaction reads, since it blocks the main context. */
#define COMPACT_RECORDS_MAX 500

struct _QuinceLedgerStorage
{
  QuinceBatchLog *log;
  QuinceOrderHistory *orders;
  QuinceLedgerGroup *group;     /* borrowed */
  guint64 last_compacted_index; /* last index that was searched for FORGET records; 0: none */
  gint64 last_compaction_us;    /* when the last compaction ran */
};

QuinceLedgerStorage *
quince_ledger_storage_open (const char *folder, gint64 order_pause_us, gboolean *was_empty, GError **error)
{
  QuinceBatchLog *log = quince_batch_log_open (folder, was_empty, error);
  if (log == NULL)
    return NULL;
  QuinceLedgerStorage *storage = g_new0 (QuinceLedgerStorage, 1);
  storage->log = log;
  storage->orders = quince_order_history_new (quince_now_us (), order_pause_us);
  return storage;
}

void
quince_ledger_storage_close (QuinceLedgerStorage *storage)
{
  if (storage == NULL)
    return;
  quince_batch_log_close (storage->log);
  quince_order_history_free (storage->orders);
  g_free (storage);
}

QuinceBatchLog *
quince_ledger_storage_get_log (const QuinceLedgerStorage *storage)
{
  return storage->log;
}

QuinceOrderHistory *
quince_ledger_storage_get_order_history (const QuinceLedgerStorage *storage)
{
  return storage->orders;
}

QuinceLogEnd
quince_ledger_storage_get_log_end (const QuinceLedgerStorage *storage)
{
  guint64 index = quince_batch_log_get_last_index (storage->log);
  return (QuinceLogEnd){ .epoch = quince_batch_log_get_epoch (storage->log, index), .index = index };
}

static void
update_log_end (QuinceLedgerStorage *storage)
{
  const QuinceLogEnd end = quince_ledger_storage_get_log_end (storage);
  quince_ledger_group_set_log_end (storage->group, &end);
}

void
quince_ledger_storage_set_group (QuinceLedgerStorage *storage, QuinceLedgerGroup *group)
{
  storage->group = group;
  update_log_end (storage);
}

gboolean
quince_ledger_storage_append (QuinceLedgerStorage *storage,
                              const QuinceLogEntry *entries,
                              guint n_entries,
                              gboolean reset,
                              guint64 end_index,
                              guint64 commit_index,
                              GError **error)
{
  if (!quince_batch_log_append (storage->log, entries, n_entries, reset, end_index, commit_index, error))
    return FALSE;
  if (reset)
    storage->last_compacted_index = 0;
  if (n_entries > 0)
    quince_order_history_record_receipt (storage->orders, quince_now_us (), entries[0].index);
  update_log_end (storage);
  return TRUE;
}

gboolean
quince_ledger_storage_save_state (QuinceLedgerStorage *storage, const char *operation)
{
  g_autoptr (GError) error = NULL;
  if (quince_batch_log_save_persistent_state (
          storage->log, quince_ledger_group_get_persistent_state (storage->group), &error))
    return TRUE;
  quince_log_failure ("ledger_disk_failed", "doing=%s reason=\"%s\"", operation, error->message);
  return FALSE;
}

void
quince_ledger_storage_save_state_or_abort (QuinceLedgerStorage *storage)
{
  if (!quince_ledger_storage_save_state (storage, "keep"))
    abort ();
}

void
quince_ledger_storage_compact (QuinceLedgerStorage *storage, gint64 now_us)
{
  g_autoptr (GError) error = NULL;
  if (now_us - storage->last_compaction_us < COMPACT_INTERVAL_US)
    return;
  storage->last_compaction_us = now_us;
  if (!quince_batch_log_compact (storage->log, &storage->last_compacted_index, COMPACT_RECORDS_MAX, &error))
    quince_log_failure ("ledger_disk_failed", "doing=compact reason=\"%s\"", error->message);
}
