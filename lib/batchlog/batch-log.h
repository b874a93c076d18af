/*
 * batch-log.h: the log of the batch ledger on one machine's disk (SQLite).
 *
 * Each append is one synchronous commit: when it returns, its records survive a loss of power.  An index that
 * is appended again with another epoch replaces that record and all after it.  The replica id is random and
 * made with the file: an empty disk is another replica.
 */
#pragma once

#include "protocol/codec.h"
#include "core/group/ledger-kept.h"

G_BEGIN_DECLS

typedef struct _QuinceBatchLog QuinceBatchLog;

/* A file that cannot be read as a log is put aside as if the disk were empty; @was_empty tells. */
QuinceBatchLog *quince_batch_log_open (const char *folder, gboolean *was_empty, GError **error);
void quince_batch_log_close (QuinceBatchLog *log);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceBatchLog, quince_batch_log_close)

guint64 quince_batch_log_get_replica (const QuinceBatchLog *log);
guint64 quince_batch_log_get_last_index (const QuinceBatchLog *log);
const QuinceLedgerKept *quince_batch_log_get_kept (const QuinceBatchLog *log);
/* Writes what differs; when it returns, that survives a loss of power. */
gboolean quince_batch_log_keep (QuinceBatchLog *log, const QuinceLedgerKept *kept, GError **error);
/* 0 where no record has that index. */
guint64 quince_batch_log_get_epoch (QuinceBatchLog *log, guint64 index);
/* The greatest index known to be committed, as last kept; it may lag. */
guint64 quince_batch_log_get_commit (const QuinceBatchLog *log);

/* Appends @entries, cuts what lies beyond @end_index and keeps @commit.  @reset: drop all records first. */
gboolean quince_batch_log_append (QuinceBatchLog *log,
                                  const QuinceLogEntry *entries,
                                  guint n_entries,
                                  gboolean reset,
                                  guint64 end_index,
                                  guint64 commit,
                                  GError **error);
/* Empties the records at @indexes: their batch is forgotten. */
gboolean
quince_batch_log_blank (QuinceBatchLog *log, const guint64 *indexes, guint n_indexes, GError **error);
/**
 * quince_batch_log_compact:
 * @compacted: (inout): index up to which the log was already looked at; 0 at first and after a reset
 * @max_records: records to look at in this call
 *
 * Empties the records of the batches that committed records forget.  May be called anew over the same
 * records.
 */
gboolean
quince_batch_log_compact (QuinceBatchLog *log, guint64 *compacted, guint max_records, GError **error);

/* Called for each record; @record lives until the return.  Returning %FALSE ends the walk. */
typedef gboolean (*QuinceBatchLogVisit) (const QuinceLogEntry *entry, gpointer user_data);
gboolean quince_batch_log_walk (QuinceBatchLog *log,
                                guint64 first_index,
                                QuinceBatchLogVisit visit,
                                gpointer user_data,
                                GError **error);

G_END_DECLS
