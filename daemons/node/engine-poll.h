/*
 * engine-poll.h: one engine: its load and its cache events, polled here or told
 * by its owner.
 */
#pragma once

#include <quince/engine-readings.h>
#include <quince/ownership.h>

#include "engines.h"

typedef struct _QuinceEnginePoll QuinceEnginePoll;

/* How often and how long, in milliseconds; from the settings. */
typedef struct
{
  guint load_interval_ms;
  guint cache_interval_ms;
  guint timeout_ms;
} QuinceEnginePollTimes;

/* What this node does about the engine. */
typedef struct
{
  QuinceDuty duty;
  gboolean coordinates;   /* orders weights: polls each engine itself       */
  gint64 follow_bound_us; /* a follower polls what it knows less lately      */
} QuinceEngineRole;

/* Polls when its step says so. @counters: shared by all engines, outlives them. */
QuinceEnginePoll *quince_engine_poll_new (QuinceNode *node,
                                          const QuinceEngineInfo *info,
                                          const QuinceEnginePollTimes *times,
                                          QuinceEnginesCounters *counters);
void quince_engine_poll_free (QuinceEnginePoll *poll);
/* (transfer none): as last heard of */
const QuinceEngineInfo *quince_engine_poll_get_info (const QuinceEnginePoll *poll);
/* When what is known of it was read by someone; 0: never. */
gint64 quince_engine_poll_get_heard_us (const QuinceEnginePoll *poll);
QuinceDuty quince_engine_poll_get_duty (const QuinceEnginePoll *poll);
/* To be called often: begins the polls that are due under @role. */
void quince_engine_poll_step (QuinceEnginePoll *poll, gint64 now_us, const QuinceEngineRole *role);
/* The machine list says so, or no longer does. */
void quince_engine_poll_set_listed_leaving (QuinceEnginePoll *poll, gboolean leaving);

/* What its owner read at @read_us, by this node's clock. */
void
quince_engine_poll_take_figures (QuinceEnginePoll *poll, const QuinceEngineFigures *figures, gint64 read_us);
/* What this node read itself; FALSE when it cannot reach the engine. */
gboolean
quince_engine_poll_get_figures (const QuinceEnginePoll *poll, gint64 now_us, QuinceEngineFigures *out);
