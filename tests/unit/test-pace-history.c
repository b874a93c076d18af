/*
 * test-pace-history.c: guards against moves of runs whose worker is slow for a moment only, and against runs
 * that stay at a worker that is slow for long.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/decisions/sample-move.h"

#define MS 1000
#define SEED 20261203
#define EVENT_US (33 * MS)
/* Interval at which each worker randomly becomes slow or normal. */
#define DRAW_INTERVAL_US (600 * MS)
#define SLOW_SHARE 0.15
#define SLOW_FACTOR 2.5
#define N_WORKERS 12
/* Concurrent runs of a worker; their events alternate. */
#define N_RUNS 3
/* Events that a long text still needs. */
#define REMAINING 60

typedef struct
{
  QuinceWorker *worker;
  double factor; /* slowdown until the next draw */
  gint64 next_draw_us;
  gint64 next_event_us;
  gboolean always_slow;
} SimulatedWorker;

static gboolean
old_rule_moves (const QuinceWorker *worker, gint64 now_us)
{
  return quince_sample_move_is_worthwhile (REMAINING, quince_worker_get_pace_us (worker, now_us), EVENT_US);
}

static gboolean
new_rule_moves (const QuinceWorker *worker, gint64 now_us, gint64 mean_phase_us)
{
  gint64 here_us = quince_pace_history_expect_text_us (
      &worker->pace_history, now_us, REMAINING, quince_worker_get_pace_us (worker, now_us), mean_phase_us);
  return quince_sample_move_saves_enough ((double)here_us, REMAINING * (double)EVENT_US);
}

static void
step_worker (SimulatedWorker *simulated, GRand *random, gint64 now_us)
{
  if (now_us >= simulated->next_draw_us)
    {
      gboolean is_slow = simulated->always_slow || g_rand_double (random) < SLOW_SHARE;
      simulated->factor = is_slow ? SLOW_FACTOR : 1;
      simulated->next_draw_us += DRAW_INTERVAL_US;
    }
  if (now_us < simulated->next_event_us)
    return;
  gint64 event_us = (gint64)(simulated->factor * EVENT_US);
  quince_worker_record_event (simulated->worker, now_us, event_us);
  simulated->next_event_us = now_us + event_us / N_RUNS;
}

static gint64
get_mean_phase_us (const SimulatedWorker *workers)
{
  QuinceSlowPhases phases = { 0 };
  for (guint i = 0; i < N_WORKERS; i++)
    quince_slow_phases_add (&phases, &workers[i].worker->pace_history);
  return quince_slow_phases_get_mean_us (&phases);
}

static void
start_workers (SimulatedWorker *workers)
{
  for (guint i = 0; i < N_WORKERS; i++)
    workers[i] = (SimulatedWorker){ .worker = quince_worker_new ("w"), .factor = 1 };
}

static void
free_workers (SimulatedWorker *workers)
{
  for (guint i = 0; i < N_WORKERS; i++)
    quince_worker_free (workers[i].worker);
}

/* Runs all workers from @from_us to @until_us in steps of 1 ms.  Counts the checks, one each 100 ms and
 * worker, in which a long text would be moved. */
static void
run_workers (SimulatedWorker *workers,
             GRand *random,
             gint64 from_us,
             gint64 until_us,
             guint *old_moves,
             guint *new_moves)
{
  *old_moves = *new_moves = 0;
  for (gint64 now = from_us; now < until_us; now += MS)
    {
      for (guint i = 0; i < N_WORKERS; i++)
        step_worker (&workers[i], random, now);
      if (now % (100 * MS) != 0)
        continue;
      gint64 mean_phase_us = get_mean_phase_us (workers);
      for (guint i = 0; i < N_WORKERS; i++)
        {
          *old_moves += old_rule_moves (workers[i].worker, now);
          *new_moves += new_rule_moves (workers[i].worker, now, mean_phase_us);
        }
    }
}

/* A seventh of the workers is two and a half times slower, another seventh each 0.6 s: a move costs more than
 * the rest of the slow phase. */
static void
test_short_slow_phases (void **state)
{
  SimulatedWorker workers[N_WORKERS];
  start_workers (workers);
  GRand *random = g_rand_new_with_seed (SEED);
  guint old_moves;
  guint new_moves;
  run_workers (workers, random, 0, 5000 * MS, &old_moves, &new_moves);
  run_workers (workers, random, 5000 * MS, 30000 * MS, &old_moves, &new_moves);
  print_message ("  old=%u new=%u\n", old_moves, new_moves);
  assert_true (old_moves > 100);
  assert_true (new_moves * 10 <= old_moves);
  g_rand_free (random);
  free_workers (workers);
}

/* One worker stays slow beside workers with short slow phases: its runs move soon after the usual phase would
 * be over. */
static void
test_long_slow_phase (void **state)
{
  SimulatedWorker workers[N_WORKERS];
  start_workers (workers);
  GRand *random = g_rand_new_with_seed (SEED);
  guint old_moves;
  guint new_moves;
  run_workers (workers, random, 0, 10000 * MS, &old_moves, &new_moves);
  workers[0].always_slow = TRUE;
  gint64 now = 10000 * MS;
  for (; now < 20000 * MS && !new_rule_moves (workers[0].worker, now, get_mean_phase_us (workers));
       now += 100 * MS)
    run_workers (workers, random, now, now + 100 * MS, &old_moves, &new_moves);
  print_message ("  moved after %u ms\n", (guint)((now - 10000 * MS) / MS));
  assert_true (now - 10000 * MS <= 3000 * MS);
  g_rand_free (random);
  free_workers (workers);
}

/* Without short slow phases before it, a slow phase is expected to last, as without a history. */
static void
test_no_known_phases (void **state)
{
  g_autoptr (QuinceWorker) worker = quince_worker_new ("w");
  gint64 now = 0;
  for (; now < 5000 * MS; now += EVENT_US)
    quince_worker_record_event (worker, now, EVENT_US);
  for (guint i = 0; i < 12; i++, now += 3 * EVENT_US)
    {
      quince_worker_record_event (worker, now, 3 * EVENT_US);
      assert_int_equal (new_rule_moves (worker, now, 0), old_rule_moves (worker, now));
    }
  assert_true (new_rule_moves (worker, now, 0));
}

/* A worker that is slower than others by itself is not in a slow phase: its runs move to faster ones. */
static void
test_slow_worker (void **state)
{
  g_autoptr (QuinceWorker) worker = quince_worker_new ("w");
  gint64 now = 0;
  for (; now < 5000 * MS; now += 2 * EVENT_US)
    quince_worker_record_event (worker, now, 2 * EVENT_US);
  assert_int_equal (worker->pace_history.usual_us, 2 * EVENT_US);
  assert_true (new_rule_moves (worker, now, 600 * MS));
}

/* A first measurement in a slow phase must not stay the usual pace. */
static void
test_usual_pace_recovers (void **state)
{
  g_autoptr (QuinceWorker) worker = quince_worker_new ("w");
  gint64 now = 0;
  for (; now < 600 * MS; now += 3 * EVENT_US)
    quince_worker_record_event (worker, now, 3 * EVENT_US);
  for (; now < 4000 * MS; now += EVENT_US)
    quince_worker_record_event (worker, now, EVENT_US);
  assert_true (worker->pace_history.usual_us < EVENT_US * 11 / 10);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_short_slow_phases),   cmocka_unit_test (test_long_slow_phase),
    cmocka_unit_test (test_no_known_phases),     cmocka_unit_test (test_slow_worker),
    cmocka_unit_test (test_usual_pace_recovers),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
