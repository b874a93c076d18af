/*
 * demo-trainer.h: simulates a trainer, which submits batches of samples, reads their results and publishes
 * new weight versions.
 *
 * A DemoTrainer has at most one call in flight and runs in the default main context.  The cluster must be
 * running and outlive it.
 */
#pragma once

#include "demo-cluster.h"

typedef struct _DemoTrainer DemoTrainer;

/* Counts from the results that the trainer has read. */
typedef struct
{
  guint samples; /* planned, of all steps */
  guint delivered;
  guint duplicated;     /* results with an id already delivered in their step */
  guint over_staleness; /* samples with a version older than the staleness bound allows */
  guint mixed_version;  /* samples generated with more than one weight version */
  guint wrong;          /* incomplete text, no score, no version, not completed, or of another step */
  gint64 idle_us;       /* time that the trainer waited for samples */
} DemoTrainerStats;

/* @plan: must outlive the trainer */
DemoTrainer *demo_trainer_new (DemoCluster *cluster, const QuinceTrainerPlan *plan);
void demo_trainer_free (DemoTrainer *trainer);
/* The trainer makes progress while the main context runs. */
void demo_trainer_start (DemoTrainer *trainer);
/* Condition for demo_await(): all steps are trained. */
gboolean demo_trainer_is_done (gpointer trainer);
/* @training: (out) */
void demo_trainer_get_stats (const DemoTrainer *trainer, DemoTrainerStats *stats);
