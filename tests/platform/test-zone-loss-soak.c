/*
 * test-zone-loss-soak.c: zones that are lost with their disks and come back, one at a time, beside machines
 * that are killed, outages of the store and batches all the time; seeded by SOAK_SEED (1 where it is not
 * set).
 *
 * What must hold: what was acknowledged and what was read is there in the end, once and unchanged; fronts in
 * the other zones serve nearly all lookups.
 */
#include <stdlib.h>

#include "zone-world.h"

#define STEPS 160
#define STEP_MS 80
#define LOST_STEPS_MIN 25
#define LOST_STEPS_MAX 50
#define OUTAGE_STEPS 10
#define BATCHES_MAX 14
/* Of lookups in the zones that are up, at least so many are served at once or at the second try. */
#define SERVED_MIN 0.95

typedef struct
{
  ZoneWorld *world;
  GRand *random;
  PathAnswer answers[BATCHES_MAX];
  gboolean noted[BATCHES_MAX]; /* acknowledged, and among the batches of the world */
  guint batches;
  guint lost; /* ZONES: none is */
  guint lost_steps;
  guint outage_steps;
  guint losses;
  guint lookups;
  guint served;
} Soak;

static guint
front_that_is_up (Soak *soak)
{
  guint front = (guint)g_rand_int_range (soak->random, 0, PATH_FRONTS);
  return front != soak->lost ? front : (front + 1) % ZONES;
}

static void
look_up (Soak *soak)
{
  soak->lookups++;
  soak->served += zone_serves (soak->world, front_that_is_up (soak));
}

static void
begin_batch (Soak *soak)
{
  if (soak->batches == BATCHES_MAX)
    return;
  guint number = soak->batches++;
  g_autofree char *id = g_strdup_printf ("b%u", number);
  g_autofree char *text = path_make_batch (id, ZONE_ITEMS);
  const char *front = path_front (soak->world->path, front_that_is_up (soak));
  path_start_call (front, "POST", "/r/batch", id, text, &soak->answers[number]);
}

/* Some batch that was acknowledged is read, from any zone that is up. */
static void
read_batch (Soak *soak)
{
  GPtrArray *batches = soak->world->batches;
  if (batches->len > 0)
    zone_read (soak->world, front_that_is_up (soak),
               batches->pdata[g_rand_int_range (soak->random, 0, (gint)batches->len)]);
}

static void
note_acknowledged (Soak *soak)
{
  for (guint i = 0; i < soak->batches; i++)
    {
      PathAnswer *answer = &soak->answers[i];
      if (soak->noted[i] || !answer->done || answer->status != 202)
        continue;
      soak->noted[i] = TRUE;
      ZoneBatch *batch = g_new0 (ZoneBatch, 1);
      batch->id = g_strdup_printf ("b%u", i);
      batch->texts = g_ptr_array_new_with_free_func (g_free);
      g_ptr_array_add (soak->world->batches, batch);
    }
}

/* ---- Trouble ----------------------------------------------------------------- */

/* The ledger bears one zone: the next one is lost once all members are back. */
static void
lose_zone (Soak *soak)
{
  if (soak->lost != ZONES || soak->outage_steps > 0 || !zone_is_spread (soak->world))
    return;
  soak->lost = (guint)g_rand_int_range (soak->random, 0, ZONES);
  soak->lost_steps = (guint)g_rand_int_range (soak->random, LOST_STEPS_MIN, LOST_STEPS_MAX);
  soak->losses++;
  zone_lose (soak->world, soak->lost);
}

static void
restart_replica (Soak *soak)
{
  if (soak->lost != ZONES)
    return;
  guint index = (guint)g_rand_int_range (soak->random, 0, ZONE_REPLICAS);
  quince_process_kill (soak->world->path->replicas[index]);
  path_start_replica (soak->world->path, index);
}

static void
take_store_away (Soak *soak)
{
  if (soak->lost != ZONES)
    return;
  soak->outage_steps = OUTAGE_STEPS;
  standin_store_set_fault (soak->world->path->store, STANDIN_STORE_UNAVAILABLE);
}

static void
end_troubles (Soak *soak, gboolean now)
{
  if (soak->outage_steps > 0 && (now || --soak->outage_steps == 0))
    {
      soak->outage_steps = 0;
      standin_store_set_fault (soak->world->path->store, STANDIN_STORE_HEALTHY);
    }
  if (soak->lost != ZONES && (now || --soak->lost_steps == 0))
    {
      zone_return (soak->world, soak->lost);
      soak->lost = ZONES;
    }
}

static void
step (Soak *soak)
{
  gint lot = g_rand_int_range (soak->random, 0, 1000);
  if (lot < 500)
    look_up (soak);
  else if (lot < 620)
    begin_batch (soak);
  else if (lot < 800)
    read_batch (soak);
  else if (lot < 900)
    lose_zone (soak);
  else if (lot < 915)
    restart_replica (soak);
  else if (lot < 920)
    take_store_away (soak);
  end_troubles (soak, FALSE);
  note_acknowledged (soak);
  run_for (STEP_MS);
}

static gboolean
all_answered (Soak *soak)
{
  note_acknowledged (soak);
  for (guint i = 0; i < soak->batches; i++)
    if (!soak->answers[i].done && !soak->noted[i])
      return FALSE;
  return TRUE;
}

static void
test_soak (void **state)
{
  const char *seed = g_getenv ("SOAK_SEED");
  Soak soak = { .world = zone_world_new ("zone-soak"), .lost = ZONES };
  soak.random = g_rand_new_with_seed (seed != NULL ? (guint32)atoi (seed) : 1);
  zone_world_start (soak.world);
  for (guint i = 0; i < STEPS; i++)
    step (&soak);
  end_troubles (&soak, TRUE);
  AWAIT (all_answered (&soak));
  AWAIT (zone_is_spread (soak.world));
  zone_check_all (soak.world);
  print_message ("  %u zones lost, %u of %u batches acknowledged at once, %u of %u lookups served\n",
                 soak.losses, soak.world->batches->len, soak.batches, soak.served, soak.lookups);
  assert_true (soak.losses > 0 && soak.world->batches->len > 0);
  assert_true (soak.served >= SERVED_MIN * soak.lookups);
  for (guint i = 0; i < soak.batches; i++)
    path_answer_clear (&soak.answers[i]);
  g_rand_free (soak.random);
  zone_world_free (soak.world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_soak) };
  return cmocka_run_group_tests_name ("zone-loss-soak", tests, NULL, NULL);
}
