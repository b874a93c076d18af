/*
 * test-answer-match.c: guards against an answer of a worker that belongs to another request and is read by
 * the one that waits: runs that are repeated, refused, abandoned, or answered with another text.
 *
 * Each test covers one reader of a worker's answers.
 */
#include "forward-world.h"
#include "path-world.h"
#include "surplus-answers.h"

#define ITEMS 8
#define EVENT_STREAM                                                                                         \
  "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\nid: 5\ndata: e5\n\n"          \
  "id: 6\ndata: e6\n\n"
#define WHOLE_TEXT "\"message\":\"e1\\ne2\\ne3\\ne4\\ne5\\ne6\""
#define FORWARD_TIME_MS 3000

static PathWorld *path;

static int
set_up (void **state)
{
  path = path_world_new ("answer-match");
  path_world_start (path);
  return 0;
}

static int
tear_down (void **state)
{
  path_world_free (path);
  return 0;
}

static void
set_surplus (const char *answer, guint n_calls)
{
  for (guint i = 0; i < PATH_PLAIN; i++)
    standin_worker_set_surplus_answer (path->plain[i], answer, n_calls);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_surplus_answer (path->model[i], answer, n_calls);
}

/* Returns how often workers ran the request @id. */
static guint
count_runs_of (const char *id)
{
  guint count = 0;
  for (guint i = 0; i < PATH_PLAIN + PATH_MODEL; i++)
    {
      StandinWorker *worker = i < PATH_PLAIN ? path->plain[i] : path->model[i - PATH_PLAIN];
      const GPtrArray *runs = standin_worker_get_runs (worker);
      for (guint j = 0; j < runs->len; j++)
        count += g_strcmp0 (((const StandinRun *)runs->pdata[j])->id, id) == 0;
    }
  return count;
}

/* ---- Lookups and reward calls --------------------------------------------- */

static void
check_forward (const char *surplus, gboolean repeatable, gboolean is_reward)
{
  World world;
  world_init (&world);
  world.is_reward = is_reward;
  for (guint i = 0; i < WORKERS; i++)
    standin_worker_set_surplus_answer (world.workers[i], surplus, 1);
  run_forward (&world, repeatable, 3, FORWARD_TIME_MS);
  if (world.outcome != QUINCE_FORWARD_ANSWERED || world.status != 200 || count_runs (&world) != 1)
    fail_msg ("outcome %d status %u runs %u after: %s", world.outcome, world.status, count_runs (&world),
              surplus);
  assert_true (g_str_has_prefix (world.body, "question by w"));
  assert_true (g_str_has_prefix (world.signature, "stamp-w"));
  world_clear (&world);
}

static void
test_lookups (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (other_answers); i++)
    {
      check_forward (other_answers[i], TRUE, FALSE);
      check_forward (other_answers[i], FALSE, FALSE);
    }
}

static void
test_reward_calls (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (other_answers); i++)
    check_forward (other_answers[i], TRUE, TRUE);
}

/* An answer without an id is not the answer to a request with one.  The request may run, so an at-most-once
 * one is neither repeated nor refused. */
static void
test_unnamed_answers_to_lookups (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (unnamed_answers); i++)
    {
      World world;
      world_init (&world);
      for (guint j = 0; j < WORKERS; j++)
        standin_worker_set_surplus_answer (world.workers[j], unnamed_answers[i], 1);
      run_forward (&world, FALSE, 3, FORWARD_TIME_MS);
      if (world.outcome != QUINCE_FORWARD_FAILED || count_runs (&world) != 1)
        fail_msg ("outcome %d runs %u after: %s", world.outcome, count_runs (&world), unnamed_answers[i]);
      world_clear (&world);
    }
}

/* ---- A second answer to the request itself ---------------------------------- */

/* Guards against a second copy of a refusal that is read as the answer to the same request, sent again on the
 * same connection: the request then ran at both workers, or was refused although it ran. */
static void
test_repeated_refusal (void **state)
{
  World world;
  world_init (&world);
  for (guint i = 0; i < WORKERS; i++)
    {
      standin_worker_set_repeats_answers (world.workers[i], TRUE);
      standin_worker_set_fault (world.workers[i], STANDIN_WORKER_REFUSES, 1);
    }
  run_forward (&world, FALSE, 3, FORWARD_TIME_MS);
  assert_int_equal (world.outcome, QUINCE_FORWARD_ANSWERED);
  assert_int_equal (world.status, 200);
  assert_int_equal (count_runs (&world), 1);
  world_clear (&world);
}

/* ---- Streams ---------------------------------------------------------------- */

static void
check_stream (const char *surplus, const char *target, const char *id)
{
  PathAnswer answer;
  set_surplus (surplus, 1);
  guint status = path_call (path_front (path, 0), "POST", target, id, "x", &answer);
  if (status != 200 || strcmp (answer.body, EVENT_STREAM) != 0 || count_runs_of (id) != 1)
    fail_msg ("%s: status %u runs %u body %s after: %s", target, status, count_runs_of (id), answer.body,
              surplus);
  path_answer_clear (&answer);
}

