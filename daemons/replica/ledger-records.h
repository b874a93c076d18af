/*
 * ledger-records.h: the leader's records: appending, writing to disk, committing and delivery.
 *
 * Holds the records that are not written or not delivered yet, and reads the log when this replica becomes
 * leader.  Does nothing while this replica does not lead.  All functions must be called in the main context.
 */
#pragma once

#include "ledger-storage.h"

typedef struct _QuinceLedgerRecords QuinceLedgerRecords;

/**
 * QuinceLedgerRecordsCallbacks:
 * @committed: a record is committed; called in log order. @record: (transfer full)
 * @written: records were written to this disk and may be sent to backups
 * @recovered: the log was read; committed() was called for each of its records
 */
typedef struct
{
  void (*committed) (guint64 index, QuinceBatchRecord *record, gpointer user_data);
  void (*written) (gpointer user_data);
  void (*recovered) (gpointer user_data);
} QuinceLedgerRecordsCallbacks;

/* @storage, @group and @callbacks are borrowed and must outlive the records. */
QuinceLedgerRecords *quince_ledger_records_new (QuinceLedgerStorage *storage,
                                                QuinceLedgerGroup *group,
                                                const QuinceLedgerRecordsCallbacks *callbacks,
                                                gpointer user_data);
void quince_ledger_records_free (QuinceLedgerRecords *records);

/* Starts to lead @epoch: writes the first, empty record of the epoch. */
void quince_ledger_records_start_leading (QuinceLedgerRecords *records, guint64 epoch);
/* Stops leading: drops uncommitted records from memory.  Returns: whether reading of the log had started or
 * finished */
gboolean quince_ledger_records_stop_leading (QuinceLedgerRecords *records);

/* Appends a record.  It is written together with the other records of the same main loop iteration.  Returns:
 * its index, or 0 if the log is not read yet or the record cannot be encoded, which is logged */
guint64 quince_ledger_records_append (QuinceLedgerRecords *records, const QuinceBatchRecord *record);
/* Delivers committed records, and starts to read the log once this replica may answer.  Must be called
 * whenever the commit index may have grown. */
void quince_ledger_records_advance (QuinceLedgerRecords *records);

/* Returns the epoch that this replica leads, or 0 if it does not lead. */
guint64 quince_ledger_records_get_epoch (const QuinceLedgerRecords *records);
/* Returns %TRUE if this replica is the leader and has read its log. */
gboolean quince_ledger_records_is_recovered (const QuinceLedgerRecords *records);
