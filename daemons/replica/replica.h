/*
 * replica.h: a replica of the batch ledger; the leader runs samples and orders workers to load weights.
 *
 * The replica owns its parts (replica-parts.h), a timer and the suspension watch.  The functions implement
 * QuinceProgram (runtime/program.h); @self is the return value of quince_replica_start().
 */
#pragma once

#include "runtime/settings.h"

/* Returns: (transfer full) (nullable): the replica, or %NULL with @error if the settings are inconsistent, an
 * address or the data folder can't be used, or the policy program doesn't compile */
gpointer quince_replica_start (const QuinceSettings *settings, GError **error);
/* Returns: (transfer full): "name=" and the name of this machine */
char *quince_replica_ready_line (gpointer self);
/* Exits the process after a short delay in which queued messages are sent.  Work in progress is abandoned:
 * everything that a replica has acknowledged is on disk. */
void quince_replica_stop (gpointer self);
void quince_replica_free (gpointer self);
