/*
 * test-ledger-succession.c: leader election of the batch ledger while the metadata store is unreachable, in
 * virtual time.
 *
 * The simulation checks at each step that no two processes lead the same epoch, that every committed record
 * is in the log of every later leader, that a leader that may answer has all committed records, and that no
 * two machines give orders within 3 s.
 */
#include "ledger-faults.h"
#include "ledger-scene.h"
#include "soak-seeds.h"

/* Maximum time until there is a leader with enough members after the last fault is cleared. */
#define CONVERGENCE_MAX_MS 9000

static guint
kill_leader (World *world)
{
  guint leader = (guint)world_find_leader (world);
  world_kill (world, leader);
  return leader;
}

static void
assert_store_shows_leader (World *world)
{
  gint leader = world_find_leader (world);
  assert_int_not_equal (leader, -1);
  assert_int_equal (world_find_node (world, world->view->primary), leader);
  assert_int_equal (world->view->epoch, world->nodes[leader].led_epoch);
}

/* A leader is elected while the store is unreachable. */
static void
test_election_with_store_down (void **state)
{
  guint slowest_ms = 0;
  for (guint32 seed = 1; seed <= 30; seed++)
    {
      World *world = new_settled_world (1000 + seed, seed % 2 == 0 ? 3 : 6, seed % 2 == 0 ? 1 : 2);
      world->store_down = TRUE;
      world_run (world, seed * 37);
      guint former = kill_leader (world);
      guint waited_ms = await_leader (world, former, ELECTION_MAX_MS);
      slowest_ms = MAX (slowest_ms, waited_ms);
      assert_commits_continue (world, 500);
      world->store_down = FALSE;
      world_run (world, 2000);
      assert_store_shows_leader (world);
      world_free (world);
    }
  print_message ("slowest: %u ms\n", slowest_ms);
}

/* An election with the store takes about as long as one without it. */
static void
test_election_with_store_up (void **state)
{
  guint slowest_ms = 0;
  for (guint32 seed = 1; seed <= 30; seed++)
    {
      World *world = new_settled_world (1000 + seed, 3, 1);
      guint former = kill_leader (world);
      guint waited_ms = await_leader (world, former, ELECTION_MAX_MS + 500);
      slowest_ms = MAX (slowest_ms, waited_ms);
      world_run (world, 2000);
      assert_store_shows_leader (world);
      world_free (world);
    }
  print_message ("slowest: %u ms\n", slowest_ms);
}

/* The remaining members cannot reach the store; the former leader restarts and reads from it that it still
 * leads. */
static void
test_election_with_store_unreachable_for_members (void **state)
{
  World *world = new_settled_world (2001, 3, 1);
  guint former = (guint)world_find_leader (world);
  for (guint i = 0; i < world->n_nodes; i++)
    world->store_unreachable[i] = i != former;
  world_kill (world, former);
  await_leader (world, former, ELECTION_MAX_MS);
  assert_commits_continue (world, 500);
  world_start (world, former, FALSE); /* the store still names it as the leader */
  world_run (world, 3000);
  assert_int_not_equal (world_find_leader (world), (gint)former);
  for (guint i = 0; i < world->n_nodes; i++)
    world->store_unreachable[i] = FALSE;
  world_run (world, 3000);
  assert_store_shows_leader (world);
  world_free (world);
}

/* A leader that is partitioned from the members but reaches the store must not answer with stale records. */
static void
test_partitioned_leader_with_store_access (void **state)
{
  for (guint32 seed = 1; seed <= 20; seed++)
    {
      World *world = new_settled_world (3000 + seed, 3, 1);
      guint former = (guint)world_find_leader (world);
      for (guint i = 0; i < world->n_nodes; i++)
        world->store_unreachable[i] = i != former;
      world_cut_off (world, former, TRUE);
      await_leader (world, former, ELECTION_MAX_MS);
      assert_commits_continue (world, 4000);
      world_cut_off (world, former, FALSE);
      assert_commits_continue (world, 3000);
      for (guint i = 0; i < world->n_nodes; i++)
        world->store_unreachable[i] = FALSE;
      world_run (world, 3000);
      assert_store_shows_leader (world);
      world_free (world);
    }
}

