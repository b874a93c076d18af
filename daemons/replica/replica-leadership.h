/*
 * replica-leadership.h: starts and stops the leader's tasks in a fixed order.
 *
 * The module owns the leader's weight orders.
 */
#pragma once

#include "replica-parts.h"

/* @parts: (transfer none): must outlive the leadership */
QuinceReplicaLeadership *quince_replica_leadership_new (const QuinceReplicaParts *parts);
void quince_replica_leadership_free (QuinceReplicaLeadership *leadership);
/* Starts the leader's tasks.  Call when this replica leads and has read its log. */
void quince_replica_leadership_start (QuinceReplicaLeadership *leadership);
/* Stops the leader's tasks.  Call when this replica no longer leads, also if it lost leadership before
 * quince_replica_leadership_start(). */
void quince_replica_leadership_stop (QuinceReplicaLeadership *leadership);
/* Stops only the weight orders.  Call when the process ends. */
void quince_replica_leadership_release (QuinceReplicaLeadership *leadership);
/* Returns %TRUE between quince_replica_leadership_start() and quince_replica_leadership_stop(). */
gboolean quince_replica_leadership_is_active (const QuinceReplicaLeadership *leadership);

/* Issues the weight orders that are due.  Call after a change of workers or weight versions. */
void quince_replica_leadership_check_orders (QuinceReplicaLeadership *leadership);
/* Checks the residency rules of the batches in the ledger against the regions of its machines.  Call several
 * times a second, also at a backup. */
void quince_replica_leadership_step_residency (QuinceReplicaLeadership *leadership);
