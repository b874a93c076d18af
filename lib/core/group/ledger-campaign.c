/*
 * ledger-campaign.c: promises, given and asked for.
 *
 * A campaign changes nothing at the candidate: only a member that promises stops following the former leader.
 * The candidate promises itself last, once enough others have.
 */
#include "ledger-group-private.h"

/* Backups begin to campaign this long after each other, us, in the order of the view, so that they do not
 * compete. Not measured: longer than the exchange of a request and a promise that is on the disk. */
#define RANK_DELAY_US (250 * 1000)
/* How long a campaign goes on with one epoch, us; also the pause after a promise to another candidate.  Not
 * measured: longer than two steps of rank. */
#define CAMPAIGN_TIMEOUT_US (600 * 1000)

/* For so many promises in a row to one candidate a replica puts off its own campaign.  A candidate that asks
 * on hears no promise, as across a link that passes messages one way only; one that is only slow, or waits
 * for the store, has won by then: three campaigns are 1.8 s. */
#define CAMPAIGN_DEFERRALS_MAX 3

static gboolean
is_ahead (const QuinceLogEnd *end, const QuinceLogEnd *other)
{
  return end->epoch != other->epoch ? end->epoch > other->epoch : end->index > other->index;
}

/* The place of this replica among the backups; the leader itself comes after them.  No two have the same one:
 * members that campaign at the same moments promise each other, and neither goes on. */
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

/* ---- Promises that are given ------------------------------------------ */

gboolean
quince_ledger_group_accept_leader (QuinceLedgerGroup *group, gint64 now_us, guint64 epoch)
{
  if (group->view == NULL || group->role == QUINCE_LEDGER_LEADER || epoch != group->view->epoch
      || epoch < group->persistent.promised)
    return FALSE;
  /* A replica that has acknowledged a record follows no older leader, also after a restart. */
  if (group->persistent.promised != epoch)
    group->promised_to = 0;
  group->persistent.promised = epoch;
  group->leader_contact_us = now_us;
  quince_ledger_group_end_campaign (group);
  return TRUE;
}

/* The promise that the disk had when this process was started is no later than the lead that it knows: it has
 * not followed another leader then, which might still act on its answers.  Since its start it has followed
 * only leaders that it knew. */
static gboolean
has_current_lead (const QuinceLedgerGroup *group)
{
  return group->promised_at_start <= group->view->epoch;
}

/* The leader that is followed may campaign at once: the lease that its backups gave is its own. */
static gboolean
follows_other_leader (const QuinceLedgerGroup *group, gint64 now_us, guint64 replica)
{
  gboolean is_own_leader = replica == group->view->primary && has_current_lead (group);
  return !is_own_leader && now_us - group->leader_contact_us < group->limits.leader_timeout_us;
}

/* A leader that no quorum follows any more promises too: it may have been suspended while another one led,
 * and the candidate that knows all needs its promise. */
static gboolean
is_active_leader (const QuinceLedgerGroup *group, gint64 now_us)
{
  return group->role == QUINCE_LEDGER_LEADER
         && (now_us - group->leading_since_us < group->limits.leader_timeout_us
             || quince_ledger_group_has_leader_lease (group, now_us));
}

/* A candidate that lacks records of this log is refused: this replica campaigns itself soon. */
gboolean
quince_ledger_group_grant_promise (QuinceLedgerGroup *group,
                                   gint64 now_us,
                                   guint64 replica,
                                   guint64 epoch,
                                   const QuinceLogEnd *end)
{
  if (group->view == NULL || is_active_leader (group, now_us))
    return FALSE;
  if (epoch == group->persistent.promised && replica == group->promised_to)
    return TRUE; /* its answer was lost */
  /* Its own next campaign must be above the epochs that others may promise meanwhile. */
  group->last_campaign = MAX (group->last_campaign, epoch);
  if (follows_other_leader (group, now_us, replica) || epoch <= group->persistent.promised
      || epoch <= group->view->epoch || quince_ledger_group_is_elected (group)
      || is_ahead (&group->log_end, end))
    return FALSE;
  group->consecutive_promises = replica == group->promised_to ? group->consecutive_promises + 1 : 1;
  group->persistent.promised = epoch;
  group->promised_to = replica;
  /* From now on it commits nothing in a lower epoch. */
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

/* ---- The campaign of this replica ------------------------------------- */

void
quince_ledger_group_end_campaign (QuinceLedgerGroup *group)
{
  group->campaign_epoch = 0;
  group->elected_us = 0;
  group->vote_refused = FALSE;
  g_array_set_size (group->campaign_promises, 0);
  g_array_set_size (group->votes, 0);
}

/* How long the leader must have been silent before this replica campaigns, us; -1: it does not campaign. */
static gint64
get_required_silence_us (const QuinceLedgerGroup *group)
{
  if (group->role == QUINCE_LEDGER_WAITING || !quince_ledger_group_has_member (group, group->self.replica))
    return -1;
  if (group->role == QUINCE_LEDGER_LEADER)
    return group->refused_epoch > group->view->epoch ? 0 : -1;
  /* It led until its restart, or was handed the lead. */
  if (group->view->primary == group->self.replica && has_current_lead (group))
    return 0;
  return group->limits.leader_timeout_us + (gint64)get_own_rank (group) * RANK_DELAY_US;
}

guint64
quince_ledger_group_campaign (QuinceLedgerGroup *group, gint64 now_us)
{
  gint64 silence_us = get_required_silence_us (group);
  if (silence_us < 0 || (silence_us > 0 && now_us - group->leader_contact_us < silence_us))
    return 0;
  if (group->campaign_epoch != 0 && now_us - group->campaign_us < CAMPAIGN_TIMEOUT_US)
    return group->campaign_epoch; /* the requests may have been lost */
  if (group->campaign_epoch == 0 && now_us < group->campaign_us)
    return 0;
  quince_ledger_group_end_campaign (group);
  /* Above all epochs that are known: a member that promised an earlier campaign promises this one too. */
  guint64 max_known_epoch = MAX (MAX (group->view->epoch, group->persistent.promised), group->refused_epoch);
  group->last_campaign = MAX (max_known_epoch, group->last_campaign) + 1;
  group->campaign_epoch = group->last_campaign;
  group->campaign_us = now_us;
  return group->campaign_epoch;
}

void
quince_ledger_group_handle_promise (QuinceLedgerGroup *group,
                                    gint64 now_us,
                                    guint64 replica,
                                    guint64 epoch,
                                    const QuinceLogEnd *end)
{
  if (group->campaign_epoch == 0 || epoch != group->campaign_epoch
      || !quince_ledger_group_has_member (group, replica))
    return;
  if (is_ahead (end, &group->log_end))
    {
      /* The other one must lead: it may have committed records that this log lacks. */
      quince_ledger_group_end_campaign (group);
      group->campaign_us = now_us + 2 * CAMPAIGN_TIMEOUT_US;
      return;
    }
  quince_replica_list_add (group->campaign_promises, replica);
  if (group->elected_us == 0 && quince_ledger_group_is_elected (group))
    group->elected_us = now_us;
}

gboolean
quince_ledger_group_is_elected (const QuinceLedgerGroup *group)
{
  if (group->campaign_epoch == 0 || group->view == NULL)
    return FALSE;
  guint members = group->view->members.members_len;
  guint promises_needed = members > group->limits.quorum ? members - group->limits.quorum : 0;
  return group->campaign_promises->len >= promises_needed;
}
