/* replicated-log.c: the tail of the replicated log that is held in memory. */
#include "consensus-private.h"

#include <string.h>

/* An entry and what the log notes beside it; QuinceEntry comes first. */
typedef struct
{
  QuinceEntry entry;
  guint64 bytes_through; /* running sum of data bytes, this entry included   */
} LogEntry;

QuinceEntry *
quince_log_entry_new (guint64 index, guint64 epoch, QuinceEntryKind kind, gconstpointer data, gsize length)
{
  LogEntry *self = g_atomic_rc_box_new0 (LogEntry);

  self->entry.index = index;
  self->entry.epoch = epoch;
  self->entry.kind = kind;
  self->entry.data.data_len = length;
  self->entry.data.data_val = length > 0 ? g_memdup2 (data, length) : NULL;
  return &self->entry;
}

QuinceEntry *
quince_log_entry_ref (QuinceEntry *entry)
{
  return g_atomic_rc_box_acquire (entry);
}

static void
log_entry_clear (gpointer data)
{
  LogEntry *self = data;

  g_free (self->entry.data.data_val);
}

void
quince_log_entry_unref (gpointer entry)
{
  g_atomic_rc_box_release_full (entry, log_entry_clear);
}

void
quince_replicated_log_init (QuinceReplicatedLog *log)
{
  log->entries = g_ptr_array_new_with_free_func (quince_log_entry_unref);
  log->base_index = 0;
  log->base_epoch = 0;
  log->base_voters = g_new0 (QuinceReplicaSet, 1);
}

void
quince_replicated_log_clear (QuinceReplicatedLog *log)
{
  g_ptr_array_unref (log->entries);
  quince_replica_set_free (log->base_voters);
}

guint64
quince_replicated_log_last_index (const QuinceReplicatedLog *log)
{
  return log->base_index + log->entries->len;
}

guint64
quince_replicated_log_last_epoch (const QuinceReplicatedLog *log)
{
  return quince_replicated_log_epoch_at (log, quince_replicated_log_last_index (log));
}

QuinceEntry *
quince_replicated_log_get (const QuinceReplicatedLog *log, guint64 index)
{
  if (index <= log->base_index || index > quince_replicated_log_last_index (log))
    return NULL;
  return g_ptr_array_index (log->entries, index - log->base_index - 1);
}

guint64
quince_replicated_log_epoch_at (const QuinceReplicatedLog *log, guint64 index)
{
  const QuinceEntry *entry = quince_replicated_log_get (log, index);

  if (entry != NULL)
    return entry->epoch;
  return index == log->base_index ? log->base_epoch : 0;
}

static guint64
bytes_through (const QuinceReplicatedLog *log, guint64 index)
{
  const LogEntry *entry = (const LogEntry *)quince_replicated_log_get (log, index);

  return entry != NULL ? entry->bytes_through : 0;
}

void
quince_replicated_log_append (QuinceReplicatedLog *log, QuinceEntry *entry)
{
  LogEntry *self = (LogEntry *)entry;

  g_assert (entry->index == quince_replicated_log_last_index (log) + 1);
  self->bytes_through = bytes_through (log, entry->index - 1) + entry->data.data_len;
  g_ptr_array_add (log->entries, entry);
}

void
quince_replicated_log_truncate_from (QuinceReplicatedLog *log, guint64 index)
{
  g_assert (index > log->base_index);
  if (index <= quince_replicated_log_last_index (log))
    g_ptr_array_set_size (log->entries, index - log->base_index - 1);
}

void
quince_replicated_log_compact (QuinceReplicatedLog *log, guint64 index)
{
  QuinceReplicaSet *voters;
  guint64 epoch;

  g_assert (index >= log->base_index && index <= quince_replicated_log_last_index (log));
  if (index == log->base_index)
    return;
  voters = quince_replicated_log_voters_at (log, index, NULL);
  epoch = quince_replicated_log_epoch_at (log, index);
  quince_replica_set_free (log->base_voters);
  log->base_voters = voters;
  g_ptr_array_remove_range (log->entries, 0, index - log->base_index);
  log->base_index = index;
  log->base_epoch = epoch;
}

void
quince_replicated_log_reset (QuinceReplicatedLog *log,
                             guint64 index,
                             guint64 epoch,
                             const QuinceReplicaSet *voters)
{
  g_ptr_array_set_size (log->entries, 0);
  quince_replica_set_free (log->base_voters);
  log->base_index = index;
  log->base_epoch = epoch;
  log->base_voters = quince_replica_set_copy (voters);
}

guint64
quince_replicated_log_bytes_between (const QuinceReplicatedLog *log, guint64 after, guint64 through)
{
  guint64 start;

  if (through <= after || through <= log->base_index)
    return 0;
  if (after <= log->base_index)
    {
      const LogEntry *first = (const LogEntry *)quince_replicated_log_get (log, log->base_index + 1);

      start = first->bytes_through - first->entry.data.data_len;
    }
  else
    start = bytes_through (log, after);
  return bytes_through (log, through) - start;
}

QuinceReplicaSet *
quince_replicated_log_voters_at (const QuinceReplicatedLog *log, guint64 through, guint64 *index)
{
  for (guint64 at = MIN (through, quince_replicated_log_last_index (log)); at > log->base_index; at--)
    {
      const QuinceEntry *entry = quince_replicated_log_get (log, at);
      QuinceReplicaSet *voters;

      if (entry->kind != QUINCE_ENTRY_VOTERS)
        continue;
      voters = quince_replica_set_decode (entry->data.data_val, entry->data.data_len, NULL);
      if (voters == NULL)
        continue;
      if (index != NULL)
        *index = at;
      return voters;
    }
  if (index != NULL)
    *index = log->base_index;
  return quince_replica_set_copy (log->base_voters);
}
