/*
 * test-planned-stop.c: planned stops of fronts and replicas in turn cut nothing and refuse nothing: callers
 * that keep to the directory get a whole answer each, at the first try.
 */
#include "path-world.h"

#define CALLS 480
#define CALL_EVERY_MS 60
/* Callers look into the directory this seldom: for as long as its answers may be kept. */
#define DIRECTORY_EVERY_MS 2000
#define STREAMS_FLOWING 8
#define EVENTS 6
#define EVENT_EVERY_MS 200
#define DEADLINE_MS "20000"
#define ANSWER_TIMEOUT_US (25 * G_USEC_PER_SEC)
#define BATCH_ITEMS 4
#define KNOCKERS 6
#define KNOCKED_STOPS 6
#define KNOCKER_TIMEOUT_S 20
#define EARLY_ANSWERS 20
#define SIGNAL_PAUSE_US 20 /* between signals of a storm */

/* ---- Processes -------------------------------------------------------------- */

static void
await_end (QuinceProcess *process)
{
  int status = -1;
  AWAIT (quince_process_wait (process, 1, &status));
  if (status != 0)
    fail_msg ("%s ended with status %d", quince_process_get_name (process), status);
}

static void
stop_and_await (QuinceProcess *process)
{
  quince_process_stop (process);
  await_end (process);
}

static void
storm_and_await (QuinceProcess *process)
{
  gint64 end_us = g_get_monotonic_time () + AWAIT_TIMEOUT_MS * 1000;
  while (quince_process_is_running (process) && g_get_monotonic_time () < end_us)
    {
      quince_process_stop (process);
      g_usleep (SIGNAL_PAUSE_US);
    }
  await_end (process);
}

static void
await_service (PathWorld *world)
{
  for (guint i = 0; i < PATH_FRONTS; i++)
    {
      AWAIT (path_status (path_front (world, i), "POST", "/l/1", "q", "x") == 200);
      AWAIT (path_status (path_front (world, i), "GET", "/quinceroute/lots/none", "q", NULL) == 404);
    }
}

/* Ends and starts each process in turn; @before, when given, runs before each. */
static void
restart_all (PathWorld *world, void (*end) (QuinceProcess *), void (*before) (gpointer), gpointer user_data)
{
  for (guint i = 0; i < PATH_FRONTS + PATH_REPLICAS; i++)
    {
      gboolean is_front = i < PATH_FRONTS;
      if (before != NULL)
        before (user_data);
      end (is_front ? world->fronts[i] : world->replicas[i - PATH_FRONTS]);
      if (is_front)
        path_start_front (world, i);
      else
        path_start_replica (world, i - PATH_FRONTS);
      await_service (world);
    }
}

static PathWorld *
start_world (const char *name)
{
  PathWorld *world = path_world_new (name);
  path_reserve_links (world);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->model[i], EVENTS, EVENT_EVERY_MS);
  path_world_start (world);
  return world;
}

/* ---- Rolling restart -------------------------------------------------------- */

typedef struct
{
  char *id;
  guint kind; /* index of `targets` */
  char *address;
  PathAnswer answer;
} Call;

/* Callers of all kinds for as long as the restarts take. */
typedef struct
{
  PathWorld *world;
  GPtrArray *calls;     /* Call, owned */
  GPtrArray *directory; /* addresses of fronts as they were last read, owned */
  PathAnswer reading;
  guint asked; /* the front whose directory is read */
  gboolean is_reading;
  gint64 read_us;
  guint batches;
  guint timer;
} Traffic;

static const char *const targets[] = { "/l/call", "/s/call", "/u/call" };

static void
call_free (gpointer data)
{
  Call *call = data;
  path_answer_clear (&call->answer);
  g_free (call->id);
  g_free (call->address);
  g_free (call);
}

static void
begin_call (Traffic *traffic)
{
  guint index = traffic->calls->len;
  Call *call = g_new0 (Call, 1);
  call->id = g_strdup_printf ("call-%u", index);
  call->kind = index % G_N_ELEMENTS (targets);
  call->address = g_strdup (traffic->directory->pdata[index % traffic->directory->len]);
  g_ptr_array_add (traffic->calls, call);
  QuinceHttpPool *pool = quince_http_pool_new (call->address);
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  quince_http_headers_add (headers, "Host", PATH_HOST);
  quince_http_headers_add (headers, "Request-Id", call->id);
  quince_http_headers_add (headers, "Request-Deadline-Ms", DEADLINE_MS);
  g_autoptr (GBytes) body = g_bytes_new (call->id, strlen (call->id));
  const QuinceHttpRequest request = { .method = "POST",
                                      .target = targets[call->kind],
                                      .headers = headers,
                                      .body = body,
                                      .timeout_us = ANSWER_TIMEOUT_US };
  quince_http_pool_start (pool, &request, &path_callbacks, &call->answer);
  quince_http_pool_unref (pool);
}

