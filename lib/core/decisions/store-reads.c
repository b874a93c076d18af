/*
 * store-reads.c: how often one of many processes reads the metadata store.
 */
#include "core/decisions/store-reads.h"

/* Longest time between two probes of a store that does not answer, ms.  In an outage every process probes;
 * calls must succeed within 1 s after the store's return. */
#define PROBE_MS 800
/* Part of what a deployment's bound allows beyond the least one that is added to each time.  The rest is for
 * pages that arrive some time after they were read, since their reader may be busy. */
#define BOUND_MARGIN_FRACTION 0.5
/* Each read that tells changes makes the pace so many times longer. */
#define INTERVAL_GROWTH_FACTOR 4

QuinceStoreReadTimes
quince_store_reads_get_times (gboolean reader, guint bound_margin_ms)
{
  guint longer_ms = reader ? 0 : (guint)(BOUND_MARGIN_FRACTION * bound_margin_ms);
  guint slack_ms = reader ? QUINCE_STORE_READER_SLACK_MS : QUINCE_STORE_SLACK_MS;
  return (QuinceStoreReadTimes){ .hold_ms = QUINCE_STORE_WATCH_TIMEOUT_MS + longer_ms,
                                 .feed_timeout_ms = QUINCE_STORE_WATCH_TIMEOUT_MS + slack_ms + longer_ms,
                                 .probe_ms = PROBE_MS + longer_ms };
}

guint
quince_store_reads_next_interval_ms (guint pace_ms, guint interval_min_ms, guint most_ms, gboolean changed)
{
  if (!changed)
    return interval_min_ms;
  return CLAMP (pace_ms * INTERVAL_GROWTH_FACTOR, interval_min_ms, most_ms);
}
