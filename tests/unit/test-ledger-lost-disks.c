/*
 * test-ledger-lost-disks.c: disks of the batch ledger that are lost at the moment when all other machines
 * lose power, in virtual time.  Once all machines run and the metadata store answers, somebody must lead.
 */
#include "ledger-faults.h"
#include "ledger-scene.h"
#include "soak-seeds.h"

#define SEEDS 40
/* Time limit for a leader after all machines run again: elections, three successive ones of which may fail
 * because the simulated store loses one write in five, and replaced members. */
#define RECOVERY_MAX_MS 8000

/* Wipes the disks of the nodes in @lost, a bit set, while all others lose power, and starts all of them. */
static void
lose_disks_and_power (World *world, guint lost)
{
  for (guint i = 0; i < world->n_nodes; i++)
    if ((lost & (1u << i)) != 0)
      world_wipe (world, i);
    else
      world_kill (world, i);
  world_run (world, (guint)g_rand_int_range (world->random, 0, 1500));
  for (guint i = 0; i < world->n_nodes; i++)
    world_start (world, i, FALSE);
}

static gboolean
is_member (World *world, guint node)
{
  return quince_ledger_view_find (world->view, world->nodes[node].disk.replica) != NULL;
}

/* Returns a set of @count members, drawn at random. */
static guint
draw_members (World *world, guint count)
{
  guint drawn = 0;
  while (count > 0)
    {
      guint node = (guint)g_rand_int_range (world->random, 0, (gint32)world->n_nodes);
      if ((drawn & (1u << node)) != 0 || !is_member (world, node))
        continue;
      drawn |= 1u << node;
      count--;
    }
  return drawn;
}

static void
assert_recovers (World *world)
{
  guint waited_ms = 0;
  while (world_find_leader (world) < 0 && waited_ms < RECOVERY_MAX_MS)
    {
      world_run (world, 50);
      waited_ms += 50;
    }
  if (world_find_leader (world) < 0)
    fail_msg ("seed %u: nobody may answer %u ms after all machines run", world->seed, waited_ms);
  world_run (world, 3000);
  assert_commits_continue (world, 500);
}

/* Kills members until the view has @members, of a world in which each node is one. */
static void
shrink_view (World *world, guint members)
{
  while (world->view->members.members_len > members)
    {
      guint before = world->view->members.members_len;
      guint away = (guint)g_rand_int_range (world->random, 0, (gint32)world->n_nodes);
      if (!is_member (world, away) || world->nodes[away].group == NULL)
        continue;
      world_kill (world, away);
      for (guint i = 0; i < 200 && world->view->members.members_len == before; i++)
        world_run (world, 50);
      assert_int_equal (world->view->members.members_len, before - 1);
      world_run (world, 1000);
    }
}

/* Failed first: nobody might ever answer.  A view of fewer members than the maximum, since lost machines had
 * no replacement, loses as many disks as are tolerated.  Less than a quorum of its members is left, which has
 * all committed records. */
static void
run_shrunk_view (guint32 first_seed, guint losses, guint members)
{
  for (guint32 seed = first_seed; seed < first_seed + SEEDS; seed++)
    {
      World *world = new_settled_world (seed, 2 * losses + 1, losses);
      shrink_view (world, members);
      lose_disks_and_power (world, draw_members (world, losses));
      assert_recovers (world);
      world_free (world);
    }
}

static void
test_two_of_three_members (void **state)
{
  run_shrunk_view (19000, 2, 3);
}

static void
test_two_of_four_members (void **state)
{
  run_shrunk_view (20000, 2, 4);
}

static void
test_three_of_five_members (void **state)
{
  run_shrunk_view (22000, 3, 5);
}

static void
test_three_of_six_members (void **state)
{
  run_shrunk_view (23000, 3, 6);
}

/* The lost members don't come back: other machines take their places. */
static void
test_two_of_four_members_gone (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = new_settled_world (24000 + seed, 7, 2);
      for (guint i = 0; i < world->n_nodes; i++)
        if (!is_member (world, i))
          world_kill (world, i);
      shrink_view (world, 4);
      guint lost = draw_members (world, 2);
      for (guint i = 0; i < world->n_nodes; i++)
        if ((lost & (1u << i)) != 0)
          world_kill (world, i);
        else if (world->nodes[i].group == NULL)
          world_start (world, i, FALSE);
      assert_recovers (world);
      world_free (world);
    }
}

/* Failed first.  A leader whose machine is drained hands over and leaves a view of one member less, until the
 * next leader adds a spare. */
static void
test_two_disks_after_handover (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = new_settled_world (25000 + seed, 9, 2);
      guint leader = (guint)world_find_leader (world);
      drain_node (world, leader);
      for (guint i = 0; i < 500 && world->view->members.members_len != 4; i++)
        world_run (world, 10);
      assert_int_equal (world->view->members.members_len, 4);
      lose_disks_and_power (world, draw_members (world, 2));
      drain_node (world, leader);
      assert_recovers (world);
      world_free (world);
    }
}

