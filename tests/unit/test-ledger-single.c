/*
 * test-ledger-single.c: promises, votes and acknowledgements of a single replica of the ledger.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/group/ledger-change.h"
#include "core/group/ledger-group.h"

#define SELF 1                          /* id of the replica under test */
#define SECOND 2                        /* id of the other member */
#define JOINER 3                        /* id of the replica that joins */
#define START_US (100 * G_USEC_PER_SEC) /* arbitrary start time */
#define REVISION 5                      /* of the view in the store */
#define TICK_US (150 * 1000)            /* interval of the daemon's calls */

static QuinceLedgerMember all_members[] = { { .node = "n1", .address = "n1", .replica = SELF },
                                            { .node = "n2", .address = "n2", .replica = SECOND },
                                            { .node = "n3", .address = "n3", .replica = JOINER } };
static const QuinceLogEnd empty_log = { 0 };

/* Returns a view of the first @n_members members; valid as long as the program. */
static QuinceLedgerView
make_view (guint64 epoch, guint64 leader, guint n_members)
{
  return (QuinceLedgerView){ .epoch = epoch, .primary = leader, .members = { n_members, all_members } };
}

static QuinceLedgerGroup *
new_group (const QuinceLedgerPersistentState *persistent)
{
  const QuinceLedgerLimits limits = { .quorum = 2,
                                      .members_max = 3,
                                      .leader_timeout_us = G_USEC_PER_SEC,
                                      .member_timeout_us = G_USEC_PER_SEC,
                                      .lease_duration_us = 600 * 1000,
                                      .order_pause_us = 3200 * 1000 };
  return quince_ledger_group_new (&all_members[0], &limits, persistent, FALSE, START_US);
}

/* Returns a backup of the leader SECOND of epoch 1, in a view of two members. */
static QuinceLedgerGroup *
new_backup (const QuinceLedgerPersistentState *persistent)
{
  QuinceLedgerGroup *group = new_group (persistent);
  const QuinceLedgerView view = make_view (1, SECOND, 2);
  quince_ledger_group_set_view (group, START_US, START_US, &view, REVISION);
  return group;
}

static QuinceLedgerChangeRequest
make_change_request (QuinceLedgerView *proposed)
{
  *proposed = make_view (1, SECOND, 3);
  return (QuinceLedgerChangeRequest){
    .view = make_view (1, SECOND, 2),
    .change = { .revision = REVISION, .sequence = 1, .proposed = { 1, proposed } }
  };
}

/* Starts a campaign and delivers the promise of SECOND.  Returns: its epoch */
static guint64
campaign_with_promise (QuinceLedgerGroup *group, gint64 now_us)
{
  guint64 epoch = quince_ledger_group_campaign (group, now_us);
  assert_int_not_equal (epoch, 0);
  quince_ledger_group_handle_promise (group, now_us, SECOND, epoch, &empty_log);
  return epoch;
}

/* ---- Acknowledgements ----------------------------------------------------- */

/* A member that has promised a candidate acknowledges no change of the former leader: the candidate may have
 * counted its vote already. */
static void
test_no_acknowledgement_after_promise (void **state)
{
  const QuinceLedgerPersistentState persistent = { 0 };
  QuinceLedgerGroup *group = new_backup (&persistent);
  gint64 now = START_US + 3 * G_USEC_PER_SEC;
  assert_true (quince_ledger_group_grant_promise (group, now, JOINER, 7, &empty_log));
  QuinceLedgerView proposed;
  const QuinceLedgerChangeRequest request = make_change_request (&proposed);
  quince_ledger_group_handle_change_request (group, now, &request);
  QuinceLedgerChangeAck ack;
  assert_false (quince_ledger_group_get_change_ack (group, &ack));
  assert_int_equal (quince_ledger_group_get_persistent_state (group)->noted, 0);
  assert_int_equal (quince_ledger_group_get_persistent_state (group)->promised, 7);
  quince_ledger_group_free (group);
}

