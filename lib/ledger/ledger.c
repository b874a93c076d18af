/* ledger.c: the ledger's thread, its mailboxes and its public calls. */
#include "ledger-private.h"

#include <quince/log.h>
#include <quince/request-id.h>

/* Period of the ledger's timer: consensus timeouts and expired calls. */
#define TIMER_MS 20
#define EXPIRY_PERIOD_US (100 * 1000)
#define STATE_PERIOD_US (1000 * 1000)
/* Longest wait for leadership to be handed on at a planned stop. */
#define HAND_OVER_MS 1000

/* ---- Messages ------------------------------------------------------- */

typedef enum
{
  INPUT_BOOTSTRAP,
  INPUT_JOIN,
  INPUT_RECEIVE,
  INPUT_CALL,
  INPUT_CLOSE,
} InputKind;

/* To the ledger's thread. */
typedef struct
{
  InputKind kind;
  QuinceReplicaSet *voters;   /* BOOTSTRAP                                  */
  char *address;              /* JOIN                                       */
  QuinceReplication *message; /* RECEIVE                                    */
  QuinceLedgerCall *call;     /* CALL                                       */
  guint64 client;             /* CALL                                       */
  guint timeout_ms;           /* CALL                                       */
} Input;

typedef enum
{
  OUTPUT_SEND,
  OUTPUT_REPLY,
  OUTPUT_STATE,
} OutputKind;

/* To the creator's context. */
typedef struct
{
  OutputKind kind;
  char *address;              /* SEND                                       */
  QuinceReplication *message; /* SEND                                       */
  guint64 client;             /* REPLY                                      */
  QuinceLedgerReply *reply;   /* REPLY                                      */
  QuinceLedgerState state;    /* STATE                                      */
} Output;

static void
input_free (gpointer data)
{
  Input *input = data;

  g_clear_pointer (&input->voters, quince_replica_set_free);
  g_clear_pointer (&input->message, quince_replication_free);
  g_clear_pointer (&input->call, quince_ledger_call_free);
  g_free (input->address);
  g_free (input);
}

static void
output_free (gpointer data)
{
  Output *output = data;

  g_clear_pointer (&output->message, quince_replication_free);
  g_clear_pointer (&output->reply, quince_ledger_reply_free);
  g_free (output->address);
  g_free (output);
}

/* ---- Output --------------------------------------------------------- */

static void
handle_output (gpointer data, gpointer user_data)
{
  QuinceLedger *ledger = user_data;
  Output *output = data;

  switch (output->kind)
    {
    case OUTPUT_SEND:
      ledger->callbacks.send (output->address, output->message, ledger->user_data);
      break;
    case OUTPUT_REPLY:
      ledger->callbacks.reply (output->client, g_steal_pointer (&output->reply), ledger->user_data);
      break;
    case OUTPUT_STATE:
      ledger->callbacks.state (&output->state, ledger->user_data);
      break;
    }
  output_free (output);
}

void
quince_ledger_post_send (QuinceLedger *ledger, const char *address, QuinceReplication *message)
{
  Output *output;

  if (address[0] == '\0')
    {
      quince_replication_free (message);
      return;
    }
  output = g_new0 (Output, 1);
  output->kind = OUTPUT_SEND;
  output->address = g_strdup (address);
  output->message = message;
  quince_mailbox_post (ledger->outbox, output);
}

void
quince_ledger_post_reply (QuinceLedger *ledger, guint64 client, QuinceLedgerReply *reply)
{
  Output *output = g_new0 (Output, 1);

  output->kind = OUTPUT_REPLY;
  output->client = client;
  output->reply = reply;
  quince_mailbox_post (ledger->outbox, output);
}

void
quince_ledger_post_state (QuinceLedger *ledger)
{
  Output *output = g_new0 (Output, 1);
  QuinceLedgerState *state = &output->state;
  const char *address = "";

  output->kind = OUTPUT_STATE;
  state->replica_id = ledger->self.replica_id;
  state->epoch = quince_consensus_get_epoch (ledger->consensus);
  if (!ledger->failed)
    {
      state->role = quince_consensus_get_role (ledger->consensus);
      state->leader_id = quince_consensus_get_leader (ledger->consensus, &address);
    }
  g_strlcpy (state->leader_address, address, sizeof state->leader_address);
  state->commit_index = quince_consensus_get_commit_index (ledger->consensus);
  state->n_voters = quince_consensus_get_voters (ledger->consensus)->voters.voters_len;
  state->bootstrapped = state->n_voters > 0;
  quince_rollout_book_get_counters (ledger->book, &state->counters);
  quince_mailbox_post (ledger->outbox, output);
}

gint64
quince_ledger_time_ms (const QuinceLedger *ledger)
{
  return MAX (quince_wall_ms (), ledger->last_record_ms);
}

/* ---- Input ---------------------------------------------------------- */

