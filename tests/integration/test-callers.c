/*
 * test-callers.c: what callers are promised, while engines, nodes and agents fail:
 * whole own answers, "not run" only when it did not run, at most once.
 *
 * Each fault case runs the same mixed load, makes its fault while calls are in
 * flight, and afterwards repeats, through other agents, each call that must not
 * be repeated and has no whole answer.  The engines' own records and every
 * answer byte are judged after both, and all of them once more at the end.
 */
#include "harness.h"

#define ENGINES 4
#define CALLS_OF_A_SHAPE 40
#define PAIRS 20
#define IDS (4 * CALLS_OF_A_SHAPE + 3 * PAIRS)
#define TOKENS 30
#define SPREAD_MS 1500
#define REPEAT_AFTER_MS 1200
#define BURST 600
#define BURST_DEADLINE_MS 5000
#define BURST_REFUSED 200
#define SHORT_DEADLINE_MS 800
#define IN_FLIGHT 2 /* sequences that run on an engine when its fault is made */

typedef struct _Scene Scene;

/**
 * FaultCase:
 * @engines: how many engines get @engine_fault and @route_fault
 * @begin: (nullable): makes a fault of another kind
 * @hold_ms: from the beginning of the fault to its end
 * @effect: (nullable): counter of the engines' records that the fault must raise
 * @least_whole: percent of the ids with a whole answer
 */
typedef struct
{
  const char *name;
  guint engines;
  const char *engine_fault;
  const char *engine_end;
  const char *route_fault;
  const char *route_end;
  void (*begin) (Scene *scene);
  void (*end) (Scene *scene);
  guint hold_ms;
  const char *effect;
  guint least_whole;
} FaultCase;

/* One deployment, shared by the cases until one of them fails. */
struct _Scene
{
  QuinceCluster *cluster;
  GPtrArray *loads;                  /* QuinceLoad, all that this deployment got     */
  QuinceClusterPart *first, *second; /* struck by the running case  */
  const FaultCase *running;
  guint64 seed;
  gboolean sound; /* the last case came to its end                  */
};

static Scene scene_of_tests;

/* ---- Looking at the deployment ---------------------------------------------- */

static QuinceClusterPart *
get_part (Scene *scene, QuincePartKind kind, guint index)
{
  QuinceClusterPart *part = quince_cluster_get (scene->cluster, kind, index);
  assert_non_null (part);
  return part;
}

static void
set_engine_faults (Scene *scene, guint engines, const char *faults)
{
  for (guint i = 0; faults != NULL && i < engines; i++)
    assert_true (quince_set_faults (get_part (scene, QUINCE_PART_ENGINE, i)->control, faults));
}

static void
set_route_faults (Scene *scene, guint engines, const char *faults)
{
  for (guint i = 0; faults != NULL && i < engines; i++)
    assert_true (
        quince_cluster_set_route_faults (scene->cluster, get_part (scene, QUINCE_PART_ENGINE, i), faults));
}

/* ---- Faults of processes ------------------------------------------------------ */

static void
restart_struck (Scene *scene)
{
  harness_restart (scene->cluster, scene->first);
  if (scene->second != NULL)
    harness_restart (scene->cluster, scene->second);
}

static void
thaw_struck (Scene *scene)
{
  quince_process_thaw (scene->first->process);
}

static void
kill_first (Scene *scene, QuinceClusterPart *part)
{
  scene->first = part;
  quince_process_kill (part->process);
}

static void
freeze_first (Scene *scene, QuinceClusterPart *part)
{
  scene->first = part;
  quince_process_freeze (part->process);
}

static void
crash_engine (Scene *scene)
{
  scene->first = get_part (scene, QUINCE_PART_ENGINE, 0);
  assert_true (quince_cluster_crash_engine (scene->first));
}

static void
kill_agent (Scene *scene)
{
  kill_first (scene, get_part (scene, QUINCE_PART_AGENT, 0));
}

static void
kill_node (Scene *scene)
{
  kill_first (scene, get_part (scene, QUINCE_PART_NODE, 0));
}

static void
freeze_node (Scene *scene)
{
  freeze_first (scene, get_part (scene, QUINCE_PART_NODE, 0));
}

static QuinceClusterPart *
get_leader (Scene *scene)
{
  QuinceClusterPart *leader = quince_cluster_await_leader (scene->cluster, HARNESS_WAIT_MS);
  assert_non_null (leader);
  return leader;
}

static void
kill_leader (Scene *scene)
{
  kill_first (scene, get_leader (scene));
}

