/*
 * test-scale-plan.c: lost workers are replaced in the zones that stay, cheapest first, and given back.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "core/scaling/scale-plan.h"

#define ZONES 3
#define INITIAL_WORKERS 16
#define STEP_US (200 * 1000)
#define BUSY 60 /* workers that the open work would keep busy: more than stand there */

/* A platform: what is ordered comes after the time of a start, unless it is told otherwise. */
typedef struct
{
  QuinceScalePlan *plan;
  QuinceScalePlan *heir; /* of another process: it only looks */
  QuinceService *service;
  gint64 now_us;
  guint usual[ZONES];
  guint spot[ZONES];
  gboolean evacuated[ZONES];
  guint needed;
  gboolean none_there[ZONES];
  gboolean mute; /* orders are taken and not answered */
  guint orders;
  QuinceScaleOrder last; /* its zone is one of the names below */
  gint64 last_us;
  struct
  {
    guint desired;
    gint64 at_us; /* 0: nothing comes */
  } coming[ZONES];
} World;

static const char *const names[ZONES] = { "a", "b", "c" };
static const double prices[ZONES] = { 0.85, 1.2, 1.0 };

static World *
world_new (guint boot_ms)
{
  World *world = g_new0 (World, 1);
  world->plan = quince_scale_plan_new ();
  world->heir = quince_scale_plan_new ();
  world->service = quince_service_new ("llm");
  world->service->cold_start_ms = 3000;
  QuinceScaling *scaling = quince_scaling_new ();
  scaling->min_workers = 1;
  scaling->max_workers = 32;
  scaling->boot_ms = boot_ms;
  for (guint i = 0; i < ZONES; i++)
    {
      QuinceZonePrice price = { g_strdup (names[i]), prices[i] };
      g_array_append_val (scaling->prices, price);
      world->usual[i] = INITIAL_WORKERS;
    }
  world->service->scaling = scaling;
  world->now_us = 100 * G_USEC_PER_SEC;
  world->needed = BUSY;
  quince_scale_plan_lead (world->plan, world->now_us);
  return world;
}

static void
world_free (World *world)
{
  quince_scale_plan_free (world->plan);
  quince_scale_plan_free (world->heir);
  quince_service_free (world->service);
  g_free (world);
}

static guint
find (const char *zone)
{
  for (guint i = 0; i < ZONES; i++)
    if (g_str_equal (names[i], zone))
      return i;
  fail_msg ("no zone '%s'", zone);
  return 0;
}

static guint
serving (const World *world)
{
  guint count = 0;
  for (guint i = 0; i < ZONES; i++)
    count += world->evacuated[i] ? 0 : world->usual[i] + world->spot[i];
  return count;
}

static void
handle_order (World *world, QuinceScaleOrder *order)
{
  guint zone = find (order->zone);
  guint *there = &world->usual[zone];
  world->orders++;
  world->last = *order;
  world->last.zone = (char *)names[zone];
  world->last_us = world->now_us;
  QuinceScaleOutcome outcome = QUINCE_SCALE_ACCEPTED;
  if (order->desired > *there && world->none_there[zone])
    outcome = QUINCE_SCALE_NO_CAPACITY;
  else if (order->desired < *there)
    *there = order->desired;
  else
    {
      world->coming[zone].desired = order->desired;
      world->coming[zone].at_us = world->now_us + (gint64)world->service->scaling->boot_ms * 1000;
    }
  if (world->mute && outcome == QUINCE_SCALE_ACCEPTED)
    outcome = QUINCE_SCALE_UNKNOWN;
  quince_scale_plan_order_ended (world->plan, world->now_us, "llm", order, outcome);
}

static void
bring (World *world)
{
  for (guint zone = 0; zone < ZONES; zone++)
    {
      if (world->coming[zone].at_us == 0 || world->now_us < world->coming[zone].at_us)
        continue;
      world->usual[zone] = MAX (world->usual[zone], world->coming[zone].desired);
      world->coming[zone].at_us = 0;
    }
}

