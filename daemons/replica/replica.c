/*
 * replica.c: the parts of a replica, and what they tell each other.
 */
#include "replica.h"

#include <string.h>

#include "observer/store-feed.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/packed-message.h"
#include "forward/policy-entry.h"
#include "runtime/program.h"
#include "forward/residency-lookup.h"
#include "runtime/suspension.h"
#include "runtime/clock.h"
#include "http1/text-server.h"

#include "batch-service.h"
#include "heartbeats.h"
#include "ledger-node.h"
#include "platform.h"
#include "quarantine-coordinator.h"
#include "residency-coordinator.h"
#include "retirement.h"
#include "worker-scaler.h"
#include "usage-collector.h"
#include "warmup-coordinator.h"
#include "weight-orders.h"

/* The leader's word stands so long without another sign. */
#define CONFIRM_US (600 * 1000)
#define PRIMARY_SILENCE_US (1000 * 1000)
#define MEMBER_SILENCE_US (1000 * 1000)
/* A former leader has stopped to order when another one can be promised its place; its last orders travel a
 * little. */
#define ORDER_MARGIN_US (200 * 1000)
#define STOP_MS 50
/* Progress of samples is told so often. */
#define TIMER_MS 200

typedef struct
{
  /* All fields belong to the main context. */
  char *name;
  QuinceMetaStore *store;
  QuinceBackends *backends;
  QuinceObserver *observer;
  QuinceLedgerNode *ledger;
  QuinceModelPlacement *placement;
  QuinceProgressStore *progress;
  QuinceProgressFile *progress_file;
  QuinceBatchService *batches;
  QuinceWeightOrders *orders; /* NULL: not leading */
  QuinceStoreFeed *feed;      /* NULL: not leading */
  QuinceHeartbeats *heartbeats;
  QuinceQuarantineCoordinator *quarantine;
  QuinceWarmupCoordinator *warmup;
  QuinceResidencyCoordinator *residency;
  QuinceUsageCollector *usage; /* NULL: the platform asks for no reports */
  QuinceWorkerScaler *scale;   /* NULL: no workers are ordered */
  GHashTable *askers;          /* QuinceLink to QuinceFeedSubscribe, both owned: those that asked for news */
  QuinceRetirement *retirement;
  QuinceTextServer *metrics; /* NULL: none */
  GSource *timer;
  QuinceSuspensionWatch *suspension;
} Replica;

/* ---- What the parts tell ---------------------------------------------- */

static gboolean
may_order (guint64 *fence, gpointer data)
{
  Replica *replica = data;
  *fence = quince_ledger_node_get_epoch (replica->ledger);
  return quince_ledger_node_may_order (replica->ledger);
}

/* No other one can lead: a quorum has followed this one lately. */
static gboolean
may_give_sends (gpointer data)
{
  Replica *replica = data;
  return replica->feed != NULL && quince_ledger_node_may_accept (replica->ledger);
}

static void
weights_loaded (gpointer data)
{
  Replica *replica = data;
  quince_batch_service_pump (replica->batches);
}

/* Before anything else is done with what lies in the ledger. */
static void
step_residency (Replica *replica)
{
  g_autoptr (GPtrArray) entries = quince_batch_service_list (replica->batches);
  quince_residency_coordinator_step (replica->residency,
                                     quince_ledger_node_is_leading (replica->ledger) ? entries : NULL);
}

static void
describe_samples (QuinceLoadPlan *plan, gpointer data)
{
  Replica *replica = data;
  quince_batch_service_fill_load_plan (replica->batches, plan);
}

static void
ledger_leads (gpointer data)
{
  Replica *replica = data;
  step_residency (replica);
  quince_batch_service_lead (replica->batches);
  if (replica->usage != NULL)
    quince_usage_collector_lead (replica->usage);
  if (replica->scale != NULL)
    quince_worker_scaler_lead (replica->scale);
  quince_progress_store_clear (replica->progress); /* the samples have it now */
  const QuinceWeightOrdersOptions options = { .holder = replica->name,
                                              .placement = replica->placement,
                                              .may_order = may_order,
                                              .loaded = weights_loaded,
                                              .describe = describe_samples };
  replica->orders = quince_weight_orders_start (replica->backends, replica->observer, &options, replica);
  quince_observer_feed_ended (replica->observer);
  replica->feed = quince_store_feed_new (replica->observer);
  quince_heartbeats_lead (replica->heartbeats, replica->askers);
  quince_quarantine_coordinator_lead (replica->quarantine, replica->askers);
  quince_warmup_coordinator_lead (replica->warmup);
  GHashTableIter iter;
  gpointer link;
  gpointer ask;
  g_hash_table_iter_init (&iter, replica->askers);
  while (g_hash_table_iter_next (&iter, &link, &ask))
    quince_store_feed_add (replica->feed, link, ask);
}

