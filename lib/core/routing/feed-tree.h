/*
 * feed-tree.h: which process feeds which other ones with what it reads from the metadata store.
 *
 * The leader feeds all replicas and a limited number of fronts; each further front is fed by a relay, a
 * replica that passes on what it is fed.  So the leader's work for a change or for a start of all fronts
 * does not grow with the number of fronts.  Every front computes its relays by itself from the leader's list
 * of relays, by rendezvous hashing: the fronts of a zone are spread over the relays of the zone, and only the
 * fronts of a relay that is lost move.
 *
 * Pure functions.
 */
#pragma once

#include <glib.h>

#include "quince_protocol.h"

G_BEGIN_DECLS

/* Maximum number of fronts that the leader feeds itself.  Smaller deployments need no relay, which spares
 * them a hop. */
#define QUINCE_FEED_TREE_DIRECT_FRONTS_MAX 64

/* Time without a message after which a process that feeds others counts as lost, ms: three heartbeats of
 * 250 ms plus a margin. */
#define QUINCE_FEED_TREE_FEEDER_TIMEOUT_MS 900

/* Returns: whether the leader feeds one more subscriber itself instead of naming relays to it.
 * @n_direct_fronts: fronts that the leader feeds already */
gboolean quince_feed_tree_feeds_directly (QuinceFeedRole role, guint n_direct_fronts);

/**
 * quince_feed_tree_choose_relay:
 * @node: name of the front
 * @zone: zone of the front
 * @attempt: 0 for the first choice; each relay that fails makes the front try the next one
 *
 * Relays of the same zone come first.
 *
 * Returns: (nullable) (transfer none): the relay, or %NULL if all relays have been tried
 */
const QuinceFeedRelay *quince_feed_tree_choose_relay (const QuinceFeedRelays *relays,
                                                      const char *node,
                                                      const char *zone,
                                                      guint attempt);

G_END_DECLS
