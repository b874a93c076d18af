/*
 * test-steps.c: what trainers are promised while workers, fronts, replicas, their disks, the store and the
 * networks between them fail: true weight versions, none too old, each sample exactly once.
 *
 * Each case trains some steps, two under way at a time and new weights after each, and makes its fault while
 * samples run.
 */
#include "steps-faults.h"

#define STEPS 4
#define EVENT_EVERY_MS 50
#define IN_PROGRESS 4 /* samples that run when the fault is made */
/* Results of the groups that path_make_batch() wants: two groups of two samples. */
#define STEP_WANTED_RESULTS 4

/* ---- Training ----------------------------------------------------------- */

static guint
count_in_progress (const Scene *scene)
{
  guint count = 0;
  for (guint i = 0; i < PATH_MODEL; i++)
    {
      const GPtrArray *runs = standin_worker_get_runs (scene->world->path->model[i]);
      for (guint j = 0; j < runs->len; j++)
        {
          const StandinRun *run = runs->pdata[j];
          count += run->events->len > 0 && run->events->len < STEP_EVENTS;
        }
    }
  return count;
}

static void
await_in_progress (Scene *scene)
{
  AWAIT (count_in_progress (scene) >= IN_PROGRESS);
}

static void
strike (Scene *scene, const FaultCase *fault)
{
  if (fault->begin != NULL)
    fault->begin (scene);
  run_for (fault->hold_ms);
  if (fault->end != NULL)
    fault->end (scene);
}

/* Reads one step after the other, names new weights after each and submits one more.  The fault is made
 * while samples of the second run. */
static void
train (Scene *scene, const FaultCase *fault)
{
  Trainer *trainer = &scene->trainer;
  trainer_submit (trainer);
  trainer_submit (trainer);
  for (guint i = 0; i < STEPS; i++)
    {
      AWAIT (trainer_try_read_all (trainer, trainer->steps->pdata[i]));
      trainer_publish_version (trainer, trainer->version + 1);
      if (trainer->steps->len < STEPS)
        trainer_submit (trainer);
      if (i == 0 && !fault->at_start)
        {
          await_in_progress (scene);
          strike (scene, fault);
        }
    }
}

static guint
count_naming (const Trainer *trainer, guint64 version)
{
  g_autofree char *part = g_strdup_printf ("%" G_GUINT64_FORMAT "]", version);
  guint count = 0;
  for (guint i = 0; i < trainer->steps->len; i++)
    count += path_count_occurrences (((const Step *)trainer->steps->pdata[i])->results, part);
  return count;
}

/* What a failed case left behind is the next one's no more. */
static void
start_scene (Scene *scene)
{
  if (scene->relay_timer != 0)
    g_source_remove (scene->relay_timer);
  *scene = (Scene){ .world = relayed_world_new ("steps") };
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (scene->world->path->model[i], STEP_EVENTS, EVENT_EVERY_MS);
  relayed_world_start (scene->world);
  trainer_init (&scene->trainer, scene->world);
}

static void
test_fault_case (void **state)
{
  static Scene scene;
  const FaultCase *fault = *state;
  start_scene (&scene);
  if (fault->at_start)
    strike (&scene, fault);
  train (&scene, fault);
  if (fault->recover != NULL)
    fault->recover (&scene);
  AWAIT (scene.relay_timer == 0);
  trainer_assert_all_steps (&scene.trainer);
  guint wrong = count_naming (&scene.trainer, WRONG_VERSION);
  print_message ("  samples=%u wrong=%u repeats=%u\n", STEPS * STEP_ITEMS, wrong, scene.trainer.repeats);
  assert_true (!fault->wrong || wrong > 0);
  assert_true (!fault->repeats || scene.trainer.repeats > 0);
  trainer_clear (&scene.trainer);
  relayed_world_free (scene.world);
}

/* ---- The store is away -------------------------------------------------- */

