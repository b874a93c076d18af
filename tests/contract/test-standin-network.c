/*
 * test-standin-network.c: contracts of the fault-injecting proxy, and of the
 * trainer stand-in against an agent that the test plays.
 */
#include "standin-fixture.h"

#include <stdlib.h>
#include <unistd.h>

#include <quince/http.h>
#include <quince/request-id.h>

/* ---- Proxy ---- */

static const struct
{
  const char *name;
  const char *faults;
  gboolean passes;
  const char *counted; /* in the records afterwards */
} proxy_cases[] = {
  { "none", "{}", TRUE, "\"cut\":0" },
  { "delay", "{\"delay_ms\":20}", TRUE, "\"cut\":0" },
  { "cut", "{\"cut\":true}", FALSE, "\"connections\":0" },
  { "cut after bytes", "{\"cut_after_bytes\":150}", FALSE, "\"cut\":1" },
  { "cut later", "{\"cut_after_bytes\":100000}", TRUE, "\"cut\":0" },
  { "drop up", "{\"drop\":\"up\"}", FALSE, "\"bytes_up\":0" },
  { "drop down", "{\"drop\":\"down\"}", FALSE, "\"bytes_down\":0" },
  { "freeze", "{\"freeze\":true}", FALSE, "\"bytes_up\":0" },
};

static void
tcp_routes_meet_faults (void **state)
{
  Standin *upstream = STANDIN_START ("scorer");
  g_autofree char *flag = g_strdup_printf ("127.0.0.1:0=%s", upstream->http);
  Standin *proxy = STANDIN_START ("proxy", "--route", flag);
  g_autofree char *routes = find_value (proxy->ready, "routes=");
  g_autofree char *address = g_strndup (routes, strcspn (routes, "="));
  for (guint i = 0; i < G_N_ELEMENTS (proxy_cases); i++)
    {
      reset (proxy);
      g_auto (Answer) set = call (proxy->http, "/routes/0/faults", proxy_cases[i].faults);
      assert_int_equal (set.status, 200);
      guint seconds = proxy_cases[i].passes ? WAIT_SECONDS : SILENCE_SECONDS;
      g_auto (Answer) answer = call_for (address, "/score", "{\"sample_id\":\"a\",\"text\":\"b\"}", seconds);
      if ((answer.status == 200) != proxy_cases[i].passes)
        fail_msg ("%s: %u", proxy_cases[i].name, answer.status);
      g_autofree char *records = get_records (proxy);
      assert_contains (records, proxy_cases[i].counted, proxy_cases[i].name);
    }
  standin_stop (proxy);
  standin_stop (upstream);
}

/* One sender alone is cut off; the connections it has are held, not closed. */
static void
blocked_senders_are_held (void **state)
{
  Standin *upstream = STANDIN_START ("scorer");
  g_autofree char *flag = g_strdup_printf ("127.0.0.1:0=%s", upstream->http);
  Standin *proxy = STANDIN_START ("proxy", "--route", flag);
  g_autofree char *routes = find_value (proxy->ready, "routes=");
  g_autofree char *address = g_strndup (routes, strcspn (routes, "="));
  g_autofree char *self = g_strdup_printf ("{\"processes\":[1,%d]}", (int)getpid ());
  const struct
  {
    const char *body;
    guint status;
    gboolean passes;
  } cases[] = { { self, 200, FALSE },
                { "{\"processes\":[1]}", 200, TRUE },
                { self, 200, FALSE },
                { "{\"processes\":1}", 400, FALSE },
                { "{\"processes\":[]}", 200, TRUE } };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_auto (Answer) set = call (proxy->http, "/routes/0/blocked", cases[i].body);
      assert_int_equal (set.status, cases[i].status);
      guint seconds = cases[i].passes ? WAIT_SECONDS : SILENCE_SECONDS;
      g_auto (Answer) answer = call_for (address, "/score", "{\"sample_id\":\"a\",\"text\":\"b\"}", seconds);
      if ((answer.status == 200) != cases[i].passes)
        fail_msg ("case %u: %u", i, answer.status);
    }
  assert_true (records_contain (proxy, "\"cut\":0"));
  standin_stop (proxy);
  standin_stop (upstream);
}

static void
open_connections_meet_faults (void **state)
{
  static const char *const faults[] = { "{\"cut\":true}", "{\"half_close\":\"down\"}" };
  Standin *upstream = STANDIN_START ("scorer");
  for (guint i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      Standin *proxy = STANDIN_START ("proxy", "--upstream", upstream->http);
      g_autofree char *routes = find_value (proxy->ready, "routes=");
      g_autofree char *address = g_strndup (routes, strcspn (routes, "="));
      set_faults (upstream, "{\"hang\":true}");
      Pending *pending = call_start (address, "/score", "{\"sample_id\":\"a\",\"text\":\"b\"}");
      WAIT_UNTIL (!records_contain (proxy, "\"bytes_up\":0"));
      set_faults (proxy, faults[i]);
      g_auto (Answer) answer = call_finish (pending);
      assert_int_equal (answer.status, 0);
      reset (upstream);
      standin_stop (proxy);
    }
  standin_stop (upstream);
}

