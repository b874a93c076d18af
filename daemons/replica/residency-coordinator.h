/*
 * residency-coordinator.h: which machines may keep the ledger's records, by the regions that routes and
 * tenants allow.
 *
 * Where there are several regions each replica writes its zone into the metadata store.  The leader confines
 * its ledger to the machines where the batches in it may be kept, and takes no batch that may not be kept on
 * all of them.
 *
 * Owns the zones of machines and the batches that were admitted.  Relies on the routes of the observer, the
 * topology of the backends, and the ledger.  All calls belong to the main context.
 */
#pragma once

#include "observer/observer.h"

#include "ledger-node.h"

typedef struct _QuinceResidencyCoordinator QuinceResidencyCoordinator;

/* @name: of this machine; @quorum: machines that must hold a record; the objects must outlive the coordinator
 */
QuinceResidencyCoordinator *quince_residency_coordinator_new (const char *name,
                                                              guint quorum,
                                                              QuinceMetaStore *store,
                                                              QuinceBackends *backends,
                                                              QuinceObserver *observer);
void quince_residency_coordinator_free (QuinceResidencyCoordinator *coordinator);
/* Set once, before any other call. */
void quince_residency_coordinator_set_ledger (QuinceResidencyCoordinator *coordinator,
                                              QuinceLedgerNode *ledger);
/* A change in the metadata store: the zone of the replica of @node; @value: (nullable): %NULL: it was removed
 */
void quince_residency_coordinator_apply_zone_entry (QuinceResidencyCoordinator *coordinator,
                                                    const char *node,
                                                    GBytes *value);
/* Machines to be emptied: their zones are removed from the store once they are no members, and the machines
 * themselves write none. */
void quince_residency_coordinator_set_draining (QuinceResidencyCoordinator *coordinator,
                                                const char *const *nodes);
/* To be called several times a second. @entries: (nullable) (element-type QuinceBatchEntry): batches in the
 * ledger, at the leader; %NULL: this replica does not lead */
void quince_residency_coordinator_step (QuinceResidencyCoordinator *coordinator, const GPtrArray *entries);
/* At the leader: whether the batch @id, of this route and tenant, may be kept on all members of the ledger;
 * if so no machine joins that may not keep it, from now until quince_residency_coordinator_remove_admitted().
 */
gboolean quince_residency_coordinator_admit (QuinceResidencyCoordinator *coordinator,
                                             const GPtrArray *entries,
                                             const char *id,
                                             const char *host,
                                             const char *path,
                                             const char *tenant);
/* The batch @id is among the entries from now on, or will not be; %NULL: all that were admitted. */
void quince_residency_coordinator_remove_admitted (QuinceResidencyCoordinator *coordinator, const char *id);
/* Whether the machine @node may be sent texts of the batch. */
gboolean quince_residency_coordinator_is_allowed (QuinceResidencyCoordinator *coordinator,
                                                  const char *node,
                                                  const char *host,
                                                  const char *path,
                                                  const char *tenant);
