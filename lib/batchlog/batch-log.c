/*
 * batch-log.c: stores the log of the batch ledger in one SQLite database.
 */
#include "batchlog/batch-log.h"

#include <glib/gstdio.h>
#include <sqlite3.h>

#include "runtime/log.h"

#define LOG_FILE "batches.sqlite"

/* Callers do not distinguish failures to open, read and write the file, so one code covers them all. */
#define DISK_ERROR_DOMAIN (g_quark_from_static_string ("quince-batch-log-error"))
#define DISK_ERROR_CODE 0 /* GError code */

/* Exclusive locking keeps the index of the write-ahead log on the heap instead of in a -shm file.  SQLite
 * requires that it is set before the journal mode. */
static const char schema_text[]
    = "PRAGMA locking_mode = EXCLUSIVE;"
      "PRAGMA journal_mode = WAL;"
      "PRAGMA synchronous = FULL;"
      "PRAGMA cache_size = -1024;"
      "BEGIN IMMEDIATE;"
      "CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, number INTEGER NOT NULL);"
      "CREATE TABLE IF NOT EXISTS log (position INTEGER PRIMARY KEY, epoch INTEGER NOT NULL,"
      " record BLOB NOT NULL);"
      "COMMIT;";

typedef enum
{
  STATEMENT_INSERT_RECORD,
  STATEMENT_TRUNCATE, /* deletes the record at an index and all later ones */
  STATEMENT_SELECT_EPOCH,
  STATEMENT_SELECT_LAST_INDEX,
  STATEMENT_SELECT_RECORDS,
  STATEMENT_CLEAR_RECORD,
  STATEMENT_PUT_META,
  STATEMENT_GET_META,
  N_STATEMENTS
} StatementId;

static const char *const statement_texts[N_STATEMENTS] = {
  [STATEMENT_INSERT_RECORD] = "INSERT INTO log VALUES (?1, ?2, ?3)",
  [STATEMENT_TRUNCATE] = "DELETE FROM log WHERE position >= ?1",
  [STATEMENT_SELECT_EPOCH] = "SELECT epoch FROM log WHERE position = ?1",
  [STATEMENT_SELECT_LAST_INDEX] = "SELECT ifnull(max(position), 0) FROM log",
  [STATEMENT_SELECT_RECORDS]
  = "SELECT position, epoch, record FROM log WHERE position >= ?1 ORDER BY position",
  [STATEMENT_CLEAR_RECORD] = "UPDATE log SET record = x'' WHERE position = ?1",
  [STATEMENT_PUT_META] = "INSERT OR REPLACE INTO meta VALUES (?1, ?2)",
  [STATEMENT_GET_META] = "SELECT number FROM meta WHERE name = ?1",
};

/* A record that is in use outside the log. */
typedef struct
{
  QuinceBatchLog *log; /* NULL: closed, or another record took its place there */
  guint64 index;
  guint64 epoch;
  GBytes *bytes; /* not owned */
  gpointer data; /* owned */
} SharedRecord;

struct _QuinceBatchLog
{
  sqlite3 *database;
  sqlite3_stmt *statements[N_STATEMENTS];
  guint64 replica_id;
  guint64 last_index;
  guint64 commit_index;
  QuinceLedgerPersistentState persistent_state;
  SharedRecord *shared; /* not owned; NULL: none is in use */
};

/* ---- Statements ------------------------------------------------------- */

/* Sets @error to SQLite's message.  Returns FALSE. */
static gboolean
set_sqlite_error (QuinceBatchLog *log, const char *operation, GError **error)
{
  g_set_error (error, DISK_ERROR_DOMAIN, DISK_ERROR_CODE, "%s: %s", operation,
               sqlite3_errmsg (log->database));
  return FALSE;
}

static gboolean
execute_sql (QuinceBatchLog *log, const char *text, GError **error)
{
  return sqlite3_exec (log->database, text, NULL, NULL, NULL) == SQLITE_OK
         || set_sqlite_error (log, "execute SQL", error);
}

static gboolean
run_statement (QuinceBatchLog *log, StatementId id, GError **error)
{
  sqlite3_stmt *statement = log->statements[id];
  gboolean done = sqlite3_step (statement) == SQLITE_DONE;
  if (!done)
    set_sqlite_error (log, statement_texts[id], error);
  sqlite3_reset (statement);
  sqlite3_clear_bindings (statement);
  return done;
}

/* Returns the number that the statement yields, or 0 if it yields no row or fails. */
static guint64
query_number (QuinceBatchLog *log, StatementId id)
{
  sqlite3_stmt *statement = log->statements[id];
  guint64 number = sqlite3_step (statement) == SQLITE_ROW ? (guint64)sqlite3_column_int64 (statement, 0) : 0;
  sqlite3_reset (statement);
  sqlite3_clear_bindings (statement);
  return number;
}

