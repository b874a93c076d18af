/*
 * front.c: creates the modules of a front, passes events between them and frees them.
 *
 * Events come from the observer (changes in the metadata store, read directly or through the leader's store
 * feed), the ledger caller (the link to the ledger's leader) and the suspension watch.  Callers' requests do
 * not pass through this file: caller-listeners.c accepts them, and they use the modules in front-context.h.
 */
#include "front.h"

#include <string.h>

#include "core/decisions/store-reads.h"
#include "core/group/ledger-view.h"
#include "forward/policy-entry.h"
#include "http1/text-server.h"
#include "meta/meta-presence.h"
#include "observer/store-feed.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/suspension.h"

#include "caller-listeners.h"
#include "feed-parent.h"
#include "feed-subscription.h"
#include "feed-wait.h"
#include "front-context.h"
#include "front-limits.h"
#include "planned-stop.h"
#include "platform.h"
#include "quarantine-client.h"
#include "warmup-client.h"

typedef struct
{
  /* All fields belong to the main context; pointers are owned. */
  char *name;
  char *zone;
  QuinceFrontContext context; /* its modules are owned too */
  QuinceMetaStore *store;
  QuinceMetaPresence *presence; /* this front's key in the metadata store */
  QuinceFeedSubscription *subscription;
  QuinceFeedParent *parent;
  QuinceFeedWait *feed_wait; /* NULL once the workers are known */
  QuinceQuarantineClient *quarantine;
  QuinceWarmupClient *warmup;
  QuinceCallerListeners *listeners;
  QuincePlannedStop *stop;
  QuinceTextServer *metrics; /* NULL if listen.metrics is not set */
  QuinceSuspensionWatch *suspension;
  gint64 started_us;        /* monotonic */
  gint64 own_keys_known_us; /* monotonic: the own keys were read or fed for the first time; 0: not yet */
  gboolean was_ready;       /* the front has been ready */
} Front;

/* ---- Events of the observer -------------------------------------------- */

/* Returns: whether the leader that the view names may feed this front already */
static gboolean
apply_ledger_view (GBytes *value, guint64 revision, gpointer user_data)
{
  Front *front = user_data;
  gsize length;
  gconstpointer data = g_bytes_get_data (value, &length);
  g_autoptr (GError) error = NULL;
  g_autoptr (QuinceLedgerView) view = quince_ledger_view_decode (data, length, &error);
  if (view == NULL)
    {
      quince_log_warning ("entry_refused", "what=ledger_view revision=%" G_GUINT64_FORMAT " code=%d",
                          revision, error->code);
      return FALSE;
    }
  quince_ledger_caller_set_view (front->context.ledger, view);
  return !quince_ledger_view_is_initial (view);
}

static void
apply_front_entry (Front *front, const char *name, GBytes *value)
{
  gint64 now = quince_now_us ();
  gboolean lease_may_have_lapsed = quince_observer_leases_may_have_lapsed (front->context.observer, now);
  quince_directory_apply_entry (front->context.directory, now, name, value, lease_may_have_lapsed);
}

static void
apply_replica_zone (Front *front, const char *node, GBytes *value)
{
  g_autofree char *zone
      = value != NULL ? g_strndup (g_bytes_get_data (value, NULL), g_bytes_get_size (value)) : NULL;
  quince_machine_zones_set (front->context.replica_zones, node, zone);
}

static void
handle_own_key (const char *key, GBytes *value, guint64 revision, gpointer data)
{
  Front *front = data;
  if (g_str_equal (key, QUINCE_LEDGER_KEY) && value != NULL)
    apply_ledger_view (value, revision, front);
  else if (g_str_has_prefix (key, QUINCE_FRONTS_PREFIX))
    apply_front_entry (front, key + strlen (QUINCE_FRONTS_PREFIX), value);
  else if (g_str_has_prefix (key, QUINCE_MACHINE_ZONES_PREFIX))
    apply_replica_zone (front, key + strlen (QUINCE_MACHINE_ZONES_PREFIX), value);
  else if (g_str_has_prefix (key, QUINCE_QUARANTINE_PREFIX))
    quince_quarantine_client_apply_entry (front->quarantine, key + strlen (QUINCE_QUARANTINE_PREFIX), value);
  else if (g_str_has_prefix (key, QUINCE_SUSPECTS_PREFIX))
    quince_quarantine_client_merge_list (front->quarantine, key + strlen (QUINCE_SUSPECTS_PREFIX), value);
}

