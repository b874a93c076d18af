/*
 * replica-leadership.c: starts and stops the leader's tasks, and owns its weight orders.
 */
#include "replica-leadership.h"

#include "weight-orders.h"

struct _QuinceReplicaLeadership
{
  /* All fields belong to the main context. */
  const QuinceReplicaParts *parts;
  QuinceWeightOrders *orders; /* NULL: not leading */
};

QuinceReplicaLeadership *
quince_replica_leadership_new (const QuinceReplicaParts *parts)
{
  QuinceReplicaLeadership *leadership = g_new0 (QuinceReplicaLeadership, 1);
  leadership->parts = parts;
  return leadership;
}

void
quince_replica_leadership_free (QuinceReplicaLeadership *leadership)
{
  quince_replica_leadership_release (leadership);
  g_free (leadership);
}

gboolean
quince_replica_leadership_is_active (const QuinceReplicaLeadership *leadership)
{
  return leadership->orders != NULL;
}

/* ---- Weight orders ------------------------------------------------------ */

static gboolean
may_issue_orders (guint64 *fencing_token, gpointer data)
{
  const QuinceReplicaLeadership *leadership = data;
  *fencing_token = quince_ledger_node_get_epoch (leadership->parts->ledger);
  return quince_order_records_may_order (leadership->parts->order_records);
}

static void
handle_weights_loaded (gpointer data)
{
  const QuinceReplicaLeadership *leadership = data;
  quince_batch_service_check_samples (leadership->parts->batches);
}

static void
fill_load_plan (QuinceLoadPlan *plan, gpointer data)
{
  const QuinceReplicaLeadership *leadership = data;
  quince_batch_service_fill_load_plan (leadership->parts->batches, plan);
}

static void
handle_orders_recorded (gpointer data)
{
  const QuinceReplicaLeadership *leadership = data;
  if (leadership->orders != NULL)
    quince_weight_orders_handle_commit (leadership->orders);
}

static void
start_weight_orders (QuinceReplicaLeadership *leadership)
{
  const QuinceReplicaParts *parts = leadership->parts;
  const QuinceWeightOrdersOptions options = { .holder = parts->name,
                                              .placement = parts->placement,
                                              .records = parts->order_records,
                                              .may_order = may_issue_orders,
                                              .loaded = handle_weights_loaded,
                                              .fill_plan = fill_load_plan };
  quince_order_records_start_leading (parts->order_records, handle_orders_recorded, leadership);
  leadership->orders = quince_weight_orders_start (parts->backends, parts->observer, &options, leadership);
}

void
quince_replica_leadership_check_orders (QuinceReplicaLeadership *leadership)
{
  if (leadership->orders != NULL)
    quince_weight_orders_check_loads (leadership->orders);
}

/* ---- Start and stop ------------------------------------------------------ */

void
quince_replica_leadership_step_residency (QuinceReplicaLeadership *leadership)
{
  const QuinceReplicaParts *parts = leadership->parts;
  g_autoptr (GPtrArray) entries = quince_batch_service_list (parts->batches);
  quince_residency_coordinator_step (parts->residency,
                                     quince_ledger_node_is_leading (parts->ledger) ? entries : NULL);
}

void
quince_replica_leadership_start (QuinceReplicaLeadership *leadership)
{
  const QuinceReplicaParts *parts = leadership->parts;
  /* Must run first: texts must not be sent to machines in regions that the batches don't allow. */
  quince_replica_leadership_step_residency (leadership);
  quince_batch_service_start_leading (parts->batches);
  if (parts->usage != NULL)
    quince_usage_collector_start_leading (parts->usage);
  if (parts->scaler != NULL)
    quince_worker_scaler_start_leading (parts->scaler);
  /* No longer needed: the batch service has resumed its samples from the progress store. */
  quince_progress_store_clear (parts->progress);
  start_weight_orders (leadership);
  /* This replica feeds all other processes from here on. */
  quince_observer_set_reserve_reader (parts->observer, TRUE);
  quince_observer_handle_feed_end (parts->observer);
  quince_observer_list_workers (parts->observer);
  GHashTable *links = quince_feed_service_get_links (parts->feed);
  quince_heartbeats_start_leading (parts->heartbeats, links);
  quince_quarantine_coordinator_start_leading (parts->quarantine, links);
  quince_warmup_coordinator_start_leading (parts->warmup);
  quince_feed_service_set_leading (parts->feed, TRUE);
}

void
quince_replica_leadership_release (QuinceReplicaLeadership *leadership)
{
  g_clear_pointer (&leadership->orders, quince_weight_orders_stop);
}

void
quince_replica_leadership_stop (QuinceReplicaLeadership *leadership)
{
  const QuinceReplicaParts *parts = leadership->parts;
  quince_replica_leadership_release (leadership);
  quince_order_records_stop_leading (parts->order_records);
  quince_feed_service_set_leading (parts->feed, FALSE);
  quince_heartbeats_stop_leading (parts->heartbeats);
  quince_quarantine_coordinator_stop_leading (parts->quarantine);
  quince_batch_service_stop_leading (parts->batches);
  if (parts->usage != NULL)
    quince_usage_collector_stop_leading (parts->usage);
  if (parts->scaler != NULL)
    quince_worker_scaler_stop_leading (parts->scaler);
}
