/*
 * ledger-host.h: the ledger replica of this node, if it keeps one.
 *
 * Passes calls and replication between the links and the ledger's task, and
 * sees to it that the replica becomes part of a ledger.
 */
#pragma once

#include <quince/ledger.h>

#include "node.h"

/* Works without a data folder too: then every call is answered NOT_LEADER. */
QuinceLedgerHost *quince_ledger_host_new (QuinceNode *node, GError **error);
/* Begins to join or to bootstrap; every other part of the node is there by now. */
void quince_ledger_host_begin (QuinceLedgerHost *host);
/* Planned stop: hands leadership on and closes the disk. Blocks shortly. */
void quince_ledger_host_close (QuinceLedgerHost *host);
void quince_ledger_host_free (QuinceLedgerHost *host);

void
quince_ledger_host_call (QuinceLedgerHost *host, guint64 client, QuinceLedgerCall *call /* transfer full */);
void quince_ledger_host_receive (QuinceLedgerHost *host, QuinceReplication *message /* transfer full */);

/* @items: QuinceKvItem, the first voters or nothing: a definite answer of the key-value service. */
void quince_ledger_host_take_items (QuinceLedgerHost *host, GPtrArray *items);
/* The key-value service is out of reach: what it said may have changed. */
void quince_ledger_host_kv_lost (QuinceLedgerHost *host);

/* (transfer none): address of the leader, "" unknown; from the own replica or from digests */
const char *quince_ledger_host_get_leader (QuinceLedgerHost *host, u_quad_t *epoch);
/* Replica id of the leader that the own replica knows, 0 unknown */
guint64 quince_ledger_host_get_leader_id (QuinceLedgerHost *host, u_quad_t *epoch);
/* (transfer none) (nullable): %NULL when this node keeps no replica */
const QuinceLedgerState *quince_ledger_host_get_state (const QuinceLedgerHost *host);
/* Epoch to fence orders with while this replica leads; 0 while it does not. */
guint64 quince_ledger_host_get_fence (const QuinceLedgerHost *host);
