/*
 * peers.h: links that this node opens to other nodes.
 *
 * One link an address, opened at the first message and again, with back-off,
 * after it failed.  Best effort: what is sent while a link is down is lost,
 * and the senders repeat what matters.
 */
#pragma once

#include <quince/codec.h>

#include "node.h"

QuincePeers *quince_peers_new (QuinceNode *node);
void quince_peers_free (QuincePeers *peers);
void quince_peers_send (QuincePeers *peers, const char *address, const QuinceMessage *message);

typedef struct
{
  guint open;
  guint64 connected;
  guint64 failed;
  guint64 dropped; /* messages given while a link was down */
} QuincePeersCounters;

void quince_peers_get_counters (const QuincePeers *peers, QuincePeersCounters *out);
