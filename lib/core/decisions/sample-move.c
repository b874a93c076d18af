/*
 * sample-move.c: decisions about running samples.
 */
#include "core/decisions/sample-move.h"

/* A run that says nothing is given up after this many times its worker's time an event, but not before the
 * least: a load of weights stops a worker for about a second, and one that another leader ordered is not
 * known here.  The most holds for workers whose pace is not measured. */
#define SILENCE_EVENTS 30
#define SILENCE_MIN_MS 1300
#define SILENCE_MAX_MS 2500
/* A move costs a connection, a place at the other worker and the reading of what was made so far: tens of
 * milliseconds by the users' engines; the figure leaves room for a busy worker. */
#define MOVE_COST_US (150 * 1000)
/* A move must save this much, and this part of the time left, or measured paces would send runs to and fro.
 */
#define MOVE_GAIN_MIN_US (500 * 1000)
#define MOVE_GAIN_PART 0.25
/* Runs that might move are looked at this seldom: a leader that runs a thousand samples begins and ends
 * hundreds of runs a second. */
#define MOVE_CHECK_US (100 * 1000)
/* A look that comes so much later than it should tells of a busy process.  Looks are made by a timer of 100
 * ms and by news: one that is missed by a hair comes 100 ms late on a calm process. */
#define MOVE_LATE_US (200 * 1000)
/* Chosen: the smoothed pace of a worker has forgotten one late event after some 16 of 45 ms. */
#define MOVE_SETTLE_US (1000 * 1000)

guint
quince_silence_sample_ms (gint64 pace_us)
{
  if (pace_us <= 0)
    return SILENCE_MAX_MS;
  return (guint)CLAMP (SILENCE_EVENTS * pace_us / 1000, SILENCE_MIN_MS, SILENCE_MAX_MS);
}

gboolean
quince_sample_move_pays (double remaining, gint64 pace_us, gint64 other_pace_us)
{
  double here_us = remaining * (double)pace_us;
  double there_us = remaining * (double)other_pace_us + MOVE_COST_US;
  double gain_us = here_us - there_us;
  return pace_us > 0 && gain_us >= MOVE_GAIN_MIN_US && gain_us >= MOVE_GAIN_PART * here_us;
}

gboolean
quince_sample_move_is_time (QuinceMoveWatch *watch, gint64 now_us)
{
  gint64 since_us = now_us - watch->checked_us;
  if (watch->checked_us != 0 && since_us < MOVE_CHECK_US)
    return FALSE;
  if (watch->checked_us != 0 && since_us > MOVE_CHECK_US + MOVE_LATE_US)
    watch->trust_us = now_us + MOVE_SETTLE_US;
  watch->checked_us = now_us;
  return now_us >= watch->trust_us;
}