static void
ledger_stopped_leading (gpointer data)
{
  Replica *replica = data;
  g_clear_pointer (&replica->orders, quince_weight_orders_stop);
  g_clear_pointer (&replica->feed, quince_store_feed_free);
  quince_heartbeats_stop_leading (replica->heartbeats);
  quince_quarantine_coordinator_stop_leading (replica->quarantine);
  quince_batch_service_stop_leading (replica->batches);
  if (replica->usage != NULL)
    quince_usage_collector_stop_leading (replica->usage);
  if (replica->scale != NULL)
    quince_worker_scaler_stop_leading (replica->scale);
}

static void
ledger_committed (guint64 index, QuinceBatchRecord *record, gpointer data)
{
  Replica *replica = data;
  if (!quince_usage_collector_is_record (record))
    quince_batch_service_committed (replica->batches, index, record);
  else if (replica->usage != NULL)
    quince_usage_collector_committed (replica->usage, index, record);
  else
    quince_batch_record_free (record);
}

static void
service_call (QuinceLink *link, const QuinceServiceCall *call, gpointer data)
{
  Replica *replica = data;
  quince_batch_service_call (replica->batches, link, call);
}

static void
link_closed (QuinceLink *link, gpointer data)
{
  Replica *replica = data;
  quince_batch_service_link_closed (replica->batches, link);
  if (replica->usage != NULL)
    quince_usage_collector_link_closed (replica->usage, link);
  if (replica->feed != NULL)
    quince_store_feed_remove (replica->feed, link);
  quince_quarantine_coordinator_link_closed (replica->quarantine, link);
  g_hash_table_remove (replica->askers, link);
}

/* The leader before told its progress to this replica, and another one leads now: after the loss of a zone,
 * or where this log lacked a record.  Which machines may have which texts only a leader knows: where the
 * configuration names regions nothing is told. */
static void
pass_progress_on (Replica *replica, QuinceLink *leader)
{
  g_autoptr (GArray) items = g_array_new (FALSE, FALSE, sizeof (QuinceProgressItem));
  quince_progress_store_list (replica->progress, quince_now_us (), items);
  if (items->len == 0 || quince_backends_has_region_rules (replica->backends))
    return;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_PROGRESS };
  message.QuinceMessage_u.progress.items.items_val = (QuinceProgressItem *)items->data;
  message.QuinceMessage_u.progress.items.items_len = items->len;
  g_autoptr (GBytes) encoded = quince_message_encode (&message, NULL);
  if (encoded == NULL)
    return;
  g_autoptr (GBytes) packed = quince_message_pack (encoded, QUINCE_PACK_FAST);
  quince_link_send_bytes (leader, packed);
}

static void
followed (QuinceLink *link, gpointer data)
{
  Replica *replica = data;
  pass_progress_on (replica, link);
  quince_store_feed_subscribe (replica->observer, link);
}

static void
unfollowed (gpointer data)
{
  Replica *replica = data;
  quince_observer_feeder_lost (replica->observer);
}

static void
ask_free (gpointer data)
{
  QuinceFeedSubscribe *ask = data;
  g_free (ask->revisions.revisions_val);
  g_free (ask);
}

static QuinceFeedSubscribe *
copy_ask (const QuinceFeedSubscribe *ask)
{
  QuinceFeedSubscribe *copy = g_new0 (QuinceFeedSubscribe, 1);
  copy->revisions.revisions_len = ask->revisions.revisions_len;
  copy->revisions.revisions_val
      = g_memdup2 (ask->revisions.revisions_val, ask->revisions.revisions_len * sizeof (u_quad_t));
  return copy;
}

