/*
 * retirement.h: machines whose replica the operator wants to be emptied, and the status of each.
 *
 * The ledger's leader takes their replicas out of the view.  Owns the list of machines.  Relies on the ledger
 * for the members and on the metadata store for the status.  All calls belong to the main context.
 */
#pragma once

#include "meta/meta-store.h"

#include "ledger-node.h"

typedef struct _QuinceRetirement QuinceRetirement;

/* @store and @ledger must outlive it. */
QuinceRetirement *quince_retirement_new (QuinceMetaStore *store, QuinceLedgerNode *ledger);
void quince_retirement_free (QuinceRetirement *retirement);
/* The machines @nodes, %NULL-terminated, are to be emptied; all others may stay. */
void quince_retirement_set_nodes (QuinceRetirement *retirement, const char *const *nodes);
/* At the leader: writes each status that has changed into the metadata store; to be called several times a
 * second. */
void quince_retirement_step (QuinceRetirement *retirement);
