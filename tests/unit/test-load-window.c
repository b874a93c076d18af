/*
 * test-load-window.c: guards against too many or too few concurrent loads from storage of unknown bandwidth.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/weights/load-window.h"

#define UNCONTENDED_LOAD_US (900 * 1000)
#define CHECK_INTERVAL_US (80 * 1000)
#define TICK_US (20 * 1000)
#define WORKERS_MAX 600

/* Simulates workers that load repeatedly, with as many concurrent loads as the window allows.  The loads
 * share the bandwidth of the source, which completes source_capacity concurrent loads without delay. */
typedef struct
{
  QuinceLoadWindow window;
  guint source_capacity;
  guint max_loads;
  gint64 now_us;
  guint active_loads;
  gint64 started_us[WORKERS_MAX];
  double remaining_us[WORKERS_MAX];
  guint completed_loads;
  gint64 total_duration_us; /* sum over all completed loads */
  guint peak_active_loads;
} Simulation;

static void
complete_load (Simulation *simulation, guint i)
{
  /* The next poll notices the end of the load. */
  gint64 duration_us = simulation->now_us - simulation->started_us[i] + CHECK_INTERVAL_US;
  simulation->completed_loads++;
  simulation->total_duration_us += duration_us;
  quince_load_window_record_load (&simulation->window, simulation->started_us[i] + duration_us,
                                  simulation->started_us[i], simulation->max_loads);
  simulation->active_loads--;
  simulation->started_us[i] = simulation->started_us[simulation->active_loads];
  simulation->remaining_us[i] = simulation->remaining_us[simulation->active_loads];
}

static void
run (Simulation *simulation, guint seconds)
{
  simulation->completed_loads = 0;
  simulation->total_duration_us = 0;
  for (guint tick = 0; tick < seconds * (G_USEC_PER_SEC / TICK_US); tick++)
    {
      simulation->now_us += TICK_US;
      double progress_rate = simulation->active_loads > simulation->source_capacity
                                 ? (double)simulation->source_capacity / simulation->active_loads
                                 : 1;
      for (guint i = simulation->active_loads; i > 0; i--)
        if ((simulation->remaining_us[i - 1] -= progress_rate * TICK_US) <= 0)
          complete_load (simulation, i - 1);
      while (simulation->active_loads
             < quince_load_window_get_size (&simulation->window, simulation->max_loads))
        {
          simulation->started_us[simulation->active_loads] = simulation->now_us;
          simulation->remaining_us[simulation->active_loads++] = UNCONTENDED_LOAD_US;
        }
      simulation->peak_active_loads = MAX (simulation->peak_active_loads, simulation->active_loads);
    }
}

static gint64
get_mean_duration_us (const Simulation *simulation)
{
  return simulation->total_duration_us / MAX (simulation->completed_loads, 1);
}

/* The source sustains 10 concurrent loads of 564 allowed: loads stay short and most of its bandwidth is used.
 */
static void
test_slow_source (void **state)
{
  Simulation simulation = { .source_capacity = 10, .max_loads = 564, .now_us = 1 };
  run (&simulation, 10);
  run (&simulation, 60);
  print_message ("peak of %u concurrent loads, %u loads in a minute, mean duration %.2f s\n",
                 simulation.peak_active_loads, simulation.completed_loads,
                 (double)get_mean_duration_us (&simulation) / G_USEC_PER_SEC);
  assert_true (simulation.peak_active_loads < 30);
  assert_true (get_mean_duration_us (&simulation) < 16 * UNCONTENDED_LOAD_US / 10);
  assert_true (simulation.completed_loads > 60 * 8);
}

/* The source sustains all allowed loads: the window reaches the limit within 6 s. */
static void
test_fast_source (void **state)
{
  Simulation simulation = { .source_capacity = 1000, .max_loads = 200, .now_us = 1 };
  run (&simulation, 6);
  assert_int_equal (quince_load_window_get_size (&simulation.window, simulation.max_loads), 200);
  assert_true (get_mean_duration_us (&simulation) < 12 * UNCONTENDED_LOAD_US / 10);
}

/* The window stays at the limit of a small service, whatever the duration of the loads. */
static void
test_small_service (void **state)
{
  Simulation simulation = { .source_capacity = 2, .max_loads = 2, .now_us = 1 };
  run (&simulation, 20);
  assert_int_equal (simulation.peak_active_loads, 2);
  assert_int_equal (quince_load_window_get_size (&simulation.window, 2), 2);
  assert_int_equal (quince_load_window_get_size (&simulation.window, 0), 1);
}

/* Loads that started before the window shrank do not shrink it again. */
static void
test_single_decrease_per_round (void **state)
{
  QuinceLoadWindow window = { 0 };
  gint64 started = 1;
  quince_load_window_record_load (&window, started + UNCONTENDED_LOAD_US, started, 100);
  for (guint i = 0; i < 40; i++)
    quince_load_window_record_load (&window, started + 5 * UNCONTENDED_LOAD_US + i, started, 100);
  assert_true (quince_load_window_get_size (&window, 100) >= 6);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_slow_source),
    cmocka_unit_test (test_fast_source),
    cmocka_unit_test (test_small_service),
    cmocka_unit_test (test_single_decrease_per_round),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
