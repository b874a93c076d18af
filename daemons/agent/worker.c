/*
 * worker.c: serves callers, trainers and engines: one of the agent's tasks, or its main context.
 */
#include "worker.h"

#include <string.h>

#include <quince/engine-client.h>

#include "agent-http.h"
#include "completions.h"
#include "execution.h"
#include "sample-runner.h"
#include "trainer-api.h"
#include "worker-reports.h"

#define NAME_BYTES 16

static QuinceWorkerReport *
make_report (const QuinceWorker *worker)
{
  QuinceWorkerReport *report = g_new0 (QuinceWorkerReport, 1);
  report->completions = *quince_completions_get_counters (worker->completions);
  report->completions_running = quince_completions_get_running (worker->completions);
  report->executions = *worker->executions;
  report->trainers_running = quince_trainer_api_get_running (worker->trainer_api);
  report->asked_us = quince_agent_http_get_asked_us (worker->http);
  if (worker->sample_runner != NULL)
    quince_sample_runner_get_counters (worker->sample_runner, &report->samples);
  return report;
}

static void
stop (QuinceWorker *worker)
{
  worker->stopping = TRUE;
  if (worker->sample_runner != NULL)
    quince_sample_runner_stop (worker->sample_runner);
}

void
quince_worker_serve (QuinceWorker *worker, GSocket *socket)
{
  quince_agent_http_serve (worker->http, socket);
}

static void
take_message (gpointer data, gpointer user_data)
{
  QuinceWorker *worker = user_data;
  QuinceWorkerMessage *message = data;
  switch (message->kind)
    {
    case QUINCE_WORKER_CONNECTION:
      quince_worker_serve (worker, message->socket);
      break;
    case QUINCE_WORKER_STOP:
      stop (worker);
      break;
    case QUINCE_WORKER_REPORT:
      quince_hub_client_report (worker->hub, make_report (worker));
      break;
    case QUINCE_WORKER_CHECK_ID:
      quince_completions_check_id (worker->completions, message->id);
      break;
    default:
      quince_hub_client_take (worker->hub, message);
    }
  quince_worker_message_free (message);
}

/* ---- Life, on the worker's context ------------------------------------------------ */

static void
setup (gpointer data)
{
  QuinceWorker *worker = data;
  worker->hub = quince_hub_client_new (worker->hub_mailbox, worker->number);
  worker->engines = quince_engine_session_new ();
  worker->executions = g_new0 (QuinceExecutionCounters, 1);
  worker->completions = quince_completions_new (worker);
  worker->trainer_api = quince_trainer_api_new (worker);
  if (worker->run_samples)
    worker->sample_runner = quince_sample_runner_new (worker);
  worker->http = quince_agent_http_new (worker);
}

static void
teardown (gpointer data)
{
  QuinceWorker *worker = data;
  quince_mailbox_close (worker->mailbox);
  g_clear_pointer (&worker->sample_runner, quince_sample_runner_free);
  g_clear_pointer (&worker->trainer_api, quince_trainer_api_free);
  g_clear_pointer (&worker->completions, quince_completions_free);
  g_clear_pointer (&worker->http, quince_agent_http_free);
  g_clear_object (&worker->engines);
  g_clear_pointer (&worker->executions, g_free);
  g_clear_pointer (&worker->hub, quince_hub_client_free);
}

/* ---- Life, on the main context -------------------------------------------------------- */

QuinceWorker *
quince_worker_start (const QuinceSettings *settings,
                     const char *name,
                     guint number,
                     gboolean run_samples,
                     QuinceMailbox *hub)
{
  char thread[NAME_BYTES];
  QuinceWorker *worker = g_new0 (QuinceWorker, 1);
  worker->settings = settings;
  worker->name = name;
  worker->number = number;
  worker->hub_mailbox = quince_mailbox_ref (hub);
  g_snprintf (thread, sizeof thread, "worker-%u", number);
  worker->run_samples = run_samples;
  if (number > 0)
    worker->task = quince_task_start (thread, setup, teardown, worker);
  GMainContext *context = number > 0 ? quince_task_get_context (worker->task) : NULL;
  worker->mailbox = quince_mailbox_new (context, take_message, quince_worker_message_free, NULL, worker);
  if (worker->task == NULL)
    setup (worker);
  return worker;
}

void
quince_worker_free (QuinceWorker *worker)
{
  if (worker->task != NULL)
    quince_task_stop (worker->task);
  else
    teardown (worker);
  quince_mailbox_unref (worker->mailbox);
  quince_mailbox_unref (worker->hub_mailbox);
  g_free (worker);
}
