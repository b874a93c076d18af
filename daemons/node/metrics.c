/*
 * metrics.c: /metrics of this node, in the Prometheus text format.
 */
#include "status-json.h"

#include <quince/task.h>

#include "engines.h"
#include "gossip.h"
#include "grants.h"
#include "ledger-host.h"
#include "operator-watch.h"
#include "peers.h"
#include "policy-spread.h"
#include "sessions.h"
#include "weights.h"

static void
add (GString *text, const char *name, guint64 value)
{
  g_string_append_printf (text, "quince_node_%s %" G_GUINT64_FORMAT "\n", name, value);
}

static void
add_type (GString *text, const char *name, const char *type)
{
  g_string_append_printf (text, "# TYPE quince_node_%s %s\n", name, type);
}

static void
add_gauge (GString *text, const char *name, guint64 value)
{
  add_type (text, name, "gauge");
  add (text, name, value);
}

static void
add_counter (GString *text, const char *name, guint64 value)
{
  add_type (text, name, "counter");
  add (text, name, value);
}

static void
add_grants (GString *text, QuinceNode *node)
{
  static const char *const refusals[]
      = { "overloaded", "policy", "no_engine", "not_ready", "stopping", "deadline", "bad_request" };
  QuinceSchedulerCounters counters;
  quince_scheduler_get_counters (quince_grants_get_scheduler (node->grants), &counters);
  add_counter (text, "granted_total", counters.granted);
  add_counter (text, "finished_total", counters.finished);
  add_counter (text, "grants_expired_total", counters.expired);
  add_counter (text, "grants_abandoned_total", counters.abandoned);
  add_counter (text, "retries_granted_total", counters.retries_granted);
  add_gauge (text, "requests_waiting", counters.waiting);
  add_gauge (text, "grants_outstanding", counters.outstanding);
  add_type (text, "refused_total", "counter");
  for (guint i = 0; i < G_N_ELEMENTS (refusals); i++)
    g_string_append_printf (text, "quince_node_refused_total{reason=\"%s\"} %" G_GUINT64_FORMAT "\n",
                            refusals[i], counters.refused[i]);
}

static void
add_policy (GString *text, QuinceNode *node)
{
  QuincePolicySpreadCounters counters;
  quince_policy_spread_get_counters (node->policy_spread, &counters);
  add_gauge (text, "policy_revision", quince_policy_spread_get_body (node->policy_spread)->revision);
  add_gauge (text, "operator_watch_up", quince_operator_watch_is_up (node->operator_watch));
  add_counter (text, "policy_refused_old_total", counters.refused_old);
  add_counter (text, "policy_refused_corrupt_total", counters.refused_corrupt);
  add_counter (text, "policy_fetches_total", counters.fetches);
  add_counter (text, "policy_compile_failures_total", counters.compile_failures);
  add_counter (text, "policy_runtime_failures_total", counters.runtime_failures);
}

static void
add_links (GString *text, QuinceNode *node)
{
  QuinceSessionsCounters sessions;
  QuincePeersCounters peers;
  QuinceGossipCounters gossip;
  quince_sessions_get_counters (node->sessions, &sessions);
  quince_peers_get_counters (node->peers, &peers);
  quince_gossiper_get_counters (node->gossiper, &gossip);
  add_gauge (text, "agent_sessions", sessions.agents);
  add_gauge (text, "node_sessions", sessions.nodes);
  add_counter (text, "sessions_accepted_total", sessions.accepted);
  add_counter (text, "sessions_too_many_total", sessions.too_many);
  add_counter (text, "frames_malformed_total", sessions.malformed);
  add_counter (text, "frames_too_large_total", sessions.too_large);
  add_counter (text, "wrong_protocol_version_total", sessions.wrong_version);
  add_counter (text, "wrong_deployment_total", sessions.wrong_deployment);
  add_counter (text, "unexpected_messages_total", sessions.unexpected);
  add_counter (text, "status_pushes_total", sessions.status_pushes);
  add_gauge (text, "peer_links_open", peers.open);
  add_counter (text, "peer_links_failed_total", peers.failed);
  add_counter (text, "peer_messages_dropped_total", peers.dropped);
  add_counter (text, "gossip_sent_bytes_total", gossip.bytes_sent);
  add_counter (text, "gossip_received_bytes_total", gossip.bytes_received);
  add_counter (text, "gossip_malformed_total", gossip.malformed);
  add_counter (text, "gossip_readings_sent_bytes_total", gossip.readings_bytes);
}

static void
add_engines (GString *text, QuinceNode *node)
{
  QuinceEnginesCounters counters;
  quince_engines_get_counters (node->engines, &counters);
  add_gauge (text, "engines", counters.engines);
  add_gauge (text, "engines_available", counters.available);
  add_gauge (text, "engines_owned", counters.owned);
  add_gauge (text, "engines_spare", counters.spare);
  add_gauge (text, "engines_followed", counters.followed);
  add_counter (text, "engine_polls_total", counters.polls);
  add_counter (text, "engine_follow_polls_total", counters.follow_polls);
  add_counter (text, "engine_readings_taken_total", counters.readings_taken);
  add_counter (text, "engine_poll_failures_total", counters.poll_failures);
  add_counter (text, "cache_event_gaps_total", counters.cache_gaps);
  add_counter (text, "machine_list_failures_total", counters.list_failures);
}

static void
add_ledger (GString *text, QuinceNode *node)
{
  const QuinceLedgerState *state = quince_ledger_host_get_state (node->ledger_host);
  u_quad_t epoch = 0;
  quince_ledger_host_get_leader (node->ledger_host, &epoch);
  add_gauge (text, "ledger_epoch", epoch);
  if (state == NULL)
    return;
  add_gauge (text, "ledger_leads", state->role == QUINCE_CONSENSUS_LEADER);
  add_gauge (text, "ledger_commit_index", state->commit_index);
  add_gauge (text, "ledger_samples_open", state->counters.samples_open);
  add_gauge (text, "ledger_samples_complete", state->counters.samples_complete);
  add_counter (text, "ledger_delivered_total", state->counters.delivered);
  add_counter (text, "ledger_duplicates_dropped_total", state->counters.duplicates_dropped);
  add_counter (text, "ledger_regenerated_total", state->counters.regenerated);
}

static void
add_weights (GString *text, QuinceNode *node)
{
  QuinceWeightPlanCounters counters;
  quince_weights_get_counters (node->weights, &counters);
  add_gauge (text, "weights_newest", quince_weights_get_newest (node->weights));
  add_gauge (text, "weights_engines_current", counters.current);
  add_counter (text, "weights_staged_total", counters.staged);
  add_counter (text, "weights_activated_total", counters.activated);
  add_counter (text, "weights_failures_total", counters.failures);
  add_counter (text, "weights_repairs_total", counters.repairs);
  add_counter (text, "weights_fenced_off_total", quince_weights_get_fenced_off (node->weights));
}

char *
quince_node_metrics_text (QuinceNode *node)
{
  GString *text = g_string_new (NULL);
  add_gauge (text, "ready", quince_node_is_ready (node));
  add_grants (text, node);
  add_policy (text, node);
  add_links (text, node);
  add_engines (text, node);
  add_ledger (text, node);
  add_weights (text, node);
  return g_string_free (text, FALSE);
}
