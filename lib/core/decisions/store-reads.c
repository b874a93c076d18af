/*
 * store-reads.c: how often each of many processes reads the metadata store.
 */
#include "core/decisions/store-reads.h"

/* Maximum interval between two probes of a store that does not answer, ms, at the minimum change bound. Every
 * process probes during an outage, and must notice within 1 s that the store is back. */
#define PROBE_INTERVAL_MAX_MS 800
/* Fraction of the bound margin that is added to each time.  The rest allows for pages that arrive late
 * because their reader is busy. */
#define BOUND_MARGIN_FRACTION 0.5
/* Factor by which each read with changes lengthens the interval. */
#define INTERVAL_GROWTH_FACTOR 4

QuinceStoreReadTimes
quince_store_reads_get_times (gboolean reader, guint bound_margin_ms)
{
  guint margin_ms = reader ? 0 : (guint)(BOUND_MARGIN_FRACTION * bound_margin_ms);
  guint slack_ms = reader ? QUINCE_STORE_READER_SLACK_MS : QUINCE_STORE_SLACK_MS;
  return (QuinceStoreReadTimes){ .watch_timeout_ms = QUINCE_STORE_WATCH_TIMEOUT_MS + margin_ms,
                                 .feed_timeout_ms = QUINCE_STORE_WATCH_TIMEOUT_MS + slack_ms + margin_ms,
                                 .probe_interval_max_ms = PROBE_INTERVAL_MAX_MS + margin_ms };
}

guint
quince_store_reads_get_member_wait_ms (gboolean is_primary, gboolean is_connected)
{
  if (is_primary)
    return 0;
  return is_connected ? QUINCE_STORE_FIRST_READ_WAIT_MS : QUINCE_STORE_UNCONNECTED_MEMBER_WAIT_MS;
}

guint
quince_store_reads_get_feed_time_left_ms (guint feed_timeout_ms, gint64 page_age_us)
{
  gint64 page_age_ms = MAX (page_age_us, 0) / 1000;
  return page_age_ms < feed_timeout_ms ? feed_timeout_ms - (guint)page_age_ms : 0;
}

guint
quince_store_reads_next_interval_ms (guint interval_ms,
                                     guint interval_min_ms,
                                     guint interval_max_ms,
                                     gboolean changed)
{
  if (!changed)
    return interval_min_ms;
  return CLAMP (interval_ms * INTERVAL_GROWTH_FACTOR, interval_min_ms, interval_max_ms);
}
