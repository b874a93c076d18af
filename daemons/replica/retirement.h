/*
 * retirement.h: machines that the operator drains, and the status of each.
 *
 * The ledger's leader removes their replicas from the view and writes the status into the metadata store. The
 * module owns the list of machines.  Call all functions in the main context.
 */
#pragma once

#include "meta/meta-store.h"

#include "ledger-node.h"

typedef struct _QuinceRetirement QuinceRetirement;

/* @store, @ledger: (transfer none): must outlive the retirement */
QuinceRetirement *quince_retirement_new (QuinceMetaStore *store, QuinceLedgerNode *ledger);
void quince_retirement_free (QuinceRetirement *retirement);
/* Sets the draining machines.  @nodes: (transfer none): names, %NULL-terminated; copied */
void quince_retirement_set_nodes (QuinceRetirement *retirement, const char *const *nodes);
/* Writes each changed status into the metadata store.  Call several times a second.  Does nothing unless this
 * replica leads. */
void quince_retirement_step (QuinceRetirement *retirement);
