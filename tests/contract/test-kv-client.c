/*
 * test-kv-client.c: the key-value client against scripted answers: what each
 * fault of the service becomes for a read and for a write.
 */
#include "kv-standin.h"

#include "runtime/http.h"
#include "clients/kv-client.h"

/* Where no answer comes. */
#define TIMEOUT_MS 300
/* Where an answer comes: it is judged by what it says, however late this process is given the processor. */
#define ANSWERED_MS (WAIT_SECONDS * 1000)
#define KEY "/quince/policy/head"
/* base64 of KEY, of "one" and of "two" */
#define KEY64 "L3F1aW5jZS9wb2xpY3kvaGVhZA=="
#define ITEM(value, mod)                                                                                     \
  "{\"key\":\"" KEY64 "\",\"value\":\"" value "\",\"create_revision\":\"2\",\"mod_revision\":\"" mod "\"}"
#define RANGE(items, revision) "{\"header\":{\"revision\":\"" revision "\"},\"kvs\":[" items "]}"
#define EVENT(type, value, mod)                                                                              \
  "{\"result\":{\"header\":{\"revision\":\"" mod "\"},\"events\":[{" type "\"kv\":" ITEM (value, mod) "}]}}" \
                                                                                                      "\n"
#define CREATED "{\"result\":{\"header\":{\"revision\":\"5\"},\"created\":true}}\n"

typedef enum
{
  ANSWER,     /* status and body                             */
  CUT,        /* the connection breaks without an answer     */
  HANG,       /* no answer at all                            */
  STREAM,     /* body, then the stream stays open            */
  STREAM_END, /* body, then the stream ends                  */
} AnswerKind;

typedef struct
{
  AnswerKind kind;
  guint status;
  const char *body;
} Answer;

/* Scripted service: hands its answers out in order; the last one repeats. */
typedef struct
{
  SoupServer *server; /* owned */
  char *address;      /* owned */
  const Answer *answers;
  guint next;
  guint requests;
  char *last_body; /* owned; of the last request */
  GPtrArray *open; /* owned; SoupServerMessage, held unanswered */
} Service;

static void
cut (SoupServerMessage *message)
{
  GSocket *socket = soup_server_message_get_socket (message);
  g_socket_shutdown (socket, TRUE, TRUE, NULL);
}

static void
on_request (SoupServer *server,
            SoupServerMessage *message,
            const char *path,
            GHashTable *query,
            gpointer user_data)
{
  Service *service = user_data;
  const Answer *answer = &service->answers[service->next];
  if (answer[1].body != NULL || answer[1].kind != ANSWER)
    service->next++;
  service->requests++;
  g_free (service->last_body);
  SoupMessageBody *request = soup_server_message_get_request_body (message);
  service->last_body = g_strndup (request->data, request->length);
  if (answer->kind == CUT)
    cut (message);
  if (answer->kind == CUT || answer->kind == HANG)
    {
      soup_server_message_pause (message);
      g_ptr_array_add (service->open, g_object_ref (message));
      return;
    }
  if (answer->kind == ANSWER)
    {
      quince_http_reply_text (message, answer->status, "application/json", answer->body);
      return;
    }
  soup_server_message_set_status (message, 200, NULL);
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (message);
  soup_message_headers_set_encoding (headers, SOUP_ENCODING_CHUNKED);
  SoupMessageBody *body = soup_server_message_get_response_body (message);
  soup_message_body_append (body, SOUP_MEMORY_COPY, answer->body, strlen (answer->body));
  if (answer->kind == STREAM_END)
    soup_message_body_complete (body);
}

static Service *
service_new (const Answer *answers)
{
  Service *service = g_new0 (Service, 1);
  service->server = soup_server_new (NULL, NULL);
  service->answers = answers;
  service->open = g_ptr_array_new_with_free_func (g_object_unref);
  soup_server_add_handler (service->server, NULL, on_request, service, NULL);
  assert_true (quince_http_listen (service->server, "127.0.0.1:0", &service->address, NULL));
  return service;
}

