/* ledger-store.c: vote, log entries and snapshot in one SQLite file. */
#include "ledger-store.h"

#include <errno.h>
#include <glib/gstdio.h>
#include <quince/request-id.h>
#include <sqlite3.h>
#include <string.h>

G_DEFINE_QUARK (quince - ledger - error - quark, quince_ledger_error)

#define STORE_FILE "ledger.sqlite"
#define STORE_VERSION 1

typedef enum
{
  STATEMENT_PUT_META,
  STATEMENT_DELETE_FROM,
  STATEMENT_DELETE_THROUGH,
  STATEMENT_PUT_ENTRY,
  STATEMENT_PUT_SNAPSHOT,
  N_STATEMENTS
} Statement;

static const char *const statement_texts[N_STATEMENTS] = {
  [STATEMENT_PUT_META] = "INSERT OR REPLACE INTO meta VALUES (1, ?1, ?2, ?3, ?4, ?5)",
  [STATEMENT_DELETE_FROM] = "DELETE FROM entries WHERE position >= ?1",
  [STATEMENT_DELETE_THROUGH] = "DELETE FROM entries WHERE position <= ?1",
  [STATEMENT_PUT_ENTRY] = "INSERT INTO entries VALUES (?1, ?2, ?3, ?4, ?5)",
  [STATEMENT_PUT_SNAPSHOT] = "INSERT OR REPLACE INTO snapshot VALUES (1, ?1, ?2, ?3, ?4, ?5)",
};

/*
 * Exclusive locking keeps a second process out, and keeps the index of the
 * write-ahead log in this process's heap instead of a shared mapping; it must
 * be set before the journal mode.
 */
static const char schema_text[]
    = "PRAGMA locking_mode = EXCLUSIVE;"
      "PRAGMA journal_mode = WAL;"
      "PRAGMA synchronous = FULL;"
      "BEGIN IMMEDIATE;"
      "CREATE TABLE IF NOT EXISTS meta (id INTEGER PRIMARY KEY, version INTEGER NOT NULL, replica_id INTEGER "
      "NOT NULL,"
      " epoch INTEGER NOT NULL, voted_for INTEGER NOT NULL, checksum INTEGER NOT NULL);"
      "CREATE TABLE IF NOT EXISTS entries (position INTEGER PRIMARY KEY, epoch INTEGER NOT NULL, kind "
      "INTEGER NOT NULL,"
      " data BLOB NOT NULL, checksum INTEGER NOT NULL);"
      "CREATE TABLE IF NOT EXISTS snapshot (id INTEGER PRIMARY KEY, position INTEGER NOT NULL, epoch INTEGER "
      "NOT NULL,"
      " voters BLOB NOT NULL, data BLOB NOT NULL, checksum INTEGER NOT NULL);"
      "COMMIT;";

struct _QuinceLedgerStore
{
  sqlite3 *database;                      /* owned                          */
  sqlite3_stmt *statements[N_STATEMENTS]; /* owned, prepared once           */
  guint64 replica_id;
  guint64 last_index; /* greatest entry stored; 0 none                      */
};

void
quince_ledger_contents_free (QuinceLedgerContents *contents)
{
  g_clear_pointer (&contents->snapshot_voters, quince_replica_set_free);
  g_clear_pointer (&contents->snapshot, g_bytes_unref);
  g_ptr_array_unref (contents->entries);
  g_free (contents);
}

/* ---- Errors and checksums ------------------------------------------- */

static gboolean
fail_sqlite (QuinceLedgerStore *store, const char *doing, GError **error)
{
  int status = sqlite3_errcode (store->database) & 0xff;
  gboolean corrupt = status == SQLITE_CORRUPT || status == SQLITE_NOTADB || status == SQLITE_FORMAT;

  g_set_error (error, QUINCE_LEDGER_ERROR, corrupt ? QUINCE_LEDGER_ERROR_CORRUPT : QUINCE_LEDGER_ERROR_OPEN,
               "%s: %s", doing, sqlite3_errmsg (store->database));
  return FALSE;
}

static gboolean
fail_corrupt (const char *what, GError **error)
{
  g_set_error (error, QUINCE_LEDGER_ERROR, QUINCE_LEDGER_ERROR_CORRUPT, "%s does not pass its check", what);
  return FALSE;
}

