/*
 * quarantine-coordinator.h: the leader's part in the quarantine: it gives permits, puts together what fronts
 * saw, tells all, and keeps what is held in the metadata store.
 *
 * Other replicas take in what they are told, so that one of them can lead at once.
 */
#pragma once

#include "protocol/codec.h"
#include "runtime/link.h"
#include "meta/meta-store.h"
#include "forward/send-guard.h"

#include "ledger-node.h"

typedef struct _QuinceQuarantineCoordinator QuinceQuarantineCoordinator;

/* @name: of this machine; @store, @workers: must outlive the coordinator */
QuinceQuarantineCoordinator *quince_quarantine_coordinator_new (const QuinceQuarantineLimits *limits,
                                                                const char *name,
                                                                QuinceMetaStore *store,
                                                                QuinceWorkerTable *workers);
void quince_quarantine_coordinator_free (QuinceQuarantineCoordinator *coordinator);
/* (transfer none) */
QuinceSendGuard *quince_quarantine_coordinator_get_guard (QuinceQuarantineCoordinator *coordinator);
/* (transfer none): @ledger knows who will likely lead next, and must outlive the coordinator */
void quince_quarantine_coordinator_set_ledger (QuinceQuarantineCoordinator *coordinator,
                                               QuinceLedgerNode *ledger);
/* @links: (transfer none): QuinceLink, keys: who is told */
void quince_quarantine_coordinator_lead (QuinceQuarantineCoordinator *coordinator, GHashTable *links);
void quince_quarantine_coordinator_stop_leading (QuinceQuarantineCoordinator *coordinator);
/* @link is to be told from now on. */
void quince_quarantine_coordinator_add (QuinceQuarantineCoordinator *coordinator, QuinceLink *link);
void quince_quarantine_coordinator_link_closed (QuinceQuarantineCoordinator *coordinator, QuinceLink *link);
/* Returns: whether the message is one of the quarantine's. */
gboolean quince_quarantine_coordinator_take (QuinceQuarantineCoordinator *coordinator,
                                             QuinceLink *link,
                                             const QuinceMessage *message);
/* What a front met without a leader; @value is %NULL where it is over. */
void quince_quarantine_coordinator_take_list (QuinceQuarantineCoordinator *coordinator,
                                              const char *front,
                                              GBytes *value);
/* A key of the metadata store, by its last part; @value is %NULL where it is gone. */
void quince_quarantine_coordinator_take_key (QuinceQuarantineCoordinator *coordinator,
                                             const char *name,
                                             GBytes *value);
/* To be called several times a second. */
void quince_quarantine_coordinator_step (QuinceQuarantineCoordinator *coordinator);
