/*
 * ledger-backup.h: one backup's link, at the leader: what it lacks, and the sending of it.
 *
 * Owns the reference to the link and the send window.  Relies on the log for the records to send.  All calls
 * belong to the main context.
 */
#pragma once

#include "batchlog/batch-log.h"
#include "core/group/ledger-group.h"
#include "core/group/send-window.h"
#include "runtime/link.h"

/**
 * QuinceLedgerBackup:
 * @link: owned reference
 * @node: owned: name of its machine
 * @replica: its id
 * @serial: no two links have the same one; never 0
 * @next_index: of the next record to send
 * @needs_reset: no record that it has is of use: the next append replaces all
 * @receives_records: records are sent to it; others get heartbeats alone
 * @has_records: it has records, or had some when it introduced itself
 * @window: owned: records on their way
 */
typedef struct
{
  QuinceLink *link;
  char *node;
  guint64 replica;
  guint64 serial;
  guint64 next_index;
  gboolean needs_reset;
  gboolean receives_records;
  gboolean has_records;
  QuinceSendWindow *window;
} QuinceLedgerBackup;

/* The replica that introduced itself by @hello on @link; it is sent the records of @log from the point on
 * where its own log differs. */
QuinceLedgerBackup *quince_ledger_backup_new (QuinceLink *link,
                                              const QuinceLedgerHello *hello,
                                              guint64 serial,
                                              QuinceBatchLog *log);
void quince_ledger_backup_free (QuinceLedgerBackup *backup);

/**
 * quince_ledger_backup_send:
 * @epoch: that this replica leads
 * @commit_index: of the leader
 * @heartbeat: send a message also where there is no record to send
 *
 * Sends the next chunk of what the backup lacks, if it receives records and its window is open.
 */
void quince_ledger_backup_send (QuinceLedgerBackup *backup,
                                QuinceBatchLog *log,
                                guint64 epoch,
                                guint64 commit_index,
                                gboolean heartbeat);
/* Orders a backup that may hold no records to drop all that it has. @now_us: sent along, and echoed */
void quince_ledger_backup_clear_records (QuinceLedgerBackup *backup, guint64 epoch, gint64 now_us);
