/*
 * residency-coordinator.h: decides which machines may store the ledger's records, from the regions that
 * routes and tenants allow.
 *
 * In a deployment with several regions, each replica writes its zone to the metadata store.  The leader
 * sets the allowed nodes of the ledger to the machines that may store its batches, and admits no batch that a
 * ledger member may not store.
 *
 * The coordinator owns the zones of the machines and the set of admitted batches.  All functions must be
 * called from the main context.
 */
#pragma once

#include "observer/observer.h"

#include "ledger-node.h"

typedef struct _QuinceResidencyCoordinator QuinceResidencyCoordinator;

/* @name: name of this machine, copied; @quorum: number of machines that must store a record; the objects must
 * outlive the coordinator */
QuinceResidencyCoordinator *quince_residency_coordinator_new (const char *name,
                                                              guint quorum,
                                                              QuinceMetaStore *store,
                                                              QuinceBackends *backends,
                                                              QuinceObserver *observer);
void quince_residency_coordinator_free (QuinceResidencyCoordinator *coordinator);
/* Must be called once, before all other functions.  @ledger: (transfer none): must outlive the coordinator */
void quince_residency_coordinator_set_ledger (QuinceResidencyCoordinator *coordinator,
                                              QuinceLedgerNode *ledger);
/* Applies a change to the zone of the machine @node in the metadata store.  @value: (nullable): %NULL: the
 * zone was removed */
void quince_residency_coordinator_apply_zone_entry (QuinceResidencyCoordinator *coordinator,
                                                    const char *node,
                                                    GBytes *value);
/* Sets the draining machines (nullable).  The leader removes the zone of another draining machine from the
 * store when the machine is no longer a ledger member.  A draining machine does not write its zone. */
void quince_residency_coordinator_set_draining_nodes (QuinceResidencyCoordinator *coordinator,
                                                      const char *const *nodes);
/* Writes the zone of this machine; at the leader, also updates the allowed nodes of the ledger.  To be called
 * several times a second.  @entries: (nullable) (element-type QuinceBatchEntry): the batches in the ledger;
 * %NULL: this replica does not lead */
void quince_residency_coordinator_step (QuinceResidencyCoordinator *coordinator, const GPtrArray *entries);
/* Returns whether all ledger members may store the batch @id of this route and tenant; %FALSE also if there
 * are several regions and the routes are not known yet.  With several regions, the allowed nodes of the
 * ledger take the batch into account until quince_residency_coordinator_remove_admitted().  Only called at
 * the leader. */
gboolean quince_residency_coordinator_admit (QuinceResidencyCoordinator *coordinator,
                                             const GPtrArray *entries,
                                             const char *id,
                                             const char *host,
                                             const char *path,
                                             const char *tenant);
/* Removes the batch @id from the admitted batches, because it is in the ledger's entries now or was not
 * submitted.  @id: (nullable): %NULL removes all */
void quince_residency_coordinator_remove_admitted (QuinceResidencyCoordinator *coordinator, const char *id);
/* Returns whether the machine @node may receive and store texts of a batch of this route and tenant. */
gboolean quince_residency_coordinator_is_allowed (QuinceResidencyCoordinator *coordinator,
                                                  const char *node,
                                                  const char *host,
                                                  const char *path,
                                                  const char *tenant);
