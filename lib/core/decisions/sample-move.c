/*
 * sample-move.c: when a running sample is cut and resumed at a faster worker.
 */
#include "core/decisions/sample-move.h"

/* A run is measured for so long before it moves, us, and moves no more often.  Not measured: the smoothed
 * pace of a worker has settled after some 16 events of 45 ms. */
#define RUN_BEFORE_MOVE_MIN_US (700 * 1000)
/* Runs of one sample that may end by a move: bounds what a wrong pace can cost.  Not measured. */
#define MOVES_MAX 4
/* Cost of a move, us: a connection, a place at the other worker and the reading of the text so far take tens
 * of ms at the users' workers; the rest is room for a busy worker. */
#define MOVE_COST_US (150 * 1000)
/* Shortest time that a move must save, us, or measured paces would send runs to and fro.  Not measured by
 * itself. */
#define MOVE_GAIN_MIN_US (500 * 1000)
/* Part of the time left that a move must save, for the same reason.  Not measured by itself. */
#define MOVE_GAIN_MIN_FRACTION 0.25
/* Interval of the checks, us: a leader that runs a thousand samples begins and ends hundreds of runs a
 * second. */
#define MOVE_CHECK_INTERVAL_US (100 * 1000)
/* A check that comes so much later than it should shows a busy process, us.  Checks are made by a timer of
 * 100 ms and by events: one that is missed by a hair comes 100 ms late in a calm process. */
#define MOVE_CHECK_DELAY_MAX_US (200 * 1000)
/* Time without moves after a late check, us.  Chosen: the smoothed pace of a worker has forgotten one late
 * event after some 16 of 45 ms. */
#define LATE_CHECK_PAUSE_US (1000 * 1000)

gboolean
quince_sample_move_is_allowed (const QuinceSampleMoveInput *sample)
{
  return sample->measured && sample->moves < MOVES_MAX && !sample->single_version
         && sample->run_us >= RUN_BEFORE_MOVE_MIN_US;
}

gboolean
quince_sample_move_is_worthwhile (double remaining, gint64 pace_us, gint64 target_pace_us)
{
  double remaining_here_us = remaining * (double)pace_us;
  double remaining_there_us = remaining * (double)target_pace_us + MOVE_COST_US;
  double gain_us = remaining_here_us - remaining_there_us;
  return pace_us > 0 && gain_us >= MOVE_GAIN_MIN_US && gain_us >= MOVE_GAIN_MIN_FRACTION * remaining_here_us;
}

gboolean
quince_sample_move_can_target (const QuinceWorker *worker, gint64 now_us, guint slots)
{
  return !worker->draining && !worker->loading && worker->gone_after_us == 0
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
