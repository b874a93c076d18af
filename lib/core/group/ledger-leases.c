/*
 * ledger-leases.c: the commit index of the leader, and its lease, which lasts while a quorum acknowledges its
 * messages.
 */
#include "ledger-group-private.h"

/* ---- Commits ---------------------------------------------------------- */

/* Returns the index of the last record that @replica is known to have on disk. */
static guint64
get_held_index (const QuinceLedgerGroup *group, guint64 replica)
{
  if (replica == group->self.replica)
    return group->log_end.index;
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

/* Returns the index up to which a quorum of @view has the log on disk; 0 if @view has fewer members than a
 * quorum. */
static guint64
get_index_held_by_quorum (const QuinceLedgerGroup *group, const QuinceLedgerView *view)
{
  guint members = view->members.members_len;
  if (members < group->limits.quorum)
    return 0;
  g_autoptr (GArray) indexes = g_array_sized_new (FALSE, FALSE, sizeof (guint64), members);
  for (guint i = 0; i < members; i++)
    {
      guint64 index = get_held_index (group, view->members.members_val[i].replica);
      g_array_append_val (indexes, index);
    }
  g_array_sort (indexes, compare_descending);
  return g_array_index (indexes, guint64, group->limits.quorum - 1);
}

guint64
quince_ledger_group_get_commit_index (QuinceLedgerGroup *group)
{
  if (group->role != QUINCE_LEDGER_LEADER)
    return group->commit_index;
  guint64 held_index = get_index_held_by_quorum (group, group->view);
  for (guint i = 0; i < group->outstanding->len; i++)
    held_index = MIN (held_index, get_index_held_by_quorum (group, group->outstanding->pdata[i]));
  if (held_index >= group->recovery_index)
    group->commit_index = MAX (group->commit_index, held_index);
  return group->commit_index;
}

guint64
quince_ledger_group_get_sendable_index (const QuinceLedgerGroup *group, guint64 replica)
{
  if (!quince_ledger_group_is_change_outstanding (group) || quince_ledger_group_has_member (group, replica)
      || group->view->members.members_len < group->limits.quorum)
    return G_MAXUINT64;
  return MAX (group->commit_index, get_index_held_by_quorum (group, group->view));
}

/* ---- Leases ----------------------------------------------------------- */

/* Returns how many members of @view, including this replica if it is a member, have recently acknowledged a
 * message. */
static guint
count_lease_members_in (const QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerView *view)
{
  guint count = 0;
  for (guint i = 0; i < view->members.members_len; i++)
    {
      guint64 replica = view->members.members_val[i].replica;
      const QuinceLedgerPeer *peer = quince_ledger_group_find_peer (group, replica);
      gboolean has_answered = peer != NULL && peer->acked_sent_us > 0
                              && now_us - peer->acked_sent_us <= group->limits.lease_duration_us;
      count += replica == group->self.replica || has_answered;
    }
  return count;
}

guint
quince_ledger_group_count_lease_members (const QuinceLedgerGroup *group, gint64 now_us)
{
  return group->view != NULL ? count_lease_members_in (group, now_us, group->view) : 0;
}

static gboolean
has_quorum_lease_in (const QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerView *view)
{
  return count_lease_members_in (group, now_us, view) >= quince_ledger_group_get_quorum (group, view);
}

gboolean
quince_ledger_group_has_quorum_lease (const QuinceLedgerGroup *group, gint64 now_us)
{
  for (guint i = 0; i < group->outstanding->len; i++)
    if (!has_quorum_lease_in (group, now_us, group->outstanding->pdata[i]))
      return FALSE;
  return has_quorum_lease_in (group, now_us, group->view);
}

/* Returns whether a recent answer of the metadata store confirms this leader.  Such an answer suffices only
 * if this replica is part of every quorum, so that no record is committed and no leader elected without it.
 */
static gboolean
store_confirms_leader (const QuinceLedgerGroup *group, gint64 now_us)
{
  gboolean may_have_changed
      = group->proposal != NULL || group->proposal_may_apply || group->outstanding->len > 0;
  return group->view->members.members_len <= group->limits.quorum && !may_have_changed
         && now_us - group->confirmed_us <= group->limits.lease_duration_us;
}

static guint
count_contacts_in (const QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerView *view)
{
  guint count = 0;
  for (guint i = 0; i < view->members.members_len; i++)
    {
      guint64 replica = view->members.members_val[i].replica;
      const QuinceLedgerPeer *peer = quince_ledger_group_find_peer (group, replica);
      gboolean in_contact = peer != NULL && now_us - peer->contact_us < group->limits.leader_timeout_us;
      count += replica == group->self.replica || in_contact;
    }
  return count;
}

/* Returns how many replicas are in contact that are members or may become members, including this one. */
static guint
count_possible_members (const QuinceLedgerGroup *group, gint64 now_us)
{
  guint count = 1;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, group->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const QuinceLedgerPeer *peer = value;
      count += now_us - peer->contact_us < group->limits.leader_timeout_us
               && !quince_ledger_group_is_node_excluded (group, peer->node);
    }
  return count;
}

/* Returns whether this leader may be able to replace members that it has no contact to, by enough others for
 * a quorum.  If it needs no acknowledgement but its own, it could keep members from a leader that hears them.
 */
static gboolean
may_replace_members (const QuinceLedgerGroup *group, gint64 now_us)
{
  return quince_ledger_group_get_change_acks_needed (group, group->view) > 1
         && quince_ledger_group_has_store_contact (group, now_us)
         && count_possible_members (group, now_us) >= group->limits.quorum;
}

