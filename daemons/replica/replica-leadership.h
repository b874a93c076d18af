/*
 * replica-leadership.h: starts and stops the leader's tasks in a fixed order.
 *
 * The module owns the leader's weight orders and store feed, and the set of links that subscribed to the
 * feed.  Backups keep the set too, so that the feed works as soon as they lead.
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
/* Stops only the weight orders and the feed.  Call when the process ends. */
void quince_replica_leadership_release (QuinceReplicaLeadership *leadership);
/* Returns %TRUE between quince_replica_leadership_start() and quince_replica_leadership_stop(). */
gboolean quince_replica_leadership_is_active (const QuinceReplicaLeadership *leadership);

/* Subscribes the peer of @link to the store feed, from the revisions in @subscribe on. */
void quince_replica_leadership_subscribe (QuinceReplicaLeadership *leadership,
                                          QuinceLink *link,
                                          const QuinceFeedSubscribe *subscribe);
/* Ends the subscription of @link. */
void quince_replica_leadership_link_closed (QuinceReplicaLeadership *leadership, QuinceLink *link);
/* Sends a page that this process read from the metadata store to the subscribers.  Call only while active. */
void quince_replica_leadership_publish (QuinceReplicaLeadership *leadership,
                                        const char *prefix,
                                        const QuinceMetaPage *page);
/* Applies a page that a reserve reader read from the metadata store.  Call only while active. */
void quince_replica_leadership_apply_report (QuinceReplicaLeadership *leadership,
                                             QuinceLink *link,
                                             const QuinceFeedUpdate *update);
/* Issues the weight orders that are due.  Call after a change of workers or weight versions. */
void quince_replica_leadership_check_orders (QuinceReplicaLeadership *leadership);
/* Checks the residency rules of the batches in the ledger against the regions of its machines.  Call several
 * times a second, also at a backup. */
void quince_replica_leadership_step_residency (QuinceReplicaLeadership *leadership);
