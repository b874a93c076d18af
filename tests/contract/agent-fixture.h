/*
 * agent-fixture.h: a real quinceroute-agent among fakes that run in the test:
 * nodes with a ledger, an engine and a scorer, each with a fault to play.
 */
#pragma once

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <signal.h>
#include <string.h>

#include <cmocka.h>

#include <quince/http.h>
#include <quince/link.h>
#include <quince/request-id.h>
#include <quince/task.h>

#define WAIT_SECONDS 30
#define NODES 2
#define ANY_ADDRESS "127.0.0.1:0"
#define TOKENS 6
/* Far more than a parser that recurses can bear. */
#define DEEP_LEVELS 1000000

/* ---- Waiting --------------------------------------------------------- */

static gboolean
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

/* ---- Faults ------------------------------------------------------------ */

typedef enum
{
  NODE_GRANTS,
  NODE_REFUSES,            /* with the fixture's refusal                    */
  NODE_DIES,               /* the first one asked: closes before a verdict  */
  NODE_HOLDS,              /* keeps the verdict back                        */
  NODE_GRANTS_UNREACHABLE, /* the first time: an engine that nobody listens for */
} NodeFault;

typedef enum
{
  ENGINE_RUNS,
  ENGINE_REFUSES,       /* 503, not run                           */
  ENGINE_FAILS,         /* 500, without the not-run header        */
  ENGINE_CLOSES,        /* before any byte of an answer           */
  ENGINE_CUTS,          /* after some tokens                      */
  ENGINE_CUTS_UNMARKED, /* all tokens, but no [DONE]             */
  ENGINE_SKIPS,         /* a token is missing                     */
  ENGINE_SWAPS,         /* finish_reason swap after some tokens   */
  ENGINE_TALKS_NONSENSE,
  ENGINE_NESTS,          /* an event of DEEP_LEVELS lists           */
  ENGINE_REFUSES_DEEPLY, /* 503 with such a body                   */
  ENGINE_HOLDS,          /* some tokens, then nothing              */
} EngineFault;

/* ---- Fixture ----------------------------------------------------------- */

typedef struct
{
  QuinceLinkServer *servers[NODES];
  GPtrArray *links; /* QuinceLink, accepted */
  SoupServer *engine;
  char *engine_address;
  char *dead_address; /* nobody listens there */
  GSubprocess *agent;
  GDataInputStream *output;
  char *http;
  SoupSession *session;
  GSource *status_timer;

  NodeFault node_fault;
  QuinceRefusal refusal;
  EngineFault engine_fault; /* of the first @engine_faulty starts; the later ones run */
  guint engine_faulty;
  guint64 weight_version;
  guint64 later_version; /* of every start but the first; 0: the same */
  gboolean engine_leaving;

  guint grants_asked;
  guint grants_cancelled;
  guint64 last_grant;
  guint64 grant_age_us; /* how long verdicts lay before they were sent */
  QuinceMessage *held_request;
  QuinceLink *held_link;
  GArray *ends; /* QuinceGrantEnd */
  guint engine_starts;
  guint engine_connections; /* with a kept one counted once */
  guint engine_cancels;
  GPtrArray *engine_held; /* GIOStream of held answers */
  GHashTable *attempts;   /* "ID/ATTEMPT" that the engine has got */
  GHashTable *claims;     /* id text -> holder */
  guint claims_asked;
  guint unclaims;
  void (*ledger) (const QuinceLedgerCall *call, QuinceLedgerReply *reply); /* other commands; may be NULL */
} Fixture;

static Fixture fixture;

/* ---- Fake nodes -------------------------------------------------------- */

static void
send_status (QuinceLink *link)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_NODE_STATUS };
  QuinceNodeStatus *status = &message.QuinceMessage_u.node_status;
  status->name = (char *)"n1";
  status->sent_us = (guint64)quince_now_us ();
  status->ready = TRUE;
  status->policy_revision = 7;
  status->ledger_leader = (char *)quince_link_server_get_address (fixture.servers[0]);
  quince_link_send (link, &message);
}

