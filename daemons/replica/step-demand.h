/*
 * step-demand.h: records the demand of training steps for workers of their models in the model placement.
 */
#pragma once

#include "protocol/codec.h"
#include "core/weights/model-placement.h"
#include "core/routing/route-table.h"

/* Records that @batch was submitted.  @open_samples: samples of its model without a result, including
 * those of @batch */
void quince_step_demand_record_batch (QuinceModelPlacement *placement,
                                      const QuinceBatchJob *batch,
                                      guint open_samples);
/* Records how long the step of @batch took, compared with the deadline of its route.  @route: (nullable): if
 * it is %NULL or has no deadline, nothing is recorded */
void quince_step_demand_record_end (QuinceModelPlacement *placement,
                                    const QuinceBatchJob *batch,
                                    const QuinceRoute *route);
