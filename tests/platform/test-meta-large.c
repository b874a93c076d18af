/*
 * test-meta-large.c: guards against lists that never end while the store rejects calls, and against a process
 * that is blocked while it applies a page with thousands of keys.
 */
#include "meta-world.h"

#define N_KEYS 1000
#define ZONES 5
#define LARGE_ZONE_KEYS 2000

/* Returns: (transfer full): a mirror of "w/" that reports to @reports, whose values the caller frees */
static QuinceMetaMirror *
new_mirror (World *world, Reports *reports, gboolean waits_to_be_fed)
{
  *reports = (Reports){ .values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free) };
  QuinceMetaMirror *mirror
      = quince_meta_mirror_new (world->store, "w/", waits_to_be_fed, &mirror_callbacks, reports);
  const QuinceMetaMirrorTimes times
      = { .read_interval_max_ms = READ_INTERVAL_MAX_MS, .feed_timeout_ms = FEED_TIMEOUT_MS };
  quince_meta_mirror_set_times (mirror, &times);
  return mirror;
}

/* A list that the store rejects continues where it was: with every second call rejected it takes twice the
 * calls, where a list that begins again would not end. */
static void
test_rejected_list_continues (void **state)
{
  World world;
  world_start (&world, 0);
  for (guint i = 0; i < 20; i++)
    {
      g_autofree char *key = g_strdup_printf ("w/%02u", i);
      standin_store_put (world.standin, key, "entry");
    }
  standin_store_set_fault (world.standin, STANDIN_STORE_REJECTS_EVERY_SECOND_LIST);
  guint before = standin_store_get_n_list_calls (world.standin);
  Reports reports;
  QuinceMetaMirror *mirror = new_mirror (&world, &reports, FALSE);
  AWAIT (reports.synced > 0);
  assert_int_equal (g_hash_table_size (reports.values), 20);
  assert_in_range (standin_store_get_n_list_calls (world.standin) - before, 10, 21);
  quince_meta_mirror_free (mirror);
  g_hash_table_unref (reports.values);
  world_stop (&world);
}

/* A front that nobody feeds serves with the workers of the first page until it is its turn to list the
 * others. */
static void
test_first_page_alone (void **state)
{
  World world;
  world_start (&world, 0);
  for (guint i = 0; i < 5; i++)
    {
      g_autofree char *key = g_strdup_printf ("w/%u", i);
      standin_store_put (world.standin, key, "entry");
    }
  Reports reports;
  QuinceMetaMirror *mirror = new_mirror (&world, &reports, TRUE);
  guint before = standin_store_get_n_list_calls (world.standin);
  quince_meta_mirror_list_first_page (mirror);
  AWAIT (reports.items > 0);
  run_for (300);
  assert_int_equal (standin_store_get_n_list_calls (world.standin) - before, 1);
  assert_false (quince_meta_mirror_is_synced (mirror));
  assert_false (quince_meta_mirror_is_listing (mirror));
  quince_meta_mirror_list_now (mirror);
  AWAIT (reports.synced > 0);
  assert_int_equal (g_hash_table_size (reports.values), 5);
  assert_int_equal (standin_store_get_n_list_calls (world.standin) - before, 3);
  quince_meta_mirror_free (mirror);
  g_hash_table_unref (reports.values);
  world_stop (&world);
}

static QuinceMetaPage *
make_large_page (guint64 revision, guint n_keys)
{
  QuinceMetaPage *page = make_page (revision, "w/0", "whole", revision);
  for (guint i = 1; i < n_keys; i++)
    {
      QuinceMetaItem *item = g_new0 (QuinceMetaItem, 1);
      item->key = g_strdup_printf ("w/%u", i);
      item->revision = revision;
      item->value = g_bytes_new_static ("whole", strlen ("whole"));
      g_ptr_array_add (page->items, item);
    }
  return page;
}

/* A page with the whole prefix is applied in several iterations of the main loop, and a page of changes that
 * arrives meanwhile after it. */
