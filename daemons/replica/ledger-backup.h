/*
 * ledger-backup.h: the leader's connection to one backup, and the records to send on it.
 *
 * A backup owns a reference to its link and its send window.  All functions must be called in the main
 * context.
 */
#pragma once

#include "batchlog/batch-log.h"
#include "core/group/ledger-group.h"
#include "core/group/send-window.h"
#include "runtime/link.h"

/**
 * QuinceLedgerBackup:
 * @link: owned reference
 * @node: (owned): name of the backup's machine
 * @replica: replica id of the backup
 * @serial: greater than 0 and unique among the links of this process
 * @next_index: index of the next record to send
 * @needs_reset: the next append orders the backup to remove its whole log first
 * @receives_records: whether records are sent to the backup; if not, it gets heartbeats only
 * @has_records: whether the backup may have records: its log was not empty when it connected, or records were
 *   sent to it since
 * @progress_offered: the backup has offered the progress of samples that it has, perhaps none
 * @window: (owned): records in flight
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
  gboolean progress_offered;
  QuinceSendWindow *window;
} QuinceLedgerBackup;

/* Creates the backup that sent @hello on @link.  Sending starts at the first index at which its log may
 * differ from @log. */
QuinceLedgerBackup *quince_ledger_backup_new (QuinceLink *link,
                                              const QuinceLedgerHello *hello,
                                              guint64 serial,
                                              QuinceBatchLog *log);
void quince_ledger_backup_free (QuinceLedgerBackup *backup);

/**
 * quince_ledger_backup_send:
 * @epoch: epoch of this leader
 * @commit_index: commit index of this leader
 * @sendable_index: index of the last record that may be sent
 * @heartbeat: whether to send a message even if there is no record to send
 *
 * Sends the next chunk of records that the backup does not have, if it receives records and its send window
 * is open.
 */
void quince_ledger_backup_send (QuinceLedgerBackup *backup,
                                QuinceBatchLog *log,
                                guint64 epoch,
                                guint64 commit_index,
                                guint64 sendable_index,
                                gboolean heartbeat);
/* Orders a backup that may not store records to remove its whole log.  @now_us: send time, returned in the
 * acknowledgement */
void quince_ledger_backup_clear_records (QuinceLedgerBackup *backup, guint64 epoch, gint64 now_us);
