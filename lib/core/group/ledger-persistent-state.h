/*
 * ledger-persistent-state.h: what a replica of the batch ledger keeps on its disk beside its log.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * QuinceLedgerPersistentState:
 * @promised: the greatest epoch that this replica has promised or followed; 0: none
 * @noted: the greatest revision of the view on which members may change; 0: none
 * @ordered: the latest epoch in which this replica could give orders; 0: none
 */
typedef struct
{
  guint64 promised;
  guint64 noted;
  guint64 ordered;
} QuinceLedgerPersistentState;

G_END_DECLS
