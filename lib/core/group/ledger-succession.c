/*
 * ledger-succession.c: leader election without the metadata store: queries, votes and acknowledgements of
 * membership changes.
 *
 * Members change in the store only.  Before a leader changes them, it has enough members acknowledge the
 * change for every quorum of votes to include one of them.  A candidate that learns of an acknowledged change
 * waits for the store.  So nobody is elected without the store by members that may have been replaced.
 */
#include "ledger-group-private.h"

/* How long an elected candidate waits for its write to the store before it leads without the store. */
#define STORE_TIMEOUT_US (300 * 1000)
/* How long a campaign runs before the candidate queries the members.  Half of the campaign timeout. */
#define QUERY_DELAY_US (300 * 1000)

/* ---- Quorums ---------------------------------------------------------- */

/* Returns how many votes, including its own, a replica needs to become leader without the store.  Any two
 * sets of this size overlap, and each overlaps with any set of promises that allows a write to the store. */
static guint
get_votes_needed (const QuinceLedgerGroup *group)
{
  guint members = group->view->members.members_len;
  return MAX (group->limits.quorum, members / 2 + 1);
}

/* Returns how many members, including the leader, must acknowledge a membership change for every set of votes
 * to include one of them; 0 if the view has too few members for such a set. */
static guint
get_change_acks_needed (const QuinceLedgerGroup *group)
{
  guint members = group->view->members.members_len;
  guint votes = get_votes_needed (group);
  return members >= votes ? members - votes + 1 : 0;
}

/* ---- Acknowledgements of membership changes ----------------------------- */

/* Members that have acknowledged a change elect no leader without the store.  A leader without a quorum lease
 * may be unable to complete the change, and would leave them without a leader. */
static gboolean
may_request_change_acks (const QuinceLedgerGroup *group, gint64 now_us)
{
  return get_change_acks_needed (group) <= 1 || quince_ledger_group_has_quorum_lease (group, now_us);
}

gboolean
quince_ledger_group_has_change_acks (QuinceLedgerGroup *group,
                                     gint64 now_us,
                                     const QuinceLedgerView *proposed)
{
  guint needed = get_change_acks_needed (group);
  if (needed == 0 || quince_ledger_view_has_same_members (group->view, proposed))
    return TRUE;
  if (!may_request_change_acks (group, now_us))
    return group->change_acks->len + 1 >= needed;
  group->wants_change_acks = TRUE;
  group->persistent.noted = MAX (group->persistent.noted, group->revision);
  return group->change_acks->len + 1 >= needed;
}

static void
record_change_ack (QuinceLedgerGroup *group, const QuinceLedgerLead *lead)
{
  if (group->role == QUINCE_LEDGER_LEADER && lead->noted >= group->revision
      && lead->promised == group->view->epoch && quince_ledger_group_has_member (group, lead->replica)
      && lead->replica != group->self.replica)
    quince_replica_list_add (group->change_acks, lead->replica);
}

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
                                .replica = group->self.replica,
                                .changing = group->role == QUINCE_LEDGER_LEADER && group->wants_change_acks
                                            && may_request_change_acks (group, now_us) };
  gboolean is_campaigning = group->campaign_epoch != 0;
  if (is_campaigning && (store_fails || now_us - group->campaign_us >= QUERY_DELAY_US))
    return QUINCE_LEDGER_QUERY_VOTES;
  if (query->changing)
    return QUINCE_LEDGER_QUERY_CHANGE_ACKS;
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
  if (!query->changing || group->view == NULL || group->role == QUINCE_LEDGER_LEADER
      || query->replica != group->view->primary || query->epoch != group->view->epoch
      || query->epoch < group->persistent.promised)
    return;
  if (group->persistent.promised != query->epoch)
    group->promised_to = 0;
  group->persistent.promised = query->epoch;
  group->persistent.noted = MAX (group->persistent.noted, query->revision);
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

/* Counts the vote of a member that has promised this campaign.  The vote is refused if the member has
 * acknowledged a membership change of this revision, or knows a newer revision. */
static void
record_vote (QuinceLedgerGroup *group, const QuinceLedgerLead *lead)
{
  if (group->campaign_epoch == 0 || lead->promised != group->campaign_epoch
      || lead->promised_to != group->self.replica
      || !quince_replica_list_has (group->campaign_promises, lead->replica))
    return;
  if (lead->noted >= group->revision || lead->revision > group->revision)
    group->vote_refused = TRUE;
  else
    quince_replica_list_add (group->votes, lead->replica);
}

static gboolean
may_lead_without_store (const QuinceLedgerGroup *group, gint64 now_us, gboolean store_fails)
{
  if (group->campaign_epoch == 0 || !quince_ledger_group_is_elected (group) || group->vote_refused
      || !group->store_leader_collects_acks || group->persistent.noted >= group->revision)
    return FALSE;
  gboolean store_timed_out = store_fails || now_us - group->elected_us >= STORE_TIMEOUT_US;
  return store_timed_out && group->votes->len + 1 >= get_votes_needed (group);
}

gboolean
quince_ledger_group_try_lead_without_store (QuinceLedgerGroup *group, gint64 now_us, gboolean store_fails)
{
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
  record_change_ack (group, lead);
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
