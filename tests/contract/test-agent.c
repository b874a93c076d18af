/*
 * test-agent.c: the daemon quinceroute-agent towards callers: every fault of
 * nodes and engines in one table, then ids, bounds, callers and stops.
 */
#include "agent-fixture.h"

#define BODY "{\"model\":\"rank-lm\",\"prompt\":\"rank these two\",\"max_tokens\":6}"
#define STREAM_BODY "{\"model\":\"rank-lm\",\"prompt\":\"rank these two\",\"max_tokens\":6,\"stream\":true}"
#define WHOLE_TEXT "\"text\":\"t0 t1 t2 t3 t4 t5 \""
#define ONCE "X-Quince-Repeatable: false"
#define NOT_RUN "\"not_run\":true"
#define MAY_HAVE_RUN "\"not_run\":false"
#define DONE "data: [DONE]"
#define NO_OUTCOME -1

/* ---- Faults of nodes and engines ------------------------------------------ */

typedef struct
{
  const char *name;
  const char *headers;
  const char *body;
  NodeFault node;
  QuinceRefusal refusal;
  EngineFault engine;
  guint engine_faulty; /* starts that show the fault          */
  guint status;
  const char *expected;  /* part of the answer                */
  const char *expected2; /* another part, or NULL             */
  const char *absent;    /* what must not be in it, or NULL   */
  guint starts;          /* of the engine                     */
  int first_end;         /* QuinceOutcome of the first grant  */
} FaultCase;

