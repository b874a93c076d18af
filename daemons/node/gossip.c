/*
 * gossip.c: membership of this node and the digests it exchanges.
 */
#include "gossip.h"

#include <quince/link.h>
#include <quince/log.h>
#include <quince/membership.h>
#include <quince/request-id.h>
#include <quince/task.h>

#include "engines.h"
#include "grants.h"
#include "ledger-host.h"
#include "peer-digests.h"
#include "policy-spread.h"
#include "sessions.h"
#include "wakeup.h"
#include "zone-duties.h"

#define DIGEST_ENGINES_MOST 64
#define DIGEST_INTERVAL_MS 200
#define READINGS_INTERVAL_MS 100

/* Owned by the node, on its main context. */
struct _QuinceGossiper
{
  QuinceNode *node;             /* not owned                               */
  QuinceDatagrams *datagrams;   /* owned                                   */
  QuinceMembership *membership; /* owned                                   */
  QuincePeerDigests *digests;   /* owned: what peers' digests said         */
  QuinceWakeup *wakeup;         /* owned: next tick of the membership      */
  GSource *digest_timer;        /* owned: reads and writes digests         */
  GSource *readings_timer;      /* owned: tells the zone of owned engines  */
  guint64 change_count;         /* of the membership, when last looked at  */
  guint64 digest_sequence;      /* of the own digest, grows                */
  gint64 heard_us;              /* when a peer's datagram came last; 0: never */
};

/* Sends what the membership wants sent and asks for its next tick. */
static void
finish_call (QuinceGossiper *gossiper, GPtrArray *sends)
{
  for (guint i = 0; i < sends->len; i++)
    {
      const QuinceMembershipSend *send = g_ptr_array_index (sends, i);
      quince_datagrams_send (gossiper->datagrams, send->address, send->gossip);
    }
  quince_wakeup_set (gossiper->wakeup, quince_membership_next_wakeup (gossiper->membership));
  guint64 change_count = quince_membership_get_change_count (gossiper->membership);
  if (change_count == gossiper->change_count)
    return;
  gossiper->change_count = change_count;
  quince_engines_members_changed (gossiper->node->engines);
  quince_node_changed (gossiper->node);
}

/* Only those that their node sends itself: passed on they would look younger than they are. */
static void
take_readings (QuinceGossiper *gossiper, const QuinceGossip *gossip)
{
  if (gossip->deployment != (guint32)gossiper->node->deployment)
    return;
  for (guint i = 0; i < gossip->digests.digests_len; i++)
    {
      const QuinceNodeDigest *digest = &gossip->digests.digests_val[i];
      if (digest->readings.readings_len > 0 && g_str_equal (digest->node, gossip->from))
        quince_engines_take_readings (gossiper->node->engines, gossip->from, digest->readings.readings_val);
    }
}

static void
datagram_received (QuinceGossip *gossip, const char *from, gpointer user_data)
{
  QuinceGossiper *gossiper = user_data;
  g_autoptr (QuinceGossip) owned = gossip;
  if (gossiper->membership == NULL)
    return;
  gossiper->heard_us = quince_now_us ();
  g_autoptr (GPtrArray) sends = quince_membership_sends_new ();
  quince_membership_receive (gossiper->membership, quince_now_us (), from, owned, sends);
  finish_call (gossiper, sends);
  take_readings (gossiper, owned);
}

static void
tick (gpointer user_data)
{
  QuinceGossiper *gossiper = user_data;
  g_autoptr (GPtrArray) sends = quince_membership_sends_new ();
  quince_membership_tick (gossiper->membership, quince_now_us (), sends);
  finish_call (gossiper, sends);
}

/* ---- Own digest ------------------------------------------------------ */

/* Signs that this node has itself; a peer's word is not passed on as its own. */
static gboolean
is_leaving_by_own_sign (const QuinceEngineView *view)
{
  return (view->leaving & ~(guint)QUINCE_LEAVING_PEER) != 0;
}

static void
add_engine (const QuinceEngineView *view, gpointer user_data)
{
  GArray *engines = user_data;
  QuinceEngineDigest digest = { 0 };
  digest.engine = (char *)view->name;
  digest.granted = view->outstanding;
  digest.leaving = is_leaving_by_own_sign (view);
  if (digest.granted > 0 || digest.leaving)
    g_array_append_val (engines, digest);
}

