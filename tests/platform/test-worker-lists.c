/*
 * test-worker-lists.c: guards against replicas that list the workers although the leader feeds them, which
 * overloads the metadata store when a large deployment starts.
 *
 * Each process has an address of the store of its own, so that the checks name who lists what.
 */
#define PATH_FRONTS 3
#define PATH_REPLICAS 5

#include "path-world.h"

/* Prefix of the workers' entries in the store. */
#define WORKERS_PREFIX "servers/"
/* Workers that no request goes to, so that a list of all has many pages. */
#define IDLE_WORKERS 35
/* Pages in a list of all workers; the store stand-in puts two entries on each. */
#define WORKER_PAGES ((PATH_PLAIN + PATH_MODEL + IDLE_WORKERS + 1) / 2)
/* Members of the ledger with the setting losses=1. */
#define MEMBERS 3
/* The machines of the platform start within this time of each other, ms. */
#define START_SPREAD_MS 300
/* Maximum pause between the starts of two processes in a random order, ms. */
#define START_PAUSE_MAX_MS 80
/* Longer than any process waits to be fed before it lists a prefix itself, ms. */
#define LISTS_END_MS 2500

static PathWorld *
lists_world_new (const char *name)
{
  PathWorld *world = path_world_new (name);
  world->counts_store_clients = TRUE;
  path_configure (world, 7);
  path_register_workers (world);
  for (guint i = 0; i < IDLE_WORKERS; i++)
    {
      g_autofree char *key = g_strdup_printf (WORKERS_PREFIX "idle%u", i);
      g_autofree char *entry = standin_worker_make_entry (world->plain[0], "idle", "ready");
      standin_store_put (world->store, key, entry);
    }
  return world;
}

static guint64
get_view_revision (const PathWorld *world)
{
  return standin_store_get_revision (world->store, "quinceroute/ledger");
}

static void
await_service (PathWorld *world)
{
  for (guint i = 0; i < PATH_FRONTS; i++)
    {
      AWAIT (path_status (path_front (world, i), "GET", "/quinceroute/lots/none", "q", NULL) == 404);
      AWAIT (path_status (path_front (world, i), "POST", "/l/1", "q", "x") == 200);
    }
}

static guint
count_worker_lists (const PathWorld *world, guint replica)
{
  g_autofree char *name = g_strdup_printf ("replica-%u", replica);
  return standin_store_get_n_client_lists (world->store, name, WORKERS_PREFIX);
}

/* Checks that the leader listed the workers once, and no other replica did. */
static void
check_leader_lists_workers (PathWorld *world)
{
  run_for (LISTS_END_MS);
  gint leader = path_find_leader (world);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    assert_int_equal (count_worker_lists (world, i), (gint)i == leader ? WORKER_PAGES : 0);
}

static void
check_fronts_list_view (const PathWorld *world)
{
  for (guint i = 0; i < PATH_FRONTS; i++)
    {
      g_autofree char *name = g_strdup_printf ("front-%u", i);
      assert_int_equal (standin_store_get_n_client_lists (world->store, name, "quinceroute/ledger"), 1);
      assert_int_equal (standin_store_get_n_client_lists (world->store, name, NULL), 1);
    }
}

/* All processes of a new system start together. */
static void
test_new_system (void **state)
{
  PathWorld *world = lists_world_new ("worker-lists-new");
  for (guint i = 0; i < PATH_REPLICAS; i++)
    path_start_replica (world, i);
  for (guint i = 0; i < PATH_FRONTS; i++)
    path_start_front (world, i);
  await_service (world);
  check_leader_lists_workers (world);
  check_fronts_list_view (world);
  path_world_free (world);
}

/* The other replicas of a new system start one after another once the first one has written the view, so that
 * each reads the change of the view that adds it as a member when the leader begins to feed it. */
static void
test_late_replicas_of_new_system (void **state)
{
  PathWorld *world = lists_world_new ("worker-lists-late");
  path_start_replica (world, 0);
  AWAIT (get_view_revision (world) > 0);
  for (guint i = 1; i < MEMBERS; i++)
    {
      guint64 revision = get_view_revision (world);
      path_start_replica (world, i);
      AWAIT (get_view_revision (world) > revision);
    }
  for (guint i = MEMBERS; i < PATH_REPLICAS; i++)
    path_start_replica (world, i);
  for (guint i = 0; i < PATH_FRONTS; i++)
    path_start_front (world, i);
  await_service (world);
  check_leader_lists_workers (world);
  path_world_free (world);
}

