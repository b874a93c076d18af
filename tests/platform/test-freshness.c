/*
 * test-freshness.c: guards against stale metadata while the store, the leader or the feed of a process fails.
 */
#include "freshness-world.h"

/* The store stops responding to the leader only: the follower detects it and reads the store itself. */
static void
test_leader_cut_off_from_store (void **state)
{
  connect_to_leader (&follower, &leader);
  publish_version (&follower, 3);
  publish_version (&leader, 3);
  AWAIT (get_known_version (&follower) == 3);
  run_for (100); /* the follower gets the feed, and the leader has a watch in flight */
  standin_store_set_fault (leader.standin, STANDIN_STORE_UNRESPONSIVE);
  publish_version (&follower, 4);
  assert_version_in_time (&follower, 4);
}

/* A watch that an unresponsive store accepted is replaced after the outage. */
static void
test_watch_on_unresponsive_store (void **state)
{
  standin_store_set_fault (follower.standin, STANDIN_STORE_UNRESPONSIVE);
  standin_store_close_connections (follower.standin); /* the follower reconnects and starts new watches */
  run_for (700);
  standin_store_set_fault (follower.standin, STANDIN_STORE_HEALTHY);
  publish_version (&follower, 3);
  assert_version_in_time (&follower, 3);
}

/* The feed starts after the revision that the follower has: it ignores the feed and reads the store. */
static void
test_gap_in_feed (void **state)
{
  publish_version (&leader, 3);
  AWAIT (get_known_version (&leader) == 3);
  /* The history is compacted and lists fail, so the leader cannot feed the missing changes. */
  standin_store_set_fault (leader.standin, STANDIN_STORE_FAILS_LISTS);
  standin_store_compact (leader.standin);
  AWAIT (!quince_observer_is_synced (leader.observer));
  /* The follower's own store is unavailable, so that only the leader could feed it. */
  standin_store_set_fault (follower.standin, STANDIN_STORE_UNAVAILABLE);
  standin_store_close_connections (follower.standin);
  publish_version (&follower, 3);
  connect_to_leader (&follower, &leader);
  standin_store_set_fault (leader.standin, STANDIN_STORE_HEALTHY);
  AWAIT (quince_observer_is_synced (leader.observer));
  run_for (300);
  standin_store_set_fault (follower.standin, STANDIN_STORE_HEALTHY);
  assert_version_in_time (&follower, 3);
}

/* The store loses a worker's entry during an outage that only the leader sees. The leader and its follower
 * keep the worker as a last resort. */
static void
test_worker_entry_lost_in_store_outage (void **state)
{
  standin_store_put (leader.standin, "servers/w1", WORKER_ENTRY);
  standin_store_put (follower.standin, "servers/w1", WORKER_ENTRY);
  AWAIT (count_known_workers (&leader) == 1 && count_known_workers (&follower) == 1);
  connect_to_leader (&follower, &leader);
  standin_store_set_fault (leader.standin, STANDIN_STORE_UNAVAILABLE);
  standin_store_close_connections (leader.standin);
  AWAIT (quince_meta_store_is_failing (leader.store));
  standin_store_remove (leader.standin, "servers/w1");
  standin_store_set_fault (leader.standin, STANDIN_STORE_HEALTHY);
  AWAIT (get_workers_revision (&follower) >= get_workers_revision (&leader)
         && get_workers_revision (&leader) >= 3);
  assert_int_equal (count_known_workers (&leader), 1);
  assert_int_equal (count_known_workers (&follower), 1);
}

/* The store does not respond to the leader: a replica reports what it reads, and the leader feeds it to its
 * followers, which make no calls to the store. */
static void
test_reserve_reader_feeds_all (void **state)
{
  connect_to_leader (&replica, &leader);
  connect_to_leader (&follower, &leader);
  run_for (100);
  standin_store_set_fault (leader.standin, STANDIN_STORE_UNRESPONSIVE);
  guint calls = standin_store_get_n_calls (follower.standin);
  publish_version (&replica, 3);
  standin_store_put (replica.standin, "servers/w1", WORKER_ENTRY);
  assert_version_in_time (&follower, 3);
  AWAIT (count_known_workers (&follower) == 1);
  assert_int_equal (get_known_version (&leader), 3);
  assert_int_equal (count_known_workers (&leader), 1);
  run_for (2500); /* longer than the timeouts of the feed */
  assert_int_equal (standin_store_get_n_calls (follower.standin), calls);
  /* The replica continues to read although the leader feeds its own reports back to it. */
  publish_version (&replica, 4);
  assert_version_in_time (&follower, 4);
  standin_store_remove (replica.standin, "servers/w1");
  AWAIT (count_known_workers (&follower) == 0);
  assert_int_equal (standin_store_get_n_calls (follower.standin), calls);
}

