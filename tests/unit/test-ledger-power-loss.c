/*
 * test-ledger-power-loss.c: as many disks of members as the ledger tolerates are lost together with the power
 * of all machines, at any moment of elections and changes of the members, in virtual time.  Guards against a
 * ledger that never answers again, and against lost records.
 */
#include "ledger-faults.h"
#include "ledger-scene.h"
#include "soak-seeds.h"

#define SEEDS 300
/* A leader sends its records to fewer replicas that are no members. */
#define SPARES_MAX 7
#define FAULTS_MAX 6
#define FAULT_INTERVAL_MAX_MS 1500
/* All machines have started again within this time. */
#define START_MAX_MS 3000
/* From the last start to the next answer: several elections of 2.5 s at most, and changes of the members. */
#define RECOVERY_MAX_MS 10000

/* Returns whether the disk that @member stands for still exists. */
static gboolean
has_disk (World *world, const QuinceLedgerMember *member)
{
  return world_find_node (world, member->replica) >= 0;
}

/* Wipes random members of the view until as many of them are lost as the ledger tolerates.
 * @lost_before: disks lost before, which may be members of a view whose write to the store is under way
 * @is_lost: (out): the machines whose disks were wiped */
static void
wipe_members (World *world, guint lost_before, gboolean *is_lost)
{
  g_autoptr (GArray) left = g_array_new (FALSE, FALSE, sizeof (guint));
  guint lost = 0;
  for (guint i = 0; i < world->view->members.members_len; i++)
    {
      const QuinceLedgerMember *member = &world->view->members.members_val[i];
      gint node = world_find_node (world, member->replica);
      if (!has_disk (world, member))
        lost++;
      else
        g_array_append_val (left, node);
    }
  for (lost = MAX (lost, lost_before); lost < world->losses && left->len > 1; lost++)
    {
      guint index = (guint)g_rand_int_range (world->random, 0, (gint32)left->len);
      is_lost[g_array_index (left, guint, index)] = TRUE;
      world_wipe (world, g_array_index (left, guint, index));
      g_array_remove_index_fast (left, index);
    }
}

/* Starts all machines but those in @is_gone again, each after a random delay. */
static void
start_in_turn (World *world, const gboolean *is_gone)
{
  guint start_ms[WORLD_NODES_MAX];
  for (guint i = 0; i < world->n_nodes; i++)
    start_ms[i] = (guint)g_rand_int_range (world->random, 0, START_MAX_MS);
  for (guint now_ms = 0; now_ms < START_MAX_MS; now_ms += 10)
    {
      for (guint i = 0; i < world->n_nodes; i++)
        if (!is_gone[i] && world->nodes[i].group == NULL && start_ms[i] < now_ms + 10)
          world_start (world, i, FALSE);
      world_run (world, 10);
    }
}

/* @return_empty: whether the machines whose disks are lost start again, with empty ones */
static void
lose_power_and_disks (World *world, guint lost_before, gboolean return_empty)
{
  gboolean is_lost[WORLD_NODES_MAX] = { FALSE };
  static const gboolean none[WORLD_NODES_MAX] = { FALSE };
  for (guint i = 0; i < world->n_nodes; i++)
    world_kill (world, i);
  wipe_members (world, lost_before, is_lost);
  clear_faults (world);
  for (guint i = 0; i < world->n_nodes; i++)
    world_kill (world, i);
  start_in_turn (world, return_empty ? none : is_lost);
}

static void
assert_answers (World *world, guint n_members)
{
  for (guint waited_ms = 0; world_find_leader (world) < 0; waited_ms += 100)
    {
      if (waited_ms > RECOVERY_MAX_MS)
        fail_msg ("seed %u: %u losses of %u members: no leader answers", world->seed, world->losses,
                  n_members);
      world_run (world, 100);
    }
  world_run (world, RECOVERY_MAX_MS);
  assert_commits_continue (world, 1000);
}

/* The view has any number of members from a quorum on, all of which are there. */
static void
test_settled (void **state)
{
  for (guint32 seed = get_first_seed (); seed < get_first_seed () + get_n_seeds (SEEDS); seed++)
    {
      guint losses = 1 + seed % 3;
      guint n_members = losses + 1 + seed / 3 % (losses + 1);
      World *world = new_settled_world (seed, n_members, losses);
      world_run (world, (guint)g_rand_int_range (world->random, 0, 500));
      lose_power_and_disks (world, 0, TRUE);
      assert_answers (world, n_members);
      world_free (world);
    }
}

/* Loses power and disks after random faults. */
static void
lose_after_faults (guint32 seed, guint losses, guint spares, gboolean return_empty)
{
  World *world = new_settled_world (seed, 2 * losses + 1 + spares, losses);
  gint last_wiped = -1;
  for (gint32 i = g_rand_int_range (world->random, 0, FAULTS_MAX); i >= 0; i--)
    {
      random_fault (world, &last_wiped);
      world_run (world, (guint)g_rand_int_range (world->random, 0, FAULT_INTERVAL_MAX_MS));
    }
  guint n_members = world->view->members.members_len;
  lose_power_and_disks (world, last_wiped >= 0 ? 1 : 0, return_empty);
  assert_answers (world, n_members);
  world_free (world);
}

/* There are machines that are no members, more than a leader sends its records to in some cases. */
static void
test_after_faults (void **state)
{
  for (guint32 seed = get_first_seed (); seed < get_first_seed () + get_n_seeds (SEEDS); seed++)
    lose_after_faults (seed, 1 + seed % 2, seed / 2 % SPARES_MAX, TRUE);
}

/* The machines whose disks are lost stay away; others can take their places. */
static void
test_machines_stay_away (void **state)
{
  for (guint32 seed = get_first_seed (); seed < get_first_seed () + get_n_seeds (SEEDS); seed++)
    {
      guint losses = 1 + seed % 2;
      lose_after_faults (seed, losses, losses + seed / 2 % (SPARES_MAX - losses), FALSE);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_settled), cmocka_unit_test (test_after_faults),
                                      cmocka_unit_test (test_machines_stay_away) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
