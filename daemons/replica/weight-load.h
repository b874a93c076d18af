/*
 * weight-load.h: brings one worker to a version of a model: asks for its report, orders the load, polls until
 * it has loaded.
 *
 * For: weight-orders.c.  Owns: one exchange with the worker, one timer.  Relies on:
 * core/decisions/load-next.h for the rules; the worker, which refuses an order whose fence is old or whose
 * number of orders taken is not its own.
 */
#pragma once

#include "forward/backends.h"

typedef struct _QuinceWeightLoad QuinceWeightLoad;

/**
 * QuinceWeightLoadContext:
 * @holder: name of this machine
 * @may_order: whether orders may be given now, and under which fence
 * @ended: the load is over and is released by this call; @good: the worker has the version
 */
typedef struct
{
  QuinceBackends *backends;
  const char *holder;
  gboolean (*may_order) (guint64 *fence, gpointer user_data);
  void (*ended) (QuinceWeightLoad *load, gboolean success, gpointer user_data);
  gpointer user_data;
} QuinceWeightLoadContext;

/* @owner must outlive the load.  @retain: runs go on under the new version; else they end first */
QuinceWeightLoad *quince_weight_load_new (const QuinceWeightLoadContext *context,
                                          const QuinceWorker *worker,
                                          const char *model,
                                          guint64 version,
                                          gboolean retain);
/* Begins it, once; it may end before this returns. */
void quince_weight_load_start (QuinceWeightLoad *load);
/* What was ordered may be carried out all the same. */
void quince_weight_load_free (QuinceWeightLoad *load);
/* (transfer none) */
const char *quince_weight_load_get_worker (const QuinceWeightLoad *load);
const char *quince_weight_load_get_service (const QuinceWeightLoad *load);
/* Monotonic time of the last order; 0: none was needed so far */
gint64 quince_weight_load_get_ordered_us (const QuinceWeightLoad *load);