static void
freeze_leader (Scene *scene)
{
  freeze_first (scene, get_leader (scene));
}

static void
cut_leader (Scene *scene)
{
  scene->first = get_leader (scene);
  assert_true (
      quince_cluster_set_route_faults (scene->cluster, scene->first, "{\"cut\":true,\"loss_percent\":100}"));
}

static void
rejoin_leader (Scene *scene)
{
  assert_true (
      quince_cluster_set_route_faults (scene->cluster, scene->first, "{\"cut\":false,\"loss_percent\":0}"));
}

static void
stop_key_values (Scene *scene)
{
  scene->first = get_part (scene, QUINCE_PART_KV, 0);
  assert_true (quince_set_faults (scene->first->control, "{\"unavailable\":true}"));
}

static void
resume_key_values (Scene *scene)
{
  assert_true (quince_set_faults (scene->first->control, "{\"unavailable\":false}"));
}

static void
crash_engine_freeze_leader (Scene *scene)
{
  freeze_leader (scene);
  scene->second = get_part (scene, QUINCE_PART_ENGINE, 0);
  assert_true (quince_cluster_crash_engine (scene->second));
}

static void
thaw_leader_restart_engine (Scene *scene)
{
  thaw_struck (scene);
  harness_restart (scene->cluster, scene->second);
}

static void
kill_agent_and_node (Scene *scene)
{
  kill_agent (scene);
  scene->second = get_part (scene, QUINCE_PART_NODE, 1);
  quince_process_kill (scene->second->process);
}

/* ---- Loads ------------------------------------------------------------------------ */

static QuinceLoad *
new_load (Scene *scene)
{
  QuinceLoad *load = quince_load_new (++scene->seed);
  g_ptr_array_add (scene->loads, load);
  return load;
}

/* Ids sent twice, @later_ms apart, through two agents or one. */
static void
add_pairs (Scene *scene, QuinceLoad *load, gboolean stream, guint later_ms, gboolean one_agent)
{
  GPtrArray *calls = quince_load_get_calls (load);
  guint first = calls->len;
  harness_add_lookups (scene->cluster, load, 2 * PAIRS, TOKENS, FALSE, stream, 0, SPREAD_MS);
  for (guint i = first; i < calls->len; i += 2)
    {
      QuinceCall *copy = calls->pdata[i + 1];
      const QuinceCall *call = calls->pdata[i];
      harness_copy_call (call, copy);
      copy->start_us = call->start_us + (gint64)later_ms * 1000;
      if (one_agent)
        {
          g_free (copy->agent);
          copy->agent = g_strdup (call->agent);
        }
    }
}

/* All at once, through all agents in turn. */
static void
add_burst (Scene *scene,
           QuinceLoad *load,
           guint requests,
           gboolean repeatable,
           gboolean stream,
           guint deadline_ms)
{
  GPtrArray *calls = quince_load_get_calls (load);
  guint first = calls->len;
  harness_add_lookups (scene->cluster, load, requests, TOKENS, repeatable, stream, 0, 0);
  for (guint i = first; i < calls->len; i++)
    ((QuinceCall *)calls->pdata[i])->deadline_ms = deadline_ms;
}

static QuinceLoad *
make_mixed_load (Scene *scene)
{
  QuinceLoad *load = new_load (scene);
  for (guint i = 0; i < 4; i++)
    harness_add_lookups (scene->cluster, load, CALLS_OF_A_SHAPE, TOKENS, (i & 1) == 0, (i & 2) != 0, 0,
                         SPREAD_MS);
  add_pairs (scene, load, FALSE, 0, FALSE);
  add_pairs (scene, load, FALSE, 0, TRUE);
  add_pairs (scene, load, TRUE, REPEAT_AFTER_MS, FALSE);
  return load;
}

/* Repeats what must not run twice and has no whole answer, each through another agent. */
static void
repeat_unanswered (Scene *scene, QuinceLoad *load)
{
  QuinceLoad *repeats = new_load (scene);
  GPtrArray *calls = quince_load_get_calls (load);
  guint agents = quince_cluster_count (scene->cluster, QUINCE_PART_AGENT);
  for (guint i = 0; i < calls->len; i++)
    {
      const QuinceCall *call = calls->pdata[i];
      if (call->repeatable || call->answer == QUINCE_ANSWER_WHOLE)
        continue;
      harness_add_lookups (scene->cluster, repeats, 1, TOKENS, FALSE, FALSE, 0, 0);
      GPtrArray *added = quince_load_get_calls (repeats);
      QuinceCall *copy = added->pdata[added->len - 1];
      harness_copy_call (call, copy);
      g_free (copy->agent);
      copy->agent = g_strdup (get_part (scene, QUINCE_PART_AGENT, added->len % agents)->http);
    }
  harness_join_load (harness_run_load (repeats));
}

