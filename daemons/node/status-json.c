/*
 * status-json.c: /v1/status of this node, as JSON.
 */
#include "status-json.h"

#include <quince/task.h>

#include "engines.h"
#include "events.h"
#include "gossip.h"
#include "grants.h"
#include "ledger-host.h"
#include "operator-watch.h"
#include "peers.h"
#include "policy-spread.h"
#include "sessions.h"
#include "weights.h"

static void
add_text (JsonBuilder *builder, const char *name, const char *value)
{
  /* A peer's word may be any bytes. */
  g_autofree char *text = g_utf8_make_valid (value, -1);
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, text);
}

static void
add_number (JsonBuilder *builder, const char *name, guint64 value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_int_value (builder, (gint64)value);
}

static void
add_flag (JsonBuilder *builder, const char *name, gboolean value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_boolean_value (builder, value);
}

static void
begin_object (JsonBuilder *builder, const char *name)
{
  json_builder_set_member_name (builder, name);
  json_builder_begin_object (builder);
}

static void
begin_list (JsonBuilder *builder, const char *name)
{
  json_builder_set_member_name (builder, name);
  json_builder_begin_array (builder);
}

static void
add_policy (JsonBuilder *builder, QuinceNode *node)
{
  const QuincePolicyBody *body = quince_policy_spread_get_body (node->policy_spread);
  QuincePolicySpreadCounters counters;
  quince_policy_spread_get_counters (node->policy_spread, &counters);
  begin_object (builder, "policy");
  add_number (builder, "revision", body->revision);
  add_text (builder, "hash", body->hash);
  add_flag (builder, "current", quince_policy_spread_is_current (node->policy_spread));
  add_flag (builder, "kv_watch_up", quince_operator_watch_is_up (node->operator_watch));
  add_number (builder, "taken", counters.taken);
  add_number (builder, "refused_old", counters.refused_old);
  add_number (builder, "refused_corrupt", counters.refused_corrupt);
  add_number (builder, "fetches", counters.fetches);
  add_number (builder, "compile_failures", counters.compile_failures);
  add_number (builder, "runtime_failures", counters.runtime_failures);
  json_builder_end_object (builder);
}

static const char *
role_name (QuinceConsensusRole role)
{
  static const char *const names[] = { "learner", "follower", "candidate", "leader" };
  return (gsize)role < G_N_ELEMENTS (names) ? names[role] : "unknown";
}

static void
add_ledger (JsonBuilder *builder, QuinceNode *node)
{
  const QuinceLedgerState *state = quince_ledger_host_get_state (node->ledger_host);
  u_quad_t epoch = 0;
  const char *leader = quince_ledger_host_get_leader (node->ledger_host, &epoch);
  begin_object (builder, "ledger");
  add_text (builder, "role", state != NULL ? role_name (state->role) : "none");
  add_number (builder, "epoch", epoch);
  add_text (builder, "leader", leader);
  if (state != NULL)
    {
      g_autofree char *replica = g_strdup_printf ("%" G_GUINT64_FORMAT, state->replica_id);
      add_text (builder, "replica_id", replica);
      add_flag (builder, "bootstrapped", state->bootstrapped);
      add_number (builder, "voters", state->n_voters);
      add_number (builder, "commit_index", state->commit_index);
      add_number (builder, "rollouts", state->counters.rollouts);
      add_number (builder, "samples_open", state->counters.samples_open);
      add_number (builder, "samples_complete", state->counters.samples_complete);
      add_number (builder, "delivered", state->counters.delivered);
      add_number (builder, "duplicates_dropped", state->counters.duplicates_dropped);
      add_number (builder, "regenerated", state->counters.regenerated);
      add_number (builder, "claims", state->counters.claims);
    }
  json_builder_end_object (builder);
}

static const char *
state_name (QuinceMemberState state)
{
  static const char *const names[] = { "alive", "suspect", "leaving", "dead" };
  return (gsize)state < G_N_ELEMENTS (names) ? names[state] : "unknown";
}

