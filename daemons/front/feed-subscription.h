/*
 * feed-subscription.h: when a front subscribes to the store feed of the ledger's leader.
 *
 * A subscription names the revisions that the front has read; the leader sends the rest.  So the front first
 * waits for its own reads of the metadata store, for a bounded time.
 *
 * Owns a reference to the link that waits and a timer.  Relies on observer/store-feed.h.
 */
#pragma once

#include "observer/observer.h"
#include "runtime/link.h"

typedef struct _QuinceFeedSubscription QuinceFeedSubscription;

/* @observer: not owned; must outlive the subscription */
QuinceFeedSubscription *quince_feed_subscription_new (QuinceObserver *observer);
void quince_feed_subscription_free (QuinceFeedSubscription *subscription); /* (nullable) */
/* A link to the leader is open; it replaces an earlier one. */
void quince_feed_subscription_linked (QuinceFeedSubscription *subscription, QuinceLink *leader);
void quince_feed_subscription_unlinked (QuinceFeedSubscription *subscription);
/* A prefix of the metadata store has been read. */
void quince_feed_subscription_synced (QuinceFeedSubscription *subscription);
