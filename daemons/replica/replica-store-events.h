/*
 * replica-store-events.h: dispatches events of the observer to the other parts of the replica: changes of the
 * product's own keys, new weight versions, draining machines, evacuated zones, and pages that this
 * process read from the metadata store.
 *
 * The module is stateless.
 */
#pragma once

#include "replica-parts.h"

/* The callbacks' user_data is a QuinceReplicaParts. */
extern const QuinceObserverCallbacks quince_replica_store_callbacks;

/* Returns %TRUE if this replica is a member of the ledger view.  Members are reserve readers: if the leader's
 * reads of the metadata store are late, they read it before other processes and report to the leader.  They
 * are few, so that their reports don't overload it. */
gboolean quince_replica_is_reserve_reader (const QuinceReplicaParts *parts);
