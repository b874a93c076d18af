/*
 * test-policy-accept.c: operators accept policies while the store fails: what is accepted is in force at
 * every process 3 s after it, one of two operators is told of the other, and no process goes back to an
 * earlier one.
 */
#include "policy-scene.h"

#define EXIT_CONFLICT 3
#define OUTAGE_MS 4000
#define EARLY_ANSWERS 6
#define LATE_WATCH_MS 1500
#define OTHER_WRITES 40

static Scene scene;

static int
set_up (void **state)
{
  start_scene (&scene, "accept");
  return 0;
}

static int
tear_down (void **state)
{
  stop_scene (&scene);
  return 0;
}

static void
test_plain (void **state)
{
  for (guint i = 0; i < 3; i++)
    {
      accept_policy (&scene, admit_all_policy);
      assert_in_force (&scene, scene.accepted_us, TRUE);
    }
}

static QuinceProcess *
spawn_operator (const char *name, const char *path)
{
  g_autofree char *program = g_build_filename (g_getenv ("QUINCE_BUILD_DIR"), "tools", "quinceroute", NULL);
  g_autofree char *expected = g_strdup_printf ("%u", (guint)scene.revision);
  const char *store = standin_store_get_address (scene.world->path->store);
  const char *const arguments[] = { program,    "policy", "accept",  path,  "--comment", name,
                                    "--expect", expected, "--store", store, NULL };
  QuinceProcess *process = quince_process_spawn (scene.world->path->folder, name, arguments, NULL);
  assert_non_null (process);
  return process;
}

static int
await_operator (QuinceProcess *process)
{
  int status = -1;
  AWAIT (quince_process_wait (process, 1, &status));
  return status;
}

/* The write is done and its answer is lost: the operator is told that it was accepted, and it is, once. */
static void
test_answer_lost (void **state)
{
  accept_policy (&scene, admit_all_policy);
  g_autofree char *path = write_policy (&scene, admit_all_policy);
  standin_store_set_fault (scene.world->path->store, STANDIN_STORE_DROPS_WRITE_ANSWERS);
  g_autoptr (QuinceProcess) process = spawn_operator ("lost", path);
  AWAIT (standin_store_get_revision (scene.world->path->store, "quinceroute/policy") > scene.revision);
  record_accepted_revision (&scene);
  standin_store_set_fault (scene.world->path->store, STANDIN_STORE_HEALTHY);
  assert_int_equal (await_operator (process), 0);
  assert_in_force (&scene, scene.accepted_us, TRUE);
  assert_int_equal (standin_store_get_revision (scene.world->path->store, "quinceroute/policy"),
                    scene.revision);
}

/* Both read the same revision: one wins, the other is told of the winner's. */
static void
test_two_operators (void **state)
{
  accept_policy (&scene, admit_all_policy);
  g_autofree char *first_path = write_policy (&scene, admit_all_policy);
  g_autofree char *second_path = write_policy (&scene, admit_all_policy);
  g_autoptr (QuinceProcess) first = spawn_operator ("operator-1", first_path);
  g_autoptr (QuinceProcess) second = spawn_operator ("operator-2", second_path);
  int first_status = await_operator (first);
  int second_status = await_operator (second);
  assert_int_equal (MIN (first_status, second_status), 0);
  assert_int_equal (MAX (first_status, second_status), EXIT_CONFLICT);
  record_accepted_revision (&scene);
  const char *loser = first_status == 0 ? "operator-2" : "operator-1";
  g_autofree char *file = g_strdup_printf ("%s/%s.log", scene.world->path->folder, loser);
  g_autofree char *errors = NULL;
  g_autofree char *revision = g_strdup_printf ("revision %u ", (guint)scene.revision);
  assert_true (g_file_get_contents (file, &errors, NULL, NULL));
  if (strstr (errors, revision) == NULL)
    fail_msg ("not told of '%s': %s", revision, errors);
  assert_in_force (&scene, scene.accepted_us, TRUE);
}

