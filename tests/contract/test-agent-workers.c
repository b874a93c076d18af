/*
 * test-agent-workers.c: what the workers of one agent share.
 *
 * A connection goes to worker 0 while nothing is in progress and no other one
 * is open there, else to the others in turn: one that is held open has the
 * calls that follow reach all workers.
 */
#include "agent-fixture.h"

#define BODY "{\"model\":\"rank-lm\",\"prompt\":\"rank these two\",\"max_tokens\":6}"
#define ONCE "X-Quince-Repeatable: false"
#define WORKERS 3
#define WORKERS_SETTING "agent.workers=3"

static const char *const three_workers[] = { WORKERS_SETTING, NULL };

/* Returns: (transfer full): the header of an id that no request had before. */
static char *
make_id_header (void)
{
  QuinceRequestId id;
  char text[QUINCE_REQUEST_ID_TEXT_LENGTH + 1];
  quince_request_id_generate (id, quince_wall_ms ());
  quince_request_id_format (id, text);
  return g_strdup_printf ("X-Quince-Request-Id: %s", text);
}

static void
check_duplicate (const Call *call)
{
  assert_int_equal (call->status, 409);
  assert_non_null (strstr (call->text, "duplicate_request"));
  assert_null (strstr (call->text, "not_run"));
}

/* While one request of an id runs, each worker refuses another. */
static void
run_id_in_progress (const char *headers)
{
  fixture_start (three_workers, NULL);
  fixture.node_fault = NODE_HOLDS;
  g_autoptr (Call) first = call_start ("/v1/completions", headers, BODY);
  WAIT_UNTIL (fixture.held_request != NULL);
  for (guint i = 0; i < WORKERS; i++)
    {
      g_autoptr (Call) other = call_wait (call_start ("/v1/completions", headers, BODY));
      check_duplicate (other);
    }
  assert_int_equal (fixture.grants_asked, 1);
  fixture.node_fault = NODE_GRANTS;
  send_verdict (fixture.held_link, &fixture.held_request->QuinceMessage_u.grant_request);
  call_wait (first);
  assert_int_equal (first->status, 200);
  assert_int_equal (fixture.engine_starts, 1);
  assert_int_equal (fixture_stop (), 0);
}

static void
test_id_in_progress (void **state)
{
  g_autofree char *repeatable = make_id_header ();
  g_autofree char *id = make_id_header ();
  g_autofree char *once = g_strconcat (ONCE "|", id, NULL);
  run_id_in_progress (repeatable);
  run_id_in_progress (once);
}

/* Requests of one id that come together: one runs, the others are told of it. */
static void
test_id_at_once (void **state)
{
  g_autofree char *id = make_id_header ();
  g_autofree char *headers = g_strconcat (ONCE "|", id, NULL);
  g_autoptr (GPtrArray) calls = g_ptr_array_new_with_free_func ((GDestroyNotify)call_free);
  guint whole = 0;
  fixture_start (three_workers, NULL);
  for (guint i = 0; i < 4 * WORKERS; i++)
    g_ptr_array_add (calls, call_start ("/v1/completions", headers, BODY));
  for (guint i = 0; i < calls->len; i++)
    {
      const Call *call = call_wait (g_ptr_array_index (calls, i));
      whole += call->status == 200 ? 1 : 0;
      if (call->status != 200)
        check_duplicate (call);
    }
  assert_int_equal (whole, 1);
  assert_int_equal (fixture.engine_starts, 1);
  assert_int_equal (fixture_stop (), 0);
}

