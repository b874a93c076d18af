/*
 * test-weight-plan.c: waves, repairs and hold-offs of weight swaps.
 *
 * Each case drives the plan with engines that carry out orders at once,
 * unless the case makes them fail.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <quince/weight-plan.h>

#define ENGINES 5
#define SECOND G_USEC_PER_SEC
#define STEP_US (100 * G_USEC_PER_SEC / 1000)

/* A deployment of engines that obey. */
typedef struct
{
  QuinceWeightPlan *plan;
  gint64 now_us;
  guint64 running[ENGINES];
  guint64 staged[ENGINES];
  gboolean usable[ENGINES];
  guint fail_stage[ENGINES];    /* orders to stage that fail first          */
  guint fail_activate[ENGINES]; /* orders to activate that fail first       */
  guint wrong_swap[ENGINES];    /* activations "done" without effect        */
  guint stages;                 /* most in one step                         */
  guint activations;            /* most in one step                         */
  guint total_stages;
  guint total_activations;
} Deployment;

static const char *const names[ENGINES] = { "e0", "e1", "e2", "e3", "e4" };

static void
deployment_init (Deployment *deployment)
{
  *deployment = (Deployment){ .now_us = 1000 * SECOND };
  QuinceWeightPlanLimits limits = quince_weight_plan_default_limits;
  limits.activate_parallel = 2;
  deployment->plan = quince_weight_plan_new (&limits);
  for (guint i = 0; i < ENGINES; i++)
    {
      deployment->running[i] = 1;
      deployment->usable[i] = TRUE;
    }
}

static void
report_all (Deployment *deployment)
{
  for (guint i = 0; i < ENGINES; i++)
    {
      QuinceWeightReport report = { 0 };
      report.engine = names[i];
      report.service = i < 4 ? "rank-lm" : "other";
      report.usable = deployment->usable[i];
      report.weight_version = deployment->running[i];
      report.staged_version = deployment->staged[i];
      report.reported_us = deployment->now_us;
      quince_weight_plan_report (deployment->plan, deployment->now_us, &report);
    }
}

static gboolean
carry_out (Deployment *deployment, guint index, const QuinceWeightOrder *order)
{
  guint *failures
      = order->kind == QUINCE_WEIGHT_ORDER_STAGE ? deployment->fail_stage : deployment->fail_activate;
  if (failures[index] > 0)
    {
      failures[index]--;
      return FALSE;
    }
  if (order->kind == QUINCE_WEIGHT_ORDER_STAGE)
    deployment->staged[index] = order->version;
  else if (deployment->wrong_swap[index] > 0)
    deployment->wrong_swap[index]--;
  else
    {
      assert_int_equal (deployment->staged[index], order->version);
      deployment->running[index] = order->version;
    }
  return TRUE;
}

static void
step (Deployment *deployment)
{
  deployment->now_us += STEP_US;
  report_all (deployment);
  g_autoptr (GPtrArray) orders = quince_weight_orders_new ();
  quince_weight_plan_step (deployment->plan, deployment->now_us, orders);
  guint stages = 0;
  guint activations = 0;
  for (guint i = 0; i < orders->len; i++)
    {
      const QuinceWeightOrder *order = g_ptr_array_index (orders, i);
      guint index = (guint)(order->engine[1] - '0');
      assert_true (deployment->usable[index]);
      *(order->kind == QUINCE_WEIGHT_ORDER_STAGE ? &stages : &activations) += 1;
      gboolean done = carry_out (deployment, index, order);
      quince_weight_plan_answered (deployment->plan, deployment->now_us, order->engine, order->kind,
                                   order->version, done);
    }
  deployment->stages = MAX (deployment->stages, stages);
  deployment->activations = MAX (deployment->activations, activations);
  deployment->total_stages += stages;
  deployment->total_activations += activations;
}

static void
run (Deployment *deployment, guint steps)
{
  for (guint i = 0; i < steps; i++)
    step (deployment);
}

static guint
count_running (const Deployment *deployment, guint64 version)
{
  guint count = 0;
  for (guint i = 0; i < ENGINES; i++)
    count += deployment->running[i] == version;
  return count;
}

/* ---- Faults in a table ----------------------------------------------- */

