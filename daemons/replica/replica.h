/*
 * replica.h: a replica of the batch ledger; its leader runs samples and orders weights.
 */
#pragma once

#include "runtime/settings.h"

gpointer quince_replica_start (const QuinceSettings *settings, GError **error);
char *quince_replica_ready_line (gpointer self);
void quince_replica_stop (gpointer self);
void quince_replica_free (gpointer self);
