/*
 * test-front.c: guards against faults in how a front handles requests of callers: HTTP framing, size limits,
 * deadlines, disconnects and traffic splits.
 */
#include "http1/text-server.h"
#include "path-world.h"
#include "raw.h"

#define SPLIT_CALLS 200
#define SPLIT_WARMUP_CALLS 20
#define SPLIT_MAX_DEVIATION 10

/* ---- Framing and limits ---------------------------------------------------- */

#define HEAD "POST /l/1 HTTP/1.1\r\nHost: " PATH_HOST "\r\nRequest-Deadline-Ms: 5000\r\nRequest-Id: "
#define LONG_HEADER_BYTES 20000

typedef struct
{
  const char *name;
  const char *request;
  const char *answers[2]; /* expected parts of the output, in this order; NULL: no second part */
  guint runs;
  gboolean closes;
} FramingCase;

static const FramingCase framing_cases[] = {
  { "Content-Length", HEAD "a1\r\nContent-Length: 3\r\n\r\nabc", { "abc by p" }, 1, FALSE },
  { "chunked body",
    HEAD "a2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n",
    { "abc by p" },
    1,
    FALSE },
  { "two pipelined requests",
    HEAD "a3\r\nContent-Length: 3\r\n\r\none" HEAD "a4\r\nContent-Length: 3\r\n\r\ntwo",
    { "one by p", "two by p" },
    2,
    FALSE },
  { "Connection: close",
    HEAD "a5\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc",
    { "abc by p" },
    1,
    TRUE },
  { "Expect: 100-continue",
    HEAD "a6\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
    { "HTTP/1.1 100 ", "abc by p" },
    1,
    FALSE },
  { "two Content-Length headers",
    HEAD "b1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    { "HTTP/1.1 400 " },
    0,
    TRUE },
  { "Content-Length and chunked body, followed by a request",
    HEAD "b2\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" HEAD
         "b3\r\nContent-Length: 0\r\n\r\n",
    { "HTTP/1.1 400 " },
    0,
    TRUE },
  { "trailer fields, followed by a request",
    HEAD "a7\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\nModel: x\r\nHost: x\r\n\r\n" HEAD
         "a8\r\nContent-Length: 3\r\n\r\ntwo",
    { "one by p", "two by p" },
    2,
    FALSE },
  { "not HTTP", "hello\r\n\r\n", { "HTTP/1.1 400 " }, 0, TRUE },
  { "invalid chunk size",
    HEAD "b4\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
    { "HTTP/1.1 400 " },
    0,
    TRUE },
  { "body too large", HEAD "b5\r\nContent-Length: 100001\r\n\r\n", { "HTTP/1.1 413 " }, 0, TRUE },
  { "chunk too large",
    HEAD "b6\r\nTransfer-Encoding: chunked\r\n\r\n186a1\r\nLONG",
    { "HTTP/1.1 413 " },
    0,
    TRUE },
  { "head too large", HEAD "b7\r\nX-Long: LONG\r\nContent-Length: 0\r\n\r\n", { "HTTP/1.1 431 " }, 0, TRUE },
};

static PathWorld *
start_front_world (const char *name)
{
  PathWorld *world = path_world_new (name);
  path_configure (world, 3);
  path_register_workers (world);
  path_start_front (world, 0);
  AWAIT (path_status (path_front (world, 0), "POST", "/l/1", "first", "x") == 200);
  return world;
}

/* Returns the number of lookups with this id prefix that ran on plain workers. */
static guint
count_lookups (PathWorld *world, const char *prefix)
{
  guint count = 0;
  for (guint i = 0; i < PATH_PLAIN; i++)
    {
      const GPtrArray *runs = standin_worker_get_runs (world->plain[i]);
      for (guint j = 0; j < runs->len; j++)
        count += g_str_has_prefix (((const StandinRun *)runs->pdata[j])->id, prefix);
    }
  return count;
}

static char *
expand_request (const FramingCase *c)
{
  g_autofree char *filler
      = g_strnfill (strstr (c->request, "186a1") != NULL ? 100001 : LONG_HEADER_BYTES, 'y');
  g_auto (GStrv) parts = g_strsplit (c->request, "LONG", 2);
  return g_strjoinv (filler, parts);
}

static void
test_framing (void **state)
{
  PathWorld *world = start_front_world ("framing");
  for (guint i = 0; i < G_N_ELEMENTS (framing_cases); i++)
    {
      const FramingCase *c = &framing_cases[i];
      guint runs_before = count_lookups (world, "");
      RawCaller *caller = raw_connect (path_front (world, 0));
      g_autofree char *text = expand_request (c);
      raw_send (caller, text);
      AWAIT (raw_has_received (caller, c->answers[c->answers[1] != NULL ? 1 : 0]) || caller->closed);
      const char *first = strstr (caller->text->str, c->answers[0]);
      if (first == NULL || (c->answers[1] != NULL && strstr (first, c->answers[1]) == NULL))
        fail_msg ("%s: %s", c->name, caller->text->str);
      if (c->closes)
        AWAIT ((raw_read (caller), caller->closed));
      else if (caller->closed)
        fail_msg ("%s: the front closed the connection", c->name);
      if (count_lookups (world, "") != runs_before + c->runs)
        fail_msg ("%s: %u runs", c->name, count_lookups (world, "") - runs_before);
      raw_free (caller);
    }
  path_world_free (world);
}

