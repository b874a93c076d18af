/*
 * test-quarantine-faults.c: what the caller of a held request gets, which requests are not held, and what is
 * remembered over changes of leaders, fronts and software.
 */
/* So many that their service bears four ends at once: what it does with fewer is tested elsewhere. */
#define PATH_PLAIN 8
#include "core/request/quarantine.h"

#include "crash-world.h"

#define SENDS_MAX 6
#define NEIGHBOURS 5
#define TRIES_MAX 20

/* Returns: the status once the front says that it is held; 0: it never does */
static guint
try_until_held (CrashWorld *world, const char *target, const char *body)
{
  for (guint i = 0; i < TRIES_MAX; i++)
    {
      AWAIT (crash_world_all_serve (world));
      guint before = crash_world_count_runs (world, body);
      guint status = crash_world_call (world, i % PATH_FRONTS, target, body);
      run_for (CRASH_POLL_INTERVAL_MS);
      if (status == 502 && crash_world_count_runs (world, body) == before)
        return status;
    }
  return 0;
}

/* At every front the same, at once, and with no time to come back. */
static void
test_answer (void **state)
{
  CrashWorld *world = crash_world_start ("answer", "poison");
  assert_int_equal (try_until_held (world, "/l/1", "poison"), 502);
  guint runs = crash_world_count_runs (world, "poison");
  assert_in_range (runs, 1, SENDS_MAX);
  AWAIT (crash_world_all_serve (world));
  for (guint i = 0; i < PATH_FRONTS; i++)
    {
      PathAnswer answer;
      assert_int_equal (path_call (path_front (world->path, i), "POST", "/l/1", "again", "poison", &answer),
                        502);
      assert_null (answer.retry_after);
      assert_null (answer.signature);
      assert_non_null (strstr (answer.body, "request_held"));
      path_answer_clear (&answer);
    }
  assert_int_equal (crash_world_count_runs (world, "poison"), runs);
  crash_world_free (world);
}

/* Requests in the slots of workers that a request ends are served, whatever they met. */
static void
test_neighbours (void **state)
{
  CrashWorld *world = crash_world_start ("neighbours", "poison");
  for (guint i = 0; i < PATH_PLAIN; i++)
    standin_worker_set_answer_delay (world->path->plain[i], 100);
  gboolean served[NEIGHBOURS] = { FALSE };
  for (guint round = 0; round < 10; round++)
    {
      AWAIT (crash_world_all_serve (world));
      PathAnswer answers[NEIGHBOURS + 1];
      for (guint i = 0; i <= NEIGHBOURS; i++)
        {
          g_autofree char *id = g_strdup_printf ("n%u-%u", round, i);
          g_autofree char *body = i < NEIGHBOURS ? g_strdup_printf ("near-%u", i) : g_strdup ("poison");
          path_start_call (path_front (world->path, i % PATH_FRONTS), "POST", "/l/1", id, body, &answers[i]);
        }
      for (guint i = 0; i <= NEIGHBOURS; i++)
        AWAIT (answers[i].done);
      for (guint i = 0; i < NEIGHBOURS; i++)
        served[i] = served[i] || answers[i].status == 200;
      for (guint i = 0; i <= NEIGHBOURS; i++)
        path_answer_clear (&answers[i]);
    }
  for (guint i = 0; i < NEIGHBOURS; i++)
    assert_true (served[i]);
  assert_in_range (crash_world_count_runs (world, "poison"), 1, SENDS_MAX);
  crash_world_free (world);
}

/* A request that met three workers which died for reasons of their own is answered. */
static void
test_unlucky (void **state)
{
  CrashWorld *world = crash_world_start ("unlucky", NULL);
  for (guint i = 0; i < 3; i++)
    {
      AWAIT (crash_world_all_serve (world));
      for (guint j = 0; j < PATH_PLAIN; j++)
        standin_worker_set_crash_trigger (world->path->plain[j], "unlucky", CRASH_DELAY_MS,
                                          i == 0 && j == 0 ? 1 : 0);
      if (i > 0)
        standin_worker_set_crash_trigger (world->path->plain[i % PATH_PLAIN], "unlucky", CRASH_DELAY_MS, 1);
      for (guint ends = world->crashes; world->crashes == ends;)
        crash_world_call (world, i % PATH_FRONTS, "/l/1", "unlucky");
    }
  AWAIT (crash_world_all_serve (world));
  assert_int_equal (crash_world_call (world, 0, "/l/1", "unlucky"), 200);
  crash_world_free (world);
}

/* Live workers that reset connections are no ends: the request is sent on as before. */
static void
test_resets (void **state)
{
  CrashWorld *world = crash_world_start ("resets", NULL);
  for (guint i = 0; i < PATH_PLAIN; i++)
    standin_worker_set_fault (world->path->plain[i], STANDIN_WORKER_RESETS, 10);
  for (guint i = 0; i < 10; i++)
    crash_world_call (world, i % PATH_FRONTS, "/l/1", "reset");
  AWAIT (crash_world_call (world, 0, "/l/1", "reset") == 200);
  crash_world_free (world);
}