/* Lists this front in its directory if it can serve callers, and logs how long its start took. */
static void
update_readiness (Front *front)
{
  gboolean is_ready = quince_front_context_is_ready (&front->context);
  quince_directory_set_serving (front->context.directory, is_ready);
  if (!is_ready || front->was_ready)
    return;
  front->was_ready = TRUE;
  gint age_ms = (gint)((quince_now_us () - front->started_us) / 1000);
  gint own_keys_ms = (gint)((front->own_keys_known_us - front->started_us) / 1000);
  guint n_workers = quince_worker_table_get_size (quince_backends_get_workers (front->context.backends));
  const char *relay = quince_feed_parent_is_alive (front->parent) ? "true" : "false";
  quince_log_notice ("front_ready", "age_ms=%d own_keys_ms=%d workers=%u relay=%s", age_ms, own_keys_ms,
                     n_workers, relay);
}

static void
handle_configuration_change (QuinceRouteTable *table, gpointer data)
{
  update_readiness (data);
}

static guint
count_fronts (Front *front)
{
  return quince_directory_get_size (front->context.directory, quince_now_us ());
}

static void
handle_own_synced (gpointer data)
{
  Front *front = data;
  if (front->own_keys_known_us == 0)
    front->own_keys_known_us = quince_now_us ();
  if (front->feed_wait != NULL)
    quince_feed_wait_own_keys_synced (front->feed_wait, count_fronts (front));
  quince_feed_subscription_synced (front->subscription);
}

static void
handle_workers_synced (gpointer data)
{
  Front *front = data;
  g_clear_pointer (&front->feed_wait, quince_feed_wait_free);
  front->context.workers_known = TRUE;
  update_readiness (front);
  quince_feed_subscription_synced (front->subscription);
}

static const QuinceObserverCallbacks observer_callbacks = { .own_key = handle_own_key,
                                                            .configuration = handle_configuration_change,
                                                            .own_synced = handle_own_synced,
                                                            .workers_synced = handle_workers_synced };

/* ---- Events of the link to the ledger's leader -------------------------- */

static void
handle_ledger_linked (QuinceLink *link, gpointer data)
{
  Front *front = data;
  quince_usage_reporter_linked (front->context.usage, link);
  quince_quarantine_client_linked (front->quarantine, link);
  quince_warmup_client_linked (front->warmup, link);
  quince_feed_subscription_linked (front->subscription, link);
}

static void
handle_heartbeat (Front *front, QuinceLink *link, const QuinceHeartbeat *heartbeat)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_HEARTBEAT_ACK };
  message.QuinceMessage_u.heartbeat_ack.node = front->name;
  quince_link_send (link, &message);
  quince_usage_reporter_resend_overdue (front->context.usage);
  if (heartbeat->certain)
    quince_directory_set_silent_fronts (front->context.directory, quince_now_us (),
                                        (const char *const *)heartbeat->silent.silent_val,
                                        heartbeat->silent.silent_len);
}

/* The relays do not feed this front, so it asks the leader to. */
static void
handle_relays_failed (gpointer data)
{
  Front *front = data;
  quince_feed_subscription_request_direct_feed (front->subscription);
}

