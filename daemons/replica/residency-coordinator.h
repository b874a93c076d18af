/*
 * residency-coordinator.h: which machines may keep the ledger's records, by the regions that routes and
 * tenants allow.
 *
 * Each replica writes its zone into the metadata store, where there are several regions.  The leader confines
 * its ledger to the machines where the batches in it may lie, and takes no batch that may not lie on all of
 * them.
 */
#pragma once

#include "observer/observer.h"

#include "ledger-node.h"

typedef struct _QuinceResidencyCoordinator QuinceResidencyCoordinator;

/* @name: of this machine; @quorum: machines that must hold a record; the others must outlive the coordinator
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
/* The metadata store tells the zone of the replica @node; @value %NULL: it is gone. */
void quince_residency_coordinator_take_place (QuinceResidencyCoordinator *coordinator,
                                              const char *node,
                                              GBytes *value);
/* Machines to be emptied: their places are taken out of the store once they are no members, and the machines
 * themselves write none. */
void quince_residency_coordinator_set_leaving (QuinceResidencyCoordinator *coordinator,
                                               const char *const *nodes);
/* To be called several times a second. @entries: (nullable) (element-type QuinceBatchEntry): batches that lie
 * in the ledger, at the leader; %NULL: it does not lead */
void quince_residency_coordinator_step (QuinceResidencyCoordinator *coordinator, const GPtrArray *entries);
/* At the leader: whether the batch @id, of this route and tenant, may lie on all machines that keep the
 * ledger; if so none will join that may not keep it, from now until quince_residency_coordinator_settle(). */
gboolean quince_residency_coordinator_admit (QuinceResidencyCoordinator *coordinator,
                                             const GPtrArray *entries,
                                             const char *id,
                                             const char *host,
                                             const char *path,
                                             const char *tenant);
/* The batch @id is among the entries from now on, or will not be; %NULL: all that were admitted. */
void quince_residency_coordinator_settle (QuinceResidencyCoordinator *coordinator, const char *id);
/* Whether the machine @node may be told of texts of the batch. */
gboolean quince_residency_coordinator_allows (QuinceResidencyCoordinator *coordinator,
                                              const char *node,
                                              const char *host,
                                              const char *path,
                                              const char *tenant);
