/*
 * worker-scaler.h: orders workers from the platform to replace lost ones, and releases surplus workers.
 *
 * Only the ledger's leader sends orders, one at a time, with its epoch as the fencing token.  All replicas
 * count the workers of each zone, so that a new leader knows the initial numbers.  core/scaling/scale-plan.h
 * decides on the orders.  The scaler owns the plan, the connections to the platform and the order in flight.
 */
#pragma once

#include "observer/observer.h"

#include "ledger-node.h"

typedef struct _QuinceWorkerScaler QuinceWorkerScaler;

/**
 * QuinceWorkerScalerOptions:
 * @holder: name of this machine, copied
 * @address: ip:port of the platform's API
 * @ledger, @backends, @observer: (transfer none): must outlive the scaler
 * @get_slots_needed: returns the number of worker slots that the open samples of a service need to meet their
 *   deadlines
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
/* Counts workers; at the leader, also sends the next order.  To be called several times a second at all
 * replicas. */
void quince_worker_scaler_step (QuinceWorkerScaler *scaler);
