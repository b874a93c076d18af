/*
 * experiment.h: the service against plain routers, under the same load.
 *
 *   experiment.c           flags, the order of the runs
 *   experiment-run.c       one run of one contender
 *   experiment-measures.c  measures of a run, from the stand-ins' and callers' records
 *   experiment-table.c     results.csv and the summary table
 */
#pragma once

#include "cluster.h"
#include "load.h"

G_BEGIN_DECLS

#define QUINCE_EXPERIMENT_SERVICE "quinceroute"

/* One run: which contender, under what.  Texts are borrowed. */
typedef struct
{
  const char *build;      /* folder with the programs */
  const char *folder;     /* logs and data            */
  const char *deployment; /* file                     */
  const char *contender;
  const char *fault;
  guint64 seed;
} QuinceExperimentPlan;

typedef enum
{
  QUINCE_MEASURE_IDLE,      /* s that trainers waited for batches              */
  QUINCE_MEASURE_ON_TIME,   /* % of the calls answered whole in their deadline */
  QUINCE_MEASURE_LATE,      /* calls that were not refused, but not on time    */
  QUINCE_MEASURE_REFUSED,   /* calls told that they were not run               */
  QUINCE_MEASURE_FAIRNESS,  /* Jain's index, the least over members that ask the same */
  QUINCE_MEASURE_STALE_P50, /* versions, of delivered samples                  */
  QUINCE_MEASURE_STALE_P99,
  QUINCE_MEASURE_REGENERATED, /* samples that engines made whole more than once  */
  QUINCE_MEASURE_PREFIX_HITS, /* % of prompt blocks that caches held             */
  QUINCE_MEASURE_WASTED,      /* % of tokens made that are in no sample or answer */
  QUINCE_MEASURE_P50,         /* ms, of whole answers                            */
  QUINCE_MEASURE_P99,
  QUINCE_N_MEASURES,
} QuinceMeasure;

typedef struct
{
  char *deployment; /* its name                */
  char *contender;
  char *fault;
  guint64 seed;
  gboolean complete; /* all steps were trained  */
  guint broken;      /* promises broken, wrong answers or samples */
  double measures[QUINCE_N_MEASURES];
  char *members; /* on time of asked, by member and kind */
} QuinceExperimentResult;

void quince_experiment_result_free (gpointer result);

/* experiment-run.c */

/* Returns: (transfer full) (nullable): %NULL with an error when it could not be run */
QuinceExperimentResult *quince_experiment_run (const QuinceExperimentPlan *plan, GError **error);
gboolean quince_experiment_is_contender (const char *name);
gboolean quince_experiment_is_fault (const char *name);

/* experiment-measures.c */

/* @elapsed_us: since the trainers began */
void quince_experiment_measure (QuinceCluster *cluster,
                                GPtrArray *calls,
                                gint64 elapsed_us,
                                QuinceExperimentResult *result);
/* Steps that the trainers have done; @wanted (out): of how many. */
gint64 quince_experiment_count_steps (QuinceCluster *cluster, gint64 *wanted);

/* experiment-table.c */
char *quince_experiment_format_csv (const GPtrArray *results);
/* @markdown: else aligned text */
char *quince_experiment_format_summary (const GPtrArray *results, gboolean markdown);

/* Subcommand "experiment". */
int quince_experiment_command (int argc, char **argv);

G_END_DECLS