static void
send_verdict (QuinceLink *link, const QuinceGrantRequest *request)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_GRANT_REPLY };
  QuinceGrantReply *reply = &message.QuinceMessage_u.grant_reply;
  memcpy (reply->request_id, request->request_id, QUINCE_ID_BYTES);
  reply->attempt = request->attempt;
  reply->sent_us = (guint64)quince_now_us () - fixture.grant_age_us;
  if (fixture.node_fault == NODE_REFUSES)
    {
      reply->verdict.kind = QUINCE_VERDICT_REFUSED;
      reply->verdict.QuinceVerdict_u.refused
          = (QuinceRefused){ .reason = fixture.refusal, .retry_after_ms = 1500, .detail = (char *)"" };
    }
  else
    {
      gboolean dead = fixture.node_fault == NODE_GRANTS_UNREACHABLE && fixture.last_grant == 0;
      reply->verdict.kind = QUINCE_VERDICT_GRANTED;
      reply->verdict.QuinceVerdict_u.grant
          = (QuinceGrant){ .grant_id = ++fixture.last_grant,
                           .engine = (char *)"e1",
                           .engine_address = dead ? fixture.dead_address : fixture.engine_address,
                           .expires_ms = 2000 };
    }
  quince_link_send (link, &message);
}

static void
take_grant_request (QuinceLink *link, const QuinceMessage *message)
{
  const QuinceGrantRequest *request = &message->QuinceMessage_u.grant_request;
  fixture.grants_asked++;
  assert_int_equal (request->policy_revision, 7);
  if (fixture.node_fault == NODE_DIES && fixture.grants_asked == 1)
    quince_link_close (link);
  else if (fixture.node_fault == NODE_HOLDS)
    {
      fixture.held_request = quince_message_copy (message);
      fixture.held_link = quince_link_ref (link);
    }
  else
    send_verdict (link, request);
}

static void
take_claim (const QuinceLedgerCall *call, QuinceLedgerReply *reply)
{
  const QuinceClaimRequest *claim = &call->command.QuinceCommand_u.claim;
  char text[QUINCE_REQUEST_ID_TEXT_LENGTH + 1];
  quince_request_id_format (claim->request_id, text);
  fixture.claims_asked++;
  guint64 *holder = g_hash_table_lookup (fixture.claims, text);
  if (holder == NULL)
    g_hash_table_insert (fixture.claims, g_strdup (text), g_memdup2 (&claim->holder, sizeof claim->holder));
  else if (*holder != claim->holder)
    reply->status = QUINCE_LEDGER_DUPLICATE;
}

static void
take_ledger_call (QuinceLink *link, const QuinceLedgerCall *call)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_REPLY };
  QuinceLedgerReply *reply = &message.QuinceMessage_u.ledger_reply;
  reply->call_id = call->call_id;
  reply->leader = (char *)"";
  reply->result.kind = call->command.kind;
  if (call->command.kind == QUINCE_COMMAND_PULL)
    reply->result.QuinceLedgerResult_u.batch.trainer = (char *)"";
  if (call->command.kind == QUINCE_COMMAND_CLAIM)
    take_claim (call, reply);
  else if (call->command.kind == QUINCE_COMMAND_UNCLAIM)
    fixture.unclaims++;
  else if (fixture.ledger != NULL)
    fixture.ledger (call, reply);
  quince_link_send (link, &message);
}

static void
node_message (QuinceLink *link, QuinceMessage *received, gpointer user_data)
{
  g_autoptr (QuinceMessage) message = received;
  if (message->kind == QUINCE_MESSAGE_HELLO)
    send_status (link);
  else if (message->kind == QUINCE_MESSAGE_GRANT_REQUEST)
    take_grant_request (link, message);
  else if (message->kind == QUINCE_MESSAGE_GRANT_END)
    g_array_append_val (fixture.ends, message->QuinceMessage_u.grant_end);
  else if (message->kind == QUINCE_MESSAGE_GRANT_CANCEL)
    fixture.grants_cancelled++;
  else if (message->kind == QUINCE_MESSAGE_LEDGER_CALL)
    take_ledger_call (link, &message->QuinceMessage_u.ledger_call);
}

static void
node_closed (QuinceLink *link, const GError *error, gpointer user_data)
{
}

static void
node_accepted (QuinceLink *link, gpointer user_data)
{
  g_ptr_array_add (fixture.links, link);
}

static gboolean
repeat_status (gpointer user_data)
{
  for (guint i = 0; i < fixture.links->len; i++)
    if (quince_link_is_connected (g_ptr_array_index (fixture.links, i)))
      send_status (g_ptr_array_index (fixture.links, i));
  return G_SOURCE_CONTINUE;
}

static const QuinceLinkCallbacks node_callbacks = { .message = node_message, .closed = node_closed };