static guint64
get_meta (QuinceBatchLog *log, const char *name)
{
  sqlite3_bind_text (log->statements[STATEMENT_GET_META], 1, name, -1, SQLITE_STATIC);
  return query_number (log, STATEMENT_GET_META);
}

static gboolean
put_meta (QuinceBatchLog *log, const char *name, guint64 number, GError **error)
{
  sqlite3_stmt *statement = log->statements[STATEMENT_PUT_META];
  sqlite3_bind_text (statement, 1, name, -1, SQLITE_STATIC);
  sqlite3_bind_int64 (statement, 2, (sqlite3_int64)number);
  return run_statement (log, STATEMENT_PUT_META, error);
}

/* Returns: (transfer full) (nullable): the bytes stored as @name, or %NULL if there are none */
static GBytes *
get_meta_bytes (QuinceBatchLog *log, const char *name)
{
  sqlite3_stmt *statement = log->statements[STATEMENT_GET_META];
  GBytes *bytes = NULL;
  sqlite3_bind_text (statement, 1, name, -1, SQLITE_STATIC);
  if (sqlite3_step (statement) == SQLITE_ROW && sqlite3_column_type (statement, 0) == SQLITE_BLOB)
    bytes = g_bytes_new (sqlite3_column_blob (statement, 0), (gsize)sqlite3_column_bytes (statement, 0));
  sqlite3_reset (statement);
  sqlite3_clear_bindings (statement);
  return bytes;
}

static gboolean
put_meta_bytes (QuinceBatchLog *log, const char *name, GBytes *bytes, GError **error)
{
  sqlite3_stmt *statement = log->statements[STATEMENT_PUT_META];
  gsize length;
  gconstpointer data = g_bytes_get_data (bytes, &length);
  sqlite3_bind_text (statement, 1, name, -1, SQLITE_STATIC);
  /* A null pointer would be stored as NULL instead of an empty value. */
  sqlite3_bind_blob (statement, 2, length > 0 ? data : "", (int)length, SQLITE_STATIC);
  return run_statement (log, STATEMENT_PUT_META, error);
}

/* ---- Open and close --------------------------------------------------- */

static guint64
generate_replica_id (void)
{
  guint64 replica_id = ((guint64)g_random_int () << 32) | g_random_int ();
  replica_id ^= (guint64)g_get_real_time ();
  /* SQLite's integers are signed, and 0 means that there is no id. */
  return (replica_id & G_MAXINT64) | 1;
}

static gboolean
initialize (QuinceBatchLog *log, GError **error)
{
  if (!execute_sql (log, schema_text, error))
    return FALSE;
  for (guint i = 0; i < N_STATEMENTS; i++)
    if (sqlite3_prepare_v2 (log->database, statement_texts[i], -1, &log->statements[i], NULL) != SQLITE_OK)
      return set_sqlite_error (log, statement_texts[i], error);
  log->replica_id = get_meta (log, "replica");
  log->commit_index = get_meta (log, "commit");
  log->persistent_state.promised = get_meta (log, "promised");
  log->persistent_state.noted = get_meta (log, "noted");
  log->persistent_state.ordered = get_meta (log, "ordered");
  log->persistent_state.change = get_meta_bytes (log, "change");
  log->last_index = query_number (log, STATEMENT_SELECT_LAST_INDEX);
  return TRUE;
}

static QuinceBatchLog *
try_open (const char *path, GError **error)
{
  g_autoptr (QuinceBatchLog) log = g_new0 (QuinceBatchLog, 1);
  if (sqlite3_open (path, &log->database) != SQLITE_OK)
    {
      set_sqlite_error (log, path, error);
      return NULL;
    }
  return initialize (log, error) ? g_steal_pointer (&log) : NULL;
}

static void
remove_database_files (const char *path)
{
  static const char *const suffixes[] = { "", "-wal", "-journal" };
  for (guint i = 0; i < G_N_ELEMENTS (suffixes); i++)
    {
      g_autofree char *file = g_strconcat (path, suffixes[i], NULL);
      g_remove (file);
    }
}

QuinceBatchLog *
quince_batch_log_open (const char *folder, gboolean *was_empty, GError **error)
{
  g_autofree char *path = g_build_filename (folder, LOG_FILE, NULL);
  g_autoptr (GError) open_error = NULL;
  g_autoptr (QuinceBatchLog) log = try_open (path, &open_error);
  if (log == NULL)
    {
      quince_log_failure ("ledger_disk_failed", "doing=open reason=\"%s\"", open_error->message);
      remove_database_files (path);
      log = try_open (path, error);
    }
  if (log == NULL)
    return NULL;
  *was_empty = log->replica_id == 0;
  if (*was_empty)
    {
      guint64 replica_id = generate_replica_id ();
      if (!put_meta (log, "replica", replica_id, error))
        return NULL;
      log->replica_id = replica_id;
    }
  return g_steal_pointer (&log);
}

