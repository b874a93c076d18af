/*
 * store-reads.c: how often one of many processes reads the metadata store.
 */
#include "core/decisions/store-reads.h"

/* Longest time between two probes of a store that does not answer, ms.  In an outage every process probes;
 * calls must succeed within 1 s after the store's return. */
#define PROBE_INTERVAL_MAX_MS 800
/* Part of what a deployment's bound allows beyond the least one that is added to each time.  The rest is for
 * pages that arrive some time after they were read, since their reader may be busy. */
#define BOUND_MARGIN_FRACTION 0.5
/* Each read that tells changes makes the pace so many times longer. */
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
quince_store_reads_next_interval_ms (guint interval_ms,
                                     guint interval_min_ms,
                                     guint interval_max_ms,
                                     gboolean changed)
{
  if (!changed)
    return interval_min_ms;
  return CLAMP (interval_ms * INTERVAL_GROWTH_FACTOR, interval_min_ms, interval_max_ms);
}
