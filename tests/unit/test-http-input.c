/*
 * test-http-input.c: guards against bytes after the end of an HTTP message that end the process, or become a
 * part of the next message.
 */
#include <string.h>

#include "http-peer.h"

/* The messages that a connection must read from @bytes. */
typedef struct
{
  const char *name;
  gboolean is_client;
  const char *bytes;
  const char *record;
} InputCase;

#define CHUNKED_RESPONSE "HTTP/1.1 200 OK\r\nA: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"
#define CHUNKED_RESPONSE_RECORD "200|A=1|Transfer-Encoding=chunked|ab;"
#define CHUNKED_REQUEST "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"
#define CHUNKED_REQUEST_RECORD "POST /a|Host=h|Transfer-Encoding=chunked|ab;"
#define NEXT_RESPONSE "HTTP/1.1 201 Created\r\nB: 2\r\nContent-Length: 1\r\n\r\nc"
#define NEXT_RESPONSE_RECORD "201|B=2|Content-Length=1|c;"
#define NEXT_REQUEST "GET /b HTTP/1.1\r\nHost: i\r\n\r\n"
#define NEXT_REQUEST_RECORD "GET /b|Host=i|;"

static const InputCase trailer_cases[] = {
  { "response, one trailer field", TRUE, CHUNKED_RESPONSE "T: 1\r\n\r\n" NEXT_RESPONSE,
    CHUNKED_RESPONSE_RECORD NEXT_RESPONSE_RECORD },
  { "response, two trailer fields", TRUE, CHUNKED_RESPONSE "T: 1\r\nU: 2\r\n\r\n" NEXT_RESPONSE,
    CHUNKED_RESPONSE_RECORD NEXT_RESPONSE_RECORD },
  { "response, an event after the last chunk", TRUE, CHUNKED_RESPONSE "id: 2\ndata: hello\n\n" NEXT_RESPONSE,
    CHUNKED_RESPONSE_RECORD NEXT_RESPONSE_RECORD },
  { "response, a folded trailer field", TRUE, CHUNKED_RESPONSE "T: 1\r\n 2\r\nU:\r\n\r\n" NEXT_RESPONSE,
    CHUNKED_RESPONSE_RECORD NEXT_RESPONSE_RECORD },
  { "response, no field after the last chunk", TRUE, CHUNKED_RESPONSE "no field\r\n\r\n" NEXT_RESPONSE,
    "200|A=1|Transfer-Encoding=chunked|ab" },
  { "request, one trailer field", FALSE, CHUNKED_REQUEST "Model: x\r\n\r\n" NEXT_REQUEST,
    CHUNKED_REQUEST_RECORD NEXT_REQUEST_RECORD },
  { "request, two trailer fields", FALSE, CHUNKED_REQUEST "T: 1\r\nModel: x\r\n\r\n" NEXT_REQUEST,
    CHUNKED_REQUEST_RECORD NEXT_REQUEST_RECORD },
  { "request, no field after the last chunk", FALSE, CHUNKED_REQUEST "no field\r\n\r\n" NEXT_REQUEST,
    "POST /a|Host=h|Transfer-Encoding=chunked|ab" },
};

