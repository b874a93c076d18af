/*
 * replica.h: a replica of the batch ledger; its leader runs samples and orders weights.
 *
 * Owns the parts of the process (replica-parts.h), a timer and the suspension watch.  The functions are those
 * of QuinceProgram (runtime/program.h); @self is what quince_replica_start() returned.
 */
#pragma once

#include "runtime/settings.h"

/* Returns: (transfer full) (nullable): the replica; %NULL with @error where the settings don't fit together,
 * an address or the data folder can't be used, or the policy program doesn't compile */
gpointer quince_replica_start (const QuinceSettings *settings, GError **error);
/* Returns: (transfer full): the name of this machine */
char *quince_replica_ready_line (gpointer self);
/* Ends the process a moment later: what a replica has acknowledged is on disk, so nothing is waited for. */
void quince_replica_stop (gpointer self);
void quince_replica_free (gpointer self);
