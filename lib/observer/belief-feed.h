/*
 * belief-feed.h: what one process reads from the metadata store, told to others over links.
 *
 * The store is shared by the whole system and each call has its price: the ledger's leader reads it, all
 * others are told and read by themselves only where they hear nothing.
 */
#pragma once

#include "runtime/link.h"
#include "observer/observer.h"

G_BEGIN_DECLS

/* ---- At the leader ---------------------------------------------------- */

typedef struct _QuinceBeliefFeed QuinceBeliefFeed;

QuinceBeliefFeed *quince_belief_feed_new (QuinceObserver *observer);
void quince_belief_feed_free (QuinceBeliefFeed *feed);
/* @link asked for news: it is told what it lacks, and from then on what is read. */
void quince_belief_feed_add (QuinceBeliefFeed *feed, QuinceLink *link, const QuinceBeliefAsk *ask);
void quince_belief_feed_remove (QuinceBeliefFeed *feed, QuinceLink *link);
/* Sends a page that this process has just read from the store to all links, also an empty one: an empty page
 * proves that nothing has changed.  Followers trust their copy only for a while after such a page, so a
 * leader that gets no answers from the store cannot keep them from reading it themselves. */
void quince_belief_feed_read (QuinceBeliefFeed *feed, const char *prefix, const QuinceMetaPage *page);

/* ---- At the others ---------------------------------------------------- */

/* Asks whoever is at the other end of @link for what @observer lacks. */
void quince_belief_feed_ask (QuinceObserver *observer, QuinceLink *link);
void quince_belief_feed_take (QuinceObserver *observer, const QuinceBeliefNews *news);

/* ---- From a replica to the leader ------------------------------------- */

/* Sends a page that a reserve reader has read to the leader.  It keeps the feed going while the store answers
 * the reserve reader but not the leader. */
void quince_belief_feed_report (const QuinceObserver *observer,
                                QuinceLink *leader,
                                const char *prefix,
                                const QuinceMetaPage *page);
/* At the leader: takes the page if its own reads are late, and forwards it to all links but @source. */
void quince_belief_feed_take_report (QuinceBeliefFeed *feed,
                                     const QuinceLink *source,
                                     const QuinceBeliefNews *news);

G_END_DECLS
