/*
 * test-callers.c: guards against truncated or foreign answers, false "not run" refusals and repeated runs
 * when workers, fronts, replicas, the store or connections fail during calls.
 */
#include "callers-faults.h"

#define N_CALLS 240
#define CALL_INTERVAL_MS 5
#define MIN_RUNS_BEFORE_FAULT 40 /* runs of the load before its fault is injected */
#define BURST_CALLS 700
#define MIN_REFUSED_CALLS 200
#define WORKER_CAPACITY 20 /* concurrent requests per worker during the burst */
/* Half of the callers' deadline. */
#define REFUSAL_MAX_MS 1500

static Scene shared_scene;

static CallLoad *
new_load (Scene *scene, guint calls)
{
  g_autofree char *name = g_strdup_printf ("load%u", scene->loads++);
  return call_load_new (scene->world->path, name, calls, CALL_INTERVAL_MS);
}

/* Waits until each front answers each kind of call and the ledger has a leader. */
static void
await_recovered (Scene *scene)
{
  PathWorld *path = scene->world->path;
  set_pace (scene, EVENT_INTERVAL_MS);
  for (guint i = 0; i < PATH_FRONTS; i++)
    {
      for (guint kind = 0; kind < CALL_KINDS; kind++)
        AWAIT (path_status (path_front (path, i), "POST", call_targets[kind], "again", "again") == 200);
      AWAIT (path_status (path_front (path, i), "GET", "/quinceroute/lots/none", "q", NULL) == 404);
    }
}

static void
assert_fault_case (const FaultCase *fault, CallLoad *load)
{
  CallLoadCounts verdict = call_load_check (load);
  if (verdict.complete * 100 < N_CALLS * fault->min_complete_calls)
    fail_msg ("only %u of %u calls got a complete answer", verdict.complete, N_CALLS);
  if (fault->must_break_calls && verdict.cut + verdict.failed + verdict.repeated == 0)
    fail_msg ("the fault affected no call");
  if (!fault->stops_front)
    call_load_assert_deadlines (load);
}

static void
test_fault_case (void **state)
{
  Scene *scene = *state;
  const FaultCase *fault = scene->running;
  scene->leader = (guint)path_find_leader (scene->world->path);
  CallLoad *load = new_load (scene, N_CALLS);
  AWAIT (call_load_count_runs (load) >= MIN_RUNS_BEFORE_FAULT);
  if (fault->begin != NULL)
    fault->begin (scene);
  gint64 end_us = g_get_monotonic_time () + (gint64)fault->duration_ms * 1000;
  while (g_get_monotonic_time () < end_us)
    {
      run_for (1);
      call_load_count_done (load);
    }
  if (fault->pauses_relays)
    assert_true (relayed_count_paused_connections (scene->world) > 0);
  if (fault->end != NULL)
    fault->end (scene);
  call_load_await (load);
  assert_fault_case (fault, load);
  await_recovered (scene);
  call_load_check (load); /* no call has run after the load ended */
  call_load_free (load);
  scene->last_case_passed = TRUE;
}

/* ---- Refusals ----------------------------------------------------------- */

static guint
count_refused (CallLoad *load)
{
  guint count = 0;
  for (guint i = 0; i < load->calls->len; i++)
    {
      const Call *call = load->calls->pdata[i];
      count += call->answer.done && call_is_refused (call);
    }
  return count;
}

static void
set_worker_capacity (Scene *scene, guint capacity)
{
  for (guint i = 0; i < PATH_PLAIN; i++)
    standin_worker_set_max_running (scene->world->path->plain[i], capacity);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_max_running (scene->world->path->model[i], capacity);
}

/* During a burst far above the workers' capacity, fronts refuse the excess calls while the accepted ones are
 * still in flight. */
