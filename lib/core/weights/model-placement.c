/*
 * model-placement.c: assigns each worker to one model, or to the reserve.
 */
#include "core/weights/model-placement.h"

#include <math.h>

/* Time for which a model keeps its full demand after its last step, us.  Longer than the deadline of a step
 * (12 s). */
#define DEMAND_DECAY_DELAY_US (15 * G_USEC_PER_SEC)
/* Half-life of the demand after that time, us. */
#define DEMAND_HALF_LIFE_US (12 * G_USEC_PER_SEC)
/* Shortest time between two moves of workers of any service, us. */
#define MOVE_INTERVAL_US (2 * G_USEC_PER_SEC)
/* Weight of the newest step in the moving averages of a model's tokens and lateness. */
#define NEWEST_STEP_WEIGHT 0.5
/* Lower limit of the lateness of a single step. */
#define LATENESS_MIN 0.5
/* Upper limit of the lateness of a single step.  A step that could not run at all, for instance while there
 * was no leader or no store, does not show how many workers the model needs. */
#define LATENESS_MAX 2.0
/* Minimum deficit, in workers, at which a model gets a worker from another model or keeps one that has loaded
 * it.  The threshold prevents workers from moving back and forth. */
#define DEFICIT_MIN 0.6
/* Minimum surplus, in workers, at which a model gives up a worker to another model. */
#define SURPLUS_MIN 0.4
/* Minimum deficit, in workers, at which a model gets a worker from the reserve; excludes rounding errors. */
#define RESERVE_DEFICIT_MIN 0.01
/* Smallest target of each model if there are enough workers, since one may be slow or lost. */
#define WORKERS_PER_MODEL_MIN 2
/* Half-life of the recorded peak of a model's open samples, us. */
#define PEAK_HALF_LIFE_US (60 * G_USEC_PER_SEC)
/* Factor of headroom above that peak when the number of workers of a model is limited. */
#define PEAK_HEADROOM 1.5
/* Number of workers that a model may have in addition to the workers that its samples can fill. */
#define SPARE_WORKERS_PER_MODEL 2
/* Minimum surplus, in workers, at which a model returns a worker to the reserve; above
 * SPARE_WORKERS_PER_MODEL. */
#define RELEASE_SURPLUS_MIN 3
/* Time after which the assignment of a worker that is no longer listed is dropped, us. */
#define ASSIGNMENT_RETENTION_US (60 * G_USEC_PER_SEC)

typedef struct
{
  double tokens;   /* average per step, which does not depend on how often steps are submitted */
  double peak;     /* open samples at the same time */
  double lateness; /* average duration of a step divided by its deadline; 0: no step has ended */
  gint64 last_step_us;
} Demand;

typedef struct
{
  const char *model; /* interned */
  gint64 last_listed_us;
} Assignment;

struct _QuinceModelPlacement
{
  GHashTable *demands;     /* Demand by model, owned */
  GHashTable *assignments; /* Assignment by worker id, owned */
  gint64 next_move_us;
};

/* Target and current number of workers of one model during an assignment. */
typedef struct
{
  const char *model; /* interned */
  double target_workers;
  guint assigned_workers;
} ModelShare;

QuinceModelPlacement *
quince_model_placement_new (void)
{
  QuinceModelPlacement *placement = g_new0 (QuinceModelPlacement, 1);
  placement->demands = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  placement->assignments = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return placement;
}

void
quince_model_placement_free (QuinceModelPlacement *placement)
{
  if (placement == NULL)
    return;
  g_hash_table_unref (placement->demands);
  g_hash_table_unref (placement->assignments);
  g_free (placement);
}

static double
get_demand (QuinceModelPlacement *placement, gint64 now_us, const char *model)
{
  const Demand *demand = g_hash_table_lookup (placement->demands, model);
  if (demand == NULL)
    return 0;
  gint64 idle_us = MAX (now_us - demand->last_step_us - DEMAND_DECAY_DELAY_US, 0);
  return demand->tokens * exp2 (-(double)idle_us / DEMAND_HALF_LIFE_US);
}

static double
get_peak (QuinceModelPlacement *placement, gint64 now_us, const char *model)
{
  const Demand *demand = g_hash_table_lookup (placement->demands, model);
  return demand != NULL ? demand->peak * exp2 (-(double)(now_us - demand->last_step_us) / PEAK_HALF_LIFE_US)
                        : 0;
}

static double
get_lateness (QuinceModelPlacement *placement, const char *model)
{
  const Demand *demand = g_hash_table_lookup (placement->demands, model);
  return demand != NULL && demand->lateness > 0 ? demand->lateness : 1;
}

static double
update_average (double previous, double newest_value)
{
  return previous > 0 ? previous + NEWEST_STEP_WEIGHT * (newest_value - previous) : newest_value;
}

