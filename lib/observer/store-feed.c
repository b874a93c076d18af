/*
 * store-feed.c: encodes and decodes updates of the store feed, and keeps the leader's subscribers.
 */
#include "observer/store-feed.h"

#include "runtime/packed-message.h"
#include "runtime/clock.h"

struct _QuinceStoreFeed
{
  /* All fields belong to the context that created the feed. */
  QuinceObserver *observer;
  GHashTable *links;           /* QuinceLink, owned: subscribers */
  GHashTable *packed_prefixes; /* prefix to PackedPrefix, owned: the whole prefix, for new subscribers */
};

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

/* ---- At the leader ---------------------------------------------------- */

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
  update->may_have_lapsed = quince_observer_may_have_lapsed (observer, quince_now_us ());
  update->items.items_val = items;
  update->items.items_len = page->items->len;
  return quince_message_encode (&message, NULL);
}

QuinceStoreFeed *
quince_store_feed_new (QuinceObserver *observer)
{
  QuinceStoreFeed *feed = g_new0 (QuinceStoreFeed, 1);
  feed->observer = observer;
  feed->links = g_hash_table_new_full (NULL, NULL, (GDestroyNotify)quince_link_unref, NULL);
  feed->packed_prefixes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, packed_prefix_free);
  return feed;
}

void
quince_store_feed_free (QuinceStoreFeed *feed)
{
  if (feed == NULL)
    return;
  g_hash_table_unref (feed->links);
  g_hash_table_unref (feed->packed_prefixes);
  g_free (feed);
}

/* Encoded once for all that subscribe before the next change. */
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

typedef struct
{
  QuinceStoreFeed *feed;
  QuinceLink *link;
} Subscriber;

static void
send_changes_to_subscriber (const char *prefix, const QuinceMetaPage *page, gboolean whole, gpointer data)
{
  const Subscriber *subscriber = data;
  g_autoptr (GBytes) encoded = whole ? get_packed_prefix (subscriber->feed, prefix, page)
                                     : encode_update (subscriber->feed->observer, prefix, page, FALSE);
  if (encoded != NULL)
    quince_link_send_bytes (subscriber->link, encoded);
}

/* ---- Policies ------------------------------------------------------------ */

/* A process that starts after the metadata store came back with an older state reads an earlier policy there
 * than the others have in force.  So each side of a subscription tells the other of a later one. */

/* Place of the policy's revision in a subscription, after those of the prefixes. */
#define POLICY_REVISION_INDEX QUINCE_OBSERVER_N_PREFIXES

/* 0: none is in force there, or a build that does not tell. */
static guint64
get_subscribed_policy_revision (const QuinceFeedSubscribe *subscribe)
{
  return subscribe->revisions.revisions_len > POLICY_REVISION_INDEX
             ? subscribe->revisions.revisions_val[POLICY_REVISION_INDEX]
             : 0;
}

/* Not a page of the store: at revision 0 it changes no mirror, and vouches for nothing else. */
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

/* Returns: whether a later policy than that in force was among the items, and is in force now */
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

/* The subscriber has a later policy: it is asked for it as subscribers ask. */
static void
request_policy (QuinceObserver *observer, QuinceLink *link, const QuinceFeedSubscribe *subscribe)
{
  guint64 revision;
  quince_observer_get_policy_entry (observer, &revision);
  if (revision < get_subscribed_policy_revision (subscribe))
    quince_store_feed_subscribe (observer, link);
}

static void
forward_policy (QuinceStoreFeed *feed, const QuinceLink *source)
{
  GHashTableIter iter;
  gpointer link;
  g_hash_table_iter_init (&iter, feed->links);
  while (g_hash_table_iter_next (&iter, &link, NULL))
    if (link != source)
      send_policy (feed->observer, link);
}

/* ---- Subscriptions ------------------------------------------------------- */

void
quince_store_feed_add (QuinceStoreFeed *feed, QuinceLink *link, const QuinceFeedSubscribe *subscribe)
{
  guint64 revisions[QUINCE_OBSERVER_N_PREFIXES] = { 0 };
  for (guint i = 0; i < subscribe->revisions.revisions_len && i < QUINCE_OBSERVER_N_PREFIXES; i++)
    revisions[i] = subscribe->revisions.revisions_val[i];
  g_hash_table_add (feed->links, quince_link_ref (link));
  Subscriber subscriber = { feed, link };
  quince_observer_send_changes (feed->observer, revisions, send_changes_to_subscriber, &subscriber);
  quince_store_feed_send_newer_policy (feed->observer, link, subscribe);
  request_policy (feed->observer, link, subscribe);
}

void
quince_store_feed_remove (QuinceStoreFeed *feed, QuinceLink *link)
{
  g_hash_table_remove (feed->links, link);
}

static void
send_to_all_except (QuinceStoreFeed *feed,
                    const QuinceLink *source,
                    const char *prefix,
                    const QuinceMetaPage *page)
{
  if (g_hash_table_size (feed->links) == 0)
    return;
  g_autoptr (GBytes) encoded = encode_update (feed->observer, prefix, page, FALSE);
  if (encoded == NULL)
    return;
  /* Packed once for all links.  A zone of a thousand workers that comes back is 250 kB to each of 300
   * processes; packed for each, it kept a leader from its heartbeats for seconds. */
  g_autoptr (GBytes) packed = quince_message_pack (encoded, QUINCE_PACK_SMALL);
  GHashTableIter iter;
  gpointer link;
  g_hash_table_iter_init (&iter, feed->links);
  while (g_hash_table_iter_next (&iter, &link, NULL))
    if (link != source)
      quince_link_send_bytes (link, packed);
}

void
quince_store_feed_publish (QuinceStoreFeed *feed, const char *prefix, const QuinceMetaPage *page)
{
  send_to_all_except (feed, NULL, prefix, page);
}

/* ---- At subscribers --------------------------------------------------- */

void
quince_store_feed_subscribe (QuinceObserver *observer, QuinceLink *link)
{
  guint64 revisions[QUINCE_OBSERVER_N_PREFIXES];
  u_quad_t wire_revisions[POLICY_REVISION_INDEX + 1];
  guint64 policy_revision;
  quince_observer_get_revisions (observer, revisions);
  quince_observer_get_policy_entry (observer, &policy_revision);
  for (guint i = 0; i < QUINCE_OBSERVER_N_PREFIXES; i++)
    wire_revisions[i] = revisions[i];
  wire_revisions[POLICY_REVISION_INDEX] = policy_revision;
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

/* ---- Reports of reserve readers ----------------------------------------- */

void
quince_store_feed_report (const QuinceObserver *observer,
                          QuinceLink *leader,
                          const char *prefix,
                          const QuinceMetaPage *page)
{
  if (page->after == 0)
    return; /* a first list: the leader has all of it */
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
    send_to_all_except (feed, source, update->prefix, page);
}
