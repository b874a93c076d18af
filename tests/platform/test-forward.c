/*
 * test-forward.c: guards against requests to faulty workers that are lost, run twice although they may not be
 * repeated, or refused although a worker is available.
 */
#include "forward-world.h"

/* Prints all runs; one with an unexpected id comes from another test on this machine. */
static void
print_all_runs (const World *world)
{
  for (guint i = 0; i < WORKERS; i++)
    {
      const GPtrArray *all = standin_worker_get_runs (world->workers[i]);
      for (guint j = 0; j < all->len; j++)
        {
          const StandinRun *run = all->pdata[j];
          print_error ("worker %u ran %s %s deadline %s\n", i, run->id, run->target, run->deadline);
        }
    }
}

/* ---- Worker faults ------------------------------------------------------ */

typedef struct
{
  const char *name;
  StandinWorkerFault fault; /* of both workers */
  guint times;              /* per worker */
  gboolean repeatable;
  QuinceForwardOutcome outcome;
  guint status;
  guint runs;
} FaultCase;

static const FaultCase fault_cases[] = {
  { "no fault", STANDIN_WORKER_HEALTHY, 0, FALSE, QUINCE_FORWARD_ANSWERED, 200, 1 },
  { "refused once by each worker, not repeatable", STANDIN_WORKER_REFUSES, 1, FALSE, QUINCE_FORWARD_ANSWERED,
    200, 1 },
  { "always refused", STANDIN_WORKER_REFUSES, G_MAXUINT, FALSE, QUINCE_FORWARD_REFUSED, 0, 0 },
  { "connection reset, repeatable", STANDIN_WORKER_RESETS, 1, TRUE, QUINCE_FORWARD_ANSWERED, 200, 3 },
  { "connection reset, not repeatable", STANDIN_WORKER_RESETS, 1, FALSE, QUINCE_FORWARD_FAILED, 0, 1 },
  { "connection always reset", STANDIN_WORKER_RESETS, G_MAXUINT, TRUE, QUINCE_FORWARD_FAILED, 0, 3 },
  { "truncated response, repeatable", STANDIN_WORKER_TRUNCATES, 1, TRUE, QUINCE_FORWARD_ANSWERED, 200, 3 },
  { "truncated response, not repeatable", STANDIN_WORKER_TRUNCATES, 1, FALSE, QUINCE_FORWARD_FAILED, 0, 1 },
  { "response to another request, repeatable", STANDIN_WORKER_WRONG_REQUEST_ID, 1, TRUE,
    QUINCE_FORWARD_ANSWERED, 200, 3 },
  { "response to another request, not repeatable", STANDIN_WORKER_WRONG_REQUEST_ID, 1, FALSE,
    QUINCE_FORWARD_TIMEOUT, 0, 1 },
  { "response without signature, repeatable", STANDIN_WORKER_MISSING_STAMP, 1, TRUE, QUINCE_FORWARD_ANSWERED,
    200, 3 },
  { "additional response", STANDIN_WORKER_EXTRA_ANSWER, G_MAXUINT, FALSE, QUINCE_FORWARD_ANSWERED, 200, 1 },
  { "status 500, repeatable", STANDIN_WORKER_FAILS, 1, TRUE, QUINCE_FORWARD_ANSWERED, 200, 3 },
  { "status 500, not repeatable", STANDIN_WORKER_FAILS, G_MAXUINT, FALSE, QUINCE_FORWARD_ANSWERED, 500, 1 },
  { "always status 500", STANDIN_WORKER_FAILS, G_MAXUINT, TRUE, QUINCE_FORWARD_ANSWERED, 500, 3 },
  { "no response, not repeatable", STANDIN_WORKER_UNRESPONSIVE, G_MAXUINT, FALSE, QUINCE_FORWARD_TIMEOUT, 0,
    1 },
  { "no response at first, repeatable", STANDIN_WORKER_UNRESPONSIVE, 1, TRUE, QUINCE_FORWARD_ANSWERED, 200,
    3 },
};

