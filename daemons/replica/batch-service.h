/*
 * batch-service.h: answers fronts' calls about batches, and keeps what they change in the ledger.
 */
#pragma once

#include "core/batches/batch-book.h"
#include "runtime/link.h"
#include "core/weights/load-plan.h"
#include "core/weights/model-placement.h"
#include "observer/observer.h"

#include "ledger-node.h"
#include "progress-file.h"
#include "residency-coordinator.h"
#include "sample-runner.h"

typedef struct _QuinceBatchService QuinceBatchService;

/* @keep_us: a batch that is ended, or whose samples' time is up, is forgotten so long after its submission.
 * @placement: is told of the demand for each model; not owned
 * @progress: texts that a former leader told of; not owned */
QuinceBatchService *quince_batch_service_new (QuinceBackends *backends,
                                              QuinceObserver *observer,
                                              QuinceModelPlacement *placement,
                                              QuinceProgressStore *progress,
                                              gint64 keep_us);
/* At the leader: what a replica that follows it was told by the one before. */
void quince_batch_service_take_progress (QuinceBatchService *service, const QuinceSampleProgress *progress);
/* Tells the backups how far samples are; at the leader, a few times a second. */
void quince_batch_service_tell_progress (QuinceBatchService *service);
void quince_batch_service_free (QuinceBatchService *service);
/* Set once, before any other call. */
void quince_batch_service_set_ledger (QuinceBatchService *service,
                                      QuinceLedgerNode *ledger,
                                      QuinceProgressFile *progress_file,
                                      QuinceResidencyCoordinator *residency);
/* (transfer container) (element-type QuinceBatchEntry): batches that lie in the ledger, at the leader; those
 * that are read so far while a new one reads */
GPtrArray *quince_batch_service_list (QuinceBatchService *service);

/* From the ledger: this replica leads, stopped to, has a new committed record. */
void quince_batch_service_lead (QuinceBatchService *service);
void quince_batch_service_stop_leading (QuinceBatchService *service);
void quince_batch_service_committed (QuinceBatchService *service, guint64 index, QuinceBatchRecord *record);
/* From a front. */
void quince_batch_service_call (QuinceBatchService *service, QuinceLink *link, const QuinceServiceCall *call);
void quince_batch_service_link_closed (QuinceBatchService *service, QuinceLink *link);
/* Sets gauges of what waits and runs. */
void quince_batch_service_set_metrics (QuinceBatchService *service);
/* Fills in the samples that wait and run; none where this replica does not lead. */
void quince_batch_service_fill_load_plan (QuinceBatchService *service, QuinceLoadPlan *plan);
/* Places at workers of @of_service that its open samples take to end in time; 0 where this replica does not
 * lead. */
double quince_batch_service_count_needed (QuinceBatchService *service, const char *of_service);
/* Workers or versions have changed. */
void quince_batch_service_pump (QuinceBatchService *service);