/* A follower abandons a leader that sends nothing sooner than one whose reads lag, since one of the own keys
 * names the next leader. */
static void
test_silent_leader (void **state)
{
  connect_to_leader (&follower, &leader);
  run_for (100);
  g_clear_pointer (&leader.feed, quince_store_feed_free);
  quince_timer_clear (&leader.leader_heartbeat_timer);
  standin_store_put (follower.standin, "quinceroute/ledger", "view");
  gint64 begin_us = g_get_monotonic_time ();
  AWAIT (follower.n_own_key_changes > 0);
  gint64 took_ms = (g_get_monotonic_time () - begin_us) / 1000;
  if (took_ms > SILENT_LEADER_MAX_MS)
    fail_msg ("the silent leader was abandoned after %d ms", (int)took_ms);
}

/* Guards against overload of the store when many fronts lose the leader together: at first they read only the
 * own keys, and other prefixes when the bound on changes requires it. */
static void
test_feeder_loss_store_load (void **state)
{
  connect_to_leader (&follower, &leader);
  run_for (700); /* until the feed has sent a page of each prefix */
  guint calls = standin_store_get_n_calls (follower.standin);
  g_clear_pointer (&leader.feed, quince_store_feed_free);
  quince_timer_clear (&leader.leader_heartbeat_timer);
  quince_observer_handle_feeder_loss (follower.observer);
  run_for (800);
  assert_in_range (standin_store_get_n_calls (follower.standin) - calls, 0, 2);
  publish_version (&follower, 3);
  assert_version_in_time (&follower, 3);
}

/* A leader that reads the store itself ignores the reports of replicas, newer or older. */
static void
test_healthy_leader_ignores_reports (void **state)
{
  connect_to_leader (&replica, &leader);
  guint64 revisions[QUINCE_OBSERVER_N_PREFIXES];
  quince_observer_get_revisions (leader.observer, revisions);
  g_autoptr (GPtrArray) items = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_meta_item_free);
  QuinceMetaItem *item = g_new0 (QuinceMetaItem, 1);
  item->key = g_strdup (VERSION_KEY);
  static const char version_9[] = "{\"model\":\"" MODEL "\",\"version\":9}";
  item->value = g_bytes_new_static (version_9, sizeof version_9 - 1);
  item->revision = revisions[0] + 1;
  g_ptr_array_add (items, item);
  const QuinceMetaPage page = { .items = items, .after = revisions[0], .revision = revisions[0] + 1 };
  quince_store_feed_report (replica.observer, replica.link, "op/", &page);
  run_for (200);
  assert_int_equal (get_known_version (&leader), 2);
  publish_version (&leader, 3);
  AWAIT (get_known_version (&leader) == 3);
  /* An older page is rejected also while the store does not respond to the leader. */
  standin_store_set_fault (leader.standin, STANDIN_STORE_UNRESPONSIVE);
  run_for (1200);
  const QuinceMetaPage older = { .items = items, .after = 1, .revision = 1 };
  assert_false (quince_observer_apply_report (leader.observer, "op/", &older));
  assert_int_equal (get_known_version (&leader), 3);
}

/* Guards against trusting fed own keys for so long that an accepted policy is in force late. The store does
 * not respond to the leader, and no replica reports to it. */
static void
test_own_keys_with_leader_cut_off_from_store (void **state)
{
  connect_to_leader (&follower, &leader);
  run_for (700); /* until the feed has sent a page of each prefix */
  standin_store_put (follower.standin, "quinceroute/ledger", "view");
  standin_store_put (leader.standin, "quinceroute/ledger", "view");
  AWAIT (follower.n_own_key_changes == 1); /* the trust period of the fed keys starts here */
  standin_store_set_fault (leader.standin, STANDIN_STORE_UNRESPONSIVE);
  standin_store_put (follower.standin, "quinceroute/ledger", "another view");
  gint64 begin_us = g_get_monotonic_time ();
  AWAIT (follower.n_own_key_changes == 2);
  gint64 took_ms = (g_get_monotonic_time () - begin_us) / 1000;
  if (took_ms > POLICY_MAX_DELAY_MS)
    fail_msg ("the change of the own key was observed after %d ms", (int)took_ms);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    CASE (test_own_keys_with_leader_cut_off_from_store),
    CASE (test_leader_cut_off_from_store),
    CASE (test_watch_on_unresponsive_store),
    CASE (test_gap_in_feed),
    CASE (test_worker_entry_lost_in_store_outage),
    CASE (test_reserve_reader_feeds_all),
    CASE (test_feeder_loss_store_load),
    CASE (test_healthy_leader_ignores_reports),
    CASE (test_silent_leader),
  };
  return cmocka_run_group_tests_name ("freshness", tests, NULL, NULL);
}
