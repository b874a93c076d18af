/*
 * answer-allowance.h: how large an answer on a link may be, so that a slow link neither fills the sender's
 * memory nor delays the heartbeats behind the answer.
 *
 * Keeps one QuinceAnswerAllowance for each link.  Pure: time is an argument, in microseconds of one clock.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * QuinceAnswerAllowance:
 * @last_max_bytes: bound of one answer; 0: there was none yet
 * @backlog_after_send: upper bound of the bytes on their way just after the last answer was sent
 * @sent_us: when it was sent
 *
 * Of one link; all zero at first.
 */
typedef struct
{
  gsize last_max_bytes;
  gsize backlog_after_send;
  gint64 sent_us;
} QuinceAnswerAllowance;

/**
 * quince_answer_allowance_acquire:
 * @backlog: bytes sent on the link and not acknowledged
 * @max_bytes: bound of any answer, bytes
 *
 * Returns: bound of the next answer, bytes, which from now on counts as sent; 0: it must not be sent, since
 * it would only wait behind others
 */
gsize quince_answer_allowance_acquire (QuinceAnswerAllowance *allowance,
                                       gint64 now_us,
                                       gsize backlog,
                                       gsize max_bytes);

G_END_DECLS
