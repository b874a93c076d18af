/*
 * weight-load.h: loads a version of a model at one worker: requests the worker's report, orders the load, and
 * polls until the worker has the version.
 *
 * core/decisions/load-next.h decides each step.  The worker refuses an order with an outdated fencing token,
 * or with a number of accepted orders that differs from its own count.
 */
#pragma once

#include "forward/backends.h"

#include "order-records.h"

typedef struct _QuinceWeightLoad QuinceWeightLoad;

/**
 * QuinceWeightLoadContext:
 * @holder: name of this machine
 * @records: records the workers before they are ordered
 * @may_order: returns whether orders may be sent now, and sets the fencing token
 * @ended: called when the load ends; frees the load.  @success: the worker has the version
 */
typedef struct
{
  QuinceBackends *backends;
  const char *holder;
  QuinceOrderRecords *records;
  gboolean (*may_order) (guint64 *fence, gpointer user_data);
  void (*ended) (QuinceWeightLoad *load, gboolean success, gpointer user_data);
  gpointer user_data;
} QuinceWeightLoadContext;

/* @context: must outlive the load; @retain: running requests continue under the new version; otherwise the
 * worker finishes them before it loads */
QuinceWeightLoad *quince_weight_load_new (const QuinceWeightLoadContext *context,
                                          const QuinceWorker *worker,
                                          const char *model,
                                          guint64 version,
                                          gboolean retain);
/* Starts the load; to be called once.  The load may end, and be freed, before the call returns. */
void quince_weight_load_start (QuinceWeightLoad *load);
/* Sends the order if it awaits its record and that is committed now.  The load may end, and be freed, before
 * the call returns. */
void quince_weight_load_handle_commit (QuinceWeightLoad *load);
/* Frees the load.  The worker may still execute an order that was sent. */
void quince_weight_load_free (QuinceWeightLoad *load);
/* Returns (transfer none): the id of the worker, or the name of its service */
const char *quince_weight_load_get_worker (const QuinceWeightLoad *load);
const char *quince_weight_load_get_service (const QuinceWeightLoad *load);
/* Returns the monotonic time of the last order, us, or 0 if none was sent. */
gint64 quince_weight_load_get_ordered_us (const QuinceWeightLoad *load);