/* Leaving engines first, then the most loaded ones. */
static int
compare_engines (gconstpointer a, gconstpointer b)
{
  const QuinceEngineDigest *left = a;
  const QuinceEngineDigest *right = b;
  if (left->leaving != right->leaving)
    return left->leaving ? -1 : 1;
  if (left->granted != right->granted)
    return left->granted > right->granted ? -1 : 1;
  return strcmp (left->engine, right->engine);
}

static void
write_own_digest (QuinceGossiper *gossiper)
{
  QuinceNode *node = gossiper->node;
  g_autoptr (GArray) engines = g_array_new (FALSE, FALSE, sizeof (QuinceEngineDigest));
  quince_scheduler_foreach_engine (quince_grants_get_scheduler (node->grants), quince_now_us (), add_engine,
                                   engines);
  g_array_sort (engines, compare_engines);
  gossiper->digest_sequence++;
  for (guint i = 0; i < engines->len; i++)
    g_array_index (engines, QuinceEngineDigest, i).sequence = gossiper->digest_sequence;
  QuinceNodeDigest digest = { 0 };
  digest.node = (char *)node->name;
  digest.incarnation = node->incarnation;
  digest.policy_revision = quince_policy_spread_get_body (node->policy_spread)->revision;
  digest.ledger_leader = quince_ledger_host_get_leader_id (node->ledger_host, &digest.ledger_epoch);
  digest.engines.engines_len = MIN (engines->len, DIGEST_ENGINES_MOST);
  digest.engines.engines_val = (QuinceEngineDigest *)(gpointer)engines->data;
  quince_membership_set_digest (gossiper->membership, &digest);
  /* Urgent news does not wait for the next probe. */
  quince_wakeup_set (gossiper->wakeup, quince_membership_next_wakeup (gossiper->membership));
}

void
quince_gossiper_digest_changed (QuinceGossiper *gossiper)
{
  if (gossiper->digest_timer != NULL)
    write_own_digest (gossiper);
}

/* ---- Peers' digests -------------------------------------------------- */

gboolean
quince_gossiper_is_live_peer (const QuinceGossiper *gossiper, const QuinceMember *member)
{
  return member->state != QUINCE_MEMBER_DEAD && !g_str_equal (member->name, gossiper->node->name);
}

static void
read_peer_digests (QuinceGossiper *gossiper)
{
  g_autoptr (GPtrArray) members = quince_membership_get_members (gossiper->membership);
  for (guint i = 0; i < members->len; i++)
    {
      const QuinceMember *member = g_ptr_array_index (members, i);
      const QuinceNodeDigest *digest = quince_membership_get_digest (gossiper->membership, member->name);
      if (!quince_gossiper_is_live_peer (gossiper, member))
        {
          quince_peer_digests_gone (gossiper->digests, member->name);
          continue;
        }
      if (digest == NULL)
        continue;
      quince_peer_digests_apply (gossiper->digests, digest);
      quince_policy_spread_seen (gossiper->node->policy_spread, digest->policy_revision, member->address);
    }
  quince_peer_digests_update_leaving (gossiper->digests);
}

static gboolean
digest_due (gpointer user_data)
{
  QuinceGossiper *gossiper = user_data;
  read_peer_digests (gossiper);
  write_own_digest (gossiper);
  return G_SOURCE_CONTINUE;
}

/* ---- Owned engines ------------------------------------------------------ */

static gboolean
readings_due (gpointer user_data)
{
  QuinceGossiper *gossiper = user_data;
  GArray *readings = quince_engines_make_readings (gossiper->node->engines);
  g_autoptr (GPtrArray) sends = quince_membership_sends_new ();
  quince_membership_spread_readings (gossiper->membership, quince_now_us (),
                                     (const QuinceEngineReadings *)(gpointer)readings->data, readings->len,
                                     sends);
  quince_zone_duties_readings_free (readings);
  finish_call (gossiper, sends);
  return G_SOURCE_CONTINUE;
}

