/*
 * test-prompt-table.c: lookup of the worker that was last sent a prompt, and the capacity of the table.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/routing/prompt-table.h"

#define PARTS_MAX 8

static void
test_last_known_part_wins (void **state)
{
  static const char *const first[] = { "system", "session-1", NULL };
  static const char *const second[] = { "system", "session-2", NULL };
  static const char *const new_session[] = { "system", "session-3", NULL };
  static const char *const unknown[] = { "another", NULL };
  g_autoptr (QuincePromptTable) table = quince_prompt_table_new (PARTS_MAX);
  assert_null (quince_prompt_table_find_worker (table, first));
  quince_prompt_table_record (table, first, "w1");
  quince_prompt_table_record (table, second, "w2");
  assert_string_equal (quince_prompt_table_find_worker (table, first), "w1");
  assert_string_equal (quince_prompt_table_find_worker (table, second), "w2");
  /* Only the shared part is known: returns the worker that was last sent it. */
  assert_string_equal (quince_prompt_table_find_worker (table, new_session), "w2");
  assert_null (quince_prompt_table_find_worker (table, unknown));
  /* The session moves to another worker. */
  quince_prompt_table_record (table, first, "w3");
  assert_string_equal (quince_prompt_table_find_worker (table, first), "w3");
}

static guint
count_known (const QuincePromptTable *table, guint n_parts)
{
  guint known = 0;
  for (guint i = 0; i < n_parts; i++)
    {
      g_autofree char *name = g_strdup_printf ("p%u", i);
      const char *const parts[] = { name, NULL };
      known += quince_prompt_table_find_worker (table, parts) != NULL ? 1 : 0;
    }
  return known;
}

static void
test_size_limit (void **state)
{
  static const char *const used_often[] = { "kept", NULL };
  g_autoptr (QuincePromptTable) table = quince_prompt_table_new (PARTS_MAX);
  for (guint i = 0; i < 1000; i++)
    {
      g_autofree char *name = g_strdup_printf ("p%u", i);
      const char *const parts[] = { name, NULL };
      quince_prompt_table_record (table, parts, "w1");
      quince_prompt_table_record (table, used_often, "w2"); /* never the least recently used part */
      guint n_known_often = quince_prompt_table_find_worker (table, used_often) != NULL ? 1 : 0;
      assert_true (count_known (table, i + 1) + n_known_often <= PARTS_MAX);
    }
  assert_string_equal (quince_prompt_table_find_worker (table, used_often), "w2");
  static const char *const oldest[] = { "p0", NULL };
  assert_null (quince_prompt_table_find_worker (table, oldest));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_last_known_part_wins),
    cmocka_unit_test (test_size_limit),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
