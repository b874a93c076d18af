/*
 * batch-log.h: the log of the batch ledger on one machine's disk (SQLite).
 *
 * Each append is one synchronous transaction: once it returns, its records survive a power failure.  A record
 * appended at an index that is in use with another epoch replaces the record there and removes all later
 * ones; with the same epoch, the stored record stays.  The replica id is random and created with the file, so
 * that a replica with a new disk gets a new id.
 *
 * Only one process may open the database file.  Each @error means that the file cannot be opened, read or
 * written, and carries SQLite's message.  Its domain and code are private: callers do not distinguish these
 * failures.
 */
#pragma once

#include "protocol/codec.h"
#include "core/group/ledger-persistent-state.h"

G_BEGIN_DECLS

typedef struct _QuinceBatchLog QuinceBatchLog;

/**
 * quince_batch_log_open:
 * @folder: an existing folder
 * @was_empty: (out): %TRUE if the file had no replica id yet, so that a new one was created
 *
 * Opens the log, or creates it if there is none.  If the file cannot be opened, logs the error, removes the
 * file and creates an empty log.
 *
 * Returns: (transfer full) (nullable): the log, or %NULL with @error
 */
QuinceBatchLog *quince_batch_log_open (const char *folder, gboolean *was_empty, GError **error);
void quince_batch_log_close (QuinceBatchLog *log);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceBatchLog, quince_batch_log_close)

guint64 quince_batch_log_get_replica_id (const QuinceBatchLog *log);
guint64 quince_batch_log_get_last_index (const QuinceBatchLog *log);
const QuinceLedgerPersistentState *quince_batch_log_get_persistent_state (const QuinceBatchLog *log);
/* Writes the numbers that differ from the stored ones.  Once it returns, they survive a power failure. */
gboolean quince_batch_log_save_persistent_state (QuinceBatchLog *log,
                                                 const QuinceLedgerPersistentState *state,
                                                 GError **error);
/* Returns the epoch of the record at @index, or 0 if there is none or it cannot be read. */
guint64 quince_batch_log_get_epoch (QuinceBatchLog *log, guint64 index);
/* Returns the commit index passed to the last quince_batch_log_append(). */
guint64 quince_batch_log_get_commit_index (const QuinceBatchLog *log);

/**
 * quince_batch_log_append:
 * @reset: whether to remove all records first
 * @end_index: last index of the log after the call; later records are removed
 * @commit_index: highest index known to be committed, stored with the records
 *
 * Appends @entries in one transaction.
 *
 * Returns: %TRUE, or %FALSE with @error if nothing has changed
 */
gboolean quince_batch_log_append (QuinceBatchLog *log,
                                  const QuinceLogEntry *entries,
                                  guint n_entries,
                                  gboolean reset,
                                  guint64 end_index,
                                  guint64 commit_index,
                                  GError **error);
/* Clears the contents of the records at @indexes; the records keep their indexes and epochs. */
gboolean
quince_batch_log_clear_records (QuinceBatchLog *log, const guint64 *indexes, guint n_indexes, GError **error);
/**
 * quince_batch_log_compact:
 * @compacted_index: (inout): last index already searched for FORGET records; 0 at first and after a reset
 * @max_records: maximum number of records to read in this call
 *
 * Clears the records that committed FORGET records list.  Searching the same records again is harmless.
 */
gboolean
quince_batch_log_compact (QuinceBatchLog *log, guint64 *compacted_index, guint max_records, GError **error);

/* Records of this size are shared with those that send them. */
#define QUINCE_LARGE_RECORD_BYTES (512 * 1024)

/* Called for each record in index order.  @entry is valid until the function returns.  Returns %FALSE to
 * stop, which is not an error. */
typedef gboolean (*QuinceBatchLogForeachFunc) (const QuinceLogEntry *entry, gpointer user_data);
/* Calls @func for each record from @first_index on. */
gboolean quince_batch_log_foreach (QuinceBatchLog *log,
                                   guint64 first_index,
                                   QuinceBatchLogForeachFunc func,
                                   gpointer user_data,
                                   GError **error);
/* Returns: (transfer full): the record of @entry, a copy that calls for the same entry share while it is in
 * use, so that a large record that goes to several backups is in memory once */
GBytes *quince_batch_log_share_record (QuinceBatchLog *log, const QuinceLogEntry *entry);
/* Returns: (transfer full) (nullable): the record at @index if it is in use outside the log, with its @epoch
 */
GBytes *quince_batch_log_find_shared (const QuinceBatchLog *log, guint64 index, guint64 *epoch);

G_END_DECLS
