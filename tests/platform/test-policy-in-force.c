/*
 * test-policy-in-force.c: an accepted policy is in force at every process 3 s after it was accepted, and no
 * process decides by an earlier one again, whoever is cut from whom meanwhile.
 *
 * A process that can hear neither the store nor the leader is judged from the moment on when it can.
 */
#include "policy-scene.h"

#define EARLY_ANSWERS 6
#define BATCH_ITEMS 8
/* Above the promise. */
#define PAIR_MS 3500
/* Below the promise: what is thawed has some of it left. */
#define FREEZE_MS 2000
/* Above each silence after which processes give others up. */
#define ZONE_MS 15100

static guint
follower (const Scene *scene)
{
  return (scene->leader + 1) % PATH_REPLICAS;
}

static void
hold_leader_and_follower (Scene *scene, gboolean held)
{
  relayed_set_paused (scene->world, RELAYED_REPLICA_PROCESS (scene->leader),
                      RELAYED_REPLICA (follower (scene)), held);
  relayed_set_paused (scene->world, RELAYED_REPLICA_PROCESS (follower (scene)),
                      RELAYED_REPLICA (scene->leader), held);
}

static void
hold_front_and_leader (Scene *scene, gboolean held)
{
  relayed_set_paused (scene->world, 0, RELAYED_REPLICA (scene->leader), held);
}

static void
hold_front_and_worker (Scene *scene, gboolean held)
{
  relayed_set_paused (scene->world, 0, RELAYED_PLAIN (0), held);
  relayed_set_paused (scene->world, 0, RELAYED_MODEL (0), held);
}

static void
hold_leader_and_store (Scene *scene, gboolean held)
{
  relayed_set_paused (scene->world, RELAYED_REPLICA_PROCESS (scene->leader), RELAYED_STORE, held);
}

static void
hold_replicas_and_store (Scene *scene, gboolean held)
{
  for (guint i = 0; i < PATH_REPLICAS; i++)
    relayed_set_paused (scene->world, RELAYED_REPLICA_PROCESS (i), RELAYED_STORE, held);
  /* Who hears of it neither from the store nor from a leader that does. */
  for (guint i = 0; i < PATH_REPLICAS; i++)
    scene->isolated[RELAYED_REPLICA_PROCESS (i)] = held;
}

static void
hold_fronts_and_store (Scene *scene, gboolean held)
{
  for (guint i = 0; i < PATH_FRONTS; i++)
    relayed_set_paused (scene->world, i, RELAYED_STORE, held);
}

static void
hold_all_but_leader_and_store (Scene *scene, gboolean held)
{
  for (guint i = 0; i < RELAYED_N_PROCESSES; i++)
    if (i != RELAYED_REPLICA_PROCESS (scene->leader))
      relayed_set_paused (scene->world, i, RELAYED_STORE, held);
}

static void
freeze_leader (Scene *scene, gboolean held)
{
  QuinceProcess *leader = scene->world->path->replicas[scene->leader];
  (held ? quince_process_suspend : quince_process_resume) (leader);
  scene->isolated[RELAYED_REPLICA_PROCESS (scene->leader)] = held;
}

static void
freeze_front (Scene *scene, gboolean held)
{
  (held ? quince_process_suspend : quince_process_resume) (scene->world->path->fronts[0]);
  scene->isolated[0] = held;
}

static void
kill_leader (Scene *scene, gboolean held)
{
  scene->isolated[RELAYED_REPLICA_PROCESS (scene->leader)] = held;
  if (held)
    quince_process_kill (scene->world->path->replicas[scene->leader]);
  else
    relayed_start_process (scene->world, RELAYED_REPLICA_PROCESS (scene->leader));
}

static void
isolate_leader (Scene *scene, gboolean held)
{
  relayed_set_replica_isolated (scene->world, scene->leader, held);
  scene->isolated[RELAYED_REPLICA_PROCESS (scene->leader)] = held;
}

static void
isolate_front (Scene *scene, gboolean held)
{
  relayed_set_process_paused (scene->world, 0, held);
  scene->isolated[0] = held;
}

/* The leader, a front and two workers on one side; the store and all others on the other. */
static void
isolate_zone (Scene *scene, gboolean held)
{
  guint leader = RELAYED_REPLICA_PROCESS (scene->leader);
  for (guint i = 0; i < RELAYED_N_PROCESSES; i++)
    for (guint j = 0; j < RELAYED_N_TARGETS; j++)
      {
        gboolean from_here = i == 0 || i == leader;
        gboolean to_here
            = j == RELAYED_REPLICA (scene->leader) || j == RELAYED_PLAIN (0) || j == RELAYED_MODEL (0);
        if (from_here != to_here)
          relayed_set_paused (scene->world, i, j, held);
      }
  scene->isolated[0] = held;
  scene->isolated[leader] = held;
}

/**
 * ApartCase:
 * @set: takes something away, or gives it back
 * @hold_ms: how long it is away after the policy is in force
 * @policy: accepted meanwhile
 */
typedef struct
{
  const char *name;
  void (*set) (Scene *scene, gboolean held);
  guint hold_ms;
  const char *policy;
  gboolean is_cut; /* relays are held: the case fails when they held nothing */
} ApartCase;

