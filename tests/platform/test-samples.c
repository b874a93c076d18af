/*
 * test-samples.c: samples and orders on the whole path: versions, fences, outages, planned stops.
 */
#include "path-world.h"

#define ITEMS 6
/* Long enough for a wrong run or order to come, where none must. */
#define QUIET_MS 1200

static void
name_version (PathWorld *world, guint version)
{
  g_autofree char *text = g_strdup_printf ("{\"model\":\"model-a\",\"version\":%u}", version);
  standin_store_put (world->store, "op/version/model-a", text);
}

static void
await_version (PathWorld *world, guint version)
{
  for (guint i = 0; i < PATH_MODEL; i++)
    AWAIT (standin_worker_get_version (world->model[i]) == version);
}

static guint
model_runs (PathWorld *world)
{
  guint count = 0;
  for (guint i = 0; i < PATH_MODEL; i++)
    count += standin_worker_get_runs (world->model[i])->len;
  return count;
}

static void
submit_from (PathWorld *world, const char *batch, guint items, guint min_version)
{
  g_autofree char *text = path_make_batch (batch, items);
  g_autofree char *wanted = g_strdup_printf ("\"minVersion\":%u", min_version);
  g_auto (GStrv) parts = g_strsplit (text, "\"minVersion\":1", 2);
  g_autofree char *changed = g_strjoinv (wanted, parts);
  AWAIT (path_status (path_front (world, 0), "POST", "/r/batch", batch, changed) == 202);
}

static guint
listed_with (PathWorld *world, guint front, const char *batch, const char *part)
{
  g_autofree char *text = path_fetch_results (world, front, batch);
  return text != NULL ? path_count_occurrences (text, part) : 0;
}

/* ---- Versions --------------------------------------------------------------- */

/* No sample begins on weights that are too old for it, and its result names what made it. */
static void
test_oldest_version_kept (void **state)
{
  PathWorld *world = path_world_new ("oldest");
  path_world_start (world);
  submit_from (world, "b1", ITEMS, 2);
  run_for (QUIET_MS);
  assert_int_equal (model_runs (world), 0);
  name_version (world, 2);
  AWAIT (listed_with (world, 1, "b1", "\"state\":\"completed\"") == ITEMS);
  assert_int_equal (listed_with (world, 0, "b1", "\"versions\":[2]"), ITEMS);
  path_world_free (world);
}

/* A text that was cut and went on elsewhere names the version that made it, once. */
static void
test_cut_text_names_its_version (void **state)
{
  PathWorld *world = path_world_new ("cut");
  for (guint i = 0; i < PATH_MODEL; i++)
    {
      standin_worker_set_fault (world->model[i], STANDIN_WORKER_TRUNCATES, 1);
      standin_worker_set_events (world->model[i], 6, 30);
    }
  path_world_start (world);
  submit_from (world, "b1", 2, 1);
  AWAIT (listed_with (world, 0, "b1", "\"state\":\"completed\"") == 2);
  guint whole = listed_with (world, 0, "b1", "\"message\":\"e1\\ne2\\ne3\\ne4\\ne5\\ne6\"");
  assert_int_equal (whole, 2);
  assert_int_equal (listed_with (world, 0, "b1", "\"versions\":[1]"), 2);
  path_world_free (world);
}

/* The same, with more settings in the route of batches. */
static void
configure_batches (PathWorld *world, guint version, const char *settings)
{
  g_autofree char *text = g_strdup_printf (PATH_CONFIGURATION, version);
  g_auto (GStrv) parts = g_strsplit (text, "\"queueTtlS\":40,", 2);
  g_autofree char *more = g_strdup_printf ("\"queueTtlS\":40,%s", settings);
  g_autofree char *changed = g_strjoinv (more, parts);
  standin_store_put (world->store, "op/config", changed);
}

/* Two samples run, the versions up to @newest are named in the middle of their texts, and both are listed,
 * whole. */
static void
change_weights_midway (PathWorld *world, guint newest)
{
  submit_from (world, "b1", 2, 1);
  AWAIT (model_runs (world) == 2);
  run_for (200);
  for (guint version = 2; version <= newest; version++)
    name_version (world, version);
  AWAIT (listed_with (world, 0, "b1", "\"state\":\"completed\"") == 2);
  assert_int_equal (listed_with (world, 0, "b1", "\"message\":\"e1\\ne2\\ne3\\ne4\\ne5\\ne6\""), 2);
}

/* Weights change in the middle of texts: a result names each version that made a part of it.  Two versions
 * are named, so that the workers can serve no further step and load under the runs. */
