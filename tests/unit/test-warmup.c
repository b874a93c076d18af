/*
 * test-warmup.c: the bound on requests of a second to a cold worker: one giver, leases, delays, a new giver;
 * and what the bound does to a load, beside a share that grows.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include "core/routing/warmup-limit.h"

#define MS G_GINT64_CONSTANT (1000)
#define SECOND (1000 * MS)
#define MARGIN_US (100 * MS)
#define LEASE_VALID_US (200 * MS)
#define SEND_WITHIN_US (250 * MS)
#define SENDS_MAX 24
#define FRONTS 20

static void
test_most (void **state)
{
  assert_int_equal (quince_warmup_get_max_sends (13, 1.5, 5), 24);
  assert_int_equal (quince_warmup_get_max_sends (2, 1.5, 0), 3);
  /* One in a second at the least: a worker that gets none never warms up. */
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

/* The most arrivals in any second, wherever it begins. */
static guint
max_arrivals_per_second (GArray *arrivals)
{
  guint most = 0;
  guint first = 0;
  g_array_sort (arrivals, compare_times);
  for (guint i = 0; i < arrivals->len; i++)
    {
      while (g_array_index (arrivals, gint64, i) - g_array_index (arrivals, gint64, first) > SECOND)
        first++;
      most = MAX (most, i - first + 1);
    }
  return most;
}

static void
arrive (GArray *arrivals, GRand *rand, gint64 now_us)
{
  /* A send leaves at once or waits for its connection, and then takes its way. */
  gint64 waits_us = g_rand_int_range (rand, 0, 4) == 0 ? g_rand_int_range (rand, 0, SEND_WITHIN_US) : 0;
  gint64 at_us = now_us + waits_us + g_rand_int_range (rand, 0, MARGIN_US);
  g_array_append_val (arrivals, at_us);
}

/* ---- One giver ------------------------------------------------------------ */

static void
test_grants_stay_within_limit (void **state)
{
  for (guint seed = 1; seed <= 20; seed++)
    {
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      g_autoptr (QuinceWarmupLimiter) book = quince_warmup_limiter_new (MARGIN_US);
      g_autoptr (GArray) arrivals = g_array_new (FALSE, FALSE, sizeof (gint64));
      for (gint64 now = 0; now < 20 * SECOND; now += g_rand_int_range (rand, 1, 20 * MS))
        if (quince_warmup_limiter_grant (book, now, "w", TRUE, SENDS_MAX, 1, now + SEND_WITHIN_US) == 1)
          arrive (arrivals, rand, now);
      assert_true (max_arrivals_per_second (arrivals) <= SENDS_MAX);
      /* The worker gets more than the 13 a second that it bears. */
      assert_true (arrivals->len > 20 * 13);
    }
}

static void
test_grants_expire (void **state)
{
  g_autoptr (QuinceWarmupLimiter) book = quince_warmup_limiter_new (MARGIN_US);
  assert_int_equal (quince_warmup_limiter_grant (book, 0, "w", TRUE, 3, 2, 10 * MS), 2);
  assert_int_equal (quince_warmup_limiter_get_next_grant_us (book, 5, "w", TRUE, 3), 5);
  assert_int_equal (quince_warmup_limiter_grant (book, 20 * MS, "w", TRUE, 3, 2, 30 * MS), 1);
  assert_int_equal (quince_warmup_limiter_grant (book, 20 * MS, "w", TRUE, 3, 2, 30 * MS), 0);
  gint64 free_us = 10 * MS + MARGIN_US + SECOND + 1;
  assert_int_equal (quince_warmup_limiter_get_next_grant_us (book, 21 * MS, "w", TRUE, 3), free_us);
  assert_int_equal (quince_warmup_limiter_grant (book, free_us - 1, "w", TRUE, 3, 1, free_us), 0);
  assert_int_equal (quince_warmup_limiter_grant (book, free_us, "w", TRUE, 3, 5, free_us), 2);
  /* Another worker is another limit. */
  assert_int_equal (quince_warmup_limiter_grant (book, free_us, "x", TRUE, 3, 5, free_us), 3);
  quince_warmup_limiter_expire (book, free_us + 10 * SECOND);
  assert_int_equal (quince_warmup_limiter_get_n_workers (book), 0);
}

