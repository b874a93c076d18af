/*
 * test-warmup.c: cold workers get at most the limit of requests in any second, across slow messages, frozen
 * fronts and changes of leader.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include "core/routing/warmup-limit.h"

#define MS_US G_GINT64_CONSTANT (1000)
#define SECOND_US (1000 * MS_US)
#define MARGIN_US (100 * MS_US)
#define LEASE_VALID_US (200 * MS_US)
#define SEND_WITHIN_US (250 * MS_US)
#define MAX_SENDS 24
#define FRONTS 20

static void
test_max_sends (void **state)
{
  assert_int_equal (quince_warmup_get_max_sends (13, 1.5, 5), 24);
  assert_int_equal (quince_warmup_get_max_sends (2, 1.5, 0), 3);
  /* At least one per second: a worker without requests never warms up. */
  assert_int_equal (quince_warmup_get_max_sends (0.2, 1, 0), 1);
  assert_int_equal (quince_warmup_get_max_sends (0, 1.5, 5), G_MAXUINT);
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  gint64 first = *(const gint64 *)a;
  gint64 second = *(const gint64 *)b;
  return (first > second) - (first < second);
}

/* Returns the maximum number of arrivals in any second.  Sorts @arrivals. */
static guint
max_arrivals_per_second (GArray *arrivals)
{
  guint max_arrivals = 0;
  guint window_start = 0;
  g_array_sort (arrivals, compare_times);
  for (guint i = 0; i < arrivals->len; i++)
    {
      while (g_array_index (arrivals, gint64, i) - g_array_index (arrivals, gint64, window_start) > SECOND_US)
        window_start++;
      max_arrivals = MAX (max_arrivals, i - window_start + 1);
    }
  return max_arrivals;
}

static void
add_arrival (GArray *arrivals, GRand *rand, gint64 now_us)
{
  /* A send leaves immediately or waits for a connection, and then spends time on the network. */
  gint64 connect_us = g_rand_int_range (rand, 0, 4) == 0 ? g_rand_int_range (rand, 0, SEND_WITHIN_US) : 0;
  gint64 arrives_us = now_us + connect_us + g_rand_int_range (rand, 0, MARGIN_US);
  g_array_append_val (arrivals, arrives_us);
}

/* ---- Limiter -------------------------------------------------------------- */

static void
test_grants_stay_within_limit (void **state)
{
  for (guint seed = 1; seed <= 20; seed++)
    {
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      g_autoptr (QuinceWarmupLimiter) limiter = quince_warmup_limiter_new (MARGIN_US);
      g_autoptr (GArray) arrivals = g_array_new (FALSE, FALSE, sizeof (gint64));
      for (gint64 now = 0; now < 20 * SECOND_US; now += g_rand_int_range (rand, 1, 20 * MS_US))
        if (quince_warmup_limiter_grant (limiter, now, "w", TRUE, MAX_SENDS, 1, now + SEND_WITHIN_US) == 1)
          add_arrival (arrivals, rand, now);
      assert_true (max_arrivals_per_second (arrivals) <= MAX_SENDS);
      /* The limit allows more than the 13 requests per second that the worker can serve. */
      assert_true (arrivals->len > 20 * 13);
    }
}

static void
test_grants_expire (void **state)
{
  g_autoptr (QuinceWarmupLimiter) limiter = quince_warmup_limiter_new (MARGIN_US);
  assert_int_equal (quince_warmup_limiter_grant (limiter, 0, "w", TRUE, 3, 2, 10 * MS_US), 2);
  assert_int_equal (quince_warmup_limiter_get_next_grant_us (limiter, 5, "w", TRUE, 3), 5);
  assert_int_equal (quince_warmup_limiter_grant (limiter, 20 * MS_US, "w", TRUE, 3, 2, 30 * MS_US), 1);
  assert_int_equal (quince_warmup_limiter_grant (limiter, 20 * MS_US, "w", TRUE, 3, 2, 30 * MS_US), 0);
  gint64 next_grant_us = 10 * MS_US + MARGIN_US + SECOND_US + 1;
  assert_int_equal (quince_warmup_limiter_get_next_grant_us (limiter, 21 * MS_US, "w", TRUE, 3),
                    next_grant_us);
  assert_int_equal (quince_warmup_limiter_grant (limiter, next_grant_us - 1, "w", TRUE, 3, 1, next_grant_us),
                    0);
  assert_int_equal (quince_warmup_limiter_grant (limiter, next_grant_us, "w", TRUE, 3, 5, next_grant_us), 2);
  /* Each worker has its own limit. */
  assert_int_equal (quince_warmup_limiter_grant (limiter, next_grant_us, "x", TRUE, 3, 5, next_grant_us), 3);
  quince_warmup_limiter_expire (limiter, next_grant_us + 10 * SECOND_US);
  assert_int_equal (quince_warmup_limiter_get_n_workers (limiter), 0);
}

