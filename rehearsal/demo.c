/*
 * demo.c: starts a deployment, accepts its policy, creates an event, sends a burst of requests, kills the
 * leader during the burst and trains through several weight versions.  Prints a summary from the records of
 * callers, trainer and workers.
 */
#include "demo.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "runtime/log.h"

#include "demo-callers.h"
#include "demo-cluster.h"
#include "demo-trainer.h"

/* Longer than the 3 s within which a policy is guaranteed to be in force. */
#define POLICY_TIMEOUT_MS 10000
/* Longer than any call of the examples: a deadline of 3 s and the call timeout margin. */
#define BURST_TIMEOUT_MS 30000
/* Longer than the training of the examples (10 s), shorter than the timeout of the demo test. */
#define TRAINING_TIMEOUT_MS 100000
/* Delay from the start of the event, so that calls and samples are in flight. */
#define LEADER_KILL_DELAY_MS 200
#define EXIT_FAILED 1 /* exit status: a guarantee was violated or the run failed */
#define EXIT_USAGE 2  /* exit status: invalid flags or deployment */

typedef struct
{
  const char *build_folder;
  const char *deployment;
  const char *output_folder;
} DemoFlags;

static void
print_phase (const QuinceDeployment *deployment, const char *phase)
{
  printf ("event=demo_progress deployment=%s phase=%s\n", deployment->name, phase);
  fflush (stdout);
}

/* ---- Summary ------------------------------------------------------------------ */

/* Returns: the exit status, EXIT_FAILED if a guarantee was violated */
static int
print_summary (const QuinceDeployment *deployment,
               const DemoCallerStats *caller_stats,
               const DemoTrainerStats *trainer_stats)
{
  guint lost = trainer_stats->samples - trainer_stats->delivered;
  gboolean failed = lost != 0 || trainer_stats->duplicated != 0 || trainer_stats->over_staleness != 0
                    || trainer_stats->wrong != 0 || caller_stats->wrong != 0
                    || caller_stats->ran_though_refused != 0 || caller_stats->repeated != 0;
  printf ("event=demo_summary deployment=%s requests=%u answered=%u on_time=%u refused=%u unknown=%u "
          "samples=%u delivered=%u lost=%u duplicated=%u over_staleness=%u mixed_version_samples=%u "
          "trainer_idle_s=%.2f p50_ms=%.1f p99_ms=%.1f wrong_answers=%u ran_though_refused=%u repeated=%u "
          "wrong_samples=%u\n",
          deployment->name, caller_stats->requests, caller_stats->answered, caller_stats->on_time,
          caller_stats->refused, caller_stats->unknown, trainer_stats->samples, trainer_stats->delivered,
          lost, trainer_stats->duplicated, trainer_stats->over_staleness, trainer_stats->mixed_version,
          (double)trainer_stats->idle_us / G_USEC_PER_SEC, (double)caller_stats->p50_us / 1000,
          (double)caller_stats->p99_us / 1000, caller_stats->wrong, caller_stats->ran_though_refused,
          caller_stats->repeated, trainer_stats->wrong);
  return failed ? EXIT_FAILED : EXIT_SUCCESS;
}

/* ---- Run ---------------------------------------------------------------------- */

static gboolean
is_time_reached (gpointer data)
{
  return g_get_monotonic_time () >= *(const gint64 *)data;
}

/* Runs the main context until @end_us (monotonic). */
static void
wait_until (gint64 end_us)
{
  demo_await (is_time_reached, &end_us, G_MAXUINT);
}

static gboolean
accept_policy (DemoCluster *cluster)
{
  const char *const arguments[]
      = { "policy", "accept", cluster->deployment->policy_path, "--comment", "demo", NULL };
  return demo_cluster_run_operator_tool (cluster, arguments) == 0
         && demo_cluster_await_policy (cluster, POLICY_TIMEOUT_MS);
}

/* Returns: the start of the event in monotonic microseconds, or 0 if it was not created */
static gint64
create_event (DemoCluster *cluster)
{
  const QuinceDeployment *deployment = cluster->deployment;
  guint64 after_s = (deployment->event_delay_ms + 999) / 1000;
  g_autofree char *start = g_strdup_printf ("+%" G_GUINT64_FORMAT, after_s);
  g_autofree char *duration
      = g_strdup_printf ("%" G_GUINT64_FORMAT, (deployment->event_duration_ms + 999) / 1000);
  const char *const arguments[]
      = { "event", "create", "release", "--start", start, "--duration", duration, NULL };
  gint64 now_us = g_get_monotonic_time ();
  return demo_cluster_run_operator_tool (cluster, arguments) == 0 ? now_us + (gint64)after_s * G_USEC_PER_SEC
                                                                  : 0;
}

