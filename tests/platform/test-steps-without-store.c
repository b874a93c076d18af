/*
 * test-steps-without-store.c: a trainer's steps come to their end while the store is down and the leader of
 * the ledger is killed: the samples that it accepted are delivered, each once, before the store is back.
 */
#include "steps.h"

#define EVENT_EVERY_MS 50
#define IN_PROGRESS 4 /* samples that run when the leader is killed */
#define DOWN_MS 500   /* of the leader's process */

static guint
count_in_progress (const PathWorld *path)
{
  guint count = 0;
  for (guint i = 0; i < PATH_MODEL; i++)
    {
      const GPtrArray *runs = standin_worker_get_runs (path->model[i]);
      for (guint j = 0; j < runs->len; j++)
        {
          const StandinRun *run = runs->pdata[j];
          count += run->events->len > 0 && run->events->len < STEP_EVENTS;
        }
    }
  return count;
}

static void
test_leader_killed (void **state)
{
  RelayedWorld *world = relayed_world_new ("steps-without-store");
  Trainer trainer;
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->path->model[i], STEP_EVENTS, EVENT_EVERY_MS);
  relayed_world_start (world);
  trainer_init (&trainer, world);
  trainer_submit (&trainer);
  trainer_submit (&trainer);
  AWAIT (count_in_progress (world->path) >= IN_PROGRESS);
  guint leader = (guint)path_find_leader (world->path);
  standin_store_set_fault (world->path->store, STANDIN_STORE_UNAVAILABLE);
  standin_store_close_connections (world->path->store);
  quince_process_kill (world->path->replicas[leader]);
  run_for (DOWN_MS);
  relayed_start_process (world, RELAYED_REPLICA_PROCESS (leader));
  for (guint i = 0; i < trainer.steps->len; i++)
    AWAIT (trainer_try_read_all (&trainer, trainer.steps->pdata[i]));
  trainer_submit (&trainer);
  AWAIT (trainer_try_read_all (&trainer, trainer.steps->pdata[2]));
  standin_store_set_fault (world->path->store, STANDIN_STORE_HEALTHY);
  trainer_assert_all_steps (&trainer);
  trainer_clear (&trainer);
  relayed_world_free (world);
}

int
main (void)
{
  relayed_allow_preload ();
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_leader_killed) };
  return cmocka_run_group_tests_name ("steps-without-store", tests, NULL, NULL);
}
