/*
 * test-order-records.c: orders of a new leader to workers that the former leader ordered, and to others, with
 * real processes.
 *
 * The pause is much longer than an election, so that an order within it was not delayed by it.
 */
#include "path-world.h"

#define PAUSE_US (12 * G_USEC_PER_SEC)
#define RECORDING "pause=12s\nrecord=true"
#define NOT_RECORDING "pause=12s\nrecord=false"

static PathWorld *
start_world (const char *name, const char *settings)
{
  PathWorld *world = path_world_new (name);
  path_reserve_links (world);
  world->orders = settings;
  path_world_start (world);
  return world;
}

static void
publish_version (PathWorld *world, guint version)
{
  g_autofree char *text = g_strdup_printf ("{\"model\":\"model-a\",\"version\":%u}", version);
  standin_store_put (world->store, "op/version/model-a", text);
}

/* Returns whether all workers from @first on have @version. */
static gboolean
have_version (const PathWorld *world, guint first, guint64 version)
{
  for (guint i = first; i < PATH_MODEL; i++)
    if (standin_worker_get_version (world->model[i]) != version)
      return FALSE;
  return TRUE;
}

static guint
count_lines (const PathWorld *world, const char *part)
{
  guint count = 0;
  for (guint i = 0; i < PATH_REPLICAS; i++)
    {
      g_autofree char *file = g_strdup_printf ("%s/replica-%u.out", world->folder, i);
      g_autofree char *text = NULL;
      if (g_file_get_contents (file, &text, NULL, NULL))
        count += path_count_occurrences (text, part);
    }
  return count;
}

/* Ends the worker 0 and has all others load version 2. */
static void
load_other_workers (PathWorld *world)
{
  standin_worker_crash (world->model[0]);
  standin_store_remove (world->store, "servers/m0");
  run_for (2000);
  publish_version (world, 2);
  AWAIT (have_version (world, 1, 2));
  AWAIT (count_lines (world, "members=3 on_revision") >= 1);
}

/* Starts the worker 0 with its initial weights, and returns once it accepted an order.
 * Returns: when that was, us */
static gint64
order_first_worker (PathWorld *world)
{
  StandinWorker *worker = world->model[0];
  guint n_orders = standin_worker_get_fencing_tokens (worker)->len;
  standin_worker_restart (worker, "m0-2");
  g_autofree char *entry = standin_worker_make_entry (worker, "llm", "ready");
  standin_store_put (world->store, "servers/m0-2", entry);
  AWAIT (standin_worker_get_fencing_tokens (worker)->len > n_orders);
  return g_get_monotonic_time ();
}

/* Returns whether another machine than @leader gave the latest order to @worker. */
static gboolean
was_ordered_by_other (const StandinWorker *worker, guint leader)
{
  const GPtrArray *leaders = standin_worker_get_order_leaders (worker);
  g_autofree char *name = g_strdup_printf ("replica-%u", leader);
  return leaders->len > 0 && !g_str_equal (leaders->pdata[leaders->len - 1], name);
}

static gboolean
was_any_other_ordered (const PathWorld *world, guint leader)
{
  for (guint i = 1; i < PATH_MODEL; i++)
    if (was_ordered_by_other (world->model[i], leader))
      return TRUE;
  return FALSE;
}

/* Guards against a new leader that waits the whole pause for workers that its predecessor did not order
 * within it, and against one that does not wait for a worker that was ordered within it. */
static void
test_only_ordered_workers_wait (void **state)
{
  PathWorld *world = start_world ("order-records", RECORDING);
  load_other_workers (world);
  run_for (PAUSE_US / 1000 + 1000); /* these orders block no worker any more */
  guint former = (guint)path_find_leader (world);
  gint64 ordered_us = order_first_worker (world);
  quince_process_kill (world->replicas[former]);
  publish_version (world, 3);
  AWAIT (was_any_other_ordered (world, former));
  gint64 other_us = g_get_monotonic_time ();
  print_message ("another worker was ordered after %" G_GINT64_FORMAT " ms\n",
                 (other_us - ordered_us) / 1000);
  assert_true (other_us - ordered_us < PAUSE_US);
  assert_false (was_ordered_by_other (world->model[0], former));
  assert_true (count_lines (world, "event=orders_allowed epoch=") >= 2);
  assert_int_equal (count_lines (world, "known=true blocked=1 "), 1);
  AWAIT (was_ordered_by_other (world->model[0], former));
  gint64 again_us = g_get_monotonic_time ();
  print_message ("the worker was ordered again after %" G_GINT64_FORMAT " ms\n",
                 (again_us - ordered_us) / 1000);
  assert_true (again_us - ordered_us >= PAUSE_US);
  AWAIT (have_version (world, 0, 3));
  path_world_free (world);
}

