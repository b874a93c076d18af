/*
 * usage-book.h: which requests of each tenant began in which window of time, and what is reported of it.
 *
 * The book is what the ledger's committed records say, so each leader has the same one.  Pure: time is an
 * argument, in milliseconds of the wall clock that machines agree on (agreed-clock.h).
 *
 * Windows are closed in the order of their numbers.  What is told of a closed window later changes nothing:
 * its counts are what is reported, again and again until the report is acknowledged.
 */
#pragma once

#include "protocol/codec.h"

G_BEGIN_DECLS

typedef struct _QuinceUsageBook QuinceUsageBook;

/* @window_ms: length of a window; window k begins k times that after the start of 1970 */
QuinceUsageBook *quince_usage_book_new (guint64 window_ms);
void quince_usage_book_free (QuinceUsageBook *book);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceUsageBook, quince_usage_book_free)

/* Takes in a committed record of one of the kinds USAGE, USAGE_CLOSED and USAGE_SENT. */
void quince_usage_book_apply (QuinceUsageBook *book, guint64 index, const QuinceBatchRecord *record);
/* The greatest sequence of @source that is committed; 0: none. */
guint64 quince_usage_book_get_sequence (const QuinceUsageBook *book, guint64 source);

/**
 * quince_usage_book_next_to_close:
 * @delay_ms: how long after the end of a window its events may still come
 *
 * Returns: (transfer full) (nullable): the oldest window that is over and has events, with its counts
 */
QuinceUsageWindow *quince_usage_book_next_to_close (QuinceUsageBook *book, guint64 now_ms, guint64 delay_ms);
/* (transfer none) (nullable): the oldest closed window whose report is not acknowledged. */
const QuinceUsageWindow *quince_usage_book_next_to_send (const QuinceUsageBook *book);
/* (transfer full): indexes (guint64) of records that nobody needs any more; each is told once. */
GArray *quince_usage_book_take_forgettable (QuinceUsageBook *book);

void quince_usage_window_free (QuinceUsageWindow *window);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceUsageWindow, quince_usage_window_free)

G_END_DECLS
