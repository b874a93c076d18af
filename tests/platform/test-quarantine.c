/*
 * test-quarantine.c: a request that ends the workers that run it is sent to few of them, whoever sees it.
 */
/* So many that their service bears four ends at once: what it does with fewer is tested elsewhere. */
#define PATH_PLAIN 8
#include "ends-world.h"

/* Three ends, and no more than three sends after them, whatever is tried afterwards. */
#define SENDS_MAX 6
#define TRIES 12

/* Tries one request again and again, at the fronts by turns, with time for workers to come back. */
static void
try_often (EndsWorld *world, const char *target, const char *body, guint fronts)
{
  for (guint i = 0; i < TRIES; i++)
    {
      AWAIT (ends_all_live (world));
      for (guint front = 0; front < PATH_FRONTS; front++)
        AWAIT (ends_serves (world, front));
      ends_try (world, i % fronts, target, body);
      run_for (ENDS_LOOK_MS * 2);
    }
  AWAIT (ends_all_live (world));
}

static void
test_one_front (void **state)
{
  EndsWorld *world = ends_world_start ("one-front", "poison");
  try_often (world, "/l/1", "poison", 1);
  assert_in_range (ends_runs (world, "poison"), 1, SENDS_MAX);
  ends_world_free (world);
}

static void
test_two_fronts (void **state)
{
  EndsWorld *world = ends_world_start ("two-fronts", "poison");
  try_often (world, "/l/1", "poison", PATH_FRONTS);
  assert_in_range (ends_runs (world, "poison"), 1, SENDS_MAX);
  ends_world_free (world);
}

/* Streams that may be resumed, and those that may not. */
static void
test_streams (void **state)
{
  EndsWorld *world = ends_world_start ("streams", "poison");
  try_often (world, "/s/1", "poison", PATH_FRONTS);
  assert_in_range (ends_runs (world, "poison"), 1, SENDS_MAX);
  try_often (world, "/u/1", "poison-u", PATH_FRONTS);
  assert_in_range (ends_runs (world, "poison-u"), 1, SENDS_MAX);
  ends_world_free (world);
}

/* One item of a batch ends its workers; the others are made all the same. */
static void
test_items (void **state)
{
  EndsWorld *world = ends_world_start ("items", "/r/0");
  g_autofree char *text = path_batch_text ("b1", 6);
  AWAIT (path_status (path_front (world->path, 0), "POST", "/r/x", "b1", text) == 202);
  AWAIT (path_listed (world->path, 0, "b1") == 5);
  run_for (3000);
  AWAIT (ends_all_live (world));
  assert_in_range (ends_runs (world, "/r/0"), 1, SENDS_MAX);
  assert_int_equal (path_listed (world->path, 0, "b1"), 5);
  ends_world_free (world);
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
