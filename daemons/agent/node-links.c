/*
 * node-links.c: links to the nodes, and the requests for grants on them.
 */
#include "node-links.h"

#include <string.h>

#include <quince/link.h>
#include <quince/log.h>
#include <quince/request-id.h>
#include <quince/task.h>

#include "node-peer.h"

#define SILENCE_US (3 * G_USEC_PER_SEC)
#define CHECK_INTERVAL_MS 500
#define MOST_SPARES 3
#define MOST_PEERS 256
/* A node that no setting names is forgotten after so many tries; members name it again when it lives. */
#define MOST_FAILURES 12

/* What a verdict is matched by. */
typedef struct
{
  QuinceRequestId id;
  guint attempt;
} GrantKey;

/* One request for a grant that waits for its verdict. */
typedef struct
{
  GrantKey key;
  QuinceNodePeer *peer;
  gint64 asked_us;
  const QuinceGrantCallbacks *callbacks;
  gpointer user_data;
} GrantAsk;

struct _QuinceNodeLinks
{
  /* All fields belong to the main context. */
  QuinceNodeLinksOptions options; /* texts borrowed from the agent          */
  GHashTable *peers;              /* address -> QuinceNodePeer, owned       */
  GHashTable *asks;               /* GrantKey -> GrantAsk, owned            */
  GSource *check_timer;
  guint64 policy_revision; /* greatest seen                          */
  guint64 ledger_epoch;    /* greatest seen                          */
  char *ledger_leader;     /* of that epoch, "" unknown              */
  QuinceNodeLinksCounters counters;
};

static void connect_peer (QuinceNodePeer *peer);

/* ---- Requests for grants ---------------------------------------------- */

static guint
grant_key_hash (gconstpointer data)
{
  const GrantKey *key = data;
  return quince_request_id_hash (key->id) ^ key->attempt;
}

static gboolean
grant_key_equal (gconstpointer a, gconstpointer b)
{
  const GrantKey *first = a;
  const GrantKey *second = b;
  return first->attempt == second->attempt && quince_request_id_equal (first->id, second->id);
}

static GrantAsk *
steal_ask (QuinceNodeLinks *links, const QuinceRequestId id, guint attempt)
{
  GrantKey key = { .attempt = attempt };
  gpointer ask = NULL;
  memcpy (key.id, id, QUINCE_ID_BYTES);
  g_hash_table_steal_extended (links->asks, &key, NULL, &ask);
  return ask;
}

/* Every request that waits for @peer's verdict is told that the node is lost. */
static void
lose_asks (QuinceNodeLinks *links, QuinceNodePeer *peer)
{
  g_autoptr (GPtrArray) lost = g_ptr_array_new_with_free_func (g_free);
  g_autofree char *address = g_strdup (peer->address);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, links->asks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((GrantAsk *)value)->peer == peer)
      {
        g_ptr_array_add (lost, value);
        g_hash_table_iter_steal (&iter);
      }
  links->counters.lost += lost->len;
  for (guint i = 0; i < lost->len; i++)
    {
      GrantAsk *ask = g_ptr_array_index (lost, i);
      ask->callbacks->lost (address, ask->user_data);
    }
}

static gboolean
was_tried (const GPtrArray *tried, const char *address)
{
  return tried != NULL && g_ptr_array_find_with_equal_func ((GPtrArray *)tried, address, g_str_equal, NULL);
}

/* Greatest rendezvous score of the ready nodes; one of the own zone before any other. */
static QuinceNodePeer *
choose_peer (QuinceNodeLinks *links, guint64 key, const GPtrArray *tried)
{
  QuinceNodePeer *best = NULL;
  gboolean best_near = FALSE;
  guint64 best_score = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, links->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QuinceNodePeer *peer = value;
      if (!quince_node_peer_is_ready (peer) || was_tried (tried, peer->address))
        continue;
      gboolean near = *peer->zone == '\0' || g_str_equal (peer->zone, links->options.zone);
      guint64 score = quince_rendezvous_score (key, peer->name);
      if (best == NULL || (near && !best_near) || (near == best_near && score > best_score))
        {
          best = peer;
          best_near = near;
          best_score = score;
        }
    }
  return best;
}