static void
send_join (QuinceLedger *ledger, const char *address)
{
  QuinceReplication *message = g_new0 (QuinceReplication, 1);
  QuinceReplica *replica = &message->body.QuinceReplicationBody_u.join.replica;

  message->from = ledger->self.replica_id;
  message->body.kind = QUINCE_REPLICATION_JOIN;
  replica->replica_id = ledger->self.replica_id;
  replica->node = quince_string (ledger->self.node);
  replica->zone = quince_string (ledger->self.zone);
  replica->address = quince_string (ledger->self.address);
  quince_ledger_post_send (ledger, address, message);
}

static void
begin_close (QuinceLedger *ledger)
{
  ledger->closing = TRUE;
  if (ledger->failed || quince_consensus_get_role (ledger->consensus) != QUINCE_CONSENSUS_LEADER
      || quince_consensus_get_voters (ledger->consensus)->voters.voters_len < 2)
    {
      quince_ledger_set_handed_over (ledger);
      return;
    }
  quince_consensus_transfer (ledger->consensus, quince_now_us (), ledger->effects);
}

static void
handle_input (gpointer data, gpointer user_data)
{
  QuinceLedger *ledger = user_data;
  Input *input = data;
  gint64 now_us = quince_now_us ();

  switch (input->kind)
    {
    case INPUT_BOOTSTRAP:
      quince_consensus_bootstrap (ledger->consensus, now_us, input->voters, ledger->effects);
      break;
    case INPUT_JOIN:
      send_join (ledger, input->address);
      break;
    case INPUT_RECEIVE:
      if (!ledger->failed)
        quince_consensus_receive (ledger->consensus, now_us, input->message, ledger->effects);
      break;
    case INPUT_CALL:
      quince_ledger_calls_begin (ledger, input->client, g_steal_pointer (&input->call), input->timeout_ms);
      break;
    case INPUT_CLOSE:
      begin_close (ledger);
      break;
    }
  input_free (input);
}

static void
after_input (gpointer user_data)
{
  quince_ledger_settle (user_data);
}

static gboolean
on_timer (gpointer user_data)
{
  QuinceLedger *ledger = user_data;
  gint64 now_us = quince_now_us ();

  if (!ledger->failed && now_us >= quince_consensus_next_wakeup (ledger->consensus))
    quince_consensus_tick (ledger->consensus, now_us, ledger->effects);
  if (now_us >= ledger->next_expiry_us)
    {
      ledger->next_expiry_us = now_us + EXPIRY_PERIOD_US;
      quince_ledger_calls_expire (ledger, now_us);
    }
  if (now_us >= ledger->next_state_us)
    {
      ledger->next_state_us = now_us + STATE_PERIOD_US;
      quince_ledger_post_state (ledger);
    }
  quince_ledger_settle (ledger);
  return G_SOURCE_CONTINUE;
}

/* ---- Life cycle ----------------------------------------------------- */

static void
set_up (gpointer user_data)
{
  QuinceLedger *ledger = user_data;

  ledger->timer = quince_timer_add (TIMER_MS, on_timer, ledger);
}

static void
tear_down (gpointer user_data)
{
  QuinceLedger *ledger = user_data;

  quince_source_clear (&ledger->timer);
  quince_mailbox_close (ledger->inbox);
  quince_ledger_calls_clear (ledger);
}

static void
copy_replica (QuinceReplica *to, const QuinceReplica *from, guint64 replica_id)
{
  to->replica_id = replica_id;
  to->node = quince_string (from->node);
  to->zone = quince_string (from->zone);
  to->address = quince_string (from->address);
}

static gboolean
load_state (QuinceLedger *ledger,
            const QuinceConsensusLimits *limits,
            const QuinceLedgerContents *contents,
            GError **error)
{
  QuinceConsensusState state = { 0 };
  gsize length = 0;
  gconstpointer data = contents->snapshot != NULL ? g_bytes_get_data (contents->snapshot, &length) : NULL;
  g_autoptr (GError) cause = NULL;

  if (!quince_ledger_snapshot_load (ledger, data, length, &cause))
    {
      g_set_error (error, QUINCE_LEDGER_ERROR, QUINCE_LEDGER_ERROR_CORRUPT, "snapshot: %s", cause->message);
      return FALSE;
    }
  state.epoch = contents->epoch;
  state.voted_for = contents->voted_for;
  state.snapshot_index = contents->snapshot_index;
  state.snapshot_epoch = contents->snapshot_epoch;
  state.snapshot_voters = contents->snapshot_voters;
  state.entries = contents->entries;
  ledger->applied_index = ledger->snapshot_index = contents->snapshot_index;
  ledger->applied_epoch = contents->snapshot_epoch;
  ledger->applied_voters = contents->snapshot_voters != NULL
                               ? quince_replica_set_copy (contents->snapshot_voters)
                               : g_new0 (QuinceReplicaSet, 1);
  ledger->consensus
      = quince_consensus_new (limits, &ledger->self, &state, quince_random_u64 (), quince_now_us ());
  return TRUE;
}

