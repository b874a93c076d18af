/*
 * test-evacuation.c: guards against requests that are sent to an evacuated zone, requests that an evacuation
 * loses, and a zone that gets its full load as soon as it returns.
 */
#include "forward/forward.h"
#include "runtime/clock.h"

#include <string.h>

#include "await.h"
#include "platform.h"
#include "standin-worker.h"

#define WORKERS 2
#define FORWARD_TIMEOUT_MS 6000
/* Well below FORWARD_TIMEOUT_MS, and above the time to detect a stalled request. */
#define ABORT_MAX_MS 3000
/* More than the socket buffers of both sides hold. */
#define LARGE_BYTES (16 * 1024 * 1024)
#define WORKER_SLOTS 8

typedef struct
{
  QuinceBackends *backends;
  StandinWorker *workers[WORKERS]; /* w0 in z1, w1 in z2 */
  GSocket *stalled_listener;       /* owned; the listener of a worker in z1 that reads nothing; NULL: none */
  guint64 revision;
  gboolean done;
  QuinceForwardOutcome outcome;
  guint status;
  char *cause;
} World;

static void
register_worker_entry (World *world, const char *id, const char *text)
{
  g_autofree char *key = g_strconcat (QUINCE_PLATFORM_WORKERS_PREFIX, id, NULL);
  g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));
  QuinceWorker *worker = quince_platform_read_worker (key, bytes, NULL);
  assert_non_null (worker);
  quince_backends_update (world->backends, worker);
}

static void
register_worker (World *world, guint index)
{
  g_autofree char *entry = standin_worker_make_entry (world->workers[index], "svc", "ready");
  register_worker_entry (world, standin_worker_get_id (world->workers[index]), entry);
}

static void
world_init (World *world)
{
  static const char *const ids[WORKERS] = { "w0", "w1" };
  static const char *const zones[WORKERS] = { "z1", "z2" };
  *world = (World){ .revision = 10 };
  world->backends = quince_backends_new (quince_topology_new ("z1", ""), QUINCE_PLATFORM_REQUEST_ID_HEADER);
  for (guint i = 0; i < WORKERS; i++)
    {
      world->workers[i] = standin_worker_new (ids[i]);
      standin_worker_set_zone (world->workers[i], zones[i]);
    }
}

static void
world_clear (World *world)
{
  quince_backends_free (world->backends);
  for (guint i = 0; i < WORKERS; i++)
    standin_worker_free (world->workers[i]);
  g_clear_object (&world->stalled_listener);
  g_free (world->cause);
}

static void
set_zone_evacuated (World *world, const char *zone, gboolean evacuated)
{
  assert_true (quince_backends_set_zone_evacuated (world->backends, quince_now_us (), zone, ++world->revision,
                                                   evacuated));
}

static guint
count_runs (const World *world, guint index)
{
  return standin_worker_get_runs (world->workers[index])->len;
}

static void
forward_done (const QuinceForwardResult *result, gpointer data)
{
  World *world = data;
  world->done = TRUE;
  world->outcome = result->outcome;
  g_free (world->cause);
  world->cause = g_strdup (result->cause);
  world->status = result->outcome == QUINCE_FORWARD_ANSWERED ? result->head->status : 0;
}

static QuinceForward *
start_forward_with_body (World *world, gboolean repeatable, GBytes *body)
{
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  quince_http_headers_add (headers, "Host", "h.example");
  quince_platform_write_request_id (headers, "r1");
  gint64 end_us = quince_now_us () + (gint64)FORWARD_TIMEOUT_MS * 1000;
  const QuinceForwardRequest request = { .service = "svc",
                                         .kind = "kind",
                                         .method = "POST",
                                         .target = "/p/1",
                                         .request_id = "r1",
                                         .headers = headers,
                                         .body = body,
                                         .repeatable = repeatable,
                                         .max_attempts = 3,
                                         .target_latency_ms = 4000,
                                         .deadline_us = end_us,
                                         .give_up_us = end_us };
  world->done = FALSE;
  return quince_forward_start (world->backends, &quince_platform_forward_codec, &request, forward_done,
                               world);
}

static void
start_forward (World *world, gboolean repeatable)
{
  g_autoptr (GBytes) body = g_bytes_new_static ("question", 8);
  start_forward_with_body (world, repeatable, body);
}

