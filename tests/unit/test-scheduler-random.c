/*
 * test-scheduler-random.c: fairness, and random runs of the scheduler with invariants.
 */
#include "scheduler-world.h"

/* ---- Random run -----------------------------------------------------------------------------------------
 */

#define MEMBERS 4
#define RANDOM_ENGINES 5
#define RANDOM_STEPS 20000

/* The run's own books, to compare with. */
typedef struct
{
  World world;
  GRand *random;
  GHashTable *undecided; /* request id -> deadline_us */
  GArray *grants;        /* RunningGrant              */
  guint64 served[MEMBERS];
  guint on_engine[RANDOM_ENGINES];
  gboolean leaving[RANDOM_ENGINES];
} RandomRun;

typedef struct
{
  guint64 id;
  guint engine;
  guint member;
  gint64 deadline_us;
} RunningGrant;

static const char *const engine_names[RANDOM_ENGINES] = { "0", "1", "2", "3", "4" };
static const char *const member_names[MEMBERS] = { "0", "1", "2", "3" };

static void
check_decisions (RandomRun *run)
{
  for (guint i = 0; i < run->world.decisions->len; i++)
    {
      const QuinceGrantReply *reply = &((QuinceDecision *)run->world.decisions->pdata[i])->reply;
      guint64 id;
      memcpy (&id, reply->request_id, sizeof id);
      const gint64 *deadline = g_hash_table_lookup (run->undecided, &id);
      assert_non_null (deadline); /* exactly one decision */
      if (reply->verdict.kind == QUINCE_VERDICT_GRANTED)
        {
          assert_true (run->world.now_us < *deadline);
          RunningGrant grant = { .id = reply->verdict.QuinceVerdict_u.grant.grant_id,
                                 .engine = (guint)(reply->verdict.QuinceVerdict_u.grant.engine[0] - '0'),
                                 .member = (guint)(id % MEMBERS),
                                 .deadline_us = *deadline };
          assert_false (run->leaving[grant.engine]);
          assert_in_range (++run->on_engine[grant.engine], 1, 4 + grant.engine);
          run->served[grant.member]++;
          g_array_append_val (run->grants, grant);
        }
      g_hash_table_remove (run->undecided, &id);
    }
  g_ptr_array_set_size (run->world.decisions, 0);
}

static void
ask_at_random (RandomRun *run)
{
  QuinceGrantRequest request = lookup (&run->world, member_names[(run->world.next_id + 1) % MEMBERS]);
  request.deadline_ms = (guint)g_rand_int_range (run->random, 200, 3000);
  gint64 deadline_us = run->world.now_us + (gint64)request.deadline_ms * 1000;
  g_hash_table_insert (run->undecided, g_memdup2 (&run->world.next_id, 8), g_memdup2 (&deadline_us, 8));
  ask (&run->world, &request);
}

static void
end_grant (RandomRun *run, guint which, QuinceOutcome outcome)
{
  RunningGrant grant = g_array_index (run->grants, RunningGrant, which);
  g_array_remove_index_fast (run->grants, which);
  run->on_engine[grant.engine]--;
  end (&run->world, grant.id, outcome, 50);
}

static void
end_at_random (RandomRun *run)
{
  static const QuinceOutcome outcomes[]
      = { QUINCE_OUTCOME_FINISHED, QUINCE_OUTCOME_FINISHED, QUINCE_OUTCOME_BROKEN, QUINCE_OUTCOME_NOT_SENT,
          QUINCE_OUTCOME_CANCELLED };
  if (run->grants->len > 0)
    end_grant (run, (guint)g_rand_int_range (run->random, 0, (gint)run->grants->len),
               outcomes[g_rand_int_range (run->random, 0, G_N_ELEMENTS (outcomes))]);
}

/* Callers cut their work at its deadline. */
static void
end_overdue (RandomRun *run)
{
  for (guint i = run->grants->len; i-- > 0;)
    if (g_array_index (run->grants, RunningGrant, i).deadline_us <= run->world.now_us)
      end_grant (run, i, QUINCE_OUTCOME_CANCELLED);
}

static void
report_at_random (RandomRun *run)
{
  guint which = (guint)g_rand_int_range (run->random, 0, RANDOM_ENGINES);
  QuinceEngineReport sent = engine (engine_names[which], 4 + which);
  sent.running = (guint)g_rand_int_range (run->random, 0, 4);
  report (&run->world, sent);
}

