/*
 * test-ledger-late-member.c: members of the batch ledger whose messages are late, in virtual time.
 *
 * Guards against a ledger that replaces no lost member while another one acknowledges each record after the
 * next is committed, and against elections without end where promises and a write to the store take longer
 * than a campaign.
 */
#include "ledger-faults.h"
#include "ledger-scene.h"

#define SEEDS 40
/* The next record is committed meanwhile: records are written every 150 ms.  Far below the lease. */
#define LATE_US (200 * 1000)
/* Time limit for a replacement: the silence of 1 s after which a member is lost, the copy of the log, and a
 * few writes of the view, of which the simulated store loses one in five. */
#define REPLACEMENT_MAX_MS 5000

/* Each message of all processes is late: a campaign with its write to the store takes 0.6 s and more. */
#define ALL_LATE_US (200 * 1000)
/* Time limit for an election that late processes delay: it must come to an end. */
#define LATE_ELECTION_MAX_MS 60000
/* Delay of one member whose promise each candidate needs. */
#define NEEDED_LATE_US (300 * 1000)

static gboolean
is_member (World *world, guint node)
{
  return quince_ledger_view_find (world->view, world->nodes[node].disk.replica) != NULL;
}

/* Returns a member, drawn at random, that neither leads nor is @other. */
static guint
draw_backup (World *world, guint other)
{
  for (;;)
    {
      guint node = (guint)g_rand_int_range (world->random, 0, (gint32)world->n_nodes);
      if (node != other && (gint)node != world_find_leader (world) && is_member (world, node))
        return node;
    }
}

static void
assert_replaced (World *world, guint lost)
{
  guint waited_ms = 0;
  while ((is_member (world, lost) || !world_has_enough_members (world)) && waited_ms < REPLACEMENT_MAX_MS)
    {
      world_run (world, 50);
      waited_ms += 50;
    }
  if (is_member (world, lost) || !world_has_enough_members (world))
    fail_msg ("seed %u: the lost member is not replaced after %u ms", world->seed, waited_ms);
  assert_commits_continue (world, 500);
}

static void
run_lost_member (guint32 seed, guint n_nodes, guint losses)
{
  World *world = new_settled_world (seed, n_nodes, losses);
  guint late = draw_backup (world, G_MAXUINT);
  world->delay_us[late] = LATE_US;
  world_run (world, 2000);
  guint lost = draw_backup (world, late);
  world_kill (world, lost);
  assert_replaced (world, lost);
  world_free (world);
}

static void
test_lost_member_of_five (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    run_lost_member (30000 + seed, 8, 2);
}

static void
test_drained_member_of_five (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = new_settled_world (31000 + seed, 8, 2);
      guint late = draw_backup (world, G_MAXUINT);
      world->delay_us[late] = LATE_US;
      world_run (world, 2000);
      guint drained = draw_backup (world, late);
      drain_node (world, drained);
      assert_replaced (world, drained);
      world_free (world);
    }
}

static void
restart_all (World *world)
{
  for (guint i = 0; i < world->n_nodes; i++)
    world_kill (world, i);
  world_run (world, 500);
  for (guint i = 0; i < world->n_nodes; i++)
    world_start (world, i, FALSE);
}

static void
assert_leader_elected (World *world)
{
  for (guint waited_ms = 0; world_find_leader (world) < 0; waited_ms += 50)
    {
      if (waited_ms >= LATE_ELECTION_MAX_MS)
        fail_msg ("seed %u: nobody leads after %u ms", world->seed, waited_ms);
      world_run (world, 50);
    }
}

/* Failed first: nobody led in 60 s, with any seed. */
static void
test_all_late_after_power_loss (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = new_settled_world (32000 + seed, 8, 2);
      for (guint i = 0; i < world->n_nodes; i++)
        world->delay_us[i] = ALL_LATE_US;
      restart_all (world);
      assert_leader_elected (world);
      world_free (world);
    }
}

/* Failed first.  The disks of the leader and of one of four backups are lost, so that each of the others is
 * needed. */
static void
test_late_member_is_needed (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = new_settled_world (33000 + seed, 8, 2);
      guint late = draw_backup (world, G_MAXUINT);
      world->delay_us[late] = NEEDED_LATE_US;
      guint also_lost = (guint)world_find_leader (world);
      guint lost = late;
      while (lost == late || lost == also_lost)
        lost = draw_backup (world, late);
      world_wipe (world, lost);
      world_wipe (world, also_lost);
      restart_all (world);
      assert_leader_elected (world);
      world_free (world);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_lost_member_of_five),
    cmocka_unit_test (test_drained_member_of_five),
    cmocka_unit_test (test_all_late_after_power_loss),
    cmocka_unit_test (test_late_member_is_needed),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
