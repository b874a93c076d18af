/*
 * test-node.c: the daemon quinceroute-node against its contracts: link
 * protocol, grants, signs of a leaving engine.
 */
#include "node-fixture.h"

/* ---- Cases: link protocol -------------------------------------------- */

typedef struct
{
  const char *name;
  const char *counter;    /* in the status' links                              */
  guint protocol_version; /* of a HELLO sent first; 0: none                 */
  const char *bytes;      /* then these                                        */
  gsize length;
} FrameCase;

static const FrameCase frame_cases[] = {
  { "malformed frame", "malformed", 0, "\0\0\0\4\0\0\0\x63", 8 },
  { "oversized frame", "too_large", 0, "\x7f\xff\xff\xff", 4 },
  { "wrong protocol version", "wrong_version", QUINCE_PROTOCOL_VERSION + 1, "", 0 },
  { "no HELLO first", "unexpected", 0, "\0\0\0\x0c\0\0\0\x09\0\0\0\0\0\0\0\0", 16 },
};

/* Sends raw bytes; returns once the node has closed the connection. */
static void
send_raw (const char *address, const char *bytes, gsize length)
{
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_socket_client_set_timeout (client, WAIT_SECONDS);
  g_autoptr (GSocketAddress) target = quince_address_parse (address, NULL);
  g_autoptr (GSocketConnection) connection
      = g_socket_client_connect (client, G_SOCKET_CONNECTABLE (target), NULL, NULL);
  assert_non_null (connection);
  GOutputStream *output = g_io_stream_get_output_stream (G_IO_STREAM (connection));
  assert_true (g_output_stream_write_all (output, bytes, length, NULL, NULL, NULL));
  char rest[64];
  g_autoptr (GError) error = NULL;
  gssize got = g_input_stream_read (g_io_stream_get_input_stream (G_IO_STREAM (connection)), rest,
                                    sizeof rest, NULL, &error);
  if (got > 0 || g_error_matches (error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT))
    fail_msg ("the node kept the connection");
}

static void
test_bad_frames_close_only_their_link (void **state)
{
  Deployment *deployment = *state;
  Client good;
  client_open (&good, deployment->node_address, QUINCE_PROTOCOL_VERSION);
  WAIT_UNTIL (good.status != NULL);
  for (guint i = 0; i < G_N_ELEMENTS (frame_cases); i++)
    {
      const FrameCase *frame = &frame_cases[i];
      gint64 before = status_number (deployment, deployment->node_http, "links", frame->counter);
      if (frame->protocol_version != 0)
        {
          Client bad;
          client_open (&bad, deployment->node_address, frame->protocol_version);
          WAIT_UNTIL (bad.closed);
          client_close (&bad);
        }
      else
        send_raw (deployment->node_address, frame->bytes, frame->length);
      if (status_number (deployment, deployment->node_http, "links", frame->counter) != before + 1)
        fail_msg ("%s: not counted", frame->name);
    }
  assert_false (good.closed);
  client_close (&good);
}

/* An address may have belonged to a machine of another deployment. */
static void
test_other_deployment_is_refused (void **state)
{
  Deployment *deployment = *state;
  Client stranger;
  gint64 before = status_number (deployment, deployment->node_http, "links", "wrong_deployment");
  client_open_as (&stranger, deployment->node_address, QUINCE_PROTOCOL_VERSION, 7);
  WAIT_UNTIL (stranger.closed);
  assert_null (stranger.status);
  client_close (&stranger);
  assert_int_equal (status_number (deployment, deployment->node_http, "links", "wrong_deployment"),
                    before + 1);
}

/* ---- Cases: grants --------------------------------------------------- */

static void
test_grant_and_repeat (void **state)
{
  Deployment *deployment = *state;
  QuinceRequestId id;
  quince_request_id_generate (id, quince_wall_ms ());
  Client client;
  WAIT_UNTIL (is_ready (deployment));
  WAIT_UNTIL (engine_is (deployment, TRUE, NULL));
  client_open (&client, deployment->node_address, QUINCE_PROTOCOL_VERSION);
  const QuinceVerdict *verdict = client_ask (&client, id);
  assert_int_equal (verdict->kind, QUINCE_VERDICT_GRANTED);
  assert_string_equal (verdict->QuinceVerdict_u.grant.engine, "e1");
  assert_string_equal (verdict->QuinceVerdict_u.grant.engine_address, deployment->engine_http);
  guint64 grant_id = verdict->QuinceVerdict_u.grant.grant_id;
  verdict = client_ask (&client, id);
  assert_int_equal (verdict->kind, QUINCE_VERDICT_GRANTED);
  assert_int_equal (verdict->QuinceVerdict_u.grant.grant_id, grant_id);
  client_end (&client, grant_id);
  client_close (&client);
}

