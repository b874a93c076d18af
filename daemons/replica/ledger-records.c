/*
 * ledger-records.c: the leader's records, from append to delivery.
 */
#include "ledger-records.h"

#include <stdlib.h>

#include "runtime/clock.h"
#include "runtime/timer.h"
#include "runtime/log.h"
#include "runtime/packed-message.h"

/* Maximum time for which a new leader reads its log before it serves its links again, us.  Well below the 1 s
 * leader timeout, even if the process gets a tenth of a CPU. */
#define READ_SLICE_MAX_US (30 * 1000)

struct _QuinceLedgerRecords
{
  /* All fields belong to the main context. */
  QuinceLedgerStorage *storage;                  /* borrowed */
  QuinceBatchLog *log;                           /* borrowed from the storage */
  QuinceLedgerGroup *group;                      /* borrowed */
  const QuinceLedgerRecordsCallbacks *callbacks; /* borrowed */
  gpointer user_data;

  guint64 epoch;            /* epoch that this replica leads; 0: none */
  guint64 next_index;       /* index of the next record */
  GArray *unwritten;        /* QuinceLogEntry, owned records: not on disk yet */
  GBytes *large_record;     /* the last large one that was written, until it is delivered; NULL: none */
  GQueue uncommitted;       /* QuinceLogEntry, owned records: on disk, not delivered yet */
  QuinceTimer *flush_timer; /* writes the unwritten records; NULL: none are waiting */

  gboolean recovered;       /* the log was read */
  QuinceTimer *read_timer;  /* reads the log; NULL: reading has not started, or is finished */
  guint64 delivered_index;  /* index of the last record delivered from the log */
  gint64 read_slice_end_us; /* when the current slice of the read ends */
  gint64 read_started_us;   /* when the read started */
};

/* ---- State ------------------------------------------------------------- */

static void
free_entry (gpointer data)
{
  QuinceLogEntry *entry = data;
  g_free (entry->record.record_val);
  g_free (entry);
}

static void
clear_records (QuinceLedgerRecords *records)
{
  for (guint i = 0; i < records->unwritten->len; i++)
    g_free (g_array_index (records->unwritten, QuinceLogEntry, i).record.record_val);
  g_array_set_size (records->unwritten, 0);
  g_queue_clear_full (&records->uncommitted, free_entry);
  g_clear_pointer (&records->large_record, g_bytes_unref);
  quince_timer_clear (&records->flush_timer);
}

QuinceLedgerRecords *
quince_ledger_records_new (QuinceLedgerStorage *storage,
                           QuinceLedgerGroup *group,
                           const QuinceLedgerRecordsCallbacks *callbacks,
                           gpointer user_data)
{
  QuinceLedgerRecords *records = g_new0 (QuinceLedgerRecords, 1);
  records->storage = storage;
  records->log = quince_ledger_storage_get_log (storage);
  records->group = group;
  records->callbacks = callbacks;
  records->user_data = user_data;
  records->unwritten = g_array_new (FALSE, FALSE, sizeof (QuinceLogEntry));
  g_queue_init (&records->uncommitted);
  return records;
}

void
quince_ledger_records_free (QuinceLedgerRecords *records)
{
  if (records == NULL)
    return;
  quince_timer_clear (&records->read_timer);
  clear_records (records);
  g_array_unref (records->unwritten);
  g_free (records);
}

guint64
quince_ledger_records_get_epoch (const QuinceLedgerRecords *records)
{
  return records->epoch;
}

gboolean
quince_ledger_records_is_recovered (const QuinceLedgerRecords *records)
{
  return records->recovered;
}

/* ---- Writing ----------------------------------------------------------- */

