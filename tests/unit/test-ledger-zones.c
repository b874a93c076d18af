/*
 * test-ledger-zones.c: the spread of the ledger's members over zones, and the loss of a zone, in virtual
 * time.
 */
#include "ledger-world.h"

#define MACHINES 9 /* three per zone */
#define ZONES 3    /* minimum for five members with at most two per zone */
#define LOSSES 2   /* machines that may be lost: five members, a quorum of three */
#define SEEDS 20   /* random schedules per test case */

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

/* No zone may hold three of the five members. */
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

/* Commits must continue after the loss of any zone with its disks.  The world checks that later leaders have
 * all records that were committed before. */
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

/* Zones are lost one after another, each after the previous one has returned. */
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

/* Replicas of other zones must replace the members of a lost zone.  Once it returns, the members must be
 * spread over all zones again. */
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

/* Returns a node of @zone that is a member but not the leader, or %G_MAXUINT if there is none. */
static guint
find_backup_in_zone (World *world, guint zone)
{
  for (guint i = 0; i < world->n_nodes; i++)
    if (get_zone_of_node (i) == zone && world_find_leader (world) != (gint)i
        && quince_ledger_view_find (world->view, world->nodes[i].disk.replica) != NULL)
      return i;
  return G_MAXUINT;
}

/* Commits must continue while the disks of members in different zones are lost one after another. */
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

/* A zone is lost after the leader has changed.  A new leader knows only its own zone at first and must learn
 * the others from the replicas that link to it. */
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

/* Without zones, a settled group must not change its view any more. */
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
