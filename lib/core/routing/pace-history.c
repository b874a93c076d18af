/*
 * pace-history.c: the usual pace of a worker, and how long its slow phases last.
 */
#include "core/routing/pace-history.h"

/* Minimum multiple of the usual pace at which an interval counts as slow: a full worker is slower than one
 * with a single run by less than that. */
#define SLOW_FACTOR 1.5
/* Weight of a faster interval in the usual pace: a first measurement in a slow phase is soon corrected. */
#define FASTER_WEIGHT 0.5
/* Weight of an interval that is slower, but not slow. */
#define SLOWER_WEIGHT 0.125
/* Relative growth of the usual pace per slow interval: a worker that stays slow no longer counts as slow
 * after some twenty seconds. */
#define SLOW_GROWTH (1.0 / 64)
/* Minimum number of events for an interval to be evaluated. */
#define INTERVAL_EVENTS_MIN 2
/* Weight that an ended phase keeps when the next one ends. */
#define PHASE_DECAY 0.9
/* Minimum number of ended phases of a service from which their mean duration is used. */
#define PHASES_MIN 5
/* Multiple of the mean duration after which a phase is not expected to end. */
#define LONG_PHASE_FACTOR 2

static void
update_usual_pace (QuincePaceHistory *history, gint64 mean_us)
{
  double usual_us = (double)history->usual_us;
  double difference_us = (double)mean_us - usual_us;
  if (history->usual_us == 0)
    usual_us = (double)mean_us;
  else if (difference_us < 0)
    usual_us += FASTER_WEIGHT * difference_us;
  else if ((double)mean_us >= SLOW_FACTOR * usual_us)
    usual_us += SLOW_GROWTH * usual_us;
  else
    usual_us += SLOWER_WEIGHT * difference_us;
  history->usual_us = MAX ((gint64)usual_us, 1);
}

static void
update_phase (QuincePaceHistory *history, gint64 mean_us)
{
  gboolean is_slow = (double)mean_us >= SLOW_FACTOR * (double)history->usual_us;
  if (is_slow && history->slow_since_us == 0)
    history->slow_since_us = history->interval_start_us;
  if (is_slow || history->slow_since_us == 0)
    return;
  gint64 duration_us = history->interval_start_us - history->slow_since_us;
  history->phases_sum_us = history->phases_sum_us * PHASE_DECAY + (double)duration_us;
  history->n_phases = history->n_phases * PHASE_DECAY + 1;
  history->slow_since_us = 0;
}

/* Evaluates the interval that has ended.  With too few events it is unknown whether a slow phase continues,
 * so that the phase is dropped without being recorded. */
static void
end_interval (QuincePaceHistory *history)
{
  if (history->interval_events < INTERVAL_EVENTS_MIN)
    {
      history->slow_since_us = 0;
      return;
    }
  gint64 mean_us = history->interval_sum_us / history->interval_events;
  if (history->usual_us > 0)
    update_phase (history, mean_us);
  update_usual_pace (history, mean_us);
}

void
quince_pace_history_record (QuincePaceHistory *history, gint64 now_us, gint64 event_interval_us)
{
  gint64 elapsed_us = now_us - history->interval_start_us;
  if (elapsed_us >= QUINCE_PACE_INTERVAL_US)
    {
      end_interval (history);
      if (elapsed_us >= 2 * QUINCE_PACE_INTERVAL_US)
        history->slow_since_us = 0; /* nothing was measured for an interval or more */
      history->interval_start_us = now_us;
      history->interval_sum_us = 0;
      history->interval_events = 0;
    }
  history->interval_sum_us += event_interval_us;
  history->interval_events++;
}

void
quince_slow_phases_add (QuinceSlowPhases *phases, const QuincePaceHistory *history)
{
  phases->sum_us += history->phases_sum_us;
  phases->count += history->n_phases;
}

gint64
quince_slow_phases_get_mean_us (const QuinceSlowPhases *phases)
{
  return phases->count >= PHASES_MIN ? (gint64)(phases->sum_us / phases->count) : 0;
}

gint64
quince_pace_history_expect_text_us (const QuincePaceHistory *history,
                                    gint64 now_us,
                                    double remaining,
                                    gint64 pace_us,
                                    gint64 mean_phase_us)
{
  double usual_us = (double)history->usual_us;
  double pace = (double)pace_us;
  gint64 phase_age_us = history->slow_since_us > 0 ? now_us - history->slow_since_us : 0;
  gboolean phase_ends_soon
      = mean_phase_us > 0 && history->usual_us > 0 && phase_age_us <= LONG_PHASE_FACTOR * mean_phase_us;
  if (!phase_ends_soon || pace <= usual_us)
    return (gint64)(remaining * pace);
  double excess_us = remaining * (pace - usual_us);
  double phase_excess_us = (double)mean_phase_us * (1 - usual_us / pace);
  return (gint64)(remaining * usual_us + MIN (excess_us, phase_excess_us));
}