/* clang-format off: one case a line */
static const FaultCase fault_cases[] = {
  { "whole", NULL, BODY, NODE_GRANTS, 0, 0, 0, 200, WHOLE_TEXT, "\"finish_reason\":\"stop\"", "error", 1,
    QUINCE_OUTCOME_FINISHED },
  { "streamed", NULL, STREAM_BODY, NODE_GRANTS, 0, 0, 0, 200, DONE, "\"segments\":[{", "error", 1,
    QUINCE_OUTCOME_FINISHED },
  { "once", ONCE, BODY, NODE_GRANTS, 0, 0, 0, 200, WHOLE_TEXT, NULL, "error", 1, QUINCE_OUTCOME_FINISHED },
  { "node refuses: overloaded", NULL, BODY, NODE_REFUSES, QUINCE_REFUSAL_OVERLOADED, 0, 0, 429, "overloaded",
    NOT_RUN, NULL, 0, NO_OUTCOME },
  { "node refuses: policy", NULL, BODY, NODE_REFUSES, QUINCE_REFUSAL_POLICY, 0, 0, 429, "policy_refused",
    NOT_RUN, NULL, 0, NO_OUTCOME },
  { "node refuses: deadline", NULL, BODY, NODE_REFUSES, QUINCE_REFUSAL_DEADLINE, 0, 0, 429, "deadline",
    NOT_RUN, NULL, 0, NO_OUTCOME },
  { "node refuses: no engine", NULL, STREAM_BODY, NODE_REFUSES, QUINCE_REFUSAL_NO_ENGINE, 0, 0, 503,
    "no_engine", NOT_RUN, NULL, 0, NO_OUTCOME },
  { "nodes stop", NULL, BODY, NODE_REFUSES, QUINCE_REFUSAL_STOPPING, 0, 0, 503, "not_ready", NOT_RUN, NULL, 0,
    NO_OUTCOME },
  { "node dies before verdict", NULL, BODY, NODE_DIES, 0, 0, 0, 200, WHOLE_TEXT, NULL, "error", 1,
    QUINCE_OUTCOME_FINISHED },
  { "node dies before verdict, once", ONCE, BODY, NODE_DIES, 0, 0, 0, 200, WHOLE_TEXT, NULL, "error", 1,
    QUINCE_OUTCOME_FINISHED },
  { "engine unreachable", NULL, BODY, NODE_GRANTS_UNREACHABLE, 0, 0, 0, 200, WHOLE_TEXT, "\"attempts\":2",
    "error", 1, QUINCE_OUTCOME_NOT_SENT },
  { "engine unreachable, once", ONCE, BODY, NODE_GRANTS_UNREACHABLE, 0, 0, 0, 200, WHOLE_TEXT, NULL, "error",
    1, QUINCE_OUTCOME_NOT_SENT },
  { "engine refuses once", NULL, BODY, NODE_GRANTS, 0, ENGINE_REFUSES, 1, 200, WHOLE_TEXT, NULL, "error", 2,
    QUINCE_OUTCOME_REFUSED },
  { "engine refuses always", NULL, BODY, NODE_GRANTS, 0, ENGINE_REFUSES, 99, 429, "overloaded", NOT_RUN, NULL,
    5, QUINCE_OUTCOME_REFUSED },
  { "engine refuses always, once", ONCE, BODY, NODE_GRANTS, 0, ENGINE_REFUSES, 99, 429, "overloaded", NOT_RUN,
    NULL, 5, QUINCE_OUTCOME_REFUSED },
  { "engine fails", NULL, BODY, NODE_GRANTS, 0, ENGINE_FAILS, 1, 200, WHOLE_TEXT, NULL, "error", 2,
    QUINCE_OUTCOME_BROKEN },
  { "engine fails, once", ONCE, BODY, NODE_GRANTS, 0, ENGINE_FAILS, 1, 502, "outcome_unknown", MAY_HAVE_RUN,
    NULL, 1, QUINCE_OUTCOME_BROKEN },
  { "engine fails always", NULL, BODY, NODE_GRANTS, 0, ENGINE_FAILS, 99, 502, "outcome_unknown", MAY_HAVE_RUN,
    NULL, 5, QUINCE_OUTCOME_BROKEN },
  { "engine closes", NULL, BODY, NODE_GRANTS, 0, ENGINE_CLOSES, 1, 200, WHOLE_TEXT, NULL, "error", 2,
    QUINCE_OUTCOME_BROKEN },
  { "engine closes, streamed", NULL, STREAM_BODY, NODE_GRANTS, 0, ENGINE_CLOSES, 1, 200, DONE, NULL, "error",
    2, QUINCE_OUTCOME_BROKEN },
  { "engine closes, once", ONCE, BODY, NODE_GRANTS, 0, ENGINE_CLOSES, 1, 502, "outcome_unknown", MAY_HAVE_RUN,
    NULL, 1, QUINCE_OUTCOME_BROKEN },
  { "engine cuts", NULL, BODY, NODE_GRANTS, 0, ENGINE_CUTS, 1, 200, WHOLE_TEXT, NULL, "error", 2,
    QUINCE_OUTCOME_BROKEN },
  { "engine cuts, once", ONCE, BODY, NODE_GRANTS, 0, ENGINE_CUTS, 1, 502, "outcome_unknown", MAY_HAVE_RUN,
    "t0", 1, QUINCE_OUTCOME_BROKEN },
  { "engine cuts, streamed", NULL, STREAM_BODY, NODE_GRANTS, 0, ENGINE_CUTS, 1, 200, "stream_broken", "t2 ",
    DONE, 1, QUINCE_OUTCOME_BROKEN },
  { "engine cuts, streamed, once", ONCE, STREAM_BODY, NODE_GRANTS, 0, ENGINE_CUTS, 1, 200, "stream_broken",
    NULL, DONE, 1, QUINCE_OUTCOME_BROKEN },
  { "no finish marker", NULL, BODY, NODE_GRANTS, 0, ENGINE_CUTS_UNMARKED, 99, 502, "outcome_unknown",
    MAY_HAVE_RUN, "t5", 5, QUINCE_OUTCOME_BROKEN },
  { "no finish marker, streamed", NULL, STREAM_BODY, NODE_GRANTS, 0, ENGINE_CUTS_UNMARKED, 1, 200,
    "stream_broken", NULL, DONE, 1, QUINCE_OUTCOME_BROKEN },
  { "token missing", NULL, BODY, NODE_GRANTS, 0, ENGINE_SKIPS, 1, 200, WHOLE_TEXT, NULL, "error", 2,
    QUINCE_OUTCOME_BROKEN },
  { "token missing, streamed", NULL, STREAM_BODY, NODE_GRANTS, 0, ENGINE_SKIPS, 1, 200, "stream_broken", NULL,
    "t4", 1, QUINCE_OUTCOME_BROKEN },
  { "nonsense, once", ONCE, BODY, NODE_GRANTS, 0, ENGINE_TALKS_NONSENSE, 1, 502, "outcome_unknown",
    MAY_HAVE_RUN, NULL, 1, QUINCE_OUTCOME_BROKEN },
  { "weight swap", NULL, BODY, NODE_GRANTS, 0, ENGINE_SWAPS, 1, 200, WHOLE_TEXT, "\"finish_reason\":\"stop\"",
    "error", 2, QUINCE_OUTCOME_FINISHED },
  { "weight swap, streamed", NULL, STREAM_BODY, NODE_GRANTS, 0, ENGINE_SWAPS, 1, 200, DONE, "t5 ", "swap", 2,
    QUINCE_OUTCOME_FINISHED },
  { "weight swap, once", ONCE, BODY, NODE_GRANTS, 0, ENGINE_SWAPS, 1, 502, "outcome_unknown", MAY_HAVE_RUN,
    NULL, 1, QUINCE_OUTCOME_BROKEN },
  { "deadline after dispatch", "X-Quince-Deadline-Ms: 300", BODY, NODE_GRANTS, 0, ENGINE_HOLDS, 1, 504,
    "deadline_unknown", MAY_HAVE_RUN, "t0", 1, QUINCE_OUTCOME_CANCELLED },
  { "deadline, streamed", "X-Quince-Deadline-Ms: 300", STREAM_BODY, NODE_GRANTS, 0, ENGINE_HOLDS, 1, 200,
    "stream_broken", NULL, DONE, 1, QUINCE_OUTCOME_CANCELLED },
};
/* clang-format on */

