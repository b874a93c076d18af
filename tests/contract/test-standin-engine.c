/*
 * test-standin-engine.c: contract of the engine stand-in, faults in tables.
 */
#include "standin-fixture.h"

#include <glib/gstdio.h>

#include <quince/request-id.h>

#define REQUEST(id, prompt, more)                                                                            \
  "{\"prompt\":\"" prompt "\",\"max_tokens\":400,\"request_id\":\"" id "\"" more "}"
#define LONG_REQUEST(id, more) REQUEST (id, "long len=400", more)

static Standin *engine;

static int
start_engine (void **state)
{
  engine = STANDIN_START ("engine", "--name", "e1", "--token-us", "200", "--capacity", "2", "--queue", "2",
                          "--event-lag-ms", "0", "--event-gap", "3", "--cache-blocks", "4", "--load-lag-ms",
                          "0");
  return 0;
}

static int
stop_engine (void **state)
{
  standin_stop (engine);
  return 0;
}

static int
reset_engine (void **state)
{
  reset (engine);
  return 0;
}

/* (transfer full): text of tokens @first to @end, as the engine must make it */
static char *
make_text (const char *prompt, guint first, guint end)
{
  guint32 prefix = (guint32)(quince_hash64 (prompt, strlen (prompt), 0) >> 32);
  GString *text = g_string_new (NULL);
  for (guint i = first; i < end; i++)
    g_string_append_printf (text, "%08x-%u ", prefix, i);
  return g_string_free (text, FALSE);
}

/* (transfer full): the texts of all events of a stream, one after another */
static char *
join_texts (const char *stream)
{
  static const char mark[] = "\"text\":\"";
  GString *text = g_string_new (NULL);
  for (const char *c = strstr (stream, mark); c != NULL; c = strstr (c, mark))
    {
      c += strlen (mark);
      g_string_append_len (text, c, (gssize)strcspn (c, "\""));
    }
  return g_string_free (text, FALSE);
}

static void
assert_whole (const char *stream, const char *prompt, guint first, guint end)
{
  g_autofree char *wanted = make_text (prompt, first, end);
  g_autofree char *got = join_texts (stream);
  assert_string_equal (got, wanted);
  assert_true (g_str_has_suffix (stream, "data: [DONE]\n\n"));
}

/* ---- One request under one fault ---- */

static const struct
{
  const char *name;
  const char *faults;
  const char *request;
  guint status; /* 0: no whole answer */
  gboolean not_run;
  const char *part; /* of the answer */
} request_cases[] = {
  { "whole", "{}", REQUEST ("r1", "a len=5", ""), 200, FALSE, "\"finish_reason\":\"stop\"" },
  { "no more than max_tokens", "{}", REQUEST ("r1", "a len=900", ""), 200, FALSE,
    "\"finish_reason\":\"length\"" },
  { "resumed", "{}", REQUEST ("r1", "a len=5", ",\"resume_tokens\":3,\"resume_text\":\"x\""), 200, FALSE,
    "\"token_start\":3" },
  { "all was resumed", "{}", REQUEST ("r1", "a len=5", ",\"resume_tokens\":5"), 200, FALSE,
    "\"token_count\":0" },
  { "refuse overloaded", "{\"refuse\":\"overloaded\"}", REQUEST ("r1", "a", ""), 503, TRUE, "overloaded" },
  { "refuse leaving", "{\"refuse\":\"leaving\"}", REQUEST ("r1", "a", ""), 503, TRUE, "leaving" },
  { "refuse version", "{\"refuse\":\"wrong_version\"}", REQUEST ("r1", "a", ""), 409, TRUE, "wrong_version" },
  { "leaving", "{\"leaving\":true}", REQUEST ("r1", "a", ""), 503, TRUE, "leaving" },
  { "version bound", "{}", REQUEST ("r1", "a", ",\"min_weight_version\":9"), 409, TRUE, "wrong_version" },
  { "cut", "{\"cut_after_tokens\":3}", REQUEST ("r1", "a len=5", ""), 0, FALSE, "" },
  { "cut another", "{\"cut_after_tokens\":9}", REQUEST ("r1", "a len=5", ""), 200, FALSE, "[DONE]" },
  { "late chunks", "{\"chunk_delay_ms\":30}", REQUEST ("r1", "a len=50", ""), 200, FALSE, "[DONE]" },
  { "late start", "{\"accept_delay_ms\":30}", REQUEST ("r1", "a len=5", ""), 200, FALSE, "[DONE]" },
  { "slow", "{\"slow_factor\":3}", REQUEST ("r1", "a len=5", ""), 200, FALSE, "[DONE]" },
  { "no prompt", "{}", "{\"max_tokens\":4,\"request_id\":\"r1\"}", 400, FALSE, "prompt" },
  { "mistyped", "{}", "{\"prompt\":7,\"max_tokens\":4,\"request_id\":\"r1\"}", 400, FALSE, "prompt" },
  { "too many tokens", "{}", "{\"prompt\":\"a\",\"max_tokens\":99999999,\"request_id\":\"r1\"}", 400, FALSE,
    "max_tokens" },
  { "id needs an escape", "{}", REQUEST ("r\\\"", "a", ""), 400, FALSE, "request_id" },
  { "other model", "{}", REQUEST ("r1", "a", ",\"model\":\"other\""), 400, FALSE, "model" },
  { "not JSON", "{}", "{", 400, FALSE, "bad_request" },
};