static void
test_new_leader_waits_for_old_grants (void **state)
{
  g_autoptr (QuinceWarmupLimiter) limiter = quince_warmup_limiter_new (MARGIN_US);
  gint64 used_until_us = 5 * SECOND_US;
  quince_warmup_limiter_take_over (limiter, used_until_us);
  gint64 next_grant_us = used_until_us + MARGIN_US + SECOND_US + 1;
  assert_int_equal (
      quince_warmup_limiter_grant (limiter, next_grant_us - 1, "w", TRUE, MAX_SENDS, 1, next_grant_us), 0);
  assert_int_equal (quince_warmup_limiter_get_next_grant_us (limiter, used_until_us, "w", TRUE, MAX_SENDS),
                    next_grant_us);
  /* Sends to a warm worker are granted without delay. */
  assert_int_equal (
      quince_warmup_limiter_grant (limiter, used_until_us, "w", FALSE, MAX_SENDS, 1, used_until_us), 1);
  assert_int_equal (
      quince_warmup_limiter_grant (limiter, next_grant_us, "x", TRUE, MAX_SENDS, 1, next_grant_us), 1);
}

/* ---- Leases ---------------------------------------------------------------- */

static void
test_lease_expiry (void **state)
{
  QuinceWarmupLease lease = { 0 };
  assert_true (quince_warmup_lease_may_request (&lease, 0, 300 * MS_US));
  quince_warmup_lease_start_request (&lease, 10 * MS_US, 7);
  assert_false (quince_warmup_lease_may_request (&lease, 20 * MS_US, 300 * MS_US));
  quince_warmup_lease_handle_answer (&lease, 30 * MS_US, 7, 2, LEASE_VALID_US, 50 * MS_US);
  assert_true (quince_warmup_lease_use_send (&lease, 31 * MS_US));
  assert_false (quince_warmup_lease_may_request (&lease, 100 * MS_US, 300 * MS_US));
  /* Validity starts at the request, not at its answer. */
  assert_true (quince_warmup_lease_can_send (&lease, 10 * MS_US + LEASE_VALID_US - 1));
  assert_false (quince_warmup_lease_use_send (&lease, 10 * MS_US + LEASE_VALID_US));
  assert_true (quince_warmup_lease_may_request (&lease, 10 * MS_US + LEASE_VALID_US, 300 * MS_US));
}

static void
test_stale_and_duplicate_answers (void **state)
{
  QuinceWarmupLease lease = { 0 };
  quince_warmup_lease_start_request (&lease, 0, 7);
  /* The first request times out, and its answer arrives after the second request was sent. */
  assert_true (quince_warmup_lease_may_request (&lease, 300 * MS_US, 300 * MS_US));
  quince_warmup_lease_start_request (&lease, 300 * MS_US, 8);
  quince_warmup_lease_handle_answer (&lease, 310 * MS_US, 7, 5, LEASE_VALID_US, 0);
  assert_false (quince_warmup_lease_use_send (&lease, 311 * MS_US));
  quince_warmup_lease_handle_answer (&lease, 320 * MS_US, 8, 1, LEASE_VALID_US, 0);
  assert_true (quince_warmup_lease_use_send (&lease, 321 * MS_US));
  /* A duplicate of the answer is ignored. */
  quince_warmup_lease_handle_answer (&lease, 322 * MS_US, 8, 1, LEASE_VALID_US, 0);
  assert_false (quince_warmup_lease_use_send (&lease, 323 * MS_US));
}

/* ---- Many fronts and changes of leader ---------------------------------------- */

typedef struct
{
  QuinceWarmupLease lease;
  gint64 frozen_until_us;
  gint64 request_arrives_us; /* when the request reaches the leader; 0: none is on its way */
  gint64 answer_arrives_us;  /* when the answer reaches the front; 0: none is on its way */
  guint64 request_id;
  guint granted_sends;
} Front;

typedef struct
{
  GRand *rand;
  GArray *arrivals;
  QuinceWarmupLimiter *limiter;
  gint64 no_leader_until_us; /* when the next leader takes over */
  Front fronts[FRONTS];
  guint64 last_request_id;
} Cluster;

static gint64
random_delay_us (Cluster *cluster)
{
  gboolean slow = g_rand_int_range (cluster->rand, 0, 10) == 0;
  return g_rand_int_range (cluster->rand, 0, slow ? 900 * MS_US : 15 * MS_US);
}

