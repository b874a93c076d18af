/*
 * ledger-proposals.c: decides which change of the view a replica proposes to the metadata store, and when.
 */
#include "ledger-group-private.h"

#include <string.h>

/* Delay after a failed proposal, us; short compared with the silence after which a member is replaced. */
#define PROPOSAL_RETRY_DELAY_US (300 * 1000)

/* ---- Proposals of a backup and at the first start ---------------------- */

/* The first view of a new system: this replica is its leader and only member. */
static QuinceLedgerView *
make_initial_view (QuinceLedgerGroup *group)
{
  QuinceLedgerView *view = g_new0 (QuinceLedgerView, 1);
  view->epoch = QUINCE_LEDGER_INITIAL_EPOCH;
  view->primary = group->self.replica;
  quince_ledger_view_add (view, group->self.node, group->self.address, group->self.replica);
  group->proposed_epoch = view->epoch;
  return view;
}

/* Returns a view that this replica leads, or %NULL if it is not elected.  The members stay the same, since it
 * is not known yet which of them have all committed records. */
static QuinceLedgerView *
make_takeover_view (QuinceLedgerGroup *group)
{
  if (!quince_ledger_group_is_elected (group) || quince_ledger_group_needs_store_read (group)
      || !quince_ledger_group_promise_self (group))
    return NULL;
  QuinceLedgerView *view = quince_ledger_view_copy (group->view);
  view->epoch = group->campaign_epoch;
  view->primary = group->self.replica;
  quince_ledger_view_set_address (view, group->self.replica, group->self.address);
  group->proposed_epoch = view->epoch;
  return view;
}

/* Returns the view in the store with the new address of this replica; %NULL if the address has not changed or
 * there is a leader, which updates addresses itself.  Members that were all restarted at new addresses can
 * find each other only through the view. */
static QuinceLedgerView *
make_address_change_view (const QuinceLedgerGroup *group, gint64 now_us)
{
  gboolean without_leader = group->view->primary == group->self.replica
                            || now_us - group->leader_contact_us >= group->limits.leader_timeout_us;
  if (!without_leader || group->store_epoch == 0)
    return NULL;
  g_autoptr (QuinceLedgerView) view = quince_ledger_view_copy (group->view);
  view->epoch = group->store_epoch;
  view->primary = group->store_primary;
  return quince_ledger_view_set_address (view, group->self.replica, group->self.address)
             ? g_steal_pointer (&view)
             : NULL;
}

static QuinceLedgerView *
make_backup_proposal (QuinceLedgerGroup *group, gint64 now_us)
{
  QuinceLedgerView *view = make_takeover_view (group);
  return view != NULL ? view : make_address_change_view (group, now_us);
}

/* ---- Proposals of the leader ------------------------------------------- */

static gint64
get_last_answer_us (const QuinceLedgerGroup *group, gint64 now_us, guint64 replica)
{
  if (replica == group->self.replica)
    return now_us;
  const QuinceLedgerPeer *peer = quince_ledger_group_find_peer (group, replica);
  return MAX (peer != NULL ? peer->acked_sent_us : 0, group->leading_since_us);
}

static gint
compare_latest_first (gconstpointer a, gconstpointer b)
{
  gint64 first = *(const gint64 *)a;
  gint64 second = *(const gint64 *)b;
  return first > second ? -1 : first < second;
}

/* Returns the time up to which enough of the members without @replica have answered to acknowledge a change;
 * @now_us if they are fewer than a quorum. */
static gint64
get_common_answer_us (const QuinceLedgerGroup *group, gint64 now_us, guint64 replica)
{
  g_autoptr (GArray) answers = g_array_new (FALSE, FALSE, sizeof (gint64));
  for (guint i = 0; i < group->view->members.members_len; i++)
    {
      guint64 member = group->view->members.members_val[i].replica;
      gint64 answer_us = get_last_answer_us (group, now_us, member);
      if (member != replica)
        g_array_append_val (answers, answer_us);
    }
  if (answers->len < group->limits.quorum)
    return now_us;
  guint needed = MIN (group->limits.quorum, quince_ledger_group_get_change_acks_needed (group, group->view));
  g_array_sort (answers, compare_latest_first);
  return g_array_index (answers, gint64, needed - 1);
}