static void
requests_meet_faults (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (request_cases); i++)
    {
      reset (engine);
      set_faults (engine, request_cases[i].faults);
      g_auto (Answer) answer = call (engine->http, "/v1/completions", request_cases[i].request);
      if (answer.status != request_cases[i].status || answer.not_run != request_cases[i].not_run)
        fail_msg ("%s: %u %s", request_cases[i].name, answer.status, answer.text);
      assert_contains (answer.text, request_cases[i].part, request_cases[i].name);
      gboolean ran = answer.status == 200 || answer.status == 0;
      if (records_contain (engine, "\"request_id\":\"r1\"") != ran)
        fail_msg ("%s: records disagree", request_cases[i].name);
    }
}

static void
answer_is_its_own (void **state)
{
  g_auto (Answer) whole = call (engine->http, "/v1/completions", REQUEST ("r1", "b len=200", ""));
  assert_whole (whole.text, "b len=200", 0, 200);
  g_auto (Answer) rest
      = call (engine->http, "/v1/completions", REQUEST ("r2", "b len=200", ",\"resume_tokens\":150"));
  assert_whole (rest.text, "b len=200", 150, 200);
}

/* ---- Queue ---- */

static gboolean
load_contains (const char *part)
{
  g_auto (Answer) load = call (engine->http, "/admin/load", NULL);
  return strstr (load.text, part) != NULL;
}

static void
queue_is_bounded_and_ordered (void **state)
{
  set_faults (engine, "{\"slow_factor\":20}");
  Pending *running[] = { call_start (engine->http, "/v1/completions", LONG_REQUEST ("a", "")),
                         call_start (engine->http, "/v1/completions", LONG_REQUEST ("b", "")) };
  WAIT_UNTIL (records_contain (engine, "\"started\":2"));
  Pending *low = call_start (engine->http, "/v1/completions", REQUEST ("low", "x len=2", ",\"priority\":-1"));
  Pending *high
      = call_start (engine->http, "/v1/completions", REQUEST ("high", "y len=2", ",\"priority\":5"));
  WAIT_UNTIL (load_contains ("\"waiting\":2"));
  g_auto (Answer) refused = call (engine->http, "/v1/completions", REQUEST ("c", "z", ""));
  assert_int_equal (refused.status, 503);
  assert_true (refused.not_run);
  g_auto (Answer) cancelled = call (engine->http, "/v1/cancel", "{\"request_id\":\"a\",\"attempt\":1}");
  assert_string_equal (cancelled.text, "{\"cancelled\":true}");
  set_faults (engine, "{\"slow_factor\":0}");
  guint statuses[] = { 0, 200 };
  for (guint i = 0; i < 2; i++)
    {
      g_auto (Answer) answer = call_finish (running[i]);
      assert_int_equal (answer.status, statuses[i]);
    }
  g_auto (Answer) low_answer = call_finish (low);
  g_auto (Answer) high_answer = call_finish (high);
  assert_whole (low_answer.text, "x len=2", 0, 2);
  assert_whole (high_answer.text, "y len=2", 0, 2);
  g_autofree char *records = get_records (engine);
  assert_true (strstr (records, "\"high\"") < strstr (records, "\"low\""));
}

