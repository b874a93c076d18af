/*
 * test-scheduler-overload.c: what the scheduler refuses, queues and lets go late.
 */
#include "scheduler-world.h"

/* Another node may have heard of the engines already. */
static void
test_no_report_yet (void **state)
{
  World world;
  set_up (&world, &quince_scheduler_default_limits);
  QuinceGrantRequest request = lookup (&world, "member-a");
  ask (&world, &request);
  expect_refusal (&world, QUINCE_REFUSAL_NOT_READY);
  tear_down (&world);
}

static void
test_overload (void **state)
{
  World world;
  QuinceSchedulerLimits limits = quince_scheduler_default_limits;
  limits.queue_most = 20;
  set_up (&world, &limits);
  report (&world, engine ("e", 1));
  QuinceGrantRequest request = lookup (&world, "member-a");
  ask (&world, &request);
  end (&world, expect_grant (&world).grant_id, QUINCE_OUTCOME_FINISHED, 1000);
  request = lookup (&world, "member-a");
  ask (&world, &request);
  expect_grant (&world);
  request = lookup (&world, "member-a"); /* one second a request: it cannot end in time */
  request.deadline_ms = 1500;
  ask (&world, &request);
  expect_refusal (&world, QUINCE_REFUSAL_OVERLOADED);
  guint refused = 0;
  g_autoptr (GHashTable) times = g_hash_table_new (NULL, NULL);
  for (guint i = 0; i < 60; i++)
    {
      request = lookup (&world, "member-a");
      request.deadline_ms = 600000;
      ask (&world, &request);
      if (world.decisions->len == 0)
        continue;
      refused++;
      g_hash_table_add (times, GUINT_TO_POINTER (expect_refusal (&world, QUINCE_REFUSAL_OVERLOADED)));
    }
  assert_true (counters (&world).waiting <= 20);
  assert_true (refused >= 40);
  assert_true (g_hash_table_size (times) > refused / 4 * 3); /* they do not return together */
  request = lookup (&world, "member-b");                     /* room is left for others */
  request.deadline_ms = 600000;
  ask (&world, &request);
  assert_null (verdict (&world));
  tear_down (&world);
}

static void
test_deadline_in_the_queue (void **state)
{
  World world;
  set_up (&world, &quince_scheduler_default_limits);
  report (&world, engine ("e", 1));
  QuinceGrantRequest request = lookup (&world, "member-a");
  ask (&world, &request);
  expect_grant (&world);
  request = lookup (&world, "member-a");
  request.deadline_ms = 2000;
  ask (&world, &request);
  assert_null (verdict (&world));
  world.now_us += 2 * SECOND;
  quince_scheduler_tick (world.scheduler, world.now_us, world.decisions);
  expect_refusal (&world, QUINCE_REFUSAL_DEADLINE);
  tear_down (&world);
}

/* One second a request: half a second before the deadline it is too late to start. */
static void
test_too_late_to_start (void **state)
{
  World world;
  set_up (&world, &quince_scheduler_default_limits);
  report (&world, engine ("e", 1));
  QuinceGrantRequest request = lookup (&world, "member-a");
  ask (&world, &request);
  end (&world, expect_grant (&world).grant_id, QUINCE_OUTCOME_FINISHED, 1000);
  request = lookup (&world, "member-a");
  ask (&world, &request);
  expect_grant (&world);
  request = lookup (&world, "member-a");
  request.deadline_ms = 4000;
  ask (&world, &request);
  assert_null (verdict (&world));
  gint64 wakeup_us = world.now_us + 3500 * 1000;
  world.now_us = wakeup_us - 1;
  quince_scheduler_tick (world.scheduler, world.now_us, world.decisions);
  assert_null (verdict (&world));
  assert_int_equal (quince_scheduler_next_wakeup (world.scheduler, world.now_us), wakeup_us);
  world.now_us = wakeup_us;
  quince_scheduler_tick (world.scheduler, world.now_us, world.decisions);
  expect_refusal (&world, QUINCE_REFUSAL_DEADLINE);
  tear_down (&world);
}

/* No run has ended yet: that says nothing about how fast the queue drains. */
static void
test_no_early_refusal_before_the_first_end (void **state)
{
  World world;
  set_up (&world, &quince_scheduler_default_limits);
  report (&world, engine ("e", 16));
  QuinceGrantRequest request = lookup (&world, "member-a");
  ask (&world, &request);
  end (&world, expect_grant (&world).grant_id, QUINCE_OUTCOME_FINISHED, 200);
  for (guint i = 0; i < 16 + 110; i++) /* 16 in 200 ms: 110 wait 1.4 s */
    {
      if (i > 16)
        world.now_us += 1700;
      request = lookup (&world, "member-a");
      request.deadline_ms = 2000;
      ask (&world, &request);
    }
  assert_int_equal (counters (&world).granted, 17);
  assert_int_equal (counters (&world).waiting, 110);
  tear_down (&world);
}

