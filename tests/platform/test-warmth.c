/*
 * test-warmth.c: cold workers in the choice of one process: who counts as cold, what is left out, and what a
 * request is told where only cold ones are left.
 */
#include "forward/backends.h"
#include "runtime/clock.h"

#include "await.h"
#include "platform.h"

#define SENDS_MAX 3

typedef struct
{
  QuinceBackends *backends;
  QuinceWarmupSends *sends;
  QuinceService *service;
  gboolean gives;   /* this process is the giver, and may give */
  gboolean reached; /* there is somebody to ask */
  guint asks;
  guint64 ask;
  char *asked_worker;
} World;

static const QuinceService *
find_service (const char *name, gpointer data)
{
  const World *world = data;
  return g_str_equal (name, "svc") ? world->service : NULL;
}

static gboolean
may_grant (gpointer data)
{
  const World *world = data;
  return world->gives;
}

static gboolean
ask (guint64 number, const char *worker, guint sends, gpointer data)
{
  World *world = data;
  if (!world->reached)
    return FALSE;
  world->asks++;
  world->ask = number;
  g_free (world->asked_worker);
  world->asked_worker = g_strdup (worker);
  return TRUE;
}

static const QuinceWarmupSendsCallbacks giver = { .find_service = find_service, .may_grant = may_grant };
static const QuinceWarmupSendsCallbacks asker = { .find_service = find_service, .request_lease = ask };

static void
begin (World *world, const QuinceWarmupSendsCallbacks *callbacks)
{
  const QuinceWarmupBounds bounds = { .overage = 1.5, .slack = 0 };
  *world = (World){ .gives = TRUE, .reached = TRUE };
  world->service = quince_service_new ("svc");
  world->service->cold_max_requests_per_s = 2;
  world->service->cold_start_ms = 3000;
  world->backends = quince_backends_new (quince_topology_new ("z1", ""), QUINCE_PLATFORM_REQUEST_ID_HEADER);
  world->sends = quince_warmup_sends_new (&bounds, callbacks, world);
  quince_backends_set_warmup (world->backends, world->sends);
}

static void
end (World *world)
{
  quince_backends_free (world->backends);
  quince_warmup_sends_free (world->sends);
  quince_service_free (world->service);
  g_free (world->asked_worker);
}

static void
list (World *world, const char *id, const char *zone, gint64 cold_remaining_us)
{
  QuinceWorker *told = quince_worker_new (id);
  told->service = g_strdup ("svc");
  told->address = g_strdup ("127.0.0.1:1");
  told->zone = g_strdup (zone);
  told->cold_remaining_us = cold_remaining_us;
  quince_worker_set_model (told, "m", 1);
  quince_backends_update (world->backends, told);
}

static QuinceBackendOutcome
choose_at (World *world, gint64 now_us, const char **id)
{
  const QuincePolicyRequest request = { .service = "svc", .member = "", .kind = "l", .attempt = 1 };
  const QuinceBackendQuery query = { .request = &request };
  QuinceWorker *worker = NULL;
  QuinceBackendOutcome outcome = quince_backends_choose (world->backends, now_us, &query, &worker);
  *id = worker != NULL ? worker->id : NULL;
  return outcome;
}

static QuinceBackendOutcome
choose (World *world, const char **id)
{
  return choose_at (world, quince_now_us (), id);
}

/* A sample, where a worker has @places. */
static QuinceBackendOutcome
choose_for_sample (World *world, guint places)
{
  const QuincePolicyRequest request
      = { .service = "svc", .member = "m", .kind = "rollout", .rollout = TRUE, .attempt = 1 };
  const QuinceBackendQuery query
      = { .request = &request, .model = "m", .minimum_version = 1, .running_max = places };
  QuinceWorker *worker = NULL;
  return quince_backends_choose (world->backends, quince_now_us (), &query, &worker);
}

static gboolean
is_cold (World *world, const char *id)
{
  return quince_worker_is_cold (quince_worker_table_find (quince_backends_get_workers (world->backends), id),
                                quince_now_us ());
}

/* ---- Who counts as cold ----------------------------------------------------- */

/* Guards against a worker that started again under its id and counts as warm. */
static void
test_started_again (void **state)
{
  World world;
  begin (&world, &giver);
  list (&world, "a", "z1", QUINCE_COLD_UNKNOWN);
  quince_backends_finish_first_listing (world.backends);
  assert_false (is_cold (&world, "a"));
  QuinceWorker *restarted = quince_worker_new ("a");
  quince_worker_set_start_time (restarted, 1);
  restarted->service = g_strdup ("svc");
  restarted->address = g_strdup ("127.0.0.1:1");
  restarted->zone = g_strdup ("z1");
  restarted->cold_remaining_us = QUINCE_COLD_UNKNOWN;
  quince_backends_update (world.backends, restarted);
  assert_true (is_cold (&world, "a"));
  end (&world);
}