static void
cancelled_in_the_queue_did_not_run (void **state)
{
  set_faults (engine, "{\"slow_factor\":20}");
  Pending *running[] = { call_start (engine->http, "/v1/completions", LONG_REQUEST ("a", "")),
                         call_start (engine->http, "/v1/completions", LONG_REQUEST ("b", "")) };
  WAIT_UNTIL (records_contain (engine, "\"started\":2"));
  Pending *waiting = call_start (engine->http, "/v1/completions", REQUEST ("w", "x", ""));
  WAIT_UNTIL (load_contains ("\"waiting\":1"));
  g_auto (Answer) cancelled = call (engine->http, "/v1/cancel", "{\"request_id\":\"w\"}");
  assert_string_equal (cancelled.text, "{\"cancelled\":true}");
  g_auto (Answer) unknown = call (engine->http, "/v1/cancel", "{\"request_id\":\"nobody\"}");
  assert_string_equal (unknown.text, "{\"cancelled\":false}");
  g_auto (Answer) answer = call_finish (waiting);
  assert_int_equal (answer.status, 409);
  assert_true (answer.not_run);
  assert_false (records_contain (engine, "\"request_id\":\"w\""));
  set_faults (engine, "{\"slow_factor\":0}");
  for (guint i = 0; i < 2; i++)
    {
      g_auto (Answer) whole = call_finish (running[i]);
      assert_int_equal (whole.status, 200);
    }
}

/* ---- Weights ---- */

static const struct
{
  const char *name;
  const char *faults;
  const char *stage;
  guint stage_status;
  const char *activate;
  guint activate_status;
  const char *load; /* part of the load report afterwards */
} weight_cases[] = {
  { "wait", "{}", "{\"version\":2,\"fence\":1}", 200, "{\"version\":2,\"fence\":1,\"running\":\"wait\"}", 200,
    "\"weight_version\":2," },
  { "resume", "{}", "{\"version\":2,\"fence\":1}", 200, "{\"version\":2,\"fence\":2,\"running\":\"resume\"}",
    200, "\"weight_version\":2," },
  { "restart", "{}", "{\"version\":2,\"fence\":1}", 200,
    "{\"version\":2,\"fence\":2,\"running\":\"restart\"}", 200, "\"weight_version\":2," },
  { "old fence", "{}", "{\"version\":2,\"fence\":5}", 200, "{\"version\":2,\"fence\":4}", 409,
    "\"weight_version\":1," },
  { "not staged", "{}", "{\"version\":2,\"fence\":1}", 200, "{\"version\":3,\"fence\":2}", 409,
    "\"weight_version\":1," },
  { "stage fails", "{\"stage_fail\":true}", "{\"version\":2,\"fence\":1}", 500, "{\"version\":2,\"fence\":2}",
    409, "\"staged_version\":1," },
  { "old version stays", "{\"swap_fail\":\"keep\"}", "{\"version\":2,\"fence\":1}", 200,
    "{\"version\":2,\"fence\":2}", 500, "\"weight_version\":1,\"target_version\":2," },
  { "lands on another", "{\"swap_fail\":\"other\",\"swap_other_version\":7}", "{\"version\":2,\"fence\":1}",
    200, "{\"version\":2,\"fence\":2}", 200, "\"weight_version\":7,\"target_version\":2," },
  { "no fence", "{}", "{\"version\":2}", 400, "{\"version\":1}", 400, "\"weight_version\":1," },
  { "no such mode", "{}", "{\"version\":2,\"fence\":1}", 200,
    "{\"version\":2,\"fence\":1,\"running\":\"jump\"}", 400, "\"weight_version\":1," },
};

