/*
 * test-simulation.c: the core under seeded random faults, with all promises
 * checked, and planted faults that must be caught.
 *
 * SOAK_SEED and SOAK_STEPS choose another start and a longer run.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>

#include "model.h"

#define CHECK_STEPS 1000000
#define MUTATION_STEPS 10000000

static guint64
from_environment (const char *name, guint64 fallback)
{
  const char *text = g_getenv (name);
  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : fallback;
}

static void
test_promises_hold (void **state)
{
  guint64 seed = from_environment ("SOAK_SEED", 1);
  guint64 steps = from_environment ("SOAK_STEPS", CHECK_STEPS);
  guint64 failing_seed = 0;
  g_autofree char *violation = NULL;
  guint64 done = sim_run (seed, steps, SIM_MUTATION_NONE, &failing_seed, &violation);
  if (violation != NULL)
    fail_msg ("seed %" G_GUINT64_FORMAT " (replay: SOAK_SEED=%" G_GUINT64_FORMAT " SOAK_STEPS=1): %s",
              failing_seed, failing_seed, violation);
  print_message ("event=simulation steps=%" G_GUINT64_FORMAT " first_seed=%" G_GUINT64_FORMAT
                 " last_seed=%" G_GUINT64_FORMAT "\n",
                 done, seed, failing_seed);
  assert_true (done >= steps);
}

/*
 * Worlds that once broke a promise.
 * 90210452 and 35000067: a node lost its disk twice, and stood twice among four voters: the ledger was stuck
 * for good. 34000070: the attempts of a request were used up by nodes that refused it, one of them stopping.
 */
static void
test_worlds_that_once_failed (void **state)
{
  static const guint64 seeds[] = { 90210452, 35000067, 34000070 };
  for (guint i = 0; i < G_N_ELEMENTS (seeds); i++)
    {
      guint64 failing_seed = 0;
      g_autofree char *violation = NULL;
      sim_run (seeds[i], 1, SIM_MUTATION_NONE, &failing_seed, &violation);
      if (violation != NULL)
        fail_msg ("seed %" G_GUINT64_FORMAT ": %s", failing_seed, violation);
    }
}

/* Equal seeds give equal runs, so that a failure can be replayed. */
static void
test_same_seed_same_run (void **state)
{
  guint64 steps[2], seed;
  for (guint i = 0; i < 2; i++)
    {
      g_autofree char *violation = NULL;
      steps[i] = sim_run (4711, 1, SIM_MUTATION_NONE, &seed, &violation);
    }
  assert_int_equal (steps[0], steps[1]);
}

static void
test_planted_faults_are_caught (void **state)
{
  for (SimMutation mutation = SIM_MUTATION_NONE + 1; mutation < SIM_N_MUTATIONS; mutation++)
    {
      guint64 seed = 0;
      g_autofree char *violation = NULL;
      guint64 done = sim_run (1, MUTATION_STEPS, mutation, &seed, &violation);
      print_message ("event=mutation name=%s caught=%s steps=%" G_GUINT64_FORMAT " seed=%" G_GUINT64_FORMAT
                     " violation=\"%s\"\n",
                     sim_mutation_name (mutation), violation != NULL ? "true" : "false", done, seed,
                     violation != NULL ? violation : "");
      assert_non_null (violation);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_promises_hold),
    cmocka_unit_test (test_worlds_that_once_failed),
    cmocka_unit_test (test_same_seed_same_run),
    cmocka_unit_test (test_planted_faults_are_caught),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
