/*
 * test-node-policy.c: which policy is in force on a node, when it is not
 * ready, and its planned stop.
 */
#include "node-fixture.h"

/* ---- Policies -------------------------------------------------------- */

/* Puts a program under the head's key as an accept does. */
static void
accept_policy (Deployment *deployment, const char *text)
{
  g_autofree char *hash = quince_hash_text (text, strlen (text));
  g_autofree char *head = g_strdup_printf ("{\"proposal\":\"p1\",\"hash\":\"%s\",\"text\":\"%s\","
                                           "\"author\":\"operator-1\",\"comment\":\"\"}",
                                           hash, text);
  put_key (deployment, "/quince/policy/head", head);
}

static gint64
get_revision (Deployment *deployment, const char *address)
{
  return status_number (deployment, address, "policy", "revision");
}

typedef struct
{
  const char *name;
  const char *text;
  QuinceVerdictKind verdict;
  QuinceRefusal refusal; /* with a refusal                           */
  const char *failures;  /* counter that must have grown; %NULL: none */
} PolicyCase;

static const PolicyCase policy_cases[] = {
  { "refuses", "function admit(request) return { refuse = true } end", QUINCE_VERDICT_REFUSED,
    QUINCE_REFUSAL_POLICY, NULL },
  { "fails at run time", "function admit(request) error('no') end", QUINCE_VERDICT_GRANTED, 0,
    "runtime_failures" },
  { "does not compile", "function admit(", QUINCE_VERDICT_GRANTED, 0, "compile_failures" },
};

static void
test_accepted_policy_comes_into_force (void **state)
{
  Deployment *deployment = *state;
  Client client;
  client_open (&client, deployment->node_address, QUINCE_PROTOCOL_VERSION);
  WAIT_UNTIL (client.status != NULL && client.status->ready && engine_is (deployment, TRUE, NULL));
  for (guint i = 0; i < G_N_ELEMENTS (policy_cases); i++)
    {
      const PolicyCase *policy = &policy_cases[i];
      guint64 before = client.status->policy_revision;
      accept_policy (deployment, policy->text);
      WAIT_UNTIL (client.status->policy_revision > before);
      QuinceRequestId id;
      quince_request_id_generate (id, quince_wall_ms ());
      const QuinceVerdict *verdict = client_ask (&client, id);
      if (verdict->kind != policy->verdict
          || (verdict->kind == QUINCE_VERDICT_REFUSED
              && verdict->QuinceVerdict_u.refused.reason != policy->refusal))
        fail_msg ("%s: another verdict", policy->name);
      assert_int_equal (client.reply->policy_revision, client.status->policy_revision);
      if (policy->failures != NULL
          && status_number (deployment, deployment->node_http, "policy", policy->failures) == 0)
        fail_msg ("%s: not counted", policy->name);
    }
  client_close (&client);
}

/* The key-value service is down: the second node asks its peer. */
static void
test_fresh_node_learns_the_policy_from_a_peer (void **state)
{
  Deployment *deployment = *state;
  accept_policy (deployment, "function admit(request) return { priority = 1 } end");
  WAIT_UNTIL (get_revision (deployment, deployment->node_http) > 0);
  assert_int_equal (http (deployment->session, deployment->kv_control, "/_faults", "{\"outage\":true}", NULL),
                    200);
  start_second_node (deployment);
  WAIT_UNTIL (http (deployment->session, deployment->second_http, "/readyz", NULL, NULL) == 200);
  assert_int_equal (get_revision (deployment, deployment->second_http),
                    get_revision (deployment, deployment->node_http));
}

static void
test_fresh_start_without_kv_is_not_ready (void **state)
{
  Deployment *deployment = *state;
  stop_node (deployment, SIGKILL);
  assert_int_equal (http (deployment->session, deployment->kv_control, "/_faults", "{\"outage\":true}", NULL),
                    200);
  start_node (deployment);
  WAIT_UNTIL (engine_is (deployment, TRUE, NULL));
  assert_int_equal (http (deployment->session, deployment->node_http, "/readyz", NULL, NULL), 503);
  assert_int_equal (http (deployment->session, deployment->node_http, "/healthz", NULL, NULL), 200);
  Client client;
  QuinceRequestId id;
  quince_request_id_generate (id, quince_wall_ms ());
  client_open (&client, deployment->node_address, QUINCE_PROTOCOL_VERSION);
  const QuinceVerdict *verdict = client_ask (&client, id);
  assert_int_equal (verdict->kind, QUINCE_VERDICT_REFUSED);
  assert_int_equal (verdict->QuinceVerdict_u.refused.reason, QUINCE_REFUSAL_NOT_READY);
  client_close (&client);
  assert_int_equal (
      http (deployment->session, deployment->kv_control, "/_faults", "{\"outage\":false}", NULL), 200);
  WAIT_UNTIL (is_ready (deployment));
}

/* ---- Planned stop ---------------------------------------------------- */

static void
test_planned_stop (void **state)
{
  Deployment *deployment = *state;
  Client client;
  client_open (&client, deployment->node_address, QUINCE_PROTOCOL_VERSION);
  WAIT_UNTIL (client.status != NULL && client.status->ready);
  g_subprocess_send_signal (deployment->node->process, SIGTERM);
  WAIT_UNTIL (client.status->stopping);
  QuinceRequestId id;
  quince_request_id_generate (id, quince_wall_ms ());
  const QuinceVerdict *verdict = client_ask (&client, id);
  assert_int_equal (verdict->kind, QUINCE_VERDICT_REFUSED);
  assert_int_equal (verdict->QuinceVerdict_u.refused.reason, QUINCE_REFUSAL_STOPPING);
  WAIT_UNTIL (client.closed);
  client_close (&client);
  assert_int_equal (stop_node (deployment, 0), 0);
  start_node (deployment);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_accepted_policy_comes_into_force, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_fresh_start_without_kv_is_not_ready, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_fresh_node_learns_the_policy_from_a_peer, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_planned_stop, set_up, tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