/* Returns whether enough of the other members have answered for the member timeout, and @replica has not.  A
 * leader that hears fewer cannot tell which member is lost: it would have members acknowledge a change that
 * it cannot complete. */
static gboolean
is_silent (const QuinceLedgerGroup *group, gint64 now_us, guint64 replica)
{
  gint64 silence_us
      = get_common_answer_us (group, now_us, replica) - get_last_answer_us (group, now_us, replica);
  return silence_us > group->limits.member_timeout_us;
}

static gboolean
is_caught_up (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerPeer *peer)
{
  /* Until recovery ends, an earlier leader may have committed records beyond the known commit index. */
  guint64 needed_index = MAX (quince_ledger_group_get_commit_index (group), group->recovery_index);
  return peer->acked_sent_us > 0 && now_us - peer->acked_sent_us <= group->limits.lease_duration_us
         && peer->last_index >= needed_index;
}

/* Returns the member that @peer may replace, or %NULL if there is none: a member on the same machine, whose
 * disk was replaced, or else one that is silent or must leave. */
static const QuinceLedgerMember *
find_replaceable_member (const QuinceLedgerGroup *group,
                         gint64 now_us,
                         const QuinceLedgerView *view,
                         const QuinceLedgerPeer *peer)
{
  const QuinceLedgerMember *replaceable = NULL;
  for (guint i = 0; i < view->members.members_len; i++)
    {
      const QuinceLedgerMember *member = &view->members.members_val[i];
      if (member->replica == group->self.replica)
        continue;
      if (g_str_equal (member->node, peer->node))
        return member;
      if (is_silent (group, now_us, member->replica)
          || quince_ledger_group_is_node_excluded (group, member->node))
        replaceable = member;
    }
  return replaceable;
}

/* Returns whether @peer may become a member: it is not one yet, has all committed records, and its machine
 * may keep records. */
static gboolean
may_join (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerView *view, const QuinceLedgerPeer *peer)
{
  return quince_ledger_view_find (view, peer->replica) == NULL && is_caught_up (group, now_us, peer)
         && !quince_ledger_group_is_node_excluded (group, peer->node);
}

/* Returns a peer that may join and whose zone may have one more member, or %NULL if there is none. */
static const QuinceLedgerPeer *
find_joiner_in_zone_with_room (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerView *view)
{
  GHashTableIter iter;
  gpointer peer;
  g_hash_table_iter_init (&iter, group->peers);
  while (g_hash_table_iter_next (&iter, NULL, &peer))
    if (may_join (group, now_us, view, peer)
        && quince_ledger_group_count_in_zone (group, view, ((const QuinceLedgerPeer *)peer)->replica)
               < quince_ledger_group_get_members_per_zone_max (group))
      return peer;
  return NULL;
}

/* Returns whether @peer must not join because its zone has the maximum number of members and a replica of
 * another zone can join instead.  A machine that returns with a new disk is exempt: it replaces its former
 * member. */
static gboolean
defers_to_other_zone (QuinceLedgerGroup *group,
                      gint64 now_us,
                      const QuinceLedgerView *view,
                      const QuinceLedgerPeer *peer)
{
  return quince_ledger_group_is_zone_aware (group) && !quince_ledger_view_has_node (view, peer->node)
         && quince_ledger_group_count_in_zone (group, view, peer->replica)
                >= quince_ledger_group_get_members_per_zone_max (group)
         && find_joiner_in_zone_with_room (group, now_us, view) != NULL;
}

/* Replaces one member of a zone with too many members by a replica of another zone.  Returns whether @view
 * changed. */
static gboolean
rebalance_zones (QuinceLedgerGroup *group, gint64 now_us, QuinceLedgerView *view)
{
  const QuinceLedgerPeer *joiner = quince_ledger_group_is_zone_aware (group)
                                       ? find_joiner_in_zone_with_room (group, now_us, view)
                                       : NULL;
  for (guint i = 0; joiner != NULL && i < view->members.members_len; i++)
    {
      guint64 replica = view->members.members_val[i].replica;
      if (replica == group->self.replica
          || quince_ledger_group_count_in_zone (group, view, replica)
                 <= quince_ledger_group_get_members_per_zone_max (group))
        continue;
      quince_ledger_view_remove (view, replica);
      quince_ledger_view_add (view, joiner->node, joiner->address, joiner->replica);
      return TRUE;
    }
  return FALSE;
}

