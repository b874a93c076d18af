/*
 * ledger-node.c: one replica of the batch ledger: views, leadership, records.
 */
#include "ledger-node-private.h"

#include <stdlib.h>
#include <string.h>

#include "runtime/log.h"
#include "runtime/packed-message.h"
#include "runtime/clock.h"

#define TICK_MS 150
/* A leader whose backups do not answer asks the metadata store whether it still leads. */
#define CONFIRM_EVERY_US (300 * 1000)
#define COMPACT_EVERY_US (5 * G_USEC_PER_SEC)
#define COMPACT_MAX 500
/* How long a new leader reads its log before it looks at its links: little against the 1 s of silence after
 * which others take the lead, also on a tenth of a core. */
#define READ_TURN_US (30 * 1000)

/* ---- Links ------------------------------------------------------------ */

static void
link_message (QuinceLink *link, QuinceMessage *message, gpointer data)
{
  QuinceLedgerNode *node = data;
  switch (message->kind)
    {
    case QUINCE_MESSAGE_LEDGER_HELLO:
      quince_ledger_node_hello (node, link, &message->QuinceMessage_u.ledger_hello);
      break;
    case QUINCE_MESSAGE_LEDGER_ACK:
      quince_ledger_node_acked (node, link, &message->QuinceMessage_u.ledger_ack);
      break;
    case QUINCE_MESSAGE_LEDGER_ASK:
      quince_ledger_node_handle_ask (node, link, &message->QuinceMessage_u.ledger_ask);
      break;
    case QUINCE_MESSAGE_LEDGER_QUERY:
      quince_ledger_node_handle_query (node, link, &message->QuinceMessage_u.ledger_query);
      break;
    case QUINCE_MESSAGE_LEDGER_LEAD:
      quince_ledger_node_take_lead (node, &message->QuinceMessage_u.ledger_lead);
      break;
    case QUINCE_MESSAGE_SERVICE_CALL:
      node->callbacks->service_call (link, &message->QuinceMessage_u.service_call, node->user_data);
      break;
    default:
      node->callbacks->other_message (link, message, node->user_data);
      break;
    }
  quince_message_free (message);
}

static void
link_closed (QuinceLink *link, const GError *error, gpointer data)
{
  QuinceLedgerNode *node = data;
  quince_ledger_node_drop_backup (node, link);
  node->callbacks->link_closed (link, node->user_data);
  g_hash_table_remove (node->incoming, link);
}

static const QuinceLinkCallbacks link_callbacks = { .message = link_message, .closed = link_closed };

static void
link_accepted (QuinceLink *link, gpointer data)
{
  QuinceLedgerNode *node = data;
  g_hash_table_add (node->incoming, link);
}

/* ---- Leadership ------------------------------------------------------- */

static void
free_entry (gpointer data)
{
  QuinceLogEntry *entry = data;
  g_free (entry->record.record_val);
  g_free (entry);
}

static void
clear_records (QuinceLedgerNode *node)
{
  for (guint i = 0; i < node->unwritten->len; i++)
    g_free (g_array_index (node->unwritten, QuinceLogEntry, i).record.record_val);
  g_array_set_size (node->unwritten, 0);
  g_queue_clear_full (&node->uncommitted, free_entry);
  quince_source_clear (&node->flush);
}

/* A leader that cannot write must not go on: another one takes over. */
static void
write_records (QuinceLedgerNode *node, const QuinceLogEntry *entries, guint n_entries)
{
  g_autoptr (GError) error = NULL;
  if (!quince_batch_log_append (node->log, entries, n_entries, FALSE, node->next_index - 1,
                                quince_ledger_group_get_commit_index (node->group), &error))
    {
      quince_log_failure ("ledger_disk_failed", "doing=append reason=\"%s\"", error->message);
      abort ();
    }
  quince_ledger_node_note_end (node);
}

static void
stop_leading (QuinceLedgerNode *node)
{
  quince_log_warning ("ledger_role", "role=backup epoch_led=%" G_GUINT64_FORMAT, node->led_epoch);
  node->led_epoch = 0;
  quince_ledger_node_drop_backups (node);
  clear_records (node);
  if (node->led || node->reading != NULL)
    {
      quince_source_clear (&node->reading);
      node->led = FALSE;
      node->confinement_known = FALSE;
      node->callbacks->stopped_leading (node->user_data);
    }
}

void
quince_ledger_node_note_end (QuinceLedgerNode *node)
{
  guint64 index = quince_batch_log_get_last_index (node->log);
  const QuinceLogEnd end = { .epoch = quince_batch_log_get_epoch (node->log, index), .index = index };
  quince_ledger_group_set_log_end (node->group, &end);
}

