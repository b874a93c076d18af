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
note_length (const QuinceLogEntry *entry, gpointer data)
{
  g_array_append_val ((GArray *)data, entry->record.record_len);
  return TRUE;
}

static guint
length_at (World *world, guint64 index)
{
  g_autoptr (GArray) lengths = g_array_new (FALSE, FALSE, sizeof (guint));
  assert_true (quince_batch_log_walk (world->log, 1, note_length, lengths, NULL));
  assert_true (lengths->len >= index);
  return g_array_index (lengths, guint, index - 1);
}

static goffset
disk_bytes (World *world)
{
  GStatBuf status;
  g_autofree char *path = g_build_filename (world->folder, "batches.sqlite", NULL);
  reopen (world); /* writes the write-ahead log into the file */
  assert_int_equal (g_stat (path, &status), 0);
  return status.st_size;
}

static void
test_records_and_promise_survive (void **state)
{
  World *world = *state;
  guint64 replica = quince_batch_log_get_replica (world->log);
  append_bytes (world, 1, 3, (char *)"one", 3);
  append_bytes (world, 2, 3, (char *)"two", 3);
  const QuinceLedgerKept kept = { .promised = 9, .noted = 7, .ordered = 5 };
  assert_true (quince_batch_log_keep (world->log, &kept, NULL));
  reopen (world);
  assert_true (replica != 0);
  assert_int_equal (quince_batch_log_get_replica (world->log), replica);
  assert_int_equal (quince_batch_log_get_last_index (world->log), 2);
  assert_int_equal (quince_batch_log_get_epoch (world->log, 2), 3);
  assert_memory_equal (quince_batch_log_get_kept (world->log), &kept, sizeof kept);
  assert_int_equal (quince_batch_log_get_commit (world->log), 2);
}

static void
test_other_epoch_replaces (void **state)
{
  World *world = *state;
  for (guint64 index = 1; index <= 5; index++)
    append_bytes (world, index, 1, (char *)"old", 3);
  append_bytes (world, 3, 2, (char *)"newer", 5);
  assert_int_equal (quince_batch_log_get_last_index (world->log), 3);
  assert_int_equal (length_at (world, 2), 3);
  assert_int_equal (length_at (world, 3), 5);
}

static void
test_unreadable_file_counts_as_empty (void **state)
{
  World *world = *state;
  guint64 replica = quince_batch_log_get_replica (world->log);
  append_bytes (world, 1, 1, (char *)"one", 3);
  quince_batch_log_close (world->log);
  g_autofree char *path = g_build_filename (world->folder, "batches.sqlite", NULL);
  assert_true (g_file_set_contents (path, "this is no database at all, but it is long enough", -1, NULL));
  open_log (world, TRUE);
  assert_int_equal (quince_batch_log_get_last_index (world->log), 0);
  assert_int_not_equal (quince_batch_log_get_replica (world->log), replica);
}

static void
test_forgotten_records_are_emptied (void **state)
{
  World *world = *state;
  guint64 compacted = 0;
  guint64 kept = append_batch_record (world, "kept");
  guint64 gone = append_batch_record (world, "gone");
  guint64 forget = append_forget (world, &gone, 1);
  assert_true (quince_batch_log_compact (world->log, &compacted, 100, NULL));
  assert_int_equal (compacted, forget);
  assert_true (length_at (world, kept) > BODY_BYTES);
  assert_int_equal (length_at (world, gone), 0);
  assert_true (length_at (world, forget) > 0);
  assert_int_equal (quince_batch_log_get_epoch (world->log, gone), 1);
}

/* Only what is committed forgets, at most so many records a call, and no record behind the FORGET. */
static void
test_compaction_is_bounded (void **state)
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
  assert_true (length_at (world, first) > 0);
  assert_true (quince_batch_log_compact (world->log, &compacted, 1, NULL));
  assert_int_equal (compacted, forget);
  assert_int_equal (length_at (world, first), 0);
  assert_true (length_at (world, later) > 0);
}

static void
test_uncommitted_does_not_forget (void **state)
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
  assert_true (length_at (world, batch) > 0);
}

/* Batches come and go: the file does not grow with their number. */
static void
test_disk_stays_bounded (void **state)
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
        after_first = disk_bytes (world);
    }
  assert_true (disk_bytes (world) < 2 * after_first);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_records_and_promise_survive, setup, teardown),
    cmocka_unit_test_setup_teardown (test_other_epoch_replaces, setup, teardown),
    cmocka_unit_test_setup_teardown (test_unreadable_file_counts_as_empty, setup, teardown),
    cmocka_unit_test_setup_teardown (test_forgotten_records_are_emptied, setup, teardown),
    cmocka_unit_test_setup_teardown (test_compaction_is_bounded, setup, teardown),
    cmocka_unit_test_setup_teardown (test_uncommitted_does_not_forget, setup, teardown),
    cmocka_unit_test_setup_teardown (test_disk_stays_bounded, setup, teardown),
  };
  return cmocka_run_group_tests_name ("batch-log", tests, NULL, NULL);
}
