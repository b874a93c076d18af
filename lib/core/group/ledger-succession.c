/*
 * ledger-succession.c: leader election without the metadata store: queries and votes.
 *
 * Members change in the store only.  Before a leader changes them, enough members have acknowledged the
 * change for every quorum of votes to include one of them (ledger-change-acks.c).  A vote tells which changes
 * its sender has acknowledged, so a candidate knows every view that may be in force, and leads once it has a
 * quorum of votes in each of them.
 */
#include "ledger-group-private.h"

/* How long a campaign runs before the candidate queries the members.  Half of the campaign timeout. */
#define QUERY_DELAY_US (300 * 1000)

/* ---- Queries ---------------------------------------------------------- */

QuinceLedgerQueryKind
quince_ledger_group_get_query (const QuinceLedgerGroup *group,
                               gint64 now_us,
                               gboolean store_fails,
                               QuinceLedgerQuery *query)
{
  if (group->view == NULL)
    return QUINCE_LEDGER_QUERY_NONE;
  *query = (QuinceLedgerQuery){ .revision = group->revision,
                                .epoch = group->view->epoch,
                                .replica = group->self.replica };
  gboolean is_campaigning = group->campaign_epoch != 0;
  if (is_campaigning && (store_fails || now_us - group->campaign_us >= QUERY_DELAY_US))
    return QUINCE_LEDGER_QUERY_VOTES;
  /* A leader without contact to a quorum sends no heartbeats.  An answer to the query either lets it resume
   * them or names the new leader. */
  if (group->role == QUINCE_LEDGER_LEADER)
    return group->refused_epoch > group->view->epoch
                   || !quince_ledger_group_has_quorum_contact (group, now_us)
               ? QUINCE_LEDGER_QUERY_MEMBERS
               : QUINCE_LEDGER_QUERY_NONE;
  if (now_us - group->leader_contact_us >= group->limits.leader_timeout_us)
    return QUINCE_LEDGER_QUERY_MEMBERS;
  return group->change_ack_epoch < group->view->epoch && group->view->primary != group->self.replica
             ? QUINCE_LEDGER_QUERY_LEADER
             : QUINCE_LEDGER_QUERY_NONE;
}

void
quince_ledger_group_handle_query (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerQuery *query)
{
  if (query->changing && quince_ledger_group_follows (group, query->replica, query->epoch))
    quince_ledger_group_acknowledge_unknown (group, query->revision);
}

gboolean
quince_ledger_group_get_lead (const QuinceLedgerGroup *group, QuinceLedgerLead *lead)
{
  if (group->view == NULL)
    return FALSE;
  *lead = (QuinceLedgerLead){ .revision = group->revision,
                              .view = *group->view,
                              .replica = group->self.replica,
                              .promised = group->persistent.promised,
                              .promised_to = group->promised_to,
                              .noted = group->persistent.noted,
                              .answered = group->change_ack_epoch,
                              .shown_epoch = group->store_epoch,
                              .shown_primary = group->store_primary,
                              .shown_answers = group->store_leader_collects_acks };
  return TRUE;
}

/* ---- Votes ------------------------------------------------------------ */

void
quince_ledger_group_add_vote (QuinceLedgerGroup *group,
                              guint64 replica,
                              guint64 promised,
                              guint64 promised_to)
{
  if (group->campaign_epoch != 0 && promised == group->campaign_epoch && promised_to == group->self.replica
      && quince_replica_list_has (group->campaign_promises, replica))
    quince_replica_list_add (group->votes, replica);
}

/* Counts the vote of a member that has promised this campaign and has acknowledged no change of this
 * revision. The vote of a member that has acknowledged one counts once it has told which. */
static void
record_vote (QuinceLedgerGroup *group, const QuinceLedgerLead *lead)
{
  if (lead->noted < group->revision && lead->revision <= group->revision)
    quince_ledger_group_add_vote (group, lead->replica, lead->promised, lead->promised_to);
}

