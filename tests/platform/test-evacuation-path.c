/*
 * test-evacuation-path.c: guards against requests that are sent to an evacuated zone, also while processes
 * start, are killed, frozen or suspended.
 */
#include "path-world.h"

#define N_SAMPLES 6
#define N_LOOKUPS 30
/* Below the 5 s within which a deployment must apply an evacuation. */
#define EVACUATION_MAX_MS 3500
/* Long enough for an erroneous send to arrive. */
#define NO_SEND_WAIT_MS 1200
#define SUSPENSION_MS 12000
#define Z1_EVACUATION_KEY "op/evacuate/z1"
#define Z2_EVACUATION_KEY "op/evacuate/z2"

/* Plain worker 1 and model worker 2 are in z2, all others in z1. */
static PathWorld *
world_new (const char *name)
{
  PathWorld *world = path_world_new (name);
  standin_worker_set_zone (world->plain[1], "z2");
  standin_worker_set_zone (world->model[2], "z2");
  return world;
}

static PathWorld *
world_new_started (const char *name)
{
  PathWorld *world = world_new (name);
  path_world_start (world);
  return world;
}

/* ---- Logs --------------------------------------------------------------- */

static guint
count_log_matches (const PathWorld *world, const char *name, const char *pattern)
{
  g_autofree char *file = g_strdup_printf ("%s/%s.out", world->folder, name);
  g_autofree char *text = NULL;
  return g_file_get_contents (file, &text, NULL, NULL) ? path_count_occurrences (text, pattern) : 0;
}

static guint
count_processes_with_log (const PathWorld *world, const char *pattern)
{
  guint count = 0;
  for (guint i = 0; i < PATH_FRONTS + PATH_REPLICAS; i++)
    {
      g_autofree char *name = i < PATH_FRONTS ? g_strdup_printf ("front-%u", i)
                                              : g_strdup_printf ("replica-%u", i - PATH_FRONTS);
      count += count_log_matches (world, name, pattern) > 0;
    }
  return count;
}

/* Waits until all processes but @n_unavailable have logged the evacuation of @zone. */
static void
await_evacuation_logged (const PathWorld *world, const char *zone, guint n_unavailable)
{
  g_autofree char *pattern = g_strdup_printf ("event=zone_evacuated zone=%s", zone);
  gint64 begin_us = g_get_monotonic_time ();
  AWAIT (count_processes_with_log (world, pattern) + n_unavailable >= PATH_FRONTS + PATH_REPLICAS);
  gint64 elapsed_ms = (g_get_monotonic_time () - begin_us) / 1000;
  if (elapsed_ms > EVACUATION_MAX_MS)
    fail_msg ("all processes logged the evacuation only after %d ms", (int)elapsed_ms);
}

/* ---- Work --------------------------------------------------------------- */

static guint
count_plain_runs (const PathWorld *world, guint index)
{
  return standin_worker_get_runs (world->plain[index])->len;
}

static guint
count_model_runs (const PathWorld *world, guint index)
{
  return standin_worker_get_runs (world->model[index])->len;
}

/* Returns the number of requests and orders that were sent to workers in z1. */
static guint
count_sends_to_z1 (const PathWorld *world)
{
  return count_plain_runs (world, 0) + count_model_runs (world, 0) + count_model_runs (world, 1)
         + standin_worker_get_n_orders (world->model[0]) + standin_worker_get_n_orders (world->model[1]);
}

static guint
send_lookup (PathWorld *world, guint front)
{
  static guint serial;
  g_autofree char *id = g_strdup_printf ("lookup-%u", ++serial);
  return path_status (path_front (world, front), "POST", "/l/1", id, "x");
}

static void
send_lookups (PathWorld *world)
{
  for (guint i = 0; i < N_LOOKUPS; i++)
    AWAIT (send_lookup (world, i % PATH_FRONTS) == 200);
}

static void
submit_batch (PathWorld *world, const char *batch)
{
  g_autofree char *text = path_make_batch (batch, N_SAMPLES);
  AWAIT (path_status (path_front (world, 0), "POST", "/r/batch", batch, text) == 202);
}

