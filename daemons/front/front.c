/*
 * front.c: the parts of a front, its start and its planned stop.
 */
#include "front.h"

#include <string.h>

#include "observer/store-feed.h"
#include "runtime/link.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "forward/policy-entry.h"
#include "runtime/program.h"
#include "runtime/clock.h"

#include "caller-connection.h"
#include "residency-check.h"
#include "platform.h"

/* A stopping front serves on for this long at least: callers keep their answers of the directory. */
#define STOP_SERVE_US (4 * G_USEC_PER_SEC)
/* After it no connection is begun for so long, before the listener is closed: what callers had begun is
 * accepted and read meanwhile, where a close would reset it. */
#define STOP_ACCEPT_US (300 * 1000)
/* Left for the end of the process itself. */
#define STOP_MARGIN_US (700 * 1000)
#define STOP_STEP_MS 100
/* The leader is asked without what the store has to tell after it. */
#define ASK_PATIENCE_MS 300
/* Turns of a split: the golden ratio spreads them evenly. */
#define SPLIT_STEP 0.6180339887498949

/* ---- Beliefs ---------------------------------------------------------- */

static void
take_ledger_view (QuinceFront *front, GBytes *value)
{
  if (value == NULL)
    return;
  gsize length;
  gconstpointer data = g_bytes_get_data (value, &length);
  g_autoptr (QuinceLedgerView) view = quince_ledger_view_decode (data, length, NULL);
  if (view != NULL)
    quince_ledger_caller_set_view (front->ledger, view);
}

static void
own_key (const char *key, GBytes *value, guint64 revision, gpointer data)
{
  QuinceFront *front = data;
  if (g_str_equal (key, QUINCE_LEDGER_KEY))
    take_ledger_view (front, value);
  else if (g_str_has_prefix (key, QUINCE_FRONTS_PREFIX))
    {
      gint64 now = quince_now_us ();
      quince_directory_take_entry (front->directory, now, key + strlen (QUINCE_FRONTS_PREFIX), value,
                                   quince_observer_may_have_lapsed (front->observer, now));
    }
  else if (g_str_has_prefix (key, QUINCE_MACHINE_ZONES_PREFIX))
    quince_residency_check_take_place (front, key + strlen (QUINCE_MACHINE_ZONES_PREFIX), value);
  else if (g_str_has_prefix (key, QUINCE_QUARANTINE_PREFIX))
    quince_quarantine_client_take_key (front->quarantine, key + strlen (QUINCE_QUARANTINE_PREFIX), value);
  else if (g_str_has_prefix (key, QUINCE_SUSPECTS_PREFIX))
    quince_quarantine_client_take_list (front->quarantine, key + strlen (QUINCE_SUSPECTS_PREFIX), value);
}

static void
configuration_changed (QuinceRouteTable *table, gpointer data)
{
  QuinceFront *front = data;
  quince_directory_set_serving (front->directory, !quince_front_is_stopping (front));
}

/* Asks the ledger's leader, which reads the metadata store for all, once what can be had from the store is
 * here: then little is lacking. */
static void
ask_for_news (QuinceFront *front)
{
  if (front->unasked == NULL || !quince_observer_is_synced (front->observer))
    return;
  quince_source_clear (&front->ask_timer);
  quince_store_feed_subscribe (front->observer, front->unasked);
  g_clear_pointer (&front->unasked, quince_link_unref);
}

static gboolean
ask_late (gpointer data)
{
  QuinceFront *front = data;
  quince_source_clear (&front->ask_timer);
  quince_store_feed_subscribe (front->observer, front->unasked);
  g_clear_pointer (&front->unasked, quince_link_unref);
  return G_SOURCE_REMOVE;
}

static void
forget_asking (QuinceFront *front)
{
  quince_source_clear (&front->ask_timer);
  g_clear_pointer (&front->unasked, quince_link_unref);
}

static void
ledger_linked (QuinceLink *link, gpointer data)
{
  QuinceFront *front = data;
  quince_usage_reporter_linked (front->usage, link);
  quince_quarantine_client_linked (front->quarantine, link);
  quince_warmup_client_linked (front->warmup, link);
  forget_asking (front);
  front->unasked = quince_link_ref (link);
  front->ask_timer = quince_timer_add (ASK_PATIENCE_MS, ask_late, front);
  ask_for_news (front);
}

static void
store_synced (gpointer data)
{
  ask_for_news (data);
}

static const QuinceObserverCallbacks observer_callbacks = { .own_key = own_key,
                                                            .configuration = configuration_changed,
                                                            .own_synced = store_synced,
                                                            .workers_synced = store_synced };

