/*
 * gossip.h: membership of this node and the digests it exchanges.
 *
 * Drives the pure membership over UDP.  Peers' digests tell which engines
 * they have loaded, which ones leave, and which policy revision is in force.
 */
#pragma once

#include <quince/codec.h>

#include "node.h"

/* Needs the sessions, whose address it spreads. */
QuinceGossiper *quince_gossiper_new (QuinceNode *node, GError **error);
void quince_gossiper_free (QuinceGossiper *gossiper);
/* Begins to probe; every other part of the node is there by now. */
void quince_gossiper_begin (QuinceGossiper *gossiper);
/* ip:port really listened on */
const char *quince_gossiper_get_address (QuinceGossiper *gossiper);

void quince_gossiper_set_replica_id (QuinceGossiper *gossiper, guint64 replica_id);
/* The own digest has changed: it goes out with the next datagrams. */
void quince_gossiper_digest_changed (QuinceGossiper *gossiper);
/* Planned stop: tells the others. */
void quince_gossiper_leave (QuinceGossiper *gossiper);

/* Members, this node and dead ones too; valid until the context runs on. (transfer container) */
GPtrArray *quince_gossiper_get_members (QuinceGossiper *gossiper);
/* (transfer none) (nullable): newest digest of another node */
const QuinceNodeDigest *quince_gossiper_get_digest (QuinceGossiper *gossiper, const char *name);
/* Alive and not this node. */
gboolean quince_gossiper_is_live_peer (const QuinceGossiper *gossiper, const QuinceMember *member);

typedef struct
{
  guint64 bytes_sent;
  guint64 bytes_received;
  guint64 malformed;
  guint64 readings_bytes; /* sent with reports of owned engines            */
} QuinceGossipCounters;

/* In which this node tells every other one of its zone of the engines that it owns. */
gint64 quince_gossiper_get_readings_round_us (const QuinceGossiper *gossiper);
/* When a datagram of another node came last, in monotonic time; 0 never. */
gint64 quince_gossiper_get_heard_us (const QuinceGossiper *gossiper);
void quince_gossiper_get_counters (const QuinceGossiper *gossiper, QuinceGossipCounters *out);