/* Rollouts run long: a Lookup on the same engine does not wait for as long. */
static void
test_lookups_are_judged_by_lookups (void **state)
{
  World world;
  set_up (&world, &quince_scheduler_default_limits);
  report (&world, engine ("e", 4));
  QuinceGrantRequest request = rollout (&world);
  ask (&world, &request);
  end (&world, expect_grant (&world).grant_id, QUINCE_OUTCOME_FINISHED, 60000);
  request = lookup (&world, "member-a");
  ask (&world, &request);
  end (&world, expect_grant (&world).grant_id, QUINCE_OUTCOME_FINISHED, 100);
  for (guint i = 0; i < 4; i++)
    {
      request = i < 2 ? rollout (&world) : lookup (&world, "member-a");
      ask (&world, &request);
      expect_grant (&world);
    }
  request = lookup (&world, "member-a");
  request.deadline_ms = 1000;
  ask (&world, &request);
  assert_null (verdict (&world));
  request = rollout (&world);
  request.deadline_ms = 10000;
  ask (&world, &request);
  expect_refusal (&world, QUINCE_REFUSAL_OVERLOADED);
  tear_down (&world);
}

/* Lookups came to take longer while this one waited: it is refused, not run in vain. */
static void
test_too_late_to_start_by_now (void **state)
{
  World world;
  set_up (&world, &quince_scheduler_default_limits);
  report (&world, engine ("e", 1));
  QuinceGrantRequest request = lookup (&world, "member-a");
  ask (&world, &request);
  guint64 grant_id = expect_grant (&world).grant_id;
  request = lookup (&world, "member-a");
  request.deadline_ms = 1000;
  ask (&world, &request);
  assert_null (verdict (&world));
  world.now_us += 800 * 1000;
  end (&world, grant_id, QUINCE_OUTCOME_FINISHED, 100); /* the ways took the rest of 800 ms */
  expect_refusal (&world, QUINCE_REFUSAL_DEADLINE);
  tear_down (&world);
}

/* A slot that another node gave back goes to who waits, not to who comes. */
static void
test_newcomer_does_not_overtake (void **state)
{
  World world;
  set_up (&world, &quince_scheduler_default_limits);
  report (&world, engine ("e", 1));
  quince_scheduler_peer_load (world.scheduler, world.now_us, "node-b", "e", 1);
  QuinceGrantRequest first = lookup (&world, "member-a");
  QuinceGrantRequest second = lookup (&world, "member-b");
  ask (&world, &first);
  assert_null (verdict (&world));
  quince_scheduler_peer_gone (world.scheduler, "node-b");
  ask (&world, &second);
  assert_memory_equal (((QuinceDecision *)world.decisions->pdata[0])->reply.request_id, first.request_id,
                       QUINCE_ID_BYTES);
  expect_grant (&world);
  assert_int_equal (counters (&world).waiting, 1);
  tear_down (&world);
}

static void
test_retry_budget (void **state)
{
  World world;
  set_up (&world, &quince_scheduler_default_limits);
  report (&world, engine ("e", 1000));
  guint granted = 0;
  for (guint i = 0; i < 100; i++)
    {
      QuinceGrantRequest request = lookup (&world, "member-a");
      request.attempt = 2;
      ask (&world, &request);
      granted += verdict (&world)->kind == QUINCE_VERDICT_GRANTED;
    }
  assert_int_equal (granted, 10);
  world.now_us += SECOND; /* retries alone must not starve */
  QuinceGrantRequest request = lookup (&world, "member-a");
  request.attempt = 2;
  ask (&world, &request);
  expect_grant (&world);
  assert_int_equal (counters (&world).retries_granted, 11);
  tear_down (&world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_no_report_yet),
    cmocka_unit_test (test_overload),
    cmocka_unit_test (test_deadline_in_the_queue),
    cmocka_unit_test (test_too_late_to_start),
    cmocka_unit_test (test_newcomer_does_not_overtake),
    cmocka_unit_test (test_retry_budget),
    cmocka_unit_test (test_no_early_refusal_before_the_first_end),
    cmocka_unit_test (test_lookups_are_judged_by_lookups),
    cmocka_unit_test (test_too_late_to_start_by_now),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
