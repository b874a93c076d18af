/*
 * test-scale-plan.c: guards against lost workers that are not replaced, and against replacements that are
 * ordered twice, in the wrong zone or never released.
 */
#include "scale-simulation.h"

/* ---- Tests ---------------------------------------------------------------- */

static void
test_nothing_lost (void **state)
{
  Simulation *simulation = settled_simulation (4000);
  simulation->needed = 200;
  run (simulation, 60);
  assert_int_equal (simulation->n_orders, 0);
  assert_int_equal (quince_scale_plan_get_lost (simulation->plan, "llm"), 0);
  simulation_free (simulation);
}

/* One order replaces all workers of the zone, in the cheapest remaining zone. */
static void
test_evacuated_zone (void **state)
{
  Simulation *simulation = settled_simulation (4000);
  simulation->evacuated[1] = TRUE;
  run (simulation, 3);
  assert_int_equal (simulation->n_orders, 1);
  assert_string_equal (simulation->last_order.zone, "a");
  assert_int_equal (simulation->last_order.desired, 2 * INITIAL_WORKERS);
  run (simulation, 30);
  assert_int_equal (simulation->n_orders, 1);
  assert_int_equal (count_serving (simulation), ZONES * INITIAL_WORKERS);
  simulation_free (simulation);
}

/* All workers of a zone disappear.  Nothing is ordered if they return soon; otherwise they are replaced in
 * another zone. */
static void
test_replace_vanished_zone (void **state)
{
  Simulation *simulation = settled_simulation (4000);
  simulation->on_demand[0] = 0;
  run (simulation, 3);
  simulation->on_demand[0] = INITIAL_WORKERS;
  run (simulation, 20);
  assert_int_equal (simulation->n_orders, 0);
  simulation->on_demand[0] = 0;
  run (simulation, 20);
  assert_int_equal (simulation->n_orders, 1);
  assert_string_equal (simulation->last_order.zone, "c");
  assert_int_equal (count_serving (simulation), ZONES * INITIAL_WORKERS);
  simulation_free (simulation);
}

/* Workers that return after a moment are not replaced; workers of several zones that stay away are. */
static void
test_crashed_workers (void **state)
{
  Simulation *simulation = settled_simulation (4000);
  for (guint i = 0; i < 12; i++)
    {
      simulation->on_demand[i % ZONES] -= 4;
      run (simulation, 1);
      simulation->on_demand[i % ZONES] += 4;
      run (simulation, 1);
    }
  assert_int_equal (simulation->n_orders, 0);
  for (guint i = 0; i < ZONES; i++)
    simulation->on_demand[i] -= 3;
  run (simulation, 20);
  assert_int_equal (simulation->n_orders, 1);
  assert_int_equal (simulation->on_demand[0], INITIAL_WORKERS - 3 + 9);
  simulation_free (simulation);
}

static void
test_order_only_needed_workers (void **state)
{
  Simulation *simulation = settled_simulation (4000);
  simulation->needed = 0;
  run (simulation, 6);
  simulation->evacuated[1] = TRUE;
  run (simulation, 10);
  simulation->needed = 2 * INITIAL_WORKERS; /* as many as remain */
  run (simulation, 10);
  assert_int_equal (simulation->n_orders, 0);
  simulation->needed = 2 * INITIAL_WORKERS + 5;
  run (simulation, 10);
  assert_int_equal (simulation->n_orders, 1);
  assert_int_equal (count_serving (simulation), 2 * INITIAL_WORKERS + 5);
  simulation_free (simulation);
}

/* Nothing is ordered if the work is done before a worker that boots for a minute could serve. */
static void
test_start_longer_than_need (void **state)
{
  Simulation *simulation = settled_simulation (60000);
  simulation->evacuated[1] = TRUE;
  run (simulation, 8);
  simulation->needed = 0;
  run (simulation, 120);
  assert_int_equal (simulation->n_orders, 0);
  simulation->needed = NEEDED_WORKERS;
  run (simulation, 30);
  assert_int_equal (simulation->n_orders, 1);
  simulation_free (simulation);
}

static void
test_zone_limits (void **state)
{
  Simulation *simulation = settled_simulation (4000);
  simulation->service->scaling->max_workers = 20;
  simulation->evacuated[1] = TRUE;
  run (simulation, 15);
  assert_int_equal (simulation->on_demand[0], 20);
  assert_int_equal (simulation->on_demand[2], 20);
  assert_int_equal (simulation->n_orders, 2);
  simulation_free (simulation);
}

