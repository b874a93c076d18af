/*
 * samples-faults.h: the deployment that the cases of test-samples.c share, and
 * the table of their faults.
 */
#pragma once

#include "harness.h"

G_BEGIN_DECLS

#define ENGINES 4
#define WRONG_VERSION 1000 /* on which swaps end that no one ordered */
#define CALL_MS 15000

typedef struct _Scene Scene;

/**
 * FaultCase:
 * @at_start: the fault is made before the trainer starts
 * @begin: (nullable): makes the fault
 * @end: (nullable): ends it, while the trainer goes on
 * @recover: (nullable): ends what lasted until the last step
 * @hold_ms: from the beginning of the fault to its end
 * @lasting: samples stay fresh enough until the last step, so that none is generated again
 * @mixed: some sample must have several weight versions
 * @moved: some sample must have run on several engines
 * @wrong: some sample must name the version that no one ordered
 */
typedef struct
{
  const char *name;
  gboolean at_start;
  void (*begin) (Scene *scene);
  void (*end) (Scene *scene);
  void (*recover) (Scene *scene);
  guint hold_ms;
  gboolean lasting;
  gboolean mixed;
  gboolean moved;
  gboolean wrong;
} FaultCase;

/* One deployment, shared by the cases until one of them fails. */
struct _Scene
{
  QuinceCluster *cluster;
  QuinceClusterPart *trainer;
  QuinceClusterPart *busy;           /* engine that runs a long sample              */
  QuinceClusterPart *first, *second; /* struck by the running case                  */
  const FaultCase *running;
  guint64 version; /* newest in the weight store                  */
  guint trainers;  /* so far; their names differ                  */
  gint64 repeats;  /* of the trainer, before the fault            */
  char *replica;   /* id that the struck replica had, owned       */
  gboolean sound;  /* the last case came to its end               */
};

extern const FaultCase fault_cases[];
extern const guint n_fault_cases;

/* Sets @faults on the engines that run. */
void scene_set_engine_faults (Scene *scene, const char *faults);

G_END_DECLS
