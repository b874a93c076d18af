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
 *
 * The log stores each field under the field's name.
 */
typedef struct
{
  guint64 promised;
  guint64 noted;
  guint64 ordered;
} QuinceLedgerPersistentState;

G_END_DECLS
