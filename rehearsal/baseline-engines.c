/*
 * baseline-engines.c: the plain ways to choose an engine.
 */
#include "baseline.h"

#include <string.h>

#include <quince/request-id.h>
#include <quince/task.h>

/* The part of a prompt that prefix_hash looks at, bytes. */
#define PREFIX_BYTES 256
/* prefix_hash goes on to the next engine above this part of the mean load
 * (consistent hashing with bounded loads; Mirrokni et al., 2018). */
#define LOAD_BOUND 1.25

void
baseline_engine_free (gpointer data)
{
  BaselineEngine *engine = data;
  g_free (engine->name);
  g_free (engine->address);
  g_free (engine->service);
  g_free (engine);
}

gboolean
baseline_add_engines (Baseline *baseline, const char *text)
{
  g_auto (GStrv) entries = g_strsplit (text, ";", -1);
  for (char **entry = entries; *entry != NULL; entry++)
    {
      g_auto (GStrv) name_and_rest = g_strsplit (*entry, "=", 2);
      g_auto (GStrv) rest = name_and_rest[0] != NULL && name_and_rest[1] != NULL
                                ? g_strsplit (name_and_rest[1], ",", 2)
                                : NULL;
      if (rest == NULL || rest[0] == NULL || rest[1] == NULL || *name_and_rest[0] == '\0')
        return FALSE;
      BaselineEngine *engine = g_new0 (BaselineEngine, 1);
      engine->name = g_strdup (name_and_rest[0]);
      engine->address = g_strdup (rest[0]);
      engine->service = g_strdup (rest[1]);
      g_ptr_array_add (baseline->engines, engine);
    }
  return TRUE;
}

/* Engines of @service that did not fail lately; all of them when all did. (transfer container) */
static GPtrArray *
find_candidates (Baseline *baseline, const char *service)
{
  GPtrArray *healthy = g_ptr_array_new ();
  GPtrArray *all = g_ptr_array_new ();
  gint64 now_us = quince_now_us ();
  for (guint i = 0; i < baseline->engines->len; i++)
    {
      BaselineEngine *engine = baseline->engines->pdata[i];
      if (!g_str_equal (engine->service, service))
        continue;
      g_ptr_array_add (all, engine);
      if (engine->avoid_until_us <= now_us)
        g_ptr_array_add (healthy, engine);
    }
  GPtrArray *unused = healthy->len > 0 ? all : healthy;
  GPtrArray *candidates = healthy->len > 0 ? healthy : all;
  g_ptr_array_unref (unused);
  return candidates;
}

static BaselineEngine *
choose_least_outstanding (const GPtrArray *candidates, guint first)
{
  BaselineEngine *best = candidates->pdata[first % candidates->len];
  for (guint i = 1; i < candidates->len; i++)
    {
      BaselineEngine *engine = candidates->pdata[(first + i) % candidates->len];
      if (engine->outstanding < best->outstanding)
        best = engine;
    }
  return best;
}

static BaselineEngine *
choose_by_prefix (const GPtrArray *candidates, const char *prompt)
{
  guint64 key = quince_hash64 (prompt, strnlen (prompt, PREFIX_BYTES), 0);
  guint outstanding = 1;
  for (guint i = 0; i < candidates->len; i++)
    outstanding += ((BaselineEngine *)candidates->pdata[i])->outstanding;
  double bound = LOAD_BOUND * outstanding / candidates->len;
  BaselineEngine *best = NULL;
  guint64 best_score = 0;
  for (guint i = 0; i < candidates->len; i++)
    {
      BaselineEngine *engine = candidates->pdata[i];
      guint64 score = quince_rendezvous_score (key, engine->name);
      if (engine->outstanding >= bound || (best != NULL && score <= best_score))
        continue;
      best = engine;
      best_score = score;
    }
  return best != NULL ? best : choose_least_outstanding (candidates, 0);
}

BaselineEngine *
baseline_choose_engine (Baseline *baseline, const char *service, const char *prompt)
{
  g_autoptr (GPtrArray) candidates = find_candidates (baseline, service);
  if (candidates->len == 0)
    return NULL;
  guint turn = baseline->next++;
  switch (baseline->mode)
    {
    case BASELINE_LEAST_OUTSTANDING:
      return choose_least_outstanding (candidates, turn);
    case BASELINE_PREFIX_HASH:
      return choose_by_prefix (candidates, prompt);
    case BASELINE_ROUND_ROBIN:
    default:
      return candidates->pdata[turn % candidates->len];
    }
}
