/*
 * test-malformed.c: what callers, trainers and nodes may send wrongly to an
 * agent: each gets a typed error or a closed link, and the agent goes on.
 *
 * Seeds are fixed, so every run sends the same.
 */
#include "agent-fixture.h"

#include "malformed.h"

#define BODY "{\"model\":\"svc\",\"prompt\":\"hello there\",\"max_tokens\":6}"
#define LARGE_BYTES (9u << 20)
#define RANDOM_BODIES 400

typedef struct
{
  const char *path;
  const char *body; /* a good one */
  const char *fields;
} PostPath;

static const PostPath post_paths[] = {
  { "/v1/completions", BODY, "model prompt max_tokens stream" },
  { "/v1/rollouts",
    "{\"trainer\":\"t1\",\"rollout_id\":\"r1\",\"service\":\"svc\",\"member\":\"m\",\"step\":1,"
    "\"staleness_bound\":1,\"samples\":[{\"sample_id\":\"a\",\"prompt\":\"p\",\"max_tokens\":5,"
    "\"expected_tokens\":3}]}",
    "trainer rollout_id service member step staleness_bound samples sample_id prompt max_tokens "
    "expected_tokens" },
  { "/v1/trainers/t1/pull", "{\"step\":1,\"version\":1,\"wait_ms\":0}", "step version wait_ms" },
  { "/v1/trainers/t1/release", "{\"step\":1}", "step" },
};

/* Starts the agent with its log in @capture. */
static void
start_logged (LogCapture *capture)
{
  static const char *const settings[] = { "log.level=warning", NULL };
  log_capture_begin (capture);
  fixture_start (settings, NULL);
  log_capture_end (capture);
}

/* It must still serve, be no larger than before by much, and stop as planned. */
static void
finish_logged (LogCapture *capture, guint64 resident_before)
{
  Raw *good = raw_request (fixture.http, "POST", "/v1/completions", "", BODY, strlen (BODY));
  WAIT_UNTIL (good->closed);
  if (raw_status (good) != 200)
    fail_msg ("does not serve any more: %s", good->got->str);
  raw_free (good);
  g_autoptr (Raw) status_answer = raw_request (fixture.http, "GET", "/v1/status", "", "", 0);
  WAIT_UNTIL (status_answer->closed);
  if (!g_utf8_validate (status_answer->got->str, -1, NULL))
    fail_msg ("status cannot be read any more");
  guint64 resident = resident_bytes (g_subprocess_get_identifier (fixture.agent));
  if (resident > resident_before + GROWTH_MOST_BYTES)
    fail_msg ("grew from %d to %d MiB", (int)(resident_before >> 20), (int)(resident >> 20));
  int status = fixture_stop ();
  log_capture_clear (capture, status != 0);
  assert_int_equal (status, 0);
}

static guint64
measure_agent (void)
{
  return resident_bytes (g_subprocess_get_identifier (fixture.agent));
}

/* ---- Bodies ----------------------------------------------------------------- */

static void
expect_bad_body (const PostPath *post, const char *body, gsize length)
{
  g_autoptr (Raw) raw = raw_request (fixture.http, "POST", post->path, "", body, length);
  g_autofree char *name = g_strdup_printf ("%s %.100s", post->path, body);
  raw_expect (raw, name, 400, "bad_request");
  if (strstr (raw->got->str, "\"not_run\":true") == NULL)
    fail_msg ("%s: not_run is not said", name);
}

static void
test_bad_bodies (void **state)
{
  static const char *const bodies[] = { "",
                                        " ",
                                        "{",
                                        "{}",
                                        "[]",
                                        "null",
                                        "7",
                                        "\"x\"",
                                        "nonsense",
                                        "{\"model\":",
                                        "{\"model\":\"svc",
                                        "{\"a\":1}}",
                                        "\xff\xfe{}",
                                        "{\"model\":\"\xc3\"}",
                                        "/*\"*/{}",
                                        "\x16\x03\x01" };
  static const char *const deep[] = { "[", "{\"a\":", "[[]," };
  LogCapture capture;
  start_logged (&capture);
  guint64 before = measure_agent ();
  for (guint i = 0; i < G_N_ELEMENTS (post_paths); i++)
    {
      for (guint j = 0; j < G_N_ELEMENTS (bodies); j++)
        expect_bad_body (&post_paths[i], bodies[j], strlen (bodies[j]));
      expect_bad_body (&post_paths[i], "{\"a\":\0}", 7);
      for (guint j = 0; j < G_N_ELEMENTS (deep); j++)
        {
          g_autofree char *body = repeat_text (deep[j], DEEP_LEVELS);
          expect_bad_body (&post_paths[i], body, strlen (body));
        }
    }
  finish_logged (&capture, before);
}

