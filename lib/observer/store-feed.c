/*
 * store-feed.c: encodes and decodes updates of the store feed, and holds the subscribers of a process that
 * feeds others.
 */
#include "observer/store-feed.h"

#include "runtime/packed-message.h"
#include "runtime/clock.h"

#include "observer-private.h"

struct _QuinceStoreFeed
{
  /* All fields belong to the context that created the feed. */
  QuinceObserver *observer;
  GHashTable *subscribers;     /* QuinceLink to Subscriber, both owned */
  GHashTable *packed_prefixes; /* prefix to PackedPrefix, both owned: pages for new subscribers */
};

typedef struct
{
  /* In the order of quince_observer_get_revisions(). */
  guint64 revisions[QUINCE_OBSERVER_N_PREFIXES]; /* up to which the subscriber knew the prefix */
  gboolean awaits[QUINCE_OBSERVER_N_PREFIXES];   /* the changes since then have not been sent yet */
} Subscriber;

/* Cached update that holds all keys of a prefix, encoded and packed. */
typedef struct
{
  guint64 revision;
  GBytes *encoded;
} PackedPrefix;

static void
packed_prefix_free (gpointer data)
{
  PackedPrefix *packed = data;
  g_bytes_unref (packed->encoded);
  g_free (packed);
}

/* ---- At a process that feeds others ------------------------------------- */

static GBytes *
encode_update (const QuinceObserver *observer, const char *prefix, const QuinceMetaPage *page, gboolean whole)
{
  g_autofree QuinceFeedItem *items = g_new0 (QuinceFeedItem, page->items->len + 1);
  for (guint i = 0; i < page->items->len; i++)
    {
      const QuinceMetaItem *item = page->items->pdata[i];
      gsize length = 0;
      items[i].key = item->key;
      items[i].revision = item->revision;
      items[i].gone = item->value == NULL;
      if (item->value != NULL)
        items[i].value.value_val = (char *)g_bytes_get_data (item->value, &length);
      items[i].value.value_len = (u_int)length;
    }
  QuinceMessage message = { .kind = QUINCE_MESSAGE_FEED_UPDATE };
  QuinceFeedUpdate *update = &message.QuinceMessage_u.feed_update;
  update->prefix = (char *)prefix;
  update->after = page->after;
  update->revision = page->revision;
  update->whole = whole;
  update->may_have_lapsed
      = page->may_have_lapsed || quince_observer_leases_may_have_lapsed (observer, quince_now_us ());
  update->items.items_val = items;
  update->items.items_len = page->items->len;
  return quince_message_encode (&message, NULL);
}

QuinceStoreFeed *
quince_store_feed_new (QuinceObserver *observer)
{
  QuinceStoreFeed *feed = g_new0 (QuinceStoreFeed, 1);
  feed->observer = observer;
  feed->subscribers = g_hash_table_new_full (NULL, NULL, (GDestroyNotify)quince_link_unref, g_free);
  feed->packed_prefixes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, packed_prefix_free);
  return feed;
}

void
quince_store_feed_free (QuinceStoreFeed *feed)
{
  if (feed == NULL)
    return;
  g_hash_table_unref (feed->subscribers);
  g_hash_table_unref (feed->packed_prefixes);
  g_free (feed);
}

/* Returns the packed update for a page with all keys of @prefix, or NULL if it cannot be encoded.  All
 * processes that subscribe before the next change share one encoding. */
static GBytes *
get_packed_prefix (QuinceStoreFeed *feed, const char *prefix, const QuinceMetaPage *page)
{
  const PackedPrefix *cached = g_hash_table_lookup (feed->packed_prefixes, prefix);
  if (cached != NULL && cached->revision == page->revision)
    return g_bytes_ref (cached->encoded);
  g_autoptr (GBytes) encoded = encode_update (feed->observer, prefix, page, TRUE);
  if (encoded == NULL)
    return NULL;
  PackedPrefix *packed = g_new0 (PackedPrefix, 1);
  packed->revision = page->revision;
  packed->encoded = quince_message_pack (encoded, QUINCE_PACK_SMALL);
  g_hash_table_replace (feed->packed_prefixes, g_strdup (prefix), packed);
  return g_bytes_ref (packed->encoded);
}