static void
frozen_bytes_arrive_later (void **state)
{
  Standin *upstream = STANDIN_START ("scorer");
  Standin *proxy = STANDIN_START ("proxy", "--upstream", upstream->http);
  g_autofree char *routes = find_value (proxy->ready, "routes=");
  g_autofree char *address = g_strndup (routes, strcspn (routes, "="));
  set_faults (proxy, "{\"freeze\":true}");
  Pending *pending = call_start (address, "/score", "{\"sample_id\":\"a\",\"text\":\"b\"}");
  WAIT_UNTIL (records_contain (proxy, "\"connections\":1"));
  assert_true (records_contain (upstream, "\"scored\":0"));
  set_faults (proxy, "{\"freeze\":false}");
  g_auto (Answer) answer = call_finish (pending);
  assert_int_equal (answer.status, 200);
  standin_stop (proxy);
  standin_stop (upstream);
}

/* A loopback datagram socket; @address: (out) (transfer full) */
static GSocket *
new_datagram_socket (char **address)
{
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, NULL);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  assert_true (g_socket_bind (socket, any, FALSE, NULL));
  g_autoptr (GSocketAddress) bound = g_socket_get_local_address (socket, NULL);
  *address = g_socket_connectable_to_string (G_SOCKET_CONNECTABLE (bound));
  g_socket_set_timeout (socket, WAIT_SECONDS);
  return socket;
}

static void
udp_routes_pass_delay_and_lose (void **state)
{
  g_autofree char *upstream_address = NULL;
  g_autofree char *client_address = NULL;
  g_autoptr (GSocket) upstream = new_datagram_socket (&upstream_address);
  g_autoptr (GSocket) client = new_datagram_socket (&client_address);
  Standin *proxy = STANDIN_START ("proxy");
  g_autofree char *body = g_strdup_printf ("{\"kind\":\"udp\",\"upstream\":\"%s\"}", upstream_address);
  g_auto (Answer) route = call (proxy->http, "/routes", body);
  assert_int_equal (route.status, 200);
  g_autofree char *listen = find_value (route.text, "\"listen\":\"127.0.0.1:");
  g_autoptr (GSocketAddress) to = g_inet_socket_address_new_from_string ("127.0.0.1", (guint)atoi (listen));
  char buffer[16] = { 0 };
  set_faults (proxy, "{\"loss_percent\":100}");
  g_socket_send_to (client, to, "lost", 4, NULL, NULL);
  WAIT_UNTIL (records_contain (proxy, "\"dropped\":1"));
  set_faults (proxy, "{\"loss_percent\":0,\"delay_ms\":20}");
  g_socket_send_to (client, to, "ping", 4, NULL, NULL);
  g_autoptr (GSocketAddress) from = NULL;
  assert_int_equal (g_socket_receive_from (upstream, &from, buffer, sizeof buffer, NULL, NULL), 4);
  assert_memory_equal (buffer, "ping", 4);
  g_socket_send_to (upstream, from, "pong", 4, NULL, NULL);
  assert_int_equal (g_socket_receive (client, buffer, sizeof buffer, NULL, NULL), 4);
  assert_memory_equal (buffer, "pong", 4);
  standin_stop (proxy);
}

/* Also what a client that is known already sends. */
static void
udp_routes_move (void **state)
{
  g_autofree char *old_address = NULL;
  g_autofree char *new_address = NULL;
  g_autofree char *client_address = NULL;
  g_autoptr (GSocket) old_upstream = new_datagram_socket (&old_address);
  g_autoptr (GSocket) new_upstream = new_datagram_socket (&new_address);
  g_autoptr (GSocket) client = new_datagram_socket (&client_address);
  Standin *proxy = STANDIN_START ("proxy");
  g_autofree char *body = g_strdup_printf ("{\"kind\":\"udp\",\"upstream\":\"%s\"}", old_address);
  g_auto (Answer) route = call (proxy->http, "/routes", body);
  assert_int_equal (route.status, 200);
  g_autofree char *listen = find_value (route.text, "\"listen\":\"127.0.0.1:");
  g_autoptr (GSocketAddress) to = g_inet_socket_address_new_from_string ("127.0.0.1", (guint)atoi (listen));
  char buffer[16] = { 0 };
  g_socket_send_to (client, to, "one", 3, NULL, NULL);
  assert_int_equal (g_socket_receive (old_upstream, buffer, sizeof buffer, NULL, NULL), 3);
  g_autofree char *move = g_strdup_printf ("{\"upstream\":\"%s\"}", new_address);
  g_auto (Answer) moved = call (proxy->http, "/routes/0/upstream", move);
  assert_int_equal (moved.status, 200);
  g_socket_send_to (client, to, "four", 4, NULL, NULL);
  assert_int_equal (g_socket_receive (new_upstream, buffer, sizeof buffer, NULL, NULL), 4);
  assert_memory_equal (buffer, "four", 4);
  standin_stop (proxy);
}

