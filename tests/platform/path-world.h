/*
 * path-world.h: a deployment of real fronts and replicas, with stand-ins for the platform's store and
 * workers.
 */
#pragma once

#include <glib/gstdio.h>
#include <string.h>

#include "path-call.h"
#include "process.h"
#include "standin-store.h"
#include "standin-worker.h"

/* A test may define other numbers before it includes this file. */
#ifndef PATH_FRONTS
#define PATH_FRONTS 2
#endif
#ifndef PATH_REPLICAS
#define PATH_REPLICAS 3
#endif
#ifndef PATH_PLAIN
#define PATH_PLAIN 2
#endif
#ifndef PATH_MODEL
#define PATH_MODEL 3
#endif

typedef struct
{
  char *folder;
  StandinStore *store;
  StandinWorker *plain[PATH_PLAIN];
  StandinWorker *model[PATH_MODEL];
  QuinceProcess *fronts[PATH_FRONTS];
  QuinceProcess *replicas[PATH_REPLICAS];
  gboolean counts_store_clients; /* each process reaches the store at an address of its own */
  gboolean bootstrapped;         /* replicas that start from now on join the ledger instead of creating it */
  const char *zones;             /* value of the setting "zones"; NULL: not set */
  const char *front_zones[PATH_FRONTS];     /* NULL: z1 */
  const char *replica_zones[PATH_REPLICAS]; /* NULL: z1 */
  const char *orders;                       /* settings of [orders]; NULL: a pause of 500 ms */
  const char *losses;                  /* settings of [ledger] for the losses it tolerates; NULL: losses=1 */
  const char *store_settings;          /* further settings of [store], of all processes; NULL: none */
  const char *front_listen_settings;   /* further settings of [listen] of fronts; NULL: none */
  const char *replica_listen_settings; /* the same of replicas */
  char *extra_replica_settings;        /* appended to the settings of replicas; NULL: none */
  char *extra_front_settings;          /* appended to the settings of fronts; NULL: none */
  guint descriptors_max;               /* limit on open descriptors of each process; 0: that of the test */
  guint max_body_bytes;                /* of the configuration; 0: that of PATH_CONFIGURATION */
  char *links[PATH_REPLICAS];          /* listen addresses; NULL: a free port at each start */
  GSocket *reserved_ports[PATH_REPLICAS]; /* owned; bound so that no other test gets the ports */
} PathWorld;

/* Returns the address at which the front accepts callers. */
static inline const char *
path_front (const PathWorld *world, guint index)
{
  return quince_process_get_ready_value (world->fronts[index], "callers");
}

/* ---- Processes -------------------------------------------------------- */

/* Minimum time for which the main loop runs after the start of a process, ms. */
#define PATH_LOOP_AFTER_START_MS 5

/* Starts a process without waiting until it is ready.  The start holds the main loop until the process runs
 * its program, so that the store and the relays get a turn before the next start. */
static inline QuinceProcess *
path_begin_process (PathWorld *world, const char *program, const char *name, const char *settings)
{
  g_autofree char *file = g_strdup_printf ("%s/%s.ini", world->folder, name);
  g_assert_true (g_file_set_contents (file, settings, -1, NULL));
  g_autofree char *path = g_build_filename (g_getenv ("QUINCE_BUILD_DIR"), "daemons", program, NULL);
  g_autofree char *limit = g_strdup_printf ("ulimit -n %u; exec \"$0\" \"$@\"", world->descriptors_max);
  const char *const plain_arguments[] = { path, "-c", file, NULL };
  const char *const limited_arguments[] = { "/bin/sh", "-c", limit, path, "-c", file, NULL };
  g_autoptr (GError) error = NULL;
  QuinceProcess *process = quince_process_spawn (
      world->folder, name, world->descriptors_max > 0 ? limited_arguments : plain_arguments, &error);
  if (process == NULL)
    fail_msg ("%s failed to start: %s", name, error->message);
  run_for (PATH_LOOP_AFTER_START_MS);
  return process;
}

/* Runs the main loop, in which the store and the workers answer, until the process is ready. */
static inline void
path_await_ready (QuinceProcess *process)
{
  gboolean is_ready = FALSE;
  g_autoptr (GError) error = NULL;
  while (!is_ready)
    {
      if (!quince_process_check_ready (process, &is_ready, &error))
        fail_msg ("%s failed to start: %s", quince_process_get_name (process), error->message);
      run_main_loop_once ();
    }
}

