/*
 * feed-subscription.c: subscribes a front to the store feed of the ledger's leader.
 */
#include "feed-subscription.h"

#include "observer/store-feed.h"
#include "runtime/timer.h"

/* Maximum wait for lists of the store in progress, ms.  A list takes a few ms, so the wait times out only if
 * the store does not answer.  The front then subscribes with the revisions that it has. */
#define SYNC_TIMEOUT_MS 300

struct _QuinceFeedSubscription
{
  /* All fields belong to the main context. */
  QuinceObserver *observer;
  QuinceLink *link;    /* owned: link to the leader; NULL: none */
  gboolean subscribed; /* on this link */
  QuinceTimer *timer;  /* limits the wait to SYNC_TIMEOUT_MS; NULL: no wait */
};

QuinceFeedSubscription *
quince_feed_subscription_new (QuinceObserver *observer)
{
  QuinceFeedSubscription *subscription = g_new0 (QuinceFeedSubscription, 1);
  subscription->observer = observer;
  return subscription;
}

void
quince_feed_subscription_free (QuinceFeedSubscription *subscription)
{
  if (subscription == NULL)
    return;
  quince_feed_subscription_unlinked (subscription);
  g_free (subscription);
}

static void
subscribe (QuinceFeedSubscription *subscription, QuinceFeedRole role)
{
  quince_timer_clear (&subscription->timer);
  quince_store_feed_subscribe (subscription->observer, subscription->link, role);
  subscription->subscribed = TRUE;
}

void
quince_feed_subscription_synced (QuinceFeedSubscription *subscription)
{
  if (subscription->link != NULL && !subscription->subscribed
      && !quince_observer_is_listing (subscription->observer))
    subscribe (subscription, QUINCE_FEED_ROLE_FRONT);
}

static gboolean
sync_timed_out (gpointer data)
{
  subscribe (data, QUINCE_FEED_ROLE_FRONT);
  return G_SOURCE_REMOVE;
}

void
quince_feed_subscription_linked (QuinceFeedSubscription *subscription, QuinceLink *leader)
{
  quince_feed_subscription_unlinked (subscription);
  subscription->link = quince_link_ref (leader);
  subscription->timer = quince_timer_add (SYNC_TIMEOUT_MS, sync_timed_out, subscription);
  quince_feed_subscription_synced (subscription);
}

void
quince_feed_subscription_request_direct_feed (QuinceFeedSubscription *subscription)
{
  if (subscription->subscribed)
    subscribe (subscription, QUINCE_FEED_ROLE_DIRECT);
}

void
quince_feed_subscription_unlinked (QuinceFeedSubscription *subscription)
{
  subscription->subscribed = FALSE;
  quince_timer_clear (&subscription->timer);
  g_clear_pointer (&subscription->link, quince_link_unref);
}
