/*
 * sample-demand.h: demand of unfinished samples for workers, used by weight loads and by scaling, and when
 * their next result is expected.
 *
 * Computed from the length model and the paces of the workers; has no state of its own.
 */
#pragma once

#include "core/weights/load-plan.h"

#include "sample-set.h"

/* Records the waiting and running samples in @plan. */
void quince_sample_demand_fill_load_plan (QuinceSampleSet *set, QuinceLoadPlan *plan);
/* Returns the number of worker slots that the waiting and running samples of @service need to complete by
 * their deadlines; see quince_scale_slots_needed(). */
double quince_sample_demand_get_slots_needed (QuinceSampleSet *set, const char *service);
/* Returns when the next result of the unfinished samples of @batch is expected, monotonic, us; 0 if that
 * cannot be estimated. */
gint64 quince_sample_demand_get_next_result_us (QuinceSampleSet *set, const char *batch);
