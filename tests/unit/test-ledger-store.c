/* test-ledger-store.c: what the ledger's disk keeps, and what it refuses. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "../../lib/ledger/ledger-private.h"
#include "../../lib/ledger/ledger-store.h"
#include "ledger-files.h"

static QuinceReplica voter = { 5, "n1", "z1", "10.0.0.1:7000" };

static int
make_folder (void **state)
{
  *state = g_dir_make_tmp ("quince-ledger-XXXXXX", NULL);
  return *state == NULL;
}

static int
remove_folder (void **state)
{
  g_autofree char *copy = g_build_filename (*state, "copy", NULL);

  ledger_files_remove (copy);
  ledger_files_remove (*state);
  g_free (*state);
  return 0;
}

static QuinceLedgerStore *
open_store (const char *folder, QuinceLedgerContents **contents)
{
  g_autoptr (GError) error = NULL;
  QuinceLedgerStore *store = quince_ledger_store_open (folder, contents, &error);

  assert_null (error);
  assert_non_null (store);
  return store;
}

/* Puts entries @first to @last of @epoch, each with its index as data. */
static void
put_entries (QuinceLedgerStore *store, guint64 first, guint64 last, guint64 epoch)
{
  g_autoptr (GPtrArray) entries = g_ptr_array_new_with_free_func (g_free);
  guint64 indexes[64];

  for (guint64 index = first; index <= last; index++)
    {
      QuinceEntry *entry = g_new0 (QuinceEntry, 1);

      indexes[index - first] = index;
      *entry = (QuinceEntry){
        index, epoch, QUINCE_ENTRY_RECORD, { sizeof index, (char *)&indexes[index - first] }
      };
      g_ptr_array_add (entries, entry);
    }
  assert_true (quince_ledger_store_put_entries (store, entries, NULL));
}

static void
put_snapshot (QuinceLedgerStore *store, guint64 index, guint64 epoch, gboolean reset)
{
  QuinceReplicaSet voters = { { 1, &voter } };
  g_autoptr (GBytes) data = g_bytes_new_static ("book", 4);

  assert_true (quince_ledger_store_put_snapshot (store, index, epoch, &voters, data, reset, NULL));
}

static void
check_entry (const QuinceLedgerContents *contents, guint at, guint64 index, guint64 epoch)
{
  const QuinceEntry *entry = g_ptr_array_index (contents->entries, at);

  assert_int_equal (entry->index, index);
  assert_int_equal (entry->epoch, epoch);
  assert_int_equal (entry->data.data_len, sizeof index);
  assert_memory_equal (entry->data.data_val, &index, sizeof index);
}

static void
test_reopen_keeps_everything (void **state)
{
  g_autoptr (QuinceLedgerContents) before = NULL;
  g_autoptr (QuinceLedgerContents) after = NULL;
  g_autoptr (QuinceLedgerStore) store = open_store (*state, &before);

  assert_int_not_equal (before->replica_id, 0);
  assert_null (before->snapshot_voters);
  assert_true (quince_ledger_store_begin (store, NULL));
  assert_true (quince_ledger_store_put_vote (store, 7, G_MAXUINT64, NULL));
  put_snapshot (store, 2, 3, TRUE);
  put_entries (store, 3, 6, 4);
  /* Truncates from 5 on. */
  put_entries (store, 5, 5, 7);
  assert_true (quince_ledger_store_commit (store, NULL));
  g_clear_pointer (&store, quince_ledger_store_close);

  store = open_store (*state, &after);
  assert_int_equal (after->replica_id, before->replica_id);
  assert_int_equal (after->epoch, 7);
  assert_int_equal (after->voted_for, G_MAXUINT64);
  assert_int_equal (after->snapshot_index, 2);
  assert_int_equal (after->snapshot_epoch, 3);
  assert_string_equal (after->snapshot_voters->voters.voters_val[0].address, voter.address);
  assert_int_equal (g_bytes_get_size (after->snapshot), 4);
  assert_int_equal (after->entries->len, 3);
  check_entry (after, 0, 3, 4);
  check_entry (after, 1, 4, 4);
  check_entry (after, 2, 5, 7);
}

