/*
 * ledger-effects.c: carries out the effects of the consensus.
 *
 * A batch is carried out in two passes: first everything that must be durable,
 * in one transaction (group commit); then sends, applied entries and answers.
 */
#include "ledger-private.h"

#include <quince/log.h>
#include <string.h>

/* Records between snapshots, at least. */
#define SNAPSHOT_RECORDS 4096
/* And as many bytes of records as this part of the last snapshot, but not more than the limit: a great book
 * of many small claims is not written anew every few seconds. */
#define SNAPSHOT_PART 4
#define SNAPSHOT_RECORD_BYTES_MOST (8 * 1024 * 1024)
/* Entries that stay in memory behind a snapshot, for followers a little behind. */
#define KEPT_RECORDS 1024

/* ---- Snapshots ------------------------------------------------------ */

GBytes *
quince_ledger_snapshot_save (const QuinceLedger *ledger)
{
  g_autoptr (GBytes) book = quince_rollout_book_save (ledger->book);
  guint64 time = GUINT64_TO_BE ((guint64)ledger->last_record_ms);
  GByteArray *bytes = g_byte_array_sized_new (sizeof time + g_bytes_get_size (book));

  g_byte_array_append (bytes, (const guint8 *)&time, sizeof time);
  g_byte_array_append (bytes, g_bytes_get_data (book, NULL), g_bytes_get_size (book));
  return g_byte_array_free_to_bytes (bytes);
}

gboolean
quince_ledger_snapshot_load (QuinceLedger *ledger, gconstpointer data, gsize length, GError **error)
{
  g_autoptr (QuinceRolloutBook) book = NULL;
  guint64 time = 0;

  if (length == 0)
    book = quince_rollout_book_new ();
  else if (length >= sizeof time)
    {
      memcpy (&time, data, sizeof time);
      book = quince_rollout_book_load ((const guint8 *)data + sizeof time, length - sizeof time, error);
    }
  else
    g_set_error_literal (error, QUINCE_LEDGER_ERROR, QUINCE_LEDGER_ERROR_CORRUPT, "snapshot is cut short");
  if (book == NULL)
    return FALSE;
  g_clear_pointer (&ledger->book, quince_rollout_book_free);
  ledger->book = g_steal_pointer (&book);
  ledger->snapshot_bytes = length;
  ledger->record_bytes = 0;
  ledger->last_record_ms = (gint64)GUINT64_FROM_BE (time);
  return TRUE;
}

/* ---- First pass: durable -------------------------------------------- */

static gboolean
install_snapshot (QuinceLedger *ledger, const QuinceSnapshotRequest *snapshot, GError **error)
{
  g_autoptr (GBytes) data = g_bytes_new_static (snapshot->data.data_val, snapshot->data.data_len);

  if (!quince_ledger_snapshot_load (ledger, snapshot->data.data_val, snapshot->data.data_len, error)
      || !quince_ledger_store_put_snapshot (ledger->store, snapshot->last_index, snapshot->last_epoch,
                                            &snapshot->voters, data, TRUE, error))
    return FALSE;
  ledger->applied_index = ledger->snapshot_index = snapshot->last_index;
  ledger->applied_epoch = snapshot->last_epoch;
  g_clear_pointer (&ledger->applied_voters, quince_replica_set_free);
  ledger->applied_voters = quince_replica_set_copy (&snapshot->voters);
  return TRUE;
}

static gboolean
persist_one (QuinceLedger *ledger, const QuinceEffect *effect, GError **error)
{
  switch (effect->kind)
    {
    case QUINCE_EFFECT_PERSIST_VOTE:
      return quince_ledger_store_put_vote (ledger->store, effect->epoch, effect->voted_for, error);
    case QUINCE_EFFECT_PERSIST_ENTRIES:
      return quince_ledger_store_put_entries (ledger->store, effect->entries, error);
    case QUINCE_EFFECT_PERSIST_SNAPSHOT:
      return install_snapshot (ledger, effect->snapshot, error);
    default:
      return TRUE;
    }
}

static gboolean
is_durable (const QuinceEffect *effect)
{
  return effect->kind == QUINCE_EFFECT_PERSIST_VOTE || effect->kind == QUINCE_EFFECT_PERSIST_ENTRIES
         || effect->kind == QUINCE_EFFECT_PERSIST_SNAPSHOT;
}

static gboolean
persist_all (QuinceLedger *ledger, GPtrArray *effects, GError **error)
{
  gboolean open = FALSE;

  for (guint i = 0; i < effects->len; i++)
    {
      const QuinceEffect *effect = g_ptr_array_index (effects, i);

      if (!is_durable (effect))
        continue;
      if (!open && !quince_ledger_store_begin (ledger->store, error))
        return FALSE;
      open = TRUE;
      if (!persist_one (ledger, effect, error))
        return FALSE;
    }
  return !open || quince_ledger_store_commit (ledger->store, error);
}

/* ---- Second pass ---------------------------------------------------- */

static void
apply_record (QuinceLedger *ledger, const QuinceEntry *entry)
{
  g_autoptr (QuinceLedgerRecord) record
      = quince_ledger_record_decode (entry->data.data_val, entry->data.data_len, NULL);
  QuinceLedgerReply *reply = NULL;

  if (record == NULL)
    /* Every replica finds the same, and so skips the same record. */
    quince_log_failure ("ledger_record_malformed", "index=%" G_GUINT64_FORMAT, (guint64)entry->index);
  else
    {
      ledger->last_record_ms = MAX (ledger->last_record_ms, (gint64)record->leader_time_ms);
      record->leader_time_ms = ledger->last_record_ms;
      reply = g_new0 (QuinceLedgerReply, 1);
      quince_rollout_book_apply (ledger->book, record, reply);
    }
  quince_ledger_calls_applied (ledger, entry, reply);
}

