/*
 * ledger-roles.c: the current view of this replica and its role in that view.
 */
#include "ledger-group-private.h"

/* Returns %TRUE if no other replica can have given orders to workers since this one did, or if this replica
 * wrote the first view.  Any replica that gave orders had a record of its epoch on a quorum, so the log of
 * every later leader contains that record. */
static gboolean
was_last_to_order (const QuinceLedgerGroup *group, const QuinceLedgerView *previous)
{
  return previous == NULL
         || (group->persistent.ordered != 0 && group->persistent.ordered == group->log_end.epoch);
}

static void
become_leader (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerView *previous)
{
  gboolean was_leader = group->role == QUINCE_LEDGER_LEADER;
  group->role = QUINCE_LEDGER_LEADER;
  group->led_epoch = group->view->epoch;
  group->change_ack_epoch = MAX (group->change_ack_epoch, group->view->epoch);
  group->store_leader_collects_acks
      = group->store_leader_collects_acks || group->store_epoch == group->change_ack_epoch;
  /* As in Raft, records of older epochs are committed only together with one of the leader's own epoch. */
  group->recovery_index = group->log_end.index + 1;
  group->commit_index = 0;
  if (!was_leader)
    group->orders_blocked_until_us
        = was_last_to_order (group, previous) ? now_us : now_us + group->limits.order_pause_us;
  group->leading_since_us = now_us;
  group->wrote_first_view = previous == NULL;
  group->refused_epoch = 0;
  g_hash_table_remove_all (group->peers);
}

static void
update_role (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerView *previous)
{
  const QuinceLedgerView *view = group->view;
  /* A leader that was elected without the store may not be a member of the view that the store then turns out
   * to hold.  It steps down, and the members elect one of them. */
  gboolean is_primary
      = view->primary == group->self.replica && quince_ledger_group_has_member (group, group->self.replica);
  if (is_primary && group->led_epoch == view->epoch)
    return; /* already the leader of this epoch */
  if (is_primary && group->proposed_epoch == view->epoch && group->persistent.promised <= view->epoch)
    {
      /* This process proposed the epoch itself and has promised no greater one. */
      become_leader (group, now_us, previous);
      return;
    }
  if (group->role == QUINCE_LEDGER_LEADER)
    g_hash_table_remove_all (group->peers);
  group->role = QUINCE_LEDGER_BACKUP;
  if (previous == NULL || previous->epoch != view->epoch)
    group->leader_contact_us = now_us;
}

void
quince_ledger_group_adopt_view (QuinceLedgerGroup *group, gint64 now_us, QuinceLedgerView *view)
{
  g_autoptr (QuinceLedgerView) previous = group->view;
  group->view = view;
  /* The promises were requested from the members of the former view. */
  quince_ledger_group_end_campaign (group);
  update_role (group, now_us, previous);
}

/* Proposals based on the former revision can no longer be applied. */
void
quince_ledger_group_begin_revision (QuinceLedgerGroup *group, guint64 revision)
{
  group->revision = revision;
  g_ptr_array_set_size (group->outstanding, 0);
  group->outstanding_sequence = 0;
  g_array_set_size (group->change_acks, 0);
  g_clear_pointer (&group->wanted_view, quince_ledger_view_free);
  group->proposal_is_change = FALSE;
  group->proposal_may_apply = FALSE;
}

/* Keeps the known epoch and leader if @view does not have a greater epoch: members may have elected a leader
 * without the store. */
static void
retain_newer_lead (QuinceLedgerView *view, const QuinceLedgerView *known)
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
  gboolean is_new = revision > group->revision || (revision == group->revision && group->store_epoch == 0);
  if (view == NULL || !is_new)
    return;
  group->store_leader_collects_acks
      = view->epoch == group->change_ack_epoch
        || (group->store_leader_collects_acks && view->epoch == group->store_epoch);
  group->store_epoch = view->epoch;
  group->store_primary = view->primary;
  group->confirmed_us = requested_us;
  if (revision > group->revision)
    quince_ledger_group_begin_revision (group, revision);
  QuinceLedgerView *adopted = quince_ledger_view_copy (view);
  retain_newer_lead (adopted, group->view);
  quince_ledger_group_adopt_view (group, now_us, adopted);
}