/* ---- Cases -------------------------------------------------------------------------- */

static const FaultCase fault_cases[] = {
  { .name = "nothing fails", .least_whole = 100 },
  { .name = "engine crashes mid-stream",
    .engines = 1,
    .engine_fault = "{\"crash_ms\":500}",
    .hold_ms = 300,
    .effect = "outcomes.crashed",
    .least_whole = 70 },
  { .name = "engine process ends and comes back",
    .engines = 1,
    .begin = crash_engine,
    .end = restart_struck,
    .hold_ms = 300,
    .least_whole = 70 },
  { .name = "streams cut after five tokens",
    .engines = ENGINES,
    .engine_fault = "{\"cut_after_tokens\":5,\"cut_times\":8}",
    .engine_end = "{\"cut_after_tokens\":0,\"cut_times\":0}",
    .hold_ms = 500,
    .effect = "outcomes.cut",
    .least_whole = 60 },
  { .name = "chunks delayed",
    .engines = ENGINES,
    .engine_fault = "{\"chunk_delay_ms\":400}",
    .engine_end = "{\"chunk_delay_ms\":0}",
    .hold_ms = 600,
    .least_whole = 100 },
  { .name = "engine's route cut",
    .engines = 1,
    .route_fault = "{\"cut\":true}",
    .route_end = "{\"cut\":false}",
    .hold_ms = 400,
    .effect = "outcomes.disconnected",
    .least_whole = 70 },
  { .name = "engine's answers half-closed",
    .engines = 2,
    .route_fault = "{\"half_close\":\"down\"}",
    .route_end = "{\"half_close\":\"\"}",
    .hold_ms = 300,
    .least_whole = 60 },
  { .name = "engine's requests half-closed",
    .engines = 2,
    .route_fault = "{\"half_close\":\"up\"}",
    .route_end = "{\"half_close\":\"\"}",
    .hold_ms = 300,
    .least_whole = 60 },
  { .name = "engine's route frozen",
    .engines = 2,
    .route_fault = "{\"freeze\":true}",
    .route_end = "{\"freeze\":false}",
    .hold_ms = 1500,
    .least_whole = 70 },
  { .name = "connections cut after some bytes",
    .engines = ENGINES,
    .route_fault = "{\"cut_after_bytes\":2500}",
    .route_end = "{\"cut_after_bytes\":0}",
    .hold_ms = 500,
    .least_whole = 30 },
  { .name = "engine hangs",
    .engines = 2,
    .engine_fault = "{\"hang\":true}",
    .engine_end = "{\"hang\":false}",
    .hold_ms = 1000,
    .least_whole = 70 },
  { .name = "engine refuses",
    .engines = 2,
    .engine_fault = "{\"refuse\":\"overloaded\"}",
    .engine_end = "{\"refuse\":\"\"}",
    .hold_ms = 500,
    .effect = "refused",
    .least_whole = 70 },
  { .name = "all engines refuse",
    .engines = ENGINES,
    .engine_fault = "{\"refuse\":\"leaving\"}",
    .engine_end = "{\"refuse\":\"\"}",
    .hold_ms = 500,
    .effect = "refused",
    .least_whole = 30 },
  { .name = "agent killed and started again",
    .begin = kill_agent,
    .end = restart_struck,
    .hold_ms = 300,
    .least_whole = 40 },
  { .name = "node killed and started again",
    .begin = kill_node,
    .end = restart_struck,
    .hold_ms = 500,
    .least_whole = 60 },
  { .name = "node frozen for three seconds",
    .begin = freeze_node,
    .end = thaw_struck,
    .hold_ms = 3000,
    .least_whole = 60 },
  { .name = "ledger leader killed",
    .begin = kill_leader,
    .end = restart_struck,
    .hold_ms = 800,
    .least_whole = 60 },
  { .name = "ledger leader frozen for three seconds",
    .begin = freeze_leader,
    .end = thaw_struck,
    .hold_ms = 3000,
    .least_whole = 60 },
  { .name = "ledger leader cut from the others",
    .begin = cut_leader,
    .end = rejoin_leader,
    .hold_ms = 1500,
    .least_whole = 60 },
  { .name = "key-value service down",
    .begin = stop_key_values,
    .end = resume_key_values,
    .hold_ms = 1000,
    .least_whole = 100 },
  { .name = "engine process ends, ledger leader frozen",
    .engines = 1,
    .begin = crash_engine_freeze_leader,
    .end = thaw_leader_restart_engine,
    .hold_ms = 3000,
    .least_whole = 50 },
  { .name = "agent and node killed",
    .begin = kill_agent_and_node,
    .end = restart_struck,
    .hold_ms = 500,
    .least_whole = 30 },
};