/* Sends the changes of a prefix that @subscriber has missed, unless this process does not know them yet:
 * receivers treat each page as fresh, so none is made from a mirror that is stale or not synced.
 * @index: of the prefix, in the order of quince_observer_get_revisions() */
static void
send_missed_changes (QuinceStoreFeed *feed, QuinceLink *link, Subscriber *subscriber, guint index)
{
  QuinceNamedMirror mirrors[QUINCE_OBSERVER_N_PREFIXES];
  quince_observer_list_mirrors (feed->observer, mirrors);
  const QuinceMetaMirror *mirror = mirrors[index].mirror;
  const char *prefix = mirrors[index].prefix;
  if (!quince_meta_mirror_is_synced (mirror) || !quince_meta_mirror_is_fresh (mirror, quince_now_us ()))
    return;
  gboolean whole = FALSE;
  g_autoptr (QuinceMetaPage) page
      = quince_meta_mirror_get_changes_since (mirror, subscriber->revisions[index], &whole);
  g_autoptr (GBytes) encoded
      = whole ? get_packed_prefix (feed, prefix, page) : encode_update (feed->observer, prefix, page, FALSE);
  if (encoded != NULL)
    quince_link_send_bytes (link, encoded);
  subscriber->awaits[index] = FALSE;
}

/* ---- Policies ------------------------------------------------------------ */

/* If the metadata store is restored from an older state, a process that starts then reads an older policy
 * than the active policy of the others.  So the two sides of a subscription compare the revisions of their
 * active policies, and the side with the newer policy sends it. */

/* Index of the policy's revision in QuinceFeedSubscribe.revisions, after the revisions of the prefixes. */
#define POLICY_REVISION_INDEX QUINCE_OBSERVER_N_PREFIXES

/* Returns the revision of the subscriber's active policy; 0: it has none from the store, or its software
 * version does not send the revision. */
static guint64
get_subscribed_policy_revision (const QuinceFeedSubscribe *subscribe)
{
  return subscribe->revisions.revisions_len > POLICY_REVISION_INDEX
             ? subscribe->revisions.revisions_val[POLICY_REVISION_INDEX]
             : 0;
}

/* Sends the active policy as an update with revision 0.  The receiver's mirrors refuse such a page, so it
 * changes no other key and does not count as a fresh page. */
static void
send_policy (QuinceObserver *observer, QuinceLink *link)
{
  guint64 revision;
  GBytes *entry = quince_observer_get_policy_entry (observer, &revision);
  if (entry == NULL)
    return;
  g_autoptr (QuinceMetaPage) page = g_new0 (QuinceMetaPage, 1);
  page->items = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_meta_item_free);
  QuinceMetaItem *item = g_new0 (QuinceMetaItem, 1);
  item->key = g_strdup (QUINCE_POLICY_KEY);
  item->revision = revision;
  item->value = g_bytes_ref (entry);
  g_ptr_array_add (page->items, item);
  g_autoptr (GBytes) encoded = encode_update (observer, QUINCE_OWN_PREFIX, page, FALSE);
  if (encoded != NULL)
    quince_link_send_bytes (link, encoded);
}

/* Activates the policy in @page if it is newer than the active one.  Returns: whether the active policy
 * changed */
static gboolean
apply_policy_items (QuinceObserver *observer, const QuinceMetaPage *page)
{
  gboolean applied = FALSE;
  for (guint i = 0; i < page->items->len; i++)
    {
      const QuinceMetaItem *item = page->items->pdata[i];
      if (item->value != NULL && g_str_equal (item->key, QUINCE_POLICY_KEY))
        applied = quince_observer_apply_policy_entry (observer, item->value, item->revision) || applied;
    }
  return applied;
}

void
quince_store_feed_send_newer_policy (QuinceObserver *observer,
                                     QuinceLink *link,
                                     const QuinceFeedSubscribe *subscribe)
{
  guint64 revision;
  quince_observer_get_policy_entry (observer, &revision);
  if (revision > get_subscribed_policy_revision (subscribe))
    send_policy (observer, link);
}

/* Requests the subscriber's policy, by a subscription in the other direction, if it is newer than the active
 * one. */
