/*
 * test-leaving.c: guards against new work that reaches a worker 3 s after it starts to drain or is
 * unregistered, under crashes, suspensions and network partitions of fronts, replicas and the store.
 */
#include "call-load.h"
#include "relayed-world.h"

/* Time after which a leaving worker gets no new work. */
#define NO_NEW_WORK_MS 3000
#define LOAD_CALLS 260
#define CALL_INTERVAL_MS 20
#define LATER_LOAD_CALLS 80
#define LOOKUP_DURATION_MS 60
#define EVENT_INTERVAL_MS 60
#define BATCH_ITEMS 8
#define BURST_CALLS 120 /* calls queued at the suspended front */
/* Indexes of the workers that leave. */
#define LEAVING_PLAIN 1
#define LEAVING_MODEL 1

typedef struct _Scene Scene;

/**
 * LeavingCase:
 * @state: state that the leaving workers are registered with; %NULL: they are unregistered
 * @inject_before: (nullable): injects a fault before the registrations change
 * @inject_after: (nullable): injects a fault right after the registrations change
 * @recover: (nullable): clears both faults after NO_NEW_WORK_MS
 * @expects_paused: whether relays are paused and must have a paused connection
 * @burst: number of calls queued at front 0 when it resumes
 */
typedef struct
{
  const char *name;
  const char *state;
  void (*inject_before) (Scene *scene);
  void (*inject_after) (Scene *scene);
  void (*recover) (Scene *scene);
  gboolean expects_paused;
  guint burst;
} LeavingCase;

/* A deployment that the cases share until one of them fails. */
struct _Scene
{
  RelayedWorld *world;
  const LeavingCase *running;
  guint leader; /* at the start of the running case */
  guint n_loads;
  guint n_batches;
  guint first_batch; /* of the running case */
  gboolean last_case_passed;
};

static Scene shared_scene;

/* ---- Registrations -------------------------------------------------------------- */

static void
set_registration (Scene *scene, const StandinWorker *worker, const char *service, const char *state)
{
  g_autofree char *key = g_strdup_printf ("servers/%s", standin_worker_get_id (worker));
  if (state == NULL)
    {
      standin_store_remove (scene->world->path->store, key);
      return;
    }
  g_autofree char *entry = standin_worker_make_entry (worker, service, state);
  standin_store_put (scene->world->path->store, key, entry);
}

static void
set_leaving_registrations (Scene *scene, const char *state)
{
  set_registration (scene, scene->world->path->plain[LEAVING_PLAIN], "svc", state);
  set_registration (scene, scene->world->path->model[LEAVING_MODEL], "llm", state);
}

/* ---- Faults ------------------------------------------------------------- */

static guint
choose_follower (const Scene *scene)
{
  return (scene->leader + 1) % PATH_REPLICAS;
}

static void
pause_store_link (Scene *scene, guint process, gboolean held)
{
  relayed_set_paused (scene->world, process, RELAYED_STORE, held);
}

static void
pause_store_for_leader (Scene *scene)
{
  pause_store_link (scene, RELAYED_REPLICA_PROCESS (scene->leader), TRUE);
}

static void
pause_store_for_fronts (Scene *scene)
{
  for (guint i = 0; i < PATH_FRONTS; i++)
    pause_store_link (scene, i, TRUE);
}

static void
pause_store_for_all_except (Scene *scene, guint process)
{
  for (guint i = 0; i < RELAYED_N_PROCESSES; i++)
    pause_store_link (scene, i, i != process);
}

static void
pause_store_for_all_except_leader (Scene *scene)
{
  pause_store_for_all_except (scene, RELAYED_REPLICA_PROCESS (scene->leader));
}

static void
pause_store_for_all_except_follower (Scene *scene)
{
  pause_store_for_all_except (scene, RELAYED_REPLICA_PROCESS (choose_follower (scene)));
}

static void
resume_store_links (Scene *scene)
{
  for (guint i = 0; i < RELAYED_N_PROCESSES; i++)
    pause_store_link (scene, i, FALSE);
}

static void
pause_front_leader_link (Scene *scene)
{
  relayed_set_paused (scene->world, 0, RELAYED_REPLICA (scene->leader), TRUE);
}

static void
resume_front_leader_link (Scene *scene)
{
  relayed_set_paused (scene->world, 0, RELAYED_REPLICA (scene->leader), FALSE);
}

static void
kill_leader (Scene *scene)
{
  quince_process_kill (scene->world->path->replicas[scene->leader]);
}

