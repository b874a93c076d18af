/*
 * sample-runner.h: runs samples of rollouts, leased from the ledger's leader.
 */
#pragma once

#include "worker.h"

/**
 * quince_sample_runner_new:
 *
 * Begins at once to lease samples, as many as may run at the same time.
 */
QuinceSampleRunner *quince_sample_runner_new (QuinceWorker *worker);
/* Samples in progress are cancelled; their leases run out. */
void quince_sample_runner_free (QuinceSampleRunner *runner);
/* Planned stop: no new samples; those in progress go on. */
void quince_sample_runner_stop (QuinceSampleRunner *runner);

typedef struct
{
  guint running;
  guint64 leased;
  guint64 completed; /* accepted by the ledger                         */
  guint64 dropped;   /* the ledger did not want the result any more    */
  guint64 attempts;  /* executions, more than one when one failed      */
  guint64 score_failures;
} QuinceSampleRunnerCounters;

void quince_sample_runner_get_counters (const QuinceSampleRunner *runner, QuinceSampleRunnerCounters *out);
