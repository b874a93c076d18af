/*
 * residency-world.h: a deployment of two regions: "east" with the zones e1 and e2, "west" with w1; routes and
 * tenants may be restricted to regions.
 */
#pragma once

#define PATH_FRONTS 3
#define PATH_REPLICAS 5

/* Enough workers that the service tolerates the loss of one and the retry of the requests it ran. */
#define PATH_MODEL 5
#include "path-world.h"

#define ZONE_REGIONS "e1=east,e2=east,w1=west"
#define ALL_REGIONS "\"east\",\"west\""
/* Maximum time in which a change of the configuration must take effect. */
#define APPLY_MAX_MS 3000

/* Assigns the first plain and the first model worker to e1, the other workers to w1, and spreads the fronts
 * and replicas over all zones. */
static inline void
residency_world_assign_zones (PathWorld *world)
{
  static const char *const front_zones[PATH_FRONTS] = { "e1", "e2", "w1" };
  static const char *const replica_zones[PATH_REPLICAS] = { "e1", "w1", "e2", "w1", "e1" };
  world->zones = ZONE_REGIONS;
  for (guint i = 0; i < PATH_FRONTS; i++)
    world->front_zones[i] = front_zones[i];
  for (guint i = 0; i < PATH_REPLICAS; i++)
    world->replica_zones[i] = replica_zones[i];
  for (guint i = 0; i < PATH_PLAIN; i++)
    standin_worker_set_zone (world->plain[i], i == 0 ? "e1" : "w1");
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_zone (world->model[i], i == 0 ? "e1" : "w1");
}

static inline PathWorld *
residency_world_new (const char *name)
{
  PathWorld *world = path_world_new (name);
  residency_world_assign_zones (world);
  return world;
}

/* Writes a configuration that restricts routes and a tenant to regions.
 * @routes: names of the restricted routes, one character each
 * @regions: the regions of these routes, as elements of a JSON array
 * @tenant_regions: (nullable): the regions of the tenant with the key "key-t"; NULL: there are no tenants */
static inline void
residency_configure (PathWorld *world,
                     guint version,
                     const char *routes,
                     const char *regions,
                     const char *tenant_regions)
{
  g_autofree char *plain = g_strdup_printf (PATH_CONFIGURATION, version);
  g_autoptr (GString) text = g_string_new (plain);
  for (const char *route = routes; *route != '\0'; route++)
    {
      g_autofree char *name = g_strdup_printf ("{\"name\":\"%c\",\"host\"", *route);
      g_autofree char *restricted
          = g_strdup_printf ("{\"name\":\"%c\",\"allowedRegions\":[%s],\"host\"", *route, regions);
      assert_int_equal (g_string_replace (text, name, restricted, 1), 1);
    }
  if (tenant_regions != NULL)
    {
      g_autofree char *tenants = g_strdup_printf (
          "\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"key-t\"],\"allowedRegions\":[%s]}],\"routes\":[",
          tenant_regions);
      g_string_replace (text, "\"routes\":[", tenants, 1);
    }
  standin_store_put (world->store, "op/config", text->str);
}

/* Registers the workers and starts all processes; doesn't write a configuration. */
static inline void
residency_world_start (PathWorld *world)
{
  path_register_workers (world);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    path_start_replica (world, i);
  for (guint i = 0; i < PATH_FRONTS; i++)
    path_start_front (world, i);
  world->bootstrapped = TRUE;
}

/* Sends a request with a unique id, waits for the answer and returns its status.
 * @key: (nullable): API key of the tenant */
static inline guint
residency_status (PathWorld *world, guint front, const char *target, const char *key, PathAnswer *answer)
{
  static guint serial;
  g_autofree char *id = g_strdup_printf ("q%u", serial++);
  path_start_call_with_header (path_front (world, front), "POST", target, id, "x",
                               key != NULL ? "Credential" : NULL, key, answer);
  AWAIT (answer->done);
  return answer->status;
}

static inline guint
residency_lookup (PathWorld *world, guint front, const char *key)
{
  PathAnswer answer;
  guint status = residency_status (world, front, "/l/1", key, &answer);
  path_answer_clear (&answer);
  return status;
}

static inline guint
residency_count_runs (StandinWorker *worker)
{
  return standin_worker_get_runs (worker)->len;
}

/* Counts the occurrences of @text in the log of process @name. */
static inline guint
residency_count_log_lines (const PathWorld *world, const char *name, const char *text)
{
  g_autofree char *file = g_strdup_printf ("%s/%s.out", world->folder, name);
  g_autofree char *lines = NULL;
  return g_file_get_contents (file, &lines, NULL, NULL) ? path_count_occurrences (lines, text) : 0;
}

static inline guint
residency_count_replica_log_lines (const PathWorld *world, const char *text)
{
  guint count = 0;
  for (guint i = 0; i < PATH_REPLICAS; i++)
    {
      g_autofree char *name = g_strdup_printf ("replica-%u", i);
      count += residency_count_log_lines (world, name, text);
    }
  return count;
}

static inline guint
residency_count_confined_lines (const PathWorld *world)
{
  return residency_count_replica_log_lines (world,
                                            "event=ledger_confined nodes=replica-0,replica-2,replica-4");
}

/* Asserts that the leader confines the ledger to the machines in the east within APPLY_MAX_MS once the store
 * has the zones of all of them. */
static inline void
residency_assert_ledger_is_confined (const PathWorld *world)
{
  static const char *const inside[] = { "replica-0", "replica-2", "replica-4" };
  for (guint i = 0; i < G_N_ELEMENTS (inside); i++)
    {
      g_autofree char *key = g_strconcat ("quinceroute/places/", inside[i], NULL);
      AWAIT (standin_store_get (world->store, key) != NULL);
    }
  gint64 start_us = g_get_monotonic_time ();
  AWAIT (residency_count_confined_lines (world) > 0);
  assert_true (g_get_monotonic_time () - start_us < APPLY_MAX_MS * 1000);
}
