/*
 * batch-log-compact.c: gives back the disk space of forgotten batches.
 *
 * A FORGET record names the records of its batch.  Once it is committed they are emptied.  The FORGET record
 * itself stays: a replica that comes back with the old records needs it, or a forgotten batch would live
 * again there.
 */
#include "batchlog/batch-log.h"
#include "runtime/packed-message.h"

#include <string.h>

#define KIND_BYTES 4 /* bytes; an XDR union begins with its kind, big-endian */

typedef struct
{
  guint64 commit;
  guint64 last_scanned_index; /* index of the last record that was read */
  guint left;                 /* records that may still be read */
  GArray *indexes;            /* guint64: records to empty */
} Walk;

static gboolean
is_forget_record (const QuinceLogEntry *entry)
{
  guint32 kind = 0;
  if (entry->record.record_len < KIND_BYTES)
    return FALSE;
  memcpy (&kind, entry->record.record_val, KIND_BYTES);
  return GUINT32_FROM_BE (kind) == QUINCE_BATCH_RECORD_FORGET;
}

static void
add_forgotten_indexes (Walk *walk, const QuinceLogEntry *entry)
{
  g_autoptr (QuinceBatchRecord) record
      = quince_batch_record_unpack (entry->record.record_val, entry->record.record_len, NULL);
  if (record == NULL)
    return;
  const QuinceBatchForget *forget = &record->QuinceBatchRecord_u.forget;
  for (guint i = 0; i < forget->indexes.indexes_len; i++)
    if (forget->indexes.indexes_val[i] < entry->index)
      g_array_append_val (walk->indexes, forget->indexes.indexes_val[i]);
}

static gboolean
scan_record (const QuinceLogEntry *entry, gpointer data)
{
  Walk *walk = data;
  if (entry->index > walk->commit || walk->left == 0)
    return FALSE;
  walk->left--;
  walk->last_scanned_index = entry->index;
  if (is_forget_record (entry))
    add_forgotten_indexes (walk, entry);
  return TRUE;
}

gboolean
quince_batch_log_compact (QuinceBatchLog *log, guint64 *compacted, guint max_records, GError **error)
{
  g_autoptr (GArray) indexes = g_array_new (FALSE, FALSE, sizeof (guint64));
  Walk walk = { .commit = quince_batch_log_get_commit_index (log),
                .last_scanned_index = *compacted,
                .left = max_records,
                .indexes = indexes };
  if (!quince_batch_log_foreach (log, *compacted + 1, scan_record, &walk, error))
    return FALSE;
  if (indexes->len > 0
      && !quince_batch_log_clear_records (log, (const guint64 *)indexes->data, indexes->len, error))
    return FALSE;
  *compacted = walk.last_scanned_index;
  return TRUE;
}
