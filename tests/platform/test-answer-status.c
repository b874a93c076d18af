/*
 * test-answer-status.c: guards against an answer whose status is none, or that has no body and is followed by
 * bytes: it was passed on to the caller, or waited for until the deadline.
 *
 * Each test covers one reader of a server's answers.
 */
#include "raw.h"

#define ITEMS 6
#define EVENT_STREAM                                                                                         \
  "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\nid: 5\ndata: e5\n\n"          \
  "id: 6\ndata: e6\n\n"
#define WHOLE_TEXT "\"message\":\"e1\\ne2\\ne3\\ne4\\ne5\\ne6\""
/* Well below the timeouts of the routes (2 and 6 s). */
#define ANSWER_MS 1000
/* Nothing follows the odd answer before the connection is closed. */
#define NEVER_MS (3600 * 1000)
#define STAMP "Server-Stamp: stamp-odd\r\n"

#define ODD_ANSWER(status)                                                                                   \
  {                                                                                                          \
    .name = status, .start = "HTTP/1.1 " status " Odd\r\n" STANDIN_ENDLESS_ID_LINE STAMP "\r\n",             \
    .unit = "x", .interval_ms = NEVER_MS                                                                     \
  }
#define ODD_ANSWER_WITH_BODY(status)                                                                         \
  {                                                                                                          \
    .name = status " with a body",                                                                           \
    .start = "HTTP/1.1 " status " Odd\r\n" STANDIN_ENDLESS_ID_LINE STAMP "Content-Length: 5\r\n\r\nhello",   \
    .unit = "x", .interval_ms = NEVER_MS                                                                     \
  }

static const StandinEndlessAnswer odd_answers[] = { ODD_ANSWER ("000"),
                                                    ODD_ANSWER ("099"),
                                                    ODD_ANSWER ("20"),
                                                    ODD_ANSWER ("600"),
                                                    ODD_ANSWER ("0200"),
                                                    ODD_ANSWER_WITH_BODY ("000"),
                                                    ODD_ANSWER_WITH_BODY ("099"),
                                                    ODD_ANSWER_WITH_BODY ("0200"),
                                                    ODD_ANSWER_WITH_BODY ("600"),
                                                    ODD_ANSWER_WITH_BODY ("999") };

static PathWorld *path;

static int
set_up (void **state)
{
  path = path_world_new ("answer-status");
  path_world_start (path);
  return 0;
}

static int
tear_down (void **state)
{
  path_world_free (path);
  return 0;
}

/* Lets each worker give @answer to its next @n_calls calls. */
static void
set_odd_answer (const StandinEndlessAnswer *answer, guint n_calls)
{
  for (guint i = 0; i < PATH_PLAIN; i++)
    standin_worker_set_endless_answer (path->plain[i], answer, n_calls);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_endless_answer (path->model[i], answer, n_calls);
}

static guint
count_odd_answers (void)
{
  guint count = 0;
  for (guint i = 0; i < PATH_PLAIN; i++)
    count += standin_endless_writer_get_n_calls (standin_worker_get_endless_writer (path->plain[i]));
  for (guint i = 0; i < PATH_MODEL; i++)
    count += standin_endless_writer_get_n_calls (standin_worker_get_endless_writer (path->model[i]));
  return count;
}

/* Sets well-formed answers once a worker has given the odd one.  @data: number of odd answers before */
static gboolean
limit_to_one_odd_answer (gpointer data)
{
  if (count_odd_answers () == GPOINTER_TO_UINT (data))
    return G_SOURCE_CONTINUE;
  set_odd_answer (NULL, 0);
  return G_SOURCE_REMOVE;
}

