/*
 * test-http-pool.c: guards against a client pool that accepts truncated or malformed responses, or reuses a
 * connection that is no longer usable.
 */
#include "http1/http-client.h"
#include "runtime/clock.h"
#include "runtime/timer.h"

#include <string.h>

#include "await.h"
#include "standin-server.h"

/* ---- Scripted responses ------------------------------------------------ */

typedef enum
{
  END_KEEP_OPEN, /* the connection stays open */
  END_CLOSE,     /* the connection is closed cleanly */
  END_RESET,     /* the connection is reset */
  END_STALL,     /* the connection stays open, the response unfinished */
} ResponseEnd;

typedef struct
{
  const char *name;
  const char *bytes;
  ResponseEnd end;
  QuinceHttpOutcome outcome;
  guint status;
  const char *body;
  gboolean reused; /* the connection is used for the next request */
} ScriptedResponse;

/* Calls whose responses stay unfinished; released after their server. */
static GPtrArray *stalled_calls;

static void
send_response (StandinCall *call, gpointer data)
{
  const ScriptedResponse *response = data;
  standin_call_write (call, response->bytes);
  switch (response->end)
    {
    case END_KEEP_OPEN:
      standin_call_finish (call);
      break;
    case END_CLOSE:
      standin_call_close_connection (call);
      break;
    case END_RESET:
      /* Lets the client read the bytes before the reset. */
      run_for (30);
      standin_call_reset_connection (call);
      break;
    case END_STALL:
      g_ptr_array_add (stalled_calls, call);
      break;
    }
}

typedef struct
{
  gboolean done;
  QuinceHttpOutcome outcome;
  int error;
  guint status;
  char *body;
} ExchangeResult;

static void
exchange_done (QuinceHttpExchange *exchange, QuinceHttpOutcome outcome, const GError *error, gpointer data)
{
  ExchangeResult *result = data;
  const GByteArray *body = quince_http_exchange_get_body (exchange);
  result->done = TRUE;
  result->outcome = outcome;
  result->error = error != NULL ? error->code : -1;
  result->status = quince_http_exchange_get_head (exchange) != NULL
                       ? quince_http_exchange_get_head (exchange)->status
                       : 0;
  result->body = g_strndup (body->len > 0 ? (const char *)body->data : "", body->len);
}

static const QuinceHttpExchangeCallbacks callbacks = { .done = exchange_done };

static void
run_exchange (QuinceHttpPool *pool, ExchangeResult *result, gint64 timeout_us)
{
  g_autoptr (GBytes) body = g_bytes_new_static ("question", 8);
  const QuinceHttpRequest request
      = { .method = "POST", .target = "/a/b?c=d", .body = body, .timeout_us = timeout_us };
  *result = (ExchangeResult){ 0 };
  quince_http_pool_start (pool, &request, &callbacks, result);
  AWAIT (result->done);
}

static const ScriptedResponse scripted_responses[] = {
  { "complete response", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", END_KEEP_OPEN,
    QUINCE_HTTP_ANSWERED, 200, "ab", TRUE },
  { "chunked response", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
    END_KEEP_OPEN, QUINCE_HTTP_ANSWERED, 200, "abc", TRUE },
  { "interim response first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
    END_KEEP_OPEN, QUINCE_HTTP_ANSWERED, 200, "a", TRUE },
  { "Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na", END_KEEP_OPEN,
    QUINCE_HTTP_ANSWERED, 200, "a", FALSE },
  { "Keep-Alive: timeout=0", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 1\r\n\r\na",
    END_KEEP_OPEN, QUINCE_HTTP_ANSWERED, 200, "a", FALSE },
  { "extra bytes after the response",
    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb",
    END_KEEP_OPEN, QUINCE_HTTP_ANSWERED, 200, "a", FALSE },
  { "closed within the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", END_CLOSE, QUINCE_HTTP_BROKEN,
    200, "ab", FALSE },
  { "closed within a chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
    END_CLOSE, QUINCE_HTTP_BROKEN, 200, "ab", FALSE },
  { "closed within the head", "HTTP/1.1 200 OK\r\nContent-Le", END_CLOSE, QUINCE_HTTP_BROKEN, 0, "", FALSE },
  { "closed without a response", "", END_CLOSE, QUINCE_HTTP_BROKEN, 0, "", FALSE },
  { "no length, closed cleanly", "HTTP/1.1 200 OK\r\n\r\nabc", END_CLOSE, QUINCE_HTTP_ANSWERED, 200, "abc",
    FALSE },
  { "no length, reset", "HTTP/1.1 200 OK\r\n\r\nabc", END_RESET, QUINCE_HTTP_BROKEN, 200, "abc", FALSE },
  { "not HTTP", "hello\r\n\r\n", END_KEEP_OPEN, QUINCE_HTTP_BROKEN, 0, "", FALSE },
  { "two Content-Length headers", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    END_KEEP_OPEN, QUINCE_HTTP_BROKEN, 0, "", FALSE },
  { "no response", "", END_STALL, QUINCE_HTTP_BROKEN, 0, "", FALSE },
};

