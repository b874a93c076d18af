/*
 * result-batching.c: how long a result waits so that it is listed together with the next results of its step.
 */
#include "core/batches/result-batching.h"

/* Minimum wait, us: about half the time between two events.  Estimates change with each event, so that more
 * frequent decisions would give the same result. */
#define WAIT_MIN_US (20 * 1000)
/* Time after its step is due in which a result still counts as in time for its group, us. */
#define GRACE_US (700 * 1000)
/* Multiple of its usual duration after which the end of a reward call is no longer predictable. */
#define REWARD_TIME_FACTOR_MAX 2

gint64
quince_result_batching_wait_us (const QuinceResultBatchingInput *input)
{
  gint64 latest_us = input->ready_us + input->window_us;
  gboolean is_late = input->due_us > 0 && input->now_us >= input->due_us + GRACE_US;
  if (input->due_us > 0 && !is_late)
    latest_us = MIN (latest_us, input->due_us);
  gboolean next_is_near = input->next_ready_us > 0 && input->next_ready_us <= latest_us;
  if (!next_is_near || input->completes_step || input->now_us >= latest_us)
    return 0;
  gint64 wait_us = MAX (input->next_ready_us - input->now_us, WAIT_MIN_US);
  return MIN (wait_us, latest_us - input->now_us);
}

gint64
quince_result_batching_expect_text_us (double remaining_events,
                                       gint64 pace_us,
                                       gint64 last_event_us,
                                       gint64 reward_time_us)
{
  if (pace_us <= 0 || last_event_us <= 0)
    return 0;
  return last_event_us + (gint64)(remaining_events * (double)pace_us) + reward_time_us;
}

gint64
quince_result_batching_expect_reward_us (gint64 now_us, gint64 started_us, gint64 reward_time_us)
{
  if (reward_time_us <= 0 || now_us - started_us > REWARD_TIME_FACTOR_MAX * reward_time_us)
    return 0;
  return MAX (started_us + reward_time_us, now_us);
}
