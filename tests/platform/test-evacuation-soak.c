/*
 * test-evacuation-soak.c: guards against sends to evacuated zones during random kills, freezes and store
 * outages.  SOAK_SEED sets the random seed; the default is 1.
 */
#include <stdlib.h>

#include "path-world.h"

#define FAULT_PHASE_MS 14000
#define STEP_INTERVAL_MS 50
/* Time within which all processes must apply an evacuation. */
#define EVACUATION_MAX_MS 3500
#define FREEZE_STEPS 16
#define OUTAGE_STEPS 12
#define N_SAMPLES 6
#define N_ZONES 2

static const char *const zone_names[N_ZONES] = { "z1", "z2" };

typedef struct
{
  PathWorld *world;
  GRand *random;
  GPtrArray *answers; /* PathAnswer, owned; must outlive the calls */
  guint n_batches;
  gint64 evacuated_since_ms[N_ZONES]; /* start of the evacuation or end of the last fault; 0: not evacuated */
  guint sends_after_bound[N_ZONES];   /* sends when the bound expired; G_MAXUINT: not expired */
  guint n_evacuations;
  guint n_checked; /* number of expired bounds */
  QuinceProcess *frozen_process;
  guint frozen_steps_left;
  guint outage_steps_left;
} Soak;

static void
answer_free (gpointer data)
{
  path_answer_clear (data);
  g_free (data);
}

static gint64
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

/* Returns the number of requests and orders sent to the workers of @zone.  Plain worker i and model worker i
 * are in zone i; model worker 2 is in zone index 1 (z2). */
static guint
count_sends_to (const Soak *soak, guint zone)
{
  const PathWorld *world = soak->world;
  guint count = standin_worker_get_runs (world->plain[zone])->len;
  for (guint i = zone; i < (zone == 1 ? PATH_MODEL : 1); i++)
    count += standin_worker_get_runs (world->model[i])->len + standin_worker_get_n_orders (world->model[i]);
  return count;
}

/* Restarts the bounds after a fault, since they hold only without faults. */
static void
restart_bounds (Soak *soak)
{
  for (guint i = 0; i < N_ZONES; i++)
    {
      soak->sends_after_bound[i] = G_MAXUINT;
      if (soak->evacuated_since_ms[i] != 0)
        soak->evacuated_since_ms[i] = now_ms ();
    }
}

/* ---- Work ------------------------------------------------------------------- */

static void
start_request (Soak *soak, const char *target)
{
  static guint serial;
  g_autofree char *id = g_strdup_printf ("soak-%u", ++serial);
  PathAnswer *answer = g_new0 (PathAnswer, 1);
  g_ptr_array_add (soak->answers, answer);
  guint front = (guint)g_rand_int_range (soak->random, 0, PATH_FRONTS);
  path_start_call (path_front (soak->world, front), "POST", target, id, "x", answer);
}

static void
start_batch (Soak *soak)
{
  g_autofree char *id = g_strdup_printf ("b%u", soak->n_batches++);
  g_autofree char *text = path_make_batch (id, N_SAMPLES);
  PathAnswer *answer = g_new0 (PathAnswer, 1);
  g_ptr_array_add (soak->answers, answer);
  path_start_call (path_front (soak->world, 0), "POST", "/r/batch", id, text, answer);
}

/* ---- Faults ----------------------------------------------------------------- */

static void
toggle_evacuation (Soak *soak, guint zone)
{
  g_autofree char *key = g_strconcat ("op/evacuate/", zone_names[zone], NULL);
  soak->sends_after_bound[zone] = G_MAXUINT;
  if (soak->evacuated_since_ms[zone] != 0)
    {
      standin_store_remove (soak->world->store, key);
      soak->evacuated_since_ms[zone] = 0;
      return;
    }
  standin_store_put (soak->world->store, key, "{}");
  soak->evacuated_since_ms[zone] = now_ms ();
  soak->n_evacuations++;
}

static void
restart_random_process (Soak *soak)
{
  PathWorld *world = soak->world;
  if (soak->frozen_process != NULL)
    return; /* at most one process is unavailable at a time */
  guint index = (guint)g_rand_int_range (soak->random, 0, PATH_FRONTS + PATH_REPLICAS);
  if (index < PATH_FRONTS)
    {
      quince_process_kill (world->fronts[index]);
      path_start_front (world, index);
      return;
    }
  quince_process_kill (world->replicas[index - PATH_FRONTS]);
  path_start_replica (world, index - PATH_FRONTS);
}

static void
freeze_random_process (Soak *soak)
{
  if (soak->frozen_process != NULL)
    return;
  gint index = g_rand_int_range (soak->random, 0, PATH_FRONTS + PATH_REPLICAS);
  soak->frozen_process
      = index < PATH_FRONTS ? soak->world->fronts[index] : soak->world->replicas[index - PATH_FRONTS];
  soak->frozen_steps_left = FREEZE_STEPS;
  quince_process_suspend (soak->frozen_process);
}

