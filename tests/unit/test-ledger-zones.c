/*
 * test-ledger-zones.c: the ledger's members over zones, and the loss of a zone, in virtual time.
 */
#include "ledger-world.h"

#define MACHINES 9 /* three a zone */
#define ZONES 3    /* the fewest over which five members can be spread two a zone at most */
#define LOSSES 2   /* machines that may be lost: five members, quorum of three */
#define SEEDS 20   /* schedules that each case is played with */

static guint
get_zone_of_node (guint node)
{
  return node % ZONES;
}

static guint
count_members_in_zone (const World *world, guint zone)
{
  guint count = 0;
  for (guint i = 0; i < world->n_nodes; i++)
    count += get_zone_of_node (i) == zone
             && quince_ledger_view_find (world->view, world->nodes[i].disk.replica) != NULL;
  return count;
}

static gboolean
are_members_spread (const World *world)
{
  for (guint zone = 0; zone < ZONES; zone++)
    if (count_members_in_zone (world, zone) > LOSSES)
      return FALSE;
  return TRUE;
}

static gboolean
is_settled (World *world)
{
  return world_has_enough_members (world) && world_find_leader (world) >= 0 && are_members_spread (world);
}

static void
settle (World *world)
{
  for (guint i = 0; i < 200 && !is_settled (world); i++)
    world_run (world, 100);
  assert_true (world_has_enough_members (world));
  assert_int_not_equal (world_find_leader (world), -1);
  assert_true (are_members_spread (world));
}

static void
kill_zone (World *world, guint zone)
{
  for (guint i = 0; i < world->n_nodes; i++)
    if (get_zone_of_node (i) == zone)
      world_kill (world, i);
}

static void
restart_zone (World *world, guint zone)
{
  for (guint i = 0; i < world->n_nodes; i++)
    if (get_zone_of_node (i) == zone)
      world_start (world, i, FALSE);
}

/* Failed first (members stood anywhere): three of five in one zone for some seeds. */
static void
test_members_are_spread (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = world_new_in_zones (seed, MACHINES, LOSSES, ZONES);
      settle (world);
      world_run (world, 3000);
      assert_true (are_members_spread (world));
      world_free (world);
    }
}

/* Whichever zone is lost, with its disks: what was committed is there, and commits go on. The world compares
 * all that is committed later with what was before. */
static void
test_lost_zone_with_its_disks (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = world_new_in_zones (100 + seed, MACHINES, LOSSES, ZONES);
      settle (world);
      guint lost = seed % ZONES;
      kill_zone (world, lost);
      for (guint i = 0; i < world->n_nodes; i++)
        if (get_zone_of_node (i) == lost)
          world_wipe (world, i);
      world_run (world, 5000);
      assert_commits_continue (world, 2000);
      restart_zone (world, lost);
      settle (world);
      assert_commits_continue (world, 1000);
      world_free (world);
    }
}

/* One zone after the other, while a machine of another one is away. */
static void
test_zones_lost_in_turn (void **state)
{
  World *world = world_new_in_zones (7, MACHINES, LOSSES, ZONES);
  settle (world);
  for (guint zone = 0; zone < ZONES; zone++)
    {
      kill_zone (world, zone);
      world_run (world, 4000);
      assert_commits_continue (world, 2000);
      restart_zone (world, zone);
      settle (world);
      world_run (world, 5000);
    }
  world_free (world);
}

/* The members of a lost zone are replaced from the others, and give their places back once it has returned.
 */
static void
test_members_of_lost_zone_are_replaced (void **state)
{
  World *world = world_new_in_zones (11, MACHINES, LOSSES, ZONES);
  settle (world);
  guint leader_zone = get_zone_of_node ((guint)world_find_leader (world));
  guint lost = (leader_zone + 1) % ZONES;
  kill_zone (world, lost);
  world_run (world, 6000);
  assert_int_equal (count_members_in_zone (world, lost), 0);
  assert_true (world_has_enough_members (world));
  restart_zone (world, lost);
  settle (world);
  world_free (world);
}

static guint
find_backup_in_zone (World *world, guint zone)
{
  for (guint i = 0; i < world->n_nodes; i++)
    if (get_zone_of_node (i) == zone && world_find_leader (world) != (gint)i
        && quince_ledger_view_find (world->view, world->nodes[i].disk.replica) != NULL)
      return i;
  return G_MAXUINT;
}

/* Disk after disk is lost in a spread group: nothing is lost with them, and commits go on. */
static void
test_disks_lost_in_spread_group (void **state)
{
  World *world = world_new_in_zones (17, MACHINES, LOSSES, ZONES);
  settle (world);
  for (guint round = 0; round < 6; round++)
    {
      guint wiped = find_backup_in_zone (world, round % ZONES);
      if (wiped == G_MAXUINT)
        continue;
      world_wipe (world, wiped);
      world_run (world, 300);
      world_start (world, wiped, FALSE);
      assert_commits_continue (world, 2000);
      settle (world);
    }
  world_free (world);
}

/* The leader dies while members are spread, and a zone just after: the next one knows no zone but its own.
 */
static void
test_zone_lost_after_failover (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = world_new_in_zones (300 + seed, MACHINES, LOSSES, ZONES);
      settle (world);
      guint leader = (guint)world_find_leader (world);
      world_kill (world, leader);
      world_run (world, 100 * seed);
      world_start (world, leader, FALSE);
      settle (world);
      kill_zone (world, (get_zone_of_node (leader) + 1) % ZONES);
      world_run (world, 5000);
      assert_commits_continue (world, 2000);
      world_free (world);
    }
}

/* Where no loss of a zone is to be borne, nothing moves for the sake of zones. */
static void
test_no_change_without_zones (void **state)
{
  World *world = world_new (13, MACHINES, LOSSES);
  for (guint i = 0; i < 100 && !(world_has_enough_members (world) && world_find_leader (world) >= 0); i++)
    world_run (world, 100);
  assert_true (world_has_enough_members (world));
  guint64 revision = world->revision;
  world_run (world, 5000);
  assert_int_equal (world->revision, revision);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_members_are_spread),
    cmocka_unit_test (test_lost_zone_with_its_disks),
    cmocka_unit_test (test_zones_lost_in_turn),
    cmocka_unit_test (test_members_of_lost_zone_are_replaced),
    cmocka_unit_test (test_disks_lost_in_spread_group),
    cmocka_unit_test (test_zone_lost_after_failover),
    cmocka_unit_test (test_no_change_without_zones),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
