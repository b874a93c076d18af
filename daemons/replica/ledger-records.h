/*
 * ledger-records.h: the records of a leader: appended, written, committed, and delivered to its owner.
 *
 * Owns the records that are not written or not delivered yet, the timer that writes them, and the reading of
 * the log by a new leader.  Relies on the storage for the disk and on the group for the commit index.  Idle
 * while this replica does not lead.  All calls belong to the main context.
 */
#pragma once

#include "ledger-storage.h"

typedef struct _QuinceLedgerRecords QuinceLedgerRecords;

/**
 * QuinceLedgerRecordsCallbacks:
 * @committed: (transfer full): @record, in the order of the log
 * @written: records were written to this disk: backups may be sent them
 * @recovered: the log was read; committed() was called for each of its records
 */
typedef struct
{
  void (*committed) (guint64 index, QuinceBatchRecord *record, gpointer user_data);
  void (*written) (gpointer user_data);
  void (*recovered) (gpointer user_data);
} QuinceLedgerRecordsCallbacks;

/* @storage, @group and @callbacks must outlive the records. */
QuinceLedgerRecords *quince_ledger_records_new (QuinceLedgerStorage *storage,
                                                QuinceLedgerGroup *group,
                                                const QuinceLedgerRecordsCallbacks *callbacks,
                                                gpointer user_data);
void quince_ledger_records_free (QuinceLedgerRecords *records);

/* This replica leads @epoch from now on: writes the first record of it. */
void quince_ledger_records_start_leading (QuinceLedgerRecords *records, guint64 epoch);
/* It leads no more: records that are not committed are dropped from memory.  Returns: whether the log was
 * being read, or had been */
gboolean quince_ledger_records_stop_leading (QuinceLedgerRecords *records);

/* Appends a record, which is written together with others of the same turn of the main loop.  Returns its
 * index; 0: the log is not read yet, or the record does not encode (logged) */
guint64 quince_ledger_records_append (QuinceLedgerRecords *records, const QuinceBatchRecord *record);
/* Delivers what is committed; begins to read the log once this replica may answer.  To be called whenever the
 * commit index may have grown. */
void quince_ledger_records_advance (QuinceLedgerRecords *records);

/* Epoch that is led; 0: none. */
guint64 quince_ledger_records_get_epoch (const QuinceLedgerRecords *records);
/* This replica leads and has read its log. */
gboolean quince_ledger_records_is_recovered (const QuinceLedgerRecords *records);