static guint64
checksum_of (const guint64 *numbers, gsize n_numbers, gconstpointer data, gsize length)
{
  guint64 seed = quince_hash64 (numbers, n_numbers * sizeof numbers[0], STORE_VERSION);

  return quince_hash64 (length > 0 ? data : "", length, seed);
}

/* ---- Statements ----------------------------------------------------- */

static void
bind_number (sqlite3_stmt *statement, int position, guint64 number)
{
  sqlite3_bind_int64 (statement, position, (sqlite3_int64)number);
}

static void
bind_blob (sqlite3_stmt *statement, int position, gconstpointer data, gsize length)
{
  /* A NULL pointer would bind SQL's NULL. */
  sqlite3_bind_blob64 (statement, position, length > 0 ? data : "", length, SQLITE_STATIC);
}

static gboolean
run_statement (QuinceLedgerStore *store, Statement which, GError **error)
{
  sqlite3_stmt *statement = store->statements[which];
  gboolean done = sqlite3_step (statement) == SQLITE_DONE;

  if (!done)
    fail_sqlite (store, statement_texts[which], error);
  sqlite3_reset (statement);
  sqlite3_clear_bindings (statement);
  return done;
}

static gboolean
run_text (QuinceLedgerStore *store, const char *text, GError **error)
{
  if (sqlite3_exec (store->database, text, NULL, NULL, NULL) == SQLITE_OK)
    return TRUE;
  return fail_sqlite (store, "execute", error);
}

/* ---- Reading -------------------------------------------------------- */

static guint64
column_number (sqlite3_stmt *statement, int column)
{
  return (guint64)sqlite3_column_int64 (statement, column);
}

/* Calls @read for each row. */
static gboolean
read_rows (QuinceLedgerStore *store,
           const char *text,
           gboolean (*read) (sqlite3_stmt *row, QuinceLedgerContents *contents, GError **error),
           QuinceLedgerContents *contents,
           GError **error)
{
  sqlite3_stmt *statement = NULL;
  gboolean done = TRUE;
  int status;

  if (sqlite3_prepare_v2 (store->database, text, -1, &statement, NULL) != SQLITE_OK)
    return fail_sqlite (store, "read", error);
  while (done && (status = sqlite3_step (statement)) == SQLITE_ROW)
    done = read (statement, contents, error);
  if (done && status != SQLITE_DONE)
    done = fail_sqlite (store, "read", error);
  sqlite3_finalize (statement);
  return done;
}

static gboolean
read_meta (sqlite3_stmt *row, QuinceLedgerContents *contents, GError **error)
{
  guint64 numbers[4];

  for (int i = 0; i < 4; i++)
    numbers[i] = column_number (row, i);
  if (checksum_of (numbers, G_N_ELEMENTS (numbers), NULL, 0) != column_number (row, 4))
    return fail_corrupt ("meta", error);
  if (numbers[0] != STORE_VERSION)
    {
      g_set_error (error, QUINCE_LEDGER_ERROR, QUINCE_LEDGER_ERROR_OPEN,
                   "format %" G_GUINT64_FORMAT " is not format %d", numbers[0], STORE_VERSION);
      return FALSE;
    }
  contents->replica_id = numbers[1];
  contents->epoch = numbers[2];
  contents->voted_for = numbers[3];
  return TRUE;
}

static guint64
snapshot_checksum (guint64 index,
                   guint64 epoch,
                   gconstpointer voters,
                   gsize voters_length,
                   gconstpointer data,
                   gsize length)
{
  guint64 numbers[] = { index, epoch, checksum_of (NULL, 0, voters, voters_length) };

  return checksum_of (numbers, G_N_ELEMENTS (numbers), data, length);
}

static gboolean
read_snapshot (sqlite3_stmt *row, QuinceLedgerContents *contents, GError **error)
{
  gconstpointer voters = sqlite3_column_blob (row, 2);
  gsize voters_length = sqlite3_column_bytes (row, 2);
  gconstpointer data = sqlite3_column_blob (row, 3);
  gsize length = sqlite3_column_bytes (row, 3);

  contents->snapshot_index = column_number (row, 0);
  contents->snapshot_epoch = column_number (row, 1);
  if (snapshot_checksum (contents->snapshot_index, contents->snapshot_epoch, voters, voters_length, data,
                         length)
      != column_number (row, 4))
    return fail_corrupt ("snapshot", error);
  contents->snapshot_voters = quince_replica_set_decode (voters, voters_length, NULL);
  if (contents->snapshot_voters == NULL)
    return fail_corrupt ("snapshot's voters", error);
  contents->snapshot = g_bytes_new (data, length);
  return TRUE;
}