static void
add_members (JsonBuilder *builder, QuinceNode *node)
{
  g_autoptr (GPtrArray) members = quince_gossiper_get_members (node->gossiper);
  begin_list (builder, "members");
  for (guint i = 0; i < members->len; i++)
    {
      const QuinceMember *member = g_ptr_array_index (members, i);
      json_builder_begin_object (builder);
      add_text (builder, "name", member->name);
      add_text (builder, "zone", member->zone);
      add_text (builder, "address", member->address);
      add_text (builder, "state", state_name (member->state));
      add_number (builder, "incarnation", member->incarnation);
      add_flag (builder, "ledger", member->replica_id != 0);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
}

static void
add_leaving (JsonBuilder *builder, guint leaving)
{
  static const char *const names[] = { "engine", "operator", "machine_list", "peer" };
  begin_list (builder, "leaving");
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    if ((leaving & (1U << i)) != 0)
      json_builder_add_string_value (builder, names[i]);
  json_builder_end_array (builder);
}

static void
add_engine (const QuinceEngineView *view, gpointer user_data)
{
  JsonBuilder *builder = user_data;
  json_builder_begin_object (builder);
  add_text (builder, "name", view->name);
  add_text (builder, "address", view->address);
  add_text (builder, "service", view->service);
  add_flag (builder, "usable", view->usable);
  add_leaving (builder, view->leaving);
  add_number (builder, "outstanding", view->outstanding);
  add_number (builder, "peers", view->peers);
  add_number (builder, "running", view->running);
  add_number (builder, "waiting", view->waiting);
  add_number (builder, "capacity", view->capacity);
  add_number (builder, "weight_version", view->weight_version);
  add_number (builder, "target_version", view->target_version);
  add_number (builder, "report_age_ms", (guint64)(view->report_age_us / 1000));
  json_builder_set_member_name (builder, "hit_rate");
  json_builder_add_double_value (builder, view->hit_rate);
  json_builder_end_object (builder);
}

static void
add_service (const QuinceServiceCount *count, gpointer user_data)
{
  JsonBuilder *builder = user_data;
  json_builder_begin_object (builder);
  add_text (builder, "member", count->member);
  add_text (builder, "kind", count->kind);
  add_number (builder, "asked", count->asked);
  add_number (builder, "on_time", count->on_time);
  add_number (builder, "late", count->late);
  add_number (builder, "refused", count->refused);
  add_number (builder, "tokens_on_time", count->tokens_on_time);
  json_builder_end_object (builder);
}

static void
add_scheduler (JsonBuilder *builder, QuinceNode *node)
{
  static const char *const refusals[]
      = { "overloaded", "policy", "no_engine", "not_ready", "stopping", "deadline", "bad_request" };
  QuinceScheduler *scheduler = quince_grants_get_scheduler (node->grants);
  QuinceSchedulerCounters counters;
  quince_scheduler_get_counters (scheduler, &counters);
  begin_list (builder, "engines");
  quince_scheduler_foreach_engine (scheduler, quince_now_us (), add_engine, builder);
  json_builder_end_array (builder);
  begin_list (builder, "service");
  quince_scheduler_foreach_service (scheduler, add_service, builder);
  json_builder_end_array (builder);
  begin_object (builder, "grants");
  add_number (builder, "granted", counters.granted);
  add_number (builder, "finished", counters.finished);
  add_number (builder, "expired", counters.expired);
  add_number (builder, "abandoned", counters.abandoned);
  add_number (builder, "retries_granted", counters.retries_granted);
  add_number (builder, "policy_failures", counters.policy_failures);
  add_number (builder, "waiting", counters.waiting);
  add_number (builder, "outstanding", counters.outstanding);
  begin_object (builder, "refused");
  for (guint i = 0; i < G_N_ELEMENTS (refusals); i++)
    add_number (builder, refusals[i], counters.refused[i]);
  json_builder_end_object (builder);
  json_builder_end_object (builder);
}

static void
add_links (JsonBuilder *builder, QuinceNode *node)
{
  QuinceSessionsCounters sessions;
  QuincePeersCounters peers;
  QuinceGossipCounters gossip;
  quince_sessions_get_counters (node->sessions, &sessions);
  quince_peers_get_counters (node->peers, &peers);
  quince_gossiper_get_counters (node->gossiper, &gossip);
  begin_object (builder, "links");
  add_number (builder, "agents", sessions.agents);
  add_number (builder, "nodes", sessions.nodes);
  add_number (builder, "accepted", sessions.accepted);
  add_number (builder, "too_many", sessions.too_many);
  add_number (builder, "malformed", sessions.malformed);
  add_number (builder, "too_large", sessions.too_large);
  add_number (builder, "wrong_version", sessions.wrong_version);
  add_number (builder, "wrong_deployment", sessions.wrong_deployment);
  add_number (builder, "unexpected", sessions.unexpected);
  add_number (builder, "peers_open", peers.open);
  add_number (builder, "peers_failed", peers.failed);
  add_number (builder, "peers_dropped", peers.dropped);
  add_number (builder, "gossip_bytes_sent", gossip.bytes_sent);
  add_number (builder, "gossip_bytes_received", gossip.bytes_received);
  add_number (builder, "gossip_malformed", gossip.malformed);
  json_builder_end_object (builder);
}

static void
add_weights (JsonBuilder *builder, QuinceNode *node)
{
  QuinceWeightPlanCounters counters;
  quince_weights_get_counters (node->weights, &counters);
  begin_object (builder, "weights");
  add_number (builder, "newest", quince_weights_get_newest (node->weights));
  add_number (builder, "engines", counters.engines);
  add_number (builder, "current", counters.current);
  add_number (builder, "staging", counters.staging);
  add_number (builder, "activating", counters.activating);
  add_number (builder, "staged", counters.staged);
  add_number (builder, "activated", counters.activated);
  add_number (builder, "failures", counters.failures);
  add_number (builder, "repairs", counters.repairs);
  add_number (builder, "fenced_off", quince_weights_get_fenced_off (node->weights));
  json_builder_end_object (builder);
}

JsonNode *
quince_node_status_json (QuinceNode *node)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  json_builder_begin_object (builder);
  add_text (builder, "name", node->name);
  add_text (builder, "zone", node->zone);
  add_number (builder, "incarnation", node->incarnation);
  add_flag (builder, "ready", quince_node_is_ready (node));
  add_flag (builder, "stopping", node->stopping);
  add_policy (builder, node);
  add_ledger (builder, node);
  add_members (builder, node);
  add_scheduler (builder, node);
  add_links (builder, node);
  add_weights (builder, node);
  add_number (builder, "events", quince_events_get_count (node->events));
  json_builder_end_object (builder);
  return json_builder_get_root (builder);
}
