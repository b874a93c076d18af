/*
 * candidates.h: the few engines that are scored for a request.
 *
 * Half of the candidates are the best holders of the prompt's prefix, the
 * rest the least loaded.  Bounded load (Mirrokni, Thorup, Zadimoghaddam 2018):
 * an engine loaded well above the mean is no candidate for its prefix alone,
 * so that a hot prefix cannot overload it.
 */
#pragma once

#include <quince/builtin-decisions.h>

#include "engine-room.h"
#include "prefix-index.h"

#define QUINCE_CANDIDATES_MOST QUINCE_POLICY_MAX_CANDIDATES

typedef struct
{
  const QuinceGrantRequest *request;
  guint64 min_version;
  gboolean keep_reserve; /* leave each engine's last slots free */
  QuinceRoomQuery room;  /* its reserve is set for each engine  */
  guint64 seed;
  guint most;
} QuinceCandidateQuery;

typedef struct
{
  QuinceEngine *engine; /* borrowed from the table */
  guint used;
  double load;         /* used / capacity */
  double prefix_match; /* 0..1 */
  guint64 tie;         /* seeded; greatest wins among equals */
  gboolean picked;
} QuinceCandidate;

/* Returns: the number of candidates in @out, which has room for QUINCE_CANDIDATES_MOST. */
guint quince_candidates_pick (const QuinceEngineTable *table,
                              const GPtrArray *engines,
                              QuincePrefixIndex *prefixes,
                              gint64 now_us,
                              const QuinceCandidateQuery *query,
                              QuinceCandidate *out);

/* Slots of an engine that rollouts leave free around an event. */
guint quince_engine_reserve (const QuinceEngine *engine);
