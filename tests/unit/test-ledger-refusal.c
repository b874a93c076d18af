/*
 * test-ledger-refusal.c: why a replica of the batch ledger may not answer calls or accept changes.
 *
 * Operators and fronts tell causes of refused reads apart by these reasons.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/group/ledger-group.h"

#define START_US (100 * G_USEC_PER_SEC)

static const QuinceLedgerLimits limits = { .quorum = 2,
                                           .members_max = 3,
                                           .leader_timeout_us = G_USEC_PER_SEC,
                                           .member_timeout_us = G_USEC_PER_SEC,
                                           .lease_duration_us = 600 * 1000,
                                           .order_pause_us = 3200 * 1000 };
static const QuinceLedgerMember members[] = { { .node = "n1", .address = "n1", .replica = 1 },
                                              { .node = "n2", .address = "n2", .replica = 2 },
                                              { .node = "n3", .address = "n3", .replica = 3 } };

static void
assert_refusals (QuinceLedgerGroup *group,
                 gint64 now_us,
                 QuinceLedgerRefusal answer_refusal,
                 QuinceLedgerRefusal accept_refusal)
{
  assert_int_equal (quince_ledger_group_get_answer_refusal (group, now_us), answer_refusal);
  assert_int_equal (quince_ledger_group_get_accept_refusal (group, now_us), accept_refusal);
  assert_int_equal (quince_ledger_group_may_answer (group, now_us),
                    answer_refusal == QUINCE_LEDGER_REFUSAL_NONE);
  assert_int_equal (quince_ledger_group_may_accept (group, now_us),
                    accept_refusal == QUINCE_LEDGER_REFUSAL_NONE);
}

/* A replica of a view of @n_members members that has been elected and has written its view to the store. */
static QuinceLedgerGroup *
make_leader (guint n_members)
{
  const QuinceLedgerPersistentState kept = { 0 };
  QuinceLedgerGroup *group = quince_ledger_group_new (&members[0], &limits, &kept, FALSE, 0);
  const QuinceLedgerView view
      = { .epoch = 1, .primary = 2, .members = { n_members, (QuinceLedgerMember *)members } };
  quince_ledger_group_set_view (group, START_US - 3 * G_USEC_PER_SEC, START_US - 3 * G_USEC_PER_SEC, &view,
                                5);
  assert_refusals (group, START_US, QUINCE_LEDGER_REFUSAL_NOT_LEADER, QUINCE_LEDGER_REFUSAL_NOT_LEADER);
  guint64 epoch = quince_ledger_group_campaign (group, START_US);
  quince_ledger_group_set_view (group, START_US, START_US, &view, 5);
  const QuinceLogEnd empty = { 0 };
  quince_ledger_group_handle_promise (group, START_US, 2, epoch, &empty);
  guint64 expected = 0;
  g_autoptr (QuinceLedgerView) takeover = quince_ledger_group_propose (group, START_US, &expected);
  assert_non_null (takeover);
  quince_ledger_group_proposal_ended (group, START_US, QUINCE_PROPOSAL_APPLIED, 6);
  const QuinceLogEnd end = { .epoch = epoch, .index = 1 };
  quince_ledger_group_set_log_end (group, &end);
  quince_ledger_group_peer_joined (group, START_US, &members[1]);
  return group;
}

static void
test_new_leader_of_three (void **state)
{
  QuinceLedgerGroup *group = make_leader (3);
  assert_refusals (group, START_US, QUINCE_LEDGER_REFUSAL_NO_LEASE, QUINCE_LEDGER_REFUSAL_NO_LEASE);
  quince_ledger_group_peer_acked (group, 2, 0, START_US);
  assert_refusals (group, START_US, QUINCE_LEDGER_REFUSAL_EPOCH_UNCOMMITTED,
                   QUINCE_LEDGER_REFUSAL_EPOCH_UNCOMMITTED);
  assert_int_equal (quince_ledger_group_get_recovery_index (group), 1);
  assert_int_equal (quince_ledger_group_count_lease_members (group, START_US), 2);
  quince_ledger_group_peer_acked (group, 2, 1, START_US);
  assert_refusals (group, START_US, QUINCE_LEDGER_REFUSAL_NONE, QUINCE_LEDGER_REFUSAL_NONE);
  gint64 later_us = START_US + limits.lease_duration_us + 1;
  assert_refusals (group, later_us, QUINCE_LEDGER_REFUSAL_NO_LEASE, QUINCE_LEDGER_REFUSAL_NO_LEASE);
  assert_int_equal (quince_ledger_group_count_lease_members (group, later_us), 1);
  quince_ledger_group_free (group);
}

