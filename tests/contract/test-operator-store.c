/*
 * test-operator-store.c: the operators' writes against the stand-in of the
 * key-value service, under its faults.
 */
#include "kv-standin.h"

#include "clients/operator-store.h"
#include "protocol/request-id.h"

#define TRY_MS 250
#define WRITE_MS 15000
/* For faults that outlast the write. */
#define SHORT_WRITE_MS 1500
#define NONE (-1)

static KvStandin *service;

/* One operator: a client and a store of their own. */
typedef struct
{
  QuinceKvClient *client;
  QuinceOperatorStore *store;
} Operator;

static Operator
operator_new_with_time (guint write_ms)
{
  const char *endpoints[] = { service->address, NULL };
  Operator person = { .client = quince_kv_client_new (endpoints, TRY_MS) };
  person.store = quince_operator_store_new (person.client, write_ms);
  return person;
}

static Operator
operator_new (void)
{
  return operator_new_with_time (WRITE_MS);
}

static void
operator_free (Operator *person)
{
  quince_operator_store_free (person->store);
  quince_kv_client_free (person->client);
}

/* What an operation came to; code NONE is success. */
typedef struct
{
  guint calls;
  int code;
  guint64 revision;
  gboolean may_have_stood;
  guint64 other_revision;
  char other_author[16];
  guint length;       /* of a list */
  guint64 replica_id; /* of the first voter */
} Outcome;

static void
set_code (Outcome *outcome, const GError *error)
{
  outcome->calls++;
  outcome->code = error != NULL ? error->code : NONE;
  if (error != NULL)
    assert_int_equal (error->domain, QUINCE_OPERATOR_ERROR);
}

static void
on_accepted (guint64 revision,
             const QuincePolicyHead *other,
             gboolean may_have_stood,
             const GError *error,
             gpointer user_data)
{
  Outcome *outcome = user_data;
  outcome->revision = revision;
  outcome->may_have_stood = may_have_stood;
  if (other != NULL)
    {
      outcome->other_revision = other->body->revision;
      g_strlcpy (outcome->other_author, other->author, sizeof outcome->other_author);
    }
  set_code (outcome, error);
}

static void
on_head (const QuincePolicyHead *head, const GError *error, gpointer user_data)
{
  Outcome *outcome = user_data;
  if (head != NULL)
    {
      outcome->revision = head->body->revision;
      g_strlcpy (outcome->other_author, head->author, sizeof outcome->other_author);
    }
  set_code (outcome, error);
}

static void
on_done (guint64 revision, const GError *error, gpointer user_data)
{
  Outcome *outcome = user_data;
  outcome->revision = revision;
  set_code (outcome, error);
}

static void
on_list (GPtrArray *items, const GError *error, gpointer user_data)
{
  Outcome *outcome = user_data;
  outcome->length = items != NULL ? items->len : 0;
  set_code (outcome, error);
}

static void
on_voters (const QuinceReplicaSet *voters, const GError *error, gpointer user_data)
{
  Outcome *outcome = user_data;
  outcome->length = voters != NULL ? voters->voters.voters_len : 0;
  outcome->replica_id = outcome->length > 0 ? voters->voters.voters_val[0].replica_id : 0;
  set_code (outcome, error);
}

static void
start_accept (Operator *person, const char *author, guint64 expected, Outcome *outcome)
{
  QuincePolicyProposal proposal = { "-- program", author, "why", expected };
  quince_operator_store_accept_policy (person->store, &proposal, on_accepted, outcome);
}

static Outcome
accept_policy (Operator *person, const char *author, guint64 expected)
{
  Outcome outcome = { 0 };
  start_accept (person, author, expected, &outcome);
  WAIT_FOR (outcome.calls > 0);
  return outcome;
}

static Outcome
read_head (Operator *person)
{
  Outcome outcome = { 0 };
  quince_operator_store_read_policy (person->store, on_head, &outcome);
  WAIT_FOR (outcome.calls > 0);
  return outcome;
}

static gboolean
on_heal (gpointer user_data)
{
  kv_standin_set_faults (service, "{\"outage\":false,\"hang\":false,\"unavailable\":false}");
  return G_SOURCE_REMOVE;
}

/* ---- One operator ------------------------------------------------------------- */