/* Where the platform asks for no reports of usage the fronts need not keep what they tell. */
static void
take_usage (Replica *replica, QuinceLink *link, const QuinceUsageReport *report)
{
  if (replica->usage != NULL)
    {
      quince_usage_collector_take_report (replica->usage, link, report);
      return;
    }
  QuinceMessage message = { .kind = QUINCE_MESSAGE_USAGE_ACK };
  message.QuinceMessage_u.usage_ack.source = report->source;
  if (report->events.events_len > 0)
    message.QuinceMessage_u.usage_ack.sequence
        = report->events.events_val[report->events.events_len - 1].sequence;
  quince_link_send (link, &message);
}

static void
other_message (QuinceLink *link, const QuinceMessage *message, gpointer data)
{
  Replica *replica = data;
  if (message->kind == QUINCE_MESSAGE_FEED_SUBSCRIBE)
    {
      const QuinceFeedSubscribe *ask = &message->QuinceMessage_u.feed_subscribe;
      /* It may lead a moment later. */
      g_hash_table_replace (replica->askers, quince_link_ref (link), copy_ask (ask));
      if (replica->feed != NULL)
        quince_store_feed_add (replica->feed, link, ask);
      quince_quarantine_coordinator_add (replica->quarantine, link);
    }
  else if (message->kind == QUINCE_MESSAGE_HEARTBEAT_ACK)
    quince_heartbeats_take_ack (replica->heartbeats, &message->QuinceMessage_u.heartbeat_ack);
  else if (message->kind == QUINCE_MESSAGE_USAGE_REPORT)
    take_usage (replica, link, &message->QuinceMessage_u.usage_report);
  else if (message->kind == QUINCE_MESSAGE_HEARTBEAT && replica->feed == NULL)
    quince_observer_feeder_alive (replica->observer);
  else if (message->kind == QUINCE_MESSAGE_PROGRESS && replica->feed == NULL)
    {
      quince_progress_store_take (replica->progress, quince_now_us (), &message->QuinceMessage_u.progress);
      quince_progress_file_keep (replica->progress_file, &message->QuinceMessage_u.progress);
    }
  else if (message->kind == QUINCE_MESSAGE_PROGRESS)
    quince_batch_service_take_progress (replica->batches, &message->QuinceMessage_u.progress);
  else if (message->kind == QUINCE_MESSAGE_FEED_UPDATE && replica->feed == NULL)
    quince_store_feed_apply (replica->observer, &message->QuinceMessage_u.feed_update);
  else if (message->kind == QUINCE_MESSAGE_FEED_UPDATE)
    quince_store_feed_apply_report (replica->feed, link, &message->QuinceMessage_u.feed_update);
  else if (!quince_warmup_coordinator_take (replica->warmup, link, message))
    quince_quarantine_coordinator_take (replica->quarantine, link, message);
}

/* The members of the view are few, linked to the leader, and on several machines.  Others tell the leader
 * nothing: where it is busy, and they read by themselves for that, they would keep it busy. */
static gboolean
is_reserve_reader (Replica *replica)
{
  return quince_ledger_view_has_node (quince_ledger_node_get_view (replica->ledger), replica->name);
}

static void
store_read (const char *prefix, const QuinceMetaPage *page, gpointer data)
{
  Replica *replica = data;
  QuinceLink *leader = replica->ledger != NULL ? quince_ledger_node_get_leader (replica->ledger) : NULL;
  if (replica->feed != NULL)
    quince_store_feed_publish (replica->feed, prefix, page);
  else if (leader != NULL && is_reserve_reader (replica))
    quince_store_feed_report (replica->observer, leader, prefix, page);
}

static const QuinceLedgerNodeCallbacks ledger_callbacks = { .leads = ledger_leads,
                                                            .stopped_leading = ledger_stopped_leading,
                                                            .committed = ledger_committed,
                                                            .service_call = service_call,
                                                            .link_closed = link_closed,
                                                            .followed = followed,
                                                            .other_message = other_message,
                                                            .unfollowed = unfollowed };

