/*
 * test-operator-command.c: the program "quinceroute" as operators and scripts
 * call it: exit statuses, output, and two operators at once.
 */
#include "kv-standin.h"

#include <json-glib/json-glib.h>

#include <glib/gstdio.h>

#include "runtime/http.h"

#define OK 0
#define FAILED 1
#define USAGE 2
#define CONFLICT 3
#define UNKNOWN 4
#define MAX_WORDS 12

static KvStandin *service;
static char *folder;

typedef struct
{
  GSubprocess *process; /* owned while running */
  gboolean done;
  int status;
  char *output; /* owned */
  char *errors; /* owned */
} Run;

static void
on_exit_status (GObject *source, GAsyncResult *result, gpointer user_data)
{
  Run *run = user_data;
  GSubprocess *process = G_SUBPROCESS (source);
  assert_true (g_subprocess_communicate_utf8_finish (process, result, &run->output, &run->errors, NULL));
  assert_true (g_subprocess_get_if_exited (process));
  run->status = g_subprocess_get_exit_status (process);
  run->done = TRUE;
}

/* @words: words of the command, NULL terminated; files are named within the test's folder */
static void
run_start (Run *run, const char *const *words)
{
  g_autoptr (GSubprocessLauncher) launcher
      = g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_PIPE);
  g_subprocess_launcher_set_cwd (launcher, folder);
  g_autofree char *program = find_program ("tools", "quinceroute");
  g_autoptr (GPtrArray) arguments = g_ptr_array_new ();
  g_ptr_array_add (arguments, program);
  g_ptr_array_add (arguments, "--kv");
  g_ptr_array_add (arguments, service->address);
  for (; *words != NULL; words++)
    g_ptr_array_add (arguments, (gpointer)*words);
  g_ptr_array_add (arguments, NULL);
  g_autoptr (GError) error = NULL;
  run->process = g_subprocess_launcher_spawnv (launcher, (const char *const *)arguments->pdata, &error);
  if (run->process == NULL)
    fail_msg ("%s", error->message);
  g_subprocess_communicate_utf8_async (run->process, NULL, NULL, on_exit_status, run);
}

static void
run_clear (Run *run)
{
  g_clear_object (&run->process);
  g_free (run->output);
  g_free (run->errors);
}

static void
run_wait (Run *run)
{
  WAIT_FOR (run->done);
}

static void
write_file (const char *name, const char *text)
{
  g_autofree char *path = g_build_filename (folder, name, NULL);
  assert_true (g_file_set_contents (path, text, -1, NULL));
}

typedef struct
{
  const char *words[MAX_WORDS];
  int status;
  const char *output; /* part of standard output, NULL: none is looked for */
  const char *errors; /* part of standard error                            */
} CommandCase;