/* Returns a simulation whose initial workers include spot workers. */
static Simulation *
simulation_with_spot_workers (void)
{
  Simulation *simulation = simulation_new (4000);
  for (guint i = 0; i < ZONES; i++)
    {
      simulation->on_demand[i] = INITIAL_WORKERS - 6;
      simulation->spot[i] = 6;
    }
  run (simulation, 10);
  assert_int_equal (simulation->n_orders, 0);
  return simulation;
}

/* The limit of a zone includes spot workers; an order counts only on-demand workers. */
static void
test_zone_limit_includes_spot_workers (void **state)
{
  Simulation *simulation = simulation_with_spot_workers ();
  simulation->service->scaling->max_workers = 20;
  simulation->evacuated[1] = TRUE;
  run (simulation, 3);
  assert_int_equal (simulation->last_order.desired, INITIAL_WORKERS - 6 + 4);
  run (simulation, 12);
  assert_int_equal (simulation->n_orders, 2);
  assert_int_equal (simulation->on_demand[0], INITIAL_WORKERS - 6 + 4);
  assert_int_equal (simulation->on_demand[2], INITIAL_WORKERS - 6 + 4);
  simulation_free (simulation);
}

/* On-demand workers replace spot workers that are reclaimed in all zones, until the spot workers return. */
static void
test_replace_reclaimed_spot_workers (void **state)
{
  Simulation *simulation = simulation_with_spot_workers ();
  for (guint i = 0; i < ZONES; i++)
    simulation->spot[i] = 0;
  run (simulation, 15);
  assert_int_equal (simulation->n_orders, 1);
  assert_int_equal (count_serving (simulation), ZONES * INITIAL_WORKERS);
  assert_int_equal (simulation->on_demand[0], INITIAL_WORKERS - 6 + 3 * 6);
  for (guint i = 0; i < ZONES; i++)
    simulation->spot[i] = 6;
  run (simulation, 60);
  assert_int_equal (count_serving (simulation), ZONES * INITIAL_WORKERS);
  assert_int_equal (simulation->on_demand[0], INITIAL_WORKERS - 6);
  simulation_free (simulation);
}

/* If one zone has no capacity, the next one is tried.  If no zone has capacity, orders are retried with an
 * increasing back-off. */
static void
test_zone_without_capacity (void **state)
{
  Simulation *simulation = settled_simulation (4000);
  simulation->no_capacity[0] = TRUE;
  simulation->evacuated[1] = TRUE;
  run (simulation, 10);
  assert_int_equal (simulation->n_orders, 2);
  assert_int_equal (simulation->on_demand[2], 2 * INITIAL_WORKERS);
  simulation_free (simulation);

  simulation = settled_simulation (4000);
  simulation->no_capacity[0] = simulation->no_capacity[2] = TRUE;
  simulation->evacuated[1] = TRUE;
  run (simulation, 60);
  assert_in_range (simulation->n_orders, 6, 14);
  simulation->no_capacity[2] = FALSE;
  run (simulation, 40);
  assert_int_equal (count_serving (simulation), ZONES * INITIAL_WORKERS);
  simulation_free (simulation);
}

/* An order without an answer is retried unchanged. */
static void
test_retry_unanswered_order (void **state)
{
  Simulation *simulation = settled_simulation (4000);
  simulation->unanswered = TRUE;
  simulation->evacuated[1] = TRUE;
  run (simulation, 3);
  assert_int_equal (simulation->n_orders, 1);
  guint desired = simulation->last_order.desired;
  run (simulation, 2);
  assert_int_equal (simulation->n_orders, 2);
  assert_string_equal (simulation->last_order.zone, "a");
  assert_int_equal (simulation->last_order.desired, desired);
  simulation->unanswered = FALSE;
  run (simulation, 20);
  assert_int_equal (count_serving (simulation), ZONES * INITIAL_WORKERS);
  assert_in_range (simulation->n_orders, 2, 3);
  simulation_free (simulation);
}

static void
test_release_surplus (void **state)
{
  Simulation *simulation = settled_simulation (4000);
  simulation->evacuated[1] = TRUE;
  run (simulation, 20);
  guint n_orders = simulation->n_orders;
  simulation->evacuated[1] = FALSE;
  run (simulation, 5);
  assert_int_equal (simulation->n_orders, n_orders);
  guint before = count_serving (simulation);
  gint64 last_order_us = 0;
  for (guint i = 0; i < 300; i++)
    {
      step (simulation);
      assert_true (count_serving (simulation) >= ZONES * INITIAL_WORKERS);
      if (count_serving (simulation) == before)
        continue;
      assert_in_range (before - count_serving (simulation), 1, 4);
      assert_true (simulation->last_order_us - last_order_us >= 2 * G_USEC_PER_SEC);
      last_order_us = simulation->last_order_us;
      before = count_serving (simulation);
    }
  assert_int_equal (count_serving (simulation), ZONES * INITIAL_WORKERS);
  assert_int_equal (simulation->on_demand[0], INITIAL_WORKERS);
  simulation_free (simulation);
}

