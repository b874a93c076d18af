/*
 * ledger-campaign.c: promises that this replica grants, and its own campaign.
 *
 * Only a member that grants a promise stops following the former leader; starting a campaign does not change
 * whom the candidate follows.  The candidate promises its own epoch last, after enough other members have.
 */
#include "ledger-group-private.h"

/* Delay between the campaign starts of successive backups, in the order of the view, so that they do not
 * compete.  Longer than a round trip that includes a write to disk. */
#define RANK_DELAY_US (250 * 1000)
/* How long a campaign requests promises for one epoch before it starts over with a greater one.  Also the
 * delay of a replica's own campaign after it promises another candidate.  Longer than two rank delays. */
#define CAMPAIGN_TIMEOUT_US (600 * 1000)

/* How often the campaign timeout is doubled at most, after successive campaigns without a leader: up to 2.4
 * s. If all processes are late, promises and a write to the store take longer than the first timeout, and
 * each new campaign would void the promises of the one that is about to succeed. */
#define CAMPAIGN_TIMEOUT_DOUBLINGS_MAX 2

/* How long a leader that notices the loss of its lease tries to regain it before it promises others.  Three
 * heartbeat intervals: a query of the members, their answers and one heartbeat. */
#define LEASE_REGAIN_US (450 * 1000)

/* How many successive promises to one candidate delay this replica's own campaign.  A candidate that still
 * asks after that does not receive the promises, for example because its link works in one direction only.  A
 * candidate that is only slow, or waits for the metadata store, has won by then: three campaigns are 1.8 s.
 */
#define CAMPAIGN_DEFERRALS_MAX 3

static gboolean
is_ahead (const QuinceLogEnd *end, const QuinceLogEnd *other)
{
  return end->epoch != other->epoch ? end->epoch > other->epoch : end->index > other->index;
}

/* Returns the index of this replica among the backups of the view; the leader comes last.  Ranks are unique:
 * members that campaign at the same time would promise each other and both end their campaigns. */
static guint
get_own_rank (const QuinceLedgerGroup *group)
{
  if (group->view->primary == group->self.replica)
    return group->view->members.members_len;
  guint rank = 0;
  for (guint i = 0; i < group->view->members.members_len; i++)
    {
      guint64 replica = group->view->members.members_val[i].replica;
      if (replica == group->self.replica)
        break;
      rank += replica != group->view->primary;
    }
  return rank;
}

/* ---- Granting promises ------------------------------------------------- */

gboolean
quince_ledger_group_accept_leader (QuinceLedgerGroup *group, gint64 now_us, guint64 epoch)
{
  if (group->view == NULL || group->role == QUINCE_LEDGER_LEADER || epoch != group->view->epoch
      || epoch < group->persistent.promised)
    return FALSE;
  /* After it has acknowledged a record, a replica must not follow an older leader, even after a restart. */
  if (group->persistent.promised != epoch)
    group->promised_to = 0;
  group->persistent.promised = epoch;
  group->leader_contact_us = now_us;
  group->failed_campaigns = 0;
  quince_ledger_group_end_campaign (group);
  return TRUE;
}

/* Returns %TRUE if the epoch promised before the start of this process is not greater than that of the known
 * view.  Otherwise this replica may have followed a newer leader that still relies on its acknowledgements.
 */
static gboolean
has_current_lead (const QuinceLedgerGroup *group)
{
  return group->promised_at_start <= group->view->epoch;
}

/* Returns %TRUE if this replica still follows a leader other than @replica.  The current leader is exempt:
 * this replica's acknowledgements support no lease but its own. */
static gboolean
follows_other_leader (const QuinceLedgerGroup *group, gint64 now_us, guint64 replica)
{
  gboolean is_own_leader = replica == group->view->primary && has_current_lead (group);
  return !is_own_leader && now_us - group->leader_contact_us < group->limits.leader_timeout_us;
}

/* Returns %TRUE if this replica is a leader that must not grant promises.  A leader that has lost its lease
 * grants them: it may have been suspended, and the most up-to-date candidate may need its promise. */
static gboolean
is_active_leader (const QuinceLedgerGroup *group, gint64 now_us)
{
  return group->role == QUINCE_LEDGER_LEADER
         && (now_us - group->leading_since_us < group->limits.leader_timeout_us
             || quince_ledger_group_has_leader_lease (group, now_us));
}

