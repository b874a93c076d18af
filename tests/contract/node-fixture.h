/*
 * node-fixture.h: a real quinceroute-node among stand-ins of its platform,
 * and a link client; for the contract tests of the node.
 */
#pragma once

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <signal.h>
#include <string.h>
#include <sys/prctl.h>

#include <cmocka.h>

#include <quince/http.h>
#include <quince/link.h>
#include <quince/request-id.h>
#include <quince/task.h>

#define WAIT_SECONDS 30
#define SERVICE "rank-lm"

/* ---- Waiting --------------------------------------------------------- */

static inline gboolean
turn (gpointer user_data)
{
  return G_SOURCE_CONTINUE;
}

/* Runs the main context until the condition holds; fails after a bounded time. */
#define WAIT_UNTIL(condition)                                                                                \
  G_STMT_START                                                                                               \
  {                                                                                                          \
    gint64 until_us = quince_now_us () + WAIT_SECONDS * G_USEC_PER_SEC;                                      \
    GSource *timer = quince_timer_add (10, turn, NULL);                                                      \
    while (!(condition) && quince_now_us () < until_us)                                                      \
      g_main_context_iteration (NULL, TRUE);                                                                 \
    quince_source_clear (&timer);                                                                            \
    if (!(condition))                                                                                        \
      fail_msg ("not reached: %s", #condition);                                                              \
  }                                                                                                          \
  G_STMT_END

/* ---- Processes ------------------------------------------------------- */

typedef struct
{
  GSubprocess *process;
  GInputStream *output; /* owned; kept open while the process runs */
  char *ready;          /* the ready line                          */
} Program;

/* A failed case leaves no process behind. */
static inline void
end_with_parent (gpointer user_data)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

static inline Program *
program_start (const char *path, const char *const *arguments)
{
  g_autofree char *binary = g_build_filename (g_getenv ("QUINCE_BUILD_DIR"), path, NULL);
  g_autoptr (GPtrArray) argv = g_ptr_array_new ();
  g_ptr_array_add (argv, binary);
  for (guint i = 0; arguments[i] != NULL; i++)
    g_ptr_array_add (argv, (gpointer)arguments[i]);
  g_ptr_array_add (argv, NULL);
  Program *program = g_new0 (Program, 1);
  g_autoptr (GSubprocessLauncher) launcher = g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_STDOUT_PIPE);
  g_subprocess_launcher_set_child_setup (launcher, end_with_parent, NULL, NULL);
  program->process = g_subprocess_launcher_spawnv (launcher, (const char *const *)argv->pdata, NULL);
  assert_non_null (program->process);
  program->output
      = G_INPUT_STREAM (g_data_input_stream_new (g_subprocess_get_stdout_pipe (program->process)));
  program->ready = g_data_input_stream_read_line (G_DATA_INPUT_STREAM (program->output), NULL, NULL, NULL);
  if (program->ready == NULL || !g_str_has_prefix (program->ready, "ready "))
    fail_msg ("%s did not become ready", path);
  return program;
}

/* @signal: 0: it stops by itself; SIGKILL: the test fails when it has ended before.
 * Returns: exit status, -1 when a signal ended it */
static inline int
program_stop (Program *program, int signal)
{
  if (signal != 0)
    g_subprocess_send_signal (program->process, signal);
  g_subprocess_wait (program->process, NULL, NULL);
  int status
      = g_subprocess_get_if_exited (program->process) ? g_subprocess_get_exit_status (program->process) : -1;
  gboolean killed = status == -1 && g_subprocess_get_term_sig (program->process) == SIGKILL;
  if (signal == SIGKILL && !killed)
    fail_msg ("ended by itself: %s", program->ready);
  g_object_unref (program->output);
  g_object_unref (program->process);
  g_free (program->ready);
  g_free (program);
  return status;
}

