/*
 * heartbeats.h: the leader's heartbeats to fronts, and which of the listed fronts answer none.
 *
 * A front that is dead, frozen or cut off leaves the directory's answers within a second, also while the
 * metadata store is down and its lease cannot run out.
 */
#pragma once

#include <glib.h>

#include "runtime/link.h"

typedef struct _QuinceHeartbeats QuinceHeartbeats;

QuinceHeartbeats *quince_heartbeats_new (void);
void quince_heartbeats_free (QuinceHeartbeats *heartbeats);
/* The store lists front @name, or does so no longer. */
void quince_heartbeats_set_listed (QuinceHeartbeats *heartbeats, const char *name, gboolean listed);
/* Begins to send them to @links, a set of QuinceLink that must outlive the leadership. */
void quince_heartbeats_lead (QuinceHeartbeats *heartbeats, GHashTable *links);
void quince_heartbeats_stop_leading (QuinceHeartbeats *heartbeats);
void quince_heartbeats_take_ack (QuinceHeartbeats *heartbeats, const QuinceHeartbeatAck *ack);
