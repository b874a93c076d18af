/*
 * sample-outcome.h: handles the end of a run of a sample: another run, the reward call, or the result.
 *
 * The next step is decided by core/decisions/sample-next.h.  Each end is reported to the send guard, since a
 * sample may crash the workers that run it.
 */
#pragma once

#include "sample-set.h"

/* Callback of quince_sample_start_run().  @set: the QuinceSampleSet of @sample.  May free @sample. */
void quince_sample_outcome_handle_run_end (QuinceSample *sample,
                                           QuinceRunEnd end,
                                           const char *cause,
                                           gpointer set);
