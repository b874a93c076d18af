/*
 * test-malformed.c: guards against crashes, memory growth, refused service and failed shutdowns after
 * malformed input from callers, trainers, the store, workers and peers of a replica.
 */
#include "protocol/codec.h"
#include <unistd.h>

#include "raw.h"

/* AddressSanitizer delays the reuse of freed memory and adds red zones. */
#ifdef __SANITIZE_ADDRESS__
#define MEMORY_GROWTH_MAX_BYTES (640u << 20)
#else
#define MEMORY_GROWTH_MAX_BYTES (48u << 20)
#endif
#define N_PROCESSES (PATH_FRONTS + PATH_REPLICAS)
#define NESTED_JSON_BYTES 90000      /* below the body limit */
#define OVERSIZED_BODY_BYTES 2000000 /* above the body limit */
#define RANDOM_REQUESTS 200
#define RANDOM_FRAMES 1500
#define RANDOM_BYTES_MAX 600
#define FRAME_WORDS_MAX 64
#define SETTLE_MS 1500
#define BATCH_ITEMS 4

typedef struct
{
  PathWorld *world;
  guint64 initial_memory_bytes[N_PROCESSES];
  guint n_batches;
} Scene;

static Scene scene;

static QuinceProcess *
get_process (guint index)
{
  return index < PATH_FRONTS ? scene.world->fronts[index] : scene.world->replicas[index - PATH_FRONTS];
}

static int
set_up (void **state)
{
  scene = (Scene){ .world = path_world_new ("malformed") };
  path_reserve_links (scene.world);
  path_world_start (scene.world);
  for (guint i = 0; i < N_PROCESSES; i++)
    scene.initial_memory_bytes[i] = quince_process_get_memory (get_process (i));
  return 0;
}

static int
tear_down (void **state)
{
  path_world_free (scene.world);
  return 0;
}

/* ---- Checks ------------------------------------------------------------ */

static void
assert_healthy (const char *after)
{
  for (guint i = 0; i < N_PROCESSES; i++)
    {
      QuinceProcess *process = get_process (i);
      if (!quince_process_is_running (process))
        fail_msg ("%s ended after: %s", quince_process_get_name (process), after);
      guint64 memory = quince_process_get_memory (process);
      if (memory > scene.initial_memory_bytes[i] + MEMORY_GROWTH_MAX_BYTES)
        fail_msg ("%s grew from %u to %u MiB after: %s", quince_process_get_name (process),
                  (guint)(scene.initial_memory_bytes[i] >> 20), (guint)(memory >> 20), after);
    }
  for (guint i = 0; i < PATH_FRONTS; i++)
    AWAIT (path_status (path_front (scene.world, i), "POST", "/l/good", "good", "good") == 200);
}

static void
assert_batch_completes (void)
{
  g_autofree char *batch = g_strdup_printf ("good%u", scene.n_batches++);
  g_autofree char *text = path_make_batch (batch, BATCH_ITEMS);
  AWAIT (path_status (path_front (scene.world, 0), "POST", "/r/batch", batch, text) == 202);
  AWAIT (path_count_results (scene.world, 1, batch) == BATCH_ITEMS);
  g_autofree char *results = path_read_results (scene.world, 0, batch);
  assert_int_equal (path_count_occurrences (results, "\"state\":\"completed\""), BATCH_ITEMS);
}

/* Asserts that all processes serve, complete a batch and stop with exit status 0. */
static void
assert_healthy_and_stop (void)
{
  assert_healthy ("all");
  assert_batch_completes ();
  for (guint i = 0; i < N_PROCESSES; i++)
    {
      int status = -1;
      quince_process_stop (get_process (i));
      AWAIT (quince_process_wait (get_process (i), 1, &status));
      assert_int_equal (status, 0);
    }
}

/* ---- Raw bytes -------------------------------------------------------------- */

/* Sends @bytes on a new connection, shuts down its write side and waits until the peer closes it. */
static void
send_bytes (const char *address, gconstpointer bytes, gsize length)
{
  RawCaller *caller = raw_connect (address);
  g_socket_set_blocking (caller->socket, TRUE);
  g_socket_set_timeout (caller->socket, AWAIT_TIMEOUT_MS / 1000);
  g_socket_send (caller->socket, bytes, length, NULL, NULL);
  g_socket_shutdown (caller->socket, FALSE, TRUE, NULL);
  g_socket_set_blocking (caller->socket, FALSE);
  AWAIT ((raw_read (caller), caller->closed));
  raw_free (caller);
}