static void
restart_leader (Scene *scene)
{
  relayed_start_process (scene->world, RELAYED_REPLICA_PROCESS (scene->leader));
}

static void
suspend_leader (Scene *scene)
{
  quince_process_suspend (scene->world->path->replicas[scene->leader]);
}

static void
resume_leader (Scene *scene)
{
  quince_process_resume (scene->world->path->replicas[scene->leader]);
}

static void
suspend_leader_and_follower (Scene *scene)
{
  suspend_leader (scene);
  quince_process_suspend (scene->world->path->replicas[choose_follower (scene)]);
}

static void
resume_leader_and_follower (Scene *scene)
{
  resume_leader (scene);
  quince_process_resume (scene->world->path->replicas[choose_follower (scene)]);
}

static void
isolate_leader (Scene *scene)
{
  relayed_set_replica_isolated (scene->world, scene->leader, TRUE);
}

static void
reconnect_leader (Scene *scene)
{
  relayed_set_replica_isolated (scene->world, scene->leader, FALSE);
}

static void
suspend_front (Scene *scene)
{
  quince_process_suspend (scene->world->path->fronts[0]);
}

static void
resume_front (Scene *scene)
{
  quince_process_resume (scene->world->path->fronts[0]);
}

/* Returns whether the log of @process shows both leaving workers as draining. */
static gboolean
knows_draining_workers (Scene *scene, guint process)
{
  const PathWorld *path = scene->world->path;
  const StandinWorker *const workers[] = { path->plain[LEAVING_PLAIN], path->model[LEAVING_MODEL] };
  g_autofree char *text = quince_process_read_output (
      process < PATH_FRONTS ? path->fronts[process] : path->replicas[process - PATH_FRONTS]);
  for (guint i = 0; i < G_N_ELEMENTS (workers); i++)
    {
      g_autofree char *of_worker
          = g_strdup_printf ("event=worker_changed worker=%s ", standin_worker_get_id (workers[i]));
      const char *latest = g_strrstr (text, of_worker);
      const char *line_end = latest != NULL ? strchr (latest, '\n') : NULL;
      const char *sign = latest != NULL ? strstr (latest, "state=draining") : NULL;
      if (sign == NULL || line_end == NULL || sign > line_end)
        return FALSE;
    }
  return TRUE;
}

static gboolean
all_know_draining_workers (Scene *scene)
{
  for (guint i = 0; i < RELAYED_N_PROCESSES; i++)
    if (!knows_draining_workers (scene, i))
      return FALSE;
  return TRUE;
}

/* Kills the leader once all processes know the draining workers.  Only the leader could read the store. */
static void
kill_leader_after_propagation (Scene *scene)
{
  AWAIT (all_know_draining_workers (scene));
  kill_leader (scene);
}

static void
restart_leader_and_resume_links (Scene *scene)
{
  restart_leader (scene);
  resume_store_links (scene);
}

/* Makes the store unavailable to all once a follower has read the draining states. */
static void
fail_store_after_follower_read (Scene *scene)
{
  AWAIT (knows_draining_workers (scene, RELAYED_REPLICA_PROCESS (choose_follower (scene))));
  standin_store_set_fault (scene->world->path->store, STANDIN_STORE_UNAVAILABLE);
  standin_store_close_connections (scene->world->path->store);
}

static void
restore_store_and_resume_links (Scene *scene)
{
  standin_store_set_fault (scene->world->path->store, STANDIN_STORE_HEALTHY);
  resume_store_links (scene);
}

static void
compact_store (Scene *scene)
{
  standin_store_compact (scene->world->path->store);
}