/* Keeps what was read when nothing could be read now. */
static void
take_directory (Traffic *traffic)
{
  if (traffic->reading.status == 200)
    {
      g_ptr_array_set_size (traffic->directory, 0);
      g_auto (GStrv) words = g_strsplit (traffic->reading.body, "\"", -1);
      for (char **word = words; *word != NULL; word++)
        if (g_str_has_prefix (*word, "127.0.0.1:"))
          g_ptr_array_add (traffic->directory, g_strdup (*word));
    }
  path_answer_clear (&traffic->reading);
  traffic->is_reading = FALSE;
}

static void
read_directory (Traffic *traffic)
{
  traffic->is_reading = TRUE;
  traffic->read_us = g_get_monotonic_time ();
  traffic->asked = (traffic->asked + 1) % PATH_FRONTS;
  path_start_call (quince_process_get_ready_value (traffic->world->fronts[traffic->asked], "directory"),
                   "GET", "/quinceroute/resolve?name=x&zone=z1", "q", NULL, &traffic->reading);
}

static gboolean
traffic_step (gpointer data)
{
  Traffic *traffic = data;
  gboolean unread = traffic->reading.done && traffic->reading.status != 200;
  if (traffic->reading.done)
    take_directory (traffic);
  gint64 age_us = g_get_monotonic_time () - traffic->read_us;
  if (!traffic->is_reading && (unread || age_us > DIRECTORY_EVERY_MS * 1000))
    read_directory (traffic);
  if (traffic->directory->len > 0)
    begin_call (traffic);
  return G_SOURCE_CONTINUE;
}

static guint
streams_in_progress (const Traffic *traffic)
{
  guint count = 0;
  for (guint i = 0; i < traffic->calls->len; i++)
    {
      const Call *call = traffic->calls->pdata[i];
      count += !call->answer.done && call->kind > 0;
    }
  return count;
}

/* Streams and a batch are in progress. */
static void
keep_busy (gpointer user_data)
{
  Traffic *traffic = user_data;
  g_autofree char *batch = g_strdup_printf ("b%u", traffic->batches++);
  g_autofree char *text = path_make_batch (batch, BATCH_ITEMS);
  AWAIT (path_status (path_front (traffic->world, 0), "POST", "/r/batch", batch, text) == 202);
  AWAIT (streams_in_progress (traffic) >= STREAMS_FLOWING);
}

static gboolean
is_whole (const Call *call)
{
  static const char stream[] = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
                               "id: 4\ndata: e4\n\nid: 5\ndata: e5\n\nid: 6\ndata: e6\n\n";
  if (call->answer.outcome != QUINCE_HTTP_ANSWERED || call->answer.status != 200)
    return FALSE;
  if (call->kind > 0)
    return g_str_equal (call->answer.body, stream);
  g_autofree char *beginning = g_strdup_printf ("%s by p", call->id);
  return g_str_has_prefix (call->answer.body, beginning) && call->answer.signature != NULL;
}

/* Runs of a request that may not be repeated. */
static guint
count_runs (const PathWorld *world, const char *id)
{
  guint count = 0;
  for (guint i = 0; i < PATH_MODEL; i++)
    {
      const GPtrArray *runs = standin_worker_get_runs (world->model[i]);
      for (guint j = 0; j < runs->len; j++)
        count += g_str_equal (((const StandinRun *)runs->pdata[j])->id, id);
    }
  return count;
}

static void
assert_all_whole (const Traffic *traffic)
{
  guint missing = 0;
  for (guint i = 0; i < traffic->calls->len; i++)
    {
      const Call *call = traffic->calls->pdata[i];
      if (!is_whole (call))
        {
          print_error ("  %s %s at %s: outcome=%d status=%u body=%s\n", call->id, targets[call->kind],
                       call->address, (int)call->answer.outcome, call->answer.status, call->answer.body);
          missing++;
        }
      if (call->kind == 2)
        assert_int_equal (count_runs (traffic->world, call->id), 1);
    }
  print_message ("  calls=%u not_whole=%u\n", traffic->calls->len, missing);
  assert_int_equal (missing, 0);
}