void
quince_model_placement_record_step (QuinceModelPlacement *placement,
                                    const char *model,
                                    gint64 took_us,
                                    gint64 allowed_us)
{
  Demand *demand = g_hash_table_lookup (placement->demands, model);
  if (demand == NULL || allowed_us <= 0)
    return;
  double lateness = CLAMP ((double)took_us / (double)allowed_us, LATENESS_MIN, LATENESS_MAX);
  demand->lateness = update_average (demand->lateness, lateness);
}

void
quince_model_placement_add_demand (QuinceModelPlacement *placement,
                                   gint64 now_us,
                                   const char *model,
                                   double tokens,
                                   guint samples)
{
  const Demand *previous = g_hash_table_lookup (placement->demands, model);
  const Demand next = { .tokens = update_average (get_demand (placement, now_us, model), tokens),
                        .peak = MAX (get_peak (placement, now_us, model), samples),
                        .lateness = previous != NULL ? previous->lateness : 0,
                        .last_step_us = now_us };
  g_hash_table_replace (placement->demands, g_strdup (model), g_memdup2 (&next, sizeof next));
}

const char *
quince_model_placement_get (QuinceModelPlacement *placement, const char *worker)
{
  const Assignment *assignment = g_hash_table_lookup (placement->assignments, worker);
  return assignment != NULL ? assignment->model : NULL;
}

/* ---- Shares ----------------------------------------------------------- */

static double
get_weighted_demand (QuinceModelPlacement *placement, gint64 now_us, const char *model)
{
  return get_demand (placement, now_us, model) * get_lateness (placement, model);
}

/* Sets the target of each model in proportion to its demand. */
static void
compute_targets (QuinceModelPlacement *placement, gint64 now_us, GArray *shares, guint n_workers)
{
  double total = 0;
  for (guint i = 0; i < shares->len; i++)
    total += get_weighted_demand (placement, now_us, g_array_index (shares, ModelShare, i).model);
  guint min_workers = n_workers >= WORKERS_PER_MODEL_MIN * shares->len ? WORKERS_PER_MODEL_MIN : 1;
  double distributable_workers = (double)n_workers - (double)min_workers * shares->len;
  for (guint i = 0; i < shares->len; i++)
    {
      ModelShare *share = &g_array_index (shares, ModelShare, i);
      double demand_share
          = total > 0 ? get_weighted_demand (placement, now_us, share->model) / total : 1.0 / shares->len;
      share->target_workers = MAX (demand_share * n_workers, min_workers);
    }
  /* Models above the minimum give up, in proportion, the workers that the others need to reach it. */
  double total_above_min = 0;
  for (guint i = 0; i < shares->len; i++)
    total_above_min += g_array_index (shares, ModelShare, i).target_workers - min_workers;
  for (guint i = 0; i < shares->len && total_above_min > 0 && distributable_workers >= 0; i++)
    {
      ModelShare *share = &g_array_index (shares, ModelShare, i);
      share->target_workers
          = min_workers + (share->target_workers - min_workers) * distributable_workers / total_above_min;
    }
}

/* Limits the target of each model to the workers that its samples can fill. */
static void
cap_targets (QuinceModelPlacement *placement, gint64 now_us, GArray *shares, guint slots)
{
  for (guint i = 0; i < shares->len; i++)
    {
      ModelShare *share = &g_array_index (shares, ModelShare, i);
      double peak = get_peak (placement, now_us, share->model);
      if (peak > 0)
        share->target_workers = MIN (share->target_workers,
                                     ceil (peak * PEAK_HEADROOM / MAX (slots, 1)) + SPARE_WORKERS_PER_MODEL);
    }
}

static ModelShare *
find_share (GArray *shares, const char *model)
{
  for (guint i = 0; i < shares->len; i++)
    if (g_strcmp0 (g_array_index (shares, ModelShare, i).model, model) == 0)
      return &g_array_index (shares, ModelShare, i);
  return NULL;
}

static ModelShare *
find_largest_deficit (GArray *shares)
{
  ModelShare *found = NULL;
  for (guint i = 0; i < shares->len; i++)
    {
      ModelShare *share = &g_array_index (shares, ModelShare, i);
      if (found == NULL
          || share->target_workers - share->assigned_workers
                 > found->target_workers - found->assigned_workers)
        found = share;
    }
  return found;
}

static ModelShare *
find_largest_surplus (GArray *shares)
{
  ModelShare *found = NULL;
  for (guint i = 0; i < shares->len; i++)
    {
      ModelShare *share = &g_array_index (shares, ModelShare, i);
      if (found == NULL
          || share->assigned_workers - share->target_workers
                 > found->assigned_workers - found->target_workers)
        found = share;
    }
  return found;
}

/* ---- Placement ------------------------------------------------------------ */

static void
set_assignment (QuinceModelPlacement *placement,
                gint64 now_us,
                QuincePlacementWorker *worker,
                ModelShare *share)
{
  Assignment *assignment = g_new0 (Assignment, 1);
  assignment->model = share->model;
  assignment->last_listed_us = now_us;
  g_hash_table_replace (placement->assignments, g_strdup (worker->id), assignment);
  worker->model = share->model;
  share->assigned_workers++;
}

