/*
 * test-path.c: the whole path on stand-ins of the platform: callers, fronts, the ledger, workers.
 */
#include "path-world.h"

#include <stdlib.h>

/* ---- Lookups and configuration ------------------------------------------- */

static void
test_lookups (void **state)
{
  PathWorld *world = path_world_new ("lookups");
  path_start_front (world, 0);
  const char *front = path_front (world, 0);
  /* No configuration is known yet: 503 and when to come back, never 404. */
  PathAnswer answer;
  assert_int_equal (path_call (front, "POST", "/l/1", "r1", "x", &answer), 503);
  assert_non_null (answer.retry_after);
  path_answer_clear (&answer);
  assert_int_equal (path_status (quince_process_get_ready_value (world->fronts[0], "ready"), "GET",
                                 "/quinceroute/readyz", "q", NULL),
                    503);
  path_configure (world, 3);
  path_register_workers (world);
  AWAIT (path_status (front, "POST", "/l/1", "r2", "x") == 200);
  assert_int_equal (path_status (quince_process_get_ready_value (world->fronts[0], "ready"), "GET",
                                 "/quinceroute/readyz", "q", NULL),
                    200);
  path_call (front, "POST", "/l/1", "r3", "question", &answer);
  assert_true (g_str_has_prefix (answer.body, "question by p"));
  assert_true (g_str_has_prefix (answer.signature, "stamp-p"));
  path_answer_clear (&answer);
  assert_int_equal (path_status (front, "POST", "/nowhere/1", "r4", "x"), 404);
  g_autofree char *large = g_strnfill (100001, 'x');
  assert_int_equal (path_status (front, "POST", "/l/1", "r5", large), 413);
  path_world_free (world);
}

/* An older configuration is never taken, a newer one at once. */
static void
test_configurations_only_rise (void **state)
{
  PathWorld *world = path_world_new ("configurations");
  path_configure (world, 5);
  path_register_workers (world);
  path_start_front (world, 0);
  AWAIT (path_status (path_front (world, 0), "POST", "/l/1", "r1", "x") == 200);
  standin_store_put (world->store, "op/config",
                     "{\"version\":4,\"routes\":[],\"services\":[],\"limits\":{}}");
  run_for (200);
  assert_int_equal (path_status (path_front (world, 0), "POST", "/l/1", "r2", "x"), 200);
  standin_store_put (world->store, "op/config",
                     "{\"version\":6,\"routes\":[],\"services\":[],\"limits\":{}}");
  AWAIT (path_status (path_front (world, 0), "POST", "/l/1", "r3", "x") == 404);
  path_world_free (world);
}

/* ---- The directory -------------------------------------------------------- */

static guint
named (PathWorld *world, guint asked)
{
  PathAnswer answer;
  path_call (quince_process_get_ready_value (world->fronts[asked], "directory"), "GET",
             "/quinceroute/resolve?name=x&zone=z1", "q", NULL, &answer);
  guint count = answer.status == 200 ? path_count_occurrences (answer.body, "127.0.0.1:") : 0;
  path_answer_clear (&answer);
  return count;
}

/* Failed first: a front that was killed was named for 12 s. */
static void
test_directory (void **state)
{
  PathWorld *world = path_world_new ("directory");
  path_configure (world, 3);
  path_start_front (world, 0);
  path_start_front (world, 1);
  AWAIT (named (world, 0) == 2 && named (world, 1) == 2);
  gint64 killed = g_get_monotonic_time ();
  quince_process_kill (world->fronts[1]);
  AWAIT (named (world, 0) == 1);
  if (g_get_monotonic_time () - killed > 8 * G_USEC_PER_SEC)
    fail_msg ("a dead front is named for too long");
  /* A store that loses its leases in an outage takes nobody out who lives. */
  path_start_front (world, 1);
  AWAIT (named (world, 0) == 2);
  standin_store_set_fault (world->store, STANDIN_STORE_UNAVAILABLE);
  standin_store_close_connections (world->store);
  run_for (300);
  standin_store_expire_leases (world->store);
  standin_store_set_fault (world->store, STANDIN_STORE_HEALTHY);
  for (guint i = 0; i < 20; i++)
    {
      assert_int_equal (named (world, 0), 2);
      run_for (100);
    }
  path_world_free (world);
}

