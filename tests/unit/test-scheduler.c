/*
 * test-scheduler.c: rules of the scheduler.
 */
#include "scheduler-world.h"

/* ---- Engines that get nothing ------------------------------------------------------ */

static void
make_leaving (World *world)
{
  quince_scheduler_engine_leaving (world->scheduler, world->now_us, "e", QUINCE_LEAVING_OPERATOR, TRUE);
}
static void
make_stale (World *world)
{
  world->now_us += 6 * SECOND;
}
static void
make_removed (World *world)
{
  quince_scheduler_engine_remove (world->scheduler, "e");
}
static void
make_unready (World *world)
{
  quince_scheduler_set_ready (world->scheduler, FALSE);
}
static void
make_stopping (World *world)
{
  quince_scheduler_stop (world->scheduler, world->now_us, world->decisions);
}
static void
make_peer_full (World *world)
{
  quince_scheduler_peer_load (world->scheduler, world->now_us, "node-b", "e", 4);
}

static void
change_report (World *world, guint field)
{
  QuinceEngineReport changed = engine ("e", 4);
  changed.leaving = field == 0;
  changed.available = field != 1;
  changed.capacity = field == 2 ? 0 : 4;
  changed.running = field == 3 ? 4 : 0;
  report (world, changed);
}
static void
make_own_leaving (World *world)
{
  change_report (world, 0);
}
static void
make_unavailable (World *world)
{
  change_report (world, 1);
}
static void
make_empty (World *world)
{
  change_report (world, 2);
}
static void
make_busy (World *world)
{
  change_report (world, 3);
}

static void
test_engine_faults (void **state)
{
  static const struct
  {
    const char *name;
    void (*make) (World *world);
    gint refusal; /* -1: the request waits */
  } faults[] = {
    { "leaving by operator", make_leaving, QUINCE_REFUSAL_NO_ENGINE },
    { "leaving by its own word", make_own_leaving, QUINCE_REFUSAL_NO_ENGINE },
    { "stale report", make_stale, QUINCE_REFUSAL_NOT_READY },
    { "unavailable", make_unavailable, QUINCE_REFUSAL_NO_ENGINE },
    { "removed", make_removed, QUINCE_REFUSAL_NO_ENGINE },
    { "no capacity", make_empty, QUINCE_REFUSAL_NO_ENGINE },
    { "node not ready", make_unready, QUINCE_REFUSAL_NOT_READY },
    { "node stopping", make_stopping, QUINCE_REFUSAL_STOPPING },
    { "full by its report", make_busy, -1 },
    { "full by another node", make_peer_full, -1 },
  };
  for (guint i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      World world;
      set_up (&world, &quince_scheduler_default_limits);
      report (&world, engine ("e", 4));
      faults[i].make (&world);
      QuinceGrantRequest request = lookup (&world, "member-a");
      ask (&world, &request);
      if (faults[i].refusal >= 0)
        expect_refusal (&world, (QuinceRefusal)faults[i].refusal);
      else if (counters (&world).waiting != 1)
        fail_msg ("%s: does not wait", faults[i].name);
      tear_down (&world);
    }
}

static void
test_request_faults (void **state)
{
  World world;
  set_up (&world, &quince_scheduler_default_limits);
  report (&world, engine ("e", 4));
  QuinceGrantRequest request = lookup (&world, "member-a");
  request.service = (char *)"other";
  ask (&world, &request);
  expect_refusal (&world, QUINCE_REFUSAL_NO_ENGINE);
  request = lookup (&world, "member-a");
  request.service = (char *)"";
  ask (&world, &request);
  expect_refusal (&world, QUINCE_REFUSAL_BAD_REQUEST);
  request = lookup (&world, "member-a");
  request.work_class = (QuinceWorkClass)1000000; /* the codec lets it through */
  ask (&world, &request);
  expect_refusal (&world, QUINCE_REFUSAL_BAD_REQUEST);
  request = lookup (&world, "member-a");
  request.deadline_ms = 0;
  ask (&world, &request);
  expect_refusal (&world, QUINCE_REFUSAL_DEADLINE);
  request = lookup (&world, "member-a");
  request.min_version = 8;
  ask (&world, &request);
  expect_refusal (&world, QUINCE_REFUSAL_NO_ENGINE);
  tear_down (&world);
}

/* ---- Versions -------------------------------------------------------------------------- */

