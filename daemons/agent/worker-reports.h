/*
 * worker-reports.h: counters of all workers, asked for by messages.
 *
 * A round asks every worker for its report; what waited for it is answered
 * when all reports are in.
 */
#pragma once

#include "agent.h"
#include "completions.h"
#include "execution.h"
#include "hub-message.h"
#include "sample-runner.h"

/* Of one worker, or the sum over all. */
struct _QuinceWorkerReport
{
  QuinceCompletionsCounters completions;
  guint completions_running;
  QuinceExecutionCounters executions;
  QuinceSampleRunnerCounters samples;
  guint trainers_running;
  gint64 asked_us; /* when a request came last, monotonic; 0 never */
};

QuinceWorkerReports *quince_worker_reports_new (QuinceAgent *agent);
void quince_worker_reports_free (QuinceWorkerReports *reports);

/* @sum: over reports that were all made after the round was asked for */
typedef void (*QuinceReportsCallback) (const QuinceWorkerReport *sum, gpointer user_data);
/* @done: runs once, after this returns */
void
quince_worker_reports_collect (QuinceWorkerReports *reports, QuinceReportsCallback done, gpointer user_data);

/* A worker's call for a view is answered, with counters where the view has some. */
void
quince_worker_reports_view (QuinceWorkerReports *reports, guint worker, guint64 call, QuinceViewKind kind);
void quince_worker_reports_take (QuinceWorkerReports *reports, const QuinceWorkerReport *report);