static void
test_faults (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (fault_cases); i++)
    {
      const FaultCase *c = &fault_cases[i];
      World world;
      world_init (&world);
      for (guint j = 0; j < WORKERS; j++)
        standin_worker_set_fault (world.workers[j], c->fault, c->times);
      run_forward (&world, c->repeatable, 3, 3000);
      if (world.outcome != c->outcome || world.status != c->status || count_runs (&world) > c->runs)
        print_all_runs (&world);
      if (world.outcome != c->outcome || world.status != c->status || count_runs (&world) > c->runs)
        fail_msg ("%s: outcome %d status %u runs %u", c->name, world.outcome, world.status,
                  count_runs (&world));
      if (!c->repeatable && count_runs (&world) > 1)
        fail_msg ("%s: run %u times", c->name, count_runs (&world));
      if (world.status == 200)
        {
          assert_true (g_str_has_prefix (world.body, "question by w"));
          assert_true (g_str_has_prefix (world.signature, "stamp-w"));
        }
      world_clear (&world);
    }
}

/* A request to a slow worker is hedged to one other worker. */
static void
test_slow_worker_is_hedged (void **state)
{
  World world;
  world_init (&world);
  for (guint i = 0; i < 20; i++)
    {
      world.done = FALSE;
      standin_worker_set_fault (world.workers[0], STANDIN_WORKER_UNRESPONSIVE, G_MAXUINT);
      guint before = count_runs (&world);
      run_forward (&world, TRUE, 2, 5000);
      assert_int_equal (world.outcome, QUINCE_FORWARD_ANSWERED);
      assert_string_equal (world.signature, "stamp-w1");
      assert_in_range (count_runs (&world) - before, 1, 2);
      g_clear_pointer (&world.body, g_free);
      g_clear_pointer (&world.signature, g_free);
    }
  world_clear (&world);
}

/* ---- Requests and choice of workers ----------------------------------- */

static void
test_request_reaches_worker_unchanged (void **state)
{
  World world;
  world_init (&world);
  run_forward (&world, FALSE, 1, 1500);
  const GPtrArray *first = standin_worker_get_runs (world.workers[0]);
  const GPtrArray *second = standin_worker_get_runs (world.workers[1]);
  const StandinRun *run = first->len > 0 ? first->pdata[0] : second->pdata[0];
  assert_string_equal (run->id, "r1");
  assert_string_equal (run->target, "/p/1?x=y");
  assert_string_equal (run->body, "question");
  assert_string_equal (run->host, "h.example");
  assert_in_range (g_ascii_strtoull (run->deadline, NULL, 10), 1, 1500);
  world_clear (&world);
}

/* A worker that now listens at the address of a removed one refuses the request and does not run it. */
static void
test_reused_address_is_refused (void **state)
{
  World world;
  world_init (&world);
  g_autofree char *text = standin_worker_make_entry (world.workers[1], "svc", "ready");
  g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));
  quince_backends_remove (world.backends, "w0");
  quince_backends_remove (world.backends, "w1");
  quince_backends_update (world.backends, quince_platform_read_worker ("servers/ghost", bytes, NULL));
  run_forward (&world, FALSE, 1, 600);
  assert_int_equal (world.outcome, QUINCE_FORWARD_REFUSED);
  assert_int_equal (count_runs (&world), 0);
  world_clear (&world);
}

static QuinceBackendOutcome
choose_worker (World *world, gint64 now_us, const char **id)
{
  const QuincePolicyRequest request = { .service = "svc", .member = "", .kind = "l", .attempt = 1 };
  const QuinceBackendQuery query = { .request = &request };
  QuinceWorker *worker = NULL;
  QuinceBackendOutcome outcome = quince_backends_choose (world->backends, now_us, &query, &worker);
  *id = worker != NULL ? worker->id : "";
  return outcome;
}

/* Guards against refusing requests with 503 after the store lost the registrations of free workers in an
 * outage. */