/* ---- Cases: signs of a leaving engine -------------------------------- */

static void
leave_by_own_word (Deployment *deployment)
{
  assert_int_equal (
      http (deployment->session, deployment->engine_http, "/_faults", "{\"leaving\":true}", NULL), 200);
}

static void
leave_by_operator (Deployment *deployment)
{
  put_key (deployment, "/quince/drain/e1", "{\"engine\":\"e1\",\"by\":\"operator-1\"}");
}

static void
leave_by_machine_list (Deployment *deployment)
{
  list_machine (deployment, "leaving");
}

static void
no_gossip_wanted (QuinceGossip *gossip, const char *from, gpointer user_data)
{
  quince_gossip_free (gossip);
}

/* Another node whose digest says that the engine leaves. */
static void
leave_by_peer (Deployment *deployment)
{
  QuinceDatagrams *datagrams = quince_datagrams_new ("127.0.0.1:0", no_gossip_wanted, NULL, NULL);
  assert_non_null (datagrams);
  QuinceEngineDigest engine = { .engine = (char *)"e1", .sequence = 1, .leaving = TRUE };
  QuinceGossip gossip = { .kind = QUINCE_GOSSIP_PING, .sequence = 1 };
  QuinceMember member = { .name = (char *)"n2", .zone = (char *)"z1", .address = (char *)"127.0.0.1:9" };
  QuinceNodeDigest digest = { .node = (char *)"n2", .incarnation = 1 };
  member.gossip_address = (char *)quince_datagrams_get_address (datagrams);
  member.incarnation = 1;
  digest.engines.engines_len = 1;
  digest.engines.engines_val = &engine;
  gossip.from = (char *)"n2";
  gossip.target = (char *)"n1";
  gossip.target_address = (char *)"";
  gossip.updates.updates_len = 1;
  gossip.updates.updates_val = &member;
  gossip.digests.digests_len = 1;
  gossip.digests.digests_val = &digest;
  quince_datagrams_send (datagrams, deployment->node_gossip, &gossip);
  WAIT_UNTIL (engine_is (deployment, FALSE, "peer"));
  quince_datagrams_free (datagrams);
}

typedef struct
{
  const char *sign; /* as the status names it */
  void (*leave) (Deployment *deployment);
} LeavingCase;

static const LeavingCase leaving_cases[] = {
  { "engine", leave_by_own_word },
  { "operator", leave_by_operator },
  { "machine_list", leave_by_machine_list },
  { "peer", leave_by_peer },
};

static void
test_leaving_engine_gets_no_work (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (leaving_cases); i++)
    {
      void *fresh = NULL;
      set_up (&fresh);
      Deployment *deployment = fresh;
      WAIT_UNTIL (is_ready (deployment));
      WAIT_UNTIL (engine_is (deployment, TRUE, NULL));
      leaving_cases[i].leave (deployment);
      WAIT_UNTIL (engine_is (deployment, FALSE, leaving_cases[i].sign));
      Client client;
      QuinceRequestId id;
      quince_request_id_generate (id, quince_wall_ms ());
      client_open (&client, deployment->node_address, QUINCE_PROTOCOL_VERSION);
      const QuinceVerdict *verdict = client_ask (&client, id);
      if (verdict->kind != QUINCE_VERDICT_REFUSED
          || verdict->QuinceVerdict_u.refused.reason != QUINCE_REFUSAL_NO_ENGINE)
        fail_msg ("%s: the engine got work", leaving_cases[i].sign);
      client_close (&client);
      tear_down (&fresh);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_bad_frames_close_only_their_link, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_other_deployment_is_refused, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_grant_and_repeat, set_up, tear_down),
    cmocka_unit_test (test_leaving_engine_gets_no_work),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
