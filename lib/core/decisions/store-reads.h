/*
 * store-reads.h: how often each of many processes reads the metadata store.
 *
 * Hundreds of processes may start, lose their leader or lose the store at the same time, and the store limits
 * the calls of all of them together.  So a few processes, the readers, read the store and feed the changes to
 * the other processes in pages.  Readers use the shortest timeouts.  The timeouts of the other processes grow
 * with the deployment's change bound, the maximum time until every process knows of a change.
 *
 * Pure functions, used by the observer of each process.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Maximum time between two reads of a reader, ms.  A shorter time costs more calls; a longer one leaves less
 * of the change bound for the other processes. */
#define QUINCE_STORE_WATCH_TIMEOUT_MS 500
/* Slack of a reader, ms.  A process that gets no page for the time between two reads plus its slack reads the
 * store itself; the slack allows for a slow answer of the store and a busy feeder.  A reader has less slack
 * than the others, so that it reads and its report reaches them through the leader before they time out. */
#define QUINCE_STORE_READER_SLACK_MS 500
/* Minimum slack of the other processes, ms: what the minimum change bound leaves after the time between two
 * reads and the time for one more read. */
#define QUINCE_STORE_SLACK_MS 1000
/* How long a new process waits to be fed before it lists a prefix itself, ms.  Long enough for processes that
 * start at the same time to elect a leader, which feeds them.  A process that is not fed starts to serve
 * this much later. */
#define QUINCE_STORE_FIRST_READ_WAIT_MS 1500

/* How long a member of the ledger that is not connected to a leader waits to be fed before it lists the
 * workers itself, ms.  Long enough to connect to a leader that lives; shorter than an election, so that the
 * next leader knows the workers when it is elected. */
#define QUINCE_STORE_UNCONNECTED_MEMBER_WAIT_MS 300

/**
 * QuinceStoreReadTimes:
 * @watch_timeout_ms: maximum time for which the store holds a watch without changes, ms.  The store answers
 *   immediately if there is a change; a longer timeout only delays the detection of a dead connection
 * @feed_timeout_ms: time without a page after which a fed process reads the store itself, ms
 * @probe_interval_max_ms: maximum interval between two probes of a store that does not answer, ms
 */
typedef struct
{
  guint watch_timeout_ms;
  guint feed_timeout_ms;
  guint probe_interval_max_ms;
} QuinceStoreReadTimes;

/**
 * quince_store_reads_get_times:
 * @reader: this process feeds others, or is a reserve reader
 * @bound_margin_ms: the deployment's change bound minus the minimum change bound, ms; not used for readers
 *
 * Returns: the times for one process
 */
QuinceStoreReadTimes quince_store_reads_get_times (gboolean reader, guint bound_margin_ms);

/**
 * quince_store_reads_get_member_wait_ms:
 * @is_primary: the view names this replica as the leader, so that no other process feeds it
 * @is_connected: this replica is connected to the leader, which feeds it as soon as it knows the workers
 * itself
 *
 * Decides how long a member of the ledger waits to be fed with the workers before it lists them itself.  Any
 * member may be the next leader, which needs the workers; but if all members of a new system listed them, the
 * store would reject a part of the leader's calls.
 *
 * Returns: maximum time from the view that names this replica as a member to its list, ms
 */
guint quince_store_reads_get_member_wait_ms (gboolean is_primary, gboolean is_connected);

/**
 * quince_store_reads_get_feed_time_left_ms:
 * @feed_timeout_ms: time without a page after which a fed process reads the store itself, ms
 * @page_age_us: time since the last page, us
 *
 * Decides how long a fed process still waits for a page when its feed timeout changes, because it becomes a
 * reader or is one no longer.
 *
 * Returns: maximum time until it reads the store itself, ms; 0: it reads immediately
 */
guint quince_store_reads_get_feed_time_left_ms (guint feed_timeout_ms, gint64 page_age_us);

/**
 * quince_store_reads_next_interval_ms:
 * @interval_ms: the interval before the last read, ms
 * @interval_min_ms: interval after a read without changes, ms
 * @interval_max_ms: maximum interval, ms
 * @changed: the last read returned changes
 *
 * Decides the pause before the next watch of keys that all processes write when they start.  The pause grows
 * with each read that returns changes, so that a burst of writes takes few reads, and is reset by a read
 * without changes.  After a leader change it gives the new leader, which the first read names, time to feed
 * this process before the next read.
 *
 * Returns: the minimum time from the last read to the next one, ms
 */
guint quince_store_reads_next_interval_ms (guint interval_ms,
                                           guint interval_min_ms,
                                           guint interval_max_ms,
                                           gboolean changed);

G_END_DECLS
