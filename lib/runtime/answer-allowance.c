/*
 * answer-allowance.c: answers shrink to what a busy link takes in a short time, and grow on one that is idle
 * in between.
 */
#include "runtime/answer-allowance.h"

/* Less than this is always on its way: heartbeats, news.  Chosen: the packets of one round trip of 24 ms at 5
 * Mbit/s. */
#define IDLE_BYTES (16 * 1024)
/* A link that was busy for so long is slow: several round trips between regions (24 ms), and as long as a
 * heartbeat (250 ms) may be late.  An answer is what it takes in this time. */
#define SLOW_US (250 * 1000)
/* However slow a link is, an answer has so much: a text or two. */
#define MIN_BYTES (16 * 1024)
/* Two callers of one front that ask in the same moment are answered. */
#define ANSWERS_AT_ONCE 2
/* The link may have been idle in between: it counts as busy for no longer than this, or one that rested for
 * ten seconds would look slow.  Callers read each half second, and wait 1.5 s for an answer: a slow link is
 * busy for as long (with 0.5 s here, 0 of 96 reads got their results at 600 kB/s, with 2 s 14 of 123). */
#define BUSY_MAX_US (2000 * 1000)

/* What the link took since the last answer, in SLOW_US. */
static gsize
measure (const QuinceAnswerAllowance *allowance, gint64 now_us, gsize backlog)
{
  gsize taken = allowance->sent_backlog - MIN (backlog, allowance->sent_backlog);
  return (gsize)((double)taken * SLOW_US / (double)MIN (now_us - allowance->sent_us, BUSY_MAX_US));
}

gsize
quince_answer_allowance_take (QuinceAnswerAllowance *allowance, gint64 now_us, gsize backlog, gsize most)
{
  /* A new link counts as healthy: a step's texts are some MB, and each read that gets less waits for the
   * caller's next one, half a second later. */
  gboolean first = allowance->bytes == 0;
  if (first)
    allowance->bytes = most;
  if (backlog <= IDLE_BYTES)
    allowance->bytes = MIN (2 * allowance->bytes, most);
  else if (!first && now_us - allowance->sent_us > SLOW_US)
    allowance->bytes
        = CLAMP (measure (allowance, now_us, backlog), MIN_BYTES, MAX (allowance->bytes, MIN_BYTES));
  if (backlog > ANSWERS_AT_ONCE * allowance->bytes)
    return 0;
  allowance->sent_backlog = backlog + allowance->bytes;
  allowance->sent_us = now_us;
  return allowance->bytes;
}
