/*
 * ledger-replication.c: the leader's records on their way to its backups, and a backup's link to its leader.
 */
#include "ledger-node-private.h"

#include <stdlib.h>
#include <string.h>

#include "runtime/log.h"
#include "runtime/packed-message.h"
#include "runtime/clock.h"

/* Records of one message, and a link that has not connected by then is tried anew. */
#define CHUNK_BYTES (512 * 1024)
#define CHUNK_ENTRIES 512
/* On their way to one backup: two chunks keep a link busy while the first is acknowledged.  A backup that
 * reads slowly makes the leader hold no more than this for it, and a catching-up one takes no more of the
 * leader's turns than it can follow. */
#define WINDOW_BYTES (2 * CHUNK_BYTES)
#define CONNECT_US (1200 * 1000)
#define RECONNECT_US (150 * 1000)

/* ---- At the leader ---------------------------------------------------- */

void
quince_backup_link_free (gpointer data)
{
  QuinceBackupLink *backup = data;
  quince_link_unref (backup->link);
  quince_send_window_free (backup->window);
  g_free (backup->node);
  g_free (backup);
}

typedef struct
{
  GArray *entries; /* QuinceLogEntry, owned records */
  gsize bytes;
} Chunk;

static gboolean
collect_entry (const QuinceLogEntry *entry, gpointer data)
{
  Chunk *chunk = data;
  QuinceLogEntry copy = *entry;
  copy.record.record_val = g_memdup2 (entry->record.record_val, entry->record.record_len);
  g_array_append_val (chunk->entries, copy);
  chunk->bytes += entry->record.record_len;
  return chunk->bytes < CHUNK_BYTES && chunk->entries->len < CHUNK_ENTRIES;
}

static void
clear_entry (gpointer data)
{
  QuinceLogEntry *entry = data;
  g_free (entry->record.record_val);
}

/* Sends what the backup lacks, one chunk; the next one follows once the window is open. */
static void
send_backup (QuinceLedgerNode *node, QuinceBackupLink *backup, gboolean heartbeat)
{
  guint64 last_index = quince_batch_log_get_last_index (node->log);
  gboolean has_news = backup->fed && (backup->next_index <= last_index || backup->reset)
                      && quince_send_window_is_open (backup->window);
  if (!has_news && !heartbeat)
    return;
  Chunk chunk = { .entries = g_array_new (FALSE, FALSE, sizeof (QuinceLogEntry)) };
  g_array_set_clear_func (chunk.entries, clear_entry);
  g_autoptr (GError) error = NULL;
  if (has_news && !quince_batch_log_walk (node->log, backup->next_index, collect_entry, &chunk, &error))
    quince_log_failure ("ledger_disk_failed", "doing=read reason=\"%s\"", error->message);
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_APPEND };
  QuinceLedgerAppend *append = &message.QuinceMessage_u.ledger_append;
  append->epoch = node->led_epoch;
  append->replica = backup->replica;
  append->reset = has_news && backup->reset;
  append->end_index = last_index;
  append->commit_index = quince_ledger_group_get_commit_index (node->group);
  append->sent_us = (guint64)quince_now_us ();
  append->entries.entries_val = (QuinceLogEntry *)chunk.entries->data;
  append->entries.entries_len = chunk.entries->len;
  if (chunk.entries->len > 0)
    backup->next_index = g_array_index (chunk.entries, QuinceLogEntry, chunk.entries->len - 1).index + 1;
  append->held_index = backup->next_index - 1;
  if (chunk.entries->len > 0)
    quince_send_window_sent (backup->window, append->held_index, chunk.bytes);
  quince_link_send (backup->link, &message);
  if (has_news)
    backup->reset = FALSE;
  g_array_unref (chunk.entries);
}

static gboolean
contains (const GArray *replicas, guint64 replica)
{
  for (guint i = 0; i < replicas->len; i++)
    if (g_array_index (replicas, guint64, i) == replica)
      return TRUE;
  return FALSE;
}