/* Returns how many members of the known view must be in contact for this leader to commit, or to replace the
 * others. */
static guint
get_contacts_needed (const QuinceLedgerGroup *group, gint64 now_us)
{
  guint quorum = quince_ledger_group_get_quorum (group, group->view);
  guint change_acks = quince_ledger_group_get_change_acks_needed (group, group->view);
  return may_replace_members (group, now_us) ? MIN (quorum, change_acks) : quorum;
}

gboolean
quince_ledger_group_has_store_contact (const QuinceLedgerGroup *group, gint64 now_us)
{
  return now_us - group->confirmed_us < group->limits.leader_timeout_us;
}

gboolean
quince_ledger_group_has_quorum_contact (const QuinceLedgerGroup *group, gint64 now_us)
{
  if (now_us - group->leading_since_us < group->limits.leader_timeout_us)
    return TRUE;
  for (guint i = 0; i < group->outstanding->len; i++)
    {
      const QuinceLedgerView *view = group->outstanding->pdata[i];
      if (count_contacts_in (group, now_us, view) < quince_ledger_group_get_quorum (group, view))
        return FALSE;
    }
  return count_contacts_in (group, now_us, group->view) >= get_contacts_needed (group, now_us);
}

/* Returns whether another replica may lead as soon as the store names it: this leader has proposed to hand
 * over to it, in the next epoch. */
static gboolean
has_proposed_handover (const QuinceLedgerGroup *group)
{
  return quince_ledger_group_get_greatest_epoch (group) > group->view->epoch;
}

/* Members elect no other leader while they receive heartbeats.  A leader without contact to a quorum of each
 * view that may be in force can neither commit nor answer, so it sends nothing to members of any of them.
 * Otherwise, if only messages from the leader arrive, the members would keep following a leader that cannot
 * serve.  The same holds for a leader that does not know whether it has handed over. */
gboolean
quince_ledger_group_may_send (const QuinceLedgerGroup *group, gint64 now_us, guint64 replica)
{
  if (!quince_ledger_group_is_in_any_view (group, replica))
    return TRUE;
  gboolean handover_unknown = group->proposal_may_apply && has_proposed_handover (group);
  return !handover_unknown && quince_ledger_group_has_quorum_contact (group, now_us);
}

gboolean
quince_ledger_group_has_leader_lease (const QuinceLedgerGroup *group, gint64 now_us)
{
  return store_confirms_leader (group, now_us) || quince_ledger_group_has_quorum_lease (group, now_us);
}

QuinceLedgerRefusal
quince_ledger_group_get_answer_refusal (QuinceLedgerGroup *group, gint64 now_us)
{
  if (group->role != QUINCE_LEDGER_LEADER)
    return QUINCE_LEDGER_REFUSAL_NOT_LEADER;
  if (has_proposed_handover (group))
    return QUINCE_LEDGER_REFUSAL_HANDOVER;
  if (!quince_ledger_group_has_leader_lease (group, now_us))
    return QUINCE_LEDGER_REFUSAL_NO_LEASE;
  if (quince_ledger_group_get_commit_index (group) < group->recovery_index)
    return QUINCE_LEDGER_REFUSAL_EPOCH_UNCOMMITTED;
  return QUINCE_LEDGER_REFUSAL_NONE;
}

QuinceLedgerRefusal
quince_ledger_group_get_accept_refusal (QuinceLedgerGroup *group, gint64 now_us)
{
  QuinceLedgerRefusal refusal = quince_ledger_group_get_answer_refusal (group, now_us);
  if (refusal != QUINCE_LEDGER_REFUSAL_NONE)
    return refusal;
  gboolean can_commit = quince_ledger_group_has_quorum_lease (group, now_us)
                        && group->view->members.members_len >= group->limits.quorum;
  return can_commit ? QUINCE_LEDGER_REFUSAL_NONE : QUINCE_LEDGER_REFUSAL_NO_QUORUM;
}

gboolean
quince_ledger_group_may_answer (QuinceLedgerGroup *group, gint64 now_us)
{
  return quince_ledger_group_get_answer_refusal (group, now_us) == QUINCE_LEDGER_REFUSAL_NONE;
}

gboolean
quince_ledger_group_may_accept (QuinceLedgerGroup *group, gint64 now_us)
{
  return quince_ledger_group_get_accept_refusal (group, now_us) == QUINCE_LEDGER_REFUSAL_NONE;
}

guint64
quince_ledger_group_get_recovery_index (const QuinceLedgerGroup *group)
{
  return group->recovery_index;
}

gboolean
quince_ledger_group_has_order_lease (QuinceLedgerGroup *group, gint64 now_us)
{
  return group->role == QUINCE_LEDGER_LEADER && !has_proposed_handover (group)
         && quince_ledger_group_has_quorum_lease (group, now_us);
}

gboolean
quince_ledger_group_may_order (QuinceLedgerGroup *group, gint64 now_us)
{
  return quince_ledger_group_has_order_lease (group, now_us) && now_us >= group->orders_blocked_until_us;
}

gboolean
quince_ledger_group_waited_order_pause (const QuinceLedgerGroup *group, gint64 now_us)
{
  return group->role == QUINCE_LEDGER_LEADER
         && (group->wrote_first_view || now_us >= group->leading_since_us + group->limits.order_pause_us);
}

void
quince_ledger_group_record_orders (QuinceLedgerGroup *group, gint64 now_us)
{
  if (quince_ledger_group_may_order (group, now_us))
    group->persistent.ordered = group->view->epoch;
}
