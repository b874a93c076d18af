/*
 * answer-allowance.c: the size of answers follows what a busy link takes in a short time, and doubles on one
 * that is idle between answers.
 */
#include "runtime/answer-allowance.h"

/* A link with fewer bytes on their way counts as idle: heartbeats and feed updates are always there.  Chosen:
 * the bytes of one round trip of 24 ms at 5 Mbit/s. */
#define IDLE_BACKLOG_BYTES (16 * 1024)
/* A link that is busy for longer is slow, us: ten round trips between regions (24 ms), and the time between
 * two heartbeats, which wait behind an answer.  An answer is what the link takes in this time. */
#define DRAIN_TIME_US (250 * 1000)
/* Smallest answer, however slow the link is, bytes: one or two texts. */
#define ANSWER_MIN_BYTES (16 * 1024)
/* Answers that may be on their way at once: two callers of one front that ask at the same time both get one.
 */
#define BACKLOG_MAX_ANSWERS 2
/* Longest time for which a link counts as busy since its last answer, us; without a bound, one that was idle
 * for ten seconds would look slow.  Callers read each 0.5 s and wait 1.5 s for an answer, so that a slow link
 * is busy for as long (at 600 kB/s 0 of 96 reads got their results with 0.5 s here, 14 of 123 with 2 s). */
#define RATE_INTERVAL_MAX_US (2000 * 1000)

/* What the link took since the last answer, in DRAIN_TIME_US. */
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
  /* A new link counts as fast: a step's texts are some MB, and each read that gets fewer of them delays the
   * rest to the caller's next read, 0.5 s later. */
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
