/*
 * sample-plan.h: decisions about running samples: when a silent run is given up, when a run moves to another
 * worker, and which groups a step likely ends without.
 *
 * Pure: what is known is passed in, times are durations.
 */
#pragma once

#include <quince/codec.h>

G_BEGIN_DECLS

/* How long a run may say nothing.  @pace_us: the worker's measured time an event, 0: not measured */
guint quince_sample_plan_silence_ms (gint64 pace_us);

/* Whether a run with @remaining events to come ends enough sooner at another worker to be moved there.
 * @pace_us, @other_pace_us: measured time an event of its worker and of the other one */
gboolean quince_sample_plan_move_pays (double remaining, gint64 pace_us, gint64 other_pace_us);

/**
 * QuinceGroupPlan: one group of a step
 * @remaining_us: until all its samples are listed, likely; 0: they are
 * @required: the trainer waits for this group whatever others are whole
 * @spare: (out): the step likely ends before the group is whole
 */
typedef struct
{
  gint64 remaining_us;
  gboolean required;
  gboolean spare;
} QuinceGroupPlan;

/* Finds the groups that a step with @wanted groups likely ends without. */
void quince_sample_plan_find_spare (QuinceGroupPlan *groups, guint n_groups, guint wanted);

/* Whether a text made under @versions (guint64) may stand in a batch. */
gboolean quince_sample_plan_fits (const GArray *versions, guint64 minimum_version, gboolean single_version);

G_END_DECLS