static void
own_key (const char *key, GBytes *value, guint64 revision, gpointer data)
{
  Replica *replica = data;
  if (g_str_equal (key, QUINCE_LEDGER_KEY) && replica->ledger != NULL)
    quince_ledger_node_take_view (replica->ledger, value, revision);
  else if (g_str_has_prefix (key, QUINCE_FRONTS_PREFIX))
    quince_heartbeats_set_listed (replica->heartbeats, key + strlen (QUINCE_FRONTS_PREFIX), value != NULL);
  else if (g_str_has_prefix (key, QUINCE_MACHINE_ZONES_PREFIX))
    quince_residency_coordinator_take_place (replica->residency, key + strlen (QUINCE_MACHINE_ZONES_PREFIX),
                                             value);
  else if (g_str_has_prefix (key, QUINCE_QUARANTINE_PREFIX))
    quince_quarantine_coordinator_take_key (replica->quarantine, key + strlen (QUINCE_QUARANTINE_PREFIX),
                                            value);
  else if (g_str_has_prefix (key, QUINCE_SUSPECTS_PREFIX))
    quince_quarantine_coordinator_take_list (replica->quarantine, key + strlen (QUINCE_SUSPECTS_PREFIX),
                                             value);
}

static void
version_named (const char *model, guint64 version, gpointer data)
{
  Replica *replica = data;
  if (replica->orders != NULL)
    quince_weight_orders_pump (replica->orders);
}

static void
leaving_changed (const char *const *nodes, gpointer data)
{
  Replica *replica = data;
  quince_retirement_set_nodes (replica->retirement, nodes);
  quince_residency_coordinator_set_leaving (replica->residency, nodes);
}

/* Workers went or came back: placement, loads and samples follow. */
static void
zones_changed (gpointer data)
{
  Replica *replica = data;
  if (replica->orders != NULL)
    quince_weight_orders_pump (replica->orders);
  if (replica->batches != NULL)
    quince_batch_service_pump (replica->batches);
}

static const QuinceObserverCallbacks observer_callbacks = { .own_key = own_key,
                                                            .version = version_named,
                                                            .leaving = leaving_changed,
                                                            .zones = zones_changed,
                                                            .read = store_read };

static void
check_view (Replica *replica)
{
  quince_observer_set_reserve_reader (replica->observer, is_reserve_reader (replica));
}

static gboolean
timer_over (gpointer data)
{
  Replica *replica = data;
  quince_batch_service_tell_progress (replica->batches);
  step_residency (replica);
  if (replica->usage != NULL)
    quince_usage_collector_step (replica->usage);
  if (replica->scale != NULL)
    quince_worker_scaler_step (replica->scale);
  quince_quarantine_coordinator_step (replica->quarantine);
  quince_warmup_coordinator_step (replica->warmup);
  check_view (replica);
  quince_retirement_step (replica->retirement);
  return G_SOURCE_CONTINUE;
}

/* ---- Metrics ---------------------------------------------------------- */

static void
refresh_metrics (gpointer data)
{
  Replica *replica = data;
  const QuinceMetaContact *contact = quince_meta_store_get_contact (replica->store);
  const QuinceLedgerView *view = quince_ledger_node_get_view (replica->ledger);
  quince_metric_set ("quince_replica_leads", "", quince_ledger_node_is_leading (replica->ledger));
  quince_metric_set ("quince_replica_epoch", "", view != NULL ? (double)view->epoch : 0);
  quince_metric_set ("quince_replica_lead_unpublished", "",
                     quince_ledger_node_is_unpublished (replica->ledger));
  quince_metric_set ("quince_replica_members", "", view != NULL ? view->members.members_len : 0);
  quince_metric_set ("quince_replica_log_end", "",
                     (double)quince_ledger_node_get_last_index (replica->ledger));
  quince_metric_set ("quince_replica_commit_index", "",
                     (double)quince_ledger_node_get_commit_index (replica->ledger));
  quince_metric_set ("quince_replica_workers_known", "",
                     quince_worker_table_get_size (quince_backends_get_workers (replica->backends)));
  quince_metric_set ("quince_replica_worker_connections_opened", "",
                     (double)quince_backends_get_opened (replica->backends));
  quince_observer_set_metrics (replica->observer);
  quince_send_guard_set_metrics (quince_quarantine_coordinator_get_guard (replica->quarantine));
  quince_metric_set ("quince_replica_workers_cold", "", quince_backends_count_cold (replica->backends));
  quince_metric_set ("quince_store_answer_age_seconds", "",
                     (double)(quince_now_us () - contact->last_answer_us) / G_USEC_PER_SEC);
  quince_batch_service_set_metrics (replica->batches);
}