/* A planned stop: what was read is answered, the directory forgets the front at once. */
static void
test_planned_stop (void **state)
{
  PathWorld *world = path_world_new ("stop");
  path_configure (world, 3);
  path_register_workers (world);
  path_start_front (world, 0);
  path_start_front (world, 1);
  AWAIT (named (world, 1) == 2);
  AWAIT (path_status (path_front (world, 0), "POST", "/l/1", "r1", "x") == 200);
  quince_process_stop (world->fronts[0]);
  AWAIT (named (world, 1) == 1);
  PathAnswer answer;
  assert_int_equal (path_call (path_front (world, 0), "POST", "/l/1", "r2", "x", &answer), 200);
  assert_string_equal (answer.connection, "close");
  path_answer_clear (&answer);
  assert_int_equal (path_status (quince_process_get_ready_value (world->fronts[0], "ready"), "GET",
                                 "/quinceroute/readyz", "q", NULL),
                    503);
  int status = -1;
  assert_true (quince_process_wait (world->fronts[0], AWAIT_TIMEOUT_MS, &status));
  assert_int_equal (status, 0);
  path_world_free (world);
}

/* ---- Streams ------------------------------------------------------------------ */

#define WHOLE_STREAM                                                                                         \
  "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\nid: 5\ndata: e5\n\nid: "      \
  "6\ndata: e6\n\n"

static guint
model_runs (PathWorld *world)
{
  guint runs = 0;
  for (guint i = 0; i < PATH_MODEL; i++)
    runs += standin_worker_get_runs (world->model[i])->len;
  return runs;
}

typedef struct
{
  const char *name;
  const char *target;
  StandinWorkerFault fault; /* of each model worker, once */
  guint status;
  gboolean whole;
  guint most_runs;
} StreamCase;

/* Failed first: a streaming route was answered as one whole answer, after its last event. */
static void
test_streams (void **state)
{
  static const StreamCase cases[] = {
    { "sound", "/s/1", STANDIN_WORKER_HEALTHY, 200, TRUE, 1 },
    { "sound, not to be resumed", "/u/1", STANDIN_WORKER_HEALTHY, 200, TRUE, 1 },
    { "cut, resumed", "/s/1", STANDIN_WORKER_TRUNCATES, 200, TRUE, 4 },
    { "cut, not to be resumed", "/u/1", STANDIN_WORKER_TRUNCATES, 200, FALSE, 1 },
    { "refused", "/u/1", STANDIN_WORKER_REFUSES, 503, FALSE, 0 },
    { "lost, resumed", "/s/1", STANDIN_WORKER_RESETS, 200, TRUE, 4 },
    { "lost, not to be resumed", "/u/1", STANDIN_WORKER_RESETS, 502, FALSE, 1 },
    { "fails, resumed", "/s/1", STANDIN_WORKER_FAILS, 200, TRUE, 4 },
  };
  PathWorld *world = path_world_new ("streams");
  path_configure (world, 3);
  path_register_workers (world);
  path_start_front (world, 0);
  AWAIT (path_status (path_front (world, 0), "POST", "/l/1", "r1", "x") == 200);
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const StreamCase *c = &cases[i];
      guint before = model_runs (world);
      for (guint j = 0; j < PATH_MODEL; j++)
        standin_worker_set_fault (world->model[j], c->fault,
                                  c->fault == STANDIN_WORKER_REFUSES ? G_MAXUINT : 1);
      PathAnswer answer;
      path_call (path_front (world, 0), "POST", c->target, "s1", "question", &answer);
      gboolean whole = answer.outcome == QUINCE_HTTP_ANSWERED && g_strcmp0 (answer.body, WHOLE_STREAM) == 0;
      if (answer.status != c->status || whole != c->whole || model_runs (world) - before > c->most_runs)
        fail_msg ("%s: status %u runs %u body '%s'", c->name, answer.status, model_runs (world) - before,
                  answer.body);
      /* A part of the events is a beginning of them. */
      if (answer.status == 200)
        assert_true (
            strncmp (answer.body, WHOLE_STREAM, MIN (strlen (answer.body), strlen ("id: 1\ndata: e1"))) == 0);
      path_answer_clear (&answer);
      /* Doubts about workers pass. */
      for (guint j = 0; j < PATH_MODEL; j++)
        standin_worker_set_fault (world->model[j], STANDIN_WORKER_HEALTHY, 0);
      run_for (500);
    }
  path_world_free (world);
}