static gboolean
read_entry (sqlite3_stmt *row, QuinceLedgerContents *contents, GError **error)
{
  guint64 numbers[] = { column_number (row, 0), column_number (row, 1), column_number (row, 2) };
  gconstpointer data = sqlite3_column_blob (row, 3);
  gsize length = sqlite3_column_bytes (row, 3);
  const QuinceEntry *last
      = contents->entries->len > 0 ? g_ptr_array_index (contents->entries, contents->entries->len - 1) : NULL;
  guint64 last_epoch = last != NULL ? last->epoch : contents->snapshot_epoch;
  QuinceEntry *entry;

  if (checksum_of (numbers, G_N_ELEMENTS (numbers), data, length) != column_number (row, 4))
    return fail_corrupt ("entry", error);
  if (numbers[0] != contents->snapshot_index + contents->entries->len + 1 || numbers[1] < last_epoch)
    return fail_corrupt ("order of the entries", error);
  entry = g_new0 (QuinceEntry, 1);
  entry->index = numbers[0];
  entry->epoch = numbers[1];
  entry->kind = (QuinceEntryKind)numbers[2];
  entry->data.data_len = length;
  entry->data.data_val = length > 0 ? g_memdup2 (data, length) : NULL;
  g_ptr_array_add (contents->entries, entry);
  return TRUE;
}

/* ---- Opening -------------------------------------------------------- */

static gboolean
put_meta (QuinceLedgerStore *store, guint64 epoch, guint64 voted_for, GError **error)
{
  sqlite3_stmt *statement = store->statements[STATEMENT_PUT_META];
  guint64 numbers[] = { STORE_VERSION, store->replica_id, epoch, voted_for };

  for (int i = 0; i < 4; i++)
    bind_number (statement, i + 1, numbers[i]);
  bind_number (statement, 5, checksum_of (numbers, G_N_ELEMENTS (numbers), NULL, 0));
  return run_statement (store, STATEMENT_PUT_META, error);
}

static gboolean
read_contents (QuinceLedgerStore *store, QuinceLedgerContents *contents, GError **error)
{
  if (!read_rows (store, "SELECT version, replica_id, epoch, voted_for, checksum FROM meta", read_meta,
                  contents, error)
      || !read_rows (store, "SELECT position, epoch, voters, data, checksum FROM snapshot", read_snapshot,
                     contents, error)
      || !read_rows (store, "SELECT position, epoch, kind, data, checksum FROM entries ORDER BY position",
                     read_entry, contents, error))
    return FALSE;
  if (contents->replica_id == 0 && (contents->snapshot_voters != NULL || contents->entries->len > 0))
    return fail_corrupt ("meta", error);
  store->replica_id = contents->replica_id;
  if (contents->entries->len > 0)
    store->last_index = contents->snapshot_index + contents->entries->len;
  return TRUE;
}

static gboolean
open_database (QuinceLedgerStore *store, const char *folder, GError **error)
{
  g_autofree char *path = g_build_filename (folder, STORE_FILE, NULL);

  if (g_mkdir_with_parents (folder, 0700) != 0)
    {
      g_set_error (error, QUINCE_LEDGER_ERROR, QUINCE_LEDGER_ERROR_OPEN, "%s: %s", folder,
                   g_strerror (errno));
      return FALSE;
    }
  if (sqlite3_open_v2 (path, &store->database,
                       SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX, NULL)
      != SQLITE_OK)
    return fail_sqlite (store, path, error);
  if (!run_text (store, schema_text, error))
    return FALSE;
  for (int i = 0; i < N_STATEMENTS; i++)
    if (sqlite3_prepare_v2 (store->database, statement_texts[i], -1, &store->statements[i], NULL)
        != SQLITE_OK)
      return fail_sqlite (store, statement_texts[i], error);
  return TRUE;
}