static void
ledger_free (QuinceLedger *ledger)
{
  g_clear_pointer (&ledger->inbox, quince_mailbox_unref);
  g_clear_pointer (&ledger->outbox, quince_mailbox_unref);
  g_clear_pointer (&ledger->consensus, quince_consensus_free);
  g_clear_pointer (&ledger->effects, g_ptr_array_unref);
  g_clear_pointer (&ledger->book, quince_rollout_book_free);
  g_clear_pointer (&ledger->applied_voters, quince_replica_set_free);
  g_clear_pointer (&ledger->store, quince_ledger_store_close);
  g_clear_pointer (&ledger->context, g_main_context_unref);
  g_free (ledger->self.node);
  g_free (ledger->self.zone);
  g_free (ledger->self.address);
  g_free (ledger);
}

QuinceLedger *
quince_ledger_open (const char *folder,
                    const QuinceReplica *self,
                    const QuinceConsensusLimits *limits,
                    const QuinceLedgerCallbacks *callbacks,
                    gpointer user_data,
                    GError **error)
{
  QuinceLedger *ledger = g_new0 (QuinceLedger, 1);
  g_autoptr (QuinceLedgerContents) contents = NULL;

  ledger->store = quince_ledger_store_open (folder, &contents, error);
  if (ledger->store == NULL)
    {
      ledger_free (ledger);
      return NULL;
    }
  copy_replica (&ledger->self, self, contents->replica_id);
  ledger->callbacks = *callbacks;
  ledger->user_data = user_data;
  ledger->effects = quince_effects_new ();
  if (!load_state (ledger, limits, contents, error))
    {
      ledger_free (ledger);
      return NULL;
    }
  quince_ledger_calls_init (ledger);
  ledger->context = g_main_context_ref_thread_default ();
  ledger->outbox = quince_mailbox_new (ledger->context, handle_output, output_free, NULL, ledger);
  ledger->task = quince_task_start ("ledger", set_up, tear_down, ledger);
  ledger->inbox = quince_mailbox_new (quince_task_get_context (ledger->task), handle_input, input_free,
                                      after_input, ledger);
  return ledger;
}

guint64
quince_ledger_get_replica_id (const QuinceLedger *ledger)
{
  return ledger->self.replica_id;
}

static Input *
input_new (InputKind kind)
{
  Input *input = g_new0 (Input, 1);

  input->kind = kind;
  return input;
}

void
quince_ledger_bootstrap (QuinceLedger *ledger, const QuinceReplicaSet *voters)
{
  Input *input = input_new (INPUT_BOOTSTRAP);

  input->voters = quince_replica_set_copy (voters);
  quince_mailbox_post (ledger->inbox, input);
}

void
quince_ledger_join (QuinceLedger *ledger, const char *address)
{
  Input *input = input_new (INPUT_JOIN);

  input->address = g_strdup (address);
  quince_mailbox_post (ledger->inbox, input);
}

void
quince_ledger_receive (QuinceLedger *ledger, QuinceReplication *message)
{
  Input *input = input_new (INPUT_RECEIVE);

  input->message = message;
  quince_mailbox_post (ledger->inbox, input);
}

void
quince_ledger_call (QuinceLedger *ledger, guint64 client, QuinceLedgerCall *call, guint timeout_ms)
{
  Input *input = input_new (INPUT_CALL);

  input->client = client;
  input->call = call;
  input->timeout_ms = timeout_ms;
  quince_mailbox_post (ledger->inbox, input);
}

static gboolean
on_hand_over_timeout (gpointer flag)
{
  *(gboolean *)flag = TRUE;
  return G_SOURCE_CONTINUE;
}

/* Replication goes through the creator's context, so that must go on meanwhile. */
static void
wait_for_hand_over (QuinceLedger *ledger)
{
  gboolean expired = FALSE;
  GSource *source = g_timeout_source_new (HAND_OVER_MS);

  g_source_set_callback (source, on_hand_over_timeout, &expired, NULL);
  g_source_attach (source, ledger->context);
  quince_mailbox_post (ledger->inbox, input_new (INPUT_CLOSE));
  /* Not by sleeps: a sleep that signals interrupt often enough never ends. */
  while (!expired && !g_atomic_int_get (&ledger->handed_over))
    g_main_context_iteration (ledger->context, TRUE);
  quince_source_clear (&source);
}

void
quince_ledger_close (QuinceLedger *ledger)
{
  wait_for_hand_over (ledger);
  quince_task_stop (ledger->task);
  /* Last answers. */
  while (quince_mailbox_get_length (ledger->outbox) > 0)
    g_main_context_iteration (ledger->context, FALSE);
  quince_mailbox_close (ledger->outbox);
  ledger_free (ledger);
}