static void
test_overload_refused_at_once (void **state)
{
  Scene *scene = *state;
  CallLoad *load = new_load (scene, 0);
  set_worker_capacity (scene, WORKER_CAPACITY);
  set_faults (scene, PATH_PLAIN, PATH_MODEL, STANDIN_WORKER_UNRESPONSIVE, G_MAXUINT);
  for (guint i = 0; i < BURST_CALLS; i++)
    call_load_start_call (load, i % 2 == 0 ? CALL_NON_IDEMPOTENT_LOOKUP : CALL_NON_RESUMABLE_STREAM,
                          i / 2 % PATH_FRONTS);
  load->total = BURST_CALLS;
  gint64 start_us = g_get_monotonic_time ();
  AWAIT (count_refused (load) >= MIN_REFUSED_CALLS);
  assert_int_equal (call_load_count_done (load), count_refused (load));
  gint64 elapsed_ms = (g_get_monotonic_time () - start_us) / 1000;
  print_message ("  refused=%u after_ms=%d\n", count_refused (load), (int)elapsed_ms);
  assert_true (elapsed_ms < REFUSAL_MAX_MS);
  call_load_await (load);
  end_faults (scene);
  set_worker_capacity (scene, G_MAXUINT);
  CallLoadCounts verdict = call_load_check (load);
  assert_int_equal (verdict.complete, 0);
  await_recovered (scene);
  call_load_check (load);
  call_load_free (load);
  scene->last_case_passed = TRUE;
}

/* A call that was sent to a worker may run.  It must not be reported as not run, even if its deadline expires
 * before the worker answers. */
static void
test_deadline_after_dispatch (void **state)
{
  Scene *scene = *state;
  CallLoad *load = new_load (scene, 0);
  set_faults (scene, PATH_PLAIN, PATH_MODEL, STANDIN_WORKER_UNRESPONSIVE, G_MAXUINT);
  for (guint i = 0; i < 10 * CALL_KINDS; i++)
    call_load_start_call (load, i % CALL_KINDS, i / CALL_KINDS % PATH_FRONTS);
  load->total = load->calls->len;
  call_load_await (load);
  CallLoadCounts verdict = call_load_check (load);
  assert_true (verdict.failed + verdict.cut > 0);
  end_faults (scene);
  await_recovered (scene);
  call_load_check (load);
  call_load_free (load);
  scene->last_case_passed = TRUE;
}

/* ---- Setup -------------------------------------------------------------- */

static void
free_scene_world (Scene *scene)
{
  if (scene->world != NULL)
    relayed_world_free (scene->world);
  scene->world = NULL;
}

/* Creates a new deployment if the previous case failed, since its state is then undefined. */
static int
prepare_case (void **state)
{
  Scene *scene = &shared_scene;
  const FaultCase *fault = *state;
  *state = scene;
  if (!scene->last_case_passed)
    {
      free_scene_world (scene);
      scene->world = relayed_world_new ("callers");
      call_load_configure (scene->world->path, 8);
      set_pace (scene, EVENT_INTERVAL_MS);
      relayed_world_start (scene->world);
    }
  scene->last_case_passed = FALSE;
  scene->running = fault;
  await_recovered (scene);
  return 0;
}

static int
free_shared_scene (void **state)
{
  free_scene_world (&shared_scene);
  return 0;
}

int
main (int argc, char **argv)
{
  relayed_allow_preload ();
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  const struct CMUnitTest refusals[] = {
    cmocka_unit_test_setup (test_overload_refused_at_once, prepare_case),
    cmocka_unit_test_setup (test_deadline_after_dispatch, prepare_case),
  };
  enum
  {
    N_FAULT_TESTS = G_N_ELEMENTS (fault_cases),
    N_REFUSAL_TESTS = G_N_ELEMENTS (refusals)
  };
  struct CMUnitTest tests[N_FAULT_TESTS + N_REFUSAL_TESTS] = { 0 };
  for (guint i = 0; i < N_FAULT_TESTS; i++)
    tests[i] = (struct CMUnitTest){ .name = fault_cases[i].name,
                                    .test_func = test_fault_case,
                                    .setup_func = prepare_case,
                                    .initial_state = (gpointer)&fault_cases[i] };
  for (guint i = 0; i < N_REFUSAL_TESTS; i++)
    tests[N_FAULT_TESTS + i] = refusals[i];
  return _cmocka_run_group_tests ("callers", tests, N_FAULT_TESTS + N_REFUSAL_TESTS, NULL, free_shared_scene);
}
