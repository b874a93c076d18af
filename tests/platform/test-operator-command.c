/*
 * test-operator-command.c: guards against wrong exit statuses and output of the program "quinceroute", also
 * with concurrent operators and lost answers of the store.
 */
#include "await.h"

#include <glib/gstdio.h>
#include <string.h>

#include "process.h"
#include "standin-store.h"

/* Exit statuses. */
#define STATUS_OK 0
#define STATUS_FAILED 1
#define STATUS_USAGE 2
#define STATUS_CONFLICT 3
#define STATUS_UNKNOWN 4

#define WORDS_MAX 12
#define POLICY_KEY "quinceroute/policy"

static StandinStore *store;
static char *folder;
static guint n_runs; /* number of runs so far; names the output files of each */

/* ---- One run of the program --------------------------------------------------- */

typedef struct
{
  QuinceProcess *process; /* owned while running */
  char *name;             /* owned */
  int status;
  char *output; /* owned */
  char *errors; /* owned */
} Run;

/* Starts the program with @words, a NULL-terminated array.  With @with_store, --store names the stand-in. */
static void
run_start (Run *run, const char *const *words, gboolean with_store)
{
  g_autofree char *program = g_build_filename (g_getenv ("QUINCE_BUILD_DIR"), "tools", "quinceroute", NULL);
  g_autoptr (GPtrArray) arguments = g_ptr_array_new ();
  g_ptr_array_add (arguments, program);
  if (with_store)
    {
      g_ptr_array_add (arguments, (gpointer) "--store");
      g_ptr_array_add (arguments, (gpointer)standin_store_get_address (store));
    }
  for (; *words != NULL; words++)
    g_ptr_array_add (arguments, (gpointer)*words);
  g_ptr_array_add (arguments, NULL);
  g_autoptr (GError) error = NULL;
  run->name = g_strdup_printf ("run-%u", n_runs++);
  run->process = quince_process_spawn (folder, run->name, (const char *const *)arguments->pdata, &error);
  if (run->process == NULL)
    fail_msg ("%s", error->message);
}

static char *
read_file (const char *name, const char *ending)
{
  g_autofree char *path = g_strdup_printf ("%s/%s.%s", folder, name, ending);
  char *text = NULL;
  assert_true (g_file_get_contents (path, &text, NULL, NULL));
  g_remove (path);
  return text;
}

static void
run_wait (Run *run)
{
  AWAIT (quince_process_wait (run->process, 1, &run->status));
  g_clear_pointer (&run->process, quince_process_free);
  run->output = read_file (run->name, "out");
  run->errors = read_file (run->name, "log");
}

static void
run_clear (Run *run)
{
  g_free (run->name);
  g_free (run->output);
  g_free (run->errors);
}

static void
run_command (Run *run, const char *const *words)
{
  run_start (run, words, TRUE);
  run_wait (run);
}

/* ---- Sequence of commands ------------------------------------------------ */

typedef struct
{
  const char *words[WORDS_MAX];
  int status;
  const char *output; /* (nullable): expected part of standard output */
  const char *errors; /* (nullable): expected part of standard error */
} CommandCase;

