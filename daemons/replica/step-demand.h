/*
 * step-demand.h: what trainers' steps tell of the workers that their models need.
 */
#pragma once

#include "protocol/codec.h"
#include "core/weights/model-placement.h"
#include "core/routing/route-table.h"

/* A step was submitted. @open_samples: of its model that are not done, with those of this step */
void quince_step_demand_note_batch (QuinceModelPlacement *placement,
                                    const QuinceBatchJob *batch,
                                    guint open_samples);
/* Its trainer ended it.  @route: (nullable): %NULL: its route is gone, and nothing is known of when it was
 * due */
void quince_step_demand_note_end (QuinceModelPlacement *placement,
                                  const QuinceBatchJob *batch,
                                  const QuinceRoute *route);
