/*
 * engine-poll.h: one engine, polled for its load and its cache events.
 */
#pragma once

#include "engines.h"

typedef struct _QuinceEnginePoll QuinceEnginePoll;

/* How often and how long, in milliseconds; from the settings. */
typedef struct
{
  guint load_interval_ms;
  guint cache_interval_ms;
  guint timeout_ms;
} QuinceEnginePollTimes;

/* Polls at once and then by its timers. @counters: shared by all engines, outlives them. */
QuinceEnginePoll *quince_engine_poll_new (QuinceNode *node,
                                          const QuinceEngineInfo *info,
                                          const QuinceEnginePollTimes *times,
                                          QuinceEnginesCounters *counters);
void quince_engine_poll_free (QuinceEnginePoll *poll);
/* (transfer none): as last heard of */
const QuinceEngineInfo *quince_engine_poll_get_info (const QuinceEnginePoll *poll);
/* The machine list says so, or no longer does. */
void quince_engine_poll_set_listed_leaving (QuinceEnginePoll *poll, gboolean leaving);