static void
send_random (const char *address, GRand *random)
{
  guint8 bytes[RANDOM_BYTES_MAX];
  gsize length = (gsize)g_rand_int_range (random, 1, sizeof bytes);
  for (gsize i = 0; i < length; i++)
    bytes[i] = (guint8)g_rand_int_range (random, 0, 256);
  send_bytes (address, bytes, length);
}

/* Sends @text with one to four bytes changed, removed or duplicated. */
static void
send_mutated (const char *address, GRand *random, const char *text)
{
  g_autoptr (GString) bytes = g_string_new (text);
  for (gint changes = g_rand_int_range (random, 1, 5); changes > 0; changes--)
    {
      gsize at = (gsize)g_rand_int_range (random, 0, (gint)bytes->len);
      switch (g_rand_int_range (random, 0, 3))
        {
        case 0:
          bytes->str[at] = (char)g_rand_int_range (random, 0, 256);
          break;
        case 1:
          g_string_erase (bytes, (gssize)at, 1);
          break;
        default:
          g_string_insert_c (bytes, (gssize)at, bytes->str[at]);
        }
    }
  send_bytes (address, bytes->str, bytes->len);
}

/* ---- Callers ------------------------------------------------------------ */

#define VALID_REQUEST                                                                                        \
  "POST /l/changed HTTP/1.1\r\nHost: " PATH_HOST "\r\nRequest-Id: changed\r\nRequest-Deadline-Ms: 2000\r\n"  \
  "Content-Length: 4\r\nConnection: close\r\n\r\nbody"

static void
test_malformed_requests (void **state)
{
  static const char *const listeners[] = { "callers", "ready", "directory" };
  g_autoptr (GRand) random = g_rand_new_with_seed (17);
  for (guint i = 0; i < G_N_ELEMENTS (listeners); i++)
    {
      const char *address = quince_process_get_ready_value (scene.world->fronts[0], listeners[i]);
      for (guint j = 0; j < RANDOM_REQUESTS; j++)
        {
          send_random (address, random);
          send_mutated (address, random, VALID_REQUEST);
        }
      assert_healthy (listeners[i]);
    }
  assert_healthy_and_stop ();
}

/* An incomplete body must not block other connections. */
static void
test_incomplete_bodies (void **state)
{
  static const char head[] = "POST /l/endless HTTP/1.1\r\nHost: " PATH_HOST "\r\nRequest-Id: endless\r\n"
                             "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n";
  static const char *const listeners[] = { "callers", "ready", "directory" };
  g_autofree char *large = g_strnfill (OVERSIZED_BODY_BYTES, 'x');
  for (guint i = 0; i < G_N_ELEMENTS (listeners); i++)
    {
      RawCaller *incomplete
          = raw_connect (quince_process_get_ready_value (scene.world->fronts[0], listeners[i]));
      raw_send (incomplete, head);
      raw_send (incomplete, large);
      assert_healthy (listeners[i]);
      raw_free (incomplete);
    }
  assert_healthy_and_stop ();
}

/* ---- Trainers ----------------------------------------------------------- */

static const char *const malformed_batches[] = {
  "",
  "null",
  "[]",
  "{}",
  "{\"items\":null}",
  "{\"items\":{}}",
  "{\"items\":[null]}",
  "{\"items\":[[]]}",
  "{\"items\":[{}]}",
  "{\"items\":[{\"id\":7,\"path\":[]}]}",
  "{\"items\":[{\"id\":\"\",\"path\":\"/r/1\"}]}",
  "{\"items\":[{\"id\":\"a\"}]}",
  "{\"items\":\"none\",\"step\":\"x\"}",
  "{\"items\":[{\"id\":\"a\",\"path\":\"/r/1\",\"scorer\":{}}]}",
  "{\"items\":[{\"id\":\"a\",\"path\":\"/r/1\"}",
  "{\"items\":[{\"id\":\"\xff\xfe\",\"path\":\"/r/1\"}]}",
  "{\"items\":[{\"id\":\"a\",\"path\":\"/r/1\"}],\"items\":7}",
};

static void
assert_rejected (const char *text)
{
  guint status = path_status (path_front (scene.world, 0), "POST", "/r/batch", "bad", text);
  if (status != 400 && status != 413)
    fail_msg ("%u for %.60s", status, text);
}