typedef struct
{
  const char *name;
  const char *faults;
  guint heal_ms;  /* 0: the faults stay until the outcome */
  gboolean stale; /* expects a revision that another replaced */
  int code;
  gboolean may_have_stood;
} AcceptCase;

static const AcceptCase accept_cases[] = {
  { "no fault", "{}", 0, FALSE, NONE, FALSE },
  { "slow", "{\"slow_ms\":60}", 0, FALSE, NONE, FALSE },
  { "answer lost after the write", "{\"lose_answer_next\":1}", 0, FALSE, NONE, FALSE },
  { "request lost", "{\"lose_request_next\":1}", 0, FALSE, NONE, FALSE },
  { "requests and answers lost", "{\"lose_request_next\":2,\"lose_answer_next\":2}", 0, FALSE, NONE, FALSE },
  { "short outage", "{\"outage\":true}", 400, FALSE, NONE, FALSE },
  { "short hang", "{\"hang\":true}", 600, FALSE, NONE, FALSE },
  { "briefly unavailable", "{\"unavailable\":true}", 400, FALSE, NONE, FALSE },
  { "long outage", "{\"outage\":true}", 0, FALSE, QUINCE_OPERATOR_ERROR_UNREACHABLE, FALSE },
  { "long hang", "{\"hang\":true}", 0, FALSE, QUINCE_OPERATOR_ERROR_UNKNOWN, FALSE },
  { "long unavailable", "{\"unavailable\":true}", 0, FALSE, QUINCE_OPERATOR_ERROR_UNKNOWN, FALSE },
  { "stale compare", "{}", 0, TRUE, QUINCE_OPERATOR_ERROR_CONFLICT, FALSE },
  { "stale compare, answer lost", "{\"lose_answer_next\":1}", 0, TRUE, QUINCE_OPERATOR_ERROR_CONFLICT, TRUE },
  { "stale compare, request lost", "{\"lose_request_next\":1}", 0, TRUE, QUINCE_OPERATOR_ERROR_CONFLICT,
    TRUE },
};

static void
check_accept (const AcceptCase *accept_case)
{
  kv_standin_reset (service);
  gboolean outlasts = accept_case->code == QUINCE_OPERATOR_ERROR_UNREACHABLE
                      || accept_case->code == QUINCE_OPERATOR_ERROR_UNKNOWN;
  Operator person = operator_new_with_time (outlasts ? SHORT_WRITE_MS : WRITE_MS);
  Outcome first = accept_policy (&person, "first", 0);
  Outcome second = { .revision = first.revision };
  if (accept_case->stale)
    second = accept_policy (&person, "second", first.revision);
  kv_standin_set_faults (service, accept_case->faults);
  if (accept_case->heal_ms > 0)
    g_timeout_add (accept_case->heal_ms, on_heal, NULL);
  Outcome outcome = accept_policy (&person, "third", first.revision);
  kv_standin_set_faults (service, "{\"outage\":false,\"hang\":false,\"unavailable\":false,\"slow_ms\":0}");
  Outcome head = read_head (&person);
  if (outcome.code != accept_case->code || outcome.may_have_stood != accept_case->may_have_stood)
    fail_msg ("%s: code %d, may have stood %d", accept_case->name, outcome.code, outcome.may_have_stood);
  /* The claim must be the truth: in force at just that revision, or not in force. */
  if (outcome.code == NONE && (head.revision != outcome.revision || strcmp (head.other_author, "third") != 0))
    fail_msg ("%s: accepted at %d, head at %d", accept_case->name, (int)outcome.revision, (int)head.revision);
  if (outcome.code == QUINCE_OPERATOR_ERROR_UNREACHABLE && head.revision != first.revision)
    fail_msg ("%s: said not written, head at %d", accept_case->name, (int)head.revision);
  if (outcome.code == QUINCE_OPERATOR_ERROR_CONFLICT)
    {
      assert_int_equal (outcome.other_revision, second.revision);
      assert_string_equal (outcome.other_author, "second");
    }
  operator_free (&person);
}

static void
test_accept (void **state)
{
  for (gsize i = 0; i < G_N_ELEMENTS (accept_cases); i++)
    check_accept (&accept_cases[i]);
}

/* ---- Two operators ---------------------------------------------------------------- */

