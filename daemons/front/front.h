/*
 * front.h: a front: takes callers' requests and brings them to workers, or to the ledger's leader.
 *
 * Owns the parts of the process: listeners, workers' connections, the link to the leader, the client of the
 * metadata store; see front.c for how they are joined.  The functions are those of QuinceProgram
 * (runtime/program.h); @self is what quince_front_start() returned.
 */
#pragma once

#include "runtime/settings.h"

/* Returns: (transfer full) (nullable): the front; %NULL with @error where the settings don't fit together, an
 * address can't be listened on, or the policy program doesn't compile */
gpointer quince_front_start (const QuinceSettings *settings, GError **error);
/* Returns: (transfer full): the addresses listened on */
char *quince_front_ready_line (gpointer self);
/* Takes over stop.grace and directory.keep; all other settings need a new start. */
void quince_front_reload (gpointer self, const QuinceSettings *settings);
/* Begins the planned stop, see planned-stop.h. */
void quince_front_stop (gpointer self);
void quince_front_free (gpointer self);