static int
fail (GError **error, const char *reason)
{
  g_set_error_literal (error, QUINCE_PROCESS_ERROR, QUINCE_PROCESS_ERROR_TIMEOUT, reason);
  return EXIT_FAILED;
}

/* If training times out, the summary counts the missing samples as lost.
 *
 * Returns: the exit status */
static int
run_phases (DemoCluster *cluster, DemoTrainer *trainer, GError **error)
{
  const QuinceDeployment *deployment = cluster->deployment;
  print_phase (deployment, "accept_policy");
  if (!accept_policy (cluster))
    return fail (error, "the policy was not accepted or is not in force at every process");
  print_phase (deployment, "create_event");
  gint64 start_us = create_event (cluster);
  if (start_us == 0)
    return fail (error, "the operator tool did not create the event");
  wait_until (start_us);
  print_phase (deployment, "burst");
  demo_trainer_start (trainer);
  g_autoptr (DemoCallers) callers = demo_callers_new (cluster);
  demo_callers_send (callers);
  wait_until (start_us + LEADER_KILL_DELAY_MS * 1000);
  print_phase (deployment, "kill_leader");
  if (!demo_cluster_kill_leader (cluster, error))
    return EXIT_FAILED;
  if (!demo_await (demo_callers_are_done, callers, BURST_TIMEOUT_MS))
    return fail (error, "calls of the burst did not finish in time");
  print_phase (deployment, "training");
  demo_await (demo_trainer_is_done, trainer, TRAINING_TIMEOUT_MS);
  DemoCallerStats caller_stats;
  DemoTrainerStats trainer_stats;
  demo_callers_get_stats (callers, &caller_stats);
  demo_trainer_get_stats (trainer, &trainer_stats);
  return print_summary (deployment, &caller_stats, &trainer_stats);
}

static int
run_deployment (const DemoFlags *flags, const QuinceDeployment *deployment, GError **error)
{
  printf ("event=demo_progress deployment=%s phase=start logs=%s\n", deployment->name, flags->output_folder);
  fflush (stdout);
  g_autoptr (DemoCluster) cluster
      = demo_cluster_start (flags->build_folder, flags->output_folder, deployment, error);
  if (cluster == NULL)
    return EXIT_FAILED;
  DemoTrainer *trainer = demo_trainer_new (cluster, deployment->trainers->pdata[0]);
  int status = run_phases (cluster, trainer, error);
  demo_trainer_free (trainer);
  return status;
}

/* ---- Flags -------------------------------------------------------------------- */

enum
{
  KEY_BUILD = 'b',
  KEY_DEPLOYMENT = 'd',
  KEY_FOLDER = 'f',
};

static const struct argp_option options[] = {
  { "build", KEY_BUILD, "FOLDER", 0, "Build folder that contains the programs (default: build)", 0 },
  { "deployment", KEY_DEPLOYMENT, "FILE", 0, "Deployment file to run", 0 },
  { "folder", KEY_FOLDER, "FOLDER", 0, "Folder for settings, logs and data (default: out/demo)", 0 },
  { 0 },
};

static error_t
parse_flag (int key, char *argument, struct argp_state *state)
{
  DemoFlags *flags = state->input;
  switch (key)
    {
    case KEY_BUILD:
      flags->build_folder = argument;
      return 0;
    case KEY_DEPLOYMENT:
      flags->deployment = argument;
      return 0;
    case KEY_FOLDER:
      flags->output_folder = argument;
      return 0;
    case ARGP_KEY_END:
      if (flags->deployment == NULL)
        argp_error (state, "--deployment is required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
quince_demo_run (int argc, char **argv)
{
  DemoFlags flags = { .build_folder = "build", .output_folder = "out/demo" };
  const struct argp parser
      = { options, parse_flag, NULL, "Runs one deployment and prints a summary.", NULL, NULL, NULL };
  argp_err_exit_status = EXIT_USAGE;
  argp_parse (&parser, argc, argv, 0, NULL, &flags);
  quince_log_init ("quinceroute-rehearsal", "demo", G_LOG_LEVEL_WARNING);
  g_autoptr (GError) error = NULL;
  g_autoptr (QuinceDeployment) deployment = quince_deployment_load (flags.deployment, &error);
  if (deployment == NULL || deployment->trainers->len != 1)
    {
      fprintf (stderr, "%s\n",
               error != NULL ? error->message : "the deployment must have exactly one trainer");
      return EXIT_USAGE;
    }
  int status = run_deployment (&flags, deployment, &error);
  if (error != NULL)
    fprintf (stderr, "event=demo_failed reason=\"%s\"\n", error->message);
  return status;
}
