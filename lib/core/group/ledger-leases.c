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

/* Returns the greatest index up to which all but @n_excepted of @replicas have the log on disk. */
static guint64
get_index_held_by_all_except (const QuinceLedgerGroup *group, const GArray *replicas, guint n_excepted)
{
  g_autoptr (GArray) indexes = g_array_new (FALSE, FALSE, sizeof (guint64));
  for (guint i = 0; i < replicas->len; i++)
    {
      guint64 index = get_held_index (group, g_array_index (replicas, guint64, i));
      g_array_append_val (indexes, index);
    }
  g_array_sort (indexes, compare_descending);
  return g_array_index (indexes, guint64, indexes->len - 1 - n_excepted);
}

/* Returns the index up to which a quorum of the view has the log on disk; 0 if the view has fewer members
 * than a quorum. */
static guint64
get_index_held_by_quorum (const QuinceLedgerGroup *group)
{
  const QuinceLedgerView *view = group->view;
  if (view->members.members_len < group->limits.quorum)
    return 0;
  g_autoptr (GArray) replicas = g_array_new (FALSE, FALSE, sizeof (guint64));
  for (guint i = 0; i < view->members.members_len; i++)
    g_array_append_val (replicas, view->members.members_val[i].replica);
  return get_index_held_by_all_except (group, replicas, replicas->len - group->limits.quorum);
}

/* Returns the maximum number of replicas, counted over all proposed views, that may lack a record or be
 * silent while each of these views still has a quorum. */
static guint
get_proposed_failures_max (const QuinceLedgerGroup *group)
{
  return group->proposed_members_min - MIN (group->limits.quorum, group->proposed_members_min);
}

guint64
quince_ledger_group_get_commit_index (QuinceLedgerGroup *group)
{
  if (group->role != QUINCE_LEDGER_LEADER)
    return group->commit_index;
  guint64 held_index = get_index_held_by_quorum (group);
  /* Any of the proposed views may come into force, so a committed record needs a quorum of each.  It does not
   * need all of their members: otherwise the loss of one of them would block all commits while the outcome
   * of a proposal is unknown. */
  if (group->proposed_members->len > 0)
    held_index = MIN (held_index, get_index_held_by_all_except (group, group->proposed_members,
                                                                get_proposed_failures_max (group)));
  if (held_index >= group->recovery_index)
    group->commit_index = MAX (group->commit_index, held_index);
  return group->commit_index;
}

/* ---- Leases ----------------------------------------------------------- */

/* Returns how many other members of the view acknowledged a message sent at most @max_age_us ago. */
static guint
count_recent_acks (const QuinceLedgerGroup *group, gint64 now_us, gint64 max_age_us)
{
  guint count = 0;
  for (guint i = 0; i < group->view->members.members_len; i++)
    {
      const QuinceLedgerPeer *peer
          = quince_ledger_group_find_peer (group, group->view->members.members_val[i].replica);
      count += peer != NULL && peer->acked_sent_us > 0 && now_us - peer->acked_sent_us <= max_age_us;
    }
  return count;
}

/* Returns whether a quorum of each proposed view has recently acknowledged a message.  Any of these views may
 * already be in force. */
static gboolean
has_proposed_quorum_lease (const QuinceLedgerGroup *group, gint64 now_us)
{
  guint n_silent = 0;
  for (guint i = 0; i < group->proposed_members->len; i++)
    {
      guint64 replica = g_array_index (group->proposed_members, guint64, i);
      const QuinceLedgerPeer *peer = quince_ledger_group_find_peer (group, replica);
      gboolean has_answered = peer != NULL && peer->acked_sent_us > 0
                              && now_us - peer->acked_sent_us <= group->limits.lease_duration_us;
      n_silent += replica != group->self.replica && !has_answered;
    }
  return n_silent <= get_proposed_failures_max (group);
}

gboolean
quince_ledger_group_has_quorum_lease (const QuinceLedgerGroup *group, gint64 now_us)
{
  guint others_needed = MIN (group->limits.quorum, group->view->members.members_len) - 1;
  return count_recent_acks (group, now_us, group->limits.lease_duration_us) >= others_needed
         && has_proposed_quorum_lease (group, now_us);
}

/* Returns whether a recent answer of the metadata store confirms this leader.  Such an answer suffices only
 * if this replica is part of every quorum, so that no record is committed and no leader elected without it.
 */
static gboolean
store_confirms_leader (const QuinceLedgerGroup *group, gint64 now_us)
{
  return group->view->members.members_len <= group->limits.quorum && group->proposed_members->len == 0
         && now_us - group->confirmed_us <= group->limits.lease_duration_us;
}

/* Returns the number of other members whose latest message arrived within the leader timeout. */
static guint
count_in_contact (const QuinceLedgerGroup *group, gint64 now_us)
{
  guint count = 0;
  for (guint i = 0; i < group->view->members.members_len; i++)
    {
      const QuinceLedgerPeer *peer
          = quince_ledger_group_find_peer (group, group->view->members.members_val[i].replica);
      count += peer != NULL && now_us - peer->contact_us < group->limits.leader_timeout_us;
    }
  return count;
}

gboolean
quince_ledger_group_has_quorum_contact (const QuinceLedgerGroup *group, gint64 now_us)
{
  guint others_needed = MIN (group->limits.quorum, group->view->members.members_len) - 1;
  return now_us - group->leading_since_us < group->limits.leader_timeout_us
         || count_in_contact (group, now_us) >= others_needed;
}

/* Members elect no other leader while they receive heartbeats.  A leader without contact to a quorum can
 * neither commit nor answer, so it sends nothing to members.  Otherwise, if only messages from the leader
 * arrive, the members would keep following a leader that cannot serve. */
gboolean
quince_ledger_group_may_send (const QuinceLedgerGroup *group, gint64 now_us, guint64 replica)
{
  return !quince_ledger_group_has_member (group, replica)
         || quince_ledger_group_has_quorum_contact (group, now_us);
}

gboolean
quince_ledger_group_has_leader_lease (const QuinceLedgerGroup *group, gint64 now_us)
{
  return store_confirms_leader (group, now_us) || quince_ledger_group_has_quorum_lease (group, now_us);
}

gboolean
quince_ledger_group_may_answer (QuinceLedgerGroup *group, gint64 now_us)
{
  if (group->role != QUINCE_LEDGER_LEADER || group->handover_proposed)
    return FALSE;
  return quince_ledger_group_has_leader_lease (group, now_us)
         && quince_ledger_group_get_commit_index (group) >= group->recovery_index;
}

gboolean
quince_ledger_group_may_accept (QuinceLedgerGroup *group, gint64 now_us)
{
  return quince_ledger_group_may_answer (group, now_us)
         && quince_ledger_group_has_quorum_lease (group, now_us)
         && group->view->members.members_len >= group->limits.quorum;
}

gboolean
quince_ledger_group_has_order_lease (QuinceLedgerGroup *group, gint64 now_us)
{
  return group->role == QUINCE_LEDGER_LEADER && !group->handover_proposed
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
