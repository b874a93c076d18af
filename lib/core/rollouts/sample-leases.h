/*
 * sample-leases.h: who runs which open sample (soft state of the leader).
 *
 * Every open sample is either waiting, in a queue of its trainer, or leased.
 * Trainers that have waiting samples take turns (round robin); within a trainer
 * the lowest step goes first, then the longest expected sample.  Samples that
 * would be too old at their hand-over whoever ran them now are held back.
 */
#pragma once

#include "sample.h"

G_BEGIN_DECLS

typedef struct _QuinceSampleLeases QuinceSampleLeases;

/* Waiting samples of one trainer. */
typedef struct
{
  GSequence *queue; /* owned; of QuinceSample, not owned                       */
  GSequence *held;  /* owned; the same, held back                             */
  GList turn;       /* link in the rotation, its data is the trainer           */
  gboolean queued;  /* whether the link is in the rotation                     */
} QuinceWaitingSamples;

QuinceSampleLeases *quince_sample_leases_new (void);
void quince_sample_leases_free (QuinceSampleLeases *leases);

/* Sets up and releases trainer->waiting. All samples go with the trainer. */
void quince_sample_leases_add_trainer (QuinceSampleLeases *leases, QuinceTrainer *trainer);
void quince_sample_leases_remove_trainer (QuinceSampleLeases *leases, QuinceTrainer *trainer);

/* @sample has become open, or is no longer. */
void quince_sample_leases_add (QuinceSampleLeases *leases, QuinceSample *sample);
void quince_sample_leases_remove (QuinceSampleLeases *leases, QuinceSample *sample);
/* The trainer's versions are expected otherwise: holds back and lets go what follows from it. */
void quince_sample_leases_review (QuinceSampleLeases *leases, QuinceTrainer *trainer);

/* Puts the samples whose lease has lapsed at @now_ms back to wait. */
void quince_sample_leases_expire (QuinceSampleLeases *leases, gint64 now_ms);
/* Sample that the next lease would give, %NULL when none waits. */
QuinceSample *quince_sample_leases_peek (const QuinceSampleLeases *leases);
/* Leases that sample to @agent until @until_ms and passes the turn on. */
void quince_sample_leases_take (QuinceSampleLeases *leases, const char *agent, gint64 until_ms);
/* Extends the lease of @agent on an open sample, or gives it one when nobody has. */
void quince_sample_leases_renew (QuinceSampleLeases *leases,
                                 QuinceSample *sample,
                                 const char *agent,
                                 gint64 until_ms);
void quince_sample_leases_forget (QuinceSampleLeases *leases);

G_END_DECLS
