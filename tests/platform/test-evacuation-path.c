/*
 * test-evacuation-path.c: evacuated zones on the whole path, with real processes: lookups, streams, items,
 * reward calls and orders, beside processes that start, are killed, frozen or suspended.
 *
 * Two plain workers, one in each of two zones; of three model workers the first two are in z1.
 */
#include "path-world.h"

#define ITEMS 6
#define HAMMERED 30
/* Well within the 5 s of a deployment's bound, by what a busy machine may take. */
#define IN_FORCE_MS 3500
/* Long enough for a wrong send to come, where none must. */
#define QUIET_MS 1200
#define AWAY_MS 12000
#define Z1 "op/evacuate/z1"
#define Z2 "op/evacuate/z2"

static PathWorld *
make_world (const char *name)
{
  PathWorld *world = path_world_new (name);
  standin_worker_set_zone (world->plain[1], "z2");
  standin_worker_set_zone (world->model[2], "z2");
  return world;
}

static PathWorld *
start_world (const char *name)
{
  PathWorld *world = make_world (name);
  path_world_start (world);
  return world;
}

/* ---- What processes logged ---------------------------------------------- */

static guint
count_logged (const PathWorld *world, const char *name, const char *part)
{
  g_autofree char *file = g_strdup_printf ("%s/%s.out", world->folder, name);
  g_autofree char *text = NULL;
  return g_file_get_contents (file, &text, NULL, NULL) ? path_count_occurrences (text, part) : 0;
}

static guint
count_logged_by_all (const PathWorld *world, const char *part)
{
  guint count = 0;
  for (guint i = 0; i < PATH_FRONTS + PATH_REPLICAS; i++)
    {
      g_autofree char *name = i < PATH_FRONTS ? g_strdup_printf ("front-%u", i)
                                              : g_strdup_printf ("replica-%u", i - PATH_FRONTS);
      count += count_logged (world, name, part) > 0;
    }
  return count;
}

/* All processes but @away know it in time. */
static void
await_evacuated (const PathWorld *world, const char *zone, guint away)
{
  g_autofree char *part = g_strdup_printf ("event=zone_evacuated zone=%s", zone);
  gint64 begin_us = g_get_monotonic_time ();
  AWAIT (count_logged_by_all (world, part) + away >= PATH_FRONTS + PATH_REPLICAS);
  gint64 took_ms = (g_get_monotonic_time () - begin_us) / 1000;
  if (took_ms > IN_FORCE_MS)
    fail_msg ("the evacuation was known everywhere after %d ms", (int)took_ms);
}

/* ---- Work --------------------------------------------------------------- */

static guint
plain_runs (const PathWorld *world, guint index)
{
  return standin_worker_get_runs (world->plain[index])->len;
}

static guint
model_runs (const PathWorld *world, guint index)
{
  return standin_worker_get_runs (world->model[index])->len;
}

/* All that was sent to the workers of z1. */
static guint
sent_to_z1 (const PathWorld *world)
{
  return plain_runs (world, 0) + model_runs (world, 0) + model_runs (world, 1)
         + standin_worker_get_n_orders (world->model[0]) + standin_worker_get_n_orders (world->model[1]);
}

static guint
look_up (PathWorld *world, guint front)
{
  static guint serial;
  g_autofree char *id = g_strdup_printf ("look-%u", ++serial);
  return path_status (path_front (world, front), "POST", "/l/1", id, "x");
}

static void
hammer (PathWorld *world)
{
  for (guint i = 0; i < HAMMERED; i++)
    AWAIT (look_up (world, i % PATH_FRONTS) == 200);
}

static void
submit (PathWorld *world, const char *batch)
{
  g_autofree char *text = path_make_batch (batch, ITEMS);
  AWAIT (path_status (path_front (world, 0), "POST", "/r/batch", batch, text) == 202);
}

static void
name_version (PathWorld *world, guint version)
{
  g_autofree char *text = g_strdup_printf ("{\"model\":\"model-a\",\"version\":%u}", version);
  standin_store_put (world->store, "op/version/model-a", text);
}

/* ---- Cases -------------------------------------------------------------- */

