/*
 * peer-digests.c: what other nodes' digests say about engines.
 */
#include "peer-digests.h"

#include "engines.h"
#include "grants.h"
#include "operator-watch.h"

#include <quince/task.h>

/* What one node's newest digest said. */
typedef struct
{
  GHashTable *loaded;  /* owned set: engines with grants of that node       */
  GHashTable *leaving; /* owned set: engines that leave by its word         */
  gboolean gone;       /* that node is dead or has left                     */
  gint64 gone_us;      /* since when                                        */
} PeerDigest;

/* Owned by the gossiper, on the main context. */
struct _QuincePeerDigests
{
  QuinceNode *node;    /* not owned                                         */
  GHashTable *by_node; /* owned: node name -> PeerDigest                    */
  GHashTable *leaving; /* owned set: engines told to the scheduler as leaving */
};

static GHashTable *
name_set_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static void
peer_digest_free (gpointer data)
{
  PeerDigest *digest = data;
  g_hash_table_unref (digest->loaded);
  g_hash_table_unref (digest->leaving);
  g_free (digest);
}

static PeerDigest *
find_or_add (QuincePeerDigests *digests, const char *name)
{
  PeerDigest *known = g_hash_table_lookup (digests->by_node, name);
  if (known != NULL)
    return known;
  known = g_new0 (PeerDigest, 1);
  known->loaded = name_set_new ();
  known->leaving = name_set_new ();
  g_hash_table_insert (digests->by_node, g_strdup (name), known);
  return known;
}

/* Engines that the digest no longer names carry no load of that node. */
static void
clear_missing (QuincePeerDigests *digests, const char *name, GHashTable *before, GHashTable *after)
{
  QuinceScheduler *scheduler = quince_grants_get_scheduler (digests->node->grants);
  GHashTableIter iter;
  gpointer engine;
  g_hash_table_iter_init (&iter, before);
  while (g_hash_table_iter_next (&iter, &engine, NULL))
    if (!g_hash_table_contains (after, engine))
      quince_scheduler_peer_load (scheduler, quince_now_us (), name, engine, 0);
}

void
quince_peer_digests_apply (QuincePeerDigests *digests, const QuinceNodeDigest *digest)
{
  QuinceScheduler *scheduler = quince_grants_get_scheduler (digests->node->grants);
  PeerDigest *known = find_or_add (digests, digest->node);
  known->gone = FALSE;
  GHashTable *loaded = name_set_new ();
  g_hash_table_remove_all (known->leaving);
  for (guint i = 0; i < digest->engines.engines_len; i++)
    {
      const QuinceEngineDigest *engine = &digest->engines.engines_val[i];
      quince_scheduler_peer_load (scheduler, quince_now_us (), digest->node, engine->engine, engine->granted);
      g_hash_table_add (loaded, g_strdup (engine->engine));
      if (engine->leaving)
        g_hash_table_add (known->leaving, g_strdup (engine->engine));
    }
  clear_missing (digests, digest->node, known->loaded, loaded);
  g_hash_table_unref (known->loaded);
  known->loaded = loaded;
}

void
quince_peer_digests_gone (QuincePeerDigests *digests, const char *name)
{
  PeerDigest *known = g_hash_table_lookup (digests->by_node, name);
  if (known == NULL || known->gone)
    return;
  known->gone = TRUE;
  known->gone_us = quince_now_us ();
  g_hash_table_remove_all (known->loaded);
  quince_scheduler_peer_gone (quince_grants_get_scheduler (digests->node->grants), name);
}

/* Whether this node sees by itself each sign that a peer may have seen. */
static gboolean
sees_every_sign (const QuinceNode *node)
{
  gboolean operators = node->kv == NULL || quince_operator_watch_is_up (node->operator_watch);
  return operators && quince_engines_list_is_up (node->engines);
}

/* A node that is gone, and each engine that left by its word was heard of since. */
static gboolean
is_gone (gpointer name, gpointer value, gpointer user_data)
{
  const QuincePeerDigests *digests = user_data;
  const PeerDigest *known = value;
  GHashTableIter iter;
  gpointer engine;
  if (!known->gone)
    return FALSE;
  g_hash_table_iter_init (&iter, known->leaving);
  while (g_hash_table_iter_next (&iter, &engine, NULL))
    if (!quince_engines_is_heard_since (digests->node->engines, engine, known->gone_us))
      return FALSE;
  return TRUE;
}

/* The word of a node that is gone holds until this node can see for itself. */
static void
forget_gone (QuincePeerDigests *digests)
{
  if (sees_every_sign (digests->node))
    g_hash_table_foreach_remove (digests->by_node, is_gone, digests);
}

static GHashTable *
join_leaving (QuincePeerDigests *digests)
{
  GHashTable *joined = name_set_new ();
  GHashTableIter nodes;
  gpointer value;
  g_hash_table_iter_init (&nodes, digests->by_node);
  while (g_hash_table_iter_next (&nodes, NULL, &value))
    {
      const PeerDigest *known = value;
      GHashTableIter engines;
      gpointer engine;
      g_hash_table_iter_init (&engines, known->leaving);
      while (g_hash_table_iter_next (&engines, &engine, NULL))
        g_hash_table_add (joined, g_strdup (engine));
    }
  return joined;
}

/* Tells the scheduler of the engines in @some that are not in @others. */
static void
tell_difference (QuincePeerDigests *digests, GHashTable *some, GHashTable *others, gboolean leaving)
{
  GHashTableIter iter;
  gpointer engine;
  g_hash_table_iter_init (&iter, some);
  while (g_hash_table_iter_next (&iter, &engine, NULL))
    if (!g_hash_table_contains (others, engine))
      quince_grants_engine_leaving (digests->node->grants, engine, QUINCE_LEAVING_PEER, leaving);
}

void
quince_peer_digests_update_leaving (QuincePeerDigests *digests)
{
  forget_gone (digests);
  GHashTable *joined = join_leaving (digests);
  /* Told again each time: the scheduler may not have known the engine before. */
  g_autoptr (GHashTable) none = name_set_new ();
  tell_difference (digests, joined, none, TRUE);
  tell_difference (digests, digests->leaving, joined, FALSE);
  g_hash_table_unref (digests->leaving);
  digests->leaving = joined;
}

QuincePeerDigests *
quince_peer_digests_new (QuinceNode *node)
{
  QuincePeerDigests *digests = g_new0 (QuincePeerDigests, 1);
  digests->node = node;
  digests->by_node = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, peer_digest_free);
  digests->leaving = name_set_new ();
  return digests;
}

void
quince_peer_digests_free (QuincePeerDigests *digests)
{
  if (digests == NULL)
    return;
  g_hash_table_unref (digests->by_node);
  g_hash_table_unref (digests->leaving);
  g_free (digests);
}
