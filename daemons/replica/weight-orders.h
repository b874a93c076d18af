/*
 * weight-orders.h: orders workers to load the weight versions that trainers announce.
 *
 * Only the ledger's leader sends orders, with its epoch as the fencing token.  The object exists while this
 * replica leads, and owns the loads in progress and the load window of each service.  core/weights decides
 * which worker loads next; weight-load.c performs each load.
 */
#pragma once

#include "forward/backends.h"
#include "core/weights/load-plan.h"
#include "core/weights/model-placement.h"
#include "observer/observer.h"

#include "order-records.h"

typedef struct _QuinceWeightOrders QuinceWeightOrders;

/**
 * QuinceWeightOrdersOptions:
 * @holder: name of this machine, not copied
 * @records: not owned; records the workers before they are ordered
 * @may_order: returns whether orders may be sent now, and sets the fencing token
 * @loaded: called after a worker has loaded a version
 * @fill_plan: adds the waiting and running samples to the plan
 */
typedef struct
{
  const char *holder;
  QuinceModelPlacement *placement; /* not owned */
  QuinceOrderRecords *records;
  gboolean (*may_order) (guint64 *fence, gpointer user_data);
  void (*loaded) (gpointer user_data);
  void (*fill_plan) (QuinceLoadPlan *plan, gpointer user_data);
} QuinceWeightOrdersOptions;

QuinceWeightOrders *quince_weight_orders_start (QuinceBackends *backends,
                                                QuinceObserver *observer,
                                                const QuinceWeightOrdersOptions *options,
                                                gpointer user_data);
void quince_weight_orders_stop (QuinceWeightOrders *orders);
/* Starts the loads that are due.  Called when versions or workers have changed, and periodically by a timer
 * of the object. */
void quince_weight_orders_check_loads (QuinceWeightOrders *orders);
/* Sends the orders whose record is committed now. */
void quince_weight_orders_handle_commit (QuinceWeightOrders *orders);