static void
step_front (Cluster *cluster, Front *front, gint64 now)
{
  if (front->answer_arrives_us != 0 && now >= front->answer_arrives_us)
    {
      quince_warmup_lease_handle_answer (&front->lease, now, front->request_id, front->granted_sends,
                                         LEASE_VALID_US, 20 * MS_US);
      front->answer_arrives_us = 0;
    }
  gboolean loaded = g_rand_int_range (cluster->rand, 0, 4) == 0;
  if (loaded && quince_warmup_lease_use_send (&front->lease, now))
    add_arrival (cluster->arrivals, cluster->rand, now);
  if (!quince_warmup_lease_may_request (&front->lease, now, 300 * MS_US) || front->request_arrives_us != 0)
    return;
  front->request_id = ++cluster->last_request_id;
  quince_warmup_lease_start_request (&front->lease, now, front->request_id);
  front->answer_arrives_us = 0;
  front->request_arrives_us = now + random_delay_us (cluster);
}

static void
step_leader (Cluster *cluster, gint64 now)
{
  if (now < cluster->no_leader_until_us)
    return;
  if (g_rand_int_range (cluster->rand, 0, 8) == 0
      && quince_warmup_limiter_grant (cluster->limiter, now, "w", TRUE, MAX_SENDS, 1, now + SEND_WITHIN_US)
             == 1)
    add_arrival (cluster->arrivals, cluster->rand, now);
  for (guint i = 0; i < FRONTS; i++)
    {
      Front *front = &cluster->fronts[i];
      if (front->request_arrives_us == 0 || now < front->request_arrives_us)
        continue;
      front->request_arrives_us = 0;
      guint wanted = (guint)g_rand_int_range (cluster->rand, 1, 4);
      front->granted_sends = quince_warmup_limiter_grant (cluster->limiter, now, "w", TRUE, MAX_SENDS, wanted,
                                                          now + LEASE_VALID_US + SEND_WITHIN_US);
      front->answer_arrives_us = now + random_delay_us (cluster);
    }
}

/* The leader fails, and a new one takes over after a random delay, without its predecessor's state. */
static void
replace_leader (Cluster *cluster, gint64 now)
{
  cluster->no_leader_until_us = now + g_rand_int_range (cluster->rand, 0, 1500 * MS_US);
  quince_warmup_limiter_free (cluster->limiter);
  cluster->limiter = quince_warmup_limiter_new (MARGIN_US);
  quince_warmup_limiter_take_over (cluster->limiter,
                                   cluster->no_leader_until_us + LEASE_VALID_US + SEND_WITHIN_US);
}

static void
test_limit_across_leader_changes (void **state)
{
  guint total = 0;
  for (guint seed = 1; seed <= 30; seed++)
    {
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      g_autoptr (GArray) arrivals = g_array_new (FALSE, FALSE, sizeof (gint64));
      Cluster cluster
          = { .rand = rand, .arrivals = arrivals, .limiter = quince_warmup_limiter_new (MARGIN_US) };
      for (gint64 now = MS_US; now < 20 * SECOND_US; now += 2 * MS_US)
        {
          if (g_rand_int_range (rand, 0, 3000) == 0)
            replace_leader (&cluster, now);
          step_leader (&cluster, now);
          for (guint i = 0; i < FRONTS; i++)
            {
              Front *front = &cluster.fronts[i];
              if (now < front->frozen_until_us)
                continue;
              if (g_rand_int_range (rand, 0, 4000) == 0)
                front->frozen_until_us = now + g_rand_int_range (rand, 0, 3 * SECOND_US);
              else
                step_front (&cluster, front, now);
            }
        }
      assert_true (max_arrivals_per_second (arrivals) <= MAX_SENDS);
      total += arrivals->len;
      quince_warmup_limiter_free (cluster.limiter);
    }
  assert_true (total > 30 * 20); /* sends are granted at all */
}

/* ---- Rate limit compared with a growing share of slots ------------------------ */

#define WORKERS 12
#define COLD_WORKERS 4
#define SLOTS_PER_WORKER 6
#define COLD_DURATION_US (3 * SECOND_US)

typedef struct
{
  guint max_arrivals; /* maximum number of requests at a cold worker in any second */
  guint refused;      /* requests for which no worker had a free slot */
} LoadResult;

typedef struct
{
  gboolean limit_by_rate; /* FALSE: the slots of cold workers grow over time instead */
  QuinceWarmupLimiter *limiter;
  GArray *end_times_us[WORKERS]; /* of the requests that run at each worker */
  GArray *arrivals[WORKERS];
} WorkerPool;