static void
test_streams (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (other_answers); i++)
    {
      g_autofree char *once = g_strdup_printf ("once-%u", i);
      g_autofree char *resumable = g_strdup_printf ("resumable-%u", i);
      check_stream (other_answers[i], "/u/1", once);
      check_stream (other_answers[i], "/s/1", resumable);
    }
  set_surplus (NULL, 0);
}

static void
test_unnamed_answers_to_streams (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (unnamed_answers); i++)
    {
      g_autofree char *id = g_strdup_printf ("unnamed-%u", i);
      set_surplus (unnamed_answers[i], 1);
      guint status = path_status (path_front (path, 0), "POST", "/u/1", id, "x");
      if (status != 502 || count_runs_of (id) != 1)
        fail_msg ("status %u runs %u after: %s", status, count_runs_of (id), unnamed_answers[i]);
    }
  set_surplus (NULL, 0);
}

/* ---- Samples ------------------------------------------------------------------ */

/* @runs_max: runs of a sample that are allowed */
static void
check_batch (const char *surplus, const char *batch, guint runs_max)
{
  set_surplus (surplus, 2);
  g_autofree char *text = path_make_batch (batch, ITEMS);
  AWAIT (path_status (path_front (path, 0), "POST", "/r/batch", batch, text) == 202);
  AWAIT (path_count_results (path, 0, batch) == ITEMS);
  g_autofree char *results = path_read_results (path, 0, batch);
  if (path_count_occurrences (results, "\"state\":\"completed\"") != ITEMS
      || path_count_occurrences (results, WHOLE_TEXT) != ITEMS)
    fail_msg ("after %s: %s", surplus, results);
  for (guint i = 0; i < ITEMS; i++)
    {
      g_autofree char *id = g_strdup_printf ("%s-i%u", batch, i);
      assert_in_range (count_runs_of (id), 1, runs_max);
    }
}

static void
test_samples (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (other_answers); i++)
    {
      g_autofree char *batch = g_strdup_printf ("other%u", i);
      check_batch (other_answers[i], batch, 1);
    }
  for (guint i = 0; i < G_N_ELEMENTS (unnamed_answers); i++)
    {
      g_autofree char *batch = g_strdup_printf ("unnamed%u", i);
      check_batch (unnamed_answers[i], batch, ITEMS);
    }
  set_surplus (NULL, 0);
}

/* Guards against a second copy of an answer 500 that counts as another failure of a sample and ends its next
 * run. Only one worker takes the sample, and fails its first run. */
static void
test_repeated_failure (void **state)
{
  for (guint i = 1; i < PATH_MODEL; i++)
    standin_worker_set_max_running (path->model[i], 0);
  standin_worker_set_repeats_answers (path->model[0], TRUE);
  standin_worker_set_fault (path->model[0], STANDIN_WORKER_FAILS, 1);
  g_autofree char *text = path_make_batch ("failing", 1);
  AWAIT (path_status (path_front (path, 0), "POST", "/r/batch", "failing", text) == 202);
  AWAIT (path_count_results (path, 0, "failing") == 1);
  g_autofree char *results = path_read_results (path, 0, "failing");
  assert_int_equal (path_count_occurrences (results, "\"state\":\"completed\""), 1);
  assert_int_equal (count_runs_of ("failing-i0"), 2);
}

/* ---- Loads of weights, and reports --------------------------------------------- */

/* Returns how many loads ended with @outcome by the replicas' logs; "outcome=": all of them. */
static guint
count_ended_loads (const char *outcome)
{
  guint count = 0;
  for (guint i = 0; i < PATH_REPLICAS; i++)
    {
      g_autofree char *file = g_strdup_printf ("%s/replica-%u.out", path->folder, i);
      g_autofree char *text = NULL;
      assert_true (g_file_get_contents (file, &text, NULL, NULL));
      g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
      for (char **line = lines; *line != NULL; line++)
        count += strstr (*line, "event=weights_order_ended") != NULL && strstr (*line, outcome) != NULL;
    }
  return count;
}

/* Every report and order is preceded by an answer to another request. */
static void
test_loads_of_weights (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (other_answers); i++)
    {
      guint version = i + 2;
      set_surplus (other_answers[i], G_MAXUINT);
      g_autofree char *text = g_strdup_printf ("{\"model\":\"model-a\",\"version\":%u}", version);
      standin_store_put (path->store, "op/version/model-a", text);
      for (guint j = 0; j < PATH_MODEL; j++)
        AWAIT (standin_worker_get_version (path->model[j]) == version
               && standin_worker_get_n_orders (path->model[j]) == version - 1);
      AWAIT (count_ended_loads ("outcome=loaded") == PATH_MODEL * (version - 1));
      if (count_ended_loads ("outcome=") != PATH_MODEL * (version - 1))
        fail_msg ("a load failed after: %s", other_answers[i]);
    }
  set_surplus (NULL, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_lookups),
    cmocka_unit_test (test_reward_calls),
    cmocka_unit_test (test_unnamed_answers_to_lookups),
    cmocka_unit_test (test_repeated_refusal),
    cmocka_unit_test_setup_teardown (test_streams, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_unnamed_answers_to_streams, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_samples, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_repeated_failure, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_loads_of_weights, set_up, tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
