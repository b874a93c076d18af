/*
 * ledger-calls.c: calls of agents and their answers.
 *
 * A call that the book alone can answer waits for a read round, so that a
 * leader that has lost its epoch without knowing cannot answer from an old
 * book.  Every other call becomes a record and is answered when it is applied.
 */
#include "ledger-private.h"

#include <quince/log.h>

/* Calls that wait at most; more are answered with BUSY. */
#define MAX_PENDING_CALLS 65536
/* A record must leave room for the frame around it. */
#define MAX_RECORD_BYTES (QUINCE_MAX_FRAME - 65536)
/* Suggested pause before a call is repeated. */
#define RETRY_AFTER_MS 100

/* A call that waits.  Owner: QuinceLedger.reads or .proposals. */
typedef struct
{
  guint64 client;
  QuinceLedgerCall *call; /* a read; NULL once proposed                     */
  guint64 call_id;
  QuinceCommandKind kind;
  gint64 deadline_us;
  guint64 epoch; /* in which this replica led                               */
  guint64 round; /* a read: waits for this round                            */
} QuincePendingCall;

static void
pending_free (gpointer data)
{
  QuincePendingCall *pending = data;

  g_clear_pointer (&pending->call, quince_ledger_call_free);
  g_free (pending);
}

/* ---- Answers -------------------------------------------------------- */

static void
reply_status (QuinceLedger *ledger, const QuincePendingCall *pending, QuinceLedgerStatus status)
{
  QuinceLedgerReply *reply = g_new0 (QuinceLedgerReply, 1);
  const char *leader = "";

  if (!ledger->failed && status == QUINCE_LEDGER_NOT_LEADER)
    quince_consensus_get_leader (ledger->consensus, &leader);
  reply->call_id = pending->call_id;
  reply->status = status;
  /* While leadership is handed on there is no leader to name. */
  reply->leader = quince_string (g_str_equal (leader, ledger->self.address) ? "" : leader);
  reply->retry_after_ms = status == QUINCE_LEDGER_OK || reply->leader[0] != '\0' ? 0 : RETRY_AFTER_MS;
  quince_ledger_reply_set_empty (reply, pending->kind);
  quince_ledger_post_reply (ledger, pending->client, reply);
}

/* Sends the book's answer. */
static void
reply_result (QuinceLedger *ledger, const QuincePendingCall *pending, QuinceLedgerReply *reply)
{
  reply->call_id = pending->call_id;
  if (reply->leader == NULL)
    reply->leader = quince_string (NULL);
  reply->result.kind = pending->kind;
  quince_ledger_post_reply (ledger, pending->client, reply);
}

/* ---- Records -------------------------------------------------------- */

static GBytes *
encode_record (const QuinceLedger *ledger, const QuinceCommand *command)
{
  QuinceLedgerRecord record = { 0 };

  record.leader_time_ms = quince_ledger_time_ms (ledger);
  record.command = *command;
  return quince_ledger_record_encode (&record, NULL);
}

/* Takes @pending. */
static void
propose (QuinceLedger *ledger, QuincePendingCall *pending)
{
  g_autoptr (GBytes) record = encode_record (ledger, &pending->call->command);
  guint64 index;

  if (record == NULL || g_bytes_get_size (record) > MAX_RECORD_BYTES)
    {
      /* No repetition can succeed. */
      quince_log_warning ("ledger_record_too_large", "call_id=%" G_GUINT64_FORMAT, pending->call_id);
      reply_status (ledger, pending, QUINCE_LEDGER_CONFLICT);
      pending_free (pending);
      return;
    }
  index = quince_consensus_propose (ledger->consensus, quince_now_us (), g_bytes_get_data (record, NULL),
                                    g_bytes_get_size (record), ledger->effects);
  if (index == 0)
    {
      reply_status (ledger, pending, QUINCE_LEDGER_NOT_LEADER);
      pending_free (pending);
      return;
    }
  g_clear_pointer (&pending->call, quince_ledger_call_free);
  g_hash_table_replace (ledger->proposals, g_memdup2 (&index, sizeof index), pending);
}

/* ---- Reads ---------------------------------------------------------- */

static gboolean
peek (QuinceLedger *ledger, const QuinceCommand *command, QuinceLedgerReply *reply)
{
  return quince_rollout_book_peek (ledger->book, quince_ledger_time_ms (ledger), command, reply);
}

/* Whether the command never becomes a record. */
static gboolean
is_unreplicated (const QuinceCommand *command)
{
  return command->kind == QUINCE_COMMAND_LEASE || command->kind == QUINCE_COMMAND_RENEW
         || command->kind == QUINCE_COMMAND_PAGE;
}

/* Whether the book could answer, if this replica still leads. */
static gboolean
is_read (QuinceLedger *ledger, const QuinceCommand *command)
{
  QuinceLedgerReply reply = { 0 };

  if (is_unreplicated (command))
    return TRUE;
  if (!peek (ledger, command, &reply))
    return FALSE;
  xdr_free ((xdrproc_t)xdr_QuinceLedgerReply, &reply);
  return TRUE;
}

