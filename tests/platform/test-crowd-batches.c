/*
 * test-crowd-batches.c: guards against a front or a leader that exceeds the memory of its machine because
 * many callers submit large or incomplete batches at once, and against a leader that accepts more than its
 * machine can hold.
 */
#include "crowd-cases.h"

/* So many batches of the greatest size are submitted, one after the other. */
#define BATCHES_IN_TURN 12
/* Longest wait for the answer to one, ms. */
#define ANSWER_MAX_MS 20000

/* Sends the whole request of one caller and waits for its answer or the end of its connection. */
static guint
submit_in_turn (const CrowdCase *crowd_case, guint number)
{
  CrowdCaller *caller = crowd_caller_new (crowd_case, path_front (crowd_world.path, 0), number);
  gint64 end_us = g_get_monotonic_time () + ANSWER_MAX_MS * 1000;
  while (!caller->is_closed && crowd_get_status (caller) == 0 && g_get_monotonic_time () < end_us)
    {
      if (!crowd_caller_turn (caller, number))
        run_main_loop_once ();
      g_main_context_iteration (NULL, FALSE);
      crowd_measure ();
    }
  guint status = crowd_get_status (caller);
  crowd_caller_free (caller);
  return status;
}

/* Batches that are accepted stay at the leader and its backups. */
static void
test_batches_in_turn (void **state)
{
  CrowdCase crowd_case = crowd_forms[CROWD_FORM_WHOLE];
  crowd_case.method = "POST";
  crowd_case.target = "/r/%u";
  crowd_case.is_batch = TRUE;
  crowd_case.n_whole = BATCHES_IN_TURN;
  guint n_accepted = 0;
  for (guint i = 0; i < BATCHES_IN_TURN; i++)
    n_accepted += submit_in_turn (&crowd_case, i) == 202;
  print_message ("  accepted %u of %u\n", n_accepted, BATCHES_IN_TURN);
  crowd_check_ordinary ();
  crowd_check_usage ("batches in turn");
}

int
main (void)
{
  GArray *tests = g_array_new (FALSE, FALSE, sizeof (struct CMUnitTest));
  crowd_add_all_forms (tests, "callers", "POST", "/r/%u", TRUE);
  int failures = crowd_run_tests (tests);
  const struct CMUnitTest in_turn[] = { CROWD_CASE (test_batches_in_turn) };
  return failures + cmocka_run_group_tests (in_turn, NULL, NULL);
}
