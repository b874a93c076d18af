/*
 * test-freshness-evacuation.c: guards against an evacuation that processes learn of late, or not at all,
 * while the store, the leader or the feed fails.
 */
#include "freshness-world.h"

static void
assert_evacuated_in_time (Process *process, gboolean evacuated)
{
  gint64 begin_us = g_get_monotonic_time ();
  AWAIT (knows_zone_evacuated (process) == evacuated);
  gint64 took_ms = (g_get_monotonic_time () - begin_us) / 1000;
  if (took_ms > CHANGE_MAX_DELAY_MS)
    fail_msg ("the state of the zone was observed after %d ms", (int)took_ms);
}

/* The store responds neither to the leader nor to the follower: both learn from a replica that the
 * evacuation starts and that it ends. */
static void
test_evacuation_through_reserve_reader (void **state)
{
  connect_to_leader (&replica, &leader);
  connect_to_leader (&follower, &leader);
  run_for (100);
  standin_store_set_fault (leader.standin, STANDIN_STORE_UNRESPONSIVE);
  standin_store_set_fault (follower.standin, STANDIN_STORE_UNRESPONSIVE);
  standin_store_put (replica.standin, EVACUATE_KEY, "{}");
  assert_evacuated_in_time (&follower, TRUE);
  assert_true (knows_zone_evacuated (&leader));
  standin_store_remove (replica.standin, EVACUATE_KEY);
  assert_evacuated_in_time (&follower, FALSE);
  assert_false (knows_zone_evacuated (&leader));
}

/* The leader reads an evacuation but does not feed it: the follower reads it from the store. */
static void
test_leader_withholds_evacuation (void **state)
{
  connect_to_leader (&follower, &leader);
  run_for (100);
  g_clear_pointer (&leader.feed, quince_store_feed_free);
  quince_timer_clear (&leader.leader_heartbeat_timer);
  standin_store_put (leader.standin, EVACUATE_KEY, "{}");
  standin_store_put (follower.standin, EVACUATE_KEY, "{}");
  assert_evacuated_in_time (&leader, TRUE);
  assert_evacuated_in_time (&follower, TRUE);
}

/* The evacuation ends and the history is compacted during a store outage: the list lacks the key. */
static void
test_evacuation_end_in_compacted_history (void **state)
{
  standin_store_put (follower.standin, EVACUATE_KEY, "{}");
  assert_evacuated_in_time (&follower, TRUE);
  standin_store_set_fault (follower.standin, STANDIN_STORE_UNAVAILABLE);
  standin_store_close_connections (follower.standin);
  standin_store_remove (follower.standin, EVACUATE_KEY);
  standin_store_compact (follower.standin);
  run_for (300);
  assert_true (knows_zone_evacuated (&follower));
  standin_store_set_fault (follower.standin, STANDIN_STORE_HEALTHY);
  assert_evacuated_in_time (&follower, FALSE);
}

/* An evacuation starts, ends and starts again in quick succession, and an older page is fed late. */
static void
test_rapid_evacuation_changes (void **state)
{
  connect_to_leader (&follower, &leader);
  guint64 revisions[QUINCE_OBSERVER_N_PREFIXES];
  quince_observer_get_revisions (leader.observer, revisions);
  g_autoptr (GPtrArray) no_items = g_ptr_array_new ();
  const QuinceMetaPage stale_page = { .items = no_items, .after = revisions[0], .revision = revisions[0] };
  for (guint i = 0; i < 2; i++)
    {
      standin_store_put (leader.standin, EVACUATE_KEY, "{}");
      standin_store_remove (leader.standin, EVACUATE_KEY);
      standin_store_put (leader.standin, EVACUATE_KEY, "{}");
      standin_store_put (leader.standin, EVACUATE_KEY, "{}");
      assert_evacuated_in_time (&follower, TRUE);
      assert_false (quince_observer_feed (follower.observer, "op/", &stale_page, TRUE));
      assert_true (knows_zone_evacuated (&follower));
      standin_store_remove (leader.standin, EVACUATE_KEY);
      assert_evacuated_in_time (&follower, FALSE);
    }
}

/* A starting process sends no requests until it has read the operator's settings. */
static void
test_start_during_evacuation (void **state)
{
  Process starter = { .standin = standin_store_new () };
  standin_store_put (starter.standin, EVACUATE_KEY, "{}");
  standin_store_set_fault (starter.standin, STANDIN_STORE_FAILS_LISTS);
  starter.store
      = quince_meta_store_new (standin_store_get_address (starter.standin), &quince_platform_meta_codec);
  starter.backends = quince_backends_new (quince_topology_new ("z1", ""), QUINCE_PLATFORM_REQUEST_ID_HEADER);
  starter.accepted = g_ptr_array_new ();
  const QuinceObserverOptions options
      = { .workers_read_interval_min_ms = 100, .change_bound_ms = QUINCE_OBSERVER_CHANGE_BOUND_MIN_MS };
  starter.observer = quince_observer_new (starter.store, starter.backends, &quince_platform_observer_codec,
                                          &options, &observer_callbacks, &starter);
  run_for (500);
  assert_true (quince_backends_holds_sends (starter.backends));
  standin_store_set_fault (starter.standin, STANDIN_STORE_HEALTHY);
  AWAIT (!quince_backends_holds_sends (starter.backends));
  assert_true (knows_zone_evacuated (&starter));
  process_clear (&starter);
}

/* After a suspension no request is sent until the store was read again. If the store does not respond, the
 * process continues with the last known state. */
static void
test_evacuation_while_suspended (void **state)
{
  standin_store_set_fault (follower.standin, STANDIN_STORE_UNRESPONSIVE);
  standin_store_put (follower.standin, EVACUATE_KEY, "{}");
  standin_store_close_connections (follower.standin);
  run_for (50);
  standin_store_set_fault (follower.standin, STANDIN_STORE_HEALTHY);
  quince_meta_store_handle_resume (follower.store);
  quince_observer_handle_resume (follower.observer);
  assert_true (quince_backends_holds_sends (follower.backends));
  AWAIT (!quince_backends_holds_sends (follower.backends));
  assert_true (knows_zone_evacuated (&follower));
  standin_store_set_fault (follower.standin, STANDIN_STORE_UNRESPONSIVE);
  quince_observer_handle_resume (follower.observer);
  assert_true (quince_backends_holds_sends (follower.backends));
  AWAIT (!quince_backends_holds_sends (follower.backends));
  assert_true (knows_zone_evacuated (&follower));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    CASE (test_evacuation_through_reserve_reader),
    CASE (test_leader_withholds_evacuation),
    CASE (test_evacuation_end_in_compacted_history),
    CASE (test_rapid_evacuation_changes),
    CASE (test_start_during_evacuation),
    CASE (test_evacuation_while_suspended),
  };
  return cmocka_run_group_tests_name ("freshness-evacuation", tests, NULL, NULL);
}
