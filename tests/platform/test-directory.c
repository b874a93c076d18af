/*
 * test-directory.c: which fronts the directory names while fronts, leaders and the metadata store fail.
 */
#include "path-world.h"

/* Whether the directory of front @asked names front @named. */
static gboolean
directory_lists_front (PathWorld *world, guint queried_front, guint listed_front)
{
  PathAnswer answer;
  path_call (quince_process_get_ready_value (world->fronts[queried_front], "directory"), "GET",
             "/quinceroute/resolve?name=" PATH_HOST "&region=r&zone=z1", "q", NULL, &answer);
  gboolean is_listed = answer.status == 200 && strstr (answer.body, path_front (world, listed_front)) != NULL;
  path_answer_clear (&answer);
  return is_listed;
}

/* Its lease cannot run out while the store is silent: the leader's heartbeats tell. */
static void
test_frozen_front_is_unlisted (void **state)
{
  PathWorld *world = path_world_new ("frozen-front");
  path_world_start (world);
  AWAIT (directory_lists_front (world, 0, 1));
  standin_store_set_fault (world->store, STANDIN_STORE_UNRESPONSIVE);
  quince_process_suspend (world->fronts[1]);
  AWAIT (!directory_lists_front (world, 0, 1));
  assert_true (directory_lists_front (world, 0, 0));
  quince_process_resume (world->fronts[1]);
  AWAIT (directory_lists_front (world, 0, 1));
  standin_store_set_fault (world->store, STANDIN_STORE_HEALTHY);
  path_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_frozen_front_is_unlisted),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