/* A record of the new epoch: older ones count as committed only together with it. */
static void
mark_epoch (QuinceLedgerNode *node)
{
  const QuinceLogEntry mark = { .index = node->next_index++, .epoch = node->led_epoch };
  write_records (node, &mark, 1);
}

static void
begin_leading (QuinceLedgerNode *node, guint64 epoch)
{
  node->led_epoch = epoch;
  node->next_index = quince_batch_log_get_last_index (node->log) + 1;
  quince_ledger_node_unfollow (node);
  quince_ledger_node_drop_backups (node);
  mark_epoch (node);
  quince_log_info ("ledger_role", "role=primary epoch=%" G_GUINT64_FORMAT " last_index=%" G_GUINT64_FORMAT,
                   epoch, node->next_index - 1);
}

void
quince_ledger_node_update_role (QuinceLedgerNode *node)
{
  const QuinceLedgerView *view = quince_ledger_group_get_view (node->group);
  gboolean primary = quince_ledger_group_get_role (node->group) == QUINCE_LEDGER_PRIMARY;
  if (node->led_epoch != 0 && (!primary || view->epoch != node->led_epoch))
    stop_leading (node);
  if (primary && node->led_epoch == 0)
    begin_leading (node, view->epoch);
  /* Who has left the view gets no record that is written from now on. */
  if (node->led_epoch != 0)
    quince_ledger_node_choose_fed (node);
  quince_ledger_node_follow (node);
  quince_ledger_node_advance (node);
}

/* ---- Records ---------------------------------------------------------- */

static void
tell_record (QuinceLedgerNode *node, const QuinceLogEntry *entry)
{
  if (entry->record.record_len == 0)
    return; /* its batch is forgotten */
  QuinceBatchRecord *record
      = quince_batch_record_unpack (entry->record.record_val, entry->record.record_len, NULL);
  if (record != NULL)
    node->callbacks->committed (entry->index, record, node->user_data);
  else
    quince_log_failure ("ledger_record_unreadable", "index=%" G_GUINT64_FORMAT, (guint64)entry->index);
}

/* Tells stored records until the turn's time is up. */
static gboolean
tell_stored (const QuinceLogEntry *entry, gpointer data)
{
  QuinceLedgerNode *node = data;
  tell_record (node, entry);
  node->delivered_index = entry->index;
  return quince_now_us () < node->turn_ends_us;
}

/* A log of some thousand records takes seconds to read on a small machine.  Between two turns heartbeats go
 * out: without them the others would elect another leader, which would begin to read in its turn. */
static gboolean
read_more (gpointer data)
{
  QuinceLedgerNode *node = data;
  g_autoptr (GError) error = NULL;
  node->turn_ends_us = quince_now_us () + READ_TURN_US;
  if (!quince_batch_log_walk (node->log, node->delivered_index + 1, tell_stored, node, &error))
    {
      /* What it cannot read it cannot answer for: another replica can. */
      quince_log_failure ("ledger_disk_failed", "doing=read reason=\"%s\"", error->message);
      abort ();
    }
  if (node->delivered_index < quince_batch_log_get_last_index (node->log))
    return G_SOURCE_CONTINUE;
  quince_source_clear (&node->reading);
  node->led = TRUE;
  quince_log_info ("ledger_recovered",
                   "epoch=%" G_GUINT64_FORMAT " index=%" G_GUINT64_FORMAT " read_ms=%" G_GINT64_FORMAT,
                   node->led_epoch, node->delivered_index, (quince_now_us () - node->read_since_us) / 1000);
  node->callbacks->leads (node->user_data);
  quince_ledger_node_advance (node);
  return G_SOURCE_REMOVE;
}

/* All that was acknowledged is held by enough machines: this replica leads once it has read it. */
static void
begin_reading (QuinceLedgerNode *node)
{
  node->delivered_index = 0;
  node->read_since_us = quince_now_us ();
  node->reading = quince_timer_add (0, read_more, node);
}

void
quince_ledger_node_advance (QuinceLedgerNode *node)
{
  if (node->led_epoch == 0)
    return;
  if (!node->led && node->reading == NULL && quince_ledger_group_may_answer (node->group, quince_now_us ()))
    begin_reading (node);
  if (!node->led)
    return;
  guint64 commit = quince_ledger_group_get_commit_index (node->group);
  while (node->uncommitted.head != NULL && ((QuinceLogEntry *)node->uncommitted.head->data)->index <= commit)
    {
      QuinceLogEntry *entry = g_queue_pop_head (&node->uncommitted);
      tell_record (node, entry);
      free_entry (entry);
    }
}

