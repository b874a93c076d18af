/*
 * test-relay-burst.c: guards against a relay stand-in that loses connections of a burst.  The kernel dropped
 * connection requests beyond the relay's backlog, and a front that had been stopped refused lookups with
 * no_connection although their worker was available.
 */
#include "http1/http-client.h"

#include "await.h"
#include "standin-relay.h"
#include "standin-server.h"

/* More than the calls that tests queue at a stopped front. */
#define CONNECTIONS 200

static guint n_answered;
static guint n_done;

static void
answer_call (StandinCall *call, gpointer data)
{
  standin_call_answer (call, 200, "", "ab", 2);
}

static void
count_outcome (QuinceHttpExchange *exchange, QuinceHttpOutcome outcome, const GError *error, gpointer data)
{
  n_done++;
  n_answered += outcome == QUINCE_HTTP_ANSWERED;
}

static const QuinceHttpExchangeCallbacks callbacks = { .done = count_outcome };

/* All connections are requested before the relay accepts the first one. */
static void
test_burst_of_connections (void **state)
{
  StandinServer *server = standin_server_new (answer_call, NULL);
  StandinRelay *relay = standin_relay_new (standin_server_get_address (server));
  QuinceHttpPool *pool = quince_http_pool_new (standin_relay_get_address (relay));
  const QuinceHttpRequest request = { .method = "GET", .target = "/" };
  for (guint i = 0; i < CONNECTIONS; i++)
    quince_http_pool_start (pool, &request, &callbacks, NULL);
  AWAIT (n_done == CONNECTIONS);
  assert_int_equal (n_answered, CONNECTIONS);
  quince_http_pool_unref (pool);
  standin_relay_free (relay);
  standin_server_free (server);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_burst_of_connections) };
  return cmocka_run_group_tests_name ("relay-burst", tests, NULL, NULL);
}
