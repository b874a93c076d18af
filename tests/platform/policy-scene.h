/*
 * policy-scene.h: accepts policies while calls are in flight and checks when each process applies them, by
 * its log, the runs of workers and the answers to callers.
 */
#pragma once

#include "relayed-world.h"

#define IN_FORCE_MAX_MS 3000
#define CALL_INTERVAL_MS 50
#define EVENTS 6
#define EVENT_INTERVAL_MS 40

static const char admit_all_policy[] = "function admit(request) return { priority = 1 } end\n-- %u\n";
static const char refuse_lookups_policy[]
    = "function admit(request)\n"
      "  if request.kind == \"l\" then return { refuse = \"closed\" } end\n"
      "  return { priority = 1 }\nend\n-- %u\n";

/* Lookups, resumable streams, non-resumable streams. */
static const char *const call_targets[] = { "/l/call", "/s/call", "/u/call" };

typedef struct
{
  char *id;
  const char *target; /* one of call_targets */
  PathAnswer answer;
} Call;

typedef struct
{
  RelayedWorld *world;
  guint leader;     /* replica that led at the start */
  guint64 revision; /* of the latest accepted policy */
  gint64 accepted_us;
  guint policies;   /* written so far; makes each policy text unique */
  GPtrArray *calls; /* Call, owned */
  guint timer;
  gboolean isolated[RELAYED_N_PROCESSES]; /* gets no updates from the store or the leader */
} Scene;

/* ---- What is in force --------------------------------------------------- */

static inline char *
process_name (guint process)
{
  return process < PATH_FRONTS ? g_strdup_printf ("front-%u", process)
                               : g_strdup_printf ("replica-%u", process - PATH_FRONTS);
}

/* Returns the latest revision that @process logged as in force, or 0 if there is none.  Fails the test if the
 * logged revisions do not increase. */
static inline guint64
revision_in_force (const Scene *scene, guint process)
{
  static const char key[] = "event=policy_in_force revision=";
  g_autofree char *name = process_name (process);
  g_autofree char *file = g_strdup_printf ("%s/%s.out", scene->world->path->folder, name);
  g_autofree char *text = NULL;
  guint64 latest = 0;
  if (!g_file_get_contents (file, &text, NULL, NULL))
    return 0;
  for (const char *match = strstr (text, key); match != NULL; match = strstr (match + 1, key))
    {
      guint64 revision = g_ascii_strtoull (match + strlen (key), NULL, 10);
      if (revision <= latest)
        fail_msg ("%s went back from revision %u to %u", name, (guint)latest, (guint)revision);
      latest = revision;
    }
  return latest;
}

static inline gboolean
is_in_force (const Scene *scene, gboolean include_isolated)
{
  for (guint i = 0; i < RELAYED_N_PROCESSES; i++)
    if ((include_isolated || !scene->isolated[i]) && revision_in_force (scene, i) != scene->revision)
      return FALSE;
  return TRUE;
}

/* Prints each process that has newly applied the policy, and after what time. */
static inline void
print_processes_in_force (const Scene *scene, gboolean *reported, gint64 since_us)
{
  for (guint i = 0; i < RELAYED_N_PROCESSES; i++)
    if (!reported[i] && revision_in_force (scene, i) == scene->revision)
      {
        g_autofree char *name = process_name (i);
        reported[i] = TRUE;
        print_message ("    %s after %d ms\n", name, (int)((g_get_monotonic_time () - since_us) / 1000));
      }
}

static inline gboolean
check_in_force (const Scene *scene, gboolean include_isolated, gboolean *reported, gint64 since_us)
{
  print_processes_in_force (scene, reported, since_us);
  return is_in_force (scene, include_isolated);
}

static inline void
assert_in_force (const Scene *scene, gint64 since_us, gboolean include_isolated)
{
  gboolean reported[RELAYED_N_PROCESSES] = { FALSE };
  AWAIT (check_in_force (scene, include_isolated, reported, since_us));
  gint64 took_ms = (g_get_monotonic_time () - since_us) / 1000;
  print_message ("  revision=%u in_force_ms=%d everywhere=%d\n", (guint)scene->revision, (int)took_ms,
                 include_isolated);
  if (took_ms > IN_FORCE_MAX_MS)
    fail_msg ("the policy was in force only after %d ms", (int)took_ms);
}

/* ---- Operators ------------------------------------------------------------ */

/* Returns: (transfer full): the path of a new policy file with a unique text */
static inline char *
write_policy (Scene *scene, const char *format)
{
  scene->policies++;
  char *path = g_strdup_printf ("%s/policy-%u.lua", scene->world->path->folder, scene->policies);
  g_autofree char *text = g_strdup_printf (format, scene->policies);
  assert_true (g_file_set_contents (path, text, -1, NULL));
  return path;
}

