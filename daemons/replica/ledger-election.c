/*
 * ledger-election.c: campaigns, promises, queries and announcements of a new leader.
 */
#include "ledger-election.h"

#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/metrics.h"

/* Interval of queries to all members, and of announcements of a leader, us.  A replica finds a new leader in
 * less than half of the 1 s leader timeout.  A query costs two small messages per member. */
#define QUERY_MEMBERS_INTERVAL_US (440 * 1000)
/* Interval of queries to the leader, us.  Limits reconnects to a leader of an older version, which closes the
 * link on this message. */
#define QUERY_LEADER_INTERVAL_US (1000 * 1000)

struct _QuinceLedgerElection
{
  /* All fields belong to the main context. */
  guint64 replica;                                /* replica id of this process */
  QuinceLedgerGroup *group;                       /* borrowed */
  QuinceLedgerStorage *storage;                   /* borrowed */
  QuinceLedgerMemberLinks *links;                 /* borrowed */
  QuinceMetaStore *store;                         /* borrowed */
  const QuinceLedgerElectionCallbacks *callbacks; /* borrowed */
  gpointer user_data;

  gint64 last_query_us;        /* when the last query was sent */
  gint64 last_announcement_us; /* when this leader last announced itself because the store was unreachable */
};

QuinceLedgerElection *
quince_ledger_election_new (guint64 replica,
                            QuinceLedgerGroup *group,
                            QuinceLedgerStorage *storage,
                            QuinceLedgerMemberLinks *links,
                            QuinceMetaStore *store,
                            const QuinceLedgerElectionCallbacks *callbacks,
                            gpointer user_data)
{
  QuinceLedgerElection *election = g_new0 (QuinceLedgerElection, 1);
  election->replica = replica;
  election->group = group;
  election->storage = storage;
  election->links = links;
  election->store = store;
  election->callbacks = callbacks;
  election->user_data = user_data;
  return election;
}

void
quince_ledger_election_free (QuinceLedgerElection *election)
{
  g_free (election);
}

/* ---- Campaigns and promises --------------------------------------------- */

/* Returns: (transfer container) (element-type QuinceLedgerMember): all electors but this replica; valid until
 * the group changes */
static GPtrArray *
list_other_electors (const QuinceLedgerElection *election)
{
  GPtrArray *electors = g_ptr_array_new ();
  quince_ledger_group_list_electors (election->group, electors);
  for (guint i = electors->len; i > 0; i--)
    if (((const QuinceLedgerMember *)electors->pdata[i - 1])->replica == election->replica)
      g_ptr_array_remove_index (electors, i - 1);
  return electors;
}

void
quince_ledger_election_campaign (QuinceLedgerElection *election)
{
  guint64 epoch = quince_ledger_group_campaign (election->group, quince_now_us ());
  if (epoch == 0)
    return;
  const QuinceLogEnd end = quince_ledger_storage_get_log_end (election->storage);
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_ASK };
  QuinceLedgerAsk *request = &message.QuinceMessage_u.ledger_ask;
  request->epoch = epoch;
  request->replica = election->replica;
  request->last_index = end.index;
  request->last_epoch = end.epoch;
  g_autoptr (GPtrArray) electors = list_other_electors (election);
  for (guint i = 0; i < electors->len; i++)
    quince_ledger_member_links_send (election->links, electors->pdata[i], &message);
}

static void
send_promise (QuinceLedgerElection *election, QuinceLink *link, const QuinceLedgerAsk *request)
{
  const QuinceLogEnd end = quince_ledger_storage_get_log_end (election->storage);
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_PROMISE };
  QuinceLedgerPromise *promise = &message.QuinceMessage_u.ledger_promise;
  promise->epoch = request->epoch;
  promise->replica = election->replica;
  promise->last_index = end.index;
  promise->last_epoch = end.epoch;
  quince_log_info ("promise_given", "to=%" G_GUINT64_FORMAT " epoch=%" G_GUINT64_FORMAT,
                   (guint64)request->replica, (guint64)request->epoch);
  quince_link_send (link, &message);
}

