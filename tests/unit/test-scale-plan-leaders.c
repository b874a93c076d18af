/*
 * test-scale-plan-leaders.c: guards against workers that a new leader orders again, or releases although it
 * did not order them.
 */
#include "scale-simulation.h"

/* A new leader has recorded the initial workers itself, and first waits for workers that the previous leader
 * may have ordered. */
static void
test_new_leader (void **state)
{
  Simulation *simulation = settled_simulation (4000);
  simulation->evacuated[1] = TRUE;
  quince_scale_plan_start_leading (simulation->plan, simulation->now_us);
  run (simulation, 5.5);
  assert_int_equal (simulation->n_orders, 0);
  run (simulation, 2);
  assert_int_equal (simulation->n_orders, 1);
  assert_int_equal (simulation->last_order.desired, 2 * INITIAL_WORKERS);
  simulation_free (simulation);

  /* The workers that the previous leader ordered arrive during the wait. */
  simulation = settled_simulation (4000);
  simulation->evacuated[1] = TRUE;
  quince_scale_plan_start_leading (simulation->plan, simulation->now_us);
  run (simulation, 3);
  simulation->on_demand[2] = 2 * INITIAL_WORKERS;
  run (simulation, 30);
  assert_int_equal (simulation->n_orders, 0);
  simulation_free (simulation);
}

/* Makes the standby the leader. */
static void
switch_leader (Simulation *simulation)
{
  QuinceScalePlan *before = simulation->plan;
  simulation->plan = simulation->standby;
  simulation->standby = before;
  quince_scale_plan_start_leading (simulation->plan, simulation->now_us);
}

/* Workers that an operator added are not released, even after their zone was lost and has returned. */
static void
test_keep_external_workers_of_recovered_zone (void **state)
{
  Simulation *simulation = settled_simulation (4000);
  simulation->on_demand[1] += 8;
  run (simulation, 10);
  simulation->evacuated[1] = TRUE;
  run (simulation, 30);
  simulation->evacuated[1] = FALSE;
  run (simulation, 60);
  assert_true (simulation->on_demand[1] >= INITIAL_WORKERS + 8);
  assert_true (count_serving (simulation) >= ZONES * INITIAL_WORKERS + 8);
  simulation_free (simulation);
}

/* A replica that recorded the initial workers while a zone was down does not treat the returning workers of
 * that zone as replacements for a few other lost workers. */
static void
test_leader_started_during_zone_loss (void **state)
{
  Simulation *simulation = settled_simulation (4000);
  g_clear_pointer (&simulation->plan, quince_scale_plan_free);
  simulation->plan = quince_scale_plan_new ();
  quince_scale_plan_start_leading (simulation->plan, simulation->now_us);
  simulation->on_demand[1] = 0;
  run (simulation, 10);
  simulation->on_demand[0] -= 1;
  run (simulation, 2);
  simulation->on_demand[1] = INITIAL_WORKERS;
  run (simulation, 90);
  assert_true (count_serving (simulation) >= ZONES * INITIAL_WORKERS - 2);
  simulation_free (simulation);
}

/* A new leader releases exactly the replacements that the previous leader ordered. */
static void
test_new_leader_releases_replacements (void **state)
{
  Simulation *simulation = settled_simulation (4000);
  simulation->on_demand[2] += 3; /* added by an operator */
  run (simulation, 10);
  simulation->evacuated[1] = TRUE;
  run (simulation, 3);
  switch_leader (simulation); /* before the ordered workers are listed */
  run (simulation, 20);
  assert_int_equal (simulation->n_orders, 1);
  simulation->evacuated[1] = FALSE;
  run (simulation, 5);
  switch_leader (simulation);
  run (simulation, 60);
  assert_int_equal (count_serving (simulation), ZONES * INITIAL_WORKERS + 3);
  assert_int_equal (simulation->on_demand[2], INITIAL_WORKERS + 3);
  assert_int_equal (simulation->on_demand[0], INITIAL_WORKERS);
  simulation_free (simulation);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_new_leader),
    cmocka_unit_test (test_keep_external_workers_of_recovered_zone),
    cmocka_unit_test (test_leader_started_during_zone_loss),
    cmocka_unit_test (test_new_leader_releases_replacements),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