static void
bad_routes_are_refused (void **state)
{
  static const char *const bodies[]
      = { "{}", "{\"upstream\":\"nowhere\"}", "{\"upstream\":\"127.0.0.1:1\",\"listen\":7}", "[" };
  Standin *proxy = STANDIN_START ("proxy");
  for (guint i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      g_auto (Answer) answer = call (proxy->http, "/routes", bodies[i]);
      assert_int_equal (answer.status, 400);
    }
  standin_stop (proxy);
}

/* ---- Trainer ---- */

typedef enum
{
  AGENT_WORKS,
  AGENT_LOSES_SAMPLE,
  AGENT_REPEATS_SAMPLE,
  AGENT_MIXES_TEXTS,
  AGENT_LEAVES_GAP,
  AGENT_DELIVERS_STALE,
  AGENT_FAILS_FIRST, /* the first calls get 503         */
  AGENT_CUTS_FIRST,  /* the first calls get no answer   */
  AGENT_CONFLICTS,   /* rollouts are refused with 409   */
} AgentFault;

/* The agent that the test plays. */
static struct
{
  AgentFault fault;
  guint calls;
  guint releases;
  GHashTable *rollouts; /* step -> JsonNode */
} agent;

static void
append_sample (GString *out, JsonObject *sample, guint number, guint64 version)
{
  const char *prompt = json_object_get_string_member (sample, "prompt");
  guint tokens = (guint)json_object_get_int_member (sample, "max_tokens");
  guint64 hash = quince_hash64 (prompt, strlen (prompt), 0);
  if (agent.fault == AGENT_MIXES_TEXTS && number == 0)
    hash = ~hash;
  if (agent.fault == AGENT_DELIVERS_STALE && number == 0)
    version = 1;
  g_string_append_printf (out, "%s{\"sample_id\":\"%s\",\"token_count\":%u,\"text\":\"",
                          number > 0 ? "," : "", json_object_get_string_member (sample, "sample_id"), tokens);
  for (guint i = 0; i < tokens; i++)
    g_string_append_printf (out, "%08x-%u ", (guint32)(hash >> 32), i);
  guint first = agent.fault == AGENT_LEAVES_GAP && number == 0 ? 1 : 0;
  g_string_append_printf (out,
                          "\",\"segments\":[{\"engine\":\"e1\",\"weight_version\":%" G_GUINT64_FORMAT
                          ",\"first_token\":%u,\"token_count\":%u}]}",
                          version, first, tokens - first);
}

static char *
make_batch (JsonObject *pull)
{
  gint64 step = json_object_get_int_member (pull, "step");
  guint64 version = (guint64)json_object_get_int_member (pull, "version");
  JsonNode *rollout = g_hash_table_lookup (agent.rollouts, GINT_TO_POINTER (step));
  if (rollout == NULL)
    return NULL;
  JsonArray *samples = json_object_get_array_member (json_node_get_object (rollout), "samples");
  guint length = json_array_get_length (samples);
  GString *out = g_string_new (NULL);
  g_string_append_printf (out, "{\"step\":%" G_GINT64_FORMAT ",\"samples\":[", step);
  for (guint i = agent.fault == AGENT_LOSES_SAMPLE ? 1 : 0; i < length; i++)
    append_sample (out, json_array_get_object_element (samples, i), i, version);
  if (agent.fault == AGENT_REPEATS_SAMPLE)
    append_sample (out, json_array_get_object_element (samples, 0), 1, version);
  g_string_append (out, "]}");
  /* Without its first sample the list begins with a comma. */
  char *comma = strstr (out->str, "[,");
  if (comma != NULL)
    comma[1] = ' ';
  return g_string_free (out, FALSE);
}

static void
answer_pull (SoupServerMessage *message, JsonObject *pull)
{
  g_autofree char *batch = make_batch (pull);
  if (batch == NULL)
    quince_http_reply_error (message, 404, "no_such_step", "never submitted", -1, -1);
  else
    quince_http_reply_text (message, 200, "application/json", batch);
}

