/*
 * test-feed-wait.c: guards against starting fronts that overload the metadata store with lists of all
 * prefixes, and against fronts that serve callers late because their leader does not feed them.
 */
#define PATH_FRONTS 6

#include "path-world.h"

/* Longest time until a front without a feed serves callers: its wait for the leader, its own lists, and the
 * start of a process on a busy machine. */
#define UNFED_START_MAX_MS 2500

static gboolean
front_serves (const PathWorld *world, guint front)
{
  return path_status (path_front (world, front), "POST", "/l/1", "q", "x") == 200;
}

static gint64
measure_restart_ms (PathWorld *world, guint front)
{
  quince_process_kill (world->fronts[front]);
  gint64 start_us = g_get_monotonic_time ();
  path_start_front (world, front);
  AWAIT (front_serves (world, front));
  return (g_get_monotonic_time () - start_us) / 1000;
}

/* Each front reads the key that names the leader; the leader feeds it the rest. */
static void
test_restarts_with_healthy_leader (void **state)
{
  PathWorld *world = path_world_new ("feed-wait");
  path_world_start (world);
  guint before = standin_store_get_n_list_calls (world->store);
  for (guint i = 0; i < PATH_FRONTS; i++)
    measure_restart_ms (world, i);
  assert_in_range (standin_store_get_n_list_calls (world->store) - before, PATH_FRONTS, PATH_FRONTS);
  path_world_free (world);
}

/* Starts a new system with @fronts fronts. Returns the number of store lists until all fronts serve. */
static guint
count_startup_lists (guint fronts)
{
  PathWorld *world = path_world_new ("feed-wait-new");
  path_configure (world, 7);
  path_register_workers (world);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    path_start_replica (world, i);
  for (guint i = 0; i < fronts; i++)
    path_start_front (world, i);
  AWAIT (path_find_leader (world) >= 0);
  for (guint i = 0; i < fronts; i++)
    AWAIT (front_serves (world, i));
  guint lists = standin_store_get_n_list_calls (world->store);
  path_world_free (world);
  return lists;
}

/* All processes start together: each front waits for the first leader and makes a single list call. */
static void
test_whole_system_start (void **state)
{
  guint lists_without_fronts = count_startup_lists (0);
  assert_true (count_startup_lists (PATH_FRONTS) <= lists_without_fronts + PATH_FRONTS);
}

/* The store names a leader that does not respond: the front falls back to its own lists. */
static void
test_suspended_leader (void **state)
{
  PathWorld *world = path_world_new ("feed-wait-frozen");
  path_world_start (world);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    quince_process_suspend (world->replicas[i]);
  assert_true (measure_restart_ms (world, 0) < UNFED_START_MAX_MS);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    quince_process_resume (world->replicas[i]);
  path_world_free (world);
}

/* All replicas are killed while the store still names the last leader. */
static void
test_all_replicas_lost (void **state)
{
  PathWorld *world = path_world_new ("feed-wait-gone");
  path_world_start (world);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    quince_process_kill (world->replicas[i]);
  assert_true (measure_restart_ms (world, 0) < UNFED_START_MAX_MS);
  path_world_free (world);
}

/* The store is unavailable while a front starts, so the front cannot find the leader. It serves once the
 * store is back. */
static void
test_store_unavailable_at_start (void **state)
{
  PathWorld *world = path_world_new ("feed-wait-away");
  path_world_start (world);
  standin_store_set_fault (world->store, STANDIN_STORE_UNAVAILABLE);
  quince_process_kill (world->fronts[0]);
  path_start_front (world, 0);
  run_for (2500);
  assert_int_equal (path_status (path_front (world, 0), "POST", "/l/1", "q", "x"), 503);
  standin_store_set_fault (world->store, STANDIN_STORE_HEALTHY);
  AWAIT (front_serves (world, 0));
  path_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_restarts_with_healthy_leader),
    cmocka_unit_test (test_whole_system_start),
    cmocka_unit_test (test_suspended_leader),
    cmocka_unit_test (test_all_replicas_lost),
    cmocka_unit_test (test_store_unavailable_at_start),
  };
  return cmocka_run_group_tests_name ("feed-wait", tests, NULL, NULL);
}
