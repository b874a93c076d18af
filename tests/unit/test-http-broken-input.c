/*
 * test-http-broken-input.c: guards against broken or surplus input that ends the process, changes the
 * messages before it, or adds headers to a message.
 *
 * Each seed sends some valid messages, then bytes that may be broken, in random parts, to a client or a
 * server connection.  Its owner may close the connection in any callback.  The sanitizers find errors of
 * memory.
 */
#include <string.h>

#include "http-peer.h"
#include "soak-seeds.h"

#ifdef __SANITIZE_ADDRESS__
#define DEFAULT_SEEDS 100000
#else
#define DEFAULT_SEEDS 20000
#endif
#define VALID_MESSAGES_MAX 4
#define PARTS_MAX 8
#define RANDOM_BYTES_MAX 400
#define SMALL_BODY_MAX_BYTES 40
/* Larger than a head may be. */
#define LARGE_BODY_BYTES (PEER_HEAD_MAX_BYTES + 100)
#define STOP_CALLBACK_MAX 8
/* Bytes that a connection may read of a head, or of what precedes it, that does not end: the limit of the
 * parser on each of the interim responses that a client accepts, and what lies in the kernel's buffers. */
#define ENDLESS_BYTES_MAX (16 * 1024 * 1024)
#define ENDLESS_BLOCK_BYTES (64 * 1024)
/* One of so many seeds sends bytes without end, which take longer. */
#define ENDLESS_ONE_IN 100
/* A head of so many lines exceeds PEER_HEAD_MAX_BYTES. */
#define LARGE_HEAD_LINES 300
/* Name of all trailer fields, which no valid message has among its headers. */
#define TRAILER_NAME "Trailer-Field"

/* The input of one connection, and the messages that must be read from it. */
typedef struct
{
  gboolean is_client;
  GRand *random;
  GString *bytes;
  GString *record;
} Input;

static gboolean
chance (Input *input, guint one_in)
{
  return g_rand_int_range (input->random, 0, (gint)one_in) == 0;
}

/* ---- Valid messages ------------------------------------------------------ */

static char *
make_body (Input *input)
{
  gint length = g_rand_int_range (input->random, 1, SMALL_BODY_MAX_BYTES + 1);
  if (chance (input, 8))
    length = LARGE_BODY_BYTES;
  char *body = g_malloc0 ((gsize)length + 1);
  for (gint i = 0; i < length; i++)
    body[i] = (char)g_rand_int_range (input->random, 'a', 'z' + 1);
  return body;
}

static void
add_header (Input *input, const char *name, const char *value)
{
  g_string_append_printf (input->bytes, "%s: %s\r\n", name, value);
  g_string_append_printf (input->record, "|%s=%s", name, value);
}

static void
add_start_line (Input *input, const char *method, guint status)
{
  if (input->is_client)
    {
      if (chance (input, 4))
        g_string_append (input->bytes, "HTTP/1.1 103 Early Hints\r\nLink: none\r\n\r\n");
      g_string_append_printf (input->bytes, "HTTP/1.1 %u Text\r\n", status);
      g_string_append_printf (input->record, "%u", status);
      return;
    }
  if (chance (input, 4))
    g_string_append (input->bytes, "\r\n");
  g_string_append_printf (input->bytes, "%s /a?b HTTP/1.1\r\n", method);
  g_string_append_printf (input->record, "%s /a?b", method);
}

static void
add_chunks (Input *input, const char *body)
{
  gsize first = strlen (body) / 2;
  if (first > 0)
    g_string_append_printf (input->bytes, "%zx;extension=x\r\n%.*s\r\n", first, (int)first, body);
  g_string_append_printf (input->bytes, "%zx\r\n%s\r\n0\r\n", strlen (body) - first, body + first);
  for (gint fields = g_rand_int_range (input->random, 0, 3); fields > 0; fields--)
    g_string_append (input->bytes, TRAILER_NAME ": value\r\n");
  g_string_append (input->bytes, "\r\n");
}

static void
add_message (Input *input)
{
  g_autofree char *body = make_body (input);
  g_autofree char *length = g_strdup_printf ("%zu", strlen (body));
  guint framing = (guint)g_rand_int_range (input->random, 0, 3);
  add_start_line (input, framing == 0 ? "GET" : "POST", framing == 0 ? 204 : 200);
  add_header (input, "Request-Id", length);
  if (framing == 0 && !input->is_client && chance (input, 3))
    {
      add_header (input, "Connection", "upgrade");
      add_header (input, "Upgrade", "other");
    }
  if (framing == 1)
    add_header (input, "Content-Length", length);
  if (framing == 2)
    add_header (input, "Transfer-Encoding", "chunked");
  g_string_append (input->bytes, "\r\n");
  if (framing == 1)
    g_string_append (input->bytes, body);
  if (framing == 2)
    add_chunks (input, body);
  g_string_append_printf (input->record, "|%s;", framing == 0 ? "" : body);
}

