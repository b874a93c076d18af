/*
 * load-plan.c: loads of weights beside the samples that run and wait.
 */
#include "core/weights/load-plan.h"

/* Duration of a run, us, from which on its worker's load waits: it may be the last run of its step, and a
 * load under it makes the step later by as much.  Twice the second that a load takes; measured with the whole
 * rule: 7.0 s in place of 8.0 s for a step (unit test load-plan). */
#define LONG_RUN_MIN_US (2 * G_USEC_PER_SEC)
/* Time after a version was named in which no worker that still serves loads it, us: the trainer's next batch
 * comes 0.1 to 0.3 s later, and its samples are to find the workers open. */
#define NEXT_STEP_WAIT_US (400 * 1000)
/* Longest time for which a load waits, us: the next version would make the worker useless all at once.  Not
 * measured: about two steps of the users' trainers. */
#define DEFER_MAX_US (8 * G_USEC_PER_SEC)
/* Versions that a worker may be behind and still serve the next step: the users' trainers allow one. */
#define VERSIONS_BEHIND_MAX 1

typedef struct
{
  guint64 minimum_version_needed; /* by the newest step that is open */
  guint waiting_samples;
} ModelWork;

struct _QuinceLoadPlan
{
  GHashTable *models;       /* ModelWork by model, both owned */
  GHashTable *longest_runs; /* worker id to gint64, both owned: duration of its longest run, us */
};

QuinceLoadPlan *
quince_load_plan_new (void)
{
  QuinceLoadPlan *plan = g_new0 (QuinceLoadPlan, 1);
  plan->models = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  plan->longest_runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return plan;
}

void
quince_load_plan_free (QuinceLoadPlan *plan)
{
  if (plan == NULL)
    return;
  g_hash_table_unref (plan->models);
  g_hash_table_unref (plan->longest_runs);
  g_free (plan);
}

void
quince_load_plan_record_sample (QuinceLoadPlan *plan,
                                const char *model,
                                guint64 minimum_version,
                                gboolean is_waiting)
{
  ModelWork *work = g_hash_table_lookup (plan->models, model);
  if (work == NULL)
    {
      work = g_new0 (ModelWork, 1);
      g_hash_table_insert (plan->models, g_strdup (model), work);
    }
  work->minimum_version_needed = MAX (work->minimum_version_needed, minimum_version);
  work->waiting_samples += is_waiting;
}

void
quince_load_plan_record_run (QuinceLoadPlan *plan, const char *worker, gint64 duration_us)
{
  gint64 *longest_us = g_hash_table_lookup (plan->longest_runs, worker);
  if (longest_us == NULL)
    g_hash_table_insert (plan->longest_runs, g_strdup (worker), g_memdup2 (&duration_us, sizeof duration_us));
  else
    *longest_us = MAX (*longest_us, duration_us);
}

/* Open samples can run there, and so can samples of the next step. */
static gboolean
can_serve_next_step (const ModelWork *work, const QuincePendingLoad *load)
{
  return load->loaded_version > 0 && load->wanted_version - load->loaded_version <= VERSIONS_BEHIND_MAX
         && (work == NULL || load->loaded_version >= work->minimum_version_needed);
}

gboolean
quince_load_plan_should_defer (const QuinceLoadPlan *plan, const QuincePendingLoad *load)
{
  const ModelWork *work = g_hash_table_lookup (plan->models, load->model);
  const gint64 *longest_us = g_hash_table_lookup (plan->longest_runs, load->worker);
  if (!can_serve_next_step (work, load) || load->version_age_us >= DEFER_MAX_US)
    return FALSE;
  return load->version_age_us < NEXT_STEP_WAIT_US || (work != NULL && work->waiting_samples > 0)
         || (longest_us != NULL && *longest_us >= LONG_RUN_MIN_US);
}
