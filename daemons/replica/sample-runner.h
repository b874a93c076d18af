/*
 * sample-runner.h: runs the samples of open batches on workers, scores them and delivers their results.
 */
#pragma once

#include "forward/backends.h"
#include "core/batches/batch-table.h"
#include "core/weights/load-plan.h"
#include "observer/observer.h"

#include "progress.h"
#include "sample-replication.h"

typedef struct _QuinceSampleRunner QuinceSampleRunner;

/**
 * QuinceSampleRunnerCallbacks:
 * @result: called once for each sample that is completed or abandoned; @result is valid during the call
 * @may_run: returns whether requests may be sent to workers now
 */
typedef struct
{
  void (*result) (const QuinceBatchResult *result, gpointer user_data);
  gboolean (*may_run) (gpointer user_data);
} QuinceSampleRunnerCallbacks;

/* @progress: progress that an earlier leader reported; not owned */
QuinceSampleRunner *quince_sample_runner_new (QuinceBackends *backends,
                                              QuinceObserver *observer,
                                              QuinceProgressStore *progress,
                                              const QuinceSampleRunnerCallbacks *callbacks,
                                              gpointer user_data);
/* Cancels all runs and reward calls. */
void quince_sample_runner_free (QuinceSampleRunner *runner);
/* Adds the samples of @entry that have no result yet.  @entry must stay valid until
 * quince_sample_runner_remove(). */
void quince_sample_runner_add (QuinceSampleRunner *runner, QuinceBatchEntry *entry);
/* Appends the progress since the last call to @items (element-type QuinceProgressItem), or all progress if
 * @all is set.  The items borrow from the samples and are valid until these change. */
void quince_sample_runner_collect_progress (QuinceSampleRunner *runner, gboolean all, GArray *items);
/* See quince_sample_replication_collect_copy(). */
void quince_sample_runner_collect_copy (QuinceSampleRunner *runner,
                                        const QuinceSampleCopyTarget *target,
                                        GArray *items);
/* Starts no sample without text for 200 ms, or until quince_sample_runner_end_progress_wait().  Called at a
 * new leader, when other replicas may have more progress. */
void quince_sample_runner_await_progress (QuinceSampleRunner *runner);
/* Ends the wait: no other replica is expected to have more progress. */
void quince_sample_runner_end_progress_wait (QuinceSampleRunner *runner);
/* Applies progress that another replica sent; see quince_sample_replication_apply().  Returns the number of
 * replaced texts. */
guint quince_sample_runner_apply_progress (QuinceSampleRunner *runner, const QuinceSampleProgress *progress);
/* Cancels and removes the samples of @entry, whose batch has ended or was removed from the ledger. */
void quince_sample_runner_remove (QuinceSampleRunner *runner, const QuinceBatchEntry *entry);
/* Checks all samples: moves runs, abandons expired samples, retries reward calls and starts runs.  Called
 * when workers or weight versions change. */
void quince_sample_runner_check_samples (QuinceSampleRunner *runner);
/* Returns: (transfer none) (nullable): the route of @batch, or %NULL if none is configured */
const QuinceRoute *quince_sample_runner_get_batch_route (const QuinceSampleRunner *runner,
                                                         const QuinceBatchJob *batch);
/* Records the waiting and running samples in @plan. */
void quince_sample_runner_fill_load_plan (QuinceSampleRunner *runner, QuinceLoadPlan *plan);
/* Returns how many slots at workers of @service its waiting and running samples need to end before their
 * deadlines. */
double quince_sample_runner_get_slots_needed (QuinceSampleRunner *runner, const char *service);
/* See quince_sample_demand_get_next_result_us(). */
gint64 quince_sample_runner_get_next_result_us (QuinceSampleRunner *runner, const char *batch);
/* Returns the number of samples that waited for a worker at the last check. */
guint quince_sample_runner_get_n_waiting (const QuinceSampleRunner *runner);
/* Sets the metrics by model; see sample-shares.h. */
void quince_sample_runner_set_metrics (const QuinceSampleRunner *runner);
guint quince_sample_runner_get_n_running (const QuinceSampleRunner *runner);