/* Successive leaders are suspended and resumed while the store is unreachable. */
static void
test_leaders_freeze_in_sequence (void **state)
{
  World *world = new_settled_world (4001, 3, 1);
  world->store_down = TRUE;
  for (guint round = 0; round < 8; round++)
    {
      guint former = (guint)world_find_leader (world);
      world->nodes[former].frozen = TRUE;
      await_leader (world, former, ELECTION_MAX_MS);
      assert_commits_continue (world, 500);
      world->nodes[former].frozen = FALSE;
      world_run (world, 1500);
      assert_commits_continue (world, 500);
    }
  world->store_down = FALSE;
  world_run (world, 2000);
  assert_store_shows_leader (world);
  world_free (world);
}

/* After all members restart while the store is unreachable, a leader is elected once the store is back. */
static void
test_all_members_restart (void **state)
{
  for (guint32 seed = 1; seed <= 20; seed++)
    {
      World *world = new_settled_world (5000 + seed, 3, 1);
      world->store_down = TRUE;
      guint former = kill_leader (world);
      await_leader (world, former, ELECTION_MAX_MS);
      assert_commits_continue (world, 700);
      for (guint i = 0; i < world->n_nodes; i++)
        world_kill (world, i);
      for (guint i = 0; i < world->n_nodes; i++)
        world_start (world, i, FALSE);
      world_run (world, 500);
      world->store_down = FALSE;
      world_run (world, 5000);
      assert_commits_continue (world, 500);
      assert_store_shows_leader (world);
      world_free (world);
    }
}

/* A member that restarts while the store is unreachable finds the leader and counts towards the quorum again.
 */
static void
test_member_restarts (void **state)
{
  for (guint32 seed = 1; seed <= 20; seed++)
    {
      World *world = new_settled_world (6000 + seed, 3, 1);
      world->store_down = TRUE;
      guint former = kill_leader (world);
      await_leader (world, former, ELECTION_MAX_MS);
      guint other = 3 - former - (guint)world_find_leader (world);
      world_kill (world, other);
      world_run (world, 700);
      world_start (world, other, FALSE);
      world_run (world, 1000);
      assert_commits_continue (world, 500);
      world_start (world, former, FALSE);
      world_run (world, 1000);
      world_kill (world, (guint)world_find_leader (world));
      await_leader (world, WORLD_NODES_MAX, ELECTION_MAX_MS);
      assert_commits_continue (world, 500);
      world_free (world);
    }
}

/* ---- A single replica ------------------------------------------------- */

#define SELF 1                          /* id of the replica under test */
#define SECOND 2                        /* id of another member */
#define THIRD 3                         /* id of another member */
#define START_US (100 * G_USEC_PER_SEC) /* arbitrary start time */

static QuinceLedgerGroup *
make_group (guint64 promised)
{
  static QuinceLedgerMember self = { .node = "n1", .address = "n1", .replica = SELF };
  const QuinceLedgerPersistentState kept = { .promised = promised };
  const QuinceLedgerLimits limits = { .quorum = 2,
                                      .members_max = 3,
                                      .leader_timeout_us = G_USEC_PER_SEC,
                                      .member_timeout_us = G_USEC_PER_SEC,
                                      .lease_duration_us = 600 * 1000,
                                      .order_pause_us = 3200 * 1000 };
  return quince_ledger_group_new (&self, &limits, &kept, FALSE, START_US);
}

static void
set_store_view (QuinceLedgerGroup *group, gint64 now_us, guint64 epoch, guint64 leader, guint64 revision)
{
  static QuinceLedgerMember members[] = { { .node = "n1", .address = "n1", .replica = SELF },
                                          { .node = "n2", .address = "n2", .replica = SECOND },
                                          { .node = "n3", .address = "n3", .replica = THIRD } };
  const QuinceLedgerView view
      = { .epoch = epoch, .primary = leader, .members = { G_N_ELEMENTS (members), members } };
  quince_ledger_group_set_view (group, now_us, now_us, &view, revision);
}

