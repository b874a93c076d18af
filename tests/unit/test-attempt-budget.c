/*
 * test-attempt-budget.c: guards against a budget that denies retries, gives the last tokens to the wrong
 * requests or stays in debt, and against hedges and choices of workers by the times of another route.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/decisions/attempt-budget.h"
#include "core/decisions/hedge.h"
#include "core/routing/route-table.h"
#include "core/routing/worker-response.h"

#define MS G_GINT64_CONSTANT (1000)

/* Takes tokens until fewer than @tokens are left. */
static void
drain (QuinceAttemptBudget *budget, double tokens)
{
  while (quince_attempt_budget_get_tokens (budget) >= tokens)
    quince_attempt_budget_take (budget);
}

static void
test_last_tokens (void **state)
{
  static const struct
  {
    double below; /* tokens */
    gboolean reward_hedge, lookup_hedge, reward_retry, lookup_retry;
  } rows[] = {
    { 10, TRUE, TRUE, TRUE, TRUE },   { 9, FALSE, TRUE, TRUE, TRUE },    { 5, FALSE, FALSE, TRUE, TRUE },
    { 3, FALSE, FALSE, FALSE, TRUE }, { 1, FALSE, FALSE, FALSE, FALSE }, { -9, FALSE, FALSE, FALSE, FALSE },
  };
  g_autoptr (QuinceAttemptBudget) budget = quince_attempt_budget_new ();
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      drain (budget, rows[i].below);
      const gboolean expected[]
          = { rows[i].reward_hedge, rows[i].lookup_hedge, rows[i].reward_retry, rows[i].lookup_retry };
      for (guint j = 0; j < G_N_ELEMENTS (expected); j++)
        assert_int_equal (quince_attempt_budget_may_take (
                              budget, 0, j < 2 ? QUINCE_EXTRA_HEDGE : QUINCE_EXTRA_RETRY, j % 2 == 0),
                          expected[j]);
    }
}

/* A long fault leaves a bounded debt, and a long quiet time a bounded number of tokens. */
static void
test_bounds (void **state)
{
  g_autoptr (QuinceAttemptBudget) budget = quince_attempt_budget_new ();
  for (guint i = 0; i < 1000; i++)
    quince_attempt_budget_take (budget);
  assert_true (quince_attempt_budget_get_tokens (budget) >= -30);
  for (guint i = 0; i < 30 * 7; i++)
    quince_attempt_budget_add_first (budget);
  assert_false (quince_attempt_budget_may_take (budget, 0, QUINCE_EXTRA_HEDGE, FALSE));
  for (guint i = 0; i < 1000; i++)
    quince_attempt_budget_add_first (budget);
  guint hedges = 0;
  for (; quince_attempt_budget_may_take (budget, 0, QUINCE_EXTRA_HEDGE, FALSE); hedges++)
    quince_attempt_budget_take (budget);
  assert_int_equal (hedges, 41);
  quince_attempt_budget_return (budget);
  assert_true (quince_attempt_budget_may_take (budget, 0, QUINCE_EXTRA_HEDGE, FALSE));
}

/* Hedges stop while most responses are late or many sends are refused, and start again afterwards.  Retries
 * go on. */
static void
test_slow_or_full_service (void **state)
{
  for (guint i = 0; i < 2; i++)
    {
      g_autoptr (QuinceAttemptBudget) budget = quince_attempt_budget_new ();
      for (guint j = 0; j < 100; j++)
        {
          quince_attempt_budget_record_response (budget, 0, i == 0 && j % 10 > 0 ? 5 : 1);
          quince_attempt_budget_record_send (budget, 0, i == 1 && j % 3 > 0);
        }
      assert_false (quince_attempt_budget_may_take (budget, 0, QUINCE_EXTRA_HEDGE, FALSE));
      assert_true (quince_attempt_budget_may_take (budget, 0, QUINCE_EXTRA_RETRY, TRUE));
      assert_true (quince_attempt_budget_may_take (budget, 10000 * MS, QUINCE_EXTRA_HEDGE, FALSE));
    }
  /* If half of the workers are slow, the others serve hedges. */
  g_autoptr (QuinceAttemptBudget) budget = quince_attempt_budget_new ();
  for (guint i = 0; i < 100; i++)
    quince_attempt_budget_record_response (budget, 0, i % 2 == 0 ? 5 : 1);
  assert_true (quince_attempt_budget_may_take (budget, 0, QUINCE_EXTRA_HEDGE, FALSE));
}

