/*
 * test-agent-samples.c: the daemon quinceroute-agent towards trainers and the
 * ledger: submit, pull and release, the retries of calls, and samples run.
 */
#include "agent-fixture.h"

#define ROLLOUT                                                                                              \
  "{\"trainer\":\"t\",\"rollout_id\":\"r\",\"service\":\"rank-lm\",\"member\":\"m\",\"step\":1,"             \
  "\"staleness_bound\":2,\"samples\":[{\"sample_id\":\"s\",\"prompt\":\"p\",\"max_tokens\":6}]}"

/* ---- Fake ledger: one trainer with one sample --------------------------------- */

typedef enum
{
  LEDGER_WORKS,
  LEDGER_REDIRECTS,  /* the first call: NOT_LEADER, with the other node as hint */
  LEDGER_BUSY,       /* the first two calls                                     */
  LEDGER_UNSURE,     /* the first two calls                                     */
  LEDGER_LOSES_LINK, /* on the first call                                      */
  LEDGER_CONFLICTS,
  LEDGER_NEVER_SURE,
} LedgerFault;

static struct
{
  LedgerFault fault;
  gboolean open; /* the sample may be leased */
  guint calls;
  guint leased;
  guint renewed;
  guint64 min_version;
  QuinceCommand *completed; /* COMPLETE, or NULL */
} book;

static void
book_pull (QuinceLedgerReply *reply)
{
  QuinceBatch *batch = &reply->result.QuinceLedgerResult_u.batch;
  batch->step = 1;
  batch->total = 1;
  batch->ready = book.completed != NULL ? 1 : 0;
  reply->status = book.completed != NULL ? QUINCE_LEDGER_OK : QUINCE_LEDGER_NOT_COMPLETE;
  if (book.completed == NULL)
    return;
  batch->results.results_len = 1;
  batch->results.results_val = &book.completed->QuinceCommand_u.complete.result;
}

static void
book_lease (const QuinceLeaseSamples *lease, QuinceLedgerReply *reply)
{
  static QuinceLeasedSample sample;
  if (!book.open || lease->most == 0 || book.leased > 0)
    return;
  book.leased++;
  sample = (QuinceLeasedSample){
    .trainer = (char *)"t",
    .service = (char *)"rank-lm",
    .member = (char *)"m",
    .step = 1,
    .generation = 4,
    .min_version = book.min_version,
    .spec = { .sample_id = (char *)"s", .prompt = (char *)"p", .max_tokens = TOKENS },
  };
  reply->result.QuinceLedgerResult_u.leased.leased_len = 1;
  reply->result.QuinceLedgerResult_u.leased.leased_val = &sample;
}

/* Returns: whether @reply is that of a fault. */
static gboolean
play_fault (QuinceLedgerReply *reply)
{
  book.calls++;
  if (book.fault == LEDGER_CONFLICTS)
    reply->status = QUINCE_LEDGER_CONFLICT;
  else if (book.fault == LEDGER_REDIRECTS && book.calls == 1)
    {
      reply->status = QUINCE_LEDGER_NOT_LEADER;
      reply->leader = (char *)quince_link_server_get_address (fixture.servers[1]);
    }
  else if (book.fault == LEDGER_BUSY && book.calls <= 2)
    reply->status = QUINCE_LEDGER_BUSY;
  else if ((book.fault == LEDGER_UNSURE && book.calls <= 2) || book.fault == LEDGER_NEVER_SURE)
    reply->status = QUINCE_LEDGER_UNKNOWN;
  else if (book.fault == LEDGER_LOSES_LINK && book.calls == 1)
    for (guint i = 0; i < fixture.links->len; i++)
      quince_link_close (g_ptr_array_index (fixture.links, i));
  return reply->status != QUINCE_LEDGER_OK;
}