static void
forget_shared (QuinceBatchLog *log)
{
  if (log->shared != NULL)
    log->shared->log = NULL;
  log->shared = NULL;
}

void
quince_batch_log_close (QuinceBatchLog *log)
{
  if (log == NULL)
    return;
  forget_shared (log);
  for (guint i = 0; i < N_STATEMENTS; i++)
    sqlite3_finalize (log->statements[i]);
  sqlite3_close (log->database);
  quince_ledger_persistent_state_clear (&log->persistent_state);
  g_free (log);
}

guint64
quince_batch_log_get_replica_id (const QuinceBatchLog *log)
{
  return log->replica_id;
}

guint64
quince_batch_log_get_last_index (const QuinceBatchLog *log)
{
  return log->last_index;
}

guint64
quince_batch_log_get_commit_index (const QuinceBatchLog *log)
{
  return log->commit_index;
}

const QuinceLedgerPersistentState *
quince_batch_log_get_persistent_state (const QuinceBatchLog *log)
{
  return &log->persistent_state;
}

static gboolean
put_number_if_changed (QuinceBatchLog *log, const char *name, guint64 saved, guint64 number, GError **error)
{
  return saved == number || put_meta (log, name, number, error);
}

static gboolean
is_same_change (GBytes *change, GBytes *other)
{
  return change == other || (change != NULL && other != NULL && g_bytes_equal (change, other));
}

/* A change that is withdrawn is stored as an empty value. */
static gboolean
put_change_if_changed (QuinceBatchLog *log, GBytes *change, GError **error)
{
  if (is_same_change (log->persistent_state.change, change))
    return TRUE;
  g_autoptr (GBytes) stored = change != NULL ? g_bytes_ref (change) : g_bytes_new (NULL, 0);
  return put_meta_bytes (log, "change", stored, error);
}

static gboolean
put_persistent_state (QuinceBatchLog *log, const QuinceLedgerPersistentState *state, GError **error)
{
  const QuinceLedgerPersistentState *saved = &log->persistent_state;
  return put_number_if_changed (log, "promised", saved->promised, state->promised, error)
         && put_number_if_changed (log, "noted", saved->noted, state->noted, error)
         && put_number_if_changed (log, "ordered", saved->ordered, state->ordered, error)
         && put_change_if_changed (log, state->change, error);
}

/* One transaction: a noted revision without its change would count as a change with unknown views, and this
 * replica could not vote until the metadata store is back. */
gboolean
quince_batch_log_save_persistent_state (QuinceBatchLog *log,
                                        const QuinceLedgerPersistentState *state,
                                        GError **error)
{
  const QuinceLedgerPersistentState *saved = &log->persistent_state;
  if (saved->promised == state->promised && saved->noted == state->noted && saved->ordered == state->ordered
      && is_same_change (saved->change, state->change))
    return TRUE;
  if (!execute_sql (log, "BEGIN IMMEDIATE", error))
    return FALSE;
  if (!put_persistent_state (log, state, error) || !execute_sql (log, "COMMIT", error))
    {
      execute_sql (log, "ROLLBACK", NULL);
      return FALSE;
    }
  quince_ledger_persistent_state_assign (&log->persistent_state, state);
  return TRUE;
}

guint64
quince_batch_log_get_epoch (QuinceBatchLog *log, guint64 index)
{
  sqlite3_bind_int64 (log->statements[STATEMENT_SELECT_EPOCH], 1, (sqlite3_int64)index);
  return query_number (log, STATEMENT_SELECT_EPOCH);
}

/* ---- Read and write records ------------------------------------------- */

static gboolean
truncate_from (QuinceBatchLog *log, guint64 index, GError **error)
{
  if (log->shared != NULL && log->shared->index >= index)
    forget_shared (log);
  sqlite3_bind_int64 (log->statements[STATEMENT_TRUNCATE], 1, (sqlite3_int64)index);
  return run_statement (log, STATEMENT_TRUNCATE, error);
}

static gboolean
store_entry (QuinceBatchLog *log, const QuinceLogEntry *entry, guint64 *last_index, GError **error)
{
  if (entry->index <= *last_index)
    {
      if (quince_batch_log_get_epoch (log, entry->index) == entry->epoch)
        return TRUE;
      if (!truncate_from (log, entry->index, error))
        return FALSE;
    }
  sqlite3_stmt *statement = log->statements[STATEMENT_INSERT_RECORD];
  sqlite3_bind_int64 (statement, 1, (sqlite3_int64)entry->index);
  sqlite3_bind_int64 (statement, 2, (sqlite3_int64)entry->epoch);
  sqlite3_bind_blob64 (statement, 3, entry->record.record_len > 0 ? entry->record.record_val : "",
                       entry->record.record_len, SQLITE_STATIC);
  *last_index = entry->index;
  return run_statement (log, STATEMENT_INSERT_RECORD, error);
}

