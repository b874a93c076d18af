/*
 * answer-allowance.h: how large an answer may be that is sent on a link, so that a slow one neither fills the
 * sender's memory nor holds up the heartbeats behind it.
 *
 * Pure: time is an argument, in microseconds of one clock.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * QuinceAnswerAllowance:
 * @bytes: that one answer may have; 0: none was asked for yet
 * @sent_backlog: bytes that were on their way once the last answer was sent, at the most
 * @sent_us: when that was
 *
 * Of one link; all zero at first.
 */
typedef struct
{
  gsize bytes;
  gsize sent_backlog;
  gint64 sent_us;
} QuinceAnswerAllowance;

/**
 * quince_answer_allowance_take:
 * @backlog: bytes that were sent on the link and have not arrived
 * @most: that any answer may have
 *
 * Returns: how many bytes the next answer may have, which counts as sent; 0: it is not to be sent, since it
 * would only wait behind others
 */
gsize
quince_answer_allowance_take (QuinceAnswerAllowance *allowance, gint64 now_us, gsize backlog, gsize most);

G_END_DECLS
