/*
 * policy-spread.c: which policy is in force on this node, and how it came.
 */
#include "policy-spread.h"

#include <quince/decider.h>
#include <quince/log.h>
#include <quince/operator-keys.h>
#include <quince/operator-store.h>
#include <quince/policy-register.h>
#include <quince/policy.h>
#include <quince/task.h>

#include "gossip.h"
#include "grants.h"
#include "operator-watch.h"
#include "peers.h"

#define FETCH_INTERVAL_MS 250
/* Peers say something several times in this time. */
#define SILENCE_US (2 * G_USEC_PER_SEC)
/* While peers are silent, the service is asked so often: a watch on a dead connection is silent, too. */
#define CONFIRM_US G_USEC_PER_SEC
/* Digests of all peers came within 350 ms of a heal in the runs of test_cut_node; this is some three times
 * that.  A node that hears again is not current before: the first datagram may be a probe that tells no
 * revision, and one call began 5.1 s after the acceptance of a policy that refused it. */
#define REJOIN_US G_USEC_PER_SEC
#define FAILURE_LOG_INTERVAL_US (5 * G_USEC_PER_SEC)

/* Owned by the node, on its main context. */
struct _QuincePolicySpread
{
  QuinceNode *node;                    /* not owned                         */
  QuincePolicyRegister *reg;           /* owned                             */
  QuincePolicy *policy;                /* owned; %NULL: built-in decisions  */
  GSource *fetch_timer;                /* owned: asks peers while behind    */
  guint next_peer;                     /* whom to ask next, when none is known to have it */
  gboolean current;                    /* as last told to the scheduler     */
  gint64 silent_us;                    /* nothing was heard then; 0: never  */
  gint64 failure_log_after_us;         /* bounds the rate of failure lines  */
  QuincePolicySpreadCounters counters; /* beside what they count            */
};

/* ---- Decisions ------------------------------------------------------- */

static void
note_failure (QuincePolicySpread *spread, const char *function, const GError *error)
{
  spread->counters.runtime_failures++;
  gint64 now_us = quince_now_us ();
  if (now_us < spread->failure_log_after_us)
    return;
  spread->failure_log_after_us = now_us + FAILURE_LOG_INTERVAL_US;
  g_autofree char *reason = quince_log_quote (error->message);
  quince_log_warning (
      "policy_failed", "function=%s revision=%" G_GUINT64_FORMAT " failures=%" G_GUINT64_FORMAT " reason=%s",
      function, quince_policy_get_revision (spread->policy), spread->counters.runtime_failures, reason);
}

static gboolean
decide_admit (gpointer user_data, const QuincePolicyRequest *request, QuincePolicyAdmission *out)
{
  QuincePolicySpread *spread = user_data;
  g_autoptr (GError) error = NULL;
  if (quince_policy_admit (spread->policy, request, out, &error))
    return TRUE;
  note_failure (spread, "admit", error);
  return FALSE;
}

static gboolean
decide_score (gpointer user_data,
              const QuincePolicyRequest *request,
              const QuincePolicyEngine *engines,
              guint n_engines,
              double *scores)
{
  QuincePolicySpread *spread = user_data;
  g_autoptr (GError) error = NULL;
  if (quince_policy_score (spread->policy, request, engines, n_engines, scores, &error))
    return TRUE;
  note_failure (spread, "score", error);
  return FALSE;
}

/* Compiles what the register holds and has the scheduler decide by it. */
static void
put_in_force (QuincePolicySpread *spread, const char *source)
{
  const QuincePolicyBody *body = quince_policy_register_get (spread->reg);
  g_autoptr (GError) error = NULL;
  QuincePolicy *old = spread->policy;
  spread->policy = quince_policy_compile (body->text, strlen (body->text), body->revision, &error);
  if (spread->policy == NULL)
    {
      g_autofree char *reason = quince_log_quote (error->message);
      spread->counters.compile_failures++;
      quince_log_warning ("policy_not_compiled", "revision=%" G_GUINT64_FORMAT " reason=%s",
                          (guint64)body->revision, reason);
    }
  QuinceDecider decider = { .user_data = spread, .revision = body->revision };
  if (spread->policy != NULL)
    {
      decider.admit = decide_admit;
      decider.score = decide_score;
    }
  quince_scheduler_set_decider (quince_grants_get_scheduler (spread->node->grants), &decider);
  g_clear_pointer (&old, quince_policy_free);
  quince_log_info ("policy_in_force", "revision=%" G_GUINT64_FORMAT " hash=%s source=%s",
                   (guint64)body->revision, body->hash, source);
}

