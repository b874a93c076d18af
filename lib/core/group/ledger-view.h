/*
 * ledger-view.h: functions that search, compare and edit the members of a ledger view.
 *
 * A view consists of an epoch, a primary and the members.  The metadata store holds it under the ledger's
 * key.
 */
#pragma once

#include "protocol/codec.h"

G_BEGIN_DECLS

/* Epoch of the first view of a ledger. */
#define QUINCE_LEDGER_INITIAL_EPOCH 1

/* Returns: (transfer none) (nullable): the member @replica, or %NULL if @view (nullable) does not have it */
const QuinceLedgerMember *quince_ledger_view_find (const QuinceLedgerView *view, guint64 replica);
/* Returns: whether a replica on the machine @node is a member of @view (nullable) */
gboolean quince_ledger_view_has_node (const QuinceLedgerView *view, const char *node);
/* Returns: whether both views have the same member replicas; order and addresses are ignored */
gboolean quince_ledger_view_has_same_members (const QuinceLedgerView *view, const QuinceLedgerView *other);

/* Returns: whether @view is the first one of a new ledger: its primary is the only member, and does not lead
 * before other replicas have joined, unless the ledger tolerates no losses */
gboolean quince_ledger_view_is_initial (const QuinceLedgerView *view);

/* Appends a member.  The strings are copied. */
void quince_ledger_view_add (QuinceLedgerView *view, const char *node, const char *address, guint64 replica);
/* Removes the member @replica.  Does nothing if it is not a member. */
void quince_ledger_view_remove (QuinceLedgerView *view, guint64 replica);
/* Sets the address of the member @replica, which may change when its machine restarts.  Returns: whether the
 * view changed */
gboolean quince_ledger_view_set_address (QuinceLedgerView *view, guint64 replica, const char *address);

G_END_DECLS
