/*
 * test-warmup-soak.c: workers that end and come back cold, again and again, under a load that is more than
 * they bear, beside kills, freezes and outages of the store; seeded by SOAK_SEED (1 where it is not set).
 *
 * What must hold: no worker gets more in any second than it may, from its start until its entry tells that it
 * is warm; and afterwards every request is answered.
 */
#include <stdlib.h>

#include "cold-world.h"

#define TROUBLE_MS 12000
#define STEP_MS 20
#define FREEZE_STEPS 30
#define OUTAGE_STEPS 40
#define DEAD_STEPS 10
#define COLD_STEPS (COLD_START_MS / STEP_MS)

typedef struct
{
  guint dead_steps; /* until it is back; 0: it lives */
  guint cold_steps; /* until it is warm; 0: it is */
  guint first;      /* number of its first run since it is back */
} Plain;

typedef struct
{
  ColdWorld *world;
  GRand *random;
  Plain plain[PATH_PLAIN];
  QuinceProcess *frozen;
  guint frozen_steps;
  guint outage_steps;
  guint incarnations;
  guint starts; /* cold ones that were looked at */
} Soak;

static void
end_worker (Soak *soak, guint index)
{
  StandinWorker *worker = soak->world->path->plain[index];
  g_autofree char *key = g_strdup_printf ("servers/%s", standin_worker_get_id (worker));
  standin_worker_crash (worker);
  standin_store_remove (soak->world->path->store, key);
  soak->plain[index].dead_steps = DEAD_STEPS;
}

static void
begin_cold (Soak *soak, guint index)
{
  StandinWorker *worker = soak->world->path->plain[index];
  g_autofree char *id = g_strdup_printf ("p%u-%u", index, ++soak->incarnations);
  standin_worker_restart (worker, id);
  soak->plain[index].first = cold_count_runs (worker);
  soak->plain[index].cold_steps = COLD_STEPS;
  cold_register_plain_worker (soak->world, index, COLD_START_MS);
}

static void
end_cold (Soak *soak, guint index)
{
  guint most = cold_max_runs_per_window (soak->world->path->plain[index], soak->plain[index].first);
  if (most > COLD_MAX_PER_WINDOW)
    fail_msg ("cold start %u: %u requests in a second", soak->starts, most);
  soak->starts++;
  cold_register_plain_worker (soak->world, index, 0);
}

static void
step_worker (Soak *soak, guint index)
{
  Plain *plain = &soak->plain[index];
  if (plain->dead_steps > 0 && --plain->dead_steps == 0)
    begin_cold (soak, index);
  else if (plain->cold_steps > 0 && --plain->cold_steps == 0)
    end_cold (soak, index);
  else if (plain->dead_steps == 0 && plain->cold_steps == 0
           && g_rand_int_range (soak->random, 0, 1500 / STEP_MS) == 0)
    end_worker (soak, index);
}

static void
restart_one (Soak *soak)
{
  PathWorld *path = soak->world->path;
  guint index = (guint)g_rand_int_range (soak->random, 0, PATH_FRONTS + PATH_REPLICAS);
  if (index < PATH_FRONTS)
    {
      quince_process_kill (path->fronts[index]);
      path_start_front (path, index);
      return;
    }
  quince_process_kill (path->replicas[index - PATH_FRONTS]);
  path_start_replica (path, index - PATH_FRONTS);
}

static void
freeze_one (Soak *soak)
{
  gint index = g_rand_int_range (soak->random, 0, PATH_FRONTS + PATH_REPLICAS);
  soak->frozen = index < PATH_FRONTS ? soak->world->path->fronts[index]
                                     : soak->world->path->replicas[index - PATH_FRONTS];
  soak->frozen_steps = FREEZE_STEPS;
  quince_process_suspend (soak->frozen);
}

static void
take_store_away (Soak *soak)
{
  static const StandinStoreFault faults[]
      = { STANDIN_STORE_UNRESPONSIVE, STANDIN_STORE_UNAVAILABLE, STANDIN_STORE_CLOSES_CONNECTIONS,
          STANDIN_STORE_DROPS_WRITE_ANSWERS };
  soak->outage_steps = OUTAGE_STEPS;
  standin_store_set_fault (soak->world->path->store,
                           faults[g_rand_int_range (soak->random, 0, G_N_ELEMENTS (faults))]);
}

static void
end_troubles (Soak *soak, gboolean now)
{
  if (soak->frozen != NULL && (now || --soak->frozen_steps == 0))
    {
      quince_process_resume (soak->frozen);
      soak->frozen = NULL;
    }
  if (soak->outage_steps > 0 && (now || --soak->outage_steps == 0))
    {
      soak->outage_steps = 0;
      standin_store_set_fault (soak->world->path->store, STANDIN_STORE_HEALTHY);
    }
}

static void
step (Soak *soak)
{
  cold_send_lookup (soak->world);
  cold_send_lookup (soak->world);
  for (guint i = 0; i < PATH_PLAIN; i++)
    step_worker (soak, i);
  gint trouble = g_rand_int_range (soak->random, 0, 200);
  if (trouble == 0 && soak->frozen == NULL)
    restart_one (soak);
  else if (trouble == 1 && soak->frozen == NULL)
    freeze_one (soak);
  else if (trouble == 2 && soak->outage_steps == 0)
    take_store_away (soak);
  run_for (STEP_MS);
  end_troubles (soak, FALSE);
}

/* All workers live and are warm. */
static gboolean
is_calm (const Soak *soak)
{
  for (guint i = 0; i < PATH_PLAIN; i++)
    if (soak->plain[i].dead_steps > 0 || soak->plain[i].cold_steps > 0)
      return FALSE;
  return TRUE;
}

static void
calm_down (Soak *soak)
{
  end_troubles (soak, TRUE);
  while (!is_calm (soak))
    {
      for (guint i = 0; i < PATH_PLAIN; i++)
        if (soak->plain[i].dead_steps > 0 || soak->plain[i].cold_steps > 0)
          step_worker (soak, i);
      run_for (STEP_MS);
    }
}

static void
test_soak (void **state)
{
  const char *seed = g_getenv ("SOAK_SEED");
  g_autoptr (GRand) random = g_rand_new_with_seed (seed != NULL ? (guint32)atoi (seed) : 1);
  Soak soak = { .world = cold_world_start ("warmup-soak"), .random = random };
  for (guint i = 0; i < TROUBLE_MS / STEP_MS; i++)
    step (&soak);
  calm_down (&soak);
  assert_true (soak.starts >= 2);
  for (guint i = 0; i < PATH_FRONTS; i++)
    AWAIT (path_status (path_front (soak.world->path, i), "POST", "/l/1", "calm", "x") == 200);
  run_for (COLD_PROPAGATION_MS);
  AWAIT (cold_all_answered (soak.world));
  guint first = soak.world->answers->len;
  cold_send_lookups (soak.world, 10, 500);
  AWAIT (cold_all_answered (soak.world));
  assert_int_equal (cold_count_status (soak.world, first, 200), soak.world->answers->len - first);
  cold_world_free (soak.world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_soak) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
