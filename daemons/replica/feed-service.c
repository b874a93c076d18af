/*
 * feed-service.c: feeds other processes with what this replica reads from the metadata store or is fed
 * itself.
 */
#include "feed-service.h"

#include "core/routing/feed-tree.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/packed-message.h"

/* Time without a new relay after which the leader names the relays, us.  Fronts stay with the relay that they
 * chose, so that all of them would stay with the few that join a new leader first. */
#define RELAYS_SETTLED_US (300 * 1000)
/* Maximum time for which a new leader waits for relays to join, us. */
#define RELAYS_WAIT_US (1500 * 1000)

typedef struct
{
  QuinceFeedRole role;
  gboolean fed;                   /* by this process */
  gboolean has_relays;            /* a front that is not fed: the current relays were sent to it */
  QuinceFeedSubscribe *subscribe; /* owned */
} Subscription;

/* A relay that the leader may name; fields as in QuinceFeedRelay. */
typedef struct
{
  char *node;
  char *address;
  char *zone;
  gboolean subscribed; /* it can pass on the feed */
} Replica;

struct _QuinceFeedService
{
  /* All fields belong to the main context. */
  QuinceObserver *observer; /* not owned */
  QuinceStoreFeed *feed;    /* owned */
  GHashTable *subscribers;  /* QuinceLink to Subscription, both owned; without children */
  GHashTable *children;     /* set of QuinceLink, owned */
  GHashTable *replicas;     /* QuinceLink to Replica, both owned */
  gboolean leading;
  gboolean relays_named;    /* this leader has named relays */
  gint64 leading_since_us;  /* monotonic */
  gint64 relays_changed_us; /* monotonic: a relay joined or left */
  guint n_direct_fronts;
  gint64 last_leader_contact_us; /* monotonic; 0: none */
};

static void
subscription_free (gpointer data)
{
  Subscription *subscription = data;
  g_free (subscription->subscribe->revisions.revisions_val);
  g_free (subscription->subscribe);
  g_free (subscription);
}

static void
replica_free (gpointer data)
{
  Replica *replica = data;
  g_free (replica->node);
  g_free (replica->address);
  g_free (replica->zone);
  g_free (replica);
}

static QuinceFeedSubscribe *
subscribe_copy (const QuinceFeedSubscribe *subscribe)
{
  QuinceFeedSubscribe *copy = g_new0 (QuinceFeedSubscribe, 1);
  gsize length = subscribe->revisions.revisions_len;
  copy->revisions.revisions_len = subscribe->revisions.revisions_len;
  copy->revisions.revisions_val = g_memdup2 (subscribe->revisions.revisions_val, length * sizeof (u_quad_t));
  return copy;
}

QuinceFeedService *
quince_feed_service_new (QuinceObserver *observer)
{
  QuinceFeedService *service = g_new0 (QuinceFeedService, 1);
  service->observer = observer;
  service->feed = quince_store_feed_new (observer);
  service->subscribers
      = g_hash_table_new_full (NULL, NULL, (GDestroyNotify)quince_link_unref, subscription_free);
  service->children = g_hash_table_new_full (NULL, NULL, (GDestroyNotify)quince_link_unref, NULL);
  service->replicas = g_hash_table_new_full (NULL, NULL, (GDestroyNotify)quince_link_unref, replica_free);
  return service;
}

void
quince_feed_service_free (QuinceFeedService *service)
{
  if (service == NULL)
    return;
  quince_store_feed_free (service->feed);
  g_hash_table_unref (service->subscribers);
  g_hash_table_unref (service->children);
  g_hash_table_unref (service->replicas);
  g_free (service);
}

GHashTable *
quince_feed_service_get_links (QuinceFeedService *service)
{
  return service->subscribers;
}

/* ---- Relays ------------------------------------------------------------- */

static guint
count_relays (const QuinceFeedService *service)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, service->replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const Replica *)value)->subscribed;
  return count;
}

static gboolean
are_relays_settled (const QuinceFeedService *service, gint64 now_us)
{
  return service->relays_named || now_us - service->relays_changed_us >= RELAYS_SETTLED_US
         || now_us - service->leading_since_us >= RELAYS_WAIT_US;
}

