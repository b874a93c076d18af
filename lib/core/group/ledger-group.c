/*
 * ledger-group.c: roles, commits and leases of the batch ledger.
 *
 * Campaigns: ledger-campaign.c.  Changes of the view: ledger-proposals.c.
 */
#include "ledger-group-private.h"

#include <string.h>

const QuinceLedgerMember *
quince_ledger_view_find (const QuinceLedgerView *view, guint64 replica)
{
  for (guint i = 0; view != NULL && i < view->members.members_len; i++)
    if (view->members.members_val[i].replica == replica)
      return &view->members.members_val[i];
  return NULL;
}

gboolean
quince_ledger_view_has_node (const QuinceLedgerView *view, const char *node)
{
  for (guint i = 0; view != NULL && i < view->members.members_len; i++)
    if (g_str_equal (view->members.members_val[i].node, node))
      return TRUE;
  return FALSE;
}

static void
peer_free (gpointer data)
{
  QuinceLedgerPeer *peer = data;
  g_free (peer->node);
  g_free (peer->address);
  g_free (peer);
}

QuinceLedgerGroup *
quince_ledger_group_new (const QuinceLedgerMember *self,
                         const QuinceLedgerLimits *limits,
                         const QuinceLedgerKept *kept,
                         gboolean may_found,
                         gint64 now_us)
{
  QuinceLedgerGroup *group = g_new0 (QuinceLedgerGroup, 1);
  group->zones = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  group->self.node = g_strdup (self->node);
  group->self.address = g_strdup (self->address);
  group->self.replica = self->replica;
  group->limits = *limits;
  group->kept = *kept;
  group->promised_at_start = kept->promised;
  group->may_found = may_found;
  /* It may have answered the primary a moment before its restart. */
  group->primary_contact_us = now_us;
  group->peers = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, peer_free);
  group->strict_members = g_array_new (FALSE, FALSE, sizeof (guint64));
  group->campaign_for = g_array_new (FALSE, FALSE, sizeof (guint64));
  group->votes = g_array_new (FALSE, FALSE, sizeof (guint64));
  group->notes = g_array_new (FALSE, FALSE, sizeof (guint64));
  return group;
}

void
quince_ledger_group_free (QuinceLedgerGroup *group)
{
  if (group == NULL)
    return;
  quince_ledger_view_free (group->view);
  quince_ledger_view_free (group->proposal);
  g_hash_table_unref (group->peers);
  g_array_unref (group->strict_members);
  g_array_unref (group->campaign_for);
  g_array_unref (group->votes);
  g_array_unref (group->notes);
  g_strfreev (group->leaving);
  g_strfreev (group->confined);
  g_hash_table_unref (group->zones);
  g_free (group->self.node);
  g_free (group->self.address);
  g_free (group);
}

/* ---- Views ------------------------------------------------------------ */

/* Nobody but this replica can have given orders since it did: whoever did had a record of a later epoch on a
 * quorum, and so in the log of each later primary. */
static gboolean
ordered_last (const QuinceLedgerGroup *group, const QuinceLedgerView *before)
{
  return before == NULL || (group->kept.ordered != 0 && group->kept.ordered == group->end.epoch);
}

static void
become_primary (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerView *before)
{
  gboolean goes_on = group->role == QUINCE_LEDGER_PRIMARY;
  group->role = QUINCE_LEDGER_PRIMARY;
  group->led_epoch = group->view->epoch;
  group->answered = MAX (group->answered, group->view->epoch);
  group->store_answers = group->store_answers || group->store_epoch == group->answered;
  /* A record of its own epoch must be committed before older ones count as committed. */
  group->recovery_index = group->end.index + 1;
  group->commit_index = 0;
  if (!goes_on)
    group->order_after_us = ordered_last (group, before) ? now_us : now_us + group->limits.order_pause_us;
  group->became_primary_us = now_us;
  group->refused_with = 0;
  g_hash_table_remove_all (group->peers);
}

static void
take_role (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerView *before)
{
  const QuinceLedgerView *view = group->view;
  gboolean is_self = view->primary == group->self.replica;
  if (is_self && group->led_epoch == view->epoch)
    return; /* it leads already */
  if (is_self && group->proposed_epoch == view->epoch && group->kept.promised <= view->epoch)
    {
      /* This process took the lead itself. */
      become_primary (group, now_us, before);
      return;
    }
  if (group->role == QUINCE_LEDGER_PRIMARY)
    g_hash_table_remove_all (group->peers);
  group->role = QUINCE_LEDGER_BACKUP;
  if (before == NULL || before->epoch != view->epoch)
    group->primary_contact_us = now_us;
}

void
quince_ledger_group_adopt (QuinceLedgerGroup *group, gint64 now_us, QuinceLedgerView *view)
{
  g_autoptr (QuinceLedgerView) before = group->view;
  group->view = view;
  /* Promises were asked of the members of the former view. */
  quince_ledger_group_end_campaign (group);
  take_role (group, now_us, before);
}