/* Workers that an operator added are not released. */
static void
test_keep_externally_added_workers (void **state)
{
  Simulation *simulation = settled_simulation (4000);
  simulation->on_demand[1] += 8;
  run (simulation, 60);
  assert_int_equal (simulation->n_orders, 0);
  simulation_free (simulation);
}

/* A zone is evacuated and restored again and again: orders stay few. */
static void
test_flapping_zone (void **state)
{
  Simulation *simulation = settled_simulation (4000);
  for (guint i = 0; i < 20; i++)
    {
      simulation->evacuated[1] = !simulation->evacuated[1];
      run (simulation, 4);
    }
  assert_in_range (simulation->n_orders, 1, 2);
  simulation_free (simulation);
}

/* After random losses and failures the counts stay within their limits, the rate of orders is limited, and
 * all workers are restored. */
static void
test_random_losses (void **state)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (7);
  Simulation *simulation = settled_simulation (4000);
  gint64 began_us = simulation->now_us;
  for (guint i = 0; i < 400; i++)
    {
      guint zone = (guint)g_rand_int_range (random, 0, ZONES);
      guint crashed = (guint)g_rand_int_range (random, 0, 5);
      switch (g_rand_int_range (random, 0, 5))
        {
        case 0:
          simulation->evacuated[zone] = !simulation->evacuated[zone];
          break;
        case 1:
          simulation->on_demand[zone] -= MIN (simulation->on_demand[zone], crashed);
          break;
        case 2:
          simulation->spot[zone] = crashed;
          break;
        case 3:
          simulation->no_capacity[zone] = !simulation->no_capacity[zone];
          break;
        default:
          simulation->unanswered = !simulation->unanswered;
        }
      run (simulation, g_rand_double_range (random, 0.2, 8));
    }
  assert_true (simulation->n_orders <= (guint)((simulation->now_us - began_us) / G_USEC_PER_SEC));
  for (guint i = 0; i < ZONES; i++)
    simulation->no_capacity[i] = simulation->evacuated[i] = FALSE;
  simulation->unanswered = FALSE;
  run (simulation, 120);
  assert_true (count_serving (simulation) >= ZONES * INITIAL_WORKERS);
  simulation_free (simulation);
}

static void
test_slots_needed (void **state)
{
  const gint64 second = G_USEC_PER_SEC;
  /* 1 s of work within half of 8 s needs a quarter of a slot; the share rises as the time passes. */
  assert_float_equal (quince_scale_slots_needed (second, 0, 8 * second), 0.25, 1e-9);
  assert_float_equal (quince_scale_slots_needed (second, 2 * second, 8 * second), 0.5, 1e-9);
  /* Late work, or work of unknown size or deadline, needs exactly one slot. */
  assert_float_equal (quince_scale_slots_needed (second, 3.5 * second, 8 * second), 1, 1e-9);
  assert_float_equal (quince_scale_slots_needed (second, 60 * second, 8 * second), 1, 1e-9);
  assert_float_equal (quince_scale_slots_needed (30 * second, 0, 8 * second), 1, 1e-9);
  assert_float_equal (quince_scale_slots_needed (0, 0, 8 * second), 1, 1e-9);
  assert_float_equal (quince_scale_slots_needed (second, 0, 0), 1, 1e-9);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_nothing_lost),
    cmocka_unit_test (test_evacuated_zone),
    cmocka_unit_test (test_replace_vanished_zone),
    cmocka_unit_test (test_crashed_workers),
    cmocka_unit_test (test_order_only_needed_workers),
    cmocka_unit_test (test_start_longer_than_need),
    cmocka_unit_test (test_zone_limits),
    cmocka_unit_test (test_zone_limit_includes_spot_workers),
    cmocka_unit_test (test_replace_reclaimed_spot_workers),
    cmocka_unit_test (test_zone_without_capacity),
    cmocka_unit_test (test_retry_unanswered_order),
    cmocka_unit_test (test_release_surplus),
    cmocka_unit_test (test_keep_externally_added_workers),
    cmocka_unit_test (test_flapping_zone),
    cmocka_unit_test (test_random_losses),
    cmocka_unit_test (test_slots_needed),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