/* One connection serves many requests in order; each response matches its request. */
static void
test_persistent_connection (void **state)
{
  PathWorld *world = start_front_world ("kept");
  RawCaller *caller = raw_connect (path_front (world, 0));
  for (guint i = 0; i < 20; i++)
    {
      g_autofree char *request = g_strdup_printf (HEAD "k%u\r\nContent-Length: 4\r\n\r\nk%03u", i, i);
      g_autofree char *expected = g_strdup_printf ("k%03u by p", i);
      raw_send (caller, request);
      AWAIT (raw_has_received (caller, expected));
      assert_int_equal (raw_count_answers (caller), i + 1);
    }
  assert_false (caller->closed);
  raw_free (caller);
  path_world_free (world);
}

/* Guards against a body in the answer to HEAD, which the caller reads as the answer to its next request, and
 * against waiting for the body that the worker's answer announces. */
static void
test_head_requests (void **state)
{
  static const char *const targets[] = { "/l/1", "/unknown/1", "/u/1" };
  PathWorld *world = start_front_world ("head");
  for (guint i = 0; i < G_N_ELEMENTS (targets); i++)
    {
      RawCaller *caller = raw_connect (path_front (world, 0));
      g_autofree char *requests
          = g_strdup_printf ("HEAD %s HTTP/1.1\r\nHost: " PATH_HOST "\r\nRequest-Id: h%u\r\n\r\n" HEAD
                             "h%u-next\r\nContent-Length: 4\r\n\r\nnext",
                             targets[i], i, i);
      raw_send (caller, requests);
      AWAIT (raw_has_received (caller, "next by p"));
      const char *end = strstr (caller->text->str, "\r\n\r\n");
      if (!g_str_has_prefix (end + strlen ("\r\n\r\n"), "HTTP/1.1 200 "))
        fail_msg ("%s: %s", targets[i], caller->text->str);
      raw_free (caller);
    }
  path_world_free (world);
}

#define METRICS_PATH "/metrics"
#define METRICS_TEXT "quince_up 1\n"

static char *
produce_metrics (void)
{
  return g_strdup (METRICS_TEXT);
}

/* The server of metrics answers HEAD with the length of the text, and without the text. */
static void
test_head_request_for_metrics (void **state)
{
  g_autoptr (GSocket) port = standin_reserve_port ("127.0.0.1:0");
  g_autoptr (GSocketAddress) local = g_socket_get_local_address (port, NULL);
  g_autofree char *address
      = g_strdup_printf ("127.0.0.1:%u", g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local)));
  QuinceTextServer *server = quince_text_server_new (address, METRICS_PATH, produce_metrics, NULL);
  assert_non_null (server);
  RawCaller *caller = raw_connect (address);
  raw_send (caller, "HEAD " METRICS_PATH " HTTP/1.1\r\nHost: h\r\n\r\n");
  AWAIT ((raw_read (caller), caller->closed));
  assert_non_null (strstr (caller->text->str, "Content-Length: 12\r\n"));
  assert_true (g_str_has_suffix (caller->text->str, "\r\n\r\n"));
  raw_free (caller);
  quince_text_server_free (server);
}

/* An incomplete request head gets status 408, and its connection is closed. */
static void
test_slow_request_head (void **state)
{
  PathWorld *world = start_front_world ("slow-head");
  RawCaller *caller = raw_connect (path_front (world, 0));
  raw_send (caller, "POST /l/1 HTTP/1.1\r\nHost: ");
  AWAIT ((raw_read (caller), caller->closed));
  assert_true (strstr (caller->text->str, "HTTP/1.1 408 ") != NULL);
  raw_free (caller);
  path_world_free (world);
}

/* ---- Deadlines and unavailable workers ---------------------------------------- */

/* Workers get the remaining time as deadline, at most what the route and the caller allow. */
static void
test_deadline_propagated (void **state)
{
  PathWorld *world = start_front_world ("deadline");
  for (guint i = 0; i < PATH_PLAIN; i++)
    standin_worker_set_fault (world->plain[i], STANDIN_WORKER_FAILS, 1);
  assert_int_equal (path_status (path_front (world, 0), "POST", "/l/1", "d1", "x"), 200);
  assert_in_range (count_lookups (world, "d1"), 2, 3);
  for (guint i = 0; i < PATH_PLAIN; i++)
    {
      const GPtrArray *runs = standin_worker_get_runs (world->plain[i]);
      for (guint j = 0; j < runs->len; j++)
        {
          const StandinRun *run = runs->pdata[j];
          assert_non_null (run->deadline);
          assert_in_range (g_ascii_strtoull (run->deadline, NULL, 10), 1, 3000);
        }
    }
  path_world_free (world);
}