/* In order: the stand-in keeps its data from one to the next. */
static const CommandCase command_cases[] = {
  { { NULL }, USAGE, NULL, "no command given" },
  { { "nonsense" }, USAGE, NULL, "no such command" },
  { { "policy", "nonsense" }, USAGE, NULL, "no such command" },
  { { "policy", "check" }, USAGE, NULL, "takes 1 argument" },
  { { "status", "--nonsense" }, USAGE, NULL, "unrecognized option" },
  { { "--kv", "localhost:1", "event", "list" }, USAGE, NULL, "kv" },
  { { "--config", "absent.conf", "event", "list" }, USAGE, NULL, "absent.conf" },
  { { "status" }, USAGE, NULL, "no address of a node" },
  { { "--help" }, OK, "policy accept FILE", NULL },
  { { "policy", "accept", "--help" }, OK, "--expect", NULL },
  { { "policy", "check", "absent.lua" }, FAILED, NULL, "quinceroute: file: " },
  { { "policy", "check", "bad.lua" }, FAILED, NULL, "quinceroute: policy_syntax: bad.lua" },
  { { "policy", "check", "large.lua" }, FAILED, NULL, "quinceroute: policy_too_large: " },
  { { "policy", "check", "one.lua" }, OK, "ok, ", NULL },
  { { "policy", "show" }, OK, "no policy was accepted yet", NULL },
  { { "policy", "accept", "one.lua" }, USAGE, NULL, "--comment" },
  { { "policy", "accept", "bad.lua", "--comment", "x" }, FAILED, NULL, "policy_syntax" },
  { { "policy", "accept", "one.lua", "--comment", "x", "--expect", "-1" }, USAGE, NULL, "--expect" },
  { { "policy", "accept", "one.lua", "--comment", "first", "--author", "anna" },
    OK,
    "accepted revision 2, replaces 0",
    "replacing revision 0, just read" },
  { { "policy", "accept", "two.lua", "--comment", "x", "--expect", "0" },
    CONFLICT,
    NULL,
    "quinceroute: conflict: revision 2 by anna (\"first\") stands, not 0" },
  { { "policy", "diff", "one.lua" }, OK, "", NULL },
  { { "policy", "diff", "two.lua" },
    OK,
    "--- revision 2\n+++ two.lua\n@@ -2,7 +2,7 @@\n -- line 2\n -- line 3\n -- line 4\n--- line 5\n+-- "
    "other\n"
    " -- line 6\n -- line 7\n -- line 8\n@@ -18,3 +18,4 @@\n -- line 18\n -- line 19\n -- line 20\n+-- line "
    "21\n",
    NULL },
  { { "policy", "accept", "two.lua", "--comment", "second", "--expect", "2", "--json" },
    OK,
    "\"revision\" : 3",
    NULL },
  { { "policy", "show" }, OK, "-- revision 3, hash ", NULL },
  { { "event", "create", "shift", "--start", "+60" }, USAGE, NULL, "--duration" },
  { { "event", "create", "shift", "--start", "2030-01-02T08:00:00", "--duration", "5" },
    USAGE,
    NULL,
    "--start" },
  { { "event", "create", "shift", "--start", "+60", "--duration", "-5" }, USAGE, NULL, "--duration" },
  { { "event", "create", "a/b", "--start", "+60", "--duration", "5" },
    FAILED,
    NULL,
    "quinceroute: invalid: " },
  { { "event", "create", "shift", "--start", "2030-01-02T08:00:00+08:00", "--duration", "1.5", "--expected",
      "9" },
    OK,
    "event shift starts at 2030-01-02T00:00:00.000Z and lasts 1.500 s",
    NULL },
  { { "event", "create", "shift", "--start", "+60", "--duration", "5" },
    CONFLICT,
    NULL,
    "quinceroute: conflict: " },
  { { "event", "list" }, OK, "shift  (every)  2030-01-02T00:00:00.000Z  1.500 s   9 ", NULL },
  { { "event", "list", "--json" }, OK, "\"duration_ms\" : 1500", NULL },
  { { "event", "delete", "shift" }, OK, "deleted", NULL },
  { { "event", "delete", "shift" }, FAILED, NULL, "quinceroute: not_found: " },
  { { "drain", "e1" }, OK, "engine e1 is drained", NULL },
  { { "drain", "e1", "--json" }, OK, "\"state\" : \"drained\"", NULL },
  { { "undrain", "e1" }, OK, "engine e1 is undrained", NULL },
  { { "undrain", "e1" }, FAILED, NULL, "quinceroute: not_found: " },
  { { "ledger", "status" }, OK, "not known", NULL },
};

static void
check_command (const CommandCase *command)
{
  Run run = { 0 };
  run_start (&run, command->words);
  run_wait (&run);
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
  kv_standin_reset (service);
  for (gsize i = 0; i < G_N_ELEMENTS (command_cases); i++)
    check_command (&command_cases[i]);
}

/* Each operator is told the truth whatever answer is lost. */
static void
test_two_operators (void **state)
{
  static const char *const faults[] = { "{}", "{\"lose_answer_next\":1}", "{\"lose_answer_next\":2}" };
  for (gsize i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      static const char *const anna[]
          = { "policy", "accept", "one.lua", "--comment", "x", "--expect", "0", "--author", "anna", NULL };
      static const char *const bela[]
          = { "policy", "accept", "two.lua", "--comment", "x", "--expect", "0", "--author", "bela", NULL };
      Run runs[2] = { 0 };
      kv_standin_reset (service);
      kv_standin_set_faults (service, faults[i]);
      run_start (&runs[0], anna);
      run_start (&runs[1], bela);
      run_wait (&runs[0]);
      run_wait (&runs[1]);
      guint winner = runs[0].status == OK ? 0 : 1;
      assert_int_equal (runs[winner].status, OK);
      assert_int_equal (runs[1 - winner].status, CONFLICT);
      assert_non_null (strstr (runs[1 - winner].errors, winner == 0 ? "by anna" : "by bela"));
      run_clear (&runs[0]);
      run_clear (&runs[1]);
    }
}

static void
test_outcome_unknown (void **state)
{
  static const char *const words[]
      = { "--config", "short.conf", "policy", "accept", "one.lua", "--comment", "x", "--expect", "0", NULL };
  Run run = { 0 };
  kv_standin_reset (service);
  kv_standin_set_faults (service, "{\"hang\":true}");
  run_start (&run, words);
  run_wait (&run);
  assert_int_equal (run.status, UNKNOWN);
  assert_non_null (strstr (run.errors, "quinceroute: unknown: "));
  run_clear (&run);
  kv_standin_set_faults (service, "{\"hang\":false}");
}

/* ---- Nodes ---------------------------------------------------------------------- */

static void
on_node_request (SoupServer *server,
                 SoupServerMessage *message,
                 const char *path,
                 GHashTable *query,
                 gpointer user_data)
{
  quince_http_reply_text (message, 200, "application/json", user_data);
}

