/*
 * test-http-limits.c: guards against a response that exceeds a limit of the HTTP client by one byte, or the
 * budget of all responses, and is not ended, and against a sound one that is.
 */
#include "http1/answer-budget.h"
#include "path-call.h"
#include "standin-server.h"

#define BODY_MAX_BYTES QUINCE_HTTP_COLLECTED_BODY_MAX_BYTES
/* So many incomplete bodies of this size are just within the budget. */
#define HOLDERS 4
#define HOLDER_BYTES (QUINCE_ANSWER_BUDGET_BYTES / HOLDERS)
#define SMALL_BYTES 4096
#define INTERIM_MAX 16
#define PAUSE_MS 200
/* What the kernel holds of a connection, and more. */
#define UNREAD_BYTES (64 * 1024 * 1024)

typedef struct
{
  StandinServer *server;
  QuinceHttpPool *pool;
  GPtrArray *calls; /* StandinCall, in order of arrival */
} Scene;

typedef struct
{
  gboolean done;
  QuinceHttpOutcome outcome;
  int code; /* of the error; 0: none */
  gsize n_bytes;
} Result;

static void
handle_call (StandinCall *call, gpointer data)
{
  g_ptr_array_add (data, call);
}

static void
scene_init (Scene *scene)
{
  scene->calls = g_ptr_array_new ();
  scene->server = standin_server_new (handle_call, scene->calls);
  scene->pool = quince_http_pool_new (standin_server_get_address (scene->server));
}

static void
scene_clear (Scene *scene)
{
  assert_int_equal (quince_http_pool_get_n_busy (scene->pool), 0);
  assert_int_equal (quince_answer_budget_get_held_bytes (), 0);
  quince_http_pool_unref (scene->pool);
  standin_server_free (scene->server);
  for (guint i = 0; i < scene->calls->len; i++)
    standin_call_finish (scene->calls->pdata[i]);
  g_ptr_array_unref (scene->calls);
}

static void
exchange_done (QuinceHttpExchange *exchange, QuinceHttpOutcome outcome, const GError *error, gpointer data)
{
  Result *result = data;
  result->done = TRUE;
  result->outcome = outcome;
  result->code = error != NULL ? error->code : 0;
  result->n_bytes += quince_http_exchange_get_body (exchange)->len;
}

static void
exchange_body (QuinceHttpExchange *exchange, const char *data, gsize length, gpointer user_data)
{
  ((Result *)user_data)->n_bytes += length;
}

static const QuinceHttpExchangeCallbacks collecting = { .done = exchange_done };
static const QuinceHttpExchangeCallbacks streaming = { .body = exchange_body, .done = exchange_done };

/* Sends a request and waits until the server has it. */
static QuinceHttpExchange *
start (Scene *scene, gsize max_body_bytes, const QuinceHttpExchangeCallbacks *callbacks, Result *result)
{
  const QuinceHttpRequest request = { .method = "GET", .target = "/", .max_body_bytes = max_body_bytes };
  guint n_calls = scene->calls->len;
  *result = (Result){ 0 };
  QuinceHttpExchange *exchange = quince_http_pool_start (scene->pool, &request, callbacks, result);
  AWAIT (scene->calls->len > n_calls);
  return exchange;
}

static StandinCall *
take_call (Scene *scene, guint index)
{
  return g_ptr_array_steal_index (scene->calls, index);
}

static void
write_body (StandinCall *call, gsize length)
{
  g_autofree char *body = g_strnfill (length, 'x');
  standin_call_write (call, body);
}

static void
assert_too_large (const Result *result)
{
  assert_int_equal (result->outcome, QUINCE_HTTP_BROKEN);
  assert_int_equal (result->code, QUINCE_HTTP1_ERROR_TOO_LARGE);
}

static void
check_size (gsize max_body_bytes, gsize length, gboolean fits)
{
  Scene scene;
  Result result;
  g_autofree char *body = g_strnfill (length, 'x');
  scene_init (&scene);
  start (&scene, max_body_bytes, &collecting, &result);
  standin_call_answer (take_call (&scene, 0), 200, "", body, -1);
  AWAIT (result.done);
  if (!fits)
    assert_too_large (&result);
  else
    assert_int_equal (result.n_bytes, length);
  assert_int_equal (result.outcome == QUINCE_HTTP_ANSWERED, fits);
  AWAIT (standin_server_get_n_connections (scene.server) == (fits ? 1 : 0));
  scene_clear (&scene);
}

static void
test_body_sizes (void **state)
{
  check_size (0, BODY_MAX_BYTES, TRUE);
  check_size (0, BODY_MAX_BYTES + 1, FALSE);
  check_size (SMALL_BYTES, SMALL_BYTES, TRUE);
  check_size (SMALL_BYTES, SMALL_BYTES + 1, FALSE);
}