/* One replica alone sees the store, which then goes down for all. */
static void
test_store_down_after_accept (void **state)
{
  guint reader = RELAYED_REPLICA_PROCESS ((scene.leader + 1) % PATH_REPLICAS);
  for (guint i = 0; i < RELAYED_N_PROCESSES; i++)
    relayed_set_paused (scene.world, i, RELAYED_STORE, i != reader);
  accept_policy (&scene, admit_all_policy);
  AWAIT (revision_in_force (&scene, reader) == scene.revision);
  standin_store_set_fault (scene.world->path->store, STANDIN_STORE_UNAVAILABLE);
  standin_store_close_connections (scene.world->path->store);
  assert_in_force (&scene, scene.accepted_us, TRUE);
  for (guint i = 0; i < RELAYED_N_PROCESSES; i++)
    relayed_set_paused (scene.world, i, RELAYED_STORE, FALSE);
  standin_store_set_fault (scene.world->path->store, STANDIN_STORE_HEALTHY);
}

static void
test_dropped_and_frozen_watches (void **state)
{
  accept_policy (&scene, admit_all_policy);
  standin_store_close_connections (scene.world->path->store);
  assert_in_force (&scene, scene.accepted_us, TRUE);
  standin_store_close_connections (scene.world->path->store);
  accept_policy (&scene, admit_all_policy);
  assert_in_force (&scene, scene.accepted_us, TRUE);
  standin_store_compact (scene.world->path->store);
  accept_policy (&scene, admit_all_policy);
  assert_in_force (&scene, scene.accepted_us, TRUE);
  /* One replica's connection stands and brings nothing. */
  relayed_set_paused (scene.world, RELAYED_REPLICA_PROCESS (0), RELAYED_STORE, TRUE);
  accept_policy (&scene, admit_all_policy);
  assert_in_force (&scene, scene.accepted_us, TRUE);
  relayed_set_paused (scene.world, RELAYED_REPLICA_PROCESS (0), RELAYED_STORE, FALSE);
}

/* The store goes down after an acceptance and comes back: nobody goes back, and the next one is in force. */
static void
test_store_down_and_back (void **state)
{
  accept_policy (&scene, admit_all_policy);
  standin_store_set_fault (scene.world->path->store, STANDIN_STORE_UNAVAILABLE);
  standin_store_close_connections (scene.world->path->store);
  run_for (OUTAGE_MS);
  standin_store_set_fault (scene.world->path->store, STANDIN_STORE_HEALTHY);
  gint64 back_us = g_get_monotonic_time ();
  assert_in_force (&scene, back_us, TRUE);
  accept_policy (&scene, admit_all_policy);
  assert_in_force (&scene, scene.accepted_us, TRUE);
}

static void
count_answers (guint front, guint *whole, guint *refused)
{
  guint status = path_status (path_front (scene.world->path, front), "POST", "/l/again", "again", "x");
  *whole += status == 200;
  *refused += status == 503;
}

/* Watches tell late of all changes. */
static void
test_late_watches (void **state)
{
  standin_store_set_watch_delay (scene.world->path->store, LATE_WATCH_MS);
  for (guint i = 0; i < 3; i++)
    {
      accept_policy (&scene, admit_all_policy);
      assert_in_force (&scene, scene.accepted_us, TRUE);
    }
}

/* The store comes back with what it held before the last acceptance, and other writes bring its revision past
 * what processes have seen: nobody goes back.  A front that starts then: test-policy-restored.c. */
static void
test_store_restored_to_older_state (void **state)
{
  StandinStore *store = scene.world->path->store;
  accept_policy (&scene, admit_all_policy);
  assert_in_force (&scene, scene.accepted_us, TRUE);
  standin_store_save (store);
  accept_policy (&scene, refuse_lookups_policy);
  assert_in_force (&scene, scene.accepted_us, TRUE);
  standin_store_set_fault (store, STANDIN_STORE_CLOSES_CONNECTIONS);
  standin_store_close_connections (store);
  run_for (OUTAGE_MS);
  standin_store_restore (store);
  standin_store_set_fault (store, STANDIN_STORE_HEALTHY);
  for (guint i = 0; i < OTHER_WRITES; i++)
    standin_store_put (store, "op/note", "x");
  run_for (OUTAGE_MS);
  guint whole = 0, refused = 0;
  for (guint i = 0; i < PATH_FRONTS; i++)
    count_answers (i, &whole, &refused);
  assert_int_equal (whole, 0);
  assert_int_equal (refused, PATH_FRONTS);
}

