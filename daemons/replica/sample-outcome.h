/*
 * sample-outcome.h: handles the end of a run of a sample: another run, the reward call, or the result.
 *
 * The next step is decided by core/decisions/sample-next.h.  The send guard is informed of each end, since a
 * sample may be the reason why its workers end.
 */
#pragma once

#include "sample-set.h"

/* Callback of quince_sample_start_run().  @set: the QuinceSampleSet of @sample.  May free @sample. */
void quince_sample_outcome_handle_run_end (QuinceSample *sample,
                                           QuinceRunEnd end,
                                           const char *cause,
                                           gpointer set);
