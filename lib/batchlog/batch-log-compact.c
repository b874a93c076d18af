/*
 * batch-log-compact.c: frees the disk space of forgotten batches.
 *
 * A FORGET record lists the indexes of its batch's records.  Compaction clears these records once the FORGET
 * record is committed.  The FORGET record itself stays: a replica that rejoins with the old records would
 * otherwise restore the batch.
 */
#include "batchlog/batch-log.h"
#include "runtime/packed-message.h"

#include <string.h>

#define RECORD_KIND_BYTES 4 /* an XDR union starts with its kind, big-endian */

typedef struct
{
  guint64 commit_index;
  guint64 last_scanned_index; /* of the last record that was read */
  guint records_left;         /* how many more records may be read */
  GArray *forgotten_indexes;  /* guint64: records to clear */
} CompactionScan;

static gboolean
is_forget_record (const QuinceLogEntry *entry)
{
  guint32 kind = 0;
  if (entry->record.record_len < RECORD_KIND_BYTES)
    return FALSE;
  memcpy (&kind, entry->record.record_val, RECORD_KIND_BYTES);
  return GUINT32_FROM_BE (kind) == QUINCE_BATCH_RECORD_FORGET;
}

/* Adds the indexes of a FORGET record.  Ignores indexes behind the record itself and records that do not
 * decode. */
static void
add_forgotten_indexes (CompactionScan *scan, const QuinceLogEntry *entry)
{
  g_autoptr (QuinceBatchRecord) record
      = quince_batch_record_unpack (entry->record.record_val, entry->record.record_len, NULL);
  if (record == NULL)
    return;
  const QuinceBatchForget *forget = &record->QuinceBatchRecord_u.forget;
  for (guint i = 0; i < forget->indexes.indexes_len; i++)
    if (forget->indexes.indexes_val[i] < entry->index)
      g_array_append_val (scan->forgotten_indexes, forget->indexes.indexes_val[i]);
}

static gboolean
scan_record (const QuinceLogEntry *entry, gpointer data)
{
  CompactionScan *scan = data;
  if (entry->index > scan->commit_index || scan->records_left == 0)
    return FALSE;
  scan->records_left--;
  scan->last_scanned_index = entry->index;
  if (is_forget_record (entry))
    add_forgotten_indexes (scan, entry);
  return TRUE;
}

gboolean
quince_batch_log_compact (QuinceBatchLog *log, guint64 *compacted_index, guint max_records, GError **error)
{
  g_autoptr (GArray) forgotten_indexes = g_array_new (FALSE, FALSE, sizeof (guint64));
  CompactionScan scan = { .commit_index = quince_batch_log_get_commit_index (log),
                          .last_scanned_index = *compacted_index,
                          .records_left = max_records,
                          .forgotten_indexes = forgotten_indexes };
  if (!quince_batch_log_foreach (log, *compacted_index + 1, scan_record, &scan, error))
    return FALSE;
  if (forgotten_indexes->len > 0
      && !quince_batch_log_clear_records (log, (const guint64 *)forgotten_indexes->data,
                                          forgotten_indexes->len, error))
    return FALSE;
  *compacted_index = scan.last_scanned_index;
  return TRUE;
}
