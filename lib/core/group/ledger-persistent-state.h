/*
 * ledger-persistent-state.h: the state that a ledger replica stores on disk in addition to its log.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * QuinceLedgerPersistentState:
 * @promised: greatest epoch that this replica has promised or followed; 0: none
 * @noted: greatest revision of the view for which this replica has acknowledged a membership change; 0: none
 * @ordered: latest epoch in which this replica was allowed to give orders to workers; 0: none
 * @change: (nullable): the encoded #QuinceLedgerChange that this replica has acknowledged.  It is complete if
 *   its revision is @noted; otherwise a build that stores no changes has acknowledged one since.
 *
 * The log stores each field under the field's name.  A struct whose fields are all zero holds no state.
 */
typedef struct
{
  guint64 promised;
  guint64 noted;
  guint64 ordered;
  GBytes *change;
} QuinceLedgerPersistentState;

/* Sets @state to a copy of @other. */
void quince_ledger_persistent_state_assign (QuinceLedgerPersistentState *state,
                                            const QuinceLedgerPersistentState *other);
/* Releases what @state owns and sets all fields to zero. */
void quince_ledger_persistent_state_clear (QuinceLedgerPersistentState *state);

G_END_DECLS