gboolean
quince_node_links_ask (QuinceNodeLinks *links,
                       QuinceGrantRequest *request,
                       guint64 key,
                       const GPtrArray *tried,
                       const QuinceGrantCallbacks *callbacks,
                       gpointer user_data)
{
  QuinceNodePeer *peer = choose_peer (links, key, tried);
  if (peer == NULL)
    return FALSE;
  GrantAsk *ask = g_new0 (GrantAsk, 1);
  memcpy (ask->key.id, request->request_id, QUINCE_ID_BYTES);
  ask->key.attempt = request->attempt;
  ask->peer = peer;
  ask->asked_us = quince_now_us ();
  ask->callbacks = callbacks;
  ask->user_data = user_data;
  g_hash_table_replace (links->asks, &ask->key, ask);
  links->counters.asked++;
  request->policy_revision = links->policy_revision;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_GRANT_REQUEST };
  message.QuinceMessage_u.grant_request = *request;
  quince_link_send (peer->link, &message);
  return TRUE;
}

void
quince_node_links_withdraw (QuinceNodeLinks *links, const QuinceRequestId id, guint attempt)
{
  g_autofree GrantAsk *ask = steal_ask (links, id, attempt);
  if (ask == NULL || !quince_node_peer_is_up (ask->peer))
    return;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_GRANT_CANCEL };
  memcpy (message.QuinceMessage_u.grant_cancel.request_id, id, QUINCE_ID_BYTES);
  message.QuinceMessage_u.grant_cancel.attempt = attempt;
  quince_link_send (ask->peer->link, &message);
}

void
quince_node_links_end_grant (QuinceNodeLinks *links, const char *node, const QuinceGrantEnd *end)
{
  QuinceNodePeer *peer = g_hash_table_lookup (links->peers, node);
  if (peer != NULL)
    quince_node_peer_send_end (peer, end);
}

static void
take_grant_reply (QuinceNodeLinks *links, QuinceNodePeer *peer, const QuinceGrantReply *reply)
{
  links->policy_revision = MAX (links->policy_revision, reply->policy_revision);
  gint64 sent_at_us = quince_node_peer_sent_at (peer, reply->sent_us, peer->heard_us);
  gboolean granted = reply->verdict.kind == QUINCE_VERDICT_GRANTED;
  g_autofree GrantAsk *ask = steal_ask (links, reply->request_id, reply->attempt);
  if (ask != NULL)
    {
      links->counters.granted += granted ? 1 : 0;
      links->counters.refused += granted ? 0 : 1;
      ask->callbacks->verdict (peer->address, reply, MAX (sent_at_us, ask->asked_us), ask->user_data);
      return;
    }
  if (!granted)
    return;
  links->counters.late_grants++;
  const QuinceGrant *grant = &reply->verdict.QuinceVerdict_u.grant;
  QuinceGrantEnd end = { .grant_id = grant->grant_id, .outcome = QUINCE_OUTCOME_NOT_SENT };
  quince_node_peer_send_end (peer, &end);
}

/* ---- Nodes ------------------------------------------------------------- */

static QuinceNodePeer *
ensure_peer (QuinceNodeLinks *links, const char *address)
{
  QuinceNodePeer *peer = g_hash_table_lookup (links->peers, address);
  if (peer != NULL || g_hash_table_size (links->peers) >= MOST_PEERS)
    return peer;
  peer = quince_node_peer_new (links, address);
  g_hash_table_insert (links->peers, peer->address, peer);
  connect_peer (peer);
  return peer;
}

static guint
count_spares (QuinceNodeLinks *links)
{
  guint spares = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, links->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const QuinceNodePeer *peer = value;
      if (*peer->zone != '\0' && !g_str_equal (peer->zone, links->options.zone))
        spares++;
    }
  return spares;
}

static void
take_member (QuinceNodeLinks *links, const QuinceMember *member)
{
  QuinceNodePeer *peer = g_hash_table_lookup (links->peers, member->address);
  gboolean near = g_str_equal (member->zone, links->options.zone);
  gboolean alive = member->state == QUINCE_MEMBER_ALIVE || member->state == QUINCE_MEMBER_SUSPECT;
  if (peer == NULL && alive && (near || count_spares (links) < MOST_SPARES))
    peer = ensure_peer (links, member->address);
  if (peer == NULL || g_str_equal (peer->zone, member->zone))
    return;
  g_free (peer->zone);
  peer->zone = g_strdup (member->zone);
}