static void
swaps_meet_faults (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (weight_cases); i++)
    {
      reset (engine);
      set_faults (engine, weight_cases[i].faults);
      g_auto (Answer) staged = call (engine->http, "/admin/weights/stage", weight_cases[i].stage);
      g_auto (Answer) active = call (engine->http, "/admin/weights/activate", weight_cases[i].activate);
      if (staged.status != weight_cases[i].stage_status || active.status != weight_cases[i].activate_status)
        fail_msg ("%s: %u %u %s", weight_cases[i].name, staged.status, active.status, active.text);
      g_auto (Answer) load = call (engine->http, "/admin/load", NULL);
      assert_contains (load.text, weight_cases[i].load, weight_cases[i].name);
    }
}

static const struct
{
  const char *mode;
  guint end; /* tokens when whole; 0: any number */
  const char *parts[2];
} running_swap_cases[] = {
  { "wait", 400, { "\"weight_version\":1,", "\"finish_reason\":\"stop\"" } },
  { "resume", 400, { "\"weight_version\":1,", "\"weight_version\":2," } },
  { "restart", 0, { "\"weight_version\":1,", "\"finish_reason\":\"swap\"" } },
};

static gboolean
has_sent_tokens (const char *id)
{
  g_autofree char *body = g_strdup_printf ("{\"request_id\":\"%s\"}", id);
  g_auto (Answer) exported = call (engine->http, "/admin/kv/export", body);
  return exported.status == 200 && strstr (exported.text, "\"tokens\":0") == NULL;
}

static void
swaps_meet_running_sequences (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (running_swap_cases); i++)
    {
      reset (engine);
      g_autofree char *order
          = g_strdup_printf ("{\"version\":2,\"fence\":1,\"running\":\"%s\"}", running_swap_cases[i].mode);
      g_auto (Answer) staged = call (engine->http, "/admin/weights/stage", order);
      set_faults (engine, "{\"slow_factor\":10}");
      Pending *running = call_start (engine->http, "/v1/completions", LONG_REQUEST ("a", ""));
      WAIT_UNTIL (records_contain (engine, "\"started\":1"));
      /* Some tokens must have been made under the first version. */
      WAIT_UNTIL (has_sent_tokens ("a"));
      Pending *swap = call_start (engine->http, "/admin/weights/activate", order);
      WAIT_UNTIL (load_contains ("\"target_version\":2"));
      set_faults (engine, "{\"slow_factor\":0}");
      g_auto (Answer) answer = call_finish (running);
      g_auto (Answer) active = call_finish (swap);
      assert_int_equal (active.status, 200);
      for (guint part = 0; part < 2; part++)
        assert_contains (answer.text, running_swap_cases[i].parts[part], running_swap_cases[i].mode);
      if (running_swap_cases[i].end > 0)
        assert_whole (answer.text, "long len=400", 0, running_swap_cases[i].end);
      assert_true (g_str_has_suffix (answer.text, "data: [DONE]\n\n"));
    }
}

static void
stages_from_a_limited_store (void **state)
{
  Standin *store = STANDIN_START ("weights", "--rate", "5");
  Standin *other = STANDIN_START ("engine", "--name", "e2", "--weights", store->http);
  set_faults (store, "{\"refuse_next\":1}");
  g_auto (Answer) unknown = call (other->http, "/admin/weights/stage", "{\"version\":8,\"fence\":1}");
  assert_int_equal (unknown.status, 404);
  g_auto (Answer) staged = call (other->http, "/admin/weights/stage", "{\"version\":1,\"fence\":1}");
  assert_int_equal (staged.status, 200);
  assert_true (records_contain (store, "\"downloaded\":1,\"refused\":1"));
  standin_stop (other);
  standin_stop (store);
}

/* ---- Cache ---- */

#define BLOCK_A "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define BLOCK_B "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"

