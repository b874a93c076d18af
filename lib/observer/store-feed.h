/*
 * store-feed.h: what one process reads from the metadata store, told to others over links.
 *
 * The store is shared by the whole system and each call has its price: the ledger's leader reads it, all
 * others are told and read by themselves only where they hear nothing.
 */
#pragma once

#include "runtime/link.h"
#include "observer/observer.h"

G_BEGIN_DECLS

/* ---- At the leader ---------------------------------------------------- */

typedef struct _QuinceStoreFeed QuinceStoreFeed;

QuinceStoreFeed *quince_store_feed_new (QuinceObserver *observer);
void quince_store_feed_free (QuinceStoreFeed *feed);
/* @link asked for news: it is told what it lacks, and from then on what is read. */
void quince_store_feed_add (QuinceStoreFeed *feed, QuinceLink *link, const QuinceFeedSubscribe *ask);
void quince_store_feed_remove (QuinceStoreFeed *feed, QuinceLink *link);
/* Sends a page that this process has just read from the store to all links, also an empty one: an empty page
 * proves that nothing has changed.  Followers trust their copy only for a while after such a page, so a
 * leader that gets no answers from the store cannot keep them from reading it themselves. */
void quince_store_feed_publish (QuinceStoreFeed *feed, const char *prefix, const QuinceMetaPage *page);

/* ---- At the others ---------------------------------------------------- */

/* Asks whoever is at the other end of @link for what @observer lacks. */
void quince_store_feed_subscribe (QuinceObserver *observer, QuinceLink *link);
void quince_store_feed_apply (QuinceObserver *observer, const QuinceFeedUpdate *news);

/* ---- From a replica to the leader ------------------------------------- */

/* Sends a page that a reserve reader has read to the leader.  It keeps the feed going while the store answers
 * the reserve reader but not the leader. */
void quince_store_feed_report (const QuinceObserver *observer,
                               QuinceLink *leader,
                               const char *prefix,
                               const QuinceMetaPage *page);
/* At the leader: takes the page if its own reads are late, and forwards it to all links but @source. */
void quince_store_feed_apply_report (QuinceStoreFeed *feed,
                                     const QuinceLink *source,
                                     const QuinceFeedUpdate *news);

G_END_DECLS