static void
book_call (const QuinceLedgerCall *call, QuinceLedgerReply *reply)
{
  if (play_fault (reply))
    return;
  if (call->command.kind == QUINCE_COMMAND_PULL)
    book_pull (reply);
  else if (call->command.kind == QUINCE_COMMAND_LEASE)
    book_lease (&call->command.QuinceCommand_u.lease, reply);
  else if (call->command.kind == QUINCE_COMMAND_RENEW)
    book.renewed += call->command.QuinceCommand_u.renew.leases.leases_len;
  else if (call->command.kind == QUINCE_COMMAND_COMPLETE && book.completed == NULL)
    book.completed = quince_command_copy (&call->command);
}

static void
book_reset (void)
{
  g_clear_pointer (&book.completed, quince_command_free);
  memset (&book, 0, sizeof book);
}

/* ---- Trainers' calls ------------------------------------------------------------- */

static void
test_calls (void **state)
{
  static const struct
  {
    const char *path;
    const char *body;
    LedgerFault fault;
    guint status;
    const char *expected;
  } cases[] = {
    { "/v1/rollouts", ROLLOUT, LEDGER_WORKS, 200, "{\"accepted\":1}" },
    { "/v1/rollouts", ROLLOUT, LEDGER_REDIRECTS, 200, "{\"accepted\":1}" },
    { "/v1/rollouts", ROLLOUT, LEDGER_BUSY, 200, "{\"accepted\":1}" },
    { "/v1/rollouts", ROLLOUT, LEDGER_UNSURE, 200, "{\"accepted\":1}" },
    { "/v1/rollouts", ROLLOUT, LEDGER_LOSES_LINK, 200, "{\"accepted\":1}" },
    { "/v1/rollouts", ROLLOUT, LEDGER_CONFLICTS, 409, "conflict" },
    { "/v1/rollouts", ROLLOUT, LEDGER_NEVER_SURE, 503, "unknown" },
    { "/v1/trainers/t/pull", "{\"step\":1,\"version\":3}", LEDGER_WORKS, 202, "\"ready\":0,\"total\":1" },
    { "/v1/trainers/t/pull", "{\"step\":1,\"version\":3,\"wait_ms\":150}", LEDGER_WORKS, 202,
      "retry_after_ms" },
    { "/v1/trainers/t/release", "{\"step\":1}", LEDGER_LOSES_LINK, 200, "\"step\":1" },
    { "/v1/trainers/t/pull", "{\"step\":1}", LEDGER_WORKS, 400, "bad_request" },
    { "/v1/trainers/t/pull", "{\"step\":1,\"version\":3,\"wait_ms\":-1}", LEDGER_WORKS, 400, "bad_request" },
    { "/v1/trainers/t/release", "{\"step\":\"1\"}", LEDGER_WORKS, 400, "bad_request" },
    { "/v1/trainers/t/steal", "{\"step\":1}", LEDGER_WORKS, 404, "not_found" },
    { "/v1/rollouts", "{\"trainer\":\"t\"}", LEDGER_WORKS, 400, "bad_request" },
  };
  const char *settings[] = { "agent.ledger_timeout=1s", NULL };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      book_reset ();
      fixture_start (settings, book_call);
      book.fault = cases[i].fault;
      g_autoptr (Call) call = call_wait (call_start (cases[i].path, NULL, cases[i].body));
      if (call->status != cases[i].status || strstr (call->text, cases[i].expected) == NULL)
        fail_msg ("case %u: status %u: %s", i, call->status, call->text);
      assert_int_equal (fixture_stop (), 0);
    }
}

/* ---- Samples ------------------------------------------------------------------------ */

typedef struct
{
  const char *name;
  NodeFault node;
  EngineFault engine;
  guint64 min_version;
  const char *segments; /* of the pulled sample */
} SampleCase;

