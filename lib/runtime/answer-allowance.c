/*
 * answer-allowance.c: on a busy link, limits an answer to the bytes that the link drains in DRAIN_TIME_US; on
 * an idle link, to the bytes that it delivers in DELIVERY_TIME_US.  Where deliveries are not measured, each
 * answer on an idle link doubles the limit.
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

/* Time in which an answer should be delivered, as measured up to the answer to the probe that follows it.  A
 * front is silent to its leader after 650 ms without an answer to a heartbeat, of which one heartbeat
 * interval may pass before the answer; 50 ms remain. */
#define DELIVERY_TIME_US (350 * 1000)
/* A smaller answer that takes long does not lower the limit: its peer was late and not the link, which would
 * have to be slower than 1.5 Mbit/s. */
#define SLOW_DELIVERY_MIN_BYTES (64 * 1024)

/* Time without a measured delivery after which an idle link raises the limit.  Longer than the interval at
 * which callers read results; a front that is fed by a relay gets no heartbeats of the leader any more. */
#define MEASUREMENT_MAX_AGE_US (2000 * 1000)

/* Returns whether an idle link raises the limit.  Where deliveries are measured it does not, since the link
 * of a caller that reads again as soon as it was answered is always idle, however slow it is. */
static gboolean
raise_on_idle (QuinceAnswerAllowance *allowance, gint64 now_us)
{
  if (allowance->adapted_us == 0)
    return TRUE;
  if (now_us - allowance->adapted_us <= MEASUREMENT_MAX_AGE_US)
    return FALSE;
  allowance->adapted_us = now_us;
  return TRUE;
}

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
  allowance->max_bytes = max_bytes;
  if (backlog <= IDLE_BACKLOG_BYTES)
    {
      if (raise_on_idle (allowance, now_us))
        allowance->last_max_bytes = MIN (2 * allowance->last_max_bytes, max_bytes);
    }
  else if (!is_first && now_us - allowance->sent_us > DRAIN_TIME_US)
    allowance->last_max_bytes = CLAMP (estimate_drained_bytes (allowance, now_us, backlog), ANSWER_MIN_BYTES,
                                       MAX (allowance->last_max_bytes, ANSWER_MIN_BYTES));
  if (backlog > BACKLOG_MAX_ANSWERS * allowance->last_max_bytes)
    return 0;
  allowance->backlog_before_send = backlog;
  allowance->backlog_after_send = backlog + allowance->last_max_bytes;
  allowance->sent_us = now_us;
  return allowance->last_max_bytes;
}

void
quince_answer_allowance_record_size (QuinceAnswerAllowance *allowance, gsize bytes)
{
  allowance->backlog_after_send = MAX (allowance->backlog_after_send, allowance->backlog_before_send + bytes);
}

void
quince_answer_allowance_record_delivery (QuinceAnswerAllowance *allowance,
                                         gint64 now_us,
                                         gsize bytes,
                                         gint64 duration_us)
{
  allowance->adapted_us = now_us;
  gsize deliverable_bytes = (gsize)((double)bytes * DELIVERY_TIME_US / (double)MAX (duration_us, 1));
  if (duration_us <= DELIVERY_TIME_US)
    {
      /* An answer far below the limit does not show what the link can deliver. */
      if (bytes >= allowance->last_max_bytes / 2)
        allowance->last_max_bytes
            = MIN (MAX (deliverable_bytes, allowance->last_max_bytes), allowance->max_bytes);
    }
  else if (bytes >= SLOW_DELIVERY_MIN_BYTES)
    /* An answer above the limit shows what the link can deliver, even if it took too long. */
    allowance->last_max_bytes = CLAMP (deliverable_bytes, ANSWER_MIN_BYTES,
                                       MAX (MAX (allowance->last_max_bytes, bytes), ANSWER_MIN_BYTES));
}