static void
test_interim_responses (void **state)
{
  for (guint n_interim = INTERIM_MAX; n_interim <= INTERIM_MAX + 1; n_interim++)
    {
      Scene scene;
      Result result;
      scene_init (&scene);
      start (&scene, 0, &collecting, &result);
      for (guint i = 0; i < n_interim; i++)
        standin_call_write (scene.calls->pdata[0], "HTTP/1.1 102 Processing\r\n\r\n");
      standin_call_answer (take_call (&scene, 0), 200, "", "body", -1);
      AWAIT (result.done);
      assert_int_equal (result.outcome == QUINCE_HTTP_ANSWERED, n_interim <= INTERIM_MAX);
      if (n_interim > INTERIM_MAX)
        assert_too_large (&result);
      scene_clear (&scene);
    }
}

/* A body that is passed on has no limit, until its owner sets one. */
static void
test_passed_on (void **state)
{
  Scene scene;
  Result result;
  scene_init (&scene);
  QuinceHttpExchange *exchange = start (&scene, 0, &streaming, &result);
  standin_call_write (scene.calls->pdata[0], "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
  write_body (scene.calls->pdata[0], BODY_MAX_BYTES + 1);
  AWAIT (result.n_bytes == BODY_MAX_BYTES + 1);
  quince_http_exchange_limit_body (exchange, SMALL_BYTES);
  write_body (scene.calls->pdata[0], SMALL_BYTES);
  AWAIT (result.n_bytes == BODY_MAX_BYTES + 1 + SMALL_BYTES);
  assert_false (result.done);
  write_body (scene.calls->pdata[0], 1);
  AWAIT (result.done);
  assert_too_large (&result);
  scene_clear (&scene);
}

/* While an owner does not read, the peer's bytes stay where they are. */
static void
test_reading_stops (void **state)
{
  Scene scene;
  Result result;
  scene_init (&scene);
  QuinceHttpExchange *exchange = start (&scene, 0, &streaming, &result);
  standin_call_write (scene.calls->pdata[0], "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nx");
  AWAIT (result.n_bytes == 1);
  quince_http_exchange_set_reading (exchange, FALSE);
  write_body (scene.calls->pdata[0], UNREAD_BYTES);
  run_for (PAUSE_MS);
  assert_int_equal (result.n_bytes, 1);
  assert_true (
      quince_http_connection_has_pending_output (((StandinCall *)scene.calls->pdata[0])->connection));
  quince_http_exchange_set_reading (exchange, TRUE);
  AWAIT (result.n_bytes == 1 + UNREAD_BYTES);
  standin_call_close_connection (take_call (&scene, 0));
  AWAIT (result.done);
  assert_int_equal (result.outcome, QUINCE_HTTP_ANSWERED);
  scene_clear (&scene);
}

/* Beyond the budget the response that holds most ends, whichever one adds the last byte. */
static void
test_budget (void **state)
{
  Scene scene;
  Result holders[HOLDERS];
  Result small;
  scene_init (&scene);
  for (guint i = 0; i < HOLDERS; i++)
    {
      gsize length = HOLDER_BYTES + (i == 1 ? 1 : 0) - (i == 2 ? 1 : 0);
      start (&scene, 0, &collecting, &holders[i]);
      standin_call_write (scene.calls->pdata[i], "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
      write_body (scene.calls->pdata[i], length);
    }
  AWAIT (quince_answer_budget_get_held_bytes () == QUINCE_ANSWER_BUDGET_BYTES);
  start (&scene, 0, &collecting, &small);
  standin_call_answer (take_call (&scene, HOLDERS), 200, "", "sound", -1);
  AWAIT (small.done);
  assert_int_equal (small.outcome, QUINCE_HTTP_ANSWERED);
  assert_true (holders[1].done);
  assert_too_large (&holders[1]);
  for (guint i = 0; i < HOLDERS; i++)
    standin_call_close_connection (take_call (&scene, 0));
  for (guint i = 0; i < HOLDERS; i++)
    {
      AWAIT (holders[i].done);
      assert_int_equal (holders[i].outcome == QUINCE_HTTP_ANSWERED, i != 1);
    }
  scene_clear (&scene);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_body_sizes), cmocka_unit_test (test_interim_responses),
    cmocka_unit_test (test_passed_on),  cmocka_unit_test (test_reading_stops),
    cmocka_unit_test (test_budget),
  };
  return cmocka_run_group_tests_name ("http-limits", tests, NULL, NULL);
}
