/*
 * test-ready-streams.c: a front is stopped until the deadline of its streams, and of its calls to the leader,
 * is over, and finds their answers ready when it goes on: callers get them, whole.
 *
 * The front's timer and the worker's bytes are ready in the same turn of its main loop.  A stream was ended
 * by the timer without a look at its connection: 504, or a stream that breaks off, for a caller whose worker
 * had answered in time ('request_retried cause=timeout took_ms=3007' right after the front went on).
 */
#include "path-world.h"

#define EVENTS 4
#define EVENT_MS 20
#define STREAMS 6
#define ITEMS 2
/* A text takes 0.8 s, so that a read of results waits for it. */
#define SLOW_EVENT_MS 200
#define ASKED_MS 150
/* Longer than the deadline of the calls, 3 s. */
#define STOPPED_MS 3300

static guint
count_runs (const PathWorld *world)
{
  guint count = 0;
  for (guint i = 0; i < PATH_MODEL; i++)
    count += standin_worker_get_runs (world->model[i])->len;
  return count;
}

static void
assert_whole (const PathAnswer *answer)
{
  if (answer->status != 200 || answer->outcome != QUINCE_HTTP_ANSWERED)
    fail_msg ("status=%u outcome=%d body=%s", answer->status, (int)answer->outcome, answer->body);
  assert_string_equal (answer->body,
                       "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n");
}

static void
stop_across (const char *name, const char *target)
{
  PathWorld *world = path_world_new (name);
  path_world_start (world);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->model[i], EVENTS, EVENT_MS);
  guint before = count_runs (world);
  PathAnswer answers[STREAMS];
  for (guint i = 0; i < STREAMS; i++)
    {
      g_autofree char *id = g_strdup_printf ("ready-%u", i);
      path_start_call (path_front (world, 0), "POST", target, id, "x", &answers[i]);
    }
  AWAIT (count_runs (world) == before + STREAMS);
  quince_process_suspend (world->fronts[0]);
  run_for (STOPPED_MS);
  quince_process_resume (world->fronts[0]);
  for (guint i = 0; i < STREAMS; i++)
    {
      AWAIT (answers[i].done);
      assert_whole (&answers[i]);
      path_answer_clear (&answers[i]);
    }
  assert_int_equal (count_runs (world), before + STREAMS);
  path_world_free (world);
}

static void
test_at_most_once (void **state)
{
  stop_across ("ready-once", "/u/1");
}

static void
test_resumable (void **state)
{
  stop_across ("ready-resumable", "/s/1");
}

/* The leader answers a read of results while the front is stopped. */
static void
test_results (void **state)
{
  PathWorld *world = path_world_new ("ready-results");
  path_world_start (world);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->model[i], EVENTS, SLOW_EVENT_MS);
  g_autofree char *text = path_make_batch ("slow", ITEMS);
  AWAIT (path_status (path_front (world, 1), "POST", "/r/batch", "slow", text) == 202);
  AWAIT (count_runs (world) >= ITEMS);
  PathAnswer answers[STREAMS];
  for (guint i = 0; i < STREAMS; i++)
    path_start_call_with_header (path_front (world, 0), "GET", "/quinceroute/lots/slow?afterRev=0", "q", NULL,
                                 "Wait-Ms", "1000", &answers[i]);
  run_for (ASKED_MS);
  quince_process_suspend (world->fronts[0]);
  run_for (STOPPED_MS);
  quince_process_resume (world->fronts[0]);
  for (guint i = 0; i < STREAMS; i++)
    {
      AWAIT (answers[i].done);
      if (answers[i].status != 200)
        fail_msg ("status=%u body=%s", answers[i].status, answers[i].body);
      path_answer_clear (&answers[i]);
    }
  path_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_at_most_once), cmocka_unit_test (test_resumable),
                                      cmocka_unit_test (test_results) };
  return cmocka_run_group_tests_name ("ready-streams", tests, NULL, NULL);
}
