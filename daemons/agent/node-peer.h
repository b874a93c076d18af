/*
 * node-peer.h: what the agent knows of one node, and its link.
 */
#pragma once

#include <quince/link.h>

/* All fields belong to the main context; the node links own the record. */
typedef struct
{
  QuinceNodeLinks *owner;
  char *address;
  char *name;             /* "" until its first status                      */
  char *zone;             /* "" until a member record names it              */
  gboolean configured;    /* from the settings: never forgotten             */
  QuinceLink *link;       /* %NULL between tries                            */
  gint64 transit_aged_us; /* when least_transit_us was last brought up to date */
  gboolean ready;         /* as its last status says                        */
  gboolean stopping;
  gint64 heard_us;         /* last message or connect                        */
  gint64 least_transit_us; /* least difference of this clock and the node's, see
                              quince_node_peer_sent_at(); G_MAXINT64: none yet */
  gboolean up;             /* told to the owner as linked                    */
  guint failures;          /* links lost since its last status               */
  GSource *reconnect;      /* owned; while it waits to try again             */
  GPtrArray *unsent_ends;  /* GBytes: grant ends for when the link is up     */
} QuinceNodePeer;

QuinceNodePeer *quince_node_peer_new (QuinceNodeLinks *owner, const char *address);
void quince_node_peer_free (QuinceNodePeer *peer);
/* Whether a request for a grant may be sent to it. */
gboolean quince_node_peer_is_ready (const QuinceNodePeer *peer);
gboolean quince_node_peer_is_up (const QuinceNodePeer *peer);
/* Sends now, or keeps it (a bounded number) until the link is up. */
void quince_node_peer_send_end (QuinceNodePeer *peer, const QuinceGrantEnd *end);
void quince_node_peer_flush_ends (QuinceNodePeer *peer);
/* When a message that the node stamped with @sent_us and that came at @now_us was sent, in
 * this process's clock: the fastest message of the link is taken to have come at once, so what
 * lay long in a socket is known to be old.  Never later than @now_us. */
gint64 quince_node_peer_sent_at (QuinceNodePeer *peer, guint64 sent_us, gint64 now_us);
/* Spread, doubling wait before the next try to connect. */
guint quince_node_peer_backoff_ms (const QuinceNodePeer *peer);