/* A new leader learns it from the fronts, a front that has just started from the leader. */
static void
test_leader_and_front (void **state)
{
  CrashWorld *world = crash_world_start ("leader-and-front", "poison");
  AWAIT (crash_world_all_serve (world));
  crash_world_call (world, 0, "/l/1", "poison");
  AWAIT (crash_world_all_serve (world));
  gint leader = path_find_leader (world->path);
  quince_process_kill (world->path->replicas[leader]);
  AWAIT (path_find_leader (world->path) != leader);
  path_start_replica (world->path, (guint)leader);
  AWAIT (path_status (path_front (world->path, 1), "GET", "/quinceroute/lots/none", "q", NULL) == 404);
  crash_world_call (world, 1, "/l/1", "poison");
  AWAIT (crash_world_all_serve (world));
  quince_process_kill (world->path->fronts[0]);
  path_start_front (world->path, 0);
  assert_int_equal (try_until_held (world, "/l/1", "poison"), 502);
  assert_in_range (crash_world_count_runs (world, "poison"), 1, SENDS_MAX);
  crash_world_free (world);
}

/* A front that reaches no leader, as in a zone that is cut off: nobody gives permits, and from the second end
 * on it says that the request was not run. */
static void
test_no_leader (void **state)
{
  CrashWorld *world = crash_world_start ("no-leader", "poison");
  AWAIT (crash_world_all_serve (world));
  for (guint i = 0; i < PATH_REPLICAS; i++)
    quince_process_kill (world->path->replicas[i]);
  guint status = 0;
  for (guint i = 0; i < 6; i++)
    {
      AWAIT (crash_world_all_running (world) && crash_world_serves (world, 0));
      status = crash_world_call (world, 0, "/l/1", "poison");
      run_for (CRASH_POLL_INTERVAL_MS);
    }
  assert_int_equal (status, 503);
  assert_int_equal (crash_world_count_runs (world, "poison"), QUINCE_QUARANTINE_ALONE_ENDS_MIN);
  crash_world_free (world);
}

/* While the store is away the leader and the fronts go on by their links; what was held is written
 * afterwards. */
static void
test_store_away (void **state)
{
  CrashWorld *world = crash_world_start ("store-away", "poison");
  AWAIT (crash_world_all_serve (world));
  standin_store_set_fault (world->path->store, STANDIN_STORE_UNAVAILABLE);
  for (guint i = 0; i < 4; i++)
    {
      crash_world_call (world, i % PATH_FRONTS, "/l/1", "poison");
      run_for (CRASH_POLL_INTERVAL_MS * CRASH_RESTART_POLLS + 100);
    }
  standin_store_set_fault (world->path->store, STANDIN_STORE_HEALTHY);
  AWAIT (crash_world_all_serve (world));
  assert_int_equal (try_until_held (world, "/l/1", "poison"), 502);
  assert_in_range (crash_world_count_runs (world, "poison"), 1, SENDS_MAX);
  g_autofree char *all = NULL;
  AWAIT ((g_free (all), all = standin_store_dump_except (world->path->store, "none"),
          strstr (all, "ended_ms=")));
  crash_world_free (world);
}

static char *
held_digest (CrashWorld *world)
{
  g_autofree char *file = g_strdup_printf ("%s/front-0.out", world->path->folder);
  g_autofree char *text = NULL;
  assert_true (g_file_get_contents (file, &text, NULL, NULL));
  const char *at = strstr (text, "event=suspect_held");
  assert_non_null (at);
  return g_strndup (strstr (at, "digest=") + strlen ("digest="), 32);
}

/* An operator releases it: it is sent once more. */
static void
test_operator (void **state)
{
  CrashWorld *world = crash_world_start ("operator", "poison");
  assert_int_equal (try_until_held (world, "/l/1", "poison"), 502);
  AWAIT (crash_world_all_serve (world));
  crash_world_call (world, 0, "/l/1", "poison");
  guint runs = crash_world_count_runs (world, "poison");
  g_autofree char *digest = held_digest (world);
  g_autofree char *key = g_strdup_printf ("quinceroute/quarantine/%s", digest);
  AWAIT (standin_store_get (world->path->store, key) != NULL);
  assert_int_equal (path_run_operator_tool (world->path, (const char *const[]){ "quarantine", "list", NULL }),
                    0);
  assert_int_equal (
      path_run_operator_tool (world->path, (const char *const[]){ "quarantine", "release", digest, NULL }),
      0);
  AWAIT (crash_world_call (world, 0, "/l/1", "poison") != 0
         && crash_world_count_runs (world, "poison") > runs);
  assert_int_equal (try_until_held (world, "/l/1", "poison"), 502);
  assert_int_equal (crash_world_count_runs (world, "poison"), runs + 1);
  crash_world_free (world);
}

/* Against other software it may be sound. */
static void
test_software (void **state)
{
  CrashWorld *world = crash_world_start ("software", "poison");
  assert_int_equal (try_until_held (world, "/l/1", "poison"), 502);
  AWAIT (crash_world_all_serve (world));
  for (guint i = 0; i < PATH_PLAIN; i++)
    {
      standin_worker_set_crash_trigger (world->path->plain[i], NULL, 0, 0);
      standin_worker_set_software_version (world->path->plain[i], "v2");
      standin_worker_crash (world->path->plain[i]);
    }
  AWAIT (crash_world_all_serve (world));
  AWAIT (crash_world_call (world, 0, "/l/1", "poison") == 200);
  AWAIT (crash_world_call (world, 1, "/l/1", "poison") == 200);
  crash_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_answer),     cmocka_unit_test (test_neighbours),
    cmocka_unit_test (test_unlucky),    cmocka_unit_test (test_resets),
    cmocka_unit_test (test_operator),   cmocka_unit_test (test_leader_and_front),
    cmocka_unit_test (test_store_away), cmocka_unit_test (test_software),
    cmocka_unit_test (test_no_leader),
  };
  return cmocka_run_group_tests_name ("quarantine-faults", tests, NULL, NULL);
}