/* Runs a campaign that one promise wins, and proposes the new view.  Returns its epoch. */
static guint64
propose_lead (QuinceLedgerGroup *group, gint64 now_us)
{
  const QuinceLogEnd end = { 0 };
  guint64 epoch = quince_ledger_group_campaign (group, now_us);
  quince_ledger_group_handle_promise (group, now_us, SECOND, epoch, &end);
  guint64 expected = 0;
  g_autoptr (QuinceLedgerView) view = quince_ledger_group_propose (group, now_us, &expected);
  assert_non_null (view);
  assert_int_equal (view->primary, SELF);
  assert_int_equal (view->epoch, epoch);
  assert_int_equal (quince_ledger_group_get_persistent_state (group)->promised, epoch);
  return epoch;
}

/* A replica whose proposal is applied after it has promised a greater epoch to another one must not lead. */
static void
test_late_view_after_later_promise (void **state)
{
  const QuinceLogEnd end = { 0 };
  QuinceLedgerGroup *group = make_group (0);
  set_store_view (group, START_US, 1, THIRD, 5);
  gint64 now = START_US + 3 * G_USEC_PER_SEC;
  guint64 epoch = propose_lead (group, now);
  quince_ledger_group_proposal_ended (group, now, QUINCE_PROPOSAL_UNKNOWN, 0);
  now += G_USEC_PER_SEC;
  quince_ledger_group_campaign (group, now); /* a new campaign discards the earlier promises */
  assert_true (quince_ledger_group_grant_promise (group, now, SECOND, epoch + 5, &end));
  set_store_view (group, now + 1000, epoch, SELF, 6);
  assert_int_equal (quince_ledger_group_get_role (group), QUINCE_LEDGER_BACKUP);
  quince_ledger_group_free (group);
}

/* A replica whose proposal is applied late leads if it has promised no greater epoch. */
static void
test_late_view_without_later_promise (void **state)
{
  QuinceLedgerGroup *group = make_group (0);
  set_store_view (group, START_US, 1, THIRD, 5);
  gint64 now = START_US + 3 * G_USEC_PER_SEC;
  guint64 epoch = propose_lead (group, now);
  quince_ledger_group_proposal_ended (group, now, QUINCE_PROPOSAL_UNKNOWN, 0);
  set_store_view (group, now + 4 * G_USEC_PER_SEC, epoch, SELF, 6);
  assert_int_equal (quince_ledger_group_get_role (group), QUINCE_LEDGER_LEADER);
  quince_ledger_group_free (group);
}

/* A malformed lead message without members, sender, leader, epoch or revision is ignored.  Epochs and
 * revisions never decrease, so its values would never be replaced. */
static void
test_malformed_lead_is_ignored (void **state)
{
  static QuinceLedgerMember member = { .node = "n2", .address = "n2", .replica = SECOND };
  const QuinceLedgerLead leads[] = {
    { .revision = 8, .replica = SECOND, .view = { .epoch = 9, .primary = SECOND } },
    { .revision = 8, .view = { .epoch = 9, .primary = SECOND, .members = { 1, &member } } },
    { .revision = 8, .replica = SECOND, .view = { .epoch = 9, .members = { 1, &member } } },
    { .revision = 8, .replica = SECOND, .view = { .primary = SECOND, .members = { 1, &member } } },
    { .replica = SECOND, .view = { .epoch = 9, .primary = SECOND, .members = { 1, &member } } },
  };
  QuinceLedgerGroup *group = make_group (0);
  set_store_view (group, START_US, 1, THIRD, 5);
  for (guint i = 0; i < G_N_ELEMENTS (leads); i++)
    quince_ledger_group_handle_lead (group, START_US + 1000, &leads[i]);
  assert_int_equal (quince_ledger_group_get_view (group)->epoch, 1);
  assert_int_equal (quince_ledger_group_get_view (group)->members.members_len, 3);
  set_store_view (group, START_US + 2000, 2, THIRD, 6);
  assert_int_equal (quince_ledger_group_get_view (group)->epoch, 2);
  quince_ledger_group_free (group);
}