/* (transfer full): value of @key in the ready line */
static inline char *
ready_value (const Program *program, const char *key)
{
  g_auto (GStrv) pairs = g_strsplit (program->ready, " ", -1);
  for (guint i = 0; pairs[i] != NULL; i++)
    if (g_str_has_prefix (pairs[i], key) && pairs[i][strlen (key)] == '=')
      return g_strdup (pairs[i] + strlen (key) + 1);
  fail_msg ("no %s in the ready line", key);
  return NULL;
}

/* ---- HTTP ------------------------------------------------------------ */

typedef struct
{
  gboolean done;
  guint status;
  JsonNode *answer;
} HttpAnswer;

static inline void
http_answered (guint status, JsonNode *answer, const GError *error, gpointer user_data)
{
  HttpAnswer *call = user_data;
  call->done = TRUE;
  call->status = status;
  call->answer = answer != NULL ? json_node_ref (answer) : NULL;
}

static inline guint
http (SoupSession *session, const char *address, const char *path, const char *body, JsonNode **answer)
{
  g_autofree char *url = g_strdup_printf ("http://%s%s", address, path);
  HttpAnswer call = { 0 };
  quince_http_call (session, url, body, 5000, NULL, http_answered, &call);
  while (!call.done)
    g_main_context_iteration (NULL, TRUE);
  if (answer != NULL)
    *answer = g_steal_pointer (&call.answer);
  g_clear_pointer (&call.answer, json_node_unref);
  return call.status;
}

/* ---- A deployment of one node ---------------------------------------- */

typedef struct
{
  SoupSession *session;
  Program *kv;
  Program *machines;
  Program *engine;
  Program *node;
  Program *second; /* another node; %NULL unless the case starts it */
  char *kv_http;
  char *kv_control;
  char *machines_http;
  char *engine_http;
  char *node_http;
  char *second_http;
  char *node_address;
  char *node_gossip;
} Deployment;

static inline void
put_key (Deployment *deployment, const char *key, const char *value)
{
  g_autofree char *key64 = g_base64_encode ((const guchar *)key, strlen (key));
  g_autofree char *value64 = g_base64_encode ((const guchar *)value, strlen (value));
  g_autofree char *body = g_strdup_printf ("{\"key\":\"%s\",\"value\":\"%s\"}", key64, value64);
  assert_int_equal (http (deployment->session, deployment->kv_http, "/v3/kv/put", body, NULL), 200);
}

static inline void
list_machine (Deployment *deployment, const char *state)
{
  g_autofree char *body
      = g_strdup_printf ("{\"machines\":[{\"name\":\"e1\",\"kind\":\"engine\",\"service\":\"" SERVICE "\","
                         "\"zone\":\"z1\",\"address\":\"%s\",\"state\":\"%s\"}]}",
                         deployment->engine_http, state);
  assert_int_equal (http (deployment->session, deployment->machines_http, "/machines", body, NULL), 200);
}

/* @more: (nullable) (array zero-terminated=1): further settings */
static inline Program *
start_node_named (Deployment *deployment, const char *name, const char *seeds, const char *const *more)
{
  g_autofree char *name_setting = g_strdup_printf ("node.name=%s", name);
  g_autofree char *seeds_setting = g_strdup_printf ("node.seeds=%s", seeds);
  g_autofree char *kv = g_strdup_printf ("platform.kv=%s", deployment->kv_http);
  g_autofree char *machines = g_strdup_printf ("platform.machines=%s", deployment->machines_http);
  const char *const settings[] = { name_setting,
                                   seeds_setting,
                                   kv,
                                   machines,
                                   "node.zone=z1",
                                   "node.listen=127.0.0.1:0",
                                   "node.gossip=127.0.0.1:0",
                                   "node.http=127.0.0.1:0",
                                   "engines.load_interval=50ms",
                                   "engines.list_interval=50ms",
                                   "log.level=error" };
  g_autoptr (GPtrArray) arguments = g_ptr_array_new ();
  for (guint i = 0; i < G_N_ELEMENTS (settings); i++)
    {
      g_ptr_array_add (arguments, (gpointer) "--set");
      g_ptr_array_add (arguments, (gpointer)settings[i]);
    }
  for (guint i = 0; more != NULL && more[i] != NULL; i++)
    {
      g_ptr_array_add (arguments, (gpointer) "--set");
      g_ptr_array_add (arguments, (gpointer)more[i]);
    }
  g_ptr_array_add (arguments, NULL);
  return program_start ("daemons/quinceroute-node", (const char *const *)arguments->pdata);
}