/* ---- Fake engine -------------------------------------------------------- */

static void
append_token (GString *out, guint index)
{
  g_string_append_printf (
      out,
      "data: {\"id\":\"x\",\"choices\":[{\"index\":0,\"text\":\"t%u \",\"finish_reason\":null}],"
      "\"weight_version\":%" G_GUINT64_FORMAT ",\"token_start\":%u,\"token_count\":1}\n\n",
      index, fixture.weight_version, index);
}

static void
append_finish (GString *out, guint next, const char *reason)
{
  g_string_append_printf (out,
                          "data: {\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\"%s\"}],"
                          "\"weight_version\":%" G_GUINT64_FORMAT
                          ",\"token_start\":%u,\"token_count\":0}\n\n",
                          reason, fixture.weight_version, next);
}

static void
append_tokens (GString *out, guint from, guint to)
{
  for (guint i = from; i < to; i++)
    append_token (out, i);
}

/* The events of an answer that begins at token @first. */
static char *
make_events (EngineFault fault, guint first)
{
  GString *out = g_string_new (NULL);
  guint middle = MAX (first, TOKENS / 2);
  gboolean partial = fault == ENGINE_CUTS || fault == ENGINE_SWAPS || fault == ENGINE_HOLDS;
  append_tokens (out, first, partial || fault == ENGINE_SKIPS ? middle : TOKENS);
  if (fault == ENGINE_SKIPS)
    append_tokens (out, middle + 1, TOKENS);
  if (fault == ENGINE_TALKS_NONSENSE)
    g_string_append (out, "data: {nonsense\n\n");
  g_autofree char *deep = g_strnfill (DEEP_LEVELS, '[');
  if (fault == ENGINE_NESTS)
    g_string_append_printf (out, "data: %s\n\n", deep);
  if (fault == ENGINE_CUTS || fault == ENGINE_HOLDS)
    return g_string_free (out, FALSE);
  append_finish (out, fault == ENGINE_SWAPS ? middle : TOKENS, fault == ENGINE_SWAPS ? "swap" : "stop");
  if (fault != ENGINE_CUTS_UNMARKED)
    g_string_append (out, "data: [DONE]\n\n");
  return g_string_free (out, FALSE);
}