static inline void
record_accepted_revision (Scene *scene)
{
  guint64 revision = standin_store_get_revision (scene->world->path->store, "quinceroute/policy");
  assert_true (revision > scene->revision);
  scene->revision = revision;
  scene->accepted_us = g_get_monotonic_time ();
}

static inline void
accept_policy (Scene *scene, const char *format)
{
  g_autofree char *path = write_policy (scene, format);
  const char *const words[] = { "policy", "accept", path, "--comment", "test", NULL };
  assert_int_equal (path_run_operator_tool (scene->world->path, words), 0);
  record_accepted_revision (scene);
}

/* ---- Callers ------------------------------------------------------------ */

static inline void
call_free (gpointer data)
{
  Call *call = data;
  path_answer_clear (&call->answer);
  g_free (call->id);
  g_free (call);
}

/* Starts a call; alternates between the fronts, then between the targets. */
static inline gboolean
start_call (gpointer data)
{
  Scene *scene = data;
  guint index = scene->calls->len;
  Call *call = g_new0 (Call, 1);
  call->id = g_strdup_printf ("call-%u", index);
  call->target = call_targets[index / PATH_FRONTS % G_N_ELEMENTS (call_targets)];
  g_ptr_array_add (scene->calls, call);
  path_start_call (path_front (scene->world->path, index % PATH_FRONTS), "POST", call->target, call->id,
                   call->id, &call->answer);
  return G_SOURCE_CONTINUE;
}

/* Counts the runs of call @id at all workers, or the runs of all lookups if @id is NULL. */
static inline guint
count_runs (const Scene *scene, const char *id)
{
  guint count = 0;
  for (guint i = 0; i < PATH_PLAIN + PATH_MODEL; i++)
    {
      const StandinWorker *worker
          = i < PATH_PLAIN ? scene->world->path->plain[i] : scene->world->path->model[i - PATH_PLAIN];
      const GPtrArray *runs = standin_worker_get_runs (worker);
      for (guint j = 0; j < runs->len; j++)
        {
          const StandinRun *run = runs->pdata[j];
          count += id != NULL ? g_str_equal (run->id, id) : g_str_equal (run->target, "/l/call");
        }
    }
  return count;
}

static inline gboolean
is_complete (const Call *call)
{
  if (call->answer.outcome != QUINCE_HTTP_ANSWERED || call->answer.status != 200)
    return FALSE;
  if (call->target != call_targets[0])
    return path_count_occurrences (call->answer.body, "data: e") == EVENTS
           && g_str_has_suffix (call->answer.body, "id: 6\ndata: e6\n\n");
  g_autofree char *beginning = g_strdup_printf ("%s by p", call->id);
  return g_str_has_prefix (call->answer.body, beginning) && call->answer.signature != NULL;
}

static inline guint
count_complete (const Scene *scene)
{
  guint count = 0;
  for (guint i = 0; i < scene->calls->len; i++)
    {
      const Call *call = scene->calls->pdata[i];
      count += call->answer.done && is_complete (call);
    }
  return count;
}

/* Asserts that refused calls did not run, that non-resumable streams ran at most once, and that answers with
 * status 200 are complete. */
static inline void
assert_calls (const Scene *scene)
{
  guint complete = 0, refused = 0, unknown = 0;
  for (guint i = 0; i < scene->calls->len; i++)
    {
      const Call *call = scene->calls->pdata[i];
      AWAIT (call->answer.done);
      guint runs = count_runs (scene, call->id);
      if (call->answer.status == 503)
        assert_int_equal (runs, 0);
      if (call->target == call_targets[2])
        assert_in_range (runs, 0, 1);
      if (call->answer.status == 200 && call->answer.outcome == QUINCE_HTTP_ANSWERED)
        assert_true (is_complete (call));
      complete += is_complete (call);
      refused += call->answer.status == 503;
      unknown += !is_complete (call) && call->answer.status != 503;
    }
  print_message ("  calls=%u complete=%u refused=%u unknown=%u\n", scene->calls->len, complete, refused,
                 unknown);
}

/* ---- Scenes ------------------------------------------------------------- */

static inline void
start_scene (Scene *scene, const char *name)
{
  *scene = (Scene){ .world = relayed_world_new (name) };
  scene->calls = g_ptr_array_new_with_free_func (call_free);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (scene->world->path->model[i], EVENTS, EVENT_INTERVAL_MS);
  relayed_world_start (scene->world);
  scene->leader = (guint)path_find_leader (scene->world->path);
}

static inline void
stop_scene (Scene *scene)
{
  g_ptr_array_unref (scene->calls);
  relayed_world_free (scene->world);
}
