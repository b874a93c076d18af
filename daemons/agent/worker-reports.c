/*
 * worker-reports.c: counters of all workers, asked for by messages.
 */
#include "worker-reports.h"

#include "agent-metrics.h"
#include "hub.h"
#include "node-links.h"

/* What waits for a round: a callback, or a worker's call for a view. */
typedef struct
{
  QuinceReportsCallback done; /* %NULL: a view */
  gpointer user_data;
  guint worker;
  guint64 call;
  QuinceViewKind view;
} ReportsWaiter;

struct _QuinceWorkerReports
{
  /* All fields belong to the main context. */
  QuinceAgent *agent;
  guint missing;          /* reports of this round, 0: none is under way */
  QuinceWorkerReport sum; /* of this round                               */
  GArray *waiting;        /* ReportsWaiter of this round                 */
  GArray *next;           /* ReportsWaiter of the round after it         */
};

QuinceWorkerReports *
quince_worker_reports_new (QuinceAgent *agent)
{
  QuinceWorkerReports *reports = g_new0 (QuinceWorkerReports, 1);
  reports->agent = agent;
  reports->waiting = g_array_new (FALSE, FALSE, sizeof (ReportsWaiter));
  reports->next = g_array_new (FALSE, FALSE, sizeof (ReportsWaiter));
  return reports;
}

void
quince_worker_reports_free (QuinceWorkerReports *reports)
{
  g_array_unref (reports->waiting);
  g_array_unref (reports->next);
  g_free (reports);
}

/* ---- Sums -------------------------------------------------------------------------- */

static void
add_completions (QuinceCompletionsCounters *sum, const QuinceCompletionsCounters *part)
{
  sum->requests += part->requests;
  sum->answered_whole += part->answered_whole;
  sum->answered_error += part->answered_error;
  sum->malformed += part->malformed;
  sum->callers_gone += part->callers_gone;
  sum->refused_stopping += part->refused_stopping;
}

static void
add_executions (QuinceExecutionCounters *sum, const QuinceExecutionCounters *part)
{
  sum->started += part->started;
  sum->dispatched += part->dispatched;
  sum->retried += part->retried;
  sum->resumed += part->resumed;
  sum->budget_refused += part->budget_refused;
  sum->engine_refused += part->engine_refused;
  sum->engine_failed_unsent += part->engine_failed_unsent;
  sum->engine_failed_sent += part->engine_failed_sent;
  for (guint i = 0; i < G_N_ELEMENTS (sum->ends); i++)
    sum->ends[i] += part->ends[i];
  sum->cancelled += part->cancelled;
  sum->deadlines += part->deadlines;
  sum->running += part->running;
}

static void
add_samples (QuinceSampleRunnerCounters *sum, const QuinceSampleRunnerCounters *part)
{
  sum->running += part->running;
  sum->leased += part->leased;
  sum->completed += part->completed;
  sum->dropped += part->dropped;
  sum->attempts += part->attempts;
  sum->score_failures += part->score_failures;
}

/* ---- Rounds ------------------------------------------------------------------------ */

static void
start_round (QuinceWorkerReports *reports)
{
  GArray *spare = reports->waiting;
  reports->waiting = reports->next;
  reports->next = spare;
  reports->missing = quince_hub_get_worker_count (reports->agent->hub);
  reports->sum = (QuinceWorkerReport){ 0 };
  for (guint i = 0; i < reports->missing; i++)
    quince_hub_post (reports->agent->hub, i, quince_worker_message_new (QUINCE_WORKER_REPORT, 0));
}

static void
wait_for_round (QuinceWorkerReports *reports, ReportsWaiter waiter)
{
  g_array_append_val (reports->next, waiter);
  if (reports->missing == 0)
    start_round (reports);
}

void
quince_worker_reports_collect (QuinceWorkerReports *reports, QuinceReportsCallback done, gpointer user_data)
{
  wait_for_round (reports, (ReportsWaiter){ .done = done, .user_data = user_data });
}

static void answer_view (QuinceAgent *agent, guint worker, guint64 call, guint status, char *text);

static void
answer_waiter (QuinceWorkerReports *reports, const ReportsWaiter *waiter)
{
  if (waiter->done != NULL)
    {
      waiter->done (&reports->sum, waiter->user_data);
      return;
    }
  char *text = waiter->view == QUINCE_VIEW_METRICS
                   ? quince_agent_metrics_format (reports->agent, &reports->sum)
                   : quince_agent_status_format (reports->agent, &reports->sum);
  answer_view (reports->agent, waiter->worker, waiter->call, SOUP_STATUS_OK, text);
}

void
quince_worker_reports_take (QuinceWorkerReports *reports, const QuinceWorkerReport *report)
{
  QuinceWorkerReport *sum = &reports->sum;
  add_completions (&sum->completions, &report->completions);
  add_executions (&sum->executions, &report->executions);
  add_samples (&sum->samples, &report->samples);
  sum->completions_running += report->completions_running;
  sum->trainers_running += report->trainers_running;
  sum->asked_us = MAX (sum->asked_us, report->asked_us);
  if (--reports->missing > 0)
    return;
  for (guint i = 0; i < reports->waiting->len; i++)
    answer_waiter (reports, &g_array_index (reports->waiting, ReportsWaiter, i));
  g_array_set_size (reports->waiting, 0);
  if (reports->next->len > 0)
    start_round (reports);
}

/* ---- Views ------------------------------------------------------------------------- */

static void
answer_view (QuinceAgent *agent, guint worker, guint64 call, guint status, char *text)
{
  QuinceWorkerMessage *message = quince_worker_message_new (QUINCE_WORKER_VIEW, call);
  message->status = status;
  message->text = text;
  quince_hub_post (agent->hub, worker, message);
}

static void
answer_ready (QuinceAgent *agent, guint worker, guint64 call)
{
  if (agent->stopping)
    answer_view (agent, worker, call, SOUP_STATUS_SERVICE_UNAVAILABLE, g_strdup ("stopping\n"));
  else if (!quince_node_links_has_ready (agent->node_links))
    answer_view (agent, worker, call, SOUP_STATUS_SERVICE_UNAVAILABLE, g_strdup ("no node is ready\n"));
  else
    answer_view (agent, worker, call, SOUP_STATUS_OK, g_strdup ("ready\n"));
}

void
quince_worker_reports_view (QuinceWorkerReports *reports, guint worker, guint64 call, QuinceViewKind kind)
{
  if (kind == QUINCE_VIEW_READY)
    {
      answer_ready (reports->agent, worker, call);
      return;
    }
  wait_for_round (reports, (ReportsWaiter){ .worker = worker, .call = call, .view = kind });
}