static void
take_ledger_leader (QuinceNodeLinks *links, const QuinceNodeStatus *status)
{
  if (*status->ledger_leader == '\0' || status->ledger_epoch < links->ledger_epoch)
    return;
  links->ledger_epoch = status->ledger_epoch;
  if (g_str_equal (links->ledger_leader, status->ledger_leader))
    return;
  g_free (links->ledger_leader);
  links->ledger_leader = g_strdup (status->ledger_leader);
}

static void
take_status (QuinceNodeLinks *links, QuinceNodePeer *peer, const QuinceNodeStatus *status)
{
  /* Each status lets the node's clock be known better. */
  quince_node_peer_sent_at (peer, status->sent_us, peer->heard_us);
  if (peer->ready != status->ready || peer->stopping != status->stopping)
    quince_log_info ("node_status", "node=%s address=%s ready=%d stopping=%d", status->name, peer->address,
                     status->ready, status->stopping);
  if (!g_str_equal (peer->name, status->name))
    {
      g_free (peer->name);
      peer->name = g_strdup (status->name);
    }
  peer->failures = 0;
  peer->ready = status->ready;
  peer->stopping = status->stopping;
  links->policy_revision = MAX (links->policy_revision, status->policy_revision);
  take_ledger_leader (links, status);
  for (guint i = 0; i < status->members.members_len; i++)
    take_member (links, &status->members.members_val[i]);
}

/* ---- Links --------------------------------------------------------------- */

static gboolean
reconnect_due (gpointer data)
{
  QuinceNodePeer *peer = data;
  quince_source_clear (&peer->reconnect);
  connect_peer (peer);
  return G_SOURCE_REMOVE;
}

static void
drop_link (QuinceNodePeer *peer)
{
  QuinceNodeLinks *links = peer->owner;
  gboolean was_up = peer->up;
  if (peer->link != NULL)
    quince_link_close (peer->link);
  g_clear_pointer (&peer->link, quince_link_unref);
  peer->up = FALSE;
  peer->ready = FALSE;
  peer->failures++;
  if (was_up)
    links->options.link_changed (peer->address, FALSE, links->options.user_data);
  lose_asks (links, peer);
  if (!peer->configured && peer->failures > MOST_FAILURES)
    {
      quince_log_info ("node_forgotten", "address=%s", peer->address);
      g_hash_table_remove (links->peers, peer->address);
      return;
    }
  peer->reconnect = quince_timer_add (quince_node_peer_backoff_ms (peer), reconnect_due, peer);
}

static void
link_connected (QuinceLink *link, gpointer user_data)
{
  QuinceNodePeer *peer = quince_link_get_data (link);
  QuinceNodeLinks *links = peer->owner;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_HELLO };
  QuinceHello *hello = &message.QuinceMessage_u.hello;
  hello->protocol_version = QUINCE_PROTOCOL_VERSION;
  hello->deployment = links->options.deployment;
  hello->role = QUINCE_ROLE_AGENT;
  hello->name = (char *)links->options.name;
  hello->zone = (char *)links->options.zone;
  hello->incarnation = links->options.incarnation;
  hello->policy_revision = links->policy_revision;
  peer->up = TRUE;
  peer->least_transit_us = G_MAXINT64;
  peer->heard_us = quince_now_us ();
  quince_link_send (link, &message);
  quince_node_peer_flush_ends (peer);
  quince_log_info ("node_linked", "address=%s", peer->address);
  links->options.link_changed (peer->address, TRUE, links->options.user_data);
}

static void
link_message (QuinceLink *link, QuinceMessage *received, gpointer user_data)
{
  g_autoptr (QuinceMessage) message = received;
  QuinceNodePeer *peer = quince_link_get_data (link);
  QuinceNodeLinks *links = peer->owner;
  peer->heard_us = quince_now_us ();
  switch (message->kind)
    {
    case QUINCE_MESSAGE_NODE_STATUS:
      take_status (links, peer, &message->QuinceMessage_u.node_status);
      break;
    case QUINCE_MESSAGE_GRANT_REPLY:
      take_grant_reply (links, peer, &message->QuinceMessage_u.grant_reply);
      break;
    case QUINCE_MESSAGE_LEDGER_REPLY:
      links->options.ledger_reply (&message->QuinceMessage_u.ledger_reply, links->options.user_data);
      break;
    default:
      break; /* HELLO and what newer nodes may say */
    }
}