static void
request_policy (QuinceObserver *observer, QuinceLink *link, const QuinceFeedSubscribe *subscribe)
{
  guint64 revision;
  quince_observer_get_policy_entry (observer, &revision);
  if (revision < get_subscribed_policy_revision (subscribe))
    quince_store_feed_subscribe (observer, link, QUINCE_FEED_ROLE_DIRECT);
}

static void
forward_policy (QuinceStoreFeed *feed, const QuinceLink *source)
{
  GHashTableIter iter;
  gpointer link;
  g_hash_table_iter_init (&iter, feed->subscribers);
  while (g_hash_table_iter_next (&iter, &link, NULL))
    if (link != source)
      send_policy (feed->observer, link);
}

/* ---- Subscriptions ------------------------------------------------------- */

/* Index of the subscriber's role in QuinceFeedSubscribe.revisions, after the policy's revision. */
#define ROLE_INDEX (POLICY_REVISION_INDEX + 1)

QuinceFeedRole
quince_store_feed_get_role (const QuinceFeedSubscribe *subscribe)
{
  if (subscribe->revisions.revisions_len <= ROLE_INDEX)
    return QUINCE_FEED_ROLE_DIRECT;
  u_quad_t role = subscribe->revisions.revisions_val[ROLE_INDEX];
  return role <= QUINCE_FEED_ROLE_CHILD ? (QuinceFeedRole)role : QUINCE_FEED_ROLE_DIRECT;
}

void
quince_store_feed_exchange_policies (QuinceObserver *observer,
                                     QuinceLink *link,
                                     const QuinceFeedSubscribe *subscribe)
{
  quince_store_feed_send_newer_policy (observer, link, subscribe);
  request_policy (observer, link, subscribe);
}

void
quince_store_feed_add (QuinceStoreFeed *feed, QuinceLink *link, const QuinceFeedSubscribe *subscribe)
{
  Subscriber *subscriber = g_new0 (Subscriber, 1);
  for (guint i = 0; i < subscribe->revisions.revisions_len && i < QUINCE_OBSERVER_N_PREFIXES; i++)
    subscriber->revisions[i] = subscribe->revisions.revisions_val[i];
  g_hash_table_replace (feed->subscribers, quince_link_ref (link), subscriber);
  for (guint i = 0; i < QUINCE_OBSERVER_N_PREFIXES; i++)
    {
      subscriber->awaits[i] = TRUE;
      send_missed_changes (feed, link, subscriber, i);
    }
  quince_store_feed_exchange_policies (feed->observer, link, subscribe);
}

void
quince_store_feed_remove (QuinceStoreFeed *feed, QuinceLink *link)
{
  g_hash_table_remove (feed->subscribers, link);
}

static guint
find_prefix_index (QuinceStoreFeed *feed, const char *prefix)
{
  QuinceNamedMirror mirrors[QUINCE_OBSERVER_N_PREFIXES];
  quince_observer_list_mirrors (feed->observer, mirrors);
  for (guint i = 0; i < QUINCE_OBSERVER_N_PREFIXES; i++)
    if (g_str_equal (mirrors[i].prefix, prefix))
      return i;
  return QUINCE_OBSERVER_N_PREFIXES;
}

/* Sends @page to all subscribers but @source.  Subscribers that have not been sent the earlier changes get
 * these first. */
static void
send_to_all_except (QuinceStoreFeed *feed,
                    const QuinceLink *source,
                    const char *prefix,
                    const QuinceMetaPage *page,
                    gboolean whole)
{
  guint index = find_prefix_index (feed, prefix);
  if (g_hash_table_size (feed->subscribers) == 0 || index == QUINCE_OBSERVER_N_PREFIXES)
    return;
  g_autoptr (GBytes) encoded = encode_update (feed->observer, prefix, page, whole);
  if (encoded == NULL)
    return;
  /* Packed once for all links.  The update for a recovered zone can be hundreds of kB, and packing it for
   * each of hundreds of links would delay the leader's heartbeats by seconds. */
  g_autoptr (GBytes) packed = quince_message_pack (encoded, QUINCE_PACK_SMALL);
  GHashTableIter iter;
  gpointer link;
  gpointer value;
  g_hash_table_iter_init (&iter, feed->subscribers);
  while (g_hash_table_iter_next (&iter, &link, &value))
    {
      Subscriber *subscriber = value;
      if (link == source)
        continue;
      if (subscriber->awaits[index] && !whole)
        send_missed_changes (feed, link, subscriber, index);
      subscriber->awaits[index] = subscriber->awaits[index] && !whole;
      quince_link_send_bytes (link, packed);
    }
}

