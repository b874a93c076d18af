/*
 * test-load-turns.c: models share the loads that are borne at once.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/weights/load-turns.h"

#define MODELS 3
#define WORKERS 38
/* Loads that are borne in a second, and seconds between the versions of each model. */
#define LOADS_PER_SECOND 10
static const guint version_interval_s[MODELS] = { 4, 7, 9 };
static const char *const names[MODELS] = { "a", "b", "c" };

typedef struct
{
  guint64 wanted[MODELS];
  guint64 has[MODELS][WORKERS];
  guint loads[MODELS];
} World;

/* One second: as many loads as are borne. */
static void
load (World *world)
{
  g_autoptr (QuinceLoadTurns) turns = quince_load_turns_new ();
  for (guint model = 0; model < MODELS; model++)
    for (guint i = 0; i < WORKERS; i++)
      {
        guint64 behind = world->wanted[model] - world->has[model][i];
        quince_load_turns_count_worker (turns, names[model], behind == 0);
        if (behind > 0)
          quince_load_turns_add_candidate (turns, names[model], behind, 0, &world->has[model][i]);
      }
  for (guint i = 0; i < LOADS_PER_SECOND; i++)
    {
      guint64 *has = quince_load_turns_next (turns);
      if (has == NULL)
        return;
      guint model = (guint)(((gsize)has - (gsize)world->has) / sizeof world->has[0]);
      *has = world->wanted[model];
      world->loads[model]++;
    }
}

/* Workers that serve the newest step, which allows the version before. */
static guint
serving (const World *world, guint model)
{
  guint count = 0;
  for (guint i = 0; i < WORKERS; i++)
    count += world->has[model][i] + 1 >= world->wanted[model];
  return count;
}

/* The model that names versions most often does not take the loads of the others. */
static void
test_models_share_loads (void **state)
{
  World world = { 0 };
  for (guint second = 1; second <= 120; second++)
    {
      for (guint model = 0; model < MODELS; model++)
        world.wanted[model] += second % version_interval_s[model] == 0;
      load (&world);
      for (guint model = 0; model < MODELS; model++)
        if (second > 20 && serving (&world, model) < WORKERS / 3)
          fail_msg ("second %u: %u workers serve model %s", second, serving (&world, model), names[model]);
    }
  print_message ("loads: %u, %u, %u\n", world.loads[0], world.loads[1], world.loads[2]);
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
