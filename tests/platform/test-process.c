/*
 * test-process.c: a process that crashed or ended with an unexpected status
 * is noticed by whoever started it.
 */
#include <stdlib.h>

#include "await.h"
#include "process.h"

typedef struct
{
  const char *name;
  const char *command;  /* of a shell */
  gboolean kill;        /* by quince_process_kill() */
  gboolean take_status; /* by the caller of quince_process_wait() */
  guint failures;
} ExitCase;

static const ExitCase exit_cases[] = {
  { "planned stop", "exit 0", FALSE, FALSE, 0 },
  { "killed by the test", "exec sleep 60", TRUE, FALSE, 0 },
  { "status that the caller judges", "exit 3", FALSE, TRUE, 0 },
  { "sanitizer's report", "exit 86", FALSE, FALSE, 1 },
  { "abort", "kill -ABRT $$", FALSE, FALSE, 1 },
  { "killed by another", "kill -KILL $$", FALSE, FALSE, 1 },
  { "ended before it was killed", "exit 86", TRUE, FALSE, 1 },
};

static void
run_exit_case (const char *folder, const ExitCase *exit_case)
{
  const char *const arguments[] = { "/bin/sh", "-c", exit_case->command, NULL };
  QuinceProcess *process = quince_process_spawn (folder, "shell", arguments, NULL);
  int status;
  assert_non_null (process);
  gboolean ends = !exit_case->kill || exit_case->failures > 0;
  if (ends)
    assert_true (quince_process_wait (process, AWAIT_TIMEOUT_MS, exit_case->take_status ? &status : NULL));
  if (exit_case->kill)
    quince_process_kill (process);
  quince_process_free (process);
  guint failures = quince_process_get_and_reset_failures ();
  if (failures != exit_case->failures)
    fail_msg ("%s: %u failures", exit_case->name, failures);
}

static void
test_exit_status (void **state)
{
  g_autofree char *folder = g_dir_make_tmp ("quince-process-XXXXXX", NULL);
  assert_non_null (folder);
  for (guint i = 0; i < G_N_ELEMENTS (exit_cases); i++)
    run_exit_case (folder, &exit_cases[i]);
  g_autofree char *remove = g_strdup_printf ("rm -rf '%s'", folder);
  assert_int_equal (system (remove), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_exit_status) };
  return cmocka_run_group_tests_name ("process", tests, NULL, NULL);
}
