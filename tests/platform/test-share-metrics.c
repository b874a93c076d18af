/*
 * test-share-metrics.c: guards against metrics by route, tenant, zone and model that miss the one that is
 * affected, and against a number of series that grows with the number of tenants.
 */
#define PATH_FRONTS 1
#define PATH_REPLICAS 1
#include "tenants-world.h"

#include "forward/forward.h"
#include "platform.h"
#include "runtime/clock.h"
#include "runtime/metrics.h"

#define WORKERS 2
/* Latency target of the requests, ms; the slow worker takes longer. */
#define TARGET_MS 100
#define SLOW_MS 300
/* Texts of the samples that move: events, and the time between two of them at the slow worker and others. */
#define EVENTS 60
#define SLOW_EVENT_MS 200
#define EVENT_MS 20

typedef struct
{
  QuinceBackends *backends;
  StandinWorker *workers[WORKERS]; /* in the zones z0 and z1 */
  guint done;
} World;

static void
world_init (World *world)
{
  quince_metrics_reset ();
  *world = (World){ .backends = quince_backends_new (quince_topology_new ("z0", ""),
                                                     QUINCE_PLATFORM_REQUEST_ID_HEADER) };
  for (guint i = 0; i < WORKERS; i++)
    {
      g_autofree char *id = g_strdup_printf ("w%u", i);
      g_autofree char *zone = g_strdup_printf ("z%u", i);
      g_autofree char *key = g_strconcat (QUINCE_PLATFORM_WORKERS_PREFIX, id, NULL);
      world->workers[i] = standin_worker_new (id);
      standin_worker_set_zone (world->workers[i], zone);
      g_autofree char *text = standin_worker_make_entry (world->workers[i], "svc", "ready");
      g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));
      quince_backends_update (world->backends, quince_platform_read_worker (key, bytes, NULL));
    }
}

static void
world_clear (World *world)
{
  quince_backends_free (world->backends);
  for (guint i = 0; i < WORKERS; i++)
    standin_worker_free (world->workers[i]);
  quince_metrics_reset ();
}

static void
forward_done (const QuinceForwardResult *result, gpointer data)
{
  ((World *)data)->done++;
}

static void
start_request (World *world, const char *route, const char *tenant)
{
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  quince_http_headers_add (headers, "Host", "h.example");
  quince_platform_write_request_id (headers, "r1");
  gint64 now = quince_now_us ();
  const QuinceForwardRequest request = { .service = "svc",
                                         .caller = tenant,
                                         .kind = route,
                                         .method = "POST",
                                         .target = "/l/1",
                                         .request_id = "r1",
                                         .headers = headers,
                                         .repeatable = TRUE,
                                         .max_attempts = 3,
                                         .target_latency_ms = TARGET_MS,
                                         .deadline_us = now + 3 * G_USEC_PER_SEC,
                                         .give_up_us = now + 3 * G_USEC_PER_SEC };
  quince_forward_start (world->backends, &quince_platform_forward_codec, &request, forward_done, world);
}

/* Returns the value of the series of @name in @text, or -1 if there is none. */
static double
find_value (const char *text, const char *metric, const char *by, const char *name)
{
  g_autofree char *series = g_strdup_printf ("\n%s{by=\"%s\",name=\"%s\"} ", metric, by, name);
  const char *found = strstr (text, series);
  return found != NULL ? g_ascii_strtod (found + strlen (series), NULL) : -1;
}

static double
read_value (World *world, const char *metric, const char *by, const char *name)
{
  quince_backends_refresh_share_metrics (world->backends);
  g_autofree char *text = quince_metrics_format ();
  return find_value (text, metric, by, name);
}