static void
test_new_leader_waits_for_old_grants (void **state)
{
  g_autoptr (QuinceWarmupLimiter) book = quince_warmup_limiter_new (MARGIN_US);
  gint64 used_until = 5 * SECOND;
  quince_warmup_limiter_take_over (book, used_until);
  gint64 free_us = used_until + MARGIN_US + SECOND + 1;
  assert_int_equal (quince_warmup_limiter_grant (book, free_us - 1, "w", TRUE, SENDS_MAX, 1, free_us), 0);
  assert_int_equal (quince_warmup_limiter_get_next_grant_us (book, used_until, "w", TRUE, SENDS_MAX),
                    free_us);
  /* A warm worker is not made to wait. */
  assert_int_equal (quince_warmup_limiter_grant (book, used_until, "w", FALSE, SENDS_MAX, 1, used_until), 1);
  assert_int_equal (quince_warmup_limiter_grant (book, free_us, "x", TRUE, SENDS_MAX, 1, free_us), 1);
}

/* ---- Leases ---------------------------------------------------------------- */

static void
test_lease (void **state)
{
  QuinceWarmupLease lease = { 0 };
  assert_true (quince_warmup_lease_may_request (&lease, 0, 300 * MS));
  quince_warmup_lease_start_request (&lease, 10 * MS, 7);
  assert_false (quince_warmup_lease_may_request (&lease, 20 * MS, 300 * MS));
  quince_warmup_lease_handle_answer (&lease, 30 * MS, 7, 2, LEASE_VALID_US, 50 * MS);
  assert_true (quince_warmup_lease_use_send (&lease, 31 * MS));
  assert_false (quince_warmup_lease_may_request (&lease, 100 * MS, 300 * MS));
  /* It counts from the ask. */
  assert_true (quince_warmup_lease_can_send (&lease, 10 * MS + LEASE_VALID_US - 1));
  assert_false (quince_warmup_lease_use_send (&lease, 10 * MS + LEASE_VALID_US));
  assert_true (quince_warmup_lease_may_request (&lease, 10 * MS + LEASE_VALID_US, 300 * MS));
}

static void
test_stale_and_duplicate_answers (void **state)
{
  QuinceWarmupLease lease = { 0 };
  quince_warmup_lease_start_request (&lease, 0, 7);
  /* Its giver was frozen: the front asks again, and then the first answer comes. */
  assert_true (quince_warmup_lease_may_request (&lease, 300 * MS, 300 * MS));
  quince_warmup_lease_start_request (&lease, 300 * MS, 8);
  quince_warmup_lease_handle_answer (&lease, 310 * MS, 7, 5, LEASE_VALID_US, 0);
  assert_false (quince_warmup_lease_use_send (&lease, 311 * MS));
  quince_warmup_lease_handle_answer (&lease, 320 * MS, 8, 1, LEASE_VALID_US, 0);
  assert_true (quince_warmup_lease_use_send (&lease, 321 * MS));
  /* An answer that comes twice. */
  quince_warmup_lease_handle_answer (&lease, 322 * MS, 8, 1, LEASE_VALID_US, 0);
  assert_false (quince_warmup_lease_use_send (&lease, 323 * MS));
}

/* ---- Many senders ----------------------------------------------------------- */

typedef struct
{
  QuinceWarmupLease lease;
  gint64 frozen_until_us;
  gint64 request_arrives_us; /* the ask reaches the giver then; 0: none is on its way */
  gint64 answer_arrives_us;  /* when the answer arrives; 0: no request in progress */
  guint64 ask;
  guint given;
} Front;

typedef struct
{
  GRand *rand;
  GArray *arrivals;
  QuinceWarmupLimiter *book;
  gint64 no_leader_until_us; /* no giver until then */
  Front fronts[FRONTS];
  guint64 asks;
} Senders;

static gint64
delay (Senders *senders)
{
  gboolean slow = g_rand_int_range (senders->rand, 0, 10) == 0;
  return g_rand_int_range (senders->rand, 0, slow ? 900 * MS : 15 * MS);
}