static void
check_parts (const FaultCase *check, const Call *call)
{
  if (call->status != check->status)
    fail_msg ("%s: status %u: %s", check->name, call->status, call->text);
  if (strstr (call->text, check->expected) == NULL
      || (check->expected2 != NULL && strstr (call->text, check->expected2) == NULL))
    fail_msg ("%s: %s or %s missing in %s", check->name, check->expected, check->expected2, call->text);
  if (check->absent != NULL && strstr (call->text, check->absent) != NULL)
    fail_msg ("%s: %s in %s", check->name, check->absent, call->text);
  if (call->status == 429
      && soup_message_headers_get_one (soup_message_get_response_headers (call->message), "Retry-After")
             == NULL)
    fail_msg ("%s: no Retry-After", check->name);
}

static void
run_fault_case (const FaultCase *check)
{
  fixture_start (NULL, NULL);
  fixture.node_fault = check->node;
  fixture.refusal = check->refusal;
  fixture.engine_fault = check->engine;
  fixture.engine_faulty = check->engine_faulty;
  g_autoptr (Call) call = call_wait (call_start ("/v1/completions", check->headers, check->body));
  check_parts (check, call);
  if (fixture.engine_starts != check->starts)
    fail_msg ("%s: %u starts", check->name, fixture.engine_starts);
  WAIT_UNTIL (fixture.ends->len == fixture.last_grant);
  if (check->first_end != NO_OUTCOME)
    assert_int_equal (g_array_index (fixture.ends, QuinceGrantEnd, 0).outcome, check->first_end);
  if (check->headers != NULL && g_str_equal (check->headers, ONCE))
    assert_int_equal (fixture.claims_asked, 1);
  assert_int_equal (fixture_stop (), 0);
}

