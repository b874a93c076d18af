/*
 * test-batch-log.c: the batch log on disk: records survive a reopen, records of another epoch replace
 * existing ones, and compaction clears the records of forgotten batches.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib/gstdio.h>
#include <sqlite3.h>
#include <string.h>

#include "batchlog/batch-log.h"

#define RECORD_TEXT_BYTES 50000 /* large, so that cleared records show in the size of the file */
#define RECORDS_PER_BATCH 8

typedef struct
{
  char *folder; /* owned */
  QuinceBatchLog *log;
  guint64 last_index;
} Fixture;

static void
open_log (Fixture *fixture, gboolean expect_empty)
{
  gboolean was_empty = FALSE;
  fixture->log = quince_batch_log_open (fixture->folder, &was_empty, NULL);
  assert_non_null (fixture->log);
  assert_int_equal (was_empty, expect_empty);
}

static void
reopen (Fixture *fixture)
{
  quince_batch_log_close (fixture->log);
  open_log (fixture, FALSE);
}

static int
setup (void **state)
{
  Fixture *fixture = g_new0 (Fixture, 1);
  fixture->folder = g_dir_make_tmp ("quince-batch-log-XXXXXX", NULL);
  open_log (fixture, TRUE);
  *state = fixture;
  return 0;
}

static int
teardown (void **state)
{
  Fixture *fixture = *state;
  quince_batch_log_close (fixture->log);
  static const char *const names[] = { "batches.sqlite", "batches.sqlite-wal", "batches.sqlite-journal" };
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      g_autofree char *path = g_build_filename (fixture->folder, names[i], NULL);
      g_remove (path);
    }
  g_rmdir (fixture->folder);
  g_free (fixture->folder);
  g_free (fixture);
  return 0;
}

static void
append_bytes (Fixture *fixture, guint64 index, guint64 epoch, char *bytes, guint length)
{
  QuinceLogEntry entry = { .index = index, .epoch = epoch };
  entry.record.record_val = bytes;
  entry.record.record_len = length;
  assert_true (quince_batch_log_append (fixture->log, &entry, 1, FALSE, index, index, NULL));
  fixture->last_index = index;
}

static guint64
append_record (Fixture *fixture, const QuinceBatchRecord *record)
{
  g_autoptr (GBytes) encoded = quince_batch_record_encode (record, NULL);
  gsize length;
  const void *bytes = g_bytes_get_data (encoded, &length);
  append_bytes (fixture, fixture->last_index + 1, 1, (char *)bytes, (guint)length);
  return fixture->last_index;
}

/* Appends an END record whose batch id starts with @batch and is padded to RECORD_TEXT_BYTES.  It stands for
 * any record of the batch. */
static guint64
append_batch_record (Fixture *fixture, const char *batch)
{
  g_autofree char *batch_id = g_strnfill (RECORD_TEXT_BYTES, 'x');
  memcpy (batch_id, batch, strlen (batch));
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_END };
  record.QuinceBatchRecord_u.ended = batch_id;
  return append_record (fixture, &record);
}

static guint64
append_forget (Fixture *fixture, guint64 *indexes, guint n_indexes)
{
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_FORGET };
  record.QuinceBatchRecord_u.forget.batch = (char *)"b";
  record.QuinceBatchRecord_u.forget.indexes.indexes_val = indexes;
  record.QuinceBatchRecord_u.forget.indexes.indexes_len = n_indexes;
  return append_record (fixture, &record);
}

static gboolean
collect_length (const QuinceLogEntry *entry, gpointer data)
{
  g_array_append_val ((GArray *)data, entry->record.record_len);
  return TRUE;
}

static guint
get_record_length (Fixture *fixture, guint64 index)
{
  g_autoptr (GArray) lengths = g_array_new (FALSE, FALSE, sizeof (guint));
  assert_true (quince_batch_log_foreach (fixture->log, 1, collect_length, lengths, NULL));
  assert_true (lengths->len >= index);
  return g_array_index (lengths, guint, index - 1);
}

static goffset
get_database_bytes (Fixture *fixture)
{
  GStatBuf status;
  g_autofree char *path = g_build_filename (fixture->folder, "batches.sqlite", NULL);
  reopen (fixture); /* checkpoints the write-ahead log into the database file */
  assert_int_equal (g_stat (path, &status), 0);
  return status.st_size;
}

