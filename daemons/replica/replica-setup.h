/*
 * replica-setup.h: creates the parts of a replica from its settings and connects them.
 *
 * Owns no state: the parts belong to the caller.
 */
#pragma once

#include "runtime/settings.h"

#include "replica-parts.h"

/* Creates the parts that open no file and no listening socket.  @parts: zeroed; @topology: (transfer full) */
void quince_replica_setup_create (QuinceReplicaParts *parts,
                                  const QuinceSettings *settings,
                                  QuinceTopology *topology);
/* Then loads the policy, opens the ledger's folder and link address and the metrics' address, and creates the
 * parts that need the ledger.
 * Returns: %FALSE with @error where one can't be opened; @parts is incomplete then */
gboolean
quince_replica_setup_open (QuinceReplicaParts *parts, const QuinceSettings *settings, GError **error);