static inline QuinceProcess *
path_spawn (PathWorld *world, const char *program, const char *name, const char *settings)
{
  QuinceProcess *process = path_begin_process (world, program, name, settings);
  path_await_ready (process);
  return process;
}

/* Returns the address at which the process @name reaches the store. */
static inline const char *
path_store_address (const PathWorld *world, const char *name)
{
  return world->counts_store_clients ? standin_store_get_client_address (world->store, name)
                                     : standin_store_get_address (world->store);
}

/* Returns: (transfer full): the settings for the zone of a process */
static inline char *
path_format_zone_settings (const PathWorld *world, const char *zone)
{
  return g_strdup_printf ("zone=%s\n%s%s%s", zone != NULL ? zone : "z1", world->zones != NULL ? "zones=" : "",
                          world->zones != NULL ? world->zones : "", world->zones != NULL ? "\n" : "");
}

/* Frees a process that is to be started again if it still runs.  One that has ended stays until its successor
 * is ready, since the main loop runs meanwhile and calls may go to its address. */
static inline void
path_end_process (QuinceProcess **process)
{
  if (*process != NULL && quince_process_is_running (*process))
    g_clear_pointer (process, quince_process_free);
}

static inline void
path_replace_process (QuinceProcess **former, QuinceProcess *process)
{
  path_await_ready (process);
  g_clear_pointer (former, quince_process_free);
  *former = process;
}

/* Returns: (transfer full): a front that may not be ready yet */
static inline QuinceProcess *
path_begin_front (PathWorld *world, guint index)
{
  g_autofree char *name = g_strdup_printf ("front-%u", index);
  g_autofree char *zone_settings = path_format_zone_settings (world, world->front_zones[index]);
  g_autofree char *settings = g_strdup_printf (
      "[node]\nname=%s\n%s[listen]\ncallers=127.0.0.1:0\nready=127.0.0.1:0\n"
      "directory=127.0.0.1:0\n%s[store]\naddress=%s\n%s[stop]\ngrace=8s\n[policy]\nfile=%s/deploy/"
      "policy.lua\n%s",
      name, zone_settings, world->front_listen_settings != NULL ? world->front_listen_settings : "",
      path_store_address (world, name), world->store_settings != NULL ? world->store_settings : "",
      g_getenv ("QUINCE_SOURCE_DIR"), world->extra_front_settings != NULL ? world->extra_front_settings : "");
  path_end_process (&world->fronts[index]);
  return path_begin_process (world, "quinceroute-front", name, settings);
}

static inline void
path_start_front (PathWorld *world, guint index)
{
  path_replace_process (&world->fronts[index], path_begin_front (world, index));
}

/* Returns: (transfer full): a replica that may not be ready yet */
static inline QuinceProcess *
path_begin_replica (PathWorld *world, guint index)
{
  g_autofree char *name = g_strdup_printf ("replica-%u", index);
  g_autofree char *zone_settings = path_format_zone_settings (world, world->replica_zones[index]);
  g_autofree char *data = g_strdup_printf ("%s/data-%u", world->folder, index);
  g_mkdir_with_parents (data, 0700);
  g_autofree char *settings = g_strdup_printf (
      "[node]\nname=%s\n%s[listen]\nlink=%s\n%s[store]\naddress=%s\n%s[ledger]\n"
      "folder=%s\nfound=%s\n%s\n[results]\ngroup_window=500ms\n[orders]\n%s\n[policy]\nfile=%s/deploy/"
      "policy.lua\n%s",
      name, zone_settings, world->links[index] != NULL ? world->links[index] : "127.0.0.1:0",
      world->replica_listen_settings != NULL ? world->replica_listen_settings : "",
      path_store_address (world, name), world->store_settings != NULL ? world->store_settings : "", data,
      world->bootstrapped ? "false" : "true", world->losses != NULL ? world->losses : "losses=1",
      world->orders != NULL ? world->orders : "pause=500ms", g_getenv ("QUINCE_SOURCE_DIR"),
      world->extra_replica_settings != NULL ? world->extra_replica_settings : "");
  path_end_process (&world->replicas[index]);
  return path_begin_process (world, "quinceroute-replica", name, settings);
}