static gboolean
open_metrics (Replica *replica, const char *address, GError **error)
{
  if (*address == '\0')
    return TRUE;
  quince_metrics_set_refresh (refresh_metrics, replica);
  replica->metrics = quince_text_server_new (address, "/metrics", quince_metrics_format, error);
  return replica->metrics != NULL;
}

/* ---- Start and stop --------------------------------------------------- */

static gboolean
open_ledger (Replica *replica, const QuinceSettings *settings, GError **error)
{
  guint losses = (guint)quince_settings_get_integer (settings, "ledger", "losses");
  const QuinceLedgerNodeOptions options = {
    .node = replica->name,
    .listen = quince_settings_get_text (settings, "listen", "link"),
    .zone = quince_settings_get_text (settings, "node", "zone"),
    .folder = quince_settings_get_text (settings, "ledger", "folder"),
    .several_regions = quince_topology_count_regions (quince_backends_get_topology (replica->backends)) > 1,
    .may_found = quince_settings_get_boolean (settings, "ledger", "found"),
    .limits
    = { .copies_least = losses + 1,
        .members_wanted = 2 * losses + 1,
        .zone_losses = (guint)quince_settings_get_integer (settings, "ledger", "zone_losses"),
        .primary_silence_us = PRIMARY_SILENCE_US,
        .member_silence_us = MEMBER_SILENCE_US,
        .confirm_us = CONFIRM_US,
        .order_pause_us = quince_settings_get_duration_us (settings, "orders", "pause") + ORDER_MARGIN_US },
  };
  replica->ledger = quince_ledger_node_new (&options, replica->store, &ledger_callbacks, replica, error);
  if (replica->ledger == NULL)
    return FALSE;
  replica->progress_file
      = quince_progress_file_open (options.folder, replica->progress, quince_now_us (), error);
  return replica->progress_file != NULL;
}

static double
count_needed_slots (const char *service, gpointer data)
{
  const Replica *replica = data;
  return quince_batch_service_count_needed (replica->batches, service);
}

static void
open_worker_scaler (Replica *replica, const char *address)
{
  const QuinceWorkerScalerOptions options = { .holder = replica->name,
                                              .address = address,
                                              .ledger = replica->ledger,
                                              .backends = replica->backends,
                                              .observer = replica->observer,
                                              .count_needed = count_needed_slots };
  replica->scale = quince_worker_scaler_new (&options, replica);
}

static void
open_duties (Replica *replica, const QuinceSettings *settings)
{
  const char *address = quince_settings_get_text (settings, "duties", "address");
  const char *names = quince_settings_get_text (settings, "duties", "names");
  const char *order_workers = quince_settings_get_text (settings, "duties", "order_workers");
  if (*address != '\0' && quince_platform_takes_scale_orders (names)
      && g_str_equal (order_workers, "replace"))
    open_worker_scaler (replica, address);
  if (*address == '\0' || !quince_platform_wants_usage (names))
    return;
  const QuinceUsageCollectorOptions options
      = { .holder = replica->name,
          .address = address,
          .window_us = quince_settings_get_duration_us (settings, "duties", "usage_window"),
          .late_us = quince_settings_get_duration_us (settings, "duties", "usage_late") };
  replica->usage = quince_usage_collector_new (&options, replica->ledger);
}

static gboolean
load_policy (Replica *replica, const char *path, GError **error)
{
  return *path == '\0' || quince_backends_load_policy (replica->backends, path, error);
}

static void
resumed (gint64 away_us, gpointer data)
{
  Replica *replica = data;
  quince_meta_store_resumed (replica->store);
  quince_backends_resumed (replica->backends);
  quince_observer_resumed (replica->observer);
}