static void
take_heartbeat (QuinceFront *front, QuinceLink *link, const QuinceHeartbeat *heartbeat)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_HEARTBEAT_ACK };
  message.QuinceMessage_u.heartbeat_ack.node = front->name;
  quince_link_send (link, &message);
  quince_usage_reporter_remind (front->usage);
  if (heartbeat->certain)
    quince_directory_set_silent (front->directory, quince_now_us (),
                                 (const char *const *)heartbeat->silent.silent_val,
                                 heartbeat->silent.silent_len);
}

static void
ledger_message (QuinceLink *link, const QuinceMessage *message, gpointer data)
{
  QuinceFront *front = data;
  quince_observer_feeder_alive (front->observer);
  if (quince_quarantine_client_take (front->quarantine, message))
    return;
  if (message->kind == QUINCE_MESSAGE_FEED_UPDATE)
    quince_store_feed_apply (front->observer, &message->QuinceMessage_u.feed_update);
  else if (message->kind == QUINCE_MESSAGE_HEARTBEAT)
    take_heartbeat (front, link, &message->QuinceMessage_u.heartbeat);
  else if (message->kind == QUINCE_MESSAGE_USAGE_ACK)
    quince_usage_reporter_take_ack (front->usage, &message->QuinceMessage_u.usage_ack);
  else
    quince_warmup_client_take (front->warmup, message);
}

static void
ledger_unlinked (gpointer data)
{
  QuinceFront *front = data;
  forget_asking (front);
  quince_usage_reporter_unlinked (front->usage);
  quince_quarantine_client_unlinked (front->quarantine);
  quince_warmup_client_unlinked (front->warmup);
  quince_observer_feeder_lost (front->observer);
}

static const QuinceLedgerCallerCallbacks ledger_callbacks
    = { .linked = ledger_linked, .message = ledger_message, .unlinked = ledger_unlinked };

const char *
quince_front_next_service (QuinceFront *front, const QuinceRoute *route)
{
  if (route->parts->len == 1)
    return quince_route_pick_service (route, 0);
  double *turn = g_hash_table_lookup (front->split_turns, route->name);
  if (turn == NULL)
    {
      turn = g_new (double, 1);
      *turn = g_random_double ();
      g_hash_table_insert (front->split_turns, g_strdup (route->name), turn);
    }
  *turn += SPLIT_STEP;
  if (*turn >= 1)
    *turn -= 1;
  return quince_route_pick_service (route, *turn);
}

gboolean
quince_front_is_stopping (const QuinceFront *front)
{
  return front->stop_us != 0;
}

void
quince_front_request_ended (QuinceFront *front)
{
  front->in_progress--;
}

/* Nothing that others told before counts any more, and connections may have gone silent. */
static void
resumed (gint64 away_us, gpointer data)
{
  QuinceFront *front = data;
  quince_meta_store_resumed (front->store);
  quince_backends_resumed (front->backends);
  quince_ledger_caller_resumed (front->ledger);
  quince_observer_resumed (front->observer);
  quince_meta_presence_resumed (front->presence);
}

/* ---- Start ------------------------------------------------------------ */

static void
caller_accepted (GSocket *socket, gpointer data)
{
  quince_caller_connection_accept (data, QUINCE_LISTEN_CALLERS, socket);
}

static void
ready_accepted (GSocket *socket, gpointer data)
{
  quince_caller_connection_accept (data, QUINCE_LISTEN_READY, socket);
}

static void
directory_accepted (GSocket *socket, gpointer data)
{
  quince_caller_connection_accept (data, QUINCE_LISTEN_DIRECTORY, socket);
}

static gboolean
open_listeners (QuinceFront *front, const QuinceSettings *settings, GError **error)
{
  const char *callers = quince_settings_get_text (settings, "listen", "callers");
  const char *ready = quince_settings_get_text (settings, "listen", "ready");
  const char *directory = quince_settings_get_text (settings, "listen", "directory");
  front->callers_acceptor = quince_http_acceptor_new (callers, caller_accepted, front, error);
  if (front->callers_acceptor == NULL)
    return FALSE;
  front->ready_acceptor = quince_http_acceptor_new (ready, ready_accepted, front, error);
  if (front->ready_acceptor == NULL)
    return FALSE;
  front->directory_acceptor = quince_http_acceptor_new (directory, directory_accepted, front, error);
  return front->directory_acceptor != NULL;
}

