/*
 * test-worker-table.c: cached lists of the workers that have a model in a version or later.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/routing/worker-table.h"

static QuinceWorker *
update_worker (QuinceWorkerTable *table,
               const char *id,
               const char *service,
               const char *model,
               guint64 version)
{
  QuinceWorker *entry = quince_worker_new (id);
  entry->service = g_strdup (service);
  entry->address = g_strdup ("127.0.0.1:1");
  entry->zone = g_strdup ("z1");
  quince_worker_set_model (entry, model, version);
  quince_worker_table_update (table, entry);
  return quince_worker_table_find (table, id);
}

static void
assert_workers_with_version (QuinceWorkerTable *table,
                             const char *model,
                             guint64 min_version,
                             const char *ids)
{
  g_autoptr (GPtrArray) workers = quince_worker_table_list_with_version (table, "s", model, min_version);
  g_autoptr (GString) found = g_string_new (NULL);
  for (guint i = 0; i < workers->len; i++)
    g_string_append (found, ((const QuinceWorker *)workers->pdata[i])->id);
  assert_string_equal (found->str, ids);
}

static void
test_list_by_version (void **state)
{
  g_autoptr (QuinceWorkerTable) table = quince_worker_table_new (NULL, NULL);
  update_worker (table, "c", "s", "m", 1);
  QuinceWorker *a = update_worker (table, "a", "s", "m", 1);
  update_worker (table, "x", "other", "m", 5);
  update_worker (table, "b", "s", "n", 3);
  assert_workers_with_version (table, "m", 0, "ac"); /* excludes the worker without the model */
  assert_workers_with_version (table, "m", 1, "ac");
  assert_workers_with_version (table, "m", 2, "");
  quince_worker_table_set_model (table, a, "m", 3); /* the worker reports a load */
  assert_workers_with_version (table, "m", 2, "a");
  assert_workers_with_version (table, "m", 1, "ac");
  update_worker (table, "c", "s", "m", 2); /* the entry has a newer version */
  assert_workers_with_version (table, "m", 2, "ac");
  assert_workers_with_version (table, "m", 3, "a");
  update_worker (table, "d", "s", "m", 2); /* a new worker */
  assert_workers_with_version (table, "m", 2, "acd");
  quince_worker_table_remove (table, "c");
  assert_workers_with_version (table, "m", 2, "ad");
  assert_workers_with_version (table, "n", 1, "b");
}

/* An entry that is older than the worker's own report does not decrease its version. */
static void
test_stale_entry (void **state)
{
  g_autoptr (QuinceWorkerTable) table = quince_worker_table_new (NULL, NULL);
  QuinceWorker *a = update_worker (table, "a", "s", "m", 1);
  quince_worker_table_set_model (table, a, "m", 4);
  update_worker (table, "a", "s", "m", 2);
  assert_workers_with_version (table, "m", 4, "a");
}

/* Lists stay correct when there are more versions than cached lists. */
static void
test_version_lists_limit (void **state)
{
  g_autoptr (QuinceWorkerTable) table = quince_worker_table_new (NULL, NULL);
  QuinceWorker *a = update_worker (table, "a", "s", "m", 1);
  for (guint64 version = 2; version < 500; version++)
    {
      assert_workers_with_version (table, "m", version, "");
      quince_worker_table_set_model (table, a, "m", version);
      assert_workers_with_version (table, "m", version, "a");
    }
}

/* Workers come, go and load weights one after another while samples are placed: the cached lists are updated,
 * not made anew from all workers. */
static void
test_changes_update_lists (void **state)
{
  g_autoptr (QuinceWorkerTable) table = quince_worker_table_new (NULL, NULL);
  QuinceWorker *a = update_worker (table, "a", "s", "m", 1);
  update_worker (table, "c", "s", "m", 1);
  assert_workers_with_version (table, "m", 1, "ac");
  assert_workers_with_version (table, "m", 2, "");
  guint n_scans = quince_worker_table_get_n_scans (table);
  g_autoptr (GPtrArray) held = quince_worker_table_list (table, "s");
  update_worker (table, "b", "s", "m", 2);
  assert_workers_with_version (table, "m", 1, "abc");
  assert_workers_with_version (table, "m", 2, "b");
  quince_worker_table_set_model (table, a, "m", 2);
  assert_workers_with_version (table, "m", 2, "ab");
  quince_worker_table_set_model (table, a, "m", 1);
  assert_workers_with_version (table, "m", 2, "b");
  quince_worker_table_remove (table, "b");
  assert_workers_with_version (table, "m", 1, "ac");
  assert_workers_with_version (table, "m", 2, "");
  g_autoptr (GPtrArray) all = quince_worker_table_list (table, "s");
  assert_int_equal (all->len, 2);
  assert_int_equal (held->len, 2); /* a caller keeps the list as it was */
  assert_int_equal (quince_worker_table_get_n_scans (table), n_scans);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_list_by_version),
    cmocka_unit_test (test_changes_update_lists),
    cmocka_unit_test (test_stale_entry),
    cmocka_unit_test (test_version_lists_limit),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