static void
test_told (void **state)
{
  World world;
  begin (&world, &giver);
  list (&world, "a", "z1", 1000);
  list (&world, "b", "z1", 0);
  list (&world, "c", "z1", QUINCE_COLD_UNKNOWN);
  assert_true (is_cold (&world, "a"));
  assert_false (is_cold (&world, "b"));
  assert_false (is_cold (&world, "c")); /* of the first listing */
  quince_backends_finish_first_listing (world.backends);
  list (&world, "c", "z1", QUINCE_COLD_UNKNOWN); /* a heartbeat */
  list (&world, "d", "z1", QUINCE_COLD_UNKNOWN); /* one that starts */
  list (&world, "e", "z1", 0);                   /* one that starts and says that it is warm */
  assert_false (is_cold (&world, "c"));
  assert_true (is_cold (&world, "d"));
  assert_false (is_cold (&world, "e"));
  list (&world, "a", "z1", 0);
  list (&world, "b", "z1", 3000);
  assert_false (is_cold (&world, "a"));
  assert_true (is_cold (&world, "b"));
  assert_int_equal (quince_backends_count_cold (world.backends), 2);
  end (&world);
}

/* Its zone was evacuated and is taken back.  An entry that vanished in an outage of the store and is back was
 * written anew, and tells how it is: all entries may be like that, and a whole fleet is not held back. */
static void
test_returned (void **state)
{
  World world;
  begin (&world, &giver);
  list (&world, "a", "z1", 0);
  list (&world, "b", "z2", 0);
  list (&world, "c", "z3", 0);
  gint64 now = quince_now_us ();
  quince_backends_mark_listing_stale (world.backends, now, now + G_USEC_PER_SEC, "a");
  list (&world, "a", "z1", 0);
  assert_false (is_cold (&world, "a"));
  quince_backends_mark_listing_stale (world.backends, now, now + G_USEC_PER_SEC, "a");
  list (&world, "a", "z1", 3000);
  assert_true (is_cold (&world, "a"));
  assert_true (quince_backends_set_zone_evacuated (world.backends, now, "z2", 1, TRUE));
  assert_false (is_cold (&world, "b"));
  assert_true (quince_backends_set_zone_evacuated (world.backends, now, "z2", 2, FALSE));
  assert_true (is_cold (&world, "b"));
  assert_false (is_cold (&world, "c"));
  const QuinceWorker *back = quince_worker_table_find (quince_backends_get_workers (world.backends), "b");
  assert_false (quince_worker_is_cold (back, now + QUINCE_WARMUP_ASSUMED_COLD_US));
  end (&world);
}

/* ---- The giver ---------------------------------------------------------------- */

static void
test_giver (void **state)
{
  World world;
  const char *id = NULL;
  begin (&world, &giver);
  list (&world, "a", "z1", 3000);
  for (guint i = 0; i < SENDS_MAX; i++)
    {
      assert_int_equal (choose (&world, &id), QUINCE_BACKEND_CHOSEN);
      QuinceWorker *worker = quince_worker_table_find (quince_backends_get_workers (world.backends), "a");
      assert_true (worker->send_by_us > quince_now_us ()); /* not sent long after its choice */
    }
  assert_int_equal (choose (&world, &id), QUINCE_BACKEND_COLD);
  gint64 free_us = quince_backends_get_cold_worker_available_us (world.backends);
  assert_in_range (free_us, quince_now_us () + G_USEC_PER_SEC, quince_now_us () + 2 * G_USEC_PER_SEC);
  list (&world, "b", "z1", 0);
  assert_int_equal (choose (&world, &id), QUINCE_BACKEND_CHOSEN);
  assert_string_equal (id, "b");
  world.gives = FALSE; /* another one may lead by now */
  quince_backends_remove (world.backends, "b");
  assert_int_equal (choose_at (&world, free_us, &id), QUINCE_BACKEND_COLD);
  world.gives = TRUE;
  assert_int_equal (choose_at (&world, free_us, &id), QUINCE_BACKEND_CHOSEN);
  end (&world);
}

/* Its entry tells late that a worker is cold: what it was sent before counts, and it is bounded before. */
static void
test_bounded_before_it_is_told (void **state)
{
  World world;
  begin (&world, &giver);
  list (&world, "a", "z1", 0);
  for (guint i = 0; i < SENDS_MAX - 1; i++)
    assert_int_equal (choose_for_sample (&world, 1), QUINCE_BACKEND_CHOSEN);
  list (&world, "a", "z1", 3000);
  assert_int_equal (choose_for_sample (&world, 1), QUINCE_BACKEND_CHOSEN);
  assert_int_equal (choose_for_sample (&world, 1), QUINCE_BACKEND_COLD);
  list (&world, "a", "z1", 0);
  assert_int_equal (choose_for_sample (&world, 1), QUINCE_BACKEND_COLD);
  end (&world);
}

/* Calls to warm workers are not held, and count where it turns cold. */
static void
test_calls_to_warm_workers (void **state)
{
  World world;
  const char *id = NULL;
  begin (&world, &giver);
  list (&world, "a", "z1", 0);
  for (guint i = 0; i < 4 * SENDS_MAX; i++)
    assert_int_equal (choose (&world, &id), QUINCE_BACKEND_CHOSEN);
  list (&world, "a", "z1", 3000);
  assert_int_equal (choose (&world, &id), QUINCE_BACKEND_COLD);
  list (&world, "a", "z1", 0);
  assert_int_equal (choose (&world, &id), QUINCE_BACKEND_CHOSEN);
  end (&world);
}

