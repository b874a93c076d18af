/*
 * quarantine-coordinator.h: the leader's part in the quarantine of requests under which workers ended
 * (suspects).
 *
 * The leader grants permits, merges the reports of fronts, sends the result to all processes, and keeps held
 * requests in the metadata store (quarantine-keys.h).  Other replicas take the reports too, so that one of
 * them can lead at once.
 *
 * Owns the send guard with its quarantine, the permits, the ends expected from the leader's own sends, and
 * the reporter (suspect-reporter.h).
 */
#pragma once

#include "protocol/codec.h"
#include "runtime/link.h"
#include "meta/meta-store.h"
#include "forward/send-guard.h"

#include "ledger-node.h"

typedef struct _QuinceQuarantineCoordinator QuinceQuarantineCoordinator;

/* @name: of this machine, copied; @store, @workers: (transfer none): must outlive the coordinator */
QuinceQuarantineCoordinator *quince_quarantine_coordinator_new (const QuinceQuarantineLimits *limits,
                                                                const char *name,
                                                                QuinceMetaStore *store,
                                                                QuinceWorkerTable *workers);
void quince_quarantine_coordinator_free (QuinceQuarantineCoordinator *coordinator);
/* Returns: (transfer none): the guard, for quince_backends_set_guard() */
QuinceSendGuard *quince_quarantine_coordinator_get_guard (QuinceQuarantineCoordinator *coordinator);
/* @ledger: (transfer none): names the successor; must outlive the coordinator */
void quince_quarantine_coordinator_set_ledger (QuinceQuarantineCoordinator *coordinator,
                                               QuinceLedgerNode *ledger);
/* @links: (transfer none): set of QuinceLink that get all reports, valid until
 * quince_quarantine_coordinator_stop_leading() */
void quince_quarantine_coordinator_start_leading (QuinceQuarantineCoordinator *coordinator,
                                                  GHashTable *links);
void quince_quarantine_coordinator_stop_leading (QuinceQuarantineCoordinator *coordinator);
/* @link was added to the set: sends it what is known. */
void quince_quarantine_coordinator_add_link (QuinceQuarantineCoordinator *coordinator, QuinceLink *link);
/* The permits that were granted on @link are taken back. */
void quince_quarantine_coordinator_link_closed (QuinceQuarantineCoordinator *coordinator, QuinceLink *link);
/* Returns: whether @message is one of the quarantine's, and was taken */
gboolean quince_quarantine_coordinator_handle_message (QuinceQuarantineCoordinator *coordinator,
                                                       QuinceLink *link,
                                                       const QuinceMessage *message);
/* The suspect notice of a front that reaches no leader; @value: (nullable): %NULL: it was withdrawn. */
void quince_quarantine_coordinator_merge_list (QuinceQuarantineCoordinator *coordinator,
                                               const char *front,
                                               GBytes *value);
/* The entry of a held request in the metadata store; @name: last part of its key, the digest as text; @value:
 * (nullable): %NULL: it was removed. */
void quince_quarantine_coordinator_apply_entry (QuinceQuarantineCoordinator *coordinator,
                                                const char *name,
                                                GBytes *value);
/* Forgets old suspects; at the leader also releases outdated ones and writes keys; to be called several times
 * a second. */
void quince_quarantine_coordinator_step (QuinceQuarantineCoordinator *coordinator);