/* A replica that restarts still tells which views it has acknowledged. */
static void
test_acknowledgement_outlasts_restart (void **state)
{
  QuinceLedgerPersistentState persistent = { 0 };
  QuinceLedgerGroup *group = new_backup (&persistent);
  QuinceLedgerView proposed;
  const QuinceLedgerChangeRequest request = make_change_request (&proposed);
  quince_ledger_group_handle_change_request (group, START_US, &request);
  quince_ledger_persistent_state_assign (&persistent, quince_ledger_group_get_persistent_state (group));
  quince_ledger_group_free (group);
  group = new_backup (&persistent);
  QuinceLedgerChangeAck ack;
  assert_true (quince_ledger_group_get_change_ack (group, &ack));
  assert_int_equal (ack.change.revision, REVISION);
  assert_true (quince_ledger_change_has_view (&ack.change, &proposed));
  quince_ledger_group_free (group);
  quince_ledger_persistent_state_clear (&persistent);
}

/* Returns whether SELF leads without the store after SECOND has voted for it.  @noted: revision of the change
 * that SECOND has acknowledged; it tells no views */
static gboolean
leads_with_vote (QuinceLedgerGroup *group, guint64 noted)
{
  gint64 now = START_US + 3 * G_USEC_PER_SEC;
  guint64 epoch = campaign_with_promise (group, now);
  const QuinceLedgerLead vote = { .revision = REVISION,
                                  .view = make_view (1, SECOND, 2),
                                  .replica = SECOND,
                                  .promised = epoch,
                                  .promised_to = SELF,
                                  .noted = noted,
                                  .answered = 1,
                                  .shown_epoch = 1,
                                  .shown_primary = SECOND,
                                  .shown_answers = TRUE };
  quince_ledger_group_handle_lead (group, now, &vote);
  gboolean leads = quince_ledger_group_try_lead_without_store (group, now + G_USEC_PER_SEC, TRUE);
  quince_ledger_group_free (group);
  return leads;
}

/* A vote counts only if the changes that its sender has acknowledged are known.  A build before change
 * requests tells a revision without views. */
static void
test_vote_with_unknown_change (void **state)
{
  const QuinceLedgerPersistentState persistent = { 0 };
  assert_true (leads_with_vote (new_backup (&persistent), REVISION - 1));
  assert_false (leads_with_vote (new_backup (&persistent), REVISION));
  assert_false (leads_with_vote (new_backup (&persistent), REVISION + 1));
}

/* The same for a change that the candidate has acknowledged itself, before or after a change request. */
static void
test_own_unknown_change (void **state)
{
  const QuinceLedgerPersistentState noted = { .promised = 1, .noted = REVISION };
  assert_false (leads_with_vote (new_backup (&noted), 0));
  const QuinceLedgerPersistentState persistent = { 0 };
  QuinceLedgerGroup *group = new_backup (&persistent);
  QuinceLedgerView proposed;
  const QuinceLedgerChangeRequest request = make_change_request (&proposed);
  quince_ledger_group_handle_change_request (group, START_US, &request);
  const QuinceLedgerQuery query = { .revision = REVISION, .epoch = 1, .replica = SECOND, .changing = TRUE };
  quince_ledger_group_handle_query (group, START_US, &query);
  assert_false (leads_with_vote (group, 0));
}

/* ---- Candidates ------------------------------------------------------------ */

/* A candidate that needs nobody else's promise does not promise itself before the store has answered it: it
 * would refuse its leader, which it hears again, until the store is back. */
static void
test_candidate_without_store_follows_leader (void **state)
{
  const QuinceLedgerPersistentState persistent = { 0 };
  QuinceLedgerGroup *group = new_backup (&persistent);
  gint64 now = START_US + 3 * G_USEC_PER_SEC;
  guint64 expected = 0;
  assert_int_not_equal (quince_ledger_group_campaign (group, now), 0);
  assert_null (quince_ledger_group_propose (group, now, &expected));
  assert_true (quince_ledger_group_needs_store_read (group));
  assert_true (quince_ledger_group_accept_leader (group, now, 1));
  quince_ledger_group_free (group);
}