/* Returns: (transfer full) (nullable): the message with the relays */
static GBytes *
encode_relays (const QuinceFeedService *service)
{
  g_autoptr (GArray) relays = g_array_new (FALSE, FALSE, sizeof (QuinceFeedRelay));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, service->replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Replica *replica = value;
      const QuinceFeedRelay relay = { replica->node, replica->address, replica->zone };
      if (replica->subscribed)
        g_array_append_val (relays, relay);
    }
  QuinceMessage message = { .kind = QUINCE_MESSAGE_FEED_RELAYS };
  QuinceFeedRelays *wire = &message.QuinceMessage_u.feed_relays;
  wire->relays.relays_val = (QuinceFeedRelay *)relays->data;
  wire->relays.relays_len = relays->len;
  g_autoptr (GBytes) encoded = quince_message_encode (&message, NULL);
  return encoded != NULL ? quince_message_pack (encoded, QUINCE_PACK_SMALL) : NULL;
}

static void
invalidate_named_relays (QuinceFeedService *service)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, service->subscribers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Subscription *)value)->has_relays = FALSE;
}

static void
relays_changed (QuinceFeedService *service)
{
  service->relays_changed_us = quince_now_us ();
  invalidate_named_relays (service);
}

/* ---- Subscribers -------------------------------------------------------- */

static void
feed_subscriber (QuinceFeedService *service, QuinceLink *link, Subscription *subscription)
{
  subscription->fed = TRUE;
  service->n_direct_fronts += subscription->role == QUINCE_FEED_ROLE_FRONT;
  quince_store_feed_add (service->feed, link, subscription->subscribe);
}

static void
stop_feeding_subscriber (QuinceFeedService *service, QuinceLink *link, Subscription *subscription)
{
  if (!subscription->fed)
    return;
  subscription->fed = FALSE;
  service->n_direct_fronts -= subscription->role == QUINCE_FEED_ROLE_FRONT;
  quince_store_feed_remove (service->feed, link);
}

/* Feeds a subscriber if this process leads and may do so.  Otherwise compares policies with it, which relays
 * do not pass on towards the leader. */
static void
admit_subscriber (QuinceFeedService *service, QuinceLink *link, Subscription *subscription)
{
  if (!service->leading || subscription->fed)
    return;
  if (quince_feed_tree_feeds_directly (subscription->role, service->n_direct_fronts))
    feed_subscriber (service, link, subscription);
  else
    quince_store_feed_exchange_policies (service->observer, link, subscription->subscribe);
}

/* Sends the relays, once they are settled, to the fronts that do not have them; without any relay, feeds
 * these fronts. */
static void
name_relays (QuinceFeedService *service)
{
  service->relays_named = service->leading && are_relays_settled (service, quince_now_us ());
  if (!service->relays_named)
    return;
  gboolean must_feed = count_relays (service) == 0;
  g_autoptr (GBytes) encoded = NULL;
  GHashTableIter iter;
  gpointer link;
  gpointer value;
  g_hash_table_iter_init (&iter, service->subscribers);
  while (g_hash_table_iter_next (&iter, &link, &value))
    {
      Subscription *subscription = value;
      if (subscription->role != QUINCE_FEED_ROLE_FRONT || subscription->fed || subscription->has_relays)
        continue;
      if (must_feed)
        {
          feed_subscriber (service, link, subscription);
          continue;
        }
      if (encoded == NULL)
        encoded = encode_relays (service);
      if (encoded == NULL)
        return;
      quince_link_send_bytes (link, encoded);
      subscription->has_relays = TRUE;
    }
}

void
quince_feed_service_record_leader_contact (QuinceFeedService *service)
{
  service->last_leader_contact_us = quince_now_us ();
}

/* A child gives up a relay that is silent.  So a relay sends heartbeats while it is fed or reads the store
 * itself: if the leader is lost, the relays look for the next one, and their children neither move nor read.
 */
static void
send_heartbeats_to_children (QuinceFeedService *service)
{
  gboolean is_fed
      = quince_now_us () - service->last_leader_contact_us < QUINCE_FEED_TREE_FEEDER_TIMEOUT_MS * 1000;
  if (g_hash_table_size (service->children) == 0 || !(is_fed || quince_observer_is_fresh (service->observer)))
    return;
  const QuinceMessage message = { .kind = QUINCE_MESSAGE_HEARTBEAT };
  g_autoptr (GBytes) encoded = quince_message_encode (&message, NULL);
  GHashTableIter iter;
  gpointer link;
  g_hash_table_iter_init (&iter, service->children);
  while (encoded != NULL && g_hash_table_iter_next (&iter, &link, NULL))
    quince_link_send_bytes (link, encoded);
}

