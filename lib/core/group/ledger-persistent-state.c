/*
 * ledger-persistent-state.c: the state that a ledger replica stores on disk in addition to its log.
 */
#include "core/group/ledger-persistent-state.h"

void
quince_ledger_persistent_state_assign (QuinceLedgerPersistentState *state,
                                       const QuinceLedgerPersistentState *other)
{
  QuinceLedgerPersistentState copy = *other;
  if (copy.change != NULL)
    g_bytes_ref (copy.change);
  quince_ledger_persistent_state_clear (state);
  *state = copy;
}

void
quince_ledger_persistent_state_clear (QuinceLedgerPersistentState *state)
{
  g_clear_pointer (&state->change, g_bytes_unref);
  *state = (QuinceLedgerPersistentState){ 0 };
}
