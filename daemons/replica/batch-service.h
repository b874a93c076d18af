/*
 * batch-service.h: the leader's table of the batches in the ledger, and the runs of their samples.
 *
 * Committed records of the ledger are applied to the table.  The service appends results and the deletion of
 * old batches to the ledger.  It owns the table, the sample runner, the fronts' waiting calls (batch-calls.h)
 * and the retention timer.
 */
#pragma once

#include "core/batches/batch-table.h"
#include "core/weights/load-plan.h"
#include "core/weights/model-placement.h"
#include "observer/observer.h"
#include "runtime/link.h"

#include "batch-memory.h"
#include "ledger-node.h"
#include "progress-copies.h"
#include "progress-file.h"
#include "residency-coordinator.h"
#include "sample-runner.h"

typedef struct _QuinceBatchService QuinceBatchService;

/**
 * quince_batch_service_new:
 * @backends: (transfer none): workers and the connections to them
 * @observer: (transfer none): configuration and workers as read from the metadata store
 * @placement: (transfer none): records the demand for each model
 * @progress: (transfer none): texts of samples that a former leader sent to this replica
 * @retention_us: time from the submission of a batch to its deletion, by the wall clock.  Only ended batches
 * and those with all results are deleted
 * @result_window_us: maximum time for which a result of a training step waits for the next ones, us; 0: none
 *
 * The objects must outlive the service.
 */
QuinceBatchService *quince_batch_service_new (QuinceBackends *backends,
                                              QuinceObserver *observer,
                                              QuinceModelPlacement *placement,
                                              QuinceProgressStore *progress,
                                              gint64 retention_us,
                                              gint64 result_window_us);
void quince_batch_service_free (QuinceBatchService *service);
/* Call once, before any other function.  All arguments: (transfer none): must outlive the service */
void quince_batch_service_set_ledger (QuinceBatchService *service,
                                      QuinceLedgerNode *ledger,
                                      QuinceProgressFile *progress_file,
                                      QuinceResidencyCoordinator *residency,
                                      QuinceProgressCopies *copies,
                                      QuinceBatchMemory *memory);

/* ---- Events of the ledger ------------------------------------------------ */

/* This replica leads and has read its log: starts the samples of all open batches. */
void quince_batch_service_start_leading (QuinceBatchService *service);
/* This replica no longer leads, or lost leadership while it read its log: stops all samples, answers the
 * waiting calls and drops the table. */
void quince_batch_service_stop_leading (QuinceBatchService *service);
/* Applies a committed record at the leader, in the order of the log, and answers the calls that wait for it.
 * @index: of the record in the log; 0: no call can wait for it
 * @record: (transfer full) */
void
quince_batch_service_apply_record (QuinceBatchService *service, guint64 index, QuinceBatchRecord *record);
/* Answers a front's call on @link, immediately or later. */
void
quince_batch_service_handle_call (QuinceBatchService *service, QuinceLink *link, QuinceServiceCall *call);
/* Decides whether the large frame of a front's call is read, see quince_batch_submissions_admit().  Otherwise
 * the call has been refused. */
gboolean quince_batch_service_admit_call (QuinceBatchService *service,
                                          QuinceLink *link,
                                          guint64 call_id,
                                          gsize frame_bytes,
                                          QuinceMemoryHold **hold);
/* Drops the waiting calls of @link. */
void quince_batch_service_link_closed (QuinceBatchService *service, QuinceLink *link);

/* ---- Progress of samples -------------------------------------------------- */

/* Applies progress that a backup offers, and ends the wait for such offers if no more are expected.  Does
 * nothing unless this replica leads. */
void quince_batch_service_apply_progress (QuinceBatchService *service, const QuinceSampleProgress *progress);
/* Writes the progress of samples since the last call to the progress file, and sends it to the backups that
 * keep copies (progress-copies.h).  Call several times a second.  Does nothing unless this replica leads. */
void quince_batch_service_send_progress (QuinceBatchService *service);

/* ---- Samples -------------------------------------------------------------- */

/* Returns: (transfer container) (element-type QuinceBatchEntry): the batches in the ledger; those read so far
 * while a new leader reads its log; none at a backup */
GPtrArray *quince_batch_service_list (QuinceBatchService *service);
/* Adds waiting and running samples to @plan; none unless this replica leads. */
void quince_batch_service_fill_load_plan (QuinceBatchService *service, QuinceLoadPlan *plan);
/* Returns: the number of worker slots that the open samples of @service_name need to meet their deadlines; 0
 * unless this replica leads */
double quince_batch_service_get_slots_needed (QuinceBatchService *service, const char *service_name);
/* Starts the samples that can run.  Call after a change of workers or weight versions. */
void quince_batch_service_check_samples (QuinceBatchService *service);
/* Sets the gauges of batches and samples. */
void quince_batch_service_set_metrics (QuinceBatchService *service);
