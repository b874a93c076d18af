/*
 * test-load-plan.c: guards against loads of weights that stop long runs or block waiting samples.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/weights/load-plan.h"

#define SECOND_US G_USEC_PER_SEC
#define AFTER_NEXT_STEP_WAIT_US (1 * SECOND_US)

static gboolean
should_defer (const QuinceLoadPlan *plan,
              const char *worker,
              guint64 loaded_version,
              guint64 wanted_version,
              gint64 version_age_us)
{
  const QuincePendingLoad load = { .worker = worker,
                                   .model = "m",
                                   .loaded_version = loaded_version,
                                   .wanted_version = wanted_version,
                                   .version_age_us = version_age_us };
  return quince_load_plan_should_defer (plan, &load);
}

static void
test_defer_until_next_step (void **state)
{
  g_autoptr (QuinceLoadPlan) plan = quince_load_plan_new ();
  assert_true (should_defer (plan, "w", 4, 5, 0));
  assert_false (should_defer (plan, "w", 4, 5, AFTER_NEXT_STEP_WAIT_US));
}

static void
test_load_at_once_if_too_old (void **state)
{
  g_autoptr (QuinceLoadPlan) plan = quince_load_plan_new ();
  quince_load_plan_record_run (plan, "w", 6 * SECOND_US);
  quince_load_plan_record_sample (plan, "m", 4, TRUE);
  assert_false (should_defer (plan, "w", 3, 5, 0));
  /* The worker has no weights of the model. */
  assert_false (should_defer (plan, "w", 0, 1, 0));
  /* The step accepts only the newest weights. */
  quince_load_plan_record_sample (plan, "m", 5, TRUE);
  assert_false (should_defer (plan, "w", 4, 5, 0));
}

static void
test_defer_while_samples_wait (void **state)
{
  g_autoptr (QuinceLoadPlan) plan = quince_load_plan_new ();
  quince_load_plan_record_sample (plan, "m", 4, FALSE);
  assert_false (should_defer (plan, "w", 4, 5, AFTER_NEXT_STEP_WAIT_US));
  quince_load_plan_record_sample (plan, "m", 4, TRUE);
  assert_true (should_defer (plan, "w", 4, 5, AFTER_NEXT_STEP_WAIT_US));
}

static void
test_defer_during_long_run (void **state)
{
  g_autoptr (QuinceLoadPlan) plan = quince_load_plan_new ();
  quince_load_plan_record_run (plan, "short", SECOND_US);
  quince_load_plan_record_run (plan, "long", 6 * SECOND_US);
  quince_load_plan_record_run (plan, "long", SECOND_US / 2);
  assert_false (should_defer (plan, "short", 4, 5, AFTER_NEXT_STEP_WAIT_US));
  assert_true (should_defer (plan, "long", 4, 5, AFTER_NEXT_STEP_WAIT_US));
  /* The deferral is limited. */
  assert_false (should_defer (plan, "long", 4, 5, 9 * SECOND_US));
}

/* Simulates one training step in ticks of 100 ms.  All samples start at tick 0.  Each worker has one version
 * to load, which stops its runs for a second; at most two workers load at a time. */
#define WORKERS 8
#define TICK_US (100 * 1000)
#define LOAD_TICKS 10
#define MAX_CONCURRENT_LOADS 2
#define LONG_RUN_TICKS 70
#define SHORT_RUN_TICKS 8

static guint
get_run_ticks (guint worker)
{
  return worker % 2 == 0 ? LONG_RUN_TICKS : SHORT_RUN_TICKS;
}

/* Returns the number of ticks until the last run of the step has ended. */
static guint
simulate_step (gboolean use_plan)
{
  guint remaining_ticks[WORKERS];
  guint loading_ticks[WORKERS] = { 0 };
  gboolean loaded[WORKERS] = { FALSE };
  for (guint i = 0; i < WORKERS; i++)
    remaining_ticks[i] = get_run_ticks (i);
  for (guint tick = 0;; tick++)
    {
      g_autoptr (QuinceLoadPlan) plan = quince_load_plan_new ();
      guint running_workers = 0;
      guint active_loads = 0;
      for (guint i = 0; i < WORKERS; i++)
        {
          g_autofree char *name = g_strdup_printf ("w%u", i);
          if (remaining_ticks[i] > 0)
            quince_load_plan_record_run (plan, name, (gint64)get_run_ticks (i) * TICK_US);
          running_workers += remaining_ticks[i] > 0;
          active_loads += loading_ticks[i] > 0;
        }
      if (running_workers == 0)
        return tick;
      for (guint i = 0; i < WORKERS; i++)
        {
          g_autofree char *name = g_strdup_printf ("w%u", i);
          gboolean may_load = !use_plan || !should_defer (plan, name, 4, 5, (gint64)tick * TICK_US);
          if (!loaded[i] && loading_ticks[i] == 0 && active_loads < MAX_CONCURRENT_LOADS && may_load)
            {
              loading_ticks[i] = LOAD_TICKS;
              active_loads++;
            }
          if (loading_ticks[i] > 0)
            loaded[i] = --loading_ticks[i] == 0;
          else if (remaining_ticks[i] > 0)
            remaining_ticks[i]--;
        }
    }
}

/* With deferral the loads do not delay the longest sample, so the step ends with it. */
static void
test_deferral_shortens_step (void **state)
{
  assert_int_equal (simulate_step (FALSE), LONG_RUN_TICKS + LOAD_TICKS);
  assert_int_equal (simulate_step (TRUE), LONG_RUN_TICKS);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_defer_until_next_step),    cmocka_unit_test (test_load_at_once_if_too_old),
    cmocka_unit_test (test_defer_while_samples_wait), cmocka_unit_test (test_defer_during_long_run),
    cmocka_unit_test (test_deferral_shortens_step),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