static gboolean
store_entries (QuinceBatchLog *log,
               const QuinceLogEntry *entries,
               guint n_entries,
               gboolean reset,
               guint64 end_index,
               guint64 commit_index,
               guint64 *last_index,
               GError **error)
{
  if (reset && !truncate_from (log, 0, error))
    return FALSE;
  if (reset)
    *last_index = 0;
  for (guint i = 0; i < n_entries; i++)
    if (!store_entry (log, &entries[i], last_index, error))
      return FALSE;
  if (*last_index > end_index && !truncate_from (log, end_index + 1, error))
    return FALSE;
  *last_index = MIN (*last_index, end_index);
  return put_meta (log, "commit", commit_index, error);
}

gboolean
quince_batch_log_append (QuinceBatchLog *log,
                         const QuinceLogEntry *entries,
                         guint n_entries,
                         gboolean reset,
                         guint64 end_index,
                         guint64 commit_index,
                         GError **error)
{
  guint64 last_index = log->last_index;
  if (!execute_sql (log, "BEGIN IMMEDIATE", error))
    return FALSE;
  if (!store_entries (log, entries, n_entries, reset, end_index, commit_index, &last_index, error)
      || !execute_sql (log, "COMMIT", error))
    {
      execute_sql (log, "ROLLBACK", NULL);
      return FALSE;
    }
  log->last_index = last_index;
  log->commit_index = commit_index;
  return TRUE;
}

gboolean
quince_batch_log_clear_records (QuinceBatchLog *log, const guint64 *indexes, guint n_indexes, GError **error)
{
  if (!execute_sql (log, "BEGIN IMMEDIATE", error))
    return FALSE;
  for (guint i = 0; i < n_indexes; i++)
    {
      sqlite3_bind_int64 (log->statements[STATEMENT_CLEAR_RECORD], 1, (sqlite3_int64)indexes[i]);
      if (run_statement (log, STATEMENT_CLEAR_RECORD, error))
        continue;
      execute_sql (log, "ROLLBACK", NULL);
      return FALSE;
    }
  return execute_sql (log, "COMMIT", error);
}

gboolean
quince_batch_log_foreach (QuinceBatchLog *log,
                          guint64 first_index,
                          QuinceBatchLogForeachFunc func,
                          gpointer user_data,
                          GError **error)
{
  sqlite3_stmt *statement = log->statements[STATEMENT_SELECT_RECORDS];
  sqlite3_bind_int64 (statement, 1, (sqlite3_int64)first_index);
  int status = SQLITE_ROW;
  gboolean more = TRUE;
  while (more && (status = sqlite3_step (statement)) == SQLITE_ROW)
    {
      QuinceLogEntry entry = { .index = (guint64)sqlite3_column_int64 (statement, 0),
                               .epoch = (guint64)sqlite3_column_int64 (statement, 1) };
      entry.record.record_val = (char *)sqlite3_column_blob (statement, 2);
      entry.record.record_len = (u_int)sqlite3_column_bytes (statement, 2);
      more = func (&entry, user_data);
    }
  sqlite3_reset (statement);
  return status == SQLITE_ROW || status == SQLITE_DONE || set_sqlite_error (log, "read records", error);
}

static void
shared_record_free (gpointer data)
{
  SharedRecord *shared = data;
  if (shared->log != NULL)
    shared->log->shared = NULL;
  g_free (shared->data);
  g_free (shared);
}

GBytes *
quince_batch_log_share_record (QuinceBatchLog *log, const QuinceLogEntry *entry)
{
  SharedRecord *shared = log->shared;
  if (shared != NULL && shared->index == entry->index && shared->epoch == entry->epoch)
    return g_bytes_ref (shared->bytes);
  forget_shared (log);
  shared = g_new0 (SharedRecord, 1);
  shared->log = log;
  shared->index = entry->index;
  shared->epoch = entry->epoch;
  shared->data = g_memdup2 (entry->record.record_val, entry->record.record_len);
  shared->bytes
      = g_bytes_new_with_free_func (shared->data, entry->record.record_len, shared_record_free, shared);
  log->shared = shared;
  return shared->bytes;
}

GBytes *
quince_batch_log_find_shared (const QuinceBatchLog *log, guint64 index, guint64 *epoch)
{
  if (log->shared == NULL || log->shared->index != index)
    return NULL;
  *epoch = log->shared->epoch;
  return g_bytes_ref (log->shared->bytes);
}
