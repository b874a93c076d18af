/*
 * step-demand.c: demand of training steps for workers of their models.
 */
#include "step-demand.h"

#include "runtime/metrics.h"
#include "runtime/clock.h"

#include "platform.h"

/* Returns the number of tokens that @batch is expected to generate.  A sample without an estimate counts with
 * its maximum.  Prompts are not counted: reading them takes only a few percent of the time. */
static double
get_expected_tokens (const QuinceBatchJob *batch)
{
  double tokens = 0;
  for (guint i = 0; i < batch->items.items_len; i++)
    {
      const QuinceBatchItem *item = &batch->items.items_val[i];
      QuincePlatformLengthEstimate estimate;
      quince_platform_read_length_estimate (item, &estimate);
      tokens += estimate.estimated_tokens > 0 ? estimate.estimated_tokens : item->tokens;
    }
  return tokens;
}

void
quince_step_demand_record_batch (QuinceModelPlacement *placement,
                                 const QuinceBatchJob *batch,
                                 guint open_samples)
{
  quince_model_placement_add_demand (placement, quince_now_us (), batch->model, get_expected_tokens (batch),
                                     open_samples);
}

void
quince_step_demand_record_end (QuinceModelPlacement *placement,
                               const QuinceBatchJob *batch,
                               const QuinceRoute *route)
{
  if (route == NULL || route->deadline_ms == 0)
    return;
  gint64 duration_ms = quince_wall_ms () - (gint64)batch->submitted_ms;
  g_autofree char *labels = g_strdup_printf ("model=\"%s\"", batch->model);
  quince_metric_set ("quince_replica_step_lateness", labels, (double)duration_ms / route->deadline_ms);
  quince_model_placement_record_step (placement, batch->model, duration_ms * 1000,
                                      (gint64)route->deadline_ms * 1000);
}
