/*
 * agent-metrics.c: what /metrics and /v1/status show.
 */
#include "agent-metrics.h"

#include <json-glib/json-glib.h>

#include "hub.h"
#include "ledger-client.h"
#include "node-links.h"
#include "worker-reports.h"

#define SHOWN_MOST 64

/* One figure; the name carries its Prometheus labels. */
typedef struct
{
  const char *name;
  guint64 value;
} Figure;

typedef struct
{
  Figure figures[SHOWN_MOST];
  guint count;
} Figures;

static void
add (Figures *figures, const char *name, guint64 value)
{
  g_assert (figures->count < SHOWN_MOST);
  figures->figures[figures->count++] = (Figure){ name, value };
}

static void
add_completions (Figures *figures, const QuinceWorkerReport *sum)
{
  const QuinceCompletionsCounters *counters = &sum->completions;
  add (figures, "requests_total", counters->requests);
  add (figures, "answers_whole_total", counters->answered_whole);
  add (figures, "answers_error_total", counters->answered_error);
  add (figures, "requests_malformed_total", counters->malformed);
  add (figures, "callers_gone_total", counters->callers_gone);
  add (figures, "requests_refused_stopping_total", counters->refused_stopping);
  add (figures, "requests_running", sum->completions_running);
}

static void
add_executions (Figures *figures, const QuinceWorkerReport *sum)
{
  const QuinceExecutionCounters *counters = &sum->executions;
  add (figures, "executions_started_total", counters->started);
  add (figures, "executions_running", counters->running);
  add (figures, "executions_cancelled_total", counters->cancelled);
  add (figures, "executions_deadline_total", counters->deadlines);
  add (figures, "executions_ended_total{end=\"whole\"}", counters->ends[QUINCE_EXECUTION_WHOLE]);
  add (figures, "executions_ended_total{end=\"not_run\"}", counters->ends[QUINCE_EXECUTION_NOT_RUN]);
  add (figures, "executions_ended_total{end=\"unknown\"}", counters->ends[QUINCE_EXECUTION_UNKNOWN]);
  add (figures, "executions_ended_total{end=\"broken\"}", counters->ends[QUINCE_EXECUTION_BROKEN]);
  add (figures, "executions_ended_total{end=\"duplicate\"}", counters->ends[QUINCE_EXECUTION_DUPLICATE]);
  add (figures, "attempts_dispatched_total", counters->dispatched);
  add (figures, "attempts_retried_total", counters->retried);
  add (figures, "attempts_resumed_total", counters->resumed);
  add (figures, "attempts_engine_refused_total", counters->engine_refused);
  add (figures, "attempts_failed_total{sent=\"false\"}", counters->engine_failed_unsent);
  add (figures, "attempts_failed_total{sent=\"true\"}", counters->engine_failed_sent);
  add (figures, "retries_over_budget_total", counters->budget_refused);
}

static void
add_links (Figures *figures, const QuinceAgent *agent)
{
  QuinceNodeLinksCounters links;
  QuinceLedgerClientCounters ledger;
  quince_node_links_get_counters (agent->node_links, &links);
  quince_ledger_client_get_counters (agent->ledger_client, &ledger);
  add (figures, "nodes_linked", links.linked);
  add (figures, "nodes_ready", links.ready);
  add (figures, "grants_waiting", links.waiting);
  add (figures, "grants_asked_total", links.asked);
  add (figures, "grants_granted_total", links.granted);
  add (figures, "grants_refused_total", links.refused);
  add (figures, "grants_lost_total", links.lost);
  add (figures, "grants_late_total", links.late_grants);
  add (figures, "node_links_silent_total", links.silent_links);
  add (figures, "policy_revision", quince_node_links_get_policy_revision (agent->node_links));
  add (figures, "ledger_calls_total", ledger.calls);
  add (figures, "ledger_calls_waiting", ledger.waiting);
  add (figures, "ledger_tries_total", ledger.tries);
  add (figures, "ledger_redirected_total", ledger.redirected);
  add (figures, "ledger_busy_total", ledger.busy);
  add (figures, "ledger_unanswered_total", ledger.unanswered);
}

static void
add_samples (Figures *figures, const QuinceAgent *agent, const QuinceWorkerReport *sum)
{
  if (!quince_settings_get_boolean (agent->settings, "agent", "run_samples"))
    return;
  QuinceSampleRunnerCounters samples = sum->samples;
  add (figures, "samples_running", samples.running);
  add (figures, "samples_leased_total", samples.leased);
  add (figures, "samples_completed_total", samples.completed);
  add (figures, "samples_dropped_total", samples.dropped);
  add (figures, "samples_attempts_total", samples.attempts);
  add (figures, "samples_score_failures_total", samples.score_failures);
}

static void
collect (const QuinceAgent *agent, const QuinceWorkerReport *sum, Figures *figures)
{
  figures->count = 0;
  add (figures, "workers", quince_hub_get_worker_count (agent->hub));
  add_completions (figures, sum);
  add_executions (figures, sum);
  add_links (figures, agent);
  add_samples (figures, agent, sum);
}

char *
quince_agent_metrics_format (const QuinceAgent *agent, const QuinceWorkerReport *sum)
{
  Figures figures;
  GString *out = g_string_new (NULL);
  g_autofree char *last = g_strdup ("");
  collect (agent, sum, &figures);
  for (guint i = 0; i < figures.count; i++)
    {
      const Figure *figure = &figures.figures[i];
      g_autofree char *family = g_strndup (figure->name, strcspn (figure->name, "{"));
      if (!g_str_equal (family, last))
        g_string_append_printf (out, "# TYPE quince_agent_%s %s\n", family,
                                g_str_has_suffix (family, "_total") ? "counter" : "gauge");
      g_string_append_printf (out, "quince_agent_%s %" G_GUINT64_FORMAT "\n", figure->name, figure->value);
      g_free (last);
      last = g_steal_pointer (&family);
    }
  return g_string_free (out, FALSE);
}

char *
quince_agent_status_format (const QuinceAgent *agent, const QuinceWorkerReport *sum)
{
  Figures figures;
  g_autoptr (JsonObject) root = json_object_new ();
  JsonObject *counters = json_object_new ();
  collect (agent, sum, &figures);
  json_object_set_string_member (root, "name", agent->name);
  json_object_set_string_member (root, "zone", agent->zone);
  json_object_set_boolean_member (root, "ready",
                                  quince_node_links_has_ready (agent->node_links) && !agent->stopping);
  json_object_set_boolean_member (root, "stopping", agent->stopping);
  json_object_set_int_member (root, "policy_revision",
                              (gint64)quince_node_links_get_policy_revision (agent->node_links));
  json_object_set_string_member (root, "ledger_leader",
                                 quince_node_links_get_ledger_leader (agent->node_links));
  for (guint i = 0; i < figures.count; i++)
    json_object_set_int_member (counters, figures.figures[i].name, (gint64)figures.figures[i].value);
  json_object_set_object_member (root, "counters", counters);
  g_autoptr (JsonNode) node = json_node_init_object (json_node_alloc (), root);
  return json_to_string (node, FALSE);
}
