/*
 * worker-choice.c: which workers may take a request, which of them the policy scores, and which one is
 * chosen.
 */
#include "core/decisions/worker-choice.h"

#include <math.h>

/* How often per second a process may fill all slots of a warm worker with samples: enough for samples that
 * run for 0.5 s or longer. */
#define WARM_REFILLS_PER_SECOND 2
/* Without a limit on running requests, a returning worker is a candidate in its share of each group of this
 * many consecutive choices. */
#define RETURNING_SHARE_STEPS 8
/* A worker is lightly loaded by a process whose requests take less than this part of its slots: others use
 * the rest. */
#define LIGHT_LOAD_DIVISOR 2

gboolean
quince_choice_was_tried (const QuinceWorker *worker, const QuinceWorkerRequirements *requirements)
{
  return requirements->avoid != NULL && g_hash_table_contains (requirements->avoid, worker->id);
}

static gboolean
has_weights (const QuinceWorker *worker, const QuinceWorkerRequirements *requirements)
{
  guint64 version = quince_worker_get_version (worker, requirements->model);
  return version > 0 && version >= requirements->minimum_version;
}

gboolean
quince_choice_is_suitable (const QuinceWorker *worker,
                           gint64 now_us,
                           const QuinceWorkerRequirements *requirements)
{
  if (worker->draining || (worker->expires_us != 0 && now_us >= worker->expires_us))
    return FALSE;
  if (quince_choice_was_tried (worker, requirements))
    return FALSE;
  return requirements->model == NULL || (!worker->loading && has_weights (worker, requirements));
}

gboolean
quince_choice_has_capacity (const QuinceWorker *worker, const QuinceWorkerRequirements *requirements)
{
  return requirements->running_max == 0 || worker->running < requirements->running_max;
}

gboolean
quince_choice_is_preferred (const QuinceWorker *worker, gint64 now_us)
{
  return now_us >= worker->ejected_until_us && worker->expires_us == 0;
}

guint
quince_choice_cold_limit (guint limit, gboolean is_cold, gboolean is_sample, guint slots)
{
  if (is_cold)
    return limit;
  return is_sample ? MAX (limit, WARM_REFILLS_PER_SECOND * slots) : G_MAXUINT;
}

gboolean
quince_choice_is_returning_candidate (double share, guint running, guint running_max, guint turn)
{
  if (running_max > 0)
    return running < (guint)ceil (share * running_max);
  return turn % RETURNING_SHARE_STEPS < (guint)lround (share * RETURNING_SHARE_STEPS);
}

gboolean
quince_choice_compares_all (guint n_workers, gboolean has_returning_zone)
{
  return n_workers <= QUINCE_CHOICE_COMPARE_ALL_MAX || has_returning_zone;
}

guint
quince_choice_subset_start (guint32 seed, guint n_workers)
{
  return (guint)(((guint64)seed * n_workers) >> 32);
}

gboolean
quince_choice_is_lightly_loaded (const QuinceWorker *worker)
{
  return worker->running < MAX (worker->slots, LIGHT_LOAD_DIVISOR) / LIGHT_LOAD_DIVISOR;
}

guint
quince_choice_pick_candidates (const GPtrArray *eligible,
                               guint start_index,
                               const char *affinity_id,
                               guint candidates_max,
                               QuinceWorker **candidates)
{
  guint count = MIN (eligible->len, candidates_max);
  gboolean has_affinity_worker = affinity_id == NULL;
  for (guint i = 0; i < count; i++)
    {
      candidates[i] = eligible->pdata[(start_index + i) % eligible->len];
      has_affinity_worker = has_affinity_worker || g_str_equal (candidates[i]->id, affinity_id);
    }
  for (guint i = count; i < eligible->len && !has_affinity_worker; i++)
    {
      QuinceWorker *worker = eligible->pdata[(start_index + i) % eligible->len];
      has_affinity_worker = g_str_equal (worker->id, affinity_id);
      if (has_affinity_worker)
        candidates[0] = worker;
    }
  return count;
}

gint
quince_choice_best_score (const double *scores, guint n_scores)
{
  gint best = -1;
  for (guint i = 0; i < n_scores; i++)
    if (isfinite (scores[i]) && (best < 0 || scores[i] > scores[best]))
      best = (gint)i;
  return best;
}

QuinceBackendOutcome
quince_choice_outcome (const QuinceChoiceFacts *facts)
{
  if (facts->found)
    return QUINCE_BACKEND_CHOSEN;
  if (facts->limited && !facts->full)
    return QUINCE_BACKEND_COLD;
  if (facts->suitable)
    return QUINCE_BACKEND_FULL;
  return facts->evacuated && !facts->tried ? QUINCE_BACKEND_EVACUATED : QUINCE_BACKEND_NONE;
}
