/*
 * test-zone-loss.c: a whole zone is lost at once, with its disks, and comes back empty; by real processes.
 */
#include "zone-world.h"

/* From the loss of a zone to its next stage; far above what it takes (about two seconds), and below the time
 * in which the users' deployments must recover. */
#define RECOVERY_MAX_MS 15000

typedef struct
{
  gint64 lost_us;
  gint64 taken_us;  /* the next acknowledgement */
  gint64 run_us;    /* the first run of what it acknowledged */
  gint64 result_us; /* its first result */
} Recovery;

static gint64
since_ms (gint64 from_us, gint64 to_us)
{
  return (to_us - from_us) / 1000;
}

/* What was acknowledged last before the loss is still running then. */
static void
prepare (ZoneWorld *world)
{
  zone_world_start (world);
  zone_await_whole (world, 0, zone_submit (world, ZONES));
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->path->model[i], 6, 100);
  ZoneBatch *open = zone_submit (world, ZONES);
  AWAIT (zone_runs (world, open, NULL) > 0);
}

static void
serve_elsewhere (ZoneWorld *world, guint lost)
{
  for (guint i = 0; i < PATH_FRONTS; i++)
    if (i != lost)
      assert_true (zone_serves (world, i));
}

/* A zone is lost: callers elsewhere are served on, and what comes next is taken, run and listed. */
static void
lose (ZoneWorld *world, guint zone, const char *name)
{
  Recovery at = { .lost_us = g_get_monotonic_time () };
  zone_lose (world, zone);
  serve_elsewhere (world, zone);
  ZoneBatch *next = zone_submit (world, zone);
  guint front = (zone + 1) % ZONES;
  at.taken_us = next->taken_us;
  AWAIT (zone_runs (world, next, &at.run_us) > 0);
  AWAIT (zone_read (world, front, next) - 1 < ZONE_ITEMS);
  at.result_us = g_get_monotonic_time ();
  serve_elsewhere (world, zone);
  print_message ("  %s: next acknowledgement %" G_GINT64_FORMAT " ms, first run %" G_GINT64_FORMAT
                 " ms, first result %" G_GINT64_FORMAT " ms after the loss\n",
                 name, since_ms (at.lost_us, at.taken_us), since_ms (at.lost_us, at.run_us),
                 since_ms (at.lost_us, at.result_us));
  assert_true (since_ms (at.lost_us, at.result_us) < RECOVERY_MAX_MS);
  for (guint i = 0; i < world->batches->len; i++)
    zone_await_whole (world, front, world->batches->pdata[i]);
}

static void
come_back (ZoneWorld *world, guint zone)
{
  zone_return (world, zone);
  AWAIT (zone_is_spread (world));
  for (guint i = 0; i < PATH_FRONTS; i++)
    AWAIT (zone_serves (world, i));
  zone_await_whole (world, zone, zone_submit (world, ZONES));
  zone_check_all (world);
}

/* ---- One zone ------------------------------------------------------------------ */

static void
test_zone_of_the_leader (void **state)
{
  ZoneWorld *world = zone_world_new ("zone-leader");
  prepare (world);
  guint zone = zone_of_leader (world);
  lose (world, zone, "the leader's zone");
  come_back (world, zone);
  zone_world_free (world);
}

static void
test_other_zone (void **state)
{
  ZoneWorld *world = zone_world_new ("zone-other");
  prepare (world);
  guint zone = (zone_of_leader (world) + 1) % ZONES;
  lose (world, zone, "another zone");
  come_back (world, zone);
  zone_world_free (world);
}

/* The second one is lost as soon as the first is back and its members hold the ledger again. */
static void
test_two_zones_in_turn (void **state)
{
  ZoneWorld *world = zone_world_new ("zone-turn");
  prepare (world);
  for (guint i = 0; i < 2; i++)
    {
      guint zone = zone_of_leader (world);
      lose (world, zone, i == 0 ? "the first of two" : "the second of two");
      come_back (world, zone);
    }
  zone_world_free (world);
}

/* ---- Beside a change of machines ------------------------------------------------- */

/* A member in a zone that stays is being emptied. */
static void
test_while_one_is_emptied (void **state)
{
  ZoneWorld *world = zone_world_new ("zone-emptied");
  prepare (world);
  guint zone = zone_of_leader (world);
  guint leaving = (zone + 1) % ZONES;
  g_autofree char *key = g_strdup_printf ("op/retire/replica-%u", leaving);
  g_autofree char *status = g_strdup_printf ("status/retire/replica-%u", leaving);
  standin_store_put (world->path->store, key, "{\"durationS\":20}");
  run_for (50);
  lose (world, zone, "the leader's zone while a machine is emptied");
  zone_return (world, zone);
  AWAIT (g_strcmp0 (standin_store_get (world->path->store, status), "{\"state\":\"completed\"}") == 0);
  quince_process_kill (world->path->replicas[leaving]);
  AWAIT (zone_is_spread (world));
  zone_await_whole (world, zone, zone_submit (world, ZONES));
  zone_check_all (world);
  zone_world_free (world);
}

/* A machine elsewhere is gone for good, others have its place in the ledger, and a new machine at another
 * address is still being brought up to date. */
static void
test_while_one_is_replaced (void **state)
{
  ZoneWorld *world = zone_world_new ("zone-replaced");
  prepare (world);
  guint zone = zone_of_leader (world);
  guint gone = (zone + 1) % ZONES;
  world->path->replica_zones[ZONE_ADDED] = zone_names[gone];
  quince_process_kill (world->path->replicas[gone]);
  path_delete_replica_data (world->path, gone);
  path_start_replica (world->path, ZONE_ADDED);
  AWAIT (!zone_is_member (world, gone) && zone_is_spread (world));
  zone = zone_of_leader (world);
  lose (world, zone, "the leader's zone after a machine was replaced");
  g_clear_pointer (&world->path->replicas[gone], quince_process_free);
  come_back (world, zone);
  zone_world_free (world);
}

static void
test_while_one_is_added (void **state)
{
  ZoneWorld *world = zone_world_new ("zone-added");
  prepare (world);
  guint zone = zone_of_leader (world);
  world->path->replica_zones[ZONE_ADDED] = zone_names[(zone + 2) % ZONES];
  path_start_replica (world->path, ZONE_ADDED);
  lose (world, zone, "the leader's zone while a machine is added");
  come_back (world, zone);
  zone_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_zone_of_the_leader),    cmocka_unit_test (test_other_zone),
    cmocka_unit_test (test_two_zones_in_turn),     cmocka_unit_test (test_while_one_is_emptied),
    cmocka_unit_test (test_while_one_is_replaced), cmocka_unit_test (test_while_one_is_added),
  };
  return cmocka_run_group_tests_name ("zone-loss", tests, NULL, NULL);
}