/* ---- Broken and surplus bytes --------------------------------------------- */

static void
add_random_bytes (Input *input)
{
  for (gint i = g_rand_int_range (input->random, 1, RANDOM_BYTES_MAX); i > 0; i--)
    g_string_append_c (input->bytes, (char)g_rand_int_range (input->random, 0, 256));
}

/* Appends a message without trailer fields in which some bytes are changed, removed or repeated. */
static void
add_mutated_message (Input *input)
{
  static const char *const requests[]
      = { "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\nbody" };
  static const char *const responses[]
      = { "HTTP/1.1 200 OK\r\nA: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
          "HTTP/1.1 500 Error\r\nA: 1\r\nContent-Length: 4\r\nKeep-Alive: 5\r\n\r\nbody" };
  guint index = (guint)g_rand_int_range (input->random, 0, 2);
  g_autoptr (GString) text = g_string_new (input->is_client ? responses[index] : requests[index]);
  for (gint changes = g_rand_int_range (input->random, 1, 5); changes > 0; changes--)
    {
      gsize at = (gsize)g_rand_int_range (input->random, 0, (gint)text->len);
      switch (g_rand_int_range (input->random, 0, 3))
        {
        case 0:
          text->str[at] = (char)g_rand_int_range (input->random, 0, 256);
          break;
        case 1:
          g_string_erase (text, (gssize)at, 1);
          break;
        default:
          g_string_insert_c (text, (gssize)at, text->str[at]);
        }
    }
  g_string_append_len (input->bytes, text->str, (gssize)text->len);
}

static void
add_surplus_text (Input *input)
{
  static const char *const texts[]
      = { "id: 2\ndata: hello\n\n",
          "0\r\n\r\n",
          "\r\n\r\n\r\n",
          "Name: value\r\nOther: value\r\n\r\n",
          "HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\nhello",
          "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nbytes",
          "HTTP/1.1 200 OK\r\n\r\nbody without a length",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
          "CONNECT h:1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nbytes",
          "GET /a HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: x\r\nContent-Length: 5\r\n\r\nbytes",
          "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
          "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" };
  g_string_append (input->bytes, texts[g_rand_int_range (input->random, 0, G_N_ELEMENTS (texts))]);
}

static void
add_large_head (Input *input)
{
  g_string_append (input->bytes, input->is_client ? "HTTP/1.1 200 OK\r\n" : "GET /a HTTP/1.1\r\n");
  for (guint i = 0; i < LARGE_HEAD_LINES; i++)
    g_string_append (input->bytes, "Name: value\r\n");
  g_string_append (input->bytes, "\r\n");
}

/* Appends the first bytes of a valid message. */
static void
add_truncated_message (Input *input)
{
  gsize start = input->bytes->len;
  g_autofree char *record = g_strdup (input->record->str);
  add_message (input);
  g_string_assign (input->record, record);
  g_string_truncate (input->bytes,
                     (gsize)g_rand_int_range (input->random, (gint)start, (gint)input->bytes->len));
}

/* Returns FALSE if nothing was added. */
static gboolean
add_surplus (Input *input)
{
  switch (g_rand_int_range (input->random, 0, 6))
    {
    case 0:
      return FALSE;
    case 1:
      add_random_bytes (input);
      return TRUE;
    case 2:
      add_mutated_message (input);
      return TRUE;
    case 3:
      add_large_head (input);
      return TRUE;
    case 4:
      add_truncated_message (input);
      return TRUE;
    default:
      add_surplus_text (input);
      return TRUE;
    }
}

/* ---- Bytes without end ----------------------------------------------------- */

