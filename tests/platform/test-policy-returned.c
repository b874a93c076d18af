/*
 * test-policy-returned.c: the store comes back with an older policy, and all replicas are restarted after it:
 * of those that run only a front has the later one.
 *
 * Each replica read the earlier policy in the store, so that the leader had nothing later to tell, and fronts
 * that started then decided by the earlier one for good ('policy_in_force' of the earlier revision alone).
 */
#include "policy-scene.h"

#define OUTAGE_MS 4000
#define OTHER_WRITES 40

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
restart_all_replicas (Scene *scene)
{
  for (guint i = 0; i < PATH_REPLICAS; i++)
    quince_process_kill (scene->world->path->replicas[i]);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    relayed_start_process (scene->world, RELAYED_REPLICA_PROCESS (i));
}

static void
test_replicas_start_after_restore (void **state)
{
  Scene scene;
  start_scene (&scene, "returned");
  accept_policy (&scene, admit_all_policy);
  assert_in_force (&scene, scene.accepted_us, TRUE);
  standin_store_save (scene.world->path->store);
  accept_policy (&scene, refuse_lookups_policy);
  assert_in_force (&scene, scene.accepted_us, TRUE);
  restore_store (&scene);
  restart_all_replicas (&scene);
  quince_process_kill (scene.world->path->fronts[0]);
  relayed_start_process (scene.world, 0);
  AWAIT (is_in_force (&scene, TRUE));
  const char *front = path_front (scene.world->path, 0);
  assert_int_equal (path_status (front, "POST", "/l/again", "again", "x"), 503);
  stop_scene (&scene);
}

int
main (void)
{
  relayed_allow_preload ();
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_replicas_start_after_restore) };
  return cmocka_run_group_tests_name ("policy-returned", tests, NULL, NULL);
}
