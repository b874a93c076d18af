/*
 * heartbeats.h: the leader's heartbeats to fronts, which name the fronts that answer none.
 *
 * A front that is dead, frozen or cut off leaves the directory's answers within a second, also while the
 * metadata store is down and its lease cannot expire.
 *
 * Owns a timer and the failure detector of fronts.  Relies on its owner for the links.  All calls belong to
 * the main context.
 */
#pragma once

#include <glib.h>

#include "runtime/link.h"

typedef struct _QuinceHeartbeats QuinceHeartbeats;

QuinceHeartbeats *quince_heartbeats_new (void);
void quince_heartbeats_free (QuinceHeartbeats *heartbeats);
/* The metadata store lists the front @name, or does not any more. */
void quince_heartbeats_set_listed (QuinceHeartbeats *heartbeats, const char *name, gboolean listed);
/* This replica leads: heartbeats are sent to @links, a borrowed set of QuinceLink, until
 * quince_heartbeats_stop_leading(). */
void quince_heartbeats_start_leading (QuinceHeartbeats *heartbeats, GHashTable *links);
void quince_heartbeats_stop_leading (QuinceHeartbeats *heartbeats);
/* A front answered a heartbeat. */
void quince_heartbeats_record_ack (QuinceHeartbeats *heartbeats, const QuinceHeartbeatAck *ack);
