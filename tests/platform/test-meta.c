/*
 * test-meta.c: guards against lost, late or outdated metadata in mirrors, feeds and presence keys under
 * faults of the store, and against excess store calls.
 */
#include "meta/meta-presence.h"
#include "runtime/metrics.h"

#include "meta-world.h"

/* 2 s to apply a change after an outage, plus 1 s for a busy machine. */
#define RECOVERY_MAX_US (3 * G_USEC_PER_SEC)

/* ---- Mirrors ---------------------------------------------------------- */

static void
test_list_and_changes (void **state)
{
  World world;
  world_start (&world, 0);
  assert_int_equal (g_hash_table_size (world.reports.values), 5);
  standin_store_put (world.standin, "a/1", "second");
  AWAIT (strcmp (get_value (&world, "a/1"), "second") == 0);
  standin_store_remove (world.standin, "a/2");
  AWAIT (g_hash_table_size (world.reports.values) == 4);
  standin_store_put (world.standin, "b/1", "not ours");
  run_for (50);
  assert_int_equal (g_hash_table_size (world.reports.values), 4);
  world_stop (&world);
}

/* A process that starts to feed others reads without the delay that its mirror reached in a burst of changes;
 * otherwise the others get the changes late. */
static void
test_read_interval_of_new_reader (void **state)
{
  World world;
  world_start (&world, 20);
  const QuinceMetaMirrorTimes burst_times = { .read_interval_min_ms = 20,
                                              .read_interval_burst_max_ms = 5000,
                                              .read_interval_max_ms = READ_INTERVAL_MAX_MS,
                                              .feed_timeout_ms = FEED_TIMEOUT_MS };
  const QuinceMetaMirrorTimes reader = { .read_interval_min_ms = 20,
                                         .read_interval_max_ms = READ_INTERVAL_MAX_MS,
                                         .feed_timeout_ms = FEED_TIMEOUT_MS,
                                         .reader = TRUE };
  quince_meta_mirror_set_times (world.mirror, &burst_times);
  for (guint i = 0; i < 4; i++)
    {
      g_autofree char *text = g_strdup_printf ("burst %u", i);
      standin_store_put (world.standin, "a/1", text);
      AWAIT (strcmp (get_value (&world, "a/1"), text) == 0);
    }
  standin_store_put (world.standin, "a/1", "last");
  run_for (500);
  assert_string_equal (get_value (&world, "a/1"), "burst 3");
  quince_meta_mirror_set_times (world.mirror, &reader);
  run_for (500);
  assert_string_equal (get_value (&world, "a/1"), "last");
  world_stop (&world);
}

/* After @fault ends, the mirror reports the current items of the store within RECOVERY_MAX_US. */
static void
assert_recovery_from_fault (StandinStoreFault fault, guint for_ms)
{
  World world;
  world_start (&world, 0);
  standin_store_set_fault (world.standin, fault);
  standin_store_close_connections (world.standin);
  standin_store_put (world.standin, "a/1", "meanwhile");
  standin_store_remove (world.standin, "a/2");
  run_for (for_ms);
  assert_string_equal (get_value (&world, "a/1"), "first");
  standin_store_set_fault (world.standin, STANDIN_STORE_HEALTHY);
  gint64 recovered_us = g_get_monotonic_time ();
  AWAIT (strcmp (get_value (&world, "a/1"), "meanwhile") == 0);
  AWAIT (g_hash_table_size (world.reports.values) == 4);
  if (g_get_monotonic_time () - recovered_us > RECOVERY_MAX_US)
    fail_msg ("the mirror reported the changes too late after the fault");
  world_stop (&world);
}

/* Length of the outage in count_calls_in_outage(). */
#define OUTAGE_MS 6000

