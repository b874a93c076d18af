/*
 * test-connect-stopped.c: guards against a front that refuses a lookup because the connection to its only
 * worker was established while the front was stopped for longer than the connect timeout.  The timeout was
 * handled before the connection, and callers got 503 no_connection although the worker was available.
 */
#define PATH_FRONTS 1
#define PATH_PLAIN 1

#include "call-load.h"
#include "relayed-world.h"

/* The idle connection of the front is in use for this time, so that the next lookup opens another one. */
#define LOOKUP_DURATION_MS 400
/* Longer than the connect timeout of the front, shorter than the timeout of the route. */
#define STOPPED_MS 1000

static guint
get_n_runs (const PathWorld *world)
{
  return standin_worker_get_runs (world->plain[0])->len;
}

static void
assert_answered (PathAnswer *answer)
{
  AWAIT (answer->done);
  if (answer->status != 200)
    fail_msg ("status=%u body=%s", answer->status, answer->body);
  path_answer_clear (answer);
}

static void
test_connection_established_while_stopped (void **state)
{
  PathWorld *world = path_world_new ("connect-stopped");
  g_autofree char *file = g_build_filename (world->folder, "stop-at-connect", NULL);
  g_setenv ("QUINCE_STOP_AT_CONNECT", file, TRUE);
  g_setenv ("LD_PRELOAD", g_getenv ("QUINCE_STOP_AT_CONNECT_LIBRARY"), TRUE);
  path_world_start (world);
  g_unsetenv ("LD_PRELOAD");
  call_load_configure (world, 8);
  AWAIT (path_status (path_front (world, 0), "POST", "/n/1", "q", "x") == 200);
  standin_worker_set_answer_delay (world->plain[0], LOOKUP_DURATION_MS);
  guint runs_before = get_n_runs (world);
  PathAnswer first, second;
  path_start_call (path_front (world, 0), "POST", "/n/1", "first", "x", &first);
  AWAIT (get_n_runs (world) == runs_before + 1);
  const char *port = relayed_get_port (standin_worker_get_address (world->plain[0]));
  g_assert_true (g_file_set_contents (file, port, -1, NULL));
  path_start_call (path_front (world, 0), "POST", "/n/1", "second", "x", &second);
  AWAIT (!g_file_test (file, G_FILE_TEST_EXISTS));
  run_for (STOPPED_MS);
  quince_process_resume (world->fronts[0]);
  assert_answered (&first);
  assert_answered (&second);
  assert_int_equal (get_n_runs (world), runs_before + 2);
  path_world_free (world);
}

int
main (void)
{
  relayed_allow_preload ();
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_connection_established_while_stopped) };
  return cmocka_run_group_tests_name ("connect-stopped", tests, NULL, NULL);
}
