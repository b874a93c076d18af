/*
 * test-size.c: what a process that leads spends on hundreds of others and on thousands of workers.
 */
#include "observer/store-feed.h"

#include <string.h>
#include <time.h>

#include "runtime/link.h"
#include "runtime/clock.h"

#include "await.h"
#include "platform.h"
#include "standin-store.h"

/* Processes that are told; what is measured is the same for each of them. */
#define FOLLOWERS 30
/* Workers of a zone that come back at once. */
#define WORKERS 1000
/* Entries of workers differ by their ids and addresses: each takes some 20 random characters. */
#define BYTES_A_WORKER_MAX 60

typedef struct
{
  StandinStore *standin;
  QuinceMetaStore *store;
  QuinceBackends *backends;
  QuinceObserver *observer;
  QuinceStoreFeed *feed;
  QuinceLinkServer *server;
  GPtrArray *accepted; /* QuinceLink, owned */
  GPtrArray *links;    /* the same links at their other ends, owned */
  guint told;          /* items that came in at those */
} World;

static void
on_message (QuinceLink *link, QuinceMessage *message, gpointer data)
{
  World *world = data;
  if (message->kind == QUINCE_MESSAGE_FEED_SUBSCRIBE)
    quince_store_feed_add (world->feed, link, &message->QuinceMessage_u.feed_subscribe);
  else if (message->kind == QUINCE_MESSAGE_FEED_UPDATE)
    world->told += message->QuinceMessage_u.feed_update.items.items_len;
  quince_message_free (message);
}

static void
on_accepted (QuinceLink *link, gpointer data)
{
  g_ptr_array_add (((World *)data)->accepted, link);
}

static const QuinceLinkCallbacks link_callbacks = { .message = on_message };
static const QuinceObserverCallbacks observer_callbacks = { 0 };

static void
begin (World *world)
{
  *world = (World){ 0 };
  world->accepted = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_link_unref);
  world->links = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_link_unref);
  world->standin = standin_store_new ();
  world->store
      = quince_meta_store_new (standin_store_get_address (world->standin), &quince_platform_meta_codec);
  world->backends = quince_backends_new (quince_topology_new ("z1", ""), QUINCE_PLATFORM_REQUEST_ID_HEADER);
  const QuinceObserverOptions options
      = { .workers_read_interval_min_ms = 100, .change_bound_ms = QUINCE_OBSERVER_CHANGE_BOUND_MIN_MS };
  world->observer = quince_observer_new (world->store, world->backends, &quince_platform_observer_codec,
                                         &options, &observer_callbacks, world);
  world->feed = quince_store_feed_new (world->observer);
  world->server = quince_link_server_new ("127.0.0.1:0", &link_callbacks, on_accepted, world, NULL);
  assert_non_null (world->server);
}

static void
end (World *world)
{
  for (guint i = 0; i < world->links->len; i++)
    quince_link_close (world->links->pdata[i]);
  g_ptr_array_unref (world->links);
  g_ptr_array_unref (world->accepted);
  quince_link_server_free (world->server);
  quince_store_feed_free (world->feed);
  quince_observer_free (world->observer);
  quince_meta_store_free (world->store);
  quince_backends_free (world->backends);
  standin_store_free (world->standin);
}

static void
follow (World *world)
{
  QuinceLink *link
      = quince_link_connect (quince_link_server_get_address (world->server), &link_callbacks, world);
  g_ptr_array_add (world->links, link);
  AWAIT (quince_link_is_connected (link) && world->accepted->len == world->links->len);
  const QuinceFeedSubscribe ask = { 0 };
  quince_store_feed_add (world->feed, world->accepted->pdata[world->accepted->len - 1], &ask);
}

static GPtrArray *
new_workers (guint count)
{
  GPtrArray *items = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_meta_item_free);
  g_autoptr (GRand) random = g_rand_new_with_seed (7);
  for (guint i = 0; i < count; i++)
    {
      QuinceMetaItem *item = g_new0 (QuinceMetaItem, 1);
      item->key = g_strdup_printf (QUINCE_PLATFORM_WORKERS_PREFIX "i-%08x%02x", g_rand_int (random),
                                   g_rand_int_range (random, 0, 256));
      g_autofree char *value = g_strdup_printf (
          "{\"service\":\"s\",\"address\":\"10.%u.%u.%u:8080\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":"
          "6,"
          "\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"hybrid\",\"models\":[{\"name\":\"model-a\","
          "\"version\":1,\"adapters\":[]}],\"seq\":%u}",
          i % 3, g_rand_int_range (random, 0, 256), g_rand_int_range (random, 0, 256), i);
      item->value = g_bytes_new (value, strlen (value));
      item->revision = i + 2;
      g_ptr_array_add (items, item);
    }
  return items;
}