static void
test_versions (void **state)
{
  World world;
  set_up (&world, &quince_scheduler_default_limits);
  QuinceEngineReport behind = engine ("behind", 2);
  behind.weight_version = 6;
  report (&world, engine ("good", 1));
  report (&world, behind);
  QuinceGrantRequest request = lookup (&world, "member-a");
  ask (&world, &request);
  assert_string_equal (expect_grant (&world).engine, "good");
  request = lookup (&world, "member-a"); /* nothing else is there */
  ask (&world, &request);
  assert_string_equal (expect_grant (&world).engine, "behind");
  request = lookup (&world, "member-a"); /* bound: not on an engine that is off its target */
  request.min_version = 6;
  ask (&world, &request);
  assert_null (verdict (&world));
  behind.weight_version = 7; /* the swap took place */
  report (&world, behind);
  assert_string_equal (expect_grant (&world).engine, "behind");
  tear_down (&world);
}

/* ---- At most once ------------------------------------------------------------------------ */

static void
test_repeats (void **state)
{
  World world;
  set_up (&world, &quince_scheduler_default_limits);
  report (&world, engine ("e", 1));
  QuinceGrantRequest first = lookup (&world, "member-a");
  QuinceGrantRequest second = lookup (&world, "member-a");
  ask (&world, &first);
  guint64 grant_id = expect_grant (&world).grant_id;
  ask (&world, &first);
  assert_int_equal (expect_grant (&world).grant_id, grant_id);
  ask (&world, &second);
  ask (&world, &second);
  assert_int_equal (counters (&world).waiting, 1);
  end (&world, grant_id, QUINCE_OUTCOME_FINISHED, 100);
  assert_int_not_equal (expect_grant (&world).grant_id, grant_id);
  end (&world, grant_id, QUINCE_OUTCOME_FINISHED, 100); /* told twice */
  assert_int_equal (counters (&world).finished, 1);
  ask (&world, &first); /* after its end */
  expect_refusal (&world, QUINCE_REFUSAL_OVERLOADED);
  world.now_us += 3 * SECOND;
  report (&world, engine ("e", 2));
  ask (&world, &second); /* its grant expired, its end is not known */
  expect_refusal (&world, QUINCE_REFUSAL_OVERLOADED);
  assert_int_equal (counters (&world).granted, 2);
  tear_down (&world);
}

static void
test_repeat_of_another_client (void **state)
{
  World world;
  set_up (&world, &quince_scheduler_default_limits);
  report (&world, engine ("e", 1));
  QuinceGrantRequest first = lookup (&world, "member-a");
  QuinceGrantRequest second = lookup (&world, "member-a");
  ask (&world, &first);
  guint64 grant_id = expect_grant (&world).grant_id;
  ask (&world, &second);
  quince_scheduler_request (world.scheduler, world.now_us, 2, &second, world.decisions);
  expect_refusal (&world, QUINCE_REFUSAL_OVERLOADED); /* at once */
  assert_int_equal (counters (&world).waiting, 1);
  end (&world, grant_id, QUINCE_OUTCOME_FINISHED, 100);
  expect_grant (&world); /* the one that asked first */
  tear_down (&world);
}

static void
test_abandoned_grants_and_lost_clients (void **state)
{
  World world;
  QuinceSchedulerLimits limits = quince_scheduler_default_limits;
  limits.abandon_ms = 10000;
  set_up (&world, &limits);
  report (&world, engine ("e", 1));
  QuinceGrantRequest first = lookup (&world, "member-a");
  QuinceGrantRequest second = lookup (&world, "member-a");
  ask (&world, &first);
  expect_grant (&world);
  ask (&world, &second);
  quince_scheduler_client_gone (world.scheduler, world.now_us, 1);
  assert_int_equal (counters (&world).waiting, 0);
  assert_int_equal (counters (&world).outstanding, 1);
  assert_true (quince_scheduler_next_wakeup (world.scheduler, world.now_us) <= world.now_us + 10 * SECOND);
  world.now_us += 10 * SECOND;
  quince_scheduler_tick (world.scheduler, world.now_us, world.decisions);
  assert_int_equal (counters (&world).abandoned, 1);
  assert_int_equal (counters (&world).outstanding, 0);
  tear_down (&world);
}

static void
test_cancel (void **state)
{
  World world;
  set_up (&world, &quince_scheduler_default_limits);
  report (&world, engine ("e", 1));
  QuinceGrantRequest requests[3];
  QuinceGrantCancel cancel = { .attempt = 1 };
  for (guint i = 0; i < 3; i++)
    {
      requests[i] = lookup (&world, "member-a");
      ask (&world, &requests[i]);
    }
  expect_grant (&world);
  memcpy (cancel.request_id, requests[1].request_id, QUINCE_ID_BYTES);
  quince_scheduler_cancel (world.scheduler, world.now_us, &cancel, world.decisions);
  assert_int_equal (counters (&world).waiting, 1);
  memcpy (cancel.request_id, requests[0].request_id, QUINCE_ID_BYTES); /* crosses its grant */
  quince_scheduler_cancel (world.scheduler, world.now_us, &cancel, world.decisions);
  expect_grant (&world);
  assert_int_equal (counters (&world).outstanding, 1);
  tear_down (&world);
}