static void
assert_aborted_in_time (World *world, gint64 since_us)
{
  AWAIT (world->done);
  gint64 took_ms = (quince_now_us () - since_us) / 1000;
  if (took_ms > ABORT_MAX_MS)
    fail_msg ("the request was aborted after %d ms", (int)took_ms);
}

/* Registers a worker in z1 whose connections are established but never read. If @full, its listen backlog is
 * 0, for fill_listen_backlog(). */
static void
register_stalled_worker (World *world, gboolean full)
{
  g_autoptr (GInetAddress) loopback = g_inet_address_new_loopback (G_SOCKET_FAMILY_IPV4);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new (loopback, 0);
  world->stalled_listener
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_DEFAULT, NULL);
  assert_true (g_socket_bind (world->stalled_listener, any, FALSE, NULL));
  g_socket_set_listen_backlog (world->stalled_listener, full ? 0 : 4);
  assert_true (g_socket_listen (world->stalled_listener, NULL));
  g_autoptr (GSocketAddress) local = g_socket_get_local_address (world->stalled_listener, NULL);
  guint port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local));
  g_autofree char *entry = g_strdup_printf (
      "{\"service\":\"svc\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z1\",\"version\":1,\"slots\":4,"
      "\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":1}",
      port);
  register_worker_entry (world, "deaf", entry);
}

/* Fills the listen backlog, so that the next connection stays in progress. Returns the connections that
 * fill it. (transfer full) */
static GPtrArray *
fill_listen_backlog (World *world)
{
  GPtrArray *fillers = g_ptr_array_new_with_free_func (g_object_unref);
  g_autoptr (GSocketAddress) address = g_socket_get_local_address (world->stalled_listener, NULL);
  for (guint i = 0; i < 4; i++)
    {
      GSocket *filler
          = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_DEFAULT, NULL);
      g_socket_set_blocking (filler, FALSE);
      g_socket_connect (filler, address, NULL, NULL);
      g_ptr_array_add (fillers, filler);
    }
  run_for (50);
  return fillers;
}

/* Accepts the connection to the stalled worker and waits until the first bytes of a request have arrived;
 * before that, the request may count as not sent. Returns the connection, with the bytes unread.
 * (transfer full) */
static GSocket *
accept_partial_request (World *world)
{
  AWAIT (g_socket_condition_check (world->stalled_listener, G_IO_IN) != 0);
  GSocket *accepted = g_socket_accept (world->stalled_listener, NULL, NULL);
  assert_non_null (accepted);
  AWAIT (g_socket_get_available_bytes (accepted) > 0);
  return accepted;
}

/* ---- Cases -------------------------------------------------------------- */

static void
test_new_requests_avoid_evacuated_zone (void **state)
{
  World world;
  world_init (&world);
  register_worker (&world, 0);
  register_worker (&world, 1);
  start_forward (&world, TRUE);
  AWAIT (world.done);
  start_forward (&world, TRUE);
  AWAIT (world.done);
  set_zone_evacuated (&world, "z1", TRUE);
  guint before = count_runs (&world, 0);
  for (guint i = 0; i < 20; i++)
    {
      start_forward (&world, i % 2 == 0);
      AWAIT (world.done);
      assert_int_equal (world.status, 200);
    }
  assert_int_equal (count_runs (&world, 0), before);
  world_clear (&world);
}

/* Retries and hedges avoid the zone too, when the other worker fails or is slow. */
static void
test_retries_and_hedges_avoid_evacuated_zone (void **state)
{
  World world;
  world_init (&world);
  register_worker (&world, 0);
  register_worker (&world, 1);
  set_zone_evacuated (&world, "z1", TRUE);
  standin_worker_set_fault (world.workers[1], STANDIN_WORKER_RESETS, 1);
  start_forward (&world, TRUE);
  AWAIT (world.done);
  assert_int_equal (world.status, 200);
  standin_worker_set_answer_delay (world.workers[1], 2500);
  start_forward (&world, TRUE);
  AWAIT (world.done);
  assert_int_equal (world.status, 200);
  assert_int_equal (count_runs (&world, 0), 0);
  world_clear (&world);
}

