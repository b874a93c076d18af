/*
 * store-feed.h: the leader sends what it reads from the metadata store to the other processes, over links.
 *
 * Calls to the store are limited and paid for, so the leader reads it for all.  The others subscribe, and
 * read the store themselves when updates stop for longer than their mirrors' patience.  A policy that is
 * later than the one in the store is sent apart from that, in both directions.  Owns a reference to each
 * subscriber's link; relies on the observer for the changes.
 */
#pragma once

#include "runtime/link.h"
#include "observer/observer.h"

G_BEGIN_DECLS

/* ---- At the leader ---------------------------------------------------- */

typedef struct _QuinceStoreFeed QuinceStoreFeed;

QuinceStoreFeed *quince_store_feed_new (QuinceObserver *observer);
void quince_store_feed_free (QuinceStoreFeed *feed);
/* Adds a subscriber: sends it the changes after its revisions, and each later page.  Of the policies in force
 * here and there the later one is sent to the other end. */
void quince_store_feed_add (QuinceStoreFeed *feed, QuinceLink *link, const QuinceFeedSubscribe *subscribe);
void quince_store_feed_remove (QuinceStoreFeed *feed, QuinceLink *link);
/* Sends a page that this process has just read from the store to all links, also an empty one: an empty page
 * proves that nothing has changed.  Followers trust their copy only for a while after such a page, so a
 * leader that gets no answers from the store cannot keep them from reading it themselves. */
void quince_store_feed_publish (QuinceStoreFeed *feed, const char *prefix, const QuinceMetaPage *page);

/* ---- At subscribers --------------------------------------------------- */

/* Subscribes at the other end of @link, with the revisions that @observer has. */
void quince_store_feed_subscribe (QuinceObserver *observer, QuinceLink *link);
/* The other end of @link tells with @subscribe which policy it has in force: sends it a later one. */
void quince_store_feed_send_newer_policy (QuinceObserver *observer,
                                          QuinceLink *link,
                                          const QuinceFeedSubscribe *subscribe);
/* Feeds @observer with an update. */
void quince_store_feed_apply (QuinceObserver *observer, const QuinceFeedUpdate *update);

/* ---- Reports of reserve readers --------------------------------------- */

/* Sends a page that a reserve reader has read to the leader.  It keeps the feed going while the store answers
 * the reserve reader but not the leader. */
void quince_store_feed_report (const QuinceObserver *observer,
                               QuinceLink *leader,
                               const char *prefix,
                               const QuinceMetaPage *page);
/* At the leader: takes the page if its own reads are late, and forwards it to all links but @source. */
void quince_store_feed_apply_report (QuinceStoreFeed *feed,
                                     const QuinceLink *source,
                                     const QuinceFeedUpdate *update);

G_END_DECLS
