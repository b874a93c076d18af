/*
 * test-directory.c: guards against a directory that lists a frozen front while the metadata store is down.
 */
#include "path-world.h"

/* Returns whether the directory of front @queried_front lists front @listed_front. */
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

/* The front's lease cannot expire while the store is unresponsive, so the leader must detect the frozen front
 * by its missing heartbeats. */
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
