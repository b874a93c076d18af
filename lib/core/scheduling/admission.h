/*
 * admission.h: how long a request would wait, whether it may, and when the
 * refused should come back.
 *
 * The drain rate of a queue is measured from what leaves it while it is
 * backlogged, but for its first service time, in which the runs that fill the
 * places have yet to end.  Until there is enough of that, Little's law gives
 * it: slots held by this node over the smoothed service time, summed over the
 * classes of work.
 */
#pragma once

#include <quince/scheduler.h>

#define QUINCE_WORK_CLASSES 2

/* Drain of one service's queue; owned by its service queue. */
typedef struct
{
  double departures;   /* while backlogged, decaying  */
  double backlogged_s; /* time backlogged, decaying   */
  gint64 updated_us;
  gboolean backlogged;
  gint64 began_us; /* of the backlog              */
  /* By QuinceWorkClass: a rollout may run a thousand times as long as a Lookup. */
  double service_ms[QUINCE_WORK_CLASSES]; /* smoothed, from grant to end; 0: not measured */
  guint slots[QUINCE_WORK_CLASSES];       /* that this node holds now */
  gint64 next_return_us;                  /* when the last one refused was told to return */
  guint64 refusals;                       /* seeds the spread            */
} QuinceDrainMeter;

/* Tells the meter whether something waits, and how many just left the queue. */
void
quince_drain_meter_update (QuinceDrainMeter *meter, gint64 now_us, guint departures, gboolean backlogged);
void quince_drain_meter_served (QuinceDrainMeter *meter, QuinceWorkClass work_class, guint service_ms);
/* Requests a second, always above 0. */
double quince_drain_meter_rate (const QuinceDrainMeter *meter);
/* Assumed until it is measured. */
double quince_drain_meter_service_ms (const QuinceDrainMeter *meter, QuinceWorkClass work_class);

/* Time until @ahead requests have left the queue. */
guint quince_admission_wait_ms (const QuinceDrainMeter *meter, guint ahead);
/* Time after which to come back, never 0; each caller gets another turn. */
guint quince_admission_retry_after_ms (QuinceDrainMeter *meter, gint64 now_us, guint waiting, guint64 seed);

/* Dynamic threshold (Choudhury, Hahne 1998): a member may fill the queue only
 * as long as room is left for the others.  Returns whether there is room. */
gboolean quince_admission_has_room (guint queue_most, guint waiting, guint member_waiting);

/* Budget of retries: a part of the first attempts, and a few a second so that
 * retries cannot starve when there are no first attempts.  Owned by the scheduler. */
typedef struct
{
  double tokens;
  gint64 updated_us;
} QuinceRetryBudget;

void quince_retry_budget_init (QuinceRetryBudget *budget);
void quince_retry_budget_earn (QuinceRetryBudget *budget, double retry_ratio);
gboolean quince_retry_budget_available (QuinceRetryBudget *budget, gint64 now_us);
void quince_retry_budget_spend (QuinceRetryBudget *budget);