void
quince_feed_service_step (QuinceFeedService *service)
{
  send_heartbeats_to_children (service);
  name_relays (service);
}

void
quince_feed_service_subscribe (QuinceFeedService *service,
                               QuinceLink *link,
                               const QuinceFeedSubscribe *subscribe)
{
  QuinceFeedRole role = quince_store_feed_get_role (subscribe);
  if (role == QUINCE_FEED_ROLE_CHILD)
    {
      g_hash_table_add (service->children, quince_link_ref (link));
      quince_store_feed_add (service->feed, link, subscribe);
      return;
    }
  Subscription *former = g_hash_table_lookup (service->subscribers, link);
  if (former != NULL)
    stop_feeding_subscriber (service, link, former);
  Subscription *subscription = g_new0 (Subscription, 1);
  subscription->role = role;
  subscription->subscribe = subscribe_copy (subscribe);
  g_hash_table_replace (service->subscribers, quince_link_ref (link), subscription);
  Replica *replica = g_hash_table_lookup (service->replicas, link);
  if (role == QUINCE_FEED_ROLE_RELAY && replica != NULL && !replica->subscribed)
    {
      replica->subscribed = TRUE;
      relays_changed (service);
    }
  admit_subscriber (service, link, subscription);
  if (role == QUINCE_FEED_ROLE_FRONT && !subscription->fed)
    name_relays (service);
}

void
quince_feed_service_add_replica (QuinceFeedService *service, QuinceLink *link, const QuinceLedgerHello *hello)
{
  Replica *replica = g_new0 (Replica, 1);
  replica->node = g_strdup (hello->member.node);
  replica->address = g_strdup (hello->member.address);
  replica->zone = g_strdup (hello->zone);
  g_hash_table_replace (service->replicas, quince_link_ref (link), replica);
}

void
quince_feed_service_link_closed (QuinceFeedService *service, QuinceLink *link)
{
  Subscription *subscription = g_hash_table_lookup (service->subscribers, link);
  if (subscription != NULL)
    stop_feeding_subscriber (service, link, subscription);
  if (g_hash_table_remove (service->children, link))
    quince_store_feed_remove (service->feed, link);
  const Replica *replica = g_hash_table_lookup (service->replicas, link);
  if (replica != NULL && replica->subscribed)
    relays_changed (service);
  g_hash_table_remove (service->replicas, link);
  g_hash_table_remove (service->subscribers, link);
}

void
quince_feed_service_set_leading (QuinceFeedService *service, gboolean leading)
{
  service->leading = leading;
  service->relays_named = FALSE;
  service->leading_since_us = service->relays_changed_us = quince_now_us ();
  invalidate_named_relays (service);
  GHashTableIter iter;
  gpointer link;
  gpointer subscription;
  g_hash_table_iter_init (&iter, service->subscribers);
  while (g_hash_table_iter_next (&iter, &link, &subscription))
    if (leading)
      admit_subscriber (service, link, subscription);
    else
      stop_feeding_subscriber (service, link, subscription);
}

/* ---- Pages -------------------------------------------------------------- */

void
quince_feed_service_publish (QuinceFeedService *service, const char *prefix, const QuinceMetaPage *page)
{
  quince_store_feed_publish (service->feed, prefix, page);
}

void
quince_feed_service_relay (QuinceFeedService *service,
                           const QuinceLink *source,
                           const QuinceFeedUpdate *update)
{
  quince_store_feed_relay (service->feed, source, update);
}

void
quince_feed_service_apply_report (QuinceFeedService *service,
                                  const QuinceLink *source,
                                  const QuinceFeedUpdate *update)
{
  quince_store_feed_apply_report (service->feed, source, update);
}

/* ---- Metrics ------------------------------------------------------------ */

void
quince_feed_service_set_metrics (const QuinceFeedService *service)
{
  guint n_fed = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, service->subscribers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n_fed += ((const Subscription *)value)->fed;
  quince_metric_set ("quince_feed_subscribers", "kind=\"direct\"", n_fed);
  quince_metric_set ("quince_feed_subscribers", "kind=\"child\"", g_hash_table_size (service->children));
  quince_metric_set ("quince_feed_relays", "", count_relays (service));
}