static void
test_compaction_keeps_the_tail (void **state)
{
  g_autoptr (QuinceLedgerContents) before = NULL;
  g_autoptr (QuinceLedgerContents) after = NULL;
  g_autoptr (QuinceLedgerStore) store = open_store (*state, &before);

  assert_true (quince_ledger_store_begin (store, NULL));
  put_entries (store, 1, 9, 1);
  put_snapshot (store, 6, 1, FALSE);
  assert_true (quince_ledger_store_commit (store, NULL));
  g_clear_pointer (&store, quince_ledger_store_close);
  store = open_store (*state, &after);
  assert_int_equal (after->snapshot_index, 6);
  assert_int_equal (after->entries->len, 3);
  check_entry (after, 0, 7, 1);
}

static void
test_killed_before_and_after_commit (void **state)
{
  g_autoptr (QuinceLedgerContents) before = NULL;
  g_autoptr (QuinceLedgerStore) store = open_store (*state, &before);

  for (guint committed = 0; committed < 2; committed++)
    {
      g_autofree char *copy = g_build_filename (*state, "copy", NULL);
      g_autoptr (QuinceLedgerContents) after = NULL;
      g_autoptr (QuinceLedgerStore) reopened = NULL;

      if (!committed)
        {
          assert_true (quince_ledger_store_begin (store, NULL));
          put_entries (store, 1, 3, 1);
        }
      else
        assert_true (quince_ledger_store_commit (store, NULL));
      ledger_files_copy (*state, copy);
      reopened = open_store (copy, &after);
      assert_int_equal (after->replica_id, before->replica_id);
      assert_int_equal (after->entries->len, committed ? 3 : 0);
    }
}

static void
test_second_opener_is_kept_out (void **state)
{
  g_autoptr (QuinceLedgerContents) contents = NULL;
  g_autoptr (QuinceLedgerContents) none = NULL;
  g_autoptr (QuinceLedgerStore) store = open_store (*state, &contents);
  g_autoptr (GError) error = NULL;

  assert_null (quince_ledger_store_open (*state, &none, &error));
  assert_true (g_error_matches (error, QUINCE_LEDGER_ERROR, QUINCE_LEDGER_ERROR_OPEN));
}

static void
test_folder_that_cannot_be_made (void **state)
{
  g_autofree char *file = g_build_filename (*state, "ledger.sqlite", NULL);
  g_autofree char *folder = g_build_filename (file, "folder", NULL);
  g_autoptr (QuinceLedgerContents) none = NULL;
  g_autoptr (GError) error = NULL;

  assert_true (g_file_set_contents (file, "x", 1, NULL));
  assert_null (quince_ledger_store_open (folder, &none, &error));
  assert_true (g_error_matches (error, QUINCE_LEDGER_ERROR, QUINCE_LEDGER_ERROR_OPEN));
}

/* How the closed file is harmed. */
static const struct
{
  const char *name;
  const char *find; /* bytes to change in every place; NULL: cut the file   */
  gsize keep;       /* bytes that stay when it is cut                       */
  gsize offset;     /* first byte that may change                           */
} damages[] = {
  { "cut inside the first page", NULL, 600, 0 },
  { "cut after the first page", NULL, 4096, 0 },
  { "no database", "SQLite format 3", 0, 0 },
  { "entry's data changed", "entry-data-to-find", 0, 4096 },
  { "snapshot's data changed", "snapshot-data-to-find", 0, 4096 },
  { "snapshot's voters changed", "voter-to-find", 0, 4096 },
};

