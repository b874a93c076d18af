/*
 * test-freshness.c: how old what a process holds of the metadata store may become while something is wrong
 * with whoever reads it.
 *
 * Each process has a stand-in of the store for itself, with the same keys and revisions, so that the store
 * can turn away one of them alone.
 */
#include "observer/store-feed.h"

#include <string.h>

#include "runtime/link.h"
#include "runtime/timer.h"

#include "await.h"
#include "platform.h"
#include "standin-store.h"

#define MODEL "model-a"
#define ZONE "z1"
#define EVACUATE_KEY "op/evacuate/" ZONE
#define VERSION_KEY "op/version/" MODEL
/* Longer than the 2 s in which an operator's change must be in force, by what a busy machine may take; well
 * under the 4.9 s that the fault took. */
#define CHANGE_MAX_DELAY_MS 3000
/* Of the 3 s in which an accepted policy must be in force everywhere, half a second is for a slow answer. */
#define POLICY_MAX_DELAY_MS 2500
/* Between the 0.9 s after which a silent leader is left and the 2 s for which own keys are trusted. */
#define SILENT_LEADER_MAX_MS 1800
#define WORKER_ENTRY                                                                                         \
  "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"z1\",\"version\":1,\"slots\":4,"                \
  "\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":1}"

typedef struct
{
  StandinStore *standin;
  QuinceMetaStore *store;
  QuinceBackends *backends;
  QuinceObserver *observer;
  QuinceStoreFeed *feed;               /* NULL: does not lead */
  gboolean is_reserve_reader;          /* a replica: tells the leader what it reads */
  QuinceLink *link;                    /* to the leader, or the last one that was accepted */
  GPtrArray *accepted;                 /* QuinceLink, owned */
  guint n_own_key_changes;             /* changes of own keys */
  QuinceTimer *leader_heartbeat_timer; /* of a leader */
  QuinceLinkServer *server;
} Process;

static void
handle_store_read (const char *prefix, const QuinceMetaPage *page, gpointer data)
{
  Process *process = data;
  if (process->feed != NULL)
    quince_store_feed_publish (process->feed, prefix, page);
  else if (process->is_reserve_reader && process->link != NULL)
    quince_store_feed_report (process->observer, process->link, prefix, page);
}

static void
count_own_key (const char *key, GBytes *value, guint64 revision, gpointer data)
{
  ((Process *)data)->n_own_key_changes++;
}

static const QuinceObserverCallbacks observer_callbacks
    = { .read = handle_store_read, .own_key = count_own_key };

static void
publish_version (Process *process, guint version)
{
  g_autofree char *value = g_strdup_printf ("{\"model\":\"" MODEL "\",\"version\":%u}", version);
  standin_store_put (process->standin, VERSION_KEY, value);
}

static guint64
get_known_version (Process *process)
{
  return quince_observer_get_version (process->observer, MODEL);
}

static guint
count_known_workers (Process *process)
{
  return quince_worker_table_get_size (quince_backends_get_workers (process->backends));
}

static gboolean
knows_zone_evacuated (Process *process)
{
  return quince_zone_table_is_evacuated (quince_backends_get_zones (process->backends), ZONE);
}

/* Of what it has of the workers' keys. */
static guint64
get_workers_revision (Process *process)
{
  guint64 revisions[QUINCE_OBSERVER_N_PREFIXES];
  quince_observer_get_revisions (process->observer, revisions);
  return revisions[1];
}

static void
process_init (Process *process, gboolean is_reserve_reader)
{
  *process = (Process){ .is_reserve_reader = is_reserve_reader };
  process->accepted = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_link_unref);
  process->standin = standin_store_new ();
  publish_version (process, 2);
  process->store
      = quince_meta_store_new (standin_store_get_address (process->standin), &quince_platform_meta_codec);
  process->backends = quince_backends_new (quince_topology_new ("z1", ""));
  const QuinceObserverOptions options
      = { .workers_read_interval_min_ms = 100, .change_bound_ms = QUINCE_OBSERVER_CHANGE_BOUND_MIN_MS };
  process->observer = quince_observer_new (process->store, process->backends, &quince_platform_observer_codec,
                                           &options, &observer_callbacks, process);
  quince_observer_set_reserve_reader (process->observer, is_reserve_reader);
  AWAIT (quince_observer_is_synced (process->observer));
}

static void
process_clear (Process *process)
{
  quince_timer_clear (&process->leader_heartbeat_timer);
  if (process->link != NULL)
    quince_link_close (process->link);
  g_clear_pointer (&process->link, quince_link_unref);
  g_ptr_array_unref (process->accepted);
  g_clear_pointer (&process->server, quince_link_server_free);
  quince_store_feed_free (process->feed);
  quince_observer_free (process->observer);
  quince_meta_store_free (process->store);
  quince_backends_free (process->backends);
  standin_store_free (process->standin);
}

/* ---- The link between leader and follower ----------------------------- */