static void
test_malformed_batches (void **state)
{
  g_autofree char *deep = g_strnfill (NESTED_JSON_BYTES, '[');
  g_autofree char *nested = g_strconcat ("{\"items\":", deep, NULL);
  g_autofree char *large = g_strnfill (OVERSIZED_BODY_BYTES, '[');
  for (guint i = 0; i < G_N_ELEMENTS (malformed_batches); i++)
    assert_rejected (malformed_batches[i]);
  assert_rejected (deep);
  assert_rejected (nested);
  assert_rejected (large);
  assert_healthy ("bad batches");
  /* These batches may be accepted or rejected, but must not crash a process. */
  static const char *const unusual_batches[] = {
    "{\"items\":[{\"id\":\"odd\",\"path\":\"/r/1\",\"scorer\":[]}],\"model\":{}}",
    "{\"items\":[{\"id\":\"odd\\u0000x\",\"path\":\"/r/\\u0000\",\"body\":\"%%%\"}]}",
    "{\"items\":[{\"id\":\"odd1\",\"path\":\"/r/1\\r\\nX: "
    "y\",\"tokens\":-1}],\"desired\":-5,\"minVersion\":-1}",
    "{\"items\":[{\"id\":\"odd2\",\"path\":\"/r/"
    "1\",\"tokens\":1e300,\"headers\":{\"A\\r\\nB\":\"\\r\\n\"}}]}",
  };
  for (guint i = 0; i < G_N_ELEMENTS (unusual_batches); i++)
    {
      g_autofree char *batch = g_strdup_printf ("odd%u", i);
      path_status (path_front (scene.world, 0), "POST", "/r/batch", batch, unusual_batches[i]);
      run_for (SETTLE_MS / 3);
      g_autofree char *target = g_strdup_printf ("/quinceroute/lots/%s", batch);
      path_status (path_front (scene.world, 0), "DELETE", target, "q", NULL);
      assert_healthy (unusual_batches[i]);
    }
  assert_healthy_and_stop ();
}

/* ---- The store ---------------------------------------------------------- */

static void
test_malformed_store_values (void **state)
{
  static const char *const keys[] = { "op/config",
                                      "op/version/model-a",
                                      "op/version/other",
                                      "op/evacuate/z9",
                                      "op/other",
                                      "servers/x9",
                                      "quinceroute/policy",
                                      "quinceroute/fronts/x9",
                                      "quinceroute/events/x9",
                                      "quinceroute/quarantine/x9",
                                      "quinceroute/places/x9" };
  g_autofree char *deep = g_strnfill (NESTED_JSON_BYTES, '[');
  const char *const values[]
      = { "", "null", "[]", "{}", "7", "\"x\"", "{\"version\":\"x\"}", "\xff\xfe", deep };
  for (guint i = 0; i < G_N_ELEMENTS (values); i++)
    {
      for (guint j = 0; j < G_N_ELEMENTS (keys); j++)
        standin_store_put (scene.world->store, keys[j], values[i]);
      run_for (SETTLE_MS / 5);
      assert_healthy (keys[i % G_N_ELEMENTS (keys)]);
    }
  assert_healthy_and_stop ();
}

static void
test_malformed_store_answers (void **state)
{
  g_autofree char *deep = g_strnfill (NESTED_JSON_BYTES, '[');
  const char *const answers[] = { "",
                                  "null",
                                  "[]",
                                  "{}",
                                  deep,
                                  "\xff\xfe",
                                  "{\"items\":7,\"at\":\"x\"}",
                                  "{\"events\":[[]],\"items\":[[]],\"at\":-1}",
                                  "{\"items\":[{\"tlsKey\":\"op/config\",\"revision\":1,\"value\":\"%\"}]}" };
  for (guint i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      standin_store_set_malformed_answer (scene.world->store, answers[i]);
      standin_store_set_fault (scene.world->store, STANDIN_STORE_MALFORMED_ANSWERS);
      standin_store_close_connections (scene.world->store);
      run_for (SETTLE_MS);
      standin_store_set_fault (scene.world->store, STANDIN_STORE_HEALTHY);
      assert_healthy (answers[i]);
    }
  assert_healthy_and_stop ();
}

/* ---- Workers ------------------------------------------------------------ */

static void
test_answers_of_workers (void **state)
{
  g_autofree char *deep = g_strnfill (NESTED_JSON_BYTES, '[');
  const char *const answers[]
      = { "", "null", "[]", "{}", deep, "\xff\xfe", "{\"models\":7}", "{\"models\":[[]],\"seq\":\"x\"}" };
  for (guint i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      g_autofree char *version_entry = g_strdup_printf ("{\"model\":\"model-a\",\"version\":%u}", i + 2);
      for (guint j = 0; j < PATH_MODEL; j++)
        standin_worker_set_malformed_answer (scene.world->model[j], answers[i]);
      standin_store_put (scene.world->store, "op/version/model-a", version_entry);
      run_for (SETTLE_MS);
      for (guint j = 0; j < PATH_MODEL; j++)
        standin_worker_set_malformed_answer (scene.world->model[j], NULL);
      assert_healthy (answers[i]);
    }
  for (guint i = 0; i < PATH_MODEL; i++)
    AWAIT (standin_worker_get_version (scene.world->model[i]) == G_N_ELEMENTS (answers) + 1);
  assert_healthy_and_stop ();
}

