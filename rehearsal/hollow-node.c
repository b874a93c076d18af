/*
 * hollow-node.c: one node without engines, for the scale run.
 */
#include "hollow-node.h"

#include <string.h>

#include <quince/link.h>
#include <quince/task.h>

#define LISTEN_ADDRESS "127.0.0.1:0"
#define MAX_ENGINES 64
#define ENGINE_SLOTS 16
#define DIGEST_INTERVAL_MS 1000
/* How long a holder of the own zone is awaited before one of another zone is asked. */
#define REMOTE_FETCH_DELAY_MS 300
#define FETCH_RETRY_MS 200
/* IPv4 and UDP headers. */
#define UDP_HEADER_BYTES 28

struct _QuinceHollowNode
{
  /* All fields belong to the context that created the node. */
  guint index;
  char *name;
  char *zone;
  const QuinceHollowNodeCallbacks *callbacks;
  gpointer user_data;
  GRand *random;

  QuinceMembership *membership;
  QuinceDatagrams *datagrams;
  QuincePolicyRegister *policy;
  QuinceLinkServer *server;
  GPtrArray *clients;   /* QuinceLink, owned: peers that fetch the policy   */
  QuinceLink *fetch;    /* link to the holder that is asked; NULL when none */
  GSource *fetch_timer; /* next try; NULL when none                         */
  GSource *wakeup;      /* ready at the membership's next wakeup            */
  GSource *digest_timer;

  guint engines;
  guint granted[MAX_ENGINES];        /* slots of each hollow engine               */
  char *watched;                     /* name of the member watched; NULL when none */
  guint64 watched_change;            /* membership change that was looked at last */
  QuinceHollowNodeCounters counters; /* of links closed, and datagrams      */
  guint64 taken_bytes;               /* sent when they were last asked for  */
};

/* ---- Membership ------------------------------------------------------ */

static gboolean
is_alive (QuinceHollowNode *node, const char *name)
{
  g_autoptr (GPtrArray) members = quince_membership_get_members (node->membership);
  for (guint i = 0; i < members->len; i++)
    {
      const QuinceMember *member = members->pdata[i];
      if (strcmp (member->name, name) == 0)
        return member->state == QUINCE_MEMBER_ALIVE || member->state == QUINCE_MEMBER_SUSPECT;
    }
  return FALSE;
}

static void
check_watched (QuinceHollowNode *node)
{
  guint64 change = quince_membership_get_change_count (node->membership);
  if (node->watched == NULL || change == node->watched_change)
    return;
  node->watched_change = change;
  if (is_alive (node, node->watched))
    return;
  g_autofree char *name = g_steal_pointer (&node->watched);
  node->callbacks->gone (node->index, name, node->user_data);
}

/* Sends what the membership core asked for and sets the next wakeup. */
static void
after_step (QuinceHollowNode *node, GPtrArray *sends)
{
  for (guint i = 0; i < sends->len; i++)
    {
      const QuinceMembershipSend *send = sends->pdata[i];
      quince_datagrams_send (node->datagrams, send->address, send->gossip);
      node->counters.datagrams_sent++;
    }
  g_source_set_ready_time (node->wakeup, quince_membership_next_wakeup (node->membership));
  check_watched (node);
}

static void
tick (QuinceHollowNode *node)
{
  g_autoptr (GPtrArray) sends = quince_membership_sends_new ();
  quince_membership_tick (node->membership, quince_now_us (), sends);
  after_step (node, sends);
}