static guint
count_calls_in_outage (gboolean slow_probes)
{
  World world;
  world_start (&world, 0);
  standin_store_set_fault (world.standin, STANDIN_STORE_UNAVAILABLE);
  standin_store_close_connections (world.standin);
  quince_meta_store_set_slow_probes (world.store, slow_probes);
  guint calls = standin_store_get_n_calls (world.standin);
  run_for (OUTAGE_MS);
  calls = standin_store_get_n_calls (world.standin) - calls;
  /* With slow probes off again, the mirror reads the store within RECOVERY_MAX_US. */
  quince_meta_store_set_slow_probes (world.store, FALSE);
  standin_store_set_fault (world.standin, STANDIN_STORE_HEALTHY);
  standin_store_put (world.standin, "a/1", "after");
  gint64 recovered_us = g_get_monotonic_time ();
  AWAIT (strcmp (get_value (&world, "a/1"), "after") == 0);
  if (g_get_monotonic_time () - recovered_us > RECOVERY_MAX_US)
    fail_msg ("the mirror read the store too late after slow probes were turned off");
  world_stop (&world);
  return calls;
}

/* A fed process must probe an unavailable store less often than its feeder does. */
static void
test_slow_probes_in_outage (void **state)
{
  guint default_probe_calls = count_calls_in_outage (FALSE);
  guint slow_probe_calls = count_calls_in_outage (TRUE);
  assert_true (default_probe_calls >= 7);
  assert_true (slow_probe_calls <= 5);
}

static void
test_unresponsive_store (void **state)
{
  assert_recovery_from_fault (STANDIN_STORE_UNRESPONSIVE, 2500);
}

static void
test_unavailable_store (void **state)
{
  assert_recovery_from_fault (STANDIN_STORE_UNAVAILABLE, 300);
}

static void
test_store_that_closes_connections (void **state)
{
  assert_recovery_from_fault (STANDIN_STORE_CLOSES_CONNECTIONS, 300);
}

static void
test_compacted_history (void **state)
{
  World world;
  world_start (&world, 0);
  standin_store_put (world.standin, "a/1", "meanwhile");
  standin_store_remove (world.standin, "a/2");
  standin_store_compact (world.standin);
  AWAIT (strcmp (get_value (&world, "a/1"), "meanwhile") == 0);
  AWAIT (g_hash_table_size (world.reports.values) == 4);
  world_stop (&world);
}

/* Keys that change constantly cause no more store calls than the minimum read interval allows. */
static void
test_read_interval (void **state)
{
  World world;
  world_start (&world, 300);
  guint before = standin_store_get_n_calls (world.standin);
  for (guint i = 0; i < 60; i++)
    {
      g_autofree char *text = g_strdup_printf ("%u", i);
      standin_store_put (world.standin, "a/1", text);
      run_for (10);
    }
  AWAIT (strcmp (get_value (&world, "a/1"), "59") == 0);
  assert_in_range (standin_store_get_n_calls (world.standin) - before, 1, 8);
  world_stop (&world);
}

/* ---- Feeds ------------------------------------------------------------ */

/* A fed mirror makes no store calls, reads the store again when the feed stops, and ignores older pages. */
static void
test_feed (void **state)
{
  World world;
  world_start (&world, 0);
  g_autoptr (QuinceMetaPage) update = make_page (100, "a/1", "fed", 100);
  quince_meta_mirror_feed (world.mirror, update, FALSE);
  assert_string_equal (get_value (&world, "a/1"), "fed");
  g_autoptr (QuinceMetaPage) older = make_page (50, "a/1", "older", 50);
  quince_meta_mirror_feed (world.mirror, older, TRUE);
  assert_string_equal (get_value (&world, "a/1"), "fed");
  guint before = standin_store_get_n_calls (world.standin);
  g_autoptr (GPtrArray) nothing = g_ptr_array_new ();
  const QuinceMetaPage unchanged = { .items = nothing, .after = 100, .revision = 100 };
  for (guint i = 0; i < 8; i++)
    {
      run_for (200);
      quince_meta_mirror_feed (world.mirror, &unchanged, FALSE);
    }
  assert_int_equal (standin_store_get_n_calls (world.standin), before);
  AWAIT (standin_store_get_n_calls (world.standin) > before);
  world_stop (&world);
}