/* The replica that founds the ledger and the fronts start before the other replicas: the first view names a
 * replica that can't lead alone, and so can't feed the fronts yet.  The fronts, and then the other replicas,
 * start at the same time: one after another they would take longer on a busy machine than the fronts wait for
 * a leader. */
static void
test_fronts_start_before_quorum (void **state)
{
  PathWorld *world = lists_world_new ("worker-lists-quorum");
  path_start_replica (world, 0);
  AWAIT (get_view_revision (world) > 0);
  for (guint i = 0; i < PATH_FRONTS; i++)
    world->fronts[i] = path_begin_front (world, i);
  run_for (START_SPREAD_MS);
  for (guint i = 1; i < PATH_REPLICAS; i++)
    world->replicas[i] = path_begin_replica (world, i);
  path_await_all_ready (world);
  await_service (world);
  check_leader_lists_workers (world);
  check_fronts_list_view (world);
  path_world_free (world);
}

/* Starts all processes in a random order, with random pauses of up to START_PAUSE_MAX_MS between them. */
static void
start_in_random_order (PathWorld *world, GRand *random)
{
  guint processes[PATH_REPLICAS + PATH_FRONTS];
  for (guint i = 0; i < G_N_ELEMENTS (processes); i++)
    processes[i] = i;
  for (guint left = G_N_ELEMENTS (processes); left > 0; left--)
    {
      guint chosen = (guint)g_rand_int_range (random, 0, (gint)left);
      guint process = processes[chosen];
      processes[chosen] = processes[left - 1];
      if (process < PATH_REPLICAS)
        path_start_replica (world, process);
      else
        path_start_front (world, process - PATH_REPLICAS);
      run_for ((guint)g_rand_int_range (random, 0, START_PAUSE_MAX_MS));
    }
}

/* Whatever the order in which the processes of a new system start, the leader lists the workers for all.  The
 * environment variable SOAK_SEED sets the seed. */
static void
test_random_start_order (void **state)
{
  const char *seed_text = g_getenv ("SOAK_SEED");
  guint32 seed = seed_text != NULL ? (guint32)g_ascii_strtoull (seed_text, NULL, 10) : 1;
  print_message ("  seed=%u\n", seed);
  g_autoptr (GRand) random = g_rand_new_with_seed (seed);
  PathWorld *world = lists_world_new ("worker-lists-random");
  start_in_random_order (world, random);
  await_service (world);
  check_leader_lists_workers (world);
  check_fronts_list_view (world);
  path_world_free (world);
}

/* A member of the ledger restarts while the leader lives. */
static void
test_member_restart (void **state)
{
  PathWorld *world = lists_world_new ("worker-lists-member");
  path_world_start (world);
  gint leader = path_find_leader (world);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    {
      if ((gint)i == leader)
        continue;
      guint before = count_worker_lists (world, i);
      quince_process_kill (world->replicas[i]);
      path_start_replica (world, i);
      run_for (LISTS_END_MS);
      assert_int_equal (count_worker_lists (world, i) - before, 0);
    }
  path_world_free (world);
}

/* All processes are killed and start again: only members of the ledger, any of which may lead next, list. */
static void
test_restart_of_all (void **state)
{
  PathWorld *world = lists_world_new ("worker-lists-all");
  path_reserve_links (world);
  path_world_start (world);
  guint before[PATH_REPLICAS];
  for (guint i = 0; i < PATH_REPLICAS; i++)
    {
      quince_process_kill (world->replicas[i]);
      before[i] = count_worker_lists (world, i);
    }
  for (guint i = 0; i < PATH_FRONTS; i++)
    quince_process_kill (world->fronts[i]);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    path_start_replica (world, i);
  for (guint i = 0; i < PATH_FRONTS; i++)
    path_start_front (world, i);
  await_service (world);
  run_for (LISTS_END_MS);
  guint listing = 0;
  for (guint i = 0; i < PATH_REPLICAS; i++)
    {
      guint lists = count_worker_lists (world, i) - before[i];
      assert_in_range (lists, 0, WORKER_PAGES);
      listing += lists > 0;
    }
  assert_in_range (listing, 1, MEMBERS);
  path_world_free (world);
}

int
main (int argc, char **argv)
{
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_new_system),
    cmocka_unit_test (test_late_replicas_of_new_system),
    cmocka_unit_test (test_fronts_start_before_quorum),
    cmocka_unit_test (test_random_start_order),
    cmocka_unit_test (test_member_restart),
    cmocka_unit_test (test_restart_of_all),
  };
  return cmocka_run_group_tests_name ("worker-lists", tests, NULL, NULL);
}
