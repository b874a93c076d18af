/*
 * sample-plan.c: decisions about running samples.
 */
#include <quince/sample-plan.h>

/* A run that says nothing is given up after this many times its worker's time an event, but not before the
 * least: a load of weights stops a worker for about a second, and one that another leader ordered is not
 * known here.  The most holds for workers whose pace is not measured. */
#define SILENCE_EVENTS 30
#define SILENCE_LEAST_MS 1300
#define SILENCE_MOST_MS 2500
/* A move costs a connection, a place at the other worker and the reading of what was made so far: tens of
 * milliseconds by the users' engines; the figure leaves room for a busy worker. */
#define MOVE_COST_US (150 * 1000)
/* A move must save this much, and this part of the time left, or measured paces would send runs to and fro.
 */
#define MOVE_GAIN_LEAST_US (500 * 1000)
#define MOVE_GAIN_PART 0.25

/* A group that is whole so soon after those that a step waits for is still read with them: trainers read
 * about twice a second. */
#define SPARE_MARGIN_US (500 * 1000)

guint
quince_sample_plan_silence_ms (gint64 pace_us)
{
  if (pace_us <= 0)
    return SILENCE_MOST_MS;
  return (guint)CLAMP (SILENCE_EVENTS * pace_us / 1000, SILENCE_LEAST_MS, SILENCE_MOST_MS);
}

gboolean
quince_sample_plan_move_pays (double remaining, gint64 pace_us, gint64 other_pace_us)
{
  double here_us = remaining * (double)pace_us;
  double there_us = remaining * (double)other_pace_us + MOVE_COST_US;
  double gain_us = here_us - there_us;
  return pace_us > 0 && gain_us >= MOVE_GAIN_LEAST_US && gain_us >= MOVE_GAIN_PART * here_us;
}

static gint
compare_remaining (gconstpointer a, gconstpointer b)
{
  gint64 first = *(const gint64 *)a;
  gint64 second = *(const gint64 *)b;
  return (first > second) - (first < second);
}

/* When the last of the groups that are waited for is whole. */
static gint64
step_end_us (const QuinceGroupPlan *groups, guint n_groups, guint wanted)
{
  g_autoptr (GArray) others = g_array_new (FALSE, FALSE, sizeof (gint64));
  gint64 end_us = 0;
  guint required = 0;
  for (guint i = 0; i < n_groups; i++)
    {
      if (!groups[i].required)
        {
          g_array_append_val (others, groups[i].remaining_us);
          continue;
        }
      required++;
      end_us = MAX (end_us, groups[i].remaining_us);
    }
  guint more = MIN (wanted > required ? wanted - required : 0, others->len);
  g_array_sort (others, compare_remaining);
  return more > 0 ? MAX (end_us, g_array_index (others, gint64, more - 1)) : end_us;
}

void
quince_sample_plan_find_spare (QuinceGroupPlan *groups, guint n_groups, guint wanted)
{
  gint64 end_us = step_end_us (groups, n_groups, wanted);
  for (guint i = 0; i < n_groups; i++)
    groups[i].spare = !groups[i].required && groups[i].remaining_us > end_us + SPARE_MARGIN_US;
}

gboolean
quince_sample_plan_fits (const GArray *versions, guint64 minimum_version, gboolean single_version)
{
  for (guint i = 0; i < versions->len; i++)
    if (g_array_index (versions, guint64, i) < minimum_version)
      return FALSE;
  return versions->len > 0 && (!single_version || versions->len == 1);
}