/* The lead never goes back to a lower epoch: members may have promised a higher one without the store. */
static void
keep_lead (QuinceLedgerView *view, const QuinceLedgerView *known)
{
  if (known == NULL || known->epoch < view->epoch)
    return;
  view->epoch = known->epoch;
  view->primary = known->primary;
}

void
quince_ledger_group_set_view (QuinceLedgerGroup *group,
                              gint64 now_us,
                              gint64 requested_us,
                              const QuinceLedgerView *view,
                              guint64 revision)
{
  if (revision == group->revision && revision != 0)
    group->confirmed_us = MAX (group->confirmed_us, requested_us);
  group->view_is_read = group->view_is_read || revision >= group->revision;
  gboolean news = revision > group->revision || (revision == group->revision && group->store_epoch == 0);
  if (view == NULL || !news)
    return;
  group->store_answers
      = view->epoch == group->answered || (group->store_answers && view->epoch == group->store_epoch);
  group->store_epoch = view->epoch;
  group->store_primary = view->primary;
  group->confirmed_us = requested_us;
  if (revision > group->revision)
    {
      /* Proposals on the former revision can no longer be done. */
      g_array_set_size (group->strict_members, 0);
      g_array_set_size (group->notes, 0);
      group->wants_notes = FALSE;
      group->proposal_may_come = FALSE;
      group->hands_over = FALSE;
    }
  group->revision = revision;
  QuinceLedgerView *next = quince_ledger_view_copy (view);
  keep_lead (next, group->view);
  quince_ledger_group_adopt (group, now_us, next);
}

const QuinceLedgerKept *
quince_ledger_group_get_kept (const QuinceLedgerGroup *group)
{
  return &group->kept;
}

void
quince_ledger_group_set_leaving (QuinceLedgerGroup *group, const char *const *nodes)
{
  g_strfreev (group->leaving);
  group->leaving = g_strdupv ((char **)nodes);
}

void
quince_ledger_group_confine (QuinceLedgerGroup *group, const char *const *nodes)
{
  g_strfreev (group->confined);
  group->confined = g_strdupv ((char **)nodes);
}

gboolean
quince_ledger_group_is_leaving (const QuinceLedgerGroup *group, const char *node)
{
  if (group->leaving != NULL && g_strv_contains ((const char *const *)group->leaving, node))
    return TRUE;
  return group->confined != NULL && !g_strv_contains ((const char *const *)group->confined, node);
}

void
quince_ledger_group_set_log_end (QuinceLedgerGroup *group, const QuinceLogEnd *end)
{
  group->end = *end;
}

/* ---- Peers ------------------------------------------------------------ */

QuinceLedgerPeer *
quince_ledger_group_find_peer (const QuinceLedgerGroup *group, guint64 replica)
{
  gint64 key = (gint64)replica;
  return g_hash_table_lookup (group->peers, &key);
}

void
quince_ledger_group_peer_joined (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerMember *member)
{
  QuinceLedgerPeer *peer = g_new0 (QuinceLedgerPeer, 1);
  peer->replica = member->replica;
  peer->node = g_strdup (member->node);
  peer->address = g_strdup (member->address);
  g_hash_table_replace (group->peers, &peer->replica, peer);
}

void
quince_ledger_group_peer_acked (QuinceLedgerGroup *group,
                                guint64 replica,
                                guint64 last_index,
                                gint64 requested_us)
{
  QuinceLedgerPeer *peer = quince_ledger_group_find_peer (group, replica);
  if (peer == NULL)
    return;
  if (requested_us < peer->cleared_us)
    return; /* it told of what it has dropped since */
  peer->last_index = MAX (peer->last_index, last_index);
  peer->acked_us = MAX (peer->acked_us, requested_us);
}

void
quince_ledger_group_peer_cleared (QuinceLedgerGroup *group, guint64 replica, gint64 now_us)
{
  QuinceLedgerPeer *peer = quince_ledger_group_find_peer (group, replica);
  if (peer == NULL)
    return;
  peer->last_index = 0;
  peer->cleared_us = now_us;
}

void
quince_ledger_group_peer_refused (QuinceLedgerGroup *group, guint64 promised)
{
  group->refused_with = MAX (group->refused_with, promised);
}

void
quince_ledger_group_peer_left (QuinceLedgerGroup *group, guint64 replica)
{
  gint64 key = (gint64)replica;
  g_hash_table_remove (group->peers, &key);
}

/* ---- Commits ---------------------------------------------------------- */

static guint64
held_by (const QuinceLedgerGroup *group, guint64 replica)
{
  if (replica == group->self.replica)
    return group->end.index;
  const QuinceLedgerPeer *peer = quince_ledger_group_find_peer (group, replica);
  return peer != NULL ? peer->last_index : 0;
}

static gint
compare_descending (gconstpointer a, gconstpointer b)
{
  guint64 first = *(const guint64 *)a;
  guint64 second = *(const guint64 *)b;
  return first > second ? -1 : first < second;
}