static void
link_closed (QuinceLink *link, const GError *error, gpointer user_data)
{
  QuinceNodePeer *peer = quince_link_get_data (link);
  if (peer->up)
    {
      g_autofree char *reason = quince_log_quote (error->message);
      quince_log_warning ("node_link_lost", "address=%s reason=%s", peer->address, reason);
    }
  drop_link (peer);
}

static const QuinceLinkCallbacks link_callbacks
    = { .connected = link_connected, .message = link_message, .closed = link_closed };

static void
connect_peer (QuinceNodePeer *peer)
{
  peer->link = quince_link_connect (peer->address, &link_callbacks, NULL);
  peer->heard_us = quince_now_us ();
  quince_link_set_data (peer->link, peer);
}

/* A node that says nothing is as good as gone, also while its connection stands or is being made. */
static gboolean
check_silence (gpointer data)
{
  QuinceNodeLinks *links = data;
  g_autoptr (GList) peers = g_hash_table_get_values (links->peers);
  gint64 now = quince_now_us ();
  for (GList *item = peers; item != NULL; item = item->next)
    {
      QuinceNodePeer *peer = item->data;
      if (peer->link == NULL || now - peer->heard_us < SILENCE_US)
        continue;
      links->counters.silent_links++;
      quince_log_warning ("node_silent", "address=%s", peer->address);
      drop_link (peer);
    }
  return G_SOURCE_CONTINUE;
}

/* ---- Life and views -------------------------------------------------------- */

QuinceNodeLinks *
quince_node_links_new (const QuinceNodeLinksOptions *options)
{
  QuinceNodeLinks *links = g_new0 (QuinceNodeLinks, 1);
  links->options = *options;
  links->options.nodes = NULL;
  links->ledger_leader = g_strdup ("");
  links->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify)quince_node_peer_free);
  links->asks = g_hash_table_new_full (grant_key_hash, grant_key_equal, NULL, g_free);
  for (char **address = options->nodes; *address != NULL; address++)
    {
      QuinceNodePeer *peer = ensure_peer (links, *address);
      if (peer != NULL)
        peer->configured = TRUE;
    }
  links->check_timer = quince_timer_add (CHECK_INTERVAL_MS, check_silence, links);
  return links;
}

void
quince_node_links_free (QuinceNodeLinks *links)
{
  quince_source_clear (&links->check_timer);
  g_hash_table_unref (links->asks);
  g_hash_table_unref (links->peers);
  g_free (links->ledger_leader);
  g_free (links);
}

gboolean
quince_node_links_send (QuinceNodeLinks *links, const char *address, const QuinceMessage *message)
{
  QuinceNodePeer *peer = ensure_peer (links, address);
  if (peer == NULL || !quince_node_peer_is_up (peer))
    return FALSE;
  quince_link_send (peer->link, message);
  return TRUE;
}

gboolean
quince_node_links_has_ready (const QuinceNodeLinks *links)
{
  QuinceNodeLinksCounters counters;
  quince_node_links_get_counters (links, &counters);
  return counters.ready > 0;
}

guint64
quince_node_links_get_policy_revision (const QuinceNodeLinks *links)
{
  return links->policy_revision;
}

const char *
quince_node_links_get_ledger_leader (const QuinceNodeLinks *links)
{
  return links->ledger_leader;
}

void
quince_node_links_get_counters (const QuinceNodeLinks *links, QuinceNodeLinksCounters *out)
{
  GHashTableIter iter;
  gpointer value;
  *out = links->counters;
  out->waiting = g_hash_table_size (links->asks);
  g_hash_table_iter_init (&iter, links->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      out->linked += quince_node_peer_is_up (value) ? 1 : 0;
      out->ready += quince_node_peer_is_ready (value) ? 1 : 0;
    }
}
