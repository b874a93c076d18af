/*
 * relayed-world.h: fronts and replicas whose every connection to the store, to replicas and to workers passes
 * a relay of its own, so that any of them can be cut from any other.
 */
#pragma once

#include "path-world.h"
#include "standin-relay.h"

/* Processes: fronts, then replicas.  Ends, where connections go: the store, replicas, workers. */
#define RELAYED_N_PROCESSES (PATH_FRONTS + PATH_REPLICAS)
#define RELAYED_STORE 0
#define RELAYED_REPLICA(index) (1 + (index))
#define RELAYED_PLAIN(index) (1 + PATH_REPLICAS + (index))
#define RELAYED_MODEL(index) (1 + PATH_REPLICAS + PATH_PLAIN + (index))
#define RELAYED_N_TARGETS RELAYED_MODEL (PATH_MODEL)
#define RELAYED_REPLICA_PROCESS(replica) (PATH_FRONTS + (replica))

typedef struct
{
  PathWorld *path;
  gboolean
      direct; /* workers are reached without relays: a relay's port listens also while its worker does not */
  StandinRelay *relays[RELAYED_N_PROCESSES][RELAYED_N_TARGETS];
} RelayedWorld;

static inline const char *
relayed_target_address (const RelayedWorld *world, guint target)
{
  if (target == RELAYED_STORE)
    return standin_store_get_address (world->path->store);
  if (target < RELAYED_PLAIN (0))
    return world->path->links[target - RELAYED_REPLICA (0)];
  if (target < RELAYED_MODEL (0))
    return standin_worker_get_address (world->path->plain[target - RELAYED_PLAIN (0)]);
  return standin_worker_get_address (world->path->model[target - RELAYED_MODEL (0)]);
}

static inline const char *
relayed_get_port (const char *address)
{
  return strchr (address, ':') + 1;
}

/* Starts a process, or starts it again, with its relays. */
static inline void
relayed_start_process (RelayedWorld *world, guint process)
{
  g_autofree char *file = g_strdup_printf ("%s/relays-%u", world->path->folder, process);
  g_autoptr (GString) text = g_string_new (NULL);
  guint n_targets = world->direct ? RELAYED_PLAIN (0) : RELAYED_N_TARGETS;
  for (guint i = 0; i < n_targets; i++)
    {
      const char *relay = standin_relay_get_address (world->relays[process][i]);
      g_string_append_printf (text, "%s %s\n", relayed_get_port (relayed_target_address (world, i)),
                              relayed_get_port (relay));
    }
  g_assert_true (g_file_set_contents (file, text->str, -1, NULL));
  g_setenv ("QUINCE_RELAYS", file, TRUE);
  g_setenv ("LD_PRELOAD", g_getenv ("QUINCE_RELAYED_NETWORK_LIBRARY"), TRUE);
  if (process < PATH_FRONTS)
    path_start_front (world->path, process);
  else
    path_start_replica (world->path, process - PATH_FRONTS);
  g_unsetenv ("LD_PRELOAD");
}

static inline RelayedWorld *
relayed_world_new (const char *name)
{
  RelayedWorld *world = g_new0 (RelayedWorld, 1);
  world->path = path_world_new (name);
  path_reserve_links (world->path);
  path_configure (world->path, 7);
  path_register_workers (world->path);
  for (guint i = 0; i < RELAYED_N_PROCESSES; i++)
    for (guint j = 0; j < RELAYED_N_TARGETS; j++)
      world->relays[i][j] = standin_relay_new (relayed_target_address (world, j));
  return world;
}

static inline void
relayed_await_service (RelayedWorld *world)
{
  for (guint i = 0; i < PATH_FRONTS; i++)
    {
      AWAIT (path_status (path_front (world->path, i), "GET", "/quinceroute/lots/none", "q", NULL) == 404);
      AWAIT (path_status (path_front (world->path, i), "POST", "/l/ready", "q", "x") == 200);
    }
}

static inline void
relayed_world_start (RelayedWorld *world)
{
  for (guint i = 0; i < RELAYED_N_PROCESSES; i++)
    relayed_start_process (world, (PATH_FRONTS + i) % RELAYED_N_PROCESSES);
  world->path->bootstrapped = TRUE;
  relayed_await_service (world);
}

static inline void
relayed_world_free (RelayedWorld *world)
{
  PathWorld *path = world->path;
  for (guint i = 0; i < RELAYED_N_PROCESSES; i++)
    for (guint j = 0; j < RELAYED_N_TARGETS; j++)
      standin_relay_free (world->relays[i][j]);
  g_free (world);
  path_world_free (path);
}

static inline void
relayed_set_paused (RelayedWorld *world, guint process, guint target, gboolean paused)
{
  standin_relay_set_paused (world->relays[process][target], paused);
}

/* All that one process reaches others by: the store, replicas and workers. */
static inline void
relayed_set_process_paused (RelayedWorld *world, guint process, gboolean paused)
{
  for (guint i = 0; i < RELAYED_N_TARGETS; i++)
    relayed_set_paused (world, process, i, paused);
}

/* What others reach a replica by, and it them. */
static inline void
relayed_set_replica_isolated (RelayedWorld *world, guint replica, gboolean isolated)
{
  relayed_set_process_paused (world, RELAYED_REPLICA_PROCESS (replica), isolated);
  for (guint i = 0; i < RELAYED_N_PROCESSES; i++)
    relayed_set_paused (world, i, RELAYED_REPLICA (replica), isolated);
}

/* Connections that the relays which are held keep from passing anything. */
static inline guint
relayed_count_paused_connections (const RelayedWorld *world)
{
  guint count = 0;
  for (guint i = 0; i < RELAYED_N_PROCESSES; i++)
    for (guint j = 0; j < RELAYED_N_TARGETS; j++)
      if (standin_relay_is_paused (world->relays[i][j]))
        count += standin_relay_get_n_connections (world->relays[i][j]);
  return count;
}

/* A sanitizer would refuse the library that is loaded before it. */
static inline void
relayed_allow_preload (void)
{
  const char *options = g_getenv ("ASAN_OPTIONS");
  g_autofree char *with_preload
      = g_strconcat (options != NULL ? options : "", ":verify_asan_link_order=0", NULL);
  g_setenv ("ASAN_OPTIONS", with_preload, TRUE);
}