static void
test_faults (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (fault_cases); i++)
    run_fault_case (&fault_cases[i]);
}

/* ---- Requests that are not valid ----------------------------------------------- */

static void
test_malformed (void **state)
{
  static const struct
  {
    const char *headers;
    const char *body;
  } cases[] = {
    { NULL, "" },
    { NULL, "[]" },
    { NULL, "{\"model\":" },
    { NULL, "{\"model\":\"m\",\"max_tokens\":1}" },
    { NULL, "{\"model\":7,\"prompt\":\"p\",\"max_tokens\":1}" },
    { NULL, "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}" },
    { NULL, "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":-1}" },
    { NULL, "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":1,\"stream\":\"yes\"}" },
    { "X-Quince-Deadline-Ms: soon", BODY },
    { "X-Quince-Deadline-Ms: 0", BODY },
    { "X-Quince-Min-Version: -1", BODY },
    { "X-Quince-Repeatable: maybe", BODY },
    { "X-Quince-Request-Id: 12", BODY },
    { "X-Quince-Request-Id: 123e4567-e89b-42d3-a456-426614174000", BODY },
    { ONCE "|X-Quince-Request-Id: 00000000-0001-7000-8000-000000000001", BODY }, /* long past  */
    { ONCE "|X-Quince-Request-Id: ffffffff-ffff-7000-8000-000000000001", BODY }, /* far future */
  };
  fixture_start (NULL, NULL);
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (Call) call = call_wait (call_start ("/v1/completions", cases[i].headers, cases[i].body));
      if (call->status != 400 || strstr (call->text, "bad_request") == NULL
          || strstr (call->text, NOT_RUN) == NULL)
        fail_msg ("case %u: status %u: %s", i, call->status, call->text);
    }
  assert_int_equal (fixture.grants_asked, 0);
  assert_int_equal (get_status ("/v1/completions"), 405);
  assert_int_equal (get_status ("/nothing"), 404);
  assert_int_equal (get_status ("/healthz"), 200);
  assert_int_equal (get_status ("/v1/status"), 200);
  g_autoptr (Call) metrics = call_wait (call_start ("/metrics", NULL, NULL));
  assert_non_null (strstr (metrics->text, "quince_agent_requests_malformed_total 16\n"));
  assert_int_equal (fixture_stop (), 0);
}

static void
test_too_large (void **state)
{
  g_autofree char *prompt = g_strnfill (9 * 1024 * 1024, 'x');
  g_autofree char *body = g_strdup_printf ("{\"model\":\"m\",\"max_tokens\":1,\"prompt\":\"%s\"}", prompt);
  fixture_start (NULL, NULL);
  g_autoptr (Call) call = call_wait (call_start ("/v1/completions", NULL, body));
  assert_int_equal (call->status, 413);
  assert_non_null (strstr (call->text, "too_large"));
  assert_int_equal (fixture.grants_asked, 0);
  assert_int_equal (get_status ("/healthz"), 200);
  assert_int_equal (fixture_stop (), 0);
}

/* ---- Ids, late grants, callers and stops ------------------------------------------ */

static void
test_duplicate_id (void **state)
{
  QuinceRequestId id;
  char text[QUINCE_REQUEST_ID_TEXT_LENGTH + 1];
  quince_request_id_generate (id, quince_wall_ms ());
  quince_request_id_format (id, text);
  g_autofree char *headers = g_strdup_printf (ONCE "|X-Quince-Request-Id: %s", text);
  fixture_start (NULL, NULL);
  g_autoptr (Call) first = call_wait (call_start ("/v1/completions", headers, BODY));
  assert_int_equal (first->status, 200);
  assert_non_null (strstr (first->text, text));
  g_autoptr (Call) second = call_wait (call_start ("/v1/completions", headers, BODY));
  assert_int_equal (second->status, 409);
  assert_non_null (strstr (second->text, "duplicate_request"));
  assert_null (strstr (second->text, "not_run"));
  assert_int_equal (fixture.engine_starts, 1);
  WAIT_UNTIL (fixture.ends->len == 2);
  assert_int_equal (g_array_index (fixture.ends, QuinceGrantEnd, 1).outcome, QUINCE_OUTCOME_NOT_SENT);
  assert_int_equal (fixture_stop (), 0);
}