static void
test_two_of_five_members (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = new_settled_world (21000 + seed, 8, 2);
      lose_disks_and_power (world, draw_members (world, 2));
      assert_recovers (world);
      world_free (world);
    }
}

/* ---- Random faults before the loss ---------------------------------------- */

static void
disturb (World *world, guint *drained)
{
  guint node = (guint)g_rand_int_range (world->random, 0, (gint32)world->n_nodes);
  switch (g_rand_int_range (world->random, 0, 8))
    {
    case 0:
      *drained = node;
      break;
    case 1:
      *drained = world_find_leader (world) >= 0 ? (guint)world_find_leader (world) : G_MAXUINT;
      break;
    case 2:
      *drained = G_MAXUINT;
      break;
    case 3:
      world_kill (world, node);
      break;
    case 4:
      restart_all_nodes (world);
      break;
    case 5:
      world->loses_next_change = TRUE;
      break;
    case 6:
      world->store_down = !world->store_down;
      break;
    default:
      world->store_unreachable[node] = !world->store_unreachable[node];
      break;
    }
  drain_node (world, *drained);
}

/* Wipes up to the tolerated number of disks, of members, while all others lose power, and
 * starts all machines in turn. */
static void
lose_and_restart_slowly (World *world, guint drained)
{
  guint n_lost = (guint)g_rand_int_range (world->random, 0, (gint32)world->losses + 1);
  guint lost = draw_members (world, n_lost);
  for (guint i = 0; i < world->n_nodes; i++)
    if ((lost & (1u << i)) != 0)
      world_wipe (world, i);
    else
      world_kill (world, i);
  gint32 pause_max_ms = g_rand_int_range (world->random, 1, 600);
  guint first = (guint)g_rand_int_range (world->random, 0, (gint32)world->n_nodes);
  for (guint i = 0; i < world->n_nodes; i++)
    {
      world_start (world, (first + i * 5) % world->n_nodes, FALSE);
      drain_node (world, drained);
      world_run (world, (guint)g_rand_int_range (world->random, 0, pause_max_ms));
    }
  for (guint i = 0; i < world->n_nodes; i++)
    if (world->nodes[i].group == NULL)
      world_start (world, i, FALSE);
  drain_node (world, drained);
}

/* Runs without faults, and fails if nobody may answer for too long. */
static void
assert_calm (World *world, guint duration_ms)
{
  gint64 end_us = world->now_us + (gint64)duration_ms * 1000;
  guint outage_ms = 0;
  while (world->now_us < end_us)
    {
      world_run (world, 50);
      outage_ms = world_find_leader (world) >= 0 ? 0 : outage_ms + 50;
      if (outage_ms > RECOVERY_MAX_MS)
        fail_msg ("seed %u: nobody may answer for %u ms, %u nodes, %u losses", world->seed, outage_ms,
                  world->n_nodes, world->losses);
    }
}

static void
run_loss_seed (guint32 seed)
{
  guint losses = seed % 4 == 0 ? 1 : seed % 4 == 3 ? 3 : 2;
  guint n_nodes = 2 * losses + 1 + seed / 4 % 5;
  World *world = world_new_in_zones (seed, n_nodes, losses, seed / 20 % 2 == 0 ? 0 : 3);
  settle (world);
  guint drained = G_MAXUINT;
  for (guint rounds = 0; rounds < 3; rounds++)
    {
      guint faults = (guint)g_rand_int_range (world->random, 0, 6);
      for (guint i = 0; i < faults; i++)
        {
          disturb (world, &drained);
          world_run (world, (guint)g_rand_int_range (world->random, 0, 1500));
        }
      lose_and_restart_slowly (world, drained);
      world->store_down = world->loses_next_change = FALSE;
      for (guint i = 0; i < n_nodes; i++)
        world->store_unreachable[i] = FALSE;
      assert_calm (world, 15000);
      drained = G_MAXUINT;
      drain_node (world, drained);
      settle (world);
      assert_commits_continue (world, 500);
    }
  world_free (world);
}

static void
test_seeded_losses (void **state)
{
  guint32 seed = get_first_seed ();
  guint32 seeds = get_n_seeds (60);
  for (guint32 i = 0; i < seeds; i++)
    run_loss_seed (seed + i);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_two_of_three_members),     cmocka_unit_test (test_two_of_four_members),
    cmocka_unit_test (test_three_of_five_members),    cmocka_unit_test (test_three_of_six_members),
    cmocka_unit_test (test_two_of_four_members_gone), cmocka_unit_test (test_two_disks_after_handover),
    cmocka_unit_test (test_two_of_five_members),      cmocka_unit_test (test_seeded_losses),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
