/*
 * test-warmup.c: no cold worker gets more in any second than it may, from two fronts and a leader, whatever
 * becomes of the leader; warm workers carry the rest, and what nobody can take is refused at once.
 */
#include "cold-world.h"

#define LOAD_EVERY_MS 10
#define LOAD_MS 4000
/* Half the latency target of the lookups, and what an answer takes. */
#define REFUSED_MS 400

/* ---- Whose load ------------------------------------------------------------ */

/* One of two workers is cold: it gets a few, the warm one carries the rest, and nobody is refused. */
static void
test_one_is_cold (void **state)
{
  ColdWorld *world = cold_world_start ("one-cold");
  cold_register_plain_worker (world, 0, COLD_START_MS);
  run_for (COLD_PROPAGATION_MS);
  guint cold_before = cold_count_runs (world->path->plain[0]);
  guint first = world->answers->len;
  cold_send_lookups (world, LOAD_EVERY_MS, LOAD_MS);
  AWAIT (cold_all_answered (world));
  assert_int_equal (cold_count_status (world, first, 200), world->answers->len - first);
  assert_in_range (cold_max_runs_per_window (world->path->plain[0], cold_before), 1, COLD_MAX_PER_WINDOW);
  assert_true (cold_count_runs (world->path->plain[0]) - cold_before >= LOAD_MS / 1000);
  cold_world_free (world);
}

/* All are cold: they get what they may, and the rest is refused at once, with a time to come back. */
static void
test_all_are_cold (void **state)
{
  ColdWorld *world = cold_world_start ("all-cold");
  guint before[PATH_PLAIN];
  for (guint i = 0; i < PATH_PLAIN; i++)
    cold_register_plain_worker (world, i, COLD_START_MS);
  run_for (COLD_PROPAGATION_MS);
  for (guint i = 0; i < PATH_PLAIN; i++)
    before[i] = cold_count_runs (world->path->plain[i]);
  guint first = world->answers->len;
  cold_send_lookups (world, LOAD_EVERY_MS, LOAD_MS);
  gint64 end = g_get_monotonic_time ();
  AWAIT (cold_all_answered (world));
  assert_true (g_get_monotonic_time () - end < REFUSED_MS * 1000);
  guint refused = cold_count_status (world, first, 503);
  guint served = cold_count_status (world, first, 200);
  assert_int_equal (refused + served, world->answers->len - first);
  assert_true (refused > 0);
  guint runs = 0;
  for (guint i = 0; i < PATH_PLAIN; i++)
    {
      assert_in_range (cold_max_runs_per_window (world->path->plain[i], before[i]), 1, COLD_MAX_PER_WINDOW);
      runs += cold_count_runs (world->path->plain[i]) - before[i];
    }
  assert_int_equal (runs, served); /* what was refused has not run */
  /* At least the 4 a second that each bears, but for the first second. */
  assert_true (served >= PATH_PLAIN * 4 * (LOAD_MS / 1000 - 1));
  for (guint i = first; i < world->answers->len; i++)
    {
      const PathAnswer *answer = world->answers->pdata[i];
      assert_true (answer->status != 503 || answer->retry_after != NULL);
    }
  cold_world_free (world);
}

/* A batch for a pool that returned cold as a whole. */
static void
test_samples (void **state)
{
  ColdWorld *world = cold_world_start ("samples");
  guint before[PATH_MODEL];
  for (guint i = 0; i < PATH_MODEL; i++)
    cold_register_model_worker (world, i, COLD_START_MS);
  run_for (COLD_PROPAGATION_MS);
  for (guint i = 0; i < PATH_MODEL; i++)
    before[i] = cold_count_runs (world->path->model[i]);
  g_autofree char *text = path_make_batch ("lot-cold", 60);
  AWAIT (path_status (path_front (world->path, 0), "POST", "/r/lot", "lot-cold", text) == 202);
  AWAIT (path_count_results (world->path, 0, "lot-cold") == 60);
  for (guint i = 0; i < PATH_MODEL; i++)
    assert_in_range (cold_max_runs_per_window (world->path->model[i], before[i]), 1, COLD_MAX_PER_WINDOW);
  cold_world_free (world);
}