static void
front_step (Senders *senders, Front *front, gint64 now)
{
  if (front->answer_arrives_us != 0 && now >= front->answer_arrives_us)
    {
      quince_warmup_lease_handle_answer (&front->lease, now, front->ask, front->given, LEASE_VALID_US,
                                         20 * MS);
      front->answer_arrives_us = 0;
    }
  gboolean loaded = g_rand_int_range (senders->rand, 0, 4) == 0;
  if (loaded && quince_warmup_lease_use_send (&front->lease, now))
    arrive (senders->arrivals, senders->rand, now);
  if (!quince_warmup_lease_may_request (&front->lease, now, 300 * MS) || front->request_arrives_us != 0)
    return;
  front->ask = ++senders->asks;
  quince_warmup_lease_start_request (&front->lease, now, front->ask);
  front->answer_arrives_us = 0;
  front->request_arrives_us = now + delay (senders);
}

static void
leader_step (Senders *senders, gint64 now)
{
  if (now < senders->no_leader_until_us)
    return;
  if (g_rand_int_range (senders->rand, 0, 8) == 0
      && quince_warmup_limiter_grant (senders->book, now, "w", TRUE, SENDS_MAX, 1, now + SEND_WITHIN_US) == 1)
    arrive (senders->arrivals, senders->rand, now);
  for (guint i = 0; i < FRONTS; i++)
    {
      Front *front = &senders->fronts[i];
      if (front->request_arrives_us == 0 || now < front->request_arrives_us)
        continue;
      front->request_arrives_us = 0;
      guint wanted = (guint)g_rand_int_range (senders->rand, 1, 4);
      front->given = quince_warmup_limiter_grant (senders->book, now, "w", TRUE, SENDS_MAX, wanted,
                                                  now + LEASE_VALID_US + SEND_WITHIN_US);
      front->answer_arrives_us = now + delay (senders);
    }
}

/* The giver dies, and another one leads a moment after it could act last. */
static void
replace_leader (Senders *senders, gint64 now)
{
  senders->no_leader_until_us = now + g_rand_int_range (senders->rand, 0, 1500 * MS);
  quince_warmup_limiter_free (senders->book);
  senders->book = quince_warmup_limiter_new (MARGIN_US);
  quince_warmup_limiter_take_over (senders->book,
                                   senders->no_leader_until_us + LEASE_VALID_US + SEND_WITHIN_US);
}

static void
test_limit_across_leader_changes (void **state)
{
  guint total = 0;
  for (guint seed = 1; seed <= 30; seed++)
    {
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      g_autoptr (GArray) arrivals = g_array_new (FALSE, FALSE, sizeof (gint64));
      Senders senders = { .rand = rand, .arrivals = arrivals, .book = quince_warmup_limiter_new (MARGIN_US) };
      for (gint64 now = MS; now < 20 * SECOND; now += 2 * MS)
        {
          if (g_rand_int_range (rand, 0, 3000) == 0)
            replace_leader (&senders, now);
          leader_step (&senders, now);
          for (guint i = 0; i < FRONTS; i++)
            {
              Front *front = &senders.fronts[i];
              if (now < front->frozen_until_us)
                continue;
              if (g_rand_int_range (rand, 0, 4000) == 0)
                front->frozen_until_us = now + g_rand_int_range (rand, 0, 3 * SECOND);
              else
                front_step (&senders, front, now);
            }
        }
      assert_true (max_arrivals_per_second (arrivals) <= SENDS_MAX);
      total += arrivals->len;
      quince_warmup_limiter_free (senders.book);
    }
  assert_true (total > 30 * 20); /* it does give */
}

/* ---- A share that grows, or a bound on the rate ------------------------------ */

#define SERVERS 12
#define COLD_WORKERS 4
#define SLOTS 6
#define COLD_US (3 * SECOND)

typedef struct
{
  guint most;    /* requests at a cold worker in any second */
  guint refused; /* no place anywhere */
} Replay;