/* The good body with the value of the first @field replaced. (transfer full) */
static char *
replace_value (const char *body, const char *field, const char *value)
{
  g_autofree char *key = g_strdup_printf ("\"%s\":", field);
  const char *start = strstr (body, key);
  if (start == NULL)
    return g_strdup_printf ("{%s%s,%s", key, value, body + 1);
  start += strlen (key);
  const char *end = *start == '"' ? strchr (start + 1, '"') + 1 : start + strcspn (start, ",}");
  if (*start == '[')
    end = strchr (start, ']') + 1;
  return g_strdup_printf ("%.*s%s%s", (int)(start - body), body, value, end);
}

static void
test_wrong_types (void **state)
{
  static const char *const values[] = { "[]",
                                        "{}",
                                        "-1",
                                        "1.5",
                                        "1e400",
                                        "99999999999999999999",
                                        "\"a\\u0000b\"",
                                        "\"\\ud800\"",
                                        "\"\\udc00\\ud800\"",
                                        "\"\\u12\"",
                                        "\"\\x\"",
                                        "[[[[[[[[\"x\"]]]]]]]]" };
  LogCapture capture;
  start_logged (&capture);
  guint64 before = measure_agent ();
  for (guint i = 0; i < G_N_ELEMENTS (post_paths); i++)
    {
      g_auto (GStrv) fields = g_strsplit (post_paths[i].fields, " ", -1);
      for (char **field = fields; *field != NULL; field++)
        for (guint j = 0; j < G_N_ELEMENTS (values); j++)
          {
            g_autofree char *body = replace_value (post_paths[i].body, *field, values[j]);
            expect_bad_body (&post_paths[i], body, strlen (body));
          }
    }
  finish_logged (&capture, before);
}

/* Good bodies with some bytes changed or the end missing: whatever they then say, there is an answer. */
static void
test_random_bodies (void **state)
{
  LogCapture capture;
  start_logged (&capture);
  guint64 before = measure_agent ();
  g_autoptr (GRand) random = g_rand_new_with_seed (11);
  for (guint i = 0; i < RANDOM_BODIES; i++)
    {
      const PostPath *post = &post_paths[i % G_N_ELEMENTS (post_paths)];
      g_autofree char *body = g_strdup (post->body);
      gsize length = strlen (body);
      for (gint changes = g_rand_int_range (random, 1, 4); changes > 0; changes--)
        body[g_rand_int_range (random, 0, (gint)length)] ^= (char)(1 << g_rand_int_range (random, 0, 8));
      if (g_rand_boolean (random))
        length = (gsize)g_rand_int_range (random, 0, (gint)length);
      g_autoptr (Raw) raw = raw_request (fixture.http, "POST", post->path, "", body, length);
      WAIT_UNTIL (raw->closed);
      guint status = raw_status (raw);
      g_autofree char *type = raw_error_type (raw);
      if (status != 200 && status != 202 && (status < 400 || *type == '\0'))
        fail_msg ("%.*s: %.300s", (int)length, body, raw->got->str);
    }
  finish_logged (&capture, before);
}

/* ---- Sizes -------------------------------------------------------------------- */

static void
test_oversized (void **state)
{
  LogCapture capture;
  start_logged (&capture);
  guint64 before = measure_agent ();
  g_autofree char *large = g_strnfill (LARGE_BYTES, 'x');
  for (guint i = 0; i < 3 * G_N_ELEMENTS (post_paths); i++)
    {
      const char *path = post_paths[i % G_N_ELEMENTS (post_paths)].path;
      g_autoptr (Raw) raw = raw_request (fixture.http, "POST", path, "", large, LARGE_BYTES);
      raw_expect (raw, path, 413, "too_large");
      /* In chunks, of which none says how long the whole is. */
      g_autofree char *head = g_strdup_printf (
          "POST %s HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", path, LARGE_BYTES);
      g_autoptr (Raw) chunked = raw_open (fixture.http);
      raw_send (chunked, head, strlen (head));
      raw_send (chunked, large, LARGE_BYTES);
      raw_send (chunked, "\r\n0\r\n\r\n", strlen ("\r\n0\r\n\r\n"));
      raw_expect (chunked, path, 413, "too_large");
    }
  finish_logged (&capture, before);
}