static void
handle_ledger_message (QuinceLink *link, const QuinceMessage *message, gpointer data)
{
  Front *front = data;
  quince_observer_record_feeder_contact (front->context.observer);
  if (quince_quarantine_client_handle_message (front->quarantine, message))
    return;
  if (message->kind == QUINCE_MESSAGE_FEED_UPDATE)
    quince_store_feed_apply (front->context.observer, &message->QuinceMessage_u.feed_update);
  else if (message->kind == QUINCE_MESSAGE_FEED_SUBSCRIBE)
    quince_store_feed_send_newer_policy (front->context.observer, link,
                                         &message->QuinceMessage_u.feed_subscribe);
  else if (message->kind == QUINCE_MESSAGE_FEED_RELAYS)
    quince_feed_parent_set_relays (front->parent, &message->QuinceMessage_u.feed_relays);
  else if (message->kind == QUINCE_MESSAGE_HEARTBEAT)
    handle_heartbeat (front, link, &message->QuinceMessage_u.heartbeat);
  else if (message->kind == QUINCE_MESSAGE_USAGE_ACK)
    quince_usage_reporter_handle_ack (front->context.usage, &message->QuinceMessage_u.usage_ack);
  else
    quince_warmup_client_handle_message (front->warmup, message);
}

static void
handle_ledger_unlinked (gpointer data)
{
  Front *front = data;
  quince_feed_subscription_unlinked (front->subscription);
  quince_usage_reporter_unlinked (front->context.usage);
  quince_quarantine_client_unlinked (front->quarantine);
  quince_warmup_client_unlinked (front->warmup);
  if (!quince_feed_parent_is_alive (front->parent))
    quince_observer_handle_feeder_loss (front->context.observer);
}

static const QuinceLedgerCallerCallbacks ledger_callbacks = { .linked = handle_ledger_linked,
                                                              .message = handle_ledger_message,
                                                              .unlinked = handle_ledger_unlinked };

/* ---- Suspension --------------------------------------------------------- */

/* After a suspension, the state of this process may be outdated, and peers may have closed connections that
 * still appear open here. */
static void
handle_resume (gint64 suspended_us, gpointer data)
{
  Front *front = data;
  quince_meta_store_handle_resume (front->store);
  quince_backends_handle_resume (front->context.backends);
  quince_ledger_caller_handle_resume (front->context.ledger);
  quince_feed_parent_handle_resume (front->parent);
  quince_observer_handle_resume (front->context.observer);
  quince_meta_presence_handle_resume (front->presence);
}

/* ---- Metrics ------------------------------------------------------------ */

static void
refresh_metrics (gpointer data)
{
  Front *front = data;
  const QuinceFrontContext *context = &front->context;
  gint64 now = quince_now_us ();
  const QuinceMetaContact *contact = quince_meta_store_get_contact (front->store);
  const QuinceRouteTable *routes = quince_observer_get_routes (context->observer);
  quince_metric_set ("quince_front_in_progress", "", context->in_progress);
  quince_front_limits_set_metrics (context);
  quince_metric_set ("quince_front_connections", "",
                     quince_caller_listeners_count_connections (front->listeners));
  quince_metric_set ("quince_front_worker_connections_opened", "",
                     (double)quince_backends_get_n_connections_opened (context->backends));
  quince_metric_set ("quince_front_workers_known", "",
                     quince_worker_table_get_size (quince_backends_get_workers (context->backends)));
  quince_metric_set ("quince_front_fronts_known", "", quince_directory_get_size (context->directory, now));
  quince_metric_set ("quince_front_configuration_version", "",
                     routes != NULL ? (double)quince_route_table_get_version (routes) : 0);
  quince_metric_set ("quince_front_ledger_linked", "", quince_ledger_caller_is_linked (context->ledger));
  quince_observer_set_metrics (context->observer);
  quince_send_guard_set_metrics (quince_quarantine_client_get_guard (front->quarantine));
  quince_backends_refresh_share_metrics (context->backends);
  quince_metric_set ("quince_front_workers_cold", "", quince_backends_count_cold (context->backends));
  quince_metric_set ("quince_store_answer_age_seconds", "",
                     (double)(now - contact->last_answer_us) / G_USEC_PER_SEC);
}

static gboolean
open_metrics (Front *front, const char *address, GError **error)
{
  if (*address == '\0')
    return TRUE;
  quince_metrics_set_refresh (refresh_metrics, front);
  front->metrics = quince_text_server_new (address, "/metrics", quince_metrics_format, error);
  return front->metrics != NULL;
}