static void
answer_raw (SoupServerMessage *message, const char *events, gboolean hold)
{
  GIOStream *stream = soup_server_message_steal_connection (message);
  if (events != NULL)
    {
      g_autofree char *text = g_strdup_printf (
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n%s", events);
      g_output_stream_write_all (g_io_stream_get_output_stream (stream), text, strlen (text), NULL, NULL,
                                 NULL);
    }
  if (hold)
    {
      g_ptr_array_add (fixture.engine_held, stream);
      return;
    }
  g_io_stream_close (stream, NULL, NULL);
  g_object_unref (stream);
}

/* No attempt may ever be sent twice. */
static void
take_attempt (JsonObject *body)
{
  const char *id = NULL;
  guint64 attempt = 0;
  assert_true (quince_json_get_text (body, "request_id", QUINCE_MAX_NAME, &id, NULL));
  assert_true (quince_json_get_u64 (body, "attempt", G_MAXUINT, &attempt, NULL));
  assert_true (g_hash_table_add (fixture.attempts, g_strdup_printf ("%s/%u", id, (guint)attempt)));
}

static void
engine_completions (SoupServer *server,
                    SoupServerMessage *message,
                    const char *path,
                    GHashTable *query,
                    gpointer data)
{
  g_autoptr (JsonNode) body = quince_http_read_object (message);
  guint64 first = 0;
  assert_non_null (body);
  assert_true (quince_json_opt_u64 (json_node_get_object (body), "resume_tokens", TOKENS, &first, NULL));
  take_attempt (json_node_get_object (body));
  GSocket *socket = soup_server_message_get_socket (message);
  if (g_object_get_data (G_OBJECT (socket), "seen") == NULL)
    fixture.engine_connections++;
  g_object_set_data (G_OBJECT (socket), "seen", socket);
  fixture.engine_starts++;
  if (fixture.engine_starts > 1 && fixture.later_version > 0)
    fixture.weight_version = fixture.later_version;
  EngineFault fault = fixture.engine_starts <= fixture.engine_faulty ? fixture.engine_fault : ENGINE_RUNS;
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (message);
  if (fixture.engine_leaving)
    soup_message_headers_replace (headers, "X-Engine-Leaving", "true");
  if (fault == ENGINE_REFUSES || fault == ENGINE_REFUSES_DEEPLY)
    soup_message_headers_replace (headers, "X-Engine-Not-Run", "true");
  if (fault == ENGINE_REFUSES || fault == ENGINE_FAILS)
    {
      quince_http_reply_error (message, fault == ENGINE_FAILS ? 500 : 503, "overloaded", "full", -1, -1);
      return;
    }
  if (fault == ENGINE_REFUSES_DEEPLY)
    {
      g_autofree char *deep = g_strnfill (DEEP_LEVELS, '[');
      quince_http_reply_text (message, 503, "application/json", deep);
      return;
    }
  g_autofree char *events = fault == ENGINE_CLOSES ? NULL : make_events (fault, (guint)first);
  if (fault == ENGINE_RUNS)
    quince_http_reply_text (message, SOUP_STATUS_OK, "text/event-stream", events);
  else
    answer_raw (message, events, fault == ENGINE_HOLDS);
}

static void
engine_cancel (SoupServer *server,
               SoupServerMessage *message,
               const char *path,
               GHashTable *query,
               gpointer data)
{
  fixture.engine_cancels++;
  quince_http_reply_text (message, SOUP_STATUS_OK, "application/json", "{\"cancelled\":true}");
}

static void
scorer_score (SoupServer *server,
              SoupServerMessage *message,
              const char *path,
              GHashTable *query,
              gpointer data)
{
  quince_http_reply_text (message, SOUP_STATUS_OK, "application/json", "{\"reward\":0.5}");
}

/* ---- Calls to the agent ---------------------------------------------------- */

typedef struct
{
  SoupMessage *message;
  gboolean done;
  guint status;
  char *text;
} Call;

static void
call_done (GObject *session, GAsyncResult *result, gpointer user_data)
{
  Call *call = user_data;
  g_autoptr (GBytes) bytes = soup_session_send_and_read_finish (SOUP_SESSION (session), result, NULL);
  call->status = bytes != NULL ? soup_message_get_status (call->message) : 0;
  call->text
      = bytes != NULL ? g_strndup (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes)) : g_strdup ("");
  call->done = TRUE;
}

/* @headers: "Name: value" texts separated by '|', or NULL */
static Call *
call_start (const char *path, const char *headers, const char *body)
{
  Call *call = g_new0 (Call, 1);
  g_autofree char *url = g_strdup_printf ("http://%s%s", fixture.http, path);
  call->message = soup_message_new (body != NULL ? "POST" : "GET", url);
  g_auto (GStrv) lines = g_strsplit (headers != NULL ? headers : "", "|", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      g_auto (GStrv) parts = g_strsplit (lines[i], ": ", 2);
      soup_message_headers_append (soup_message_get_request_headers (call->message), parts[0], parts[1]);
    }
  if (body != NULL)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));
      soup_message_set_request_body_from_bytes (call->message, "application/json", bytes);
    }
  soup_session_send_and_read_async (fixture.session, call->message, G_PRIORITY_DEFAULT, NULL, call_done,
                                    call);
  return call;
}