gpointer
quince_replica_start (const QuinceSettings *settings, GError **error)
{
  g_autoptr (QuinceTopology) topology = quince_topology_read (settings, error);
  if (topology == NULL)
    return NULL;
  Replica *replica = g_new0 (Replica, 1);
  replica->name = g_strdup (quince_settings_get_text (settings, "node", "name"));
  replica->askers = g_hash_table_new_full (NULL, NULL, (GDestroyNotify)quince_link_unref, ask_free);
  replica->heartbeats = quince_heartbeats_new ();
  replica->backends = quince_backends_new (g_steal_pointer (&topology));
  replica->store = quince_meta_store_new (quince_settings_get_text (settings, "store", "address"),
                                          &quince_platform_meta_dialect);
  QuinceQuarantineLimits limits;
  quince_quarantine_read_limits (settings, &limits);
  replica->quarantine = quince_quarantine_coordinator_new (&limits, replica->name, replica->store,
                                                           quince_backends_get_workers (replica->backends));
  quince_backends_set_guard (replica->backends,
                             quince_quarantine_coordinator_get_guard (replica->quarantine));
  QuinceWarmupBounds bounds;
  quince_warmup_read_bounds (settings, &bounds);
  replica->warmup = quince_warmup_coordinator_new (&bounds, quince_backends_get_workers (replica->backends),
                                                   may_give_sends, replica);
  quince_backends_set_warmup (replica->backends, quince_warmup_coordinator_get_sends (replica->warmup));
  QuinceObserverOptions options;
  quince_observer_read_options (settings, &options);
  replica->observer
      = quince_observer_new (replica->store, replica->backends, &quince_platform_observer_dialect, &options,
                             &observer_callbacks, replica);
  quince_warmup_coordinator_set_observer (replica->warmup, replica->observer);
  guint losses = (guint)quince_settings_get_integer (settings, "ledger", "losses");
  replica->residency = quince_residency_coordinator_new (replica->name, losses + 1, replica->store,
                                                         replica->backends, replica->observer);
  gint64 keep_us = quince_settings_get_duration_us (settings, "ledger", "keep");
  replica->placement = quince_model_placement_new ();
  replica->progress = quince_progress_store_new ();
  replica->batches = quince_batch_service_new (replica->backends, replica->observer, replica->placement,
                                               replica->progress, keep_us);
  if (!load_policy (replica, quince_settings_get_text (settings, "policy", "file"), error)
      || !open_ledger (replica, settings, error)
      || !open_metrics (replica, quince_settings_get_text (settings, "listen", "metrics"), error))
    {
      quince_replica_free (replica);
      return NULL;
    }
  replica->retirement = quince_retirement_new (replica->store, replica->ledger);
  open_duties (replica, settings);
  quince_quarantine_coordinator_set_ledger (replica->quarantine, replica->ledger);
  quince_residency_coordinator_set_ledger (replica->residency, replica->ledger);
  quince_batch_service_set_ledger (replica->batches, replica->ledger, replica->progress_file,
                                   replica->residency);
  replica->timer = quince_timer_add (TIMER_MS, timer_over, replica);
  replica->suspension = quince_suspension_watch_new (resumed, replica);
  return replica;
}

char *
quince_replica_ready_line (gpointer self)
{
  const Replica *replica = self;
  return g_strdup_printf ("name=%s", replica->name);
}

static gboolean
stop_now (gpointer data)
{
  quince_program_quit (QUINCE_EXIT_OK);
  return G_SOURCE_REMOVE;
}

void
quince_replica_stop (gpointer self)
{
  Replica *replica = self;
  quince_source_clear (&replica->timer);
  replica->timer = quince_timer_add (STOP_MS, stop_now, replica);
}

void
quince_replica_free (gpointer self)
{
  Replica *replica = self;
  quince_suspension_watch_free (replica->suspension);
  quince_source_clear (&replica->timer);
  quince_text_server_free (replica->metrics);
  if (replica->orders != NULL)
    quince_weight_orders_stop (replica->orders);
  quince_store_feed_free (replica->feed);
  quince_usage_collector_free (replica->usage);
  quince_worker_scaler_free (replica->scale);
  quince_heartbeats_free (replica->heartbeats);
  quince_batch_service_free (replica->batches);
  quince_model_placement_free (replica->placement);
  quince_progress_store_free (replica->progress);
  quince_progress_file_close (replica->progress_file);
  quince_retirement_free (replica->retirement);
  quince_ledger_node_free (replica->ledger);
  quince_residency_coordinator_free (replica->residency);
  quince_observer_free (replica->observer);
  quince_meta_store_free (replica->store);
  quince_quarantine_coordinator_free (replica->quarantine);
  quince_warmup_coordinator_free (replica->warmup);
  quince_backends_free (replica->backends);
  g_hash_table_unref (replica->askers);
  g_free (replica->name);
  g_free (replica);
}
