/*
 * engine-room.c: see engine-room.h.
 */
#include "engine-room.h"

/* Digests are written and read each 200 ms and ride on probes in between. */
#define NEWS_LAG_MS 1000
/* Extra places given up for each request that the engine reports as waiting. */
#define QUEUE_GAIN 2

guint
quince_engine_extra (const QuinceEngine *engine, const QuinceRoomQuery *query)
{
  if (!query->may_queue || engine->service_ms <= 0)
    return 0;
  double by_part = query->overcommit * engine->capacity;
  double by_wait = engine->capacity * (double)query->engine_wait_ms / engine->service_ms;
  double extra = MIN (by_part, by_wait) - QUEUE_GAIN * (double)engine->waiting;
  return extra > 0 ? (guint)extra : 0;
}

/* Even share of this node; 0: it is alone, or news of the others is good enough. */
static guint
share_of (const QuinceEngine *engine, guint limit)
{
  if (engine->holders == 0 || engine->service_ms <= 0 || engine->service_ms >= NEWS_LAG_MS)
    return 0;
  return limit / (engine->holders + 1);
}

guint
quince_engine_room (const QuinceEngine *engine, const QuinceRoomQuery *query)
{
  guint whole = engine->capacity + quince_engine_extra (engine, query);
  guint limit = whole > query->reserve ? whole - query->reserve : 0;
  guint used = quince_engine_used (engine);
  guint share = share_of (engine, limit);
  guint free = limit > used ? limit - used : 0;
  guint held = quince_engine_held (engine);
  guint free_share = share > held ? share - held : 0;
  return MAX (free, free_share);
}
