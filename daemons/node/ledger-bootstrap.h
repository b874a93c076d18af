/*
 * ledger-bootstrap.h: how a replica becomes part of a ledger.
 *
 * The first voters are agreed once, by a compare-and-swap on the absence of
 * their key in the key-value service.  A replica that is not one of them asks
 * live ledger nodes to be taken in; this works with the service down.
 */
#pragma once

#include <quince/codec.h>
#include <quince/ledger.h>

#include "node.h"

typedef struct _QuinceLedgerBootstrap QuinceLedgerBootstrap;

/* @ledger: outlives the result */
QuinceLedgerBootstrap *quince_ledger_bootstrap_new (QuinceNode *node, QuinceLedger *ledger);
void quince_ledger_bootstrap_free (QuinceLedgerBootstrap *bootstrap);
/* As quince_ledger_host_take_items() and quince_ledger_host_kv_lost(). */
void quince_ledger_bootstrap_take_items (QuinceLedgerBootstrap *bootstrap, GPtrArray *items);
void quince_ledger_bootstrap_kv_lost (QuinceLedgerBootstrap *bootstrap);
/* Call again and again until the replica is part of a ledger. */
void quince_ledger_bootstrap_step (QuinceLedgerBootstrap *bootstrap);
/* Asks one live ledger node, another one each time, to take the replica in. */
void quince_ledger_bootstrap_join (QuinceLedgerBootstrap *bootstrap);