/* The order matters: the stand-in keeps its data between the commands. */
static const CommandCase command_cases[] = {
  { { NULL }, STATUS_USAGE, NULL, "no command given" },
  { { "nonsense" }, STATUS_USAGE, NULL, "no such command" },
  { { "policy", "nonsense" }, STATUS_USAGE, NULL, "no such command" },
  { { "status" }, STATUS_USAGE, NULL, "no such command" },
  { { "policy", "check" }, STATUS_USAGE, NULL, "takes 1 argument" },
  { { "zones", "--nonsense" }, STATUS_USAGE, NULL, "unrecognized option" },
  { { "--kv", "127.0.0.1:1", "event", "list" }, STATUS_USAGE, NULL, "unrecognized option" },
  { { "--store", "localhost:1", "event", "list" }, STATUS_USAGE, NULL, "store" },
  { { "--config", "absent.conf", "event", "list" }, STATUS_USAGE, NULL, "absent.conf" },
  { { "--help" }, STATUS_OK, "policy accept FILE", NULL },
  { { "policy", "accept", "--help" }, STATUS_OK, "--expect", NULL },
  { { "policy", "check", "absent.lua" }, STATUS_FAILED, NULL, "quinceroute: file: " },
  { { "policy", "check", "bad.lua" }, STATUS_FAILED, NULL, "quinceroute: policy_syntax: bad.lua" },
  { { "policy", "check", "large.lua" }, STATUS_FAILED, NULL, "quinceroute: policy_too_large: " },
  { { "policy", "check", "one.lua" }, STATUS_OK, "ok, ", NULL },
  { { "policy", "show" }, STATUS_OK, "no policy was accepted yet", NULL },
  { { "policy", "show", "--json" }, STATUS_OK, "\"revision\" : 0", NULL },
  { { "policy", "accept", "one.lua" }, STATUS_USAGE, NULL, "--comment" },
  { { "policy", "accept", "bad.lua", "--comment", "x" }, STATUS_FAILED, NULL, "policy_syntax" },
  { { "policy", "accept", "one.lua", "--comment", "x", "--expect", "-1" }, STATUS_USAGE, NULL, "--expect" },
  { { "policy", "accept", "one.lua", "--comment", "x", "--expect", "two" }, STATUS_USAGE, NULL, "--expect" },
  { { "policy", "accept", "one.lua", "--comment", "first", "--author", "anna" },
    STATUS_OK,
    "accepted revision 1, replaces 0",
    NULL },
  { { "policy", "accept", "two.lua", "--comment", "x", "--expect", "0" },
    STATUS_CONFLICT,
    NULL,
    "quinceroute: conflict: revision 1 by anna (\"first\") was accepted meanwhile, revision 0 was expected" },
  { { "policy", "diff", "absent.lua" }, STATUS_FAILED, NULL, "quinceroute: file: " },
  { { "policy", "diff", "one.lua" }, STATUS_OK, "", NULL },
  { { "policy", "diff", "one.lua", "--json" }, STATUS_OK, "\"same\" : true", NULL },
  { { "policy", "diff", "two.lua" },
    STATUS_OK,
    "--- revision 1\n+++ two.lua\n@@ -2,7 +2,7 @@\n -- line 2\n -- line 3\n -- line 4\n--- line 5\n+-- "
    "other\n"
    " -- line 6\n -- line 7\n -- line 8\n@@ -18,3 +18,4 @@\n -- line 18\n -- line 19\n -- line 20\n+-- line "
    "21\n",
    NULL },
  { { "policy", "accept", "two.lua", "--comment", "second", "--expect", "1", "--json" },
    STATUS_OK,
    "\"revision\" : 2",
    NULL },
  { { "policy", "show" }, STATUS_OK, "-- revision 2\n-- by ", NULL },
  { { "policy", "show", "--json" }, STATUS_OK, "\"comment\" : \"second\"", NULL },
  { { "event", "create", "shift", "--start", "+60" }, STATUS_USAGE, NULL, "--duration" },
  { { "event", "create", "shift", "--start", "2030-01-02T08:00:00", "--duration", "5" },
    STATUS_USAGE,
    NULL,
    "--start" },
  { { "event", "create", "shift", "--start", "+60", "--duration", "-5" }, STATUS_USAGE, NULL, "--duration" },
  { { "event", "create", "shift", "--start", "+60", "--duration", "5", "--expected", "x" },
    STATUS_USAGE,
    NULL,
    "--expected" },
  { { "event", "create", "shift", "--start", "2030-01-02T08:00:00+08:00", "--duration", "1.5", "--expected",
      "9" },
    STATUS_OK,
    "event shift starts at 2030-01-02T00:00:00.000Z and lasts 1.500 s",
    NULL },
  { { "event", "create", "release", "--start", "2030-01-03T00:00:00Z", "--duration", "5", "--service", "llm",
      "--json" },
    STATUS_OK,
    "\"service\" : \"llm\"",
    NULL },
  { { "event", "create", "window", "--start", "+60", "--duration", "5" }, STATUS_OK, "event window", NULL },
  { { "event", "list" }, STATUS_OK, "shift    (every)  2030-01-02T00:00:00.000Z  1.500 s   in ", NULL },
  { { "event", "list" }, STATUS_OK, "release  llm      2030-01-03T00:00:00.000Z  5.000 s   in ", NULL },
  { { "event", "list", "--json" }, STATUS_OK, "\"duration_ms\" : 1500", NULL },
  { { "event", "delete", "shift" }, STATUS_OK, "deleted", NULL },
  { { "event", "list" }, STATUS_OK, "release", NULL },
  { { "quarantine", "release", "nothing" }, STATUS_USAGE, NULL, "32 hexadecimal digits" },
  { { "quarantine", "list" }, STATUS_OK, "DIGEST", NULL },
};

static void
check_command (const CommandCase *command)
{
  Run run = { 0 };
  run_command (&run, command->words);
  gboolean output = command->output == NULL || strstr (run.output, command->output) != NULL;
  gboolean errors = command->errors == NULL || strstr (run.errors, command->errors) != NULL;
  if (run.status != command->status || !output || !errors)
    fail_msg ("%s %s %s: status %d\n%s\n%s", command->words[0], command->words[1], command->words[2],
              run.status, run.output, run.errors);
  run_clear (&run);
}