#define ALL_AT_3 "\"segments\":[{\"engine\":\"e1\",\"weight_version\":3,\"first_token\":0,\"token_count\":6}]"
#define HALF_AT_3                                                                                            \
  "\"segments\":[{\"engine\":\"e1\",\"weight_version\":3,\"first_token\":0,\"token_count\":3},"              \
  "{\"engine\":\"e1\",\"weight_version\":9,\"first_token\":3,\"token_count\":3}]"
#define ALL_AT_9 "\"segments\":[{\"engine\":\"e1\",\"weight_version\":9,\"first_token\":0,\"token_count\":6}]"

/* The first start is at version 3 and shows the fault, the next one is at 9. */
static const SampleCase sample_cases[] = {
  { "whole", NODE_GRANTS, ENGINE_RUNS, 0, ALL_AT_3 },
  { "node dies", NODE_DIES, ENGINE_RUNS, 0, ALL_AT_3 },
  { "engine unreachable", NODE_GRANTS_UNREACHABLE, ENGINE_RUNS, 0, ALL_AT_3 },
  { "engine refuses", NODE_GRANTS, ENGINE_REFUSES, 0, ALL_AT_9 },
  { "engine cuts: resumed", NODE_GRANTS, ENGINE_CUTS, 0, HALF_AT_3 },
  { "swap: resumed", NODE_GRANTS, ENGINE_SWAPS, 0, HALF_AT_3 },
  { "swap, too old: restarted", NODE_GRANTS, ENGINE_SWAPS, 5, ALL_AT_9 },
  { "cut, too old: restarted", NODE_GRANTS, ENGINE_CUTS, 5, ALL_AT_9 },
  { "whole, too old: restarted", NODE_GRANTS, ENGINE_RUNS, 5, ALL_AT_9 },
};

static void
run_sample_case (const SampleCase *check)
{
  const char *settings[] = { "agent.run_samples=true", "agent.sample_lease=1s", NULL };
  book_reset ();
  book.min_version = check->min_version;
  fixture_start (settings, book_call);
  fixture.node_fault = check->node;
  fixture.engine_fault = check->engine;
  fixture.engine_faulty = 1;
  fixture.later_version = 9;
  book.open = TRUE;
  g_autoptr (Call) call
      = call_wait (call_start ("/v1/trainers/t/pull", NULL, "{\"step\":1,\"version\":9,\"wait_ms\":20000}"));
  if (call->status != 200 || strstr (call->text, check->segments) == NULL
      || strstr (call->text, "\"text\":\"t0 t1 t2 t3 t4 t5 \",\"token_count\":6,\"reward\":0.5") == NULL)
    fail_msg ("%s: status %u: %s", check->name, call->status, call->text);
  assert_int_equal (book.completed->QuinceCommand_u.complete.generation, 4);
  WAIT_UNTIL (fixture.ends->len == fixture.last_grant);
  assert_int_equal (fixture_stop (), 0);
}

static void
test_samples (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (sample_cases); i++)
    run_sample_case (&sample_cases[i]);
}

/* A planned stop ends the sample in progress; its lease is renewed meanwhile. */
static void
test_stop_with_sample (void **state)
{
  const char *settings[] = { "agent.run_samples=true", "agent.sample_lease=1s", NULL };
  book_reset ();
  fixture_start (settings, book_call);
  fixture.node_fault = NODE_HOLDS;
  book.open = TRUE;
  WAIT_UNTIL (fixture.held_request != NULL);
  g_subprocess_send_signal (fixture.agent, SIGTERM);
  WAIT_UNTIL (book.renewed > 0);
  assert_null (book.completed);
  fixture.node_fault = NODE_GRANTS;
  send_verdict (fixture.held_link, &fixture.held_request->QuinceMessage_u.grant_request);
  WAIT_UNTIL (book.completed != NULL);
  assert_int_equal (fixture_stop (), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_teardown (test_calls, fixture_kill),
    cmocka_unit_test_teardown (test_samples, fixture_kill),
    cmocka_unit_test_teardown (test_stop_with_sample, fixture_kill),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
