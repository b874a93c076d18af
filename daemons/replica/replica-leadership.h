/*
 * replica-leadership.h: what a replica does while it leads the ledger.
 *
 * Owns the weight orders and the store feed of the leader, and the set of links whose processes subscribed to
 * the feed; the set is kept while another replica leads too, since this one may lead a moment later.  Relies
 * on the other parts, which begin and end their part of the lead in a fixed order.
 */
#pragma once

#include "replica-parts.h"

/* @parts: (transfer none): must outlive the leadership */
QuinceReplicaLeadership *quince_replica_leadership_new (const QuinceReplicaParts *parts);
void quince_replica_leadership_free (QuinceReplicaLeadership *leadership);
/* This replica leads from now on, and its batches are read from the log. */
void quince_replica_leadership_begin (QuinceReplicaLeadership *leadership);
/* It leads no more, or lost the lead before begin() was called. */
void quince_replica_leadership_end (QuinceReplicaLeadership *leadership);
/* Ends the weight orders and the feed alone: the process ends. */
void quince_replica_leadership_release (QuinceReplicaLeadership *leadership);
/* Between begin() and end(). */
gboolean quince_replica_leadership_is_active (const QuinceReplicaLeadership *leadership);

/* The process at the other end of @link subscribes to the store feed from the revisions in @subscribe on. */
void quince_replica_leadership_subscribe (QuinceReplicaLeadership *leadership,
                                          QuinceLink *link,
                                          const QuinceFeedSubscribe *subscribe);
void quince_replica_leadership_link_closed (QuinceReplicaLeadership *leadership, QuinceLink *link);
/* While it is active: what this process read from the metadata store goes to the subscribers. */
void quince_replica_leadership_publish (QuinceReplicaLeadership *leadership,
                                        const char *prefix,
                                        const QuinceMetaPage *page);
/* While it is active: what a reserve reader read from the metadata store. */
void quince_replica_leadership_apply_report (QuinceReplicaLeadership *leadership,
                                             QuinceLink *link,
                                             const QuinceFeedUpdate *update);
/* Workers or named versions have changed: gives the weight orders that are due. */
void quince_replica_leadership_check_orders (QuinceReplicaLeadership *leadership);
/* Compares the batches in the ledger with the regions of its machines; to be called several times a second,
 * whether this replica leads or not. */
void quince_replica_leadership_step_residency (QuinceReplicaLeadership *leadership);