/* Lookups, streams, items, reward calls and orders keep away; after the return the zone works again. */
static void
test_nothing_is_sent (void **state)
{
  PathWorld *world = start_world ("evacuated");
  standin_store_put (world->store, Z1, "{}");
  await_evacuated (world, "z1", 0);
  assert_int_equal (path_run_operator_tool (world, (const char *const[]){ "zones", NULL }), 0);
  guint before = sent_to_z1 (world);
  submit (world, "b1");
  name_version (world, 2);
  hammer (world);
  for (guint i = 0; i < 6; i++)
    {
      g_autofree char *id = g_strdup_printf ("stream-%u", i);
      AWAIT (path_status (path_front (world, i % PATH_FRONTS), "POST", "/s/1", id, "x") == 200);
    }
  AWAIT (path_count_results (world, 0, "b1") == ITEMS);
  AWAIT (standin_worker_get_version (world->model[2]) == 2);
  run_for (QUIET_MS);
  assert_int_equal (sent_to_z1 (world), before);
  standin_store_remove (world->store, Z1);
  AWAIT (look_up (world, 0) == 200 && plain_runs (world, 0) > 0 && sent_to_z1 (world) > before);
  for (guint i = 0; i < PATH_MODEL; i++)
    AWAIT (standin_worker_get_version (world->model[i]) == 2);
  path_world_free (world);
}

/* Texts that are under way in the zone end there, whole and once. */
static void
test_streams_end_where_they_are (void **state)
{
  PathWorld *world = start_world ("under-way");
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->model[i], 24, 100); /* less than the callers' 3 s */
  PathAnswer answers[6];
  for (guint i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      g_autofree char *id = g_strdup_printf ("long-%u", i);
      path_start_call (path_front (world, 0), "POST", "/s/1", id, "x", &answers[i]);
    }
  AWAIT (model_runs (world, 0) + model_runs (world, 1) + model_runs (world, 2) == G_N_ELEMENTS (answers));
  standin_store_put (world->store, Z1, "{}");
  for (guint i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      AWAIT (answers[i].done);
      assert_int_equal (answers[i].outcome, QUINCE_HTTP_ANSWERED);
      assert_int_equal (answers[i].status, 200);
      path_answer_clear (&answers[i]);
    }
  assert_int_equal (model_runs (world, 0) + model_runs (world, 1) + model_runs (world, 2),
                    G_N_ELEMENTS (answers));
  path_world_free (world);
}

/* Nobody is left: lookups and streams are refused at once with a time to come back, items wait and are run
 * once a zone is back. */
static void
test_all_zones (void **state)
{
  PathWorld *world = start_world ("all-zones");
  standin_store_put (world->store, Z1, "{}");
  standin_store_put (world->store, Z2, "{}");
  await_evacuated (world, "z1", 0);
  await_evacuated (world, "z2", 0);
  guint before = sent_to_z1 (world) + plain_runs (world, 1) + model_runs (world, 2);
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
  submit (world, "b1");
  run_for (QUIET_MS);
  assert_int_equal (path_count_results (world, 0, "b1"), 0);
  assert_int_equal (sent_to_z1 (world) + plain_runs (world, 1) + model_runs (world, 2), before);
  standin_store_remove (world->store, Z2);
  AWAIT (path_count_results (world, 0, "b1") == ITEMS);
  hammer (world);
  assert_int_equal (plain_runs (world, 0) + model_runs (world, 0) + model_runs (world, 1),
                    sent_to_z1 (world) - standin_worker_get_n_orders (world->model[0])
                        - standin_worker_get_n_orders (world->model[1]));
  path_world_free (world);
}

/* A front and the leader start anew in an evacuation: neither sends anything there, not even first. */
static void
test_processes_that_start (void **state)
{
  PathWorld *world = start_world ("starts");
  standin_store_put (world->store, Z1, "{}");
  await_evacuated (world, "z1", 0);
  guint before = sent_to_z1 (world);
  gint leader = path_find_leader (world);
  quince_process_kill (world->fronts[0]);
  quince_process_kill (world->replicas[leader]);
  path_start_front (world, 0);
  path_start_replica (world, (guint)leader);
  name_version (world, 2);
  hammer (world);
  submit (world, "b1");
  AWAIT (path_count_results (world, 0, "b1") == ITEMS);
  run_for (QUIET_MS);
  assert_int_equal (sent_to_z1 (world), before);
  path_world_free (world);
}

/* Whoever reads for all is killed, or stands still, at the moment of the word. */
static void
test_leader_away (void **state)
{
  for (guint killed = 0; killed < 2; killed++)
    {
      PathWorld *world = start_world (killed ? "leader-killed" : "leader-frozen");
      gint leader = path_find_leader (world);
      if (killed)
        quince_process_kill (world->replicas[leader]);
      else
        quince_process_suspend (world->replicas[leader]);
      standin_store_put (world->store, Z1, "{}");
      await_evacuated (world, "z1", 1);
      guint before = sent_to_z1 (world);
      if (killed)
        path_start_replica (world, (guint)leader);
      else
        quince_process_resume (world->replicas[leader]);
      hammer (world);
      submit (world, "b1");
      AWAIT (path_count_results (world, 0, "b1") == ITEMS);
      run_for (QUIET_MS);
      assert_int_equal (sent_to_z1 (world), before);
      path_world_free (world);
    }
}

