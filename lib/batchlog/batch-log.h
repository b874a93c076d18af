/*
 * batch-log.h: the log of the batch ledger on one machine's disk (SQLite).
 *
 * Each append is one synchronous commit: when it returns, its records survive a loss of power.  An index that
 * is appended again with another epoch replaces that record and all after it.  The replica id is random and
 * made with the file: an empty disk is another replica.
 *
 * Owns the database file, which one process may open.  Each @error says that the file cannot be opened, read
 * or written, with SQLite's text; its domain and code are private, since no caller tells several failures
 * apart.
 */
#pragma once

#include "protocol/codec.h"
#include "core/group/ledger-kept.h"

G_BEGIN_DECLS

typedef struct _QuinceBatchLog QuinceBatchLog;

/**
 * quince_batch_log_open:
 * @folder: existing
 * @was_empty: (out): the log was created; a file that cannot be read as a log is removed first
 *
 * Returns: (transfer full) (nullable): the log
 */
QuinceBatchLog *quince_batch_log_open (const char *folder, gboolean *was_empty, GError **error);
void quince_batch_log_close (QuinceBatchLog *log);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceBatchLog, quince_batch_log_close)

guint64 quince_batch_log_get_replica_id (const QuinceBatchLog *log);
guint64 quince_batch_log_get_last_index (const QuinceBatchLog *log);
const QuinceLedgerKept *quince_batch_log_get_persistent_state (const QuinceBatchLog *log);
/* Writes the numbers that differ; when it returns, they survive a loss of power. */
gboolean
quince_batch_log_save_persistent_state (QuinceBatchLog *log, const QuinceLedgerKept *state, GError **error);
/* Epoch of the record @index; 0 where there is none. */
guint64 quince_batch_log_get_epoch (QuinceBatchLog *log, guint64 index);
/* The greatest index that was known to be committed when records were last appended. */
guint64 quince_batch_log_get_commit_index (const QuinceBatchLog *log);

/**
 * quince_batch_log_append:
 * @reset: drop all records first
 * @end_index: records beyond it are removed
 * @commit_index: commit index, kept with the records
 *
 * In one transaction: %FALSE: nothing has changed.
 */
gboolean quince_batch_log_append (QuinceBatchLog *log,
                                  const QuinceLogEntry *entries,
                                  guint n_entries,
                                  gboolean reset,
                                  guint64 end_index,
                                  guint64 commit_index,
                                  GError **error);
/* Empties the records at @indexes, whose batch is forgotten; the indexes stay. */
gboolean
quince_batch_log_clear_records (QuinceBatchLog *log, const guint64 *indexes, guint n_indexes, GError **error);
/**
 * quince_batch_log_compact:
 * @compacted_index: (inout): index up to which the log was searched already; 0 at first and after a reset
 * @max_records: records to read in this call
 *
 * Empties the records of the batches that committed records forget.  May be called again over the same
 * records.
 */
gboolean
quince_batch_log_compact (QuinceBatchLog *log, guint64 *compacted_index, guint max_records, GError **error);

/* Called for each record in the order of the log; @entry is valid until the return.  Returning %FALSE ends
 * the walk, which then succeeds. */
typedef gboolean (*QuinceBatchLogForeachFunc) (const QuinceLogEntry *entry, gpointer user_data);
gboolean quince_batch_log_foreach (QuinceBatchLog *log,
                                   guint64 first_index,
                                   QuinceBatchLogForeachFunc func,
                                   gpointer user_data,
                                   GError **error);

G_END_DECLS
