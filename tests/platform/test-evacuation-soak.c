/*
 * test-evacuation-soak.c: two zones that are evacuated and taken back in series and at once, beside processes
 * that are killed or frozen and outages of the store; seeded by SOAK_SEED (1 where it is not set).
 *
 * What must hold all the time: what reaches a worker in a zone that has been evacuated for longer than the
 * bound, while the store answered and no process stood still, is nothing.  Afterwards everything is served.
 */
#include <stdlib.h>

#include "path-world.h"

#define TROUBLE_MS 14000
#define STEP_MS 50
/* Longer than an operator's word takes to be known, by what a busy machine may take. */
#define BOUND_MS 3500
#define FREEZE_STEPS 16
#define OUTAGE_STEPS 12
#define ITEMS 6
#define ZONES 2

static const char *const zone_names[ZONES] = { "z1", "z2" };

typedef struct
{
  PathWorld *world;
  GRand *random;
  GPtrArray *answers; /* PathAnswer, owned: callers keep their connections until they end */
  guint batches;
  gint64 since_ms[ZONES]; /* since when it is evacuated and nothing else was wrong; 0: it is not */
  guint runs_at[ZONES];   /* runs there once the bound was over; G_MAXUINT: it is not over */
  guint evacuations;
  guint judged; /* evacuations that outlasted the bound */
  QuinceProcess *frozen;
  guint frozen_steps;
  guint outage_steps;
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

/* All that was sent to the workers of a zone: plain worker i and model worker i stand in zone i, and model
 * worker 2 in the second. */
static guint
sent_to (const Soak *soak, guint zone)
{
  const PathWorld *world = soak->world;
  guint count = standin_worker_get_runs (world->plain[zone])->len;
  for (guint i = zone; i < (zone == 1 ? PATH_MODEL : 1); i++)
    count += standin_worker_get_runs (world->model[i])->len + standin_worker_get_n_orders (world->model[i]);
  return count;
}

/* Rules bound processes that were left alone: the time begins anew. */
static void
begin_bounds_anew (Soak *soak)
{
  for (guint i = 0; i < ZONES; i++)
    {
      soak->runs_at[i] = G_MAXUINT;
      if (soak->since_ms[i] != 0)
        soak->since_ms[i] = now_ms ();
    }
}

/* ---- Work ------------------------------------------------------------------- */

static void
begin_request (Soak *soak, const char *target)
{
  static guint serial;
  g_autofree char *id = g_strdup_printf ("soak-%u", ++serial);
  PathAnswer *answer = g_new0 (PathAnswer, 1);
  g_ptr_array_add (soak->answers, answer);
  guint front = (guint)g_rand_int_range (soak->random, 0, PATH_FRONTS);
  path_start_call (path_front (soak->world, front), "POST", target, id, "x", answer);
}

static void
begin_batch (Soak *soak)
{
  g_autofree char *id = g_strdup_printf ("b%u", soak->batches++);
  g_autofree char *text = path_make_batch (id, ITEMS);
  PathAnswer *answer = g_new0 (PathAnswer, 1);
  g_ptr_array_add (soak->answers, answer);
  path_start_call (path_front (soak->world, 0), "POST", "/r/batch", id, text, answer);
}

/* ---- Trouble ---------------------------------------------------------------- */

static void
change_zone (Soak *soak, guint zone)
{
  g_autofree char *key = g_strconcat ("op/evacuate/", zone_names[zone], NULL);
  soak->runs_at[zone] = G_MAXUINT;
  if (soak->since_ms[zone] != 0)
    {
      standin_store_remove (soak->world->store, key);
      soak->since_ms[zone] = 0;
      return;
    }
  standin_store_put (soak->world->store, key, "{}");
  soak->since_ms[zone] = now_ms ();
  soak->evacuations++;
}

static void
restart_one (Soak *soak)
{
  PathWorld *world = soak->world;
  if (soak->frozen != NULL)
    return; /* one process at a time is away */
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
freeze_one (Soak *soak)
{
  if (soak->frozen != NULL)
    return;
  gint index = g_rand_int_range (soak->random, 0, PATH_FRONTS + PATH_REPLICAS);
  soak->frozen
      = index < PATH_FRONTS ? soak->world->fronts[index] : soak->world->replicas[index - PATH_FRONTS];
  soak->frozen_steps = FREEZE_STEPS;
  quince_process_suspend (soak->frozen);
}

static void
take_store_away (Soak *soak)
{
  static const StandinStoreFault faults[]
      = { STANDIN_STORE_UNRESPONSIVE, STANDIN_STORE_UNAVAILABLE, STANDIN_STORE_CLOSES_CONNECTIONS,
          STANDIN_STORE_DROPS_WRITE_ANSWERS };
  soak->outage_steps = OUTAGE_STEPS;
  standin_store_set_fault (soak->world->store,
                           faults[g_rand_int_range (soak->random, 0, G_N_ELEMENTS (faults))]);
}

static void
end_troubles (Soak *soak, gboolean now)
{
  if (soak->frozen != NULL && (now || --soak->frozen_steps == 0))
    {
      quince_process_resume (soak->frozen);
      soak->frozen = NULL;
    }
  if (soak->outage_steps > 0 && (now || --soak->outage_steps == 0))
    {
      soak->outage_steps = 0;
      standin_store_set_fault (soak->world->store, STANDIN_STORE_HEALTHY);
    }
  if (soak->frozen != NULL || soak->outage_steps > 0)
    begin_bounds_anew (soak);
}

static void
step (Soak *soak)
{
  gint lot = g_rand_int_range (soak->random, 0, 1000);
  if (lot < 600)
    begin_request (soak, "/l/1");
  else if (lot < 700)
    begin_request (soak, "/s/1");
  else if (lot < 720)
    begin_batch (soak);
  else if (lot < 735)
    restart_one (soak);
  else if (lot < 743)
    freeze_one (soak);
  else if (lot < 748)
    take_store_away (soak);
  else if (lot < 752)
    standin_store_compact (soak->world->store);
  else if (lot < 790)
    change_zone (soak, (guint)g_rand_int_range (soak->random, 0, ZONES));
  end_troubles (soak, FALSE);
  run_for (STEP_MS);
}

/* ---- What must hold ------------------------------------------------------------- */

static void
judge (Soak *soak)
{
  for (guint i = 0; i < ZONES; i++)
    {
      if (soak->since_ms[i] == 0 || now_ms () - soak->since_ms[i] < BOUND_MS)
        continue;
      guint sent = sent_to (soak, i);
      if (soak->runs_at[i] == G_MAXUINT)
        {
          soak->runs_at[i] = sent;
          soak->judged++;
        }
      else if (sent != soak->runs_at[i])
        fail_msg ("%u sends to %s after its evacuation; logs in %s", sent - soak->runs_at[i], zone_names[i],
                  soak->world->folder);
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
  Soak soak = { .world = path_world_new ("evacuation-soak"), .runs_at = { G_MAXUINT, G_MAXUINT } };
  standin_worker_set_zone (soak.world->plain[1], "z2");
  standin_worker_set_zone (soak.world->model[1], "z2");
  standin_worker_set_zone (soak.world->model[2], "z2");
  path_world_start (soak.world);
  soak.random = g_rand_new_with_seed (seed != NULL ? (guint32)atoi (seed) : 1);
  soak.answers = g_ptr_array_new_with_free_func (answer_free);
  for (guint i = 0; i < TROUBLE_MS / STEP_MS; i++)
    {
      step (&soak);
      judge (&soak);
    }
  end_troubles (&soak, TRUE);
  begin_bounds_anew (&soak);
  if (soak.since_ms[0] == 0)
    change_zone (&soak, 0);
  for (gint64 end = now_ms () + 2 * BOUND_MS; now_ms () < end;)
    {
      begin_request (&soak, "/l/1");
      run_for (STEP_MS);
      judge (&soak);
    }
  for (guint i = 0; i < ZONES; i++)
    if (soak.since_ms[i] != 0)
      change_zone (&soak, i);
  print_message ("  %u evacuations, %u judged\n", soak.evacuations, soak.judged);
  assert_true (soak.judged > 0);
  AWAIT (all_answered (&soak));
  for (guint i = 0; i < PATH_FRONTS; i++)
    AWAIT (path_status (path_front (soak.world, i), "POST", "/l/1", "after", "x") == 200);
  g_autofree char *text = path_make_batch ("last", ITEMS);
  AWAIT (path_status (path_front (soak.world, 0), "POST", "/r/batch", "last", text) == 202);
  AWAIT (path_count_results (soak.world, 0, "last") == ITEMS);
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