/* From the first submit to the last result. */
static void
test_store_down_throughout (void **state)
{
  static Scene scene;
  start_scene (&scene);
  stop_store (&scene);
  for (guint i = 0; i < STEPS; i++)
    trainer_submit (&scene.trainer);
  for (guint i = 0; i < STEPS; i++)
    AWAIT (trainer_try_read_all (&scene.trainer, scene.trainer.steps->pdata[i]));
  resume_store (&scene);
  trainer_assert_all_steps (&scene.trainer);
  trainer_clear (&scene.trainer);
  relayed_world_free (scene.world);
}

/* ---- Waiting reads ------------------------------------------------------ */

/* A read that the first result answers misses the others, so that the trainer ends its step a reading
 * interval later.  The texts of a step are equally long here and end at the same time. */
static void
test_waiting_read_completes_step (void **state)
{
  static Scene scene;
  start_scene (&scene);
  trainer_submit (&scene.trainer);
  PathAnswer answer;
  path_start_call_with_header (path_front (scene.world->path, 0), "GET", "/quinceroute/lots/step0?afterRev=0",
                               "q", NULL, "Wait-Ms", "1000", &answer);
  AWAIT (answer.done);
  assert_int_equal (answer.status, 200);
  guint n_results = path_count_occurrences (answer.body, "\"state\":");
  print_message ("  results=%u\n", n_results);
  assert_true (n_results >= STEP_WANTED_RESULTS);
  path_answer_clear (&answer);
  AWAIT (trainer_try_read_all (&scene.trainer, scene.trainer.steps->pdata[0]));
  trainer_assert_all_steps (&scene.trainer);
  trainer_clear (&scene.trainer);
  relayed_world_free (scene.world);
}

/* ---- Acceptance --------------------------------------------------------- */

/* The leader alone must not accept a step: it dies, and the others never had it. */
static void
test_accepted_by_majority (void **state)
{
  static Scene scene;
  start_scene (&scene);
  find_leader (&scene);
  PathWorld *path = scene.world->path;
  g_autofree char *text = path_make_batch ("step0", STEP_ITEMS);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    if (i != scene.leader)
      quince_process_suspend (path->replicas[i]);
  if (path_status (path_front (path, 0), "POST", "/r/batch", "step0", text) == 202)
    fail_msg ("%s", "accepted by one replica of three");
  quince_process_kill (path->replicas[scene.leader]);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    if (i != scene.leader)
      quince_process_resume (path->replicas[i]);
  restart_leader (&scene);
  trainer_submit (&scene.trainer);
  AWAIT (trainer_try_read_all (&scene.trainer, scene.trainer.steps->pdata[0]));
  trainer_assert_all_steps (&scene.trainer);
  trainer_clear (&scene.trainer);
  relayed_world_free (scene.world);
}

/* ---- Freshness ---------------------------------------------------------- */

/* Newer weights are named while a step waits, and its oldest is above what workers run: nothing of it is made
 * before they are there, also when the leader is killed or frozen meanwhile. */
static void
test_fresh_under_new_leader (void **state)
{
  static void (*const faults[][2]) (Scene * scene)
      = { { NULL, NULL }, { kill_leader, restart_leader }, { freeze_leader, thaw_leader } };
  for (guint i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      static Scene scene;
      start_scene (&scene);
      trainer_submit (&scene.trainer);
      AWAIT (trainer_try_read_all (&scene.trainer, scene.trainer.steps->pdata[0]));
      scene.trainer.version = 3; /* as the trainer has it; the store hears of it later */
      trainer_submit (&scene.trainer);
      if (faults[i][0] != NULL)
        faults[i][0](&scene);
      run_for (500);
      trainer_publish_version (&scene.trainer, 3);
      AWAIT (trainer_try_read_all (&scene.trainer, scene.trainer.steps->pdata[1]));
      if (faults[i][1] != NULL)
        faults[i][1](&scene);
      trainer_assert_all_steps (&scene.trainer);
      trainer_clear (&scene.trainer);
      relayed_world_free (scene.world);
    }
}

/* ---- Fences ------------------------------------------------------------- */

static void
hold_orders (Scene *scene, gboolean held)
{
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_orders_delayed (scene->world->path->model[i], held);
}

static void
deliver_orders (Scene *scene)
{
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_deliver_orders (scene->world->path->model[i]);
}

