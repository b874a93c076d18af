/*
 * ledger-node.c: connects election, membership, replication, follower and records of a ledger replica.  They
 * do not call each other: each reports events to the node, which applies changes of the role to all of them.
 */
#include "ledger-node.h"

#include "runtime/clock.h"
#include "runtime/timer.h"
#include "runtime/log.h"
#include "ledger-node-private.h"

/* Interval of periodic work and of a leader's heartbeats, ms; several fit in the leader timeout of 1 s. */
#define TICK_INTERVAL_MS 150

static void
start_leading (QuinceLedgerNode *node, guint64 epoch)
{
  quince_ledger_follower_stop (node->follower);
  quince_ledger_replication_start_leading (node->replication, epoch);
  quince_ledger_records_start_leading (node->records, epoch);
  quince_log_info ("ledger_role", "role=primary epoch=%" G_GUINT64_FORMAT " last_index=%" G_GUINT64_FORMAT,
                   epoch, quince_ledger_node_get_last_index (node));
}

static void
stop_leading (QuinceLedgerNode *node)
{
  quince_log_warning ("ledger_role", "role=backup epoch_led=%" G_GUINT64_FORMAT,
                      quince_ledger_records_get_epoch (node->records));
  gboolean reading_started = quince_ledger_records_stop_leading (node->records);
  quince_ledger_replication_stop_leading (node->replication, reading_started);
  if (reading_started)
    node->callbacks->stopped_leading (node->user_data);
}

/* Starts or stops leading and following according to the role in the group. */
static void
apply_role (QuinceLedgerNode *node)
{
  const QuinceLedgerView *view = quince_ledger_group_get_view (node->group);
  gboolean is_leader = quince_ledger_group_get_role (node->group) == QUINCE_LEDGER_LEADER;
  guint64 epoch = quince_ledger_records_get_epoch (node->records);
  if (epoch != 0 && (!is_leader || view->epoch != epoch))
    stop_leading (node);
  if (is_leader && quince_ledger_records_get_epoch (node->records) == 0)
    start_leading (node, view->epoch);
  /* A replica that was removed from the view must not receive new records. */
  if (quince_ledger_records_get_epoch (node->records) != 0)
    quince_ledger_replication_choose_recipients (node->replication);
  quince_ledger_follower_update_link (node->follower);
  quince_ledger_records_advance (node->records);
}

/* ---- Callbacks of the parts ---------------------------------------------- */

static void
election_role_changed (gpointer data)
{
  apply_role (data);
}

static void
propose_view_change (gpointer data)
{
  QuinceLedgerNode *node = data;
  quince_ledger_membership_propose (node->membership);
}

static gboolean
election_is_backup (guint64 replica, gpointer data)
{
  const QuinceLedgerNode *node = data;
  return quince_ledger_replication_has_backup (node->replication, replica);
}

static const QuinceLedgerElectionCallbacks election_callbacks = { .role_changed = election_role_changed,
                                                                  .propose_view_change = propose_view_change,
                                                                  .is_backup = election_is_backup };

static void
handle_member_promise (const QuinceLedgerPromise *promise, gpointer data)
{
  QuinceLedgerNode *node = data;
  quince_ledger_election_handle_promise (node->election, promise);
}

static void
handle_member_lead (const QuinceLedgerLead *lead, gpointer data)
{
  QuinceLedgerNode *node = data;
  quince_ledger_election_handle_lead (node->election, lead);
}

static void
handle_member_change_ack (const QuinceLedgerChangeAck *ack, gpointer data)
{
  QuinceLedgerNode *node = data;
  quince_ledger_election_handle_change_ack (node->election, ack);
}

static const QuinceLedgerMemberLinksCallbacks member_callbacks
    = { .promise_received = handle_member_promise,
        .lead_received = handle_member_lead,
        .change_ack_received = handle_member_change_ack };

static void
handle_view_changed (gboolean is_newer, gpointer data)
{
  QuinceLedgerNode *node = data;
  if (is_newer)
    quince_ledger_member_links_clear_addresses (node->member_links);
  apply_role (node);
  /* A restarted former leader asks the members for promises without waiting for the next tick. */
  if (is_newer)
    quince_ledger_election_campaign (node->election);
}

static const QuinceLedgerMembershipCallbacks membership_callbacks = { .changed = handle_view_changed };

static void
handle_leader_connected (QuinceLink *link, gpointer data)
{
  QuinceLedgerNode *node = data;
  node->callbacks->leader_connected (link, node->user_data);
}

static void
handle_leader_message (QuinceLink *link, const QuinceMessage *message, gpointer data)
{
  QuinceLedgerNode *node = data;
  node->callbacks->other_message (link, message, node->user_data);
}

static void
handle_leader_disconnected (gpointer data)
{
  QuinceLedgerNode *node = data;
  node->callbacks->leader_disconnected (node->user_data);
}

