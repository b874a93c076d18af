/*
 * agent.c: start, planned stop and end of the agent's parts.
 */
#include "agent.h"

#include <quince/engine-client.h>
#include <quince/log.h>
#include <quince/program.h>
#include <quince/request-id.h>
#include <quince/task.h>

#include "agent-http.h"
#include "completions.h"
#include "ledger-client.h"
#include "node-links.h"
#include "sample-runner.h"
#include "trainer-api.h"

#define STOP_CHECK_MS 20
/* After the last answer: no request for so long, or this much in all. */
#define CLOSING_QUIET_US (100 * G_TIME_SPAN_MILLISECOND)
#define CLOSING_MOST_US (1000 * G_TIME_SPAN_MILLISECOND)

static void
ledger_reply (const QuinceLedgerReply *reply, gpointer user_data)
{
  QuinceAgent *agent = user_data;
  quince_ledger_client_reply (agent->ledger_client, reply);
}

static void
link_changed (const char *address, gboolean up, gpointer user_data)
{
  QuinceAgent *agent = user_data;
  quince_ledger_client_link_changed (agent->ledger_client, address, up);
}

static void
start_links (QuinceAgent *agent)
{
  g_auto (GStrv) nodes = quince_settings_get_list (agent->settings, "agent", "nodes");
  const QuinceNodeLinksOptions options = {
    .name = agent->name,
    .zone = agent->zone,
    .incarnation = agent->incarnation,
    .deployment
    = quince_deployment_number (quince_settings_get_text (agent->settings, "agent", "deployment")),
    .nodes = nodes,
    .ledger_reply = ledger_reply,
    .link_changed = link_changed,
    .user_data = agent,
  };
  agent->node_links = quince_node_links_new (&options);
  agent->ledger_client = quince_ledger_client_new (agent->node_links);
}

gpointer
quince_agent_start (const QuinceSettings *settings, GError **error)
{
  QuinceAgent *agent = g_new0 (QuinceAgent, 1);
  agent->settings = settings;
  agent->name = quince_settings_get_text (settings, "agent", "name");
  agent->zone = quince_settings_get_text (settings, "agent", "zone");
  agent->incarnation = (guint64)quince_wall_ms ();
  agent->engines = quince_engine_session_new ();
  agent->retry_budget
      = quince_retry_budget_new (quince_settings_get_number (settings, "agent", "retry_ratio"),
                                 quince_settings_get_number (settings, "agent", "retry_least"));
  start_links (agent);
  agent->completions = quince_completions_new (agent);
  agent->trainer_api = quince_trainer_api_new (agent);
  if (quince_settings_get_boolean (settings, "agent", "run_samples"))
    agent->sample_runner = quince_sample_runner_new (agent);
  agent->http = quince_agent_http_new (agent, quince_settings_get_text (settings, "agent", "listen"), error);
  if (agent->http != NULL)
    return agent;
  quince_agent_free (agent);
  return NULL;
}

char *
quince_agent_ready_line (gpointer self)
{
  QuinceAgent *agent = self;
  return g_strdup_printf ("role=agent name=%s http=%s", agent->name,
                          quince_agent_http_get_address (agent->http));
}

/* ---- Planned stop ---------------------------------------------------------------- */

static guint
count_running (const QuinceAgent *agent)
{
  guint samples = agent->sample_runner != NULL ? quince_sample_runner_get_running (agent->sample_runner) : 0;
  return quince_completions_get_running (agent->completions)
         + quince_trainer_api_get_running (agent->trainer_api) + samples;
}

/* Callers that are connected already are told that this agent stops, until none asks any more. */
static gboolean
is_closed (QuinceAgent *agent)
{
  gint64 now = quince_now_us ();
  if (agent->closing_us == 0)
    {
      agent->closing_us = now;
      quince_agent_http_ignore_connections (agent->http);
    }
  gint64 quiet_since = MAX (agent->closing_us, quince_agent_http_get_asked_us (agent->http));
  return now - quiet_since >= CLOSING_QUIET_US || now - agent->closing_us >= CLOSING_MOST_US;
}

static gboolean
check_stopped (gpointer data)
{
  QuinceAgent *agent = data;
  guint running = count_running (agent);
  if (running > 0 && quince_now_us () < agent->stop_until_us)
    return G_SOURCE_CONTINUE;
  if (!is_closed (agent))
    return G_SOURCE_CONTINUE;
  if (running > 0)
    quince_log_warning ("stop_limit_reached", "running=%u", running);
  quince_source_clear (&agent->stop_timer);
  quince_program_quit (QUINCE_EXIT_OK);
  return G_SOURCE_REMOVE;
}

/* The server goes on to listen while something runs: a request that still comes is told to go elsewhere, as
 * not run. */
void
quince_agent_stop (gpointer self)
{
  QuinceAgent *agent = self;
  agent->stopping = TRUE;
  agent->stop_until_us
      = quince_now_us () + quince_settings_get_duration_us (agent->settings, "agent", "stop_limit");
  if (agent->sample_runner != NULL)
    quince_sample_runner_stop (agent->sample_runner);
  agent->stop_timer = quince_timer_add (STOP_CHECK_MS, check_stopped, agent);
}

void
quince_agent_free (gpointer self)
{
  QuinceAgent *agent = self;
  quince_source_clear (&agent->stop_timer);
  g_clear_pointer (&agent->sample_runner, quince_sample_runner_free);
  g_clear_pointer (&agent->trainer_api, quince_trainer_api_free);
  g_clear_pointer (&agent->completions, quince_completions_free);
  g_clear_pointer (&agent->http, quince_agent_http_free);
  g_clear_pointer (&agent->ledger_client, quince_ledger_client_free);
  g_clear_pointer (&agent->node_links, quince_node_links_free);
  g_clear_pointer (&agent->retry_budget, quince_retry_budget_free);
  g_clear_object (&agent->engines);
  g_free (agent);
}