/* Tells a backup that may hold no records to drop all that it has. */
static void
clear_backup (QuinceLedgerNode *node, QuinceBackupLink *backup)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_APPEND };
  QuinceLedgerAppend *append = &message.QuinceMessage_u.ledger_append;
  append->epoch = node->led_epoch;
  append->replica = backup->replica;
  append->reset = TRUE;
  gint64 now = quince_now_us ();
  append->sent_us = (guint64)now;
  quince_ledger_group_peer_cleared (node->group, backup->replica, now);
  quince_log_notice ("outside_disk_cleared", "node=%s replica=%" G_GUINT64_FORMAT, backup->node,
                     backup->replica);
  quince_link_send (backup->link, &message);
  backup->has_records = FALSE;
  backup->next_index = 1;
  quince_send_window_free (backup->window);
  backup->window = quince_send_window_new (WINDOW_BYTES);
}

static void
check_backup (QuinceLedgerNode *node, QuinceBackupLink *backup, gboolean chosen)
{
  const QuinceLedgerView *view = quince_ledger_group_get_view (node->group);
  gboolean member = quince_ledger_view_find (view, backup->replica) != NULL;
  gboolean outside
      = node->confined != NULL && !g_strv_contains ((const char *const *)node->confined, backup->node);
  /* Until the log is read it is not known what may lie where.  A view of fewer members than a quorum is that
   * of the first start: nothing lies in it. */
  gboolean reading = node->several_regions && !(node->led && node->confinement_known)
                     && view->members.members_len >= node->copies_least;
  /* Those that hold records were allowed to by the leader before; without them a leader that has lost members
   * may never have a quorum again, and so never read its log. */
  backup->fed = chosen && (member || !reading || backup->has_records);
  backup->has_records = backup->has_records || backup->fed;
  if (outside && !member && !reading && backup->has_records)
    clear_backup (node, backup);
}

void
quince_ledger_node_choose_fed (QuinceLedgerNode *node)
{
  g_autoptr (GArray) fed = g_array_new (FALSE, FALSE, sizeof (guint64));
  quince_ledger_group_choose_fed (node->group, quince_now_us (), fed);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, node->backups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QuinceBackupLink *backup = value;
      check_backup (node, backup, contains (fed, backup->replica));
    }
}

void
quince_ledger_node_send_backups (QuinceLedgerNode *node, gboolean heartbeat)
{
  if (heartbeat)
    quince_ledger_node_choose_fed (node);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, node->backups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    send_backup (node, value, heartbeat);
}

/* Where the backup's log and this one part: the first index to send. */
static guint64
first_to_send (QuinceLedgerNode *node, const QuinceLedgerHello *hello, gboolean *reset)
{
  *reset = FALSE;
  if (hello->last_index == 0)
    return 1;
  if (quince_batch_log_get_epoch (node->log, hello->last_index) == hello->last_epoch)
    return hello->last_index + 1;
  /* Up to its commit index all logs are the same. */
  if (hello->commit_index > 0
      && quince_batch_log_get_epoch (node->log, hello->commit_index) == hello->commit_epoch)
    return hello->commit_index + 1;
  *reset = hello->commit_index > 0;
  return 1;
}

void
quince_ledger_node_hello (QuinceLedgerNode *node, QuinceLink *link, const QuinceLedgerHello *hello)
{
  if (node->led_epoch == 0)
    {
      /* A former leader that was started anew needs the promises of those that come back to it. */
      gboolean moved = quince_ledger_node_note_address (node, &hello->member);
      quince_link_close (link);
      quince_ledger_node_drop_backup (node, link);
      if (moved)
        quince_ledger_node_campaign (node);
      return;
    }
  QuinceBackupLink *backup = g_new0 (QuinceBackupLink, 1);
  backup->link = quince_link_ref (link);
  backup->node = g_strdup (hello->member.node);
  backup->replica = hello->member.replica;
  backup->has_records = hello->last_index > 0;
  backup->serial = ++node->joins;
  backup->window = quince_send_window_new (WINDOW_BYTES);
  backup->next_index = first_to_send (node, hello, &backup->reset);
  g_hash_table_replace (node->backups, &backup->replica, backup);
  quince_ledger_group_peer_joined (node->group, quince_now_us (), &hello->member);
  quince_ledger_group_set_zone (node->group, hello->member.replica, hello->zone);
  quince_log_info ("backup_joined",
                   "node=%s replica=%" G_GUINT64_FORMAT " has_index=%" G_GUINT64_FORMAT
                   " send_from=%" G_GUINT64_FORMAT " reset=%s",
                   hello->member.node, (guint64)hello->member.replica, (guint64)hello->last_index,
                   backup->next_index, backup->reset ? "true" : "false");
  quince_ledger_node_choose_fed (node);
  send_backup (node, backup, TRUE);
}

