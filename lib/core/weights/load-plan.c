/*
 * load-plan.c: decides whether a worker loads new weights now or after its current work.
 */
#include "core/weights/load-plan.h"

/* Minimum expected duration of a run that defers the load of its worker, us.  A load stops the worker's runs
 * for about a second, and a long run may be the last one of its step.  Deferring loads for runs of twice the
 * duration of a load shortens a step from 8.0 to 7.0 s (unit test load-plan). */
#define LONG_RUN_MIN_US (2 * G_USEC_PER_SEC)
/* Time after the announcement of a version during which usable workers do not load it, us.  The samples of
 * the trainer's next batch arrive after 0.1 to 0.3 s and need workers that accept them. */
#define NEXT_STEP_WAIT_US (400 * 1000)
/* Longest time for which a load is deferred, us: about two training steps.  One more version would make the
 * worker unusable. */
#define DEFER_MAX_US (8 * G_USEC_PER_SEC)
/* Number of versions by which a worker may be behind and still serve the next step. */
#define VERSIONS_BEHIND_MAX 1

typedef struct
{
  guint64 minimum_version_needed; /* highest minimum version of all open samples */
  guint waiting_samples;          /* could start now, but have no worker yet */
} ModelWork;

struct _QuinceLoadPlan
{
  GHashTable *models;       /* ModelWork by model, both owned */
  GHashTable *longest_runs; /* gint64 by worker id, both owned: expected duration of the longest run, us */
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

/* Returns TRUE if the worker can run all open samples of the model and the samples of the next step. */
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
