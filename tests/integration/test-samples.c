/*
 * test-samples.c: what trainers are promised, while engines, nodes and agents fail:
 * true weight versions, none too old, each sample exactly once.
 *
 * Each fault case trains once over the same deployment and makes its fault while
 * samples run.  The trainer checks every sample; the test compares every segment
 * with what the engines recorded themselves.
 */
#include "samples-faults.h"

#define STEPS 4
#define SAMPLES 12
#define STALENESS_BOUND 2
#define TOKENS 20     /* of an ordinary sample */
#define LONG_TIMES 15 /* as many tokens of a long one */
#define UNDER_WAY 40  /* tokens that a long sample has when the fault is made */

static Scene scene_of_tests;

/* ---- Judging versions ------------------------------------------------------------- */

/* What the segments of delivered samples say. */
typedef struct
{
  guint samples;
  guint mixed; /* several weight versions */
  guint moved; /* several engines         */
  guint wrong; /* WRONG_VERSION           */
} SegmentCounts;

static void
count_sample (JsonArray *segments, SegmentCounts *counts)
{
  JsonNode *first = json_array_get_element (segments, 0);
  gboolean mixed = FALSE;
  gboolean moved = FALSE;
  gboolean wrong = FALSE;
  for (guint i = 0; i < json_array_get_length (segments); i++)
    {
      JsonNode *segment = json_array_get_element (segments, i);
      gint64 version = quince_json_dig_int (segment, "weight_version", 0);
      mixed |= version != quince_json_dig_int (first, "weight_version", 0);
      moved |= !g_str_equal (quince_json_dig_text (segment, "engine", ""),
                             quince_json_dig_text (first, "engine", ""));
      wrong |= version == WRONG_VERSION;
    }
  counts->samples++;
  counts->mixed += mixed ? 1 : 0;
  counts->moved += moved ? 1 : 0;
  counts->wrong += wrong ? 1 : 0;
}

/* Every segment that the trainer got was made by that engine under that version. */
static SegmentCounts
assert_true_versions (Scene *scene)
{
  SegmentCounts counts = { 0 };
  g_autoptr (JsonNode) records = NULL;
  quince_http_sync (scene->trainer->control, "/_records", NULL, CALL_MS, &records);
  g_autoptr (QuinceProductions) productions = quince_productions_collect (scene->cluster);
  assert_int_equal (quince_productions_count_missing (productions), 0);
  JsonArray *samples = quince_json_dig_array (records, "samples");
  assert_non_null (samples);
  for (guint i = 0; i < json_array_get_length (samples); i++)
    {
      JsonNode *sample = json_array_get_element (samples, i);
      harness_assert_produced (productions, quince_json_dig_text (sample, "prompt_hash", ""), sample);
      count_sample (quince_json_dig_array (sample, "segments"), &counts);
    }
  assert_int_equal (counts.samples, STEPS * SAMPLES);
  return counts;
}

/* ---- Training --------------------------------------------------------------------- */

static void
start_trainer (Scene *scene)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *name = g_strdup_printf ("t%u", ++scene->trainers);
  const QuinceTrainerPlan plan = { .name = name,
                                   .service = (char *)"model",
                                   .member = (char *)"trainer",
                                   .steps = STEPS,
                                   .samples = SAMPLES,
                                   .tokens = TOKENS,
                                   .tail_part = 0.3,
                                   .tail_factor = LONG_TIMES,
                                   .staleness_bound = scene->running->lasting ? STEPS : STALENESS_BOUND,
                                   .step_ms = 300,
                                   .ahead = 2,
                                   .first_version = scene->version };
  scene->trainer = quince_cluster_add_trainer (scene->cluster, &plan, &error);
  assert_non_null (scene->trainer);
}

static void
make_fault (Scene *scene, const FaultCase *fault)
{
  if (fault->begin != NULL)
    fault->begin (scene);
}