/* Backups ask to lead in the order of the view: the first one that is fed will likely lead next. */
static QuinceBackupLink *
find_successor (QuinceLedgerNode *node)
{
  const QuinceLedgerView *view = quince_ledger_group_get_view (node->group);
  for (guint i = 0; view != NULL && i < view->members.members_len; i++)
    {
      guint64 replica = view->members.members_val[i].replica;
      QuinceBackupLink *backup = g_hash_table_lookup (node->backups, &replica);
      if (backup != NULL && backup->fed)
        return backup;
    }
  return NULL;
}

guint64
quince_ledger_node_get_successor (QuinceLedgerNode *node)
{
  const QuinceBackupLink *successor = find_successor (node);
  return successor != NULL ? successor->serial : 0;
}

QuinceLink *
quince_ledger_node_get_successor_link (QuinceLedgerNode *node)
{
  const QuinceBackupLink *successor = find_successor (node);
  return successor != NULL ? successor->link : NULL;
}

const char *
quince_ledger_node_get_successor_name (QuinceLedgerNode *node)
{
  const QuinceBackupLink *successor = find_successor (node);
  return successor != NULL ? successor->node : NULL;
}

void
quince_ledger_node_tell_successor (QuinceLedgerNode *node, const QuinceMessage *message)
{
  const QuinceBackupLink *successor = find_successor (node);
  g_autoptr (GBytes) encoded = successor != NULL ? quince_message_encode (message, NULL) : NULL;
  if (encoded == NULL)
    return;
  g_autoptr (GBytes) packed = quince_message_pack (encoded, QUINCE_PACK_FAST);
  quince_link_send_bytes (successor->link, packed);
}

static QuinceBackupLink *
backup_of_link (QuinceLedgerNode *node, QuinceLink *link)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, node->backups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((QuinceBackupLink *)value)->link == link)
      return value;
  return NULL;
}

void
quince_ledger_node_acked (QuinceLedgerNode *node, QuinceLink *link, const QuinceLedgerAck *ack)
{
  QuinceBackupLink *backup = backup_of_link (node, link);
  if (backup == NULL || ack->epoch != node->led_epoch || ack->replica != backup->replica)
    return;
  if (ack->promised > ack->epoch)
    {
      quince_ledger_group_peer_refused (node->group, ack->promised);
      return;
    }
  quince_send_window_acknowledged (backup->window, ack->last_index);
  quince_ledger_group_peer_acked (node->group, backup->replica, ack->last_index, (gint64)ack->echo_us);
  send_backup (node, backup, FALSE);
  quince_ledger_node_advance (node);
}

void
quince_ledger_node_drop_backup (QuinceLedgerNode *node, QuinceLink *link)
{
  QuinceBackupLink *backup = backup_of_link (node, link);
  if (backup == NULL)
    return;
  quince_log_warning ("backup_left", "replica=%" G_GUINT64_FORMAT, backup->replica);
  quince_ledger_group_peer_left (node->group, backup->replica);
  g_hash_table_remove (node->backups, &backup->replica);
}

void
quince_ledger_node_drop_backups (QuinceLedgerNode *node)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, node->backups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    quince_link_close (((QuinceBackupLink *)value)->link);
  g_hash_table_remove_all (node->backups);
}

/* ---- At a backup ------------------------------------------------------ */

static void
send_ack (QuinceLedgerNode *node, const QuinceLedgerAppend *append, guint64 promised)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_ACK };
  QuinceLedgerAck *ack = &message.QuinceMessage_u.ledger_ack;
  ack->epoch = append->epoch;
  ack->replica = node->self.replica;
  ack->last_index = append->held_index;
  ack->echo_us = append->sent_us;
  ack->promised = promised;
  quince_link_send (node->primary_link, &message);
}