static QuinceLedgerGroup *
make_leader (gint64 now_us)
{
  QuinceLedgerGroup *group = make_group (0);
  set_store_view (group, START_US, 1, THIRD, 5);
  guint64 epoch = propose_lead (group, now_us);
  quince_ledger_group_proposal_ended (group, now_us, QUINCE_PROPOSAL_APPLIED, 6);
  const QuinceLogEnd end = { .epoch = epoch, .index = 1 };
  quince_ledger_group_set_log_end (group, &end);
  static const QuinceLedgerMember others[] = { { .node = "n2", .address = "n2", .replica = SECOND },
                                               { .node = "n3", .address = "n3", .replica = THIRD } };
  for (guint i = 0; i < G_N_ELEMENTS (others); i++)
    {
      quince_ledger_group_peer_joined (group, now_us, &others[i]);
      quince_ledger_group_peer_acked (group, others[i].replica, 1, now_us);
    }
  assert_true (quince_ledger_group_may_answer (group, now_us));
  return group;
}

/* A leader proposes a membership change only after members have acknowledged it.  After it has proposed a
 * handover, it must not answer until the outcome is known, since the new leader can be elected at once. */
static void
test_handover_needs_change_acks (void **state)
{
  static const char *const leaving[] = { "n1", NULL };
  gint64 now = START_US + 3 * G_USEC_PER_SEC;
  guint64 expected = 0;
  QuinceLedgerGroup *group = make_leader (now);
  quince_ledger_group_set_draining_nodes (group, leaving);
  assert_null (quince_ledger_group_propose (group, now, &expected));
  assert_int_equal (quince_ledger_group_get_persistent_state (group)->noted, 6);
  QuinceLedgerChangeRequest request;
  assert_true (quince_ledger_group_get_change_request (group, now, &request));
  assert_int_equal (request.change.revision, 6);
  /* An acknowledgement without the proposed view is none. */
  const QuinceLedgerLead lead
      = { .revision = 6, .replica = SECOND, .promised = request.view.epoch, .noted = 6 };
  quince_ledger_group_handle_lead (group, now, &lead);
  assert_null (quince_ledger_group_propose (group, now, &expected));
  const QuinceLedgerChangeAck ack
      = { .replica = SECOND, .promised = request.view.epoch, .change = request.change };
  quince_ledger_group_handle_change_ack (group, now, &ack);
  g_autoptr (QuinceLedgerView) view = quince_ledger_group_propose (group, now, &expected);
  assert_non_null (view);
  assert_int_not_equal (view->primary, SELF);
  quince_ledger_group_proposal_ended (group, now, QUINCE_PROPOSAL_UNKNOWN, 0);
  assert_false (quince_ledger_group_may_answer (group, now));
  assert_false (quince_ledger_group_may_order (group, now + 1));
  quince_ledger_group_free (group);
}

/* Sets the machine that is drained.  Returns the change that the leader then asks the members to acknowledge.
 */
static QuinceLedgerChange *
request_drain (QuinceLedgerGroup *group, gint64 now_us, const char *node)
{
  const char *const leaving[] = { node, NULL };
  guint64 expected = 0;
  QuinceLedgerChangeRequest request;
  quince_ledger_group_set_draining_nodes (group, leaving);
  assert_null (quince_ledger_group_propose (group, now_us, &expected));
  assert_true (quince_ledger_group_get_change_request (group, now_us, &request));
  return quince_ledger_change_copy (&request.change);
}

/* An acknowledgement of an earlier request does not count, even if it has the view that is wanted again: the
 * member may have acknowledged another view since. */
static void
test_late_change_ack (void **state)
{
  gint64 now = START_US + 3 * G_USEC_PER_SEC;
  guint64 expected = 0;
  QuinceLedgerGroup *group = make_leader (now);
  g_autoptr (QuinceLedgerChange) first = request_drain (group, now, "n1");
  g_autoptr (QuinceLedgerChange) second = request_drain (group, now, "n2");
  g_autoptr (QuinceLedgerChange) third = request_drain (group, now, "n1");
  QuinceLedgerChangeAck ack = { .replica = THIRD, .promised = quince_ledger_group_get_view (group)->epoch };
  ack.change = *first;
  quince_ledger_group_handle_change_ack (group, now, &ack);
  assert_null (quince_ledger_group_propose (group, now, &expected));
  ack.change = *third;
  quince_ledger_group_handle_change_ack (group, now, &ack);
  g_autoptr (QuinceLedgerView) view = quince_ledger_group_propose (group, now, &expected);
  assert_non_null (view);
  quince_ledger_group_free (group);
}