static void
test_race (void **state)
{
  static const char *const faults[]
      = { "{}", "{\"lose_answer_next\":1}", "{\"lose_answer_next\":2}", "{\"lose_request_next\":1}",
          "{\"lose_answer_next\":1,\"lose_request_next\":1}" };
  kv_standin_reset (service);
  Operator anna = operator_new ();
  Operator bela = operator_new ();
  guint64 expected = 0;
  for (guint round = 0; round < 4 * G_N_ELEMENTS (faults); round++)
    {
      Outcome outcomes[2] = { 0 };
      kv_standin_set_faults (service, faults[round % G_N_ELEMENTS (faults)]);
      start_accept (&anna, "anna", expected, &outcomes[0]);
      start_accept (&bela, "bela", expected, &outcomes[1]);
      WAIT_FOR (outcomes[0].calls > 0 && outcomes[1].calls > 0);
      guint winner = outcomes[0].code == NONE ? 0 : 1;
      const Outcome *loser = &outcomes[1 - winner];
      assert_int_equal (outcomes[winner].code, NONE);
      assert_int_equal (loser->code, QUINCE_OPERATOR_ERROR_CONFLICT);
      assert_int_equal (loser->other_revision, outcomes[winner].revision);
      assert_string_equal (loser->other_author, winner == 0 ? "anna" : "bela");
      assert_true (outcomes[winner].revision > expected);
      expected = outcomes[winner].revision;
    }
  operator_free (&anna);
  operator_free (&bela);
}

/* ---- Rate limit --------------------------------------------------------------------- */

static void
test_rate_limit (void **state)
{
  KvStandin *unlimited = service;
  service = kv_standin_start (2);
  Operator person = operator_new ();
  Outcome outcome = { 0 };
  for (guint i = 0; i < 3; i++)
    {
      Outcome next = accept_policy (&person, "anna", outcome.revision);
      assert_int_equal (next.code, NONE);
      outcome = next;
    }
  operator_free (&person);
  kv_standin_stop (service);
  service = unlimited;
}

/* ---- Events, drains, voters ----------------------------------------------------------- */

#define RUN(outcome, call)                                                                                   \
  G_STMT_START                                                                                               \
  {                                                                                                          \
    outcome = (Outcome){ 0 };                                                                                \
    call;                                                                                                    \
    WAIT_FOR (outcome.calls > 0);                                                                            \
  }                                                                                                          \
  G_STMT_END

static void
check_events_and_drains (Operator *person, const char *faults)
{
  QuinceOperatorEvent event = { "shift", "", 1000, 500, 10, 0 };
  Outcome outcome;
  kv_standin_reset (service);
  kv_standin_set_faults (service, faults);
  RUN (outcome, quince_operator_store_create_event (person->store, &event, on_done, &outcome));
  assert_int_equal (outcome.code, NONE);
  event.duration_ms = 600;
  RUN (outcome, quince_operator_store_create_event (person->store, &event, on_done, &outcome));
  assert_int_equal (outcome.code, QUINCE_OPERATOR_ERROR_CONFLICT);
  kv_standin_set_faults (service, faults);
  RUN (outcome, quince_operator_store_list_events (person->store, on_list, &outcome));
  assert_int_equal (outcome.length, 1);
  RUN (outcome, quince_operator_store_delete_event (person->store, "shift", on_done, &outcome));
  assert_int_equal (outcome.code, NONE);
  RUN (outcome, quince_operator_store_delete_event (person->store, "shift", on_done, &outcome));
  assert_int_equal (outcome.code, QUINCE_OPERATOR_ERROR_NOT_FOUND);
  kv_standin_set_faults (service, faults);
  for (guint i = 0; i < 2; i++)
    {
      RUN (outcome, quince_operator_store_set_drain (person->store, "e1", "anna", on_done, &outcome));
      assert_int_equal (outcome.code, NONE);
    }
  RUN (outcome, quince_operator_store_list_drains (person->store, on_list, &outcome));
  assert_int_equal (outcome.length, 1);
  kv_standin_set_faults (service, faults);
  RUN (outcome, quince_operator_store_clear_drain (person->store, "e1", on_done, &outcome));
  assert_int_equal (outcome.code, NONE);
  RUN (outcome, quince_operator_store_list_drains (person->store, on_list, &outcome));
  assert_int_equal (outcome.length, 0);
}

static void
test_events_and_drains (void **state)
{
  Operator person = operator_new ();
  check_events_and_drains (&person, "{}");
  check_events_and_drains (&person, "{\"lose_answer_next\":1}");
  check_events_and_drains (&person, "{\"lose_request_next\":1}");
  operator_free (&person);
}

