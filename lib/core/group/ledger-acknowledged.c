/*
 * ledger-acknowledged.c: the membership changes that this replica has acknowledged, which it keeps on disk.
 */
#include "ledger-group-private.h"

gboolean
quince_ledger_group_follows (const QuinceLedgerGroup *group, guint64 replica, guint64 epoch)
{
  return group->view != NULL && group->role != QUINCE_LEDGER_LEADER && replica == group->view->primary
         && epoch == group->view->epoch && epoch >= group->persistent.promised;
}

void
quince_ledger_group_promise_followed_leader (QuinceLedgerGroup *group)
{
  if (group->persistent.promised == group->view->epoch)
    return;
  group->persistent.promised = group->view->epoch;
  group->promised_to = 0;
}

static void
store_acknowledged (QuinceLedgerGroup *group)
{
  g_clear_pointer (&group->persistent.change, g_bytes_unref);
  if (group->acknowledged != NULL)
    group->persistent.change = quince_ledger_change_encode (group->acknowledged, NULL);
}

void
quince_ledger_group_acknowledge_unknown (QuinceLedgerGroup *group, guint64 revision)
{
  quince_ledger_group_promise_followed_leader (group);
  group->persistent.noted = MAX (group->persistent.noted, revision);
  if (group->acknowledged == NULL || group->acknowledged->revision != revision)
    return;
  g_clear_pointer (&group->acknowledged, quince_ledger_change_free);
  store_acknowledged (group);
}

gboolean
quince_ledger_group_has_acknowledged_views (const QuinceLedgerGroup *group)
{
  return group->acknowledged != NULL && group->acknowledged->revision == group->revision
         && group->persistent.noted == group->revision;
}

void
quince_ledger_group_acknowledge (QuinceLedgerGroup *group, const QuinceLedgerChange *change)
{
  gboolean has_earlier = quince_ledger_group_has_acknowledged_views (group);
  if (!quince_ledger_group_knows_acknowledged (group) || change->revision != group->revision
      || (has_earlier && change->sequence <= group->acknowledged->sequence))
    return;
  quince_ledger_change_free (group->acknowledged);
  group->acknowledged = quince_ledger_change_copy (change);
  store_acknowledged (group);
  group->persistent.noted = group->revision;
}

gboolean
quince_ledger_group_knows_acknowledged (const QuinceLedgerGroup *group)
{
  return group->persistent.noted < group->revision || quince_ledger_group_has_acknowledged_views (group);
}

void
quince_ledger_group_learn_change (QuinceLedgerGroup *group, const QuinceLedgerChange *change)
{
  if (group->role != QUINCE_LEDGER_LEADER)
    {
      if (change->sequence < group->outstanding_sequence)
        return;
      group->outstanding_sequence = change->sequence;
      g_ptr_array_set_size (group->outstanding, 0);
    }
  for (guint i = 0; i < change->proposed.proposed_len; i++)
    quince_ledger_view_list_add (group->outstanding, &change->proposed.proposed_val[i]);
}

void
quince_ledger_group_learn_acknowledged (QuinceLedgerGroup *group)
{
  if (quince_ledger_group_has_acknowledged_views (group))
    quince_ledger_group_learn_change (group, group->acknowledged);
}
