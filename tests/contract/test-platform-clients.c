/*
 * test-platform-clients.c: the clients of engines' admin calls, the machine
 * list and the weight store against scripted answers: what each answer of
 * the other side becomes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <string.h>

#include <cmocka.h>

#include <quince/engine-admin.h>
#include <quince/http.h>
#include <quince/machine-list.h>
#include <quince/weight-store.h>

#define TIMEOUT_MS 5000
#define HANG_TIMEOUT_MS 100
#define LOAD                                                                                                 \
  "\"name\":\"e1\",\"service\":\"s\",\"zone\":\"z\",\"state\":\"serving\",\"running\":1,\"waiting\":2,"      \
  "\"capacity\":3,\"weight_version\":4"
#define MACHINE                                                                                              \
  "{\"name\":\"e1\",\"kind\":\"engine\",\"service\":\"s\",\"zone\":\"z\",\"state\":\"live\",\"address\":"

typedef enum
{
  CALL_LOAD,
  CALL_CACHE_EVENTS,
  CALL_STAGE,
  CALL_ACTIVATE,
  CALL_MACHINES,
  CALL_VERSIONS,
} Call;

/* The one service of a case, and what the client made of its answer. */
typedef struct
{
  const char *body; /* %NULL: never answers */
  guint status;
  char *path;    /* owned; asked for     */
  char *request; /* owned; its body      */
  gboolean done;
  GError *error; /* owned                */
  guint64 value; /* the call's figure    */
} Service;

static void
serve (SoupServer *server,
       SoupServerMessage *message,
       const char *path,
       GHashTable *query,
       gpointer user_data)
{
  Service *service = user_data;
  SoupMessageBody *request = soup_server_message_get_request_body (message);
  service->path = g_strdup (path);
  service->request = g_strndup (request->data, request->length);
  if (service->body != NULL)
    quince_http_reply_text (message, service->status, "application/json", service->body);
  else
    soup_server_message_pause (message);
}

static void
finish (Service *service, const GError *error)
{
  service->done = TRUE;
  service->error = error != NULL ? g_error_copy (error) : NULL;
}

static void
load_answered (const QuinceEngineLoad *load, const GError *error, gpointer user_data)
{
  Service *service = user_data;
  service->value = load != NULL ? load->weight_version : 0;
  finish (service, error);
}

static void
events_answered (const GArray *events, guint64 last_sequence, const GError *error, gpointer user_data)
{
  Service *service = user_data;
  for (guint i = 0; events != NULL && i < events->len; i++)
    {
      const QuinceCacheEvent *event = &g_array_index (events, QuinceCacheEvent, i);
      for (guint j = 0; j < event->n_blocks; j++)
        service->value += event->blocks[j];
    }
  finish (service, error);
}

static void
order_answered (const GError *error, gpointer user_data)
{
  finish (user_data, error);
}

static void
machines_answered (const GArray *machines, const GError *error, gpointer user_data)
{
  Service *service = user_data;
  service->value = machines != NULL ? machines->len : 0;
  finish (service, error);
}

static void
versions_answered (guint64 latest, const GError *error, gpointer user_data)
{
  Service *service = user_data;
  service->value = latest;
  finish (service, error);
}

static void
begin_call (Call call, SoupSession *session, const char *address, guint timeout_ms, Service *service)
{
  switch (call)
    {
    case CALL_LOAD:
      quince_engine_admin_get_load (session, address, timeout_ms, NULL, load_answered, service);
      break;
    case CALL_CACHE_EVENTS:
      quince_engine_admin_get_cache_events (session, address, 9, timeout_ms, NULL, events_answered, service);
      break;
    case CALL_STAGE:
      quince_engine_admin_stage (session, address, 5, 6, timeout_ms, NULL, order_answered, service);
      break;
    case CALL_ACTIVATE:
      quince_engine_admin_activate (session, address, 5, 6, "resume", timeout_ms, NULL, order_answered,
                                    service);
      break;
    case CALL_MACHINES:
      quince_machine_list_get (session, address, timeout_ms, NULL, machines_answered, service);
      break;
    case CALL_VERSIONS:
      quince_weight_store_get_latest (session, address, timeout_ms, NULL, versions_answered, service);
      break;
    }
}

typedef struct
{
  const char *name;
  Call call;
  guint status;
  const char *body;        /* %NULL: no answer                                */
  GQuark (*domain) (void); /* of the error; %NULL: none                     */
  int code;
  guint64 value; /* without an error                                */
} AnswerCase;

