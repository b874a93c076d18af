/*
 * test-endless-answers.c: guards against memory, time and connections of a front that workers take by
 * answers to lookups that do not end, and against harm to the callers of sound workers.
 */
#include "endless-front.h"

/* ---- Lookups -------------------------------------------------------------- */

/* An answer without a body ends at its limit; the limit of a body is reached later, if it is read slowly. */
static guint
get_time_max_ms (const StandinEndlessAnswer *answer)
{
  return g_str_has_prefix (answer->name, "body") ? LOOKUP_TIME_MAX_MS : REFUSAL_TIME_MAX_MS;
}

static void
check_lookup (const StandinEndlessAnswer *answer, guint time_max_ms)
{
  check_all_endless (&scene.plain, answer, "/l/endless", "/s/sound", LOOKUP_HELD_BYTES, time_max_ms);
  check_one_endless (&scene.plain, answer, "/l/endless");
}

static void
test_lookups (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (endless_answers); i++)
    check_lookup (&endless_answers[i], get_time_max_ms (&endless_answers[i]));
}

static void
test_lookup_bodies (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (endless_bodies); i++)
    check_lookup (&endless_bodies[i], LOOKUP_TIME_MAX_MS);
}

/* Many at once: the budget of the process holds. */
static void
test_many_lookups (void **state)
{
  Call *calls[MANY_CALLS];
  guint64 n_bytes = endless_get_n_bytes (&scene.plain);
  EndlessCost cost = endless_cost_begin (scene.path->fronts[0]);
  endless_set (&scene.plain, &endless_bodies[0]);
  for (guint i = 0; i < MANY_CALLS; i++)
    calls[i] = start_call ("/l/endless");
  for (guint i = 0; i < MANY_CALLS; i++)
    {
      await_call (calls[i], &cost);
      if (is_whole (calls[i]))
        fail_msg ("the caller got a whole answer of %u bytes", (guint)calls[i]->n_bytes);
      call_free (calls[i]);
    }
  await_closed (&scene.plain, &cost);
  endless_cost_end (&cost, "50 lookups", PROCESS_HELD_BYTES, endless_get_n_bytes (&scene.plain) - n_bytes);
  endless_set (&scene.plain, NULL);
  AWAIT (is_answered ("/l/endless"));
}

int
main (int argc, char **argv)
{
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  const struct CMUnitTest tests[] = {
    CASE (test_lookups),
    CASE (test_lookup_bodies),
    CASE (test_many_lookups),
  };
  return cmocka_run_group_tests_name ("endless-answers", tests, NULL, NULL);
}