/* A former leader that restarts without the store learns the view from a candidate.  It knows no workers, so
 * it lets the other members campaign first.  Guards against samples that nobody runs until the store is back.
 */
static void
test_restarted_leader_without_store_campaigns_last (void **state)
{
  const QuinceLedgerPersistentState persistent = { .promised = 1 };
  QuinceLedgerGroup *group = new_group (&persistent);
  const QuinceLedgerLead lead = { .revision = REVISION,
                                  .view = make_view (1, SELF, 3),
                                  .replica = SECOND,
                                  .promised = 1,
                                  .answered = 1,
                                  .shown_epoch = 1,
                                  .shown_primary = SELF,
                                  .shown_answers = TRUE };
  quince_ledger_group_handle_lead (group, START_US, &lead);
  assert_int_equal (quince_ledger_group_campaign (group, START_US), 0);
  assert_int_equal (quince_ledger_group_campaign (group, START_US + 1500 * 1000), 0);
  assert_int_not_equal (quince_ledger_group_campaign (group, START_US + 2 * G_USEC_PER_SEC), 0);
  quince_ledger_group_free (group);
}

/* Returns the vote of @replica, which has acknowledged nothing, for SELF in @epoch. */
static QuinceLedgerLead
make_vote (guint64 replica, guint64 epoch)
{
  return (QuinceLedgerLead){ .revision = REVISION,
                             .view = make_view (1, SECOND, 2),
                             .replica = replica,
                             .promised = epoch,
                             .promised_to = SELF,
                             .answered = 1,
                             .shown_epoch = 1,
                             .shown_primary = SECOND,
                             .shown_answers = TRUE };
}

/* A replica that an outstanding view lacks leads with the votes of a quorum of others in that view, and steps
 * down when that view turns out to be in force: its own promise and records do not count there. */
static void
test_leader_outside_view_steps_down (void **state)
{
  const QuinceLedgerPersistentState persistent = { 0 };
  QuinceLedgerGroup *group = new_backup (&persistent);
  gint64 now = START_US + 3 * G_USEC_PER_SEC;
  guint64 epoch = campaign_with_promise (group, now);
  QuinceLedgerView without_self = { .epoch = 1, .primary = SECOND, .members = { 2, &all_members[1] } };
  const QuinceLedgerChangeAck ack = { .replica = SECOND,
                                      .promised = epoch,
                                      .promised_to = SELF,
                                      .change = { .revision = REVISION, .proposed = { 1, &without_self } } };
  const QuinceLedgerLead second_vote = make_vote (SECOND, epoch);
  quince_ledger_group_handle_lead (group, now, &second_vote);
  quince_ledger_group_handle_change_ack (group, now, &ack);
  assert_false (quince_ledger_group_try_lead_without_store (group, now, TRUE));
  quince_ledger_group_handle_promise (group, now, JOINER, epoch, &empty_log);
  const QuinceLedgerLead joiner_vote = make_vote (JOINER, epoch);
  quince_ledger_group_handle_lead (group, now, &joiner_vote);
  assert_true (quince_ledger_group_try_lead_without_store (group, now, TRUE));
  assert_int_equal (quince_ledger_group_get_role (group), QUINCE_LEDGER_LEADER);
  quince_ledger_group_set_view (group, now, now, &without_self, REVISION + 1);
  assert_int_equal (quince_ledger_group_get_role (group), QUINCE_LEDGER_BACKUP);
  quince_ledger_group_free (group);
}

/* ---- Leaders ---------------------------------------------------------------- */

