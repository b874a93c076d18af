/*
 * replica-ledger-events.h: dispatches events of the ledger node to the other parts of the replica: leader
 * changes, committed records, calls of fronts and messages that are not the ledger's.
 *
 * The module is stateless.
 */
#pragma once

#include "ledger-node.h"

/* The callbacks' user_data is a QuinceReplicaParts. */
extern const QuinceLedgerNodeCallbacks quince_replica_ledger_callbacks;
