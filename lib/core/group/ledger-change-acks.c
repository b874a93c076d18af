/*
 * ledger-change-acks.c: acknowledgements of membership changes.
 *
 * Before a leader writes a view with other members to the store, enough members acknowledge that view for
 * every quorum of votes to include one of them, each with the view on its disk.  A member that has promised a
 * candidate acknowledges nothing more of the former leader.
 */
#include "ledger-group-private.h"

/* ---- At a member ------------------------------------------------------- */

/* Returns what a change request tells of the leader, as if the leader had answered a query. */
static QuinceLedgerLead
make_lead (const QuinceLedgerChangeRequest *request)
{
  return (QuinceLedgerLead){ .revision = request->change.revision,
                             .view = request->view,
                             .replica = request->view.primary,
                             .promised = request->view.epoch,
                             .answered = request->view.epoch,
                             .shown_epoch = request->view.epoch,
                             .shown_primary = request->view.primary,
                             .shown_answers = TRUE };
}

void
quince_ledger_group_handle_change_request (QuinceLedgerGroup *group,
                                           gint64 now_us,
                                           const QuinceLedgerChangeRequest *request)
{
  const QuinceLedgerLead lead = make_lead (request);
  quince_ledger_group_handle_lead (group, now_us, &lead);
  if (request->change.revision != group->revision
      || !quince_ledger_group_follows (group, request->view.primary, request->view.epoch))
    return;
  quince_ledger_group_promise_followed_leader (group);
  quince_ledger_group_acknowledge (group, &request->change);
}

gboolean
quince_ledger_group_get_change_ack (const QuinceLedgerGroup *group, QuinceLedgerChangeAck *ack)
{
  if (group->view == NULL || !quince_ledger_group_has_acknowledged_views (group))
    return FALSE;
  *ack = (QuinceLedgerChangeAck){ .replica = group->self.replica,
                                  .promised = group->persistent.promised,
                                  .promised_to = group->promised_to,
                                  .change = *group->acknowledged };
  return TRUE;
}

/* ---- At a leader or candidate ------------------------------------------ */

/* Returns whether this leader can complete a change: otherwise, each view that may be in force would have to
 * elect the next leader.  Without a quorum lease, members that are enough to acknowledge the change and an
 * answer of the store suffice: lost members must be replaceable even if no quorum of them is left. */
static gboolean
may_start_change (const QuinceLedgerGroup *group, gint64 now_us)
{
  guint needed = quince_ledger_group_get_change_acks_needed (group, group->view);
  return needed <= 1 || quince_ledger_group_has_quorum_lease (group, now_us)
         || (quince_ledger_group_has_store_contact (group, now_us)
             && quince_ledger_group_count_lease_members (group, now_us) >= needed);
}

static gboolean
is_wanted (const QuinceLedgerGroup *group, const QuinceLedgerView *proposed)
{
  return group->wanted_view != NULL && group->wanted_view->primary == proposed->primary
         && quince_ledger_view_has_same_members (group->wanted_view, proposed);
}

/* Acknowledges, as the leader, the view @wanted and the proposed views that may be in force.  A view that was
 * wanted before and not written is left out.  Returns: whether that was possible */
static gboolean
acknowledge_wanted (QuinceLedgerGroup *group, const QuinceLedgerView *wanted)
{
  gboolean has_earlier = quince_ledger_group_has_acknowledged_views (group);
  g_autoptr (QuinceLedgerChange) change = quince_ledger_change_new (group->revision);
  change->sequence = has_earlier ? group->acknowledged->sequence + 1 : 1;
  for (guint i = 0; i < group->outstanding->len; i++)
    if (!quince_ledger_change_add_view (change, group->outstanding->pdata[i]))
      return FALSE;
  if (!quince_ledger_change_add_view (change, wanted))
    return FALSE;
  quince_ledger_group_acknowledge (group, change);
  return quince_ledger_change_has_view (group->acknowledged, wanted);
}

gboolean
quince_ledger_group_has_change_acks (QuinceLedgerGroup *group,
                                     gint64 now_us,
                                     const QuinceLedgerView *proposed)
{
  guint needed = quince_ledger_group_get_change_acks_needed (group, group->view);
  if (needed == 0 || quince_ledger_view_has_same_members (group->view, proposed))
    return TRUE;
  if (!is_wanted (group, proposed))
    {
      if (!may_start_change (group, now_us) || !acknowledge_wanted (group, proposed))
        return FALSE;
      quince_ledger_view_free (group->wanted_view);
      group->wanted_view = quince_ledger_view_copy (proposed);
      g_array_set_size (group->change_acks, 0);
    }
  return group->change_acks->len + 1 >= needed;
}

gboolean
quince_ledger_group_get_change_request (const QuinceLedgerGroup *group,
                                        gint64 now_us,
                                        QuinceLedgerChangeRequest *request)
{
  if (group->role != QUINCE_LEDGER_LEADER || group->wanted_view == NULL || !may_start_change (group, now_us)
      || quince_ledger_group_is_unpublished (group) || !quince_ledger_group_has_acknowledged_views (group))
    return FALSE;
  *request = (QuinceLedgerChangeRequest){ .view = *group->view, .change = *group->acknowledged };
  return TRUE;
}

/* Counts the acknowledgement of the latest change alone: the member that sent an earlier one may since have
 * acknowledged a change without the wanted view. */
static void
record_change_ack (QuinceLedgerGroup *group, const QuinceLedgerChangeAck *ack)
{
  if (group->role == QUINCE_LEDGER_LEADER && group->wanted_view != NULL && ack->promised == group->view->epoch
      && ack->replica != group->self.replica && quince_ledger_group_has_member (group, ack->replica)
      && quince_ledger_group_has_acknowledged_views (group)
      && ack->change.sequence == group->acknowledged->sequence)
    quince_replica_list_add (group->change_acks, ack->replica);
}

void
quince_ledger_group_handle_change_ack (QuinceLedgerGroup *group,
                                       gint64 now_us,
                                       const QuinceLedgerChangeAck *ack)
{
  group->last_campaign = MAX (group->last_campaign, ack->promised);
  quince_ledger_group_record_contact (group, ack->replica, now_us);
  if (group->view == NULL || ack->change.revision != group->revision)
    return;
  record_change_ack (group, ack);
  if (group->campaign_epoch == 0)
    return;
  quince_ledger_group_learn_change (group, &ack->change);
  quince_ledger_group_add_vote (group, ack->replica, ack->promised, ack->promised_to);
}
