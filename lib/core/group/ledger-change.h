/*
 * ledger-change.h: membership changes of the ledger that may be in force without being known yet.
 *
 * A leader may write another view to the metadata store in place of the one at a certain revision.  Until a
 * greater revision is known, that view may be in force, whatever became of the write.
 */
#pragma once

#include "protocol/codec.h"

G_BEGIN_DECLS

/* Maximum number of views in a QuinceLedgerChange, as in quince_protocol.x. */
#define QUINCE_LEDGER_CHANGE_VIEWS_MAX 16

QuinceLedgerChange *quince_ledger_change_new (guint64 revision);
/* Returns: whether @change (nullable) lists a view with the epoch, the leader and the members of @view */
gboolean quince_ledger_change_has_view (const QuinceLedgerChange *change, const QuinceLedgerView *view);
/* Appends a copy of @view unless @change lists it.  Returns: whether @change lists it now; it has room for
 * %QUINCE_LEDGER_CHANGE_VIEWS_MAX views */
gboolean quince_ledger_change_add_view (QuinceLedgerChange *change, const QuinceLedgerView *view);

/* Functions for an array of QuinceLedgerView, which has no maximum length and owns its elements. */

GPtrArray *quince_ledger_view_list_new (void);
/* Appends a copy of @view unless @views contains it.  Returns: whether it was appended */
gboolean quince_ledger_view_list_add (GPtrArray *views, const QuinceLedgerView *view);
/* Removes @view, if @views contains it. */
void quince_ledger_view_list_remove (GPtrArray *views, const QuinceLedgerView *view);

G_END_DECLS