static void
on_agent_call (SoupServer *server,
               SoupServerMessage *message,
               const char *path,
               GHashTable *query,
               gpointer data)
{
  g_autoptr (JsonNode) body = quince_http_read_object (message);
  assert_non_null (body);
  JsonObject *object = json_node_get_object (body);
  gboolean first_calls = agent.calls++ < 3;
  if (agent.fault == AGENT_FAILS_FIRST && first_calls)
    quince_http_reply_error (message, 503, "unknown", "repeat it", -1, 10);
  else if (agent.fault == AGENT_CUTS_FIRST && first_calls)
    {
      g_autoptr (GIOStream) stream = soup_server_message_steal_connection (message);
      g_io_stream_close (stream, NULL, NULL);
    }
  else if (g_str_equal (path, "/v1/rollouts") && agent.fault == AGENT_CONFLICTS)
    quince_http_reply_error (message, 409, "conflict", "other content", -1, -1);
  else if (g_str_equal (path, "/v1/rollouts"))
    {
      gint64 step = json_object_get_int_member (object, "step");
      g_hash_table_replace (agent.rollouts, GINT_TO_POINTER (step), json_node_ref (body));
      quince_http_reply_text (message, 200, "application/json", "{\"accepted\":4}");
    }
  else if (g_str_equal (path, "/v1/trainers/t1/pull"))
    answer_pull (message, object);
  else
    {
      agent.releases++;
      quince_http_reply_text (message, 200, "application/json", "{}");
    }
}

static const struct
{
  AgentFault fault;
  int exit_status;
  const char *parts[2]; /* of the summary */
} trainer_cases[] = {
  { AGENT_WORKS, 0, { " steps_done=3 delivered=12 lost=0 duplicated=0 ", " repeats=0 " } },
  { AGENT_LOSES_SAMPLE, 1, { " lost=3 ", " result=violated" } },
  { AGENT_REPEATS_SAMPLE, 1, { " lost=0 duplicated=3 ", " result=violated" } },
  { AGENT_MIXES_TEXTS, 1, { " bad_text=3 ", " result=violated" } },
  { AGENT_LEAVES_GAP, 1, { " bad_segments=3 ", " result=violated" } },
  { AGENT_DELIVERS_STALE, 1, { " over_staleness=1 ", " result=violated" } },
  { AGENT_FAILS_FIRST, 0, { " delivered=12 lost=0 ", " repeats=3 " } },
  { AGENT_CUTS_FIRST, 0, { " delivered=12 lost=0 ", " result=clean" } },
  { AGENT_CONFLICTS, 1, { " conflicts=1 ", " result=aborted" } },
};

static void
on_summary (GObject *source, GAsyncResult *result, gpointer user_data)
{
  char **line = user_data;
  *line = g_data_input_stream_read_line_finish (G_DATA_INPUT_STREAM (source), result, NULL, NULL);
  if (*line == NULL)
    *line = g_strdup ("(no summary)");
}

static void
trainer_tells_what_it_got (void **state)
{
  g_autoptr (SoupServer) server = soup_server_new (NULL, NULL);
  g_autofree char *address = NULL;
  soup_server_add_handler (server, NULL, on_agent_call, NULL, NULL);
  assert_true (quince_http_listen (server, "127.0.0.1:0", &address, NULL));
  Standin *store = STANDIN_START ("weights");
  for (guint i = 0; i < G_N_ELEMENTS (trainer_cases); i++)
    {
      reset (store);
      agent.fault = trainer_cases[i].fault;
      agent.calls = agent.releases = 0;
      agent.rollouts = g_hash_table_new_full (NULL, NULL, NULL, (GDestroyNotify)json_node_unref);
      Standin *trainer = STANDIN_START ("trainer", "--name", "t1", "--agent", address, "--steps", "3",
                                        "--samples", "4", "--step-ms", "1", "--tail", "0.3:4", "--staleness",
                                        "1", "--publish-to", store->http);
      g_autofree char *summary = NULL;
      g_data_input_stream_read_line_async (trainer->output, G_PRIORITY_DEFAULT, NULL, on_summary, &summary);
      WAIT_UNTIL (summary != NULL);
      for (guint part = 0; part < 2; part++)
        assert_contains (summary, trainer_cases[i].parts[part], "summary");
      assert_int_equal (standin_wait (trainer), trainer_cases[i].exit_status);
      gboolean went_through = trainer_cases[i].fault != AGENT_CONFLICTS;
      assert_int_equal (agent.releases, went_through ? 1 : 0);
      assert_true (records_contain (store, went_through ? "\"latest\":4" : "\"latest\":1"));
      g_hash_table_unref (agent.rollouts);
    }
  standin_stop (store);
  soup_server_disconnect (server);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (tcp_routes_meet_faults),         cmocka_unit_test (blocked_senders_are_held),
    cmocka_unit_test (open_connections_meet_faults),   cmocka_unit_test (frozen_bytes_arrive_later),
    cmocka_unit_test (udp_routes_pass_delay_and_lose), cmocka_unit_test (udp_routes_move),
    cmocka_unit_test (bad_routes_are_refused),         cmocka_unit_test (trainer_tells_what_it_got),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