/* ---- Weights ------------------------------------------------------------------ */

/* Which model worker ran @id; -1: none. */
static gint
runner_of (PathWorld *world, const char *id)
{
  for (guint i = 0; i < PATH_MODEL; i++)
    {
      const GPtrArray *runs = standin_worker_get_runs (world->model[i]);
      for (guint j = 0; j < runs->len; j++)
        if (g_str_equal (((const StandinRun *)runs->pdata[j])->id, id))
          return (gint)i;
    }
  return -1;
}

#define STICKY_CALLS 6

/* On a sticky route a request goes where the prompt that it continues is kept. */
static void
test_sticky_streams (void **state)
{
  PathWorld *world = path_world_new ("sticky");
  path_configure (world, 3);
  path_register_workers (world);
  path_start_front (world, 0);
  const char *front = path_front (world, 0);
  AWAIT (path_status (front, "POST", "/l/1", "r1", "x") == 200);
  gint homes[2] = { -1, -1 };
  for (guint i = 0; i < STICKY_CALLS; i++)
    {
      /* Two sessions by turns, behind a part that both share; each call adds a part of its own. */
      g_autofree char *id = g_strdup_printf ("k%u", i);
      g_autofree char *prompt = g_strdup_printf ("aa01:300,bb0%u:200,%x:10", i % 2, 0xc0 + i);
      PathAnswer answer;
      path_start_call_with_header (front, "POST", "/k/1", id, "question", "Prompt-Prefix", prompt, &answer);
      AWAIT (answer.done);
      assert_int_equal (answer.status, 200);
      path_answer_clear (&answer);
      gint runner = runner_of (world, id);
      assert_int_not_equal (runner, -1);
      if (i >= G_N_ELEMENTS (homes))
        assert_int_equal (runner, homes[i % 2]);
      homes[i % 2] = runner;
    }
  path_world_free (world);
}

static void
test_versions_reach_all_workers (void **state)
{
  PathWorld *world = path_world_new ("weights");
  path_world_start (world);
  for (guint version = 2; version < 5; version++)
    {
      g_autofree char *text = g_strdup_printf ("{\"model\":\"model-a\",\"version\":%u}", version);
      standin_store_put (world->store, "op/version/model-a", text);
      for (guint i = 0; i < PATH_MODEL; i++)
        AWAIT (standin_worker_get_version (world->model[i]) == version);
    }
  for (guint i = 0; i < PATH_MODEL; i++)
    assert_in_range (standin_worker_get_n_orders (world->model[i]), 1, 3);
  path_world_free (world);
}

/* ---- Policies and events ------------------------------------------------------------ */