static inline void
path_start_replica (PathWorld *world, guint index)
{
  path_replace_process (&world->replicas[index], path_begin_replica (world, index));
}

/* Runs the main loop until all processes that have been started are ready. */
static inline void
path_await_all_ready (PathWorld *world)
{
  for (guint i = 0; i < PATH_FRONTS; i++)
    if (world->fronts[i] != NULL)
      path_await_ready (world->fronts[i]);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    if (world->replicas[i] != NULL)
      path_await_ready (world->replicas[i]);
}

/* Reserves a free port for each replica, so that a restarted replica has the same address. */
static inline void
path_reserve_links (PathWorld *world)
{
  for (guint i = 0; i < PATH_REPLICAS; i++)
    {
      world->reserved_ports[i] = standin_reserve_port ("127.0.0.1:0");
      g_autoptr (GSocketAddress) local = g_socket_get_local_address (world->reserved_ports[i], NULL);
      world->links[i]
          = g_strdup_printf ("127.0.0.1:%u", g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local)));
    }
}

/* Deletes the database of a replica that is not running. */
static inline void
path_delete_replica_data (PathWorld *world, guint index)
{
  static const char *const suffixes[] = { "", "-wal", "-journal" };
  for (guint i = 0; i < G_N_ELEMENTS (suffixes); i++)
    {
      g_autofree char *file
          = g_strdup_printf ("%s/data-%u/batches.sqlite%s", world->folder, index, suffixes[i]);
      g_remove (file);
    }
}

/* Returns the replica that logged the latest epoch as leader, or -1 if none did. */
static inline gint
path_find_leader (PathWorld *world)
{
  gint leader = -1;
  guint64 latest_epoch = 0;
  for (guint i = 0; i < PATH_REPLICAS; i++)
    {
      g_autofree char *file = g_strdup_printf ("%s/replica-%u.out", world->folder, i);
      g_autofree char *text = NULL;
      if (!g_file_get_contents (file, &text, NULL, NULL))
        continue;
      for (const char *match = strstr (text, "event=ledger_recovered epoch="); match != NULL;
           match = strstr (match + 1, "event=ledger_recovered epoch="))
        {
          guint64 epoch = g_ascii_strtoull (match + strlen ("event=ledger_recovered epoch="), NULL, 10);
          if (epoch <= latest_epoch)
            continue;
          latest_epoch = epoch;
          leader = (gint)i;
        }
    }
  return leader;
}

/* ---- The deployment ----------------------------------------------------- */

static inline void
path_register_workers (PathWorld *world)
{
  for (guint i = 0; i < PATH_PLAIN; i++)
    {
      g_autofree char *key = g_strdup_printf ("servers/p%u", i);
      g_autofree char *entry = standin_worker_make_entry (world->plain[i], "svc", "ready");
      standin_store_put (world->store, key, entry);
    }
  for (guint i = 0; i < PATH_MODEL; i++)
    {
      g_autofree char *key = g_strdup_printf ("servers/m%u", i);
      g_autofree char *entry = standin_worker_make_entry (world->model[i], "llm", "ready");
      standin_store_put (world->store, key, entry);
    }
}