typedef struct
{
  const char *name;
  guint fail_stage;    /* of engine 0 */
  guint fail_activate; /* of engine 0 */
  guint wrong_swap;    /* of engine 0 */
  guint engine_starts_at;
  gboolean others_first; /* the others come to the version before engine 0 */
  guint repairs_least;
} FaultCase;

static const FaultCase fault_cases[] = {
  { "none", 0, 0, 0, 1, FALSE, 0 },
  { "staging fails", 2, 0, 0, 1, TRUE, 1 },
  { "activation is refused", 0, 2, 0, 1, TRUE, 2 },
  { "swap without effect", 0, 0, 1, 1, TRUE, 2 },
  { "engine is on an older version", 0, 0, 0, 0, FALSE, 0 },
  { "engine is ahead of what is published", 0, 0, 0, 9, TRUE, 0 },
};

static void
test_faults_are_repaired (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (fault_cases); i++)
    {
      const FaultCase *fault = &fault_cases[i];
      Deployment deployment;
      deployment_init (&deployment);
      deployment.fail_stage[0] = fault->fail_stage;
      deployment.fail_activate[0] = fault->fail_activate;
      deployment.wrong_swap[0] = fault->wrong_swap;
      deployment.running[0] = fault->engine_starts_at;
      quince_weight_plan_set_newest (deployment.plan, 2);
      run (&deployment, 10);
      if (fault->others_first && count_running (&deployment, 2) != ENGINES - 1)
        fail_msg ("%s: %u engines on the version", fault->name, count_running (&deployment, 2));
      run (&deployment, 300);
      QuinceWeightPlanCounters counters;
      quince_weight_plan_get_counters (deployment.plan, &counters);
      if (count_running (&deployment, 2) != ENGINES || counters.repairs < fault->repairs_least)
        fail_msg ("%s: %u engines on the version, %" G_GUINT64_FORMAT " repairs", fault->name,
                  count_running (&deployment, 2), counters.repairs);
      quince_weight_plan_free (deployment.plan);
    }
}

static void
test_waves_keep_within_limits (void **state)
{
  Deployment deployment;
  deployment_init (&deployment);
  run (&deployment, 5);
  assert_int_equal (deployment.total_stages, 0);
  quince_weight_plan_set_newest (deployment.plan, 2);
  run (&deployment, 20);
  assert_int_equal (count_running (&deployment, 2), ENGINES);
  assert_int_equal (deployment.total_stages, ENGINES);
  assert_int_equal (deployment.total_activations, ENGINES);
  assert_int_equal (deployment.stages, 2);
  assert_in_range (deployment.activations, 1, 3);
  quince_weight_plan_set_newest (deployment.plan, 1);
  run (&deployment, 20);
  assert_int_equal (count_running (&deployment, 2), ENGINES);
  quince_weight_plan_free (deployment.plan);
}

/* The size of letters: engines that take FLEET_SWAP_US each, told of FLEET_REPORT_US late. */
#define FLEET 4800
#define FLEET_SWAP_US (300 * G_USEC_PER_SEC / 1000)
#define FLEET_REPORT_US (500 * G_USEC_PER_SEC / 1000)
#define FLEET_BOUND_US (8 * SECOND)

typedef struct
{
  char name[8];
  gint64 swapped_us; /* 0: no order yet */
  gboolean answered;
} FleetEngine;

static void
fleet_report (QuinceWeightPlan *plan, const FleetEngine *engine, gint64 now_us)
{
  gint64 reported_us = now_us - FLEET_REPORT_US;
  gboolean swapped = engine->swapped_us != 0 && engine->swapped_us <= reported_us;
  QuinceWeightReport report = { .engine = engine->name,
                                .service = "rank-lm",
                                .usable = TRUE,
                                .weight_version = swapped ? 2 : 1,
                                .staged_version = 2,
                                .reported_us = reported_us };
  quince_weight_plan_report (plan, now_us, &report);
}

static void
fleet_answer (QuinceWeightPlan *plan, FleetEngine *engine, gint64 now_us)
{
  if (engine->swapped_us == 0 || engine->swapped_us > now_us || engine->answered)
    return;
  engine->answered = TRUE;
  quince_weight_plan_answered (plan, now_us, engine->name, QUINCE_WEIGHT_ORDER_ACTIVATE, 2, TRUE);
}