/* Aborts the process if the write fails, so that another replica takes over. */
static void
write_records (QuinceLedgerRecords *records, const QuinceLogEntry *entries, guint n_entries)
{
  g_autoptr (GError) error = NULL;
  if (quince_ledger_storage_append (records->storage, entries, n_entries, FALSE, records->next_index - 1,
                                    quince_ledger_group_get_commit_index (records->group), &error))
    return;
  quince_log_failure ("ledger_disk_failed", "doing=append reason=\"%s\"", error->message);
  abort ();
}

void
quince_ledger_records_start_leading (QuinceLedgerRecords *records, guint64 epoch)
{
  records->epoch = epoch;
  quince_order_history_start_leading (quince_ledger_storage_get_order_history (records->storage), epoch);
  records->next_index = quince_batch_log_get_last_index (records->log) + 1;
  /* Records of earlier epochs are committed only together with a record of the new epoch. */
  const QuinceLogEntry first_entry = { .index = records->next_index++, .epoch = epoch };
  write_records (records, &first_entry, 1);
}

gboolean
quince_ledger_records_stop_leading (QuinceLedgerRecords *records)
{
  gboolean reading_started = records->recovered || records->read_timer != NULL;
  records->epoch = 0;
  records->recovered = FALSE;
  quince_timer_clear (&records->read_timer);
  clear_records (records);
  return reading_started;
}

/* Lets the backups get a large record from memory: reading it from the disk for each of them takes longer
 * than writing it. */
static void
share_if_large (QuinceLedgerRecords *records, const QuinceLogEntry *entry)
{
  if (entry->record.record_len < QUINCE_LARGE_RECORD_BYTES)
    return;
  g_clear_pointer (&records->large_record, g_bytes_unref);
  records->large_record = quince_batch_log_share_record (records->log, entry);
}

static gboolean
flush_records (gpointer data)
{
  QuinceLedgerRecords *records = data;
  quince_timer_clear (&records->flush_timer);
  write_records (records, (const QuinceLogEntry *)records->unwritten->data, records->unwritten->len);
  for (guint i = 0; i < records->unwritten->len; i++)
    {
      const QuinceLogEntry *entry = &g_array_index (records->unwritten, QuinceLogEntry, i);
      share_if_large (records, entry);
      g_queue_push_tail (&records->uncommitted, g_memdup2 (entry, sizeof *entry));
    }
  g_array_set_size (records->unwritten, 0);
  records->callbacks->written (records->user_data);
  quince_ledger_records_advance (records);
  return G_SOURCE_REMOVE;
}

guint64
quince_ledger_records_append (QuinceLedgerRecords *records, const QuinceBatchRecord *record)
{
  if (!records->recovered)
    return 0;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) encoded = quince_batch_record_encode (record, &error);
  if (encoded == NULL)
    {
      quince_log_failure ("ledger_record_refused", "reason=\"%s\"", error->message);
      return 0;
    }
  g_array_set_size (records->unwritten, records->unwritten->len + 1);
  QuinceLogEntry *entry = &g_array_index (records->unwritten, QuinceLogEntry, records->unwritten->len - 1);
  gsize length;
  GBytes *packed = quince_batch_record_pack (encoded);
  /* The last reference, so that the bytes are taken and not copied. */
  g_clear_pointer (&encoded, g_bytes_unref);
  entry->index = records->next_index++;
  entry->epoch = records->epoch;
  entry->record.record_val = g_bytes_unref_to_data (packed, &length);
  entry->record.record_len = (u_int)length;
  if (records->flush_timer == NULL)
    records->flush_timer = quince_timer_add (0, flush_records, records);
  return entry->index;
}

/* ---- Delivery ---------------------------------------------------------- */

/* Returns: (transfer full) (nullable): the record of @entry, or %NULL if it is empty or cannot be read, which
 * is logged */
static QuinceBatchRecord *
unpack_record (const QuinceLogEntry *entry)
{
  if (entry->record.record_len == 0)
    return NULL; /* the cleared record of a forgotten batch, or the first record of an epoch */
  QuinceBatchRecord *record
      = quince_batch_record_unpack (entry->record.record_val, entry->record.record_len, NULL);
  if (record == NULL)
    quince_log_failure ("ledger_record_unreadable", "index=%" G_GUINT64_FORMAT, (guint64)entry->index);
  return record;
}

