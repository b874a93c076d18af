/*
 * zone-duties.h: which engines this node polls, and what the zone's nodes tell
 * each other about them.
 */
#pragma once

#include <quince/codec.h>
#include <quince/ownership.h>

#include "engine-poll.h"

typedef struct _QuinceZoneDuties QuinceZoneDuties;

QuinceZoneDuties *quince_zone_duties_new (QuinceNode *node);
void quince_zone_duties_free (QuinceZoneDuties *duties);

/* @poll is not owned, and taken away before it ends. */
void quince_zone_duties_add (QuinceZoneDuties *duties, QuinceEnginePoll *poll);
void quince_zone_duties_remove (QuinceZoneDuties *duties, QuinceEnginePoll *poll);
/* Who is alive has changed. */
void quince_zone_duties_members_changed (QuinceZoneDuties *duties);

/* What this node does about an engine now. */
QuinceEngineRole quince_zone_duties_get_role (QuinceZoneDuties *duties, const QuinceEnginePoll *poll);

/* Reports of the engines that this node owns. (transfer full) (element-type QuinceEngineReadings):
 * free it with quince_zone_duties_readings_free() */
GArray *quince_zone_duties_make_readings (QuinceZoneDuties *duties);
void quince_zone_duties_readings_free (GArray *readings);
/* What the node @from owns. */
void quince_zone_duties_take_readings (QuinceZoneDuties *duties,
                                       const char *from,
                                       const QuinceEngineReadings *readings);
