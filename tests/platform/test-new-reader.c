/*
 * test-new-reader.c: guards against a relay that becomes a reserve reader while it is fed, and whose metadata
 * is stale for long when its leader ends before the next page.  A relay sends no heartbeats then, and the
 * fronts that it feeds leave it.
 */
#include "core/routing/feed-tree.h"
#include "observer/store-feed.h"

#include "await.h"
#include "platform.h"
#include "standin-store.h"

/* Bound of a large deployment: feeds of processes that are no readers time out late. */
#define LONG_BOUND_MS 5000
/* Longer than the feed timeout of a process that is no reader. */
#define OBSERVED_MS 5000
/* Half of the time after which a front leaves a relay without heartbeats.  The other half is left for the
 * interval between two heartbeats and for a busy machine. */
#define STALE_MAX_MS (QUINCE_FEED_TREE_FEEDER_TIMEOUT_MS / 2)

typedef struct
{
  StandinStore *standin;
  QuinceMetaStore *store;
  QuinceBackends *backends;
  QuinceObserver *observer;
} World;

static const QuinceObserverCallbacks observer_callbacks = { 0 };

static void
world_start (World *world)
{
  world->standin = standin_store_new ();
  world->store
      = quince_meta_store_new (standin_store_get_address (world->standin), &quince_platform_meta_codec);
  world->backends = quince_backends_new (quince_topology_new ("z1", ""), QUINCE_PLATFORM_REQUEST_ID_HEADER);
  const QuinceObserverOptions options = { .change_bound_ms = LONG_BOUND_MS };
  world->observer = quince_observer_new (world->store, world->backends, &quince_platform_observer_codec,
                                         &options, &observer_callbacks, world);
  standin_store_put (world->standin, "op/evacuate/z2", "1");
  AWAIT (quince_observer_is_synced (world->observer));
}

static void
world_stop (World *world)
{
  quince_observer_free (world->observer);
  quince_meta_store_free (world->store);
  quince_backends_free (world->backends);
  standin_store_free (world->standin);
}

/* Feeds all prefixes with pages that show that nothing has changed. */
static void
feed (World *world)
{
  const char *const prefixes[QUINCE_OBSERVER_N_PREFIXES]
      = { quince_platform_observer_codec.operator_prefix, quince_platform_observer_codec.workers_prefix,
          QUINCE_OWN_PREFIX };
  guint64 revisions[QUINCE_OBSERVER_N_PREFIXES];
  quince_observer_get_revisions (world->observer, revisions);
  g_autoptr (GPtrArray) nothing = g_ptr_array_new ();
  quince_observer_record_feeder_contact (world->observer);
  for (guint i = 0; i < QUINCE_OBSERVER_N_PREFIXES; i++)
    {
      const QuinceMetaPage unchanged = { .items = nothing, .after = revisions[i], .revision = revisions[i] };
      assert_true (quince_observer_feed (world->observer, prefixes[i], &unchanged, FALSE));
    }
}

/* Returns the longest time for which the metadata was stale while the main loop ran for @for_ms, ms. */
static guint
measure_longest_stale_ms (World *world, guint for_ms)
{
  gint64 start_us = g_get_monotonic_time ();
  gint64 fresh_us = start_us;
  gint64 longest_us = 0;
  while (g_get_monotonic_time () - start_us < (gint64)for_ms * 1000)
    {
      run_for (10);
      gint64 now_us = g_get_monotonic_time ();
      if (quince_observer_is_fresh (world->observer))
        fresh_us = now_us;
      longest_us = MAX (longest_us, now_us - fresh_us);
    }
  return (guint)(longest_us / 1000);
}

/* The relay becomes a reader @after_ms after its last page, and its leader ends at the same time. */
static void
assert_new_reader_is_fresh (guint after_ms)
{
  World world;
  world_start (&world);
  feed (&world);
  run_for (after_ms);
  quince_observer_set_reserve_reader (world.observer, TRUE);
  quince_observer_handle_feeder_loss (world.observer);
  guint stale_ms = measure_longest_stale_ms (&world, OBSERVED_MS);
  if (stale_ms > STALE_MAX_MS)
    fail_msg ("the metadata was stale for %u ms", stale_ms);
  world_stop (&world);
}

static void
test_leader_ends_after_first_page (void **state)
{
  assert_new_reader_is_fresh (0);
}

/* The last page is older than a reader's feed timeout already. */
static void
test_last_page_is_old (void **state)
{
  assert_new_reader_is_fresh (2000);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_leader_ends_after_first_page),
    cmocka_unit_test (test_last_page_is_old),
  };
  return cmocka_run_group_tests_name ("new-reader", tests, NULL, NULL);
}
