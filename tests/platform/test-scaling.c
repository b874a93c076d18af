/*
 * test-scaling.c: workers are ordered in place of lost ones, by one machine, whoever leads and whatever
 * becomes of its calls; and given back.
 */
#include "scaling-world.h"

#include "platform.h"

/* A new order is a second order: none comes in so long after all that was lost is replaced. */
#define QUIET_MS 4000
/* More than four workers run at once, and less than they end in half of the time in which they are due. */
#define FEW_SAMPLES 5
#define BOOT_MS 500
/* Longer than it takes until another one leads and may order. */
#define LONG_BOOT_MS 5000
/* From the start of a leader until what stood there is learned and the orders of a former one are listed, but
 * for the time of a start. */
#define LEARNED_MS 4500

static ScalingWorld *
busy_world (const char *name, guint boot_ms)
{
  ScalingWorld *world = scaling_world_new (name, "replace", boot_ms);
  scaling_submit_batch (world, "b1", SCALING_SAMPLES);
  run_for (LEARNED_MS + boot_ms);
  assert_int_equal (world->orders->len, 0);
  return world;
}

static void
evacuate (ScalingWorld *world, const char *zone, gboolean evacuated)
{
  g_autofree char *key = g_strdup_printf ("op/evacuate/%s", zone);
  if (evacuated)
    standin_store_put (world->path->store, key, "{}");
  else
    standin_store_remove (world->path->store, key);
}

static guint
runs_at (const ScalingWorld *world, guint index)
{
  return standin_worker_get_runs (world->path->model[index])->len;
}

/* The cheapest zone gets them; they work; and they go once the zone is taken back. */
static void
test_evacuated_and_back (void **state)
{
  ScalingWorld *world = busy_world ("scaling", BOOT_MS);
  evacuate (world, "z3", TRUE);
  AWAIT (scaling_count_registered (world, "z2") == 4);
  assert_int_equal (world->orders->len, 1);
  assert_string_equal (scaling_get_order (world, 0)->body,
                       "{\"service\":\"llm\",\"zone\":\"z2\",\"desired\":4}");
  AWAIT (runs_at (world, SCALING_N_INITIAL_WORKERS) > 0
         && runs_at (world, SCALING_N_INITIAL_WORKERS + 1) > 0);
  run_for (QUIET_MS);
  assert_int_equal (world->orders->len, 1);
  evacuate (world, "z3", FALSE);
  AWAIT (scaling_count_registered (world, NULL) == SCALING_N_INITIAL_WORKERS);
  assert_int_equal (scaling_count_registered (world, "z2"), 2);
  scaling_assert_single_holder (world);
  scaling_world_free (world);
}

/* More samples than the workers that stay have places, but they end in time there: nothing is ordered. */
static void
test_in_time_without (void **state)
{
  ScalingWorld *world = scaling_world_new ("in-time", "replace", BOOT_MS);
  scaling_submit_batch (world, "b1", FEW_SAMPLES);
  run_for (LEARNED_MS + BOOT_MS);
  for (guint i = 2; i < 5; i++)
    {
      g_autofree char *batch = g_strdup_printf ("b%u", i);
      scaling_submit_batch (world, batch, FEW_SAMPLES);
      run_for (300);
      evacuate (world, "z3", TRUE);
      run_for (3000);
    }
  assert_int_equal (world->orders->len, 0);
  scaling_submit_batch (world, "late", SCALING_SAMPLES);
  AWAIT (scaling_count_registered (world, "z2") == 4);
  scaling_world_free (world);
}

/* Two workers crash for good.  Before that one is gone for a moment. */
static void
test_crashed_for_good (void **state)
{
  ScalingWorld *world = busy_world ("crashed", BOOT_MS);
  scaling_set_registration (world, 0, NULL, FALSE);
  run_for (1000);
  scaling_set_registration (world, 0, "z1", FALSE);
  run_for (QUIET_MS);
  assert_int_equal (world->orders->len, 0);
  for (guint i = 0; i < 2; i++)
    {
      standin_worker_crash (world->path->model[i]);
      scaling_set_registration (world, i, NULL, FALSE);
    }
  AWAIT (scaling_count_registered (world, NULL) == SCALING_N_INITIAL_WORKERS);
  run_for (QUIET_MS);
  assert_int_equal (world->orders->len, 1);
  scaling_world_free (world);
}

/* None are to be had in the cheapest zone. */
static void
test_none_there (void **state)
{
  ScalingWorld *world = busy_world ("dry", BOOT_MS);
  world->exhausted_zone = "z2";
  evacuate (world, "z3", TRUE);
  AWAIT (scaling_count_registered (world, "z1") == 4);
  assert_int_equal (world->orders->len, 2);
  assert_string_equal (scaling_get_order (world, 0)->zone, "z2");
  scaling_assert_single_holder (world);
  scaling_world_free (world);
}