static void
on_message (QuinceLink *link, QuinceMessage *message, gpointer data)
{
  Process *process = data;
  if (process->feed == NULL)
    quince_observer_record_feeder_contact (process->observer);
  if (message->kind == QUINCE_MESSAGE_FEED_SUBSCRIBE)
    quince_store_feed_add (process->feed, link, &message->QuinceMessage_u.feed_subscribe);
  else if (message->kind == QUINCE_MESSAGE_FEED_UPDATE && process->feed != NULL)
    quince_store_feed_apply_report (process->feed, link, &message->QuinceMessage_u.feed_update);
  else if (message->kind == QUINCE_MESSAGE_FEED_UPDATE)
    quince_store_feed_apply (process->observer, &message->QuinceMessage_u.feed_update);
  quince_message_free (message);
}

static void
on_accepted (QuinceLink *link, gpointer data)
{
  g_ptr_array_add (((Process *)data)->accepted, link);
}

static const QuinceLinkCallbacks link_callbacks = { .message = on_message };

/* The leader lives, whatever the store does to it. */
static gboolean
send_heartbeats (gpointer data)
{
  Process *leader = data;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_HEARTBEAT };
  for (guint i = 0; i < leader->accepted->len; i++)
    quince_link_send (leader->accepted->pdata[i], &message);
  return G_SOURCE_CONTINUE;
}

static void
start_leading (Process *leader)
{
  leader->leader_heartbeat_timer = quince_timer_add (250, send_heartbeats, leader);
  leader->feed = quince_store_feed_new (leader->observer);
  leader->server = quince_link_server_new ("127.0.0.1:0", &link_callbacks, on_accepted, leader, NULL);
  assert_non_null (leader->server);
}

static void
connect_to_leader (Process *follower, Process *leader)
{
  guint before = leader->accepted->len;
  follower->link
      = quince_link_connect (quince_link_server_get_address (leader->server), &link_callbacks, follower);
  AWAIT (quince_link_is_connected (follower->link));
  quince_store_feed_subscribe (follower->observer, follower->link);
  AWAIT (leader->accepted->len > before);
}

static void
assert_version_in_time (Process *process, guint64 version)
{
  gint64 begin_us = g_get_monotonic_time ();
  AWAIT (get_known_version (process) == version);
  gint64 took_ms = (g_get_monotonic_time () - begin_us) / 1000;
  if (took_ms > CHANGE_MAX_DELAY_MS)
    fail_msg ("version %u was known after %d ms", (guint)version, (int)took_ms);
}

/* ---- Cases ------------------------------------------------------------ */

/* Kept apart from the cases, so that they are cleared after one that failed too. */
static Process leader;
static Process replica;
static Process follower;

static int
set_up (void **state)
{
  process_init (&leader, TRUE);
  process_init (&replica, TRUE);
  process_init (&follower, FALSE);
  start_leading (&leader);
  return 0;
}

static int
tear_down (void **state)
{
  process_clear (&follower);
  process_clear (&replica);
  process_clear (&leader);
  return 0;
}

/* The store stops answering the leader only: its followers notice and read the store themselves. */
static void
test_leader_cut_off_from_store (void **state)
{
  connect_to_leader (&follower, &leader);
  publish_version (&follower, 3);
  publish_version (&leader, 3);
  AWAIT (get_known_version (&follower) == 3);
  run_for (100); /* the follower is fed, the leader waits in a watch */
  standin_store_set_fault (leader.standin, STANDIN_STORE_UNRESPONSIVE);
  publish_version (&follower, 4);
  assert_version_in_time (&follower, 4);
}

/* A watch that a silent store took does not outlive the outage. */
static void
test_watch_on_unresponsive_store (void **state)
{
  standin_store_set_fault (follower.standin, STANDIN_STORE_UNRESPONSIVE);
  standin_store_close_connections (follower.standin); /* it is noticed, and watches are begun meanwhile */
  run_for (700);
  standin_store_set_fault (follower.standin, STANDIN_STORE_HEALTHY);
  publish_version (&follower, 3);
  assert_version_in_time (&follower, 3);
}

/* What the leader tells begins after what the follower has: the follower takes none of it, and reads. */
static void
test_gap_in_feed (void **state)
{
  publish_version (&leader, 3);
  AWAIT (get_known_version (&leader) == 3);
  /* History is dropped and the leader's list fails: it cannot tell what the follower lacks. */
  standin_store_set_fault (leader.standin, STANDIN_STORE_FAILS_LISTS);
  standin_store_compact (leader.standin);
  AWAIT (!quince_observer_is_synced (leader.observer));
  /* The follower's own store is away for a moment, so that only the leader could tell it. */
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

/* The store lost a worker's entry while it was away for the leader: who is told of it keeps the worker as a
 * last choice, as the leader does. */
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

/* A replica reads for a leader that the store does not answer, and for all that the leader tells: they know
 * what the operator wrote and which workers there are, and ask the store for nothing. */
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
  run_for (2500); /* for longer than anybody's patience */
  assert_int_equal (standin_store_get_n_calls (follower.standin), calls);
  /* And on: the replica was not put off by what it told itself. */
  publish_version (&replica, 4);
  assert_version_in_time (&follower, 4);
  standin_store_remove (replica.standin, "servers/w1");
  AWAIT (count_known_workers (&follower) == 0);
  assert_int_equal (standin_store_get_n_calls (follower.standin), calls);
}