static void
assert_batches_whole (const Traffic *traffic)
{
  for (guint i = 0; i < traffic->batches; i++)
    {
      g_autofree char *batch = g_strdup_printf ("b%u", i);
      AWAIT (path_count_results (traffic->world, i % PATH_FRONTS, batch) == BATCH_ITEMS);
      g_autofree char *text = path_read_results (traffic->world, i % PATH_FRONTS, batch);
      assert_int_equal (path_count_occurrences (text, "\"state\":\"completed\""), BATCH_ITEMS);
      assert_int_equal (path_count_occurrences (text, "\"message\":\"e1\\ne2\\ne3\\ne4\\ne5\\ne6\""),
                        BATCH_ITEMS);
    }
}

static void
test_rolling_restart (void **state)
{
  PathWorld *world = start_world ("rolling");
  g_autoptr (GPtrArray) calls = g_ptr_array_new_with_free_func (call_free);
  g_autoptr (GPtrArray) directory = g_ptr_array_new_with_free_func (g_free);
  Traffic traffic = { .world = world, .calls = calls, .directory = directory };
  read_directory (&traffic);
  traffic.timer = g_timeout_add (CALL_EVERY_MS, traffic_step, &traffic);
  restart_all (world, stop_and_await, keep_busy, &traffic);
  AWAIT (calls->len >= CALLS);
  g_source_remove (traffic.timer);
  for (guint i = 0; i < calls->len; i++)
    AWAIT (((Call *)calls->pdata[i])->answer.done);
  AWAIT (!traffic.is_reading || traffic.reading.done);
  assert_all_whole (&traffic);
  assert_batches_whole (&traffic);
  path_answer_clear (&traffic.reading);
  path_world_free (world);
}

/* ---- A second signal -------------------------------------------------------- */

/* Signals without pause from the first one to the end: each process still ends in order. */
static void
test_signal_again (void **state)
{
  PathWorld *world = start_world ("signals");
  restart_all (world, storm_and_await, NULL, NULL);
  path_world_free (world);
}

/* ---- Callers that come at the very end -------------------------------------- */

/* What all knockers share. */
typedef struct
{
  const char *address; /* atomic; of the front */
  gint stop;           /* atomic */
  gint answers;        /* atomic; whole ones of all */
} Door;

/* What one caller met that looks into no directory; each belongs to its thread until that has ended. */
typedef struct
{
  Door *door;
  guint index;
  gboolean keep_alive;
  guint asked;
  guint whole;
  guint told_to_leave; /* whole, and the connection is to be closed though it could be kept */
  guint refused;       /* connection refused */
  guint lost;          /* connected, asked, and heard nothing */
  guint cut;           /* heard a part */
  guint wrong;         /* another answer than the whole one */
} Knocker;

/* Reads one answer; (transfer full): what came of it. */
static char *
read_answer (GInputStream *input, gboolean *whole, gboolean *closing)
{
  GString *text = g_string_new (NULL);
  char buffer[4096];
  gssize got;
  *whole = FALSE;
  while (!*whole && (got = g_input_stream_read (input, buffer, sizeof buffer, NULL, NULL)) > 0)
    {
      g_string_append_len (text, buffer, got);
      const char *body = strstr (text->str, "\r\n\r\n");
      const char *length = strstr (text->str, "Content-Length: ");
      if (body != NULL && length != NULL)
        *whole = strlen (body + 4) >= g_ascii_strtoull (length + strlen ("Content-Length: "), NULL, 10);
    }
  *closing = strstr (text->str, "Connection: close") != NULL;
  return g_string_free (text, FALSE);
}

static void
count_answer (Knocker *knocker, const char *text, gboolean whole, gboolean closing)
{
  if (*text == '\0')
    knocker->lost++;
  else if (!whole)
    knocker->cut++;
  else if (g_str_has_prefix (text, "HTTP/1.1 200 ") && strstr (text, "\r\n\r\nknock by p") != NULL)
    {
      knocker->whole++;
      knocker->told_to_leave += closing && knocker->keep_alive;
      g_atomic_int_inc (&knocker->door->answers);
    }
  else
    {
      print_error ("  knocker %u: %s\n", knocker->index, text);
      knocker->wrong++;
    }
}