/* Guards against a new leader that trusts a log in which its predecessor recorded nothing. */
static void
test_former_leader_records_nothing (void **state)
{
  PathWorld *world = start_world ("order-unrecorded", NOT_RECORDING);
  load_other_workers (world);
  guint former = (guint)path_find_leader (world);
  world->orders = RECORDING;
  for (guint i = 0; i < PATH_REPLICAS; i++)
    if (i != former)
      {
        quince_process_kill (world->replicas[i]);
        path_start_replica (world, i);
        run_for (2500);
      }
  assert_int_equal (path_find_leader (world), (gint)former);
  gint64 ordered_us = order_first_worker (world);
  quince_process_kill (world->replicas[former]);
  publish_version (world, 3);
  AWAIT (was_any_other_ordered (world, former) || was_ordered_by_other (world->model[0], former));
  gint64 again_us = g_get_monotonic_time ();
  print_message ("a worker was ordered after %" G_GINT64_FORMAT " ms\n", (again_us - ordered_us) / 1000);
  assert_true (again_us - ordered_us >= PAUSE_US);
  assert_int_equal (count_lines (world, "event=orders_allowed"), 1);
  assert_int_equal (count_lines (world, "known=false blocked=0 "), 1);
  AWAIT (have_version (world, 0, 3));
  path_world_free (world);
}

/* ---- Leaders that change while they order ----------------------------------- */

#define SOAK_ORDERS "pause=4s\nrecord=true"
/* Less than the pause, since this test sees orders late if it is suspended. */
#define SOAK_PAUSE_MIN_US (3500 * 1000)
#define SOAK_ROUNDS 6
#define SOAK_PUBLISH_MS 700

typedef struct
{
  PathWorld *world;
  guint version;
  gint64 next_version_us;
  struct
  {
    guint n_orders;
    const char *leader; /* of the last order */
    gint64 ordered_us;
  } seen[PATH_MODEL];
} Soak;

/* Fails if a worker accepted an order less than the pause after one of another leader. */
static void
check_orders (Soak *soak)
{
  gint64 now = g_get_monotonic_time ();
  for (guint i = 0; i < PATH_MODEL; i++)
    {
      const GPtrArray *leaders = standin_worker_get_order_leaders (soak->world->model[i]);
      for (; soak->seen[i].n_orders < leaders->len; soak->seen[i].n_orders++)
        {
          const char *leader = leaders->pdata[soak->seen[i].n_orders];
          if (soak->seen[i].leader != NULL && !g_str_equal (soak->seen[i].leader, leader)
              && now - soak->seen[i].ordered_us < SOAK_PAUSE_MIN_US)
            fail_msg ("%s ordered m%u %" G_GINT64_FORMAT " ms after %s", leader, i,
                      (now - soak->seen[i].ordered_us) / 1000, soak->seen[i].leader);
          soak->seen[i].leader = leader;
          soak->seen[i].ordered_us = now;
        }
    }
}

static void
run_soak (Soak *soak, guint milliseconds)
{
  gint64 end = g_get_monotonic_time () + (gint64)milliseconds * 1000;
  for (gint64 now = 0; now < end; now = g_get_monotonic_time ())
    {
      if (!g_main_context_iteration (NULL, FALSE))
        g_usleep (1000);
      check_orders (soak);
      if (now < soak->next_version_us)
        continue;
      soak->next_version_us = now + SOAK_PUBLISH_MS * 1000;
      publish_version (soak->world, ++soak->version);
    }
}

/* Guards against orders of two leaders to one worker within the pause, when leaders are killed and suspended
 * while they order. */
static void
test_leaders_change_while_they_order (void **state)
{
  PathWorld *world = start_world ("order-soak", SOAK_ORDERS);
  AWAIT (count_lines (world, "members=3 on_revision") >= 1);
  Soak soak = { .world = world, .version = 1 };
  run_soak (&soak, 3000);
  for (guint round = 0; round < SOAK_ROUNDS; round++)
    {
      guint leader = (guint)path_find_leader (world);
      if (round % 2 == 0)
        quince_process_kill (world->replicas[leader]);
      else
        quince_process_suspend (world->replicas[leader]);
      run_soak (&soak, 3000);
      if (round % 2 == 0)
        path_start_replica (world, leader);
      else
        quince_process_resume (world->replicas[leader]);
      run_soak (&soak, 3500);
    }
  assert_true (count_lines (world, "known=true") >= 2);
  for (guint i = 0; i < PATH_MODEL; i++)
    {
      print_message ("m%u accepted %u orders\n", i, soak.seen[i].n_orders);
      assert_true (soak.seen[i].n_orders > 0);
    }
  path_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_only_ordered_workers_wait),
    cmocka_unit_test (test_former_leader_records_nothing),
    cmocka_unit_test (test_leaders_change_while_they_order),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
