/*
 * replica-setup.h: creates the parts of a replica from its settings and connects them.
 *
 * The module is stateless; the caller owns the parts.
 */
#pragma once

#include "runtime/settings.h"

#include "replica-parts.h"

/* Creates the parts that need neither files nor listening sockets.
 * @parts: zero-initialized
 * @topology: (transfer full) */
void quince_replica_setup_create (QuinceReplicaParts *parts,
                                  const QuinceSettings *settings,
                                  QuinceTopology *topology);
/**
 * quince_replica_setup_open:
 * @parts: from quince_replica_setup_create()
 *
 * Loads the policy, opens the ledger's folder and the addresses of links and metrics, and creates the parts
 * that need the ledger.
 *
 * Returns: %FALSE with @error if one of these fails; @parts is then incomplete
 */
gboolean
quince_replica_setup_open (QuinceReplicaParts *parts, const QuinceSettings *settings, GError **error);