static void
service_free (Service *service)
{
  soup_server_disconnect (service->server);
  g_ptr_array_unref (service->open);
  g_object_unref (service->server);
  g_free (service->address);
  g_free (service->last_body);
  g_free (service);
}
G_DEFINE_AUTOPTR_CLEANUP_FUNC (Service, service_free)

/* What an operation came to; code -1 is success. */
typedef struct
{
  guint calls;
  int code;
  gboolean done;
  guint64 revision;
  char *value;      /* owned; of the first or the current item */
  char reason[128]; /* of the error, shortened; empty: none */
} Outcome;

static void
set_outcome (Outcome *outcome, const QuinceKvItem *item, guint64 revision, const GError *error)
{
  outcome->calls++;
  outcome->code = error != NULL ? error->code : -1;
  g_strlcpy (outcome->reason, error != NULL ? error->message : "", sizeof outcome->reason);
  outcome->revision = revision;
  outcome->value = item != NULL ? g_strndup (item->value, item->length) : NULL;
}

static void
on_range (GPtrArray *items, guint64 revision, const GError *error, gpointer user_data)
{
  set_outcome (user_data, items != NULL && items->len > 0 ? items->pdata[0] : NULL, revision, error);
}

static void
on_swap (gboolean done,
         guint64 revision,
         const QuinceKvItem *current,
         const GError *error,
         gpointer user_data)
{
  Outcome *outcome = user_data;
  outcome->done = done;
  set_outcome (outcome, current, revision, error);
}

static Outcome
run_read (const char *const *endpoints, guint timeout_ms)
{
  Outcome outcome = { 0 };
  g_autoptr (QuinceKvClient) client = quince_kv_client_new (endpoints, timeout_ms);
  quince_kv_client_get (client, KEY, FALSE, on_range, &outcome);
  assert_int_equal (outcome.calls, 0);
  WAIT_FOR (outcome.calls > 0);
  return outcome;
}

static Outcome
run_swap (const char *const *endpoints, guint timeout_ms)
{
  Outcome outcome = { 0 };
  g_autoptr (QuinceKvClient) client = quince_kv_client_new (endpoints, timeout_ms);
  quince_kv_client_swap (client, KEY, 4, "two", -1, on_swap, &outcome);
  WAIT_FOR (outcome.calls > 0);
  return outcome;
}

/* An address on which nothing listens. */
static char *
closed_address (void)
{
  static const Answer none[] = { { ANSWER, 200, "{}" }, { 0 } };
  g_autoptr (Service) service = service_new (none);
  return g_strdup (service->address);
}

typedef struct
{
  const char *name;
  Answer answer;
  int read_code;
  int write_code;
} FaultCase;

static const FaultCase fault_cases[] = {
  { "connection cut", { CUT, 0, "" }, QUINCE_KV_ERROR_UNREACHABLE, QUINCE_KV_ERROR_UNKNOWN },
  { "no answer", { HANG, 0, "" }, QUINCE_KV_ERROR_UNREACHABLE, QUINCE_KV_ERROR_UNKNOWN },
  { "unavailable", { ANSWER, 503, "{}" }, QUINCE_KV_ERROR_UNREACHABLE, QUINCE_KV_ERROR_UNKNOWN },
  { "server error", { ANSWER, 500, "{}" }, QUINCE_KV_ERROR_UNREACHABLE, QUINCE_KV_ERROR_UNKNOWN },
  { "rate limit", { ANSWER, 429, "{}" }, QUINCE_KV_ERROR_RATE, QUINCE_KV_ERROR_RATE },
  { "refused as invalid", { ANSWER, 400, "{}" }, QUINCE_KV_ERROR_PROTOCOL, QUINCE_KV_ERROR_PROTOCOL },
  { "redirect", { ANSWER, 302, "{}" }, QUINCE_KV_ERROR_UNREACHABLE, QUINCE_KV_ERROR_UNKNOWN },
  { "empty", { ANSWER, 200, "" }, QUINCE_KV_ERROR_PROTOCOL, QUINCE_KV_ERROR_UNKNOWN },
  { "not JSON", { ANSWER, 200, "<html>" }, QUINCE_KV_ERROR_PROTOCOL, QUINCE_KV_ERROR_UNKNOWN },
  { "not UTF-8", { ANSWER, 200, "{\"a\":\"\xff\"}" }, QUINCE_KV_ERROR_PROTOCOL, QUINCE_KV_ERROR_UNKNOWN },
  { "not an object", { ANSWER, 200, "[1]" }, QUINCE_KV_ERROR_PROTOCOL, QUINCE_KV_ERROR_UNKNOWN },
  { "no header", { ANSWER, 200, "{}" }, QUINCE_KV_ERROR_PROTOCOL, QUINCE_KV_ERROR_UNKNOWN },
  { "header of another type",
    { ANSWER, 200, "{\"header\":3}" },
    QUINCE_KV_ERROR_PROTOCOL,
    QUINCE_KV_ERROR_UNKNOWN },
  { "negative revision",
    { ANSWER, 200, "{\"header\":{\"revision\":-1}}" },
    QUINCE_KV_ERROR_PROTOCOL,
    QUINCE_KV_ERROR_UNKNOWN },
};