static void
test_lost_registration (void **state)
{
  const char *id = NULL;
  World world;
  world_init (&world);
  gint64 now = quince_now_us ();
  quince_backends_mark_listing_stale (world.backends, now, now + G_USEC_PER_SEC, "w0");
  /* A registered worker is preferred. */
  for (guint i = 0; i < 4; i++)
    {
      assert_int_equal (choose_worker (&world, now, &id), QUINCE_BACKEND_CHOSEN);
      assert_string_equal (id, "w1");
    }
  quince_backends_mark_listing_stale (world.backends, now, now + G_USEC_PER_SEC, "w1");
  assert_int_equal (choose_worker (&world, now, &id), QUINCE_BACKEND_CHOSEN);
  /* A worker that is registered again stays; the other one is removed when its grace time expires. */
  register_worker (&world, 0, "ready");
  assert_int_equal (choose_worker (&world, now + 3 * G_USEC_PER_SEC, &id), QUINCE_BACKEND_CHOSEN);
  assert_string_equal (id, "w0");
  assert_null (quince_worker_table_find (quince_backends_get_workers (world.backends), "w1"));
  /* A draining worker is not kept. */
  register_worker (&world, 0, "draining");
  quince_backends_mark_listing_stale (world.backends, now, now + G_USEC_PER_SEC, "w0");
  assert_int_equal (choose_worker (&world, now, &id), QUINCE_BACKEND_NONE);
  world_clear (&world);
}

#define MANY_WORKERS 60

/* The policy scores a sample of the workers; the one that has the prompt cached must be in it. */
static void
test_prompt_affinity_among_many_workers (void **state)
{
  static const char *const prompt[] = { "aa01", "bb02", NULL };
  World world;
  world_init (&world);
  for (guint i = 0; i < MANY_WORKERS; i++)
    {
      g_autofree char *id = g_strdup_printf ("many-%02u", i);
      QuinceWorker *worker = quince_worker_new (id);
      worker->service = g_strdup ("many");
      worker->address = g_strdup ("127.0.0.1:1");
      worker->zone = g_strdup ("z1");
      worker->slots = 8;
      quince_backends_update (world.backends, worker);
    }
  const QuincePolicyRequest request = { .service = "many", .member = "", .kind = "s", .attempt = 1 };
  const QuinceBackendQuery query = { .request = &request, .prompt = prompt };
  QuinceWorker *first = NULL;
  assert_int_equal (quince_backends_choose (world.backends, 0, &query, &first), QUINCE_BACKEND_CHOSEN);
  for (guint i = 0; i < 2 * MANY_WORKERS; i++)
    {
      QuinceWorker *worker = NULL;
      assert_int_equal (quince_backends_choose (world.backends, 0, &query, &worker), QUINCE_BACKEND_CHOSEN);
      assert_ptr_equal (worker, first);
    }
  world_clear (&world);
}

/* Draining and removed workers get no new requests. */
static void
test_draining (void **state)
{
  World world;
  world_init (&world);
  register_worker (&world, 0, "draining");
  for (guint i = 0; i < 6; i++)
    {
      world.done = FALSE;
      run_forward (&world, FALSE, 1, 1000);
      assert_int_equal (world.outcome, QUINCE_FORWARD_ANSWERED);
      g_clear_pointer (&world.body, g_free);
      g_clear_pointer (&world.signature, g_free);
    }
  assert_int_equal (standin_worker_get_runs (world.workers[0])->len, 0);
  quince_backends_remove (world.backends, "w1");
  world.done = FALSE;
  run_forward (&world, FALSE, 1, 1000);
  assert_int_equal (world.outcome, QUINCE_FORWARD_REFUSED);
  assert_int_equal (standin_worker_get_runs (world.workers[0])->len, 0);
  world_clear (&world);
}

/* Cancelling a request closes the worker's connection. */
static void
test_cancel_closes_connection (void **state)
{
  World world;
  world_init (&world);
  for (guint j = 0; j < WORKERS; j++)
    standin_worker_set_fault (world.workers[j], STANDIN_WORKER_UNRESPONSIVE, G_MAXUINT);
  QuinceForward *forward = start_forward (&world, TRUE, 3, 5000);
  AWAIT (count_runs (&world) == 1);
  quince_forward_cancel (forward);
  AWAIT (standin_server_get_n_connections (standin_worker_get_server (world.workers[0]))
             + standin_server_get_n_connections (standin_worker_get_server (world.workers[1]))
         == 0);
  assert_false (world.done);
  world_clear (&world);
}