/* Cheap workers that stood there are taken away together: usual ones come, and the cheap ones count for the
 * bound of their zone alone. */
static void
test_reclaimed (void **state)
{
  ScalingWorld *world = scaling_world_new ("reclaimed", "replace", BOOT_MS);
  for (guint i = 0; i < SCALING_N_ZONES; i++)
    scaling_set_registration (world, SCALING_N_INITIAL_WORKERS + i, scaling_zones[i], TRUE);
  scaling_submit_batch (world, "b1", SCALING_SAMPLES);
  run_for (LEARNED_MS);
  for (guint i = 0; i < SCALING_N_ZONES; i++)
    scaling_set_registration (world, SCALING_N_INITIAL_WORKERS + i, NULL, FALSE);
  AWAIT (scaling_count_registered (world, NULL) == SCALING_N_INITIAL_WORKERS + SCALING_N_ZONES);
  assert_int_equal (world->orders->len, 1);
  assert_string_equal (scaling_get_order (world, 0)->body,
                       "{\"service\":\"llm\",\"zone\":\"z2\",\"desired\":5}");
  scaling_assert_single_holder (world);
  scaling_world_free (world);
}

/* A platform that refuses, and one that takes an order and does not answer: the same order again. */
static void
test_platform_in_trouble (void **state)
{
  ScalingWorld *world = busy_world ("trouble", BOOT_MS);
  world->refuse = 1;
  world->silent = 1;
  evacuate (world, "z3", TRUE);
  AWAIT (scaling_count_registered (world, "z2") == 4);
  run_for (QUIET_MS);
  assert_in_range (world->orders->len, 2, 3);
  for (guint i = 1; i < world->orders->len; i++)
    assert_string_equal (scaling_get_order (world, i)->body, scaling_get_order (world, 0)->body);
  assert_int_equal (scaling_count_registered (world, NULL), SCALING_N_INITIAL_WORKERS + 2);
  scaling_assert_single_holder (world);
  scaling_world_free (world);
}

/* The leader is killed between its order and the answer.  The next one leads before the workers are there,
 * and does not order them once more. */
static void
test_leader_killed (void **state)
{
  ScalingWorld *world = busy_world ("killed", LONG_BOOT_MS);
  world->silent = 1;
  evacuate (world, "z3", TRUE);
  AWAIT (world->orders->len == 1);
  gint leader = path_find_leader (world->path);
  quince_process_kill (world->path->replicas[leader]);
  AWAIT (path_find_leader (world->path) != leader);
  assert_int_equal (scaling_count_registered (world, "z2"), 2);
  run_for (LEARNED_MS + LONG_BOOT_MS + QUIET_MS);
  assert_int_equal (world->orders->len, 1);
  assert_int_equal (scaling_count_registered (world, "z2"), 4);
  scaling_world_free (world);
}

/* It is killed before the platform takes its order: the next one gives it, under a greater fence. */
static void
test_leader_killed_before (void **state)
{
  ScalingWorld *world = busy_world ("before", BOOT_MS);
  world->refuse = G_MAXUINT;
  evacuate (world, "z3", TRUE);
  AWAIT (world->orders->len == 1);
  gint leader = path_find_leader (world->path);
  quince_process_kill (world->path->replicas[leader]);
  AWAIT (path_find_leader (world->path) != leader);
  world->refuse = 0;
  AWAIT (scaling_count_registered (world, "z2") == 4);
  assert_true (scaling_get_order (world, world->orders->len - 1)->fence
               > scaling_get_order (world, 0)->fence);
  scaling_assert_single_holder (world);
  scaling_world_free (world);
}

/* The leader stands still while another one leads, and wakes with an order to give: it gives none. */
static void
test_leader_frozen (void **state)
{
  ScalingWorld *world = busy_world ("frozen", BOOT_MS);
  world->refuse = G_MAXUINT;
  evacuate (world, "z3", TRUE);
  AWAIT (world->orders->len == 1);
  gint leader = path_find_leader (world->path);
  quince_process_suspend (world->path->replicas[leader]);
  AWAIT (path_find_leader (world->path) != leader);
  guint before = world->orders->len;
  AWAIT (world->orders->len > before);
  quince_process_resume (world->path->replicas[leader]);
  world->refuse = 0;
  AWAIT (scaling_count_registered (world, "z2") == 4);
  run_for (QUIET_MS);
  assert_int_equal (scaling_count_registered (world, NULL), SCALING_N_INITIAL_WORKERS + 2);
  scaling_assert_single_holder (world);
  scaling_world_free (world);
}

