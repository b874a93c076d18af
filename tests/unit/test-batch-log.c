/*
 * test-batch-log.c: the log on disk: what is appended stays, other epochs replace, forgotten batches leave.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib/gstdio.h>
#include <string.h>

#include "batchlog/batch-log.h"

#define BODY_BYTES 50000 /* of a record: so large that the file shows when they are emptied */
#define ITEMS 8          /* records of a batch */

typedef struct
{
  char *folder; /* owned */
  QuinceBatchLog *log;
  guint64 last_index;
} World;

static void
open_log (World *world, gboolean expect_empty)
{
  gboolean was_empty = FALSE;
  world->log = quince_batch_log_open (world->folder, &was_empty, NULL);
  assert_non_null (world->log);
  assert_int_equal (was_empty, expect_empty);
}

static void
reopen (World *world)
{
  quince_batch_log_close (world->log);
  open_log (world, FALSE);
}

static int
setup (void **state)
{
  World *world = g_new0 (World, 1);
  world->folder = g_dir_make_tmp ("quince-batch-log-XXXXXX", NULL);
  open_log (world, TRUE);
  *state = world;
  return 0;
}

static int
teardown (void **state)
{
  World *world = *state;
  quince_batch_log_close (world->log);
  static const char *const names[] = { "batches.sqlite", "batches.sqlite-wal", "batches.sqlite-journal" };
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      g_autofree char *path = g_build_filename (world->folder, names[i], NULL);
      g_remove (path);
    }
  g_rmdir (world->folder);
  g_free (world->folder);
  g_free (world);
  return 0;
}

static void
append_bytes (World *world, guint64 index, guint64 epoch, char *bytes, guint length)
{
  QuinceLogEntry entry = { .index = index, .epoch = epoch };
  entry.record.record_val = bytes;
  entry.record.record_len = length;
  assert_true (quince_batch_log_append (world->log, &entry, 1, FALSE, index, index, NULL));
  world->last_index = index;
}

static guint64
append_record (World *world, const QuinceBatchRecord *record)
{
  g_autoptr (GBytes) encoded = quince_batch_record_encode (record, NULL);
  gsize length;
  const void *bytes = g_bytes_get_data (encoded, &length);
  append_bytes (world, world->last_index + 1, 1, (char *)bytes, (guint)length);
  return world->last_index;
}

/* A batch's records: the end is one for all that name it; the body makes them large. */
static guint64
append_batch_record (World *world, const char *batch)
{
  g_autofree char *name = g_strnfill (BODY_BYTES, 'x');
  memcpy (name, batch, strlen (batch));
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_END };
  record.QuinceBatchRecord_u.ended = name;
  return append_record (world, &record);
}

static guint64
append_forget (World *world, guint64 *indexes, guint n_indexes)
{
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_FORGET };
  record.QuinceBatchRecord_u.forget.batch = (char *)"b";
  record.QuinceBatchRecord_u.forget.indexes.indexes_val = indexes;
  record.QuinceBatchRecord_u.forget.indexes.indexes_len = n_indexes;
  return append_record (world, &record);
}

static gboolean
collect_length (const QuinceLogEntry *entry, gpointer data)
{
  g_array_append_val ((GArray *)data, entry->record.record_len);
  return TRUE;
}

static guint
get_record_length (World *world, guint64 index)
{
  g_autoptr (GArray) lengths = g_array_new (FALSE, FALSE, sizeof (guint));
  assert_true (quince_batch_log_foreach (world->log, 1, collect_length, lengths, NULL));
  assert_true (lengths->len >= index);
  return g_array_index (lengths, guint, index - 1);
}

static goffset
get_database_bytes (World *world)
{
  GStatBuf status;
  g_autofree char *path = g_build_filename (world->folder, "batches.sqlite", NULL);
  reopen (world); /* writes the write-ahead log into the file */
  assert_int_equal (g_stat (path, &status), 0);
  return status.st_size;
}

static void
test_reopen_keeps_records_and_state (void **state)
{
  World *world = *state;
  guint64 replica = quince_batch_log_get_replica_id (world->log);
  append_bytes (world, 1, 3, (char *)"one", 3);
  append_bytes (world, 2, 3, (char *)"two", 3);
  const QuinceLedgerKept kept = { .promised = 9, .noted = 7, .ordered = 5 };
  assert_true (quince_batch_log_save_persistent_state (world->log, &kept, NULL));
  reopen (world);
  assert_true (replica != 0);
  assert_int_equal (quince_batch_log_get_replica_id (world->log), replica);
  assert_int_equal (quince_batch_log_get_last_index (world->log), 2);
  assert_int_equal (quince_batch_log_get_epoch (world->log, 2), 3);
  assert_memory_equal (quince_batch_log_get_persistent_state (world->log), &kept, sizeof kept);
  assert_int_equal (quince_batch_log_get_commit_index (world->log), 2);
}