/* Returns whether enough members have voted for this replica to lead in each view that may be in force. */
static gboolean
has_votes (const QuinceLedgerGroup *group)
{
  return quince_ledger_group_is_elected (group) && quince_ledger_group_knows_acknowledged (group)
         && quince_ledger_group_get_greatest_epoch (group) < group->campaign_epoch
         && quince_ledger_group_have_votes_in_all_views (group, group->votes);
}

static gboolean
may_lead_without_store (const QuinceLedgerGroup *group, gint64 now_us, gboolean store_fails)
{
  if (group->campaign_epoch == 0 || !group->store_leader_collects_acks || !has_votes (group))
    return FALSE;
  return store_fails || now_us - group->elected_us >= QUINCE_LEDGER_STORE_TIMEOUT_US;
}

gboolean
quince_ledger_group_try_lead_without_store (QuinceLedgerGroup *group, gint64 now_us, gboolean store_fails)
{
  if (group->campaign_epoch != 0)
    quince_ledger_group_learn_acknowledged (group);
  if (!may_lead_without_store (group, now_us, store_fails) || !quince_ledger_group_promise_self (group))
    return FALSE;
  QuinceLedgerView *view = quince_ledger_view_copy (group->view);
  view->epoch = group->campaign_epoch;
  view->primary = group->self.replica;
  group->proposed_epoch = view->epoch;
  quince_ledger_group_adopt_view (group, now_us, view);
  return TRUE;
}

gboolean
quince_ledger_group_is_unpublished (const QuinceLedgerGroup *group)
{
  return group->role == QUINCE_LEDGER_LEADER
         && (group->store_epoch != group->view->epoch || group->store_primary != group->view->primary);
}

/* ---- Answers of other replicas ----------------------------------------- */

/* Takes over what the sender knows about the leader in the store, if both replicas know the same revision. */
static void
merge_store_lead (QuinceLedgerGroup *group, const QuinceLedgerLead *lead)
{
  group->change_ack_epoch = MAX (group->change_ack_epoch, lead->answered);
  if (lead->revision != group->revision)
    return;
  if (group->store_epoch == 0)
    {
      group->store_epoch = lead->shown_epoch;
      group->store_primary = lead->shown_primary;
    }
  group->store_leader_collects_acks = group->store_leader_collects_acks || lead->shown_answers
                                      || (group->store_epoch != 0 && lead->answered == group->store_epoch);
}

/* Returns a new view with the members of the newer revision and the leader of the greater epoch. */
static QuinceLedgerView *
merge_views (const QuinceLedgerGroup *group, const QuinceLedgerLead *lead)
{
  const QuinceLedgerView *known = group->view;
  QuinceLedgerView *view = quince_ledger_view_copy (lead->revision > group->revision ? &lead->view : known);
  const QuinceLedgerView *latest = known == NULL || lead->view.epoch > known->epoch ? &lead->view : known;
  view->epoch = latest->epoch;
  view->primary = latest->primary;
  return view;
}

/* Rejects malformed messages.  Epochs and revisions never decrease, so an invalid value would make this
 * replica ignore all later views in the store. */
static gboolean
is_valid_lead (const QuinceLedgerLead *lead)
{
  return lead->revision > 0 && lead->replica != 0 && lead->view.epoch > 0 && lead->view.primary != 0
         && lead->view.members.members_len > 0;
}

void
quince_ledger_group_handle_lead (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerLead *lead)
{
  group->last_campaign = MAX (group->last_campaign, lead->promised);
  quince_ledger_group_record_contact (group, lead->replica, now_us);
  merge_store_lead (group, lead);
  record_vote (group, lead);
  if (!is_valid_lead (lead))
    return;
  gboolean has_newer_revision = lead->revision > group->revision;
  if (!has_newer_revision && (group->view == NULL || lead->view.epoch <= group->view->epoch))
    return;
  QuinceLedgerView *view = merge_views (group, lead);
  if (has_newer_revision)
    {
      quince_ledger_group_begin_revision (group, lead->revision);
      group->store_epoch = lead->shown_epoch;
      group->store_primary = lead->shown_primary;
      group->store_leader_collects_acks = lead->shown_answers;
    }
  quince_ledger_group_adopt_view (group, now_us, view);
}