void
quince_ledger_election_handle_promise_request (QuinceLedgerElection *election,
                                               QuinceLink *link,
                                               const QuinceLedgerAsk *request)
{
  const QuinceLogEnd end = { .epoch = request->last_epoch, .index = request->last_index };
  if (!quince_ledger_group_grant_promise (election->group, quince_now_us (), request->replica, request->epoch,
                                          &end)
      || !quince_ledger_storage_save_state (election->storage, "promise"))
    return;
  election->callbacks->role_changed (election->user_data);
  send_promise (election, link, request);
}

void
quince_ledger_election_handle_promise (QuinceLedgerElection *election, const QuinceLedgerPromise *promise)
{
  const QuinceLogEnd end = { .epoch = promise->last_epoch, .index = promise->last_index };
  quince_log_info ("promise_got",
                   "from=%" G_GUINT64_FORMAT " epoch=%" G_GUINT64_FORMAT " index=%" G_GUINT64_FORMAT,
                   (guint64)promise->replica, (guint64)promise->epoch, end.index);
  quince_ledger_group_handle_promise (election->group, quince_now_us (), promise->replica, promise->epoch,
                                      &end);
  election->callbacks->propose_view_change (election->user_data);
  quince_ledger_election_try_lead_without_store (election);
}

/* ---- Announcements of the leader ----------------------------------------- */

/* Sends the view and the leader that this replica knows to @members (element-type QuinceLedgerMember). */
static void
send_lead (QuinceLedgerElection *election, const GPtrArray *members)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_LEAD };
  quince_ledger_group_get_lead (election->group, &message.QuinceMessage_u.ledger_lead);
  for (guint i = 0; i < members->len; i++)
    quince_ledger_member_links_send (election->links, members->pdata[i], &message);
}

/* Announces this leader to the electors that are not connected as its backups. */
static void
announce_lead (QuinceLedgerElection *election)
{
  g_autoptr (GPtrArray) electors = list_other_electors (election);
  for (guint i = electors->len; i > 0; i--)
    {
      const QuinceLedgerMember *member = electors->pdata[i - 1];
      if (election->callbacks->is_backup (member->replica, election->user_data))
        g_ptr_array_remove_index (electors, i - 1);
    }
  send_lead (election, electors);
}

/* Announces this leader repeatedly while the store is unreachable.  A member that restarts then knows no
 * view, and so no member to query. */
static void
announce_lead_while_store_fails (QuinceLedgerElection *election, gint64 now_us)
{
  if (!quince_meta_store_is_failing (election->store)
      || now_us - election->last_announcement_us < QUERY_MEMBERS_INTERVAL_US)
    return;
  election->last_announcement_us = now_us;
  announce_lead (election);
}

void
quince_ledger_election_try_lead_without_store (QuinceLedgerElection *election)
{
  gboolean store_fails = quince_meta_store_is_failing (election->store);
  if (!quince_ledger_group_try_lead_without_store (election->group, quince_now_us (), store_fails))
    return;
  /* This replica's own promise must be on disk before it leads. */
  quince_ledger_storage_save_state_or_abort (election->storage);
  const QuinceLedgerView *view = quince_ledger_group_get_view (election->group);
  quince_log_notice ("ledger_led_without_store", "epoch=%" G_GUINT64_FORMAT " members=%u store=%s",
                     (guint64)view->epoch, view->members.members_len, store_fails ? "away" : "slow");
  quince_metric_add ("quince_replica_led_without_store_total", "", 1);
  election->callbacks->role_changed (election->user_data);
  announce_lead (election);
}

/* ---- Membership changes --------------------------------------------------- */

/* Asks all members to acknowledge the change that this leader wants to propose, if any. */
static void
request_change_acks (QuinceLedgerElection *election, gint64 now_us)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_CHANGE_REQUEST };
  if (!quince_ledger_group_get_change_request (election->group, now_us,
                                               &message.QuinceMessage_u.ledger_change_request))
    return;
  const QuinceLedgerView *view = quince_ledger_group_get_view (election->group);
  for (guint i = 0; i < view->members.members_len; i++)
    if (view->members.members_val[i].replica != election->replica)
      quince_ledger_member_links_send (election->links, &view->members.members_val[i], &message);
}

/* Sends the changes that this replica has acknowledged, if any. */
static void
send_change_ack (QuinceLedgerElection *election, QuinceLink *link)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_CHANGE_ACK };
  if (quince_ledger_group_get_change_ack (election->group, &message.QuinceMessage_u.ledger_change_ack))
    quince_link_send (link, &message);
}