static void
cache_is_bounded_and_its_events_have_gaps (void **state)
{
  const char *requests[]
      = { REQUEST ("a", BLOCK_A BLOCK_B "len=1", ""), REQUEST ("b", BLOCK_B BLOCK_B BLOCK_A "len=1", "") };
  g_auto (Answer) before = call (engine->http, "/admin/cache_events?after=0", NULL);
  g_autofree char *last = find_value (before.text, "\"last_seq\":");
  for (guint i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      g_auto (Answer) answer = call (engine->http, "/v1/completions", requests[i]);
      assert_int_equal (answer.status, 200);
    }
  g_auto (Answer) load = call (engine->http, "/admin/load", NULL);
  assert_contains (load.text, "\"kv_used\":4,\"kv_capacity\":4", "load");
  g_autofree char *path
      = g_strdup_printf ("/admin/cache_events?after=%" G_GUINT64_FORMAT, g_ascii_strtoull (last, NULL, 10));
  g_auto (Answer) events = call (engine->http, path, NULL);
  guint64 first_block = quince_hash64 (BLOCK_A, 64, 0);
  g_autofree char *evicted = g_strdup_printf ("%016" G_GINT64_MODIFIER "x", first_block);
  guint shown = 0;
  for (const char *c = events.text; (c = strstr (c, "\"seq\"")) != NULL; c++)
    shown++;
  /* Five blocks stored and one evicted, of which every third event is lost. */
  assert_int_equal (shown, 4);
  assert_contains (events.text, evicted, "events");
}

static void
cache_moves_with_a_sequence (void **state)
{
  set_faults (engine, "{\"slow_factor\":20}");
  Pending *running
      = call_start (engine->http, "/v1/completions", REQUEST ("a", BLOCK_A BLOCK_B "len=400", ""));
  WAIT_UNTIL (records_contain (engine, "\"started\":1"));
  g_auto (Answer) exported = call (engine->http, "/admin/kv/export", "{\"request_id\":\"a\"}");
  assert_int_equal (exported.status, 200);
  Standin *other = STANDIN_START ("engine", "--name", "e2");
  g_auto (Answer) imported = call (other->http, "/admin/kv/import", exported.text);
  assert_string_equal (imported.text, "{\"blocks\":2}");
  g_auto (Answer) absent = call (engine->http, "/admin/kv/export", "{\"request_id\":\"nobody\"}");
  assert_int_equal (absent.status, 404);
  standin_stop (other);
  set_faults (engine, "{\"slow_factor\":0}");
  g_auto (Answer) answer = call_finish (running);
  assert_int_equal (answer.status, 200);
}

/* ---- Crash, hang, leave ---- */

static gboolean
serves (const Standin *standin)
{
  g_auto (Answer) load = call (standin->http, "/admin/load", NULL);
  return load.status == 200;
}

static void
crash_drops_everything_and_comes_back (void **state)
{
  set_faults (engine, "{\"slow_factor\":20}");
  Pending *running = call_start (engine->http, "/v1/completions", LONG_REQUEST ("a", ""));
  WAIT_UNTIL (records_contain (engine, "\"started\":1"));
  set_faults (engine, "{\"crash_ms\":200,\"slow_factor\":0}");
  g_auto (Answer) answer = call_finish (running);
  assert_int_equal (answer.status, 0);
  assert_true (records_contain (engine, "\"outcome\":\"crashed\""));
  WAIT_UNTIL (serves (engine));
}

static void
crash_exits_with_its_status (void **state)
{
  g_autofree char *path = g_strdup_printf ("%s/records-%d.json", g_get_tmp_dir (), (int)getpid ());
  Standin *other = STANDIN_START ("engine", "--name", "e2", "--records-file", path);
  g_auto (Answer) answer = call (other->http, "/v1/completions", REQUEST ("a", "a len=2", ""));
  g_auto (Answer) crash = call (other->control, "/_faults", "{\"crash_exit\":true}");
  assert_int_equal (crash.status, 0);
  assert_int_equal (standin_wait (other), 3);
  g_autofree char *records = NULL;
  assert_true (g_file_get_contents (path, &records, NULL, NULL));
  assert_contains (records, "\"request_id\":\"a\"", "records file");
  g_unlink (path);
}

static void
hung_engine_runs_late (void **state)
{
  set_faults (engine, "{\"hang\":true}");
  Pending *held = call_start (engine->http, "/v1/completions", REQUEST ("a", "a len=5", ""));
  g_auto (Answer) silent = call_for (engine->http, "/admin/load", NULL, SILENCE_SECONDS);
  assert_int_equal (silent.status, 0);
  assert_true (records_contain (engine, "\"started\":0"));
  set_faults (engine, "{\"hang\":false}");
  g_auto (Answer) answer = call_finish (held);
  assert_whole (answer.text, "a len=5", 0, 5);
}