/* A front that starts again decides by no earlier policy than the accepted one, also before it has read it:
 * the own keys of the store come late. */
static void
test_front_starts_again (void **state)
{
  accept_policy (&scene, refuse_lookups_policy);
  assert_in_force (&scene, scene.accepted_us, TRUE);
  guint whole = 0, refused = 0;
  standin_store_set_fault (scene.world->path->store, STANDIN_STORE_FAILS_OWN_PREFIX);
  relayed_set_paused (scene.world, 0, RELAYED_REPLICA (0), TRUE);
  relayed_set_paused (scene.world, 0, RELAYED_REPLICA (1), TRUE);
  relayed_set_paused (scene.world, 0, RELAYED_REPLICA (2), TRUE);
  quince_process_kill (scene.world->path->fronts[0]);
  relayed_start_process (scene.world, 0);
  for (guint i = 0; i < 20; i++)
    {
      count_answers (0, &whole, &refused);
      run_for (50);
    }
  assert_int_equal (whole, 0);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    relayed_set_paused (scene.world, 0, RELAYED_REPLICA (i), FALSE);
  standin_store_set_fault (scene.world->path->store, STANDIN_STORE_HEALTHY);
  AWAIT (is_in_force (&scene, TRUE));
  count_answers (0, &whole, &refused);
  assert_int_equal (whole, 0);
  accept_policy (&scene, admit_all_policy);
  assert_in_force (&scene, scene.accepted_us, TRUE);
  AWAIT (path_status (path_front (scene.world->path, 0), "POST", "/l/again", "again", "x") == 200);
}

/* A front that starts while the store is down knows no workers and serves nothing; once the store is back the
 * accepted policy is the first that it decides by. */
static void
test_front_starts_in_an_outage (void **state)
{
  accept_policy (&scene, refuse_lookups_policy);
  assert_in_force (&scene, scene.accepted_us, TRUE);
  standin_store_set_fault (scene.world->path->store, STANDIN_STORE_UNAVAILABLE);
  standin_store_close_connections (scene.world->path->store);
  quince_process_kill (scene.world->path->fronts[0]);
  relayed_start_process (scene.world, 0);
  guint whole = 0, refused = 0;
  for (guint i = 0; i < 10; i++)
    {
      count_answers (0, &whole, &refused);
      run_for (50);
    }
  standin_store_set_fault (scene.world->path->store, STANDIN_STORE_HEALTHY);
  gint64 back_us = g_get_monotonic_time ();
  while (!is_in_force (&scene, TRUE) && g_get_monotonic_time () - back_us < AWAIT_TIMEOUT_MS * 1000)
    {
      count_answers (0, &whole, &refused);
      run_for (20); /* a front that refuses more often leaves lines out of its log */
    }
  assert_in_force (&scene, back_us, TRUE);
  assert_int_equal (whole, 0);
  assert_true (refused > 0);
}

#define CASE(function) cmocka_unit_test_setup_teardown (function, set_up, tear_down)

int
main (int argc, char **argv)
{
  relayed_allow_preload ();
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  const struct CMUnitTest tests[] = {
    CASE (test_plain),
    CASE (test_answer_lost),
    CASE (test_two_operators),
    CASE (test_store_down_after_accept),
    CASE (test_dropped_and_frozen_watches),
    CASE (test_store_down_and_back),
    CASE (test_late_watches),
    CASE (test_store_restored_to_older_state),
    CASE (test_front_starts_again),
    CASE (test_front_starts_in_an_outage),
  };
  return cmocka_run_group_tests_name ("policy-accept", tests, NULL, NULL);
}
