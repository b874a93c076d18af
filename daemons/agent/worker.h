/*
 * worker.h: serves callers, trainers and engines: one of the agent's tasks, or its main context.
 *
 * A worker owns its connections, its executions and its session with the
 * engines; what all workers share it reaches through the hub.  Its parts
 * reach each other through QuinceWorker.
 */
#pragma once

#include <libsoup/soup.h>
#include <quince/attempt.h>
#include <quince/settings.h>
#include <quince/task.h>

#include "hub-client.h"

typedef struct _QuinceCompletions QuinceCompletions;
typedef struct _QuinceTrainerApi QuinceTrainerApi;
typedef struct _QuinceSampleRunner QuinceSampleRunner;
typedef struct _QuinceAgentHttp QuinceAgentHttp;
typedef struct _QuinceExecutionCounters QuinceExecutionCounters;

/**
 * QuinceWorker:
 *
 * All fields but the first ones belong to the worker's context.
 */
typedef struct
{
  const QuinceSettings *settings; /* constant; owned by the program         */
  const char *name;               /* constant; the agent's                  */
  guint number;                   /* constant; from 0                       */
  gboolean run_samples;           /* constant                               */
  QuinceTask *task;               /* main context; %NULL: runs there itself */
  QuinceMailbox *mailbox;         /* set by the main context before its loop */
  QuinceMailbox *hub_mailbox;     /* constant                               */
  QuinceHubClient *hub;
  SoupSession *engines;
  QuinceExecutionCounters *executions;
  QuinceCompletions *completions;
  QuinceTrainerApi *trainer_api;
  QuinceSampleRunner *sample_runner; /* %NULL: this worker runs no samples  */
  QuinceAgentHttp *http;
  gboolean stopping;
} QuinceWorker;

/* Starts worker @number: 0 on the caller's context, any other as a task; @hub outlives it. */
QuinceWorker *quince_worker_start (const QuinceSettings *settings,
                                   const char *name,
                                   guint number,
                                   gboolean run_samples,
                                   QuinceMailbox *hub);
/* Serves a connection that was accepted.  Worker's context. */
void quince_worker_serve (QuinceWorker *worker, GSocket *socket);
/* Ends the task; what is in progress is cancelled. */
void quince_worker_free (QuinceWorker *worker);