/* ---- Waiting --------------------------------------------------------------------------------- */

/* A request that must wait for a swap does not hold up those that need not. */
static void
test_blocked_request_holds_up_no_one (void **state)
{
  World world;
  set_up (&world, &quince_scheduler_default_limits);
  QuinceEngineReport swapping = engine ("e", 4);
  swapping.weight_version = 6;
  report (&world, swapping);
  QuinceGrantRequest bound = lookup (&world, "member-a");
  bound.min_version = 7;
  ask (&world, &bound);
  assert_null (verdict (&world));
  for (guint i = 0; i < 3; i++)
    {
      QuinceGrantRequest request = lookup (&world, i < 2 ? "member-a" : "member-b");
      ask (&world, &request);
      expect_grant (&world);
    }
  tear_down (&world);
}

/* An engine's own sign outlives reports that lag behind it. */
static void
test_leaving_sign_in_an_answer (void **state)
{
  World world;
  set_up (&world, &quince_scheduler_default_limits);
  report (&world, engine ("e", 4));
  QuinceGrantRequest request = lookup (&world, "member-a");
  ask (&world, &request);
  QuinceGrantEnd sent = { .grant_id = expect_grant (&world).grant_id, .engine_leaving = TRUE };
  quince_scheduler_end (world.scheduler, world.now_us, &sent, world.decisions);
  world.now_us += SECOND;
  report (&world, engine ("e", 4));
  request = lookup (&world, "member-a");
  ask (&world, &request);
  expect_refusal (&world, QUINCE_REFUSAL_NO_ENGINE);
  world.now_us += 5 * SECOND;
  report (&world, engine ("e", 4)); /* it has come back */
  ask (&world, &request);
  expect_grant (&world);
  tear_down (&world);
}

/* Grants since the last report count on top of it. */
static void
test_grants_since_a_lagging_report (void **state)
{
  World world;
  set_up (&world, &quince_scheduler_default_limits);
  QuinceEngineReport busy = engine ("e", 4);
  busy.running = 2;
  report (&world, busy);
  for (guint i = 0; i < 4; i++)
    {
      QuinceGrantRequest request = lookup (&world, "member-a");
      ask (&world, &request);
    }
  assert_int_equal (counters (&world).granted, 2);
  assert_int_equal (counters (&world).waiting, 2);
  tear_down (&world);
}

/* ---- Priorities and events ----------------------------------------------------------------- */

static void
test_lookups_before_rollouts (void **state)
{
  World world;
  set_up (&world, &quince_scheduler_default_limits);
  report (&world, engine ("e", 1));
  QuinceGrantRequest first = lookup (&world, "member-a");
  ask (&world, &first);
  guint64 grant_id = expect_grant (&world).grant_id;
  QuinceGrantRequest waiting_rollout = rollout (&world);
  QuinceGrantRequest waiting_lookup = lookup (&world, "member-a");
  ask (&world, &waiting_rollout);
  ask (&world, &waiting_lookup);
  end (&world, grant_id, QUINCE_OUTCOME_FINISHED, 100);
  assert_memory_equal (((QuinceDecision *)world.decisions->pdata[0])->reply.request_id,
                       waiting_lookup.request_id, QUINCE_ID_BYTES);
  assert_true (expect_grant (&world).priority > 0);
  tear_down (&world);
}

static void
test_rollouts_leave_room_for_events (void **state)
{
  World world;
  set_up (&world, &quince_scheduler_default_limits);
  report (&world, engine ("e", 4));
  quince_scheduler_set_event (world.scheduler, world.now_us + SECOND, world.now_us + 4 * SECOND);
  for (guint i = 0; i < 4; i++)
    {
      QuinceGrantRequest request = rollout (&world);
      ask (&world, &request);
    }
  assert_int_equal (counters (&world).granted, 3);
  QuinceGrantRequest request = lookup (&world, "member-a");
  ask (&world, &request);
  assert_int_equal (counters (&world).granted, 4);
  world.now_us += 4 * SECOND; /* the event is over */
  g_ptr_array_set_size (world.decisions, 0);
  report (&world, engine ("e", 5));
  expect_grant (&world);
  tear_down (&world);
}

/* ---- Policy ----------------------------------------------------------------------------------------- */

static gboolean
failing_admit (gpointer user_data, const QuincePolicyRequest *request, QuincePolicyAdmission *out)
{
  return FALSE;
}

static gboolean
choosing_score (gpointer user_data,
                const QuincePolicyRequest *request,
                const QuincePolicyEngine *engines,
                guint n,
                double *scores)
{
  for (guint i = 0; i < n; i++)
    scores[i] = strcmp (engines[i].name, user_data) == 0 ? 1 : 0;
  return TRUE;
}