static void
publish_version (PathWorld *world, guint version)
{
  g_autofree char *text = g_strdup_printf ("{\"model\":\"model-a\",\"version\":%u}", version);
  standin_store_put (world->store, "op/version/model-a", text);
}

/* ---- Cases -------------------------------------------------------------- */

/* No lookups, streams, samples, reward calls or load orders are sent to an evacuated zone until its
 * evacuation ends. */
static void
test_no_sends_to_evacuated_zone (void **state)
{
  PathWorld *world = world_new_started ("evacuated");
  standin_store_put (world->store, Z1_EVACUATION_KEY, "{}");
  await_evacuation_logged (world, "z1", 0);
  assert_int_equal (path_run_operator_tool (world, (const char *const[]){ "zones", NULL }), 0);
  guint sends_before = count_sends_to_z1 (world);
  submit_batch (world, "b1");
  publish_version (world, 2);
  send_lookups (world);
  for (guint i = 0; i < 6; i++)
    {
      g_autofree char *id = g_strdup_printf ("stream-%u", i);
      AWAIT (path_status (path_front (world, i % PATH_FRONTS), "POST", "/s/1", id, "x") == 200);
    }
  AWAIT (path_count_results (world, 0, "b1") == N_SAMPLES);
  AWAIT (standin_worker_get_version (world->model[2]) == 2);
  run_for (NO_SEND_WAIT_MS);
  assert_int_equal (count_sends_to_z1 (world), sends_before);
  standin_store_remove (world->store, Z1_EVACUATION_KEY);
  AWAIT (send_lookup (world, 0) == 200 && count_plain_runs (world, 0) > 0
         && count_sends_to_z1 (world) > sends_before);
  for (guint i = 0; i < PATH_MODEL; i++)
    AWAIT (standin_worker_get_version (world->model[i]) == 2);
  path_world_free (world);
}

/* Streams that run in the zone complete there and run only once. */
static void
test_running_streams_complete (void **state)
{
  PathWorld *world = world_new_started ("running-streams");
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->model[i], 24, 100); /* shorter than the callers' timeout of 3 s */
  PathAnswer answers[6];
  for (guint i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      g_autofree char *id = g_strdup_printf ("long-%u", i);
      path_start_call (path_front (world, 0), "POST", "/s/1", id, "x", &answers[i]);
    }
  AWAIT (count_model_runs (world, 0) + count_model_runs (world, 1) + count_model_runs (world, 2)
         == G_N_ELEMENTS (answers));
  standin_store_put (world->store, Z1_EVACUATION_KEY, "{}");
  for (guint i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      AWAIT (answers[i].done);
      assert_int_equal (answers[i].outcome, QUINCE_HTTP_ANSWERED);
      assert_int_equal (answers[i].status, 200);
      path_answer_clear (&answers[i]);
    }
  assert_int_equal (count_model_runs (world, 0) + count_model_runs (world, 1) + count_model_runs (world, 2),
                    G_N_ELEMENTS (answers));
  path_world_free (world);
}

/* If all zones are evacuated, lookups and streams are refused immediately with Retry-After, and samples wait
 * until a zone is available. */