static inline void
start_node (Deployment *deployment)
{
  deployment->node = start_node_named (deployment, "n1", "", NULL);
  deployment->node_http = ready_value (deployment->node, "http");
  deployment->node_address = ready_value (deployment->node, "address");
  deployment->node_gossip = ready_value (deployment->node, "gossip");
}

static inline void
start_second_node (Deployment *deployment)
{
  deployment->second = start_node_named (deployment, "n2", deployment->node_gossip, NULL);
  deployment->second_http = ready_value (deployment->second, "http");
}

static inline int
stop_node (Deployment *deployment, int signal)
{
  int status = program_stop (g_steal_pointer (&deployment->node), signal);
  g_clear_pointer (&deployment->node_http, g_free);
  g_clear_pointer (&deployment->node_address, g_free);
  g_clear_pointer (&deployment->node_gossip, g_free);
  return status;
}

static inline int
set_up (void **state)
{
  const char *const kv[] = { "kv", NULL };
  const char *const machines[] = { "machines", NULL };
  const char *const engine[]
      = { "engine", "--name", "e1", "--zone", "z1", "--service", SERVICE, "--version", "7", NULL };
  Deployment *deployment = g_new0 (Deployment, 1);
  deployment->session = soup_session_new ();
  deployment->kv = program_start ("rehearsal/quinceroute-rehearsal", kv);
  deployment->machines = program_start ("rehearsal/quinceroute-rehearsal", machines);
  deployment->engine = program_start ("rehearsal/quinceroute-rehearsal", engine);
  deployment->kv_http = ready_value (deployment->kv, "http");
  deployment->kv_control = ready_value (deployment->kv, "control");
  deployment->machines_http = ready_value (deployment->machines, "http");
  deployment->engine_http = ready_value (deployment->engine, "http");
  list_machine (deployment, "live");
  start_node (deployment);
  *state = deployment;
  return 0;
}

static inline int
tear_down (void **state)
{
  Deployment *deployment = *state;
  stop_node (deployment, SIGKILL);
  if (deployment->second != NULL)
    program_stop (deployment->second, SIGKILL);
  program_stop (deployment->engine, SIGKILL);
  program_stop (deployment->machines, SIGKILL);
  program_stop (deployment->kv, SIGKILL);
  g_object_unref (deployment->session);
  g_free (deployment->kv_http);
  g_free (deployment->kv_control);
  g_free (deployment->machines_http);
  g_free (deployment->engine_http);
  g_free (deployment->second_http);
  g_free (deployment);
  return 0;
}

static inline gboolean
is_ready (Deployment *deployment)
{
  return http (deployment->session, deployment->node_http, "/readyz", NULL, NULL) == 200;
}

/* (transfer full): /v1/status */
static inline JsonNode *
read_status (Deployment *deployment, const char *address)
{
  JsonNode *status = NULL;
  assert_int_equal (http (deployment->session, address, "/v1/status", NULL, &status), 200);
  return status;
}

/* Member @name of the object @part of the status. */
static inline gint64
status_number (Deployment *deployment, const char *address, const char *part, const char *name)
{
  g_autoptr (JsonNode) status = read_status (deployment, address);
  return json_object_get_int_member (json_object_get_object_member (json_node_get_object (status), part),
                                     name);
}

