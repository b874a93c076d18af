/*
 * node.c: one node of the deployment: wiring, readiness and planned stop.
 */
#include "node.h"

#include <quince/log.h>
#include <quince/program.h>
#include <quince/request-id.h>
#include <quince/task.h>

#include "drains.h"
#include "engines.h"
#include "events.h"
#include "gossip.h"
#include "grants.h"
#include "http.h"
#include "ledger-host.h"
#include "operator-watch.h"
#include "peers.h"
#include "policy-spread.h"
#include "sessions.h"
#include "weights.h"

#define MILLISECOND (G_USEC_PER_SEC / 1000)
#define CONNECTIONS_MOST 1024
#define CONNECTIONS_MOST_PER_ENGINE 8

/* Planned stop: the ends of grants get this long to arrive, and agents and
 * nodes at least this long to hear that this node leaves. */
#define STOP_MOST_US (3 * G_USEC_PER_SEC)
#define STOP_LEAST_US (500 * MILLISECOND)
#define STOP_CHECK_MS 50

static QuinceKvClient *
open_kv (const QuinceSettings *settings)
{
  g_auto (GStrv) endpoints = quince_settings_get_list (settings, "platform", "kv");
  guint timeout_ms
      = (guint)(quince_settings_get_duration_us (settings, "platform", "kv_timeout") / MILLISECOND);
  if (endpoints[0] == NULL)
    return NULL;
  return quince_kv_client_new ((const char *const *)endpoints, timeout_ms);
}

/* Parts that listen or open a disk, and may fail. */
static gboolean
open_parts (QuinceNode *node, GError **error)
{
  node->sessions = quince_sessions_new (node, error);
  if (node->sessions == NULL)
    return FALSE;
  node->gossiper = quince_gossiper_new (node, error);
  if (node->gossiper == NULL)
    return FALSE;
  node->ledger_host = quince_ledger_host_new (node, error);
  if (node->ledger_host == NULL)
    return FALSE;
  node->http = quince_node_http_new (node, error);
  return node->http != NULL;
}

gpointer
quince_node_start (const QuinceSettings *settings, GError **error)
{
  QuinceNode *node = g_new0 (QuinceNode, 1);
  node->settings = settings;
  node->name = quince_settings_get_text (settings, "node", "name");
  node->zone = quince_settings_get_text (settings, "node", "zone");
  node->deployment = quince_deployment_number (quince_settings_get_text (settings, "node", "deployment"));
  node->incarnation = (guint64)quince_wall_ms ();
  node->http_client
      = soup_session_new_with_options ("max-conns", CONNECTIONS_MOST, "max-conns-per-host",
                                       CONNECTIONS_MOST_PER_ENGINE, "proxy-resolver", NULL, NULL);
  node->kv = open_kv (settings);
  node->grants = quince_grants_new (node);
  node->peers = quince_peers_new (node);
  node->policy_spread = quince_policy_spread_new (node);
  if (!open_parts (node, error))
    {
      quince_node_free (node);
      return NULL;
    }
  node->engines = quince_engines_new (node);
  node->events = quince_events_new (node);
  node->drains = quince_drains_new (node);
  node->weights = quince_weights_new (node);
  quince_policy_spread_begin (node->policy_spread);
  quince_gossiper_begin (node->gossiper);
  quince_ledger_host_begin (node->ledger_host);
  node->operator_watch = quince_operator_watch_new (node);
  return node;
}

const char *
quince_node_get_advertised_address (const QuinceNode *node)
{
  const char *advertised = quince_settings_get_text (node->settings, "node", "advertise");
  return *advertised != '\0' ? advertised : quince_sessions_get_address (node->sessions);
}

char *
quince_node_ready_line (gpointer self)
{
  QuinceNode *node = self;
  return g_strdup_printf ("role=node name=%s address=%s gossip=%s http=%s", node->name,
                          quince_sessions_get_address (node->sessions),
                          quince_gossiper_get_address (node->gossiper),
                          quince_node_http_get_address (node->http));
}

gboolean
quince_node_is_ready (const QuinceNode *node)
{
  return !node->stopping && quince_policy_spread_is_current (node->policy_spread);
}

void
quince_node_changed (QuinceNode *node)
{
  quince_sessions_status_changed (node->sessions);
}

/* ---- Planned stop ---------------------------------------------------- */

static gboolean
has_outstanding_grants (QuinceNode *node)
{
  QuinceSchedulerCounters counters;
  quince_scheduler_get_counters (quince_grants_get_scheduler (node->grants), &counters);
  return counters.outstanding > 0;
}

static gboolean
stop_check_due (gpointer user_data)
{
  QuinceNode *node = user_data;
  gint64 now_us = quince_now_us ();
  gboolean told = now_us >= node->stop_until_us - STOP_MOST_US + STOP_LEAST_US;
  if (now_us < node->stop_until_us && (!told || has_outstanding_grants (node)))
    return G_SOURCE_CONTINUE;
  quince_source_clear (&node->stop_timer);
  quince_ledger_host_close (node->ledger_host);
  quince_program_quit (QUINCE_EXIT_OK);
  return G_SOURCE_REMOVE;
}

/* Streams go on between agents and engines: nothing is cut by this. */
void
quince_node_stop (gpointer self)
{
  QuinceNode *node = self;
  node->stopping = TRUE;
  node->stop_until_us = quince_now_us () + STOP_MOST_US;
  quince_log_info ("node_stopping", "name=%s", node->name);
  quince_grants_stop (node->grants);
  quince_gossiper_leave (node->gossiper);
  quince_node_changed (node);
  node->stop_timer = quince_timer_add (STOP_CHECK_MS, stop_check_due, node);
}

void
quince_node_free (gpointer self)
{
  QuinceNode *node = self;
  quince_source_clear (&node->stop_timer);
  quince_node_http_free (node->http);
  quince_operator_watch_free (node->operator_watch);
  quince_weights_free (node->weights);
  quince_drains_free (node->drains);
  quince_events_free (node->events);
  quince_engines_free (node->engines);
  quince_ledger_host_free (node->ledger_host);
  quince_gossiper_free (node->gossiper);
  quince_sessions_free (node->sessions);
  quince_policy_spread_free (node->policy_spread);
  quince_peers_free (node->peers);
  quince_grants_free (node->grants);
  g_clear_pointer (&node->kv, quince_kv_client_free);
  soup_session_abort (node->http_client);
  g_object_unref (node->http_client);
  g_free (node);
}
