/*
 * test-load-turns.c: guards against a model with frequent versions starving the loads of other models.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/weights/load-turns.h"

#define MODELS 3
#define WORKERS 38
/* Loads per second of all models, and seconds between the versions of each model. */
#define LOADS_PER_SECOND 10
static const guint version_interval_s[MODELS] = { 4, 7, 9 };
static const char *const model_names[MODELS] = { "a", "b", "c" };

typedef struct
{
  guint64 wanted_version[MODELS];
  guint64 loaded_version[MODELS][WORKERS];
  guint loads[MODELS];
} Simulation;

/* Runs LOADS_PER_SECOND loads, or fewer if all workers are up to date. */
static void
simulate_second (Simulation *simulation)
{
  g_autoptr (QuinceLoadTurns) turns = quince_load_turns_new ();
  for (guint model = 0; model < MODELS; model++)
    for (guint i = 0; i < WORKERS; i++)
      {
        guint64 versions_behind = simulation->wanted_version[model] - simulation->loaded_version[model][i];
        quince_load_turns_count_worker (turns, model_names[model], versions_behind == 0);
        if (versions_behind > 0)
          quince_load_turns_add_candidate (turns, model_names[model], versions_behind, 0,
                                           &simulation->loaded_version[model][i]);
      }
  for (guint i = 0; i < LOADS_PER_SECOND; i++)
    {
      guint64 *loaded_version = quince_load_turns_next (turns);
      if (loaded_version == NULL)
        return;
      guint model = (guint)(((gsize)loaded_version - (gsize)simulation->loaded_version)
                            / sizeof simulation->loaded_version[0]);
      *loaded_version = simulation->wanted_version[model];
      simulation->loads[model]++;
    }
}

/* Counts the workers that can serve the newest step, which accepts the previous version. */
static guint
count_serving (const Simulation *simulation, guint model)
{
  guint count = 0;
  for (guint i = 0; i < WORKERS; i++)
    count += simulation->loaded_version[model][i] + 1 >= simulation->wanted_version[model];
  return count;
}

/* Each model keeps at least a third of its workers usable, whatever the interval of its versions. */
static void
test_models_share_loads (void **state)
{
  Simulation simulation = { 0 };
  for (guint second = 1; second <= 120; second++)
    {
      for (guint model = 0; model < MODELS; model++)
        simulation.wanted_version[model] += second % version_interval_s[model] == 0;
      simulate_second (&simulation);
      for (guint model = 0; model < MODELS; model++)
        if (second > 20 && count_serving (&simulation, model) < WORKERS / 3)
          fail_msg ("second %u: %u workers serve model %s", second, count_serving (&simulation, model),
                    model_names[model]);
    }
  print_message ("loads: %u, %u, %u\n", simulation.loads[0], simulation.loads[1], simulation.loads[2]);
}

static void
test_order_within_model (void **state)
{
  g_autoptr (QuinceLoadTurns) turns = quince_load_turns_new ();
  int workers[3];
  for (guint i = 0; i < 3; i++)
    quince_load_turns_count_worker (turns, "a", FALSE);
  quince_load_turns_add_candidate (turns, "a", 1, 0, &workers[0]);
  quince_load_turns_add_candidate (turns, "a", 2, 5, &workers[1]);
  quince_load_turns_add_candidate (turns, "a", 2, 1, &workers[2]);
  assert_ptr_equal (quince_load_turns_next (turns), &workers[2]);
  assert_ptr_equal (quince_load_turns_next (turns), &workers[1]);
  assert_ptr_equal (quince_load_turns_next (turns), &workers[0]);
  assert_null (quince_load_turns_next (turns));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_models_share_loads),
    cmocka_unit_test (test_order_within_model),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