static void
deliver_record (QuinceLedgerRecords *records, const QuinceLogEntry *entry)
{
  QuinceBatchRecord *record = unpack_record (entry);
  if (record != NULL)
    records->callbacks->committed (entry->index, record, records->user_data);
}

/* Delivers a record from the log.  Returns %FALSE to stop at the end of the slice. */
static gboolean
deliver_stored_record (const QuinceLogEntry *entry, gpointer data)
{
  QuinceLedgerRecords *records = data;
  QuinceBatchRecord *record = unpack_record (entry);
  const QuinceOrderRecord *orders = record != NULL && record->kind == QUINCE_BATCH_RECORD_ORDERS
                                        ? &record->QuinceBatchRecord_u.orders
                                        : NULL;
  quince_order_history_read_entry (quince_ledger_storage_get_order_history (records->storage), entry->index,
                                   entry->epoch, orders);
  if (record != NULL)
    records->callbacks->committed (entry->index, record, records->user_data);
  records->delivered_index = entry->index;
  return quince_now_us () < records->read_slice_end_us;
}

/* Reads the log in slices, so that heartbeats are sent in between.  Without them, the backups would elect
 * another leader, which would have to read its log as well. */
static gboolean
read_log_slice (gpointer data)
{
  QuinceLedgerRecords *records = data;
  g_autoptr (GError) error = NULL;
  records->read_slice_end_us = quince_now_us () + READ_SLICE_MAX_US;
  if (!quince_batch_log_foreach (records->log, records->delivered_index + 1, deliver_stored_record, records,
                                 &error))
    {
      /* A leader must know all records.  Another replica may be able to read its log. */
      quince_log_failure ("ledger_disk_failed", "doing=read reason=\"%s\"", error->message);
      abort ();
    }
  if (records->delivered_index < quince_batch_log_get_last_index (records->log))
    return G_SOURCE_CONTINUE;
  quince_timer_clear (&records->read_timer);
  records->recovered = TRUE;
  gint64 read_ms = (quince_now_us () - records->read_started_us) / 1000;
  quince_log_info ("ledger_recovered",
                   "epoch=%" G_GUINT64_FORMAT " index=%" G_GUINT64_FORMAT " read_ms=%" G_GINT64_FORMAT,
                   records->epoch, records->delivered_index, read_ms);
  records->callbacks->recovered (records->user_data);
  quince_ledger_records_advance (records);
  return G_SOURCE_REMOVE;
}

static void
start_reading (QuinceLedgerRecords *records)
{
  records->delivered_index = 0;
  records->read_started_us = quince_now_us ();
  records->read_timer = quince_timer_add (0, read_log_slice, records);
}

static gboolean
is_next_committed (const QuinceLedgerRecords *records, guint64 commit_index)
{
  const QuinceLogEntry *next = records->uncommitted.head != NULL ? records->uncommitted.head->data : NULL;
  return next != NULL && next->index <= commit_index;
}

void
quince_ledger_records_advance (QuinceLedgerRecords *records)
{
  if (records->epoch == 0)
    return;
  /* When this replica may answer, its log holds every acknowledged record. */
  if (!records->recovered && records->read_timer == NULL
      && quince_ledger_group_may_answer (records->group, quince_now_us ()))
    start_reading (records);
  if (!records->recovered)
    return;
  guint64 commit_index = quince_ledger_group_get_commit_index (records->group);
  while (is_next_committed (records, commit_index))
    {
      QuinceLogEntry *entry = g_queue_pop_head (&records->uncommitted);
      deliver_record (records, entry);
      free_entry (entry);
    }
  if (g_queue_is_empty (&records->uncommitted))
    g_clear_pointer (&records->large_record, g_bytes_unref);
}
