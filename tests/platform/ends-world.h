/*
 * ends-world.h: workers that end under requests and come back as other incarnations.
 */
#pragma once

#include "path-world.h"

#define ENDS_LOOK_MS 20
/* A dead worker's entry lapses, and another incarnation is listed, after so many looks. */
#define ENDS_LAPSE_LOOKS 8
#define ENDS_BACK_LOOKS 16
#define ENDS_FATAL_MS 10
#define ENDS_WORKERS (PATH_PLAIN + PATH_MODEL)

typedef struct
{
  PathWorld *path;
  guint looks_dead[ENDS_WORKERS];
  guint incarnations;
  guint ends;        /* workers that ended so far */
  guint least_plain; /* plain workers that lived at the worst look */
  guint timer;
} EndsWorld;

static inline StandinWorker *
ends_worker (EndsWorld *world, guint index)
{
  return index < PATH_PLAIN ? world->path->plain[index] : world->path->model[index - PATH_PLAIN];
}

static inline void
ends_list (EndsWorld *world, guint index)
{
  StandinWorker *worker = ends_worker (world, index);
  g_autofree char *key = g_strdup_printf ("servers/%s", standin_worker_get_id (worker));
  g_autofree char *entry = standin_worker_make_entry (worker, index < PATH_PLAIN ? "svc" : "llm", "ready");
  standin_store_put (world->path->store, key, entry);
}

static inline void
ends_look (EndsWorld *world, guint index)
{
  StandinWorker *worker = ends_worker (world, index);
  if (!standin_worker_is_down (worker))
    return;
  guint looks = ++world->looks_dead[index];
  world->ends += looks == 1;
  if (looks == ENDS_LAPSE_LOOKS)
    {
      g_autofree char *key = g_strdup_printf ("servers/%s", standin_worker_get_id (worker));
      standin_store_remove (world->path->store, key);
    }
  if (looks < ENDS_BACK_LOOKS)
    return;
  g_autofree char *id = g_strdup_printf ("w%u-%u", index, ++world->incarnations);
  world->looks_dead[index] = 0;
  standin_worker_restart (worker, id);
  ends_list (world, index);
}

static inline gboolean
ends_look_at_all (gpointer data)
{
  EndsWorld *world = data;
  guint live = 0;
  for (guint i = 0; i < PATH_PLAIN; i++)
    live += !standin_worker_is_down (world->path->plain[i]);
  world->least_plain = MIN (world->least_plain, live);
  for (guint i = 0; i < ENDS_WORKERS; i++)
    ends_look (world, i);
  return G_SOURCE_CONTINUE;
}

/* In a deployment that runs: requests that hold @fatal end their workers. */
static inline EndsWorld *
ends_world_watch (PathWorld *path, const char *fatal)
{
  EndsWorld *world = g_new0 (EndsWorld, 1);
  world->path = path;
  world->least_plain = PATH_PLAIN;
  for (guint i = 0; i < ENDS_WORKERS; i++)
    standin_worker_set_crash_trigger (ends_worker (world, i), fatal, ENDS_FATAL_MS, G_MAXUINT);
  world->timer = g_timeout_add (ENDS_LOOK_MS, ends_look_at_all, world);
  return world;
}

static inline EndsWorld *
ends_world_start (const char *name, const char *fatal)
{
  PathWorld *path = path_world_new (name);
  path_fix_links (path);
  path_world_start (path);
  return ends_world_watch (path, fatal);
}

static inline void
ends_world_free (EndsWorld *world)
{
  g_source_remove (world->timer);
  path_world_free (world->path);
  g_free (world);
}

static inline gboolean
ends_all_live (EndsWorld *world)
{
  for (guint i = 0; i < ENDS_WORKERS; i++)
    if (standin_worker_is_down (ends_worker (world, i)))
      return FALSE;
  return TRUE;
}

/* Runs at all workers whose body or target holds @text. */
static inline guint
ends_runs (EndsWorld *world, const char *text)
{
  guint count = 0;
  for (guint i = 0; i < ENDS_WORKERS; i++)
    {
      const GPtrArray *runs = standin_worker_get_runs (ends_worker (world, i));
      for (guint j = 0; j < runs->len; j++)
        {
          const StandinRun *run = runs->pdata[j];
          count += strstr (run->body, text) != NULL || strstr (run->target, text) != NULL;
        }
    }
  return count;
}

/* One try under an id of its own. */
static inline guint
ends_try (EndsWorld *world, guint front, const char *target, const char *body)
{
  static guint serial;
  g_autofree char *id = g_strdup_printf ("try-%u", ++serial);
  return path_status (path_front (world->path, front), "POST", target, id, body);
}

/* An innocent lookup is answered: all fronts know living workers again. */
static inline gboolean
ends_serves (EndsWorld *world, guint front)
{
  return ends_try (world, front, "/l/innocent", "x") == 200;
}

/* All workers live, and both fronts know it. */
static inline gboolean
ends_both_serve (EndsWorld *world)
{
  return ends_all_live (world) && ends_serves (world, 0) && ends_serves (world, 1);
}
