/*
 * experiment.c: runs every contender under the same loads and faults, and
 * writes what came of it.
 */
#include "experiment.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <quince/log.h>
#include <quince/task.h>

#define EXIT_BROKEN 1
#define EXIT_USAGE 2
#define MOST_SEEDS 1000
#define DEFAULT_SEEDS 3
#define DEFAULT_FAULTS "none,engine_crash"
#define ALL_FAULTS "none, engine_crash, slow_engine, kv_outage"
#define DEFAULT_CONTENDERS "round_robin,least_outstanding,prefix_hash,quinceroute"

typedef struct
{
  const char *build;
  GPtrArray *deployments; /* const char *, files */
  guint64 seeds;
  char **contenders;
  char **faults;
  const char *out;
  gboolean quick;
} ExperimentFlags;

typedef struct
{
  const ExperimentFlags *flags;
  GPtrArray *results; /* QuinceExperimentResult, owned */
  guint runs;         /* begun                         */
  guint failed;       /* that could not be run         */
} Experiment;

/* ---- Output -------------------------------------------------------------------- */

/* @text: (transfer full) */
static void
write_file (const Experiment *experiment, const char *name, char *text)
{
  g_autofree char *path = g_build_filename (experiment->flags->out, name, NULL);
  g_autofree char *owned = text;
  g_autoptr (GError) error = NULL;
  if (!g_file_set_contents (path, owned, -1, &error))
    fprintf (stderr, "event=experiment_not_written reason=\"%s\"\n", error->message);
}

/* After each run, so that a run that is broken off leaves what it had. */
static void
write_results (const Experiment *experiment)
{
  write_file (experiment, "results.csv", quince_experiment_format_csv (experiment->results));
  write_file (experiment, "summary.md", quince_experiment_format_summary (experiment->results, TRUE));
  write_file (experiment, "summary.txt", quince_experiment_format_summary (experiment->results, FALSE));
}

static void
print_result (const QuinceExperimentResult *result, gint64 took_us)
{
  printf ("event=experiment_run deployment=%s contender=%s fault=%s seed=%" G_GUINT64_FORMAT
          " whole=%d broken=%u idle_s=%.2f on_time_percent=%.1f refused=%.0f fairness=%.3f p99_ms=%.0f"
          " took_s=%.1f members=%s\n",
          result->deployment, result->contender, result->fault, result->seed, result->complete,
          result->broken, result->measures[QUINCE_MEASURE_IDLE], result->measures[QUINCE_MEASURE_ON_TIME],
          result->measures[QUINCE_MEASURE_REFUSED], result->measures[QUINCE_MEASURE_FAIRNESS],
          result->measures[QUINCE_MEASURE_P99], (double)took_us / G_USEC_PER_SEC, result->members);
  fflush (stdout);
}

/* ---- Runs ---------------------------------------------------------------------- */

static void
run_once (Experiment *experiment, QuinceExperimentPlan *plan)
{
  g_autofree char *name = g_strdup_printf ("%03u-%s-%s", experiment->runs++, plan->contender, plan->fault);
  g_autofree char *folder = g_build_filename (experiment->flags->out, "runs", name, NULL);
  g_autoptr (GError) error = NULL;
  gint64 begin_us = quince_now_us ();
  plan->folder = folder;
  QuinceExperimentResult *result = quince_experiment_run (plan, &error);
  if (result == NULL)
    {
      experiment->failed++;
      fprintf (stderr, "event=experiment_run_failed run=%s reason=\"%s\"\n", name, error->message);
      return;
    }
  g_ptr_array_add (experiment->results, result);
  print_result (result, quince_now_us () - begin_us);
  write_results (experiment);
}

static void
run_all (Experiment *experiment)
{
  const ExperimentFlags *flags = experiment->flags;
  for (guint64 seed = 1; seed <= flags->seeds; seed++)
    for (char **fault = flags->faults; *fault != NULL; fault++)
      for (guint i = 0; i < flags->deployments->len; i++)
        for (char **contender = flags->contenders; *contender != NULL; contender++)
          {
            QuinceExperimentPlan plan = { .build = flags->build,
                                          .deployment = flags->deployments->pdata[i],
                                          .contender = *contender,
                                          .fault = *fault,
                                          .seed = seed };
            run_once (experiment, &plan);
          }
}

/* ---- Flags --------------------------------------------------------------------- */

enum
{
  KEY_BUILD = 'b',
  KEY_DEPLOYMENT = 'd',
  KEY_SEEDS = 's',
  KEY_CONTENDERS = 'c',
  KEY_FAULTS = 'f',
  KEY_OUT = 'o',
  KEY_QUICK = 'q',
};

