/*
 * sample.h: one sample of a rollout, through its generations.
 *
 * A sample is open until a completion of its current generation is taken.
 * When the result turns out too old for the trainer it is thrown away and the
 * next generation is open.
 */
#pragma once

#include <quince/codec.h>

G_BEGIN_DECLS

typedef struct _QuinceTrainer QuinceTrainer;
typedef struct _QuinceRollout QuinceRollout;

/* Who may run the sample at the moment.  Written by sample-leases.c alone. */
typedef struct
{
  GSequenceIter *position; /* in the trainer's waiting or in the leased queue; NULL: complete */
  char *agent;             /* lease holder, NULL: none                         */
  gint64 until_ms;         /* leader's time                                    */
  gboolean held_back;      /* waits for weights that the trainer has not named yet */
} QuinceSampleLease;

typedef struct
{
  QuinceTrainer *trainer; /* not owned                                     */
  QuinceRollout *rollout; /* not owned; owns this sample                   */
  guint64 step;
  guint position;             /* order of submission within the step           */
  QuinceSampleSpec spec;      /* owned copy                                    */
  guint generation;           /* starts at 1                                   */
  QuinceSampleResult *result; /* owned; NULL while open                        */
  QuinceSampleLease lease;
} QuinceSample;

QuinceSample *quince_sample_new (const QuinceSampleSpec *spec);
void quince_sample_free (QuinceSample *sample);

/* Tokens to expect; all that it may have when the trainer gave no number. */
guint quince_sample_get_expected_tokens (const QuinceSample *sample);

/* Bytes that the sample takes in a saved state, never less than it does. */
gsize quince_sample_get_bytes (const QuinceSample *sample);

/* The same of a result alone. */
gsize quince_sample_result_get_bytes (const QuinceSampleResult *result);

/* Takes a copy of @result: the sample is complete. */
void quince_sample_complete (QuinceSample *sample, const QuinceSampleResult *result);
/* Throws the result away and opens the next generation. */
void quince_sample_reopen (QuinceSample *sample);

/* Whether the sample is complete and a token of it is older than @least_version. */
gboolean quince_sample_is_stale (const QuinceSample *sample, guint64 least_version);

/* Least weight version that a trainer at @trainer_version takes; 0 when the bound reaches below. */
guint64 quince_least_version (guint64 trainer_version, guint staleness_bound);

/* Copies the value of @source into @target, which owns nothing before. */
void quince_sample_spec_copy_to (QuinceSampleSpec *target, const QuinceSampleSpec *source);
void quince_sample_result_copy_to (QuinceSampleResult *target, const QuinceSampleResult *source);
gboolean quince_sample_spec_equal (const QuinceSampleSpec *a, const QuinceSampleSpec *b);

G_END_DECLS