static void
refresh_metrics (gpointer data)
{
  QuinceFront *front = data;
  gint64 now = quince_now_us ();
  const QuinceMetaContact *contact = quince_meta_store_get_contact (front->store);
  const QuinceRouteTable *routes = quince_observer_get_routes (front->observer);
  quince_metric_set ("quince_front_in_progress", "", front->in_progress);
  quince_metric_set ("quince_front_connections", "", g_hash_table_size (front->connections));
  quince_metric_set ("quince_front_worker_connections_opened", "",
                     (double)quince_backends_get_opened (front->backends));
  quince_metric_set ("quince_front_workers_known", "",
                     quince_worker_table_get_size (quince_backends_get_workers (front->backends)));
  quince_metric_set ("quince_front_fronts_known", "", quince_directory_get_size (front->directory, now));
  quince_metric_set ("quince_front_configuration_version", "",
                     routes != NULL ? (double)quince_route_table_get_version (routes) : 0);
  quince_metric_set ("quince_front_ledger_linked", "", quince_ledger_caller_is_linked (front->ledger));
  quince_observer_set_metrics (front->observer);
  quince_send_guard_set_metrics (quince_quarantine_client_get_guard (front->quarantine));
  quince_metric_set ("quince_front_workers_cold", "", quince_backends_count_cold (front->backends));
  quince_metric_set ("quince_store_answer_age_seconds", "",
                     (double)(now - contact->last_answer_us) / G_USEC_PER_SEC);
}

static gboolean
open_metrics (QuinceFront *front, const char *address, GError **error)
{
  if (*address == '\0')
    return TRUE;
  quince_metrics_set_refresh (refresh_metrics, front);
  front->metrics = quince_text_server_new (address, "/metrics", quince_metrics_format, error);
  return front->metrics != NULL;
}

static gboolean
load_policy (QuinceFront *front, const char *path, GError **error)
{
  return *path == '\0' || quince_backends_load_policy (front->backends, path, error);
}

static char *
presence_key (const QuinceFront *front)
{
  return g_strconcat (QUINCE_FRONTS_PREFIX, front->name, NULL);
}

static void
announce (QuinceFront *front, const QuinceSettings *settings)
{
  g_autofree char *key = presence_key (front);
  g_autoptr (GBytes) entry = quince_directory_format_entry (
      quince_http_acceptor_get_address (front->callers_acceptor), front->zone, FALSE);
  guint ttl_ms = (guint)(quince_settings_get_duration_us (settings, "store", "presence") / 1000);
  front->presence = quince_meta_presence_new (front->store, key, entry, ttl_ms);
  quince_quarantine_client_set_store (front->quarantine, front->store, ttl_ms);
}

gpointer
quince_front_start (const QuinceSettings *settings, GError **error)
{
  g_autoptr (QuinceTopology) topology = quince_topology_read (settings, error);
  if (topology == NULL)
    return NULL;
  QuinceFront *front = g_new0 (QuinceFront, 1);
  front->backends = quince_backends_new (g_steal_pointer (&topology));
  front->name = g_strdup (quince_settings_get_text (settings, "node", "name"));
  front->zone = g_strdup (quince_settings_get_text (settings, "node", "zone"));
  front->grace_us = quince_settings_get_duration_us (settings, "stop", "grace");
  front->directory_keep_s
      = (guint)(quince_settings_get_duration_us (settings, "directory", "keep") / G_USEC_PER_SEC);
  front->connections = g_hash_table_new (NULL, NULL);
  front->split_turns = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  front->usage = quince_usage_reporter_new ();
  QuinceQuarantineLimits limits;
  quince_quarantine_read_limits (settings, &limits);
  front->quarantine = quince_quarantine_client_new (&limits, front->name);
  quince_backends_set_guard (front->backends, quince_quarantine_client_get_guard (front->quarantine));
  QuinceWarmupBounds bounds;
  quince_warmup_read_bounds (settings, &bounds);
  front->warmup = quince_warmup_client_new (&bounds);
  quince_backends_set_warmup (front->backends, quince_warmup_client_get_sends (front->warmup));
  front->ledger = quince_ledger_caller_new (&ledger_callbacks, front);
  if (!open_listeners (front, settings, error)
      || !load_policy (front, quince_settings_get_text (settings, "policy", "file"), error))
    {
      quince_front_free (front);
      return NULL;
    }
  const char *address = quince_http_acceptor_get_address (front->callers_acceptor);
  front->directory
      = quince_directory_new (front->name, address, quince_backends_get_topology (front->backends));
  front->zones = quince_machine_zones_new (quince_backends_get_topology (front->backends));
  front->store = quince_meta_store_new (quince_settings_get_text (settings, "store", "address"),
                                        &quince_platform_meta_dialect);
  QuinceObserverOptions options;
  quince_observer_read_options (settings, &options);
  front->observer = quince_observer_new (front->store, front->backends, &quince_platform_observer_dialect,
                                         &options, &observer_callbacks, front);
  quince_warmup_client_set_observer (front->warmup, front->observer);
  if (!open_metrics (front, quince_settings_get_text (settings, "listen", "metrics"), error))
    {
      quince_front_free (front);
      return NULL;
    }
  announce (front, settings);
  front->suspension = quince_suspension_watch_new (resumed, front);
  return front;
}

