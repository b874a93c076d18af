/*
 * sample-demand.h: what the open samples need of workers: for orders of weights, and for scaling.
 *
 * For: sample-runner.c.  Owns nothing.  Relies on: the length model and the workers' paces.
 */
#pragma once

#include "core/weights/load-plan.h"

#include "sample-set.h"

/* Fills in the samples that wait and run. */
void quince_sample_demand_fill_load_plan (QuinceSampleSet *set, QuinceLoadPlan *plan);
/* Slots at workers of @service that its open samples need to end in time; see scale-plan.h. */
double quince_sample_demand_get_slots_needed (QuinceSampleSet *set, const char *service);
