/*
 * test-restarted-workers.c: workers that crash and start again under their ids, or are lost for good.  Guards
 * against items that wait although their workers are idle, and against a request that ends one worker again
 * and again and counts one end only.
 */
#define PATH_PLAIN 3
#define PATH_MODEL 8
/* An entry lapses after three heartbeats of 1.2 s. */
#define CRASH_UNREGISTER_POLLS 180
#include "core/request/quarantine.h"

#include "crash-world.h"

#define EVENTS 10
#define EVENT_MS 100
#define ITEMS 24
/* So many that half of the workers have ended once. */
#define STEPS 5
/* Suspects are sent one at a time for each group of two. */
#define STEP_MS 8000
/* The time that a step has. */
#define LOST_STEP_MS 12000
#define FEW_WORKERS 3
#define TRIES 80
#define TRY_PAUSE_MS 100
#define FATAL_SENDS_MAX 6
/* Half of the plain workers, and at least one end that nobody could know of. */
#define PLAIN_RUNNING_MIN 2

static guint
count_events (const StandinWorker *worker, const char *batch)
{
  const GPtrArray *runs = standin_worker_get_runs (worker);
  guint events = 0;
  for (guint i = 0; i < runs->len; i++)
    {
      const StandinRun *run = runs->pdata[i];
      if (g_str_has_prefix (run->id, batch) && !run->disconnected)
        events += run->events->len;
    }
  return events;
}

/* Submits a step, and crashes the model worker @index when it streams. */
static void
begin_step (CrashWorld *world, const char *batch, guint index)
{
  g_autofree char *text = path_make_batch (batch, ITEMS);
  AWAIT (path_status (path_front (world->path, 0), "POST", "/r/x", batch, text) == 202);
  AWAIT (count_events (world->path->model[index], batch) > 0);
  standin_worker_crash (world->path->model[index]);
}

static void
assert_step_listed (CrashWorld *world, const char *batch, guint within_ms)
{
  gint64 start = g_get_monotonic_time ();
  guint listed = 0;
  while ((listed = path_count_results (world->path, 1, batch)) < ITEMS
         && g_get_monotonic_time () - start < within_ms * G_TIME_SPAN_MILLISECOND)
    run_for (CRASH_POLL_INTERVAL_MS);
  print_message ("  %s: %u of %u results %" G_GINT64_FORMAT " ms after the crash\n", batch, listed, ITEMS,
                 (g_get_monotonic_time () - start) / 1000);
  assert_int_equal (listed, ITEMS);
}

static CrashWorld *
start_world (const char *name, const char *crash_trigger)
{
  CrashWorld *world = crash_world_start (name, crash_trigger);
  world->keeps_ids = TRUE;
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->path->model[i], EVENTS, EVENT_MS);
  return world;
}

static void
assert_steps_listed (CrashWorld *world)
{
  for (guint i = 0; i < STEPS; i++)
    {
      g_autofree char *batch = g_strdup_printf ("b%u", i);
      begin_step (world, batch, i);
      assert_step_listed (world, batch, STEP_MS);
      AWAIT (crash_world_all_running (world));
    }
}

/* In each step another worker ends and starts again under its id: the items of each step are listed. */
static void
test_items (void **state)
{
  CrashWorld *world = start_world ("restarted-items", NULL);
  assert_steps_listed (world);
  crash_world_free (world);
}

/* The same if the entry of a restarted worker doesn't differ from the former one. */
static void
test_items_same_start_time (void **state)
{
  CrashWorld *world = start_world ("restarted-same-time", NULL);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_clock_stands_still (world->path->model[i], TRUE);
  assert_steps_listed (world);
  crash_world_free (world);
}

/* One of three workers is lost for good: the items that it ran are run by the others. */
static void
test_lost_for_good (void **state)
{
  CrashWorld *world = start_world ("lost-for-good", NULL);
  world->never_restarts = TRUE;
  for (guint i = FEW_WORKERS; i < PATH_MODEL; i++)
    {
      g_autofree char *key = g_strdup_printf ("servers/%s", standin_worker_get_id (world->path->model[i]));
      standin_store_remove (world->path->store, key);
    }
  run_for (1500);
  begin_step (world, "b1", 0);
  assert_step_listed (world, "b1", LOST_STEP_MS);
  crash_world_free (world);
}

/* A request that ends its workers is held after as many ends as if they restarted under new ids, and never
 * takes more than half of its service. */
static void
assert_fatal_request_held (CrashWorld *world)
{
  for (guint i = 0; i < PATH_FRONTS; i++)
    AWAIT (crash_world_serves (world, i));
  for (guint i = 0; i < TRIES; i++)
    {
      crash_world_call (world, i % PATH_FRONTS, "/l/1", "poison");
      run_for (TRY_PAUSE_MS);
    }
  print_message ("  %u sends, at the worst %u of %u workers ran\n", crash_world_count_runs (world, "poison"),
                 world->min_plain_running, PATH_PLAIN);
  assert_in_range (crash_world_count_runs (world, "poison"), QUINCE_QUARANTINE_HOLD_ENDS_MIN,
                   FATAL_SENDS_MAX);
  assert_true (world->min_plain_running >= PLAIN_RUNNING_MIN);
  AWAIT (crash_world_all_serve (world));
}

static void
test_fatal_request (void **state)
{
  CrashWorld *world = start_world ("restarted-fatal", "poison");
  assert_fatal_request_held (world);
  crash_world_free (world);
}

/* The same if the entry of a restarted worker doesn't differ from the former one. */
static void
test_fatal_request_same_start_time (void **state)
{
  CrashWorld *world = start_world ("fatal-same-time", "poison");
  for (guint i = 0; i < PATH_PLAIN; i++)
    standin_worker_set_clock_stands_still (world->path->plain[i], TRUE);
  assert_fatal_request_held (world);
  crash_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_items),
    cmocka_unit_test (test_items_same_start_time),
    cmocka_unit_test (test_lost_for_good),
    cmocka_unit_test (test_fatal_request),
    cmocka_unit_test (test_fatal_request_same_start_time),
  };
  return cmocka_run_group_tests_name ("restarted-workers", tests, NULL, NULL);
}
