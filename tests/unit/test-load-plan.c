/*
 * test-load-plan.c: loads of weights beside the samples that run and wait.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/weights/load-plan.h"

#define SECOND G_USEC_PER_SEC
#define LATER (1 * SECOND)

static gboolean
puts_off (const QuinceLoadPlan *plan, const char *worker, guint64 has, guint64 wanted, gint64 version_age_us)
{
  const QuincePendingLoad load
      = { .worker = worker, .model = "m", .has = has, .wanted = wanted, .version_age_us = version_age_us };
  return quince_load_plan_should_defer (plan, &load);
}

static void
test_defer_until_next_step (void **state)
{
  g_autoptr (QuinceLoadPlan) plan = quince_load_plan_new ();
  assert_true (puts_off (plan, "w", 4, 5, 0));
  assert_false (puts_off (plan, "w", 4, 5, LATER));
}

static void
test_load_at_once_if_too_old (void **state)
{
  g_autoptr (QuinceLoadPlan) plan = quince_load_plan_new ();
  quince_load_plan_record_run (plan, "w", 6 * SECOND);
  quince_load_plan_record_sample (plan, "m", 4, TRUE);
  assert_false (puts_off (plan, "w", 3, 5, 0));
  /* one without any weights of the model */
  assert_false (puts_off (plan, "w", 0, 1, 0));
  /* a step that allows no older weights */
  quince_load_plan_record_sample (plan, "m", 5, TRUE);
  assert_false (puts_off (plan, "w", 4, 5, 0));
}

static void
test_defer_while_samples_wait (void **state)
{
  g_autoptr (QuinceLoadPlan) plan = quince_load_plan_new ();
  quince_load_plan_record_sample (plan, "m", 4, FALSE);
  assert_false (puts_off (plan, "w", 4, 5, LATER));
  quince_load_plan_record_sample (plan, "m", 4, TRUE);
  assert_true (puts_off (plan, "w", 4, 5, LATER));
}

static void
test_defer_during_long_run (void **state)
{
  g_autoptr (QuinceLoadPlan) plan = quince_load_plan_new ();
  quince_load_plan_record_run (plan, "short", SECOND);
  quince_load_plan_record_run (plan, "long", 6 * SECOND);
  quince_load_plan_record_run (plan, "long", SECOND / 2);
  assert_false (puts_off (plan, "short", 4, 5, LATER));
  assert_true (puts_off (plan, "long", 4, 5, LATER));
  /* not for ever */
  assert_false (puts_off (plan, "long", 4, 5, 9 * SECOND));
}

/* One step of a trainer on some workers, in turns of 100 ms: its samples begin at once, and each worker has
 * one version to load, which stops its runs for a second, two workers at a time. */
#define WORKERS 8
#define TURN_US (100 * 1000)
#define LOAD_TURNS 10
#define LOADS_AT_ONCE 2
#define LONG_TURNS 70
#define SHORT_TURNS 8

static guint
total_turns (guint worker)
{
  return worker % 2 == 0 ? LONG_TURNS : SHORT_TURNS;
}

/* Returns: turns until the last run of the step has ended */
static guint
simulate_step (gboolean planned)
{
  guint left[WORKERS];
  guint loading[WORKERS] = { 0 };
  gboolean loaded[WORKERS] = { FALSE };
  for (guint i = 0; i < WORKERS; i++)
    left[i] = total_turns (i);
  for (guint turn = 0;; turn++)
    {
      g_autoptr (QuinceLoadPlan) plan = quince_load_plan_new ();
      guint running = 0;
      guint loads = 0;
      for (guint i = 0; i < WORKERS; i++)
        {
          g_autofree char *name = g_strdup_printf ("w%u", i);
          if (left[i] > 0)
            quince_load_plan_record_run (plan, name, (gint64)total_turns (i) * TURN_US);
          running += left[i] > 0;
          loads += loading[i] > 0;
        }
      if (running == 0)
        return turn;
      for (guint i = 0; i < WORKERS; i++)
        {
          g_autofree char *name = g_strdup_printf ("w%u", i);
          gboolean may = !planned || !puts_off (plan, name, 4, 5, (gint64)turn * TURN_US);
          if (!loaded[i] && loading[i] == 0 && loads < LOADS_AT_ONCE && may)
            {
              loading[i] = LOAD_TURNS;
              loads++;
            }
          if (loading[i] > 0)
            loaded[i] = --loading[i] == 0;
          else if (left[i] > 0)
            left[i]--;
        }
    }
}

/* 8.0 s before, 7.0 s now: the longest text alone decides. */
static void
test_deferral_shortens_step (void **state)
{
  assert_int_equal (simulate_step (FALSE), LONG_TURNS + LOAD_TURNS);
  assert_int_equal (simulate_step (TRUE), LONG_TURNS);
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
