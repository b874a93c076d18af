/*
 * relayed-world.h: a deployment in which each process has its own relays to the store, the replicas and the
 * workers, so that a test can interrupt the traffic between any two of them.
 */
#pragma once

#include "path-world.h"
#include "standin-relay.h"

/* Processes are numbered fronts first, then replicas; targets of connections are numbered store, replicas,
 * plain workers, model workers. */
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
  gboolean direct; /* connect to workers without relays, because a relay accepts connections while its worker
                      is down */
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

/* Starts or restarts a process whose connections go through its relays. */
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

/* Waits until each front answers reads of the ledger and lookups. */
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

/* Pauses or resumes all outgoing connections of a process. */
static inline void
relayed_set_process_paused (RelayedWorld *world, guint process, gboolean paused)
{
  for (guint i = 0; i < RELAYED_N_TARGETS; i++)
    relayed_set_paused (world, process, i, paused);
}

/* Pauses or resumes all connections from and to a replica. */
static inline void
relayed_set_replica_isolated (RelayedWorld *world, guint replica, gboolean isolated)
{
  relayed_set_process_paused (world, RELAYED_REPLICA_PROCESS (replica), isolated);
  for (guint i = 0; i < RELAYED_N_PROCESSES; i++)
    relayed_set_paused (world, i, RELAYED_REPLICA (replica), isolated);
}

/* Returns the number of open connections of paused relays. */
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

/* AddressSanitizer rejects libraries in LD_PRELOAD that are loaded before it, unless told otherwise. */
static inline void
relayed_allow_preload (void)
{
  const char *options = g_getenv ("ASAN_OPTIONS");
  g_autofree char *with_preload
      = g_strconcat (options != NULL ? options : "", ":verify_asan_link_order=0", NULL);
  g_setenv ("ASAN_OPTIONS", with_preload, TRUE);
}