static void
step (World *world)
{
  world->now_us += STEP_US;
  bring (world);
  g_autoptr (GArray) zones = g_array_new (FALSE, TRUE, sizeof (QuinceZoneWorkers));
  for (guint i = 0; i < ZONES; i++)
    {
      QuinceZoneWorkers zone = { .zone = names[i], .evacuated = world->evacuated[i] };
      zone.serving = world->evacuated[i] ? 0 : world->usual[i] + world->spot[i];
      zone.spot = world->evacuated[i] ? 0 : world->spot[i];
      g_array_append_val (zones, zone);
    }
  assert_false (quince_scale_plan_step (world->heir, world->now_us, world->service, zones, 0, NULL));
  QuinceScaleOrder order;
  if (!quince_scale_plan_step (world->plan, world->now_us, world->service, zones, world->needed, &order))
    return;
  assert_true (order.desired <= world->service->scaling->max_workers);
  handle_order (world, &order);
  quince_scale_order_clear (&order);
}

static void
run (World *world, double seconds)
{
  for (gint64 end = world->now_us + (gint64)(seconds * G_USEC_PER_SEC); world->now_us < end;)
    step (world);
}

/* What stood there is learned, and nothing was ordered for it. */
static World *
settled_world (guint boot_ms)
{
  World *world = world_new (boot_ms);
  run (world, boot_ms / 1000.0 + 5);
  assert_int_equal (world->orders, 0);
  return world;
}

/* ---- Tests ---------------------------------------------------------------- */

static void
test_nothing_lost (void **state)
{
  World *world = settled_world (4000);
  world->needed = 200;
  run (world, 60);
  assert_int_equal (world->orders, 0);
  assert_int_equal (quince_scale_plan_get_lost (world->plan, "llm"), 0);
  world_free (world);
}

/* One order brings all of them, into the cheapest zone that stays. */
static void
test_evacuated_zone (void **state)
{
  World *world = settled_world (4000);
  world->evacuated[1] = TRUE;
  run (world, 3);
  assert_int_equal (world->orders, 1);
  assert_string_equal (world->last.zone, "a");
  assert_int_equal (world->last.desired, 2 * INITIAL_WORKERS);
  run (world, 30);
  assert_int_equal (world->orders, 1);
  assert_int_equal (serving (world), ZONES * INITIAL_WORKERS);
  world_free (world);
}

/* A zone's workers vanish: nothing is ordered in it, and nothing at all if they are soon back. */
static void
test_replace_vanished_zone (void **state)
{
  World *world = settled_world (4000);
  world->usual[0] = 0;
  run (world, 3);
  world->usual[0] = INITIAL_WORKERS;
  run (world, 20);
  assert_int_equal (world->orders, 0);
  world->usual[0] = 0;
  run (world, 20);
  assert_int_equal (world->orders, 1);
  assert_string_equal (world->last.zone, "c");
  assert_int_equal (serving (world), ZONES * INITIAL_WORKERS);
  world_free (world);
}

/* Workers of all zones crash for good, of some zones in turn for a moment. */
static void
test_crashed_workers (void **state)
{
  World *world = settled_world (4000);
  for (guint i = 0; i < 12; i++)
    {
      world->usual[i % ZONES] -= 4;
      run (world, 1);
      world->usual[i % ZONES] += 4;
      run (world, 1);
    }
  assert_int_equal (world->orders, 0);
  for (guint i = 0; i < ZONES; i++)
    world->usual[i] -= 3;
  run (world, 20);
  assert_int_equal (world->orders, 1);
  assert_int_equal (world->usual[0], INITIAL_WORKERS - 3 + 9);
  world_free (world);
}