static void
test_all_zones_evacuated (void **state)
{
  PathWorld *world = world_new_started ("all-zones");
  standin_store_put (world->store, Z1_EVACUATION_KEY, "{}");
  standin_store_put (world->store, Z2_EVACUATION_KEY, "{}");
  await_evacuation_logged (world, "z1", 0);
  await_evacuation_logged (world, "z2", 0);
  guint sends_before = count_sends_to_z1 (world) + count_plain_runs (world, 1) + count_model_runs (world, 2);
  static const char *const targets[] = { "/l/1", "/s/1", "/u/1" };
  for (guint i = 0; i < G_N_ELEMENTS (targets); i++)
    {
      PathAnswer answer;
      gint64 begin_us = g_get_monotonic_time ();
      assert_int_equal (path_call (path_front (world, 0), "POST", targets[i], "refused", "x", &answer), 503);
      assert_true (g_get_monotonic_time () - begin_us < G_USEC_PER_SEC);
      assert_non_null (strstr (answer.body, "zone_evacuated"));
      assert_string_equal (answer.retry_after, "2.000");
      path_answer_clear (&answer);
    }
  submit_batch (world, "b1");
  run_for (NO_SEND_WAIT_MS);
  assert_int_equal (path_count_results (world, 0, "b1"), 0);
  assert_int_equal (count_sends_to_z1 (world) + count_plain_runs (world, 1) + count_model_runs (world, 2),
                    sends_before);
  standin_store_remove (world->store, Z2_EVACUATION_KEY);
  AWAIT (path_count_results (world, 0, "b1") == N_SAMPLES);
  send_lookups (world);
  assert_int_equal (count_plain_runs (world, 0) + count_model_runs (world, 0) + count_model_runs (world, 1),
                    count_sends_to_z1 (world) - standin_worker_get_n_orders (world->model[0])
                        - standin_worker_get_n_orders (world->model[1]));
  path_world_free (world);
}

/* A front and the leader that restart during an evacuation never send to the zone. */
static void
test_processes_started_during_evacuation (void **state)
{
  PathWorld *world = world_new_started ("restarted");
  standin_store_put (world->store, Z1_EVACUATION_KEY, "{}");
  await_evacuation_logged (world, "z1", 0);
  guint sends_before = count_sends_to_z1 (world);
  gint leader = path_find_leader (world);
  quince_process_kill (world->fronts[0]);
  quince_process_kill (world->replicas[leader]);
  path_start_front (world, 0);
  path_start_replica (world, (guint)leader);
  publish_version (world, 2);
  send_lookups (world);
  submit_batch (world, "b1");
  AWAIT (path_count_results (world, 0, "b1") == N_SAMPLES);
  run_for (NO_SEND_WAIT_MS);
  assert_int_equal (count_sends_to_z1 (world), sends_before);
  path_world_free (world);
}

/* The leader, which reads the store for all processes, is killed or frozen when the evacuation is written. */
static void
test_evacuation_while_leader_is_unavailable (void **state)
{
  for (guint killed = 0; killed < 2; killed++)
    {
      PathWorld *world = world_new_started (killed ? "leader-killed" : "leader-frozen");
      gint leader = path_find_leader (world);
      if (killed)
        quince_process_kill (world->replicas[leader]);
      else
        quince_process_suspend (world->replicas[leader]);
      standin_store_put (world->store, Z1_EVACUATION_KEY, "{}");
      await_evacuation_logged (world, "z1", 1);
      guint sends_before = count_sends_to_z1 (world);
      if (killed)
        path_start_replica (world, (guint)leader);
      else
        quince_process_resume (world->replicas[leader]);
      send_lookups (world);
      submit_batch (world, "b1");
      AWAIT (path_count_results (world, 0, "b1") == N_SAMPLES);
      run_for (NO_SEND_WAIT_MS);
      assert_int_equal (count_sends_to_z1 (world), sends_before);
      path_world_free (world);
    }
}

/* After repeated changes and a compaction of the store, the latest state of the evacuation applies. */
static void
test_latest_evacuation_state_applies (void **state)
{
  PathWorld *world = world_new_started ("latest-state");
  standin_store_put (world->store, Z1_EVACUATION_KEY, "{}");
  standin_store_put (world->store, Z1_EVACUATION_KEY, "{}");
  standin_store_remove (world->store, Z1_EVACUATION_KEY);
  standin_store_compact (world->store);
  standin_store_put (world->store, Z1_EVACUATION_KEY, "{}");
  await_evacuation_logged (world, "z1", 0);
  run_for (EVACUATION_MAX_MS); /* until every process has read the latest state */
  guint sends_before = count_sends_to_z1 (world);
  send_lookups (world);
  assert_int_equal (count_sends_to_z1 (world), sends_before);
  standin_store_put (world->store, Z1_EVACUATION_KEY, "{}");
  standin_store_remove (world->store, Z1_EVACUATION_KEY);
  standin_store_compact (world->store);
  AWAIT (send_lookup (world, 0) == 200 && count_plain_runs (world, 0) > 0
         && count_sends_to_z1 (world) > sends_before);
  path_world_free (world);
}