/* Calls @target; the first worker gives @odd.  The call must get @status and @body in time. */
static void
check_call (const StandinEndlessAnswer *odd, const char *target, guint status, const char *body)
{
  static guint serial;
  g_autofree char *id = g_strdup_printf ("call-%u", ++serial);
  guint before = count_odd_answers ();
  gint64 start = g_get_monotonic_time ();
  PathAnswer answer;
  set_odd_answer (odd, 1);
  g_idle_add_full (G_PRIORITY_DEFAULT, limit_to_one_odd_answer, GUINT_TO_POINTER (before), NULL);
  guint got = path_call (path_front (path, 0), "POST", target, id, "x", &answer);
  gint64 took_ms = (g_get_monotonic_time () - start) / 1000;
  if (got != status || took_ms > ANSWER_MS || (got == 200 && strstr (answer.body, body) == NULL))
    fail_msg ("%s after %s: status %u after %" G_GINT64_FORMAT " ms, body %s", target, odd->name, got,
              took_ms, answer.body);
  path_answer_clear (&answer);
  assert_int_equal (count_odd_answers (), before + 1);
}

/* A lookup goes to another worker at once. */
static void
test_lookups (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (odd_answers); i++)
    check_call (&odd_answers[i], "/l/1", 200, "by");
}

/* So does a resumable stream; one that may run once fails at once. */
static void
test_streams (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (odd_answers); i++)
    {
      check_call (&odd_answers[i], "/s/1", 200, EVENT_STREAM);
      check_call (&odd_answers[i], "/u/1", 502, EVENT_STREAM);
    }
}

/* Items and their reward calls run again; each result is whole. */
static void
test_items_and_reward_calls (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (odd_answers); i++)
    {
      g_autofree char *batch = g_strdup_printf ("b%u", i);
      g_autofree char *text = path_make_batch (batch, ITEMS);
      set_odd_answer (&odd_answers[i], 2);
      AWAIT (path_status (path_front (path, 0), "POST", "/r/batch", batch, text) == 202);
      AWAIT (path_count_results (path, 0, batch) == ITEMS);
      g_autofree char *results = path_read_results (path, 0, batch);
      if (path_count_occurrences (results, "\"state\":\"completed\"") != ITEMS
          || path_count_occurrences (results, WHOLE_TEXT) != ITEMS || strstr (results, "stamp-odd") != NULL)
        fail_msg ("after %s: %s", odd_answers[i].name, results);
    }
  set_odd_answer (NULL, 0);
}

/* Reports and orders: the version is loaded after the odd answers. */
static void
test_loads_of_weights (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (odd_answers); i++)
    {
      guint version = i + 2;
      set_odd_answer (&odd_answers[i], 2);
      g_autofree char *text = g_strdup_printf ("{\"model\":\"model-a\",\"version\":%u}", version);
      standin_store_put (path->store, "op/version/model-a", text);
      for (guint j = 0; j < PATH_MODEL; j++)
        AWAIT (standin_worker_get_version (path->model[j]) == version);
    }
  set_odd_answer (NULL, 0);
}

/* Bytes behind the head of an answer without a body are no answer to the caller's next request. */
static void
test_bytes_after_answer_without_body (void **state)
{
  static const StandinEndlessAnswer no_content
      = { .name = "204",
          .start = "HTTP/1.1 204 No Content\r\n" STANDIN_ENDLESS_ID_LINE STAMP "Content-Length: 38\r\n\r\n"
                   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
          .unit = "x",
          .interval_ms = NEVER_MS };
  for (guint i = 0; i < PATH_PLAIN; i++)
    standin_worker_set_endless_answer (path->plain[i], &no_content, G_MAXUINT);
  RawCaller *caller = raw_connect (path_front (path, 0));
  raw_send (caller,
            "POST /l/1 HTTP/1.1\r\nHost: " PATH_HOST "\r\nRequest-Id: raw-1\r\nContent-Length: 1\r\n\r\nx");
  AWAIT (raw_count_answers (caller) > 0);
  run_for (100);
  assert_int_equal (raw_count_answers (caller), 1);
  assert_true (raw_has_received (caller, "HTTP/1.1 204"));
  assert_false (raw_has_received (caller, "HTTP/1.1 200"));
  raw_free (caller);
  for (guint i = 0; i < PATH_PLAIN; i++)
    standin_worker_set_endless_answer (path->plain[i], NULL, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_lookups, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_streams, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_items_and_reward_calls, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_loads_of_weights, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_bytes_after_answer_without_body, set_up, tear_down),
  };
  return cmocka_run_group_tests_name ("answer-status", tests, NULL, NULL);
}