/* Takes @pending, whose round is confirmed. */
static void
answer_read (QuinceLedger *ledger, QuincePendingCall *pending)
{
  const QuinceCommand *command = &pending->call->command;
  QuinceLedgerReply *reply = g_new0 (QuinceLedgerReply, 1);

  if (command->kind == QUINCE_COMMAND_LEASE)
    quince_rollout_book_lease (ledger->book, quince_ledger_time_ms (ledger), &command->QuinceCommand_u.lease,
                               reply);
  else if (command->kind == QUINCE_COMMAND_RENEW)
    quince_rollout_book_renew (ledger->book, quince_ledger_time_ms (ledger), &command->QuinceCommand_u.renew);
  else if (!peek (ledger, command, reply))
    {
      /* The book has changed meanwhile. */
      g_free (reply);
      propose (ledger, pending);
      return;
    }
  reply_result (ledger, pending, reply);
  pending_free (pending);
}

void
quince_ledger_calls_confirmed (QuinceLedger *ledger, guint64 round)
{
  QuincePendingCall *pending;

  while ((pending = g_queue_peek_head (&ledger->reads)) != NULL && pending->round <= round)
    {
      g_queue_pop_head (&ledger->reads);
      answer_read (ledger, pending);
    }
}

/* ---- Life of a call ------------------------------------------------- */

void
quince_ledger_calls_init (QuinceLedger *ledger)
{
  ledger->proposals = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, pending_free);
  g_queue_init (&ledger->reads);
}

static void
fail_reads (QuinceLedger *ledger, QuinceLedgerStatus status)
{
  QuincePendingCall *pending;

  while ((pending = g_queue_pop_head (&ledger->reads)) != NULL)
    {
      reply_status (ledger, pending, status);
      pending_free (pending);
    }
}

void
quince_ledger_calls_clear (QuinceLedger *ledger)
{
  quince_ledger_calls_role_changed (ledger, QUINCE_CONSENSUS_LEARNER, G_MAXUINT64);
  g_hash_table_unref (ledger->proposals);
}

void
quince_ledger_calls_begin (QuinceLedger *ledger, guint64 client, QuinceLedgerCall *call, guint timeout_ms)
{
  QuincePendingCall *pending = g_new0 (QuincePendingCall, 1);
  guint waiting = g_hash_table_size (ledger->proposals) + g_queue_get_length (&ledger->reads);

  pending->client = client;
  pending->call = call;
  pending->call_id = call->call_id;
  pending->kind = call->command.kind;
  pending->deadline_us = quince_now_us () + (gint64)timeout_ms * 1000;
  if (ledger->failed || quince_consensus_get_role (ledger->consensus) != QUINCE_CONSENSUS_LEADER)
    {
      reply_status (ledger, pending, QUINCE_LEDGER_NOT_LEADER);
      pending_free (pending);
      return;
    }
  if (waiting >= MAX_PENDING_CALLS)
    {
      reply_status (ledger, pending, QUINCE_LEDGER_BUSY);
      pending_free (pending);
      return;
    }
  pending->epoch = quince_consensus_get_epoch (ledger->consensus);
  if (!is_read (ledger, &call->command))
    {
      propose (ledger, pending);
      return;
    }
  pending->round = quince_consensus_confirm (ledger->consensus, quince_now_us (), ledger->effects);
  g_queue_push_tail (&ledger->reads, pending);
}

void
quince_ledger_calls_applied (QuinceLedger *ledger, const QuinceEntry *entry, QuinceLedgerReply *reply)
{
  const QuincePendingCall *pending = g_hash_table_lookup (ledger->proposals, &entry->index);

  if (pending == NULL)
    {
      g_clear_pointer (&reply, quince_ledger_reply_free);
      return;
    }
  if (reply == NULL)
    reply_status (ledger, pending, QUINCE_LEDGER_CONFLICT);
  else if (pending->epoch == entry->epoch)
    reply_result (ledger, pending, reply);
  else
    {
      /* Another leader's entry stands in its place. */
      reply_status (ledger, pending, QUINCE_LEDGER_UNKNOWN);
      quince_ledger_reply_free (reply);
    }
  g_hash_table_remove (ledger->proposals, &entry->index);
}

void
quince_ledger_calls_role_changed (QuinceLedger *ledger, QuinceConsensusRole role, guint64 epoch)
{
  const QuincePendingCall *first = g_queue_peek_head (&ledger->reads);
  GHashTableIter iter;
  gpointer value;

  if (first != NULL && (first->epoch < epoch || role != QUINCE_CONSENSUS_LEADER))
    fail_reads (ledger, QUINCE_LEDGER_NOT_LEADER);
  g_hash_table_iter_init (&iter, ledger->proposals);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const QuincePendingCall *pending = value;

      if (pending->epoch > epoch || (pending->epoch == epoch && role == QUINCE_CONSENSUS_LEADER))
        continue;
      reply_status (ledger, pending, QUINCE_LEDGER_UNKNOWN);
      g_hash_table_iter_remove (&iter);
    }
}

static void
expire_reads (QuinceLedger *ledger, gint64 now_us)
{
  GList *link = ledger->reads.head;

  while (link != NULL)
    {
      GList *next = link->next;
      QuincePendingCall *pending = link->data;

      if (now_us >= pending->deadline_us)
        {
          /* Nothing was proposed. */
          reply_status (ledger, pending, QUINCE_LEDGER_BUSY);
          pending_free (pending);
          g_queue_delete_link (&ledger->reads, link);
        }
      link = next;
    }
}

void
quince_ledger_calls_expire (QuinceLedger *ledger, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  expire_reads (ledger, now_us);
  g_hash_table_iter_init (&iter, ledger->proposals);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const QuincePendingCall *pending = value;

      if (now_us < pending->deadline_us)
        continue;
      reply_status (ledger, pending, QUINCE_LEDGER_UNKNOWN);
      g_hash_table_iter_remove (&iter);
    }
}
