/*
 * crash-world.h: workers that crash on certain requests and restart, under a new id or the former one.
 */
#pragma once

#include "path-world.h"

#define CRASH_POLL_INTERVAL_MS 20
/* Polls after a crash until the worker's entry is removed, and until the worker is restarted.  A test may
 * define the first one before it includes this file; an entry may lapse after the restart. */
#ifndef CRASH_UNREGISTER_POLLS
#define CRASH_UNREGISTER_POLLS 8
#endif
#define CRASH_RESTART_POLLS 16
#define CRASH_DELAY_MS 10
/* Pauses of an item between sends after which its workers ended; see core/decisions/admission.c. */
#define CRASH_OWED_PAUSE_MIN_MS 500
#define CRASH_OWED_PAUSE_MAX_MS 3000
#define CRASH_N_WORKERS (PATH_PLAIN + PATH_MODEL)

/* The entry of a worker that was restarted before it lapsed. */
typedef struct
{
  char *key;
  guint polls_left;
} CrashLapsingEntry;

typedef struct
{
  PathWorld *path;
  GArray *lapsing; /* CrashLapsingEntry */
  guint polls_down[CRASH_N_WORKERS];
  guint incarnations;
  guint crashes;           /* so far, as seen by polls */
  guint min_plain_running; /* minimum of running plain workers in any poll */
  guint min_model_running; /* the same of workers with a model */
  gboolean keeps_ids;      /* workers restart under their ids */
  gboolean never_restarts; /* workers that crash from now on are lost for good */
  guint timer;
} CrashWorld;

static inline StandinWorker *
crash_world_get_worker (CrashWorld *world, guint index)
{
  return index < PATH_PLAIN ? world->path->plain[index] : world->path->model[index - PATH_PLAIN];
}

static inline void
crash_world_register_worker (CrashWorld *world, guint index)
{
  StandinWorker *worker = crash_world_get_worker (world, index);
  g_autofree char *key = g_strdup_printf ("servers/%s", standin_worker_get_id (worker));
  g_autofree char *entry = standin_worker_make_entry (worker, index < PATH_PLAIN ? "svc" : "llm", "ready");
  standin_store_put (world->path->store, key, entry);
}

/* Keeps the entry of a worker that restarts until it lapses. */
static inline void
crash_world_keep_entry (CrashWorld *world, const StandinWorker *worker)
{
  const CrashLapsingEntry entry = { g_strdup_printf ("servers/%s", standin_worker_get_id (worker)),
                                    CRASH_UNREGISTER_POLLS - CRASH_RESTART_POLLS };
  g_array_append_val (world->lapsing, entry);
}

static inline void
crash_world_remove_lapsed_entries (CrashWorld *world)
{
  for (guint i = world->lapsing->len; i > 0; i--)
    {
      CrashLapsingEntry *entry = &g_array_index (world->lapsing, CrashLapsingEntry, i - 1);
      if (--entry->polls_left > 0)
        continue;
      standin_store_remove (world->path->store, entry->key);
      g_free (entry->key);
      g_array_remove_index_fast (world->lapsing, i - 1);
    }
}

static inline void
crash_world_poll_worker (CrashWorld *world, guint index)
{
  StandinWorker *worker = crash_world_get_worker (world, index);
  if (!standin_worker_is_down (worker))
    return;
  guint polls = ++world->polls_down[index];
  world->crashes += polls == 1;
  if (polls == CRASH_UNREGISTER_POLLS)
    {
      g_autofree char *key = g_strdup_printf ("servers/%s", standin_worker_get_id (worker));
      standin_store_remove (world->path->store, key);
    }
  if (polls < CRASH_RESTART_POLLS || world->never_restarts)
    return;
  g_autofree char *id = world->keeps_ids ? g_strdup (standin_worker_get_id (worker))
                                         : g_strdup_printf ("w%u-%u", index, ++world->incarnations);
  world->polls_down[index] = 0;
  if (CRASH_UNREGISTER_POLLS > CRASH_RESTART_POLLS && !world->keeps_ids)
    crash_world_keep_entry (world, worker);
  standin_worker_restart (worker, id);
  crash_world_register_worker (world, index);
}

static inline gboolean
crash_world_poll (gpointer data)
{
  CrashWorld *world = data;
  guint plain = 0;
  for (guint i = 0; i < PATH_PLAIN; i++)
    plain += !standin_worker_is_down (world->path->plain[i]);
  world->min_plain_running = MIN (world->min_plain_running, plain);
  guint model = 0;
  for (guint i = 0; i < PATH_MODEL; i++)
    model += !standin_worker_is_down (world->path->model[i]);
  world->min_model_running = MIN (world->min_model_running, model);
  for (guint i = 0; i < CRASH_N_WORKERS; i++)
    crash_world_poll_worker (world, i);
  crash_world_remove_lapsed_entries (world);
  return G_SOURCE_CONTINUE;
}