/* A policy that operators accept decides at every front; an older one never comes back. */
static void
test_policy_accepted (void **state)
{
  PathWorld *world = path_world_new ("policy");
  path_configure (world, 3);
  path_register_workers (world);
  path_start_front (world, 0);
  path_start_front (world, 1);
  for (guint i = 0; i < 2; i++)
    AWAIT (path_status (path_front (world, i), "POST", "/l/1", "r1", "x") == 200);
  g_autofree char *refuse = g_build_filename (world->folder, "refuse.lua", NULL);
  g_autofree char *take = g_build_filename (world->folder, "take.lua", NULL);
  g_autofree char *broken = g_build_filename (world->folder, "broken.lua", NULL);
  g_file_set_contents (refuse,
                       "function admit(request) return { refuse = \"closed\", retry_after_ms = 1500 } end\n",
                       -1, NULL);
  g_file_set_contents (take, "function admit(request) return { priority = 1 } end\n", -1, NULL);
  g_file_set_contents (broken, "function admit(", -1, NULL);
  const char *const accept_refuse[]
      = { "policy", "accept", refuse, "--comment", "close", "--author", "op", NULL };
  const char *const accept_take[] = { "policy", "accept", take, "--comment", "open", "--author", "op", NULL };
  const char *const accept_broken[]
      = { "policy", "accept", broken, "--comment", "oops", "--author", "op", NULL };
  assert_int_equal (path_run_operator_tool (world, accept_refuse), 0);
  for (guint i = 0; i < 2; i++)
    AWAIT (path_status (path_front (world, i), "POST", "/l/1", "r1", "x") == 503);
  PathAnswer answer;
  path_call (path_front (world, 0), "POST", "/l/1", "r2", "x", &answer);
  assert_string_equal (answer.retry_after, "1.500");
  path_answer_clear (&answer);
  assert_int_not_equal (path_run_operator_tool (world, accept_broken), 0);
  assert_int_equal (path_run_operator_tool (world, accept_take), 0);
  for (guint i = 0; i < 2; i++)
    AWAIT (path_status (path_front (world, i), "POST", "/l/1", "r1", "x") == 200);
  const char *const stale[]
      = { "policy", "accept", refuse, "--comment", "x", "--author", "op", "--expect", "1", NULL };
  assert_int_equal (path_run_operator_tool (world, stale), 3);
  assert_int_equal (path_status (path_front (world, 0), "POST", "/l/1", "r1", "x"), 200);
  path_world_free (world);
}

/* An event that operators create is seen by the policy. */
static void
test_event_created (void **state)
{
  PathWorld *world = path_world_new ("event");
  path_configure (world, 3);
  path_register_workers (world);
  path_start_front (world, 0);
  AWAIT (path_status (path_front (world, 0), "POST", "/l/1", "r1", "x") == 200);
  g_autofree char *program = g_build_filename (world->folder, "event.lua", NULL);
  g_file_set_contents (
      program,
      "function admit(request) if request.event_active then return { refuse = \"event\" } end\n"
      "return { priority = 1 } end\n",
      -1, NULL);
  const char *const accept[] = { "policy", "accept", program, "--comment", "x", "--author", "op", NULL };
  const char *const create[] = { "event", "create", "rush", "--start", "+0", "--duration", "600", NULL };
  const char *const remove[] = { "event", "delete", "rush", NULL };
  assert_int_equal (path_run_operator_tool (world, accept), 0);
  assert_int_equal (path_run_operator_tool (world, create), 0);
  AWAIT (path_status (path_front (world, 0), "POST", "/l/1", "r1", "x") == 503);
  assert_int_equal (path_run_operator_tool (world, remove), 0);
  AWAIT (path_status (path_front (world, 0), "POST", "/l/1", "r1", "x") == 200);
  path_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_lookups),
    cmocka_unit_test (test_configurations_only_rise),
    cmocka_unit_test (test_directory),
    cmocka_unit_test (test_planned_stop),
    cmocka_unit_test (test_streams),
    cmocka_unit_test (test_sticky_streams),
    cmocka_unit_test (test_versions_reach_all_workers),
    cmocka_unit_test (test_policy_accepted),
    cmocka_unit_test (test_event_created),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