static const struct argp_option options[] = {
  { "build", KEY_BUILD, "FOLDER", 0, "Build folder with the programs (build)", 0 },
  { "deployment", KEY_DEPLOYMENT, "FILE", 0, "Deployment; may be given again (both examples)", 0 },
  { "seeds", KEY_SEEDS, "N", 0, "Seeds 1 to N of load and samples (3)", 0 },
  { "contenders", KEY_CONTENDERS, "NAME,...", 0, "Contenders (" DEFAULT_CONTENDERS ")", 0 },
  { "faults", KEY_FAULTS, "NAME,...", 0, "Faults of " ALL_FAULTS " (" DEFAULT_FAULTS ")", 0 },
  { "out", KEY_OUT, "FOLDER", 0, "Where results and logs go (out/experiment)", 0 },
  { "quick", KEY_QUICK, NULL, 0, "One seed and no fault", 0 },
  { 0 },
};

static char **
parse_names (const char *text, gboolean (*is_known) (const char *name), struct argp_state *state)
{
  char **names = g_strsplit (text, ",", -1);
  for (char **name = names; *name != NULL; name++)
    if (!is_known (*name))
      argp_error (state, "'%s' is unknown", *name);
  return names;
}

static error_t
parse_flag (int key, char *argument, struct argp_state *state)
{
  ExperimentFlags *flags = state->input;
  switch (key)
    {
    case KEY_BUILD:
      flags->build = argument;
      return 0;
    case KEY_DEPLOYMENT:
      g_ptr_array_add (flags->deployments, argument);
      return 0;
    case KEY_SEEDS:
      if (!g_ascii_string_to_unsigned (argument, 10, 1, MOST_SEEDS, &flags->seeds, NULL))
        argp_error (state, "'%s' is no count", argument);
      return 0;
    case KEY_CONTENDERS:
      g_strfreev (flags->contenders);
      flags->contenders = parse_names (argument, quince_experiment_is_contender, state);
      return 0;
    case KEY_FAULTS:
      g_strfreev (flags->faults);
      flags->faults = parse_names (argument, quince_experiment_is_fault, state);
      return 0;
    case KEY_OUT:
      flags->out = argument;
      return 0;
    case KEY_QUICK:
      flags->quick = TRUE;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
complete_flags (ExperimentFlags *flags)
{
  if (flags->deployments->len == 0)
    {
      g_ptr_array_add (flags->deployments, (gpointer) "examples/experiment-consortium.ini");
      g_ptr_array_add (flags->deployments, (gpointer) "examples/experiment-borne-verte.ini");
    }
  if (flags->contenders == NULL)
    flags->contenders = g_strsplit (DEFAULT_CONTENDERS, ",", -1);
  if (flags->faults == NULL || flags->quick)
    {
      g_strfreev (flags->faults);
      flags->faults = g_strsplit (flags->quick ? "none" : DEFAULT_FAULTS, ",", -1);
    }
  if (flags->quick)
    flags->seeds = 1;
}

int
quince_experiment_command (int argc, char **argv)
{
  ExperimentFlags flags = {
    .build = "build", .deployments = g_ptr_array_new (), .seeds = DEFAULT_SEEDS, .out = "out/experiment"
  };
  const struct argp parser
      = { options, parse_flag, NULL, "Compares the service with plain routers under the same load.",
          NULL,    NULL,       NULL };
  argp_err_exit_status = EXIT_USAGE;
  argp_parse (&parser, argc, argv, 0, NULL, &flags);
  quince_log_init ("quinceroute-rehearsal", "experiment", G_LOG_LEVEL_WARNING);
  complete_flags (&flags);
  g_mkdir_with_parents (flags.out, 0755);
  Experiment experiment
      = { .flags = &flags, .results = g_ptr_array_new_with_free_func (quince_experiment_result_free) };
  run_all (&experiment);
  g_autofree char *summary = quince_experiment_format_summary (experiment.results, FALSE);
  printf ("\n%s", summary);
  printf ("event=experiment_summary runs=%u failed=%u results=%s/results.csv\n", experiment.runs,
          experiment.failed, flags.out);
  g_ptr_array_unref (experiment.results);
  g_ptr_array_unref (flags.deployments);
  g_strfreev (flags.contenders);
  g_strfreev (flags.faults);
  return experiment.failed > 0 ? EXIT_BROKEN : EXIT_SUCCESS;
}
