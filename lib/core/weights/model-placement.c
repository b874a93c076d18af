/*
 * model-placement.c: which model each worker serves, and which are in reserve.
 */
#include "core/weights/model-placement.h"

#include <math.h>

/* Time after its last step from which on a model's demand fades, us.  Not measured: above the deadline of a
 * step (12 s). */
#define DEMAND_KEEP_US (15 * G_USEC_PER_SEC)
/* Time in which it halves then, us.  Not measured. */
#define DEMAND_HALF_LIFE_US (12 * G_USEC_PER_SEC)
/* Time between two moves of workers, us.  Not measured. */
#define MOVE_INTERVAL_US (2 * G_USEC_PER_SEC)
/* Weight of the newest step in the smoothed work and lateness of a model's steps.  Not measured. */
#define NEWEST_STEP_WEIGHT 0.5
/* Least lateness of a step that counts, as a part of its deadline.  Not measured. */
#define LATENESS_MIN 0.5
/* Greatest such lateness: a step that could not run at all (a leader lost, the store away) says little of the
 * workers that its model needs.  Not measured. */
#define LATENESS_MAX 2.0
/* Part of a worker that a model must lack before one moves to it.  Not measured: keeps workers from moving to
 * and fro. */
#define DEFICIT_MIN 0.6
/* Part of a worker that the other model must have beyond its share.  Not measured. */
#define SURPLUS_MIN 0.4
/* Part of a worker that a model must lack to get one from the reserve: anything at all. */
#define RESERVE_DEFICIT_MIN 0.01
/* Workers of every model where there are enough: one may be slow or lost.  Not measured. */
#define WORKERS_PER_MODEL_MIN 2
/* Time in which the remembered peak of a model's samples halves, us.  Not measured. */
#define PEAK_HALF_LIFE_US (60 * G_USEC_PER_SEC)
/* Room above that peak, as a factor.  Not measured. */
#define PEAK_HEADROOM 1.5
/* Workers of a model beyond what its samples can fill.  Not measured. */
#define SPARE_WORKERS 2
/* Workers beyond its share from which on one goes to the reserve.  Not measured: more than the spare ones. */
#define RELEASE_SURPLUS_MIN 3
/* Time after which the placement of a worker that is not listed is forgotten, us.  Not measured. */
#define ASSIGNMENT_KEEP_US (60 * G_USEC_PER_SEC)

typedef struct
{
  double tokens; /* of a step; not of a second: a late trainer asks for fewer steps, not for fewer workers */
  double peak;   /* samples at once */
  double lateness; /* time that a step takes, as a part of the time allowed; 0: none has ended */
  gint64 last_step_us;
} Demand;

typedef struct
{
  char *model;
  gint64 last_listed_us;
} Assignment;

struct _QuinceModelPlacement
{
  GHashTable *demands;     /* Demand by model, owned */
  GHashTable *assignments; /* Assignment by worker id, owned */
  gint64 next_move_us;
};

/* One model while placement are dealt out. */
typedef struct
{
  const char *model;
  double target_workers;
  guint assigned_workers;
} ModelShare;

static void
assignment_free (gpointer data)
{
  Assignment *assignment = data;
  g_free (assignment->model);
  g_free (assignment);
}

QuinceModelPlacement *
quince_model_placement_new (void)
{
  QuinceModelPlacement *placement = g_new0 (QuinceModelPlacement, 1);
  placement->demands = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  placement->assignments = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, assignment_free);
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
  gint64 idle_us = MAX (now_us - demand->last_step_us - DEMAND_KEEP_US, 0);
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

/* Workers that each model should have, by its part of the demand. */
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
  /* What the least shares take, the others give up in proportion. */
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

