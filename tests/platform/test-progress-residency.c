/*
 * test-progress-residency.c: guards against texts of a batch on a further copy in a region that the batch
 * does not allow.
 */
#include "residency-world.h"

/* Runs of 20 s, longer than the test needs. */
#define EVENTS 200
#define EVENT_MS 100
#define ITEMS 4
#define WATCH_MS 1500

/* Returns the size of the progress files of a replica, bytes. */
static gsize
get_progress_size (const PathWorld *world, guint replica)
{
  gsize size = 0;
  for (guint i = 0; i < 2; i++)
    {
      g_autofree char *file = g_strdup_printf ("%s/data-%u/progress-%u", world->folder, replica, i);
      GStatBuf status;
      if (g_stat (file, &status) == 0)
        size += (gsize)status.st_size;
    }
  return size;
}

static void
assert_grows (const PathWorld *world, guint replica)
{
  gsize before = get_progress_size (world, replica);
  AWAIT (get_progress_size (world, replica) > before);
}

/* Returns the size of the progress files of all replicas in the west but the leader, bytes. */
static gsize
get_size_outside (const PathWorld *world, guint leader)
{
  gsize size = 0;
  for (guint i = 0; i < PATH_REPLICAS; i++)
    if (i != leader && g_str_equal (world->replica_zones[i], "w1"))
      size += get_progress_size (world, i);
  return size;
}

static PathWorld *
start_world (void)
{
  static const char *const replica_zones[PATH_REPLICAS] = { "e1", "e2", "w1", "w1", "w1" };
  PathWorld *world = residency_world_new ("copy-residency");
  world->losses = "losses=3";
  for (guint i = 0; i < PATH_REPLICAS; i++)
    world->replica_zones[i] = replica_zones[i];
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->model[i], EVENTS, EVENT_MS);
  residency_configure (world, 7, "", "", NULL);
  residency_world_start (world);
  return world;
}

/* A batch is bound to the east while it runs.  The east has too few replicas to hold the ledger alone, so the
 * members in the west stay.  Of the successor and the two further copies, one at least is there: no more
 * texts are sent to it. */
static void
test_copies_obey_a_change (void **state)
{
  PathWorld *world = start_world ();
  g_autofree char *text = path_make_batch ("b1", ITEMS);
  AWAIT (path_status (path_front (world, 0), "POST", "/r/batch", "b1", text) == 202);
  run_for (2500);
  guint leader = (guint)path_find_leader (world);
  gsize before = get_size_outside (world, leader);
  AWAIT (get_size_outside (world, leader) > before);
  residency_configure (world, 8, "r", "\"east\"", NULL);
  run_for (APPLY_MAX_MS);
  before = get_size_outside (world, leader);
  assert_grows (world, leader);
  run_for (WATCH_MS);
  assert_grows (world, leader);
  assert_int_equal (get_size_outside (world, leader), before);
  assert_int_equal (path_find_leader (world), (gint)leader);
  path_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_copies_obey_a_change),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