#define PATH_CONFIGURATION                                                                                   \
  "{\"version\":%u,\"routes\":["                                                                             \
  "{\"name\":\"l\",\"host\":\"" PATH_HOST                                                                    \
  "\",\"pathPrefix\":\"/l/\",\"kind\":\"idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":150,"            \
  "\"priority\":2,\"service\":\"svc\",\"maxAttempts\":3},"                                                   \
  "{\"name\":\"s\",\"host\":\"" PATH_HOST                                                                    \
  "\",\"pathPrefix\":\"/s/\",\"kind\":\"streaming\",\"resumable\":true,\"timeoutMs\":6000,"                  \
  "\"targetLatencyMs\":400,\"priority\":1,\"service\":\"llm\",\"maxAttempts\":4},"                           \
  "{\"name\":\"u\",\"host\":\"" PATH_HOST                                                                    \
  "\",\"pathPrefix\":\"/u/\",\"kind\":\"streaming\",\"timeoutMs\":6000,"                                     \
  "\"targetLatencyMs\":400,\"priority\":1,\"service\":\"llm\",\"maxAttempts\":3},"                           \
  "{\"name\":\"k\",\"host\":\"" PATH_HOST                                                                    \
  "\",\"pathPrefix\":\"/k/\",\"kind\":\"streaming\",\"resumable\":true,\"sticky\":true,"                     \
  "\"timeoutMs\":6000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"llm\",\"maxAttempts\":4},"        \
  "{\"name\":\"w\",\"host\":\"" PATH_HOST                                                                    \
  "\",\"pathPrefix\":\"/w/\",\"kind\":\"idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":150,"            \
  "\"priority\":2,\"service\":\"svc\",\"maxAttempts\":4},"                                                   \
  "{\"name\":\"r\",\"host\":\"" PATH_HOST                                                                    \
  "\",\"pathPrefix\":\"/r/\",\"kind\":\"rollout\",\"targetLatencyMs\":400,\"deadlineMs\":7500,"              \
  "\"queueTtlS\":40,\"maxAttempts\":3,\"priority\":1,\"service\":\"llm\"}],"                                 \
  "\"services\":[{\"name\":\"llm\",\"healthPath\":\"/healthz\",\"maxConns\":50,"                             \
  "\"engine\":{\"slots\":8,\"models\":[{\"name\":\"model-a\"}]}},"                                           \
  "{\"name\":\"svc\",\"healthPath\":\"/healthz\",\"maxConns\":50}],"                                         \
  "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":100000,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":" \
  "15000}}"

static inline void
path_configure (PathWorld *world, guint version)
{
  g_autoptr (GString) text = g_string_new (NULL);
  g_string_printf (text, PATH_CONFIGURATION, version);
  g_autofree char *limit = g_strdup_printf ("\"maxBodyBytes\":%u", world->max_body_bytes);
  if (world->max_body_bytes > 0)
    g_string_replace (text, "\"maxBodyBytes\":100000", limit, 1);
  standin_store_put (world->store, "op/config", text->str);
}

static inline PathWorld *
path_world_new (const char *name)
{
  PathWorld *world = g_new0 (PathWorld, 1);
  g_autofree char *pattern = g_strdup_printf ("quinceroute-%s-XXXXXX", name);
  world->folder = g_dir_make_tmp (pattern, NULL);
  world->store = standin_store_new ();
  for (guint i = 0; i < PATH_PLAIN; i++)
    {
      g_autofree char *id = g_strdup_printf ("p%u", i);
      world->plain[i] = standin_worker_new (id);
    }
  for (guint i = 0; i < PATH_MODEL; i++)
    {
      g_autofree char *id = g_strdup_printf ("m%u", i);
      world->model[i] = standin_worker_new (id);
      standin_worker_set_events (world->model[i], 6, 5);
    }
  return world;
}

/* Starts all processes and waits until each front answers reads of the ledger and lookups. */
static inline void
path_world_start (PathWorld *world)
{
  path_configure (world, 7);
  path_register_workers (world);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    path_start_replica (world, i);
  for (guint i = 0; i < PATH_FRONTS; i++)
    path_start_front (world, i);
  world->bootstrapped = TRUE;
  for (guint i = 0; i < PATH_FRONTS; i++)
    {
      AWAIT (path_status (path_front (world, i), "GET", "/quinceroute/lots/none", "q", NULL) == 404);
      AWAIT (path_status (path_front (world, i), "POST", "/l/1", "q", "x") == 200);
    }
}

static inline void
path_world_free (PathWorld *world)
{
  for (guint i = 0; i < PATH_FRONTS; i++)
    if (world->fronts[i] != NULL)
      {
        quince_process_kill (world->fronts[i]);
        quince_process_free (world->fronts[i]);
      }
  for (guint i = 0; i < PATH_REPLICAS; i++)
    if (world->replicas[i] != NULL)
      {
        quince_process_kill (world->replicas[i]);
        quince_process_free (world->replicas[i]);
      }
  for (guint i = 0; i < PATH_PLAIN; i++)
    standin_worker_free (world->plain[i]);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_free (world->model[i]);
  standin_store_free (world->store);
  guint failures = quince_process_get_and_reset_failures ();
  if (failures > 0)
    fail_msg ("%u processes exited unexpectedly; logs in %s", failures, world->folder);
  g_autofree char *remove = g_strdup_printf ("rm -rf '%s'", world->folder);
  g_assert_cmpint (system (remove), ==, 0);
  g_free (world->folder);
  g_free (world->extra_replica_settings);
  g_free (world->extra_front_settings);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    {
      g_free (world->links[i]);
      g_clear_object (&world->reserved_ports[i]);
    }
  g_free (world);
}