/* Returns the leader of epoch 2 in a view of two members, whose only other member has just answered. */
static QuinceLedgerGroup *
new_leader (gint64 now_us)
{
  const QuinceLedgerPersistentState persistent = { 0 };
  QuinceLedgerGroup *group = new_backup (&persistent);
  guint64 epoch = campaign_with_promise (group, now_us);
  const QuinceLedgerView view = make_view (1, SECOND, 2);
  quince_ledger_group_set_view (group, now_us, now_us, &view, REVISION);
  guint64 expected = 0;
  g_autoptr (QuinceLedgerView) takeover = quince_ledger_group_propose (group, now_us, &expected);
  assert_non_null (takeover);
  quince_ledger_group_proposal_ended (group, now_us, QUINCE_PROPOSAL_APPLIED, REVISION + 1);
  assert_int_equal (quince_ledger_group_get_role (group), QUINCE_LEDGER_LEADER);
  const QuinceLogEnd end = { .epoch = epoch, .index = 1 };
  quince_ledger_group_set_log_end (group, &end);
  quince_ledger_group_peer_joined (group, now_us, &all_members[1]);
  quince_ledger_group_peer_acked (group, SECOND, 1, now_us);
  return group;
}

/* A leader that was suspended does not promise a candidate whose request it finds when it goes on, until it
 * has had the time to regain its lease. */
static void
test_resumed_leader_regains_lease (void **state)
{
  gint64 now = START_US + 3 * G_USEC_PER_SEC;
  QuinceLedgerGroup *group = new_leader (now);
  const QuinceLogEnd end = { .epoch = 2, .index = 1 };
  quince_ledger_group_campaign (group, now);
  now += 1300 * 1000;
  assert_false (quince_ledger_group_grant_promise (group, now, SECOND, 7, &end));
  quince_ledger_group_peer_acked (group, SECOND, 1, now);
  assert_false (quince_ledger_group_grant_promise (group, now + TICK_US, SECOND, 7, &end));
  quince_ledger_group_campaign (group, now + TICK_US);
  now += 1300 * 1000;
  assert_false (quince_ledger_group_grant_promise (group, now, SECOND, 9, &end));
  assert_true (quince_ledger_group_grant_promise (group, now + 4 * TICK_US, SECOND, 9, &end));
  quince_ledger_group_free (group);
}

/* Once the members can acknowledge no further view of a revision, the leader proposes the members as they
 * are, which gives them a new revision. */
static void
test_many_changes_of_one_revision (void **state)
{
  gint64 now = START_US + 3 * G_USEC_PER_SEC;
  QuinceLedgerGroup *group = new_leader (now);
  guint64 expected = 0;
  for (guint i = 0; i < QUINCE_LEDGER_CHANGE_VIEWS_MAX; i++)
    {
      const QuinceLedgerMember joiner = { .node = "n3", .address = "n3", .replica = JOINER + i };
      quince_ledger_group_peer_joined (group, now, &joiner);
      quince_ledger_group_peer_acked (group, joiner.replica, 1, now);
      quince_ledger_group_peer_acked (group, SECOND, 1, now);
      g_autoptr (QuinceLedgerView) view = quince_ledger_group_propose (group, now, &expected);
      assert_non_null (view);
      assert_int_equal (view->members.members_len, 3);
      quince_ledger_group_proposal_ended (group, now, QUINCE_PROPOSAL_UNKNOWN, 0);
      quince_ledger_group_peer_left (group, joiner.replica);
      now += 3 * TICK_US;
    }
  g_autoptr (QuinceLedgerView) view = quince_ledger_group_propose (group, now, &expected);
  assert_non_null (view);
  assert_int_equal (view->members.members_len, 2);
  quince_ledger_group_free (group);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_no_acknowledgement_after_promise),
                                      cmocka_unit_test (test_acknowledgement_outlasts_restart),
                                      cmocka_unit_test (test_vote_with_unknown_change),
                                      cmocka_unit_test (test_own_unknown_change),
                                      cmocka_unit_test (test_candidate_without_store_follows_leader),
                                      cmocka_unit_test (test_restarted_leader_without_store_campaigns_last),
                                      cmocka_unit_test (test_leader_outside_view_steps_down),
                                      cmocka_unit_test (test_resumed_leader_regains_lease),
                                      cmocka_unit_test (test_many_changes_of_one_revision) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