static void
test_versions_within_a_text (void **state)
{
  PathWorld *world = path_world_new ("within");
  path_world_start (world);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->model[i], 6, 500); /* busy workers come last, after 0.9 s */
  change_weights_midway (world, 3);
  assert_int_equal (listed_with (world, 0, "b1", "\"versions\":[1,3]"), 2);
  for (guint i = 0; i < PATH_MODEL; i++)
    if (standin_worker_get_order_mode (world->model[i]) != NULL)
      assert_string_equal (standin_worker_get_order_mode (world->model[i]), "retain");
  path_world_free (world);
}

/* One version: the workers still serve, and their runs are not stopped for it. */
static void
test_long_texts_are_not_stopped (void **state)
{
  PathWorld *world = path_world_new ("unstopped");
  path_world_start (world);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->model[i], 6, 500);
  change_weights_midway (world, 2);
  assert_int_equal (listed_with (world, 0, "b1", "\"versions\":[1]"), 2);
  await_version (world, 2);
  path_world_free (world);
}

/* On a route that wants a single version, runs end before weights change, and a text of two is made anew. */
static void
test_single_version (void **state)
{
  PathWorld *world = path_world_new ("single");
  path_world_start (world);
  configure_batches (world, 9, "\"singleVersion\":true,");
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->model[i], 6, 500);
  run_for (QUIET_MS);
  change_weights_midway (world, 3);
  assert_int_equal (listed_with (world, 0, "b1", "\"versions\":[1,3]"), 0);
  assert_int_equal (
      listed_with (world, 0, "b1", "\"versions\":[1]") + listed_with (world, 0, "b1", "\"versions\":[3]"), 2);
  await_version (world, 3);
  for (guint i = 0; i < PATH_MODEL; i++)
    assert_string_equal (standin_worker_get_order_mode (world->model[i]), "wait");
  path_world_free (world);
}

/* Samples of a batch that ended come back in a later one with their ids, and are listed there. */
static void
test_samples_come_back (void **state)
{
  PathWorld *world = path_world_new ("back");
  path_world_start (world);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->model[i], 6, 300);
  submit_from (world, "b1", ITEMS, 1);
  AWAIT (model_runs (world) > 0);
  assert_int_equal (path_status (path_front (world, 1), "DELETE", "/quinceroute/lots/b1", "q", NULL), 200);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->model[i], 6, 5);
  g_autofree char *text = path_make_batch ("b1", ITEMS);
  AWAIT (path_status (path_front (world, 0), "POST", "/r/batch", "b2", text) == 202);
  AWAIT (listed_with (world, 1, "b2", "\"state\":\"completed\"") == ITEMS);
  assert_int_equal (listed_with (world, 0, "b2", "\"id\":\"b1-i"), ITEMS);
  assert_int_equal (listed_with (world, 0, "b2", "\"message\":\"e1\\ne2\\ne3\\ne4\\ne5\\ne6\""), ITEMS);
  path_world_free (world);
}

/* ---- Pace ------------------------------------------------------------------- */

static guint
runs_gone (const StandinWorker *worker)
{
  const GPtrArray *runs = standin_worker_get_runs (worker);
  guint count = 0;
  for (guint i = 0; i < runs->len; i++)
    count += ((const StandinRun *)runs->pdata[i])->disconnected;
  return count;
}

static guint
runs_resumed (const StandinWorker *worker)
{
  const GPtrArray *runs = standin_worker_get_runs (worker);
  guint count = 0;
  for (guint i = 0; i < runs->len; i++)
    count += ((const StandinRun *)runs->pdata[i])->last_event_id != NULL;
  return count;
}

/* What runs on a slow worker goes on at a faster one, from the event that it had reached. */
static void
test_samples_leave_a_slow_worker (void **state)
{
  PathWorld *world = path_world_new ("slow");
  path_world_start (world);
  standin_worker_set_events (world->model[0], 60, 250);
  standin_worker_set_events (world->model[1], 60, 20);
  standin_worker_set_events (world->model[2], 60, 20);
  submit_from (world, "b1", ITEMS, 1);
  AWAIT (listed_with (world, 0, "b1", "\"state\":\"completed\"") == ITEMS);
  guint slow_runs = standin_worker_get_runs (world->model[0])->len;
  assert_int_not_equal (slow_runs, 0);
  assert_int_equal (runs_gone (world->model[0]), slow_runs);
  assert_int_equal (runs_resumed (world->model[1]) + runs_resumed (world->model[2]), slow_runs);
  path_world_free (world);
}

/* ---- Half texts ------------------------------------------------------------- */