/* Sums a counter of the engines that run. */
static gint64
sum_records (Scene *scene, const char *path)
{
  gint64 sum = 0;
  for (guint i = 0; i < ENGINES; i++)
    sum += harness_engine_count (get_part (scene, QUINCE_PART_ENGINE, i), path);
  return sum;
}

static void
make_fault (Scene *scene, const FaultCase *fault)
{
  set_engine_faults (scene, fault->engines, fault->engine_fault);
  set_route_faults (scene, fault->engines, fault->route_fault);
  if (fault->begin != NULL)
    fault->begin (scene);
}

static void
end_fault (Scene *scene, const FaultCase *fault)
{
  set_engine_faults (scene, fault->engines, fault->engine_end);
  set_route_faults (scene, fault->engines, fault->route_end);
  if (fault->end != NULL)
    fault->end (scene);
}

/* Engines that crashed listen again, processes that were started again serve. */
static void
await_recovered (Scene *scene)
{
  for (guint i = 0; i < ENGINES; i++)
    assert_true (quince_cluster_await_status (get_part (scene, QUINCE_PART_ENGINE, i)->route, "/admin/load",
                                              200, HARNESS_WAIT_MS));
  harness_await_ready (scene->cluster);
}

static gboolean
is_over (QuinceLoad *load)
{
  guint answers = 0;
  for (guint kind = 0; kind < QUINCE_N_ANSWERS; kind++)
    answers += quince_load_count_answers (load, kind);
  return answers == quince_load_get_calls (load)->len;
}

/* Until the engine that is struck first runs some of @load. */
static void
await_in_flight (Scene *scene, QuinceLoad *load)
{
  QuinceClusterPart *engine = get_part (scene, QUINCE_PART_ENGINE, 0);
  HARNESS_AWAIT (harness_engine_running (engine) >= IN_FLIGHT || is_over (load));
  if (is_over (load))
    {
      harness_assert_calls (scene->cluster, load);
      fail_msg ("%s never ran %d of the calls at a time", engine->name, IN_FLIGHT);
    }
}

static void
test_fault_case (void **state)
{
  Scene *scene = *state;
  const FaultCase *fault = scene->running;
  gint64 effect_before = fault->effect != NULL ? sum_records (scene, fault->effect) : 0;
  QuinceLoad *load = make_mixed_load (scene);
  HarnessLoad *running = harness_run_load (load);
  await_in_flight (scene, load);
  make_fault (scene, fault);
  g_usleep (fault->hold_ms * 1000);
  end_fault (scene, fault);
  harness_join_load (running);
  QuinceVerdictOfCalls verdict = harness_assert_calls (scene->cluster, load);
  if (fault->effect != NULL && sum_records (scene, fault->effect) <= effect_before)
    fail_msg ("the fault did nothing: %s", fault->effect);
  if (verdict.answered * 100 < IDS * fault->least_whole)
    fail_msg ("only %u of %u ids got a whole answer", verdict.answered, IDS);
  await_recovered (scene);
  repeat_unanswered (scene, load);
  harness_assert_all_calls (scene->cluster, scene->loads);
  scene->sound = TRUE;
}

static gboolean
is_idle (Scene *scene)
{
  gint64 running = 0;
  for (guint i = 0; i < ENGINES; i++)
    running += harness_engine_running (get_part (scene, QUINCE_PART_ENGINE, i));
  return running == 0;
}

/* ---- Refusals ------------------------------------------------------------------------- */

/* A burst far above what the engines can do before its deadline, while none of the admitted
 * can end: those refused are told so meanwhile. */
