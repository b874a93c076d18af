/*
 * node-peer.c: what the agent knows of one node, and its link.
 */
#include "node-links.h"
#include "node-peer.h"

#include <quince/request-id.h>
#include <quince/task.h>

#define MOST_UNSENT_ENDS 4096
/* Two clocks drift apart by less than one part in so many: the least transit ages by it, or
 * else every message would seem late after some hours. */
#define CLOCK_DRIFT_PARTS 2000
#define BACKOFF_LEAST_MS 50
#define BACKOFF_MOST_MS 2000
#define BACKOFF_MOST_DOUBLINGS 6

QuinceNodePeer *
quince_node_peer_new (QuinceNodeLinks *owner, const char *address)
{
  QuinceNodePeer *peer = g_new0 (QuinceNodePeer, 1);
  peer->owner = owner;
  peer->address = g_strdup (address);
  peer->name = g_strdup ("");
  peer->zone = g_strdup ("");
  peer->least_transit_us = G_MAXINT64;
  peer->unsent_ends = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  return peer;
}

void
quince_node_peer_free (QuinceNodePeer *peer)
{
  quince_source_clear (&peer->reconnect);
  if (peer->link != NULL)
    {
      quince_link_close (peer->link);
      quince_link_unref (peer->link);
    }
  g_ptr_array_unref (peer->unsent_ends);
  g_free (peer->address);
  g_free (peer->name);
  g_free (peer->zone);
  g_free (peer);
}

gboolean
quince_node_peer_is_up (const QuinceNodePeer *peer)
{
  return peer->link != NULL && quince_link_is_connected (peer->link);
}

gboolean
quince_node_peer_is_ready (const QuinceNodePeer *peer)
{
  return quince_node_peer_is_up (peer) && peer->ready && !peer->stopping;
}

void
quince_node_peer_send_end (QuinceNodePeer *peer, const QuinceGrantEnd *end)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_GRANT_END };
  message.QuinceMessage_u.grant_end = *end;
  if (quince_node_peer_is_up (peer))
    {
      quince_link_send (peer->link, &message);
      return;
    }
  if (peer->unsent_ends->len >= MOST_UNSENT_ENDS)
    g_ptr_array_remove_index (peer->unsent_ends, 0);
  GBytes *encoded = quince_message_encode (&message, NULL);
  if (encoded != NULL)
    g_ptr_array_add (peer->unsent_ends, encoded);
}

void
quince_node_peer_flush_ends (QuinceNodePeer *peer)
{
  for (guint i = 0; i < peer->unsent_ends->len; i++)
    quince_link_send_bytes (peer->link, g_ptr_array_index (peer->unsent_ends, i));
  g_ptr_array_set_size (peer->unsent_ends, 0);
}

gint64
quince_node_peer_sent_at (QuinceNodePeer *peer, guint64 sent_us, gint64 now_us)
{
  gint64 transit_us = now_us - (gint64)sent_us;
  if (peer->least_transit_us != G_MAXINT64)
    peer->least_transit_us += (now_us - peer->transit_aged_us) / CLOCK_DRIFT_PARTS;
  peer->transit_aged_us = now_us;
  peer->least_transit_us = MIN (peer->least_transit_us, transit_us);
  return now_us - (transit_us - peer->least_transit_us);
}

guint
quince_node_peer_backoff_ms (const QuinceNodePeer *peer)
{
  guint doublings = MIN (peer->failures, BACKOFF_MOST_DOUBLINGS);
  guint wait = MIN ((guint)BACKOFF_LEAST_MS << doublings, BACKOFF_MOST_MS);
  return wait / 2 + (guint)(quince_random_u64 () % (wait / 2 + 1));
}
