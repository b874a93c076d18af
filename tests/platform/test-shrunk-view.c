/*
 * test-shrunk-view.c: guards against a ledger that refuses every call for good after a view with a vacancy
 * has lost as many disks as are tolerated.
 */
#define PATH_REPLICAS 5
#define PATH_FRONTS 1

#include "path-world.h"

#define LOST_DISKS 2

static guint
count_lines (const PathWorld *world, const char *part)
{
  guint count = 0;
  for (guint i = 0; i < PATH_REPLICAS; i++)
    {
      g_autofree char *file = g_strdup_printf ("%s/replica-%u.out", world->folder, i);
      g_autofree char *text = NULL;
      if (g_file_get_contents (file, &text, NULL, NULL))
        count += path_count_occurrences (text, part);
    }
  return count;
}

/* Kills a member and waits until the view has a member less, as no other machine can replace it. */
static void
shrink_view (PathWorld *world, guint away)
{
  guint before = count_lines (world, "members=4 on_revision");
  quince_process_kill (world->replicas[away]);
  AWAIT (count_lines (world, "members=4 on_revision") > before);
  run_for (1000);
}

static void
test_lost_disks_of_shrunk_view (void **state)
{
  PathWorld *world = path_world_new ("shrunk-view");
  world->losses = "losses=2";
  path_reserve_links (world);
  path_world_start (world);
  g_autofree char *text = path_make_batch ("b1", 4);
  AWAIT (path_status (path_front (world, 0), "POST", "/r/batch", "b1", text) == 202);
  AWAIT (path_count_results (world, 0, "b1") == 4);
  AWAIT (count_lines (world, "members=5 on_revision") >= 1);
  run_for (1000);
  guint leader = (guint)path_find_leader (world);
  guint away = (leader + 1) % PATH_REPLICAS;
  shrink_view (world, away);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    if (i != away)
      quince_process_kill (world->replicas[i]);
  for (guint i = 0; i < LOST_DISKS; i++)
    path_delete_replica_data (world, (leader + 2 + i) % PATH_REPLICAS);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    path_start_replica (world, i);
  gint64 started_us = g_get_monotonic_time ();
  AWAIT (path_count_results (world, 0, "b1") == 4);
  print_message ("results after %u ms\n", (guint)((g_get_monotonic_time () - started_us) / 1000));
  AWAIT (path_status (path_front (world, 0), "DELETE", "/quinceroute/lots/b1", "end", NULL) == 200);
  path_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_lost_disks_of_shrunk_view) };
  return cmocka_run_group_tests_name ("shrunk-view", tests, NULL, NULL);
}