static void
test_append_with_other_epoch_truncates (void **state)
{
  World *world = *state;
  for (guint64 index = 1; index <= 5; index++)
    append_bytes (world, index, 1, (char *)"old", 3);
  append_bytes (world, 3, 2, (char *)"newer", 5);
  assert_int_equal (quince_batch_log_get_last_index (world->log), 3);
  assert_int_equal (get_record_length (world, 2), 3);
  assert_int_equal (get_record_length (world, 3), 5);
}

static void
test_unreadable_file_is_replaced (void **state)
{
  World *world = *state;
  guint64 replica = quince_batch_log_get_replica_id (world->log);
  append_bytes (world, 1, 1, (char *)"one", 3);
  quince_batch_log_close (world->log);
  g_autofree char *path = g_build_filename (world->folder, "batches.sqlite", NULL);
  assert_true (g_file_set_contents (path, "this is no database at all, but it is long enough", -1, NULL));
  open_log (world, TRUE);
  assert_int_equal (quince_batch_log_get_last_index (world->log), 0);
  assert_int_not_equal (quince_batch_log_get_replica_id (world->log), replica);
}

static void
test_compact_clears_forgotten_records (void **state)
{
  World *world = *state;
  guint64 compacted = 0;
  guint64 kept = append_batch_record (world, "kept");
  guint64 gone = append_batch_record (world, "gone");
  guint64 forget = append_forget (world, &gone, 1);
  assert_true (quince_batch_log_compact (world->log, &compacted, 100, NULL));
  assert_int_equal (compacted, forget);
  assert_true (get_record_length (world, kept) > BODY_BYTES);
  assert_int_equal (get_record_length (world, gone), 0);
  assert_true (get_record_length (world, forget) > 0);
  assert_int_equal (quince_batch_log_get_epoch (world->log, gone), 1);
}

/* Only what is committed forgets, at most so many records a call, and no record behind the FORGET. */
static void
test_compact_respects_limits (void **state)
{
  World *world = *state;
  guint64 compacted = 0;
  guint64 first = append_batch_record (world, "first");
  guint64 later = first + 2;
  guint64 indexes[] = { first, later };
  guint64 forget = append_forget (world, indexes, 2);
  assert_int_equal (append_batch_record (world, "later"), later);
  assert_true (quince_batch_log_compact (world->log, &compacted, 1, NULL));
  assert_int_equal (compacted, first);
  assert_true (get_record_length (world, first) > 0);
  assert_true (quince_batch_log_compact (world->log, &compacted, 1, NULL));
  assert_int_equal (compacted, forget);
  assert_int_equal (get_record_length (world, first), 0);
  assert_true (get_record_length (world, later) > 0);
}

static void
test_compact_ignores_uncommitted_forget (void **state)
{
  World *world = *state;
  guint64 compacted = 0;
  guint64 batch = append_batch_record (world, "b");
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_FORGET };
  record.QuinceBatchRecord_u.forget.batch = (char *)"b";
  record.QuinceBatchRecord_u.forget.indexes.indexes_val = &batch;
  record.QuinceBatchRecord_u.forget.indexes.indexes_len = 1;
  g_autoptr (GBytes) encoded = quince_batch_record_encode (&record, NULL);
  QuinceLogEntry entry = { .index = batch + 1, .epoch = 1 };
  entry.record.record_val = (char *)g_bytes_get_data (encoded, NULL);
  entry.record.record_len = (u_int)g_bytes_get_size (encoded);
  assert_true (quince_batch_log_append (world->log, &entry, 1, FALSE, entry.index, batch, NULL));
  assert_true (quince_batch_log_compact (world->log, &compacted, 100, NULL));
  assert_int_equal (compacted, batch);
  assert_true (get_record_length (world, batch) > 0);
}

/* Batches come and go: the file does not grow with their number. */
static void
test_database_size_is_bounded (void **state)
{
  World *world = *state;
  guint64 compacted = 0;
  goffset after_first = 0;
  for (guint batch = 0; batch < 20; batch++)
    {
      guint64 indexes[ITEMS];
      for (guint i = 0; i < ITEMS; i++)
        indexes[i] = append_batch_record (world, "b");
      append_forget (world, indexes, ITEMS);
      assert_true (quince_batch_log_compact (world->log, &compacted, 100, NULL));
      if (batch == 0)
        after_first = get_database_bytes (world);
    }
  assert_true (get_database_bytes (world) < 2 * after_first);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_reopen_keeps_records_and_state, setup, teardown),
    cmocka_unit_test_setup_teardown (test_append_with_other_epoch_truncates, setup, teardown),
    cmocka_unit_test_setup_teardown (test_unreadable_file_is_replaced, setup, teardown),
    cmocka_unit_test_setup_teardown (test_compact_clears_forgotten_records, setup, teardown),
    cmocka_unit_test_setup_teardown (test_compact_respects_limits, setup, teardown),
    cmocka_unit_test_setup_teardown (test_compact_ignores_uncommitted_forget, setup, teardown),
    cmocka_unit_test_setup_teardown (test_database_size_is_bounded, setup, teardown),
  };
  return cmocka_run_group_tests_name ("batch-log", tests, NULL, NULL);
}