/* No worker responds: the caller gets 504 at the route's timeout, not 503, since the lookup may have run. */
static void
test_route_timeout (void **state)
{
  PathWorld *world = start_front_world ("timeout");
  for (guint i = 0; i < PATH_PLAIN; i++)
    standin_worker_set_fault (world->plain[i], STANDIN_WORKER_UNRESPONSIVE, G_MAXUINT);
  assert_int_equal (path_status (path_front (world, 0), "POST", "/l/1", "t1", "x"), 504);
  assert_in_range (count_lookups (world, "t1"), 1, 3);
  path_world_free (world);
}

/* No worker is available: lookups are refused with 503 and Retry-After, and do not run. */
static void
test_no_worker (void **state)
{
  PathWorld *world = start_front_world ("no-worker");
  for (guint i = 0; i < PATH_PLAIN; i++)
    {
      g_autofree char *key = g_strdup_printf ("servers/p%u", i);
      g_autofree char *entry = standin_worker_make_entry (world->plain[i], "svc", "draining");
      standin_store_put (world->store, key, entry);
    }
  PathAnswer answer;
  AWAIT (path_call (path_front (world, 0), "POST", "/l/1", "n1", "x", &answer) == 503
         || (path_answer_clear (&answer), FALSE));
  assert_non_null (answer.retry_after);
  path_answer_clear (&answer);
  guint runs = count_lookups (world, "");
  assert_int_equal (path_status (path_front (world, 0), "POST", "/l/1", "n2", "x"), 503);
  assert_int_equal (count_lookups (world, ""), runs);
  path_world_free (world);
}

/* ---- Callers that disconnect -------------------------------------------------- */

static const StandinRun *
find_stream_run (PathWorld *world)
{
  for (guint i = 0; i < PATH_MODEL; i++)
    if (standin_worker_get_runs (world->model[i])->len > 0)
      return standin_worker_get_runs (world->model[i])->pdata[0];
  return NULL;
}

static void
test_caller_disconnects (void **state)
{
  PathWorld *world = start_front_world ("leaves");
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->model[i], 100000, 20);
  RawCaller *caller = raw_connect (path_front (world, 0));
  raw_send (caller, "POST /s/1 HTTP/1.1\r\nHost: " PATH_HOST
                    "\r\nRequest-Id: g1\r\nRequest-Deadline-Ms: 60000\r\nContent-Length: 1\r\n\r\nx");
  AWAIT (raw_has_received (caller, "data: e3"));
  raw_free (caller);
  AWAIT (find_stream_run (world)->disconnected);
  path_world_free (world);
}

/* ---- Traffic splits ----------------------------------------------------------- */

#define SPLIT_CONFIGURATION                                                                                  \
  "{\"version\":9,\"routes\":[{\"name\":\"l\",\"host\":\"" PATH_HOST                                         \
  "\",\"pathPrefix\":\"/l/\",\"kind\":\"idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":150,"            \
  "\"priority\":2,\"maxAttempts\":3,\"trafficSplit\":[{\"service\":\"svc\",\"weight\":3},"                   \
  "{\"service\":\"other\",\"weight\":1}]}],"                                                                 \
  "\"services\":[{\"name\":\"svc\",\"healthPath\":\"/healthz\",\"maxConns\":50},"                            \
  "{\"name\":\"other\",\"healthPath\":\"/healthz\",\"maxConns\":50}],"                                       \
  "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":100000,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":" \
  "15000}}"

static gboolean
all_calls_succeed (PathWorld *world)
{
  for (guint i = 0; i < SPLIT_WARMUP_CALLS; i++)
    if (path_status (path_front (world, 0), "POST", "/l/1", "warm", "x") != 200)
      return FALSE;
  return TRUE;
}

static void
test_traffic_split (void **state)
{
  PathWorld *world = start_front_world ("shares");
  g_autofree char *entry = standin_worker_make_entry (world->plain[1], "other", "ready");
  standin_store_put (world->store, "servers/p1", entry);
  standin_store_put (world->store, "op/config", SPLIT_CONFIGURATION);
  const GPtrArray *other_runs = standin_worker_get_runs (world->plain[1]);
  /* The configuration and the worker entry arrive separately; both are applied once no lookup is refused. */
  AWAIT (all_calls_succeed (world));
  guint before = other_runs->len;
  for (guint i = 0; i < SPLIT_CALLS; i++)
    assert_int_equal (path_status (path_front (world, 0), "POST", "/l/1", "s", "x"), 200);
  assert_in_range (other_runs->len - before, SPLIT_CALLS / 4 - SPLIT_MAX_DEVIATION,
                   SPLIT_CALLS / 4 + SPLIT_MAX_DEVIATION);
  path_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_framing),
    cmocka_unit_test (test_persistent_connection),
    cmocka_unit_test (test_head_requests),
    cmocka_unit_test (test_head_request_for_metrics),
    cmocka_unit_test (test_slow_request_head),
    cmocka_unit_test (test_deadline_propagated),
    cmocka_unit_test (test_route_timeout),
    cmocka_unit_test (test_no_worker),
    cmocka_unit_test (test_caller_disconnects),
    cmocka_unit_test (test_traffic_split),
  };
  return cmocka_run_group_tests_name ("front", tests, NULL, NULL);
}