static void
test_order_only_needed_workers (void **state)
{
  World *world = settled_world (4000);
  world->needed = 0;
  run (world, 6);
  world->evacuated[1] = TRUE;
  run (world, 10);
  world->needed = 2 * INITIAL_WORKERS; /* those that stay carry it */
  run (world, 10);
  assert_int_equal (world->orders, 0);
  world->needed = 2 * INITIAL_WORKERS + 5;
  run (world, 10);
  assert_int_equal (world->orders, 1);
  assert_int_equal (serving (world), 2 * INITIAL_WORKERS + 5);
  world_free (world);
}

/* The work is done before a worker that takes a minute to start would serve. */
static void
test_start_longer_than_need (void **state)
{
  World *world = settled_world (60000);
  world->evacuated[1] = TRUE;
  run (world, 8);
  world->needed = 0;
  run (world, 120);
  assert_int_equal (world->orders, 0);
  world->needed = BUSY;
  run (world, 30);
  assert_int_equal (world->orders, 1);
  world_free (world);
}

static void
test_zone_limits (void **state)
{
  World *world = settled_world (4000);
  world->service->scaling->max_workers = 20;
  world->evacuated[1] = TRUE;
  run (world, 15);
  assert_int_equal (world->usual[0], 20);
  assert_int_equal (world->usual[2], 20);
  assert_int_equal (world->orders, 2);
  world_free (world);
}

/* What stood there with workers of both kinds. */
static World *
mixed_platform (void)
{
  World *world = world_new (4000);
  for (guint i = 0; i < ZONES; i++)
    {
      world->usual[i] = INITIAL_WORKERS - 6;
      world->spot[i] = 6;
    }
  run (world, 10);
  assert_int_equal (world->orders, 0);
  return world;
}

/* Both kinds of a zone count for its bound; the order counts the usual kind. */
static void
test_zone_limit_includes_spot_workers (void **state)
{
  World *world = mixed_platform ();
  world->service->scaling->max_workers = 20;
  world->evacuated[1] = TRUE;
  run (world, 3);
  assert_int_equal (world->last.desired, INITIAL_WORKERS - 6 + 4);
  run (world, 12);
  assert_int_equal (world->orders, 2);
  assert_int_equal (world->usual[0], INITIAL_WORKERS - 6 + 4);
  assert_int_equal (world->usual[2], INITIAL_WORKERS - 6 + 4);
  world_free (world);
}

/* Those that may go are taken away in all zones, and come back: usual ones stand in for them meanwhile. */
static void
test_reclaimed (void **state)
{
  World *world = mixed_platform ();
  for (guint i = 0; i < ZONES; i++)
    world->spot[i] = 0;
  run (world, 15);
  assert_int_equal (world->orders, 1);
  assert_int_equal (serving (world), ZONES * INITIAL_WORKERS);
  assert_int_equal (world->usual[0], INITIAL_WORKERS - 6 + 3 * 6);
  for (guint i = 0; i < ZONES; i++)
    world->spot[i] = 6;
  run (world, 60);
  assert_int_equal (serving (world), ZONES * INITIAL_WORKERS);
  assert_int_equal (world->usual[0], INITIAL_WORKERS - 6);
  world_free (world);
}

/* 409 in one zone: the next one at once.  In all: asked again with growing pauses. */
static void
test_none_there (void **state)
{
  World *world = settled_world (4000);
  world->none_there[0] = TRUE;
  world->evacuated[1] = TRUE;
  run (world, 10);
  assert_int_equal (world->orders, 2);
  assert_int_equal (world->usual[2], 2 * INITIAL_WORKERS);
  world_free (world);

  world = settled_world (4000);
  world->none_there[0] = world->none_there[2] = TRUE;
  world->evacuated[1] = TRUE;
  run (world, 60);
  assert_in_range (world->orders, 6, 14);
  world->none_there[2] = FALSE;
  run (world, 40);
  assert_int_equal (serving (world), ZONES * INITIAL_WORKERS);
  world_free (world);
}