static void
call_free (Call *call)
{
  g_object_unref (call->message);
  g_free (call->text);
  g_free (call);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (Call, call_free)

static Call *
call_wait (Call *call)
{
  WAIT_UNTIL (call->done);
  return call;
}

/* ---- Setup ------------------------------------------------------------------ */

static void
start_agent (const char *const *settings)
{
  g_autofree char *binary
      = g_build_filename (g_getenv ("QUINCE_BUILD_DIR"), "daemons", "quinceroute-agent", NULL);
  g_autofree char *nodes
      = g_strdup_printf ("agent.nodes=%s;%s", quince_link_server_get_address (fixture.servers[0]),
                         quince_link_server_get_address (fixture.servers[1]));
  g_autofree char *scorer = g_strdup_printf ("agent.scorer=%s", fixture.engine_address);
  g_autoptr (GPtrArray) argv = g_ptr_array_new ();
  const char *const fixed[] = { binary,
                                "--log-level",
                                "error",
                                "--set",
                                "agent.name=a1",
                                "--set",
                                "agent.zone=z1",
                                "--set",
                                nodes,
                                "--set",
                                scorer,
                                "--set",
                                "agent.listen=" ANY_ADDRESS };
  for (guint i = 0; i < G_N_ELEMENTS (fixed); i++)
    g_ptr_array_add (argv, (gpointer)fixed[i]);
  for (guint i = 0; settings != NULL && settings[i] != NULL; i++)
    {
      g_ptr_array_add (argv, (gpointer) "--set");
      g_ptr_array_add (argv, (gpointer)settings[i]);
    }
  g_ptr_array_add (argv, NULL);
  fixture.agent = g_subprocess_newv ((const char *const *)argv->pdata, G_SUBPROCESS_FLAGS_STDOUT_PIPE, NULL);
  assert_non_null (fixture.agent);
  fixture.output = g_data_input_stream_new (g_subprocess_get_stdout_pipe (fixture.agent));
  g_autofree char *line = g_data_input_stream_read_line (fixture.output, NULL, NULL, NULL);
  assert_non_null (line);
  assert_true (g_str_has_prefix (line, "ready role=agent name=a1 http="));
  fixture.http = g_strdup (strstr (line, "http=") + strlen ("http="));
}

static guint
get_status (const char *path)
{
  g_autoptr (Call) call = call_wait (call_start (path, NULL, NULL));
  return call->status;
}

static void
fixture_start (const char *const *settings, void (*ledger) (const QuinceLedgerCall *, QuinceLedgerReply *))
{
  fixture = (Fixture){ .weight_version = 3, .ledger = ledger };
  fixture.links = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_link_unref);
  fixture.ends = g_array_new (FALSE, FALSE, sizeof (QuinceGrantEnd));
  fixture.engine_held = g_ptr_array_new_with_free_func (g_object_unref);
  fixture.attempts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fixture.claims = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (guint i = 0; i < NODES; i++)
    fixture.servers[i] = quince_link_server_new (ANY_ADDRESS, &node_callbacks, node_accepted, NULL, NULL);
  fixture.engine = soup_server_new (NULL, NULL);
  soup_server_add_handler (fixture.engine, "/v1/completions", engine_completions, NULL, NULL);
  soup_server_add_handler (fixture.engine, "/v1/cancel", engine_cancel, NULL, NULL);
  soup_server_add_handler (fixture.engine, "/score", scorer_score, NULL, NULL);
  assert_true (quince_http_listen (fixture.engine, ANY_ADDRESS, &fixture.engine_address, NULL));
  QuinceLinkServer *closed = quince_link_server_new (ANY_ADDRESS, &node_callbacks, node_accepted, NULL, NULL);
  fixture.dead_address = g_strdup (quince_link_server_get_address (closed));
  quince_link_server_free (closed);
  fixture.session = soup_session_new_with_options ("timeout", WAIT_SECONDS, NULL);
  fixture.status_timer = quince_timer_add (1000, repeat_status, NULL);
  start_agent (settings);
  WAIT_UNTIL (get_status ("/readyz") == SOUP_STATUS_OK);
}

/* Returns: exit status */
static int
fixture_stop (void)
{
  g_subprocess_send_signal (fixture.agent, SIGTERM);
  GSubprocess *agent = fixture.agent;
  WAIT_UNTIL (g_subprocess_get_identifier (agent) == NULL);
  int status = g_subprocess_get_if_exited (agent) ? g_subprocess_get_exit_status (agent) : -1;
  fixture.agent = NULL;
  g_object_unref (fixture.output);
  g_object_unref (agent);
  quince_source_clear (&fixture.status_timer);
  for (guint i = 0; i < fixture.links->len; i++)
    quince_link_close (g_ptr_array_index (fixture.links, i));
  g_ptr_array_unref (fixture.links);
  for (guint i = 0; i < NODES; i++)
    quince_link_server_free (fixture.servers[i]);
  soup_server_disconnect (fixture.engine);
  g_object_unref (fixture.engine);
  g_object_unref (fixture.session);
  g_array_unref (fixture.ends);
  g_ptr_array_unref (fixture.engine_held);
  g_hash_table_unref (fixture.attempts);
  g_hash_table_unref (fixture.claims);
  g_clear_pointer (&fixture.held_request, quince_message_free);
  g_clear_pointer (&fixture.held_link, quince_link_unref);
  g_free (fixture.engine_address);
  g_free (fixture.dead_address);
  g_free (fixture.http);
  return status;
}

/* After a test that failed half-way. */
static int
fixture_kill (void **state)
{
  if (fixture.agent != NULL)
    g_subprocess_force_exit (fixture.agent);
  return 0;
}