static gboolean
add_joiners (QuinceLedgerGroup *group, gint64 now_us, QuinceLedgerView *view)
{
  gboolean changed = FALSE;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, group->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const QuinceLedgerPeer *peer = value;
      changed = quince_ledger_view_set_address (view, peer->replica, peer->address) || changed;
      if (!may_join (group, now_us, view, peer) || defers_to_other_zone (group, now_us, view, peer))
        continue;
      const QuinceLedgerMember *replaced = find_replaceable_member (group, now_us, view, peer);
      if (replaced == NULL && view->members.members_len >= group->limits.members_max)
        continue;
      if (replaced != NULL)
        quince_ledger_view_remove (view, replaced->replica);
      quince_ledger_view_add (view, peer->node, peer->address, peer->replica);
      changed = TRUE;
    }
  return changed;
}

static gboolean
remove_silent_and_excluded (const QuinceLedgerGroup *group, gint64 now_us, QuinceLedgerView *view)
{
  gboolean changed = FALSE;
  for (guint i = 0; i < view->members.members_len;)
    {
      const QuinceLedgerMember *member = &view->members.members_val[i];
      gboolean should_remove = is_silent (group, now_us, member->replica)
                               || (member->replica != group->self.replica
                                   && quince_ledger_group_is_node_excluded (group, member->node));
      if (should_remove && view->members.members_len > group->limits.quorum)
        {
          quince_ledger_view_remove (view, member->replica);
          changed = TRUE;
        }
      else
        i++;
    }
  return changed;
}

/* If the machine of this leader must not keep records any more, removes this replica from @view and makes
 * another member its leader.  Returns whether @view changed. */
static gboolean
propose_handover (const QuinceLedgerGroup *group, QuinceLedgerView *view)
{
  if (!quince_ledger_group_is_node_excluded (group, group->self.node)
      || view->members.members_len <= group->limits.quorum)
    return FALSE;
  for (guint i = 0; i < view->members.members_len; i++)
    {
      const QuinceLedgerMember *member = &view->members.members_val[i];
      if (member->replica == group->self.replica
          || quince_ledger_group_is_node_excluded (group, member->node))
        continue;
      view->primary = member->replica;
      view->epoch++;
      quince_ledger_view_remove (view, group->self.replica);
      return TRUE;
    }
  return FALSE;
}

/* Returns whether @replica follows this leader and has all committed records. */
static gboolean
has_all_records (QuinceLedgerGroup *group, gint64 now_us, guint64 replica)
{
  const QuinceLedgerPeer *peer = quince_ledger_group_find_peer (group, replica);
  return replica == group->self.replica || (peer != NULL && is_caught_up (group, now_us, peer));
}

static guint
count_with_all_records (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerView *view)
{
  guint count = 0;
  for (guint i = 0; i < view->members.members_len; i++)
    count += has_all_records (group, now_us, view->members.members_val[i].replica);
  return count;
}

/* Returns whether @view leaves out a member of the known view that may be a former leader which still
 * answers: the store may have confirmed it until this replica took the lead.  A member that another replica
 * on its machine replaces has ended. */
static gboolean
leaves_out_answering_leader (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerView *view)
{
  if (now_us - group->leading_since_us > group->limits.lease_duration_us)
    return FALSE;
  for (guint i = 0; i < group->view->members.members_len; i++)
    {
      const QuinceLedgerMember *member = &group->view->members.members_val[i];
      if (!has_all_records (group, now_us, member->replica)
          && quince_ledger_view_find (view, member->replica) == NULL
          && !quince_ledger_view_has_node (view, member->node))
        return TRUE;
    }
  return FALSE;
}

