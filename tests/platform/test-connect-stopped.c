/*
 * test-connect-stopped.c: a front is stopped for longer than the timeout of a connection that it opens, and
 * the kernel has the result of the connection when the front goes on.
 */
#define PATH_FRONTS 1
#define PATH_PLAIN 1

#include "call-load.h"
#include "relayed-world.h"

/* The idle connection of the front is in use for this time, so that the next lookup opens another one. */
#define LOOKUP_DURATION_MS 400
/* Time in which the test prepares the stop, before the worker ends. */
#define CRASH_DELAY_MS 200
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

/* Returns: (transfer full): the name of the file that makes the front stop */
static char *
get_stop_file (const PathWorld *world)
{
  return g_build_filename (world->folder, "stop-at-connect", NULL);
}

/* Starts a deployment whose front has an idle connection to the only worker for lookups. */
static PathWorld *
start_world (const char *name)
{
  PathWorld *world = path_world_new (name);
  g_autofree char *file = get_stop_file (world);
  g_setenv ("QUINCE_STOP_AT_CONNECT", file, TRUE);
  g_setenv ("LD_PRELOAD", g_getenv ("QUINCE_STOP_AT_CONNECT_LIBRARY"), TRUE);
  path_world_start (world);
  g_unsetenv ("LD_PRELOAD");
  call_load_configure (world, 8);
  AWAIT (path_status (path_front (world, 0), "POST", "/n/1", "q", "x") == 200);
  return world;
}

/* Makes the front stop when it connects to the worker next. */
static void
prepare_stop (const PathWorld *world)
{
  g_autofree char *file = get_stop_file (world);
  const char *port = relayed_get_port (standin_worker_get_address (world->plain[0]));
  g_assert_true (g_file_set_contents (file, port, -1, NULL));
}

/* Waits until the front connects to the worker, and resumes it STOPPED_MS later. */
static void
await_stop_and_resume (const PathWorld *world)
{
  g_autofree char *file = get_stop_file (world);
  AWAIT (!g_file_test (file, G_FILE_TEST_EXISTS));
  run_for (STOPPED_MS);
  quince_process_resume (world->fronts[0]);
}

/* Guards against a front that refuses a lookup because the connection to its only worker was established
 * while the front was stopped.  The timeout was handled before the connection, and callers got 503
 * no_connection although the worker was available. */
static void
test_connection_established_while_stopped (void **state)
{
  PathWorld *world = start_world ("connect-stopped");
  standin_worker_set_answer_delay (world->plain[0], LOOKUP_DURATION_MS);
  guint runs_before = get_n_runs (world);
  PathAnswer first, second;
  path_start_call (path_front (world, 0), "POST", "/n/1", "first", "x", &first);
  AWAIT (get_n_runs (world) == runs_before + 1);
  prepare_stop (world);
  path_start_call (path_front (world, 0), "POST", "/n/1", "second", "x", &second);
  await_stop_and_resume (world);
  assert_answered (&first);
  assert_answered (&second);
  assert_int_equal (get_n_runs (world), runs_before + 2);
  path_world_free (world);
}

static gboolean
has_logged (const PathWorld *world, const char *text)
{
  g_autofree char *log = quince_process_read_output (world->fronts[0]);
  return log != NULL && strstr (log, text) != NULL;
}

/* Guards against an end of a worker that is not attributed to the request that it ran, because the refusal of
 * the check's connection arrived while the front was stopped.  The check counted as timed out, and the
 * request was not a suspect. */
static void
test_connection_refused_while_stopped (void **state)
{
  PathWorld *world = start_world ("check-stopped");
  standin_worker_set_crash_trigger (world->plain[0], "poison", CRASH_DELAY_MS, 1);
  guint runs_before = get_n_runs (world);
  PathAnswer answer;
  path_start_call (path_front (world, 0), "POST", "/n/1", "lost", "poison", &answer);
  AWAIT (get_n_runs (world) == runs_before + 1);
  prepare_stop (world);
  await_stop_and_resume (world);
  AWAIT (answer.done);
  path_answer_clear (&answer);
  AWAIT (has_logged (world, "event=run_lost request=lost "));
  AWAIT (path_status (path_front (world, 0), "POST", "/n/1", "q", "x") == 503);
  assert_true (has_logged (world, "event=worker_ended "));
  path_world_free (world);
}

int
main (void)
{
  relayed_allow_preload ();
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_connection_established_while_stopped),
    cmocka_unit_test (test_connection_refused_while_stopped),
  };
  return cmocka_run_group_tests_name ("connect-stopped", tests, NULL, NULL);
}
