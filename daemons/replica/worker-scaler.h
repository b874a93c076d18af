/*
 * worker-scaler.h: orders workers from the platform in place of lost ones, and gives them back.
 *
 * The ledger's leader alone does it, under its epoch as the fence, one call at a time.  All replicas follow
 * how many workers stand in each zone, so that a new leader knows what stood there; see scale-plan.h.
 */
#pragma once

#include "observer/observer.h"

#include "ledger-node.h"

typedef struct _QuinceWorkerScaler QuinceWorkerScaler;

/**
 * QuinceWorkerScalerOptions:
 * @holder: name of this machine
 * @address: of the platform's calls
 * @count_needed: places at workers of a service that its open samples take to end in time
 *
 * @ledger, @backends and @observer are not owned.
 */
typedef struct
{
  const char *holder;
  const char *address;
  QuinceLedgerNode *ledger;
  QuinceBackends *backends;
  QuinceObserver *observer;
  double (*count_needed) (const char *service, gpointer user_data);
} QuinceWorkerScalerOptions;

QuinceWorkerScaler *quince_worker_scaler_new (const QuinceWorkerScalerOptions *options, gpointer user_data);
void quince_worker_scaler_free (QuinceWorkerScaler *scaler); /* (nullable) */
void quince_worker_scaler_lead (QuinceWorkerScaler *scaler);
void quince_worker_scaler_stop_leading (QuinceWorkerScaler *scaler);
/* To be called several times a second, whether this replica leads or not. */
void quince_worker_scaler_step (QuinceWorkerScaler *scaler);
