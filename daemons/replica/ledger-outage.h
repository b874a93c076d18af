/*
 * ledger-outage.h: logs that a leader has not been allowed to answer calls for several seconds, and why.
 */
#pragma once

#include <glib.h>

#include "core/group/ledger-group.h"

/* State of an outage.  Starts zeroed. */
typedef struct
{
  gint64 started_us; /* when this replica could first not answer; 0: it can, or is not taken for the leader */
  gint64 logged_us;  /* when it was last logged; 0: not yet */
} QuinceLedgerOutage;

/**
 * quince_ledger_outage_update:
 * @refusal: why this replica may not answer now
 * @replica: the id of this replica
 *
 * Call periodically.  Counts a replica as leader that its own view names, even if it does not lead: fronts
 * send it calls.
 */
void quince_ledger_outage_update (QuinceLedgerOutage *outage,
                                  QuinceLedgerGroup *group,
                                  QuinceLedgerRefusal refusal,
                                  guint64 replica,
                                  gint64 now_us);