#define NODE(name, revision)                                                                                 \
  "{\"name\":\"" name "\",\"zone\":\"z1\",\"ready\":true,\"policy\":{\"revision\":" revision                 \
  ",\"hash\":\"abc\",\"current\":true},\"ledger\":{\"role\":\"leader\",\"epoch\":4},\"members\":[7,{"        \
  "\"name\":\"m1\","                                                                                         \
  "\"state\":\"alive\"}],\"engines\":[{\"name\":\"e1\",\"weight_version\":11,\"usable\":false,"              \
  "\"leaving\":[\"operator\"]}]}"

typedef struct
{
  const char *words[3];
  const char *answers[2]; /* of the two nodes */
  int status;
  const char *output;
} NodeCase;

static const NodeCase node_cases[] = {
  { { "policy", "status" }, { NODE ("n1", "5"), NODE ("n2", "5") }, OK, "in force" },
  { { "policy", "status" }, { NODE ("n1", "5"), NODE ("n2", "4") }, FAILED, "behind" },
  { { "policy", "status" }, { NODE ("n1", "5"), "garbage" }, FAILED, "unreachable" },
  { { "policy", "status", "--json" },
    { NODE ("n1", "5"), NODE ("n2", "4") },
    FAILED,
    "\"state\" : \"behind\"" },
  { { "status" }, { NODE ("n1", "5"), NODE ("n2", "5") }, OK, "leaving: operator" },
  { { "status" }, { NODE ("n1", "5"), "{\"name\":3,\"policy\":[],\"engines\":{}}" }, OK, "n1" },
  { { "status", "--json" }, { NODE ("n1", "5"), NODE ("n2", "5") }, OK, "\"weight_version\" : 11" },
  { { "ledger", "status" }, { NODE ("n1", "5"), NODE ("n2", "5") }, OK, "leader" },
};

static void
check_nodes (const NodeCase *node_case)
{
  SoupServer *servers[2];
  char *addresses[2];
  for (guint i = 0; i < 2; i++)
    {
      servers[i] = soup_server_new (NULL, NULL);
      soup_server_add_handler (servers[i], "/v1/status", on_node_request, (gpointer)node_case->answers[i],
                               NULL);
      assert_true (quince_http_listen (servers[i], "127.0.0.1:0", &addresses[i], NULL));
    }
  g_autofree char *list = g_strjoin (",", addresses[0], addresses[1], NULL);
  const char *words[] = { "--config",          "nodes.conf",        "--node", list, node_case->words[0],
                          node_case->words[1], node_case->words[2], NULL };
  Run run = { 0 };
  run_start (&run, words);
  run_wait (&run);
  if (run.status != node_case->status || strstr (run.output, node_case->output) == NULL)
    fail_msg ("%s: status %d\n%s\n%s", node_case->words[0], run.status, run.output, run.errors);
  run_clear (&run);
  for (guint i = 0; i < 2; i++)
    {
      g_object_unref (servers[i]);
      g_free (addresses[i]);
    }
}

static void
test_nodes (void **state)
{
  kv_standin_reset (service);
  for (gsize i = 0; i < G_N_ELEMENTS (node_cases); i++)
    check_nodes (&node_cases[i]);
}

/* ---- Files ------------------------------------------------------------------------- */

static int
start (void **state)
{
  service = kv_standin_start (0);
  folder = g_dir_make_tmp ("quinceroute-test-XXXXXX", NULL);
  GString *one = g_string_new (NULL);
  for (guint i = 1; i <= 20; i++)
    g_string_append_printf (one, "-- line %u\n", i);
  g_autofree char *large = g_strnfill (70000, ' ');
  write_file ("one.lua", one->str);
  g_string_append (one, "-- line 21\n");
  g_string_replace (one, "-- line 5\n", "-- other\n", 1);
  write_file ("two.lua", one->str);
  write_file ("bad.lua", "function (");
  write_file ("large.lua", large);
  write_file ("nodes.conf", "[operator]\n");
  write_file ("short.conf", "[operator]\nkv_timeout = 200ms\nwrite_timeout = 600ms\n");
  g_string_free (one, TRUE);
  return 0;
}

static int
stop (void **state)
{
  static const char *const files[]
      = { "one.lua", "two.lua", "bad.lua", "large.lua", "nodes.conf", "short.conf" };
  kv_standin_stop (service);
  for (gsize i = 0; i < G_N_ELEMENTS (files); i++)
    {
      g_autofree char *path = g_build_filename (folder, files[i], NULL);
      g_unlink (path);
    }
  g_rmdir (folder);
  g_free (folder);
  return 0;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_commands),
    cmocka_unit_test (test_two_operators),
    cmocka_unit_test (test_outcome_unknown),
    cmocka_unit_test (test_nodes),
  };
  g_log_set_always_fatal (G_LOG_LEVEL_CRITICAL | G_LOG_FATAL_MASK);
  return cmocka_run_group_tests (tests, start, stop);
}
