/*
 * usage-book.h: how many requests of each tenant began in each usage window, and which windows are reported.
 *
 * The book is computed from the ledger's committed records alone, so each leader has the same one.  Windows
 * are closed in the order of their numbers; events of a closed window that come later are ignored, so that
 * its report, repeated until it is acknowledged, is always the same.
 *
 * Owns the counts and what it needs to know of the records.  Pure: time is an argument, ms of the agreed
 * clock (agreed-clock.h).
 */
#pragma once

#include "protocol/codec.h"

G_BEGIN_DECLS

typedef struct _QuinceUsageBook QuinceUsageBook;

/* @window_ms: length of a window; window k begins at k * @window_ms since 1970 */
QuinceUsageBook *quince_usage_book_new (guint64 window_ms);
void quince_usage_book_free (QuinceUsageBook *book);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceUsageBook, quince_usage_book_free)

/* Applies a committed record of one of the kinds USAGE, USAGE_CLOSED and USAGE_SENT, in the order of the log.
 * @index: in the log */
void quince_usage_book_apply (QuinceUsageBook *book, guint64 index, const QuinceBatchRecord *record);
/* Returns: the greatest sequence of @source in a committed record; 0: none */
guint64 quince_usage_book_get_sequence (const QuinceUsageBook *book, guint64 source);

/**
 * quince_usage_book_next_to_close:
 * @now_ms: agreed clock
 * @delay_ms: how long after the end of a window its events may still arrive
 *
 * Returns: (transfer full) (nullable): the oldest window that is over and has events, with its counts
 */
QuinceUsageWindow *quince_usage_book_next_to_close (QuinceUsageBook *book, guint64 now_ms, guint64 delay_ms);
/* Returns: (transfer none) (nullable): the oldest closed window whose report is not acknowledged */
const QuinceUsageWindow *quince_usage_book_next_to_send (const QuinceUsageBook *book);
/* Returns: (transfer full) (element-type guint64): indexes of records that no replica needs any more; each is
 * returned once */
GArray *quince_usage_book_take_obsolete (QuinceUsageBook *book);

void quince_usage_window_free (QuinceUsageWindow *window);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceUsageWindow, quince_usage_window_free)

G_END_DECLS