/* A leader that sends nothing at all is left sooner than one whose reads lag: among the own keys is the one
 * that names the next leader. */
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
    fail_msg ("the leader was left after %d ms", (int)took_ms);
}

/* Failed first: whoever lost its leader read all prefixes at once and again each half second, 250 fronts at
 * once.  What was told counts until the bound on changes asks for a read; only the own keys are read. */
static void
test_feeder_loss_store_load (void **state)
{
  connect_to_leader (&follower, &leader);
  run_for (700); /* until a page has come of each prefix */
  guint calls = standin_store_get_n_calls (follower.standin);
  g_clear_pointer (&leader.feed, quince_store_feed_free);
  quince_timer_clear (&leader.leader_heartbeat_timer);
  quince_observer_handle_feeder_loss (follower.observer);
  run_for (800);
  assert_in_range (standin_store_get_n_calls (follower.standin) - calls, 0, 2);
  publish_version (&follower, 3);
  assert_version_in_time (&follower, 3);
}

/* A leader that hears the store takes nothing from a replica, be it newer or older. */
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
  /* Once it hears nothing, an older page is refused all the same. */
  standin_store_set_fault (leader.standin, STANDIN_STORE_UNRESPONSIVE);
  run_for (1200);
  const QuinceMetaPage older = { .items = items, .after = 1, .revision = 1 };
  assert_false (quince_observer_apply_report (leader.observer, "op/", &older));
  assert_int_equal (get_known_version (&leader), 3);
}

static void
assert_evacuated_in_time (Process *process, gboolean evacuated)
{
  gint64 begin_us = g_get_monotonic_time ();
  AWAIT (knows_zone_evacuated (process) == evacuated);
  gint64 took_ms = (g_get_monotonic_time () - begin_us) / 1000;
  if (took_ms > CHANGE_MAX_DELAY_MS)
    fail_msg ("the zone's state was known after %d ms", (int)took_ms);
}

/* The store answers neither the leader nor a follower: a replica reads that a zone is evacuated, and that it
 * is taken back, for both. */
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

/* A leader that read of an evacuation and tells nobody: the others read by themselves. */
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

/* The zone was taken back, and history was forgotten, while the store was away: the key is not listed. */
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

/* Asked, taken back and asked again while nobody looks, and an older page told late. */
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

/* A process that starts sends nothing before it knows all that the operator asked. */
static void
test_start_during_evacuation (void **state)
{
  Process starter = { .standin = standin_store_new () };
  standin_store_put (starter.standin, EVACUATE_KEY, "{}");
  standin_store_set_fault (starter.standin, STANDIN_STORE_FAILS_LISTS);
  starter.store
      = quince_meta_store_new (standin_store_get_address (starter.standin), &quince_platform_meta_codec);
  starter.backends = quince_backends_new (quince_topology_new ("z1", ""));
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

/* After a suspension nothing is sent before the store was read again, but a process that the store turns away
 * goes on with what it knew. */
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

/* Failed first: own keys were trusted for 3 s and read after it, where an accepted policy must be in force at
 * 3 s: no replica reads for the others, and the store answers all but the leader. */
static void
test_own_keys_with_leader_cut_off_from_store (void **state)
{
  connect_to_leader (&follower, &leader);
  run_for (700); /* until a page has come of each prefix */
  standin_store_put (follower.standin, "quinceroute/ledger", "view");
  standin_store_put (leader.standin, "quinceroute/ledger", "view");
  AWAIT (follower.n_own_key_changes == 1); /* it was told just now, and trusts that for as long as ever */
  standin_store_set_fault (leader.standin, STANDIN_STORE_UNRESPONSIVE);
  standin_store_put (follower.standin, "quinceroute/ledger", "another view");
  gint64 begin_us = g_get_monotonic_time ();
  AWAIT (follower.n_own_key_changes == 2);
  gint64 took_ms = (g_get_monotonic_time () - begin_us) / 1000;
  if (took_ms > POLICY_MAX_DELAY_MS)
    fail_msg ("an own key was known after %d ms", (int)took_ms);
}

#define CASE(function) cmocka_unit_test_setup_teardown (function, set_up, tear_down)

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
    CASE (test_evacuation_through_reserve_reader),
    CASE (test_leader_withholds_evacuation),
    CASE (test_evacuation_end_in_compacted_history),
    CASE (test_rapid_evacuation_changes),
    CASE (test_start_during_evacuation),
    CASE (test_evacuation_while_suspended),
  };
  return cmocka_run_group_tests_name ("freshness", tests, NULL, NULL);
}