static void
test_scripted_responses (void **state)
{
  stalled_calls = g_ptr_array_new_with_free_func ((GDestroyNotify)standin_call_finish);
  for (guint i = 0; i < G_N_ELEMENTS (scripted_responses); i++)
    {
      const ScriptedResponse *response = &scripted_responses[i];
      StandinServer *server = standin_server_new (send_response, (gpointer)response);
      QuinceHttpPool *pool = quince_http_pool_new (standin_server_get_address (server));
      ExchangeResult result;
      run_exchange (pool, &result, 500 * 1000);
      if (result.outcome != response->outcome || result.status != response->status
          || strcmp (result.body, response->body) != 0)
        fail_msg ("%s: outcome %d status %u body '%s'", response->name, result.outcome, result.status,
                  result.body);
      g_free (result.body);
      run_for (20);
      run_exchange (pool, &result, 500 * 1000);
      g_free (result.body);
      guint expected = response->reused ? 1 : 2;
      if (quince_http_pool_get_n_connections_opened (pool) != expected)
        fail_msg ("%s: %u connections were opened", response->name,
                  (guint)quince_http_pool_get_n_connections_opened (pool));
      assert_int_equal (quince_http_pool_get_n_busy (pool), 0);
      quince_http_pool_unref (pool);
      standin_server_free (server);
    }
  g_ptr_array_unref (stalled_calls);
}

static void
test_connection_refused (void **state)
{
  StandinServer *server = standin_server_new (send_response, NULL);
  QuinceHttpPool *pool = quince_http_pool_new (standin_server_get_address (server));
  standin_server_free (server);
  ExchangeResult result;
  run_exchange (pool, &result, 500 * 1000);
  assert_int_equal (result.outcome, QUINCE_HTTP_NOT_SENT);
  g_free (result.body);
  quince_http_pool_unref (pool);
}

/* An idle connection that the server closed is not reused. */
static void
test_idle_connection_closed (void **state)
{
  StandinServer *server = standin_server_new (send_response, (gpointer)&scripted_responses[0]);
  QuinceHttpPool *pool = quince_http_pool_new (standin_server_get_address (server));
  ExchangeResult result;
  run_exchange (pool, &result, 500 * 1000);
  g_free (result.body);
  assert_int_equal (quince_http_pool_get_n_idle (pool), 1);
  standin_server_close_connections (server);
  AWAIT (quince_http_pool_get_n_idle (pool) == 0);
  run_exchange (pool, &result, 500 * 1000);
  assert_int_equal (result.outcome, QUINCE_HTTP_ANSWERED);
  g_free (result.body);
  quince_http_pool_unref (pool);
  standin_server_free (server);
}

#define SURPLUS_ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nsurplus"

