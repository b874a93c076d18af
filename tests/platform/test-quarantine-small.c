/*
 * test-quarantine-small.c: a request that ends its workers leaves a service of few workers at work.
 */
#define PATH_PLAIN 3
#include "core/request/quarantine.h"

#include "crash-world.h"

#define TRIES 40
/* Until it is held: it waits for workers to be back and listed after each end. */
#define TRIES_MAX 400
/* Half of three workers, and the end that nobody could know of. */
#define LIVE_MIN 2
#define SENDS_MAX 6
/* A second run begins after 60 to 75 ms. */
#define HEDGED_FATAL_MS 110

/* The answers of one try of the request that ends workers, and of an innocent one beside it. */
static void
try_both (CrashWorld *world, guint number, guint *refused)
{
  PathAnswer guilty;
  guint before = crash_world_count_runs (world, "poison");
  g_autofree char *id = g_strdup_printf ("guilty-%u", number);
  path_call (path_front (world->path, number % PATH_FRONTS), "POST", "/l/1", id, "poison", &guilty);
  gboolean sent = crash_world_count_runs (world, "poison") > before;
  if (guilty.status == 503)
    {
      assert_false (sent);
      assert_non_null (guilty.retry_after);
      (*refused)++;
    }
  else
    assert_int_equal (guilty.status, 502);
  path_answer_clear (&guilty);
  for (guint front = 0; front < PATH_FRONTS; front++)
    assert_true (crash_world_serves (world, front));
}

/* It is tried at two fronts by turns, without a pause: its service never has fewer than half of its workers,
 * and innocent requests are served all the time. */
static void
test_three_workers (void **state)
{
  CrashWorld *world = crash_world_start ("three", "poison");
  for (guint i = 0; i < PATH_FRONTS; i++)
    AWAIT (crash_world_serves (world, i));
  guint refused = 0;
  guint tries_after = 0;
  for (guint i = 0; i < TRIES_MAX && tries_after < TRIES; i++)
    {
      try_both (world, i, &refused);
      run_for (CRASH_POLL_INTERVAL_MS * 2);
      tries_after += crash_world_count_runs (world, "poison") >= QUINCE_QUARANTINE_HOLD_ENDS_MIN;
    }
  print_message ("  %u sends, %u refused at once, at the worst %u of %u workers lived\n",
                 crash_world_count_runs (world, "poison"), refused, world->min_plain_running, PATH_PLAIN);
  assert_in_range (crash_world_count_runs (world, "poison"), QUINCE_QUARANTINE_HOLD_ENDS_MIN, SENDS_MAX);
  assert_true (refused > 0);
  assert_true (world->min_plain_running >= LIVE_MIN);
  crash_world_free (world);
}

/* It takes so long that a second run begins beside the first, which nobody could know of; the next such
 * request has no second run there. */
static void
test_hedged (void **state)
{
  CrashWorld *world = crash_world_start ("hedged", "poison");
  for (guint i = 0; i < PATH_PLAIN; i++)
    standin_worker_set_crash_trigger (world->path->plain[i], "poison", HEDGED_FATAL_MS, G_MAXUINT);
  for (guint i = 0; i < PATH_FRONTS; i++)
    AWAIT (crash_world_serves (world, i));
  crash_world_call (world, 0, "/l/1", "poison-first");
  assert_int_equal (crash_world_count_runs (world, "poison-first"), 2);
  AWAIT (crash_world_all_serve (world));
  world->min_plain_running = PATH_PLAIN;
  crash_world_call (world, 1, "/l/1", "poison-second");
  assert_int_equal (crash_world_count_runs (world, "poison-second"), 1);
  assert_true (world->min_plain_running >= LIVE_MIN);
  crash_world_free (world);
}

/* A front that reaches no leader sees by itself what its service bears, and sends no more than it may there.
 */
static void
test_no_leader (void **state)
{
  CrashWorld *world = crash_world_start ("small-no-leader", "poison");
  for (guint i = 0; i < PATH_FRONTS; i++)
    AWAIT (crash_world_serves (world, i));
  for (guint i = 0; i < PATH_REPLICAS; i++)
    quince_process_kill (world->path->replicas[i]);
  guint refused = 0;
  for (guint i = 0; i < TRIES; i++)
    {
      PathAnswer answer;
      path_call (path_front (world->path, 0), "POST", "/l/1", "cut", "poison", &answer);
      refused += answer.status == 503 && answer.retry_after != NULL;
      path_answer_clear (&answer);
      assert_true (crash_world_serves (world, 0));
      run_for (CRASH_POLL_INTERVAL_MS * 5);
    }
  print_message ("  %u sends, %u refused at once\n", crash_world_count_runs (world, "poison"), refused);
  assert_in_range (crash_world_count_runs (world, "poison"), 1, 2);
  assert_true (refused >= TRIES - 2);
  assert_true (world->min_plain_running >= LIVE_MIN);
  crash_world_free (world);
}

/* A service with a single worker: it is sent again seldom. */
static void
test_one_worker (void **state)
{
  CrashWorld *world = crash_world_start ("one", "poison");
  for (guint i = 1; i < PATH_PLAIN; i++)
    {
      g_autofree char *key = g_strdup_printf ("servers/%s", standin_worker_get_id (world->path->plain[i]));
      standin_store_remove (world->path->store, key);
    }
  run_for (1500);
  AWAIT (crash_world_all_serve (world));
  for (guint i = 0; i < TRIES / 2; i++)
    {
      crash_world_call (world, i % PATH_FRONTS, "/l/1", "poison");
      AWAIT (crash_world_all_serve (world));
    }
  print_message ("  %u sends\n", crash_world_count_runs (world, "poison"));
  assert_in_range (crash_world_count_runs (world, "poison"), 1, 2);
  crash_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_three_workers),
    cmocka_unit_test (test_hedged),
    cmocka_unit_test (test_no_leader),
    cmocka_unit_test (test_one_worker),
  };
  return cmocka_run_group_tests_name ("quarantine-small", tests, NULL, NULL);
}