static guint
count_held_orders (const Scene *scene)
{
  guint count = 0;
  for (guint i = 0; i < PATH_MODEL; i++)
    count += standin_worker_count_delayed_orders (scene->world->path->model[i]);
  return count;
}

static gboolean
run_version (const Scene *scene, guint64 version)
{
  for (guint i = 0; i < PATH_MODEL; i++)
    if (standin_worker_get_version (scene->world->path->model[i]) != version)
      return FALSE;
  return TRUE;
}

static guint
count_refused_orders (const Scene *scene)
{
  guint count = 0;
  for (guint i = 0; i < PATH_MODEL; i++)
    count += standin_worker_get_n_refused_orders (scene->world->path->model[i]);
  return count;
}

/* By what each worker got: a later order never has a lower fence, and a fence has one holder. */
static void
assert_fences_rise (const Scene *scene)
{
  for (guint i = 0; i < PATH_MODEL; i++)
    {
      const GArray *fences = standin_worker_get_fencing_tokens (scene->world->path->model[i]);
      const GPtrArray *holders = standin_worker_get_order_leaders (scene->world->path->model[i]);
      for (guint j = 1; j < fences->len; j++)
        {
          guint64 before = g_array_index (fences, guint64, j - 1);
          guint64 now = g_array_index (fences, guint64, j);
          assert_true (now >= before);
          if (now == before)
            assert_string_equal (holders->pdata[j - 1], holders->pdata[j]);
        }
    }
}

/* A leader is frozen while its orders are on their way; another one leads and brings newer weights; then the
 * old orders arrive and the old leader goes on. */
static void
test_frozen_leader_goes_on (void **state)
{
  static Scene scene;
  start_scene (&scene);
  Trainer *trainer = &scene.trainer;
  trainer_submit (trainer);
  find_leader (&scene);
  hold_orders (&scene, TRUE);
  trainer_publish_version (trainer, 2);
  AWAIT (count_held_orders (&scene) > 0);
  quince_process_suspend (scene.world->path->replicas[scene.leader]);
  AWAIT (path_find_leader (scene.world->path) != (gint)scene.leader);
  hold_orders (&scene, FALSE);
  trainer_publish_version (trainer, 3);
  AWAIT (run_version (&scene, 3));
  assert_int_equal (count_refused_orders (&scene), 0);
  deliver_orders (&scene);
  quince_process_resume (scene.world->path->replicas[scene.leader]);
  assert_true (count_refused_orders (&scene) > 0);
  print_message ("  refused_orders=%u\n", count_refused_orders (&scene));
  run_for (1000);
  assert_true (run_version (&scene, 3));
  trainer_publish_version (trainer, 4);
  AWAIT (run_version (&scene, 4));
  trainer_submit (trainer);
  for (guint i = 0; i < 2; i++)
    AWAIT (trainer_try_read_all (trainer, trainer->steps->pdata[i]));
  trainer_assert_all_steps (trainer);
  assert_fences_rise (&scene);
  trainer_clear (trainer);
  relayed_world_free (scene.world);
}

int
main (int argc, char **argv)
{
  relayed_allow_preload ();
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  const struct CMUnitTest others[] = {
    cmocka_unit_test (test_store_down_throughout), cmocka_unit_test (test_waiting_read_completes_step),
    cmocka_unit_test (test_accepted_by_majority),  cmocka_unit_test (test_fresh_under_new_leader),
    cmocka_unit_test (test_frozen_leader_goes_on),
  };
  enum
  {
    FAULTS = G_N_ELEMENTS (fault_cases),
    OTHERS = G_N_ELEMENTS (others)
  };
  struct CMUnitTest tests[FAULTS + OTHERS] = { 0 };
  for (guint i = 0; i < FAULTS; i++)
    tests[i] = (struct CMUnitTest){ .name = fault_cases[i].name,
                                    .test_func = test_fault_case,
                                    .initial_state = (gpointer)&fault_cases[i] };
  for (guint i = 0; i < OTHERS; i++)
    tests[FAULTS + i] = others[i];
  return _cmocka_run_group_tests ("steps", tests, FAULTS + OTHERS, NULL, NULL);
}
