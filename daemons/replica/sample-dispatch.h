/*
 * sample-dispatch.h: begins a run of a waiting sample at a worker.
 *
 * For: sample-runner.c and sample-moves.c.  Owns nothing.  Relies on: the policy in force, which admits a
 * sample and scores the workers for it; the send guard; lib/forward for the choice.
 */
#pragma once

#include "sample-set.h"

/* Begins a run where a worker has room; else sets when the sample may be tried again.  Returns:
 * QUINCE_BACKEND_CHOSEN: it runs; QUINCE_BACKEND_NONE also where the policy or the guard doesn't admit it */
QuinceBackendOutcome quince_sample_dispatch (QuinceSampleSet *set, QuinceSample *sample, gint64 now_us);
