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
#define SLOW_US (250 * 1000)
/* Smallest answer, however slow the link is, bytes: one or two texts. */
#define ANSWER_MIN_BYTES (16 * 1024)
/* Answers that may be on their way at once: two callers of one front that ask at the same time both get one.
 */
#define ANSWERS_IN_FLIGHT 2
/* Longest time for which a link counts as busy since its last answer, us; without a bound, one that was idle
 * for ten seconds would look slow.  Callers read each 0.5 s and wait 1.5 s for an answer, so that a slow link
 * is busy for as long (at 600 kB/s 0 of 96 reads got their results with 0.5 s here, 14 of 123 with 2 s). */
#define RATE_INTERVAL_MAX_US (2000 * 1000)

/* What the link took since the last answer, in SLOW_US. */
static gsize
measure (const QuinceAnswerAllowance *allowance, gint64 now_us, gsize backlog)
{
  gsize taken = allowance->backlog_after_send - MIN (backlog, allowance->backlog_after_send);
  return (gsize)((double)taken * SLOW_US / (double)MIN (now_us - allowance->sent_us, RATE_INTERVAL_MAX_US));
}

gsize
quince_answer_allowance_acquire (QuinceAnswerAllowance *allowance, gint64 now_us, gsize backlog, gsize most)
{
  /* A new link counts as fast: a step's texts are some MB, and each read that gets fewer of them delays the
   * rest to the caller's next read, 0.5 s later. */
  gboolean first = allowance->bytes == 0;
  if (first)
    allowance->bytes = most;
  if (backlog <= IDLE_BACKLOG_BYTES)
    allowance->bytes = MIN (2 * allowance->bytes, most);
  else if (!first && now_us - allowance->sent_us > SLOW_US)
    allowance->bytes = CLAMP (measure (allowance, now_us, backlog), ANSWER_MIN_BYTES,
                              MAX (allowance->bytes, ANSWER_MIN_BYTES));
  if (backlog > ANSWERS_IN_FLIGHT * allowance->bytes)
    return 0;
  allowance->backlog_after_send = backlog + allowance->bytes;
  allowance->sent_us = now_us;
  return allowance->bytes;
}
