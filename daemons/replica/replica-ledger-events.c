/*
 * replica-ledger-events.c: dispatches events of the ledger node to the other parts of the replica.
 */
#include "replica-ledger-events.h"

#include "forward/residency-lookup.h"
#include "observer/store-feed.h"
#include "runtime/clock.h"
#include "runtime/packed-message.h"

#include "replica-leadership.h"
#include "replica-parts.h"

/* ---- Leadership ---------------------------------------------------------- */

static void
handle_started_leading (gpointer data)
{
  const QuinceReplicaParts *parts = data;
  quince_replica_leadership_start (parts->leadership);
}

static void
handle_stopped_leading (gpointer data)
{
  const QuinceReplicaParts *parts = data;
  quince_replica_leadership_stop (parts->leadership);
}

/* Offers the new leader the progress that this replica received from the former leader.  This replica may
 * have the progress although it was not elected, for example because its log lacked a record.  If there is
 * none, an empty offer is sent, so that the leader does not wait for it.  No text is offered if the
 * configuration has region rules, since only a leader knows which machines may receive which texts. */
static void
forward_progress_to_leader (const QuinceReplicaParts *parts, QuinceLink *leader)
{
  g_autoptr (GArray) items = g_array_new (FALSE, FALSE, sizeof (QuinceProgressItem));
  if (!quince_backends_has_region_rules (parts->backends))
    quince_progress_store_list_offers (parts->progress, quince_now_us (), items);
  g_autoptr (GBytes) packed = quince_progress_pack_items (items);
  if (packed != NULL)
    quince_link_send_bytes (leader, packed);
}

static void
handle_leader_connected (QuinceLink *leader, gpointer data)
{
  const QuinceReplicaParts *parts = data;
  forward_progress_to_leader (parts, leader);
  quince_store_feed_subscribe (parts->observer, leader, QUINCE_FEED_ROLE_RELAY);
}

static void
handle_leader_disconnected (gpointer data)
{
  const QuinceReplicaParts *parts = data;
  quince_observer_handle_feeder_loss (parts->observer);
}

/* ---- Records and calls --------------------------------------------------- */

static void
handle_commit (guint64 index, QuinceBatchRecord *record, gpointer data)
{
  const QuinceReplicaParts *parts = data;
  if (record->kind == QUINCE_BATCH_RECORD_ORDERS)
    quince_order_records_apply_record (parts->order_records, index, record);
  else if (!quince_usage_collector_is_record (record))
    quince_batch_service_apply_record (parts->batches, index, record);
  else if (parts->usage != NULL)
    quince_usage_collector_apply_record (parts->usage, index, record);
  else
    quince_batch_record_free (record);
}

static void
handle_service_call (QuinceLink *link, QuinceServiceCall *call, gpointer data)
{
  const QuinceReplicaParts *parts = data;
  quince_batch_service_handle_call (parts->batches, link, call);
}

static gboolean
handle_admit_call (QuinceLink *link, guint64 id, gsize frame_bytes, QuinceMemoryHold **hold, gpointer data)
{
  const QuinceReplicaParts *parts = data;
  return quince_batch_service_admit_call (parts->batches, link, id, frame_bytes, hold);
}

static void
handle_backup_joined (QuinceLink *link, const QuinceLedgerHello *hello, gpointer data)
{
  const QuinceReplicaParts *parts = data;
  quince_feed_service_add_replica (parts->feed, link, hello);
}

static void
handle_link_closed (QuinceLink *link, gpointer data)
{
  const QuinceReplicaParts *parts = data;
  quince_batch_service_link_closed (parts->batches, link);
  if (parts->usage != NULL)
    quince_usage_collector_link_closed (parts->usage, link);
  quince_quarantine_coordinator_link_closed (parts->quarantine, link);
  quince_feed_service_link_closed (parts->feed, link);
}

/* ---- Messages from other processes ---------------------------------------- */

/* Passes the report to the usage collector.  If there is none, since the platform wants no usage reports,
 * acknowledges the events, so that the front can drop them. */
