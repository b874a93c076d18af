/*
 * experiment-run.c: one run of one contender on a freshly started deployment.
 */
#include "experiment.h"

#include <quince/task.h>

#include "cluster-parts.h"
#include "cluster-router.h"
#include "event-run.h"
#include "http-sync.h"

#define LOAD_BOUND_MS 20000
#define TRAINING_TIMEOUT_US (60 * G_USEC_PER_SEC)
#define POLL_US 20000
#define FAULT_AFTER_MS 300 /* from the start of the event */
#define FAULT_LASTS_MS 3000

static const char *const contenders[]
    = { "round_robin", "least_outstanding", "prefix_hash", QUINCE_EXPERIMENT_SERVICE, NULL };

/* Faults of the first engine, or of the key-value service. */
static const struct
{
  const char *name;
  QuincePartKind part;
  const char *set;
  const char *clear;
} faults[] = {
  { "none", QUINCE_PART_ENGINE, NULL, NULL },
  { "engine_crash", QUINCE_PART_ENGINE, "{\"crash_ms\":3000}", NULL },
  { "slow_engine", QUINCE_PART_ENGINE, "{\"slow_factor\":4}", "{\"slow_factor\":1}" },
  { "kv_outage", QUINCE_PART_KV, "{\"outage\":true}", "{\"outage\":false}" },
};

gboolean
quince_experiment_is_contender (const char *name)
{
  return g_strv_contains (contenders, name);
}

gboolean
quince_experiment_is_fault (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (faults); i++)
    if (g_str_equal (faults[i].name, name))
      return TRUE;
  return FALSE;
}

/* ---- Faults -------------------------------------------------------------------- */

typedef struct
{
  const char *control; /* ip:port */
  const char *set;
  const char *clear;
  gint64 start_us;
} FaultJob;

static void
sleep_until (gint64 time_us)
{
  gint64 now_us = quince_now_us ();
  if (time_us > now_us)
    g_usleep ((gulong)(time_us - now_us));
}

/* On a thread of its own: the load runs on the main one. */
static gpointer
make_fault (gpointer data)
{
  const FaultJob *job = data;
  sleep_until (job->start_us + FAULT_AFTER_MS * 1000);
  if (job->set != NULL)
    quince_set_faults (job->control, job->set);
  sleep_until (job->start_us + (FAULT_AFTER_MS + FAULT_LASTS_MS) * 1000);
  if (job->clear != NULL)
    quince_set_faults (job->control, job->clear);
  return NULL;
}

static FaultJob
plan_fault (QuinceCluster *cluster, const char *name, gint64 start_us)
{
  guint place = 0;
  for (guint i = 0; i < G_N_ELEMENTS (faults); i++)
    if (g_str_equal (faults[i].name, name))
      place = i;
  QuinceClusterPart *part = quince_cluster_get (cluster, faults[place].part, 0);
  return (FaultJob){ part->control, faults[place].set, faults[place].clear, start_us };
}

/* ---- Starting ------------------------------------------------------------------ */

static void
add_argument (QuinceClusterPart *part, const char *argument)
{
  g_ptr_array_add (part->arguments, g_strdup (argument));
}

static gboolean
start_trainers (QuinceCluster *cluster, guint64 seed, GError **error)
{
  g_autofree char *seed_text = g_strdup_printf ("%" G_GUINT64_FORMAT, seed);
  for (guint i = 0; i < cluster->deployment->trainers->len; i++)
    {
      const QuinceTrainerPlan *plan = cluster->deployment->trainers->pdata[i];
      QuinceClusterPart *part = quince_part_new (QUINCE_PART_TRAINER, plan->name, "", plan->service);
      g_ptr_array_add (cluster->parts, part);
      quince_part_set_trainer_flags (cluster, part, plan);
      add_argument (part, "--seed");
      add_argument (part, seed_text);
      if (!quince_part_spawn (cluster, part, error) || !quince_part_await (part, error))
        return FALSE;
    }
  return TRUE;
}

/* The service whole, or the platform and the engines with a plain router. */
static QuinceCluster *
start_contender (const QuinceExperimentPlan *plan, GError **error)
{
  QuinceDeployment *deployment = quince_deployment_load (plan->deployment, error);
  if (deployment == NULL)
    return NULL;
  gboolean is_service = g_str_equal (plan->contender, QUINCE_EXPERIMENT_SERVICE);
  if (!is_service)
    quince_deployment_remove_service (deployment);
  g_autoptr (QuinceCluster) cluster = quince_cluster_start (plan->build, plan->folder, deployment, error);
  if (cluster == NULL)
    return NULL;
  if (!is_service)
    return quince_cluster_add_routers (cluster, plan->contender, error) ? g_steal_pointer (&cluster) : NULL;
  if (quince_event_run_accept_policy (cluster, "experiment"))
    return g_steal_pointer (&cluster);
  g_set_error_literal (error, QUINCE_PROCESS_ERROR, QUINCE_PROCESS_ERROR_TIMEOUT,
                       "the policy is not in force everywhere");
  return NULL;
}

/* ---- Running ------------------------------------------------------------------- */

/* Start of the event; the service is told of it, a plain router has nobody to tell. */
static gint64
begin_event (QuinceCluster *cluster, const char *contender)
{
  if (g_str_equal (contender, QUINCE_EXPERIMENT_SERVICE))
    return quince_event_run_create_event (cluster);
  gint64 after_s = ((gint64)cluster->deployment->event_after_ms + 999) / 1000;
  return quince_now_us () + after_s * G_USEC_PER_SEC;
}

static gboolean
await_training (QuinceCluster *cluster)
{
  gint64 end = quince_now_us () + TRAINING_TIMEOUT_US;
  gint64 wanted = 0;
  while (quince_experiment_count_steps (cluster, &wanted) < wanted)
    {
      if (quince_now_us () > end)
        return FALSE;
      g_usleep (POLL_US);
    }
  return TRUE;
}

QuinceExperimentResult *
quince_experiment_run (const QuinceExperimentPlan *plan, GError **error)
{
  g_autoptr (QuinceCluster) cluster = start_contender (plan, error);
  if (cluster == NULL)
    return NULL;
  gint64 start_us = begin_event (cluster, plan->contender);
  gint64 trainers_us = quince_now_us ();
  if (start_us == 0)
    g_set_error_literal (error, QUINCE_PROCESS_ERROR, QUINCE_PROCESS_ERROR_START,
                         "the event was not created");
  if (start_us == 0 || !start_trainers (cluster, plan->seed, error))
    return NULL;
  FaultJob job = plan_fault (cluster, plan->fault, start_us);
  g_autoptr (GThread) thread = g_thread_new ("fault", make_fault, &job);
  g_autoptr (QuinceLoad) load = quince_load_new (plan->seed);
  quince_event_run_add_burst (cluster, load, start_us);
  quince_load_run (load, LOAD_BOUND_MS);
  g_thread_join (g_steal_pointer (&thread));
  QuinceExperimentResult *result = g_new0 (QuinceExperimentResult, 1);
  result->deployment = g_strdup (cluster->deployment->name);
  result->contender = g_strdup (plan->contender);
  result->fault = g_strdup (plan->fault);
  result->seed = plan->seed;
  result->complete = await_training (cluster);
  quince_experiment_measure (cluster, quince_load_get_calls (load), quince_now_us () - trainers_us, result);
  return result;
}

void
quince_experiment_result_free (gpointer data)
{
  QuinceExperimentResult *result = data;
  g_free (result->deployment);
  g_free (result->contender);
  g_free (result->fault);
  g_free (result->members);
  g_free (result);
}
