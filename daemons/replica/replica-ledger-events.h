/*
 * replica-ledger-events.h: events of the ledger node, passed to the other parts of the replica: changes of
 * the lead, committed records, calls of fronts and messages that aren't the ledger's.
 *
 * Owns no state; relies on all parts.
 */
#pragma once

#include "ledger-node.h"

/* user_data: QuinceReplicaParts */
extern const QuinceLedgerNodeCallbacks quince_replica_ledger_callbacks;