/* ---- Headers and paths ------------------------------------------------------------ */

static const char *const bad_headers[] = {
  "X-Quince-Member: \r\n",
  "X-Quince-Member: \xff\xfe\r\n",
  "X-Quince-Kind: \r\n",
  "X-Quince-Kind: \xc3\r\n",
  "X-Quince-Deadline-Ms: \r\n",
  "X-Quince-Deadline-Ms: 0\r\n",
  "X-Quince-Deadline-Ms: -1\r\n",
  "X-Quince-Deadline-Ms: 1.5\r\n",
  "X-Quince-Deadline-Ms: 99999999999999999999999\r\n",
  "X-Quince-Repeatable: maybe\r\n",
  "X-Quince-Repeatable: \r\n",
  "X-Quince-Request-Id: x\r\n",
  "X-Quince-Request-Id: 00000000-0000-4000-8000-000000000000\r\n",
  "X-Quince-Request-Id: 00000000-0000-7000-8000-000000000000 \xff\r\n",
  "X-Quince-Min-Version: -1\r\n",
  "X-Quince-Min-Version: 18446744073709551616\r\n",
};

static void
test_bad_headers (void **state)
{
  LogCapture capture;
  start_logged (&capture);
  guint64 before = measure_agent ();
  for (guint i = 0; i < G_N_ELEMENTS (bad_headers); i++)
    {
      g_autoptr (Raw) raw
          = raw_request (fixture.http, "POST", "/v1/completions", bad_headers[i], BODY, strlen (BODY));
      raw_expect (raw, bad_headers[i], 400, "bad_request");
    }
  g_autofree char *name = g_strnfill (QUINCE_MAX_NAME + 1, 'n');
  g_autofree char *long_name = g_strdup_printf ("X-Quince-Member: %s\r\n", name);
  g_autoptr (Raw) raw = raw_request (fixture.http, "POST", "/v1/completions", long_name, BODY, strlen (BODY));
  raw_expect (raw, "long name", 400, "bad_request");
  finish_logged (&capture, before);
}

static void
test_bad_paths (void **state)
{
  static const struct
  {
    const char *method;
    const char *path;
    guint status;
    const char *type;
  } rows[] = {
    { "GET", "/v1/completions", 405, "method_not_allowed" },
    { "DELETE", "/v1/rollouts", 405, "method_not_allowed" },
    { "PUT", "/v1/trainers/t1/pull", 405, "method_not_allowed" },
    { "NONSENSE", "/v1/trainers/t1/release", 405, "method_not_allowed" },
    { "POST", "/healthz", 405, "method_not_allowed" },
    { "POST", "/readyz", 405, "method_not_allowed" },
    { "POST", "/metrics", 405, "method_not_allowed" },
    { "POST", "/v1/status", 405, "method_not_allowed" },
    { "POST", "/", 404, "not_found" },
    { "GET", "/v1", 404, "not_found" },
    { "POST", "/v1/trainers", 404, "not_found" },
    { "POST", "/v1/trainers/t1", 404, "not_found" },
    { "POST", "/v1/trainers//pull", 404, "not_found" },
    { "POST", "/v1/trainers/t1/pull/more", 404, "not_found" },
    { "POST", "/v1/trainers/t1/nothing", 404, "not_found" },
    { "POST", "/v1/trainers/%ff%fe/pull", 404, "not_found" },
  };
  LogCapture capture;
  start_logged (&capture);
  guint64 before = measure_agent ();
  const char *good = "{\"step\":1,\"version\":1}";
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autoptr (Raw) raw = raw_request (fixture.http, rows[i].method, rows[i].path, "", good, strlen (good));
      raw_expect (raw, rows[i].path, rows[i].status, rows[i].type);
    }
  g_autofree char *name = g_strnfill (QUINCE_MAX_NAME + 1, 'n');
  g_autofree char *path = g_strdup_printf ("/v1/trainers/%s/pull", name);
  g_autoptr (Raw) raw = raw_request (fixture.http, "POST", path, "", good, strlen (good));
  raw_expect (raw, "long name", 404, "not_found");
  finish_logged (&capture, before);
}