/* Requests must not fail since a retry waited or a lost answer was waited for. */
static void
test_without_tokens (void **state)
{
  g_autoptr (QuinceAttemptBudget) budget = quince_attempt_budget_new ();
  assert_int_equal (quince_attempt_budget_retry_pause_us (budget, "r", 0, 2000 * MS), 10 * MS);
  assert_int_equal (quince_attempt_budget_lost_after_us (budget, 0, "r", 400 * MS, 2000 * MS, 4), 500 * MS);
  quince_route_times_record (quince_attempt_budget_get_times (budget), "r", 50 * MS);
  assert_int_equal (quince_attempt_budget_retry_pause_us (budget, "r", 0, 2000 * MS), 12500);
  assert_int_equal (quince_attempt_budget_retry_pause_us (budget, "r", 2, 2000 * MS), 50 * MS);
  assert_int_equal (quince_attempt_budget_retry_pause_us (budget, "r", 99, 9000 * MS), 200 * MS);
  assert_int_equal (quince_attempt_budget_retry_pause_us (budget, "r", 2, 100 * MS), 25 * MS);
  assert_int_equal (quince_attempt_budget_lost_after_us (budget, 0, "r", 150 * MS, 2000 * MS, 4), 400 * MS);
  assert_int_equal (quince_attempt_budget_lost_after_us (budget, 0, "r", 600 * MS, 5000 * MS, 4), 600 * MS);
  assert_int_equal (quince_attempt_budget_lost_after_us (budget, 0, "r", 150 * MS, 2000 * MS, 8), 250 * MS);
  for (guint i = 0; i < 10; i++)
    quince_attempt_budget_record_response (budget, 0, 5);
  assert_int_equal (quince_attempt_budget_lost_after_us (budget, 0, "r", 150 * MS, 2000 * MS, 4), 600 * MS);
  assert_int_equal (quince_attempt_budget_lost_after_us (budget, 0, "r", 150 * MS, 800 * MS, 4), 400 * MS);
}

/* If workers lose answers, waiting for them delays requests and saves no attempts.  If they are slow, it
 * does. */
static void
test_lost_or_slow (void **state)
{
  for (guint is_slow = 0; is_slow < 2; is_slow++)
    {
      g_autoptr (QuinceAttemptBudget) budget = quince_attempt_budget_new ();
      quince_route_times_record (quince_attempt_budget_get_times (budget), "r", 50 * MS);
      for (guint i = 0; i < 20; i++)
        quince_attempt_budget_record_unhedged (budget, 0, is_slow == 0 || i % 2 == 0);
      gint64 expected_us = is_slow != 0 ? 400 * MS : 0;
      assert_int_equal (quince_attempt_budget_lost_after_us (budget, 0, "r", 150 * MS, 2000 * MS, 4),
                        expected_us);
      /* Not known any more after a few seconds. */
      assert_int_equal (quince_attempt_budget_lost_after_us (budget, 4000 * MS, "r", 150 * MS, 2000 * MS, 4),
                        400 * MS);
    }
}

static void
test_log_limit (void **state)
{
  g_autoptr (QuinceAttemptBudget) budget = quince_attempt_budget_new ();
  guint n_denied = 0;
  assert_true (quince_attempt_budget_count_denied (budget, 0, &n_denied));
  assert_int_equal (n_denied, 1);
  for (guint i = 0; i < 10; i++)
    assert_false (quince_attempt_budget_count_denied (budget, 999 * MS, &n_denied));
  assert_true (quince_attempt_budget_count_denied (budget, 1000 * MS, &n_denied));
  assert_int_equal (n_denied, 11);
}

/* ---- Response times ------------------------------------------------------ */

static void
test_hedge_delay (void **state)
{
  static const struct
  {
    gint64 target_ms, worker_ms, usual_ms, delay_ms;
  } rows[] = {
    { 150, 25, 25, 75 },
    { 150, 0, 25, 75 },
    { 150, 5, 5, 60 },
    { 150, 125, 25, 112 },
    { 400, 80, 80, 240 },
    { 400, 400, 80, 280 },
    /* A reward call of 200 ms is not hedged at half its target, 400 ms. */
    { 800, 200, 200, 500 },
    { 800, 1400, 200, 500 },
    /* Not before it is late for its route, even if the target leaves no time. */
    { 400, 350, 350, 700 },
    { 0, 20, 20, 60 },
    { 800, 200, 0, 400 },
    { 150, 0, 0, 75 },
  };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    assert_int_equal (
        quince_hedge_route_delay_us (rows[i].target_ms * MS, rows[i].worker_ms * MS, rows[i].usual_ms * MS)
            / MS,
        rows[i].delay_ms);
}