/* ---- Start -------------------------------------------------------------- */

static guint
read_directory_ttl_s (const QuinceSettings *settings)
{
  return (guint)(quince_settings_get_duration_us (settings, "directory", "keep") / G_USEC_PER_SEC);
}

static gint64
read_grace_us (const QuinceSettings *settings)
{
  return quince_settings_get_duration_us (settings, "stop", "grace");
}

/* Creates the limiters of sends to workers: the send guard of the quarantine and the limiter for cold
 * workers. */
static void
create_send_limiters (Front *front, const QuinceSettings *settings)
{
  QuinceQuarantineLimits limits;
  quince_quarantine_read_limits (settings, &limits);
  front->quarantine = quince_quarantine_client_new (&limits, front->name);
  quince_backends_set_guard (front->context.backends, quince_quarantine_client_get_guard (front->quarantine));
  QuinceWarmupBounds bounds;
  quince_warmup_read_bounds (settings, &bounds);
  front->warmup = quince_warmup_client_new (&bounds);
  quince_backends_set_warmup (front->context.backends, quince_warmup_client_get_sends (front->warmup));
}

/* Creates the modules that need no socket.  @topology: (transfer full) */
static Front *
front_new (const QuinceSettings *settings, QuinceTopology *topology)
{
  Front *front = g_new0 (Front, 1);
  front->started_us = quince_now_us ();
  front->context.backends = quince_backends_new (topology, QUINCE_PLATFORM_REQUEST_ID_HEADER);
  front->name = g_strdup (quince_settings_get_text (settings, "node", "name"));
  front->zone = g_strdup (quince_settings_get_text (settings, "node", "zone"));
  quince_front_limits_apply (settings, &front->context);
  front->context.directory_ttl_s = read_directory_ttl_s (settings);
  front->context.splits = quince_route_splits_new ();
  front->context.usage = quince_usage_reporter_new ();
  create_send_limiters (front, settings);
  front->context.ledger = quince_ledger_caller_new (front->context.memory, &ledger_callbacks, front);
  return front;
}

static gboolean
load_policy (Front *front, const QuinceSettings *settings, GError **error)
{
  const char *path = quince_settings_get_text (settings, "policy", "file");
  return *path == '\0' || quince_backends_load_policy (front->context.backends, path, error);
}

/* Requires open listeners: the directory lists the address that they listen on for callers. */
static void
observe_store (Front *front, const QuinceSettings *settings)
{
  QuinceFrontContext *context = &front->context;
  const QuinceTopology *topology = quince_backends_get_topology (context->backends);
  const char *address = quince_caller_listeners_get_address (front->listeners, QUINCE_LISTEN_CALLERS);
  context->directory = quince_directory_new (front->name, address, topology);
  context->replica_zones = quince_machine_zones_new (topology);
  front->store = quince_meta_store_new (quince_settings_get_text (settings, "store", "address"),
                                        &quince_platform_meta_codec);
  QuinceObserverOptions options;
  quince_observer_read_options (settings, &options);
  options.waits_to_be_fed = TRUE;
  context->observer = quince_observer_new (front->store, context->backends, &quince_platform_observer_codec,
                                           &options, &observer_callbacks, front);
  front->subscription = quince_feed_subscription_new (context->observer);
  front->parent
      = quince_feed_parent_new (context->observer, front->name, front->zone, handle_relays_failed, front);
  front->feed_wait
      = quince_feed_wait_new (front->store, context->observer, front->name, apply_ledger_view, front);
  quince_warmup_client_set_observer (front->warmup, context->observer);
}

/* Returns: (transfer full): the value of this front's key in the metadata store */
static GBytes *
format_entry (const Front *front, gboolean leaving)
{
  const char *address = quince_caller_listeners_get_address (front->listeners, QUINCE_LISTEN_CALLERS);
  return quince_directory_format_entry (address, front->zone, leaving);
}

