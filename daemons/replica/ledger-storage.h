/*
 * ledger-storage.h: what a ledger replica stores on disk: its log and the persistent state of its group.
 *
 * The storage owns the log, compacts it, and reports its end to the ledger group.  Writes block until the
 * data is on disk, so messages that depend on a write may be sent after the call returns.  All functions must
 * be called in the main context.
 */
#pragma once

#include "batchlog/batch-log.h"
#include "core/group/ledger-group.h"
#include "core/group/order-history.h"

typedef struct _QuinceLedgerStorage QuinceLedgerStorage;

/**
 * quince_ledger_storage_open:
 * @folder: an existing folder
 * @order_pause_us: see quince_order_history_new()
 * @was_empty: (out): %TRUE if the log had no replica id yet, so that a new one was created
 *
 * Returns: (transfer full) (nullable): the storage, or %NULL with @error if the log cannot be opened
 */
QuinceLedgerStorage *
quince_ledger_storage_open (const char *folder, gint64 order_pause_us, gboolean *was_empty, GError **error);
void quince_ledger_storage_close (QuinceLedgerStorage *storage);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLedgerStorage, quince_ledger_storage_close)

/* Sets the group.  Must be called once, before any write.  @group: borrowed, must outlive the storage */
void quince_ledger_storage_set_group (QuinceLedgerStorage *storage, QuinceLedgerGroup *group);
/* Returns: (transfer none): the log, for reading only; writes must go through the storage */
QuinceBatchLog *quince_ledger_storage_get_log (const QuinceLedgerStorage *storage);
/* Returns: (transfer none): the times at which parts of the log were received, and its order records */
QuinceOrderHistory *quince_ledger_storage_get_order_history (const QuinceLedgerStorage *storage);
/* Returns the epoch and the index of the last record. */
QuinceLogEnd quince_ledger_storage_get_log_end (const QuinceLedgerStorage *storage);

/* Same as quince_batch_log_append(), reports the new end of the log to the group, and notes the time of
 * receipt in the order history. */
gboolean quince_ledger_storage_append (QuinceLedgerStorage *storage,
                                       const QuinceLogEntry *entries,
                                       guint n_entries,
                                       gboolean reset,
                                       guint64 end_index,
                                       guint64 commit_index,
                                       GError **error);
/**
 * quince_ledger_storage_save_state:
 * @operation: what the state is saved for, logged if the write fails
 *
 * Writes the values of the group's persistent state that differ from those on disk.
 *
 * Returns: %FALSE if the write failed, which is logged; no message that depends on the state may then be sent
 */
gboolean quince_ledger_storage_save_state (QuinceLedgerStorage *storage, const char *operation);
/* Same as quince_ledger_storage_save_state(), but aborts the process if the write fails: a replica that
 * cannot save its own promise must not lead. */
void quince_ledger_storage_save_state_or_abort (QuinceLedgerStorage *storage);
/* Clears records of forgotten batches, a limited number at a time.  Must be called several times a second. */
void quince_ledger_storage_compact (QuinceLedgerStorage *storage, gint64 now_us);