/* A request that runs when the evacuation starts completes, whether or not it may be repeated. */
static void
test_running_requests_complete (void **state)
{
  for (guint repeatable = 0; repeatable < 2; repeatable++)
    {
      World world;
      world_init (&world);
      register_worker (&world, 0);
      standin_worker_set_answer_delay (world.workers[0], 2500);
      start_forward (&world, repeatable == 1);
      AWAIT (count_runs (&world, 0) == 1);
      set_zone_evacuated (&world, "z1", TRUE);
      AWAIT (world.done);
      assert_int_equal (world.status, 200);
      assert_int_equal (count_runs (&world, 0), 1);
      world_clear (&world);
    }
}

static void
test_refused_when_all_zones_are_evacuated (void **state)
{
  World world;
  world_init (&world);
  register_worker (&world, 0);
  register_worker (&world, 1);
  set_zone_evacuated (&world, "z1", TRUE);
  set_zone_evacuated (&world, "z2", TRUE);
  gint64 since_us = quince_now_us ();
  start_forward (&world, FALSE);
  AWAIT (world.done);
  assert_true (quince_now_us () - since_us < 500 * 1000);
  assert_int_equal (world.outcome, QUINCE_FORWARD_REFUSED);
  assert_string_equal (world.cause, QUINCE_FORWARD_CAUSE_EVACUATED);
  set_zone_evacuated (&world, "z2", FALSE);
  start_forward (&world, FALSE);
  AWAIT (world.done);
  assert_int_equal (world.status, 200);
  assert_int_equal (count_runs (&world, 0), 0);
  assert_int_equal (count_runs (&world, 1), 1);
  world_clear (&world);
}

/* A request is queued since its only worker refuses it. Evacuating the worker's zone refuses the request. */
static void
test_queued_request_is_refused (void **state)
{
  World world;
  world_init (&world);
  register_worker (&world, 0);
  standin_worker_set_fault (world.workers[0], STANDIN_WORKER_REFUSES, G_MAXUINT);
  start_forward (&world, FALSE);
  run_for (50);
  set_zone_evacuated (&world, "z1", TRUE);
  gint64 since_us = quince_now_us ();
  AWAIT (world.done);
  assert_true (quince_now_us () - since_us < 500 * 1000);
  assert_int_equal (world.outcome, QUINCE_FORWARD_REFUSED);
  assert_string_equal (world.cause, QUINCE_FORWARD_CAUSE_EVACUATED);
  world_clear (&world);
}

/* The connection is still in progress, so the request has not run and is rerouted without delay. */
static void
test_connecting_request_is_rerouted (void **state)
{
  World world;
  world_init (&world);
  register_stalled_worker (&world, TRUE);
  g_autoptr (GPtrArray) fillers = fill_listen_backlog (&world);
  start_forward (&world, FALSE);
  run_for (100);
  assert_false (world.done);
  register_worker (&world, 1);
  gint64 since_us = quince_now_us ();
  set_zone_evacuated (&world, "z1", TRUE);
  AWAIT (world.done);
  assert_true (quince_now_us () - since_us < 400 * 1000);
  assert_int_equal (world.status, 200);
  assert_int_equal (count_runs (&world, 1), 1);
  world_clear (&world);
}

/* A partially sent request is aborted, so that a link that recovers does not deliver it late. */
static void
test_partially_sent_request_is_aborted (void **state)
{
  World world;
  world_init (&world);
  register_stalled_worker (&world, FALSE);
  g_autofree char *large = g_malloc0 (LARGE_BYTES);
  g_autoptr (GBytes) body = g_bytes_new (large, LARGE_BYTES);
  start_forward_with_body (&world, FALSE, body);
  g_autoptr (GSocket) accepted = accept_partial_request (&world);
  register_worker (&world, 1);
  gint64 since_us = quince_now_us ();
  set_zone_evacuated (&world, "z1", TRUE);
  assert_aborted_in_time (&world, since_us);
  assert_int_equal (world.outcome, QUINCE_FORWARD_FAILED); /* may have run, so it is not retried */
  assert_int_equal (count_runs (&world, 1), 0);
  world_clear (&world);
}

/* Reads and discards all data. Returns 0 if the peer closed the connection, or -1 if it was reset. */
static gssize
read_until_closed (GSocket *accepted)
{
  g_autofree char *buffer = g_malloc (LARGE_BYTES);
  gssize got = 1;
  while (got > 0)
    got = g_socket_receive (accepted, buffer, LARGE_BYTES, NULL, NULL);
  return got;
}