/* All replicas are killed at once, in the middle of texts: each text goes on from where the disk knows it. */
static void
test_texts_outlive_all_replicas (void **state)
{
  PathWorld *world = path_world_new ("disk");
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->model[i], 6, 500);
  path_world_start (world);
  submit_from (world, "b1", ITEMS, 1);
  AWAIT (model_runs (world) == ITEMS);
  run_for (1600);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    quince_process_kill (world->replicas[i]);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    path_start_replica (world, i);
  AWAIT (listed_with (world, 0, "b1", "\"message\":\"e1\\ne2\\ne3\\ne4\\ne5\\ne6\"") == ITEMS);
  guint resumed = 0;
  for (guint i = 0; i < PATH_MODEL; i++)
    resumed += runs_resumed (world->model[i]);
  assert_int_equal (resumed, ITEMS);
  path_world_free (world);
}

/* Of the replicas but @leader, the one that was told how far texts are: it keeps them on its disk. */
static guint
told_replica (PathWorld *world, gint leader)
{
  for (;;)
    {
      for (guint i = 0; i < PATH_REPLICAS; i++)
        {
          g_autofree char *data = g_strdup_printf ("%s/data-%u", world->folder, i);
          g_autoptr (GDir) folder = g_dir_open (data, 0, NULL);
          const char *name;
          while ((gint)i != leader && (name = g_dir_read_name (folder)) != NULL)
            {
              g_autofree char *file = g_build_filename (data, name, NULL);
              GStatBuf status;
              if (g_str_has_prefix (name, "progress") && g_stat (file, &status) == 0 && status.st_size > 0)
                return i;
            }
        }
      run_for (50);
    }
}

/* The replica that knows the texts lacks a record and cannot lead: whoever leads in its place is told by it,
 * and no text begins anew. */
static void
test_texts_come_from_whoever_knows (void **state)
{
  PathWorld *world = path_world_new ("told");
  path_reserve_links (world);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->model[i], 12, 500);
  path_world_start (world);
  submit_from (world, "b1", ITEMS, 1);
  AWAIT (model_runs (world) == ITEMS);
  gint leader = path_find_leader (world);
  guint told = told_replica (world, leader);
  run_for (1600);
  quince_process_kill (world->replicas[told]);
  submit_from (world, "b2", 1, 1); /* a record that it lacks */
  quince_process_kill (world->replicas[leader]);
  path_start_replica (world, told);
  AWAIT (path_find_leader (world) != leader);
  assert_int_not_equal (path_find_leader (world), told);
  AWAIT (listed_with (world, 0, "b1", "\\ne11\\ne12\"") == ITEMS);
  guint resumed = 0;
  for (guint i = 0; i < PATH_MODEL; i++)
    resumed += runs_resumed (world->model[i]);
  assert_true (resumed >= ITEMS);
  path_world_free (world);
}

/* ---- Orders ------------------------------------------------------------------- */

static void
assert_fences_rise (PathWorld *world)
{
  for (guint i = 0; i < PATH_MODEL; i++)
    {
      const GArray *fences = standin_worker_get_fencing_tokens (world->model[i]);
      const GPtrArray *holders = standin_worker_get_order_leaders (world->model[i]);
      for (guint j = 1; j < fences->len; j++)
        {
          guint64 before = g_array_index (fences, guint64, j - 1);
          guint64 now = g_array_index (fences, guint64, j);
          assert_true (now >= before);
          if (now == before)
            assert_string_equal (holders->pdata[j - 1], holders->pdata[j]);
        }
    }
}

/* Leaders change between versions: the orders of a later one carry a greater fence, one holder each. */
static void
test_fences_rise_with_leaders (void **state)
{
  PathWorld *world = path_world_new ("fences");
  path_world_start (world);
  for (guint version = 2; version < 5; version++)
    {
      name_version (world, version);
      await_version (world, version);
      gint leader = path_find_leader (world);
      assert_int_not_equal (leader, -1);
      quince_process_kill (world->replicas[leader]);
      AWAIT (path_find_leader (world) != leader);
      path_start_replica (world, (guint)leader);
      run_for (QUIET_MS);
    }
  assert_fences_rise (world);
  const GArray *fences = standin_worker_get_fencing_tokens (world->model[0]);
  assert_true (g_array_index (fences, guint64, fences->len - 1) > g_array_index (fences, guint64, 0));
  path_world_free (world);
}