static gboolean
flush_records (gpointer data)
{
  QuinceLedgerNode *node = data;
  quince_source_clear (&node->flush);
  write_records (node, (const QuinceLogEntry *)node->unwritten->data, node->unwritten->len);
  for (guint i = 0; i < node->unwritten->len; i++)
    g_queue_push_tail (&node->uncommitted, g_memdup2 (&g_array_index (node->unwritten, QuinceLogEntry, i),
                                                      sizeof (QuinceLogEntry)));
  g_array_set_size (node->unwritten, 0);
  quince_ledger_node_send_backups (node, FALSE);
  quince_ledger_node_advance (node);
  return G_SOURCE_REMOVE;
}

guint64
quince_ledger_node_append (QuinceLedgerNode *node, const QuinceBatchRecord *record)
{
  if (!node->led)
    return 0;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) encoded = quince_batch_record_encode (record, &error);
  if (encoded == NULL)
    {
      quince_log_failure ("ledger_record_refused", "reason=\"%s\"", error->message);
      return 0;
    }
  g_array_set_size (node->unwritten, node->unwritten->len + 1);
  QuinceLogEntry *entry = &g_array_index (node->unwritten, QuinceLogEntry, node->unwritten->len - 1);
  gsize length;
  entry->index = node->next_index++;
  entry->epoch = node->led_epoch;
  entry->record.record_val = g_bytes_unref_to_data (quince_batch_record_pack (encoded), &length);
  entry->record.record_len = (u_int)length;
  if (node->flush == NULL)
    node->flush = quince_timer_add (0, flush_records, node);
  return entry->index;
}

/* ---- Time ------------------------------------------------------------- */

static void
compact (QuinceLedgerNode *node, gint64 now)
{
  g_autoptr (GError) error = NULL;
  if (now - node->compacted_us < COMPACT_EVERY_US)
    return;
  node->compacted_us = now;
  if (!quince_batch_log_compact (node->log, &node->compacted, COMPACT_MAX, &error))
    quince_log_failure ("ledger_disk_failed", "doing=compact reason=\"%s\"", error->message);
}

static void
note_orders (QuinceLedgerNode *node, gint64 now)
{
  g_autoptr (GError) error = NULL;
  quince_ledger_group_note_orders (node->group, now);
  if (!quince_ledger_node_keep (node, &error))
    quince_log_failure ("ledger_disk_failed", "doing=note_orders reason=\"%s\"", error->message);
}

static gboolean
tick (gpointer data)
{
  QuinceLedgerNode *node = data;
  gint64 now = quince_now_us ();
  /* Nothing else tells a replica that there is no view yet, and that it may found the ledger. */
  if (!node->answered_view && !quince_meta_store_is_failing (node->store)
      && now - node->view_requested_us > CONFIRM_EVERY_US)
    quince_ledger_node_ask_view (node);
  quince_ledger_node_campaign (node);
  quince_ledger_node_propose (node);
  quince_ledger_node_query_leader (node);
  quince_ledger_node_lead_without_store (node);
  quince_ledger_node_follow (node);
  compact (node, now);
  if (node->led_epoch != 0)
    {
      quince_ledger_node_send_backups (node, TRUE);
      /* It may also have been doing nothing for long, and the view may have changed meanwhile. */
      if (!quince_ledger_group_may_accept (node->group, now)
          && now - node->view_requested_us > CONFIRM_EVERY_US)
        quince_ledger_node_ask_view (node);
      quince_ledger_node_advance (node);
    }
  if (node->led)
    note_orders (node, now);
  return G_SOURCE_CONTINUE;
}

/* ---- Public ----------------------------------------------------------- */

