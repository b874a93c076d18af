/*
 * sample-result.h: completes or abandons samples, and delivers their results to the owner of the set.
 */
#pragma once

#include "sample-set.h"

/* Completes @sample and frees it.  @score: (nullable): the signed score of its reward call; @cause: one word,
 * for the log and metrics */
void quince_sample_result_complete (QuinceSampleSet *set,
                                    QuinceSample *sample,
                                    const char *score,
                                    const char *cause);
/* Abandons @sample and frees it.  @cause: one word, for the log and metrics */
void quince_sample_result_abandon (QuinceSampleSet *set, QuinceSample *sample, const char *cause);
