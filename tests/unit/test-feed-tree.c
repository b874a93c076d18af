/*
 * test-feed-tree.c: tests that no process of a large deployment feeds too many others, that few fronts move
 * when a relay is lost, and that fronts without a feed do not list the store all at once.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/decisions/list-turn.h"
#include "core/routing/feed-tree.h"

#define ZONES 5
/* Replicas per front, as in a deployment of 835 fronts and 150 replicas. */
#define FRONTS_PER_RELAY 6
/* Workers per front, and keys in one page of a list. */
#define WORKERS_PER_FRONT 12
#define LIST_PAGE_KEYS 200

typedef struct
{
  GPtrArray *names; /* owned */
  GArray *entries;  /* QuinceFeedRelay */
  QuinceFeedRelays relays;
} Relays;

static char *
add_name (GPtrArray *names, const char *prefix, guint number)
{
  char *name = g_strdup_printf ("%s-%u", prefix, number);
  g_ptr_array_add (names, name);
  return name;
}

static void
relays_init (Relays *relays, guint n_relays)
{
  relays->names = g_ptr_array_new_with_free_func (g_free);
  relays->entries = g_array_new (FALSE, FALSE, sizeof (QuinceFeedRelay));
  for (guint i = 0; i < n_relays; i++)
    {
      const QuinceFeedRelay relay
          = { add_name (relays->names, "replica", i), add_name (relays->names, "address", i),
              add_name (relays->names, "zone", i % ZONES) };
      g_array_append_val (relays->entries, relay);
    }
  relays->relays = (QuinceFeedRelays){ .relays = { n_relays, (QuinceFeedRelay *)relays->entries->data } };
}

static void
relays_clear (Relays *relays)
{
  g_ptr_array_unref (relays->names);
  g_array_unref (relays->entries);
}

static const QuinceFeedRelay *
choose (const QuinceFeedRelays *relays, guint front, guint attempt)
{
  g_autofree char *name = g_strdup_printf ("front-%u", front);
  g_autofree char *zone = g_strdup_printf ("zone-%u", front % ZONES);
  const QuinceFeedRelay *relay = quince_feed_tree_choose_relay (relays, name, zone, attempt);
  if (relay != NULL && attempt < relays->relays.relays_len / ZONES)
    assert_string_equal (relay->zone, zone);
  return relay;
}

/* Returns the greatest number of children of a relay. */
static guint
count_children_max (const QuinceFeedRelays *relays, guint n_fronts)
{
  g_autofree guint *children = g_new0 (guint, relays->relays.relays_len);
  guint most = 0;
  for (guint i = 0; i < n_fronts; i++)
    {
      guint index = (guint)(choose (relays, i, 0) - relays->relays.relays_val);
      children[index]++;
      most = MAX (most, children[index]);
    }
  return most;
}

/* The fronts of a zone are spread over the relays of the zone, and the greatest number of children hardly
 * depends on the size of the deployment. */
static void
test_children_are_bounded (void **state)
{
  static const guint sizes[] = { 100, 835, 2000, 10000 };
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      Relays relays;
      relays_init (&relays, sizes[i] / FRONTS_PER_RELAY);
      assert_true (count_children_max (&relays.relays, sizes[i]) <= 4 * FRONTS_PER_RELAY);
      relays_clear (&relays);
    }
}

/* Without the last relay, only its children choose another one, and it is their second choice. */
static void
test_lost_relay_moves_its_children_only (void **state)
{
  Relays relays;
  relays_init (&relays, 150);
  QuinceFeedRelays fewer = relays.relays;
  fewer.relays.relays_len--;
  guint n_moved = 0;
  for (guint i = 0; i < 835; i++)
    {
      const QuinceFeedRelay *before = choose (&relays.relays, i, 0);
      const QuinceFeedRelay *after = choose (&fewer, i, 0);
      if (before == after)
        continue;
      n_moved++;
      assert_ptr_equal (before, &relays.relays.relays.relays_val[149]);
      assert_ptr_equal (after, choose (&relays.relays, i, 1));
    }
  assert_in_range (n_moved, 1, 4 * FRONTS_PER_RELAY);
  relays_clear (&relays);
}

/* Each attempt names another relay, until all have been tried. */
static void
test_attempts_are_distinct (void **state)
{
  Relays relays;
  relays_init (&relays, 10);
  g_autoptr (GHashTable) tried = g_hash_table_new (NULL, NULL);
  for (guint attempt = 0; attempt < 10; attempt++)
    assert_true (g_hash_table_add (tried, (gpointer)choose (&relays.relays, 3, attempt)));
  assert_null (choose (&relays.relays, 3, 10));
  relays_clear (&relays);
}

static void
test_direct_fronts_are_bounded (void **state)
{
  guint fronts_max = QUINCE_FEED_TREE_DIRECT_FRONTS_MAX;
  assert_true (quince_feed_tree_feeds_directly (QUINCE_FEED_ROLE_FRONT, fronts_max - 1));
  assert_false (quince_feed_tree_feeds_directly (QUINCE_FEED_ROLE_FRONT, fronts_max));
  assert_true (quince_feed_tree_feeds_directly (QUINCE_FEED_ROLE_RELAY, fronts_max));
  assert_true (quince_feed_tree_feeds_directly (QUINCE_FEED_ROLE_DIRECT, fronts_max));
}

/* ---- Lists without a feed ------------------------------------------------ */

/* Returns the greatest number of calls to the store in one second if all fronts list the workers. */
static guint
count_calls_per_second_max (guint n_fronts)
{
  guint n_pages = n_fronts * WORKERS_PER_FRONT / LIST_PAGE_KEYS + 1;
  g_autoptr (GHashTable) calls = g_hash_table_new (NULL, NULL);
  guint most = 0;
  for (guint i = 0; i < n_fronts; i++)
    {
      g_autofree char *name = g_strdup_printf ("front-%u", i);
      gpointer second = GUINT_TO_POINTER (quince_list_turn_wait_ms (name, n_fronts) / 1000);
      guint count = GPOINTER_TO_UINT (g_hash_table_lookup (calls, second)) + n_pages;
      g_hash_table_insert (calls, second, GUINT_TO_POINTER (count));
      most = MAX (most, count);
    }
  return most;
}

/* The calls per second do not grow with the deployment. */
static void
test_lists_take_turns (void **state)
{
  static const guint sizes[] = { 500, 1000, 2000, 4000 };
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    assert_in_range (count_calls_per_second_max (sizes[i]), 500, 3000);
}

/* A front of a small deployment lists the workers almost immediately. */
static void
test_small_deployments_do_not_wait (void **state)
{
  assert_true (quince_list_turn_wait_ms ("front-1", 1) <= 1);
  assert_true (quince_list_turn_wait_ms ("front-1", 30) <= 50);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_children_are_bounded),  cmocka_unit_test (test_lost_relay_moves_its_children_only),
    cmocka_unit_test (test_attempts_are_distinct), cmocka_unit_test (test_direct_fronts_are_bounded),
    cmocka_unit_test (test_lists_take_turns),      cmocka_unit_test (test_small_deployments_do_not_wait),
  };
  return cmocka_run_group_tests_name ("feed-tree", tests, NULL, NULL);
}
