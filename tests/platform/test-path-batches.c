/*
 * test-path-batches.c: batches on the whole path: callers, fronts, the ledger, workers.
 */
#include "path-world.h"

#include <stdlib.h>

#define WHOLE_TEXT "\"message\":\"e1\\ne2\\ne3\\ne4\\ne5\\ne6\""
#define ITEMS 12

static void
submit (PathWorld *world, guint front, const char *batch, guint items)
{
  g_autofree char *text = path_make_batch (batch, items);
  AWAIT (path_status (path_front (world, front), "POST", "/r/batch", batch, text) == 202);
}

static void
assert_whole (PathWorld *world, guint front, const char *batch, guint items)
{
  AWAIT (path_count_results (world, front, batch) == items);
  g_autofree char *text = path_read_results (world, front, batch);
  assert_int_equal (path_count_occurrences (text, WHOLE_TEXT), items);
  assert_int_equal (path_count_occurrences (text, "\"state\":\"completed\""), items);
  assert_int_equal (path_count_occurrences (text, "\"score\":\"stamp-p"), items);
  assert_int_equal (path_count_occurrences (text, "\"versions\":[1]"), items);
}

/* ---- Batches ---------------------------------------------------------------- */

static void
test_batch (void **state)
{
  PathWorld *world = path_world_new ("batch");
  path_world_start (world);
  submit (world, 0, "b1", ITEMS);
  submit (world, 1, "b1", ITEMS); /* again, elsewhere: taken once */
  assert_whole (world, 0, "b1", ITEMS);
  g_autofree char *here = path_read_results (world, 0, "b1");
  g_autofree char *there = path_read_results (world, 1, "b1");
  assert_string_equal (here, there);
  PathAnswer answer;
  assert_int_equal (
      path_call (path_front (world, 1), "GET", "/quinceroute/items/b1?id=b1-i3", "q", NULL, &answer), 200);
  assert_string_equal (answer.body, "question");
  path_answer_clear (&answer);
  assert_int_equal (path_status (path_front (world, 0), "GET", "/quinceroute/lots/b2", "q", NULL), 404);
  assert_int_equal (path_status (path_front (world, 0), "DELETE", "/quinceroute/lots/b1", "q", NULL), 200);
  assert_int_equal (path_status (path_front (world, 1), "DELETE", "/quinceroute/lots/b1", "q", NULL), 200);
  assert_int_equal (path_status (path_front (world, 0), "POST", "/r/batch", "b3", "{\"items\":[]}"), 400);
  path_world_free (world);
}

/* An ended batch stops running. */
static void
test_end_stops_samples (void **state)
{
  PathWorld *world = path_world_new ("end");
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->model[i], 6, 1500);
  path_world_start (world);
  submit (world, 0, "b1", 4);
  AWAIT (standin_worker_get_runs (world->model[0])->len + standin_worker_get_runs (world->model[1])->len
             + standin_worker_get_runs (world->model[2])->len
         == 4);
  assert_int_equal (path_status (path_front (world, 0), "DELETE", "/quinceroute/lots/b1", "q", NULL), 200);
  for (guint i = 0; i < PATH_MODEL; i++)
    for (guint j = 0; j < standin_worker_get_runs (world->model[i])->len; j++)
      AWAIT (((StandinRun *)standin_worker_get_runs (world->model[i])->pdata[j])->disconnected);
  path_world_free (world);
}

/* Whatever the workers do, texts are whole and in order. */
static void
test_batch_on_faulty_workers (void **state)
{
  static const StandinWorkerFault faults[]
      = { STANDIN_WORKER_TRUNCATES, STANDIN_WORKER_SKIPS_EVENT, STANDIN_WORKER_RESETS,
          STANDIN_WORKER_REFUSES,   STANDIN_WORKER_FAILS,       STANDIN_WORKER_WRONG_REQUEST_ID };
  PathWorld *world = path_world_new ("faulty");
  path_world_start (world);
  for (guint i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      g_autofree char *batch = g_strdup_printf ("b%u", i);
      for (guint j = 0; j < PATH_MODEL; j++)
        standin_worker_set_fault (world->model[j], faults[i], 1);
      standin_worker_set_fault (world->plain[0], STANDIN_WORKER_RESETS, 1);
      submit (world, i % PATH_FRONTS, batch, ITEMS);
      assert_whole (world, 0, batch, ITEMS);
    }
  path_world_free (world);
}