/* Notes when a leader first finds that it has lost its lease. */
static void
update_lease_loss (QuinceLedgerGroup *group, gint64 now_us)
{
  gboolean has_lease
      = group->role == QUINCE_LEDGER_LEADER && quince_ledger_group_has_leader_lease (group, now_us);
  if (has_lease)
    group->failed_campaigns = 0;
  if (group->role != QUINCE_LEDGER_LEADER || has_lease)
    group->lease_lost_us = 0;
  else if (group->lease_lost_us == 0)
    group->lease_lost_us = now_us;
}

/* Returns %TRUE if this leader may still regain its lease.  A leader that was suspended finds a candidate's
 * requests before it has sent a heartbeat, although the members may still follow it. */
static gboolean
may_regain_lease (const QuinceLedgerGroup *group, gint64 now_us)
{
  return group->lease_lost_us != 0 && now_us - group->lease_lost_us < LEASE_REGAIN_US
         && group->refused_epoch <= group->view->epoch;
}

/* Returns %TRUE if this replica was elected a moment ago and may be leader as soon as the store answers. Once
 * the store has had its time, it promises others: otherwise two candidates that are both elected, for example
 * in a view of as many members as a quorum, would refuse each other until the store is back. */
static gboolean
is_about_to_lead (const QuinceLedgerGroup *group, gint64 now_us)
{
  return quince_ledger_group_is_elected (group)
         && now_us - group->elected_us < QUINCE_LEDGER_STORE_TIMEOUT_US;
}

/* Refuses a candidate that lacks records of this log; this replica soon starts its own campaign. */
gboolean
quince_ledger_group_grant_promise (QuinceLedgerGroup *group,
                                   gint64 now_us,
                                   guint64 replica,
                                   guint64 epoch,
                                   const QuinceLogEnd *end)
{
  if (group->view == NULL)
    return FALSE;
  update_lease_loss (group, now_us);
  if (is_active_leader (group, now_us) || may_regain_lease (group, now_us))
    return FALSE;
  if (epoch == group->persistent.promised && replica == group->promised_to)
    return TRUE; /* repeated request, the answer may have been lost */
  /* The next campaign of this replica must use a greater epoch than other members may have promised. */
  group->last_campaign = MAX (group->last_campaign, epoch);
  if (follows_other_leader (group, now_us, replica) || epoch <= group->persistent.promised
      || epoch <= group->view->epoch || is_about_to_lead (group, now_us) || is_ahead (&group->log_end, end))
    return FALSE;
  group->consecutive_promises = replica == group->promised_to ? group->consecutive_promises + 1 : 1;
  group->persistent.promised = epoch;
  group->promised_to = replica;
  /* A former leader must not commit records in a lower epoch after the promise. */
  group->role = QUINCE_LEDGER_BACKUP;
  quince_ledger_group_end_campaign (group);
  if (group->consecutive_promises <= CAMPAIGN_DEFERRALS_MAX)
    group->campaign_us = now_us + CAMPAIGN_TIMEOUT_US + (gint64)get_own_rank (group) * RANK_DELAY_US;
  return TRUE;
}

gboolean
quince_ledger_group_promise_self (QuinceLedgerGroup *group)
{
  if (group->campaign_epoch == group->persistent.promised)
    return group->promised_to == group->self.replica;
  if (group->campaign_epoch < group->persistent.promised)
    return FALSE;
  group->persistent.promised = group->campaign_epoch;
  group->promised_to = group->self.replica;
  return TRUE;
}

/* ---- Campaigning ------------------------------------------------------- */

void
quince_ledger_group_end_campaign (QuinceLedgerGroup *group)
{
  group->campaign_epoch = 0;
  group->elected_us = 0;
  g_array_set_size (group->campaign_promises, 0);
  g_array_set_size (group->votes, 0);
}

/* Returns how long the leader must have been silent before this replica campaigns, or -1 if it does not
 * campaign. */
