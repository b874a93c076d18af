/*
 * test-quarantine.c: a request that ends the workers that run it is sent to few of them, whoever sees it.
 */
/* So many that their service bears four ends at once: what it does with fewer is tested elsewhere. */
#define PATH_PLAIN 8
#include "core/request/quarantine.h"

#include "crash-world.h"

/* Three ends, and no more than three sends after them, whatever is tried afterwards. */
#define SENDS_MAX 6
#define TRIES 12

/* Tries one request again and again, at the fronts by turns, with time for workers to come back. */
static void
try_often (CrashWorld *world, const char *target, const char *body, guint fronts)
{
  for (guint i = 0; i < TRIES; i++)
    {
      AWAIT (crash_world_all_running (world));
      for (guint front = 0; front < PATH_FRONTS; front++)
        AWAIT (crash_world_serves (world, front));
      crash_world_call (world, i % fronts, target, body);
      run_for (CRASH_POLL_INTERVAL_MS * 2);
    }
  AWAIT (crash_world_all_running (world));
}

static void
test_one_front (void **state)
{
  CrashWorld *world = crash_world_start ("one-front", "poison");
  try_often (world, "/l/1", "poison", 1);
  assert_in_range (crash_world_count_runs (world, "poison"), 1, SENDS_MAX);
  crash_world_free (world);
}

static void
test_two_fronts (void **state)
{
  CrashWorld *world = crash_world_start ("two-fronts", "poison");
  try_often (world, "/l/1", "poison", PATH_FRONTS);
  assert_in_range (crash_world_count_runs (world, "poison"), 1, SENDS_MAX);
  crash_world_free (world);
}

/* Streams that may be resumed, and those that may not. */
static void
test_streams (void **state)
{
  CrashWorld *world = crash_world_start ("streams", "poison");
  try_often (world, "/s/1", "poison", PATH_FRONTS);
  assert_in_range (crash_world_count_runs (world, "poison"), 1, SENDS_MAX);
  try_often (world, "/u/1", "poison-u", PATH_FRONTS);
  assert_in_range (crash_world_count_runs (world, "poison-u"), 1, SENDS_MAX);
  crash_world_free (world);
}

/* One item of a batch ends its workers: it is sent on at growing intervals, and the others are made all the
 * same. */
static void
test_items (void **state)
{
  CrashWorld *world = crash_world_start ("items", "/r/0");
  g_autofree char *text = path_make_batch ("b1", 6);
  AWAIT (path_status (path_front (world->path, 0), "POST", "/r/x", "b1", text) == 202);
  AWAIT (path_count_results (world->path, 0, "b1") == 5);
  run_for (3000);
  AWAIT (crash_world_all_running (world));
  assert_in_range (crash_world_count_runs (world, "/r/0"), 1,
                   crash_world_owed_sends_max (world, "/r/0", QUINCE_QUARANTINE_HOLD_ENDS_MIN));
  assert_int_equal (path_count_results (world->path, 0, "b1"), 5);
  crash_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_one_front),
    cmocka_unit_test (test_two_fronts),
    cmocka_unit_test (test_streams),
    cmocka_unit_test (test_items),
  };
  return cmocka_run_group_tests_name ("quarantine", tests, NULL, NULL);
}
