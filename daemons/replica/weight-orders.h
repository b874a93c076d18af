/*
 * weight-orders.h: brings workers to the versions of the weights that trainers name.
 *
 * Only the ledger's leader orders, with its epoch as the fencing token.
 *
 * For: the replica, while it leads.  Owns: the loads in progress, the load window of each service.  Relies
 * on: core/weights for which worker loads, weight-load.c for each load.
 */
#pragma once

#include "forward/backends.h"
#include "core/weights/load-plan.h"
#include "core/weights/model-placement.h"
#include "observer/observer.h"

typedef struct _QuinceWeightOrders QuinceWeightOrders;

/* @holder: name of this machine; @may_order: whether orders may be given now; @loaded: a worker has other
 * weights; @describe: fills in the samples that wait and run now */
typedef struct
{
  const char *holder;
  QuinceModelPlacement *placement; /* not owned */
  gboolean (*may_order) (guint64 *fence, gpointer user_data);
  void (*loaded) (gpointer user_data);
  void (*fill_plan) (QuinceLoadPlan *plan, gpointer user_data);
} QuinceWeightOrdersOptions;

QuinceWeightOrders *quince_weight_orders_start (QuinceBackends *backends,
                                                QuinceObserver *observer,
                                                const QuinceWeightOrdersOptions *options,
                                                gpointer user_data);
void quince_weight_orders_stop (QuinceWeightOrders *orders);
/* Versions, workers or time have changed. */
void quince_weight_orders_check_loads (QuinceWeightOrders *orders);
