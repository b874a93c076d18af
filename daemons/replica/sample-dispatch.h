/*
 * sample-dispatch.h: starts runs of waiting samples at workers.
 *
 * A sample must be admitted by the policy and by the send guard; lib/forward then chooses a worker by the
 * scores of the policy.
 */
#pragma once

#include "sample-set.h"

/* Starts a run of @sample if it is admitted and a worker has capacity.  If the policy or the send guard
 * refuses it, postpones its next attempt.  @now_us: monotonic, us.  Returns QUINCE_BACKEND_CHOSEN if the run
 * started; QUINCE_BACKEND_NONE also if the sample is not admitted or its route is not configured. */
QuinceBackendOutcome quince_sample_dispatch (QuinceSampleSet *set, QuinceSample *sample, gint64 now_us);
