/*
 * scale-simulation.h: simulates a platform that starts and releases the workers that a scale plan orders.
 */
#pragma once

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "core/scaling/scale-plan.h"

#define ZONES 3
#define INITIAL_WORKERS 16
#define STEP_US (200 * 1000)
#define NEEDED_WORKERS 60 /* more than the initial workers of all zones */

/* Simulates a platform on which ordered workers start after the boot time, unless a zone has no capacity. */
typedef struct
{
  QuinceScalePlan *plan;
  QuinceScalePlan *standby; /* plan of another replica that does not lead */
  QuinceService *service;
  gint64 now_us;
  guint on_demand[ZONES];
  guint spot[ZONES];
  gboolean evacuated[ZONES];
  guint needed;
  gboolean no_capacity[ZONES];
  gboolean unanswered; /* orders are accepted, but not answered */
  guint n_orders;
  QuinceScaleOrder last_order; /* its zone points into names */
  gint64 last_order_us;
  struct
  {
    guint desired;
    gint64 ready_us; /* 0: no worker is starting */
  } starting[ZONES];
} Simulation;

static const char *const names[ZONES] = { "a", "b", "c" };
static const double prices[ZONES] = { 0.85, 1.2, 1.0 };

static inline Simulation *
simulation_new (guint boot_ms)
{
  Simulation *simulation = g_new0 (Simulation, 1);
  simulation->plan = quince_scale_plan_new ();
  simulation->standby = quince_scale_plan_new ();
  simulation->service = quince_service_new ("llm");
  simulation->service->cold_start_ms = 3000;
  QuinceScaling *scaling = quince_scaling_new ();
  scaling->min_workers = 1;
  scaling->max_workers = 32;
  scaling->boot_ms = boot_ms;
  for (guint i = 0; i < ZONES; i++)
    {
      QuinceZonePrice price = { g_strdup (names[i]), prices[i] };
      g_array_append_val (scaling->prices, price);
      simulation->on_demand[i] = INITIAL_WORKERS;
    }
  simulation->service->scaling = scaling;
  simulation->now_us = 100 * G_USEC_PER_SEC;
  simulation->needed = NEEDED_WORKERS;
  quince_scale_plan_start_leading (simulation->plan, simulation->now_us);
  return simulation;
}

static inline void
simulation_free (Simulation *simulation)
{
  quince_scale_plan_free (simulation->plan);
  quince_scale_plan_free (simulation->standby);
  quince_service_free (simulation->service);
  g_free (simulation);
}

static inline guint
find_zone (const char *zone)
{
  for (guint i = 0; i < ZONES; i++)
    if (g_str_equal (names[i], zone))
      return i;
  fail_msg ("no zone '%s'", zone);
  return 0;
}

static inline guint
count_serving (const Simulation *simulation)
{
  guint count = 0;
  for (guint i = 0; i < ZONES; i++)
    count += simulation->evacuated[i] ? 0 : simulation->on_demand[i] + simulation->spot[i];
  return count;
}

static inline void
handle_order (Simulation *simulation, QuinceScaleOrder *order)
{
  guint zone = find_zone (order->zone);
  guint *workers = &simulation->on_demand[zone];
  simulation->n_orders++;
  simulation->last_order = *order;
  simulation->last_order.zone = (char *)names[zone];
  simulation->last_order_us = simulation->now_us;
  QuinceScaleOutcome outcome = QUINCE_SCALE_ACCEPTED;
  if (order->desired > *workers && simulation->no_capacity[zone])
    outcome = QUINCE_SCALE_NO_CAPACITY;
  else if (order->desired < *workers)
    *workers = order->desired;
  else
    {
      simulation->starting[zone].desired = order->desired;
      simulation->starting[zone].ready_us
          = simulation->now_us + (gint64)simulation->service->scaling->boot_ms * 1000;
    }
  if (simulation->unanswered && outcome == QUINCE_SCALE_ACCEPTED)
    outcome = QUINCE_SCALE_UNKNOWN;
  quince_scale_plan_order_ended (simulation->plan, simulation->now_us, "llm", order, outcome);
}

static inline void
start_ordered_workers (Simulation *simulation)
{
  for (guint zone = 0; zone < ZONES; zone++)
    {
      if (simulation->starting[zone].ready_us == 0
          || simulation->now_us < simulation->starting[zone].ready_us)
        continue;
      simulation->on_demand[zone] = MAX (simulation->on_demand[zone], simulation->starting[zone].desired);
      simulation->starting[zone].ready_us = 0;
    }
}

static inline void
step (Simulation *simulation)
{
  simulation->now_us += STEP_US;
  start_ordered_workers (simulation);
  g_autoptr (GArray) zones = g_array_new (FALSE, TRUE, sizeof (QuinceZoneWorkers));
  for (guint i = 0; i < ZONES; i++)
    {
      QuinceZoneWorkers zone = { .zone = names[i], .evacuated = simulation->evacuated[i] };
      zone.serving = simulation->evacuated[i] ? 0 : simulation->on_demand[i] + simulation->spot[i];
      zone.spot = simulation->evacuated[i] ? 0 : simulation->spot[i];
      g_array_append_val (zones, zone);
    }
  assert_false (
      quince_scale_plan_step (simulation->standby, simulation->now_us, simulation->service, zones, 0, NULL));
  QuinceScaleOrder order;
  if (!quince_scale_plan_step (simulation->plan, simulation->now_us, simulation->service, zones,
                               simulation->needed, &order))
    return;
  assert_true (order.desired <= simulation->service->scaling->max_workers);
  handle_order (simulation, &order);
  quince_scale_order_clear (&order);
}

static inline void
run (Simulation *simulation, double seconds)
{
  for (gint64 end = simulation->now_us + (gint64)(seconds * G_USEC_PER_SEC); simulation->now_us < end;)
    step (simulation);
}

/* Returns a simulation in which the plan has recorded the initial workers and issued no order. */
static inline Simulation *
settled_simulation (guint boot_ms)
{
  Simulation *simulation = simulation_new (boot_ms);
  run (simulation, boot_ms / 1000.0 + 5);
  assert_int_equal (simulation->n_orders, 0);
  return simulation;
}
