/*
 * test-end-without-quorum.c: guards against a leader without a quorum that leaves the end of a batch
 * unanswered, although it knows that it cannot commit the end.
 */
#define PATH_REPLICAS 2
#define PATH_FRONTS 1

#include "path-world.h"

/* Longer than the 0.6 s lease. */
#define LEASE_LAPSE_MS 1000
/* Far below the 1.5 s after which a front gives up an unanswered call. */
#define REFUSAL_MAX_MS 500

/* The store confirms the leader of a view of two members without the other one, so that it answers reads. */
static void
test_end_is_refused_without_quorum (void **state)
{
  PathWorld *world = path_world_new ("end-without-quorum");
  path_world_start (world);
  guint member = path_find_leader (world) == 0 ? 1 : 0;
  const char *front = path_front (world, 0);
  g_autofree char *text = path_make_batch ("b1", 4);
  AWAIT (path_status (front, "POST", "/r/batch", "b1", text) == 202);
  AWAIT (path_count_results (world, 0, "b1") == 4);
  quince_process_suspend (world->replicas[member]);
  run_for (LEASE_LAPSE_MS);
  assert_int_equal (path_count_results (world, 0, "b1"), 4);
  gint64 started_us = g_get_monotonic_time ();
  assert_int_equal (path_status (front, "DELETE", "/quinceroute/lots/b1", "end", NULL), 503);
  assert_true (g_get_monotonic_time () - started_us < REFUSAL_MAX_MS * 1000);
  g_autofree char *front_log = quince_process_read_output (world->fronts[0]);
  assert_non_null (strstr (front_log, "cause=ledger_refused"));
  assert_non_null (strstr (front_log, "reason=no_quorum"));
  assert_int_equal (path_count_results (world, 0, "b1"), 4);
  quince_process_resume (world->replicas[member]);
  AWAIT (path_status (front, "DELETE", "/quinceroute/lots/b1", "end", NULL) == 200);
  path_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_end_is_refused_without_quorum) };
  return cmocka_run_group_tests_name ("end-without-quorum", tests, NULL, NULL);
}