/* Status of the one engine: usable, or leaving by the sign @sign. */
static inline gboolean
engine_is (Deployment *deployment, gboolean usable, const char *sign)
{
  g_autoptr (JsonNode) status = read_status (deployment, deployment->node_http);
  JsonArray *engines = json_object_get_array_member (json_node_get_object (status), "engines");
  if (json_array_get_length (engines) != 1)
    return FALSE;
  JsonObject *engine = json_array_get_object_element (engines, 0);
  JsonArray *leaving = json_object_get_array_member (engine, "leaving");
  gboolean found = FALSE;
  for (guint i = 0; i < json_array_get_length (leaving); i++)
    found |= g_strcmp0 (json_array_get_string_element (leaving, i), sign) == 0;
  return json_object_get_boolean_member (engine, "usable") == usable && (sign == NULL || found);
}

/* ---- A link client --------------------------------------------------- */

typedef struct
{
  QuinceLink *link;
  gboolean closed;
  QuinceNodeStatus *status; /* newest   */
  QuinceGrantReply *reply;  /* newest   */
  guint replies;
} Client;

static inline void
client_message (QuinceLink *link, QuinceMessage *message, gpointer user_data)
{
  Client *client = user_data;
  g_autoptr (QuinceMessage) owned = message;
  if (owned->kind == QUINCE_MESSAGE_NODE_STATUS)
    {
      g_clear_pointer (&client->status, quince_node_status_free);
      client->status = quince_node_status_copy (&owned->QuinceMessage_u.node_status);
    }
  if (owned->kind == QUINCE_MESSAGE_GRANT_REPLY)
    {
      g_clear_pointer (&client->reply, quince_grant_reply_free);
      client->reply = quince_grant_reply_copy (&owned->QuinceMessage_u.grant_reply);
      client->replies++;
    }
}

static inline void
client_closed (QuinceLink *link, const GError *error, gpointer user_data)
{
  ((Client *)user_data)->closed = TRUE;
}

static const QuinceLinkCallbacks client_callbacks = { .message = client_message, .closed = client_closed };

static inline void
client_open_as (Client *client, const char *address, guint protocol_version, guint64 deployment)
{
  *client = (Client){ 0 };
  client->link = quince_link_connect (address, &client_callbacks, client);
  QuinceMessage message = { .kind = QUINCE_MESSAGE_HELLO };
  QuinceHello *hello = &message.QuinceMessage_u.hello;
  hello->protocol_version = protocol_version;
  hello->deployment = deployment;
  hello->role = QUINCE_ROLE_AGENT;
  hello->name = (char *)"a1";
  hello->zone = (char *)"z1";
  hello->incarnation = 1;
  quince_link_send (client->link, &message);
}

static inline void
client_open (Client *client, const char *address, guint protocol_version)
{
  client_open_as (client, address, protocol_version, 0);
}

static inline void
client_close (Client *client)
{
  quince_link_close (client->link);
  quince_link_unref (client->link);
  g_clear_pointer (&client->status, quince_node_status_free);
  g_clear_pointer (&client->reply, quince_grant_reply_free);
}

/* Asks and waits for the verdict. */
static inline const QuinceVerdict *
client_ask (Client *client, const QuinceRequestId id)
{
  guint before = client->replies;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_GRANT_REQUEST };
  QuinceGrantRequest *request = &message.QuinceMessage_u.grant_request;
  memcpy (request->request_id, id, QUINCE_ID_BYTES);
  request->attempt = 1;
  request->service = (char *)SERVICE;
  request->member = (char *)"member-1";
  request->kind = (char *)"lookup";
  request->deadline_ms = 20000;
  request->prompt_tokens = 10;
  request->expected_tokens = 10;
  quince_link_send (client->link, &message);
  WAIT_UNTIL (client->replies > before);
  return &client->reply->verdict;
}

static inline void
client_end (Client *client, guint64 grant_id)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_GRANT_END };
  message.QuinceMessage_u.grant_end.grant_id = grant_id;
  message.QuinceMessage_u.grant_end.outcome = QUINCE_OUTCOME_FINISHED;
  message.QuinceMessage_u.grant_end.on_time = TRUE;
  quince_link_send (client->link, &message);
}