static gboolean
wakeup_dispatch (GSource *source, GSourceFunc function, gpointer user_data)
{
  tick (user_data);
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs wakeup_functions = { .dispatch = wakeup_dispatch };

/* ---- Digests --------------------------------------------------------- */

static void
publish_digest (QuinceHollowNode *node)
{
  QuinceEngineDigest entries[MAX_ENGINES];
  char names[MAX_ENGINES][32];
  for (guint i = 0; i < node->engines; i++)
    {
      g_snprintf (names[i], sizeof names[i], "engine-%u-%u", node->index, i);
      entries[i] = (QuinceEngineDigest){ .engine = names[i], .sequence = 1, .granted = node->granted[i] };
    }
  QuinceNodeDigest digest = { .node = node->name };
  digest.policy_revision = quince_policy_register_get (node->policy)->revision;
  digest.engines.engines_len = node->engines;
  digest.engines.engines_val = entries;
  quince_membership_set_digest (node->membership, &digest);
  g_source_set_ready_time (node->wakeup, quince_membership_next_wakeup (node->membership));
}

static gboolean
change_load (gpointer data)
{
  QuinceHollowNode *node = data;
  for (guint i = 0; i < node->engines; i++)
    node->granted[i] = (guint)g_rand_int_range (node->random, 0, ENGINE_SLOTS + 1);
  publish_digest (node);
  return G_SOURCE_CONTINUE;
}

/* ---- Policy ---------------------------------------------------------- */

static void consider_fetch (QuinceHollowNode *node);

static void
end_fetch (QuinceHollowNode *node)
{
  if (node->fetch == NULL)
    return;
  node->counters.link_bytes_sent += quince_link_get_bytes_sent (node->fetch);
  quince_link_close (node->fetch);
  g_clear_pointer (&node->fetch, quince_link_unref);
}

static gboolean start_fetch (gpointer data);

static void
fetch_later (QuinceHollowNode *node, guint most_ms)
{
  guint delay_ms = 1 + (guint)g_rand_int_range (node->random, 0, (gint32)most_ms);
  quince_source_clear (&node->fetch_timer);
  node->fetch_timer = quince_timer_add (delay_ms, start_fetch, node);
}

static void
fetch_message (QuinceLink *link, QuinceMessage *message, gpointer user_data)
{
  QuinceHollowNode *node = user_data;
  g_autoptr (QuinceMessage) owned = message;
  if (message->kind != QUINCE_MESSAGE_POLICY_BODY)
    return;
  quince_hollow_node_offer (node, &message->QuinceMessage_u.policy_body);
  end_fetch (node);
  consider_fetch (node);
}

static void
fetch_closed (QuinceLink *link, const GError *error, gpointer user_data)
{
  QuinceHollowNode *node = user_data;
  end_fetch (node);
  fetch_later (node, FETCH_RETRY_MS);
}

static const QuinceLinkCallbacks fetch_callbacks = { .message = fetch_message, .closed = fetch_closed };

/* A random live member whose digest has the revision that is missing here. */
static const QuinceMember *
choose_holder (QuinceHollowNode *node, gboolean own_zone)
{
  guint64 wanted = quince_policy_register_get_seen (node->policy);
  g_autoptr (GPtrArray) members = quince_membership_get_members (node->membership);
  const QuinceMember *chosen = NULL;
  gint32 found = 0;
  for (guint i = 0; i < members->len; i++)
    {
      const QuinceMember *member = members->pdata[i];
      const QuinceNodeDigest *digest = quince_membership_get_digest (node->membership, member->name);
      if (digest == NULL || digest->policy_revision < wanted || member->state == QUINCE_MEMBER_DEAD
          || (own_zone && strcmp (member->zone, node->zone) != 0))
        continue;
      if (g_rand_int_range (node->random, 0, ++found) == 0)
        chosen = member;
    }
  return chosen;
}

/* A real node talks only to who greets it. */
static void
send_hello (QuinceHollowNode *node)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_HELLO };
  QuinceHello *hello = &message.QuinceMessage_u.hello;
  hello->protocol_version = QUINCE_PROTOCOL_VERSION;
  hello->role = QUINCE_ROLE_NODE;
  hello->name = node->name;
  hello->zone = node->zone;
  hello->incarnation = quince_membership_get_incarnation (node->membership);
  hello->policy_revision = quince_policy_register_get (node->policy)->revision;
  quince_link_send (node->fetch, &message);
}

static void
fetch_from (QuinceHollowNode *node, const QuinceMember *holder)
{
  QuinceMessage request = { .kind = QUINCE_MESSAGE_POLICY_FETCH };
  request.QuinceMessage_u.policy_fetch.at_least = quince_policy_register_get_seen (node->policy);
  node->fetch = quince_link_connect (holder->address, &fetch_callbacks, node);
  send_hello (node);
  quince_link_send (node->fetch, &request);
}

