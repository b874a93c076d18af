/*
 * ledger-outage.h: logs that a leader has not been allowed to answer calls for several seconds, and why.
 */
#pragma once

#include <glib.h>

#include "core/group/ledger-group.h"

/* State of an outage.  Starts zeroed. */
typedef struct
{
  gint64 started_us;    /* when this replica, taken for the leader, could first not answer; 0: no outage */
  gint64 last_taken_us; /* when it was last taken for the leader during the outage */
  gint64 logged_us;     /* when the outage was last logged; 0: not yet */
} QuinceLedgerOutage;

/**
 * quince_ledger_outage_update:
 * @refusal: why this replica may not answer now
 * @replica: the id of this replica
 *
 * Call periodically.  Counts a replica as leader that its own view names, even if it does not lead: fronts
 * send it calls.  An outage goes on while leaders that may not answer replace each other.
 */
void quince_ledger_outage_update (QuinceLedgerOutage *outage,
                                  QuinceLedgerGroup *group,
                                  QuinceLedgerRefusal refusal,
                                  guint64 replica,
                                  gint64 now_us);