/* The greatest index that a quorum of the view holds. */
static guint64
held_by_quorum (const QuinceLedgerGroup *group)
{
  const QuinceLedgerView *view = group->view;
  if (view->members.members_len < group->limits.copies_least)
    return 0;
  g_autoptr (GArray) held = g_array_new (FALSE, FALSE, sizeof (guint64));
  for (guint i = 0; i < view->members.members_len; i++)
    {
      guint64 index = held_by (group, view->members.members_val[i].replica);
      g_array_append_val (held, index);
    }
  g_array_sort (held, compare_descending);
  return g_array_index (held, guint64, group->limits.copies_least - 1);
}

guint64
quince_ledger_group_get_commit_index (QuinceLedgerGroup *group)
{
  if (group->role != QUINCE_LEDGER_PRIMARY)
    return group->commit_index;
  guint64 held = held_by_quorum (group);
  /* Whichever of the proposed views comes: all of its members know what is committed. */
  for (guint i = 0; i < group->strict_members->len; i++)
    held = MIN (held, held_by (group, g_array_index (group->strict_members, guint64, i)));
  if (held >= group->recovery_index)
    group->commit_index = MAX (group->commit_index, held);
  return group->commit_index;
}

/* ---- Leases ----------------------------------------------------------- */

/* Other members of the view that answered something that was sent within the last @within_us. */
static guint
count_answering (const QuinceLedgerGroup *group, gint64 now_us, gint64 within_us)
{
  guint count = 0;
  for (guint i = 0; i < group->view->members.members_len; i++)
    {
      const QuinceLedgerPeer *peer
          = quince_ledger_group_find_peer (group, group->view->members.members_val[i].replica);
      count += peer != NULL && peer->acked_us > 0 && now_us - peer->acked_us <= within_us;
    }
  return count;
}

/* Whichever of the proposed views may be in force: a quorum of its members has answered. */
static gboolean
strict_follow (const QuinceLedgerGroup *group, gint64 now_us)
{
  guint silent = 0;
  for (guint i = 0; i < group->strict_members->len; i++)
    {
      guint64 replica = g_array_index (group->strict_members, guint64, i);
      const QuinceLedgerPeer *peer = quince_ledger_group_find_peer (group, replica);
      gboolean answers
          = peer != NULL && peer->acked_us > 0 && now_us - peer->acked_us <= group->limits.confirm_us;
      silent += replica != group->self.replica && !answers;
    }
  return silent + MIN (group->limits.copies_least, group->strict_least) <= group->strict_least;
}

/* No candidate can have enough promises: a quorum has followed this primary lately. */
static gboolean
quorum_follows (const QuinceLedgerGroup *group, gint64 now_us)
{
  guint others = MIN (group->limits.copies_least, group->view->members.members_len) - 1;
  return count_answering (group, now_us, group->limits.confirm_us) >= others && strict_follow (group, now_us);
}

/* The store's word is enough only where nothing is committed, and nobody elected without it, but with this
 * replica. */
static gboolean
store_confirms (const QuinceLedgerGroup *group, gint64 now_us)
{
  return group->view->members.members_len <= group->limits.copies_least && group->strict_members->len == 0
         && now_us - group->confirmed_us <= group->limits.confirm_us;
}

gboolean
quince_ledger_group_is_confirmed (const QuinceLedgerGroup *group, gint64 now_us)
{
  return store_confirms (group, now_us) || quorum_follows (group, now_us);
}

gboolean
quince_ledger_group_may_answer (QuinceLedgerGroup *group, gint64 now_us)
{
  if (group->role != QUINCE_LEDGER_PRIMARY || group->hands_over)
    return FALSE;
  return quince_ledger_group_is_confirmed (group, now_us)
         && quince_ledger_group_get_commit_index (group) >= group->recovery_index;
}

gboolean
quince_ledger_group_may_accept (QuinceLedgerGroup *group, gint64 now_us)
{
  return quince_ledger_group_may_answer (group, now_us) && quorum_follows (group, now_us)
         && group->view->members.members_len >= group->limits.copies_least;
}

gboolean
quince_ledger_group_may_order (QuinceLedgerGroup *group, gint64 now_us)
{
  return group->role == QUINCE_LEDGER_PRIMARY && !group->hands_over && quorum_follows (group, now_us)
         && now_us >= group->order_after_us;
}

void
quince_ledger_group_note_orders (QuinceLedgerGroup *group, gint64 now_us)
{
  if (quince_ledger_group_may_order (group, now_us))
    group->kept.ordered = group->view->epoch;
}

QuinceLedgerRole
quince_ledger_group_get_role (const QuinceLedgerGroup *group)
{
  return group->role;
}

const QuinceLedgerView *
quince_ledger_group_get_view (const QuinceLedgerGroup *group)
{
  return group->view;
}

gboolean
quince_ledger_group_has_member (const QuinceLedgerGroup *group, guint64 replica)
{
  return quince_ledger_view_find (group->view, replica) != NULL;
}
