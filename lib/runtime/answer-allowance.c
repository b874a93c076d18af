/*
 * answer-allowance.c: on a busy link, limits an answer to the bytes that the link drains in DRAIN_TIME_US; on
 * an idle link, doubles the limit with each answer.
 */
#include "runtime/answer-allowance.h"

/* A link with a backlog up to this size counts as idle.  Heartbeats and feed updates keep the backlog above
 * zero; the value is one round trip of 24 ms at 5 Mbit/s. */
#define IDLE_BACKLOG_BYTES (16 * 1024)
/* Time in which a slow link should drain one answer: the heartbeat interval, so that heartbeats are not
 * delayed for longer, and ten round trips of 24 ms between regions. */
#define DRAIN_TIME_US (250 * 1000)
/* Lower bound of the size limit on a slow link: one or two texts. */
#define ANSWER_MIN_BYTES (16 * 1024)
/* No answer is sent while the backlog exceeds this many answers of the current size limit.  Two callers of
 * one front may thus get an answer at the same time. */
#define BACKLOG_MAX_ANSWERS 2
/* Maximum interval over which the rate of a link is estimated; a link that was idle for longer would look
 * slow.  Longer than the 1.5 s for which callers wait for an answer.  At 600 kB/s, 0 of 96 reads got their
 * results with a maximum of 0.5 s, and 14 of 123 with 2 s. */
#define RATE_INTERVAL_MAX_US (2000 * 1000)

/* Estimates the bytes that the link drains in DRAIN_TIME_US, by its rate since the last answer. */
static gsize
estimate_drained_bytes (const QuinceAnswerAllowance *allowance, gint64 now_us, gsize backlog)
{
  gsize drained_bytes = allowance->backlog_after_send - MIN (backlog, allowance->backlog_after_send);
  return (gsize)((double)drained_bytes * DRAIN_TIME_US
                 / (double)MIN (now_us - allowance->sent_us, RATE_INTERVAL_MAX_US));
}

gsize
quince_answer_allowance_acquire (QuinceAnswerAllowance *allowance,
                                 gint64 now_us,
                                 gsize backlog,
                                 gsize max_bytes)
{
  /* A new link counts as fast, since results that do not fit into the answer wait for the caller's next read,
   * 0.5 s later. */
  gboolean is_first = allowance->last_max_bytes == 0;
  if (is_first)
    allowance->last_max_bytes = max_bytes;
  if (backlog <= IDLE_BACKLOG_BYTES)
    allowance->last_max_bytes = MIN (2 * allowance->last_max_bytes, max_bytes);
  else if (!is_first && now_us - allowance->sent_us > DRAIN_TIME_US)
    allowance->last_max_bytes = CLAMP (estimate_drained_bytes (allowance, now_us, backlog), ANSWER_MIN_BYTES,
                                       MAX (allowance->last_max_bytes, ANSWER_MIN_BYTES));
  if (backlog > BACKLOG_MAX_ANSWERS * allowance->last_max_bytes)
    return 0;
  allowance->backlog_after_send = backlog + allowance->last_max_bytes;
  allowance->sent_us = now_us;
  return allowance->last_max_bytes;
}
