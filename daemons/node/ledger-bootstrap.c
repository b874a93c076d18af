/*
 * ledger-bootstrap.c: how a replica becomes part of a ledger.
 */
#include "ledger-bootstrap.h"

#include <quince/log.h>
#include <quince/operator-keys.h>
#include <quince/operator-store.h>

#include "gossip.h"

/* Time for the write of the first voters to reach a definite outcome. */
#define WRITE_MS 5000

/* What the key-value service has said of the first voters. */
typedef enum
{
  VOTERS_UNKNOWN, /* no answer yet                                          */
  VOTERS_ABSENT,  /* a definite answer: not agreed yet                      */
  VOTERS_AGREED,
} VotersKnowledge;

/* Owned by the ledger host, on the main context. */
struct _QuinceLedgerBootstrap
{
  QuinceNode *node;     /* not owned                                   */
  QuinceLedger *ledger; /* not owned                                   */
  VotersKnowledge knowledge;
  QuinceReplicaSet *agreed;   /* owned; with VOTERS_AGREED                   */
  QuinceOperatorStore *store; /* owned; %NULL: no service is set             */
  gboolean write_pending;     /* of the first voters                         */
  guint next_peer;            /* whom to ask next to be taken in             */
};

/* ---- Key-value service ----------------------------------------------- */

static void
take_voters (QuinceLedgerBootstrap *bootstrap, const QuinceReplicaSet *voters)
{
  g_clear_pointer (&bootstrap->agreed, quince_replica_set_free);
  bootstrap->agreed = quince_replica_set_copy (voters);
  bootstrap->knowledge = VOTERS_AGREED;
}

static void
take_item (QuinceLedgerBootstrap *bootstrap, const QuinceKvItem *item)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (QuinceReplicaSet) voters = quince_operator_voters_parse (item, &error);
  if (voters != NULL)
    {
      take_voters (bootstrap, voters);
      return;
    }
  g_autofree char *reason = quince_log_quote (error->message);
  quince_log_warning ("ledger_voters_malformed", "reason=%s", reason);
}

void
quince_ledger_bootstrap_take_items (QuinceLedgerBootstrap *bootstrap, GPtrArray *items)
{
  if (items->len == 0)
    bootstrap->knowledge = VOTERS_ABSENT;
  else
    take_item (bootstrap, g_ptr_array_index (items, 0));
}

/* An absence that was seen before may have ended since. */
void
quince_ledger_bootstrap_kv_lost (QuinceLedgerBootstrap *bootstrap)
{
  if (bootstrap->knowledge == VOTERS_ABSENT)
    bootstrap->knowledge = VOTERS_UNKNOWN;
}

static gboolean
is_voter (const QuinceReplicaSet *voters, guint64 replica_id)
{
  for (guint i = 0; i < voters->voters.voters_len; i++)
    if (voters->voters.voters_val[i].replica_id == replica_id)
      return TRUE;
  return FALSE;
}

/* ---- First voters ---------------------------------------------------- */

static int
compare_replica_ids (gconstpointer a, gconstpointer b)
{
  const QuinceMember *left = *(const QuinceMember *const *)a;
  const QuinceMember *right = *(const QuinceMember *const *)b;
  return left->replica_id < right->replica_id ? -1 : left->replica_id > right->replica_id;
}

/* Live members with a replica, least replica id first. (transfer container) */
static GPtrArray *
list_live_replicas (QuinceLedgerBootstrap *bootstrap)
{
  g_autoptr (GPtrArray) members = quince_gossiper_get_members (bootstrap->node->gossiper);
  GPtrArray *replicas = g_ptr_array_new ();
  for (guint i = 0; i < members->len; i++)
    {
      QuinceMember *member = g_ptr_array_index (members, i);
      if (member->replica_id != 0 && member->state == QUINCE_MEMBER_ALIVE)
        g_ptr_array_add (replicas, member);
    }
  g_ptr_array_sort (replicas, compare_replica_ids);
  return replicas;
}

static gboolean
has_zone (GPtrArray *chosen, const char *zone)
{
  for (guint i = 0; i < chosen->len; i++)
    {
      const QuinceMember *member = g_ptr_array_index (chosen, i);
      if (g_str_equal (member->zone, zone))
        return TRUE;
    }
  return FALSE;
}

