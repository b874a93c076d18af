/*
 * ledger-storage.h: what a replica of the ledger keeps on its disk: the log and its promises.
 *
 * Owns the batch log and the state of its compaction.  Relies on the group for the promises to keep, and
 * tells it where the log ends after each append.  Blocks until the disk has taken each write: a message that
 * follows from a write is sent after the call returns.  All calls belong to the main context.
 */
#pragma once

#include "batchlog/batch-log.h"
#include "core/group/ledger-group.h"

typedef struct _QuinceLedgerStorage QuinceLedgerStorage;

/**
 * quince_ledger_storage_open:
 * @folder: existing
 * @was_empty: (out): no replica has written here before
 *
 * Returns: (transfer full) (nullable): %NULL with @error where the disk cannot be used
 */
QuinceLedgerStorage *quince_ledger_storage_open (const char *folder, gboolean *was_empty, GError **error);
void quince_ledger_storage_close (QuinceLedgerStorage *storage);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLedgerStorage, quince_ledger_storage_close)

/* To be called once, before any write. @group: borrowed, must outlive the storage */
void quince_ledger_storage_set_group (QuinceLedgerStorage *storage, QuinceLedgerGroup *group);
/* (transfer none): to be read only; writes go through the storage */
QuinceBatchLog *quince_ledger_storage_get_log (const QuinceLedgerStorage *storage);
/* Epoch and index of the last record. */
QuinceLogEnd quince_ledger_storage_get_log_end (const QuinceLedgerStorage *storage);

/* As quince_batch_log_append(). */
gboolean quince_ledger_storage_append (QuinceLedgerStorage *storage,
                                       const QuinceLogEntry *entries,
                                       guint n_entries,
                                       gboolean reset,
                                       guint64 end_index,
                                       guint64 commit_index,
                                       GError **error);
/**
 * quince_ledger_storage_save_state:
 * @operation: what the promises are kept for, for the log line of a failure
 *
 * Writes the promises, notes and orders of the group that differ from those on the disk.
 *
 * Returns: %FALSE, logged: the disk refused; nothing that follows from them may be sent
 */
gboolean quince_ledger_storage_save_state (QuinceLedgerStorage *storage, const char *operation);
/* The same; ends the process where the disk refuses, since a replica that cannot keep its own promise must
 * not lead. */
void quince_ledger_storage_save_state_or_abort (QuinceLedgerStorage *storage);
/* Gives back the space of forgotten batches, some records at a time; to be called several times a second. */
void quince_ledger_storage_compact (QuinceLedgerStorage *storage, gint64 now_us);
