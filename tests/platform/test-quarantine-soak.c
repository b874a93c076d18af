/*
 * test-quarantine-soak.c: requests that end their workers, beside kills, freezes, outages of the store and
 * workers that die by themselves, in series and at once; seeded by SOAK_SEED (1 where it is not set).
 *
 * What must hold afterwards: a request under which three workers had ended gets no more than three further
 * sends, items of such a prompt no more than one in 3 s from the third on, and every innocent request and
 * item is answered.  The plain workers are a service so small that it does not bear two ends.
 */
#include <stdlib.h>

#include "crash-world.h"
#include "groups.h"

#define TROUBLE_MS 9000
#define STEP_MS 50
/* Rules bound machines that were left alone for so long. */
#define CONTACT_MS 3000
#define GUILTY 2
#define FURTHER_SENDS_MAX 3
#define TRIES_AFTER 10
#define FREEZE_STEPS 8
#define OUTAGE_STEPS 10
#define GROUP_MEMBERS 4
#define BATCHES_MAX 3
/* So long that items without pauses would be sent more often. */
#define WATCH_MS 2000

typedef struct
{
  CrashWorld *world;
  GRand *random;
  GPtrArray *answers; /* PathAnswer, owned: callers keep their connections until they end */
  guint innocents;
  guint batches;
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

static void
begin (Soak *soak, const char *body)
{
  static guint serial;
  g_autofree char *id = g_strdup_printf ("soak-%u", ++serial);
  PathAnswer *answer = g_new0 (PathAnswer, 1);
  g_ptr_array_add (soak->answers, answer);
  guint front = (guint)g_rand_int_range (soak->random, 0, PATH_FRONTS);
  path_start_call (path_front (soak->world->path, front), "POST", "/l/1", id, body, answer);
}

static void
begin_innocent (Soak *soak)
{
  g_autofree char *body = g_strdup_printf ("innocent-%u", soak->innocents++);
  begin (soak, body);
}

static void
begin_guilty (Soak *soak)
{
  g_autofree char *body = g_strdup_printf ("poison-%d", g_rand_int_range (soak->random, 0, GUILTY));
  begin (soak, body);
}

/* One group of each batch has the prompt that ends workers. */
static const Group groups[]
    = { { "good", GROUP_MEMBERS }, { "poison-group", GROUP_MEMBERS }, { "fine", GROUP_MEMBERS } };
#define INNOCENT_ITEMS (2 * GROUP_MEMBERS)

static char *
batch_name (guint number)
{
  return g_strdup_printf ("soak-batch-%u", number);
}

/* Its caller does not wait: what was not taken is submitted again after the trouble. */
static void
begin_batch (Soak *soak)
{
  if (soak->batches >= BATCHES_MAX)
    return;
  g_autofree char *batch = batch_name (soak->batches++);
  g_autofree char *text = groups_make_batch (batch, groups, G_N_ELEMENTS (groups));
  PathAnswer *answer = g_new0 (PathAnswer, 1);
  g_ptr_array_add (soak->answers, answer);
  path_start_call (path_front (soak->world->path, soak->batches % PATH_FRONTS), "POST", "/r/batch", batch,
                   text, answer);
}

static void
restart_one (Soak *soak)
{
  PathWorld *path = soak->world->path;
  if (soak->frozen != NULL)
    return; /* one process at a time is away */
  guint index = (guint)g_rand_int_range (soak->random, 0, PATH_FRONTS + PATH_REPLICAS);
  if (index < PATH_FRONTS)
    {
      quince_process_kill (path->fronts[index]);
      path_start_front (path, index);
      return;
    }
  quince_process_kill (path->replicas[index - PATH_FRONTS]);
  path_start_replica (path, index - PATH_FRONTS);
}

static void
freeze_one (Soak *soak)
{
  if (soak->frozen != NULL)
    return;
  gint index = g_rand_int_range (soak->random, 0, PATH_FRONTS + PATH_REPLICAS);
  soak->frozen = index < PATH_FRONTS ? soak->world->path->fronts[index]
                                     : soak->world->path->replicas[index - PATH_FRONTS];
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
  standin_store_set_fault (soak->world->path->store,
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
      standin_store_set_fault (soak->world->path->store, STANDIN_STORE_HEALTHY);
    }
}

static void
step (Soak *soak)
{
  gint lot = g_rand_int_range (soak->random, 0, 100);
  if (lot < 45)
    begin_innocent (soak);
  else if (lot < 75)
    begin_guilty (soak);
  else if (lot < 79)
    restart_one (soak);
  else if (lot < 83)
    freeze_one (soak);
  else if (lot < 86)
    take_store_away (soak);
  else if (lot < 89)
    standin_worker_crash (soak->world->path->plain[g_rand_int_range (soak->random, 0, PATH_PLAIN)]);
  else if (lot < 92)
    begin_batch (soak);
  end_troubles (soak, FALSE);
  run_for (STEP_MS);
}

/* ---- What must hold ------------------------------------------------------------- */

static gboolean
all_answered (const Soak *soak)
{
  for (guint i = 0; i < soak->answers->len; i++)
    if (!((const PathAnswer *)soak->answers->pdata[i])->done)
      return FALSE;
  return TRUE;
}

static void
assert_guilty_held (Soak *soak)
{
  for (guint i = 0; i < GUILTY; i++)
    {
      g_autofree char *body = g_strdup_printf ("poison-%u", i);
      guint before = crash_world_count_runs (soak->world, body);
      for (guint j = 0; j < TRIES_AFTER; j++)
        {
          AWAIT (crash_world_all_serve (soak->world));
          crash_world_call (soak->world, j % PATH_FRONTS, "/l/1", body);
          run_for (CRASH_POLL_INTERVAL_MS);
        }
      guint after = crash_world_count_runs (soak->world, body) - before;
      print_message ("  %s: %u sends in trouble, %u after it\n", body, before, after);
      assert_true (after <= FURTHER_SENDS_MAX + (before < 3 ? 3 - before : 0));
    }
}

static void
assert_innocents_served (Soak *soak)
{
  for (guint i = 0; i < soak->innocents; i++)
    {
      g_autofree char *body = g_strdup_printf ("innocent-%u", i);
      AWAIT (crash_world_call (soak->world, i % PATH_FRONTS, "/l/1", body) == 200);
    }
}

/* All innocent items are made, and a batch with the same prompt, submitted now, is sent few of the others. */
static void
assert_prompt_held (Soak *soak)
{
  while (soak->batches < BATCHES_MAX)
    begin_batch (soak);
  for (guint i = 0; i < soak->batches; i++)
    {
      g_autofree char *batch = batch_name (i);
      groups_submit (soak->world->path, 0, batch, groups, G_N_ELEMENTS (groups));
      AWAIT (path_count_results (soak->world->path, 1, batch) == INNOCENT_ITEMS);
    }
  run_for (WATCH_MS);
  gint64 start_us = g_get_monotonic_time ();
  guint before = crash_world_count_runs (soak->world, "poison-group");
  groups_submit (soak->world->path, 0, "soak-last", groups, G_N_ELEMENTS (groups));
  AWAIT (path_count_results (soak->world->path, 1, "soak-last") == INNOCENT_ITEMS);
  run_for (WATCH_MS);
  guint after = crash_world_count_runs (soak->world, "poison-group") - before;
  print_message ("  prompt: %u sends, %u in a last batch\n", before, after);
  gint64 took_us = g_get_monotonic_time () - start_us;
  assert_true (after <= MAX (FURTHER_SENDS_MAX, 1 + took_us / 1000 / CRASH_OWED_PAUSE_MAX_MS));
}

/* What a worker that crashed keeps when it starts again. */
typedef enum
{
  KEEPS_NOTHING,
  KEEPS_ID,
  KEEPS_ID_AND_START_TIME, /* its clock was set back */
} KeptIdentity;

static void
play (const char *name, KeptIdentity kept)
{
  const char *seed = g_getenv ("SOAK_SEED");
  Soak soak = { .world = crash_world_start (name, "poison") };
  soak.world->keeps_ids = kept != KEEPS_NOTHING;
  for (guint i = 0; i < CRASH_N_WORKERS; i++)
    standin_worker_set_clock_stands_still (crash_world_get_worker (soak.world, i),
                                           kept == KEEPS_ID_AND_START_TIME);
  soak.random = g_rand_new_with_seed (seed != NULL ? (guint32)atoi (seed) : 1);
  soak.answers = g_ptr_array_new_with_free_func (answer_free);
  for (guint i = 0; i < TROUBLE_MS / STEP_MS; i++)
    step (&soak);
  end_troubles (&soak, TRUE);
  AWAIT (all_answered (&soak));
  AWAIT (crash_world_all_serve (soak.world));
  run_for (CONTACT_MS);
  assert_guilty_held (&soak);
  assert_innocents_served (&soak);
  assert_prompt_held (&soak);
  g_ptr_array_unref (soak.answers);
  g_rand_free (soak.random);
  crash_world_free (soak.world);
}

static void
test_new_ids (void **state)
{
  play ("soak", KEEPS_NOTHING);
}

/* Guards against a worker that is taken for its former process: requests that end it are sent on, and those
 * of others wait. */
static void
test_same_ids (void **state)
{
  play ("soak-same-ids", KEEPS_ID);
}

static void
test_same_start_times (void **state)
{
  play ("soak-same-times", KEEPS_ID_AND_START_TIME);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_new_ids),
    cmocka_unit_test (test_same_ids),
    cmocka_unit_test (test_same_start_times),
  };
  return cmocka_run_group_tests_name ("quarantine-soak", tests, NULL, NULL);
}
