/*
 * test-http-surplus.c: guards against surplus or broken bytes from a server that become the response to
 * another request, whatever their order.
 *
 * Each seed sends requests with a few ids, often the same one again, through one pool.  The server writes
 * random surplus before and after its own responses.  The body of an own response is the number of its
 * request.
 */
#include "http1/http-client.h"

#include <string.h>

#include "await.h"
#include "soak-seeds.h"
#include "standin-server.h"

#ifdef __SANITIZE_ADDRESS__
#define DEFAULT_SEEDS 4000
#else
#define DEFAULT_SEEDS 400
#endif
#define REQUESTS 12
#define IDS 4
#define SURPLUS_PARTS_MAX 3
#define TIMEOUT_US (50 * 1000)
#define ID_HEADER "Request-Id"
#define NUMBER_HEADER "Number"

typedef struct
{
  GRand *random;
  GHashTable *responses; /* by QuinceHttpConnection: its last own response; both owned */
} Server;

typedef struct
{
  gboolean done;
  QuinceHttpOutcome outcome;
  char *body;
} Result;

/* Returns (transfer full) bytes that are no response to the request @id.  @last_response: (nullable): the
 * last own response on the connection */
static char *
make_surplus (Server *server, const char *id, const char *last_response)
{
  const char *status = g_rand_boolean (server->random) ? "200 OK" : "503 Service Unavailable";
  switch (g_rand_int_range (server->random, 0, 8))
    {
    case 0:
    case 1:
      return g_strdup_printf ("HTTP/1.1 %s\r\n" ID_HEADER ": %s-other\r\nContent-Length: 5\r\n\r\nother",
                              status, id);
    case 2:
      return g_strdup_printf ("HTTP/1.1 %s\r\nContent-Length: 7\r\n\r\nunnamed", status);
    case 3:
      return g_strdup_printf ("HTTP/1.1 %s\r\n" ID_HEADER ": other\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "5\r\nother\r\n0\r\nid: 2\ndata: x\n\n",
                              status);
    case 4:
      return g_strdup_printf ("HTTP/1.1 103 Early Hints\r\n" ID_HEADER ": %s\r\nContent-Length: 4\r\n\r\n",
                              id);
    case 5:
      return g_strdup ("id: 2\ndata: no response\n\n");
    case 6:
      return g_strdup_printf ("HTTP/1.1 %s\r\n" ID_HEADER ": other\r\n\r\nwithout a length", status);
    default:
      return g_strdup (last_response != NULL ? last_response : "");
    }
}

static void
write_surplus (Server *server, StandinCall *call, const char *id)
{
  for (gint parts = g_rand_int_range (server->random, 0, SURPLUS_PARTS_MAX); parts > 0; parts--)
    {
      const char *last_response = g_hash_table_lookup (server->responses, call->connection);
      g_autofree char *surplus = make_surplus (server, id, last_response);
      standin_call_write (call, surplus);
    }
}

static void
answer (StandinCall *call, gpointer data)
{
  Server *server = data;
  g_autofree char *id = g_strdup (standin_call_get_header (call, ID_HEADER));
  const char *number = standin_call_get_header (call, NUMBER_HEADER);
  g_autofree char *own = g_strdup_printf (
      "HTTP/1.1 200 OK\r\n" ID_HEADER ": %s\r\nContent-Length: %zu\r\n\r\n%s", id, strlen (number), number);
  write_surplus (server, call, id);
  standin_call_write (call, own);
  g_hash_table_replace (server->responses, quince_http_connection_ref (call->connection), g_strdup (own));
  if (g_rand_int_range (server->random, 0, 4) == 0)
    write_surplus (server, call, id);
  standin_call_finish (call);
}

static void
exchange_done (QuinceHttpExchange *exchange, QuinceHttpOutcome outcome, const GError *error, gpointer data)
{
  Result *result = data;
  const GByteArray *body = quince_http_exchange_get_body (exchange);
  result->done = TRUE;
  result->outcome = outcome;
  result->body = g_strndup (body->len > 0 ? (const char *)body->data : "", body->len);
}

static const QuinceHttpExchangeCallbacks callbacks = { .done = exchange_done };

/* Returns whether the request got its own response.  Fails the test if it got another one. */
static gboolean
send_request (QuinceHttpPool *pool, guint32 seed, guint number, guint id)
{
  g_autofree char *id_text = g_strdup_printf ("id-%u", id);
  g_autofree char *number_text = g_strdup_printf ("%u", number);
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  quince_http_headers_add (headers, ID_HEADER, id_text);
  quince_http_headers_add (headers, NUMBER_HEADER, number_text);
  const QuinceHttpRequest request
      = { .method = "GET", .target = "/", .headers = headers, .timeout_us = TIMEOUT_US };
  Result result = { 0 };
  quince_http_pool_start (pool, &request, &callbacks, &result);
  AWAIT (result.done);
  gboolean answered = result.outcome == QUINCE_HTTP_ANSWERED;
  if (answered && strcmp (result.body, number_text) != 0)
    fail_msg ("seed %u: request %u got '%s'", seed, number, result.body);
  g_free (result.body);
  return answered;
}

static void
test_surplus_responses (void **state)
{
  guint32 first = get_first_seed ();
  guint32 n_seeds = get_n_seeds (DEFAULT_SEEDS);
  guint answered = 0;
  for (guint32 seed = first; seed < first + n_seeds; seed++)
    {
      Server server = { .random = g_rand_new_with_seed (seed) };
      server.responses
          = g_hash_table_new_full (NULL, NULL, (GDestroyNotify)quince_http_connection_unref, g_free);
      g_autoptr (GRand) ids = g_rand_new_with_seed (seed + 1);
      StandinServer *standin = standin_server_new (answer, &server);
      QuinceHttpPool *pool = quince_http_pool_new_with_ids (standin_server_get_address (standin), ID_HEADER);
      for (guint i = 0; i < REQUESTS; i++)
        answered += send_request (pool, seed, i, (guint)g_rand_int_range (ids, 0, IDS));
      quince_http_pool_unref (pool);
      standin_server_free (standin);
      g_hash_table_unref (server.responses);
      g_rand_free (server.random);
    }
  print_message ("%u of %u requests were answered\n", answered, n_seeds * REQUESTS);
  assert_true (answered > n_seeds * REQUESTS / 2);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_surplus_responses),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