/* Returns the part that is repeated without end after the bytes that it appends. */
static const char *
add_endless_start (Input *input)
{
  static const struct
  {
    const char *response; /* NULL: no response has such a part */
    const char *request;
    const char *unit;
  } parts[] = {
    { "", "", "\r\n" },
    { "HTTP/1.1 200 ", "GET /", "x" },
    { "HTTP/1.1 200 OK\r\n", "GET / HTTP/1.1\r\n", "x" },
    { "HTTP/1.1 200 OK\r\nName:", "GET / HTTP/1.1\r\nName:", " " },
    { "HTTP/1.1 200 OK\r\nName: ", "GET / HTTP/1.1\r\nName: ", "x" },
    { "HTTP/1.1 200 OK\r\n", "GET / HTTP/1.1\r\n", "Name: value\r\n" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "0" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n" },
    { "", NULL, "HTTP/1.1 100 Continue\r\n\r\n" },
    { "", NULL, "HTTP/1.1 103 Early Hints\r\nLink: none\r\nContent-Length: 5\r\n\r\n" },
  };
  guint index = (guint)g_rand_int_range (input->random, 0, G_N_ELEMENTS (parts));
  if (!input->is_client && parts[index].request == NULL)
    index = 0;
  g_string_append (input->bytes, input->is_client ? parts[index].response : parts[index].request);
  return parts[index].unit;
}

/* Sends valid messages and then a head, a chunk's frame or trailer fields without end: the connection ends,
 * and the messages before are read. */
static void
check_endless_seed (guint32 seed)
{
  Input input = { .random = g_rand_new_with_seed (seed),
                  .bytes = g_string_new (NULL),
                  .record = g_string_new (NULL) };
  input.is_client = chance (&input, 2);
  for (gint messages = g_rand_int_range (input.random, 0, VALID_MESSAGES_MAX + 1); messages > 0; messages--)
    add_message (&input);
  const char *unit = add_endless_start (&input);
  g_autoptr (GString) block = g_string_new (NULL);
  while (block->len < ENDLESS_BLOCK_BYTES)
    g_string_append (block, unit);
  Peer peer;
  peer_init (&peer, input.is_client);
  peer_send (&peer, input.bytes->str, input.bytes->len);
  gsize sent = 0;
  for (; peer.state != PEER_ENDED && sent < ENDLESS_BYTES_MAX; sent += block->len)
    peer_send (&peer, block->str, block->len);
  if (peer.state != PEER_ENDED)
    fail_msg ("seed %u: %zu bytes were read after %s", seed, sent, input.bytes->str);
  if (!g_str_has_prefix (peer.record->str, input.record->str))
    fail_msg ("seed %u: read %s instead of %s", seed, peer.record->str, input.record->str);
  peer_clear (&peer);
  g_rand_free (input.random);
  g_string_free (input.bytes, TRUE);
  g_string_free (input.record, TRUE);
}

/* ---- Connections ----------------------------------------------------------- */

static void
send_in_parts (Peer *peer, Input *input)
{
  gsize sent = 0;
  for (gint parts = g_rand_int_range (input->random, 0, PARTS_MAX); parts > 0; parts--)
    {
      gsize length = (gsize)g_rand_int_range (input->random, 0, (gint)(input->bytes->len - sent) + 1);
      peer_send (peer, input->bytes->str + sent, length);
      sent += length;
    }
  peer_send (peer, input->bytes->str + sent, input->bytes->len - sent);
}

static void
check_seed (guint32 seed)
{
  Input input = { .random = g_rand_new_with_seed (seed),
                  .bytes = g_string_new (NULL),
                  .record = g_string_new (NULL) };
  input.is_client = chance (&input, 2);
  for (gint messages = g_rand_int_range (input.random, 0, VALID_MESSAGES_MAX + 1); messages > 0; messages--)
    add_message (&input);
  gboolean has_surplus = add_surplus (&input);
  Peer peer;
  peer_init (&peer, input.is_client);
  if (chance (&input, 4))
    peer.callbacks_to_stop = (guint)g_rand_int_range (input.random, 1, STOP_CALLBACK_MAX);
  gboolean may_stop = peer.callbacks_to_stop > 0;
  send_in_parts (&peer, &input);
  peer_finish (&peer);
  if (!may_stop && !g_str_has_prefix (peer.record->str, input.record->str))
    fail_msg ("seed %u: read %s instead of %s", seed, peer.record->str, input.record->str);
  if (!may_stop && !has_surplus && (peer.failed || peer.refused || peer.record->len != input.record->len))
    fail_msg ("seed %u: failed after valid messages: %s", seed, peer.record->str);
  if (strstr (peer.record->str, TRAILER_NAME) != NULL)
    fail_msg ("seed %u: a trailer field became a header: %s", seed, peer.record->str);
  peer_clear (&peer);
  g_rand_free (input.random);
  g_string_free (input.bytes, TRUE);
  g_string_free (input.record, TRUE);
}

static void
test_broken_input (void **state)
{
  guint32 first = get_first_seed ();
  guint32 n_seeds = get_n_seeds (DEFAULT_SEEDS);
  for (guint32 seed = first; seed < first + n_seeds; seed++)
    check_seed (seed);
}

static void
test_endless_input (void **state)
{
  guint32 first = get_first_seed ();
  guint32 n_seeds = MAX (get_n_seeds (DEFAULT_SEEDS) / ENDLESS_ONE_IN, 1);
  for (guint32 seed = first; seed < first + n_seeds; seed++)
    check_endless_seed (seed);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_broken_input),
    cmocka_unit_test (test_endless_input),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