static void
start_store_outage (Soak *soak)
{
  static const StandinStoreFault faults[]
      = { STANDIN_STORE_UNRESPONSIVE, STANDIN_STORE_UNAVAILABLE, STANDIN_STORE_CLOSES_CONNECTIONS,
          STANDIN_STORE_DROPS_WRITE_ANSWERS };
  soak->outage_steps_left = OUTAGE_STEPS;
  standin_store_set_fault (soak->world->store,
                           faults[g_rand_int_range (soak->random, 0, G_N_ELEMENTS (faults))]);
}

static void
end_expired_faults (Soak *soak, gboolean end_all)
{
  if (soak->frozen_process != NULL && (end_all || --soak->frozen_steps_left == 0))
    {
      quince_process_resume (soak->frozen_process);
      soak->frozen_process = NULL;
    }
  if (soak->outage_steps_left > 0 && (end_all || --soak->outage_steps_left == 0))
    {
      soak->outage_steps_left = 0;
      standin_store_set_fault (soak->world->store, STANDIN_STORE_HEALTHY);
    }
  if (soak->frozen_process != NULL || soak->outage_steps_left > 0)
    restart_bounds (soak);
}

static void
run_random_step (Soak *soak)
{
  gint draw = g_rand_int_range (soak->random, 0, 1000);
  if (draw < 600)
    start_request (soak, "/l/1");
  else if (draw < 700)
    start_request (soak, "/s/1");
  else if (draw < 720)
    start_batch (soak);
  else if (draw < 735)
    restart_random_process (soak);
  else if (draw < 743)
    freeze_random_process (soak);
  else if (draw < 748)
    start_store_outage (soak);
  else if (draw < 752)
    standin_store_compact (soak->world->store);
  else if (draw < 790)
    toggle_evacuation (soak, (guint)g_rand_int_range (soak->random, 0, N_ZONES));
  end_expired_faults (soak, FALSE);
  run_for (STEP_INTERVAL_MS);
}

/* ---- Checks ----------------------------------------------------------------- */

static void
assert_no_sends_after_bound (Soak *soak)
{
  for (guint i = 0; i < N_ZONES; i++)
    {
      if (soak->evacuated_since_ms[i] == 0 || now_ms () - soak->evacuated_since_ms[i] < EVACUATION_MAX_MS)
        continue;
      guint n_sent = count_sends_to (soak, i);
      if (soak->sends_after_bound[i] == G_MAXUINT)
        {
          soak->sends_after_bound[i] = n_sent;
          soak->n_checked++;
        }
      else if (n_sent != soak->sends_after_bound[i])
        fail_msg ("%u sends to %s after it was evacuated; logs in %s", n_sent - soak->sends_after_bound[i],
                  zone_names[i], soak->world->folder);
    }
}

static gboolean
all_answered (const Soak *soak)
{
  for (guint i = 0; i < soak->answers->len; i++)
    if (!((const PathAnswer *)soak->answers->pdata[i])->done)
      return FALSE;
  return TRUE;
}

static void
test_soak (void **state)
{
  const char *seed = g_getenv ("SOAK_SEED");
  Soak soak = { .world = path_world_new ("evacuation-soak"), .sends_after_bound = { G_MAXUINT, G_MAXUINT } };
  standin_worker_set_zone (soak.world->plain[1], "z2");
  standin_worker_set_zone (soak.world->model[1], "z2");
  standin_worker_set_zone (soak.world->model[2], "z2");
  path_world_start (soak.world);
  soak.random = g_rand_new_with_seed (seed != NULL ? (guint32)atoi (seed) : 1);
  soak.answers = g_ptr_array_new_with_free_func (answer_free);
  for (guint i = 0; i < FAULT_PHASE_MS / STEP_INTERVAL_MS; i++)
    {
      run_random_step (&soak);
      assert_no_sends_after_bound (&soak);
    }
  end_expired_faults (&soak, TRUE);
  restart_bounds (&soak);
  if (soak.evacuated_since_ms[0] == 0)
    toggle_evacuation (&soak, 0);
  for (gint64 end = now_ms () + 2 * EVACUATION_MAX_MS; now_ms () < end;)
    {
      start_request (&soak, "/l/1");
      run_for (STEP_INTERVAL_MS);
      assert_no_sends_after_bound (&soak);
    }
  for (guint i = 0; i < N_ZONES; i++)
    if (soak.evacuated_since_ms[i] != 0)
      toggle_evacuation (&soak, i);
  print_message ("  %u evacuations, %u checked\n", soak.n_evacuations, soak.n_checked);
  assert_true (soak.n_checked > 0);
  AWAIT (all_answered (&soak));
  for (guint i = 0; i < PATH_FRONTS; i++)
    AWAIT (path_status (path_front (soak.world, i), "POST", "/l/1", "after", "x") == 200);
  g_autofree char *text = path_make_batch ("last", N_SAMPLES);
  AWAIT (path_status (path_front (soak.world, 0), "POST", "/r/batch", "last", text) == 202);
  AWAIT (path_count_results (soak.world, 0, "last") == N_SAMPLES);
  g_ptr_array_unref (soak.answers);
  g_rand_free (soak.random);
  path_world_free (soak.world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_soak) };
  return cmocka_run_group_tests_name ("evacuation-soak", tests, NULL, NULL);
}