static void
test_reopen_keeps_records_and_state (void **state)
{
  Fixture *fixture = *state;
  guint64 replica_id = quince_batch_log_get_replica_id (fixture->log);
  append_bytes (fixture, 1, 3, (char *)"one", 3);
  append_bytes (fixture, 2, 3, (char *)"two", 3);
  g_autoptr (GBytes) change = g_bytes_new_static ("change", 6);
  const QuinceLedgerPersistentState saved = { .promised = 9, .noted = 7, .ordered = 5, .change = change };
  assert_true (quince_batch_log_save_persistent_state (fixture->log, &saved, NULL));
  reopen (fixture);
  assert_true (replica_id != 0);
  assert_int_equal (quince_batch_log_get_replica_id (fixture->log), replica_id);
  assert_int_equal (quince_batch_log_get_last_index (fixture->log), 2);
  assert_int_equal (quince_batch_log_get_epoch (fixture->log, 2), 3);
  const QuinceLedgerPersistentState *read = quince_batch_log_get_persistent_state (fixture->log);
  assert_int_equal (read->promised, saved.promised);
  assert_int_equal (read->noted, saved.noted);
  assert_int_equal (read->ordered, saved.ordered);
  assert_true (g_bytes_equal (read->change, change));
  assert_int_equal (quince_batch_log_get_commit_index (fixture->log), 2);
}

static void
test_append_with_other_epoch_truncates (void **state)
{
  Fixture *fixture = *state;
  for (guint64 index = 1; index <= 5; index++)
    append_bytes (fixture, index, 1, (char *)"old", 3);
  append_bytes (fixture, 3, 2, (char *)"newer", 5);
  assert_int_equal (quince_batch_log_get_last_index (fixture->log), 3);
  assert_int_equal (get_record_length (fixture, 2), 3);
  assert_int_equal (get_record_length (fixture, 3), 5);
}

static void
test_unreadable_file_is_replaced (void **state)
{
  Fixture *fixture = *state;
  guint64 replica_id = quince_batch_log_get_replica_id (fixture->log);
  append_bytes (fixture, 1, 1, (char *)"one", 3);
  quince_batch_log_close (fixture->log);
  g_autofree char *path = g_build_filename (fixture->folder, "batches.sqlite", NULL);
  assert_true (g_file_set_contents (path, "this is no database at all, but it is long enough", -1, NULL));
  open_log (fixture, TRUE);
  assert_int_equal (quince_batch_log_get_last_index (fixture->log), 0);
  assert_int_not_equal (quince_batch_log_get_replica_id (fixture->log), replica_id);
}

static void
test_compact_clears_forgotten_records (void **state)
{
  Fixture *fixture = *state;
  guint64 compacted_index = 0;
  guint64 kept_index = append_batch_record (fixture, "kept");
  guint64 forgotten_index = append_batch_record (fixture, "gone");
  guint64 forget_index = append_forget (fixture, &forgotten_index, 1);
  assert_true (quince_batch_log_compact (fixture->log, &compacted_index, 100, NULL));
  assert_int_equal (compacted_index, forget_index);
  assert_true (get_record_length (fixture, kept_index) > RECORD_TEXT_BYTES);
  assert_int_equal (get_record_length (fixture, forgotten_index), 0);
  assert_true (get_record_length (fixture, forget_index) > 0);
  assert_int_equal (quince_batch_log_get_epoch (fixture->log, forgotten_index), 1);
}

/* A call reads at most max_records records, and clears no record behind the FORGET record. */
static void
test_compact_respects_limits (void **state)
{
  Fixture *fixture = *state;
  guint64 compacted_index = 0;
  guint64 first = append_batch_record (fixture, "first");
  guint64 later = first + 2;
  guint64 indexes[] = { first, later };
  guint64 forget_index = append_forget (fixture, indexes, 2);
  assert_int_equal (append_batch_record (fixture, "later"), later);
  assert_true (quince_batch_log_compact (fixture->log, &compacted_index, 1, NULL));
  assert_int_equal (compacted_index, first);
  assert_true (get_record_length (fixture, first) > 0);
  assert_true (quince_batch_log_compact (fixture->log, &compacted_index, 1, NULL));
  assert_int_equal (compacted_index, forget_index);
  assert_int_equal (get_record_length (fixture, first), 0);
  assert_true (get_record_length (fixture, later) > 0);
}