/* No model gets more workers than its samples can fill. */
static void
cap_targets (QuinceModelPlacement *placement, gint64 now_us, GArray *shares, guint slots)
{
  for (guint i = 0; i < shares->len; i++)
    {
      ModelShare *share = &g_array_index (shares, ModelShare, i);
      double peak = get_peak (placement, now_us, share->model);
      if (peak > 0)
        share->target_workers
            = MIN (share->target_workers, ceil (peak * PEAK_HEADROOM / MAX (slots, 1)) + SPARE_WORKERS);
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
set_assignment (QuinceModelPlacement *placement, gint64 now_us, const char *worker, ModelShare *share)
{
  Assignment *assignment = g_new0 (Assignment, 1);
  assignment->model = g_strdup (share->model);
  assignment->last_listed_us = now_us;
  g_hash_table_replace (placement->assignments, g_strdup (worker), assignment);
  share->assigned_workers++;
}

/* Counts the workers of each model, and forgets workers that are gone for long. */
static void
count_assigned (QuinceModelPlacement *placement, gint64 now_us, GArray *shares, const GArray *workers)
{
  for (guint i = 0; i < workers->len; i++)
    {
      Assignment *assignment = g_hash_table_lookup (placement->assignments,
                                                    g_array_index (workers, QuincePlacementWorker, i).id);
      ModelShare *share = assignment != NULL ? find_share (shares, assignment->model) : NULL;
      if (share == NULL)
        continue;
      assignment->last_listed_us = now_us;
      share->assigned_workers++;
    }
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, placement->assignments);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_us - ((const Assignment *)value)->last_listed_us > ASSIGNMENT_KEEP_US)
      g_hash_table_iter_remove (&iter);
}

/* Models for workers without one, while a model lacks some: with what they hold, then with any. */
static void
assign_unassigned (QuinceModelPlacement *placement,
                   gint64 now_us,
                   GArray *shares,
                   const GArray *workers,
                   gboolean as_loaded)
{
  for (guint i = 0; i < workers->len; i++)
    {
      const QuincePlacementWorker *worker = &g_array_index (workers, QuincePlacementWorker, i);
      if (find_share (shares, quince_model_placement_get (placement, worker->id)) != NULL)
        continue;
      ModelShare *share
          = as_loaded ? find_share (shares, worker->loaded_model) : find_largest_deficit (shares);
      if (share != NULL
          && share->target_workers - share->assigned_workers
                 >= (as_loaded ? DEFICIT_MIN : RESERVE_DEFICIT_MIN))
        set_assignment (placement, now_us, worker->id, share);
    }
}

/* Some worker whose model is @share's model. */
static const char *
find_assigned_worker (QuinceModelPlacement *placement, const ModelShare *share, const GArray *workers)
{
  for (guint i = 0; i < workers->len; i++)
    {
      const char *worker = g_array_index (workers, QuincePlacementWorker, i).id;
      if (g_strcmp0 (quince_model_placement_get (placement, worker), share->model) == 0)
        return worker;
    }
  return NULL;
}

static void
move_worker (QuinceModelPlacement *placement, gint64 now_us, GArray *shares, const GArray *workers)
{
  ModelShare *destination = find_largest_deficit (shares);
  ModelShare *source = find_largest_surplus (shares);
  gboolean has_deficit = destination->target_workers - destination->assigned_workers >= DEFICIT_MIN
                         && source->assigned_workers - source->target_workers >= SURPLUS_MIN;
  gboolean is_releasable = source->assigned_workers - source->target_workers >= RELEASE_SURPLUS_MIN;
  const char *worker
      = has_deficit || is_releasable ? find_assigned_worker (placement, source, workers) : NULL;
  if (worker == NULL || now_us < placement->next_move_us)
    return;
  if (has_deficit)
    set_assignment (placement, now_us, worker, destination);
  else
    g_hash_table_remove (placement->assignments, worker);
  placement->next_move_us = now_us + MOVE_INTERVAL_US;
}

void
quince_model_placement_assign (QuinceModelPlacement *placement,
                               gint64 now_us,
                               const GPtrArray *models,
                               const GArray *workers,
                               guint slots)
{
  if (models->len == 0)
    return;
  g_autoptr (GArray) shares = g_array_new (FALSE, FALSE, sizeof (ModelShare));
  for (guint i = 0; i < models->len; i++)
    {
      const ModelShare share = { .model = models->pdata[i] };
      g_array_append_val (shares, share);
    }
  count_assigned (placement, now_us, shares, workers);
  compute_targets (placement, now_us, shares, workers->len);
  cap_targets (placement, now_us, shares, slots);
  assign_unassigned (placement, now_us, shares, workers, TRUE);
  assign_unassigned (placement, now_us, shares, workers, FALSE);
  move_worker (placement, now_us, shares, workers);
}
