/*
 * front.h: a front accepts callers' requests and forwards them to workers or to the ledger's leader.
 *
 * It owns the listeners, the connections to workers, the link to the leader and the client of the metadata
 * store; front.c connects them.  The functions implement QuinceProgram (runtime/program.h); @self is the
 * front that quince_front_start() returned.
 */
#pragma once

#include "runtime/settings.h"

/* Returns: (transfer full) (nullable): the front, or %NULL with @error set if the settings are inconsistent,
 * an address can't be listened on, or the policy program can't be loaded */
gpointer quince_front_start (const QuinceSettings *settings, GError **error);
/* Returns: (transfer full): the addresses of the listeners, printed after "ready " */
char *quince_front_ready_line (gpointer self);
/* Applies stop.grace and directory.keep; changes of other settings need a restart. */
void quince_front_reload (gpointer self, const QuinceSettings *settings);
/* Starts the planned stop, see planned-stop.h. */
void quince_front_stop (gpointer self);
void quince_front_free (gpointer self);