static void
test_faults (void **state)
{
  for (gsize i = 0; i < G_N_ELEMENTS (fault_cases); i++)
    {
      const FaultCase *fault = &fault_cases[i];
      const Answer answers[] = { fault->answer, { 0 } };
      g_autoptr (Service) service = service_new (answers);
      const char *endpoints[] = { service->address, NULL };
      guint timeout_ms = fault->answer.kind == HANG ? TIMEOUT_MS : ANSWERED_MS;
      Outcome read = run_read (endpoints, timeout_ms);
      Outcome write = run_swap (endpoints, timeout_ms);
      if (read.code != fault->read_code || write.code != fault->write_code || write.done)
        fail_msg ("%s: read %d, write %d", fault->name, read.code, write.code);
    }
}

static void
test_bad_items (void **state)
{
  static const char *const items[] = {
    "3",
    "{}",
    "{\"key\":\"!\"}",
    "{\"key\":\"YQ\"}",
    "{\"key\":\"AGE=\"}",
    "{\"key\":\"YQ==\",\"value\":7}",
    "{\"key\":\"YQ==\",\"mod_revision\":\"x\"}",
    "{\"key\":\"YQ==\",\"mod_revision\":true}",
    "{\"key\":\"YQ==\",\"mod_revision\":\"99999999999999999999\"}",
  };
  for (gsize i = 0; i < G_N_ELEMENTS (items); i++)
    {
      g_autofree char *body = g_strdup_printf (RANGE ("%s", "5"), items[i]);
      const Answer answers[] = { { ANSWER, 200, body }, { 0 } };
      g_autoptr (Service) service = service_new (answers);
      const char *endpoints[] = { service->address, NULL };
      Outcome read = run_read (endpoints, ANSWERED_MS);
      if (read.code != QUINCE_KV_ERROR_PROTOCOL)
        fail_msg ("%s: %d: %s", items[i], read.code, read.reason);
    }
}

static void
test_read_and_swap (void **state)
{
  static const Answer reads[] = { { ANSWER, 200, RANGE (ITEM ("b25l", "4"), "5") }, { 0 } };
  g_autoptr (Service) reading = service_new (reads);
  const char *read_endpoints[] = { reading->address, NULL };
  Outcome read = run_read (read_endpoints, ANSWERED_MS);
  assert_int_equal (read.code, -1);
  assert_int_equal (read.revision, 5);
  assert_string_equal (read.value, "one");
  assert_string_equal (reading->last_body, "{\"key\":\"" KEY64 "\"}");

  static const Answer swaps[]
      = { { ANSWER, 200, "{\"header\":{\"revision\":\"6\"},\"succeeded\":true}" }, { 0 } };
  g_autoptr (Service) swapping = service_new (swaps);
  const char *swap_endpoints[] = { swapping->address, NULL };
  Outcome swap = run_swap (swap_endpoints, ANSWERED_MS);
  assert_true (swap.done);
  assert_int_equal (swap.revision, 6);
  assert_non_null (strstr (swapping->last_body,
                           "\"compare\":[{\"target\":\"MOD\",\"result\":\"EQUAL\",\"key\":\"" KEY64
                           "\",\"mod_revision\":\"4\"}]"));
  assert_non_null (
      strstr (swapping->last_body, "\"request_put\":{\"key\":\"" KEY64 "\",\"value\":\"dHdv\"}"));
  g_free (read.value);
}