char *
quince_front_ready_line (gpointer self)
{
  const QuinceFront *front = self;
  return g_strdup_printf ("callers=%s ready=%s directory=%s",
                          quince_http_acceptor_get_address (front->callers_acceptor),
                          quince_http_acceptor_get_address (front->ready_acceptor),
                          quince_http_acceptor_get_address (front->directory_acceptor));
}

/* ---- Reload ----------------------------------------------------------- */

/* What a running process can take over; addresses and names need a new start. */
void
quince_front_reload (gpointer self, const QuinceSettings *settings)
{
  QuinceFront *front = self;
  front->grace_us = quince_settings_get_duration_us (settings, "stop", "grace");
  front->directory_keep_s
      = (guint)(quince_settings_get_duration_us (settings, "directory", "keep") / G_USEC_PER_SEC);
}

/* ---- Planned stop ----------------------------------------------------- */

static void
drop_idle_connections (QuinceFront *front)
{
  g_autoptr (GPtrArray) idle = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer connection;
  g_hash_table_iter_init (&iter, front->connections);
  while (g_hash_table_iter_next (&iter, &connection, NULL))
    if (quince_caller_connection_is_idle (connection))
      g_ptr_array_add (idle, connection);
  for (guint i = 0; i < idle->len; i++)
    quince_caller_connection_drop (idle->pdata[i]);
}

static gboolean
stop_step (gpointer data)
{
  QuinceFront *front = data;
  gint64 stopping_us = quince_now_us () - front->stop_us;
  gint64 serve_us = MIN (STOP_SERVE_US, front->grace_us - STOP_MARGIN_US - STOP_ACCEPT_US);
  gboolean served = stopping_us >= serve_us + STOP_ACCEPT_US;
  if (stopping_us >= serve_us && !front->ignores_new)
    {
      front->ignores_new = TRUE;
      quince_http_acceptor_ignore_new (front->callers_acceptor);
    }
  if (served && front->callers_acceptor != NULL)
    {
      g_clear_pointer (&front->callers_acceptor, quince_http_acceptor_free);
      drop_idle_connections (front);
    }
  gboolean done = served && front->in_progress == 0;
  if (done || stopping_us >= front->grace_us - STOP_MARGIN_US)
    {
      quince_source_clear (&front->stop_timer);
      quince_program_quit (QUINCE_EXIT_OK);
      return G_SOURCE_REMOVE;
    }
  return G_SOURCE_CONTINUE;
}

void
quince_front_stop (gpointer self)
{
  QuinceFront *front = self;
  front->stop_us = quince_now_us ();
  quince_directory_set_serving (front->directory, FALSE);
  g_autoptr (GBytes) entry = quince_directory_format_entry (
      quince_http_acceptor_get_address (front->callers_acceptor), front->zone, TRUE);
  quince_meta_presence_update (front->presence, entry);
  front->stop_timer = quince_timer_add (STOP_STEP_MS, stop_step, front);
}

void
quince_front_free (gpointer self)
{
  QuinceFront *front = self;
  quince_suspension_watch_free (front->suspension);
  quince_source_clear (&front->stop_timer);
  forget_asking (front);
  GHashTableIter iter;
  gpointer connection;
  g_autoptr (GPtrArray) all = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, front->connections);
  while (g_hash_table_iter_next (&iter, &connection, NULL))
    g_ptr_array_add (all, connection);
  for (guint i = 0; i < all->len; i++)
    quince_caller_connection_drop (all->pdata[i]);
  quince_http_acceptor_free (front->callers_acceptor);
  quince_http_acceptor_free (front->ready_acceptor);
  quince_http_acceptor_free (front->directory_acceptor);
  quince_text_server_free (front->metrics);
  quince_observer_free (front->observer);
  quince_meta_presence_free (front->presence);
  quince_quarantine_client_set_store (front->quarantine, NULL, 0);
  quince_meta_store_free (front->store);
  quince_directory_free (front->directory);
  quince_machine_zones_free (front->zones);
  quince_ledger_caller_free (front->ledger);
  quince_usage_reporter_free (front->usage);
  quince_quarantine_client_free (front->quarantine);
  quince_warmup_client_free (front->warmup);
  quince_backends_free (front->backends);
  g_hash_table_unref (front->connections);
  g_hash_table_unref (front->split_turns);
  g_free (front->name);
  g_free (front->zone);
  g_free (front);
}
