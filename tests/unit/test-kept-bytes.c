/*
 * test-kept-bytes.c: messages and stored data stay compatible with earlier versions, byte for byte.
 *
 * An earlier version wrote fixtures/kept-bytes.txt and fixtures/kept-log.  During a rolling upgrade its
 * fronts and replicas exchange messages with newer ones, and newer replicas open its data folders.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib/gstdio.h>
#include <string.h>

#include "batchlog/batch-log.h"
#include "runtime/packed-message.h"

#include "kept-values.h"

#define LOG_FILE "batches.sqlite"
/* Epoch, commit index and persistent state of the log in fixtures/kept-log. */
#define LOG_EPOCH 3
#define LOG_COMMIT 8
#define LOG_PROMISED 31
#define LOG_NOTED 32
#define LOG_ORDERED 33
/* Text of fixture packed-record, long enough that the record is compressed. */
#define PACKED_TEXT_BYTES 4000

static GHashTable *fixtures; /* name to GBytes; owns both */

/* ---- Fixtures --------------------------------------------------------------- */

static char *
fixture_path (const char *name)
{
  return g_build_filename (g_getenv ("QUINCE_SOURCE_DIR"), "tests", "unit", "fixtures", name, NULL);
}

static GBytes *
parse_hex (const char *text)
{
  gsize length = strlen (text) / 2;
  guint8 *bytes = g_malloc (length + 1);
  for (gsize i = 0; i < length; i++)
    bytes[i] = (guint8)(g_ascii_xdigit_value (text[2 * i]) << 4 | g_ascii_xdigit_value (text[2 * i + 1]));
  return g_bytes_new_take (bytes, length);
}

/* Each line holds a name and bytes in hexadecimal. */
static int
read_fixtures (void **state)
{
  g_autofree char *path = fixture_path ("kept-bytes.txt");
  g_autofree char *text = NULL;
  assert_true (g_file_get_contents (path, &text, NULL, NULL));
  fixtures = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
  g_auto (GStrv) lines = g_strsplit (g_strchomp (text), "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      g_auto (GStrv) words = g_strsplit (lines[i], " ", 2);
      assert_int_equal (g_strv_length (words), 2);
      g_hash_table_insert (fixtures, g_strdup (words[0]), parse_hex (words[1]));
    }
  return 0;
}

static int
free_fixtures (void **state)
{
  g_clear_pointer (&fixtures, g_hash_table_unref);
  return 0;
}

static GBytes *get_fixture (const char *format, ...) G_GNUC_PRINTF (1, 2);

static GBytes *
get_fixture (const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  g_autofree char *name = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  GBytes *bytes = g_hash_table_lookup (fixtures, name);
  if (bytes == NULL)
    fail_msg ("no fixture '%s'", name);
  return bytes;
}

/* Asserts that @stored decodes and encodes again to the same bytes, and that @value encodes to them too. */
static void
assert_same_encoding (GBytes *stored, xdrproc_t proc, gsize size, gconstpointer value)
{
  gsize length;
  gconstpointer data = g_bytes_get_data (stored, &length);
  gpointer decoded = quince_xdr_decode (proc, size, data, length, NULL);
  assert_non_null (decoded);
  g_autoptr (GBytes) reencoded = quince_xdr_encode (proc, decoded, NULL);
  g_autoptr (GBytes) expected = quince_xdr_encode (proc, value, NULL);
  quince_xdr_free (proc, decoded);
  assert_non_null (reencoded);
  assert_non_null (expected);
  assert_true (g_bytes_equal (stored, reencoded));
  assert_true (g_bytes_equal (stored, expected));
}

/* ---- Messages ---------------------------------------------------------------- */

/* Fronts and replicas send the message kinds 11 to 34. */
static void
test_message_encoding (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (expected_messages); i++)
    {
      assert_int_equal (expected_messages[i].kind, 11 + i);
      assert_same_encoding (get_fixture ("message-%d", (int)expected_messages[i].kind),
                            (xdrproc_t)xdr_QuinceMessage, sizeof (QuinceMessage), &expected_messages[i]);
    }
  assert_int_equal (expected_messages[G_N_ELEMENTS (expected_messages) - 1].kind, 34);
}

static void
test_decoded_message_fields (void **state)
{
  gsize length;
  gconstpointer data = g_bytes_get_data (get_fixture ("message-34"), &length);
  g_autoptr (QuinceMessage) message = quince_message_decode (data, length, NULL);
  assert_non_null (message);
  const QuinceLedgerLead *lead = &message->QuinceMessage_u.ledger_lead;
  assert_int_equal (lead->view.epoch, 21);
  assert_int_equal (lead->view.members.members_len, 2);
  assert_string_equal (lead->view.members.members_val[1].address, "10.0.0.2:7000");
  assert_int_equal (lead->promised_to, 4);
  assert_int_equal (lead->shown_primary, 8);
  assert_true (lead->shown_answers);
  data = g_bytes_get_data (get_fixture ("message-26"), &length);
  g_autoptr (QuinceMessage) suspect_message = quince_message_decode (data, length, NULL);
  assert_non_null (suspect_message);
  const QuinceSuspectReport *suspect = suspect_message->QuinceMessage_u.suspect_news.suspects.suspects_val;
  assert_string_equal (suspect->software, "engine-1.2");
  assert_int_equal (suspect->workers.workers_val[1], 14);
  assert_true (suspect->prompt);
  assert_int_equal (suspect->member, 17);
}

/* ---- Stored data -------------------------------------------------------------- */