/* Asks on one connection until either side is done with it. */
static void
ask (Knocker *knocker, GSocketConnection *connection)
{
  gboolean whole = TRUE, closing = FALSE;
  while (whole && !closing && !g_atomic_int_get (&knocker->door->stop))
    {
      g_autofree char *request = g_strdup_printf (
          "POST /l/knock HTTP/1.1\r\nHost: " PATH_HOST "\r\nRequest-Id: knock-%u-%u\r\n"
          "Request-Deadline-Ms: " DEADLINE_MS "\r\nContent-Length: 5\r\nConnection: %s\r\n\r\nknock",
          knocker->index, knocker->asked++, knocker->keep_alive ? "keep-alive" : "close");
      GOutputStream *output = g_io_stream_get_output_stream (G_IO_STREAM (connection));
      g_output_stream_write_all (output, request, strlen (request), NULL, NULL, NULL);
      g_autofree char *text
          = read_answer (g_io_stream_get_input_stream (G_IO_STREAM (connection)), &whole, &closing);
      count_answer (knocker, text, whole, closing);
      closing = closing || !knocker->keep_alive;
    }
}

static gpointer
knock (gpointer data)
{
  Knocker *knocker = data;
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_socket_client_set_enable_proxy (client, FALSE);
  g_socket_client_set_timeout (client, KNOCKER_TIMEOUT_S);
  while (!g_atomic_int_get (&knocker->door->stop))
    {
      const char *address = g_atomic_pointer_get (&knocker->door->address);
      g_autoptr (GSocketConnection) connection
          = g_socket_client_connect_to_host (client, address, 0, NULL, NULL);
      if (connection != NULL)
        ask (knocker, connection);
      else
        {
          knocker->refused++;
          g_usleep (1000);
        }
    }
  return NULL;
}

static void
add_up (Knocker *sum, const Knocker *one)
{
  sum->whole += one->whole;
  sum->told_to_leave += one->told_to_leave;
  sum->refused += one->refused;
  sum->lost += one->lost;
  sum->cut += one->cut;
  sum->wrong += one->wrong;
}

/* The front's address changes with each start; @addresses keeps those that knockers may still read. */
static void
stop_under_knocks (PathWorld *world, Door *door, GPtrArray *addresses)
{
  gint before = g_atomic_int_get (&door->answers);
  AWAIT (g_atomic_int_get (&door->answers) >= before + EARLY_ANSWERS);
  stop_and_await (world->fronts[0]);
  path_start_front (world, 0);
  await_service (world);
  g_ptr_array_add (addresses, g_strdup (path_front (world, 0)));
  g_atomic_pointer_set (&door->address, (char *)addresses->pdata[addresses->len - 1]);
}

/* Nobody who reaches a front while it stops is left without an answer. */
static void
test_knocking_while_stopping (void **state)
{
  PathWorld *world = start_world ("knocking");
  g_autoptr (GPtrArray) addresses = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (addresses, g_strdup (path_front (world, 0)));
  Door door = { .address = addresses->pdata[0] };
  Knocker knockers[KNOCKERS];
  Knocker sum = { 0 };
  GThread *threads[KNOCKERS];
  for (guint i = 0; i < KNOCKERS; i++)
    {
      knockers[i] = (Knocker){ .door = &door, .index = i, .keep_alive = i % 2 == 1 };
      threads[i] = g_thread_new ("knocker", knock, &knockers[i]);
    }
  for (guint i = 0; i < KNOCKED_STOPS; i++)
    stop_under_knocks (world, &door, addresses);
  g_atomic_int_set (&door.stop, 1);
  run_for (500); /* the last answers need the workers, which live on this thread */
  for (guint i = 0; i < KNOCKERS; i++)
    {
      g_thread_join (threads[i]);
      add_up (&sum, &knockers[i]);
    }
  print_message ("  whole=%u told_to_leave=%u refused=%u lost=%u cut=%u wrong=%u\n", sum.whole,
                 sum.told_to_leave, sum.refused, sum.lost, sum.cut, sum.wrong);
  assert_int_equal (sum.lost, 0);
  assert_int_equal (sum.cut, 0);
  assert_int_equal (sum.wrong, 0);
  assert_true (sum.told_to_leave > 0);
  path_world_free (world);
}

int
main (int argc, char **argv)
{
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_rolling_restart),
    cmocka_unit_test (test_signal_again),
    cmocka_unit_test (test_knocking_while_stopping),
  };
  return cmocka_run_group_tests_name ("planned-stop", tests, NULL, NULL);
}
