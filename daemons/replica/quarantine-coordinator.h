/*
 * quarantine-coordinator.h: coordinates the quarantine of suspects: requests that were running at workers
 * which ended.
 *
 * The leader grants permits, merges the reports of the fronts, sends the merged state to all processes, and
 * stores held requests in the metadata store (quarantine-keys.h).  The other replicas merge the reports too,
 * so that a new leader knows all suspects.
 *
 * The coordinator owns the send guard with its quarantine, the permits, the in-flight sends that the leader
 * reported (core/request/expected-ends.h), the reporter (suspect-reporter.h) and the keys.
 */
#pragma once

#include "protocol/codec.h"
#include "runtime/link.h"
#include "meta/meta-store.h"
#include "forward/send-guard.h"

#include "ledger-node.h"

typedef struct _QuinceQuarantineCoordinator QuinceQuarantineCoordinator;

/* @name: name of this machine, copied; @store, @workers: (transfer none): must outlive the coordinator */
QuinceQuarantineCoordinator *quince_quarantine_coordinator_new (const QuinceQuarantineLimits *limits,
                                                                const char *name,
                                                                QuinceMetaStore *store,
                                                                QuinceWorkerTable *workers);
void quince_quarantine_coordinator_free (QuinceQuarantineCoordinator *coordinator);
/* Returns (transfer none): the send guard, for quince_backends_set_guard() */
QuinceSendGuard *quince_quarantine_coordinator_get_guard (QuinceQuarantineCoordinator *coordinator);
/* @ledger: (transfer none): provides the successor; must outlive the coordinator */
void quince_quarantine_coordinator_set_ledger (QuinceQuarantineCoordinator *coordinator,
                                               QuinceLedgerNode *ledger);
/* Starts a term of this replica as leader.  @links: (transfer none): set of the QuinceLink that receive the
 * reports; must stay valid until quince_quarantine_coordinator_stop_leading() */
void quince_quarantine_coordinator_start_leading (QuinceQuarantineCoordinator *coordinator,
                                                  GHashTable *links);
void quince_quarantine_coordinator_stop_leading (QuinceQuarantineCoordinator *coordinator);
/* Sends all suspects to @link, which was added to the set of links. */
void quince_quarantine_coordinator_add_link (QuinceQuarantineCoordinator *coordinator, QuinceLink *link);
/* Returns all permits that were granted on @link, which is closed. */
void quince_quarantine_coordinator_link_closed (QuinceQuarantineCoordinator *coordinator, QuinceLink *link);
/* Returns whether @message belongs to the quarantine and was handled. */
gboolean quince_quarantine_coordinator_handle_message (QuinceQuarantineCoordinator *coordinator,
                                                       QuinceLink *link,
                                                       const QuinceMessage *message);
/* Merges the suspect list that a front without a leader wrote to the metadata store.  @value: (nullable):
 * %NULL: the front removed the list, which changes nothing */
void quince_quarantine_coordinator_merge_list (QuinceQuarantineCoordinator *coordinator,
                                               const char *front,
                                               GBytes *value);
/* Applies a change to the entry of a held request in the metadata store.  @name: last part of the key, the
 * digest as text; @value: (nullable): %NULL: the entry was removed */
void quince_quarantine_coordinator_apply_entry (QuinceQuarantineCoordinator *coordinator,
                                                const char *name,
                                                GBytes *value);
/* Removes expired suspects.  At the leader, also releases suspects whose software was replaced, informs a new
 * successor, and updates the metadata store.  To be called several times a second. */
void quince_quarantine_coordinator_step (QuinceQuarantineCoordinator *coordinator);