static void
test_commands (void **state)
{
  for (gsize i = 0; i < G_N_ELEMENTS (command_cases); i++)
    check_command (&command_cases[i]);
  assert_null (standin_store_get (store, "quinceroute/events/shift"));
}

/* Commands that use the store fail with a usage error if no address is given. */
static void
test_missing_store_address (void **state)
{
  static const char *const commands[][WORDS_MAX] = {
    { "policy", "diff", "one.lua" },
    { "policy", "accept", "one.lua", "--comment", "x" },
    { "policy", "show" },
    { "event", "create", "shift", "--start", "+60", "--duration", "5" },
    { "event", "list" },
    { "event", "delete", "shift" },
    { "quarantine", "list" },
    { "quarantine", "release", "00000000000000000000000000000000" },
    { "zones" },
    { "cold" },
  };
  for (gsize i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      Run run = { 0 };
      run_start (&run, commands[i], FALSE);
      run_wait (&run);
      assert_int_equal (run.status, STATUS_USAGE);
      assert_non_null (strstr (run.errors, "no address of the metadata store"));
      run_clear (&run);
    }
}

/* A malformed policy is an error; a malformed event is left out of the list and named on standard error. */
static void
test_malformed_items (void **state)
{
  static const char *const show[] = { "policy", "show", NULL };
  static const char *const list[] = { "event", "list", NULL };
  Run run = { 0 };
  standin_store_put (store, POLICY_KEY, "nonsense");
  run_command (&run, show);
  assert_int_equal (run.status, STATUS_FAILED);
  assert_non_null (strstr (run.errors, "quinceroute: invalid: "));
  run_clear (&run);
  standin_store_put (store, "quinceroute/events/bad", "nonsense");
  standin_store_put (store, "quinceroute/events/good", "4102444800000 5000 -");
  run_command (&run, list);
  assert_int_equal (run.status, STATUS_OK);
  assert_non_null (strstr (run.output, "good"));
  assert_null (strstr (run.output, "bad"));
  assert_non_null (strstr (run.errors, "bad"));
  run_clear (&run);
}

/* ---- Concurrent operators, lost answers ---------------------------------------------------- */

/* Two operators expect the same revision: one succeeds and the other gets a conflict, also if answers are
 * lost. */
static void
test_concurrent_accepts (void **state)
{
  static const StandinStoreFault faults[] = { STANDIN_STORE_HEALTHY, STANDIN_STORE_DROPS_WRITE_ANSWERS };
  static const char *const anna[]
      = { "policy", "accept", "one.lua", "--comment", "x", "--expect", "0", "--author", "anna", NULL };
  static const char *const bela[]
      = { "policy", "accept", "two.lua", "--comment", "x", "--expect", "0", "--author", "bela", NULL };
  for (gsize i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      Run pair[2] = { 0 };
      standin_store_remove (store, POLICY_KEY);
      standin_store_set_fault (store, faults[i]);
      run_start (&pair[0], anna, TRUE);
      run_start (&pair[1], bela, TRUE);
      run_wait (&pair[0]);
      run_wait (&pair[1]);
      standin_store_set_fault (store, STANDIN_STORE_HEALTHY);
      guint winner = pair[0].status == STATUS_OK ? 0 : 1;
      assert_int_equal (pair[winner].status, STATUS_OK);
      assert_int_equal (pair[1 - winner].status, STATUS_CONFLICT);
      assert_non_null (strstr (pair[1 - winner].errors, winner == 0 ? "by anna" : "by bela"));
      run_clear (&pair[0]);
      run_clear (&pair[1]);
    }
}

static void
assert_outcome (const char *const *words, StandinStoreFault fault, int status, const char *errors)
{
  Run run = { 0 };
  standin_store_set_fault (store, fault);
  run_command (&run, words);
  standin_store_set_fault (store, STANDIN_STORE_HEALTHY);
  if (run.status != status || strstr (run.errors, errors) == NULL)
    fail_msg ("status %d\n%s\n%s", run.status, run.output, run.errors);
  run_clear (&run);
}

/* The store does not answer a write: the outcome is reported as unknown. */
static void
test_unknown_outcome_of_first_policy (void **state)
{
  static const char *const accept[]
      = { "policy", "accept", "one.lua", "--comment", "x", "--expect", "0", NULL };
  standin_store_remove (store, POLICY_KEY);
  assert_outcome (accept, STANDIN_STORE_UNRESPONSIVE, STATUS_UNKNOWN, "quinceroute: unknown: ");
}

