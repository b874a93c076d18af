/*
 * quarantine-desk.h: the leader's part in the quarantine: it gives permits, puts together what fronts saw,
 * tells all, and keeps what is held in the metadata store.
 *
 * Other replicas take in what they are told, so that one of them can lead at once.
 */
#pragma once

#include "protocol/codec.h"
#include "runtime/link.h"
#include "meta/meta-store.h"
#include "forward/send-guard.h"

#include "ledger-node.h"

typedef struct _QuinceQuarantineDesk QuinceQuarantineDesk;

/* @name: of this machine; @store, @workers: must outlive the desk */
QuinceQuarantineDesk *quince_quarantine_desk_new (const QuinceQuarantineLimits *limits,
                                                  const char *name,
                                                  QuinceMetaStore *store,
                                                  QuinceWorkerTable *workers);
void quince_quarantine_desk_free (QuinceQuarantineDesk *desk);
/* (transfer none) */
QuinceSendGuard *quince_quarantine_desk_get_guard (QuinceQuarantineDesk *desk);
/* (transfer none): @ledger knows who will likely lead next, and must outlive the desk */
void quince_quarantine_desk_set_ledger (QuinceQuarantineDesk *desk, QuinceLedgerNode *ledger);
/* @links: (transfer none): QuinceLink, keys: who is told */
void quince_quarantine_desk_lead (QuinceQuarantineDesk *desk, GHashTable *links);
void quince_quarantine_desk_stop_leading (QuinceQuarantineDesk *desk);
/* @link is to be told from now on. */
void quince_quarantine_desk_add (QuinceQuarantineDesk *desk, QuinceLink *link);
void quince_quarantine_desk_link_closed (QuinceQuarantineDesk *desk, QuinceLink *link);
/* Returns: whether the message is one of the quarantine's. */
gboolean
quince_quarantine_desk_take (QuinceQuarantineDesk *desk, QuinceLink *link, const QuinceMessage *message);
/* What a front met without a leader; @value is %NULL where it is over. */
void quince_quarantine_desk_take_list (QuinceQuarantineDesk *desk, const char *front, GBytes *value);
/* A key of the metadata store, by its last part; @value is %NULL where it is gone. */
void quince_quarantine_desk_take_key (QuinceQuarantineDesk *desk, const char *name, GBytes *value);
/* To be called several times a second. */
void quince_quarantine_desk_step (QuinceQuarantineDesk *desk);
