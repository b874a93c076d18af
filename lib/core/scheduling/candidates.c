/*
 * candidates.c: see candidates.h.
 */
#include "candidates.h"

#include "spread.h"

#define LOAD_BOUND 1.25 /* of the mean load, for engines picked for their prefix */
#define RESERVE_DIVISOR 4

/* The engines that could run the request now, with their mean load. */
typedef struct
{
  QuinceCandidate all[QUINCE_MAX_ENGINES];
  guint length;
  double mean_load;
} Eligible;

guint
quince_engine_reserve (const QuinceEngine *engine)
{
  return MAX (1, engine->capacity / RESERVE_DIVISOR);
}

static gboolean
is_avoided (const QuinceGrantRequest *request, const QuinceEngine *engine)
{
  for (guint i = 0; i < request->avoid.avoid_len; i++)
    if (strcmp (request->avoid.avoid_val[i], engine->name) == 0)
      return TRUE;
  return FALSE;
}

/* Engines that the request may run on, in the order in which they are tried:
 * a later rank is used only when the earlier ones have no free slot. */
typedef enum
{
  RANK_GOOD,
  RANK_OFF_TARGET, /* a swap is ordered or failed             */
  RANK_AVOIDED,    /* an earlier attempt failed there         */
  RANK_QUEUED,     /* good, but perhaps to wait in its own queue */
  RANK_NEVER,
} Rank;

static Rank
rank_of (const QuinceEngineTable *table,
         const QuinceEngine *engine,
         gint64 now_us,
         const QuinceCandidateQuery *query)
{
  QuinceRoomQuery room = query->room;
  room.reserve = query->keep_reserve ? quince_engine_reserve (engine) : 0;
  if (!quince_engine_table_usable (table, engine, now_us) || quince_engine_room (engine, &room) == 0)
    return RANK_NEVER;
  if (engine->weight_version < query->min_version || now_us < engine->paused_until_us)
    return RANK_NEVER;
  gboolean queued = quince_engine_free_slots (engine) <= room.reserve;
  if (quince_engine_off_target (engine))
    return query->min_version == 0 && !queued ? RANK_OFF_TARGET : RANK_NEVER;
  if (is_avoided (query->request, engine))
    return queued ? RANK_NEVER : RANK_AVOIDED;
  return queued ? RANK_QUEUED : RANK_GOOD;
}

/* Collects the engines of the best rank that has any. */
static void
collect (const QuinceEngineTable *table,
         const GPtrArray *engines,
         gint64 now_us,
         const QuinceCandidateQuery *query,
         Eligible *eligible)
{
  Rank best = RANK_NEVER;
  double load_sum = 0;
  eligible->length = 0;
  for (guint i = 0; i < engines->len; i++)
    {
      QuinceEngine *engine = engines->pdata[i];
      Rank rank = rank_of (table, engine, now_us, query);
      if (rank == RANK_NEVER || rank > best)
        continue;
      if (rank < best)
        {
          eligible->length = 0;
          load_sum = 0;
        }
      best = rank;
      guint used = quince_engine_used (engine);
      QuinceCandidate *candidate = &eligible->all[eligible->length++];
      *candidate
          = (QuinceCandidate){ .engine = engine, .used = used, .load = (double)used / engine->capacity };
      candidate->tie = quince_spread (query->seed, i);
      load_sum += candidate->load;
    }
  eligible->mean_load = eligible->length > 0 ? load_sum / eligible->length : 0;
}

static void
match_prefixes (QuincePrefixIndex *prefixes, const QuinceGrantRequest *request, Eligible *eligible)
{
  guint n_blocks = MIN (request->prefix.prefix_len, QUINCE_MAX_PREFIX);
  QuincePrefixMatch match;
  if (n_blocks == 0)
    return;
  quince_prefix_index_match (prefixes, request->prefix.prefix_val, n_blocks, &match);
  for (guint i = 0; i < eligible->length; i++)
    {
      QuinceCandidate *candidate = &eligible->all[i];
      if (candidate->engine->prefix_slot >= 0)
        candidate->prefix_match = (double)match.blocks[candidate->engine->prefix_slot] / n_blocks;
    }
}

/* Load after a seeded part of one slot.  Nodes see the same lagging reports:
 * without it all would send their next requests to the same engine. */
static double
spread_load (const QuinceCandidate *candidate)
{
  const QuinceEngine *engine = candidate->engine;
  double part = quince_spread_unit (candidate->tie, 0);
  return candidate->load + part / engine->capacity - (engine->same_zone ? QUINCE_BUILTIN_ZONE_WEIGHT : 0.0);
}

static gboolean
is_less_loaded (const QuinceCandidate *candidate, const QuinceCandidate *best)
{
  return spread_load (candidate) < spread_load (best);
}

static gboolean
holds_more (const QuinceCandidate *candidate, const QuinceCandidate *best)
{
  if (candidate->prefix_match != best->prefix_match)
    return candidate->prefix_match > best->prefix_match;
  return is_less_loaded (candidate, best);
}

static QuinceCandidate *
best_of (Eligible *eligible, gboolean by_prefix)
{
  QuinceCandidate *best = NULL;
  for (guint i = 0; i < eligible->length; i++)
    {
      QuinceCandidate *candidate = &eligible->all[i];
      double load_after = (candidate->used + 1.0) / candidate->engine->capacity;
      double bound = LOAD_BOUND * (eligible->mean_load + 1.0 / candidate->engine->capacity);
      if (candidate->picked || (by_prefix && (candidate->prefix_match == 0 || load_after > bound)))
        continue;
      if (best == NULL || (by_prefix ? holds_more (candidate, best) : is_less_loaded (candidate, best)))
        best = candidate;
    }
  return best;
}

guint
quince_candidates_pick (const QuinceEngineTable *table,
                        const GPtrArray *engines,
                        QuincePrefixIndex *prefixes,
                        gint64 now_us,
                        const QuinceCandidateQuery *query,
                        QuinceCandidate *out)
{
  Eligible eligible;
  guint most = CLAMP (query->most, 1, QUINCE_CANDIDATES_MOST);
  guint picked = 0;
  collect (table, engines, now_us, query, &eligible);
  if (eligible.length == 0)
    return 0;
  match_prefixes (prefixes, query->request, &eligible);
  while (picked < most)
    {
      gboolean by_prefix = picked < (most + 1) / 2;
      QuinceCandidate *best = best_of (&eligible, by_prefix);
      if (best == NULL && by_prefix)
        best = best_of (&eligible, FALSE);
      if (best == NULL)
        break;
      best->picked = TRUE;
      out[picked++] = *best;
    }
  return picked;
}
