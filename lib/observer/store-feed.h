/*
 * store-feed.h: the leader sends the pages that it reads from the metadata store to the other processes, over
 * links.
 *
 * Calls to the store are rate limited and billed, so the leader reads it for all processes.  The others
 * subscribe, to the leader or to a relay, a replica that passes on the pages that it is fed
 * (core/routing/feed-tree.h).  They read the store themselves if they get no update within the feed timeout
 * of their mirrors.  A policy that is newer than the one in the store is sent separately, in both directions.
 * The feed owns a reference to each subscriber's link, and gets the changes from the observer.
 */
#pragma once

#include "runtime/link.h"
#include "observer/observer.h"

G_BEGIN_DECLS

/* ---- At a process that feeds others ------------------------------------- */

typedef struct _QuinceStoreFeed QuinceStoreFeed;

/* @observer: must outlive the feed */
QuinceStoreFeed *quince_store_feed_new (QuinceObserver *observer);
void quince_store_feed_free (QuinceStoreFeed *feed);
/* Adds a subscriber: sends it the changes after the revisions in @subscribe, and each later page.  Changes
 * that this process has not read or been fed itself follow as soon as it has them.  If the active policies of
 * the two processes differ, the process with the newer one sends it to the other. */
void quince_store_feed_add (QuinceStoreFeed *feed, QuinceLink *link, const QuinceFeedSubscribe *subscribe);
void quince_store_feed_remove (QuinceStoreFeed *feed, QuinceLink *link);
/* Sends a page that this process has just read from the store to all subscribers.  An empty page is sent too;
 * it shows that nothing has changed.  Subscribers trust their copy only for the feed timeout after a page, so
 * they read the store themselves if the leader cannot. */
void quince_store_feed_publish (QuinceStoreFeed *feed, const char *prefix, const QuinceMetaPage *page);

/* Passes on an update from the process that feeds this one: applies it as quince_store_feed_apply() does, and
 * sends it to all subscribers except @source if it was accepted. */
void
quince_store_feed_relay (QuinceStoreFeed *feed, const QuinceLink *source, const QuinceFeedUpdate *update);
/* Returns how the sender of @subscribe wants to be fed. */
QuinceFeedRole quince_store_feed_get_role (const QuinceFeedSubscribe *subscribe);
/* Compares the active policies of both ends of @link: the one with the newer policy sends it to the other. */
void quince_store_feed_exchange_policies (QuinceObserver *observer,
                                          QuinceLink *link,
                                          const QuinceFeedSubscribe *subscribe);

/* ---- At subscribers --------------------------------------------------- */

/* Subscribes to the feed of the process at the other end of @link, starting at the revisions that @observer
 * has read. */
void quince_store_feed_subscribe (QuinceObserver *observer, QuinceLink *link, QuinceFeedRole role);
/* Sends the active policy over @link if it is newer than the policy revision in @subscribe. */
void quince_store_feed_send_newer_policy (QuinceObserver *observer,
                                          QuinceLink *link,
                                          const QuinceFeedSubscribe *subscribe);
/* Applies a received update to @observer. */
void quince_store_feed_apply (QuinceObserver *observer, const QuinceFeedUpdate *update);

/* ---- Reports of reserve readers --------------------------------------- */

/* Sends a page that this reserve reader has read to the leader.  Such reports replace the leader's own reads
 * while the reserve reader can reach the store and the leader cannot.  The page of a first listing is not
 * sent. */
void quince_store_feed_report (const QuinceObserver *observer,
                               QuinceLink *leader,
                               const char *prefix,
                               const QuinceMetaPage *page);
/* At the leader: applies a report; see quince_observer_apply_report().  Forwards the page, if it was applied,
 * and a newer policy in it to all subscribers except @source. */
void quince_store_feed_apply_report (QuinceStoreFeed *feed,
                                     const QuinceLink *source,
                                     const QuinceFeedUpdate *update);

G_END_DECLS
