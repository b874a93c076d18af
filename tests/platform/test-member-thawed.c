/*
 * test-member-thawed.c: guards against a resumed ledger member that campaigns before it reads what its
 * healthy leader sent while the member was suspended.
 */
#define PATH_REPLICAS 2
#define PATH_FRONTS 1

#include "path-world.h"

/* Longer than the leader timeout of 1 s plus the campaign delay of the second backup. */
#define SUSPENDED_MS 1800
#define SUSPENSIONS 4

static guint
count_leaders_elected (const PathWorld *world)
{
  guint count = 0;
  for (guint i = 0; i < PATH_REPLICAS; i++)
    {
      g_autofree char *text = quince_process_read_output (world->replicas[i]);
      for (const char *at = strstr (text, "event=ledger_role role=primary"); at != NULL;
           at = strstr (at + 1, "event=ledger_role role=primary"))
        count++;
    }
  return count;
}

static void
test_resumed_member_reads_before_campaigning (void **state)
{
  PathWorld *world = path_world_new ("member-thawed");
  path_world_start (world);
  gint leader = path_find_leader (world);
  guint member = leader == 0 ? 1 : 0;
  run_for (1000);
  for (guint i = 0; i < SUSPENSIONS; i++)
    {
      quince_process_suspend (world->replicas[member]);
      run_for (SUSPENDED_MS);
      quince_process_resume (world->replicas[member]);
      run_for (1000);
    }
  assert_int_equal (count_leaders_elected (world), 1);
  AWAIT (path_status (path_front (world, 0), "GET", "/quinceroute/lots/none", "q", NULL) == 404);
  path_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_resumed_member_reads_before_campaigning) };
  return cmocka_run_group_tests_name ("member-thawed", tests, NULL, NULL);
}