QuinceLedgerStore *
quince_ledger_store_open (const char *folder, QuinceLedgerContents **contents, GError **error)
{
  g_autoptr (QuinceLedgerStore) store = g_new0 (QuinceLedgerStore, 1);
  g_autoptr (QuinceLedgerContents) read = g_new0 (QuinceLedgerContents, 1);

  read->entries = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_entry_free);
  if (!open_database (store, folder, error) || !read_contents (store, read, error))
    return NULL;
  if (store->replica_id == 0)
    {
      store->replica_id = read->replica_id = quince_random_u64 ();
      if (!put_meta (store, 0, 0, error))
        return NULL;
    }
  *contents = g_steal_pointer (&read);
  return g_steal_pointer (&store);
}

void
quince_ledger_store_close (QuinceLedgerStore *store)
{
  for (int i = 0; i < N_STATEMENTS; i++)
    sqlite3_finalize (store->statements[i]);
  sqlite3_close (store->database);
  g_free (store);
}

/* ---- Writing -------------------------------------------------------- */

gboolean
quince_ledger_store_begin (QuinceLedgerStore *store, GError **error)
{
  return run_text (store, "BEGIN IMMEDIATE", error);
}

gboolean
quince_ledger_store_commit (QuinceLedgerStore *store, GError **error)
{
  return run_text (store, "COMMIT", error);
}

gboolean
quince_ledger_store_put_vote (QuinceLedgerStore *store, guint64 epoch, guint64 voted_for, GError **error)
{
  return put_meta (store, epoch, voted_for, error);
}

static gboolean
delete_entries (QuinceLedgerStore *store, Statement which, guint64 index, GError **error)
{
  bind_number (store->statements[which], 1, index);
  return run_statement (store, which, error);
}

static gboolean
put_entry (QuinceLedgerStore *store, const QuinceEntry *entry, GError **error)
{
  sqlite3_stmt *statement = store->statements[STATEMENT_PUT_ENTRY];
  guint64 numbers[] = { entry->index, entry->epoch, entry->kind };

  for (int i = 0; i < 3; i++)
    bind_number (statement, i + 1, numbers[i]);
  bind_blob (statement, 4, entry->data.data_val, entry->data.data_len);
  bind_number (statement, 5,
               checksum_of (numbers, G_N_ELEMENTS (numbers), entry->data.data_val, entry->data.data_len));
  return run_statement (store, STATEMENT_PUT_ENTRY, error);
}

gboolean
quince_ledger_store_put_entries (QuinceLedgerStore *store, GPtrArray *entries, GError **error)
{
  const QuinceEntry *first = entries->len > 0 ? g_ptr_array_index (entries, 0) : NULL;

  if (first != NULL && first->index <= store->last_index
      && !delete_entries (store, STATEMENT_DELETE_FROM, first->index, error))
    return FALSE;
  for (guint i = 0; i < entries->len; i++)
    {
      const QuinceEntry *entry = g_ptr_array_index (entries, i);

      if (!put_entry (store, entry, error))
        return FALSE;
      store->last_index = entry->index;
    }
  return TRUE;
}

gboolean
quince_ledger_store_put_snapshot (QuinceLedgerStore *store,
                                  guint64 index,
                                  guint64 epoch,
                                  const QuinceReplicaSet *voters,
                                  GBytes *data,
                                  gboolean reset,
                                  GError **error)
{
  sqlite3_stmt *statement = store->statements[STATEMENT_PUT_SNAPSHOT];
  g_autoptr (GBytes) encoded = quince_replica_set_encode (voters, error);
  gsize voters_length, length;
  gconstpointer voters_data, bytes = g_bytes_get_data (data, &length);

  if (encoded == NULL)
    return FALSE;
  voters_data = g_bytes_get_data (encoded, &voters_length);
  bind_number (statement, 1, index);
  bind_number (statement, 2, epoch);
  bind_blob (statement, 3, voters_data, voters_length);
  bind_blob (statement, 4, bytes, length);
  bind_number (statement, 5, snapshot_checksum (index, epoch, voters_data, voters_length, bytes, length));
  if (!run_statement (store, STATEMENT_PUT_SNAPSHOT, error))
    return FALSE;
  if (!reset)
    return delete_entries (store, STATEMENT_DELETE_THROUGH, index, error);
  store->last_index = 0;
  return delete_entries (store, STATEMENT_DELETE_FROM, 0, error);
}