/* A worker of many places, whose samples would come to the bound while it is warm. */
static void
test_many_places (void **state)
{
  World world;
  begin (&world, &giver);
  list (&world, "a", "z1", 0);
  for (guint i = 0; i < 4 * SENDS_MAX; i++)
    assert_int_equal (choose_for_sample (&world, 4 * SENDS_MAX), QUINCE_BACKEND_CHOSEN);
  list (&world, "a", "z1", 3000);
  assert_int_equal (choose_for_sample (&world, 4 * SENDS_MAX), QUINCE_BACKEND_COLD);
  end (&world);
}

/* ---- Who asks ------------------------------------------------------------------ */

static void
test_asker (void **state)
{
  World world;
  const char *id = NULL;
  begin (&world, &asker);
  list (&world, "a", "z1", 3000);
  assert_int_equal (choose (&world, &id), QUINCE_BACKEND_COLD);
  assert_int_equal (world.asks, 1);
  assert_string_equal (world.asked_worker, "a");
  /* The answer may come while the request can wait. */
  assert_true (quince_backends_get_cold_worker_available_us (world.backends) <= quince_now_us ());
  assert_int_equal (choose (&world, &id), QUINCE_BACKEND_COLD);
  assert_int_equal (world.asks, 1);
  quince_warmup_sends_handle_answer (world.sends, "a", world.ask, 1, QUINCE_WARMUP_LEASE_VALID_US, 0);
  assert_int_equal (choose (&world, &id), QUINCE_BACKEND_CHOSEN);
  assert_int_equal (choose (&world, &id), QUINCE_BACKEND_COLD);
  /* A warm worker needs no lease. */
  list (&world, "b", "z1", 0);
  for (guint i = 0; i < 4 * SENDS_MAX; i++)
    {
      assert_int_equal (choose (&world, &id), QUINCE_BACKEND_CHOSEN);
      assert_string_equal (id, "b");
    }
  end (&world);
}

static void
test_refused (void **state)
{
  World world;
  const char *id = NULL;
  begin (&world, &asker);
  list (&world, "a", "z1", 3000);
  assert_int_equal (choose (&world, &id), QUINCE_BACKEND_COLD);
  quince_warmup_sends_handle_answer (world.sends, "a", world.ask, 0, QUINCE_WARMUP_LEASE_VALID_US,
                                     700 * 1000);
  assert_int_equal (choose (&world, &id), QUINCE_BACKEND_COLD);
  gint64 free_us = quince_backends_get_cold_worker_available_us (world.backends);
  assert_in_range (free_us - quince_now_us (), 600 * 1000, 700 * 1000);
  assert_int_equal (world.asks, 1);
  assert_int_equal (choose_at (&world, free_us + 1, &id), QUINCE_BACKEND_COLD);
  assert_int_equal (world.asks, 2);
  end (&world);
}

/* Without a leader nothing is sent, and that is known at once. */
static void
test_nobody_to_ask (void **state)
{
  World world;
  const char *id = NULL;
  begin (&world, &asker);
  world.reached = FALSE;
  list (&world, "a", "z1", 3000);
  assert_int_equal (choose (&world, &id), QUINCE_BACKEND_COLD);
  assert_int_equal (choose (&world, &id), QUINCE_BACKEND_COLD);
  assert_true (quince_backends_get_cold_worker_available_us (world.backends) > quince_now_us ());
  /* A lease outlives the link to its giver, an ask does not. */
  world.reached = TRUE;
  quince_warmup_sends_forget_requests (world.sends);
  assert_int_equal (choose (&world, &id), QUINCE_BACKEND_COLD);
  quince_warmup_sends_forget_requests (world.sends);
  quince_warmup_sends_handle_answer (world.sends, "a", world.ask, 1, QUINCE_WARMUP_LEASE_VALID_US, 0);
  assert_int_equal (choose (&world, &id), QUINCE_BACKEND_COLD);
  end (&world);
}

/* A service for which no bound is told. */
static void
test_no_bound (void **state)
{
  World world;
  const char *id = NULL;
  begin (&world, &asker);
  world.service->cold_max_requests_per_s = 0;
  list (&world, "a", "z1", 3000);
  for (guint i = 0; i < 4 * SENDS_MAX; i++)
    assert_int_equal (choose (&world, &id), QUINCE_BACKEND_CHOSEN);
  assert_int_equal (world.asks, 0);
  end (&world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_told),
    cmocka_unit_test (test_started_again),
    cmocka_unit_test (test_returned),
    cmocka_unit_test (test_giver),
    cmocka_unit_test (test_bounded_before_it_is_told),
    cmocka_unit_test (test_calls_to_warm_workers),
    cmocka_unit_test (test_many_places),
    cmocka_unit_test (test_asker),
    cmocka_unit_test (test_refused),
    cmocka_unit_test (test_nobody_to_ask),
    cmocka_unit_test (test_no_bound),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
