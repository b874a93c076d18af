/*
 * batch-service.h: the batches in the ledger: their records become a table, their samples run at the leader.
 *
 * Owns the table of batches, the sample runner (at the leader), the calls of fronts that wait (batch-calls.h)
 * and the timer by which old batches are forgotten.  Relies on the ledger node, which calls it with committed
 * records and changes of the lead, and to which it appends.
 */
#pragma once

#include "core/batches/batch-table.h"
#include "core/weights/load-plan.h"
#include "core/weights/model-placement.h"
#include "observer/observer.h"
#include "runtime/link.h"

#include "ledger-node.h"
#include "progress-file.h"
#include "residency-coordinator.h"
#include "sample-runner.h"

typedef struct _QuinceBatchService QuinceBatchService;

/**
 * quince_batch_service_new:
 * @backends, @observer: (transfer none): of this process
 * @placement: (transfer none): notes the demand for each model
 * @progress: (transfer none): texts of samples that a former leader sent to this replica
 * @keep_us: a batch that is ended, or whose samples all have a result, is forgotten this long after its
 *   submission, by the wall clock
 *
 * All must outlive the service.
 */
QuinceBatchService *quince_batch_service_new (QuinceBackends *backends,
                                              QuinceObserver *observer,
                                              QuinceModelPlacement *placement,
                                              QuinceProgressStore *progress,
                                              gint64 retention_us);
void quince_batch_service_free (QuinceBatchService *service);
/* Set once, before any other call; none is owned. */
void quince_batch_service_set_ledger (QuinceBatchService *service,
                                      QuinceLedgerNode *ledger,
                                      QuinceProgressFile *progress_file,
                                      QuinceResidencyCoordinator *residency);

/* ---- Events of the ledger ------------------------------------------------ */

void quince_batch_service_start_leading (QuinceBatchService *service);
void quince_batch_service_stop_leading (QuinceBatchService *service);
/* A record is committed, at the leader, in the order of the log.  @index: in the log; @record: (transfer
 * full) */
void
quince_batch_service_apply_record (QuinceBatchService *service, guint64 index, QuinceBatchRecord *record);
/* A front's call; it is answered on @link, now or later. */
void quince_batch_service_handle_call (QuinceBatchService *service,
                                       QuinceLink *link,
                                       const QuinceServiceCall *call);
void quince_batch_service_link_closed (QuinceBatchService *service, QuinceLink *link);

/* ---- Progress of samples -------------------------------------------------- */

/* At the leader: a replica that follows it passes on what the former leader sent. */
void quince_batch_service_apply_progress (QuinceBatchService *service, const QuinceSampleProgress *progress);
/* At the leader, a few times a second: writes what samples have so far to the progress file and sends it to
 * the successor. */
void quince_batch_service_send_progress (QuinceBatchService *service);

/* ---- Samples -------------------------------------------------------------- */

/* Returns: (transfer container) (element-type QuinceBatchEntry): batches in the ledger; at a new leader those
 * read so far, elsewhere none */
GPtrArray *quince_batch_service_list (QuinceBatchService *service);
/* Adds the samples that wait and run to @plan; nothing where this replica does not lead. */
void quince_batch_service_fill_load_plan (QuinceBatchService *service, QuinceLoadPlan *plan);
/* Returns: slots at workers of @of_service that its open samples need to end in time; 0 where this replica
 * does not lead */
double quince_batch_service_get_slots_needed (QuinceBatchService *service, const char *service_name);
/* Workers or weight versions have changed: starts samples that can run now. */
void quince_batch_service_check_samples (QuinceBatchService *service);
/* Sets the gauges of batches and samples. */
void quince_batch_service_set_metrics (QuinceBatchService *service);