static void
change_leaving_at_random (RandomRun *run)
{
  guint which = (guint)g_rand_int_range (run->random, 0, RANDOM_ENGINES);
  run->leaving[which] = g_rand_int_range (run->random, 0, 4) == 0;
  quince_scheduler_engine_leaving (run->world.scheduler, run->world.now_us, engine_names[which],
                                   QUINCE_LEAVING_MACHINE_LIST, run->leaving[which]);
}

static void
step_at_random (RandomRun *run)
{
  gint64 next_us = run->world.now_us + g_rand_int_range (run->random, 1, 4000);
  gint64 wakeup_us;
  while ((wakeup_us = quince_scheduler_next_wakeup (run->world.scheduler, run->world.now_us)) <= next_us)
    {
      run->world.now_us = MAX (run->world.now_us, wakeup_us);
      quince_scheduler_tick (run->world.scheduler, run->world.now_us, run->world.decisions);
      check_decisions (run);
    }
  run->world.now_us = MAX (next_us, run->world.now_us);
  end_overdue (run);
  check_decisions (run);
  gint action = g_rand_int_range (run->random, 0, 100);
  if (action < 60)
    ask_at_random (run);
  else if (action < 90)
    end_at_random (run);
  else if (action < 98)
    report_at_random (run);
  else
    change_leaving_at_random (run);
  check_decisions (run);
}

static void
check_no_one_overdue (RandomRun *run)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, run->undecided);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    assert_true (*(const gint64 *)value > run->world.now_us);
}

/* Jain's index: 1 when all got the same. */
static double
fairness (const guint64 *served)
{
  double sum = 0, squares = 0;
  for (guint i = 0; i < MEMBERS; i++)
    {
      sum += (double)served[i];
      squares += (double)served[i] * (double)served[i];
    }
  return sum * sum / (MEMBERS * squares);
}

static void
run_at_random (guint32 seed)
{
  RandomRun run = { 0 };
  set_up (&run.world, &quince_scheduler_default_limits);
  run.random = g_rand_new_with_seed (seed);
  run.undecided = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  run.grants = g_array_new (FALSE, FALSE, sizeof (RunningGrant));
  for (guint i = 0; i < RANDOM_ENGINES; i++)
    report (&run.world, engine (engine_names[i], 4 + i));
  for (guint i = 0; i < RANDOM_STEPS; i++)
    {
      step_at_random (&run);
      check_no_one_overdue (&run);
      assert_int_equal (counters (&run.world).waiting, g_hash_table_size (run.undecided));
    }
  assert_true (fairness (run.served) >= 0.99);
  assert_int_equal (counters (&run.world).abandoned, 0);
  quince_scheduler_stop (run.world.scheduler, run.world.now_us, run.world.decisions);
  check_decisions (&run);
  assert_int_equal (g_hash_table_size (run.undecided), 0);
  g_array_unref (run.grants);
  g_hash_table_unref (run.undecided);
  g_rand_free (run.random);
  tear_down (&run.world);
}

static void
test_random_runs (void **state)
{
  for (guint32 seed = 1; seed <= 5; seed++)
    run_at_random (seed);
}

/* One member asks ten times as much: it does not take the others' part. */
static void
test_flood_of_one_member (void **state)
{
  World world;
  guint64 served[MEMBERS] = { 0 };
  set_up (&world, &quince_scheduler_default_limits);
  report (&world, engine ("e", 1));
  QuinceGrantRequest request = lookup (&world, "0");
  ask (&world, &request);
  guint64 grant_id = expect_grant (&world).grant_id;
  for (guint i = 0; i < 1000; i++)
    {
      request = lookup (&world, member_names[i % 10 < MEMBERS - 1 ? i % 10 + 1 : 0]);
      request.deadline_ms = 3600000;
      ask (&world, &request);
    }
  assert_int_equal (world.decisions->len, 0);
  for (guint i = 0; i < 200; i++)
    {
      world.now_us += SECOND / 100;
      report (&world, engine ("e", 1));
      end (&world, grant_id, QUINCE_OUTCOME_FINISHED, 10);
      guint64 id;
      memcpy (&id, ((QuinceDecision *)world.decisions->pdata[0])->reply.request_id, sizeof id);
      guint asked = (guint)(id - 2) % 10;
      served[asked < MEMBERS - 1 ? asked + 1 : 0]++;
      grant_id = expect_grant (&world).grant_id;
    }
  assert_true (fairness (served) >= 0.99);
  tear_down (&world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_random_runs),
    cmocka_unit_test (test_flood_of_one_member),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
