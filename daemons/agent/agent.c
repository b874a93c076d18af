/*
 * agent.c: start, planned stop and end of the agent's parts.
 */
#include "agent.h"

#include <quince/log.h>
#include <quince/program.h>
#include <quince/request-id.h>
#include <quince/task.h>

#include "agent-listener.h"
#include "hub.h"
#include "ledger-client.h"
#include "node-links.h"
#include "worker-reports.h"
#include "worker.h"

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

static void
start_workers (QuinceAgent *agent)
{
  guint count = (guint)quince_settings_get_integer (agent->settings, "agent", "workers");
  agent->hub = quince_hub_new (agent);
  agent->reports = quince_worker_reports_new (agent);
  agent->workers = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_worker_free);
  gboolean run_samples = quince_settings_get_boolean (agent->settings, "agent", "run_samples");
  for (guint i = 0; i < count; i++)
    {
      /* The last runs samples: the first shares its context with the hub. */
      QuinceWorker *worker
          = quince_worker_start (agent->settings, agent->name, i, run_samples && i + 1 == count,
                                 quince_hub_get_mailbox (agent->hub));
      quince_hub_add_worker (agent->hub, worker->mailbox);
      g_ptr_array_add (agent->workers, worker);
    }
}

gpointer
quince_agent_start (const QuinceSettings *settings, GError **error)
{
  QuinceAgent *agent = g_new0 (QuinceAgent, 1);
  agent->settings = settings;
  agent->name = quince_settings_get_text (settings, "agent", "name");
  agent->zone = quince_settings_get_text (settings, "agent", "zone");
  agent->incarnation = (guint64)quince_wall_ms ();
  agent->retry_budget
      = quince_retry_budget_new (quince_settings_get_number (settings, "agent", "retry_ratio"),
                                 quince_settings_get_number (settings, "agent", "retry_least"));
  start_links (agent);
  start_workers (agent);
  agent->listener = quince_agent_listener_new (agent->hub, g_ptr_array_index (agent->workers, 0),
                                               quince_settings_get_text (settings, "agent", "listen"), error);
  if (agent->listener != NULL)
    return agent;
  quince_agent_free (agent);
  return NULL;
}

char *
quince_agent_ready_line (gpointer self)
{
  QuinceAgent *agent = self;
  return g_strdup_printf ("role=agent name=%s http=%s", agent->name,
                          quince_agent_listener_get_address (agent->listener));
}

/* ---- Planned stop ---------------------------------------------------------------- */

/* Callers that are connected already are told that this agent stops, until none asks any more.
 * @asked_us: when a request came last */
static gboolean
is_closed (QuinceAgent *agent, gint64 asked_us)
{
  gint64 now = quince_now_us ();
  if (agent->closing_us == 0)
    {
      agent->closing_us = now;
      quince_agent_listener_ignore_connections (agent->listener);
    }
  gint64 quiet_since = MAX (agent->closing_us, asked_us);
  return now - quiet_since >= CLOSING_QUIET_US || now - agent->closing_us >= CLOSING_MOST_US;
}

/* @sum: from reports that each worker made after it knew of the stop */
static void
stop_reported (const QuinceWorkerReport *sum, gpointer user_data)
{
  QuinceAgent *agent = user_data;
  guint running = sum->completions_running + sum->trainers_running + sum->samples.running;
  if (running > 0 && quince_now_us () < agent->stop_until_us)
    return;
  if (agent->stop_timer == NULL || !is_closed (agent, sum->asked_us))
    return;
  if (running > 0)
    quince_log_warning ("stop_limit_reached", "running=%u", running);
  quince_source_clear (&agent->stop_timer);
  quince_program_quit (QUINCE_EXIT_OK);
}

static gboolean
check_stopped (gpointer data)
{
  QuinceAgent *agent = data;
  quince_worker_reports_collect (agent->reports, stop_reported, agent);
  return G_SOURCE_CONTINUE;
}

/* The listener goes on while something runs: a request that still comes is told to go elsewhere, as
 * not run. */
void
quince_agent_stop (gpointer self)
{
  QuinceAgent *agent = self;
  agent->stopping = TRUE;
  agent->stop_until_us
      = quince_now_us () + quince_settings_get_duration_us (agent->settings, "agent", "stop_limit");
  for (guint i = 0; i < agent->workers->len; i++)
    quince_hub_post (agent->hub, i, quince_worker_message_new (QUINCE_WORKER_STOP, 0));
  agent->stop_timer = quince_timer_add (STOP_CHECK_MS, check_stopped, agent);
}

void
quince_agent_free (gpointer self)
{
  QuinceAgent *agent = self;
  quince_source_clear (&agent->stop_timer);
  g_clear_pointer (&agent->listener, quince_agent_listener_free);
  g_clear_pointer (&agent->workers, g_ptr_array_unref);
  g_clear_pointer (&agent->reports, quince_worker_reports_free);
  g_clear_pointer (&agent->hub, quince_hub_free);
  g_clear_pointer (&agent->ledger_client, quince_ledger_client_free);
  g_clear_pointer (&agent->node_links, quince_node_links_free);
  g_clear_pointer (&agent->retry_budget, quince_retry_budget_free);
  g_free (agent);
}