static void
handle_usage_report (const QuinceReplicaParts *parts, QuinceLink *link, const QuinceUsageReport *report)
{
  if (parts->usage != NULL)
    {
      quince_usage_collector_handle_report (parts->usage, link, report);
      return;
    }
  QuinceMessage message = { .kind = QUINCE_MESSAGE_USAGE_ACK };
  QuinceUsageAck *ack = &message.QuinceMessage_u.usage_ack;
  ack->source = report->source;
  if (report->events.events_len > 0)
    ack->sequence = report->events.events_val[report->events.events_len - 1].sequence;
  quince_link_send (link, &message);
}

/* A leader, also one that still reads its log, receives offers of its backups; a backup receives reports of
 * the leader. */
static void
handle_progress (const QuinceReplicaParts *parts, QuinceLink *link, const QuinceSampleProgress *progress)
{
  if (link == quince_ledger_node_get_leader_link (parts->ledger))
    {
      quince_progress_copies_record_report (parts->progress_copies);
      quince_progress_store_apply (parts->progress, quince_now_us (), progress);
      quince_progress_file_append (parts->progress_file, progress);
      return;
    }
  quince_progress_copies_record_offer (parts->progress_copies, link);
  if (quince_replica_leadership_is_active (parts->leadership))
    quince_batch_service_apply_progress (parts->batches, progress);
  else
    quince_progress_store_merge (parts->progress, quince_now_us (), progress);
}

/* A leader receives updates from reserve readers, a backup from the leader. */
static void
handle_feed_update (const QuinceReplicaParts *parts, QuinceLink *link, const QuinceFeedUpdate *update)
{
  if (quince_replica_leadership_is_active (parts->leadership))
    quince_feed_service_apply_report (parts->feed, link, update);
  else
    quince_feed_service_relay (parts->feed, link, update);
}

static void
handle_heartbeat (const QuinceReplicaParts *parts)
{
  if (quince_replica_leadership_is_active (parts->leadership))
    return;
  quince_observer_record_feeder_contact (parts->observer);
  quince_feed_service_record_leader_contact (parts->feed);
}

/* From the leader this is a query for the active policy, from other processes a subscription to the feed. */
static void
handle_feed_subscribe (const QuinceReplicaParts *parts,
                       QuinceLink *link,
                       const QuinceFeedSubscribe *subscribe)
{
  if (link == quince_ledger_node_get_leader_link (parts->ledger))
    {
      quince_store_feed_send_newer_policy (parts->observer, link, subscribe);
      return;
    }
  quince_feed_service_subscribe (parts->feed, link, subscribe);
  if (quince_store_feed_get_role (subscribe) != QUINCE_FEED_ROLE_CHILD)
    quince_quarantine_coordinator_add_link (parts->quarantine, link);
}

static void
handle_message (QuinceLink *link, const QuinceMessage *message, gpointer data)
{
  const QuinceReplicaParts *parts = data;
  switch (message->kind)
    {
    case QUINCE_MESSAGE_FEED_SUBSCRIBE:
      handle_feed_subscribe (parts, link, &message->QuinceMessage_u.feed_subscribe);
      break;
    case QUINCE_MESSAGE_FEED_UPDATE:
      handle_feed_update (parts, link, &message->QuinceMessage_u.feed_update);
      break;
    case QUINCE_MESSAGE_HEARTBEAT:
      handle_heartbeat (parts);
      break;
    case QUINCE_MESSAGE_HEARTBEAT_ACK:
      quince_link_record_probe_answer (link);
      quince_heartbeats_record_ack (parts->heartbeats, &message->QuinceMessage_u.heartbeat_ack);
      break;
    case QUINCE_MESSAGE_USAGE_REPORT:
      handle_usage_report (parts, link, &message->QuinceMessage_u.usage_report);
      break;
    case QUINCE_MESSAGE_PROGRESS:
      handle_progress (parts, link, &message->QuinceMessage_u.progress);
      break;
    default:
      if (!quince_warmup_coordinator_handle_message (parts->warmup, link, message))
        quince_quarantine_coordinator_handle_message (parts->quarantine, link, message);
      break;
    }
}

const QuinceLedgerNodeCallbacks quince_replica_ledger_callbacks
    = { .started_leading = handle_started_leading,
        .stopped_leading = handle_stopped_leading,
        .committed = handle_commit,
        .service_call = handle_service_call,
        .admit_call = handle_admit_call,
        .backup_joined = handle_backup_joined,
        .link_closed = handle_link_closed,
        .leader_connected = handle_leader_connected,
        .other_message = handle_message,
        .leader_disconnected = handle_leader_disconnected };