/* Returns whether enough members of @view have all committed records.  With a quorum that has them, any set
 * of members that elects a leader of @view includes one of these, and no candidate without the records is
 * promised.  The others may be late, or lost and not replaced yet.
 * If the known view has no more members than a quorum, all members must follow this leader first: a former
 * leader that the store has confirmed may answer until then (store_confirms_leader()), as it relies on being
 * part of every quorum. */
static gboolean
are_enough_caught_up (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerView *view)
{
  guint count = count_with_all_records (group, now_us, view);
  if (group->view->members.members_len > group->limits.quorum)
    return count >= quince_ledger_group_get_quorum (group, view);
  return count == view->members.members_len && !leaves_out_answering_leader (group, now_us, view);
}

static QuinceLedgerView *
make_leader_proposal (QuinceLedgerGroup *group, gint64 now_us)
{
  /* A member has promised a greater epoch to another replica: this one must be elected again. */
  if (group->refused_epoch > group->view->epoch)
    return make_takeover_view (group);
  g_autoptr (QuinceLedgerView) view = quince_ledger_view_copy (group->view);
  if (quince_ledger_group_is_unpublished (group))
    return g_steal_pointer (&view);
  gboolean changed = add_joiners (group, now_us, view);
  changed = remove_silent_and_excluded (group, now_us, view) || changed;
  changed = changed || rebalance_zones (group, now_us, view);
  changed = changed || propose_handover (group, view);
  /* Without a change, writes the same members under a new revision if a proposal has an unknown outcome, or
   * if members were asked to acknowledge a change that is no longer needed.  The new revision voids both. The
   * same if they can acknowledge no further change of this revision. */
  gboolean is_change_open
      = group->proposal_may_apply || group->outstanding->len > 0 || group->wanted_view != NULL;
  if ((!changed && is_change_open) || group->outstanding->len >= QUINCE_LEDGER_CHANGE_VIEWS_MAX)
    return quince_ledger_view_copy (group->view);
  gboolean caught_up = changed && are_enough_caught_up (group, now_us, view);
  return caught_up && quince_ledger_group_has_change_acks (group, now_us, view) ? g_steal_pointer (&view)
                                                                                : NULL;
}

/* ---- Proposals --------------------------------------------------------- */

/* Returns whether @view was not among the outstanding views before. */
static gboolean
record_proposal (QuinceLedgerGroup *group, const QuinceLedgerView *view)
{
  return !quince_ledger_view_has_same_members (group->view, view)
         && quince_ledger_view_list_add (group->outstanding, view);
}

QuinceLedgerView *
quince_ledger_group_propose (QuinceLedgerGroup *group, gint64 now_us, guint64 *expected_revision)
{
  if (group->proposal != NULL || !group->view_is_read || now_us < group->next_proposal_us)
    return NULL;
  QuinceLedgerView *view = NULL;
  if (group->role == QUINCE_LEDGER_LEADER)
    view = make_leader_proposal (group, now_us);
  else if (group->role == QUINCE_LEDGER_BACKUP)
    view = make_backup_proposal (group, now_us);
  else if (group->may_bootstrap)
    view = make_initial_view (group);
  if (view == NULL)
    return NULL;
  group->proposal_is_change = group->role == QUINCE_LEDGER_LEADER && record_proposal (group, view);
  group->proposal = quince_ledger_view_copy (view);
  group->proposed_us = now_us;
  *expected_revision = group->revision;
  return view;
}

void
quince_ledger_group_proposal_ended (QuinceLedgerGroup *group,
                                    gint64 now_us,
                                    QuinceProposalOutcome outcome,
                                    guint64 revision)
{
  g_autoptr (QuinceLedgerView) proposal = g_steal_pointer (&group->proposal);
  if (proposal == NULL)
    return;
  if (outcome == QUINCE_PROPOSAL_APPLIED)
    quince_ledger_group_set_view (group, now_us, group->proposed_us, proposal, revision);
  else
    group->next_proposal_us = now_us + PROPOSAL_RETRY_DELAY_US;
  if (outcome == QUINCE_PROPOSAL_UNKNOWN)
    group->proposal_may_apply = TRUE;
  if (outcome == QUINCE_PROPOSAL_NOT_APPLIED && group->proposal_is_change)
    quince_ledger_view_list_remove (group->outstanding, proposal);
}
