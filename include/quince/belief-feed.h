/*
 * belief-feed.h: what one process reads from the metadata store, told to others over links.
 *
 * The store is shared by the whole system and each call has its price: the ledger's leader reads it, all
 * others are told and read by themselves only where they hear nothing.
 */
#pragma once

#include <quince/link.h>
#include <quince/observer.h>

G_BEGIN_DECLS

/* ---- At the leader ---------------------------------------------------- */

typedef struct _QuinceBeliefFeed QuinceBeliefFeed;

QuinceBeliefFeed *quince_belief_feed_new (QuinceObserver *observer);
void quince_belief_feed_free (QuinceBeliefFeed *feed);
/* @link asked for news: it is told what it lacks, and from then on what is read. */
void quince_belief_feed_add (QuinceBeliefFeed *feed, QuinceLink *link, const QuinceBeliefAsk *ask);
void quince_belief_feed_remove (QuinceBeliefFeed *feed, QuinceLink *link);
/* The store was read, see QuinceObserverCallbacks.  Also a read without news is told: it is what the others
 * trust for a while, and nothing else is, so that a leader which the store does not answer keeps nobody from
 * reading. */
void quince_belief_feed_read (QuinceBeliefFeed *feed, const char *prefix, const QuinceMetaPage *page);

/* ---- At the others ---------------------------------------------------- */

/* Asks whoever is at the other end of @link for what @observer lacks. */
void quince_belief_feed_ask (QuinceObserver *observer, QuinceLink *link);
void quince_belief_feed_take (QuinceObserver *observer, const QuinceBeliefNews *news);

/* ---- From a replica to the leader ------------------------------------- */

/* A replica that is told nothing new reads the store itself, and tells the leader, which may be the one that
 * the store does not answer: so one process reads for all in an outage of the leader's, too. */
void quince_belief_feed_report (const QuinceObserver *observer,
                                QuinceLink *leader,
                                const char *prefix,
                                const QuinceMetaPage *page);
/* At the leader: takes what it lacks and tells all but @source, which read it. */
void quince_belief_feed_take_report (QuinceBeliefFeed *feed,
                                     const QuinceLink *source,
                                     const QuinceBeliefNews *news);

G_END_DECLS