/* ---- The operator ----------------------------------------------------- */

/* Runs the command-line tool against the metadata store and returns its exit status. */
static inline int
path_run_operator_tool (PathWorld *world, const char *const *words)
{
  g_autoptr (GPtrArray) arguments = g_ptr_array_new ();
  g_autofree char *path = g_build_filename (g_getenv ("QUINCE_BUILD_DIR"), "tools", "quinceroute", NULL);
  g_ptr_array_add (arguments, path);
  for (; *words != NULL; words++)
    g_ptr_array_add (arguments, (gpointer)*words);
  g_ptr_array_add (arguments, (gpointer) "--store");
  g_ptr_array_add (arguments, (gpointer)standin_store_get_address (world->store));
  g_ptr_array_add (arguments, NULL);
  static guint count;
  g_autofree char *name = g_strdup_printf ("tool-%u", count++);
  QuinceProcess *process
      = quince_process_spawn (world->folder, name, (const char *const *)arguments->pdata, NULL);
  int status = -1;
  AWAIT (quince_process_wait (process, 1, &status));
  quince_process_free (process);
  return status;
}

/* ---- Batches ------------------------------------------------------------ */

static inline char *
path_make_batch (const char *batch, guint items)
{
  g_autoptr (GString) text
      = g_string_new ("{\"step\":0,\"model\":\"model-a\",\"minVersion\":1,\"desired\":2,\"items\":[");
  for (guint i = 0; i < items; i++)
    g_string_append_printf (
        text,
        "%s{\"id\":\"%s-i%u\",\"path\":\"/r/%u\",\"headers\":{\"Model\":\"model-a\"},"
        "\"body\":\"cXVlc3Rpb24=\",\"tokens\":100,\"group\":\"g%u\",\"scorer\":{\"id\":\"%s-s%u\","
        "\"host\":\"" PATH_HOST "\",\"path\":\"/w/%u\",\"body\":\"c2NvcmU=\"}}",
        i > 0 ? "," : "", batch, i, i, i / 2, batch, i, i);
  g_string_append (text, "]}");
  return g_string_free (g_steal_pointer (&text), FALSE);
}

static inline guint
path_count_occurrences (const char *text, const char *part)
{
  guint count = 0;
  for (const char *match = strstr (text, part); match != NULL; match = strstr (match + 1, part))
    count++;
  return count;
}

/* Reads all results of the batch as JSON, waits for the answer and returns its status.  The caller clears
 * @answer. */
static inline guint
path_call_results (PathWorld *world, guint front, const char *batch, PathAnswer *answer)
{
  g_autofree char *target = g_strdup_printf ("/quinceroute/lots/%s?afterRev=0", batch);
  return path_call (path_front (world, front), "GET", target, "q", NULL, answer);
}

/* Returns: (transfer full) (nullable): all results of the batch as JSON, or NULL if the read failed */
static inline char *
path_fetch_results (PathWorld *world, guint front, const char *batch)
{
  PathAnswer answer;
  guint status = path_call_results (world, front, batch, &answer);
  char *text = status == 200 ? g_strdup (answer.body) : NULL;
  path_answer_clear (&answer);
  return text;
}

/* Returns: (transfer full): all results of the batch as JSON.  Fails the test if the read fails. */
static inline char *
path_read_results (PathWorld *world, guint front, const char *batch)
{
  PathAnswer answer;
  guint status = path_call_results (world, front, batch, &answer);
  char *text = g_strdup (answer.body);
  path_answer_clear (&answer);
  if (status != 200)
    fail_msg ("front %u answered %u to the read of batch %s: %s", front, status, batch, text);
  return text;
}

/* Returns the number of results of the batch, or 0 if the read failed. */
static inline guint
path_count_results (PathWorld *world, guint front, const char *batch)
{
  g_autofree char *text = path_fetch_results (world, front, batch);
  return text != NULL ? path_count_occurrences (text, "\"state\":") : 0;
}