static const AnswerCase answer_cases[] = {
  { "load", CALL_LOAD, 200, "{" LOAD "}", NULL, 0, 4 },
  { "load without an answer", CALL_LOAD, 0, NULL, quince_engine_error_quark, QUINCE_ENGINE_ERROR_UNREACHABLE,
    0 },
  { "load refused", CALL_LOAD, 500, "{}", quince_engine_error_quark, QUINCE_ENGINE_ERROR_REFUSED, 0 },
  { "load not JSON", CALL_LOAD, 200, "no", quince_engine_error_quark, QUINCE_ENGINE_ERROR_PROTOCOL, 0 },
  { "load with fields missing", CALL_LOAD, 200, "{\"name\":\"e1\"}", quince_engine_error_quark,
    QUINCE_ENGINE_ERROR_PROTOCOL, 0 },
  { "load below zero", CALL_LOAD, 200, "{" LOAD ",\"target_version\":-1}", quince_engine_error_quark,
    QUINCE_ENGINE_ERROR_PROTOCOL, 0 },
  { "cache events", CALL_CACHE_EVENTS, 200,
    "{\"events\":[{\"seq\":10,\"type\":\"stored\",\"blocks\":[\"0a\",\"0b\"]},"
    "{\"seq\":11,\"type\":\"evicted\",\"blocks\":[\"01\"]}],\"last_seq\":11}",
    NULL, 0, 22 },
  { "cache events not hexadecimal", CALL_CACHE_EVENTS, 200,
    "{\"events\":[{\"seq\":10,\"type\":\"stored\",\"blocks\":[\"xyz\"]}],\"last_seq\":10}",
    quince_engine_error_quark, QUINCE_ENGINE_ERROR_PROTOCOL, 0 },
  { "cache events not a list", CALL_CACHE_EVENTS, 200, "{\"events\":3,\"last_seq\":1}",
    quince_engine_error_quark, QUINCE_ENGINE_ERROR_PROTOCOL, 0 },
  { "order", CALL_STAGE, 200, "{}", NULL, 0, 0 },
  { "order below the fence", CALL_ACTIVATE, 409, "{\"error\":{\"type\":\"stale_fence\"}}",
    quince_engine_error_quark, QUINCE_ENGINE_ERROR_STALE_FENCE, 0 },
  { "order refused", CALL_ACTIVATE, 409, "{\"error\":{\"type\":\"not_staged\"}}", quince_engine_error_quark,
    QUINCE_ENGINE_ERROR_REFUSED, 0 },
  { "order without an answer", CALL_STAGE, 0, NULL, quince_engine_error_quark,
    QUINCE_ENGINE_ERROR_UNREACHABLE, 0 },
  { "machines", CALL_MACHINES, 200,
    "{\"machines\":[" MACHINE "\"127.0.0.1:9\"},{\"name\":\"x\",\"kind\":\"trainer\"}]}", NULL, 0, 1 },
  { "machine with a name for an address", CALL_MACHINES, 200, "{\"machines\":[" MACHINE "\"example:9\"}]}",
    quince_machine_list_error_quark, QUINCE_MACHINE_LIST_ERROR_PROTOCOL, 0 },
  { "machines not a list", CALL_MACHINES, 200, "{}", quince_machine_list_error_quark,
    QUINCE_MACHINE_LIST_ERROR_PROTOCOL, 0 },
  { "machines without an answer", CALL_MACHINES, 0, NULL, quince_machine_list_error_quark,
    QUINCE_MACHINE_LIST_ERROR_UNREACHABLE, 0 },
  { "versions", CALL_VERSIONS, 200, "{\"latest\":7,\"versions\":[7]}", NULL, 0, 7 },
  { "versions above the rate", CALL_VERSIONS, 429, "{}", quince_weight_store_error_quark,
    QUINCE_WEIGHT_STORE_ERROR_RATE, 0 },
  { "versions without latest", CALL_VERSIONS, 200, "{}", quince_weight_store_error_quark,
    QUINCE_WEIGHT_STORE_ERROR_PROTOCOL, 0 },
  { "versions without an answer", CALL_VERSIONS, 0, NULL, quince_weight_store_error_quark,
    QUINCE_WEIGHT_STORE_ERROR_UNREACHABLE, 0 },
};

static void
check_case (const AnswerCase *expected, const Service *service)
{
  gboolean as_expected = expected->domain == NULL
                             ? service->error == NULL && service->value == expected->value
                             : g_error_matches (service->error, expected->domain (), expected->code);
  if (!as_expected)
    fail_msg ("%s: value %" G_GUINT64_FORMAT ", error %s", expected->name, service->value,
              service->error != NULL ? service->error->message : "none");
}

static void
run_case (const AnswerCase *expected)
{
  Service service = { .body = expected->body, .status = expected->status };
  g_autoptr (SoupServer) server = soup_server_new (NULL, NULL);
  g_autoptr (SoupSession) session = soup_session_new ();
  g_autofree char *address = NULL;
  soup_server_add_handler (server, NULL, serve, &service, NULL);
  assert_true (quince_http_listen (server, "127.0.0.1:0", &address, NULL));
  begin_call (expected->call, session, address, expected->body != NULL ? TIMEOUT_MS : HANG_TIMEOUT_MS,
              &service);
  while (!service.done)
    g_main_context_iteration (NULL, TRUE);
  check_case (expected, &service);
  if (expected->call == CALL_ACTIVATE)
    {
      assert_string_equal (service.path, "/admin/weights/activate");
      assert_string_equal (service.request, "{\"version\":5,\"fence\":6,\"running\":\"resume\"}");
    }
  soup_server_disconnect (server);
  g_clear_error (&service.error);
  g_free (service.path);
  g_free (service.request);
}

static void
test_each_answer_has_its_meaning (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (answer_cases); i++)
    run_case (&answer_cases[i]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_each_answer_has_its_meaning) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