/* Streams of two fronts and samples of the leader, at the same cold workers. */
static void
test_streams_and_samples (void **state)
{
  ColdWorld *world = cold_world_start ("streams");
  guint before[PATH_MODEL];
  for (guint i = 0; i < PATH_MODEL; i++)
    cold_register_model_worker (world, i, COLD_START_MS);
  run_for (COLD_PROPAGATION_MS);
  for (guint i = 0; i < PATH_MODEL; i++)
    before[i] = cold_count_runs (world->path->model[i]);
  guint first = world->answers->len;
  g_autofree char *text = path_make_batch ("lot-both", 30);
  AWAIT (path_status (path_front (world->path, 0), "POST", "/r/lot", "lot-both", text) == 202);
  for (guint i = 0; i < 2 * LOAD_MS / LOAD_EVERY_MS; i++)
    {
      cold_send_request (world, "/u/1");
      run_for (LOAD_EVERY_MS);
    }
  AWAIT (cold_all_answered (world));
  AWAIT (path_count_results (world->path, 0, "lot-both") == 30);
  assert_true (cold_count_status (world, first, 200) > 0);
  assert_true (cold_count_status (world, first, 503) > 0);
  for (guint i = 0; i < PATH_MODEL; i++)
    assert_in_range (cold_max_runs_per_window (world->path->model[i], before[i]), 1, COLD_MAX_PER_WINDOW);
  for (guint i = first; i < world->answers->len; i++)
    {
      const PathAnswer *answer = world->answers->pdata[i];
      assert_true (answer->status != 503 || answer->retry_after != NULL);
    }
  cold_world_free (world);
}

/* ---- The leader ------------------------------------------------------------ */

static gint
await_leader (ColdWorld *world)
{
  AWAIT (path_find_leader (world->path) >= 0);
  return path_find_leader (world->path);
}

static void
assert_bound (ColdWorld *world, const guint *before)
{
  AWAIT (cold_all_answered (world));
  for (guint i = 0; i < PATH_PLAIN; i++)
    assert_in_range (cold_max_runs_per_window (world->path->plain[i], before[i]), 1, COLD_MAX_PER_WINDOW);
}

static void
make_all_cold (ColdWorld *world, guint *before)
{
  for (guint i = 0; i < PATH_PLAIN; i++)
    cold_register_plain_worker (world, i, COLD_START_MS);
  run_for (COLD_PROPAGATION_MS);
  for (guint i = 0; i < PATH_PLAIN; i++)
    before[i] = cold_count_runs (world->path->plain[i]);
}

static void
test_leader_killed (void **state)
{
  ColdWorld *world = cold_world_start ("leader-killed");
  guint before[PATH_PLAIN];
  gint leader = await_leader (world);
  make_all_cold (world, before);
  cold_send_lookups (world, LOAD_EVERY_MS, 1500);
  quince_process_kill (world->path->replicas[leader]);
  cold_send_lookups (world, LOAD_EVERY_MS, LOAD_MS);
  AWAIT (await_leader (world) != leader);
  guint served = cold_count_runs (world->path->plain[0]);
  cold_send_lookups (world, LOAD_EVERY_MS, LOAD_MS);
  assert_true (cold_count_runs (world->path->plain[0]) > served); /* the next one gives */
  assert_bound (world, before);
  cold_world_free (world);
}

/* The leader stands still and goes on, while another one leads. */
static void
test_leader_frozen (void **state)
{
  ColdWorld *world = cold_world_start ("leader-frozen");
  guint before[PATH_PLAIN];
  gint leader = await_leader (world);
  make_all_cold (world, before);
  cold_send_lookups (world, LOAD_EVERY_MS, 1500);
  quince_process_suspend (world->path->replicas[leader]);
  cold_send_lookups (world, LOAD_EVERY_MS, LOAD_MS);
  quince_process_resume (world->path->replicas[leader]);
  cold_send_lookups (world, LOAD_EVERY_MS, LOAD_MS);
  assert_bound (world, before);
  cold_world_free (world);
}

/* Short stops, that nobody takes the lead for. */
static void
test_leader_stutters (void **state)
{
  ColdWorld *world = cold_world_start ("leader-stutters");
  guint before[PATH_PLAIN];
  gint leader = await_leader (world);
  make_all_cold (world, before);
  for (guint i = 0; i < 12; i++)
    {
      quince_process_suspend (world->path->replicas[leader]);
      cold_send_lookups (world, LOAD_EVERY_MS, 150);
      quince_process_resume (world->path->replicas[leader]);
      cold_send_lookups (world, LOAD_EVERY_MS, 200);
    }
  assert_bound (world, before);
  cold_world_free (world);
}