/* The mirror rejects a page that starts after its own revision, and reads the store immediately. */
static void
test_feed_with_gap (void **state)
{
  World world;
  world_start (&world, 0);
  g_autoptr (QuinceMetaPage) update = make_page (100, "a/1", "fed", 100);
  quince_meta_mirror_feed (world.mirror, update, FALSE);
  guint before = standin_store_get_n_calls (world.standin);
  g_autoptr (QuinceMetaPage) late = make_page (120, "a/2", "late", 120);
  late->after = 110;
  quince_meta_mirror_feed (world.mirror, late, FALSE);
  assert_string_equal (get_value (&world, "a/2"), "first");
  assert_int_equal (quince_meta_mirror_get_revision (world.mirror), 100);
  assert_false (quince_meta_mirror_is_fed (world.mirror));
  AWAIT (standin_store_get_n_calls (world.standin) > before);
  world_stop (&world);
}

/* A full page removes the keys that it does not contain. */
static void
test_full_feed (void **state)
{
  World world;
  world_start (&world, 0);
  g_autoptr (QuinceMetaPage) all = make_page (100, "a/1", "fed", 100);
  quince_meta_mirror_feed (world.mirror, all, TRUE);
  assert_int_equal (g_hash_table_size (world.reports.values), 1);
  world_stop (&world);
}

static guint
count_changes_since (World *world, guint64 revision, gboolean *whole)
{
  g_autoptr (QuinceMetaPage) page = quince_meta_mirror_get_changes_since (world->mirror, revision, whole);
  return page->items->len;
}

/* A mirror returns the changes and removals since a revision, or all items if it no longer knows the
 * removals. */
static void
test_changes_since_revision (void **state)
{
  World world;
  world_start (&world, 0);
  gboolean whole = FALSE;
  assert_int_equal (count_changes_since (&world, 0, &whole), 5);
  assert_true (whole);
  guint64 start = quince_meta_mirror_get_revision (world.mirror);
  assert_int_equal (count_changes_since (&world, start, &whole), 0);
  assert_false (whole);
  standin_store_put (world.standin, "a/1", "second");
  standin_store_remove (world.standin, "a/2");
  AWAIT (g_hash_table_size (world.reports.values) == 4);
  assert_int_equal (count_changes_since (&world, start, &whole), 2);
  assert_false (whole);
  /* A key that was removed and written again is returned with its value. */
  standin_store_put (world.standin, "a/2", "again");
  AWAIT (g_hash_table_size (world.reports.values) == 5);
  assert_int_equal (count_changes_since (&world, start, &whole), 2);
  assert_false (whole);
  /* After a new list, the mirror does not know which keys were removed since the last one. */
  standin_store_compact (world.standin);
  standin_store_remove (world.standin, "a/3");
  AWAIT (g_hash_table_size (world.reports.values) == 4);
  assert_int_equal (count_changes_since (&world, start, &whole), 4);
  assert_true (whole);
  world_stop (&world);
}

static guint n_pages_read;
static guint n_items_read;

static void
report_read (const QuinceMetaPage *page, gpointer data)
{
  n_pages_read++;
  n_items_read += page->items->len;
}

static const QuinceMetaMirrorCallbacks worker_callbacks
    = { .item = report_item,
        .synced = report_synced,
        .read = report_read,
        .is_equivalent = quince_platform_are_worker_entries_equivalent };

/* Heartbeats in worker entries are neither reported nor passed on.  A change of state is, and so is a worker
 * that becomes cold or stops being cold. */
