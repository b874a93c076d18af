/*
 * store-reads.h: how often one of many processes reads the metadata store.
 *
 * Load patterns: hundreds of processes start at once, lose their leader at once, or find the store away at
 * once.  Each call is paid for and counts towards the store's limit for all of them.  Readers, which feed the
 * others, keep the least times; the others use what the deployment's bound on changes leaves them.
 *
 * For: the observer of each process.  Owns nothing; pure.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Longest time between two reads of a reader, ms.  A shorter one costs more calls; a longer one leaves less
 * of the bound on changes. */
#define QUINCE_STORE_WATCH_TIMEOUT_MS 500
/* A fed process's patience is the time between two reads of its feeder and a slack, which leaves the feeder
 * time for a slow answer and for its other work.
 * Slack of a reader, ms: it reads the store, and its report comes back through the leader, before the others
 * lose patience. */
#define QUINCE_STORE_READER_SLACK_MS 500
/* Least slack of the others, ms: what the least bound on changes leaves after a read and the time for one
 * more. */
#define QUINCE_STORE_SLACK_MS 1000
/* How long a process that peers may feed waits for them before its first list of a prefix, ms.  An elected
 * leader of processes that all started at once feeds them within this time; a process that nobody feeds
 * serves its callers so much later. */
#define QUINCE_STORE_FIRST_READ_WAIT_MS 1500

/**
 * QuinceStoreReadTimes:
 * @watch_timeout_ms: how long the store may hold a watch that has nothing to tell.  A change ends it at once;
 * a longer hold delays only the discovery that a connection is dead
 * @feed_timeout_ms: without a page for so long a fed process reads the store itself
 * @probe_interval_max_ms: longest time between two probes of a store that does not answer
 */
typedef struct
{
  guint watch_timeout_ms;
  guint feed_timeout_ms;
  guint probe_interval_max_ms;
} QuinceStoreReadTimes;

/**
 * quince_store_reads_get_times:
 * @reader: this process feeds others, or would at once
 * @bound_margin_ms: what the bound on changes allows beyond the least one of all deployments, ms
 */
QuinceStoreReadTimes quince_store_reads_get_times (gboolean reader, guint bound_margin_ms);

/**
 * quince_store_reads_next_interval_ms:
 * @interval_ms: least time between the last two reads
 * @interval_min_ms: after a read that told nothing new
 * @interval_max_ms: however often changes come
 * @changed: the last read told changes
 *
 * Decides the pause before the next watch of keys that all processes write when they start: it grows with
 * each read that tells changes, so that a burst of writes is read in few parts, and begins anew in calm.
 * After a change of leader the next read is so late that the new leader, which the first one named, feeds the
 * reader before.
 *
 * Returns: the least time from that read to the next one, ms
 */
guint quince_store_reads_next_interval_ms (guint interval_ms,
                                           guint interval_min_ms,
                                           guint interval_max_ms,
                                           gboolean changed);

G_END_DECLS