/* An id that was claimed and certainly not used is given back. */
static void
test_unclaim (void **state)
{
  fixture_start (NULL, NULL);
  fixture.engine_fault = ENGINE_REFUSES;
  fixture.engine_faulty = 99;
  g_autoptr (Call) call = call_wait (call_start ("/v1/completions", ONCE, BODY));
  assert_int_equal (call->status, 429);
  WAIT_UNTIL (fixture.unclaims == 1);
  assert_int_equal (fixture_stop (), 0);
}

static void
test_late_grant (void **state)
{
  fixture_start (NULL, NULL);
  fixture.node_fault = NODE_HOLDS;
  g_autoptr (Call) call = call_wait (call_start ("/v1/completions", "X-Quince-Deadline-Ms: 200", BODY));
  assert_int_equal (call->status, 429);
  assert_non_null (strstr (call->text, NOT_RUN));
  WAIT_UNTIL (fixture.grants_cancelled == 1);
  fixture.node_fault = NODE_GRANTS;
  send_verdict (fixture.held_link, &fixture.held_request->QuinceMessage_u.grant_request);
  WAIT_UNTIL (fixture.ends->len == 1);
  assert_int_equal (g_array_index (fixture.ends, QuinceGrantEnd, 0).outcome, QUINCE_OUTCOME_NOT_SENT);
  assert_int_equal (fixture.engine_starts, 0);
  assert_int_equal (fixture_stop (), 0);
}

/* A grant that lay longer than it is good for is given back, and nothing is sent. */
static void
test_stale_grant (void **state)
{
  fixture_start (NULL, NULL);
  fixture.node_fault = NODE_HOLDS;
  g_autoptr (Call) call = call_start ("/v1/completions", NULL, BODY);
  WAIT_UNTIL (fixture.held_request != NULL);
  gint64 stale_us = quince_now_us () + 2500 * G_TIME_SPAN_MILLISECOND;
  WAIT_UNTIL (quince_now_us () >= stale_us);
  fixture.node_fault = NODE_GRANTS;
  fixture.grant_age_us = 2400 * G_TIME_SPAN_MILLISECOND;
  send_verdict (fixture.held_link, &fixture.held_request->QuinceMessage_u.grant_request);
  fixture.grant_age_us = 0;
  call_wait (call);
  assert_int_equal (call->status, 200);
  assert_int_equal (fixture.engine_starts, 1);
  WAIT_UNTIL (fixture.ends->len == 2);
  assert_int_equal (g_array_index (fixture.ends, QuinceGrantEnd, 0).outcome, QUINCE_OUTCOME_NOT_SENT);
  assert_int_equal (fixture_stop (), 0);
}

static void
run_caller_gone (const char *body)
{
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  fixture_start (NULL, NULL);
  fixture.engine_fault = ENGINE_HOLDS;
  fixture.engine_faulty = 1;
  g_autoptr (GSocketConnection) caller
      = g_socket_client_connect_to_host (client, fixture.http, 0, NULL, NULL);
  g_autofree char *request = g_strdup_printf (
      "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: %zu\r\n\r\n%s", strlen (body), body);
  GOutputStream *output = g_io_stream_get_output_stream (G_IO_STREAM (caller));
  assert_true (g_output_stream_write_all (output, request, strlen (request), NULL, NULL, NULL));
  WAIT_UNTIL (fixture.engine_starts == 1);
  g_io_stream_close (G_IO_STREAM (caller), NULL, NULL);
  WAIT_UNTIL (fixture.ends->len == 1 && fixture.engine_cancels == 1);
  assert_int_equal (g_array_index (fixture.ends, QuinceGrantEnd, 0).outcome, QUINCE_OUTCOME_CANCELLED);
  assert_int_equal (fixture_stop (), 0);
}

