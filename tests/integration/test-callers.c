/*
 * test-callers.c: what callers are promised, while engines, nodes and agents fail:
 * whole own answers, "not run" only when it did not run, at most once.
 *
 * Each fault case runs the same mixed load, makes its fault while calls are in
 * flight, and afterwards repeats, through other agents, each call that must not
 * be repeated and has no whole answer.  The engines' own records and every
 * answer byte are judged after both, and all of them once more at the end.
 */
#include "callers-faults.h"

#define CALLS_OF_A_SHAPE 30
#define PAIRS 15
#define IDS (4 * CALLS_OF_A_SHAPE + 3 * PAIRS)
#define TOKENS 30
#define SPREAD_MS 1000
#define REPEAT_AFTER_MS 600
#define BURST 700
#define BURST_DEADLINE_MS 5000
#define BURST_REFUSED 200
#define DEADLINE_MS 6000 /* longer than any fault is held */
#define SHORT_DEADLINE_MS 800
#define IN_FLIGHT 2 /* sequences that run on an engine when its fault is made */

static Scene scene_of_tests;

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
  GPtrArray *calls = quince_load_get_calls (load);
  for (guint i = 0; i < calls->len; i++)
    ((QuinceCall *)calls->pdata[i])->deadline_ms = DEADLINE_MS;
  return load;
}

/* Repeats what must not run twice and has no whole answer, each through another agent. */
static QuinceLoad *
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
      copy->deadline_ms = DEADLINE_MS;
      g_free (copy->agent);
      copy->agent
          = g_strdup (harness_get_part (scene->cluster, QUINCE_PART_AGENT, added->len % agents)->http);
    }
  harness_join_load (harness_run_load (repeats));
  return repeats;
}

static guint
count_errors (QuinceLoad *load, const char *type)
{
  GPtrArray *calls = quince_load_get_calls (load);
  guint count = 0;
  for (guint i = 0; i < calls->len; i++)
    count += g_str_equal (((QuinceCall *)calls->pdata[i])->error_type, type) ? 1 : 0;
  return count;
}

/* No fault lasts until a deadline: one that passed before the dispatch was waited for in vain. */
static void
assert_not_held_up (QuinceLoad *load)
{
  if (count_errors (load, "deadline") > 0)
    fail_msg ("%u calls waited for their deadline", count_errors (load, "deadline"));
}

/* ---- Fault cases ------------------------------------------------------------------- */

/* Sums a counter of the engines that run. */
static gint64
sum_records (Scene *scene, const char *path)
{
  gint64 sum = 0;
  for (guint i = 0; i < ENGINES; i++)
    sum += harness_engine_count (harness_get_part (scene->cluster, QUINCE_PART_ENGINE, i), path);
  return sum;
}

/* Engines that crashed listen again, processes that were started again serve. */
static void
await_recovered (Scene *scene)
{
  for (guint i = 0; i < ENGINES; i++)
    assert_true (quince_cluster_await_status (harness_get_part (scene->cluster, QUINCE_PART_ENGINE, i)->route,
                                              "/admin/load", 200, HARNESS_WAIT_MS));
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
  QuinceClusterPart *engine = harness_get_part (scene->cluster, QUINCE_PART_ENGINE, 0);
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
  scene_make_fault (scene, fault);
  g_usleep (fault->hold_ms * 1000);
  scene_end_fault (scene, fault);
  harness_join_load (running);
  QuinceVerdictOfCalls verdict = harness_assert_calls (scene->cluster, load);
  if (fault->effect != NULL && sum_records (scene, fault->effect) <= effect_before)
    fail_msg ("the fault did nothing: %s", fault->effect);
  if (verdict.answered * 100 < IDS * fault->least_whole)
    fail_msg ("only %u of %u ids got a whole answer", verdict.answered, IDS);
  if (fault->least_whole == 100)
    assert_int_equal (count_errors (load, "duplicate_request"), 3 * PAIRS);
  if (fault->breaks && verdict.cut + verdict.unknown <= count_errors (load, "duplicate_request"))
    fail_msg ("the fault hit no call");
  assert_not_held_up (load);
  await_recovered (scene);
  assert_not_held_up (repeat_unanswered (scene, load));
  harness_assert_all_calls (scene->cluster, scene->loads);
  scene->sound = TRUE;
}

static gboolean
is_idle (Scene *scene)
{
  gint64 running = 0;
  for (guint i = 0; i < ENGINES; i++)
    running += harness_engine_running (harness_get_part (scene->cluster, QUINCE_PART_ENGINE, i));
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
  scene_set_engine_faults (scene, ENGINES, "{\"slow_factor\":10}");
  add_burst (scene, warm_up, 32, TRUE, FALSE, 20000);
  harness_join_load (harness_run_load (warm_up));
  QuinceLoad *burst = new_load (scene);
  add_burst (scene, burst, BURST, FALSE, FALSE, BURST_DEADLINE_MS);
  scene_set_engine_faults (scene, ENGINES, "{\"hang\":true}");
  HarnessLoad *running = harness_run_load (burst);
  HARNESS_AWAIT (quince_load_count_answers (burst, QUINCE_ANSWER_NOT_RUN) >= BURST_REFUSED);
  assert_int_equal (quince_load_count_answers (burst, QUINCE_ANSWER_WHOLE), 0);
  assert_int_equal (quince_load_count_answers (burst, QUINCE_ANSWER_UNKNOWN), 0);
  scene_set_engine_faults (scene, ENGINES, "{\"hang\":false,\"slow_factor\":0}");
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

/* Whether one call through each agent gets its whole answer. */
static gboolean
is_answered (Scene *scene)
{
  QuinceLoad *probe = new_load (scene);
  guint agents = quince_cluster_count (scene->cluster, QUINCE_PART_AGENT);
  add_burst (scene, probe, agents, TRUE, FALSE, DEADLINE_MS);
  harness_join_load (harness_run_load (probe));
  return quince_load_count_answers (probe, QUINCE_ANSWER_WHOLE) == agents;
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
      scene_set_engine_faults (scene, ENGINES, faults[i][0]);
      for (guint stream = 0; stream < 2; stream++)
        for (guint repeatable = 0; repeatable < 2; repeatable++)
          add_burst (scene, load, 20, repeatable != 0, stream != 0, SHORT_DEADLINE_MS);
      harness_join_load (harness_run_load (load));
      assert_true (quince_load_count_answers (load, QUINCE_ANSWER_UNKNOWN) > 0);
      scene_set_engine_faults (scene, ENGINES, faults[i][1]);
      HARNESS_AWAIT (is_idle (scene));
      harness_assert_calls (scene->cluster, load);
      HARNESS_AWAIT (is_answered (scene));
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
  g_autofree struct CMUnitTest *tests = g_new0 (struct CMUnitTest, n_fault_cases + G_N_ELEMENTS (refusals));
  for (guint i = 0; i < n_fault_cases; i++)
    tests[i] = (struct CMUnitTest){ .name = fault_cases[i].name,
                                    .test_func = test_fault_case,
                                    .setup_func = prepare_case,
                                    .initial_state = (gpointer)&fault_cases[i] };
  for (guint i = 0; i < G_N_ELEMENTS (refusals); i++)
    tests[n_fault_cases + i] = refusals[i];
  return _cmocka_run_group_tests ("callers", tests, n_fault_cases + G_N_ELEMENTS (refusals), NULL, stop_all);
}