static const InputCase interim_cases[] = {
  { "interim response that announces a body", TRUE,
    "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n" NEXT_RESPONSE, NEXT_RESPONSE_RECORD },
  { "interim response that announces chunks", TRUE,
    "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" NEXT_RESPONSE, NEXT_RESPONSE_RECORD },
  { "interim response with a body", TRUE,
    "HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\nhello" NEXT_RESPONSE, "" },
  { "response that switches protocols", TRUE,
    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" NEXT_RESPONSE, "" },
  { "CONNECT with a request as its body", FALSE,
    "CONNECT h:1 HTTP/1.1\r\nHost: h\r\nContent-Length: 27\r\n\r\n" NEXT_REQUEST, "" },
  { "request that asks for another protocol", FALSE,
    "GET /a HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" NEXT_REQUEST,
    "GET /a|Connection=upgrade|Upgrade=x|;" NEXT_REQUEST_RECORD },
};

static const InputCase value_cases[] = {
  { "blanks around values", TRUE, "HTTP/1.1 201 Created\r\nB:  2 \t\r\nE:  \r\nContent-Length: 1 \r\n\r\nc",
    "201|B=2|E=|Content-Length=1|c;" },
  { "blanks around values of a request", FALSE, "GET /b HTTP/1.1\r\nHost: i \r\n\r\n", NEXT_REQUEST_RECORD },
};

#define ODD_STATUS(status)                                                                                   \
  {                                                                                                          \
    status, TRUE, "HTTP/1.1 " status " Odd\r\nContent-Length: 5\r\n\r\nhello", ""                            \
  }

/* No message is read from any of them: neither a response, nor an interim one before the next response. */
static const InputCase odd_status_cases[] = {
  ODD_STATUS ("000"),
  ODD_STATUS ("001"),
  ODD_STATUS ("099"),
  ODD_STATUS ("20"),
  ODD_STATUS ("0200"),
  ODD_STATUS ("00200"),
  ODD_STATUS ("600"),
  ODD_STATUS ("700"),
  ODD_STATUS ("999"),
  ODD_STATUS ("1000"),
  ODD_STATUS ("-20"),
  ODD_STATUS ("OK"),
  { "odd status and another response", TRUE,
    "HTTP/1.1 099 Odd\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "" },
  { "odd status after an interim response", TRUE,
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 0200 OK\r\nContent-Length: 0\r\n\r\n", "" },
  { "odd status after a response", TRUE,
    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n",
    "200|Content-Length=1|a;" },
};

/* The next response begins right after the head. */
static const InputCase no_body_cases[] = {
  { "204 with a length", TRUE,
    "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
    "204|Content-Length=5|;200|Content-Length=1|a;" },
  { "304 with chunks", TRUE,
    "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 503 No\r\nContent-Length: "
    "0\r\n\r\n",
    "304|Transfer-Encoding=chunked|;503|Content-Length=0|;" },
  { "all statuses of a response", TRUE,
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 599 Last\r\nContent-Length: 0\r\n\r\n"
    "HTTP/1.1 199 Interim\r\n\r\nHTTP/1.1 404\r\nContent-Length: 0\r\n\r\n",
    "200|Content-Length=0|;599|Content-Length=0|;404|Content-Length=0|;" },
};

/* Sends the bytes in two parts; @split: length of the first one */
static void
check_split (const InputCase *c, gsize split)
{
  Peer peer;
  peer_init (&peer, c->is_client);
  peer_send (&peer, c->bytes, split);
  peer_send (&peer, c->bytes + split, strlen (c->bytes) - split);
  peer_finish (&peer);
  if (strcmp (peer.record->str, c->record) != 0)
    fail_msg ("%s, split at %u: read %s", c->name, (guint)split, peer.record->str);
  peer_clear (&peer);
}

static void
check_bytewise (const InputCase *c)
{
  Peer peer;
  peer_init (&peer, c->is_client);
  for (gsize i = 0; i < strlen (c->bytes); i++)
    peer_send (&peer, c->bytes + i, 1);
  peer_finish (&peer);
  if (strcmp (peer.record->str, c->record) != 0)
    fail_msg ("%s, byte by byte: read %s", c->name, peer.record->str);
  peer_clear (&peer);
}

static void
check_cases (const InputCase *cases, guint n_cases)
{
  for (guint i = 0; i < n_cases; i++)
    {
      for (gsize split = 0; split < strlen (cases[i].bytes); split++)
        check_split (&cases[i], split);
      check_bytewise (&cases[i]);
    }
}

/* Guards against trailer fields of a chunked message, or bytes in their place, that end the process or become
 * headers of the next message. */
static void
test_bytes_after_last_chunk (void **state)
{
  check_cases (trailer_cases, G_N_ELEMENTS (trailer_cases));
}

/* Guards against a body of an interim response that becomes a part of the final one, and against bytes that
 * are read as messages after a switch to another protocol. */
static void
test_bytes_after_interim_response (void **state)
{
  check_cases (interim_cases, G_N_ELEMENTS (interim_cases));
}

/* Guards against blanks that make an id differ from its copy in the answer. */
static void
test_blanks_around_values (void **state)
{
  check_cases (value_cases, G_N_ELEMENTS (value_cases));
}

/* Guards against a status that no response has: it was passed on, or the response was waited for after it. */
static void
test_odd_statuses (void **state)
{
  check_cases (odd_status_cases, G_N_ELEMENTS (odd_status_cases));
}

/* An odd status ends the connection once its head is read, before the peer closes. */
static void
test_odd_status_ends_connection (void **state)
{
  static const char head[] = "HTTP/1.1 000 Odd\r\n\r\n";
  Peer peer;
  peer_init (&peer, TRUE);
  peer_send (&peer, head, strlen (head));
  for (guint i = 0; i < PEER_ITERATIONS_MAX && peer.state != PEER_ENDED; i++)
    g_main_context_iteration (NULL, FALSE);
  assert_int_equal (peer.state, PEER_ENDED);
  assert_true (peer.failed);
  peer_clear (&peer);
}

/* Guards against bytes behind a response without a body that are passed on as its body. */
static void
test_responses_without_body (void **state)
{
  check_cases (no_body_cases, G_N_ELEMENTS (no_body_cases));
}

/* Length of a body that, with half of the head of NEXT_REQUEST, exceeds the limit of a head. */
#define LARGE_BODY_BYTES (PEER_HEAD_MAX_BYTES - 10)

/* Guards against counting the bytes of earlier messages to the size of a head that arrives in two parts: the
 * request was refused as too large. */
static void
test_head_after_large_body (void **state)
{
  g_autofree char *body = g_strnfill (LARGE_BODY_BYTES, 'x');
  g_autofree char *first = g_strdup_printf ("POST /a HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" NEXT_REQUEST,
                                            LARGE_BODY_BYTES, body);
  Peer peer;
  peer_init (&peer, FALSE);
  for (guint i = 0; i < 2; i++)
    {
      peer_send (&peer, first, strlen (first) - strlen (NEXT_REQUEST) / 2);
      peer_send (&peer, first + strlen (first) - strlen (NEXT_REQUEST) / 2, strlen (NEXT_REQUEST) / 2);
    }
  peer_finish (&peer);
  assert_false (peer.refused);
  assert_true (g_str_has_suffix (peer.record->str, NEXT_REQUEST_RECORD));
  peer_clear (&peer);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_bytes_after_last_chunk), cmocka_unit_test (test_bytes_after_interim_response),
    cmocka_unit_test (test_odd_statuses),           cmocka_unit_test (test_odd_status_ends_connection),
    cmocka_unit_test (test_responses_without_body), cmocka_unit_test (test_head_after_large_body),
    cmocka_unit_test (test_blanks_around_values),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
