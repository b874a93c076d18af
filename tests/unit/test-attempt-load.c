/*
 * test-attempt-load.c: guards against hedges and retries that overload a service whose workers are slow or
 * full, and against a budget for them that makes requests fail.
 *
 * Each case is replayed twice with one seed: by the rules of services with one latency target, which shows
 * that the case is hard enough, and with the attempt budget.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "attempt-scene.h"

#define SEED 20261203
/* Lookups that may miss their target in addition to those under the earlier rules.  Twice the standard
 * deviation of the 50 or fewer that do, since the two replays draw other random numbers. */
#define LATE_LOOKUPS_MARGIN 14

/* Deployments A and B of docs/design/contention.md.  The rate of B's reward calls fills its service in the
 * bursts. */
#define SERVICE_A                                                                                            \
  .n_workers = 8, .slots = 6, .sheds = TRUE, .n_fronts = 66, .lookup = { "lookup", 25, 150, 2000, 12 },      \
  .reward = { "reward", 80, 400, 2000, 100 }
#define SERVICE_B                                                                                            \
  .n_workers = 15, .slots = 6, .n_fronts = 66, .lookup = { "lookup", 21, 150, 2000, 12 },                    \
  .reward = { "reward", 200, 800, 3000, 130 }
#define A_THIRD_SLOW .in_bursts = TRUE, .slow_ms = 4500, .slow_factor = 4
#define HALF_SLOW .in_bursts = TRUE, .slow_ms = 4500, .slow_factor = 7

/**
 * LoadCase:
 * @arrivals_max: maximum arrivals per request with the budget; the earlier rules exceed it if @is_exceeded
 * @failed_max: maximum number of requests without an answer, as a share
 * @late_rewards_max: maximum number of reward calls that may miss their target in addition to those under the
 * earlier rules, as a share
 */
typedef struct
{
  const char *name;
  Scene scene;
  double arrivals_max;
  gboolean is_exceeded;
  double failed_max;
  double late_rewards_max;
} LoadCase;

static const LoadCase load_cases[] = {
  { "A: a third of the workers slow", { SERVICE_A, A_THIRD_SLOW, .n_slow = 3 }, 1.06, TRUE, 0, 0.01 },
  { "A: half of the workers slow", { SERVICE_A, HALF_SLOW, .n_slow = 4 }, 1.06, TRUE, 0, 0.01 },
  { "B: a third of the workers slow", { SERVICE_B, A_THIRD_SLOW, .n_slow = 5 }, 1.15, TRUE, 0, 0.01 },
  { "B: half of the workers slow", { SERVICE_B, HALF_SLOW, .n_slow = 7 }, 1.15, TRUE, 0, 0.01 },
  { "B: burst of one zone", { SERVICE_B, .burst_lookups = 4000 }, 1.15, TRUE, 0, 0 },
  { "B: lookups beside reward calls of one process",
    { .n_workers = 15,
      .slots = 6,
      .lookup = { "lookup", 21, 150, 2000, 100 },
      .reward = { "reward", 200, 800, 3000, 20 } },
    1.01,
    TRUE,
    0,
    0 },
  /* Four attempts with 0.3 of the answers lost fail in 0.3^4 = 0.8 % of the requests.  All of them need more
   * attempts than the budget has tokens for. */
  { "A: connections lost", { SERVICE_A, .lost_share = 0.3 }, 1.45, FALSE, 0.012, 0.03 },
  { "A: answers lost", { SERVICE_A, .silent_share = 0.3 }, 1.45, FALSE, 0.012, 0.03 },
  { "B: answers lost", { SERVICE_B, .silent_share = 0.3 }, 1.45, FALSE, 0.012, 0.03 },
};

static void
test_load_cases (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (load_cases); i++)
    {
      const LoadCase *c = &load_cases[i];
      Scene scene = c->scene;
      const SceneResult before = scene_run (&scene, SEED);
      scene.budgeted = TRUE;
      const SceneResult after = scene_run (&scene, SEED);
      double ratio_before = (double)before.arrivals / before.firsts;
      double ratio = (double)after.arrivals / after.firsts;
      print_message ("%s: arrivals per request %.3f, before %.3f; late lookups %u, %u, reward "
                     "calls %u, %u; failed %u, %u; denied %u\n",
                     c->name, ratio, ratio_before, after.late_lookups, before.late_lookups,
                     after.late_rewards, before.late_rewards, after.failed, before.failed, after.denied);
      assert_true (ratio <= c->arrivals_max);
      assert_true (!c->is_exceeded || ratio_before > c->arrivals_max);
      assert_true (after.failed <= c->failed_max * after.firsts);
      assert_true (after.late_lookups <= before.late_lookups + LATE_LOOKUPS_MARGIN);
      assert_true (after.late_rewards
                   <= before.late_rewards + c->late_rewards_max * (after.firsts - after.lookups));
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_load_cases) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
