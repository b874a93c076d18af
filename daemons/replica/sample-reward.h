/*
 * sample-reward.h: the reward call of a sample whose text is whole.
 *
 * For: sample-outcome.c, and sample-runner.c where a call is made again.  Owns: the call, kept in the sample.
 * Relies on: lib/forward for the call, core/decisions/sample-next.h for what follows it.
 */
#pragma once

#include "sample-set.h"

/* Makes the reward call, or sets when it is due again where its route is not configured. */
void quince_sample_reward_begin (QuinceSampleSet *set, QuinceSample *sample);
