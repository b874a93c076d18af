/*
 * peers.c: links that this node opens to other nodes.
 */
#include "peers.h"

#include <quince/link.h>
#include <quince/log.h>
#include <quince/task.h>

#include "node-status.h"
#include "policy-spread.h"

#define BACKOFF_LEAST_US (100 * G_USEC_PER_SEC / 1000)
#define BACKOFF_MOST_US (3 * G_USEC_PER_SEC)
#define IDLE_US (60 * G_USEC_PER_SEC)
#define SWEEP_INTERVAL_MS 10000

/* Owned by the node, on its main context. */
struct _QuincePeers
{
  QuinceNode *node;             /* not owned                                */
  GHashTable *by_address;       /* owned: address -> Peer                   */
  GSource *sweep_timer;         /* owned: closes idle links                 */
  QuincePeersCounters counters; /* beside what they count                   */
};

/* One other node.  Owned by by_address. */
typedef struct
{
  QuincePeers *peers; /* not owned                                        */
  char *address;      /* owned; also the key                              */
  QuinceLink *link;   /* owned; %NULL while down                          */
  gint64 backoff_us;  /* wait after the next failure                      */
  gint64 retry_at_us; /* no new link before this                          */
  gint64 last_used_us;
} Peer;

static void
peer_close (Peer *peer)
{
  if (peer->link == NULL)
    return;
  quince_link_close (peer->link);
  g_clear_pointer (&peer->link, quince_link_unref);
}

static void
peer_free (gpointer data)
{
  Peer *peer = data;
  peer_close (peer);
  g_free (peer->address);
  g_free (peer);
}

static void
link_connected (QuinceLink *link, gpointer user_data)
{
  Peer *peer = user_data;
  peer->backoff_us = BACKOFF_LEAST_US;
  peer->peers->counters.connected++;
}

static void
link_message (QuinceLink *link, QuinceMessage *message, gpointer user_data)
{
  Peer *peer = user_data;
  g_autoptr (QuinceMessage) owned = message;
  QuincePolicySpread *spread = peer->peers->node->policy_spread;
  if (owned->kind == QUINCE_MESSAGE_HELLO)
    quince_policy_spread_seen (spread, owned->QuinceMessage_u.hello.policy_revision, peer->address);
  else if (owned->kind == QUINCE_MESSAGE_POLICY_BODY)
    quince_policy_spread_offer (spread, &owned->QuinceMessage_u.policy_body, peer->address);
}

static void
link_closed (QuinceLink *link, const GError *error, gpointer user_data)
{
  Peer *peer = user_data;
  g_autofree char *reason = quince_log_quote (error != NULL ? error->message : "");
  quince_log_debug ("peer_link_down", "peer=%s reason=%s", peer->address, reason);
  peer_close (peer);
  peer->retry_at_us = quince_now_us () + peer->backoff_us;
  peer->backoff_us = MIN (peer->backoff_us * 2, BACKOFF_MOST_US);
  peer->peers->counters.failed++;
}

static const QuinceLinkCallbacks link_callbacks = {
  .connected = link_connected,
  .message = link_message,
  .closed = link_closed,
};

static Peer *
find_or_add (QuincePeers *peers, const char *address)
{
  Peer *peer = g_hash_table_lookup (peers->by_address, address);
  if (peer != NULL)
    return peer;
  peer = g_new0 (Peer, 1);
  peer->peers = peers;
  peer->address = g_strdup (address);
  peer->backoff_us = BACKOFF_LEAST_US;
  g_hash_table_insert (peers->by_address, peer->address, peer);
  return peer;
}

/* Opens the link when it is down and may be tried again. */
static gboolean
peer_open (Peer *peer)
{
  if (peer->link != NULL)
    return TRUE;
  if (quince_now_us () < peer->retry_at_us)
    return FALSE;
  peer->link = quince_link_connect (peer->address, &link_callbacks, peer);
  QuinceMessage message = { .kind = QUINCE_MESSAGE_HELLO };
  quince_node_fill_hello (peer->peers->node, &message.QuinceMessage_u.hello);
  quince_link_send (peer->link, &message);
  return TRUE;
}

void
quince_peers_send (QuincePeers *peers, const char *address, const QuinceMessage *message)
{
  Peer *peer = find_or_add (peers, address);
  peer->last_used_us = quince_now_us ();
  if (peer_open (peer))
    quince_link_send (peer->link, message);
  else
    peers->counters.dropped++;
}

static gboolean
is_idle (gpointer key, gpointer value, gpointer user_data)
{
  const Peer *peer = value;
  return quince_now_us () - peer->last_used_us > IDLE_US;
}

static gboolean
sweep_due (gpointer user_data)
{
  QuincePeers *peers = user_data;
  g_hash_table_foreach_remove (peers->by_address, is_idle, NULL);
  return G_SOURCE_CONTINUE;
}

QuincePeers *
quince_peers_new (QuinceNode *node)
{
  QuincePeers *peers = g_new0 (QuincePeers, 1);
  peers->node = node;
  peers->by_address = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  peers->sweep_timer = quince_timer_add (SWEEP_INTERVAL_MS, sweep_due, peers);
  return peers;
}

void
quince_peers_free (QuincePeers *peers)
{
  if (peers == NULL)
    return;
  quince_source_clear (&peers->sweep_timer);
  g_hash_table_unref (peers->by_address);
  g_free (peers);
}

void
quince_peers_get_counters (const QuincePeers *peers, QuincePeersCounters *out)
{
  *out = peers->counters;
  out->open = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, peers->by_address);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Peer *peer = value;
      if (peer->link != NULL && quince_link_is_connected (peer->link))
        out->open++;
    }
}
