/*
 * test-ledger-two-members.c: a ledger with as many members as a quorum while the store is silent, in virtual
 * time.  Guards against members that each promise themselves without knowing that the store answers: each
 * then refuses the other, and the ledger has no leader until the store is back.
 */
#include "ledger-faults.h"
#include "ledger-scene.h"

/* Longer than the leader timeout of 1 s and the rank delay of the second member. */
#define SILENCE_MS 1600
/* Maximum time from the end of the silence until records are committed again: the rank delays and two
 * campaigns that end without a leader. */
#define RECOVERY_MAX_MS 2500
#define SEEDS 60

/* Returns a ledger with two members on as many running machines. */
static World *
new_world_of_two (guint32 seed)
{
  World *world = new_settled_world (seed, 3, 1);
  guint lost = ((guint)world_find_leader (world) + 1) % 3;
  guint64 replica = world->nodes[lost].disk.replica;
  world_kill (world, lost);
  for (guint i = 0; i < 100 && quince_ledger_view_find (world->view, replica) != NULL; i++)
    world_run (world, 100);
  assert_int_equal (world->view->members.members_len, 2);
  world_run (world, 2000);
  return world;
}

static guint
find_other (World *world, guint leader)
{
  for (guint i = 0; i < world->n_nodes; i++)
    if (i != leader && world->nodes[i].group != NULL)
      return i;
  fail_msg ("seed %u: no second member", world->seed);
  return 0;
}

static void
assert_commits_resume (World *world)
{
  world_run (world, RECOVERY_MAX_MS);
  guint before = world->committed->len;
  world_run (world, 700);
  if (world->committed->len <= before)
    fail_msg ("seed %u: nothing is committed while the store is silent", world->seed);
}

static void
end_outage (World *world)
{
  world->store_silent_since_us = 0;
  world_run (world, 5000);
  assert_commits_continue (world, 1000);
  world_free (world);
}

typedef enum
{
  SILENT_LEADER, /* the leader is suspended */
  SILENT_BACKUP, /* the other member is suspended */
  SILENT_LINK,   /* nothing arrives between the two */
  SILENT_BOTH,   /* both are suspended, one a little later */
  N_SILENT
} Silent;

static void
set_silent (World *world, Silent silent, guint leader, guint other, gboolean on)
{
  if (silent == SILENT_LEADER || silent == SILENT_BOTH)
    world->nodes[leader].frozen = on;
  if (silent == SILENT_BOTH)
    world_run (world, 150);
  if (silent == SILENT_BACKUP || silent == SILENT_BOTH)
    world->nodes[other].frozen = on;
  if (silent == SILENT_LINK)
    world_cut_off (world, leader, on);
}

/* The members commit again once they hear each other, while the store is still silent. */
static void
test_silence_while_store_is_silent (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = new_world_of_two (8000 + seed);
      guint leader = (guint)world_find_leader (world);
      guint other = find_other (world, leader);
      world_run (world, seed * 17 % 300);
      world->store_silent_since_us = world->now_us;
      world_run (world, seed * 53 % 1000);
      set_silent (world, seed % N_SILENT, leader, other, TRUE);
      world_run (world, SILENCE_MS);
      set_silent (world, seed % N_SILENT, leader, other, FALSE);
      assert_commits_resume (world);
      end_outage (world);
    }
}

/* The store goes silent after a candidate has read it, so that the candidate has promised itself. */
static void
test_store_silent_during_election (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = new_world_of_two (9000 + seed);
      guint leader = (guint)world_find_leader (world);
      world->nodes[leader].frozen = TRUE;
      world_run (world, 950 + seed * 13 % 500);
      world->store_silent_since_us = world->now_us;
      world_run (world, seed * 29 % 900);
      world->nodes[leader].frozen = FALSE;
      assert_commits_resume (world);
      end_outage (world);
    }
}

/* The members are cut off from each other.  Both read the store, until the other member has taken the lead
 * there: the former leader may then answer for as long as its last read confirms it.  Guards against a change
 * of members that lets the next leader commit records within that time (world_check()). */
static void
test_former_leader_confirmed_by_store (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = new_world_of_two (11000 + seed);
      guint leader = (guint)world_find_leader (world);
      guint other = find_other (world, leader);
      world_cut_off (world, leader, TRUE);
      world_start (world, 3 - leader - other, FALSE);
      for (guint i = 0; i < 500 && world->view->primary != world->nodes[other].disk.replica; i++)
        world_run (world, 10);
      assert_int_equal (world->view->primary, world->nodes[other].disk.replica);
      world->store_unreachable[leader] = TRUE;
      world_run (world, 8000);
      assert_commits_continue (world, 1000);
      world->store_unreachable[leader] = FALSE;
      world_cut_off (world, leader, FALSE);
      world_run (world, 3000);
      world_free (world);
    }
}

/* The same with a former leader whose machine is drained: the next leader may replace it by a spare at once,
 * without an answer of it.  Guards against commits of the next leader within the time for which the store's
 * last answer lets the former one answer. */
static void
test_drained_former_leader_confirmed_by_store (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = new_world_of_two (12000 + seed);
      guint leader = (guint)world_find_leader (world);
      guint other = find_other (world, leader);
      world_cut_off (world, leader, TRUE);
      world_start (world, 3 - leader - other, FALSE);
      drain_node (world, leader);
      for (guint i = 0; i < 500 && world->view->primary != world->nodes[other].disk.replica; i++)
        world_run (world, 10);
      assert_int_equal (world->view->primary, world->nodes[other].disk.replica);
      world->store_unreachable[leader] = TRUE;
      world_run (world, 8000);
      assert_commits_continue (world, 1000);
      world->store_unreachable[leader] = FALSE;
      world_cut_off (world, leader, FALSE);
      world_run (world, 3000);
      world_free (world);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_silence_while_store_is_silent),
                                      cmocka_unit_test (test_former_leader_confirmed_by_store),
                                      cmocka_unit_test (test_drained_former_leader_confirmed_by_store),
                                      cmocka_unit_test (test_store_silent_during_election) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