/* A worker that comes late, with old weights, is brought to the version; one that has it gets no order. */
static void
test_added_worker_is_brought_to_the_version (void **state)
{
  PathWorld *world = path_world_new ("added");
  path_world_start (world);
  name_version (world, 2);
  await_version (world, 2);
  guint orders = standin_worker_get_n_orders (world->model[0]);
  StandinWorker *added = standin_worker_new ("m9");
  standin_worker_set_events (added, 6, 5);
  g_autofree char *entry = standin_worker_make_entry (added, "llm", "ready");
  standin_store_put (world->store, "servers/m9", entry);
  AWAIT (standin_worker_get_version (added) == 2);
  run_for (QUIET_MS);
  assert_int_equal (standin_worker_get_n_orders (world->model[0]), orders);
  assert_int_equal (standin_worker_get_n_orders (added), 1);
  standin_worker_free (added);
  path_world_free (world);
}

/* ---- Planned stops --------------------------------------------------------------- */

/* A front that stops ends the streams that it forwards, whole. */
static void
test_stop_ends_streams_whole (void **state)
{
  PathWorld *world = path_world_new ("stop-stream");
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->model[i], 6, 250);
  path_world_start (world);
  PathAnswer answer;
  path_start_call (path_front (world, 0), "POST", "/s/1", "s1", "question", &answer);
  AWAIT (model_runs (world) == 1);
  quince_process_stop (world->fronts[0]);
  AWAIT (answer.done);
  assert_int_equal (answer.outcome, QUINCE_HTTP_ANSWERED);
  assert_int_equal (answer.status, 200);
  assert_true (strstr (answer.body, "data: e6") != NULL);
  path_answer_clear (&answer);
  int status = -1;
  assert_true (quince_process_wait (world->fronts[0], AWAIT_TIMEOUT_MS, &status));
  assert_int_equal (status, 0);
  path_world_free (world);
}

/* Replicas stop one after the other, in the middle of batches: nothing is lost and nothing listed twice. */
static void
test_replicas_stop_in_turn (void **state)
{
  PathWorld *world = path_world_new ("stop-replicas");
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->model[i], 6, 60);
  path_world_start (world);
  submit_from (world, "b1", ITEMS, 1);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    {
      int status = -1;
      quince_process_stop (world->replicas[i]);
      assert_true (quince_process_wait (world->replicas[i], AWAIT_TIMEOUT_MS, &status));
      assert_int_equal (status, 0);
      path_start_replica (world, i);
      AWAIT (path_status (path_front (world, 1), "GET", "/quinceroute/lots/none", "q", NULL) == 404);
    }
  AWAIT (path_count_results (world, 0, "b1") == ITEMS);
  assert_int_equal (listed_with (world, 0, "b1", "\"state\":\"completed\""), ITEMS);
  path_world_free (world);
}

/* ---- All at once ------------------------------------------------------------------- */

/* Every process is killed at the same moment: what was accepted comes to its end, and versions stay known. */
static void
test_all_processes_killed (void **state)
{
  PathWorld *world = path_world_new ("all-killed");
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->model[i], 6, 60);
  path_world_start (world);
  name_version (world, 2);
  await_version (world, 2);
  submit_from (world, "b1", ITEMS, 1);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    quince_process_kill (world->replicas[i]);
  for (guint i = 0; i < PATH_FRONTS; i++)
    quince_process_kill (world->fronts[i]);
  for (guint i = 0; i < PATH_FRONTS; i++)
    path_start_front (world, i);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    path_start_replica (world, i);
  AWAIT (path_count_results (world, 0, "b1") == ITEMS);
  assert_int_equal (listed_with (world, 1, "b1", "\"state\":\"completed\""), ITEMS);
  name_version (world, 3);
  await_version (world, 3);
  assert_fences_rise (world);
  path_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_oldest_version_kept),
    cmocka_unit_test (test_cut_text_names_its_version),
    cmocka_unit_test (test_versions_within_a_text),
    cmocka_unit_test (test_long_texts_are_not_stopped),
    cmocka_unit_test (test_single_version),
    cmocka_unit_test (test_samples_come_back),
    cmocka_unit_test (test_samples_leave_a_slow_worker),
    cmocka_unit_test (test_texts_outlive_all_replicas),
    cmocka_unit_test (test_texts_come_from_whoever_knows),
    cmocka_unit_test (test_fences_rise_with_leaders),
    cmocka_unit_test (test_added_worker_is_brought_to_the_version),
    cmocka_unit_test (test_stop_ends_streams_whole),
    cmocka_unit_test (test_replicas_stop_in_turn),
    cmocka_unit_test (test_all_processes_killed),
  };
  return cmocka_run_group_tests_name ("samples", tests, NULL, NULL);
}
