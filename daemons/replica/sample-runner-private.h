/*
 * sample-runner-private.h: state shared by the files of the sample runner.
 *
 * sample-runner.c: which samples there are, and when each is looked at.
 * sample-dispatch.c: on which worker a sample runs, and when it moves to another one.
 * sample-outcome.c: what follows a run: the next try, the reward call, the result.
 */
#pragma once

#include "core/decisions/sample-move.h"
#include "core/batches/length-model.h"

#include "sample-runner.h"
#include "sample.h"
#include "step-report.h"

/* The pace of a service's fastest worker, as it was found a moment ago. */
typedef struct
{
  gint64 found_us;
  gint64 fastest_us;
} QuinceServicePace;

struct _QuinceSampleRunner
{
  /* All fields belong to the main context. */
  QuinceBackends *backends;
  QuinceObserver *observer;
  QuinceProgressStore *progress;
  const QuinceSampleRunnerCallbacks *callbacks;
  gpointer user_data;
  GPtrArray *samples;  /* QuinceSample, owned, in order of their start */
  GHashTable *lengths; /* QuinceLengthModel by model, owned */
  GHashTable *paces;   /* QuinceServicePace by service, owned; see sample-dispatch.c */
  QuinceMoveWatch move_watch;
  QuinceStepReports *reports;
  GSource *timer;
  GSource *soon;         /* a pump that is asked for */
  gint64 begin_after_us; /* a new leader: nothing begins before, unless it is told progress */
  guint running;
  guint waiting;
};

/* ---- sample-runner.c --------------------------------------------------- */

void quince_sample_runner_pump_soon (QuinceSampleRunner *runner);
/* The same, after @wait_ms, or sooner where a pump is asked for already. */
void quince_sample_runner_pump_after (QuinceSampleRunner *runner, guint wait_ms);
/* Releases @sample. */
void quince_sample_runner_drop (QuinceSampleRunner *runner, QuinceSample *sample);
/* The route of a batch or of a reward call; %NULL: no configuration has one. */
const QuinceRoute *
quince_sample_runner_find_route (const QuinceSampleRunner *runner, const char *host, const char *path);
/* The regions that the route and the tenant of @entry allow now. */
void quince_sample_runner_get_residency (const QuinceSampleRunner *runner,
                                         const QuinceBatchEntry *entry,
                                         QuinceResidency *residency);
/* What is known of the lengths of @model's texts. */
QuinceLengthModel *quince_sample_runner_get_lengths (QuinceSampleRunner *runner, const char *model);

/* ---- sample-dispatch.c ------------------------------------------------- */

/* The service of @route whose workers run @sample. */
const char *quince_sample_dispatch_service (const QuinceRoute *route, const QuinceSample *sample);
/* Begins a run where a worker has room. */
QuinceBackendOutcome quince_sample_dispatch (QuinceSampleRunner *runner, QuinceSample *sample, gint64 now_us);
/* Moves running samples to workers that end them sooner, a few at a time. */
void quince_sample_dispatch_move (QuinceSampleRunner *runner, gint64 now_us);

/* ---- sample-outcome.c -------------------------------------------------- */

/* The callback of quince_sample_run(); @data: the runner. */
void
quince_sample_outcome_run_ended (QuinceSample *sample, QuinceRunEnd end, const char *cause, gpointer data);
/* Makes the reward call of a sample whose text is whole. */
void quince_sample_outcome_begin_reward (QuinceSampleRunner *runner, QuinceSample *sample);
/* Lists the sample as given up; releases it. */
void quince_sample_outcome_give_up (QuinceSampleRunner *runner, QuinceSample *sample, const char *cause);