/* A connection that has sent @request and waits. */
static GSocketConnection *
open_request (const char *request)
{
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  GSocketConnection *connection = g_socket_client_connect_to_host (client, engine->http, 0, NULL, NULL);
  assert_non_null (connection);
  g_autofree char *text
      = g_strdup_printf ("POST /v1/completions HTTP/1.1\r\nHost: engine\r\nContent-Length: %zu\r\n\r\n%s",
                         strlen (request), request);
  GOutputStream *output = g_io_stream_get_output_stream (G_IO_STREAM (connection));
  assert_true (g_output_stream_write_all (output, text, strlen (text), NULL, NULL, NULL));
  return connection;
}

static void
sequence_ends_with_its_caller (void **state)
{
  set_faults (engine, "{\"slow_factor\":20}");
  g_autoptr (GSocketConnection) first = open_request (LONG_REQUEST ("a", ""));
  g_autoptr (GSocketConnection) second = open_request (LONG_REQUEST ("b", ""));
  WAIT_UNTIL (records_contain (engine, "\"started\":2"));
  g_autoptr (GSocketConnection) waiting = open_request (LONG_REQUEST ("w", ""));
  WAIT_UNTIL (load_contains ("\"waiting\":1"));
  g_io_stream_close (G_IO_STREAM (waiting), NULL, NULL);
  WAIT_UNTIL (load_contains ("\"waiting\":0"));
  g_io_stream_close (G_IO_STREAM (first), NULL, NULL);
  g_io_stream_close (G_IO_STREAM (second), NULL, NULL);
  WAIT_UNTIL (records_contain (engine, "\"disconnected\":2"));
  assert_false (records_contain (engine, "\"request_id\":\"w\""));
}

static void
leaving_engine_ends_its_work (void **state)
{
  set_faults (engine, "{\"slow_factor\":5}");
  Pending *running = call_start (engine->http, "/v1/completions", LONG_REQUEST ("a", ""));
  WAIT_UNTIL (records_contain (engine, "\"started\":1"));
  g_auto (Answer) left = call (engine->http, "/admin/leave", "{\"fence\":1}");
  assert_true (left.leaving);
  g_auto (Answer) refused = call (engine->http, "/v1/completions", REQUEST ("b", "b", ""));
  assert_true (refused.not_run && refused.leaving);
  g_auto (Answer) answer = call_finish (running);
  assert_whole (answer.text, "long len=400", 0, 400);
}

static void
load_report_goes_stale (void **state)
{
  g_auto (Answer) before = call (engine->http, "/admin/load", NULL);
  set_faults (engine, "{\"stale_load\":true,\"leaving\":true}");
  g_auto (Answer) stale = call (engine->http, "/admin/load", NULL);
  assert_contains (stale.text, "\"state\":\"serving\"", "stale");
  set_faults (engine, "{\"stale_load\":false}");
  g_auto (Answer) fresh = call (engine->http, "/admin/load", NULL);
  assert_contains (fresh.text, "\"state\":\"leaving\"", "fresh");
}

int
main (void)
{
#define RESET_TEST(function) cmocka_unit_test_setup (function, reset_engine)
  const struct CMUnitTest tests[] = {
    RESET_TEST (requests_meet_faults),
    RESET_TEST (answer_is_its_own),
    RESET_TEST (queue_is_bounded_and_ordered),
    RESET_TEST (cancelled_in_the_queue_did_not_run),
    RESET_TEST (swaps_meet_faults),
    RESET_TEST (swaps_meet_running_sequences),
    RESET_TEST (stages_from_a_limited_store),
    RESET_TEST (cache_is_bounded_and_its_events_have_gaps),
    RESET_TEST (cache_moves_with_a_sequence),
    RESET_TEST (crash_drops_everything_and_comes_back),
    RESET_TEST (crash_exits_with_its_status),
    RESET_TEST (hung_engine_runs_late),
    RESET_TEST (sequence_ends_with_its_caller),
    RESET_TEST (leaving_engine_ends_its_work),
    RESET_TEST (load_report_goes_stale),
  };
  return cmocka_run_group_tests (tests, start_engine, stop_engine);
}