gint64
quince_gossiper_get_readings_round_us (const QuinceGossiper *gossiper)
{
  return quince_membership_get_readings_round_us (gossiper->membership);
}

/* ---- Lifetime -------------------------------------------------------- */

QuinceGossiper *
quince_gossiper_new (QuinceNode *node, GError **error)
{
  QuinceGossiper *gossiper = g_new0 (QuinceGossiper, 1);
  gossiper->node = node;
  gossiper->digests = quince_peer_digests_new (node);
  gossiper->wakeup = quince_wakeup_new (tick, gossiper);
  gossiper->datagrams = quince_datagrams_new (quince_settings_get_text (node->settings, "node", "gossip"),
                                              datagram_received, gossiper, error);
  if (gossiper->datagrams == NULL)
    {
      quince_gossiper_free (gossiper);
      return NULL;
    }
  QuinceMember self = { 0 };
  self.name = (char *)node->name;
  self.zone = (char *)node->zone;
  const char *advertised = quince_settings_get_text (node->settings, "node", "gossip_advertise");
  self.address = (char *)quince_node_get_advertised_address (node);
  self.gossip_address
      = (char *)(*advertised != '\0' ? advertised : quince_datagrams_get_address (gossiper->datagrams));
  self.incarnation = node->incarnation;
  self.state = QUINCE_MEMBER_ALIVE;
  g_auto (GStrv) seeds = quince_settings_get_list (node->settings, "node", "seeds");
  gossiper->membership
      = quince_membership_new (&quince_membership_default_limits, &self, (const char *const *)seeds,
                               quince_random_u64 (), quince_now_us ());
  quince_membership_set_deployment (gossiper->membership, node->deployment);
  return gossiper;
}

void
quince_gossiper_begin (QuinceGossiper *gossiper)
{
  gossiper->digest_timer = quince_timer_add (DIGEST_INTERVAL_MS, digest_due, gossiper);
  gossiper->readings_timer = quince_timer_add (READINGS_INTERVAL_MS, readings_due, gossiper);
  write_own_digest (gossiper);
  tick (gossiper);
}

void
quince_gossiper_free (QuinceGossiper *gossiper)
{
  if (gossiper == NULL)
    return;
  quince_source_clear (&gossiper->digest_timer);
  quince_source_clear (&gossiper->readings_timer);
  g_clear_pointer (&gossiper->datagrams, quince_datagrams_free);
  quince_wakeup_free (gossiper->wakeup);
  quince_peer_digests_free (gossiper->digests);
  g_clear_pointer (&gossiper->membership, quince_membership_free);
  g_free (gossiper);
}

const char *
quince_gossiper_get_address (QuinceGossiper *gossiper)
{
  return quince_datagrams_get_address (gossiper->datagrams);
}

void
quince_gossiper_set_replica_id (QuinceGossiper *gossiper, guint64 replica_id)
{
  quince_membership_set_replica_id (gossiper->membership, replica_id);
}

void
quince_gossiper_leave (QuinceGossiper *gossiper)
{
  g_autoptr (GPtrArray) sends = quince_membership_sends_new ();
  quince_membership_leave (gossiper->membership, quince_now_us (), sends);
  finish_call (gossiper, sends);
}

GPtrArray *
quince_gossiper_get_members (QuinceGossiper *gossiper)
{
  return quince_membership_get_members (gossiper->membership);
}

const QuinceNodeDigest *
quince_gossiper_get_digest (QuinceGossiper *gossiper, const char *name)
{
  return quince_membership_get_digest (gossiper->membership, name);
}

void
quince_gossiper_get_counters (const QuinceGossiper *gossiper, QuinceGossipCounters *out)
{
  out->bytes_sent = quince_datagrams_get_bytes_sent (gossiper->datagrams);
  out->bytes_received = quince_datagrams_get_bytes_received (gossiper->datagrams);
  out->readings_bytes = quince_membership_get_readings_bytes (gossiper->membership);
  out->malformed = quince_datagrams_get_malformed (gossiper->datagrams);
}

gint64
quince_gossiper_get_heard_us (const QuinceGossiper *gossiper)
{
  return gossiper->heard_us;
}
