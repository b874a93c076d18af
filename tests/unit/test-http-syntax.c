/*
 * test-http-syntax.c: the heads of requests.  Guards against a line end in a header or a target that ends the
 * request, so that its receiver reads another one from the rest.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "http1/http-client.h"
#include "http1/http-syntax.h"
#include "runtime/acceptor.h"

#define READ_BYTES 4096

static void
test_texts (void **state)
{
  assert_true (quince_http_is_name ("X-a.1"));
  assert_false (quince_http_is_name (""));
  assert_false (quince_http_is_name ("a:"));
  assert_false (quince_http_is_name ("a\r"));
  assert_true (quince_http_is_value (""));
  assert_true (quince_http_is_value ("a\tb c\xc3\xa9"));
  assert_false (quince_http_is_value ("a\n"));
  assert_false (quince_http_is_value ("a\x7f"));
  assert_true (quince_http_is_word ("a/\xc3\xa9"));
  assert_false (quince_http_is_word ("a b"));
  assert_false (quince_http_is_word (""));
  assert_true (quince_http_is_target ("/a?b"));
  assert_false (quince_http_is_target ("a"));
  assert_false (quince_http_is_target ("/a\r\n"));
}

static void
take_socket (GSocket *socket, gpointer data)
{
  *(GSocket **)data = socket;
}

static void
ignore_end (QuinceHttpExchange *exchange, QuinceHttpOutcome outcome, const GError *error, gpointer data)
{
}

/* Returns (transfer full): what the server receives of a POST of @body with @headers */
static char *
receive_request (const char *target, const QuinceHttpHeaders *headers, GBytes *body)
{
  static const QuinceHttpExchangeCallbacks callbacks = { .done = ignore_end };
  GSocket *socket = NULL;
  QuinceAcceptor *acceptor = quince_acceptor_new ("127.0.0.1:0", take_socket, &socket, NULL);
  QuinceHttpPool *pool = quince_http_pool_new (quince_acceptor_get_address (acceptor));
  const QuinceHttpRequest request = { .method = "POST", .target = target, .headers = headers, .body = body };
  QuinceHttpExchange *exchange = quince_http_pool_start (pool, &request, &callbacks, NULL);
  while (socket == NULL)
    g_main_context_iteration (NULL, TRUE);
  char *text = g_malloc0 (READ_BYTES);
  gsize length = 0;
  g_socket_set_blocking (socket, FALSE);
  while (strstr (text, "\r\n\r\nbody") == NULL)
    {
      g_main_context_iteration (NULL, FALSE);
      gssize received = g_socket_receive (socket, text + length, READ_BYTES - 1 - length, NULL, NULL);
      length += received > 0 ? (gsize)received : 0;
    }
  quince_http_exchange_cancel (exchange);
  quince_http_pool_unref (pool);
  g_socket_close (socket, NULL);
  g_object_unref (socket);
  quince_acceptor_free (acceptor);
  return text;
}

/* One request with one length, whatever its texts hold. */
static void
test_request_head (void **state)
{
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  g_autoptr (GBytes) body = g_bytes_new_static ("body", 4);
  quince_http_headers_add (headers, "Host", "h");
  quince_http_headers_add (headers, "A", "b\r\nC: d\r\n\r\nGET /e HTTP/1.1");
  quince_http_headers_add (headers, "F\r\nG", "h");
  quince_http_headers_add (headers, "Transfer-Encoding", "chunked");
  quince_http_headers_add (headers, "content-length", "1");
  quince_http_headers_add (headers, "I", "a\tb");
  g_autofree char *text = receive_request ("/j HTTP/1.1\r\n\r\nGET /k", headers, body);
  assert_string_equal (text, "POST /j%20HTTP/1.1%0D%0A%0D%0AGET%20/k HTTP/1.1\r\nHost: h\r\n"
                             "A: b  C: d    GET /e HTTP/1.1\r\nI: a\tb\r\nContent-Length: 4\r\n\r\nbody");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_texts),
    cmocka_unit_test (test_request_head),
  };
  return cmocka_run_group_tests_name ("http-syntax", tests, NULL, NULL);
}
