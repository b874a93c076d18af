/*
 * test-operator-lists.c: guards against wrong lists of zones and of cold workers in the operator's program.
 */
#include "path-world.h"

#define CONFIGURATION                                                                                        \
  "{\"version\":3,\"routes\":[],\"services\":[{\"name\":\"llm\",\"healthPath\":\"/"                          \
  "healthz\",\"maxConns\":50,"                                                                               \
  "\"coldPerS\":12.5,\"coldStartS\":3},{\"name\":\"svc\",\"healthPath\":\"/healthz\",\"maxConns\":50}],"     \
  "\"limits\":{}}"

/* Runs a command of the operator's program and returns its standard output. (transfer full) */
static char *
run_and_read_output (const PathWorld *world, const char *const *words)
{
  static guint serial;
  assert_int_equal (path_run_operator_tool ((PathWorld *)world, words), 0);
  g_autofree char *file = g_strdup_printf ("%s/tool-%u.out", world->folder, serial++);
  char *text = NULL;
  assert_true (g_file_get_contents (file, &text, NULL, NULL));
  return text;
}

/* Returns the line that begins with the word @name, its columns separated by single spaces, or %NULL if there
 * is none. (transfer full) */
static char *
find_line (const char *text, const char *name)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      g_autoptr (GRegex) blanks = g_regex_new (" +", 0, 0, NULL);
      g_autofree char *line = g_regex_replace_literal (blanks, lines[i], -1, 0, " ", 0, NULL);
      g_autofree char *start = g_strconcat (name, " ", NULL);
      if (g_str_has_prefix (line, start))
        return g_strdup (g_strchomp (line));
    }
  return NULL;
}

static void
assert_line (const char *text, const char *name, const char *expected)
{
  g_autofree char *line = find_line (text, name);
  assert_non_null (line);
  assert_string_equal (line, expected);
}

static void
test_lists (void **state)
{
  PathWorld *world = path_world_new ("lists");
  standin_store_put (world->store, "op/config", CONFIGURATION);
  standin_worker_set_zone (world->plain[1], "z2");
  standin_worker_set_cold_remaining (world->model[0], 2500);
  standin_worker_set_cold_remaining (world->model[1], -1);
  standin_worker_set_cold_remaining (world->plain[0], 700);
  path_register_workers (world);
  standin_store_put (world->store, "op/evacuate/z2", "{}");
  g_autofree char *settings = g_build_filename (world->folder, "operator.ini", NULL);
  assert_true (g_file_set_contents (settings, "[operator]\nzones=z1=north,z3=south\n", -1, NULL));
  g_autofree char *zones
      = run_and_read_output (world, (const char *const[]){ "zones", "--config", settings, NULL });
  assert_line (zones, "z1", "z1 north 4 0 no -");
  g_autofree char *second = find_line (zones, "z2");
  assert_true (g_str_has_prefix (second, "z2 - 1 0 yes "));
  g_autofree char *cold = run_and_read_output (world, (const char *const[]){ "cold", NULL });
  assert_line (cold, "m0", "m0 llm z1 2500 12.5");
  assert_line (cold, "m1", "m1 llm z1 - 12.5");
  assert_line (cold, "p0", "p0 svc z1 700 -");
  assert_null (find_line (cold, "m2"));
  path_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_lists) };
  return cmocka_run_group_tests_name ("operator-lists", tests, NULL, NULL);
}