typedef struct
{
  gboolean limit_by_rate; /* a bound on the rate; otherwise a cold worker's share of its places grows */
  QuinceWarmupLimiter *book;
  GArray *ends[SERVERS]; /* of the requests that run there */
  GArray *arrivals[SERVERS];
} Pool;

static void
drop_ended (GArray *ends, gint64 now)
{
  for (guint i = ends->len; i > 0; i--)
    if (g_array_index (ends, gint64, i - 1) <= now)
      g_array_remove_index_fast (ends, i - 1);
}

/* G_MAXDOUBLE: it takes no more. */
static double
get_worker_load (Pool *pool, guint server, gint64 now)
{
  gboolean cold = server < COLD_WORKERS && now < COLD_US;
  guint places = SLOTS;
  drop_ended (pool->ends[server], now);
  if (cold && !pool->limit_by_rate)
    places = (guint)MAX (SLOTS * now / COLD_US, 1);
  g_autofree char *id = g_strdup_printf ("%u", server);
  if (cold && pool->limit_by_rate
      && quince_warmup_limiter_get_next_grant_us (pool->book, now, id, TRUE, SENDS_MAX) > now)
    return G_MAXDOUBLE;
  guint running = pool->ends[server]->len;
  return running < places ? (double)running / places : G_MAXDOUBLE;
}

/* Returns: %FALSE: there is no place anywhere */
static gboolean
place (Pool *pool, gint64 now, gint64 takes_us)
{
  double least = G_MAXDOUBLE;
  guint best = 0;
  for (guint i = 0; i < SERVERS; i++)
    {
      double load = get_worker_load (pool, i, now);
      if (load >= least)
        continue;
      least = load;
      best = i;
    }
  if (least == G_MAXDOUBLE)
    return FALSE;
  gint64 end = now + takes_us;
  g_autofree char *id = g_strdup_printf ("%u", best);
  quince_warmup_limiter_grant (pool->book, now, id, TRUE, SENDS_MAX, 1, now);
  g_array_append_val (pool->ends[best], end);
  if (best < COLD_WORKERS && now < COLD_US)
    g_array_append_val (pool->arrivals[best], now);
  return TRUE;
}

/* Requests of 80 to 400 ms come @per_s a second, in bursts of eight, for five seconds; a third of the workers
 * is cold for the first three. */
static Replay
replay (gboolean limit_by_rate, guint per_s)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (per_s);
  g_autoptr (QuinceWarmupLimiter) book = quince_warmup_limiter_new (0);
  Pool pool = { .limit_by_rate = limit_by_rate, .book = book };
  Replay result = { 0 };
  for (guint i = 0; i < SERVERS; i++)
    {
      pool.ends[i] = g_array_new (FALSE, FALSE, sizeof (gint64));
      pool.arrivals[i] = g_array_new (FALSE, FALSE, sizeof (gint64));
    }
  for (gint64 now = 0; now < 5 * SECOND; now += 8 * SECOND / per_s)
    for (guint i = 0; i < 8; i++)
      result.refused += !place (&pool, now, g_rand_int_range (rand, 80 * MS, 400 * MS));
  for (guint i = 0; i < SERVERS; i++)
    {
      result.most = MAX (result.most, max_arrivals_per_second (pool.arrivals[i]));
      g_array_unref (pool.ends[i]);
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
      Replay weight = replay (FALSE, loads[i]);
      Replay rate = replay (TRUE, loads[i]);
      print_message ("%u a second: by weight at most %u in a second, %u refused; by rate %u, %u refused\n",
                     loads[i], weight.most, weight.refused, rate.most, rate.refused);
      assert_true (rate.most <= SENDS_MAX);
      assert_true (rate.refused <= weight.refused);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_most),
    cmocka_unit_test (test_grants_stay_within_limit),
    cmocka_unit_test (test_grants_expire),
    cmocka_unit_test (test_new_leader_waits_for_old_grants),
    cmocka_unit_test (test_lease),
    cmocka_unit_test (test_stale_and_duplicate_answers),
    cmocka_unit_test (test_limit_across_leader_changes),
    cmocka_unit_test (test_rate_limit_beats_growing_share),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