/* Fronts without a leader send nothing to cold workers, and refuse at once. */
static void
test_no_leader (void **state)
{
  ColdWorld *world = cold_world_start ("no-leader");
  guint before[PATH_PLAIN];
  make_all_cold (world, before);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    quince_process_kill (world->path->replicas[i]);
  run_for (500); /* the last lease ends */
  guint first = world->answers->len;
  guint runs = cold_count_runs (world->path->plain[0]) + cold_count_runs (world->path->plain[1]);
  cold_send_lookups (world, LOAD_EVERY_MS, 1000);
  gint64 end = g_get_monotonic_time ();
  AWAIT (cold_all_answered (world));
  assert_true (g_get_monotonic_time () - end < REFUSED_MS * 1000);
  assert_int_equal (cold_count_status (world, first, 503), world->answers->len - first);
  assert_int_equal (cold_count_runs (world->path->plain[0]) + cold_count_runs (world->path->plain[1]), runs);
  cold_world_free (world);
}

/* A front stands still under a lease, and goes on. */
static void
test_front_frozen (void **state)
{
  ColdWorld *world = cold_world_start ("front-frozen");
  guint before[PATH_PLAIN];
  make_all_cold (world, before);
  for (guint i = 0; i < 8; i++)
    {
      cold_send_lookups (world, LOAD_EVERY_MS, 200);
      quince_process_suspend (world->path->fronts[i % PATH_FRONTS]);
      cold_send_lookups (world, LOAD_EVERY_MS, 700);
      quince_process_resume (world->path->fronts[i % PATH_FRONTS]);
    }
  assert_bound (world, before);
  cold_world_free (world);
}

/* ---- What is known of warmth ------------------------------------------------- */

/* Warm, cold, warm and cold again: bounded only while it is cold. */
static void
test_cold_again (void **state)
{
  ColdWorld *world = cold_world_start ("cold-again");
  for (guint round = 0; round < 2; round++)
    {
      for (guint i = 0; i < PATH_PLAIN; i++)
        cold_register_plain_worker (world, i, 0);
      run_for (COLD_PROPAGATION_MS);
      guint warm_before = cold_count_runs (world->path->plain[0]);
      cold_send_lookups (world, LOAD_EVERY_MS, 1000);
      AWAIT (cold_all_answered (world));
      assert_true (cold_max_runs_per_window (world->path->plain[0], warm_before) > COLD_MAX_PER_WINDOW);
      guint before[PATH_PLAIN];
      make_all_cold (world, before);
      cold_send_lookups (world, LOAD_EVERY_MS, 1500);
      cold_register_plain_worker (world, 0, COLD_START_MS / 2); /* a heartbeat */
      cold_send_lookups (world, LOAD_EVERY_MS, 1500);
      assert_bound (world, before);
    }
  cold_world_free (world);
}

/* An entry that says nothing and appears during traffic is of a worker that starts; after coldStartS it is
 * warm.  Workers of the first listing are warm. */
static void
test_untold (void **state)
{
  ColdWorld *world = cold_world_start ("untold");
  for (guint i = 0; i < PATH_PLAIN; i++)
    cold_register_plain_worker (world, i, -1);
  run_for (COLD_PROPAGATION_MS);
  guint before = cold_count_runs (world->path->plain[0]);
  cold_send_lookups (world, LOAD_EVERY_MS, 1000);
  assert_true (cold_max_runs_per_window (world->path->plain[0], before) > COLD_MAX_PER_WINDOW);
  standin_store_remove (world->path->store, "servers/p0");
  standin_worker_crash (world->path->plain[0]);
  cold_send_lookups (world, LOAD_EVERY_MS, 500);
  standin_worker_restart (world->path->plain[0], "p0-again");
  before = cold_count_runs (world->path->plain[0]);
  cold_register_plain_worker (world, 0, -1);
  cold_send_lookups (world, LOAD_EVERY_MS, COLD_START_MS);
  AWAIT (cold_all_answered (world));
  assert_in_range (cold_max_runs_per_window (world->path->plain[0], before), 1, COLD_MAX_PER_WINDOW);
  run_for (COLD_PROPAGATION_MS);
  before = cold_count_runs (world->path->plain[0]);
  cold_send_lookups (world, LOAD_EVERY_MS, 1000);
  assert_true (cold_max_runs_per_window (world->path->plain[0], before) > COLD_MAX_PER_WINDOW);
  cold_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_one_is_cold),     cmocka_unit_test (test_all_are_cold),
    cmocka_unit_test (test_samples),         cmocka_unit_test (test_streams_and_samples),
    cmocka_unit_test (test_leader_killed),   cmocka_unit_test (test_leader_frozen),
    cmocka_unit_test (test_leader_stutters), cmocka_unit_test (test_no_leader),
    cmocka_unit_test (test_front_frozen),    cmocka_unit_test (test_cold_again),
    cmocka_unit_test (test_untold),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
