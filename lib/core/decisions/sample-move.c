/*
 * sample-move.c: when a running sample is stopped and resumed at a faster worker.
 */
#include "core/decisions/sample-move.h"

/* Minimum duration of a run before a move, us: the smoothed pace of a worker settles after about 16 events of
 * 45 ms. */
#define RUN_BEFORE_MOVE_MIN_US (700 * 1000)
/* Maximum moves of one sample: limits the cost of a wrong pace. */
#define MOVES_MAX 4
/* Cost of a move, us: connecting, getting a slot and reading the text so far take tens of ms; the rest is a
 * margin for a busy worker. */
#define MOVE_COST_US (150 * 1000)
/* Minimum time that a move must save, us: prevents runs from moving back and forth as paces vary. */
#define MOVE_GAIN_MIN_US (500 * 1000)
/* Minimum fraction of the remaining time that a move must save, for the same reason. */
#define MOVE_GAIN_MIN_FRACTION 0.25
/* Minimum interval of the checks, us: a leader with a thousand samples starts and ends hundreds of runs per
 * second, each of which may trigger a check. */
#define MOVE_CHECK_INTERVAL_US (100 * 1000)
/* Maximum delay of a check, us; a longer one shows that this process is overloaded.  A timer of 100 ms and
 * events trigger checks, so a check can be 100 ms late even in an idle process. */
#define MOVE_CHECK_DELAY_MAX_US (200 * 1000)
/* Time without moves after a late check, us: longer than the 16 events of 45 ms after which one late event no
 * longer affects the smoothed pace. */
#define LATE_CHECK_PAUSE_US (1000 * 1000)

gboolean
quince_sample_move_is_allowed (const QuinceSampleMoveInput *sample)
{
  return sample->measured && sample->moves < MOVES_MAX && !sample->single_version
         && sample->run_us >= RUN_BEFORE_MOVE_MIN_US;
}

gboolean
quince_sample_move_saves_enough (double here_us, double there_us)
{
  double gain_us = here_us - there_us - MOVE_COST_US;
  return gain_us >= MOVE_GAIN_MIN_US && gain_us >= MOVE_GAIN_MIN_FRACTION * here_us;
}

gboolean
quince_sample_move_is_worthwhile (double remaining, gint64 pace_us, gint64 target_pace_us)
{
  return pace_us > 0
         && quince_sample_move_saves_enough (remaining * (double)pace_us, remaining * (double)target_pace_us);
}

gboolean
quince_sample_move_can_target (const QuinceWorker *worker, gint64 now_us, guint slots)
{
  return !worker->draining && !worker->loading && worker->expires_us == 0
         && now_us >= worker->ejected_until_us && worker->running < slots
         && !quince_worker_is_cold (worker, now_us);
}

gboolean
quince_sample_move_check_is_due (QuinceMoveCheckState *check, gint64 now_us)
{
  gint64 since_last_check_us = now_us - check->last_check_us;
  if (check->last_check_us != 0 && since_last_check_us < MOVE_CHECK_INTERVAL_US)
    return FALSE;
  if (check->last_check_us != 0 && since_last_check_us > MOVE_CHECK_INTERVAL_US + MOVE_CHECK_DELAY_MAX_US)
    check->paces_valid_from_us = now_us + LATE_CHECK_PAUSE_US;
  check->last_check_us = now_us;
  return now_us >= check->paces_valid_from_us;
}
