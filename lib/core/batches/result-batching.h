/*
 * result-batching.h: how long a result waits so that it is listed together with the next results of its step.
 *
 * A trainer uses complete groups only.  A read of results is answered as soon as one is listed, and the
 * trainer reads again half a second to a second later.  Where the longest texts of a step end within a few
 * tenths of a second of each other, the read that the first of them answers misses the others, and the step
 * ends a reading interval late.  The leader therefore appends such results to the ledger together.
 *
 * Pure functions, used by daemons/replica/result-queue.c.  Times are monotonic, us.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * QuinceResultBatchingInput:
 * @now_us: current time
 * @ready_us: when the oldest unlisted result of the step was ready
 * @due_us: when the step is due; 0: it has no deadline
 * @window_us: maximum time for which a result may wait; 0: results do not wait
 * @next_ready_us: when the next result of the step is expected; 0: none is expected
 * @completes_step: the trainer can end the step with the unlisted results
 */
typedef struct
{
  gint64 now_us;
  gint64 ready_us;
  gint64 due_us;
  gint64 window_us;
  gint64 next_ready_us;
  gboolean completes_step;
} QuinceResultBatchingInput;

/**
 * quince_result_batching_wait_us:
 *
 * Decides how long the unlisted results of a step still wait.  They wait for the next result only if it is
 * expected before the oldest of them has waited for @window_us and before the step is due, and if the trainer
 * needs more results than these.  No result waits from the due time of the step until 0.7 s after it, since a
 * result that is listed by then still counts as in time.  Later results may wait again, for the whole window:
 * only the end of the step counts then.
 *
 * Returns: time until the next decision, us; 0: the results are listed now
 */
gint64 quince_result_batching_wait_us (const QuinceResultBatchingInput *input);

/**
 * quince_result_batching_expect_text_us:
 * @remaining_events: expected number of events that the text still needs
 * @pace_us: time between two events at its worker; 0: unknown
 * @last_event_us: when its last event arrived; 0: none yet
 * @reward_time_us: usual duration of its reward call; 0: unknown, or it has none
 *
 * Returns: when the result of a running sample is expected, or 0 if that cannot be estimated
 */
gint64 quince_result_batching_expect_text_us (double remaining_events,
                                              gint64 pace_us,
                                              gint64 last_event_us,
                                              gint64 reward_time_us);

/**
 * quince_result_batching_expect_reward_us:
 * @started_us: when the reward call started
 * @reward_time_us: usual duration of such a call; 0: unknown
 *
 * A call that takes more than twice its usual time may have to be repeated, so its end is not predictable.
 *
 * Returns: when the result of a sample with a reward call in flight is expected, or 0 if that cannot be
 * estimated
 */
gint64 quince_result_batching_expect_reward_us (gint64 now_us, gint64 started_us, gint64 reward_time_us);

G_END_DECLS
