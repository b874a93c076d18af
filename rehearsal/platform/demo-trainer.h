/*
 * demo-trainer.h: a trainer that submits batches of samples, reads their results and writes new weight
 * versions.
 *
 * Owns its steps, one call at a time and a timer of the main context.  Relies on a started cluster.
 */
#pragma once

#include "demo-cluster.h"

typedef struct _DemoTrainer DemoTrainer;

/* Counted from what the trainer read. */
typedef struct
{
  guint samples; /* planned */
  guint delivered;
  guint duplicated;
  guint over_staleness;
  guint mixed_version; /* samples of more than one weight version */
  guint wrong;         /* not the whole text, without its reward, abandoned, or of another step */
  gint64 idle_us;
} DemoTrainerStats;

/* @plan: outlives the trainer */
DemoTrainer *demo_trainer_new (DemoCluster *cluster, const QuinceTrainerPlan *plan);
void demo_trainer_free (DemoTrainer *trainer);
/* Proceeds while the main context runs. */
void demo_trainer_start (DemoTrainer *trainer);
/* A condition for demo_await(). */
gboolean demo_trainer_is_done (gpointer trainer);
/* @training: (out) */
void demo_trainer_get_stats (const DemoTrainer *trainer, DemoTrainerStats *stats);