/* Makes the workers of a running deployment crash on requests that contain @crash_trigger, and starts polling
 * and restarting them.  @path is freed by crash_world_free(). */
static inline CrashWorld *
crash_world_watch (PathWorld *path, const char *crash_trigger)
{
  CrashWorld *world = g_new0 (CrashWorld, 1);
  world->path = path;
  world->lapsing = g_array_new (FALSE, FALSE, sizeof (CrashLapsingEntry));
  world->min_plain_running = PATH_PLAIN;
  world->min_model_running = PATH_MODEL;
  for (guint i = 0; i < CRASH_N_WORKERS; i++)
    standin_worker_set_crash_trigger (crash_world_get_worker (world, i), crash_trigger, CRASH_DELAY_MS,
                                      G_MAXUINT);
  world->timer = g_timeout_add (CRASH_POLL_INTERVAL_MS, crash_world_poll, world);
  return world;
}

static inline CrashWorld *
crash_world_start (const char *name, const char *crash_trigger)
{
  PathWorld *path = path_world_new (name);
  path_reserve_links (path);
  path_world_start (path);
  return crash_world_watch (path, crash_trigger);
}

static inline void
crash_world_free (CrashWorld *world)
{
  g_source_remove (world->timer);
  for (guint i = 0; i < world->lapsing->len; i++)
    g_free (g_array_index (world->lapsing, CrashLapsingEntry, i).key);
  g_array_unref (world->lapsing);
  path_world_free (world->path);
  g_free (world);
}

static inline gboolean
crash_world_all_running (CrashWorld *world)
{
  for (guint i = 0; i < CRASH_N_WORKERS; i++)
    if (standin_worker_is_down (crash_world_get_worker (world, i)))
      return FALSE;
  return TRUE;
}

/* Counts the runs at all workers whose body or target contains @text. */
static inline guint
crash_world_count_runs (CrashWorld *world, const char *text)
{
  guint count = 0;
  for (guint i = 0; i < CRASH_N_WORKERS; i++)
    {
      const GPtrArray *runs = standin_worker_get_runs (crash_world_get_worker (world, i));
      for (guint j = 0; j < runs->len; j++)
        {
          const StandinRun *run = runs->pdata[j];
          count += strstr (run->body, text) != NULL || strstr (run->target, text) != NULL;
        }
    }
  return count;
}

static inline gint
crash_world_compare_times (gconstpointer a, gconstpointer b)
{
  const gint64 *first = a;
  const gint64 *second = b;
  return (*first > *second) - (*first < *second);
}

/* Returns (transfer full): the times at which runs with @text arrived, ascending, us */
static inline GArray *
crash_world_list_run_times (CrashWorld *world, const char *text)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (gint64));
  for (guint i = 0; i < CRASH_N_WORKERS; i++)
    {
      const GPtrArray *runs = standin_worker_get_runs (crash_world_get_worker (world, i));
      for (guint j = 0; j < runs->len; j++)
        {
          const StandinRun *run = runs->pdata[j];
          if (strstr (run->target, text) != NULL)
            g_array_append_val (times, run->received_us);
        }
    }
  g_array_sort (times, crash_world_compare_times);
  return times;
}

/* Returns how often an item whose target contains @text may have been sent so far if it ends each of its
 * workers:
 * @first_sends until a lookup would be held, and one after each pause of 0.5, 1, 2, 3, 3, ... s since then.
 */
static inline guint
crash_world_owed_sends_max (CrashWorld *world, const char *text, guint first_sends)
{
  g_autoptr (GArray) times = crash_world_list_run_times (world, text);
  gint64 pause_us = CRASH_OWED_PAUSE_MIN_MS * G_TIME_SPAN_MILLISECOND;
  guint sends = first_sends;
  if (times->len <= first_sends)
    return sends;
  for (gint64 at_us = g_array_index (times, gint64, first_sends - 1) + pause_us;
       at_us <= g_get_monotonic_time (); at_us += pause_us)
    {
      sends++;
      pause_us = MIN (2 * pause_us, CRASH_OWED_PAUSE_MAX_MS * G_TIME_SPAN_MILLISECOND);
    }
  return sends;
}

/* Sends a request with a unique id and returns the status of the answer. */
static inline guint
crash_world_call (CrashWorld *world, guint front, const char *target, const char *body)
{
  static guint serial;
  g_autofree char *id = g_strdup_printf ("try-%u", ++serial);
  return path_status (path_front (world->path, front), "POST", target, id, body);
}

/* Returns TRUE if @front answers a lookup that crashes no worker. */
static inline gboolean
crash_world_serves (CrashWorld *world, guint front)
{
  return crash_world_call (world, front, "/l/innocent", "x") == 200;
}

/* Returns TRUE if all workers are running and fronts 0 and 1 answer lookups. */
static inline gboolean
crash_world_all_serve (CrashWorld *world)
{
  return crash_world_all_running (world) && crash_world_serves (world, 0) && crash_world_serves (world, 1);
}