static void
test_heartbeats_are_not_reported (void **state)
{
  static const char *const entries[]
      = { "{\"state\":\"ready\",\"coldRemainingMs\":900,\"seq\":1,\"zone\":\"z1\"}",
          "{\"state\":\"ready\",\"coldRemainingMs\":80.5,\"seq\":22,\"zone\":\"z1\"}",
          "{\"state\":\"ready\",\"coldRemainingMs\": 4,\"seq\": 333,\"zone\":\"z1\"}",
          "{\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":334,\"zone\":\"z1\"}",
          "{\"state\":\"ready\",\"coldRemainingMs\":0.0,\"seq\":335,\"zone\":\"z1\"}",
          "{\"state\":\"ready\",\"coldRemainingMs\":3000,\"seq\":336,\"zone\":\"z1\"}",
          "{\"state\":\"ready\",\"coldRemainingMs\":2100,\"seq\":337,\"zone\":\"z1\"}",
          "{\"state\":\"draining\",\"coldRemainingMs\":1900,\"seq\":338,\"zone\":\"z1\"}",
          "{\"state\":\"draining\",\"leaves_ms\":2500,\"seq\":339,\"zone\":\"z1\"}",
          "{\"state\":\"draining\",\"leaves_ms\":1300.5,\"seq\":340,\"zone\":\"z1\"}",
          "{\"state\":\"ready\",\"seq\":341,\"zone\":\"z1\"}" };
  World world;
  world_start (&world, 0);
  Reports reports = { .values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free) };
  n_pages_read = 0;
  n_items_read = 0;
  const QuinceMetaMirrorTimes times
      = { .read_interval_max_ms = READ_INTERVAL_MAX_MS, .feed_timeout_ms = FEED_TIMEOUT_MS };
  QuinceMetaMirror *mirror = quince_meta_mirror_new (world.store, "w/", FALSE, &worker_callbacks, &reports);
  quince_meta_mirror_set_times (mirror, &times);
  AWAIT (reports.synced > 0);
  for (guint i = 0; i < G_N_ELEMENTS (entries); i++)
    {
      guint before = n_pages_read;
      standin_store_put (world.standin, "w/1", entries[i]);
      AWAIT (n_pages_read > before);
    }
  assert_int_equal (reports.items, 6);
  assert_int_equal (n_items_read, 6);
  assert_string_equal (g_hash_table_lookup (reports.values, "w/1"), entries[G_N_ELEMENTS (entries) - 1]);
  assert_true (quince_meta_mirror_get_revision (mirror) >= standin_store_get_revision (world.standin, "w/1"));
  quince_meta_mirror_free (mirror);
  g_hash_table_unref (reports.values);
  world_stop (&world);
}

/* ---- Presence --------------------------------------------------------- */

static void
test_presence (void **state)
{
  StandinStore *standin = standin_store_new ();
  QuinceMetaStore *store
      = quince_meta_store_new (standin_store_get_address (standin), &quince_platform_meta_codec);
  g_autoptr (GBytes) here = g_bytes_new_static ("here", 4);
  g_autoptr (GBytes) leaving = g_bytes_new_static ("leaving", 7);
  QuinceMetaPresence *presence = quince_meta_presence_new (store, "a/me", here, 400);
  AWAIT (g_strcmp0 (standin_store_get (standin, "a/me"), "here") == 0);
  run_for (1000);
  assert_string_equal (standin_store_get (standin, "a/me"), "here");
  /* The leases expire; the presence writes its key again. */
  standin_store_expire_leases (standin);
  assert_null (standin_store_get (standin, "a/me"));
  AWAIT (standin_store_get (standin, "a/me") != NULL);
  quince_meta_presence_update (presence, leaving);
  AWAIT (g_strcmp0 (standin_store_get (standin, "a/me"), "leaving") == 0);
  quince_meta_presence_withdraw (presence);
  AWAIT (standin_store_get (standin, "a/me") == NULL);
  quince_meta_presence_free (presence);
  quince_meta_store_free (store);
  standin_store_free (standin);
}

/* ---- Conditional writes ------------------------------------------------------- */

typedef struct
{
  gboolean done;
  int error;
} Outcome;

static void
handle_change_result (const QuinceMetaPage *page, guint64 number, const GError *error, gpointer data)
{
  Outcome *outcome = data;
  outcome->done = TRUE;
  outcome->error = error != NULL ? error->code : -1;
}