/* Returns the share of an interned model name, or NULL if the service does not have the model. */
static ModelShare *
find_share_of_interned (GArray *shares, const char *model)
{
  for (guint i = 0; i < shares->len; i++)
    if (g_array_index (shares, ModelShare, i).model == model)
      return &g_array_index (shares, ModelShare, i);
  return NULL;
}

/* Sets the model of each worker, counts the workers of each model and drops assignments that have expired. */
static void
look_up_assignments (QuinceModelPlacement *placement, gint64 now_us, GArray *shares, GArray *workers)
{
  for (guint i = 0; i < workers->len; i++)
    {
      QuincePlacementWorker *worker = &g_array_index (workers, QuincePlacementWorker, i);
      Assignment *assignment = g_hash_table_lookup (placement->assignments, worker->id);
      ModelShare *share = assignment != NULL ? find_share_of_interned (shares, assignment->model) : NULL;
      worker->model = share != NULL ? share->model : NULL;
      if (share == NULL)
        continue;
      assignment->last_listed_us = now_us;
      share->assigned_workers++;
    }
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, placement->assignments);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_us - ((const Assignment *)value)->last_listed_us > ASSIGNMENT_RETENTION_US)
      g_hash_table_iter_remove (&iter);
}

/* Assigns workers without a model that have loaded one to that model, if it lacks workers. */
static void
assign_as_loaded (QuinceModelPlacement *placement, gint64 now_us, GArray *shares, GArray *workers)
{
  for (guint i = 0; i < workers->len; i++)
    {
      QuincePlacementWorker *worker = &g_array_index (workers, QuincePlacementWorker, i);
      if (worker->model != NULL || worker->loaded_model == NULL)
        continue;
      ModelShare *share = find_share (shares, worker->loaded_model);
      if (share != NULL && share->target_workers - share->assigned_workers >= DEFICIT_MIN)
        set_assignment (placement, now_us, worker, share);
    }
}

/* Assigns workers without a model to the models with the largest deficits, until none lacks workers. */
static void
assign_from_reserve (QuinceModelPlacement *placement, gint64 now_us, GArray *shares, GArray *workers)
{
  for (guint i = 0; i < workers->len; i++)
    {
      QuincePlacementWorker *worker = &g_array_index (workers, QuincePlacementWorker, i);
      if (worker->model != NULL)
        continue;
      ModelShare *share = find_largest_deficit (shares);
      if (share->target_workers - share->assigned_workers < RESERVE_DEFICIT_MIN)
        return;
      set_assignment (placement, now_us, worker, share);
    }
}

/* Returns a worker that is assigned to the model of @share, or NULL if there is none. */
static QuincePlacementWorker *
find_assigned_worker (const ModelShare *share, GArray *workers)
{
  for (guint i = 0; i < workers->len; i++)
    {
      QuincePlacementWorker *worker = &g_array_index (workers, QuincePlacementWorker, i);
      if (worker->model == share->model)
        return worker;
    }
  return NULL;
}

/* Moves one worker from the model with the largest surplus to the one with the largest deficit, or to the
 * reserve. */
static void
move_worker (QuinceModelPlacement *placement, gint64 now_us, GArray *shares, GArray *workers)
{
  ModelShare *destination = find_largest_deficit (shares);
  ModelShare *source = find_largest_surplus (shares);
  gboolean has_deficit = destination->target_workers - destination->assigned_workers >= DEFICIT_MIN
                         && source->assigned_workers - source->target_workers >= SURPLUS_MIN;
  gboolean is_releasable = source->assigned_workers - source->target_workers >= RELEASE_SURPLUS_MIN;
  if ((!has_deficit && !is_releasable) || now_us < placement->next_move_us)
    return;
  QuincePlacementWorker *worker = find_assigned_worker (source, workers);
  if (worker == NULL)
    return;
  if (has_deficit)
    set_assignment (placement, now_us, worker, destination);
  else
    {
      g_hash_table_remove (placement->assignments, worker->id);
      worker->model = NULL;
    }
  placement->next_move_us = now_us + MOVE_INTERVAL_US;
}

void
quince_model_placement_assign (QuinceModelPlacement *placement,
                               gint64 now_us,
                               const GPtrArray *models,
                               GArray *workers,
                               guint slots)
{
  if (models->len == 0)
    return;
  g_autoptr (GArray) shares = g_array_new (FALSE, FALSE, sizeof (ModelShare));
  for (guint i = 0; i < models->len; i++)
    {
      const ModelShare share = { .model = g_intern_string (models->pdata[i]) };
      g_array_append_val (shares, share);
    }
  look_up_assignments (placement, now_us, shares, workers);
  compute_targets (placement, now_us, shares, workers->len);
  cap_targets (placement, now_us, shares, slots);
  assign_as_loaded (placement, now_us, shares, workers);
  assign_from_reserve (placement, now_us, shares, workers);
  move_worker (placement, now_us, shares, workers);
}