/* The id of a request whose caller has gone passes to the next, also on another worker. */
static void
test_id_passes_on (void **state)
{
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_autofree char *id = make_id_header ();
  g_autofree char *request
      = g_strdup_printf ("POST /v1/completions HTTP/1.1\r\nHost: a\r\n%s\r\nContent-Length: %zu\r\n\r\n" BODY,
                         id, strlen (BODY));
  fixture_start (three_workers, NULL);
  fixture.node_fault = NODE_HOLDS;
  g_autoptr (GSocketConnection) gone = g_socket_client_connect_to_host (client, fixture.http, 0, NULL, NULL);
  GOutputStream *output = g_io_stream_get_output_stream (G_IO_STREAM (gone));
  assert_true (g_output_stream_write_all (output, request, strlen (request), NULL, NULL, NULL));
  WAIT_UNTIL (fixture.held_request != NULL);
  g_io_stream_close (G_IO_STREAM (gone), NULL, NULL);
  fixture.node_fault = NODE_GRANTS;
  for (guint i = 0; i < WORKERS; i++)
    {
      g_autoptr (Call) next = call_wait (call_start ("/v1/completions", id, BODY));
      assert_int_equal (next->status, 200);
      WAIT_UNTIL (fixture.grants_cancelled == 1);
      g_hash_table_remove_all (fixture.attempts); /* each is a request of its own */
    }
  assert_int_equal (fixture.engine_starts, WORKERS);
  assert_int_equal (fixture_stop (), 0);
}

/* Connects and says nothing: worker 0 has a connection from then on. */
static GSocketConnection *
hold_connection (void)
{
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  GSocketConnection *held = g_socket_client_connect_to_host (client, fixture.http, 0, NULL, NULL);
  assert_non_null (held);
  return held;
}

/* No worker has retries of its own: what a request on one has saved, a request on another uses. */
static void
test_shared_budget (void **state)
{
  static const char *const settings[]
      = { WORKERS_SETTING, "agent.retry_ratio=1", "agent.retry_least=0", NULL };
  fixture_start (settings, NULL);
  g_autoptr (GSocketConnection) held = hold_connection ();
  for (guint i = 0; i < WORKERS - 2; i++)
    {
      g_autoptr (Call) saving = call_wait (call_start ("/v1/completions", NULL, BODY));
      assert_int_equal (saving->status, 200);
    }
  fixture.engine_fault = ENGINE_REFUSES;
  fixture.engine_faulty = G_MAXUINT;
  g_autoptr (Call) call = call_wait (call_start ("/v1/completions", NULL, BODY));
  assert_int_equal (call->status, 429);
  assert_non_null (strstr (call->text, "overloaded"));
  assert_non_null (strstr (call->text, "\"not_run\":true"));
  /* One start each, and one more for every retry that the requests have saved. */
  assert_int_equal (fixture.engine_starts, 2 * (WORKERS - 1));
  assert_int_equal (fixture_stop (), 0);
}

/* Figures are of all workers, whichever is asked. */
static void
test_summed_figures (void **state)
{
  fixture_start (three_workers, NULL);
  g_autoptr (GSocketConnection) held = NULL;
  for (guint i = 0; i < 2 * WORKERS; i++)
    {
      if (i == WORKERS)
        held = hold_connection ();
      g_autoptr (Call) call = call_wait (call_start ("/v1/completions", NULL, BODY));
      assert_int_equal (call->status, 200);
    }
  for (guint i = 0; i < WORKERS; i++)
    {
      g_autoptr (Call) metrics = call_wait (call_start ("/metrics", NULL, NULL));
      assert_non_null (strstr (metrics->text, "quince_agent_workers 3\n"));
      assert_non_null (strstr (metrics->text, "quince_agent_answers_whole_total 6\n"));
      g_autoptr (Call) status = call_wait (call_start ("/v1/status", NULL, NULL));
      assert_non_null (strstr (status->text, "\"executions_started_total\":6"));
    }
  assert_int_equal (fixture_stop (), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_teardown (test_id_in_progress, fixture_kill),
    cmocka_unit_test_teardown (test_id_at_once, fixture_kill),
    cmocka_unit_test_teardown (test_id_passes_on, fixture_kill),
    cmocka_unit_test_teardown (test_shared_budget, fixture_kill),
    cmocka_unit_test_teardown (test_summed_figures, fixture_kill),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