/* An order without an answer is given again, as it was. */
static void
test_retry_unanswered_order (void **state)
{
  World *world = settled_world (4000);
  world->mute = TRUE;
  world->evacuated[1] = TRUE;
  run (world, 3);
  assert_int_equal (world->orders, 1);
  guint desired = world->last.desired;
  run (world, 2);
  assert_int_equal (world->orders, 2);
  assert_string_equal (world->last.zone, "a");
  assert_int_equal (world->last.desired, desired);
  world->mute = FALSE;
  run (world, 20);
  assert_int_equal (serving (world), ZONES * INITIAL_WORKERS);
  assert_in_range (world->orders, 2, 3);
  world_free (world);
}

static void
test_release_surplus (void **state)
{
  World *world = settled_world (4000);
  world->evacuated[1] = TRUE;
  run (world, 20);
  guint orders = world->orders;
  world->evacuated[1] = FALSE;
  run (world, 5);
  assert_int_equal (world->orders, orders);
  guint before = serving (world);
  gint64 last_us = 0;
  for (guint i = 0; i < 300; i++)
    {
      step (world);
      assert_true (serving (world) >= ZONES * INITIAL_WORKERS);
      if (serving (world) == before)
        continue;
      assert_in_range (before - serving (world), 1, 4);
      assert_true (world->last_us - last_us >= 2 * G_USEC_PER_SEC);
      last_us = world->last_us;
      before = serving (world);
    }
  assert_int_equal (serving (world), ZONES * INITIAL_WORKERS);
  assert_int_equal (world->usual[0], INITIAL_WORKERS);
  world_free (world);
}

/* What an operator added is not given back. */
static void
test_keep_externally_added_workers (void **state)
{
  World *world = settled_world (4000);
  world->usual[1] += 8;
  run (world, 60);
  assert_int_equal (world->orders, 0);
  world_free (world);
}

/* A zone that is evacuated and taken back by turns. */
static void
test_flapping_zone (void **state)
{
  World *world = settled_world (4000);
  for (guint i = 0; i < 20; i++)
    {
      world->evacuated[1] = !world->evacuated[1];
      run (world, 4);
    }
  assert_in_range (world->orders, 1, 2);
  world_free (world);
}

/* Each of many random losses: counts stay in their bounds, orders are bounded by time, all comes back. */
static void
test_random_losses (void **state)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (7);
  World *world = settled_world (4000);
  gint64 began_us = world->now_us;
  for (guint i = 0; i < 400; i++)
    {
      guint zone = (guint)g_rand_int_range (random, 0, ZONES);
      guint crashed = (guint)g_rand_int_range (random, 0, 5);
      switch (g_rand_int_range (random, 0, 5))
        {
        case 0:
          world->evacuated[zone] = !world->evacuated[zone];
          break;
        case 1:
          world->usual[zone] -= MIN (world->usual[zone], crashed);
          break;
        case 2:
          world->spot[zone] = crashed;
          break;
        case 3:
          world->none_there[zone] = !world->none_there[zone];
          break;
        default:
          world->mute = !world->mute;
        }
      run (world, g_rand_double_range (random, 0.2, 8));
    }
  assert_true (world->orders <= (guint)((world->now_us - began_us) / G_USEC_PER_SEC));
  for (guint i = 0; i < ZONES; i++)
    world->none_there[i] = world->evacuated[i] = FALSE;
  world->mute = FALSE;
  run (world, 120);
  assert_true (serving (world) >= ZONES * INITIAL_WORKERS);
  world_free (world);
}