static gboolean
refusing_admit (gpointer user_data, const QuincePolicyRequest *request, QuincePolicyAdmission *out)
{
  *out = (QuincePolicyAdmission){ .refuse = TRUE, .reason = "no", .retry_after_ms = 1234, .share = 1 };
  return TRUE;
}

static void
test_policy_decides (void **state)
{
  World world;
  set_up (&world, &quince_scheduler_default_limits);
  report (&world, engine ("e1", 9));
  report (&world, engine ("e2", 9));
  QuinceDecider decider
      = { .admit = failing_admit, .score = choosing_score, .user_data = (gpointer) "e2", .revision = 9 };
  quince_scheduler_set_decider (world.scheduler, &decider);
  QuinceGrantRequest request = lookup (&world, "member-a");
  ask (&world, &request);
  assert_int_equal (((QuinceDecision *)world.decisions->pdata[0])->reply.policy_revision, 9);
  assert_string_equal (expect_grant (&world).engine, "e2");
  assert_int_equal (counters (&world).policy_failures, 1);
  decider.admit = refusing_admit;
  quince_scheduler_set_decider (world.scheduler, &decider);
  request = lookup (&world, "member-a");
  ask (&world, &request);
  assert_int_equal (expect_refusal (&world, QUINCE_REFUSAL_POLICY), 1234);
  tear_down (&world);
}

/* Scores by the cached prefix alone. */
static gboolean
prefix_score (gpointer user_data,
              const QuincePolicyRequest *request,
              const QuincePolicyEngine *engines,
              guint n,
              double *scores)
{
  for (guint i = 0; i < n; i++)
    scores[i] = engines[i].prefix_match;
  return TRUE;
}

static guint64 hot_prefix[] = { 1, 2, 3, 4 };

static void
ask_with_hot_prefix (World *world)
{
  QuinceGrantRequest request = lookup (world, "member-a");
  request.prefix.prefix_val = hot_prefix;
  request.prefix.prefix_len = G_N_ELEMENTS (hot_prefix);
  ask (world, &request);
}

static void
test_prefix_locality (void **state)
{
  static const char *const names[] = { "e1", "e2", "e3" };
  World world;
  set_up (&world, &quince_scheduler_default_limits);
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      QuinceEngineReport sent = engine (names[i], 16);
      sent.zone = i == 1 ? "zone-b" : "zone-a";
      report (&world, sent);
      quince_scheduler_cache_event (world.scheduler, names[i], TRUE, hot_prefix, 4, FALSE);
    }
  quince_scheduler_cache_event (world.scheduler, "e1", FALSE, hot_prefix, 1,
                                FALSE);                                       /* a chain without its start */
  quince_scheduler_cache_event (world.scheduler, "e3", FALSE, NULL, 0, TRUE); /* a gap */
  ask_with_hot_prefix (&world);
  assert_string_equal (expect_grant (&world).engine, "e2");
  tear_down (&world);
}

static void
test_hot_prefix_overloads_no_engine (void **state)
{
  static const char *const names[] = { "0", "1", "2", "3", "4", "5", "6", "7" };
  World world;
  guint granted[G_N_ELEMENTS (names)] = { 0 };
  QuinceSchedulerLimits limits = quince_scheduler_default_limits;
  QuinceDecider decider = { .score = prefix_score };
  limits.candidates = 2;
  set_up (&world, &limits);
  quince_scheduler_set_decider (world.scheduler, &decider);
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    report (&world, engine (names[i], 16));
  quince_scheduler_cache_event (world.scheduler, "3", TRUE, hot_prefix, 4, FALSE);
  for (guint i = 0; i < 32; i++)
    {
      ask_with_hot_prefix (&world);
      granted[expect_grant (&world).engine[0] - '0']++;
    }
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    assert_true (granted[i] <= 7); /* a quarter and one above the mean of 4, and one for rounding */
  tear_down (&world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_engine_faults),
    cmocka_unit_test (test_request_faults),
    cmocka_unit_test (test_versions),
    cmocka_unit_test (test_repeats),
    cmocka_unit_test (test_repeat_of_another_client),
    cmocka_unit_test (test_abandoned_grants_and_lost_clients),
    cmocka_unit_test (test_cancel),
    cmocka_unit_test (test_blocked_request_holds_up_no_one),
    cmocka_unit_test (test_leaving_sign_in_an_answer),
    cmocka_unit_test (test_grants_since_a_lagging_report),
    cmocka_unit_test (test_lookups_before_rollouts),
    cmocka_unit_test (test_rollouts_leave_room_for_events),
    cmocka_unit_test (test_policy_decides),
    cmocka_unit_test (test_prefix_locality),
    cmocka_unit_test (test_hot_prefix_overloads_no_engine),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