static void
harm (const char *path, gsize row)
{
  g_autofree char *data = NULL;
  gsize length = 0;
  gsize hits = 0;

  assert_true (g_file_get_contents (path, &data, &length, NULL));
  if (damages[row].find == NULL)
    {
      assert_true (length > damages[row].keep);
      assert_true (g_file_set_contents (path, data, (gssize)damages[row].keep, NULL));
      return;
    }
  for (gsize at = damages[row].offset; at + strlen (damages[row].find) <= length; at++)
    if (memcmp (data + at, damages[row].find, strlen (damages[row].find)) == 0)
      {
        data[at]++;
        hits++;
      }
  assert_true (hits > 0);
  assert_true (g_file_set_contents (path, data, (gssize)length, NULL));
}

static void
write_findable (QuinceLedgerStore *store)
{
  char text[] = "entry-data-to-find";
  QuinceEntry entry = { 2, 1, QUINCE_ENTRY_RECORD, { sizeof text, text } };
  QuinceReplica findable = { 5, "voter-to-find", "z1", "10.0.0.1:7000" };
  QuinceReplicaSet voters = { { 1, &findable } };
  g_autoptr (GBytes) data = g_bytes_new_static ("snapshot-data-to-find", 21);
  g_autoptr (GPtrArray) entries = g_ptr_array_new ();

  g_ptr_array_add (entries, &entry);
  assert_true (quince_ledger_store_begin (store, NULL));
  assert_true (quince_ledger_store_put_snapshot (store, 1, 1, &voters, data, TRUE, NULL));
  assert_true (quince_ledger_store_put_entries (store, entries, NULL));
  assert_true (quince_ledger_store_commit (store, NULL));
}

static void
test_damage_is_refused (void **state)
{
  for (gsize row = 0; row < G_N_ELEMENTS (damages); row++)
    {
      g_autofree char *path = g_build_filename (*state, "ledger.sqlite", NULL);
      g_autoptr (QuinceLedgerContents) contents = NULL;
      g_autoptr (QuinceLedgerContents) none = NULL;
      g_autoptr (GError) error = NULL;

      g_remove (path);
      {
        g_autoptr (QuinceLedgerStore) store = open_store (*state, &contents);

        write_findable (store);
      }
      harm (path, row);
      print_message ("damage: %s\n", damages[row].name);
      assert_null (quince_ledger_store_open (*state, &none, &error));
      assert_true (g_error_matches (error, QUINCE_LEDGER_ERROR, QUINCE_LEDGER_ERROR_CORRUPT));
    }
}

static void
test_snapshots_follow_the_book (void **state)
{
  static const struct
  {
    guint64 records, record_bytes, snapshot_bytes;
    gboolean due;
  } cases[] = {
    { 4095, 1 << 30, 0, FALSE },
    { 4096, 0, 0, TRUE },
    { 4096, 1 << 20, 4 << 20, TRUE },
    { 4096, (1 << 20) - 1, 4 << 20, FALSE },
    { 270000, (8 << 20) - 1, 1 << 30, FALSE },
    { 270000, 8 << 20, 1 << 30, TRUE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    if (quince_ledger_snapshot_is_due (cases[i].records, cases[i].record_bytes, cases[i].snapshot_bytes)
        != cases[i].due)
      fail_msg ("case %u", i);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_reopen_keeps_everything, make_folder, remove_folder),
    cmocka_unit_test_setup_teardown (test_compaction_keeps_the_tail, make_folder, remove_folder),
    cmocka_unit_test_setup_teardown (test_killed_before_and_after_commit, make_folder, remove_folder),
    cmocka_unit_test_setup_teardown (test_second_opener_is_kept_out, make_folder, remove_folder),
    cmocka_unit_test_setup_teardown (test_folder_that_cannot_be_made, make_folder, remove_folder),
    cmocka_unit_test_setup_teardown (test_damage_is_refused, make_folder, remove_folder),
    cmocka_unit_test (test_snapshots_follow_the_book),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