/* Many requests share at most one connection per worker. */
static void
test_connections_are_reused (void **state)
{
  World world;
  world_init (&world);
  for (guint i = 0; i < 40; i++)
    {
      world.done = FALSE;
      run_forward (&world, TRUE, 3, 1000);
      assert_int_equal (world.outcome, QUINCE_FORWARD_ANSWERED);
      g_clear_pointer (&world.body, g_free);
      g_clear_pointer (&world.signature, g_free);
    }
  assert_in_range (quince_backends_get_n_connections_opened (world.backends), 1, WORKERS);
  world_clear (&world);
}

/* ---- Cold workers ---------------------------------------------------------- */

#define GRANT_DELAY_MS 30
#define GRANT_VALID_US (200 * 1000)
#define LEASE_RETRY_DELAY_US (20 * 1000)

/* Grants one send to a cold worker GRANT_DELAY_MS after the last request for a lease. */
typedef struct
{
  QuinceService *service;
  QuinceWarmupSends *sends;
  char *worker;
  guint64 request_id;
  QuinceTimer *timer;
} ColdService;

static const QuinceService *
find_cold_service (const char *name, gpointer data)
{
  return ((const ColdService *)data)->service;
}

static gboolean
deliver_grant (gpointer data)
{
  ColdService *cold = data;
  quince_timer_clear (&cold->timer);
  quince_warmup_sends_handle_answer (cold->sends, cold->worker, cold->request_id, 1, GRANT_VALID_US,
                                     LEASE_RETRY_DELAY_US);
  return G_SOURCE_REMOVE;
}

static gboolean
schedule_grant (guint64 request_id, const char *worker, guint sends, gpointer data)
{
  ColdService *cold = data;
  g_free (cold->worker);
  cold->worker = g_strdup (worker);
  cold->request_id = request_id;
  quince_timer_clear (&cold->timer);
  cold->timer = quince_timer_add (GRANT_DELAY_MS, deliver_grant, cold);
  return TRUE;
}

static const QuinceWarmupSendsCallbacks cold_callbacks
    = { .find_service = find_cold_service, .request_lease = schedule_grant };

/* Guards against refusing a request with 503 while the lease for a cold worker is being requested. */
static void
test_request_waits_for_cold_sends (void **state)
{
  World world;
  ColdService cold = { .service = quince_service_new ("svc") };
  const QuinceWarmupBounds bounds = { .overage = 1, .slack = 0 };
  world_init (&world);
  cold.service->cold_max_requests_per_s = 2;
  cold.sends = quince_warmup_sends_new (&bounds, &cold_callbacks, &cold);
  quince_backends_set_warmup (world.backends, cold.sends);
  for (guint i = 0; i < WORKERS; i++)
    {
      standin_worker_set_cold_remaining (world.workers[i], 3000);
      register_worker (&world, i, "ready");
    }
  run_forward (&world, TRUE, 3, 1000);
  assert_int_equal (world.outcome, QUINCE_FORWARD_ANSWERED);
  assert_int_equal (world.status, 200);
  assert_int_equal (count_runs (&world), 1);
  quince_timer_clear (&cold.timer);
  world_clear (&world);
  quince_warmup_sends_free (cold.sends);
  quince_service_free (cold.service);
  g_free (cold.worker);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_slow_worker_is_hedged),
    cmocka_unit_test (test_faults),
    cmocka_unit_test (test_request_reaches_worker_unchanged),
    cmocka_unit_test (test_reused_address_is_refused),
    cmocka_unit_test (test_draining),
    cmocka_unit_test (test_lost_registration),
    cmocka_unit_test (test_prompt_affinity_among_many_workers),
    cmocka_unit_test (test_cancel_closes_connection),
    cmocka_unit_test (test_connections_are_reused),
    cmocka_unit_test (test_request_waits_for_cold_sends),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
