/*
 * test-directory.c: which fronts the directory names while fronts, leaders and the metadata store fail.
 */
#include "path-world.h"

/* Whether the directory of front @asked names front @named. */
static gboolean
names (PathWorld *world, guint asked, guint named)
{
  PathAnswer answer;
  path_call (quince_process_get_ready_value (world->fronts[asked], "directory"), "GET",
             "/quinceroute/resolve?name=" PATH_HOST "&region=r&zone=z1", "q", NULL, &answer);
  gboolean found = answer.status == 200 && strstr (answer.body, path_front (world, named)) != NULL;
  path_answer_clear (&answer);
  return found;
}

/* Its lease cannot run out while the store is silent: the leader's heartbeats tell. */
static void
test_frozen_front_is_left_out (void **state)
{
  PathWorld *world = path_world_new ("frozen-front");
  path_world_start (world);
  AWAIT (names (world, 0, 1));
  standin_store_set_fault (world->store, STANDIN_STORE_UNRESPONSIVE);
  quince_process_suspend (world->fronts[1]);
  AWAIT (!names (world, 0, 1));
  assert_true (names (world, 0, 0));
  quince_process_resume (world->fronts[1]);
  AWAIT (names (world, 0, 1));
  standin_store_set_fault (world->store, STANDIN_STORE_HEALTHY);
  path_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_frozen_front_is_left_out),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
