/*
 * ledger-quorums.c: quorums of the views that may be in force: the known one and the outstanding ones.
 */
#include "ledger-group-private.h"

guint
quince_ledger_group_get_quorum (const QuinceLedgerGroup *group, const QuinceLedgerView *view)
{
  return MIN (group->limits.quorum, view->members.members_len);
}

/* Returns: how many members of @view must elect a leader without the store.  Any two sets of this size
 * overlap, and each overlaps with any set of promises that allows a write to the store and with any quorum.
 */
static guint
get_votes_needed (const QuinceLedgerGroup *group, const QuinceLedgerView *view)
{
  return MAX (group->limits.quorum, view->members.members_len / 2 + 1);
}

guint
quince_ledger_group_get_change_acks_needed (const QuinceLedgerGroup *group, const QuinceLedgerView *view)
{
  guint members = view->members.members_len;
  guint votes = get_votes_needed (group, view);
  return members >= votes ? members - votes + 1 : 0;
}

guint
quince_ledger_group_count_members (const QuinceLedgerGroup *group,
                                   const QuinceLedgerView *view,
                                   const GArray *replicas)
{
  guint count = 0;
  for (guint i = 0; i < view->members.members_len; i++)
    {
      guint64 replica = view->members.members_val[i].replica;
      count += replica == group->self.replica || quince_replica_list_has (replicas, replica);
    }
  return count;
}

static gboolean
have_votes (const QuinceLedgerGroup *group, const QuinceLedgerView *view, const GArray *replicas)
{
  return quince_ledger_group_count_members (group, view, replicas) >= get_votes_needed (group, view);
}

gboolean
quince_ledger_group_have_votes_in_all_views (const QuinceLedgerGroup *group, const GArray *replicas)
{
  for (guint i = 0; i < group->outstanding->len; i++)
    if (!have_votes (group, group->outstanding->pdata[i], replicas))
      return FALSE;
  return have_votes (group, group->view, replicas);
}

gboolean
quince_ledger_group_is_in_any_view (const QuinceLedgerGroup *group, guint64 replica)
{
  for (guint i = 0; i < group->outstanding->len; i++)
    if (quince_ledger_view_find (group->outstanding->pdata[i], replica) != NULL)
      return TRUE;
  return quince_ledger_view_find (group->view, replica) != NULL;
}

gboolean
quince_ledger_group_is_change_outstanding (const QuinceLedgerGroup *group)
{
  return group->outstanding->len > 0;
}

guint64
quince_ledger_group_get_greatest_epoch (const QuinceLedgerGroup *group)
{
  guint64 epoch = group->view->epoch;
  for (guint i = 0; i < group->outstanding->len; i++)
    epoch = MAX (epoch, ((const QuinceLedgerView *)group->outstanding->pdata[i])->epoch);
  return epoch;
}

static gboolean
has_member_listed (const GPtrArray *members, guint64 replica)
{
  for (guint i = 0; i < members->len; i++)
    if (((const QuinceLedgerMember *)members->pdata[i])->replica == replica)
      return TRUE;
  return FALSE;
}

void
quince_ledger_group_list_electors (const QuinceLedgerGroup *group, GPtrArray *members)
{
  const QuinceLedgerView *view = group->view;
  for (guint i = 0; view != NULL && i < view->members.members_len; i++)
    g_ptr_array_add (members, &view->members.members_val[i]);
  for (guint i = 0; i < group->outstanding->len; i++)
    {
      const QuinceLedgerView *outstanding = group->outstanding->pdata[i];
      for (guint j = 0; j < outstanding->members.members_len; j++)
        if (!has_member_listed (members, outstanding->members.members_val[j].replica))
          g_ptr_array_add (members, &outstanding->members.members_val[j]);
    }
}