static void
remove_finished (GArray *end_times_us, gint64 now)
{
  for (guint i = end_times_us->len; i > 0; i--)
    if (g_array_index (end_times_us, gint64, i - 1) <= now)
      g_array_remove_index_fast (end_times_us, i - 1);
}

/* Returns the share of used slots of @worker; G_MAXDOUBLE if it accepts no request now. */
static double
get_worker_load (WorkerPool *pool, guint worker, gint64 now)
{
  gboolean cold = worker < COLD_WORKERS && now < COLD_DURATION_US;
  guint slots = SLOTS_PER_WORKER;
  remove_finished (pool->end_times_us[worker], now);
  if (cold && !pool->limit_by_rate)
    slots = (guint)MAX (SLOTS_PER_WORKER * now / COLD_DURATION_US, 1);
  g_autofree char *id = g_strdup_printf ("%u", worker);
  if (cold && pool->limit_by_rate
      && quince_warmup_limiter_get_next_grant_us (pool->limiter, now, id, TRUE, MAX_SENDS) > now)
    return G_MAXDOUBLE;
  guint running = pool->end_times_us[worker]->len;
  return running < slots ? (double)running / slots : G_MAXDOUBLE;
}

/* Returns FALSE if no worker accepts the request. */
static gboolean
send_to_least_loaded (WorkerPool *pool, gint64 now, gint64 duration_us)
{
  double lowest_load = G_MAXDOUBLE;
  guint least_loaded = 0;
  for (guint i = 0; i < WORKERS; i++)
    {
      double load = get_worker_load (pool, i, now);
      if (load >= lowest_load)
        continue;
      lowest_load = load;
      least_loaded = i;
    }
  if (lowest_load == G_MAXDOUBLE)
    return FALSE;
  gint64 end_us = now + duration_us;
  g_autofree char *id = g_strdup_printf ("%u", least_loaded);
  quince_warmup_limiter_grant (pool->limiter, now, id, TRUE, MAX_SENDS, 1, now);
  g_array_append_val (pool->end_times_us[least_loaded], end_us);
  if (least_loaded < COLD_WORKERS && now < COLD_DURATION_US)
    g_array_append_val (pool->arrivals[least_loaded], now);
  return TRUE;
}

/* Sends @requests_per_s requests of 80 to 400 ms each in bursts of eight, for five seconds.  A third of the
 * workers is cold during the first three seconds. */
static LoadResult
run_load (gboolean limit_by_rate, guint requests_per_s)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (requests_per_s);
  g_autoptr (QuinceWarmupLimiter) limiter = quince_warmup_limiter_new (0);
  WorkerPool pool = { .limit_by_rate = limit_by_rate, .limiter = limiter };
  LoadResult result = { 0 };
  for (guint i = 0; i < WORKERS; i++)
    {
      pool.end_times_us[i] = g_array_new (FALSE, FALSE, sizeof (gint64));
      pool.arrivals[i] = g_array_new (FALSE, FALSE, sizeof (gint64));
    }
  for (gint64 now = 0; now < 5 * SECOND_US; now += 8 * SECOND_US / requests_per_s)
    for (guint i = 0; i < 8; i++)
      result.refused += !send_to_least_loaded (&pool, now, g_rand_int_range (rand, 80 * MS_US, 400 * MS_US));
  for (guint i = 0; i < WORKERS; i++)
    {
      result.max_arrivals = MAX (result.max_arrivals, max_arrivals_per_second (pool.arrivals[i]));
      g_array_unref (pool.end_times_us[i]);
      g_array_unref (pool.arrivals[i]);
    }
  return result;
}

static void
test_rate_limit_beats_growing_share (void **state)
{
  static const guint loads[] = { 100, 200, 300, 400 };
  for (guint i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      LoadResult growing_share = run_load (FALSE, loads[i]);
      LoadResult rate_limit = run_load (TRUE, loads[i]);
      print_message (
          "%u requests/s: growing share: at most %u in a second, %u refused; rate limit: %u, %u refused\n",
          loads[i], growing_share.max_arrivals, growing_share.refused, rate_limit.max_arrivals,
          rate_limit.refused);
      assert_true (rate_limit.max_arrivals <= MAX_SENDS);
      assert_true (rate_limit.refused <= growing_share.refused);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_max_sends),
    cmocka_unit_test (test_grants_stay_within_limit),
    cmocka_unit_test (test_grants_expire),
    cmocka_unit_test (test_new_leader_waits_for_old_grants),
    cmocka_unit_test (test_lease_expiry),
    cmocka_unit_test (test_stale_and_duplicate_answers),
    cmocka_unit_test (test_limit_across_leader_changes),
    cmocka_unit_test (test_rate_limit_beats_growing_share),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