static void
test_overload_refused_at_once (void **state)
{
  Scene *scene = *state;
  QuinceLoad *warm_up = new_load (scene);
  set_engine_faults (scene, ENGINES, "{\"slow_factor\":20}");
  add_burst (scene, warm_up, 64, TRUE, FALSE, 20000);
  harness_join_load (harness_run_load (warm_up));
  QuinceLoad *burst = new_load (scene);
  add_burst (scene, burst, BURST, FALSE, FALSE, BURST_DEADLINE_MS);
  set_engine_faults (scene, ENGINES, "{\"hang\":true}");
  HarnessLoad *running = harness_run_load (burst);
  HARNESS_AWAIT (quince_load_count_answers (burst, QUINCE_ANSWER_NOT_RUN) >= BURST_REFUSED);
  assert_int_equal (quince_load_count_answers (burst, QUINCE_ANSWER_WHOLE), 0);
  assert_int_equal (quince_load_count_answers (burst, QUINCE_ANSWER_UNKNOWN), 0);
  set_engine_faults (scene, ENGINES, "{\"hang\":false,\"slow_factor\":0}");
  harness_join_load (running);
  harness_assert_calls (scene->cluster, burst);
  GPtrArray *calls = quince_load_get_calls (burst);
  for (guint i = 0; i < calls->len; i++)
    {
      const QuinceCall *call = calls->pdata[i];
      if (call->answer == QUINCE_ANSWER_NOT_RUN && call->retry_after_ms == 0)
        fail_msg ("refused as %s without a time to come back", call->error_type);
    }
  harness_assert_all_calls (scene->cluster, scene->loads);
  scene->sound = TRUE;
}

/* What was dispatched may run, also when its deadline passes before the engine says anything. */
static void
test_deadline_after_dispatch (void **state)
{
  static const char *const faults[][2]
      = { { "{\"slow_factor\":100}", "{\"slow_factor\":0}" }, { "{\"hang\":true}", "{\"hang\":false}" } };
  Scene *scene = *state;
  for (guint i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      QuinceLoad *load = new_load (scene);
      set_engine_faults (scene, ENGINES, faults[i][0]);
      for (guint stream = 0; stream < 2; stream++)
        for (guint repeatable = 0; repeatable < 2; repeatable++)
          add_burst (scene, load, 20, repeatable != 0, stream != 0, SHORT_DEADLINE_MS);
      harness_join_load (harness_run_load (load));
      assert_true (quince_load_count_answers (load, QUINCE_ANSWER_UNKNOWN) > 0);
      set_engine_faults (scene, ENGINES, faults[i][1]);
      HARNESS_AWAIT (is_idle (scene));
      harness_assert_calls (scene->cluster, load);
    }
  scene->sound = TRUE;
}

/* ---- Running ---------------------------------------------------------------------------- */

static void
stop_scene (Scene *scene)
{
  if (scene->cluster == NULL)
    return;
  if (scene->sound)
    harness_stop (scene->cluster);
  else
    {
      print_message ("logs: %s\n", scene->cluster->folder);
      quince_cluster_free (scene->cluster);
    }
  scene->cluster = NULL;
}

/* A failed case may leave anything behind: the next one gets a deployment of its own. */
static int
prepare (Scene *scene, const FaultCase *fault)
{
  if (!scene->sound)
    {
      stop_scene (scene);
      scene->loads = g_ptr_array_new ();
      scene->cluster = harness_start ("callers", NULL);
    }
  scene->sound = FALSE;
  scene->running = fault;
  scene->first = scene->second = NULL;
  return 0;
}

static int
prepare_case (void **state)
{
  const FaultCase *fault = *state;
  *state = &scene_of_tests;
  return prepare (&scene_of_tests, fault);
}

static int
stop_all (void **state)
{
  stop_scene (&scene_of_tests);
  return 0;
}

int
main (int argc, char **argv)
{
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  const struct CMUnitTest refusals[] = {
    cmocka_unit_test_setup (test_overload_refused_at_once, prepare_case),
    cmocka_unit_test_setup (test_deadline_after_dispatch, prepare_case),
  };
  struct CMUnitTest tests[G_N_ELEMENTS (fault_cases) + G_N_ELEMENTS (refusals)] = { 0 };
  for (guint i = 0; i < G_N_ELEMENTS (fault_cases); i++)
    tests[i] = (struct CMUnitTest){ .name = fault_cases[i].name,
                                    .test_func = test_fault_case,
                                    .setup_func = prepare_case,
                                    .initial_state = (gpointer)&fault_cases[i] };
  for (guint i = 0; i < G_N_ELEMENTS (refusals); i++)
    tests[G_N_ELEMENTS (fault_cases) + i] = refusals[i];
  return cmocka_run_group_tests_name ("callers", tests, NULL, stop_all);
}
