/*
 * sample-outcome.h: what follows a run of a sample: another run, its reward call, or its result.
 *
 * For: sample-dispatch.c, as the callback of a run.  Owns nothing.  Relies on: core/decisions/sample-next.h
 * for the rule, the send guard for what a broken connection says of the sample.
 */
#pragma once

#include "sample-set.h"

/* The callback of quince_sample_start_run(); @set: QuinceSampleSet.  May release @sample. */
void
quince_sample_outcome_run_ended (QuinceSample *sample, QuinceRunEnd end, const char *cause, gpointer set);
