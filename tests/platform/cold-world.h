/*
 * cold-world.h: a deployment with cold workers; counts the requests that reach them in any second.
 */
#pragma once

#include "path-world.h"

/* Setting coldPerS of the services. */
#define COLD_PER_S "4"
#define COLD_START_MS 3000
/* Requests to a cold worker in any second: COLD_PER_S times overage, plus slack. */
#define COLD_MAX_PER_WINDOW 8
#define COLD_SETTINGS "[warmup]\noverage=1.5\nslack=2\n"
/* Changes of worker entries reach all processes within this time. */
#define COLD_PROPAGATION_MS 2500
#define COLD_WINDOW_US G_USEC_PER_SEC

typedef struct
{
  PathWorld *path;
  GPtrArray *answers; /* PathAnswer, owned; freed after all requests have ended */
  guint sent;
} ColdWorld;

static inline void
cold_answer_free (gpointer data)
{
  path_answer_clear (data);
  g_free (data);
}

/* Writes the configuration of path-world.h with a rate limit for cold workers. */
static inline void
cold_configure (PathWorld *path, guint version)
{
  g_autofree char *text = g_strdup_printf (PATH_CONFIGURATION, version);
  g_auto (GStrv) parts = g_strsplit (text, "\"healthPath\":", -1);
  g_autofree char *configuration
      = g_strjoinv ("\"coldStartS\":3.0,\"coldPerS\":" COLD_PER_S ",\"healthPath\":", parts);
  standin_store_put (path->store, "op/config", configuration);
}

static inline void
cold_register_plain_worker (ColdWorld *world, guint index, gint cold_ms)
{
  StandinWorker *worker = world->path->plain[index];
  standin_worker_set_cold_remaining (worker, cold_ms);
  g_autofree char *key = g_strdup_printf ("servers/%s", standin_worker_get_id (worker));
  g_autofree char *entry = standin_worker_make_entry (worker, "svc", "ready");
  standin_store_put (world->path->store, key, entry);
}

static inline void
cold_register_model_worker (ColdWorld *world, guint index, gint cold_ms)
{
  StandinWorker *worker = world->path->model[index];
  standin_worker_set_cold_remaining (worker, cold_ms);
  g_autofree char *key = g_strdup_printf ("servers/%s", standin_worker_get_id (worker));
  g_autofree char *entry = standin_worker_make_entry (worker, "llm", "ready");
  standin_store_put (world->path->store, key, entry);
}

/* Starts the deployment with warm workers; the cold_register_ functions make workers cold. */
static inline ColdWorld *
cold_world_start (const char *name)
{
  ColdWorld *world = g_new0 (ColdWorld, 1);
  world->answers = g_ptr_array_new_with_free_func (cold_answer_free);
  world->path = path_world_new (name);
  world->path->extra_replica_settings = g_strdup (COLD_SETTINGS);
  world->path->extra_front_settings = g_strdup (COLD_SETTINGS);
  path_reserve_links (world->path);
  path_world_start (world->path);
  cold_configure (world->path, 8);
  run_for (COLD_PROPAGATION_MS);
  return world;
}

static inline gboolean
cold_all_answered (const ColdWorld *world)
{
  for (guint i = 0; i < world->answers->len; i++)
    if (!((PathAnswer *)world->answers->pdata[i])->done)
      return FALSE;
  return TRUE;
}

static inline void
cold_world_free (ColdWorld *world)
{
  AWAIT (cold_all_answered (world));
  path_world_free (world->path);
  g_ptr_array_unref (world->answers);
  g_free (world);
}

/* Sends a request, without waiting for the answer, to the fronts in turn. */
static inline void
cold_send_request (ColdWorld *world, const char *target)
{
  guint front = world->sent++ % PATH_FRONTS;
  g_autofree char *id = g_strdup_printf ("cold-%u", world->sent);
  PathAnswer *answer = g_new0 (PathAnswer, 1);
  g_ptr_array_add (world->answers, answer);
  path_start_call (path_front (world->path, front), "POST", target, id, "x", answer);
}

static inline void
cold_send_lookup (ColdWorld *world)
{
  cold_send_request (world, "/l/1");
}

/* Sends a lookup every @interval_ms for @duration_ms, to the fronts in turn. */
static inline void
cold_send_lookups (ColdWorld *world, guint interval_ms, guint duration_ms)
{
  for (guint i = 0; i < duration_ms / interval_ms; i++)
    {
      cold_send_lookup (world);
      run_for (interval_ms);
    }
}

/* Counts the answers with @status, from index @first on. */
static inline guint
cold_count_status (const ColdWorld *world, guint first, guint status)
{
  guint count = 0;
  for (guint i = first; i < world->answers->len; i++)
    count += ((PathAnswer *)world->answers->pdata[i])->status == status;
  return count;
}

/* Returns the maximum number of runs at @worker in any second, from index @first on. */
static inline guint
cold_max_runs_per_window (const StandinWorker *worker, guint first)
{
  const GPtrArray *runs = standin_worker_get_runs (worker);
  guint max_runs = 0;
  guint window_start = first;
  for (guint i = first; i < runs->len; i++)
    {
      gint64 at_us = ((StandinRun *)runs->pdata[i])->received_us;
      while (at_us - ((StandinRun *)runs->pdata[window_start])->received_us >= COLD_WINDOW_US)
        window_start++;
      max_runs = MAX (max_runs, i - window_start + 1);
    }
  return max_runs;
}

static inline guint
cold_count_runs (const StandinWorker *worker)
{
  return standin_worker_get_runs (worker)->len;
}