static void
apply (QuinceLedger *ledger, const QuinceEntry *entry)
{
  /* A snapshot installed in this batch may hold it already. */
  if (entry->index <= ledger->applied_index)
    return;
  ledger->applied_index = entry->index;
  ledger->applied_epoch = entry->epoch;
  ledger->record_bytes += entry->data.data_len;
  if (entry->kind == QUINCE_ENTRY_RECORD)
    apply_record (ledger, entry);
  else if (entry->kind == QUINCE_ENTRY_VOTERS)
    {
      quince_replica_set_free (ledger->applied_voters);
      ledger->applied_voters = quince_replica_set_decode (entry->data.data_val, entry->data.data_len, NULL);
      quince_log_info ("ledger_voters", "index=%" G_GUINT64_FORMAT " count=%u", (guint64)entry->index,
                       ledger->applied_voters->voters.voters_len);
      quince_ledger_post_state (ledger);
    }
}

void
quince_ledger_set_handed_over (QuinceLedger *ledger)
{
  g_atomic_int_set (&ledger->handed_over, TRUE);
  g_main_context_wakeup (ledger->context);
}

static void
change_role (QuinceLedger *ledger, const QuinceEffect *effect)
{
  static const char *const names[] = { "learner", "follower", "candidate", "leader" };

  quince_log_info ("ledger_role", "role=%s epoch=%" G_GUINT64_FORMAT " leader=%s", names[effect->role],
                   effect->epoch, effect->address);
  quince_rollout_book_forget_leases (ledger->book);
  quince_ledger_calls_role_changed (ledger, effect->role, effect->epoch);
  if (ledger->closing && effect->role != QUINCE_CONSENSUS_LEADER)
    quince_ledger_set_handed_over (ledger);
  quince_ledger_post_state (ledger);
}

static void
carry_out (QuinceLedger *ledger, QuinceEffect *effect)
{
  switch (effect->kind)
    {
    case QUINCE_EFFECT_SEND:
      quince_ledger_post_send (ledger, effect->address, g_steal_pointer (&effect->message));
      break;
    case QUINCE_EFFECT_COMMITTED:
      apply (ledger, effect->entry);
      break;
    case QUINCE_EFFECT_ROLE:
      change_role (ledger, effect);
      break;
    case QUINCE_EFFECT_CONFIRMED:
      quince_ledger_calls_confirmed (ledger, effect->round);
      break;
    case QUINCE_EFFECT_SEND_SNAPSHOT:
      {
        g_autoptr (GBytes) data = quince_ledger_snapshot_save (ledger);

        quince_consensus_send_snapshot (ledger->consensus, quince_now_us (), effect->to,
                                        ledger->applied_index, ledger->applied_epoch, ledger->applied_voters,
                                        data, ledger->effects);
        break;
      }
    default:
      break;
    }
}

/* ---- Settling ------------------------------------------------------- */

/* A replica that cannot trust its disk must not go on. */
static void
fail (QuinceLedger *ledger, const GError *error)
{
  g_autofree char *text = quince_log_quote (error->message);

  quince_log_failure ("ledger_failed", "error=%s", text);
  ledger->failed = TRUE;
  quince_ledger_calls_role_changed (ledger, QUINCE_CONSENSUS_LEARNER, G_MAXUINT64);
  quince_ledger_set_handed_over (ledger);
  quince_ledger_post_state (ledger);
}

gboolean
quince_ledger_snapshot_is_due (guint64 records, guint64 record_bytes, guint64 snapshot_bytes)
{
  guint64 wanted_bytes = MIN (snapshot_bytes / SNAPSHOT_PART, SNAPSHOT_RECORD_BYTES_MOST);

  return records >= SNAPSHOT_RECORDS && record_bytes >= wanted_bytes;
}

static gboolean
compact (QuinceLedger *ledger, GError **error)
{
  g_autoptr (GBytes) data = NULL;

  if (!quince_ledger_snapshot_is_due (ledger->applied_index - ledger->snapshot_index, ledger->record_bytes,
                                      ledger->snapshot_bytes))
    return TRUE;
  data = quince_ledger_snapshot_save (ledger);
  if (!quince_ledger_store_begin (ledger->store, error)
      || !quince_ledger_store_put_snapshot (ledger->store, ledger->applied_index, ledger->applied_epoch,
                                            ledger->applied_voters, data, FALSE, error)
      || !quince_ledger_store_commit (ledger->store, error))
    return FALSE;
  ledger->snapshot_index = ledger->applied_index;
  ledger->snapshot_bytes = g_bytes_get_size (data);
  ledger->record_bytes = 0;
  quince_consensus_compacted (ledger->consensus, ledger->applied_index - KEPT_RECORDS);
  quince_log_info ("ledger_snapshot", "index=%" G_GUINT64_FORMAT " bytes=%" G_GSIZE_FORMAT,
                   ledger->snapshot_index, g_bytes_get_size (data));
  return TRUE;
}

void
quince_ledger_settle (QuinceLedger *ledger)
{
  g_autoptr (GError) error = NULL;

  while (!ledger->failed)
    {
      g_autoptr (GPtrArray) batch = NULL;

      quince_consensus_flush (ledger->consensus, quince_now_us (), ledger->effects);
      if (ledger->effects->len == 0)
        break;
      batch = g_steal_pointer (&ledger->effects);
      ledger->effects = quince_effects_new ();
      if (!persist_all (ledger, batch, &error))
        break;
      for (guint i = 0; i < batch->len; i++)
        carry_out (ledger, g_ptr_array_index (batch, i));
    }
  if (error == NULL && !ledger->failed)
    compact (ledger, &error);
  if (error != NULL)
    fail (ledger, error);
}