static void
test_record_encoding (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (expected_records); i++)
    {
      assert_int_equal (expected_records[i].kind, i);
      assert_same_encoding (get_fixture ("record-%u", i), (xdrproc_t)xdr_QuinceBatchRecord,
                            sizeof (QuinceBatchRecord), &expected_records[i]);
    }
  assert_same_encoding (get_fixture ("view"), (xdrproc_t)xdr_QuinceLedgerView, sizeof (QuinceLedgerView),
                        &expected_view);
  assert_same_encoding (get_fixture ("result"), (xdrproc_t)xdr_QuinceBatchResult, sizeof (QuinceBatchResult),
                        &expected_result);
}

/* The record of orders came after the fixtures were written, and its kind is the one after theirs. */
static void
test_order_record_encoding (void **state)
{
  char *workers[] = { (char *)"w1", (char *)"w-22" };
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_ORDERS };
  record.QuinceBatchRecord_u.orders.workers.workers_val = workers;
  record.QuinceBatchRecord_u.orders.workers.workers_len = G_N_ELEMENTS (workers);
  assert_int_equal (QUINCE_BATCH_RECORD_ORDERS, G_N_ELEMENTS (expected_records));
  g_autoptr (GBytes) bytes = parse_hex ("0000000900000002000000027731000000000004772d3232");
  assert_same_encoding (bytes, (xdrproc_t)xdr_QuinceBatchRecord, sizeof record, &record);
}

/* Compressed bytes depend on the version of zlib, so the record is only decoded, not encoded again. */
static void
test_unpack_compressed_record (void **state)
{
  gsize length;
  gconstpointer data = g_bytes_get_data (get_fixture ("packed-record"), &length);
  assert_true (length < PACKED_TEXT_BYTES);
  g_autoptr (QuinceBatchRecord) record = quince_batch_record_unpack (data, length, NULL);
  assert_non_null (record);
  assert_int_equal (record->kind, QUINCE_BATCH_RECORD_RESULT);
  assert_int_equal (record->QuinceBatchRecord_u.result.text.text_len, PACKED_TEXT_BYTES);
  assert_string_equal (record->QuinceBatchRecord_u.result.score, "0.5");
}

/* ---- The log ------------------------------------------------------------------- */

typedef struct
{
  guint n_checked;
} EntryCheck;

static gboolean
check_entry (const QuinceLogEntry *entry, gpointer data)
{
  EntryCheck *check = data;
  assert_true (check->n_checked < G_N_ELEMENTS (expected_records));
  assert_int_equal (entry->index, check->n_checked + 1);
  assert_int_equal (entry->epoch, LOG_EPOCH);
  g_autoptr (GBytes) bytes = g_bytes_new (entry->record.record_val, entry->record.record_len);
  assert_same_encoding (bytes, (xdrproc_t)xdr_QuinceBatchRecord, sizeof (QuinceBatchRecord),
                        &expected_records[check->n_checked]);
  check->n_checked++;
  return TRUE;
}

/* A log of an earlier version opens with its replica id, persistent state and records. */
static void
test_open_log_of_earlier_version (void **state)
{
  g_autofree char *folder = g_dir_make_tmp ("quince-kept-log-XXXXXX", NULL);
  g_autofree char *source_path = fixture_path ("kept-log/" LOG_FILE);
  g_autofree char *log_path = g_build_filename (folder, LOG_FILE, NULL);
  g_autofree char *text = NULL;
  gsize length;
  assert_true (g_file_get_contents (source_path, &text, &length, NULL));
  assert_true (g_file_set_contents (log_path, text, (gssize)length, NULL));
  gboolean was_empty = TRUE;
  QuinceBatchLog *log = quince_batch_log_open (folder, &was_empty, NULL);
  assert_non_null (log);
  assert_false (was_empty);
  g_autofree char *replica_id = g_strdup_printf ("%" G_GUINT64_FORMAT, quince_batch_log_get_replica_id (log));
  g_autofree char *expected_replica_id = g_strndup (g_bytes_get_data (get_fixture ("log-replica"), NULL),
                                                    g_bytes_get_size (get_fixture ("log-replica")));
  assert_string_equal (replica_id, expected_replica_id);
  assert_int_equal (quince_batch_log_get_last_index (log), G_N_ELEMENTS (expected_records));
  assert_int_equal (quince_batch_log_get_commit_index (log), LOG_COMMIT);
  const QuinceLedgerPersistentState *persistent_state = quince_batch_log_get_persistent_state (log);
  assert_int_equal (persistent_state->promised, LOG_PROMISED);
  assert_int_equal (persistent_state->noted, LOG_NOTED);
  assert_int_equal (persistent_state->ordered, LOG_ORDERED);
  EntryCheck check = { 0 };
  assert_true (quince_batch_log_foreach (log, 1, check_entry, &check, NULL));
  assert_int_equal (check.n_checked, G_N_ELEMENTS (expected_records));
  quince_batch_log_close (log);
  static const char *const suffixes[] = { "", "-wal", "-shm", "-journal" };
  for (guint i = 0; i < G_N_ELEMENTS (suffixes); i++)
    {
      g_autofree char *file = g_strconcat (log_path, suffixes[i], NULL);
      g_remove (file);
    }
  g_rmdir (folder);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_message_encoding),         cmocka_unit_test (test_decoded_message_fields),
    cmocka_unit_test (test_record_encoding),          cmocka_unit_test (test_order_record_encoding),
    cmocka_unit_test (test_unpack_compressed_record), cmocka_unit_test (test_open_log_of_earlier_version),
  };
  return cmocka_run_group_tests_name ("kept-bytes", tests, read_fixtures, free_fixtures);
}
