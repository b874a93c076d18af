/*
 * sample-shares.h: metrics of samples and steps by model, that is, by trainer.
 */
#pragma once

#include "sample-set.h"

/* Sets the gauges of waiting and running samples, and of the time that the open steps are behind. */
void quince_sample_shares_set_metrics (const QuinceSampleSet *set, gint64 now_us);
/* Sets all of these gauges to 0, at a replica that does not lead. */
void quince_sample_shares_clear_metrics (QuinceBackends *backends);
/* Counts a run that a worker refused or that was moved, by model and by the zone of its worker. */
void
quince_sample_shares_count_run_end (const QuinceSampleSet *set, const QuinceSample *sample, QuinceRunEnd end);
/* Counts a sample that is abandoned, by model. */
void quince_sample_shares_count_abandoned (const QuinceSampleSet *set, const QuinceSample *sample);
/* Sets how far the last step of a model was behind when its submitter ended it.  @route: (nullable): route of
 * @batch */
void quince_sample_shares_record_step (QuinceBackends *backends,
                                       const QuinceBatchJob *batch,
                                       const QuinceRoute *route);