static gboolean
start_fetch (gpointer data)
{
  QuinceHollowNode *node = data;
  quince_source_clear (&node->fetch_timer);
  if (node->fetch != NULL
      || quince_policy_register_get_seen (node->policy)
             == quince_policy_register_get (node->policy)->revision)
    return G_SOURCE_REMOVE;
  const QuinceMember *holder = choose_holder (node, TRUE);
  if (holder == NULL)
    holder = choose_holder (node, FALSE);
  if (holder != NULL)
    fetch_from (node, holder);
  else
    fetch_later (node, FETCH_RETRY_MS);
  return G_SOURCE_REMOVE;
}

/* Fetches at once from the own zone; a holder of another zone is asked only after a while. */
static void
consider_fetch (QuinceHollowNode *node)
{
  gboolean behind
      = quince_policy_register_get_seen (node->policy) > quince_policy_register_get (node->policy)->revision;
  if (!behind || node->fetch != NULL)
    return;
  if (choose_holder (node, TRUE) != NULL)
    start_fetch (node);
  else if (node->fetch_timer == NULL)
    fetch_later (node, REMOTE_FETCH_DELAY_MS);
}

static void
client_message (QuinceLink *link, QuinceMessage *message, gpointer user_data)
{
  QuinceHollowNode *node = user_data;
  g_autoptr (QuinceMessage) owned = message;
  if (message->kind != QUINCE_MESSAGE_POLICY_FETCH)
    return;
  QuinceMessage answer = { .kind = QUINCE_MESSAGE_POLICY_BODY };
  answer.QuinceMessage_u.policy_body = *quince_policy_register_get (node->policy);
  quince_link_send (link, &answer);
}

static void
client_closed (QuinceLink *link, const GError *error, gpointer user_data)
{
  QuinceHollowNode *node = user_data;
  node->counters.link_bytes_sent += quince_link_get_bytes_sent (link);
  g_ptr_array_remove_fast (node->clients, link);
}

static const QuinceLinkCallbacks client_callbacks = { .message = client_message, .closed = client_closed };

static void
client_accepted (QuinceLink *link, gpointer user_data)
{
  QuinceHollowNode *node = user_data;
  g_ptr_array_add (node->clients, link);
}

void
quince_hollow_node_offer (QuinceHollowNode *node, const QuincePolicyBody *body)
{
  if (quince_policy_register_offer (node->policy, body) != QUINCE_POLICY_OFFER_TAKEN)
    return;
  publish_digest (node);
  node->callbacks->policy_taken (node->index, body->revision, node->user_data);
}

/* ---- Datagrams ------------------------------------------------------- */

static void
gossip_received (QuinceGossip *gossip, const char *from, gpointer user_data)
{
  QuinceHollowNode *node = user_data;
  g_autoptr (QuinceGossip) owned = gossip;
  g_autoptr (GPtrArray) sends = quince_membership_sends_new ();
  quince_membership_receive (node->membership, quince_now_us (), from, gossip, sends);
  for (guint i = 0; i < gossip->digests.digests_len; i++)
    quince_policy_register_seen (node->policy, gossip->digests.digests_val[i].policy_revision);
  after_step (node, sends);
  consider_fetch (node);
}

/* ---- Life ------------------------------------------------------------ */

static void
start_membership (QuinceHollowNode *node, const QuinceHollowNodeOptions *options)
{
  QuinceMember self = {
    .name = node->name,
    .zone = node->zone,
    .address = (char *)quince_link_server_get_address (node->server),
    .gossip_address = (char *)quince_datagrams_get_address (node->datagrams),
    .incarnation = options->incarnation,
  };
  node->membership = quince_membership_new (&quince_membership_default_limits, &self, options->seeds,
                                            options->seed, quince_now_us ());
  node->wakeup = g_source_new (&wakeup_functions, sizeof (GSource));
  g_source_set_callback (node->wakeup, NULL, node, NULL);
  g_source_set_ready_time (node->wakeup, quince_membership_next_wakeup (node->membership));
  g_source_attach (node->wakeup, g_main_context_get_thread_default ());
  node->digest_timer = quince_timer_add (DIGEST_INTERVAL_MS, change_load, node);
}