void
quince_store_feed_publish (QuinceStoreFeed *feed, const char *prefix, const QuinceMetaPage *page)
{
  /* The first list of a prefix holds all of its keys. */
  send_to_all_except (feed, NULL, prefix, page, page->after == 0);
}

/* ---- At subscribers --------------------------------------------------- */

void
quince_store_feed_subscribe (QuinceObserver *observer, QuinceLink *link, QuinceFeedRole role)
{
  guint64 revisions[QUINCE_OBSERVER_N_PREFIXES];
  u_quad_t wire_revisions[ROLE_INDEX + 1];
  guint64 policy_revision;
  quince_observer_get_revisions (observer, revisions);
  quince_observer_get_policy_entry (observer, &policy_revision);
  for (guint i = 0; i < QUINCE_OBSERVER_N_PREFIXES; i++)
    wire_revisions[i] = revisions[i];
  wire_revisions[POLICY_REVISION_INDEX] = policy_revision;
  wire_revisions[ROLE_INDEX] = role;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_FEED_SUBSCRIBE };
  message.QuinceMessage_u.feed_subscribe.revisions.revisions_val = wire_revisions;
  message.QuinceMessage_u.feed_subscribe.revisions.revisions_len = G_N_ELEMENTS (wire_revisions);
  quince_link_send (link, &message);
}

static QuinceMetaPage *
decode_update (const QuinceFeedUpdate *update)
{
  QuinceMetaPage *page = g_new0 (QuinceMetaPage, 1);
  page->items = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_meta_item_free);
  page->after = update->after;
  page->revision = update->revision;
  page->may_have_lapsed = update->may_have_lapsed;
  for (guint i = 0; i < update->items.items_len; i++)
    {
      const QuinceFeedItem *wire_item = &update->items.items_val[i];
      QuinceMetaItem *item = g_new0 (QuinceMetaItem, 1);
      item->key = g_strdup (wire_item->key);
      item->revision = wire_item->revision;
      if (!wire_item->gone)
        item->value = g_bytes_new (wire_item->value.value_val, wire_item->value.value_len);
      g_ptr_array_add (page->items, item);
    }
  return page;
}

void
quince_store_feed_apply (QuinceObserver *observer, const QuinceFeedUpdate *update)
{
  g_autoptr (QuinceMetaPage) page = decode_update (update);
  apply_policy_items (observer, page);
  quince_observer_feed (observer, update->prefix, page, update->whole);
}

void
quince_store_feed_relay (QuinceStoreFeed *feed, const QuinceLink *source, const QuinceFeedUpdate *update)
{
  g_autoptr (QuinceMetaPage) page = decode_update (update);
  if (apply_policy_items (feed->observer, page))
    forward_policy (feed, source);
  if (quince_observer_feed (feed->observer, update->prefix, page, update->whole))
    send_to_all_except (feed, source, update->prefix, page, update->whole);
}

/* ---- Reports of reserve readers ----------------------------------------- */

void
quince_store_feed_report (const QuinceObserver *observer,
                          QuinceLink *leader,
                          const char *prefix,
                          const QuinceMetaPage *page)
{
  if (page->after == 0)
    return; /* page of a first listing: the leader already has these keys */
  g_autoptr (GBytes) encoded = encode_update (observer, prefix, page, FALSE);
  if (encoded != NULL)
    quince_link_send_bytes (leader, encoded);
}

void
quince_store_feed_apply_report (QuinceStoreFeed *feed,
                                const QuinceLink *source,
                                const QuinceFeedUpdate *update)
{
  g_autoptr (QuinceMetaPage) page = decode_update (update);
  if (apply_policy_items (feed->observer, page))
    forward_policy (feed, source);
  if (quince_observer_apply_report (feed->observer, update->prefix, page))
    send_to_all_except (feed, source, update->prefix, page, FALSE);
}
