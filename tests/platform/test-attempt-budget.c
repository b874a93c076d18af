/*
 * test-attempt-budget.c: guards against hedges beyond the attempt budget of a service, and against requests
 * that fail because it is empty.
 */
#include "forward-world.h"

#include "runtime/metrics.h"

#define REQUESTS 6

/* Starts a world whose requests are limited by a budget without tokens. */
static QuinceAttemptBudget *
start_without_tokens (World *world)
{
  world_init (world);
  quince_metrics_reset ();
  world->mixed_targets = TRUE;
  QuinceAttemptBudget *budget = quince_backends_get_attempt_budget (world->backends, "svc");
  while (quince_attempt_budget_get_tokens (budget) > 0)
    quince_attempt_budget_take (budget);
  return budget;
}

static gboolean
has_metric (const char *name, const char *kind)
{
  g_autofree char *series = g_strdup_printf ("%s{service=\"svc\",route=\"kind\",kind=\"%s\"} ", name, kind);
  g_autofree char *all = quince_metrics_format ();
  return strstr (all, series) != NULL;
}

static void
run_requests (World *world, guint n_requests)
{
  for (guint i = 0; i < n_requests; i++)
    {
      world->done = FALSE;
      run_forward (world, TRUE, 3, 3000);
      assert_int_equal (world->outcome, QUINCE_FORWARD_ANSWERED);
      assert_int_equal (world->status, 200);
      g_clear_pointer (&world->body, g_free);
      g_clear_pointer (&world->signature, g_free);
    }
}

/* A worker that loses answers: without tokens its requests are not hedged, but sent again once the answer
 * counts as lost.  The code before hedged each of them. */
static void
test_lost_answers (void **state)
{
  for (guint is_reward = 0; is_reward < 2; is_reward++)
    {
      World world;
      QuinceAttemptBudget *budget = start_without_tokens (&world);
      world.is_reward = is_reward != 0;
      standin_worker_set_fault (world.workers[0], STANDIN_WORKER_UNRESPONSIVE, 1);
      run_requests (&world, REQUESTS);
      assert_int_not_equal (standin_worker_get_runs (world.workers[0])->len, 0);
      assert_true (has_metric ("quince_forward_denied_total", "hedge"));
      /* One attempt after the lost one, and one more if this machine stalls for a latency target. */
      assert_in_range (count_runs (&world), REQUESTS + 1, REQUESTS + 2);
      assert_true (quince_attempt_budget_get_tokens (budget) < 0);
      world_clear (&world);
    }
}

/* Workers that reset connections: the requests are retried, after a pause without tokens. */
static void
test_lost_connections (void **state)
{
  World world;
  start_without_tokens (&world);
  for (guint i = 0; i < WORKERS; i++)
    standin_worker_set_fault (world.workers[i], STANDIN_WORKER_RESETS, 1);
  run_requests (&world, REQUESTS);
  assert_true (has_metric ("quince_forward_denied_total", "retry"));
  assert_true (has_metric ("quince_forward_extra_total", "retry"));
  assert_in_range (count_runs (&world), REQUESTS + WORKERS, REQUESTS + WORKERS + 1);
  world_clear (&world);
}

/* Refused sends have not run: they take no tokens and are sent again at once. */
static void
test_refusals_take_no_tokens (void **state)
{
  World world;
  QuinceAttemptBudget *budget = start_without_tokens (&world);
  double tokens = quince_attempt_budget_get_tokens (budget);
  for (guint i = 0; i < WORKERS; i++)
    standin_worker_set_fault (world.workers[i], STANDIN_WORKER_REFUSES, 1);
  run_requests (&world, REQUESTS);
  assert_true (quince_attempt_budget_get_tokens (budget) > tokens);
  assert_false (has_metric ("quince_forward_denied_total", "retry"));
  assert_false (has_metric ("quince_forward_extra_total", "retry"));
  world_clear (&world);
}

/* A reward call that is made again after a failed one must not add tokens as a first attempt. */
static void
test_repeated_reward_call (void **state)
{
  World world;
  QuinceAttemptBudget *budget = start_without_tokens (&world);
  double tokens = quince_attempt_budget_get_tokens (budget);
  world.is_reward = TRUE;
  world.earlier_runs = 1;
  run_requests (&world, 1);
  assert_true (quince_attempt_budget_get_tokens (budget) <= tokens - 1);
  assert_true (has_metric ("quince_forward_extra_total", "retry"));
  world_clear (&world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_lost_answers),
    cmocka_unit_test (test_lost_connections),
    cmocka_unit_test (test_refusals_take_no_tokens),
    cmocka_unit_test (test_repeated_reward_call),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