static void
test_caller_gone (void **state)
{
  run_caller_gone (BODY);
  run_caller_gone (STREAM_BODY);
}

static void
test_engine_leaving (void **state)
{
  fixture_start (NULL, NULL);
  fixture.engine_leaving = TRUE;
  g_autoptr (Call) call = call_wait (call_start ("/v1/completions", NULL, BODY));
  assert_int_equal (call->status, 200);
  WAIT_UNTIL (fixture.ends->len == 1);
  const QuinceGrantEnd *end = &g_array_index (fixture.ends, QuinceGrantEnd, 0);
  assert_true (end->engine_leaving);
  assert_true (end->on_time);
  assert_int_equal (end->tokens, TOKENS);
  assert_int_equal (end->weight_version, 3);
  assert_int_equal (fixture_stop (), 0);
}

/* A kept connection that breaks must not make the HTTP library send an attempt again. */
static void
test_kept_connection (void **state)
{
  /* Each worker keeps connections of its own: one, so that the next request uses what the last one kept. */
  static const char *const settings[] = { "agent.workers=1", NULL };
  fixture_start (settings, NULL);
  fixture.engine_fault = ENGINE_CLOSES;
  for (guint i = 0; i < 3; i++)
    {
      fixture.engine_faulty = fixture.engine_starts + (i > 0 ? 1 : 0);
      g_autoptr (Call) call = call_wait (call_start ("/v1/completions", NULL, BODY));
      assert_int_equal (call->status, 200);
      assert_non_null (strstr (call->text, i > 0 ? "\"attempts\":2" : "\"attempts\":1"));
    }
  assert_int_equal (fixture.engine_starts, 5);
  assert_true (fixture.engine_connections < fixture.engine_starts);
  assert_int_equal (fixture_stop (), 0);
}

/* A planned stop ends what is in progress whole and refuses what is new. */
static void
test_planned_stop (void **state)
{
  fixture_start (NULL, NULL);
  fixture.node_fault = NODE_HOLDS;
  g_autoptr (Call) waiting = call_start ("/v1/completions", NULL, STREAM_BODY);
  WAIT_UNTIL (fixture.held_request != NULL);
  g_subprocess_send_signal (fixture.agent, SIGTERM);
  WAIT_UNTIL (get_status ("/readyz") == 503);
  g_autoptr (Call) late = call_wait (call_start ("/v1/completions", NULL, BODY));
  assert_int_equal (late->status, 503);
  assert_non_null (strstr (late->text, "stopping"));
  assert_non_null (strstr (late->text, NOT_RUN));
  assert_false (waiting->done);
  fixture.node_fault = NODE_GRANTS;
  send_verdict (fixture.held_link, &fixture.held_request->QuinceMessage_u.grant_request);
  call_wait (waiting);
  assert_int_equal (waiting->status, 200);
  assert_non_null (strstr (waiting->text, DONE));
  assert_int_equal (fixture_stop (), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_teardown (test_faults, fixture_kill),
    cmocka_unit_test_teardown (test_malformed, fixture_kill),
    cmocka_unit_test_teardown (test_too_large, fixture_kill),
    cmocka_unit_test_teardown (test_duplicate_id, fixture_kill),
    cmocka_unit_test_teardown (test_unclaim, fixture_kill),
    cmocka_unit_test_teardown (test_late_grant, fixture_kill),
    cmocka_unit_test_teardown (test_stale_grant, fixture_kill),
    cmocka_unit_test_teardown (test_caller_gone, fixture_kill),
    cmocka_unit_test_teardown (test_engine_leaving, fixture_kill),
    cmocka_unit_test_teardown (test_kept_connection, fixture_kill),
    cmocka_unit_test_teardown (test_planned_stop, fixture_kill),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