/* Registers this front in the metadata store, so that the directories of other fronts list it. */
static void
register_presence (Front *front, const QuinceSettings *settings)
{
  g_autofree char *key = g_strconcat (QUINCE_FRONTS_PREFIX, front->name, NULL);
  g_autoptr (GBytes) entry = format_entry (front, FALSE);
  guint ttl_ms = (guint)(quince_settings_get_duration_us (settings, "store", "presence") / 1000);
  front->presence = quince_meta_presence_new (front->store, key, entry, ttl_ms);
  quince_quarantine_client_set_store (front->quarantine, front->store, ttl_ms);
}

static gboolean
open_front (Front *front, const QuinceSettings *settings, GError **error)
{
  front->listeners = quince_caller_listeners_new (&front->context, settings, error);
  if (front->listeners == NULL || !load_policy (front, settings, error))
    return FALSE;
  front->stop = quince_planned_stop_new (&front->context, front->listeners, read_grace_us (settings));
  observe_store (front, settings);
  if (!open_metrics (front, quince_settings_get_text (settings, "listen", "metrics"), error))
    return FALSE;
  register_presence (front, settings);
  front->suspension = quince_suspension_watch_new (handle_resume, front);
  return TRUE;
}

gpointer
quince_front_start (const QuinceSettings *settings, GError **error)
{
  g_autoptr (QuinceTopology) topology = quince_topology_new_from_settings (settings, error);
  if (topology == NULL)
    return NULL;
  Front *front = front_new (settings, g_steal_pointer (&topology));
  if (open_front (front, settings, error))
    return front;
  quince_front_free (front);
  return NULL;
}

char *
quince_front_ready_line (gpointer self)
{
  const Front *front = self;
  return g_strdup_printf ("callers=%s ready=%s directory=%s",
                          quince_caller_listeners_get_address (front->listeners, QUINCE_LISTEN_CALLERS),
                          quince_caller_listeners_get_address (front->listeners, QUINCE_LISTEN_READY),
                          quince_caller_listeners_get_address (front->listeners, QUINCE_LISTEN_DIRECTORY));
}

void
quince_front_reload (gpointer self, const QuinceSettings *settings)
{
  Front *front = self;
  quince_planned_stop_set_grace (front->stop, read_grace_us (settings));
  front->context.directory_ttl_s = read_directory_ttl_s (settings);
}

/* ---- Stop --------------------------------------------------------------- */

void
quince_front_stop (gpointer self)
{
  Front *front = self;
  quince_planned_stop_begin (front->stop);
  quince_directory_set_serving (front->context.directory, FALSE);
  g_autoptr (GBytes) entry = format_entry (front, TRUE);
  quince_meta_presence_update (front->presence, entry);
}

static void
clear_context (QuinceFrontContext *context)
{
  quince_directory_free (context->directory);
  quince_machine_zones_free (context->replica_zones);
  quince_ledger_caller_free (context->ledger);
  quince_usage_reporter_free (context->usage);
  quince_route_splits_free (context->splits);
}

/* Also frees a front whose start failed; its remaining modules are NULL.  The backends are freed last: the
 * send guard refers to their table of workers. */
void
quince_front_free (gpointer self)
{
  Front *front = self;
  quince_suspension_watch_free (front->suspension);
  quince_planned_stop_free (front->stop);
  quince_feed_subscription_free (front->subscription);
  quince_feed_parent_free (front->parent);
  quince_feed_wait_free (front->feed_wait);
  quince_caller_listeners_free (front->listeners);
  quince_text_server_free (front->metrics);
  quince_observer_free (front->context.observer);
  quince_meta_presence_free (front->presence);
  quince_quarantine_client_set_store (front->quarantine, NULL, 0);
  quince_meta_store_free (front->store);
  clear_context (&front->context);
  quince_quarantine_client_free (front->quarantine);
  quince_warmup_client_free (front->warmup);
  quince_backends_free (front->context.backends);
  /* The requests and the bytes that the links and connections send refer to it. */
  quince_memory_account_free (front->context.memory);
  g_free (front->name);
  g_free (front->zone);
  g_free (front);
}