static void
test_large_page_is_applied_in_slices (void **state)
{
  World world;
  world_start (&world, 0);
  Reports reports;
  QuinceMetaMirror *mirror = new_mirror (&world, &reports, TRUE);
  g_autoptr (QuinceMetaPage) whole = make_large_page (100, N_KEYS);
  assert_true (quince_meta_mirror_feed (mirror, whole, TRUE));
  assert_in_range (reports.items, 1, N_KEYS / 2);
  assert_false (quince_meta_mirror_is_synced (mirror));
  g_autoptr (QuinceMetaPage) change = make_page (101, "w/7", "changed", 101);
  change->after = 100;
  assert_true (quince_meta_mirror_feed (mirror, change, FALSE));
  AWAIT (reports.synced > 0);
  assert_int_equal (g_hash_table_size (reports.values), N_KEYS);
  assert_string_equal (g_hash_table_lookup (reports.values, "w/7"), "changed");
  assert_int_equal (quince_meta_mirror_get_revision (mirror), 101);
  quince_meta_mirror_free (mirror);
  g_hash_table_unref (reports.values);
  world_stop (&world);
}

/* The feed ends while a large page is applied: the mirror lists the store. */
static void
test_feed_ends_within_a_large_page (void **state)
{
  World world;
  world_start (&world, 0);
  standin_store_put (world.standin, "w/1", "listed");
  Reports reports;
  QuinceMetaMirror *mirror = new_mirror (&world, &reports, TRUE);
  g_autoptr (QuinceMetaPage) whole = make_large_page (1, N_KEYS);
  quince_meta_mirror_feed (mirror, whole, TRUE);
  quince_meta_mirror_handle_feed_end (mirror, TRUE);
  AWAIT (reports.synced > 0);
  assert_int_equal (g_hash_table_size (reports.values), 1);
  assert_string_equal (g_hash_table_lookup (reports.values, "w/1"), "listed");
  quince_meta_mirror_free (mirror);
  g_hash_table_unref (reports.values);
  world_stop (&world);
}

/* After the loss of a zone with a fifth of all workers, other processes are sent the removed keys, not all
 * keys that are left. */
static void
test_removals_of_a_large_zone (void **state)
{
  World world;
  world_start (&world, 0);
  Reports reports;
  QuinceMetaMirror *mirror = new_mirror (&world, &reports, TRUE);
  g_autoptr (QuinceMetaPage) whole = make_large_page (100, ZONES * LARGE_ZONE_KEYS);
  quince_meta_mirror_feed (mirror, whole, TRUE);
  AWAIT (reports.synced > 0);
  g_autoptr (QuinceMetaPage) loss = make_page (101, "w/0", NULL, 101);
  loss->after = 100;
  for (guint i = 1; i < LARGE_ZONE_KEYS; i++)
    {
      QuinceMetaItem *item = g_new0 (QuinceMetaItem, 1);
      item->key = g_strdup_printf ("w/%u", i);
      item->revision = 101;
      g_ptr_array_add (loss->items, item);
    }
  assert_true (quince_meta_mirror_feed (mirror, loss, FALSE));
  gboolean is_whole = TRUE;
  g_autoptr (QuinceMetaPage) changes = quince_meta_mirror_get_changes_since (mirror, 100, &is_whole);
  assert_false (is_whole);
  assert_int_equal (changes->items->len, LARGE_ZONE_KEYS);
  quince_meta_mirror_free (mirror);
  g_hash_table_unref (reports.values);
  world_stop (&world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_rejected_list_continues),
    cmocka_unit_test (test_first_page_alone),
    cmocka_unit_test (test_large_page_is_applied_in_slices),
    cmocka_unit_test (test_feed_ends_within_a_large_page),
    cmocka_unit_test (test_removals_of_a_large_zone),
  };
  return cmocka_run_group_tests_name ("meta-large", tests, NULL, NULL);
}