/* The leader that ordered is killed: the next one gives back what was ordered, and no more. */
static void
test_heir_gives_back (void **state)
{
  ScalingWorld *world = busy_world ("heir", BOOT_MS);
  evacuate (world, "z3", TRUE);
  AWAIT (scaling_count_registered (world, "z2") == 4);
  gint leader = path_find_leader (world->path);
  quince_process_kill (world->path->replicas[leader]);
  AWAIT (path_find_leader (world->path) != leader);
  evacuate (world, "z3", FALSE);
  AWAIT (scaling_count_registered (world, NULL) == SCALING_N_INITIAL_WORKERS);
  run_for (QUIET_MS);
  for (guint i = 0; i < SCALING_N_ZONES; i++)
    assert_int_equal (scaling_count_registered (world, scaling_zones[i]), 2);
  scaling_assert_single_holder (world);
  scaling_world_free (world);
}

static void
test_switched_off (void **state)
{
  ScalingWorld *world = scaling_world_new ("off", "none", BOOT_MS);
  scaling_submit_batch (world, "b1", SCALING_SAMPLES);
  run_for (LEARNED_MS);
  evacuate (world, "z3", TRUE);
  run_for (QUIET_MS);
  assert_int_equal (world->orders->len, 0);
  scaling_world_free (world);
}

/* ---- What the platform tells ------------------------------------------------ */

static QuinceWorker *
read_worker (const char *members)
{
  g_autofree char *text
      = g_strdup_printf ("{\"service\":\"llm\",\"address\":\"127.0.0.1:1\",\"zone\":\"z1\"%s}", members);
  g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));
  QuinceWorker *worker = quince_platform_read_worker ("servers/w", bytes, NULL);
  assert_non_null (worker);
  return worker;
}

static void
test_read_worker (void **state)
{
  g_autoptr (QuinceWorker) usual = read_worker (",\"state\":\"ready\"");
  assert_false (usual->is_spot);
  assert_int_equal (usual->drain_time_us, 0);
  g_autoptr (QuinceWorker) spot = read_worker (",\"state\":\"draining\",\"spot\":true,\"leaves_ms\":2500.5");
  assert_true (spot->is_spot);
  assert_true (spot->draining);
  assert_int_equal (spot->drain_time_us, 2500500);
}

static QuinceRouteTable *
read_scaling (const char *scaling)
{
  g_autofree char *text
      = g_strdup_printf ("{\"version\":1,\"services\":[{\"name\":\"llm\",\"scaling\":%s}]}", scaling);
  g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));
  QuinceRouteTable *table = quince_platform_read_configuration (bytes, NULL);
  assert_non_null (table);
  return table;
}

static void
test_read_scaling (void **state)
{
  g_autoptr (QuinceRouteTable) table
      = read_scaling ("{\"min\":2,\"max\":32,\"bootTimeoutS\":4.5,\"spotPrice\":0.18,"
                      "\"zonePrices\":{\"z1\":0.85,\"z2\":1.2}}");
  const QuinceScaling *scaling = quince_route_table_find_service (table, "llm")->scaling;
  assert_int_equal (scaling->min_workers, 2);
  assert_int_equal (scaling->max_workers, 32);
  assert_int_equal (scaling->boot_ms, 4500);
  assert_int_equal (scaling->prices->len, 2);
  assert_string_equal (g_array_index (scaling->prices, QuinceZonePrice, 1).zone, "z2");
  assert_float_equal (g_array_index (scaling->prices, QuinceZonePrice, 1).price, 1.2, 1e-9);
  /* Bounds that make no sense: none may be ordered, or as many as may be. */
  g_autoptr (QuinceRouteTable) none = read_scaling ("{\"min\":2,\"max\":-1}");
  assert_null (quince_route_table_find_service (none, "llm")->scaling);
  g_autoptr (QuinceRouteTable) crossed = read_scaling ("{\"min\":9,\"max\":3,\"bootTimeoutS\":-1}");
  assert_int_equal (quince_route_table_find_service (crossed, "llm")->scaling->min_workers, 3);
  assert_int_equal (quince_route_table_find_service (crossed, "llm")->scaling->boot_ms, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_evacuated_and_back), cmocka_unit_test (test_in_time_without),
    cmocka_unit_test (test_crashed_for_good),   cmocka_unit_test (test_none_there),
    cmocka_unit_test (test_reclaimed),          cmocka_unit_test (test_platform_in_trouble),
    cmocka_unit_test (test_leader_killed),      cmocka_unit_test (test_leader_killed_before),
    cmocka_unit_test (test_leader_frozen),      cmocka_unit_test (test_heir_gives_back),
    cmocka_unit_test (test_switched_off),       cmocka_unit_test (test_read_worker),
    cmocka_unit_test (test_read_scaling),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