/* A worker of the evacuated zone dies and a new incarnation registers; the zone stays evacuated. */
static void
test_evacuated_worker_is_replaced (void **state)
{
  PathWorld *world = world_new_started ("worker-replaced");
  standin_store_put (world->store, Z1_EVACUATION_KEY, "{}");
  await_evacuation_logged (world, "z1", 0);
  guint sends_before = count_sends_to_z1 (world);
  standin_worker_crash (world->plain[0]);
  standin_store_remove (world->store, "servers/p0");
  send_lookups (world);
  standin_worker_restart (world->plain[0], "p0-2");
  g_autofree char *entry = standin_worker_make_entry (world->plain[0], "svc", "ready");
  standin_store_put (world->store, "servers/p0-2", entry);
  AWAIT (count_processes_with_log (world, "worker=p0-2") == PATH_FRONTS + PATH_REPLICAS);
  send_lookups (world);
  assert_int_equal (count_sends_to_z1 (world), sends_before);
  path_world_free (world);
}

/* A front that is suspended while a zone is evacuated sends nothing there after it resumes. */
static void
test_front_resumed_after_evacuation (void **state)
{
  PathWorld *world = world_new ("suspended");
  g_autofree char *clock_file = g_strdup_printf ("%s/front-0.clock", world->folder);
  g_autofree char *suspension_us_text = g_strdup_printf ("%d", SUSPENSION_MS * 1000);
  path_configure (world, 7);
  path_register_workers (world);
  path_start_front (world, 1);
  g_setenv ("LD_PRELOAD", g_getenv ("QUINCE_BOOT_CLOCK_LIBRARY"), TRUE);
  g_setenv ("QUINCE_BOOT_CLOCK", clock_file, TRUE);
  path_start_front (world, 0);
  g_unsetenv ("LD_PRELOAD");
  AWAIT (send_lookup (world, 0) == 200 && send_lookup (world, 1) == 200);
  quince_process_suspend (world->fronts[0]);
  run_for (50);
  standin_store_put (world->store, Z1_EVACUATION_KEY, "{}");
  AWAIT (count_log_matches (world, "front-1", "event=zone_evacuated") == 1);
  guint sends_before = count_sends_to_z1 (world);
  PathAnswer answers[N_LOOKUPS]; /* pending at the front when it resumes */
  for (guint i = 0; i < N_LOOKUPS; i++)
    path_start_call (path_front (world, 0), "POST", "/l/1", "waits", "x", &answers[i]);
  run_for (100);
  g_assert_true (g_file_set_contents (clock_file, suspension_us_text, -1, NULL));
  quince_process_resume (world->fronts[0]);
  for (guint i = 0; i < N_LOOKUPS; i++)
    {
      AWAIT (answers[i].done);
      path_answer_clear (&answers[i]);
    }
  AWAIT (send_lookup (world, 0) == 200);
  assert_int_equal (count_sends_to_z1 (world), sends_before);
  path_world_free (world);
}

int
main (void)
{
  const char *options = g_getenv ("ASAN_OPTIONS");
  g_autofree char *asan_options
      = g_strconcat (options != NULL ? options : "", ":verify_asan_link_order=0", NULL);
  g_setenv ("ASAN_OPTIONS", asan_options, TRUE);
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_no_sends_to_evacuated_zone),
    cmocka_unit_test (test_running_streams_complete),
    cmocka_unit_test (test_all_zones_evacuated),
    cmocka_unit_test (test_processes_started_during_evacuation),
    cmocka_unit_test (test_evacuation_while_leader_is_unavailable),
    cmocka_unit_test (test_latest_evacuation_state_applies),
    cmocka_unit_test (test_evacuated_worker_is_replaced),
    cmocka_unit_test (test_front_resumed_after_evacuation),
  };
  return cmocka_run_group_tests_name ("evacuation-path", tests, NULL, NULL);
}
