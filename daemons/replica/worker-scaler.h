/*
 * worker-scaler.h: orders workers from the platform in place of lost ones, and gives them back.
 *
 * Only the ledger's leader orders, with its epoch as the fencing token, one call at a time.  All replicas
 * count the workers of each zone, so that a new leader knows how many there were; the decisions are those of
 * core/scaling/scale-plan.h.
 *
 * Owns the plan, the connections to the platform and the order in progress.
 */
#pragma once

#include "observer/observer.h"

#include "ledger-node.h"

typedef struct _QuinceWorkerScaler QuinceWorkerScaler;

/**
 * QuinceWorkerScalerOptions:
 * @holder: name of this machine, copied
 * @address: ip:port of the platform's calls
 * @ledger, @backends, @observer: (transfer none): must outlive the scaler
 * @count_needed: slots at workers of a service that its open samples need to end in time
 */
typedef struct
{
  const char *holder;
  const char *address;
  QuinceLedgerNode *ledger;
  QuinceBackends *backends;
  QuinceObserver *observer;
  double (*get_slots_needed) (const char *service, gpointer user_data);
} QuinceWorkerScalerOptions;

QuinceWorkerScaler *quince_worker_scaler_new (const QuinceWorkerScalerOptions *options, gpointer user_data);
void quince_worker_scaler_free (QuinceWorkerScaler *scaler); /* (nullable) */
void quince_worker_scaler_start_leading (QuinceWorkerScaler *scaler);
void quince_worker_scaler_stop_leading (QuinceWorkerScaler *scaler);
/* Counts workers and orders what is due; to be called several times a second, whether this replica leads or
 * not.
 */
void quince_worker_scaler_step (QuinceWorkerScaler *scaler);
