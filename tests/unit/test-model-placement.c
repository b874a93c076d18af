/*
 * test-model-placement.c: guards against models with too few workers and against needless moves of workers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/weights/model-placement.h"

#define SECOND_US G_USEC_PER_SEC

static GPtrArray *
make_names (const char *prefix, guint count)
{
  GPtrArray *list = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < count; i++)
    g_ptr_array_add (list, g_strdup_printf ("%s%u", prefix, i));
  return list;
}

#define SLOTS_PER_WORKER 8

/* Assigns the models to @workers, none of which has loaded a model yet. */
static void
assign (QuinceModelPlacement *placement, gint64 now_us, const GPtrArray *models, const GPtrArray *workers)
{
  g_autoptr (GArray) rows = g_array_new (FALSE, FALSE, sizeof (QuincePlacementWorker));
  for (guint i = 0; i < workers->len; i++)
    {
      const QuincePlacementWorker row = { workers->pdata[i], NULL, NULL };
      g_array_append_val (rows, row);
    }
  quince_model_placement_assign (placement, now_us, models, rows, SLOTS_PER_WORKER);
  /* The result for each worker is the one that is looked up later. */
  for (guint i = 0; i < rows->len; i++)
    {
      const QuincePlacementWorker *row = &g_array_index (rows, QuincePlacementWorker, i);
      if (g_strcmp0 (row->model, quince_model_placement_get (placement, row->id)) != 0)
        fail_msg ("%s is assigned to another model", row->id);
    }
}

static guint
count_assigned (QuinceModelPlacement *placement, const GPtrArray *workers, const char *model)
{
  guint count = 0;
  for (guint i = 0; i < workers->len; i++)
    count += g_strcmp0 (quince_model_placement_get (placement, workers->pdata[i]), model) == 0;
  return count;
}

static void
test_equal_shares_without_demand (void **state)
{
  g_autoptr (QuinceModelPlacement) placement = quince_model_placement_new ();
  g_autoptr (GPtrArray) models = make_names ("m", 3);
  g_autoptr (GPtrArray) workers = make_names ("w", 9);
  assign (placement, 0, models, workers);
  for (guint i = 0; i < 3; i++)
    assert_int_equal (count_assigned (placement, workers, models->pdata[i]), 3);
}

static void
test_moves_one_worker_at_a_time (void **state)
{
  g_autoptr (QuinceModelPlacement) placement = quince_model_placement_new ();
  g_autoptr (GPtrArray) models = make_names ("m", 3);
  g_autoptr (GPtrArray) workers = make_names ("w", 9);
  assign (placement, 0, models, workers);
  quince_model_placement_add_demand (placement, SECOND_US, "m0", 100, 1000);
  quince_model_placement_add_demand (placement, SECOND_US, "m1", 100, 1000);
  quince_model_placement_add_demand (placement, SECOND_US, "m2", 400, 1000);
  assign (placement, SECOND_US, models, workers);
  assert_int_equal (count_assigned (placement, workers, "m2"), 4);
  assign (placement, SECOND_US + 1, models, workers);
  assert_int_equal (count_assigned (placement, workers, "m2"), 4);
  for (guint i = 2; i < 20; i++)
    assign (placement, i * 2 * SECOND_US, models, workers);
  assert_int_equal (count_assigned (placement, workers, "m2"), 5);
  assert_int_equal (count_assigned (placement, workers, "m0"), 2);
  /* A stable demand moves no further worker. */
  guint before = count_assigned (placement, workers, "m1");
  for (guint i = 20; i < 40; i++)
    assign (placement, i * 2 * SECOND_US, models, workers);
  assert_int_equal (count_assigned (placement, workers, "m1"), before);
}

/* Guards against a model that permanently stays short of workers after it lost some. */
static void
test_rebalance_after_lost_workers (void **state)
{
  g_autoptr (QuinceModelPlacement) placement = quince_model_placement_new ();
  g_autoptr (GPtrArray) models = make_names ("m", 2);
  g_autoptr (GPtrArray) workers = make_names ("w", 8);
  assign (placement, 0, models, workers);
  for (guint lost = 0; lost < 2; lost++)
    for (guint i = 0; i < workers->len; i++)
      if (g_str_equal (quince_model_placement_get (placement, workers->pdata[i]), "m0"))
        {
          g_ptr_array_remove_index (workers, i);
          break;
        }
  assert_int_equal (count_assigned (placement, workers, "m0"), 2);
  for (guint i = 1; i < 10; i++)
    assign (placement, i * 3 * SECOND_US, models, workers);
  assert_int_equal (count_assigned (placement, workers, "m0"), 3);
  assert_int_equal (count_assigned (placement, workers, "m1"), 3);
}

static void
test_fewer_workers_than_models (void **state)
{
  g_autoptr (QuinceModelPlacement) placement = quince_model_placement_new ();
  g_autoptr (GPtrArray) models = make_names ("m", 3);
  g_autoptr (GPtrArray) workers = make_names ("w", 2);
  assign (placement, 0, models, workers);
  for (guint i = 0; i < 2; i++)
    assert_non_null (quince_model_placement_get (placement, workers->pdata[i]));
}