/* Bytes that are no HTTP, or end too early: an error status or an end, and nothing that waits. */
static void
test_no_http (void **state)
{
  static const char *const requests[] = {
    "",
    "\r\n\r\n",
    "nonsense\r\n\r\n",
    "GET\r\n\r\n",
    "GET / HTTP/9.9\r\n\r\n",
    "GET / HTTP/1.1\r\n\r\n",
    "GET /%zz%00 HTTP/1.1\r\nHost: x\r\n\r\n",
    "GET http://[::1 HTTP/1.1\r\nHost: x\r\n\r\n",
    "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n{}",
    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999999\r\n\r\n{}",
    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n{}",
    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n{}",
    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: nonsense\r\n\r\n{}",
    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nExpect: nonsense\r\nContent-Length: 2\r\n\r\n{}",
    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{\"model\":\"svc\"",
    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nX: ",
  };
  LogCapture capture;
  start_logged (&capture);
  guint64 before = measure_agent ();
  g_autofree char *long_header = g_strnfill (1 << 20, 'h');
  for (guint i = 0; i <= G_N_ELEMENTS (requests); i++)
    {
      const char *request = i < G_N_ELEMENTS (requests) ? requests[i] : long_header;
      g_autoptr (Raw) raw = raw_open (fixture.http);
      raw_send (raw, request, strlen (request));
      raw_end (raw);
      WAIT_UNTIL (raw->closed);
      guint status = raw_status (raw);
      if (raw->got->len > 0 && (status < 400 || status > 599))
        fail_msg ("%.200s: %.300s", request, raw->got->str);
    }
  finish_logged (&capture, before);
}

/* ---- What engines send --------------------------------------------------------------- */

/* The attempt fails and another engine's answer is the caller's. */
static void
test_deep_answers_of_engines (void **state)
{
  static const EngineFault faults[] = { ENGINE_NESTS, ENGINE_REFUSES_DEEPLY };
  for (guint i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      LogCapture capture;
      start_logged (&capture);
      guint64 before = measure_agent ();
      fixture.engine_fault = faults[i];
      fixture.engine_faulty = 1;
      g_autoptr (Raw) raw = raw_request (fixture.http, "POST", "/v1/completions", "", BODY, strlen (BODY));
      WAIT_UNTIL (raw->closed);
      assert_int_equal (raw_status (raw), 200);
      assert_int_equal (fixture.engine_starts, 2);
      finish_logged (&capture, before);
    }
}

/* ---- What nodes send ----------------------------------------------------------------- */

static guint
count_open_links (void)
{
  guint count = 0;
  for (guint i = 0; i < fixture.links->len; i++)
    count += quince_link_is_connected (g_ptr_array_index (fixture.links, i)) ? 1 : 0;
  return count;
}

/* Each bad frame ends its link with one line in the log; the agent links anew. */
static void
test_bad_frames_of_nodes (void **state)
{
  static const struct
  {
    const char *bytes;
    gsize length;
  } frames[] = {
    { "", 0 },
    { "\0\0\0\x63", 4 },
    { "\0\0\0\x01\0\0\0\x01", 8 },
    { "\0\0\0\x03\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\xff\xff\xff\xff", 24 },
    { "\0\0\0\x07\xff\xff\xff\xff\xff\xff\xff\xff\0\0\0\x01\xff\xff\xff\xff", 20 },
    { "\0\0\0\x09\0\0\0\0\0\0\0\0\0\0\0\0", 16 }, /* four bytes too many */
  };
  LogCapture capture;
  start_logged (&capture);
  guint64 before = measure_agent ();
  g_autoptr (GBytes) oversized = g_bytes_new_take (g_malloc0 (QUINCE_MAX_FRAME + 4), QUINCE_MAX_FRAME + 4);
  for (guint i = 0; i <= G_N_ELEMENTS (frames); i++)
    {
      WAIT_UNTIL (count_open_links () == NODES);
      QuinceLink *link = g_ptr_array_index (fixture.links, fixture.links->len - 1);
      g_autoptr (GBytes) bytes = i < G_N_ELEMENTS (frames)
                                     ? g_bytes_new_static (frames[i].bytes, frames[i].length)
                                     : g_bytes_ref (oversized);
      quince_link_send_bytes (link, bytes);
      WAIT_UNTIL (!quince_link_is_connected (link));
      WAIT_UNTIL (log_capture_count (&capture, "event=node_link_lost") == i + 1);
    }
  WAIT_UNTIL (count_open_links () == NODES);
  WAIT_UNTIL (get_status ("/readyz") == SOUP_STATUS_OK);
  finish_logged (&capture, before);
}

/* A status, a verdict or a ledger's answer with some bits flipped. */
static void
test_flipped_frames_of_nodes (void **state)
{
  LogCapture capture;
  start_logged (&capture);
  guint64 before = measure_agent ();
  g_autoptr (GRand) random = g_rand_new_with_seed (12);
  QuinceMember member = { .name = (char *)"n9",
                          .zone = (char *)"z1",
                          .address = (char *)"127.0.0.1:1",
                          .gossip_address = (char *)"127.0.0.1:1" };
  QuinceMessage messages[3] = { { .kind = QUINCE_MESSAGE_NODE_STATUS },
                                { .kind = QUINCE_MESSAGE_GRANT_REPLY },
                                { .kind = QUINCE_MESSAGE_LEDGER_REPLY } };
  messages[0].QuinceMessage_u.node_status = (QuinceNodeStatus){ .name = (char *)"n1",
                                                                .ledger_leader = (char *)"leader",
                                                                .members = { 1, &member } };
  messages[1].QuinceMessage_u.grant_reply.verdict.QuinceVerdict_u.grant
      = (QuinceGrant){ .engine = (char *)"e1", .engine_address = (char *)"nonsense" };
  messages[2].QuinceMessage_u.ledger_reply.leader = (char *)"nonsense";
  for (guint i = 0; i < 300; i++)
    {
      g_autoptr (GBytes) encoded = quince_message_encode (&messages[i % G_N_ELEMENTS (messages)], NULL);
      gsize length;
      gconstpointer data = g_bytes_get_data (encoded, &length);
      guint8 *flipped = g_memdup2 (data, length);
      for (gint flips = g_rand_int_range (random, 1, 4); flips > 0; flips--)
        flipped[g_rand_int_range (random, 0, (gint)length)] ^= (guint8)(1 << g_rand_int_range (random, 0, 8));
      g_autoptr (GBytes) bytes = g_bytes_new_take (flipped, length);
      /* A greater policy revision is believed, and asked for in each later request. */
      g_autoptr (QuinceMessage) decoded = quince_message_decode (flipped, length, NULL);
      if (decoded != NULL && decoded->kind == QUINCE_MESSAGE_NODE_STATUS)
        decoded->QuinceMessage_u.node_status.policy_revision = 0;
      if (decoded != NULL && decoded->kind == QUINCE_MESSAGE_GRANT_REPLY)
        decoded->QuinceMessage_u.grant_reply.policy_revision = 0;
      g_autoptr (GBytes) tamed
          = decoded != NULL ? quince_message_encode (decoded, NULL) : g_bytes_ref (bytes);
      WAIT_UNTIL (count_open_links () > 0);
      for (guint j = 0; j < fixture.links->len; j++)
        if (quince_link_is_connected (g_ptr_array_index (fixture.links, j)))
          {
            quince_link_send_bytes (g_ptr_array_index (fixture.links, j), tamed);
            break;
          }
    }
  WAIT_UNTIL (get_status ("/readyz") == SOUP_STATUS_OK);
  finish_logged (&capture, before);
}

/* tests/leaks.supp names functions of libraries, which a sanitizer sees in whole stacks alone. */
static void
ask_for_whole_stacks (void)
{
  const char *options = g_getenv ("ASAN_OPTIONS");
  g_autofree char *more = g_strconcat (options != NULL ? options : "", ":fast_unwind_on_malloc=0", NULL);
  g_setenv ("ASAN_OPTIONS", more, TRUE);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_teardown (test_bad_bodies, fixture_kill),
    cmocka_unit_test_teardown (test_wrong_types, fixture_kill),
    cmocka_unit_test_teardown (test_random_bodies, fixture_kill),
    cmocka_unit_test_teardown (test_oversized, fixture_kill),
    cmocka_unit_test_teardown (test_bad_headers, fixture_kill),
    cmocka_unit_test_teardown (test_bad_paths, fixture_kill),
    cmocka_unit_test_teardown (test_no_http, fixture_kill),
    cmocka_unit_test_teardown (test_deep_answers_of_engines, fixture_kill),
    cmocka_unit_test_teardown (test_bad_frames_of_nodes, fixture_kill),
    cmocka_unit_test_teardown (test_flipped_frames_of_nodes, fixture_kill),
  };
  ask_for_whole_stacks ();
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests_name ("malformed", tests, NULL, NULL);
}