static void
test_invalid_arguments (void **state)
{
  Operator person = operator_new ();
  Outcome outcome;
  QuinceOperatorEvent event = { "a/b", "", 1000, 500, 0, 0 };
  QuinceReplicaSet nobody = { 0 };
  RUN (outcome, quince_operator_store_create_event (person.store, &event, on_done, &outcome));
  assert_int_equal (outcome.code, QUINCE_OPERATOR_ERROR_INVALID);
  RUN (outcome, quince_operator_store_set_drain (person.store, "", "anna", on_done, &outcome));
  assert_int_equal (outcome.code, QUINCE_OPERATOR_ERROR_INVALID);
  RUN (outcome, quince_operator_store_create_voters (person.store, &nobody, on_voters, &outcome));
  assert_int_equal (outcome.code, QUINCE_OPERATOR_ERROR_INVALID);
  operator_free (&person);
}

/* Two nodes propose first voters at once: both end with the same set. */
static void
test_voters (void **state)
{
  kv_standin_reset (service);
  kv_standin_set_faults (service, "{\"lose_answer_next\":1}");
  Operator nodes[2] = { operator_new (), operator_new () };
  Outcome outcomes[2] = { 0 };
  for (guint i = 0; i < 2; i++)
    {
      QuinceReplica replica = { 18446744073709551000U + i, "n", "z", "127.0.0.1:1" };
      QuinceReplicaSet voters = { { 1, &replica } };
      quince_operator_store_create_voters (nodes[i].store, &voters, on_voters, &outcomes[i]);
    }
  WAIT_FOR (outcomes[0].calls > 0 && outcomes[1].calls > 0);
  assert_int_equal (outcomes[0].code, NONE);
  assert_int_equal (outcomes[1].code, NONE);
  assert_true (outcomes[0].replica_id == outcomes[1].replica_id);
  assert_true (outcomes[0].replica_id >= 18446744073709551000U);
  operator_free (&nodes[0]);
  operator_free (&nodes[1]);
}

/* ---- Parsing --------------------------------------------------------------------------- */

static void
test_bad_items (void **state)
{
  static const char *const values[]
      = { "",
          "x",
          "[]",
          "{}",
          "{\"proposal\":\"p\",\"hash\":\"00\",\"text\":\"a\"}",
          "{\"proposal\":1,\"hash\":\"00\",\"text\":\"a\"}",
          "{\"name\":\"a\",\"start_ms\":-5,\"duration_ms\":1}",
          "{\"name\":\"a\",\"start_ms\":5,\"duration_ms\":\"1\"}",
          "{\"name\":\"a b\",\"start_ms\":5,\"duration_ms\":1}",
          "{\"voters\":[]}",
          "{\"voters\":[3]}",
          "{\"voters\":[{\"replica_id\":\"0\"}]}",
          "{\"voters\":[{\"replica_id\":\"1\",\"node\":\"n\",\"zone\":\"z\"}]}" };
  for (gsize i = 0; i < G_N_ELEMENTS (values); i++)
    {
      QuinceKvItem item = { "/quince/x", (char *)values[i], strlen (values[i]), 1, 1 };
      g_autoptr (GError) errors = NULL;
      assert_null (quince_policy_head_parse (&item, NULL));
      assert_null (quince_operator_event_parse (&item, NULL));
      assert_null (quince_operator_voters_parse (&item, NULL));
      assert_null (quince_operator_drain_parse (&item, &errors));
      assert_int_equal (errors->code, QUINCE_OPERATOR_ERROR_INVALID);
    }
}

static int
start_service (void **state)
{
  service = kv_standin_start (0);
  return 0;
}

static int
stop_service (void **state)
{
  kv_standin_stop (service);
  return 0;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_accept),
    cmocka_unit_test (test_race),
    cmocka_unit_test (test_rate_limit),
    cmocka_unit_test (test_events_and_drains),
    cmocka_unit_test (test_invalid_arguments),
    cmocka_unit_test (test_voters),
    cmocka_unit_test (test_bad_items),
  };
  g_log_set_always_fatal (G_LOG_LEVEL_CRITICAL | G_LOG_FATAL_MASK);
  return cmocka_run_group_tests (tests, start_service, stop_service);
}