/* Guards against loading each version on all workers when a model has few samples. */
static void
test_surplus_workers_go_to_reserve (void **state)
{
  g_autoptr (QuinceModelPlacement) placement = quince_model_placement_new ();
  g_autoptr (GPtrArray) models = make_names ("m", 1);
  g_autoptr (GPtrArray) workers = make_names ("w", 300);
  quince_model_placement_add_demand (placement, 0, "m0", 100, 96);
  assign (placement, 0, models, workers);
  assert_int_equal (count_assigned (placement, workers, "m0"), 20); /* 96 * 1.5 / 8, and 2 spare workers */
  /* A lost worker is replaced immediately. */
  g_ptr_array_remove_index (workers, 0);
  assign (placement, SECOND_US, models, workers);
  assert_int_equal (count_assigned (placement, workers, "m0"), 20);
  /* More samples add workers; workers return to the reserve some time after the last sample. */
  quince_model_placement_add_demand (placement, 2 * SECOND_US, "m0", 100, 200);
  assign (placement, 2 * SECOND_US, models, workers);
  assert_int_equal (count_assigned (placement, workers, "m0"), 40);
  for (guint i = 0; i < 150; i++)
    assign (placement, (3 + i * 2) * SECOND_US, models, workers);
  assert_in_range (count_assigned (placement, workers, "m0"), 2, 8);
}

/* A new leader keeps workers at the model that they have loaded. */
static void
test_new_leader_keeps_loaded_models (void **state)
{
  g_autoptr (QuinceModelPlacement) placement = quince_model_placement_new ();
  g_autoptr (GPtrArray) models = make_names ("m", 2);
  g_autoptr (GPtrArray) workers = make_names ("w", 100);
  g_autoptr (GArray) rows = g_array_new (FALSE, FALSE, sizeof (QuincePlacementWorker));
  for (guint i = 0; i < workers->len; i++)
    {
      const QuincePlacementWorker row = { workers->pdata[i], i >= 90 ? "m1" : i >= 80 ? "m0" : NULL, NULL };
      g_array_append_val (rows, row);
    }
  quince_model_placement_add_demand (placement, 0, "m0", 100, 40);
  quince_model_placement_add_demand (placement, 0, "m1", 100, 40);
  quince_model_placement_assign (placement, 0, models, rows, SLOTS_PER_WORKER);
  assert_int_equal (count_assigned (placement, workers, "m0"), 10);
  assert_int_equal (count_assigned (placement, workers, "m1"), 10);
  for (guint i = 80; i < 100; i++)
    assert_string_equal (quince_model_placement_get (placement, workers->pdata[i]), i >= 90 ? "m1" : "m0");
}

/* Guards against favoring the model with more frequent steps: both models have the same work per step, but
 * one submits steps twice as often. */
static void
test_share_independent_of_step_rate (void **state)
{
  g_autoptr (QuinceModelPlacement) placement = quince_model_placement_new ();
  g_autoptr (GPtrArray) models = make_names ("m", 2);
  g_autoptr (GPtrArray) workers = make_names ("w", 22);
  for (guint second = 0; second < 80; second++)
    {
      if (second % 4 == 0)
        quince_model_placement_add_demand (placement, second * SECOND_US, "m0", 100, 1000);
      if (second % 8 == 0)
        quince_model_placement_add_demand (placement, second * SECOND_US, "m1", 100, 1000);
      assign (placement, second * SECOND_US, models, workers);
    }
  assert_int_equal (count_assigned (placement, workers, "m0"), 11);
  assert_int_equal (count_assigned (placement, workers, "m1"), 11);
}

/* Two models have the same work, but the steps of one are late and those of the other are early. */
static void
test_late_steps_get_more_workers (void **state)
{
  g_autoptr (QuinceModelPlacement) placement = quince_model_placement_new ();
  g_autoptr (GPtrArray) models = make_names ("m", 2);
  g_autoptr (GPtrArray) workers = make_names ("w", 22);
  for (guint second = 0; second < 80; second += 4)
    {
      quince_model_placement_add_demand (placement, second * SECOND_US, "m0", 100, 1000);
      quince_model_placement_add_demand (placement, second * SECOND_US, "m1", 100, 1000);
      quince_model_placement_record_step (placement, "m0", 4 * SECOND_US, 8 * SECOND_US);
      quince_model_placement_record_step (placement, "m1", 10 * SECOND_US, 8 * SECOND_US);
      assign (placement, second * SECOND_US, models, workers);
    }
  assert_in_range (count_assigned (placement, workers, "m1"), 14, 16);
  /* A single very late step has a limited effect. */
  quince_model_placement_record_step (placement, "m0", 100 * SECOND_US, 8 * SECOND_US);
  assign (placement, 82 * SECOND_US, models, workers);
  assert_in_range (count_assigned (placement, workers, "m0"), 6, 9);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_equal_shares_without_demand),
    cmocka_unit_test (test_moves_one_worker_at_a_time),
    cmocka_unit_test (test_rebalance_after_lost_workers),
    cmocka_unit_test (test_fewer_workers_than_models),
    cmocka_unit_test (test_surplus_workers_go_to_reserve),
    cmocka_unit_test (test_new_leader_keeps_loaded_models),
    cmocka_unit_test (test_share_independent_of_step_rate),
    cmocka_unit_test (test_late_steps_get_more_workers),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
