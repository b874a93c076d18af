/*
 * sample-reward.h: reward calls of samples with complete texts.
 *
 * The call is stored in the sample.  core/decisions/sample-next.h decides whether a failed call is retried.
 */
#pragma once

#include "sample-set.h"

/* Starts the reward call of @sample.  If its route is not configured, postpones the call. */
void quince_sample_reward_start (QuinceSampleSet *set, QuinceSample *sample);