static const ApartCase cases[] = {
  { "leader and a follower", hold_leader_and_follower, PAIR_MS, admit_all_policy, TRUE },
  { "a front and the leader", hold_front_and_leader, PAIR_MS, refuse_lookups_policy, TRUE },
  { "a front and workers", hold_front_and_worker, PAIR_MS, refuse_lookups_policy, TRUE },
  { "leader and the store", hold_leader_and_store, PAIR_MS, refuse_lookups_policy, TRUE },
  { "all replicas and the store", hold_replicas_and_store, PAIR_MS, refuse_lookups_policy, TRUE },
  { "all fronts and the store", hold_fronts_and_store, PAIR_MS, refuse_lookups_policy, TRUE },
  { "all but the leader and the store", hold_all_but_leader_and_store, PAIR_MS, refuse_lookups_policy, TRUE },
  { "leader frozen", freeze_leader, FREEZE_MS, refuse_lookups_policy, FALSE },
  { "front frozen", freeze_front, FREEZE_MS, refuse_lookups_policy, FALSE },
  { "leader killed", kill_leader, PAIR_MS, refuse_lookups_policy, FALSE },
  { "leader apart", isolate_leader, ZONE_MS, refuse_lookups_policy, TRUE },
  { "front apart", isolate_front, PAIR_MS, admit_all_policy, TRUE },
  { "a zone apart", isolate_zone, ZONE_MS, admit_all_policy, TRUE },
};

static gboolean
all_fronts_answer (Scene *scene)
{
  for (guint i = 0; i < PATH_FRONTS; i++)
    if (path_status (path_front (scene->world->path, i), "POST", "/l/after", "after", "x") != 200)
      return FALSE;
  return TRUE;
}

/* ---- Samples ------------------------------------------------------------ */

/* A step of a trainer, none of whose samples may be of older weights than @oldest. */
static void
submit (Scene *scene, guint front, const char *batch, guint oldest)
{
  g_autofree char *text = path_make_batch (batch, BATCH_ITEMS);
  g_autofree char *wanted = g_strdup_printf ("\"minVersion\":%u", oldest);
  g_auto (GStrv) parts = g_strsplit (text, "\"minVersion\":1", 2);
  g_autofree char *changed = g_strjoinv (wanted, parts);
  AWAIT (path_status (path_front (scene->world->path, front), "POST", "/r/x", batch, changed) == 202);
}

static void
assert_trained (Scene *scene, guint front, const char *batch, guint oldest)
{
  AWAIT (path_count_results (scene->world->path, front, batch) == BATCH_ITEMS);
  g_autofree char *text = path_read_results (scene->world->path, front, batch);
  assert_int_equal (path_count_occurrences (text, "\"state\":\"completed\""), BATCH_ITEMS);
  assert_int_equal (path_count_occurrences (text, "\"message\":\"e1\\ne2\\ne3\\ne4\\ne5\\ne6\""),
                    BATCH_ITEMS);
  for (guint version = 1; version < oldest; version++)
    {
      g_autofree char *stale = g_strdup_printf ("\"versions\":[%u", version);
      assert_int_equal (path_count_occurrences (text, stale), 0);
    }
}

/* ---- The cases ---------------------------------------------------------- */

static void
run_apart (Scene *scene, const ApartCase *one)
{
  one->set (scene, TRUE);
  standin_store_put (scene->world->path->store, "op/version/model-a",
                     "{\"model\":\"model-a\",\"version\":2}");
  accept_policy (scene, one->policy);
  gint64 bound_us = scene->accepted_us + IN_FORCE_MAX_MS * 1000;
  assert_in_force (scene, scene->accepted_us, FALSE);
  AWAIT (g_get_monotonic_time () > bound_us || one->hold_ms < IN_FORCE_MAX_MS);
  guint runs_before = count_runs (scene, NULL);
  run_for (one->hold_ms);
  assert_true (!one->is_cut || relayed_count_paused_connections (scene->world) > 0);
  if (one->policy == refuse_lookups_policy && one->hold_ms > IN_FORCE_MAX_MS)
    assert_int_equal (count_runs (scene, NULL), runs_before);
  one->set (scene, FALSE);
  assert_in_force (scene, g_get_monotonic_time (), TRUE);
  AWAIT (g_get_monotonic_time () > bound_us);
  guint runs = count_runs (scene, NULL);
  run_for (500);
  if (one->policy == refuse_lookups_policy)
    assert_int_equal (count_runs (scene, NULL), runs);
}

static void
test_apart (void **state)
{
  const ApartCase *one = *state;
  Scene scene;
  start_scene (&scene, "apart");
  submit (&scene, 0, "b1", 1);
  submit (&scene, 1, "b2", 2);
  scene.timer = g_timeout_add (CALL_INTERVAL_MS, start_call, &scene);
  AWAIT (count_complete (&scene) > EARLY_ANSWERS);
  run_apart (&scene, one);
  g_source_remove (scene.timer);
  accept_policy (&scene, admit_all_policy);
  assert_in_force (&scene, scene.accepted_us, TRUE);
  AWAIT (all_fronts_answer (&scene));
  assert_calls (&scene);
  submit (&scene, 0, "b3", 2);
  for (guint i = 0; i < PATH_FRONTS; i++)
    {
      assert_trained (&scene, i, "b1", 1);
      assert_trained (&scene, i, "b2", 2);
      assert_trained (&scene, i, "b3", 2);
    }
  stop_scene (&scene);
}

int
main (int argc, char **argv)
{
  relayed_allow_preload ();
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  struct CMUnitTest tests[G_N_ELEMENTS (cases)];
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    tests[i] = (struct CMUnitTest){ cases[i].name, test_apart, NULL, NULL, (void *)&cases[i] };
  return cmocka_run_group_tests_name ("policy-in-force", tests, NULL, NULL);
}
