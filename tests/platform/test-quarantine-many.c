/*
 * test-quarantine-many.c: a request that ends its workers, seen once by each of sixty fronts.
 */
#include "crash-world.h"

#define MANY 60
/* Rules bound machines that were left alone for so long. */
#define CONTACT_MS 3000
#define FURTHER_SENDS_MAX 3

typedef struct
{
  CrashWorld *world;
  QuinceProcess *fronts[MANY];
} Many;

static const char *
address_of (const Many *many, guint index)
{
  return quince_process_get_ready_value (many->fronts[index], "callers");
}

static void
start_fronts (Many *many)
{
  for (guint i = 0; i < MANY; i++)
    {
      g_autofree char *name = g_strdup_printf ("many-%u", i);
      g_autofree char *settings
          = g_strdup_printf ("[node]\nname=%s\nzone=z1\n[listen]\ncallers=127.0.0.1:0\nready=127.0.0.1:0\n"
                             "directory=127.0.0.1:0\n[store]\naddress=%s\n",
                             name, standin_store_get_address (many->world->path->store));
      many->fronts[i] = path_spawn (many->world->path, "quinceroute-front", name, settings);
    }
}

static gboolean
serves (const Many *many, guint index)
{
  return crash_world_all_running (many->world)
         && path_status (address_of (many, index), "POST", "/l/innocent", "q", "x") == 200;
}

/* Each front gets the request before anything is known of it. */
static void
ask_all_at_once (const Many *many)
{
  PathAnswer answers[MANY];
  for (guint i = 0; i < MANY; i++)
    {
      g_autofree char *id = g_strdup_printf ("first-%u", i);
      path_start_call (address_of (many, i), "POST", "/l/1", id, "poison", &answers[i]);
    }
  for (guint i = 0; i < MANY; i++)
    {
      AWAIT (answers[i].done);
      path_answer_clear (&answers[i]);
    }
}

/* Returns: how many of the tries reached a worker */
static guint
ask_in_turn (const Many *many)
{
  guint before = crash_world_count_runs (many->world, "poison");
  for (guint i = 0; i < MANY; i++)
    {
      g_autofree char *id = g_strdup_printf ("second-%u", i);
      AWAIT (serves (many, i));
      path_status (address_of (many, i), "POST", "/l/1", id, "poison");
      run_for (CRASH_POLL_INTERVAL_MS);
    }
  return crash_world_count_runs (many->world, "poison") - before;
}

static void
test_sixty_fronts (void **state)
{
  Many many = { .world = crash_world_start ("sixty", "poison") };
  start_fronts (&many);
  for (guint i = 0; i < MANY; i++)
    AWAIT (serves (&many, i));
  ask_all_at_once (&many);
  guint first = crash_world_count_runs (many.world, "poison");
  run_for (CONTACT_MS);
  guint second = ask_in_turn (&many);
  print_message ("  %u sends at once, %u after it\n", first, second);
  assert_true (first + second >= 3);
  assert_true (second <= FURTHER_SENDS_MAX);
  for (guint i = 0; i < MANY; i++)
    {
      quince_process_kill (many.fronts[i]);
      quince_process_free (many.fronts[i]);
    }
  crash_world_free (many.world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_sixty_fronts) };
  return cmocka_run_group_tests_name ("quarantine-many", tests, NULL, NULL);
}
