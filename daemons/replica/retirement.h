/*
 * retirement.h: machines with a replica that the operator wants to be emptied, and how far that is.
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
/* At the leader tells the operator what has changed since; called several times a second. */
void quince_retirement_step (QuinceRetirement *retirement);
