/*
 * test-replaced-workers.c: workers that crash and restart at once under new ids, while the entries of their
 * former incarnations expire seconds later.  Guards against such entries being counted as workers of the
 * service, so that too few seem ready and no suspect is sent.
 */
#define PATH_PLAIN 8
#define PATH_MODEL 8
/* An entry lapses after three heartbeats of 1.2 s. */
#define CRASH_UNREGISTER_POLLS 180
#include "crash-world.h"

#define EVENTS 6
#define EVENT_MS 100
/* So many that each worker runs some, so that all ends are known. */
#define ITEMS 24
/* Suspects are sent one at a time for each group of two. */
#define RECOVERY_MS 8000

static void
crash_all (CrashWorld *world)
{
  for (guint i = 0; i < CRASH_N_WORKERS; i++)
    standin_worker_crash (crash_world_get_worker (world, i));
}

static guint
count_runs (CrashWorld *world)
{
  guint runs = 0;
  for (guint i = 0; i < PATH_MODEL; i++)
    runs += standin_worker_get_runs (world->path->model[i])->len;
  return runs;
}

/* All items of a step run when all workers crash: they are listed soon after. */
static void
test_items (void **state)
{
  CrashWorld *world = crash_world_start ("replaced-items", NULL);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->path->model[i], EVENTS, EVENT_MS);
  g_autofree char *text = path_make_batch ("b1", ITEMS);
  AWAIT (path_status (path_front (world->path, 0), "POST", "/r/x", "b1", text) == 202);
  AWAIT (count_runs (world) == ITEMS);
  run_for (EVENT_MS);
  crash_all (world);
  AWAIT (crash_world_all_running (world));
  gint64 start = g_get_monotonic_time ();
  while (path_count_results (world->path, 1, "b1") < ITEMS
         && g_get_monotonic_time () - start < RECOVERY_MS * G_TIME_SPAN_MILLISECOND)
    run_for (CRASH_POLL_INTERVAL_MS);
  guint listed = path_count_results (world->path, 1, "b1");
  print_message ("  %u of %u results %" G_GINT64_FORMAT " ms after the burst\n", listed, ITEMS,
                 (g_get_monotonic_time () - start) / 1000);
  assert_int_equal (listed, ITEMS);
  crash_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_items) };
  return cmocka_run_group_tests_name ("replaced-workers", tests, NULL, NULL);
}
