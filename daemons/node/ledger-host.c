/*
 * ledger-host.c: the ledger replica of this node, if it keeps one.
 */
#include "ledger-host.h"

#include <quince/log.h>
#include <quince/task.h>

#include "gossip.h"
#include "ledger-bootstrap.h"
#include "peers.h"
#include "sessions.h"

#define MILLISECOND (G_USEC_PER_SEC / 1000)
#define BOOTSTRAP_INTERVAL_MS 500
#define RETRY_AFTER_MS 100
/* A replica without a voter's place or a leader asks again after this. */
#define REJOIN_US (3 * G_USEC_PER_SEC)

/* Owned by the node, on its main context; the ledger has its own thread. */
struct _QuinceLedgerHost
{
  QuinceNode *node;                 /* not owned                            */
  QuinceLedger *ledger;             /* owned; %NULL: no replica here        */
  QuinceLedgerState state;          /* as last reported by the ledger       */
  QuinceLedgerBootstrap *bootstrap; /* owned; %NULL: no replica here        */
  GSource *bootstrap_timer;         /* owned; the same                      */
  gint64 placed_us;                 /* had a place and a leader, or asked   */
  guint call_timeout_ms;
  char *leader; /* owned: address from digests          */
};

/* ---- From the ledger's task ------------------------------------------ */

static void
ledger_send (const char *address, const QuinceReplication *replication, gpointer user_data)
{
  QuinceLedgerHost *host = user_data;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_REPLICATION };
  message.QuinceMessage_u.replication = *replication;
  quince_peers_send (host->node->peers, address, &message);
}

static void
ledger_reply (guint64 client, QuinceLedgerReply *reply, gpointer user_data)
{
  QuinceLedgerHost *host = user_data;
  g_autoptr (QuinceLedgerReply) owned = reply;
  quince_sessions_send_ledger_reply (host->node->sessions, client, owned);
}

static void
ledger_state (const QuinceLedgerState *state, gpointer user_data)
{
  QuinceLedgerHost *host = user_data;
  gboolean changed = state->role != host->state.role || state->epoch != host->state.epoch
                     || state->leader_id != host->state.leader_id;
  host->state = *state;
  if (!changed)
    return;
  quince_gossiper_digest_changed (host->node->gossiper);
  quince_node_changed (host->node);
}

static const QuinceLedgerCallbacks ledger_callbacks = {
  .send = ledger_send,
  .reply = ledger_reply,
  .state = ledger_state,
};

/* ---- From the links -------------------------------------------------- */

/* This node keeps no replica: nothing was done; the caller asks the leader. */
static void
answer_not_leader (QuinceLedgerHost *host, guint64 client, const QuinceLedgerCall *call)
{
  QuinceLedgerReply reply = { 0 };
  u_quad_t epoch = 0;
  reply.call_id = call->call_id;
  reply.status = QUINCE_LEDGER_NOT_LEADER;
  reply.leader = (char *)quince_ledger_host_get_leader (host, &epoch);
  reply.retry_after_ms = RETRY_AFTER_MS;
  quince_ledger_reply_set_empty (&reply, call->command.kind);
  quince_sessions_send_ledger_reply (host->node->sessions, client, &reply);
  xdr_free ((xdrproc_t)xdr_QuinceLedgerResult, &reply.result);
}

void
quince_ledger_host_call (QuinceLedgerHost *host, guint64 client, QuinceLedgerCall *call)
{
  if (host->ledger != NULL)
    {
      quince_ledger_call (host->ledger, client, call, host->call_timeout_ms);
      return;
    }
  answer_not_leader (host, client, call);
  quince_ledger_call_free (call);
}

void
quince_ledger_host_receive (QuinceLedgerHost *host, QuinceReplication *message)
{
  if (host->ledger != NULL)
    quince_ledger_receive (host->ledger, message);
  else
    quince_replication_free (message);
}

void
quince_ledger_host_take_items (QuinceLedgerHost *host, GPtrArray *items)
{
  if (host->bootstrap != NULL)
    quince_ledger_bootstrap_take_items (host->bootstrap, items);
}

void
quince_ledger_host_kv_lost (QuinceLedgerHost *host)
{
  if (host->bootstrap != NULL)
    quince_ledger_bootstrap_kv_lost (host->bootstrap);
}

/* ---- Who leads ------------------------------------------------------- */

