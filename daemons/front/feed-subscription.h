/*
 * feed-subscription.h: subscribes a front to the store feed of the ledger's leader, which feeds it or names
 * relays.
 *
 * A subscription names the revisions that the front has read, and the leader sends only later changes.  So
 * the front first waits for the lists of the metadata store that are in progress, up to 300 ms.
 *
 * A subscription owns a timer and a reference to the link to the leader.
 */
#pragma once

#include "observer/observer.h"
#include "runtime/link.h"

typedef struct _QuinceFeedSubscription QuinceFeedSubscription;

/* Returns: (transfer full): the subscription.  @observer is not owned and must outlive it. */
QuinceFeedSubscription *quince_feed_subscription_new (QuinceObserver *observer);
void quince_feed_subscription_free (QuinceFeedSubscription *subscription); /* (nullable) */
/* A link to the leader is open.  Subscribes on it, immediately or after the lists in progress; replaces an
 * earlier link. */
void quince_feed_subscription_linked (QuinceFeedSubscription *subscription, QuinceLink *leader);
/* The link to the leader is closed. */
void quince_feed_subscription_unlinked (QuinceFeedSubscription *subscription);
/* The relays that the leader named do not feed the front: the leader has to. */
void quince_feed_subscription_request_direct_feed (QuinceFeedSubscription *subscription);
/* The observer has read a whole prefix of the metadata store. */
void quince_feed_subscription_synced (QuinceFeedSubscription *subscription);
