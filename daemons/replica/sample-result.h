/*
 * sample-result.h: the end of a sample: its result goes to the owner of the set.
 *
 * For: sample-outcome.c, sample-reward.c, sample-runner.c.  Owns nothing.
 */
#pragma once

#include "sample-set.h"

/* The sample is done.  @score: (nullable): the signed score of its reward call; @cause: one word for the log.
 * Releases @sample. */
void quince_sample_result_complete (QuinceSampleSet *set,
                                    QuinceSample *sample,
                                    const char *score,
                                    const char *cause);
/* The sample is abandoned for @cause.  Releases @sample. */
void quince_sample_result_abandon (QuinceSampleSet *set, QuinceSample *sample, const char *cause);