/* A leader that hears nobody any more does not ask the members to acknowledge that one of them is replaced,
 * even if their last answers came at different times.  Guards against members that wait for the store since
 * they acknowledged a view which the leader cannot propose. */
static void
test_deaf_leader_requests_no_change (void **state)
{
  static const QuinceLedgerMember spare = { .node = "n4", .address = "n4", .replica = 4 };
  gint64 now = START_US + 3 * G_USEC_PER_SEC;
  guint64 expected = 0;
  QuinceLedgerChangeRequest request;
  QuinceLedgerGroup *group = make_leader (now);
  quince_ledger_group_peer_acked (group, THIRD, 1, now + 450 * 1000);
  now += 1020 * 1000;
  quince_ledger_group_peer_joined (group, now, &spare);
  quince_ledger_group_peer_acked (group, spare.replica, 1, now);
  assert_null (quince_ledger_group_propose (group, now, &expected));
  assert_false (quince_ledger_group_get_change_request (group, now, &request));
  /* The third member answers on, and the second one does not. */
  quince_ledger_group_peer_acked (group, THIRD, 1, now);
  assert_null (quince_ledger_group_propose (group, now, &expected));
  assert_true (quince_ledger_group_get_change_request (group, now, &request));
  quince_ledger_group_free (group);
}

/* ---- Random faults ---------------------------------------------------- */

static void
run_random_faults (guint32 seed, guint n_nodes, guint losses, guint zones)
{
  World *world = world_new_in_zones (seed, n_nodes, losses, zones);
  gint last_wiped = -1;
  settle (world);
  for (guint round = 0; round < 40; round++)
    {
      random_fault (world, &last_wiped);
      world_run (world, (guint)g_rand_int_range (world->random, 10, 1800));
      if (round % 10 != 9)
        continue;
      clear_faults (world);
      world_run (world, CONVERGENCE_MAX_MS);
      if (world_find_leader (world) < 0 || !world_has_enough_members (world))
        fail_msg ("seed %u: no leader with enough members %u ms after the last fault", seed,
                  CONVERGENCE_MAX_MS);
      assert_store_shows_leader (world);
    }
  assert_commits_continue (world, 1000);
  world_free (world);
}

static void
test_random_faults (void **state)
{
  guint32 seed = get_first_seed ();
  guint32 seeds = get_n_seeds (100);
  for (guint32 i = 0; i < seeds; i++)
    run_random_faults (seed + i, 3, 1, 0);
  for (guint32 i = 0; i < seeds / 2; i++)
    run_random_faults (seed + 100000 + i, 5, 2, 0);
  for (guint32 i = 0; i < seeds / 4; i++)
    run_random_faults (seed + 200000 + i, 6, 1, 0);
  for (guint32 i = 0; i < seeds / 4; i++)
    run_random_faults (seed + 300000 + i, 7, 2, 3);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_election_with_store_down),
    cmocka_unit_test (test_election_with_store_up),
    cmocka_unit_test (test_election_with_store_unreachable_for_members),
    cmocka_unit_test (test_partitioned_leader_with_store_access),
    cmocka_unit_test (test_leaders_freeze_in_sequence),
    cmocka_unit_test (test_all_members_restart),
    cmocka_unit_test (test_member_restarts),
    cmocka_unit_test (test_late_view_after_later_promise),
    cmocka_unit_test (test_late_view_without_later_promise),
    cmocka_unit_test (test_handover_needs_change_acks),
    cmocka_unit_test (test_malformed_lead_is_ignored),
    cmocka_unit_test (test_deaf_leader_requests_no_change),
    cmocka_unit_test (test_late_change_ack),
    cmocka_unit_test (test_random_faults),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