static void
test_route_times (void **state)
{
  g_autoptr (QuinceRouteTimes) times = quince_route_times_new ();
  assert_int_equal (quince_route_times_get_usual_us (times, "a"), 0);
  assert_true (quince_route_times_get_slowdown (times, "a", 500 * MS) == 1);
  /* A slow minority does not change the usual time; another route changes neither time. */
  for (guint i = 0; i < 600; i++)
    {
      quince_route_times_record (times, "a", (i % 3 == 0 ? 500 : 100) * MS);
      quince_route_times_record (times, "b", 25 * MS);
    }
  assert_in_range (quince_route_times_get_usual_us (times, "a"), 95 * MS, 125 * MS);
  assert_in_range (quince_route_times_get_smoothed_us (times, "a"), 150 * MS, 350 * MS);
  assert_int_equal (quince_route_times_get_smoothed_us (times, "b"), 25 * MS);
  assert_true (quince_route_times_get_slowdown (times, "b", 100 * MS) == 4);
  assert_true (quince_route_times_get_slowdown (times, "b", 10 * MS) == 1);
  /* Routes beyond the limit share one time and do not displace the others. */
  for (guint i = 0; i < 100; i++)
    {
      g_autofree char *name = g_strdup_printf ("r%u", i);
      quince_route_times_record (times, name, 10 * MS);
    }
  assert_int_equal (quince_route_times_get_smoothed_us (times, "r99"), 10 * MS);
  assert_int_equal (quince_route_times_get_smoothed_us (times, "unknown"), 10 * MS);
  assert_int_equal (quince_route_times_get_smoothed_us (times, "b"), 25 * MS);
}

static void
test_expected_load (void **state)
{
  g_autoptr (QuinceWorker) worker = quince_worker_new ("w");
  worker->slots = 6;
  worker->running = 3;
  assert_true (quince_worker_get_expected_load (worker, 0) == 0.5);
  quince_worker_record_refusal (worker, 0);
  assert_true (quince_worker_get_expected_load (worker, 49 * MS) == 1);
  assert_true (quince_worker_get_expected_load (worker, 50 * MS) == 0.5);
  /* An idle worker that is late compares like one with half of its slots in use, until it is tried again. */
  worker->running = 0;
  quince_worker_record_late (worker, 100 * MS, 4);
  assert_true (quince_worker_get_expected_load (worker, 100 * MS) == 0.5);
  /* A worker that lost one answer does not come after full ones. */
  quince_worker_record_late (worker, 100 * MS, 40);
  assert_true (quince_worker_get_expected_load (worker, 100 * MS) == 0.5);
  worker->slowdown = 0;
  quince_worker_record_late (worker, 100 * MS, 4);
  quince_worker_record_late (worker, 100 * MS, 3);
  assert_true (quince_worker_get_slowdown (worker, 100 * MS) == 4);
  assert_true (quince_worker_get_slowdown (worker, 1100 * MS) == 2.5);
  quince_worker_record_route_response (worker, 1100 * MS, "a", 20 * MS, 1);
  quince_worker_record_route_response (worker, 1100 * MS, "a", 20 * MS, 1);
  assert_true (quince_worker_get_slowdown (worker, 1100 * MS) < 1.4);
}

/* ---- Services with a budget ---------------------------------------------- */

static void
add_route (QuinceRouteTable *table, QuinceRouteKind kind, const char *service, guint target_ms)
{
  QuinceRoute *route = quince_route_new ();
  route->host = g_strdup ("h.example");
  route->prefix = g_strdup ("/");
  route->kind = kind;
  route->target_latency_ms = target_ms;
  quince_route_add_weighted_service (route, service, 1);
  quince_route_table_add_route (table, route);
}

/* A service of one latency target must be served as before. */
static void
test_mixed_targets (void **state)
{
  const QuinceCallerLimits limits = { 0 };
  g_autoptr (QuinceRouteTable) table = quince_route_table_new (1, &limits);
  add_route (table, QUINCE_ROUTE_IDEMPOTENT, "small", 150);
  add_route (table, QUINCE_ROUTE_IDEMPOTENT, "small", 150);
  add_route (table, QUINCE_ROUTE_IDEMPOTENT, "small", 0);
  add_route (table, QUINCE_ROUTE_STREAMING, "small", 300);
  add_route (table, QUINCE_ROUTE_ROLLOUT, "small", 400);
  add_route (table, QUINCE_ROUTE_IDEMPOTENT, "other", 400);
  assert_false (quince_route_table_has_mixed_targets (table, "small"));
  assert_false (quince_route_table_has_mixed_targets (table, "unknown"));
  add_route (table, QUINCE_ROUTE_AT_MOST_ONCE, "small", 400);
  assert_true (quince_route_table_has_mixed_targets (table, "small"));
  assert_false (quince_route_table_has_mixed_targets (table, "other"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_last_tokens),          cmocka_unit_test (test_bounds),
    cmocka_unit_test (test_slow_or_full_service), cmocka_unit_test (test_without_tokens),
    cmocka_unit_test (test_lost_or_slow),         cmocka_unit_test (test_log_limit),
    cmocka_unit_test (test_hedge_delay),          cmocka_unit_test (test_route_times),
    cmocka_unit_test (test_expected_load),        cmocka_unit_test (test_mixed_targets),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