static void
capture_first_call (StandinCall *call, gpointer data)
{
  StandinCall **first = data;
  standin_call_write (call, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
  if (*first == NULL)
    *first = call;
  else
    standin_call_finish (call);
}

/* Guards against a response that arrives while no request waits, and is read as the response to the next one:
 * before the next request if @has_time, otherwise still unread when it starts. */
static void
check_surplus_response (gboolean has_time)
{
  StandinCall *call = NULL;
  StandinServer *server = standin_server_new (capture_first_call, &call);
  QuinceHttpPool *pool = quince_http_pool_new (standin_server_get_address (server));
  ExchangeResult result;
  run_exchange (pool, &result, 500 * 1000);
  g_free (result.body);
  assert_int_equal (quince_http_pool_get_n_idle (pool), 1);
  standin_call_write (call, SURPLUS_ANSWER);
  if (has_time)
    AWAIT (quince_http_pool_get_n_idle (pool) == 0);
  else
    g_usleep (20 * 1000);
  run_exchange (pool, &result, 500 * 1000);
  assert_int_equal (result.outcome, QUINCE_HTTP_ANSWERED);
  assert_string_equal (result.body, "ab");
  assert_int_equal (quince_http_pool_get_n_connections_opened (pool), 2);
  g_free (result.body);
  standin_call_finish (call);
  quince_http_pool_unref (pool);
  standin_server_free (server);
}

static void
test_surplus_response_to_idle_connection (void **state)
{
  check_surplus_response (FALSE);
  check_surplus_response (TRUE);
}

#define ID_HEADER "Request-Id"

static void
answer_with_id (StandinCall *call, gpointer data)
{
  g_autofree char *headers
      = g_strdup_printf (ID_HEADER ": %s\r\n", standin_call_get_header (call, ID_HEADER));
  standin_call_answer (call, 200, headers, "ab", 2);
}

static void
run_exchange_with_id (QuinceHttpPool *pool, const char *id)
{
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  quince_http_headers_add (headers, ID_HEADER, id);
  const QuinceHttpRequest request = { .method = "GET", .target = "/", .headers = headers };
  ExchangeResult result = { 0 };
  quince_http_pool_start (pool, &request, &callbacks, &result);
  AWAIT (result.done);
  assert_int_equal (result.outcome, QUINCE_HTTP_ANSWERED);
  g_free (result.body);
}

/* Guards against sending an id twice on a connection, where a second answer to the first request cannot be
 * told from the answer to the second one, and against a growing number of connections where ids are repeated.
 * Other ids still share a connection. */
static void
test_connection_carries_id_once (void **state)
{
  StandinServer *server = standin_server_new (answer_with_id, NULL);
  QuinceHttpPool *pool = quince_http_pool_new_with_ids (standin_server_get_address (server), ID_HEADER);
  static const struct
  {
    const char *id;
    guint opened; /* connections so far */
  } sends[] = { { "a", 1 }, { "b", 1 }, { "a", 2 }, { "b", 2 }, { "c", 2 }, { "a", 3 }, { "d", 3 } };
  for (guint i = 0; i < G_N_ELEMENTS (sends); i++)
    {
      run_exchange_with_id (pool, sends[i].id);
      if (quince_http_pool_get_n_connections_opened (pool) != sends[i].opened)
        fail_msg ("%u connections after %s, number %u",
                  (guint)quince_http_pool_get_n_connections_opened (pool), sends[i].id, i);
      assert_int_equal (quince_http_pool_get_n_idle (pool), 1);
    }
  quince_http_pool_unref (pool);
  standin_server_free (server);
}

static gboolean call_was_gone;

static void
capture_call (StandinCall *call, gpointer data)
{
  *(StandinCall **)data = call;
}

/* Cancelling an exchange closes its connection, so that the server can stop its work. */
static void
test_cancel_closes_connection (void **state)
{
  StandinCall *call = NULL;
  StandinServer *server = standin_server_new (capture_call, &call);
  QuinceHttpPool *pool = quince_http_pool_new (standin_server_get_address (server));
  const QuinceHttpRequest request = { .method = "GET", .target = "/" };
  ExchangeResult result = { 0 };
  QuinceHttpExchange *exchange = quince_http_pool_start (pool, &request, &callbacks, &result);
  AWAIT (call != NULL);
  quince_http_exchange_cancel (exchange);
  AWAIT (call->disconnected);
  call_was_gone = call->disconnected;
  standin_call_finish (call);
  assert_true (call_was_gone);
  assert_false (result.done);
  quince_http_pool_unref (pool);
  standin_server_free (server);
}

static void
count_call (StandinCall *call, gpointer data)
{
  *(guint *)data += 1;
  standin_call_answer (call, 200, "", "ab", 2);
}

/* A request is not sent after its send deadline. */
static void
test_send_deadline (void **state)
{
  guint calls = 0;
  StandinServer *server = standin_server_new (count_call, &calls);
  QuinceHttpPool *pool = quince_http_pool_new (standin_server_get_address (server));
  QuinceHttpRequest request = { .method = "GET", .target = "/", .send_by_us = quince_now_us () - 1 };
  ExchangeResult result = { 0 };
  quince_http_pool_start (pool, &request, &callbacks, &result);
  AWAIT (result.done);
  assert_int_equal (result.outcome, QUINCE_HTTP_NOT_SENT);
  g_free (result.body);
  run_for (50);
  assert_int_equal (calls, 0);
  assert_int_equal (quince_http_pool_get_n_busy (pool), 0);
  request.send_by_us = quince_now_us () + G_USEC_PER_SEC;
  for (guint i = 1; i <= 2; i++) /* on a new connection, then on reused ones */
    {
      result = (ExchangeResult){ 0 };
      quince_http_pool_start (pool, &request, &callbacks, &result);
      AWAIT (result.done);
      assert_int_equal (result.outcome, QUINCE_HTTP_ANSWERED);
      assert_string_equal (result.body, "ab");
      assert_int_equal (calls, i);
      g_free (result.body);
    }
  quince_http_pool_unref (pool);
  standin_server_free (server);
}

#define STALL_US (300 * 1000)

/* Answers, then blocks the main loop of the client until the client's timeout has passed. */
static void
answer_and_stall (StandinCall *call, gpointer data)
{
  standin_call_answer (call, 200, "", "ab", 2);
  g_usleep (STALL_US);
}

/* A response that arrived while the process was blocked is accepted although its timeout has passed. */
static void
test_received_answer_precedes_timeout (void **state)
{
  StandinServer *server = standin_server_new (answer_and_stall, NULL);
  QuinceHttpPool *pool = quince_http_pool_new (standin_server_get_address (server));
  for (guint i = 0; i < 4; i++) /* on a new connection, then on reused ones */
    {
      ExchangeResult result;
      run_exchange (pool, &result, STALL_US / 2);
      assert_int_equal (result.outcome, QUINCE_HTTP_ANSWERED);
      assert_string_equal (result.body, "ab");
      g_free (result.body);
    }
  quince_http_pool_unref (pool);
  standin_server_free (server);
}

/* Longer than the connect timeout of a pool. */
#define STOP_US (900 * 1000)

static gboolean
do_nothing (gpointer data)
{
  return G_SOURCE_CONTINUE;
}

/* Guards against a connect timeout that ends an exchange although its connection was established while the
 * process was stopped.  The front then refused a lookup with cause=no_connection. */
static void
test_established_connection_precedes_timeout (void **state)
{
  /* Creates the main loop source of timers before the one of sockets, so that it is dispatched first. */
  QuinceTimer *earlier_timer = quince_timer_add (1, do_nothing, NULL);
  guint calls = 0;
  StandinServer *server = standin_server_new (count_call, &calls);
  QuinceHttpPool *pool = quince_http_pool_new (standin_server_get_address (server));
  QuinceHttpRequest request = { .method = "GET", .target = "/" };
  for (guint i = 1; i <= 2; i++) /* without a send deadline, then with one */
    {
      ExchangeResult result = { 0 };
      quince_http_pool_start (pool, &request, &callbacks, &result);
      g_usleep (STOP_US);
      AWAIT (result.done);
      assert_int_equal (result.outcome, QUINCE_HTTP_ANSWERED);
      assert_int_equal (calls, i);
      g_free (result.body);
      quince_http_pool_close_idle (pool);
      request.send_by_us = quince_now_us () + 2 * STOP_US;
    }
  quince_http_pool_unref (pool);
  standin_server_free (server);
  quince_timer_clear (&earlier_timer);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_scripted_responses),
    cmocka_unit_test (test_connection_refused),
    cmocka_unit_test (test_idle_connection_closed),
    cmocka_unit_test (test_surplus_response_to_idle_connection),
    cmocka_unit_test (test_connection_carries_id_once),
    cmocka_unit_test (test_cancel_closes_connection),
    cmocka_unit_test (test_send_deadline),
    cmocka_unit_test (test_received_answer_precedes_timeout),
    cmocka_unit_test (test_established_connection_precedes_timeout),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