QuinceHollowNode *
quince_hollow_node_new (const QuinceHollowNodeOptions *options,
                        const QuinceHollowNodeCallbacks *callbacks,
                        gpointer user_data,
                        GError **error)
{
  g_autoptr (QuinceHollowNode) node = g_new0 (QuinceHollowNode, 1);
  node->index = options->index;
  node->name = g_strdup (options->name);
  node->zone = g_strdup (options->zone);
  node->engines = MIN (options->engines, MAX_ENGINES);
  node->callbacks = callbacks;
  node->user_data = user_data;
  node->random = g_rand_new_with_seed ((guint32)options->seed);
  node->clients = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_link_unref);
  node->policy = quince_policy_register_new ();
  node->server = quince_link_server_new (LISTEN_ADDRESS, &client_callbacks, client_accepted, node, error);
  if (node->server == NULL)
    return NULL;
  node->datagrams = quince_datagrams_new (LISTEN_ADDRESS, gossip_received, node, error);
  if (node->datagrams == NULL)
    return NULL;
  start_membership (node, options);
  return g_steal_pointer (&node);
}

void
quince_hollow_node_free (QuinceHollowNode *node)
{
  quince_source_clear (&node->wakeup);
  quince_source_clear (&node->digest_timer);
  quince_source_clear (&node->fetch_timer);
  end_fetch (node);
  for (guint i = 0; i < node->clients->len; i++)
    quince_link_close (node->clients->pdata[i]);
  g_ptr_array_unref (node->clients);
  g_clear_pointer (&node->server, quince_link_server_free);
  g_clear_pointer (&node->datagrams, quince_datagrams_free);
  quince_membership_free (node->membership);
  quince_policy_register_free (node->policy);
  g_rand_free (node->random);
  g_free (node->watched);
  g_free (node->name);
  g_free (node->zone);
  g_free (node);
}

const char *
quince_hollow_node_get_gossip_address (QuinceHollowNode *node)
{
  return quince_datagrams_get_address (node->datagrams);
}

void
quince_hollow_node_leave (QuinceHollowNode *node)
{
  g_autoptr (GPtrArray) sends = quince_membership_sends_new ();
  quince_membership_leave (node->membership, quince_now_us (), sends);
  after_step (node, sends);
}

void
quince_hollow_node_watch (QuinceHollowNode *node, const char *name)
{
  g_free (node->watched);
  node->watched = g_strdup (name);
  node->watched_change = 0;
  check_watched (node);
}

guint
quince_hollow_node_count_alive (QuinceHollowNode *node)
{
  g_autoptr (GPtrArray) members = quince_membership_get_members (node->membership);
  guint alive = 0;
  for (guint i = 0; i < members->len; i++)
    alive += ((const QuinceMember *)members->pdata[i])->state == QUINCE_MEMBER_ALIVE;
  return alive;
}

guint64
quince_hollow_node_take_bytes (QuinceHollowNode *node)
{
  guint64 sent = quince_datagrams_get_bytes_sent (node->datagrams) + node->counters.link_bytes_sent
                 + node->counters.datagrams_sent * UDP_HEADER_BYTES;
  guint64 taken = sent - node->taken_bytes;
  node->taken_bytes = sent;
  return taken;
}

void
quince_hollow_node_add_counters (QuinceHollowNode *node, QuinceHollowNodeCounters *sum)
{
  sum->datagrams_sent += node->counters.datagrams_sent;
  sum->gossip_bytes_sent += quince_datagrams_get_bytes_sent (node->datagrams);
  sum->gossip_bytes_received += quince_datagrams_get_bytes_received (node->datagrams);
  sum->link_bytes_sent += node->counters.link_bytes_sent;
  sum->malformed += quince_datagrams_get_malformed (node->datagrams);
}
