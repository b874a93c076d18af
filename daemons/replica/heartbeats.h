/*
 * heartbeats.h: the leader's heartbeats to fronts, which list the silent fronts.
 *
 * The directory omits a front that is dead, frozen or partitioned within a second, even while the metadata
 * store is down and the front's lease cannot expire.
 *
 * The module owns a timer and the failure detector of fronts.  Call all functions in the main context.
 */
#pragma once

#include <glib.h>

#include "runtime/link.h"

typedef struct _QuinceHeartbeats QuinceHeartbeats;

QuinceHeartbeats *quince_heartbeats_new (void);
void quince_heartbeats_free (QuinceHeartbeats *heartbeats);
/* Records whether the metadata store lists the front @name. */
void quince_heartbeats_set_listed (QuinceHeartbeats *heartbeats, const char *name, gboolean listed);
/* Starts sending heartbeats.  @links: (transfer none): set of QuinceLink, valid until
 * quince_heartbeats_stop_leading() */
void quince_heartbeats_start_leading (QuinceHeartbeats *heartbeats, GHashTable *links);
void quince_heartbeats_stop_leading (QuinceHeartbeats *heartbeats);
/* Records that a front answered a heartbeat. */
void quince_heartbeats_record_ack (QuinceHeartbeats *heartbeats, const QuinceHeartbeatAck *ack);
