/*
 * callers-faults.h: the deployment that the cases of test-callers.c share, and
 * the table of their faults.
 */
#pragma once

#include "harness.h"

G_BEGIN_DECLS

#define ENGINES 4

typedef struct _Scene Scene;

/**
 * FaultCase:
 * @engines: how many engines get @engine_fault and @route_fault
 * @begin: (nullable): makes a fault of another kind
 * @hold_ms: from the beginning of the fault to its end
 * @effect: (nullable): counter of the engines' records that the fault must raise
 * @breaks: some call must be hit: its answer is unknown or cut
 * @least_whole: percent of the ids with a whole answer
 */
typedef struct
{
  const char *name;
  guint engines;
  const char *engine_fault;
  const char *engine_end;
  const char *route_fault;
  const char *route_end;
  void (*begin) (Scene *scene);
  void (*end) (Scene *scene);
  guint hold_ms;
  const char *effect;
  gboolean breaks;
  guint least_whole;
} FaultCase;

/* One deployment, shared by the cases until one of them fails. */
struct _Scene
{
  QuinceCluster *cluster;
  GPtrArray *loads;                  /* QuinceLoad, all that this deployment got     */
  QuinceClusterPart *first, *second; /* struck by the running case  */
  const FaultCase *running;
  guint64 seed;
  gboolean sound; /* the last case came to its end                  */
};

extern const FaultCase fault_cases[];
extern const guint n_fault_cases;

/* Sets @faults, when given, on the first @engines engines. */
void scene_set_engine_faults (Scene *scene, guint engines, const char *faults);
void scene_make_fault (Scene *scene, const FaultCase *fault);
void scene_end_fault (Scene *scene, const FaultCase *fault);

G_END_DECLS
