/*
 * sample-runner.h: runs the samples of open batches on workers, scores them and hands over their results.
 */
#pragma once

#include "forward/backends.h"
#include "core/batches/batch-table.h"
#include "core/weights/load-plan.h"
#include "observer/observer.h"

#include "progress.h"

typedef struct _QuinceSampleRunner QuinceSampleRunner;

/**
 * QuinceSampleRunnerCallbacks:
 * @result: (transfer none): a sample is done or given up; the runner does not speak of it again
 * @may_run: whether requests may be sent to workers now
 */
typedef struct
{
  void (*result) (const QuinceBatchResult *result, gpointer user_data);
  gboolean (*may_run) (gpointer user_data);
} QuinceSampleRunnerCallbacks;

/* @progress: texts as a former leader sent them; not owned */
QuinceSampleRunner *quince_sample_runner_new (QuinceBackends *backends,
                                              QuinceObserver *observer,
                                              QuinceProgressStore *progress,
                                              const QuinceSampleRunnerCallbacks *callbacks,
                                              gpointer user_data);
/* Cancels all that runs. */
void quince_sample_runner_free (QuinceSampleRunner *runner);
/* All samples of @entry that are not listed are run; @entry lives until forget(). */
void quince_sample_runner_add (QuinceSampleRunner *runner, QuinceBatchEntry *entry);
/* What has been made since the last call, to be sent to the successor; @all: everything again. Lives until
 * samples change. */
void quince_sample_runner_collect_progress (QuinceSampleRunner *runner, gboolean all, GArray *items);
/* A new leader has waiting samples of which another replica may know more: nothing begins for a moment. */
void quince_sample_runner_await_progress (QuinceSampleRunner *runner);
/* Progress that another replica knows: samples that have not begun go on from there. */
void quince_sample_runner_apply_progress (QuinceSampleRunner *runner, const QuinceSampleProgress *progress);
/* The batch is ended or forgotten: its samples are cancelled. */
void quince_sample_runner_remove (QuinceSampleRunner *runner, const QuinceBatchEntry *entry);
/* Something has changed (workers, versions, time): begin what can begin. */
void quince_sample_runner_check_samples (QuinceSampleRunner *runner);
/* (nullable): the route of @batch; %NULL: no configuration has one */
const QuinceRoute *quince_sample_runner_get_batch_route (const QuinceSampleRunner *runner,
                                                         const QuinceBatchJob *batch);
/* Fills in the samples that wait and run. */
void quince_sample_runner_fill_load_plan (QuinceSampleRunner *runner, QuinceLoadPlan *plan);
/* Places at workers of @service that its open samples take to end in time; see scale-plan.h. */
double quince_sample_runner_get_slots_needed (QuinceSampleRunner *runner, const char *service);
guint quince_sample_runner_get_n_waiting (const QuinceSampleRunner *runner);
guint quince_sample_runner_get_n_running (const QuinceSampleRunner *runner);