static const LeavingCase leaving_cases[] = {
  { .name = "draining", .state = "draining" },
  { .name = "listed no more" },
  { .name = "draining, the store forgets its history", .state = "draining", .inject_after = compact_store },
  { .name = "draining, the leader is cut from the store",
    .state = "draining",
    .inject_before = pause_store_for_leader,
    .recover = resume_store_links,
    .expects_paused = TRUE },
  { .name = "draining, fronts are cut from the store",
    .state = "draining",
    .inject_before = pause_store_for_fronts,
    .recover = resume_store_links,
    .expects_paused = TRUE },
  { .name = "draining, all but the leader are cut from the store",
    .state = "draining",
    .inject_before = pause_store_for_all_except_leader,
    .recover = resume_store_links,
    .expects_paused = TRUE },
  { .name = "draining, a front is cut from the leader",
    .state = "draining",
    .inject_before = pause_front_leader_link,
    .recover = resume_front_leader_link,
    .expects_paused = TRUE },
  { .name = "draining, who read it alone told the others and is killed",
    .state = "draining",
    .inject_before = pause_store_for_all_except_leader,
    .inject_after = kill_leader_after_propagation,
    .recover = restart_leader_and_resume_links,
    .expects_paused = TRUE },
  { .name = "draining, the store goes down once a follower has read it",
    .state = "draining",
    .inject_before = pause_store_for_all_except_follower,
    .inject_after = fail_store_after_follower_read,
    .recover = restore_store_and_resume_links,
    .expects_paused = TRUE },
  { .name = "draining, the leader is killed at the sign",
    .state = "draining",
    .inject_after = kill_leader,
    .recover = restart_leader },
  { .name = "draining, the leader is frozen at the sign",
    .state = "draining",
    .inject_after = suspend_leader,
    .recover = resume_leader },
  { .name = "draining, the leader hears nobody from the sign on",
    .state = "draining",
    .inject_after = isolate_leader,
    .recover = reconnect_leader,
    .expects_paused = TRUE },
  { .name = "draining, the leader and a follower are frozen at the sign",
    .state = "draining",
    .inject_after = suspend_leader_and_follower,
    .recover = resume_leader_and_follower },
  { .name = "draining, a front is frozen across it",
    .state = "draining",
    .inject_before = suspend_front,
    .recover = resume_front,
    .burst = BURST_CALLS },
};

/* ---- Work --------------------------------------------------------------- */

static void
submit_batch (Scene *scene)
{
  g_autofree char *batch = g_strdup_printf ("b%u", scene->n_batches++);
  g_autofree char *text = path_make_batch (batch, BATCH_ITEMS);
  AWAIT (path_status (path_front (scene->world->path, 1), "POST", "/r/batch", batch, text) == 202);
}

/* Checks only batches of the running case: the ledger removes a batch 120 s after its submission. */
static void
assert_batches_complete (Scene *scene)
{
  PathWorld *path = scene->world->path;
  for (guint i = scene->first_batch; i < scene->n_batches; i++)
    {
      g_autofree char *batch = g_strdup_printf ("b%u", i);
      AWAIT (path_count_results (path, 0, batch) == BATCH_ITEMS);
      g_autofree char *text = path_read_results (path, 1, batch);
      assert_int_equal (path_count_occurrences (text, "\"state\":\"completed\""), BATCH_ITEMS);
      assert_int_equal (path_count_occurrences (text, "\"message\":\"e1\\ne2\\ne3\\ne4\\ne5\\ne6\""),
                        BATCH_ITEMS);
    }
}

static CallLoad *
start_load (Scene *scene, guint calls)
{
  g_autofree char *name = g_strdup_printf ("load%u", scene->n_loads++);
  return call_load_new (scene->world->path, name, calls, CALL_INTERVAL_MS);
}

static guint
count_runs_after (const StandinWorker *worker, gint64 time_us)
{
  const GPtrArray *runs = standin_worker_get_runs (worker);
  guint count = 0;
  for (guint i = 0; i < runs->len; i++)
    {
      const StandinRun *run = runs->pdata[i];
      if (run->received_us <= time_us)
        continue;
      print_message ("  %s received %s %s %d ms after the deadline\n", standin_worker_get_id (worker),
                     run->target, run->id, (int)((run->received_us - time_us) / 1000));
      count++;
    }
  return count;
}

static guint
get_n_runs (const StandinWorker *worker)
{
  return standin_worker_get_runs (worker)->len;
}

/* Returns whether both leaving workers have received runs beyond the given counts. */
static gboolean
have_new_runs (Scene *scene, guint plain_before, guint model_before)
{
  const PathWorld *path = scene->world->path;
  return get_n_runs (path->plain[LEAVING_PLAIN]) > plain_before
         && get_n_runs (path->model[LEAVING_MODEL]) > model_before;
}

static void
assert_workers_used_after_return (Scene *scene)
{
  const PathWorld *path = scene->world->path;
  guint plain = get_n_runs (path->plain[LEAVING_PLAIN]);
  guint model = get_n_runs (path->model[LEAVING_MODEL]);
  set_leaving_registrations (scene, "ready");
  CallLoad *load = start_load (scene, LOAD_CALLS);
  AWAIT (have_new_runs (scene, plain, model));
  call_load_stop (load);
  call_load_await (load);
  call_load_check (load);
  call_load_free (load);
}

/* ---- The cases ---------------------------------------------------------- */