void
quince_ledger_election_handle_change_request (QuinceLedgerElection *election,
                                              QuinceLink *link,
                                              const QuinceLedgerChangeRequest *request)
{
  quince_ledger_group_handle_change_request (election->group, quince_now_us (), request);
  if (!quince_ledger_storage_save_state (election->storage, "note"))
    return;
  election->callbacks->role_changed (election->user_data);
  send_change_ack (election, link);
}

void
quince_ledger_election_handle_change_ack (QuinceLedgerElection *election, const QuinceLedgerChangeAck *ack)
{
  quince_ledger_group_handle_change_ack (election->group, quince_now_us (), ack);
  election->callbacks->propose_view_change (election->user_data);
  quince_ledger_election_try_lead_without_store (election);
}

/* ---- Queries ------------------------------------------------------------ */

/* Returns the minimum interval between two queries of this kind, in microseconds. */
static gint64
get_query_interval_us (QuinceLedgerQueryKind kind)
{
  if (kind == QUINCE_LEDGER_QUERY_LEADER)
    return QUERY_LEADER_INTERVAL_US;
  return kind == QUINCE_LEDGER_QUERY_MEMBERS ? QUERY_MEMBERS_INTERVAL_US : 0;
}

void
quince_ledger_election_query (QuinceLedgerElection *election, gboolean is_leader)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_QUERY };
  gint64 now_us = quince_now_us ();
  QuinceLedgerQueryKind kind = quince_ledger_group_get_query (election->group, now_us,
                                                              quince_meta_store_is_failing (election->store),
                                                              &message.QuinceMessage_u.ledger_query);
  quince_ledger_member_links_close_idle (election->links);
  if (is_leader)
    {
      announce_lead_while_store_fails (election, now_us);
      request_change_acks (election, now_us);
    }
  if (kind == QUINCE_LEDGER_QUERY_NONE || now_us - election->last_query_us < get_query_interval_us (kind))
    return;
  election->last_query_us = now_us;
  const QuinceLedgerView *view = quince_ledger_group_get_view (election->group);
  g_autoptr (GPtrArray) electors = list_other_electors (election);
  for (guint i = 0; i < electors->len; i++)
    {
      const QuinceLedgerMember *member = electors->pdata[i];
      if (kind != QUINCE_LEDGER_QUERY_LEADER || member->replica == view->primary)
        quince_ledger_member_links_send (election->links, member, &message);
    }
  /* A member that restarted while the store is unreachable knows no view, and can promise nothing. */
  if (kind == QUINCE_LEDGER_QUERY_VOTES)
    send_lead (election, electors);
}

void
quince_ledger_election_handle_query (QuinceLedgerElection *election,
                                     QuinceLink *link,
                                     const QuinceLedgerQuery *query)
{
  quince_ledger_group_handle_query (election->group, quince_now_us (), query);
  if (!quince_ledger_storage_save_state (election->storage, "note"))
    return;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_LEAD };
  if (!quince_ledger_group_get_lead (election->group, &message.QuinceMessage_u.ledger_lead))
    return;
  quince_link_send (link, &message);
  /* A front, whose replica id is 0, only needs the leader. */
  if (query->replica != 0)
    send_change_ack (election, link);
}

/* Returns the epoch of the known view, or 0 if no view is known. */
static guint64
get_current_epoch (const QuinceLedgerElection *election)
{
  const QuinceLedgerView *view = quince_ledger_group_get_view (election->group);
  return view != NULL ? view->epoch : 0;
}

void
quince_ledger_election_handle_lead (QuinceLedgerElection *election, const QuinceLedgerLead *lead)
{
  guint64 previous_epoch = get_current_epoch (election);
  quince_ledger_group_handle_lead (election->group, quince_now_us (), lead);
  if (get_current_epoch (election) != previous_epoch)
    quince_log_info ("ledger_lead_told",
                     "by=%" G_GUINT64_FORMAT " epoch=%" G_GUINT64_FORMAT " primary=%" G_GUINT64_FORMAT
                     " on_revision=%" G_GUINT64_FORMAT,
                     (guint64)lead->replica, (guint64)lead->view.epoch, (guint64)lead->view.primary,
                     (guint64)lead->revision);
  election->callbacks->role_changed (election->user_data);
  election->callbacks->propose_view_change (election->user_data);
  quince_ledger_election_try_lead_without_store (election);
}