/* A long sample is under way on @engine. */
static gboolean
runs_long_sample (QuinceClusterPart *engine)
{
  g_autoptr (JsonNode) records = NULL;
  g_autoptr (GHashTable) ended = g_hash_table_new (g_str_hash, g_str_equal);
  quince_http_sync (engine->control, "/_records", NULL, CALL_MS, &records);
  JsonArray *finishes = quince_json_dig_array (records, "finishes");
  JsonArray *productions = quince_json_dig_array (records, "productions");
  assert_true (finishes != NULL && productions != NULL);
  for (guint i = 0; i < json_array_get_length (finishes); i++)
    g_hash_table_add (
        ended, (gpointer)quince_json_dig_text (json_array_get_element (finishes, i), "request_id", ""));
  for (guint i = 0; i < json_array_get_length (productions); i++)
    {
      JsonNode *row = json_array_get_element (productions, i);
      if (quince_json_dig_int (row, "token_count", 0) >= UNDER_WAY
          && !g_hash_table_contains (ended, quince_json_dig_text (row, "request_id", "")))
        return TRUE;
    }
  return FALSE;
}

/* The first step is done, and a long sample of a later one is under way. */
static gboolean
is_under_way (Scene *scene)
{
  scene->busy = NULL;
  for (guint i = 0; i < ENGINES && scene->busy == NULL; i++)
    if (runs_long_sample (harness_get_part (scene->cluster, QUINCE_PART_ENGINE, i)))
      scene->busy = harness_get_part (scene->cluster, QUINCE_PART_ENGINE, i);
  return scene->busy != NULL && harness_trainer_count (scene->trainer, "steps_done") >= 1;
}

/* As above, with the engines stopped where they are, so that nothing ends before the fault is made. */
static gboolean
stops_under_way (Scene *scene)
{
  if (!is_under_way (scene))
    return FALSE;
  scene_set_engine_faults (scene, "{\"hang\":true}");
  if (is_under_way (scene))
    return TRUE;
  scene_set_engine_faults (scene, "{\"hang\":false}");
  return FALSE;
}

static void
test_fault_case (void **state)
{
  Scene *scene = *state;
  const FaultCase *fault = scene->running;
  if (fault->at_start)
    make_fault (scene, fault);
  start_trainer (scene);
  if (!fault->at_start)
    {
      HARNESS_AWAIT (stops_under_way (scene));
      make_fault (scene, fault);
      scene_set_engine_faults (scene, "{\"hang\":false}");
    }
  g_usleep (fault->hold_ms * 1000);
  if (fault->end != NULL)
    fault->end (scene);
  harness_assert_trained (scene->cluster, scene->trainer, STEPS, SAMPLES);
  if (fault->recover != NULL)
    fault->recover (scene);
  harness_await_ready (scene->cluster);
  SegmentCounts counts = assert_true_versions (scene);
  print_message ("samples=%u mixed=%u moved=%u wrong=%u repeats=%d\n", counts.samples, counts.mixed,
                 counts.moved, counts.wrong, (int)harness_trainer_count (scene->trainer, "repeats"));
  assert_int_equal (counts.mixed, harness_trainer_count (scene->trainer, "mixed"));
  if (fault->mixed)
    assert_true (counts.mixed > 0);
  if (fault->moved)
    assert_true (counts.moved > 0);
  if (fault->wrong)
    assert_true (counts.wrong > 0);
  scene->version += STEPS;
  scene->sound = TRUE;
}

/* ---- Running ---------------------------------------------------------------------------- */

static void
stop_scene (Scene *scene)
{
  if (scene->cluster == NULL)
    return;
  harness_stop (scene->cluster);
  g_clear_pointer (&scene->replica, g_free);
  scene->cluster = NULL;
}

/* A failed case may leave anything behind: the next one gets a deployment of its own. */
static int
prepare_fault_case (void **state)
{
  Scene *scene = &scene_of_tests;
  const FaultCase *fault = *state;
  if (!scene->sound)
    {
      stop_scene (scene);
      scene->cluster = harness_start ("samples", NULL);
      scene->version = 1;
      scene->trainers = 0;
    }
  scene->sound = FALSE;
  scene->running = fault;
  scene->trainer = scene->busy = scene->first = scene->second = NULL;
  *state = scene;
  return 0;
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
  g_autofree struct CMUnitTest *tests = g_new0 (struct CMUnitTest, n_fault_cases);
  for (guint i = 0; i < n_fault_cases; i++)
    tests[i] = (struct CMUnitTest){ .name = fault_cases[i].name,
                                    .test_func = test_fault_case,
                                    .setup_func = prepare_fault_case,
                                    .initial_state = (gpointer)&fault_cases[i] };
  return _cmocka_run_group_tests ("samples", tests, n_fault_cases, NULL, stop_all);
}
