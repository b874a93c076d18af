/*
 * step-demand.h: the demand of trainers' steps for workers of their models, noted in the model placement.
 *
 * Owns no state; the placement belongs to the caller.
 */
#pragma once

#include "protocol/codec.h"
#include "core/weights/model-placement.h"
#include "core/routing/route-table.h"

/* A step was submitted.  @open_samples: samples of its model without a result, with those of this step */
void quince_step_demand_record_batch (QuinceModelPlacement *placement,
                                      const QuinceBatchJob *batch,
                                      guint open_samples);
/* Its trainer ended it.  @route: (nullable): %NULL: the route no longer exists, so the deadline isn't known
 * and nothing is noted */
void quince_step_demand_record_end (QuinceModelPlacement *placement,
                                    const QuinceBatchJob *batch,
                                    const QuinceRoute *route);
