/*
 * ledger-group.c: roles, commits and leases of the batch ledger.  Changes of the view: ledger-proposals.c.
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
                         gboolean may_found,
                         gint64 now_us)
{
  QuinceLedgerGroup *group = g_new0 (QuinceLedgerGroup, 1);
  group->self.node = g_strdup (self->node);
  group->self.address = g_strdup (self->address);
  group->self.replica = self->replica;
  group->limits = *limits;
  group->may_found = may_found;
  group->primary_heard_us = now_us;
  group->peers = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, peer_free);
  group->maybe_members = g_array_new (FALSE, FALSE, sizeof (guint64));
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
  g_array_unref (group->maybe_members);
  g_strfreev (group->leaving);
  g_free (group->self.node);
  g_free (group->self.address);
  g_free (group);
}

/* ---- Views ------------------------------------------------------------ */

static void
become_primary (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerView *before)
{
  const QuinceLedgerMember *former
      = before != NULL ? quince_ledger_view_find (before, before->primary) : NULL;
  gboolean same_machine = former == NULL || g_str_equal (former->node, group->self.node);
  group->role = QUINCE_LEDGER_PRIMARY;
  group->recovery_index = group->last_index;
  group->commit_index = 0;
  group->order_after_us = same_machine ? now_us : now_us + group->limits.order_pause_us;
  group->became_primary_us = now_us;
  g_hash_table_remove_all (group->peers);
}

static void
take_role (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerView *before)
{
  const QuinceLedgerView *view = group->view;
  gboolean leads = view->primary == group->self.replica && group->led_epoch == view->epoch;
  if (view->primary == group->self.replica && !leads && group->proposed_epoch == view->epoch)
    {
      /* This process took the lead itself. */
      group->led_epoch = view->epoch;
      become_primary (group, now_us, before);
      return;
    }
  if (leads)
    return;
  if (group->role == QUINCE_LEDGER_PRIMARY)
    g_hash_table_remove_all (group->peers);
  gboolean new_primary = before == NULL || before->primary != view->primary || before->epoch != view->epoch;
  group->role = QUINCE_LEDGER_BACKUP;
  if (new_primary)
    group->primary_heard_us = now_us;
}

void
quince_ledger_group_set_view (QuinceLedgerGroup *group,
                              gint64 now_us,
                              gint64 asked_us,
                              const QuinceLedgerView *view,
                              guint64 revision)
{
  if (revision == group->revision && revision != 0)
    group->confirmed_us = MAX (group->confirmed_us, asked_us);
  group->view_is_read = group->view_is_read || revision >= group->revision;
  if (view == NULL || revision <= group->revision)
    return;
  QuinceLedgerView *before = group->view;
  group->view = quince_ledger_view_copy (view);
  group->revision = revision;
  group->confirmed_us = asked_us;
  /* Proposals on the former revision can no longer be done. */
  g_array_set_size (group->maybe_members, 0);
  group->proposal_may_come = FALSE;
  take_role (group, now_us, before);
  quince_ledger_view_free (before);
}

void
quince_ledger_group_set_leaving (QuinceLedgerGroup *group, const char *const *nodes)
{
  g_strfreev (group->leaving);
  group->leaving = g_strdupv ((char **)nodes);
}

void
quince_ledger_group_set_last_index (QuinceLedgerGroup *group, guint64 last_index)
{
  group->last_index = last_index;
}

void
quince_ledger_group_primary_heard (QuinceLedgerGroup *group, gint64 now_us)
{
  group->primary_heard_us = now_us;
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
  peer->acked_us = 0;
  g_hash_table_replace (group->peers, &peer->replica, peer);
}

void
quince_ledger_group_peer_acked (QuinceLedgerGroup *group,
                                guint64 replica,
                                guint64 last_index,
                                gint64 asked_us)
{
  QuinceLedgerPeer *peer = quince_ledger_group_find_peer (group, replica);
  if (peer == NULL)
    return;
  peer->last_index = MAX (peer->last_index, last_index);
  peer->acked_us = MAX (peer->acked_us, asked_us);
}

void
quince_ledger_group_peer_left (QuinceLedgerGroup *group, guint64 replica)
{
  gint64 key = (gint64)replica;
  g_hash_table_remove (group->peers, &key);
}

/* ---- What holds ------------------------------------------------------- */

static guint64
held_by (const QuinceLedgerGroup *group, guint64 replica)
{
  if (replica == group->self.replica)
    return group->last_index;
  const QuinceLedgerPeer *peer = quince_ledger_group_find_peer (group, replica);
  return peer != NULL ? peer->last_index : 0;
}

guint64
quince_ledger_group_get_commit_index (const QuinceLedgerGroup *group)
{
  if (group->role != QUINCE_LEDGER_PRIMARY || group->view->members.members_len < group->limits.copies_least)
    return group->commit_index;
  guint64 held = group->last_index;
  for (guint i = 0; i < group->view->members.members_len; i++)
    held = MIN (held, held_by (group, group->view->members.members_val[i].replica));
  for (guint i = 0; i < group->maybe_members->len; i++)
    held = MIN (held, held_by (group, g_array_index (group->maybe_members, guint64, i)));
  /* What was committed stays so, whoever joins. */
  ((QuinceLedgerGroup *)group)->commit_index = MAX (group->commit_index, held);
  return group->commit_index;
}

/* Every other member answered something that was sent within the last @within_us. */
static gboolean
members_answer (const QuinceLedgerGroup *group, gint64 now_us, gint64 within_us)
{
  for (guint i = 0; i < group->view->members.members_len; i++)
    {
      guint64 replica = group->view->members.members_val[i].replica;
      const QuinceLedgerPeer *peer = quince_ledger_group_find_peer (group, replica);
      if (replica != group->self.replica && (peer == NULL || now_us - peer->acked_us > within_us))
        return FALSE;
    }
  return TRUE;
}

static gboolean
is_confirmed (const QuinceLedgerGroup *group, gint64 now_us)
{
  return now_us - group->confirmed_us <= group->limits.confirm_us
         || members_answer (group, now_us, group->limits.confirm_us);
}

gboolean
quince_ledger_group_may_answer (const QuinceLedgerGroup *group, gint64 now_us)
{
  return group->role == QUINCE_LEDGER_PRIMARY && is_confirmed (group, now_us)
         && quince_ledger_group_get_commit_index (group) >= group->recovery_index;
}

gboolean
quince_ledger_group_may_accept (const QuinceLedgerGroup *group, gint64 now_us)
{
  return quince_ledger_group_may_answer (group, now_us)
         && group->view->members.members_len >= group->limits.copies_least
         && members_answer (group, now_us, group->limits.confirm_us);
}

gboolean
quince_ledger_group_may_order (const QuinceLedgerGroup *group, gint64 now_us)
{
  return group->role == QUINCE_LEDGER_PRIMARY && is_confirmed (group, now_us)
         && now_us >= group->order_after_us;
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

guint64
quince_ledger_group_get_revision (const QuinceLedgerGroup *group)
{
  return group->revision;
}

gboolean
quince_ledger_group_has_member (const QuinceLedgerGroup *group, guint64 replica)
{
  return quince_ledger_view_find (group->view, replica) != NULL;
}