/* One of each zone first; then, when the settings allow it, any others. */
static GPtrArray *
choose_voters (QuinceLedgerBootstrap *bootstrap, GPtrArray *replicas)
{
  const QuinceSettings *settings = bootstrap->node->settings;
  guint target = (guint)quince_settings_get_integer (settings, "ledger", "voters");
  GPtrArray *chosen = g_ptr_array_new ();
  for (guint i = 0; i < replicas->len && chosen->len < target; i++)
    {
      QuinceMember *member = g_ptr_array_index (replicas, i);
      if (!has_zone (chosen, member->zone))
        g_ptr_array_add (chosen, member);
    }
  if (!quince_settings_get_boolean (settings, "ledger", "allow_same_zone"))
    return chosen;
  for (guint i = 0; i < replicas->len && chosen->len < target; i++)
    {
      QuinceMember *member = g_ptr_array_index (replicas, i);
      if (!g_ptr_array_find (chosen, member, NULL))
        g_ptr_array_add (chosen, member);
    }
  return chosen;
}

/* Another node may have been first: then @voters are those that it chose. */
static void
voters_written (const QuinceReplicaSet *voters, const GError *error, gpointer user_data)
{
  QuinceLedgerBootstrap *bootstrap = user_data;
  bootstrap->write_pending = FALSE;
  if (error != NULL)
    {
      g_autofree char *reason = quince_log_quote (error->message);
      quince_log_info ("ledger_voters_not_written", "code=%d reason=%s", error->code, reason);
      return;
    }
  quince_log_info ("ledger_voters_written", "voters=%u", voters->voters.voters_len);
  take_voters (bootstrap, voters);
}

static void
write_voters (QuinceLedgerBootstrap *bootstrap, GPtrArray *chosen)
{
  g_autofree QuinceReplica *replicas = g_new0 (QuinceReplica, chosen->len);
  for (guint i = 0; i < chosen->len; i++)
    {
      const QuinceMember *member = g_ptr_array_index (chosen, i);
      replicas[i].replica_id = member->replica_id;
      replicas[i].node = member->name;
      replicas[i].zone = member->zone;
      replicas[i].address = member->address;
    }
  QuinceReplicaSet voters = { 0 };
  voters.voters.voters_len = chosen->len;
  voters.voters.voters_val = replicas;
  bootstrap->write_pending = TRUE;
  quince_operator_store_create_voters (bootstrap->store, &voters, voters_written, bootstrap);
}

/* Only the node with the least replica id writes, and only when it sees enough. */
static void
propose_voters (QuinceLedgerBootstrap *bootstrap)
{
  if (bootstrap->write_pending)
    return;
  g_autoptr (GPtrArray) replicas = list_live_replicas (bootstrap);
  g_autoptr (GPtrArray) chosen = choose_voters (bootstrap, replicas);
  guint target = (guint)quince_settings_get_integer (bootstrap->node->settings, "ledger", "voters");
  if (chosen->len < target)
    return;
  const QuinceMember *least = g_ptr_array_index (chosen, 0);
  if (least->replica_id == quince_ledger_get_replica_id (bootstrap->ledger))
    write_voters (bootstrap, chosen);
}

/* ---- Joining --------------------------------------------------------- */

void
quince_ledger_bootstrap_join (QuinceLedgerBootstrap *bootstrap)
{
  g_autoptr (GPtrArray) replicas = list_live_replicas (bootstrap);
  for (guint i = 0; i < replicas->len; i++)
    {
      const QuinceMember *member = g_ptr_array_index (replicas, bootstrap->next_peer++ % replicas->len);
      if (!quince_gossiper_is_live_peer (bootstrap->node->gossiper, member))
        continue;
      quince_ledger_join (bootstrap->ledger, member->address);
      return;
    }
}

void
quince_ledger_bootstrap_step (QuinceLedgerBootstrap *bootstrap)
{
  guint64 own_id = quince_ledger_get_replica_id (bootstrap->ledger);
  if (bootstrap->knowledge == VOTERS_AGREED && is_voter (bootstrap->agreed, own_id))
    quince_ledger_bootstrap (bootstrap->ledger, bootstrap->agreed);
  else if (bootstrap->knowledge == VOTERS_ABSENT)
    propose_voters (bootstrap);
  else
    quince_ledger_bootstrap_join (bootstrap);
}

/* ---- Lifetime -------------------------------------------------------- */

QuinceLedgerBootstrap *
quince_ledger_bootstrap_new (QuinceNode *node, QuinceLedger *ledger)
{
  QuinceLedgerBootstrap *bootstrap = g_new0 (QuinceLedgerBootstrap, 1);
  bootstrap->node = node;
  bootstrap->ledger = ledger;
  if (node->kv != NULL)
    bootstrap->store = quince_operator_store_new (node->kv, WRITE_MS);
  return bootstrap;
}

void
quince_ledger_bootstrap_free (QuinceLedgerBootstrap *bootstrap)
{
  if (bootstrap == NULL)
    return;
  g_clear_pointer (&bootstrap->store, quince_operator_store_free);
  g_clear_pointer (&bootstrap->agreed, quince_replica_set_free);
  g_free (bootstrap);
}