/* ---- Replica links -------------------------------------------------------------- */

typedef struct
{
  const char *name;
  const char *bytes;
  gsize length;
} MalformedFrame;

/* Expands to the bytes of a frame and their number. */
#define FRAME(text) text, sizeof (text) - 1

static const MalformedFrame malformed_frames[] = {
  { "empty frame", FRAME ("\0\0\0\0") },
  { "unknown message kind", FRAME ("\0\0\0\4\0\0\0\x63") },
  { "incomplete word", FRAME ("\0\0\0\3\0\0\0") },
  { "string above its length limit", FRAME ("\0\0\0\x0c\0\0\0\x0b\xff\xff\xff\xff\xff\xff\xff\xff") },
  { "trailing bytes", FRAME ("\0\0\0\x18\0\0\0\x16\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0") },
  { "one byte too large", FRAME ("\4\0\0\1") },
  { "huge frame", FRAME ("\xff\xff\xff\xff") },
  { "truncated frame", FRAME ("\0\0\1\0\0\0\0\x0b") },
};

/* Sets @bytes to the shortest message of @kind whose other words are zero.  Returns %FALSE if none of up to
 * FRAME_WORDS_MAX words decodes. */
static gboolean
find_zero_message (guint kind, GByteArray *bytes)
{
  const guint8 zeros[4] = { 0 };
  const guint8 first[4] = { 0, 0, 0, (guint8)kind };
  g_byte_array_set_size (bytes, 0);
  g_byte_array_append (bytes, first, sizeof first);
  for (guint i = 0; i < FRAME_WORDS_MAX; i++)
    {
      g_autoptr (QuinceMessage) message = quince_message_decode (bytes->data, bytes->len, NULL);
      if (message != NULL)
        return TRUE;
      g_byte_array_append (bytes, zeros, sizeof zeros);
    }
  return FALSE;
}

/* Flips one to three bits, each among the low four bits of a word.  Epochs and revisions stay small, because
 * replicas accept a greater one from any peer. */
static void
flip_bits (GRand *random, GByteArray *bytes)
{
  for (gint flips = g_rand_int_range (random, 1, 4); flips > 0; flips--)
    {
      guint word = (guint)g_rand_int_range (random, 0, (gint)bytes->len / 4);
      bytes->data[word * 4 + 3] ^= (guint8)(1 << g_rand_int_range (random, 0, 4));
    }
}

static void
send_frame (const char *address, const GByteArray *message)
{
  g_autoptr (GByteArray) frame = g_byte_array_new ();
  guint32 length = GUINT32_TO_BE (message->len);
  g_byte_array_append (frame, (const guint8 *)&length, sizeof length);
  g_byte_array_append (frame, message->data, message->len);
  send_bytes (address, frame->data, frame->len);
}

static void
test_malformed_frames (void **state)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (23);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    {
      for (guint j = 0; j < G_N_ELEMENTS (malformed_frames); j++)
        send_bytes (scene.world->links[i], malformed_frames[j].bytes, malformed_frames[j].length);
      for (guint j = 0; j < RANDOM_REQUESTS; j++)
        send_random (scene.world->links[i], random);
      assert_healthy ("bad frames");
    }
  assert_healthy_and_stop ();
}

/* Sends messages of each kind with flipped bits from an unknown peer to the leader and to the other replicas.
 */
static void
test_messages_with_flipped_bits (void **state)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (29);
  g_autoptr (GByteArray) message = g_byte_array_new ();
  guint sent = 0;
  for (guint i = 0; i < RANDOM_FRAMES; i++)
    {
      if (!find_zero_message (i % (QUINCE_MESSAGE_LEDGER_LEAD + 1), message))
        continue;
      flip_bits (random, message);
      send_frame (scene.world->links[i / 40 % PATH_REPLICAS], message);
      sent++;
    }
  print_message ("  sent=%u\n", sent);
  assert_true (sent > RANDOM_FRAMES / 2);
  assert_healthy_and_stop ();
}

#define CASE(function) cmocka_unit_test_setup_teardown (function, set_up, tear_down)

int
main (int argc, char **argv)
{
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  const struct CMUnitTest tests[] = {
    CASE (test_malformed_requests),      CASE (test_incomplete_bodies),
    CASE (test_malformed_batches),       CASE (test_malformed_store_values),
    CASE (test_malformed_store_answers), CASE (test_answers_of_workers),
    CASE (test_malformed_frames),        CASE (test_messages_with_flipped_bits),
  };
  return cmocka_run_group_tests_name ("malformed", tests, NULL, NULL);
}
