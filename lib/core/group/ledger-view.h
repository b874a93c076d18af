/*
 * ledger-view.h: the members of a view of the batch ledger: found, compared and edited.
 *
 * A view (epoch, primary, members) is the value that the metadata store keeps under the ledger's key.  Owns
 * nothing; relies on the codec's type alone.  Pure.
 */
#pragma once

#include "protocol/codec.h"

G_BEGIN_DECLS

/* The member @replica. (transfer none) (nullable); @view: nullable */
const QuinceLedgerMember *quince_ledger_view_find (const QuinceLedgerView *view, guint64 replica);
/* Whether a replica of the machine @node is a member; @view: nullable */
gboolean quince_ledger_view_has_node (const QuinceLedgerView *view, const char *node);
/* Whether both views have the same replicas as members, in any order and at any address. */
gboolean quince_ledger_view_has_same_members (const QuinceLedgerView *view, const QuinceLedgerView *other);

/* Appends a member; the strings are copied. */
void quince_ledger_view_add (QuinceLedgerView *view, const char *node, const char *address, guint64 replica);
/* Removes the member @replica; does nothing where it is none. */
void quince_ledger_view_remove (QuinceLedgerView *view, guint64 replica);
/* Sets the address of the member @replica: a machine that was restarted may listen at another one.  Returns:
 * whether the view changed */
gboolean quince_ledger_view_set_address (QuinceLedgerView *view, guint64 replica, const char *address);

G_END_DECLS
