/*
 * engine-room.h: how much more work an engine may be given by this node.
 *
 * What other nodes hold is heard late (digests), and so is what the engine
 * runs (reports).  Where work ends sooner than such news travels, the news
 * says nothing about now: then each node that holds grants on the engine may
 * always have its even share of it, whatever was last heard.
 */
#pragma once

#include "engine-table.h"

typedef struct
{
  double overcommit;    /* of QuinceSchedulerLimits                          */
  guint engine_wait_ms; /* the same                                          */
  gboolean may_queue;   /* the work may wait in the engine's own queue       */
  guint reserve;        /* places that the work leaves free                  */
} QuinceRoomQuery;

/* Places beyond its capacity that the engine is given, for its own queue. */
guint quince_engine_extra (const QuinceEngine *engine, const QuinceRoomQuery *query);
/* Grants that this node may still give on the engine; 0: none. */
guint quince_engine_room (const QuinceEngine *engine, const QuinceRoomQuery *query);