/* News of many workers go packed, once for all that are told. */
static void
test_news_of_many_workers (void **state)
{
  World world;
  begin (&world);
  for (guint i = 0; i < FOLLOWERS; i++)
    follow (&world);
  g_autoptr (QuinceMetaPage) page = g_new0 (QuinceMetaPage, 1);
  page->items = new_workers (WORKERS);
  page->after = 1;
  page->revision = WORKERS + 1;
  quince_store_feed_publish (world.feed, QUINCE_PLATFORM_WORKERS_PREFIX, page);
  AWAIT (world.told == FOLLOWERS * WORKERS);
  for (guint i = 0; i < world.accepted->len; i++)
    if (quince_link_get_bytes_sent (world.accepted->pdata[i]) > BYTES_A_WORKER_MAX * WORKERS)
      fail_msg ("%" G_GUINT64_FORMAT " bytes for %u workers",
                quince_link_get_bytes_sent (world.accepted->pdata[i]), (guint)WORKERS);
  end (&world);
}

/* ---- The choice of a worker ------------------------------------------------ */

/* Choices of one measurement, and measurements of which the least counts: the machine may be busy. */
#define CHOICES 500
#define MEASUREMENTS 5
/* A choice among thirty times as many workers may take so much longer: the policy scores as many of them,
 * which takes most of the time. */
#define LONGER_MAX 3

static void
add_workers (QuinceBackends *backends, guint count)
{
  for (guint i = 0; i < count; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%05u", i);
      QuinceWorker *told = quince_worker_new (id);
      told->service = g_strdup ("s");
      told->address = g_strdup ("127.0.0.1:1");
      told->zone = g_strdup ("z1");
      told->slots = 6;
      quince_worker_set_model (told, "m", 1);
      quince_backends_update (backends, told);
    }
}

static QuinceWorker *
choose (QuinceBackends *backends, guint64 minimum_version)
{
  const QuincePolicyRequest request
      = { .service = "s", .member = "m", .kind = "rollout", .rollout = TRUE, .attempt = 1 };
  const QuinceBackendQuery query
      = { .request = &request, .model = "m", .minimum_version = minimum_version, .running_max = 6 };
  QuinceWorker *worker = NULL;
  quince_backends_choose (backends, quince_now_us (), &query, &worker);
  return worker;
}

static gint64
processor_ns (void)
{
  struct timespec now;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (gint64)now.tv_sec * 1000000000 + now.tv_nsec;
}

/* Processor time of choices among @workers of which the @loaded first ones have the version that is wanted.
 */
static gint64
measure (guint workers, guint loaded)
{
  QuinceBackends *backends
      = quince_backends_new (quince_topology_new ("z1", ""), QUINCE_PLATFORM_REQUEST_ID_HEADER);
  QuinceWorkerTable *table = quince_backends_get_workers (backends);
  add_workers (backends, workers);
  for (guint i = 0; i < loaded; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%05u", i);
      quince_worker_table_set_model (table, quince_worker_table_find (table, id), "m", 2);
    }
  guint64 minimum = loaded < workers ? 2 : 1;
  gint64 least = G_MAXINT64;
  for (guint i = 0; i < MEASUREMENTS; i++)
    {
      gint64 began = processor_ns ();
      for (guint j = 0; j < CHOICES; j++)
        assert_non_null (choose (backends, minimum));
      least = MIN (least, processor_ns () - began);
    }
  quince_backends_free (backends);
  return least;
}

static void
assert_no_longer (gint64 few_ns, gint64 many_ns)
{
  print_message ("%d choices: %.2f ms among 100 workers, %.2f ms among 3,000\n", CHOICES,
                 (double)few_ns / 1e6, (double)many_ns / 1e6);
  if (many_ns > LONGER_MAX * few_ns)
    fail_msg ("a choice among many takes too long");
}

static void
test_choice_among_many (void **state)
{
  assert_no_longer (measure (100, 100), measure (3000, 3000));
}

/* Only the workers that were brought to a version take its samples. */
static void
test_choice_of_a_version_among_many (void **state)
{
  assert_no_longer (measure (100, 40), measure (3000, 40));
}

/* By turns: no worker gets a second request before each has one. */
static void
test_turns_among_many (void **state)
{
  QuinceBackends *backends
      = quince_backends_new (quince_topology_new ("z1", ""), QUINCE_PLATFORM_REQUEST_ID_HEADER);
  add_workers (backends, 1000);
  for (guint i = 0; i < 1000; i++)
    {
      QuinceWorker *worker = choose (backends, 1);
      assert_non_null (worker);
      assert_int_equal (worker->running, 0);
      worker->running++;
    }
  for (guint i = 0; i < 1000; i++)
    choose (backends, 1)->running++;
  g_autoptr (GPtrArray) all = quince_worker_table_list_all (quince_backends_get_workers (backends));
  for (guint i = 0; i < all->len; i++)
    assert_in_range (((const QuinceWorker *)all->pdata[i])->running, 1, 3);
  quince_backends_free (backends);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_news_of_many_workers),
    cmocka_unit_test (test_choice_among_many),
    cmocka_unit_test (test_choice_of_a_version_among_many),
    cmocka_unit_test (test_turns_among_many),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