/* A node that had peers and hears neither of them nor of the key-value service may be the only one
 * that has missed a newer policy.  When the service alone is down, peers are heard. */
static gboolean
hears_nothing (const QuincePolicySpread *spread)
{
  const QuinceNode *node = spread->node;
  gint64 since_us = quince_now_us () - SILENCE_US;
  if (node->kv == NULL || node->operator_watch == NULL)
    return FALSE;
  gint64 heard_us = quince_gossiper_get_heard_us (node->gossiper);
  return heard_us != 0 && heard_us < since_us
         && !quince_operator_watch_is_confirmed (node->operator_watch, since_us);
}

static gboolean
is_cut_off (const QuincePolicySpread *spread)
{
  gboolean rejoins = spread->silent_us != 0 && quince_now_us () - spread->silent_us < REJOIN_US;
  return rejoins || hears_nothing (spread);
}

static void
note_silence (QuincePolicySpread *spread)
{
  if (hears_nothing (spread))
    spread->silent_us = quince_now_us ();
}

static void
confirm_when_silent (QuincePolicySpread *spread)
{
  const QuinceNode *node = spread->node;
  gint64 since_us = quince_now_us () - CONFIRM_US;
  gint64 heard_us = quince_gossiper_get_heard_us (node->gossiper);
  if (node->operator_watch != NULL && heard_us != 0 && heard_us < since_us)
    quince_operator_watch_confirm (node->operator_watch, since_us);
}

/* Tells the scheduler and the others when readiness has changed. */
static void
update_current (QuincePolicySpread *spread)
{
  gboolean current = quince_policy_spread_is_current (spread);
  if (current == spread->current)
    return;
  spread->current = current;
  quince_grants_set_ready (spread->node->grants, current);
  quince_log_info ("policy_current", "current=%s revision=%" G_GUINT64_FORMAT " seen=%" G_GUINT64_FORMAT,
                   current ? "true" : "false", (guint64)quince_policy_register_get (spread->reg)->revision,
                   quince_policy_register_get_seen (spread->reg));
  quince_node_changed (spread->node);
}

static void
offer (QuincePolicySpread *spread, const QuincePolicyBody *body, const char *source)
{
  switch (quince_policy_register_offer (spread->reg, body))
    {
    case QUINCE_POLICY_OFFER_TAKEN:
      spread->counters.taken++;
      put_in_force (spread, source);
      quince_gossiper_digest_changed (spread->node->gossiper);
      quince_node_changed (spread->node);
      break;
    case QUINCE_POLICY_OFFER_OLD:
      spread->counters.refused_old++;
      break;
    case QUINCE_POLICY_OFFER_CORRUPT:
      spread->counters.refused_corrupt++;
      quince_log_warning ("policy_corrupt", "revision=%" G_GUINT64_FORMAT " source=%s",
                          (guint64)body->revision, source);
      break;
    case QUINCE_POLICY_OFFER_KNOWN:
      break;
    }
  update_current (spread);
}

/* ---- Key-value service ----------------------------------------------- */

static const QuinceKvItem *
find_head (GPtrArray *items)
{
  for (guint i = 0; i < items->len; i++)
    {
      const QuinceKvItem *item = g_ptr_array_index (items, i);
      if (g_str_equal (item->key, QUINCE_KEY_POLICY_HEAD))
        return item;
    }
  return NULL;
}

void
quince_policy_spread_take_items (QuincePolicySpread *spread, GPtrArray *items)
{
  const QuinceKvItem *item = find_head (items);
  if (item == NULL)
    {
      quince_policy_register_none (spread->reg);
      update_current (spread);
      return;
    }
  g_autoptr (GError) error = NULL;
  g_autoptr (QuincePolicyHead) head = quince_policy_head_parse (item, &error);
  if (head == NULL)
    {
      g_autofree char *reason = quince_log_quote (error->message);
      quince_log_warning ("policy_head_malformed", "revision=%" G_GUINT64_FORMAT " reason=%s",
                          item->mod_revision, reason);
      return;
    }
  offer (spread, head->body, "kv");
}