/* The same when a policy is already in place: a failed read of it is not a conflict. */
static void
test_unknown_outcome_of_replacement (void **state)
{
  static const char *const first[] = { "policy", "accept", "one.lua", "--comment", "x", NULL };
  static const char *const second[]
      = { "policy", "accept", "two.lua", "--comment", "x", "--expect", "1", NULL };
  assert_outcome (first, STANDIN_STORE_HEALTHY, STATUS_OK, "");
  assert_outcome (second, STANDIN_STORE_UNRESPONSIVE, STATUS_UNKNOWN, "quinceroute: unknown: ");
}

/* The store applies the write, its answer is lost and the key cannot be read back: the outcome is unknown. */
static void
test_lost_answer_and_failed_reads (void **state)
{
  static const char *const accept[]
      = { "policy", "accept", "one.lua", "--comment", "x", "--expect", "0", NULL };
  assert_outcome (accept, STANDIN_STORE_DROPS_WRITE_ANSWERS_FAILS_READS, STATUS_UNKNOWN,
                  "quinceroute: unknown: ");
  assert_int_equal (standin_store_get_revision (store, POLICY_KEY), 1);
}

/* A list from an unresponsive store times out. */
static void
test_list_times_out (void **state)
{
  static const char *const list[] = { "event", "list", NULL };
  assert_outcome (list, STANDIN_STORE_UNRESPONSIVE, STATUS_FAILED, "quinceroute: unreachable: ");
}

/* The store refuses all calls: commands fail as unreachable, not with an unknown outcome. */
static void
test_unavailable_store_commands (void **state)
{
  static const char *const accept[] = { "policy", "accept", "one.lua", "--comment", "x", NULL };
  static const char *const show[] = { "policy", "show", NULL };
  static const char *const diff[] = { "policy", "diff", "one.lua", NULL };
  static const char *const delete[] = { "event", "delete", "shift", NULL };
  assert_outcome (accept, STANDIN_STORE_UNAVAILABLE, STATUS_FAILED, "quinceroute: unreachable: ");
  assert_outcome (show, STANDIN_STORE_UNAVAILABLE, STATUS_FAILED, "quinceroute: unreachable: ");
  assert_outcome (diff, STANDIN_STORE_UNAVAILABLE, STATUS_FAILED, "quinceroute: unreachable: ");
  assert_outcome (delete, STANDIN_STORE_UNAVAILABLE, STATUS_FAILED, "quinceroute: unreachable: ");
}

/* ---- Files ------------------------------------------------------------------------- */

static void
write_file (const char *name, const char *text)
{
  g_autofree char *path = g_build_filename (folder, name, NULL);
  assert_true (g_file_set_contents (path, text, -1, NULL));
}

static int
set_up (void **state)
{
  store = standin_store_new ();
  folder = g_dir_make_tmp ("quinceroute-test-XXXXXX", NULL);
  g_autoptr (GString) one = g_string_new (NULL);
  for (guint i = 1; i <= 20; i++)
    g_string_append_printf (one, "-- line %u\n", i);
  g_autofree char *large = g_strnfill (70000, ' ');
  write_file ("one.lua", one->str);
  g_string_append (one, "-- line 21\n");
  g_string_replace (one, "-- line 5\n", "-- other\n", 1);
  write_file ("two.lua", one->str);
  write_file ("bad.lua", "function (");
  write_file ("large.lua", large);
  return g_chdir (folder); /* commands name the files by relative paths */
}

static int
tear_down (void **state)
{
  static const char *const files[] = { "one.lua", "two.lua", "bad.lua", "large.lua" };
  for (gsize i = 0; i < G_N_ELEMENTS (files); i++)
    g_remove (files[i]);
  int status = g_chdir ("/");
  g_rmdir (folder);
  g_free (folder);
  standin_store_free (store);
  return status;
}

#define CASE(function) cmocka_unit_test_setup_teardown (function, set_up, tear_down)

int
main (int argc, char **argv)
{
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  const struct CMUnitTest tests[] = {
    CASE (test_commands),
    CASE (test_missing_store_address),
    CASE (test_malformed_items),
    CASE (test_concurrent_accepts),
    CASE (test_unknown_outcome_of_first_policy),
    CASE (test_unknown_outcome_of_replacement),
    CASE (test_lost_answer_and_failed_reads),
    CASE (test_unavailable_store_commands),
    CASE (test_list_times_out),
  };
  return cmocka_run_group_tests_name ("operator-command", tests, NULL, NULL);
}
