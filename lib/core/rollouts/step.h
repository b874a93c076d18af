/*
 * step.h: the rollouts of one trainer step and the batch made of them.
 *
 * A step takes rollouts until the first pull that finds it whole, which freezes
 * its batch.  When a later pull finds samples too old, those are generated
 * again, and the batch is no longer frozen until a pull finds it whole again.
 */
#pragma once

#include "sample.h"

G_BEGIN_DECLS

/* One accepted submission. */
struct _QuinceRollout
{
  char *rollout_id; /* owned                                              */
  char *service;    /* owned                                              */
  char *member;     /* owned                                              */
  guint64 step;
  guint staleness_bound; /* weight versions                                    */
  GPtrArray *samples;    /* owned QuinceSample, in the order of submission     */
};

typedef struct
{
  guint64 number;
  gboolean closed;     /* a pull has found it whole: no rollout is taken any more */
  gboolean frozen;     /* the last pull handed out the batch as it is now */
  GPtrArray *rollouts; /* owned QuinceRollout, in the order of the ledger    */
  GPtrArray *samples;  /* QuinceSample of all rollouts, not owned            */
  GHashTable *by_id;   /* sample id to QuinceSample, neither owned           */
  guint open;          /* samples not complete                               */
  guint steps_on;      /* soft: steps from the last one pulled to this one, 0: up to it */
} QuinceStep;

QuinceRollout *quince_rollout_new (const QuinceSubmitRollout *submit);
void quince_rollout_free (QuinceRollout *rollout);
/* Whether @submit is a repeat of the submission that made @rollout. */
gboolean quince_rollout_matches (const QuinceRollout *rollout, const QuinceSubmitRollout *submit);

QuinceStep *quince_step_new (guint64 number);
void quince_step_free (QuinceStep *step);

/* Whether the step can take the samples: ids new, and not above QUINCE_MAX_SAMPLES. @step: (nullable) */
gboolean quince_step_has_room (const QuinceStep *step, const QuinceSubmitRollout *submit);
/* @rollout: (transfer full): its samples are those of quince_step_has_room() */
void quince_step_add (QuinceStep *step, QuinceRollout *rollout);
QuinceSample *quince_step_find (const QuinceStep *step, const char *sample_id);

gboolean quince_step_is_whole (const QuinceStep *step);
/* Whether a trainer at @trainer_version would find a complete sample too old. */
gboolean quince_step_has_stale (const QuinceStep *step, guint64 trainer_version);
/* Number of a frozen step's samples as they are: grows whenever one of them is generated again, so that
 * pages of different batches are never taken for one.  Equal on all replicas. */
guint64 quince_step_get_batch_id (const QuinceStep *step);
/* Copies samples of a whole step into @batch, in the order of submission: from index @first as many as make
 * a page, at least one while any is left. */
void quince_step_fill_page (const QuinceStep *step, guint first, QuinceBatch *batch);

G_END_DECLS
