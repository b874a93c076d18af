/*
 * usage-aggregator.h: counts requests per tenant and usage window, and tracks which windows were reported.
 *
 * The counts depend only on the committed records of the ledger, so every leader computes the same ones.
 * Windows are closed in ascending order.  Events that arrive after their window was closed are ignored: its
 * report, which is repeated until it is acknowledged, never changes.
 *
 * The aggregator owns the counts and the indexes of the records.  Pure: time is an argument, in milliseconds
 * of the agreed clock (agreed-clock.h).
 */
#pragma once

#include "protocol/codec.h"

G_BEGIN_DECLS

typedef struct _QuinceUsageAggregator QuinceUsageAggregator;

/* @window_ms: length of a window, ms; window k starts at k * @window_ms since 1970 */
QuinceUsageAggregator *quince_usage_aggregator_new (guint64 window_ms);
void quince_usage_aggregator_free (QuinceUsageAggregator *aggregator);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceUsageAggregator, quince_usage_aggregator_free)

/* Applies a committed record of the kind USAGE, USAGE_CLOSED or USAGE_SENT; records must be applied in log
 * order.  @index: index of the record in the log */
void quince_usage_aggregator_apply (QuinceUsageAggregator *aggregator,
                                    guint64 index,
                                    const QuinceBatchRecord *record);
/* Returns the highest sequence number of @source in a committed record, or 0 if there is none. */
guint64 quince_usage_aggregator_get_sequence (const QuinceUsageAggregator *aggregator, guint64 source);

/**
 * quince_usage_aggregator_next_to_close:
 * @now_ms: time of the agreed clock, ms
 * @delay_ms: how long after the end of a window its events may still arrive, ms
 *
 * Returns: (transfer full) (nullable): the oldest open window with events, with its counts; %NULL if there is
 * none, or if @delay_ms have not passed since its end
 */
QuinceUsageWindow *
quince_usage_aggregator_next_to_close (QuinceUsageAggregator *aggregator, guint64 now_ms, guint64 delay_ms);
/* Returns: (transfer none) (nullable): the oldest closed window whose report is not acknowledged, or %NULL */
const QuinceUsageWindow *quince_usage_aggregator_next_to_send (const QuinceUsageAggregator *aggregator);
/* Returns: (transfer full) (element-type guint64): log indexes of records that replicas may delete; each
 * index is returned once */
GArray *quince_usage_aggregator_take_obsolete (QuinceUsageAggregator *aggregator);

void quince_usage_window_free (QuinceUsageWindow *window);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceUsageWindow, quince_usage_window_free)

G_END_DECLS