/* What can never be done is abandoned, and only that. */
static void
test_hopeless_samples (void **state)
{
  PathWorld *world = path_world_new ("hopeless");
  path_world_start (world);
  for (guint j = 0; j < PATH_MODEL; j++)
    standin_worker_set_fault (world->model[j], STANDIN_WORKER_UNPROCESSABLE, 1);
  submit (world, 0, "b1", ITEMS);
  AWAIT (path_count_results (world, 0, "b1") == ITEMS);
  g_autofree char *text = path_read_results (world, 0, "b1");
  assert_int_equal (path_count_occurrences (text, "\"state\":\"abandoned\""), PATH_MODEL);
  for (guint j = 0; j < PATH_MODEL; j++)
    standin_worker_set_fault (world->model[j], STANDIN_WORKER_FAILS, G_MAXUINT);
  submit (world, 0, "b2", 2);
  AWAIT (path_count_results (world, 0, "b2") == 2);
  g_autofree char *failed = path_read_results (world, 0, "b2");
  assert_int_equal (path_count_occurrences (failed, "\"state\":\"abandoned\""), 2);
  path_world_free (world);
}

/* The leader is killed, then another one loses its disk: all is listed once, and positions stay. */
static void
test_batch_outlives_leaders (void **state)
{
  PathWorld *world = path_world_new ("leaders");
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->model[i], 6, 60);
  path_world_start (world);
  for (guint round = 0; round < 3; round++)
    {
      g_autofree char *batch = g_strdup_printf ("b%u", round);
      submit (world, 0, batch, ITEMS);
      AWAIT (path_count_results (world, 0, batch) > 0);
      g_autofree char *before = path_read_results (world, 0, batch);
      gint leader = path_find_leader (world);
      assert_int_not_equal (leader, -1);
      quince_process_kill (world->replicas[leader]);
      if (round > 0)
        path_delete_replica_data (world, (guint)leader);
      path_start_replica (world, (guint)leader);
      assert_whole (world, 1, batch, ITEMS);
      g_autofree char *after = path_read_results (world, 1, batch);
      /* What was listed stands where it stood. */
      g_autofree char *listed = g_strdup (strstr (before, "\"results\":["));
      assert_true (strncmp (strstr (after, "\"results\":["), listed, strlen (listed) - 2) == 0);
      /* The other two hold all before the next disk goes. */
      run_for (2500);
    }
  for (guint round = 0; round < 3; round++)
    {
      g_autofree char *batch = g_strdup_printf ("b%u", round);
      assert_whole (world, 0, batch, ITEMS);
    }
  path_world_free (world);
}

/* A new leader goes on with texts that the former one had begun: no worker makes their events again. */
static void
test_texts_outlive_leaders (void **state)
{
  PathWorld *world = path_world_new ("progress");
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->model[i], 6, 500);
  path_world_start (world);
  submit (world, 0, "b1", 6);
  run_for (1600);
  quince_process_kill (world->replicas[path_find_leader (world)]);
  assert_whole (world, 0, "b1", 6);
  guint resumed = 0;
  for (guint i = 0; i < PATH_MODEL; i++)
    for (guint j = 0; j < standin_worker_get_runs (world->model[i])->len; j++)
      resumed += ((StandinRun *)standin_worker_get_runs (world->model[i])->pdata[j])->last_event_id != NULL;
  assert_int_equal (resumed, 6);
  path_world_free (world);
}

/* ---- Emptying a machine --------------------------------------------------------- */

static void
test_retire (void **state)
{
  PathWorld *world = path_world_new ("retire");
  path_world_start (world);
  submit (world, 0, "b1", ITEMS);
  assert_whole (world, 0, "b1", ITEMS);
  gint leader = path_find_leader (world);
  g_autofree char *key = g_strdup_printf ("op/retire/replica-%d", leader);
  g_autofree char *status = g_strdup_printf ("status/retire/replica-%d", leader);
  standin_store_put (world->store, key, "{\"durationS\":10}");
  AWAIT (g_strcmp0 (standin_store_get (world->store, status), "{\"state\":\"completed\"}") == 0);
  quince_process_kill (world->replicas[leader]);
  /* Right after it another one loses its disk. */
  guint lost = ((guint)leader + 1) % PATH_REPLICAS;
  quince_process_kill (world->replicas[lost]);
  path_delete_replica_data (world, lost);
  path_start_replica (world, lost);
  assert_whole (world, 0, "b1", ITEMS);
  submit (world, 1, "b2", ITEMS);
  assert_whole (world, 1, "b2", ITEMS);
  path_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_batch),
    cmocka_unit_test (test_end_stops_samples),
    cmocka_unit_test (test_batch_on_faulty_workers),
    cmocka_unit_test (test_hopeless_samples),
    cmocka_unit_test (test_batch_outlives_leaders),
    cmocka_unit_test (test_texts_outlive_leaders),
    cmocka_unit_test (test_retire),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
