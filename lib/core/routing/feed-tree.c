/*
 * feed-tree.c: which process feeds which other ones with what it reads from the metadata store.
 */
#include "core/routing/feed-tree.h"

#include <string.h>

#include "protocol/hash.h"

typedef struct
{
  const QuinceFeedRelay *relay;
  gboolean other_zone;
  guint64 weight;
} Candidate;

gboolean
quince_feed_tree_feeds_directly (QuinceFeedRole role, guint n_direct_fronts)
{
  return role != QUINCE_FEED_ROLE_FRONT || n_direct_fronts < QUINCE_FEED_TREE_DIRECT_FRONTS_MAX;
}

static guint64
get_weight (const char *node, const char *relay)
{
  return quince_hash64 (relay, strlen (relay), quince_hash64 (node, strlen (node), 0));
}

static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const Candidate *first = a;
  const Candidate *second = b;
  if (first->other_zone != second->other_zone)
    return first->other_zone ? 1 : -1;
  if (first->weight != second->weight)
    return first->weight < second->weight ? 1 : -1;
  return strcmp (first->relay->node, second->relay->node);
}

const QuinceFeedRelay *
quince_feed_tree_choose_relay (const QuinceFeedRelays *relays,
                               const char *node,
                               const char *zone,
                               guint attempt)
{
  guint n_relays = relays->relays.relays_len;
  if (attempt >= n_relays)
    return NULL;
  g_autofree Candidate *candidates = g_new (Candidate, n_relays);
  for (guint i = 0; i < n_relays; i++)
    {
      const QuinceFeedRelay *relay = &relays->relays.relays_val[i];
      candidates[i] = (Candidate){ relay, strcmp (relay->zone, zone) != 0, get_weight (node, relay->node) };
    }
  qsort (candidates, n_relays, sizeof *candidates, compare_candidates);
  return candidates[attempt].relay;
}