/* Returns: orders given */
static guint
fleet_step (QuinceWeightPlan *plan, FleetEngine *engines, gint64 now_us)
{
  g_autoptr (GPtrArray) orders = quince_weight_orders_new ();
  for (guint i = 0; i < FLEET; i++)
    {
      fleet_answer (plan, &engines[i], now_us);
      fleet_report (plan, &engines[i], now_us);
    }
  quince_weight_plan_step (plan, now_us, orders);
  for (guint i = 0; i < orders->len; i++)
    {
      const QuinceWeightOrder *order = g_ptr_array_index (orders, i);
      assert_int_equal (order->kind, QUINCE_WEIGHT_ORDER_ACTIVATE);
      engines[g_ascii_strtoull (order->engine + 1, NULL, 10)].swapped_us = now_us + FLEET_SWAP_US;
    }
  return orders->len;
}

static void
test_a_large_service_swaps_within_its_bound (void **state)
{
  g_autofree FleetEngine *engines = g_new0 (FleetEngine, FLEET);
  g_autoptr (QuinceWeightPlan) plan = quince_weight_plan_new (&quince_weight_plan_default_limits);
  gint64 now_us = 1000 * SECOND;
  guint ordered = 0;
  guint most = 0;
  for (guint i = 0; i < FLEET; i++)
    g_snprintf (engines[i].name, sizeof engines[i].name, "e%04u", i);
  fleet_step (plan, engines, now_us);
  quince_weight_plan_set_newest (plan, 2);
  gint64 start_us = now_us;
  for (now_us += STEP_US; ordered < FLEET && now_us <= start_us + FLEET_BOUND_US; now_us += STEP_US)
    {
      guint orders = fleet_step (plan, engines, now_us);
      ordered += orders;
      most = MAX (most, orders);
    }
  assert_int_equal (ordered, FLEET);
  assert_true (now_us + FLEET_SWAP_US <= start_us + FLEET_BOUND_US);
  assert_in_range (most, 1, FLEET / 10);
  print_message ("%u engines in %d ms\n", FLEET, (int)((now_us + FLEET_SWAP_US - start_us) / 1000));
}

static void
test_activation_waits_for_the_whole_service (void **state)
{
  Deployment deployment;
  deployment_init (&deployment);
  quince_weight_plan_set_newest (deployment.plan, 2);
  step (&deployment);
  step (&deployment);
  assert_int_equal (count_running (&deployment, 2), 0);
  run (&deployment, 10);
  assert_int_equal (count_running (&deployment, 2), ENGINES);
  quince_weight_plan_free (deployment.plan);
}

static void
test_no_activation_around_an_event_start (void **state)
{
  Deployment deployment;
  deployment_init (&deployment);
  gint64 start_us = deployment.now_us + SECOND;
  quince_weight_plan_set_event (deployment.plan, start_us, start_us + 60 * SECOND);
  quince_weight_plan_set_newest (deployment.plan, 2);
  while (deployment.now_us + STEP_US < start_us + quince_weight_plan_default_limits.hold_after_us)
    step (&deployment);
  assert_int_equal (count_running (&deployment, 2), 0);
  assert_int_equal (deployment.total_stages, ENGINES);
  run (&deployment, 10);
  assert_int_equal (count_running (&deployment, 2), ENGINES);
  quince_weight_plan_free (deployment.plan);
}

static void
test_unusable_engines_get_no_order (void **state)
{
  Deployment deployment;
  deployment_init (&deployment);
  deployment.usable[2] = FALSE;
  quince_weight_plan_set_newest (deployment.plan, 2);
  run (&deployment, 20);
  assert_int_equal (count_running (&deployment, 2), ENGINES - 1);
  deployment.usable[2] = TRUE;
  run (&deployment, 20);
  assert_int_equal (count_running (&deployment, 2), ENGINES);
  quince_weight_plan_remove (deployment.plan, "e2");
  QuinceWeightPlanCounters counters;
  quince_weight_plan_get_counters (deployment.plan, &counters);
  assert_int_equal (counters.engines, ENGINES - 1);
  quince_weight_plan_free (deployment.plan);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_waves_keep_within_limits),
    cmocka_unit_test (test_activation_waits_for_the_whole_service),
    cmocka_unit_test (test_a_large_service_swaps_within_its_bound),
    cmocka_unit_test (test_no_activation_around_an_event_start),
    cmocka_unit_test (test_faults_are_repaired),
    cmocka_unit_test (test_unusable_engines_get_no_order),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