static const QuinceLedgerFollowerCallbacks follower_callbacks
    = { .leader_connected = handle_leader_connected,
        .other_message = handle_leader_message,
        .leader_disconnected = handle_leader_disconnected };

static void
record_committed (guint64 index, QuinceBatchRecord *record, gpointer data)
{
  QuinceLedgerNode *node = data;
  node->callbacks->committed (index, record, node->user_data);
}

static void
records_written (gpointer data)
{
  QuinceLedgerNode *node = data;
  quince_ledger_replication_send (node->replication, FALSE);
}

static void
records_recovered (gpointer data)
{
  QuinceLedgerNode *node = data;
  quince_ledger_replication_set_recovered (node->replication);
  node->callbacks->started_leading (node->user_data);
}

static const QuinceLedgerRecordsCallbacks records_callbacks
    = { .committed = record_committed, .written = records_written, .recovered = records_recovered };

/* ---- Links and timer ----------------------------------------------------- */

static void
handle_hello (QuinceLedgerNode *node, QuinceLink *link, const QuinceLedgerHello *hello)
{
  if (quince_ledger_records_get_epoch (node->records) != 0)
    {
      quince_ledger_replication_add_backup (node->replication, link, hello);
      node->callbacks->backup_joined (link, hello, node->user_data);
      return;
    }
  /* A restarted former leader needs promises from members that reconnect, possibly from new addresses. */
  gboolean address_changed = quince_ledger_member_links_set_address (node->member_links, &hello->member);
  quince_link_close (link);
  if (address_changed)
    quince_ledger_election_campaign (node->election);
}