/* ---- Peers ----------------------------------------------------------- */

static void
fetch_from (QuincePolicySpread *spread, const char *address)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_POLICY_FETCH };
  message.QuinceMessage_u.policy_fetch.at_least = quince_policy_register_get_seen (spread->reg);
  spread->counters.fetches++;
  quince_peers_send (spread->node->peers, address, &message);
}

/* The live peer whose digest shows the greatest revision above @above. */
static const QuinceMember *
find_best_peer (QuincePolicySpread *spread, GPtrArray *members, guint64 above)
{
  const QuinceMember *best = NULL;
  for (guint i = 0; i < members->len; i++)
    {
      const QuinceMember *member = g_ptr_array_index (members, i);
      const QuinceNodeDigest *digest = quince_gossiper_get_digest (spread->node->gossiper, member->name);
      if (!quince_gossiper_is_live_peer (spread->node->gossiper, member) || digest == NULL
          || digest->policy_revision <= above)
        continue;
      above = digest->policy_revision;
      best = member;
    }
  return best;
}

/* Any live peer, another one each time. */
static const QuinceMember *
find_next_peer (QuincePolicySpread *spread, GPtrArray *members)
{
  for (guint i = 0; i < members->len; i++)
    {
      const QuinceMember *member = g_ptr_array_index (members, spread->next_peer++ % members->len);
      if (quince_gossiper_is_live_peer (spread->node->gossiper, member))
        return member;
    }
  return NULL;
}

/* Runs often: asks a peer only while this node lacks the newest text. */
static gboolean
fetch_due (gpointer user_data)
{
  QuincePolicySpread *spread = user_data;
  note_silence (spread);
  confirm_when_silent (spread);
  update_current (spread);
  if (quince_policy_register_is_current (spread->reg))
    return G_SOURCE_CONTINUE;
  g_autoptr (GPtrArray) members = quince_gossiper_get_members (spread->node->gossiper);
  const QuinceMember *peer
      = find_best_peer (spread, members, quince_policy_register_get (spread->reg)->revision);
  if (peer == NULL)
    peer = find_next_peer (spread, members);
  if (peer != NULL)
    {
      g_autofree char *address = g_strdup (peer->address);
      fetch_from (spread, address);
    }
  return G_SOURCE_CONTINUE;
}

void
quince_policy_spread_seen (QuincePolicySpread *spread, guint64 revision, const char *address)
{
  if (revision <= quince_policy_register_get_seen (spread->reg))
    return;
  quince_policy_register_seen (spread->reg, revision);
  update_current (spread);
  if (address != NULL)
    fetch_from (spread, address);
}

void
quince_policy_spread_offer (QuincePolicySpread *spread, const QuincePolicyBody *body, const char *address)
{
  if (body->revision > 0)
    offer (spread, body, address);
}

/* ---- Lifetime -------------------------------------------------------- */

QuincePolicySpread *
quince_policy_spread_new (QuinceNode *node)
{
  QuincePolicySpread *spread = g_new0 (QuincePolicySpread, 1);
  spread->node = node;
  spread->reg = quince_policy_register_new ();
  return spread;
}

void
quince_policy_spread_begin (QuincePolicySpread *spread)
{
  spread->fetch_timer = quince_timer_add (FETCH_INTERVAL_MS, fetch_due, spread);
}

void
quince_policy_spread_free (QuincePolicySpread *spread)
{
  if (spread == NULL)
    return;
  quince_source_clear (&spread->fetch_timer);
  g_clear_pointer (&spread->policy, quince_policy_free);
  quince_policy_register_free (spread->reg);
  g_free (spread);
}

const QuincePolicyBody *
quince_policy_spread_get_body (const QuincePolicySpread *spread)
{
  return quince_policy_register_get (spread->reg);
}

gboolean
quince_policy_spread_is_current (const QuincePolicySpread *spread)
{
  return quince_policy_register_is_current (spread->reg) && !is_cut_off (spread);
}

void
quince_policy_spread_get_counters (const QuincePolicySpread *spread, QuincePolicySpreadCounters *out)
{
  *out = spread->counters;
}
