/*
 * leased-sample.h: one leased sample, from its first grant to its completion.
 */
#pragma once

#include "worker.h"

typedef struct _QuinceLeasedRun QuinceLeasedRun;

typedef enum
{
  QUINCE_LEASED_COMPLETED, /* the ledger took the result                   */
  QUINCE_LEASED_DROPPED,   /* the ledger did not want it any more          */
  QUINCE_LEASED_GIVEN_UP,  /* could not be run here: its lease may run out */
} QuinceLeasedEnd;

/* The run may be freed in the callback. */
typedef void (*QuinceLeasedDone) (QuinceLeasedRun *run, QuinceLeasedEnd end, gpointer user_data);

/* @sample: copied. Counts into @attempts and @score_failures, which must outlive the run. */
QuinceLeasedRun *quince_leased_run_new (QuinceWorker *worker,
                                        const QuinceLeasedSample *sample,
                                        guint64 *attempts,
                                        guint64 *score_failures,
                                        QuinceLeasedDone done,
                                        gpointer user_data);
/* Cancels what is in progress. */
void quince_leased_run_free (QuinceLeasedRun *run);
/* Texts are borrowed from the run. */
QuinceLeaseRef quince_leased_run_get_ref (const QuinceLeasedRun *run);
