/*
 * test-suspension.c: a machine that is suspended: its steady clock stands still, the clock of every right
 * goes on.
 *
 * A suspended process is stopped, and its clock (boot-clock.c) moved on, before it goes on.
 */
#include "path-world.h"

/* Longer than any lease, deadline and patience of the product. */
#define AWAY_MS 12000
/* What a process does wrong it does at once when it goes on. */
#define AFTER_MS 700
#define LONG_EVENTS 100000

static char *
clock_file (const PathWorld *world, const char *name)
{
  return g_strdup_printf ("%s/%s.clock", world->folder, name);
}

static void
use_clock (const PathWorld *world, const char *name)
{
  g_autofree char *file = clock_file (world, name);
  g_setenv ("QUINCE_BOOT_CLOCK", file, TRUE);
}

static void
suspend (QuinceProcess *process)
{
  quince_process_suspend (process);
  run_for (50);
}

static void
resume (PathWorld *world, QuinceProcess *process, const char *name)
{
  g_autofree char *file = clock_file (world, name);
  g_autofree char *moved = g_strdup_printf ("%lld", (long long)AWAY_MS * 1000);
  g_assert_true (g_file_set_contents (file, moved, -1, NULL));
  quince_process_resume (process);
}

/* Every process has a clock of its own. */
static PathWorld *
start_world (const char *name)
{
  PathWorld *world = path_world_new (name);
  path_reserve_links (world);
  path_configure (world, 7);
  path_register_workers (world);
  g_setenv ("LD_PRELOAD", g_getenv ("QUINCE_BOOT_CLOCK_LIBRARY"), TRUE);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    {
      g_autofree char *own = g_strdup_printf ("replica-%u", i);
      use_clock (world, own);
      path_start_replica (world, i);
    }
  for (guint i = 0; i < PATH_FRONTS; i++)
    {
      g_autofree char *own = g_strdup_printf ("front-%u", i);
      use_clock (world, own);
      path_start_front (world, i);
    }
  g_unsetenv ("LD_PRELOAD");
  world->bootstrapped = TRUE;
  for (guint i = 0; i < PATH_FRONTS; i++)
    AWAIT (path_status (path_front (world, i), "GET", "/quinceroute/lots/none", "q", NULL) == 404);
  return world;
}

static gboolean
has_logged (const PathWorld *world, const char *name, const char *part)
{
  g_autofree char *file = g_strdup_printf ("%s/%s.out", world->folder, name);
  g_autofree char *text = NULL;
  return g_file_get_contents (file, &text, NULL, NULL) && strstr (text, part) != NULL;
}

static guint
model_runs (const PathWorld *world, const char *id)
{
  guint count = 0;
  for (guint i = 0; i < PATH_MODEL; i++)
    {
      const GPtrArray *runs = standin_worker_get_runs (world->model[i]);
      for (guint j = 0; j < runs->len; j++)
        count += g_str_equal (((const StandinRun *)runs->pdata[j])->id, id);
    }
  return count;
}

/* A stream's worker dies while its front is suspended for longer than the caller waits: it is not sent on. */
static void
test_deadline (void **state)
{
  PathWorld *world = start_world ("deadline");
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->model[i], LONG_EVENTS, 20);
  PathAnswer answer;
  path_start_call (path_front (world, 0), "POST", "/s/1", "late", "x", &answer);
  AWAIT (model_runs (world, "late") == 1);
  suspend (world->fronts[0]);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_server_close_connections (standin_worker_get_server (world->model[i]));
  resume (world, world->fronts[0], "front-0");
  AWAIT (answer.done);
  run_for (AFTER_MS);
  assert_int_equal (model_runs (world, "late"), 1);
  AWAIT (has_logged (world, "front-0", "event=suspended"));
  path_answer_clear (&answer);
  path_world_free (world);
}