/* A new leader has seen what stood there.  It waits for what the former one may have ordered. */
static void
test_new_leader (void **state)
{
  World *world = settled_world (4000);
  world->evacuated[1] = TRUE;
  quince_scale_plan_lead (world->plan, world->now_us);
  run (world, 5.5);
  assert_int_equal (world->orders, 0);
  run (world, 2);
  assert_int_equal (world->orders, 1);
  assert_int_equal (world->last.desired, 2 * INITIAL_WORKERS);
  world_free (world);

  /* What the former one ordered is there by then. */
  world = settled_world (4000);
  world->evacuated[1] = TRUE;
  quince_scale_plan_lead (world->plan, world->now_us);
  run (world, 3);
  world->usual[2] = 2 * INITIAL_WORKERS;
  run (world, 30);
  assert_int_equal (world->orders, 0);
  world_free (world);
}

/* Another process leads from now on. */
static void
succeed (World *world)
{
  QuinceScalePlan *before = world->plan;
  world->plan = world->heir;
  world->heir = before;
  quince_scale_plan_lead (world->plan, world->now_us);
}

/* Workers that somebody else added stay, also when their own zone was lost and comes back. */
static void
test_keep_external_workers_of_recovered_zone (void **state)
{
  World *world = settled_world (4000);
  world->usual[1] += 8;
  run (world, 10);
  world->evacuated[1] = TRUE;
  run (world, 30);
  world->evacuated[1] = FALSE;
  run (world, 60);
  assert_true (world->usual[1] >= INITIAL_WORKERS + 8);
  assert_true (serving (world) >= ZONES * INITIAL_WORKERS + 8);
  world_free (world);
}

/* A process that learned while a zone was gone takes none of its workers for replacements of a few others. */
static void
test_leader_started_during_zone_loss (void **state)
{
  World *world = settled_world (4000);
  g_clear_pointer (&world->plan, quince_scale_plan_free);
  world->plan = quince_scale_plan_new ();
  quince_scale_plan_lead (world->plan, world->now_us);
  world->usual[1] = 0;
  run (world, 10);
  world->usual[0] -= 1;
  run (world, 2);
  world->usual[1] = INITIAL_WORKERS;
  run (world, 90);
  assert_true (serving (world) >= ZONES * INITIAL_WORKERS - 2);
  world_free (world);
}

/* The heir knows what was added in place of lost workers, and gives back just that. */
static void
test_heir_gives_back (void **state)
{
  World *world = settled_world (4000);
  world->usual[2] += 3; /* somebody else's */
  run (world, 10);
  world->evacuated[1] = TRUE;
  run (world, 3);
  succeed (world); /* before they are listed */
  run (world, 20);
  assert_int_equal (world->orders, 1);
  world->evacuated[1] = FALSE;
  run (world, 5);
  succeed (world);
  run (world, 60);
  assert_int_equal (serving (world), ZONES * INITIAL_WORKERS + 3);
  assert_int_equal (world->usual[2], INITIAL_WORKERS + 3);
  assert_int_equal (world->usual[0], INITIAL_WORKERS);
  world_free (world);
}

static void
test_slots_needed (void **state)
{
  const gint64 second = G_USEC_PER_SEC;
  /* 1 s of work in half of 8 s: a quarter of a place; with each second less is left. */
  assert_float_equal (quince_scale_slots_needed (second, 0, 8 * second), 0.25, 1e-9);
  assert_float_equal (quince_scale_slots_needed (second, 2 * second, 8 * second), 0.5, 1e-9);
  /* Late, or not known: a place of its own, and never more than one. */
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
    cmocka_unit_test (test_reclaimed),
    cmocka_unit_test (test_none_there),
    cmocka_unit_test (test_retry_unanswered_order),
    cmocka_unit_test (test_release_surplus),
    cmocka_unit_test (test_keep_externally_added_workers),
    cmocka_unit_test (test_flapping_zone),
    cmocka_unit_test (test_random_losses),
    cmocka_unit_test (test_new_leader),
    cmocka_unit_test (test_keep_external_workers_of_recovered_zone),
    cmocka_unit_test (test_leader_started_during_zone_loss),
    cmocka_unit_test (test_heir_gives_back),
    cmocka_unit_test (test_slots_needed),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