/* The leader in the digest with the greatest epoch. Returns: its address, "" unknown */
static const char *
find_leader_in_digests (QuinceLedgerHost *host, u_quad_t *epoch)
{
  g_autoptr (GPtrArray) members = quince_gossiper_get_members (host->node->gossiper);
  guint64 leader_id = 0;
  *epoch = 0;
  for (guint i = 0; i < members->len; i++)
    {
      const QuinceMember *member = g_ptr_array_index (members, i);
      const QuinceNodeDigest *digest = quince_gossiper_get_digest (host->node->gossiper, member->name);
      if (digest == NULL || digest->ledger_leader == 0 || digest->ledger_epoch <= *epoch)
        continue;
      *epoch = digest->ledger_epoch;
      leader_id = digest->ledger_leader;
    }
  g_clear_pointer (&host->leader, g_free);
  for (guint i = 0; i < members->len && leader_id != 0; i++)
    {
      const QuinceMember *member = g_ptr_array_index (members, i);
      if (member->replica_id == leader_id && member->state != QUINCE_MEMBER_DEAD)
        host->leader = g_strdup (member->address);
    }
  return host->leader != NULL ? host->leader : "";
}

const char *
quince_ledger_host_get_leader (QuinceLedgerHost *host, u_quad_t *epoch)
{
  if (host->state.leader_id == 0)
    return find_leader_in_digests (host, epoch);
  *epoch = host->state.epoch;
  return host->state.leader_address;
}

guint64
quince_ledger_host_get_leader_id (QuinceLedgerHost *host, u_quad_t *epoch)
{
  *epoch = host->state.leader_id != 0 ? host->state.epoch : 0;
  return host->state.leader_id;
}

const QuinceLedgerState *
quince_ledger_host_get_state (const QuinceLedgerHost *host)
{
  return host->ledger != NULL ? &host->state : NULL;
}

guint64
quince_ledger_host_get_fence (const QuinceLedgerHost *host)
{
  return host->ledger != NULL && host->state.role == QUINCE_CONSENSUS_LEADER ? host->state.epoch : 0;
}

/* ---- Lifetime -------------------------------------------------------- */

/* A learner is known to its leader alone, and a voter may have been replaced
 * while it was away: both ask again.  To ask twice is harmless. */
static gboolean
needs_join (QuinceLedgerHost *host)
{
  gint64 now_us = quince_now_us ();
  gboolean has_place = host->state.leader_id != 0 && host->state.role != QUINCE_CONSENSUS_LEARNER;
  if (has_place)
    host->placed_us = now_us;
  return now_us - host->placed_us > REJOIN_US;
}

static gboolean
bootstrap_due (gpointer user_data)
{
  QuinceLedgerHost *host = user_data;
  if (!host->state.bootstrapped)
    quince_ledger_bootstrap_step (host->bootstrap);
  else if (needs_join (host))
    {
      host->placed_us = quince_now_us ();
      quince_ledger_bootstrap_join (host->bootstrap);
    }
  return G_SOURCE_CONTINUE;
}

static QuinceLedger *
open_ledger (QuinceLedgerHost *host, const char *folder, GError **error)
{
  QuinceNode *node = host->node;
  QuinceConsensusLimits limits = quince_consensus_default_limits;
  limits.voters_target = (guint)quince_settings_get_integer (node->settings, "ledger", "voters");
  QuinceReplica self = { 0 };
  self.node = (char *)node->name;
  self.zone = (char *)node->zone;
  self.address = (char *)quince_node_get_advertised_address (node);
  return quince_ledger_open (folder, &self, &limits, &ledger_callbacks, host, error);
}

QuinceLedgerHost *
quince_ledger_host_new (QuinceNode *node, GError **error)
{
  QuinceLedgerHost *host = g_new0 (QuinceLedgerHost, 1);
  host->node = node;
  host->call_timeout_ms
      = (guint)(quince_settings_get_duration_us (node->settings, "ledger", "call_timeout") / MILLISECOND);
  const char *folder = quince_settings_get_text (node->settings, "ledger", "folder");
  if (*folder == '\0')
    return host;
  host->ledger = open_ledger (host, folder, error);
  if (host->ledger == NULL)
    {
      quince_ledger_host_free (host);
      return NULL;
    }
  host->state.replica_id = quince_ledger_get_replica_id (host->ledger);
  return host;
}

void
quince_ledger_host_begin (QuinceLedgerHost *host)
{
  if (host->ledger == NULL)
    return;
  quince_gossiper_set_replica_id (host->node->gossiper, host->state.replica_id);
  host->bootstrap = quince_ledger_bootstrap_new (host->node, host->ledger);
  host->bootstrap_timer = quince_timer_add (BOOTSTRAP_INTERVAL_MS, bootstrap_due, host);
}

void
quince_ledger_host_close (QuinceLedgerHost *host)
{
  quince_source_clear (&host->bootstrap_timer);
  g_clear_pointer (&host->bootstrap, quince_ledger_bootstrap_free);
  if (host->ledger == NULL)
    return;
  /* It goes on receiving while it hands leadership on. */
  quince_ledger_close (host->ledger);
  host->ledger = NULL;
  memset (&host->state, 0, sizeof host->state);
}

void
quince_ledger_host_free (QuinceLedgerHost *host)
{
  if (host == NULL)
    return;
  quince_ledger_host_close (host);
  g_free (host->leader);
  g_free (host);
}