static void
test_stale_compare (void **state)
{
  static const Answer answers[] = {
    { ANSWER, 200,
      "{\"header\":{\"revision\":\"9\"},\"responses\":[{\"response_range\":{\"kvs\":[" ITEM ("b25l",
                                                                                             "8") "]}}]}" },
    { 0 },
  };
  g_autoptr (Service) service = service_new (answers);
  const char *endpoints[] = { service->address, NULL };
  Outcome swap = run_swap (endpoints, ANSWERED_MS);
  assert_int_equal (swap.code, -1);
  assert_false (swap.done);
  assert_string_equal (swap.value, "one");
  g_free (swap.value);
}

/* Never connected: certainly not carried out, and the next endpoint may do it. */
static void
test_endpoints (void **state)
{
  g_autofree char *closed = closed_address ();
  const char *none[] = { NULL };
  const char *only_closed[] = { closed, NULL };
  assert_int_equal (run_swap (none, ANSWERED_MS).code, QUINCE_KV_ERROR_UNREACHABLE);
  assert_int_equal (run_read (none, ANSWERED_MS).code, QUINCE_KV_ERROR_UNREACHABLE);
  assert_int_equal (run_swap (only_closed, ANSWERED_MS).code, QUINCE_KV_ERROR_UNREACHABLE);

  static const Answer good[]
      = { { ANSWER, 200, "{\"header\":{\"revision\":\"6\"},\"succeeded\":true}" }, { 0 } };
  g_autoptr (Service) service = service_new (good);
  const char *closed_first[] = { closed, service->address, NULL };
  assert_true (run_swap (closed_first, ANSWERED_MS).done);

  /* After a cut the write may have been carried out: no second copy is sent. */
  static const Answer cuts[] = { { CUT, 0, "" }, { 0 } };
  g_autoptr (Service) cutting = service_new (cuts);
  const char *cut_first[] = { cutting->address, service->address, NULL };
  service->requests = 0;
  assert_int_equal (run_swap (cut_first, ANSWERED_MS).code, QUINCE_KV_ERROR_UNKNOWN);
  assert_int_equal (service->requests, 0);
  assert_int_equal (run_read (cut_first, ANSWERED_MS).code, -1);
}

static void
test_free_while_pending (void **state)
{
  static const Answer hang[] = { { HANG, 0, "" }, { 0 } };
  g_autoptr (Service) service = service_new (hang);
  const char *endpoints[] = { service->address, NULL };
  Outcome read = { 0 };
  QuinceKvClient *client = quince_kv_client_new (endpoints, ANSWERED_MS);
  quince_kv_client_get (client, KEY, FALSE, on_range, &read);
  WAIT_FOR (service->requests > 0);
  quince_kv_client_free (client);
  while (g_main_context_iteration (NULL, FALSE))
    ;
  assert_int_equal (read.calls, 0);
}

/* ---- Watch ---------------------------------------------------------------- */

typedef struct
{
  guint changes;
  guint ups;
  guint downs;
  guint64 revision;
  char *value; /* owned; "" when the set is empty */
} View;

static void
on_changed (GPtrArray *items, guint64 revision, gpointer user_data)
{
  View *view = user_data;
  view->changes++;
  view->revision = revision;
  g_free (view->value);
  view->value = g_strdup (items->len > 0 ? ((QuinceKvItem *)items->pdata[0])->value : "");
}

static void
on_state (gboolean up, gpointer user_data)
{
  View *view = user_data;
  if (up)
    view->ups++;
  else
    view->downs++;
}