static void
link_message (QuinceLink *link, QuinceMessage *message, gpointer data)
{
  QuinceLedgerNode *node = data;
  switch (message->kind)
    {
    case QUINCE_MESSAGE_LEDGER_HELLO:
      handle_hello (node, link, &message->QuinceMessage_u.ledger_hello);
      break;
    case QUINCE_MESSAGE_LEDGER_ACK:
      if (quince_ledger_replication_handle_ack (node->replication, link,
                                                &message->QuinceMessage_u.ledger_ack))
        quince_ledger_records_advance (node->records);
      break;
    case QUINCE_MESSAGE_LEDGER_ASK:
      quince_ledger_election_handle_promise_request (node->election, link,
                                                     &message->QuinceMessage_u.ledger_ask);
      break;
    case QUINCE_MESSAGE_LEDGER_QUERY:
      quince_ledger_election_handle_query (node->election, link, &message->QuinceMessage_u.ledger_query);
      break;
    case QUINCE_MESSAGE_LEDGER_CHANGE_REQUEST:
      quince_ledger_election_handle_change_request (node->election, link,
                                                    &message->QuinceMessage_u.ledger_change_request);
      break;
    case QUINCE_MESSAGE_LEDGER_LEAD:
      quince_ledger_election_handle_lead (node->election, &message->QuinceMessage_u.ledger_lead);
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
  quince_ledger_replication_remove_backup (node->replication, link);
  node->callbacks->link_closed (link, node->user_data);
  g_hash_table_remove (node->incoming_links, link);
}

/* Only the calls of fronts carry what callers sent. */
static gboolean
link_admit (QuinceLink *link,
            const guint8 *start,
            gsize available,
            gsize frame_bytes,
            QuinceMemoryHold **hold,
            gpointer data)
{
  QuinceLedgerNode *node = data;
  guint64 call_id;
  if (!quince_message_peek_service_call (start, available, &call_id))
    return TRUE;
  return node->callbacks->admit_call (link, call_id, frame_bytes, hold, node->user_data);
}

static const QuinceLinkCallbacks link_callbacks
    = { .message = link_message, .closed = link_closed, .admit = link_admit };

static void
link_accepted (QuinceLink *link, gpointer data)
{
  QuinceLedgerNode *node = data;
  g_hash_table_add (node->incoming_links, link);
}

static void
run_leader_tasks (QuinceLedgerNode *node, gint64 now_us)
{
  quince_ledger_replication_send (node->replication, TRUE);
  /* Either the backups do not answer, or this process was suspended.  The view may have changed since. */
  if (!quince_ledger_group_may_accept (node->group, now_us))
    quince_ledger_membership_refresh_view (node->membership, now_us);
  quince_ledger_records_advance (node->records);
  if (!quince_ledger_node_is_leading (node))
    return;
  /* Saves that this leader may give orders in its epoch. */
  quince_ledger_group_record_orders (node->group, now_us);
  quince_ledger_storage_save_state (node->storage, "note_orders");
}

static gboolean
tick (gpointer data)
{
  QuinceLedgerNode *node = data;
  gint64 now_us = quince_now_us ();
  quince_ledger_membership_read_initial_view (node->membership, now_us);
  /* A process that was suspended reads the pending messages of the leader before it campaigns.  Otherwise it
   * would replace a healthy leader: in a view of two members its own promise is enough. */
  if (!quince_ledger_follower_has_input (node->follower))
    quince_ledger_election_campaign (node->election);
  quince_ledger_membership_read_for_candidate (node->membership, now_us);
  quince_ledger_membership_propose (node->membership);
  quince_ledger_election_query (node->election, quince_ledger_records_get_epoch (node->records) != 0);
  quince_ledger_election_try_lead_without_store (node->election);
  quince_ledger_follower_update_link (node->follower);
  quince_ledger_storage_compact (node->storage, now_us);
  if (quince_ledger_records_get_epoch (node->records) != 0)
    run_leader_tasks (node, now_us);
  quince_ledger_outage_update (&node->outage, node->group, quince_ledger_node_get_answer_refusal (node),
                               node->self.replica, now_us);
  return G_SOURCE_CONTINUE;
}

/* ---- Public functions ---------------------------------------------------- */

static void
create_group (QuinceLedgerNode *node, const QuinceLedgerNodeOptions *options)
{
  const QuinceBatchLog *log = quince_ledger_storage_get_log (node->storage);
  node->self.node = g_strdup (options->node);
  node->self.address = g_strdup (quince_link_server_get_address (node->server));
  node->self.replica = quince_batch_log_get_replica_id (log);
  node->zone = g_strdup (options->zone);
  node->group
      = quince_ledger_group_new (&node->self, &options->limits, quince_batch_log_get_persistent_state (log),
                                 options->may_bootstrap, quince_now_us ());
  quince_ledger_group_set_zone (node->group, node->self.replica, node->zone);
  quince_ledger_storage_set_group (node->storage, node->group);
}

static void
create_parts (QuinceLedgerNode *node, const QuinceLedgerNodeOptions *options, QuinceMetaStore *store)
{
  node->member_links = quince_ledger_member_links_new (node->group, &member_callbacks, node);
  node->election = quince_ledger_election_new (node->self.replica, node->group, node->storage,
                                               node->member_links, store, &election_callbacks, node);
  node->membership
      = quince_ledger_membership_new (node->group, node->storage, store, &membership_callbacks, node);
  node->follower = quince_ledger_follower_new (&node->self, node->zone, node->storage, node->group,
                                               &follower_callbacks, node);
  node->replication
      = quince_ledger_replication_new (quince_ledger_storage_get_log (node->storage), node->group,
                                       options->several_regions, options->limits.quorum);
  node->records = quince_ledger_records_new (node->storage, node->group, &records_callbacks, node);
}

QuinceLedgerNode *
quince_ledger_node_new (const QuinceLedgerNodeOptions *options,
                        QuinceMetaStore *store,
                        const QuinceLedgerNodeCallbacks *callbacks,
                        gpointer user_data,
                        GError **error)
{
  gboolean was_empty = FALSE;
  g_autoptr (QuinceLedgerStorage) storage
      = quince_ledger_storage_open (options->folder, options->limits.order_pause_us, &was_empty, error);
  if (storage == NULL)
    return NULL;
  QuinceLedgerNode *node = g_new0 (QuinceLedgerNode, 1);
  node->server = quince_link_server_new (options->listen, &link_callbacks, link_accepted, node, error);
  if (node->server == NULL)
    {
      g_free (node);
      return NULL;
    }
  node->callbacks = callbacks;
  node->user_data = user_data;
  node->storage = g_steal_pointer (&storage);
  node->incoming_links = g_hash_table_new_full (NULL, NULL, (GDestroyNotify)quince_link_unref, NULL);
  create_group (node, options);
  create_parts (node, options, store);
  quince_log_info ("disk_opened", "replica=%" G_GUINT64_FORMAT " empty=%s last_index=%" G_GUINT64_FORMAT,
                   (guint64)node->self.replica, was_empty ? "true" : "false",
                   quince_ledger_node_get_last_index (node));
  quince_ledger_membership_read_view (node->membership);
  node->tick = quince_timer_add (TICK_INTERVAL_MS, tick, node);
  return node;
}

void
quince_ledger_node_free (QuinceLedgerNode *node)
{
  if (node == NULL)
    return;
  quince_timer_clear (&node->tick);
  quince_ledger_records_free (node->records);
  quince_ledger_follower_free (node->follower);
  quince_ledger_election_free (node->election);
  quince_ledger_member_links_free (node->member_links);
  quince_ledger_replication_free (node->replication);
  quince_ledger_membership_free (node->membership);
  GHashTableIter iter;
  gpointer link;
  g_hash_table_iter_init (&iter, node->incoming_links);
  while (g_hash_table_iter_next (&iter, &link, NULL))
    quince_link_close (link);
  g_hash_table_unref (node->incoming_links);
  quince_link_server_free (node->server);
  quince_ledger_group_free (node->group);
  quince_ledger_storage_close (node->storage);
  g_free (node->self.node);
  g_free (node->zone);
  g_free (node->self.address);
  g_free (node);
}

void
quince_ledger_node_set_view (QuinceLedgerNode *node, GBytes *value, guint64 revision)
{
  quince_ledger_membership_set_view (node->membership, value, revision);
}
