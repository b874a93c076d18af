/*
 * trainer.h: the steps of one trainer and the rules of its calls.
 *
 * Steps are pulled in ascending order and need not be contiguous.  At most
 * one step is closed, always the lowest one held; what was released leaves
 * only the number of the highest released step.
 *
 * Each call has a judge function that changes nothing: it returns the status
 * of the call and tells whether applying it would change the book.  The
 * matching apply function may be called only when it does.
 */
#pragma once

#include "sample-leases.h"
#include "step.h"
#include "version-forecast.h"

#include <quince/rollout-book.h>

G_BEGIN_DECLS

/* Sums over all trainers of a book. */
typedef struct
{
  QuinceRolloutCounters counters; /* trainers and claims are left to the book  */
  guint64 bytes;                  /* held by rollouts and their samples        */
} QuinceRolloutTotals;

struct _QuinceTrainer
{
  char *name;            /* owned                                             */
  GTree *steps;          /* owned: guint64 number to owned QuinceStep         */
  GHashTable *rollouts;  /* rollout id to QuinceRollout, of the steps held; neither owned */
  guint64 version_seen;  /* greatest weight version of an accepted pull       */
  gboolean released_any; /* whether released_through holds a number           */
  guint64 released_through;
  QuinceVersionForecast forecast; /* soft: from the pulls that this replica has seen */

  QuinceSampleLeases *leases;   /* not owned: shared by the book            */
  QuinceRolloutTotals *totals;  /* not owned: shared by the book            */
  QuinceWaitingSamples waiting; /* written by sample-leases.c alone         */
};

QuinceTrainer *quince_trainer_new (const char *name, QuinceSampleLeases *leases, QuinceRolloutTotals *totals);
void quince_trainer_free (QuinceTrainer *trainer);

/* Step @number while it is held, else %NULL. */
QuinceStep *quince_trainer_find_step (const QuinceTrainer *trainer, guint64 number);
gboolean quince_trainer_has_released (const QuinceTrainer *trainer, guint64 number);

/* Weight version that the trainer is expected to hold when it pulls the sample's step. */
guint64 quince_trainer_expect_version (const QuinceTrainer *trainer, const QuinceSample *sample);
/* Whether the sample, started now, can be fresh enough at its hand-over: the least version that it will
 * need is one that the trainer has already named. */
gboolean quince_trainer_may_start (const QuinceTrainer *trainer, const QuinceSample *sample);
/* Step @number was pulled, and the call was accepted (also when it changed nothing). */
void quince_trainer_note_pull (QuinceTrainer *trainer, guint64 number);

/* @trainer is %NULL in the judge functions when the book does not know it. */
QuinceLedgerStatus quince_trainer_judge_submit (const QuinceTrainer *trainer,
                                                const QuinceSubmitRollout *submit,
                                                gboolean *changes);
QuinceLedgerStatus quince_trainer_judge_complete (const QuinceTrainer *trainer,
                                                  const QuinceCompleteSample *complete,
                                                  gboolean *changes);
QuinceLedgerStatus
quince_trainer_judge_pull (const QuinceTrainer *trainer, const QuincePullStep *pull, gboolean *changes);
/* OK: the batch of that id is frozen and holds the index; CONFLICT: it was made anew, or never was. */
QuinceLedgerStatus quince_trainer_judge_page (const QuinceTrainer *trainer, const QuinceReadPage *page);
QuinceLedgerStatus
quince_trainer_judge_release (const QuinceTrainer *trainer, guint64 number, gboolean *changes);

void quince_trainer_submit (QuinceTrainer *trainer, const QuinceSubmitRollout *submit);
void quince_trainer_complete (QuinceTrainer *trainer, const QuinceCompleteSample *complete);
void quince_trainer_pull (QuinceTrainer *trainer, const QuincePullStep *pull);
/* Drops step @number, the lowest one held. */
void quince_trainer_release (QuinceTrainer *trainer, guint64 number);

/* Takes over a rollout as it is (also from a saved state). @rollout: (transfer full) */
void quince_trainer_add_rollout (QuinceTrainer *trainer, QuinceRollout *rollout);

G_END_DECLS