static const QuinceKvWatchCallbacks view_callbacks = { on_changed, on_state };

typedef struct
{
  const char *name;
  Answer answers[6]; /* the last one repeats */
  const char *value; /* what comes into view */
  gboolean breaks;   /* the watch goes down meanwhile */
} WatchCase;

#define FIRST_READ                                                                                           \
  {                                                                                                          \
    ANSWER, 200, RANGE (ITEM ("b25l", "4"), "5")                                                             \
  }
#define SECOND_READ                                                                                          \
  {                                                                                                          \
    ANSWER, 200, RANGE (ITEM ("dHdv", "6"), "7")                                                             \
  }

static const WatchCase watch_cases[] = {
  { "put", { FIRST_READ, { STREAM, 200, CREATED EVENT ("", "dHdv", "6") } }, "two", FALSE },
  { "delete", { FIRST_READ, { STREAM, 200, CREATED EVENT ("\"type\":\"DELETE\",", "", "6") } }, "", FALSE },
  { "dropped",
    { FIRST_READ, { STREAM_END, 200, CREATED }, SECOND_READ, { STREAM, 200, CREATED } },
    "two",
    TRUE },
  { "cut", { FIRST_READ, { CUT, 0, "" }, SECOND_READ, { STREAM, 200, CREATED } }, "two", FALSE },
  { "refused", { FIRST_READ, { ANSWER, 503, "{}" }, SECOND_READ, { STREAM, 200, CREATED } }, "two", FALSE },
  { "compacted",
    { FIRST_READ,
      { STREAM, 200, CREATED "{\"result\":{\"canceled\":true,\"compact_revision\":\"7\"}}\n" },
      SECOND_READ,
      { STREAM, 200, CREATED } },
    "two",
    TRUE },
  { "error line",
    { FIRST_READ, { STREAM, 200, CREATED "{\"error\":{}}\n" }, SECOND_READ, { STREAM, 200, CREATED } },
    "two",
    TRUE },
  { "garbage line",
    { FIRST_READ, { STREAM, 200, CREATED "garbage\n" }, SECOND_READ, { STREAM, 200, CREATED } },
    "two",
    TRUE },
  { "read fails first",
    { { ANSWER, 503, "{}" }, { CUT, 0, "" }, { ANSWER, 200, "?" }, SECOND_READ, { STREAM, 200, CREATED } },
    "two",
    FALSE },
  { "older answer",
    { SECOND_READ,
      { STREAM_END, 200, CREATED },
      FIRST_READ,
      { ANSWER, 200, RANGE ("", "8") },
      { STREAM, 200, CREATED } },
    "",
    TRUE },
};

static void
test_watch (void **state)
{
  for (gsize i = 0; i < G_N_ELEMENTS (watch_cases); i++)
    {
      const WatchCase *watch_case = &watch_cases[i];
      g_autoptr (Service) service = service_new (watch_case->answers);
      const char *endpoints[] = { service->address, NULL };
      View view = { 0 };
      g_autoptr (QuinceKvClient) client = quince_kv_client_new (endpoints, ANSWERED_MS);
      QuinceKvWatch *watch = quince_kv_watch_new (client, "/quince/policy/", &view_callbacks, &view);
      WAIT_FOR (g_strcmp0 (view.value, watch_case->value) == 0 && view.ups > view.downs);
      if ((view.downs > 0) != watch_case->breaks)
        fail_msg ("%s: %u ups, %u downs", watch_case->name, view.ups, view.downs);
      quince_kv_watch_free (watch);
      g_free (view.value);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_faults),        cmocka_unit_test (test_bad_items),
    cmocka_unit_test (test_read_and_swap), cmocka_unit_test (test_stale_compare),
    cmocka_unit_test (test_endpoints),     cmocka_unit_test (test_free_while_pending),
    cmocka_unit_test (test_watch),
  };
  g_log_set_always_fatal (G_LOG_LEVEL_CRITICAL | G_LOG_FATAL_MASK);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
