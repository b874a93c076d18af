/*
 * membership.c: the public calls of the membership core.
 */
#include "membership-private.h"

#include <string.h>

/* A tick that comes so many probe intervals late means that this process was paused. */
#define PAUSE_INTERVALS 2

const QuinceMembershipLimits quince_membership_default_limits = {
  .probe_interval_us = 500 * G_TIME_SPAN_MILLISECOND,
  .probe_timeout_us = 200 * G_TIME_SPAN_MILLISECOND,
  .suspect_us = 2 * G_TIME_SPAN_SECOND,
  .forget_us = 60 * G_TIME_SPAN_SECOND,
  .indirect_probes = 2,
  .bytes_per_second = 7400,
};

static void
send_free (QuinceMembershipSend *send)
{
  g_free (send->address);
  quince_gossip_free (send->gossip);
  g_free (send);
}

GPtrArray *
quince_membership_sends_new (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify)send_free);
}

/* A node is often in its own list of seeds. */
static char **
copy_seeds (const char *const *seeds, const char *own_address)
{
  g_autoptr (GStrvBuilder) builder = g_strv_builder_new ();
  for (guint i = 0; seeds != NULL && seeds[i] != NULL; i++)
    {
      if (strcmp (seeds[i], own_address) != 0)
        g_strv_builder_add (builder, seeds[i]);
    }
  return g_strv_builder_end (builder);
}

QuinceMembership *
quince_membership_new (const QuinceMembershipLimits *limits,
                       const QuinceMember *self,
                       const char *const *seeds,
                       guint64 seed,
                       gint64 now_us)
{
  QuinceMembership *membership = g_new0 (QuinceMembership, 1);
  const guint32 random_seed[] = { (guint32)seed, (guint32)(seed >> 32) };
  membership->limits = *limits;
  membership->seeds = copy_seeds (seeds, self->gossip_address);
  membership->random = g_rand_new_with_seed_array (random_seed, G_N_ELEMENTS (random_seed));
  membership->last_tick_us = now_us;
  membership->tokens = limits->bytes_per_second;
  membership->refilled_us = now_us;
  membership->last_sequence = g_rand_int (membership->random);
  membership->next_seed = g_rand_int (membership->random); /* spreads newcomers over the seeds */
  quince_member_table_init (membership, self);
  quince_prober_init (membership, now_us);
  quince_table_sync_init (membership, now_us);
  membership->next_reprobe_us = now_us; /* the first try of a seed does not wait */
  return membership;
}

void
quince_membership_set_deployment (QuinceMembership *membership, guint64 deployment)
{
  membership->deployment = deployment;
}

void
quince_membership_free (QuinceMembership *membership)
{
  if (membership == NULL)
    return;
  quince_prober_clear (membership);
  quince_member_table_clear (membership);
  g_strfreev (membership->seeds);
  g_rand_free (membership->random);
  g_free (membership);
}

void
quince_membership_receive (QuinceMembership *membership,
                           gint64 now_us,
                           const char *from_address,
                           const QuinceGossip *gossip,
                           GPtrArray *sends)
{
  gboolean own_echo = strcmp (gossip->from, membership->self->record.name) == 0;
  if (gossip->from[0] == '\0' || own_echo || gossip->deployment != (guint32)membership->deployment)
    return;
  if (gossip->kind == QUINCE_GOSSIP_RECORDS)
    quince_table_sync_merge (membership, now_us, gossip);
  else
    for (guint i = 0; i < gossip->updates.updates_len; i++)
      quince_member_table_merge (membership, now_us, gossip->from, &gossip->updates.updates_val[i]);
  for (guint i = 0; i < gossip->digests.digests_len; i++)
    quince_digest_table_merge (membership, &gossip->digests.digests_val[i]);
  quince_prober_receive (membership, now_us, from_address, gossip, sends);
  quince_table_sync_receive (membership, now_us, from_address, gossip, sends);
  quince_prober_confirm (membership, now_us, sends);
  quince_gossip_push_urgent (membership, now_us, sends);
}

void
quince_membership_tick (QuinceMembership *membership, gint64 now_us, GPtrArray *sends)
{
  gint64 gap_us = now_us - membership->last_tick_us;
  membership->last_tick_us = now_us;
  if (gap_us > PAUSE_INTERVALS * membership->limits.probe_interval_us)
    quince_prober_skip_pause (membership, now_us, gap_us);
  quince_member_table_expire (membership, now_us);
  quince_prober_tick (membership, now_us, sends);
  quince_table_sync_tick (membership, now_us, sends);
  quince_prober_confirm (membership, now_us, sends);
  quince_gossip_push_urgent (membership, now_us, sends);
}

gint64
quince_membership_next_wakeup (const QuinceMembership *membership)
{
  gint64 wakeup_us = MIN (quince_prober_next_wakeup (membership), membership->next_sync_us);
  if (membership->push_due)
    wakeup_us = MIN (wakeup_us, membership->next_push_us);
  for (guint i = 0; i < membership->peers->len; i++)
    {
      const QuincePeer *peer = membership->peers->pdata[i];
      if (peer->record.state == QUINCE_MEMBER_SUSPECT)
        wakeup_us = MIN (wakeup_us, peer->suspected_until_us);
      else if (peer->record.state == QUINCE_MEMBER_DEAD)
        wakeup_us = MIN (wakeup_us, peer->dead_since_us + membership->limits.forget_us);
    }
  return wakeup_us;
}

void
quince_membership_leave (QuinceMembership *membership, gint64 now_us, GPtrArray *sends)
{
  quince_member_table_set_state (membership, now_us, membership->self, QUINCE_MEMBER_LEAVING);
  quince_gossip_push_announce (membership, now_us, sends);
}

void
quince_membership_set_digest (QuinceMembership *membership, const QuinceNodeDigest *digest)
{
  quince_digest_table_set_own (membership, digest);
}

void
quince_membership_set_replica_id (QuinceMembership *membership, guint64 replica_id)
{
  if (membership->self->record.replica_id == replica_id)
    return;
  membership->self->record.replica_id = replica_id;
  quince_member_table_renew_self (membership, 0);
  membership->push_due = TRUE;
}

const QuinceNodeDigest *
quince_membership_get_digest (const QuinceMembership *membership, const char *node)
{
  const QuincePeer *peer = quince_member_table_lookup (membership, node);
  return peer != NULL && peer != membership->self ? peer->digest : NULL;
}

GPtrArray *
quince_membership_get_members (const QuinceMembership *membership)
{
  GPtrArray *members = g_ptr_array_sized_new (membership->peers->len);
  for (guint i = 0; i < membership->peers->len; i++)
    g_ptr_array_add (members, &((QuincePeer *)membership->peers->pdata[i])->record);
  return members;
}

guint64
quince_membership_get_change_count (const QuinceMembership *membership)
{
  return membership->change_count;
}

guint64
quince_membership_get_incarnation (const QuinceMembership *membership)
{
  return membership->self->record.incarnation;
}
