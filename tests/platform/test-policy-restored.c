/*
 * test-policy-restored.c: the store comes back with what it held before the last acceptance, and other writes
 * bring its revision past what processes have seen: a front that starts then decides by the later policy,
 * which all others have.
 *
 * The leader keeps the later policy in force and in its copy of the store, but sent a subscriber only what
 * had changed after the revision that the subscriber had read.  A front that started after the restore had
 * read past both policies, was sent neither, and decided by the earlier one for good ('policy_in_force' of
 * the earlier revision, and no other line of it).
 */
#include "policy-scene.h"

#define OUTAGE_MS 4000
#define OTHER_WRITES 40
#define CALLS 40
#define CALL_EVERY_MS_THEN 50

static void
restore_store (Scene *scene)
{
  StandinStore *store = scene->world->path->store;
  standin_store_set_fault (store, STANDIN_STORE_CLOSES_CONNECTIONS);
  standin_store_close_connections (store);
  run_for (OUTAGE_MS);
  standin_store_restore (store);
  standin_store_set_fault (store, STANDIN_STORE_HEALTHY);
  for (guint i = 0; i < OTHER_WRITES; i++)
    standin_store_put (store, "op/note", "x");
  run_for (OUTAGE_MS);
}

static void
test_front_starts_after_restore (void **state)
{
  Scene scene;
  start_scene (&scene, "restored");
  accept_policy (&scene, admit_all_policy);
  assert_in_force (&scene, scene.accepted_us, TRUE);
  standin_store_save (scene.world->path->store);
  accept_policy (&scene, refuse_lookups_policy);
  assert_in_force (&scene, scene.accepted_us, TRUE);
  restore_store (&scene);
  quince_process_kill (scene.world->path->fronts[0]);
  relayed_start_process (scene.world, 0);
  /* It reads the earlier one, and hears of the later one from others. */
  assert_in_force (&scene, g_get_monotonic_time (), TRUE);
  for (guint i = 0; i < CALLS; i++)
    {
      const char *front = path_front (scene.world->path, 0);
      assert_int_equal (path_status (front, "POST", "/l/again", "again", "x"), 503);
      run_for (CALL_EVERY_MS_THEN);
    }
  stop_scene (&scene);
}

int
main (void)
{
  relayed_allow_preload ();
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_front_starts_after_restore) };
  return cmocka_run_group_tests_name ("policy-restored", tests, NULL, NULL);
}