/* Requests to slow workers are late and hedged; only the route, tenant and zones concerned show it. */
static void
test_slow_requests (void **state)
{
  World world;
  world_init (&world);
  start_request (&world, "fast", "t1");
  AWAIT (world.done == 1);
  for (guint i = 0; i < WORKERS; i++)
    standin_worker_set_answer_delay (world.workers[i], SLOW_MS);
  start_request (&world, "slow", "t2");
  AWAIT (read_value (&world, "quince_share_hedges_total", "route", "slow") == 1);
  assert_true (read_value (&world, "quince_share_waiting", "route", "slow") == 1);
  assert_true (read_value (&world, "quince_share_waiting", "tenant", "t2") == 1);
  assert_true (read_value (&world, "quince_share_waiting", "zone", "z0")
                   + read_value (&world, "quince_share_waiting", "zone", "z1")
               == 2);
  AWAIT (world.done == 2);
  assert_true (read_value (&world, "quince_share_waiting", "route", "slow") == 0);
  assert_true (read_value (&world, "quince_share_requests_total", "tenant", "t2") == 1);
  assert_true (read_value (&world, "quince_share_hedges_total", "tenant", "t2") == 1);
  assert_true (read_value (&world, "quince_share_hedges_total", "tenant", "t1") == -1);
  assert_true (read_value (&world, "quince_share_late_seconds_total", "route", "slow")
               >= (SLOW_MS - TARGET_MS - 1) / 1000.0);
  assert_true (read_value (&world, "quince_share_late_seconds_total", "tenant", "t2") > 0);
  assert_true (read_value (&world, "quince_share_late_seconds_total", "route", "fast") == -1);
  assert_true (MAX (read_value (&world, "quince_share_late_seconds_total", "zone", "z0"),
                    read_value (&world, "quince_share_late_seconds_total", "zone", "z1"))
               > 0);
  world_clear (&world);
}

/* The zone whose worker refuses is the one that shows it.  Requests prefer the zone of this process, z0. */
static void
test_refusals_by_zone (void **state)
{
  World world;
  world_init (&world);
  standin_worker_set_fault (world.workers[0], STANDIN_WORKER_REFUSES, 1);
  start_request (&world, "l", NULL);
  AWAIT (world.done == 1);
  assert_true (read_value (&world, "quince_share_refused_total", "zone", "z0") == 1);
  assert_true (read_value (&world, "quince_share_refused_total", "zone", "z1") == -1);
  assert_true (read_value (&world, "quince_share_requests_total", "zone", "z0") == 1);
  assert_true (read_value (&world, "quince_share_requests_total", "zone", "z1") == 1);
  assert_true (read_value (&world, "quince_share_requests_total", "route", "l") == 1);
  world_clear (&world);
}

#define MANY_TENANTS 200

/* Returns the number of series of @metric by tenant. */
static guint
count_series (World *world, const char *metric)
{
  g_autofree char *start = g_strdup_printf ("\n%s{by=\"tenant\"", metric);
  quince_backends_refresh_share_metrics (world->backends);
  g_autofree char *text = quince_metrics_format ();
  guint n = 0;
  for (const char *at = strstr (text, start); at != NULL; at = strstr (at + 1, start))
    n++;
  return n;
}

static void
test_many_tenants (void **state)
{
  World world;
  world_init (&world);
  QuinceShareMetrics *shares = quince_backends_get_share_metrics (world.backends);
  for (guint i = 0; i < MANY_TENANTS; i++)
    {
      g_autofree char *name = g_strdup_printf ("tenant-%u", i);
      for (guint j = 0; j < 5; j++)
        quince_share_metrics_end (QUINCE_SHARE_TENANT,
                                  quince_share_metrics_begin (shares, QUINCE_SHARE_TENANT, name), 1);
    }
  assert_int_equal (count_series (&world, "quince_share_requests_total"), QUINCE_SHARE_LABELS_MAX + 1);
  assert_true (read_value (&world, "quince_share_requests_total", "tenant", "other")
               == (MANY_TENANTS - QUINCE_SHARE_LABELS_MAX) * 5);
  for (guint i = 0; i < 100; i++)
    quince_share_metrics_count_refusal (shares, NULL, "burst \"x\"");
  assert_true (read_value (&world, "quince_share_refused_total", "tenant", "burst \\\"x\\\"") >= 50);
  assert_int_equal (count_series (&world, "quince_share_requests_total"), QUINCE_SHARE_LABELS_MAX);
  assert_int_equal (count_series (&world, "quince_share_waiting"), QUINCE_SHARE_LABELS_MAX + 1);
  world_clear (&world);
}

/* ---- Leader and fronts --------------------------------------------------- */

/* Returns: (transfer full): the metrics of a daemon */
static char *
read_metrics (const char *address)
{
  PathAnswer answer;
  assert_int_equal (path_call (address, "GET", "/metrics", "m", NULL, &answer), 200);
  char *text = g_steal_pointer (&answer.body);
  path_answer_clear (&answer);
  return text;
}

static double
read_daemon_value (const char *address, const char *metric, const char *by, const char *name)
{
  g_autofree char *text = read_metrics (address);
  return find_value (text, metric, by, name);
}

/* Binds @port until it is released, so that no other process takes it before the daemon listens there.
   Returns: (transfer full): its address */