static void
test_conditions (void **state)
{
  World world;
  world_start (&world, 0);
  g_autoptr (GBytes) text = g_bytes_new_static ("new", 3);
  QuinceMetaChange change = { .key = "a/9", .expected_revision = 0, .value = text };
  Outcome outcome = { 0 };
  quince_meta_store_change (world.store, &change, 1, handle_change_result, &outcome);
  AWAIT (outcome.done);
  assert_int_equal (outcome.error, -1);
  outcome.done = FALSE;
  quince_meta_store_change (world.store, &change, 1, handle_change_result, &outcome);
  AWAIT (outcome.done);
  assert_int_equal (outcome.error, QUINCE_META_ERROR_CONFLICT);
  /* The store applies a write whose answer is lost; the caller gets QUINCE_META_ERROR_UNKNOWN. */
  standin_store_set_fault (world.standin, STANDIN_STORE_DROPS_WRITE_ANSWERS);
  change.key = "a/8";
  outcome.done = FALSE;
  quince_meta_store_change (world.store, &change, 1, handle_change_result, &outcome);
  AWAIT (outcome.done);
  assert_int_equal (outcome.error, QUINCE_META_ERROR_UNKNOWN);
  assert_string_equal (standin_store_get (world.standin, "a/8"), "new");
  world_stop (&world);
}

static void
ignore_reply (const QuinceMetaPage *page, guint64 number, const GError *error, gpointer data)
{
}

/* ---- Metrics of store calls -------------------------------------------------- */

static double
get_n_calls (const char *labels)
{
  g_autofree char *text = quince_metrics_format ();
  g_autofree char *sample = g_strdup_printf ("quince_store_calls_total{%s} ", labels);
  const char *found = strstr (text, sample);
  return found != NULL ? g_ascii_strtod (found + strlen (sample), NULL) : 0;
}

/* Store calls are counted by kind, subject and reason.  Keys of different machines share a series. */
static void
test_calls_by_purpose (void **state)
{
  static const char lists[] = "kind=\"list\",subject=\"a/\",reason=\"start\",outcome=\"done\"";
  static const char watches[] = "kind=\"watch\",subject=\"a/\",reason=\"start\",outcome=\"done\"";
  static const char watches_after_silence[]
      = "kind=\"watch\",subject=\"a/\",reason=\"silent\",outcome=\"done\"";
  static const char front_gets[] = "kind=\"get\",subject=\"a/fronts\",reason=\"\",outcome=\"gone\"";
  World world;
  double n_lists_before = get_n_calls (lists);
  double n_watches_before = get_n_calls (watches);
  double n_after_silence_before = get_n_calls (watches_after_silence);
  world_start (&world, 100);
  AWAIT (world.reports.synced == 1 && get_n_calls (watches) > n_watches_before);
  assert_true (get_n_calls (lists) > n_lists_before);
  assert_true (get_n_calls (watches_after_silence) == n_after_silence_before);
  g_autoptr (QuinceMetaPage) page = g_new0 (QuinceMetaPage, 1);
  page->items = g_ptr_array_new ();
  page->after = page->revision = quince_meta_mirror_get_revision (world.mirror);
  AWAIT (quince_meta_mirror_feed (world.mirror, page, FALSE)
         || (page->after = page->revision = quince_meta_mirror_get_revision (world.mirror)) == 0);
  AWAIT (get_n_calls (watches_after_silence) > n_after_silence_before); /* the feed has stopped */
  double before = get_n_calls (front_gets);
  quince_meta_store_get (world.store, "a/fronts/x", ignore_reply, NULL);
  quince_meta_store_get (world.store, "a/fronts/y", ignore_reply, NULL);
  AWAIT (get_n_calls (front_gets) == before + 2);
  world_stop (&world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_list_and_changes),
    cmocka_unit_test (test_slow_probes_in_outage),
    cmocka_unit_test (test_unresponsive_store),
    cmocka_unit_test (test_unavailable_store),
    cmocka_unit_test (test_store_that_closes_connections),
    cmocka_unit_test (test_compacted_history),
    cmocka_unit_test (test_read_interval),
    cmocka_unit_test (test_feed),
    cmocka_unit_test (test_feed_with_gap),
    cmocka_unit_test (test_full_feed),
    cmocka_unit_test (test_changes_since_revision),
    cmocka_unit_test (test_heartbeats_are_not_reported),
    cmocka_unit_test (test_read_interval_of_new_reader),
    cmocka_unit_test (test_presence),
    cmocka_unit_test (test_conditions),
    cmocka_unit_test (test_calls_by_purpose),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