/* The kernel does not deliver the rest of a cancelled request when the worker resumes reading. */
static void
test_cancelled_request_resets_connection (void **state)
{
  World world;
  world_init (&world);
  register_stalled_worker (&world, FALSE);
  g_autofree char *large = g_malloc0 (LARGE_BYTES);
  g_autoptr (GBytes) body = g_bytes_new (large, LARGE_BYTES);
  QuinceForward *forward = start_forward_with_body (&world, FALSE, body);
  g_autoptr (GSocket) accepted = accept_partial_request (&world);
  quince_forward_cancel (forward);
  assert_int_equal (read_until_closed (accepted), -1);
  world_clear (&world);
}

/* No request is sent until the operator's settings are known. */
static void
test_held_sends (void **state)
{
  World world;
  world_init (&world);
  register_worker (&world, 0);
  quince_backends_hold_sends (world.backends, 0);
  start_forward (&world, TRUE);
  run_for (200);
  assert_false (world.done);
  assert_int_equal (count_runs (&world, 0), 0);
  quince_backends_release_sends (world.backends);
  AWAIT (world.done);
  assert_int_equal (world.status, 200);
  world_clear (&world);
}

/* ---- Return of a zone --------------------------------------------------- */

static const char *
choose_worker (World *world, gint64 now_us, guint running_max)
{
  const QuincePolicyRequest request = { .service = "svc", .member = "", .kind = "kind" };
  const QuinceBackendQuery query = { .request = &request, .running_max = running_max };
  QuinceWorker *worker = NULL;
  if (quince_backends_choose (world->backends, now_us, &query, &worker) != QUINCE_BACKEND_CHOSEN)
    return "none";
  return worker->id;
}

/* Returns how often w0 is chosen in 400 choices without a limit on running requests. */
static guint
count_chosen_of_400 (World *world, gint64 now_us)
{
  guint count = 0;
  for (guint i = 0; i < 400; i++)
    count += g_str_equal (choose_worker (world, now_us, 0), "w0");
  return count;
}

static void
test_share_ramps_up_after_return (void **state)
{
  World world;
  world_init (&world);
  register_worker (&world, 0);
  register_worker (&world, 1);
  set_zone_evacuated (&world, "z1", TRUE);
  gint64 now = quince_now_us ();
  set_zone_evacuated (&world, "z1", FALSE);
  QuinceWorkerTable *workers = quince_backends_get_workers (world.backends);
  QuinceWorker *returned = quince_worker_table_find (workers, "w0");
  QuinceWorker *other = quince_worker_table_find (workers, "w1");
  other->running = WORKER_SLOTS - 2;
  returned->running = WORKER_SLOTS / 2;
  assert_string_equal (choose_worker (&world, now + 100 * 1000, WORKER_SLOTS), "w1");
  assert_string_equal (choose_worker (&world, now + 4 * G_USEC_PER_SEC, WORKER_SLOTS), "w0");
  other->running = WORKER_SLOTS; /* the other zone has no free slot */
  assert_string_equal (choose_worker (&world, now + 100 * 1000, WORKER_SLOTS), "w0");
  other->running = returned->running = 0;
  guint early = count_chosen_of_400 (&world, now + 100 * 1000);
  guint later = count_chosen_of_400 (&world, now + 1500 * 1000);
  guint last = count_chosen_of_400 (&world, now + 4 * G_USEC_PER_SEC);
  print_message ("  chosen of 400 after 0.1 s, 1.5 s and 4 s: %u, %u, %u\n", early, later, last);
  assert_true (early < later && later < last);
  assert_in_range (early, 20, 120);
  world_clear (&world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_new_requests_avoid_evacuated_zone),
    cmocka_unit_test (test_retries_and_hedges_avoid_evacuated_zone),
    cmocka_unit_test (test_running_requests_complete),
    cmocka_unit_test (test_refused_when_all_zones_are_evacuated),
    cmocka_unit_test (test_queued_request_is_refused),
    cmocka_unit_test (test_connecting_request_is_rerouted),
    cmocka_unit_test (test_partially_sent_request_is_aborted),
    cmocka_unit_test (test_cancelled_request_resets_connection),
    cmocka_unit_test (test_held_sends),
    cmocka_unit_test (test_share_ramps_up_after_return),
  };
  return cmocka_run_group_tests_name ("evacuation", tests, NULL, NULL);
}
