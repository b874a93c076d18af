/*
 * answer-allowance.h: limits the size of answers on a link, so that a slow link neither fills the sender's
 * memory nor delays the heartbeats queued behind an answer.
 *
 * Each link has one QuinceAnswerAllowance.  The functions do no I/O and read no clock; times are in
 * microseconds of a monotonic clock.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * QuinceAnswerAllowance:
 * @last_max_bytes: size limit from the latest request; 0 before the first request
 * @backlog_before_send: backlog just before the last answer was sent, bytes
 * @backlog_after_send: maximum backlog just after the last answer was sent, bytes
 * @sent_us: time at which the last answer was sent
 * @max_bytes: maximum size of any answer, from the latest request
 * @adapted_us: time at which the limit was last adapted to a measured delivery or raised without one; 0 if no
 *   delivery was measured
 *
 * State of one link; initialize it to zero.
 */
typedef struct
{
  gsize last_max_bytes;
  gsize backlog_before_send;
  gsize backlog_after_send;
  gint64 sent_us;
  gsize max_bytes;
  gint64 adapted_us;
} QuinceAnswerAllowance;

/**
 * quince_answer_allowance_acquire:
 * @backlog: bytes queued or sent on the link and not yet delivered
 * @max_bytes: maximum size of any answer, bytes
 *
 * Computes the size limit of the next answer and records the answer as sent with that size.
 *
 * Returns: the size limit in bytes, or 0 if the backlog is too large to send an answer now
 */
gsize quince_answer_allowance_acquire (QuinceAnswerAllowance *allowance,
                                       gint64 now_us,
                                       gsize backlog,
                                       gsize max_bytes);

/* Records the size of the answer that was sent last.  It may exceed the limit, since an answer holds at least
 * one text. */
void quince_answer_allowance_record_size (QuinceAnswerAllowance *allowance, gsize bytes);

/**
 * quince_answer_allowance_record_delivery:
 * @bytes: bytes of an answer and of what was queued with it
 * @duration_us: from queueing the answer until the peer is known to have it
 *
 * Adapts the size limit to what the link delivers.
 */
void quince_answer_allowance_record_delivery (QuinceAnswerAllowance *allowance,
                                              gint64 now_us,
                                              gsize bytes,
                                              gint64 duration_us);

G_END_DECLS