/* Compaction ignores a FORGET record that is not committed, since it may still be replaced. */
static void
test_compact_ignores_uncommitted_forget (void **state)
{
  Fixture *fixture = *state;
  guint64 compacted_index = 0;
  guint64 batch_index = append_batch_record (fixture, "b");
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_FORGET };
  record.QuinceBatchRecord_u.forget.batch = (char *)"b";
  record.QuinceBatchRecord_u.forget.indexes.indexes_val = &batch_index;
  record.QuinceBatchRecord_u.forget.indexes.indexes_len = 1;
  g_autoptr (GBytes) encoded = quince_batch_record_encode (&record, NULL);
  QuinceLogEntry entry = { .index = batch_index + 1, .epoch = 1 };
  entry.record.record_val = (char *)g_bytes_get_data (encoded, NULL);
  entry.record.record_len = (u_int)g_bytes_get_size (encoded);
  assert_true (quince_batch_log_append (fixture->log, &entry, 1, FALSE, entry.index, batch_index, NULL));
  assert_true (quince_batch_log_compact (fixture->log, &compacted_index, 100, NULL));
  assert_int_equal (compacted_index, batch_index);
  assert_true (get_record_length (fixture, batch_index) > 0);
}

/* The file does not grow with the number of forgotten batches. */
static void
test_database_size_is_bounded (void **state)
{
  Fixture *fixture = *state;
  guint64 compacted_index = 0;
  goffset size_after_first_batch = 0;
  for (guint batch = 0; batch < 20; batch++)
    {
      guint64 indexes[RECORDS_PER_BATCH];
      for (guint i = 0; i < RECORDS_PER_BATCH; i++)
        indexes[i] = append_batch_record (fixture, "b");
      append_forget (fixture, indexes, RECORDS_PER_BATCH);
      assert_true (quince_batch_log_compact (fixture->log, &compacted_index, 100, NULL));
      if (batch == 0)
        size_after_first_batch = get_database_bytes (fixture);
    }
  assert_true (get_database_bytes (fixture) < 2 * size_after_first_batch);
}

/* Executes @text in the database of the closed log. */
static void
execute_in_database (Fixture *fixture, const char *text)
{
  g_autofree char *path = g_build_filename (fixture->folder, "batches.sqlite", NULL);
  sqlite3 *database = NULL;
  assert_int_equal (sqlite3_open (path, &database), SQLITE_OK);
  assert_int_equal (sqlite3_exec (database, text, NULL, NULL, NULL), SQLITE_OK);
  sqlite3_close (database);
}

/* A failure between the writes of a noted revision and its change leaves neither on disk: a replica that has
 * noted a change without knowing its views cannot vote. */
static void
test_persistent_state_is_saved_as_a_whole (void **state)
{
  Fixture *fixture = *state;
  quince_batch_log_close (fixture->log);
  execute_in_database (fixture, "CREATE TRIGGER refuse BEFORE INSERT ON meta WHEN NEW.name = 'change'"
                                " BEGIN SELECT RAISE (ABORT, 'refused'); END");
  open_log (fixture, FALSE);
  g_autoptr (GBytes) change = g_bytes_new_static ("change", 6);
  const QuinceLedgerPersistentState saved = { .promised = 7, .noted = 5, .change = change };
  assert_false (quince_batch_log_save_persistent_state (fixture->log, &saved, NULL));
  reopen (fixture);
  const QuinceLedgerPersistentState *read = quince_batch_log_get_persistent_state (fixture->log);
  assert_int_equal (read->noted, 0);
  assert_int_equal (read->promised, 0);
  assert_null (read->change);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_reopen_keeps_records_and_state, setup, teardown),
    cmocka_unit_test_setup_teardown (test_persistent_state_is_saved_as_a_whole, setup, teardown),
    cmocka_unit_test_setup_teardown (test_append_with_other_epoch_truncates, setup, teardown),
    cmocka_unit_test_setup_teardown (test_unreadable_file_is_replaced, setup, teardown),
    cmocka_unit_test_setup_teardown (test_compact_clears_forgotten_records, setup, teardown),
    cmocka_unit_test_setup_teardown (test_compact_respects_limits, setup, teardown),
    cmocka_unit_test_setup_teardown (test_compact_ignores_uncommitted_forget, setup, teardown),
    cmocka_unit_test_setup_teardown (test_database_size_is_bounded, setup, teardown),
  };
  return cmocka_run_group_tests_name ("batch-log", tests, NULL, NULL);
}