static void
take_append (QuinceLedgerNode *node, const QuinceLedgerAppend *append)
{
  if (append->replica != node->self.replica)
    return;
  if (!quince_ledger_group_accepts (node->group, quince_now_us (), append->epoch))
    {
      guint64 promised = quince_ledger_group_get_kept (node->group)->promised;
      if (promised > append->epoch)
        send_ack (node, append, promised);
      return;
    }
  g_autoptr (GError) error = NULL;
  if (!quince_ledger_node_keep (node, &error))
    {
      quince_log_failure ("ledger_disk_failed", "doing=follow reason=\"%s\"", error->message);
      return;
    }
  /* What this log holds beyond the leader's, from others before it, was never committed. */
  guint64 last_index = quince_batch_log_get_last_index (node->log);
  gboolean has_stale
      = last_index > append->end_index && quince_batch_log_get_epoch (node->log, last_index) < append->epoch;
  gboolean writes = append->entries.entries_len > 0 || append->reset || has_stale;
  if (writes
      && !quince_batch_log_append (node->log, append->entries.entries_val, append->entries.entries_len,
                                   append->reset, append->end_index, append->commit_index, &error))
    {
      quince_log_failure ("ledger_disk_failed", "doing=append reason=\"%s\"", error->message);
      return;
    }
  if (append->reset)
    node->compacted = 0;
  if (writes)
    quince_ledger_node_note_end (node);
  send_ack (node, append, 0);
}

static void
primary_message (QuinceLink *link, QuinceMessage *message, gpointer data)
{
  QuinceLedgerNode *node = data;
  if (message->kind == QUINCE_MESSAGE_LEDGER_APPEND && link == node->primary_link)
    take_append (node, &message->QuinceMessage_u.ledger_append);
  else if (link == node->primary_link)
    node->callbacks->other_message (link, message, node->user_data);
  quince_message_free (message);
}

static void
primary_connected (QuinceLink *link, gpointer data)
{
  QuinceLedgerNode *node = data;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_HELLO };
  QuinceLedgerHello *hello = &message.QuinceMessage_u.ledger_hello;
  hello->member = node->self;
  hello->zone = node->zone;
  hello->last_index = quince_batch_log_get_last_index (node->log);
  hello->last_epoch = quince_batch_log_get_epoch (node->log, hello->last_index);
  hello->commit_index = MIN (quince_batch_log_get_commit (node->log), hello->last_index);
  hello->commit_epoch = quince_batch_log_get_epoch (node->log, hello->commit_index);
  quince_link_send (link, &message);
  node->primary_lost = FALSE;
  quince_log_info ("dependency_regained", "what=ledger_primary address=%s", node->primary_address);
  node->callbacks->followed (link, node->user_data);
}

static void
primary_closed (QuinceLink *link, const GError *error, gpointer data)
{
  QuinceLedgerNode *node = data;
  if (!node->primary_lost)
    quince_log_warning ("dependency_lost", "what=ledger_primary address=%s", node->primary_address);
  node->primary_lost = TRUE;
  g_clear_pointer (&node->primary_link, quince_link_unref);
  node->callbacks->unfollowed (node->user_data);
}

static const QuinceLinkCallbacks primary_callbacks
    = { .connected = primary_connected, .message = primary_message, .closed = primary_closed };

void
quince_ledger_node_unfollow (QuinceLedgerNode *node)
{
  if (node->primary_link != NULL)
    quince_link_close (node->primary_link);
  g_clear_pointer (&node->primary_link, quince_link_unref);
  g_clear_pointer (&node->primary_address, g_free);
}

QuinceLink *
quince_ledger_node_get_leader (QuinceLedgerNode *node)
{
  gboolean connected = node->primary_link != NULL && quince_link_is_connected (node->primary_link);
  return connected ? node->primary_link : NULL;
}

/* Keeps a link to the leader of the view; called again and again. */
void
quince_ledger_node_follow (QuinceLedgerNode *node)
{
  const QuinceLedgerView *view = quince_ledger_group_get_view (node->group);
  const QuinceLedgerMember *primary = view != NULL ? quince_ledger_view_find (view, view->primary) : NULL;
  gboolean should = quince_ledger_group_get_role (node->group) == QUINCE_LEDGER_BACKUP && primary != NULL
                    && primary->replica != node->self.replica;
  if (!should || g_strcmp0 (primary->address, node->primary_address) != 0)
    quince_ledger_node_unfollow (node);
  if (!should)
    return;
  gint64 now = quince_now_us ();
  gboolean stuck = node->primary_link != NULL && !quince_link_is_connected (node->primary_link)
                   && now - node->primary_tried_us > CONNECT_US;
  if (stuck)
    quince_ledger_node_unfollow (node);
  if (node->primary_link != NULL || now - node->primary_tried_us < RECONNECT_US)
    return;
  g_free (node->primary_address);
  node->primary_address = g_strdup (primary->address);
  node->primary_tried_us = now;
  node->primary_link = quince_link_connect (primary->address, &primary_callbacks, node);
}