QuinceLedgerNode *
quince_ledger_node_new (const QuinceLedgerNodeOptions *options,
                        QuinceMetaStore *store,
                        const QuinceLedgerNodeCallbacks *callbacks,
                        gpointer user_data,
                        GError **error)
{
  gboolean was_empty = FALSE;
  g_autoptr (QuinceBatchLog) log = quince_batch_log_open (options->folder, &was_empty, error);
  if (log == NULL)
    return NULL;
  QuinceLedgerNode *node = g_new0 (QuinceLedgerNode, 1);
  node->server = quince_link_server_new (options->listen, &link_callbacks, link_accepted, node, error);
  if (node->server == NULL)
    {
      g_free (node);
      return NULL;
    }
  node->store = store;
  node->callbacks = callbacks;
  node->user_data = user_data;
  node->log = g_steal_pointer (&log);
  node->several_regions = options->several_regions;
  node->copies_least = options->limits.copies_least;
  node->self.node = g_strdup (options->node);
  node->zone = g_strdup (options->zone);
  node->self.address = g_strdup (quince_link_server_get_address (node->server));
  node->self.replica = quince_batch_log_get_replica (node->log);
  node->group = quince_ledger_group_new (&node->self, &options->limits, quince_batch_log_get_kept (node->log),
                                         options->may_found, quince_now_us ());
  quince_ledger_group_set_zone (node->group, node->self.replica, node->zone);
  quince_ledger_node_note_end (node);
  node->incoming = g_hash_table_new_full (NULL, NULL, (GDestroyNotify)quince_link_unref, NULL);
  node->query_links
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, (GDestroyNotify)quince_link_unref);
  node->moved = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  node->backups = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, quince_backup_link_free);
  node->unwritten = g_array_new (FALSE, FALSE, sizeof (QuinceLogEntry));
  g_queue_init (&node->uncommitted);
  quince_log_info ("disk_opened", "replica=%" G_GUINT64_FORMAT " empty=%s last_index=%" G_GUINT64_FORMAT,
                   (guint64)node->self.replica, was_empty ? "true" : "false",
                   quince_batch_log_get_last_index (node->log));
  quince_ledger_node_ask_view (node);
  node->tick = quince_timer_add (TICK_MS, tick, node);
  return node;
}

void
quince_ledger_node_free (QuinceLedgerNode *node)
{
  if (node == NULL)
    return;
  quince_source_clear (&node->tick);
  quince_source_clear (&node->reading);
  clear_records (node);
  quince_ledger_node_unfollow (node);
  quince_ledger_node_close_queries (node);
  quince_ledger_node_drop_backups (node);
  GHashTableIter iter;
  gpointer link;
  g_hash_table_iter_init (&iter, node->incoming);
  while (g_hash_table_iter_next (&iter, &link, NULL))
    quince_link_close (link);
  g_hash_table_unref (node->incoming);
  g_hash_table_unref (node->backups);
  g_hash_table_unref (node->query_links);
  g_hash_table_unref (node->moved);
  g_array_unref (node->unwritten);
  quince_link_server_free (node->server);
  quince_ledger_group_free (node->group);
  quince_batch_log_close (node->log);
  g_strfreev (node->confined);
  g_free (node->self.node);
  g_free (node->zone);
  g_free (node->self.address);
  g_free (node);
}

void
quince_ledger_node_set_leaving (QuinceLedgerNode *node, const char *const *nodes)
{
  quince_ledger_group_set_leaving (node->group, nodes);
}

void
quince_ledger_node_confine (QuinceLedgerNode *node, const char *const *nodes)
{
  gboolean same = (nodes == NULL) == (node->confined == NULL)
                  && (nodes == NULL || g_strv_equal (nodes, (const char *const *)node->confined));
  if (same && node->confinement_known)
    return;
  node->confinement_known = TRUE;
  g_strfreev (node->confined);
  node->confined = g_strdupv ((char **)nodes);
  quince_ledger_group_confine (node->group, nodes);
  if (node->led_epoch != 0)
    quince_ledger_node_choose_fed (node);
}

gboolean
quince_ledger_node_is_leading (const QuinceLedgerNode *node)
{
  return node->led;
}

gboolean
quince_ledger_node_may_answer (const QuinceLedgerNode *node)
{
  return node->led && quince_ledger_group_may_answer (node->group, quince_now_us ());
}

gboolean
quince_ledger_node_may_accept (const QuinceLedgerNode *node)
{
  return node->led && quince_ledger_group_may_accept (node->group, quince_now_us ());
}

gboolean
quince_ledger_node_may_order (const QuinceLedgerNode *node)
{
  return node->led && quince_ledger_group_may_order (node->group, quince_now_us ());
}

guint64
quince_ledger_node_get_epoch (const QuinceLedgerNode *node)
{
  return node->led_epoch;
}

gboolean
quince_ledger_node_is_unpublished (const QuinceLedgerNode *node)
{
  return quince_ledger_group_is_unpublished (node->group);
}

const QuinceLedgerView *
quince_ledger_node_get_view (const QuinceLedgerNode *node)
{
  return quince_ledger_group_get_view (node->group);
}

guint64
quince_ledger_node_get_last_index (const QuinceLedgerNode *node)
{
  return quince_batch_log_get_last_index (node->log);
}

guint64
quince_ledger_node_get_commit_index (const QuinceLedgerNode *node)
{
  return quince_ledger_group_get_commit_index (node->group);
}
