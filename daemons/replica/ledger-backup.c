/*
 * ledger-backup.c: sends the leader's records to one backup.
 */
#include "ledger-backup.h"

#include "runtime/clock.h"
#include "runtime/log.h"

/* A chunk ends with the record that reaches this size, in bytes.  Bounds the memory of a message and the time
 * to encode it. */
#define CHUNK_BYTES QUINCE_LARGE_RECORD_BYTES
/* Maximum number of records in a chunk.  Bounds the time to encode many small records. */
#define CHUNK_ENTRIES_MAX 512
/* Maximum bytes in flight to one backup.  Two chunks keep the link busy while the first one is acknowledged;
 * more would only be buffered for a slow backup. */
#define SEND_WINDOW_BYTES (2 * CHUNK_BYTES)

/* The records of one append message. */
typedef struct
{
  GArray *entries; /* QuinceLogEntry, owned records */
  GBytes *tail;    /* record of the last entry, which then has none, if it is large; NULL: it is not */
  QuinceBatchLog *log;
  gsize bytes;
  guint64 last_index; /* of the last record that may be sent */
} Chunk;

/* Returns the first index at which the backup's log may differ from @log.  @needs_reset: (out): whether the
 * backup must remove its whole log first */
static guint64
find_first_index_to_send (QuinceBatchLog *log, const QuinceLedgerHello *hello, gboolean *needs_reset)
{
  *needs_reset = FALSE;
  if (hello->last_index == 0)
    return 1;
  if (quince_batch_log_get_epoch (log, hello->last_index) == hello->last_epoch)
    return hello->last_index + 1;
  /* Logs that agree on a committed record are identical up to it. */
  if (hello->commit_index > 0 && quince_batch_log_get_epoch (log, hello->commit_index) == hello->commit_epoch)
    return hello->commit_index + 1;
  *needs_reset = hello->commit_index > 0;
  return 1;
}

QuinceLedgerBackup *
quince_ledger_backup_new (QuinceLink *link,
                          const QuinceLedgerHello *hello,
                          guint64 serial,
                          QuinceBatchLog *log)
{
  QuinceLedgerBackup *backup = g_new0 (QuinceLedgerBackup, 1);
  backup->link = quince_link_ref (link);
  backup->node = g_strdup (hello->member.node);
  backup->replica = hello->member.replica;
  backup->has_records = hello->last_index > 0;
  backup->serial = serial;
  backup->window = quince_send_window_new (SEND_WINDOW_BYTES);
  backup->next_index = find_first_index_to_send (log, hello, &backup->needs_reset);
  return backup;
}

void
quince_ledger_backup_free (QuinceLedgerBackup *backup)
{
  if (backup == NULL)
    return;
  quince_link_unref (backup->link);
  quince_send_window_free (backup->window);
  g_free (backup->node);
  g_free (backup);
}

static gboolean
collect_entry (const QuinceLogEntry *entry, gpointer data)
{
  Chunk *chunk = data;
  QuinceLogEntry copy = *entry;
  if (entry->record.record_len >= CHUNK_BYTES)
    {
      chunk->tail = quince_batch_log_share_record (chunk->log, entry);
      copy.record.record_val = NULL;
      copy.record.record_len = 0;
    }
  else
    copy.record.record_val = g_memdup2 (entry->record.record_val, entry->record.record_len);
  g_array_append_val (chunk->entries, copy);
  chunk->bytes += entry->record.record_len;
  return chunk->bytes < CHUNK_BYTES && chunk->entries->len < CHUNK_ENTRIES_MAX
         && entry->index < chunk->last_index;
}

static void
clear_entry (gpointer data)
{
  QuinceLogEntry *entry = data;
  g_free (entry->record.record_val);
}

/* Reads records from the next index on.  Logs a read error; the records read before it are sent. */
static void
collect_chunk (const QuinceLedgerBackup *backup, QuinceBatchLog *log, Chunk *chunk)
{
  QuinceLogEntry entry = { .index = backup->next_index };
  chunk->tail = quince_batch_log_find_shared (log, entry.index, (guint64 *)&entry.epoch);
  if (chunk->tail != NULL)
    {
      g_array_append_val (chunk->entries, entry);
      chunk->bytes = g_bytes_get_size (chunk->tail);
      return;
    }
  g_autoptr (GError) error = NULL;
  if (!quince_batch_log_foreach (log, backup->next_index, collect_entry, chunk, &error))
    quince_log_failure ("ledger_disk_failed", "doing=read reason=\"%s\"", error->message);
}

/* Adds the sent chunk to the send window and moves the next index past it. */
static void
mark_chunk_sent (QuinceLedgerBackup *backup, const Chunk *chunk)
{
  if (chunk->entries->len == 0)
    return;
  guint64 last_index = g_array_index (chunk->entries, QuinceLogEntry, chunk->entries->len - 1).index;
  backup->next_index = last_index + 1;
  quince_send_window_add_message (backup->window, last_index, chunk->bytes);
}

void
quince_ledger_backup_send (QuinceLedgerBackup *backup,
                           QuinceBatchLog *log,
                           guint64 epoch,
                           guint64 commit_index,
                           guint64 sendable_index,
                           gboolean heartbeat)
{
  guint64 last_index = quince_batch_log_get_last_index (log);
  guint64 last_to_send = MIN (last_index, sendable_index);
  gboolean has_records_to_send = backup->receives_records
                                 && (backup->next_index <= last_to_send || backup->needs_reset)
                                 && quince_send_window_is_open (backup->window);
  if (!has_records_to_send && !heartbeat)
    return;
  Chunk chunk = { .entries = g_array_new (FALSE, FALSE, sizeof (QuinceLogEntry)),
                  .log = log,
                  .last_index = last_to_send };
  g_array_set_clear_func (chunk.entries, clear_entry);
  if (has_records_to_send && backup->next_index <= last_to_send)
    collect_chunk (backup, log, &chunk);
  mark_chunk_sent (backup, &chunk);
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_APPEND };
  QuinceLedgerAppend *append = &message.QuinceMessage_u.ledger_append;
  append->epoch = epoch;
  append->replica = backup->replica;
  append->reset = has_records_to_send && backup->needs_reset;
  append->end_index = last_index;
  append->commit_index = commit_index;
  append->sent_us = (guint64)quince_now_us ();
  append->entries.entries_val = (QuinceLogEntry *)chunk.entries->data;
  append->entries.entries_len = chunk.entries->len;
  append->held_index = backup->next_index - 1;
  /* The record of the last entry is the last part of the message. */
  if (chunk.tail != NULL)
    quince_link_send_with_tail (backup->link, &message, chunk.tail);
  else
    quince_link_send (backup->link, &message);
  if (has_records_to_send)
    backup->needs_reset = FALSE;
  g_clear_pointer (&chunk.tail, g_bytes_unref);
  g_array_unref (chunk.entries);
}

void
quince_ledger_backup_clear_records (QuinceLedgerBackup *backup, guint64 epoch, gint64 now_us)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_APPEND };
  QuinceLedgerAppend *append = &message.QuinceMessage_u.ledger_append;
  append->epoch = epoch;
  append->replica = backup->replica;
  append->reset = TRUE;
  append->sent_us = (guint64)now_us;
  quince_log_notice ("outside_disk_cleared", "node=%s replica=%" G_GUINT64_FORMAT, backup->node,
                     backup->replica);
  quince_link_send (backup->link, &message);
  backup->has_records = FALSE;
  backup->next_index = 1;
  quince_send_window_free (backup->window);
  backup->window = quince_send_window_new (SEND_WINDOW_BYTES);
}