static void
assert_no_new_work (Scene *scene, gint64 bound_us)
{
  const PathWorld *path = scene->world->path;
  assert_int_equal (count_runs_after (path->plain[LEAVING_PLAIN], bound_us), 0);
  assert_int_equal (count_runs_after (path->model[LEAVING_MODEL], bound_us), 0);
}

/* No call was cut or failed.  Without a burst, all calls completed: other workers had free slots. */
static void
assert_served (Scene *scene, CallLoad *load)
{
  CallLoadCounts verdict = call_load_check (load);
  assert_int_equal (verdict.cut + verdict.failed, 0);
  if (scene->running->burst == 0)
    assert_int_equal (verdict.complete, verdict.calls);
}

/* Asserts that the other workers get new work after the deadline. */
static void
assert_service_continues (Scene *scene, CallLoad *load)
{
  const PathWorld *path = scene->world->path;
  guint plain = get_n_runs (path->plain[0]);
  guint model = get_n_runs (path->model[0]);
  submit_batch (scene);
  call_load_await (load);
  CallLoad *more = start_load (scene, LATER_LOAD_CALLS);
  call_load_await (more);
  assert_served (scene, more);
  call_load_free (more);
  assert_true (get_n_runs (path->plain[0]) > plain && get_n_runs (path->model[0]) > model);
}

static void
test_leaving_workers (void **state)
{
  Scene *scene = *state;
  const LeavingCase *test_case = scene->running;
  const PathWorld *path = scene->world->path;
  scene->leader = (guint)path_find_leader (scene->world->path);
  scene->first_batch = scene->n_batches;
  guint plain = get_n_runs (path->plain[LEAVING_PLAIN]);
  guint model = get_n_runs (path->model[LEAVING_MODEL]);
  submit_batch (scene);
  CallLoad *load = start_load (scene, LOAD_CALLS);
  AWAIT (have_new_runs (scene, plain, model));
  if (test_case->inject_before != NULL)
    test_case->inject_before (scene);
  for (guint i = 0; i < test_case->burst; i++)
    call_load_start_call (load, i % CALL_KINDS, 0);
  load->total += test_case->burst;
  gint64 bound_us = g_get_monotonic_time () + NO_NEW_WORK_MS * 1000;
  set_leaving_registrations (scene, test_case->state);
  if (test_case->inject_after != NULL)
    test_case->inject_after (scene);
  AWAIT (g_get_monotonic_time () > bound_us);
  assert_true (!test_case->expects_paused || relayed_count_paused_connections (scene->world) > 0);
  if (test_case->recover != NULL)
    test_case->recover (scene);
  assert_service_continues (scene, load);
  assert_served (scene, load);
  assert_batches_complete (scene);
  assert_no_new_work (scene, bound_us);
  call_load_free (load);
  assert_workers_used_after_return (scene);
  scene->last_case_passed = TRUE;
}

/* ---- Running ------------------------------------------------------------ */

static void
stop_scene (Scene *scene)
{
  if (scene->world != NULL)
    relayed_world_free (scene->world);
  scene->world = NULL;
}

static void
start_scene (Scene *scene)
{
  scene->world = relayed_world_new ("leaving");
  scene->n_batches = 0;
  call_load_configure (scene->world->path, 8);
  for (guint i = 0; i < PATH_PLAIN; i++)
    standin_worker_set_answer_delay (scene->world->path->plain[i], LOOKUP_DURATION_MS);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (scene->world->path->model[i], CALL_EVENTS, EVENT_INTERVAL_MS);
  relayed_world_start (scene->world);
}

/* A failed case may leave the deployment in any state, so the next case starts a new one. */
static int
set_up_case (void **state)
{
  Scene *scene = &shared_scene;
  const LeavingCase *test_case = *state;
  *state = scene;
  if (!scene->last_case_passed)
    {
      stop_scene (scene);
      start_scene (scene);
    }
  scene->last_case_passed = FALSE;
  scene->running = test_case;
  relayed_await_service (scene->world);
  return 0;
}

static int
stop_all (void **state)
{
  stop_scene (&shared_scene);
  return 0;
}

int
main (int argc, char **argv)
{
  relayed_allow_preload ();
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  struct CMUnitTest tests[G_N_ELEMENTS (leaving_cases)] = { 0 };
  for (guint i = 0; i < G_N_ELEMENTS (leaving_cases); i++)
    tests[i] = (struct CMUnitTest){ .name = leaving_cases[i].name,
                                    .test_func = test_leaving_workers,
                                    .setup_func = set_up_case,
                                    .initial_state = (gpointer)&leaving_cases[i] };
  return cmocka_run_group_tests_name ("leaving", tests, NULL, stop_all);
}