/* What the operator changed meanwhile is in force after it, and the front is listed again. */
static void
test_front (void **state)
{
  PathWorld *world = start_world ("front");
  suspend (world->fronts[0]);
  standin_store_expire_leases (world->store);
  standin_store_put (world->store, "op/config",
                     "{\"version\":9,\"routes\":[],\"services\":[],\"limits\":{\"maxHeaderBytes\":16384,"
                     "\"maxBodyBytes\":100000,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
  resume (world, world->fronts[0], "front-0");
  AWAIT (path_status (path_front (world, 0), "POST", "/l/1", "after", "x") == 404);
  AWAIT (standin_store_get (world->store, "quinceroute/fronts/front-0") != NULL);
  AWAIT (standin_store_get (world->store, "quinceroute/fronts/front-1") != NULL);
  path_world_free (world);
}

static gboolean
fences_only_grow (const PathWorld *world)
{
  for (guint i = 0; i < PATH_MODEL; i++)
    {
      const GArray *fences = standin_worker_get_fencing_tokens (world->model[i]);
      for (guint j = 1; j < fences->len; j++)
        if (g_array_index (fences, guint64, j) < g_array_index (fences, guint64, j - 1))
          return FALSE;
    }
  return TRUE;
}

/* Another replica leads meanwhile; the suspended one orders nothing after it, and what was acknowledged is
 * read. */
static void
test_leader (void **state)
{
  PathWorld *world = start_world ("leader");
  g_autofree char *text = path_make_batch ("b1", 4);
  AWAIT (path_status (path_front (world, 0), "POST", "/r/x", "b1", text) == 202);
  AWAIT (path_count_results (world, 0, "b1") == 4);
  gint leader = path_find_leader (world);
  g_autofree char *name = g_strdup_printf ("replica-%d", leader);
  suspend (world->replicas[leader]);
  AWAIT (path_find_leader (world) != leader);
  standin_store_put (world->store, "op/version/model-a", "{\"model\":\"model-a\",\"version\":2}");
  AWAIT (standin_worker_get_version (world->model[0]) == 2);
  resume (world, world->replicas[leader], name);
  standin_store_put (world->store, "op/version/model-a", "{\"model\":\"model-a\",\"version\":3}");
  for (guint i = 0; i < PATH_MODEL; i++)
    AWAIT (standin_worker_get_version (world->model[i]) == 3);
  run_for (AFTER_MS);
  assert_true (fences_only_grow (world));
  assert_true (path_find_leader (world) != leader);
  for (guint i = 0; i < PATH_FRONTS; i++)
    AWAIT (path_count_results (world, i, "b1") == 4);
  path_world_free (world);
}

/* A backup that was suspended takes its own silence for nobody else's: who led leads on. */
static void
test_backup (void **state)
{
  PathWorld *world = start_world ("backup");
  gint leader = path_find_leader (world);
  guint backup = (guint)(leader + 1) % PATH_REPLICAS;
  g_autofree char *name = g_strdup_printf ("replica-%u", backup);
  suspend (world->replicas[backup]);
  resume (world, world->replicas[backup], name);
  AWAIT (has_logged (world, name, "event=suspended"));
  run_for (2000);
  assert_int_equal (path_find_leader (world), leader);
  g_autofree char *text = path_make_batch ("b2", 2);
  AWAIT (path_status (path_front (world, 0), "POST", "/r/x", "b2", text) == 202);
  AWAIT (path_count_results (world, 1, "b2") == 2);
  path_world_free (world);
}

int
main (void)
{
  const char *options = g_getenv ("ASAN_OPTIONS");
  g_autofree char *with_preload
      = g_strconcat (options != NULL ? options : "", ":verify_asan_link_order=0", NULL);
  g_setenv ("ASAN_OPTIONS", with_preload, TRUE);
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_deadline),
    cmocka_unit_test (test_front),
    cmocka_unit_test (test_leader),
    cmocka_unit_test (test_backup),
  };
  return cmocka_run_group_tests_name ("suspension", tests, NULL, NULL);
}