/* Asked twice, taken back and asked again at once, beside forgotten history: the last word counts. */
static void
test_last_word_counts (void **state)
{
  PathWorld *world = start_world ("last-word");
  standin_store_put (world->store, Z1, "{}");
  standin_store_put (world->store, Z1, "{}");
  standin_store_remove (world->store, Z1);
  standin_store_compact (world->store);
  standin_store_put (world->store, Z1, "{}");
  await_evacuated (world, "z1", 0);
  run_for (IN_FORCE_MS); /* until every process has heard the last word */
  guint before = sent_to_z1 (world);
  hammer (world);
  assert_int_equal (sent_to_z1 (world), before);
  standin_store_put (world->store, Z1, "{}");
  standin_store_remove (world->store, Z1);
  standin_store_compact (world->store);
  AWAIT (look_up (world, 0) == 200 && plain_runs (world, 0) > 0 && sent_to_z1 (world) > before);
  path_world_free (world);
}

/* The workers of the evacuated zone are lost as well: their entries lapse and come back in the evacuation. */
static void
test_zone_is_cut_too (void **state)
{
  PathWorld *world = start_world ("cut-too");
  standin_store_put (world->store, Z1, "{}");
  await_evacuated (world, "z1", 0);
  guint before = sent_to_z1 (world);
  standin_worker_crash (world->plain[0]);
  standin_store_remove (world->store, "servers/p0");
  hammer (world);
  standin_worker_restart (world->plain[0], "p0-2");
  g_autofree char *entry = standin_worker_make_entry (world->plain[0], "svc", "ready");
  standin_store_put (world->store, "servers/p0-2", entry);
  AWAIT (count_logged_by_all (world, "worker=p0-2") == PATH_FRONTS + PATH_REPLICAS);
  hammer (world);
  assert_int_equal (sent_to_z1 (world), before);
  path_world_free (world);
}

/* A front is suspended over the word: it sends nothing there when it goes on. */
static void
test_suspended_front (void **state)
{
  PathWorld *world = make_world ("suspended");
  g_autofree char *clock = g_strdup_printf ("%s/front-0.clock", world->folder);
  g_autofree char *moved = g_strdup_printf ("%d", AWAY_MS * 1000);
  path_configure (world, 7);
  path_register_workers (world);
  path_start_front (world, 1);
  g_setenv ("LD_PRELOAD", g_getenv ("QUINCE_BOOT_CLOCK_LIBRARY"), TRUE);
  g_setenv ("QUINCE_BOOT_CLOCK", clock, TRUE);
  path_start_front (world, 0);
  g_unsetenv ("LD_PRELOAD");
  AWAIT (look_up (world, 0) == 200 && look_up (world, 1) == 200);
  quince_process_suspend (world->fronts[0]);
  run_for (50);
  standin_store_put (world->store, Z1, "{}");
  AWAIT (count_logged (world, "front-1", "event=zone_evacuated") == 1);
  guint before = sent_to_z1 (world);
  PathAnswer answers[HAMMERED]; /* wait at the front when it goes on */
  for (guint i = 0; i < HAMMERED; i++)
    path_start_call (path_front (world, 0), "POST", "/l/1", "waits", "x", &answers[i]);
  run_for (100);
  g_assert_true (g_file_set_contents (clock, moved, -1, NULL));
  quince_process_resume (world->fronts[0]);
  for (guint i = 0; i < HAMMERED; i++)
    {
      AWAIT (answers[i].done);
      path_answer_clear (&answers[i]);
    }
  AWAIT (look_up (world, 0) == 200);
  assert_int_equal (sent_to_z1 (world), before);
  path_world_free (world);
}

int
main (void)
{
  const char *options = g_getenv ("ASAN_OPTIONS");
  g_autofree char *with_preload
      = g_strconcat (options != NULL ? options : "", ":verify_asan_link_order=0", NULL);
  g_setenv ("ASAN_OPTIONS", with_preload, TRUE);
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_nothing_is_sent), cmocka_unit_test (test_streams_end_where_they_are),
    cmocka_unit_test (test_all_zones),       cmocka_unit_test (test_processes_that_start),
    cmocka_unit_test (test_leader_away),     cmocka_unit_test (test_last_word_counts),
    cmocka_unit_test (test_zone_is_cut_too), cmocka_unit_test (test_suspended_front),
  };
  return cmocka_run_group_tests_name ("evacuation-path", tests, NULL, NULL);
}
