/*
 * feed-parent.c: a front's link to the relay that feeds it.
 */
#include "feed-parent.h"

#include "core/routing/feed-tree.h"
#include "observer/store-feed.h"
#include "runtime/link.h"
#include "runtime/log.h"
#include "runtime/timer.h"

/* Timeout of a connection attempt, ms.  Allows one retransmission of a lost SYN, which follows after 1 s. */
#define CONNECT_TIMEOUT_MS 1200
/* Relays that are tried before the front asks the leader.  More would leave a front unfed for longer than a
 * mirror trusts its last page. */
#define ATTEMPTS_MAX 2
/* Time until a front whose relays failed tries its first choice again, ms. */
#define RETRY_DELAY_MS 5000

struct _QuinceFeedParent
{
  /* All fields belong to the main context. */
  QuinceObserver *observer; /* not owned */
  char *node;
  char *zone;
  QuinceMessage *relays; /* owned, of kind FEED_RELAYS; NULL: the leader has named none */
  QuinceLink *link;      /* owned; NULL: not fed by a relay */
  char *relay;           /* name of the relay at the other end of the link */
  guint attempt;         /* see quince_feed_tree_choose_relay() */
  gboolean alive;        /* a message arrived on this link within the timeout */
  QuinceTimer *timer;    /* ends the attempt, or starts the next one */
  QuinceFeedParentFailed failed;
  gpointer user_data;
};

static void link_to_next_relay (QuinceFeedParent *parent);

static void
close_link (QuinceFeedParent *parent)
{
  quince_timer_clear (&parent->timer);
  parent->alive = FALSE;
  if (parent->link == NULL)
    return;
  quince_link_close (parent->link);
  g_clear_pointer (&parent->link, quince_link_unref);
}

static gboolean
retry (gpointer data)
{
  QuinceFeedParent *parent = data;
  quince_timer_clear (&parent->timer);
  parent->attempt = 0;
  link_to_next_relay (parent);
  return G_SOURCE_REMOVE;
}

static void
handle_failure (QuinceFeedParent *parent, const char *reason)
{
  quince_log_warning ("feed_relay_lost", "relay=%s reason=%s attempt=%u", parent->relay, reason,
                      parent->attempt);
  close_link (parent);
  parent->attempt++;
  if (parent->attempt < ATTEMPTS_MAX)
    {
      link_to_next_relay (parent);
      return;
    }
  parent->timer = quince_timer_add (RETRY_DELAY_MS, retry, parent);
  parent->failed (parent->user_data);
}

static gboolean
handle_timeout (gpointer data)
{
  handle_failure (data, "silent");
  return G_SOURCE_REMOVE;
}

static void
set_timeout (QuinceFeedParent *parent, guint timeout_ms)
{
  quince_timer_clear (&parent->timer);
  parent->timer = quince_timer_add (timeout_ms, handle_timeout, parent);
}

/* ---- The link ----------------------------------------------------------- */

static void
link_connected (QuinceLink *link, gpointer data)
{
  QuinceFeedParent *parent = data;
  set_timeout (parent, QUINCE_FEED_TREE_FEEDER_TIMEOUT_MS);
  quince_store_feed_subscribe (parent->observer, link, QUINCE_FEED_ROLE_CHILD);
}

static void
link_message (QuinceLink *link, QuinceMessage *message, gpointer data)
{
  QuinceFeedParent *parent = data;
  parent->alive = TRUE;
  set_timeout (parent, QUINCE_FEED_TREE_FEEDER_TIMEOUT_MS);
  quince_observer_record_feeder_contact (parent->observer);
  if (message->kind == QUINCE_MESSAGE_FEED_UPDATE)
    quince_store_feed_apply (parent->observer, &message->QuinceMessage_u.feed_update);
  else if (message->kind == QUINCE_MESSAGE_FEED_SUBSCRIBE)
    quince_store_feed_send_newer_policy (parent->observer, link, &message->QuinceMessage_u.feed_subscribe);
  quince_message_free (message);
}

static void
link_closed (QuinceLink *link, const GError *error, gpointer data)
{
  handle_failure (data, "closed");
}

static const QuinceLinkCallbacks link_callbacks
    = { .connected = link_connected, .message = link_message, .closed = link_closed };

static void
link_to_next_relay (QuinceFeedParent *parent)
{
  const QuinceFeedRelay *relay = quince_feed_tree_choose_relay (&parent->relays->QuinceMessage_u.feed_relays,
                                                                parent->node, parent->zone, parent->attempt);
  if (relay == NULL)
    {
      parent->timer = quince_timer_add (RETRY_DELAY_MS, retry, parent);
      parent->failed (parent->user_data);
      return;
    }
  g_free (parent->relay);
  parent->relay = g_strdup (relay->node);
  quince_log_info ("feed_relay", "relay=%s address=%s attempt=%u", relay->node, relay->address,
                   parent->attempt);
  parent->link = quince_link_connect (relay->address, &link_callbacks, parent);
  set_timeout (parent, CONNECT_TIMEOUT_MS);
}

/* ---- Relays ------------------------------------------------------------- */

static gboolean
is_named (const QuinceFeedRelays *relays, const char *node)
{
  for (guint i = 0; i < relays->relays.relays_len; i++)
    if (g_strcmp0 (relays->relays.relays_val[i].node, node) == 0)
      return TRUE;
  return FALSE;
}

static QuinceMessage *
copy_relays (const QuinceFeedRelays *relays)
{
  const QuinceMessage message
      = { .kind = QUINCE_MESSAGE_FEED_RELAYS, .QuinceMessage_u.feed_relays = *relays };
  g_autoptr (GBytes) encoded = quince_message_encode (&message, NULL);
  gsize length;
  const guint8 *data = g_bytes_get_data (encoded, &length);
  return quince_message_decode (data, length, NULL);
}

void
quince_feed_parent_set_relays (QuinceFeedParent *parent, const QuinceFeedRelays *relays)
{
  if (relays->relays.relays_len == 0)
    return;
  g_clear_pointer (&parent->relays, quince_message_free);
  parent->relays = copy_relays (relays);
  /* A new leader may name the relays before this one has joined it. */
  if (parent->link != NULL && (parent->alive || is_named (relays, parent->relay)))
    return;
  close_link (parent);
  parent->attempt = 0;
  link_to_next_relay (parent);
}

gboolean
quince_feed_parent_is_alive (const QuinceFeedParent *parent)
{
  return parent->alive;
}

void
quince_feed_parent_handle_resume (QuinceFeedParent *parent)
{
  if (parent->relays == NULL)
    return;
  close_link (parent);
  parent->attempt = 0;
  link_to_next_relay (parent);
}

QuinceFeedParent *
quince_feed_parent_new (QuinceObserver *observer,
                        const char *node,
                        const char *zone,
                        QuinceFeedParentFailed failed,
                        gpointer user_data)
{
  QuinceFeedParent *parent = g_new0 (QuinceFeedParent, 1);
  parent->observer = observer;
  parent->node = g_strdup (node);
  parent->zone = g_strdup (zone);
  parent->failed = failed;
  parent->user_data = user_data;
  return parent;
}

void
quince_feed_parent_free (QuinceFeedParent *parent)
{
  if (parent == NULL)
    return;
  close_link (parent);
  g_clear_pointer (&parent->relays, quince_message_free);
  g_free (parent->relay);
  g_free (parent->node);
  g_free (parent->zone);
  g_free (parent);
}