static char *
reserve_address (GSocket **port)
{
  *port = standin_reserve_port ("127.0.0.1:0");
  g_autoptr (GSocketAddress) local = g_socket_get_local_address (*port, NULL);
  return g_strdup_printf ("127.0.0.1:%u", g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local)));
}

/* Starts a leader and a front that publish metrics at @replica and @front; the world points to the settings.
 */
static PathWorld *
start_daemons (const char *name, const char *replica_settings, const char *front_settings)
{
  PathWorld *path = path_world_new (name);
  path->replica_listen_settings = replica_settings;
  path->front_listen_settings = front_settings;
  path->losses = "losses=0";
  tenants_world_start (path);
  return path;
}

static void
submit (const PathWorld *path, const char *batch_id, guint n_items)
{
  g_autofree char *batch = path_make_batch (batch_id, n_items);
  assert_int_equal (status_with_key (path_front (path, 0), "POST", "/r/1", batch_id, batch, KEY_A1), 202);
}

/* A step whose workers are silent shows waiting and running samples, and how far it is behind once it is due.
 */
static void
test_daemons (void **state)
{
  g_autoptr (GSocket) replica_port = NULL;
  g_autoptr (GSocket) front_port = NULL;
  g_autofree char *replica = reserve_address (&replica_port);
  g_autofree char *front = reserve_address (&front_port);
  g_autofree char *replica_settings = g_strdup_printf ("metrics=%s\n", replica);
  g_autofree char *front_settings = g_strdup_printf ("metrics=%s\n", front);
  PathWorld *path = start_daemons ("share-metrics", replica_settings, front_settings);
  assert_true (read_daemon_value (front, "quince_share_requests_total", "tenant", "tenant-a") >= 1);
  assert_true (read_daemon_value (front, "quince_share_requests_total", "route", "l") >= 1);
  for (guint i = 0; i < PATH_PLAIN; i++)
    standin_worker_set_fault (path->plain[i], STANDIN_WORKER_REFUSES, G_MAXUINT);
  assert_int_equal (lookup_status (path, 0, KEY_B1), 503);
  assert_true (read_daemon_value (front, "quince_share_refused_total", "tenant", "tenant-b") == 1);
  assert_true (read_daemon_value (front, "quince_share_refused_total", "tenant", "tenant-a") == -1);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_fault (path->model[i], STANDIN_WORKER_REFUSES, G_MAXUINT);
  submit (path, "b1", 2);
  AWAIT (read_daemon_value (replica, "quince_share_refused_total", "model", "model-a") > 0);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_fault (path->model[i], STANDIN_WORKER_UNRESPONSIVE, G_MAXUINT);
  AWAIT (read_daemon_value (replica, "quince_share_running", "model", "model-a") == 2);
  assert_true (read_daemon_value (replica, "quince_share_waiting", "model", "model-a") == 0);
  assert_true (read_daemon_value (replica, "quince_share_open_step_behind_seconds", "model", "model-a") == 0);
  AWAIT (read_daemon_value (replica, "quince_share_open_step_behind_seconds", "model", "model-a") > 0);
  assert_int_equal (
      status_with_key (path_front (path, 0), "DELETE", "/quinceroute/lots/b1", "end", NULL, KEY_A1), 200);
  AWAIT (read_daemon_value (replica, "quince_share_last_step_behind_seconds", "model", "model-a") > 0);
  assert_true (read_daemon_value (replica, "quince_share_open_step_behind_seconds", "model", "model-a") == 0);
  assert_true (read_daemon_value (replica, "quince_share_running", "model", "model-a") == 0);
  path_world_free (path);
}

/* Samples at the slow worker move to a faster one.  No worker has failed before: one that is ejected would
 * get no sample, and nothing would move. */
static void
test_moves (void **state)
{
  g_autoptr (GSocket) replica_port = NULL;
  g_autofree char *replica = reserve_address (&replica_port);
  g_autofree char *replica_settings = g_strdup_printf ("metrics=%s\n", replica);
  PathWorld *path = start_daemons ("share-moves", replica_settings, NULL);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (path->model[i], EVENTS, i == 0 ? SLOW_EVENT_MS : EVENT_MS);
  submit (path, "b1", 6);
  AWAIT (read_daemon_value (replica, "quince_share_moves_total", "model", "model-a") > 0);
  assert_true (read_daemon_value (replica, "quince_share_moves_total", "zone", "z1") > 0);
  path_world_free (path);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_slow_requests), cmocka_unit_test (test_refusals_by_zone),
    cmocka_unit_test (test_many_tenants),  cmocka_unit_test (test_daemons),
    cmocka_unit_test (test_moves),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