static gint64
get_required_silence_us (const QuinceLedgerGroup *group)
{
  if (group->role == QUINCE_LEDGER_WAITING || !quince_ledger_group_has_member (group, group->self.replica))
    return -1;
  if (group->role == QUINCE_LEDGER_LEADER)
    return group->refused_epoch > group->view->epoch ? 0 : -1;
  /* This replica was the leader before its restart, or the former leader handed over to it.  One that has not
   * read the store since it started knows no workers: the others, which do, campaign first. */
  if (group->view->primary == group->self.replica && has_current_lead (group) && group->view_is_read)
    return 0;
  return group->limits.leader_timeout_us + (gint64)get_own_rank (group) * RANK_DELAY_US;
}

static gint64
get_campaign_timeout_us (const QuinceLedgerGroup *group)
{
  return (gint64)CAMPAIGN_TIMEOUT_US << MIN (group->failed_campaigns, CAMPAIGN_TIMEOUT_DOUBLINGS_MAX);
}

guint64
quince_ledger_group_campaign (QuinceLedgerGroup *group, gint64 now_us)
{
  update_lease_loss (group, now_us);
  gint64 silence_us = get_required_silence_us (group);
  if (silence_us < 0 || (silence_us > 0 && now_us - group->leader_contact_us < silence_us))
    {
      group->campaigning_since_us = 0;
      return 0;
    }
  if (group->campaigning_since_us == 0)
    group->campaigning_since_us = now_us;
  if (group->campaign_epoch != 0 && now_us - group->campaign_us < get_campaign_timeout_us (group))
    return group->campaign_epoch; /* send the requests again, they may have been lost */
  if (group->campaign_epoch == 0 && now_us < group->campaign_us)
    return 0;
  group->failed_campaigns += group->campaign_epoch != 0 && group->was_promised;
  group->was_promised = FALSE;
  quince_ledger_group_end_campaign (group);
  /* Use an epoch above all known ones, so that members that promised an earlier campaign can promise this
   * one. */
  quince_ledger_group_learn_acknowledged (group);
  guint64 max_known_epoch = MAX (
      MAX (quince_ledger_group_get_greatest_epoch (group), group->persistent.promised), group->refused_epoch);
  group->last_campaign = MAX (max_known_epoch, group->last_campaign) + 1;
  group->campaign_epoch = group->last_campaign;
  group->campaign_us = now_us;
  if (quince_ledger_group_is_elected (group))
    group->elected_us = now_us;
  return group->campaign_epoch;
}

void
quince_ledger_group_handle_promise (QuinceLedgerGroup *group,
                                    gint64 now_us,
                                    guint64 replica,
                                    guint64 epoch,
                                    const QuinceLogEnd *end)
{
  group->was_promised = TRUE;
  if (group->campaign_epoch == 0 || epoch != group->campaign_epoch
      || !quince_ledger_group_is_in_any_view (group, replica))
    return;
  if (is_ahead (end, &group->log_end))
    {
      /* The other member must become leader: its log may have committed records that this one lacks. */
      quince_ledger_group_end_campaign (group);
      group->campaign_us = now_us + 2 * CAMPAIGN_TIMEOUT_US;
      return;
    }
  quince_replica_list_add (group->campaign_promises, replica);
  if (group->elected_us == 0 && quince_ledger_group_is_elected (group))
    group->elected_us = now_us;
}

/* Returns how many other members must promise before this replica may write itself into the store as leader.
 */
static guint
get_promises_needed (const QuinceLedgerGroup *group)
{
  guint members = group->view->members.members_len;
  return members > group->limits.quorum ? members - group->limits.quorum : 0;
}

gboolean
quince_ledger_group_needs_store_read (const QuinceLedgerGroup *group)
{
  return group->campaign_epoch != 0 && get_promises_needed (group) == 0
         && group->confirmed_us < group->campaigning_since_us - QUINCE_LEDGER_STORE_TIMEOUT_US;
}

gboolean
quince_ledger_group_is_elected (const QuinceLedgerGroup *group)
{
  if (group->campaign_epoch == 0 || group->view == NULL)
    return FALSE;
  guint others_needed = get_promises_needed (group);
  guint self_counted = quince_ledger_group_has_member (group, group->self.replica);
  return quince_ledger_group_count_members (group, group->view, group->campaign_promises)
         >= others_needed + self_counted;
}