/* The store alone confirms the leader of a view of two, which then answers and cannot commit. */
static void
test_leader_of_two_without_its_member (void **state)
{
  QuinceLedgerGroup *group = make_leader (2);
  quince_ledger_group_peer_acked (group, 2, 1, START_US);
  assert_refusals (group, START_US, QUINCE_LEDGER_REFUSAL_NONE, QUINCE_LEDGER_REFUSAL_NONE);
  gint64 later_us = START_US + limits.lease_duration_us + 1;
  quince_ledger_group_set_view (group, later_us, later_us, quince_ledger_group_get_view (group), 6);
  assert_refusals (group, later_us, QUINCE_LEDGER_REFUSAL_NONE, QUINCE_LEDGER_REFUSAL_NO_QUORUM);
  quince_ledger_group_free (group);
}

static void
test_undecided_handover (void **state)
{
  QuinceLedgerGroup *group = make_leader (3);
  quince_ledger_group_peer_joined (group, START_US, &members[2]);
  quince_ledger_group_peer_acked (group, 2, 1, START_US);
  quince_ledger_group_peer_acked (group, 3, 1, START_US);
  const char *const leaving[] = { "n1", NULL };
  quince_ledger_group_set_draining_nodes (group, leaving);
  guint64 expected = 0;
  assert_null (quince_ledger_group_propose (group, START_US, &expected)); /* a member acknowledges it first */
  QuinceLedgerChangeRequest request;
  assert_true (quince_ledger_group_get_change_request (group, START_US, &request));
  const QuinceLedgerChangeAck ack
      = { .replica = 2, .promised = request.view.epoch, .change = request.change };
  quince_ledger_group_handle_change_ack (group, START_US, &ack);
  g_autoptr (QuinceLedgerView) handover = quince_ledger_group_propose (group, START_US, &expected);
  assert_non_null (handover);
  assert_refusals (group, START_US, QUINCE_LEDGER_REFUSAL_HANDOVER, QUINCE_LEDGER_REFUSAL_HANDOVER);
  quince_ledger_group_proposal_ended (group, START_US, QUINCE_PROPOSAL_NOT_APPLIED, 0);
  assert_refusals (group, START_US, QUINCE_LEDGER_REFUSAL_NONE, QUINCE_LEDGER_REFUSAL_NONE);
  quince_ledger_group_free (group);
}

/* A reason without a name or a status would be a NULL string in a log line, or an answer that fronts pass on
 * to callers as it is. */
static void
test_names_and_statuses (void **state)
{
  for (guint i = 0; i < QUINCE_LEDGER_REFUSAL_COUNT; i++)
    {
      const char *name = quince_ledger_refusal_get_name (i);
      assert_non_null (name);
      for (guint j = 0; j < i; j++)
        assert_string_not_equal (name, quince_ledger_refusal_get_name (j));
      guint status = quince_ledger_refusal_get_status (i);
      assert_true (status == 429 || status == 503 || status == 504);
    }
  assert_int_equal (quince_ledger_refusal_get_status (QUINCE_LEDGER_REFUSAL_LINK_FULL), 429);
  assert_int_equal (quince_ledger_refusal_get_status (QUINCE_LEDGER_REFUSAL_OUTCOME_UNKNOWN), 504);
  assert_int_equal (quince_ledger_refusal_get_status (QUINCE_LEDGER_REFUSAL_NOT_LEADER), 503);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_new_leader_of_three),
    cmocka_unit_test (test_leader_of_two_without_its_member),
    cmocka_unit_test (test_undecided_handover),
    cmocka_unit_test (test_names_and_statuses),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
