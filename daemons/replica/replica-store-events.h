/*
 * replica-store-events.h: events of the observer, passed to the other parts of the replica: own keys, named
 * versions, machines to be emptied, evacuated zones, and what this process read itself.
 *
 * Owns no state; relies on all parts.
 */
#pragma once

#include "replica-parts.h"

/* user_data: QuinceReplicaParts */
extern const QuinceObserverCallbacks quince_replica_store_callbacks;

/* Whether this replica reads the metadata store before others do, where the leader's reads lag, and reports
 * to the leader: the members of the view do, since they are few, linked to the leader and on several
 * machines. More reports would keep a busy leader busy. */
gboolean quince_replica_is_reserve_reader (const QuinceReplicaParts *parts);
