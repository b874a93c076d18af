/*
 * sim-ledger.c: the ledger of one node: the real consensus and rollout book
 * around a disk that survives the node.
 */
#include "model.h"

#define SNAPSHOT_ENTRIES 150
#define HEARTBEAT (100 * SIM_MILLISECOND)

typedef struct
{
  guint from;
  guint64 call_id;
  guint64 epoch;
  guint64 round;
  QuinceCommandKind kind;
  QuinceLedgerCall *call;
} PendingCall;

struct _SimLedger
{
  SimProcess *process;
  SimDisk *disk;
  QuinceConsensus *consensus;
  QuinceRolloutBook *book;
  QuinceReplica self;
  GPtrArray *effects;
  GHashTable *proposals; /* index -> PendingCall */
  GQueue reads;          /* PendingCall */
  guint64 applied_index;
  guint64 applied_epoch;
  gint64 last_record_ms;
  gint64 timer_at;
  gboolean crashing; /* dies in the middle of its effects */
};

static void settle (SimWorld *world, SimLedger *ledger);

static void
pending_free (gpointer data)
{
  PendingCall *pending = data;
  if (pending->call != NULL)
    quince_ledger_call_free (pending->call);
  g_free (pending);
}

/* ---- Answers --------------------------------------------------------------- */

static void
send_reply (SimWorld *world, SimLedger *ledger, const PendingCall *pending, QuinceLedgerReply *reply)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_REPLY };
  const char *leader = "";
  quince_consensus_get_leader (ledger->consensus, &leader);
  if (reply->leader == NULL)
    reply->leader = quince_string (leader);
  reply->call_id = pending->call_id;
  message.QuinceMessage_u.ledger_reply = *reply;
  sim_world_send (world, ledger->process, pending->from, quince_message_copy (&message));
}

static void
reply_status (SimWorld *world, SimLedger *ledger, const PendingCall *pending, QuinceLedgerStatus status)
{
  QuinceLedgerReply reply = { .status = status };
  quince_ledger_reply_set_empty (&reply, pending->kind);
  send_reply (world, ledger, pending, &reply);
  xdr_free ((xdrproc_t)xdr_QuinceLedgerReply, &reply);
}

static gint64
record_time (SimWorld *world, const SimLedger *ledger)
{
  gint64 skew_ms = (gint64)ledger->process->index * 30;
  return MAX (ledger->last_record_ms, world->now / SIM_MILLISECOND + skew_ms);
}

static void
propose (SimWorld *world, SimLedger *ledger, PendingCall *pending)
{
  QuinceLedgerRecord record
      = { .leader_time_ms = (guint64)record_time (world, ledger), .command = pending->call->command };
  g_autoptr (GBytes) bytes = quince_ledger_record_encode (&record, NULL);
  guint64 index = quince_consensus_propose (ledger->consensus, world->now, g_bytes_get_data (bytes, NULL),
                                            g_bytes_get_size (bytes), ledger->effects);
  if (index == 0)
    {
      reply_status (world, ledger, pending, QUINCE_LEDGER_NOT_LEADER);
      pending_free (pending);
      return;
    }
  g_clear_pointer (&pending->call, quince_ledger_call_free);
  if (world->mutation == SIM_MUTATION_ACK_BEFORE_COMMIT && pending->kind != QUINCE_COMMAND_PULL)
    {
      reply_status (world, ledger, pending, QUINCE_LEDGER_OK);
      pending_free (pending);
      return;
    }
  pending->epoch = quince_consensus_get_epoch (ledger->consensus);
  g_hash_table_replace (ledger->proposals, g_memdup2 (&index, sizeof index), pending);
}

static void
answer_read (SimWorld *world, SimLedger *ledger, PendingCall *pending)
{
  const QuinceCommand *command = &pending->call->command;
  QuinceLedgerReply reply = { 0 };
  gint64 now_ms = record_time (world, ledger);
  if (command->kind == QUINCE_COMMAND_LEASE)
    quince_rollout_book_lease (ledger->book, now_ms, &command->QuinceCommand_u.lease, &reply);
  else if (command->kind == QUINCE_COMMAND_RENEW)
    quince_rollout_book_renew (ledger->book, now_ms, &command->QuinceCommand_u.renew);
  else if (!quince_rollout_book_peek (ledger->book, now_ms, command, &reply))
    {
      propose (world, ledger, pending);
      return;
    }
  reply.result.kind = pending->kind;
  send_reply (world, ledger, pending, &reply);
  xdr_free ((xdrproc_t)xdr_QuinceLedgerReply, &reply);
  pending_free (pending);
}

void
sim_ledger_call (SimWorld *world, SimLedger *ledger, guint from, const QuinceLedgerCall *call)
{
  PendingCall *pending = g_new0 (PendingCall, 1);
  pending->from = from;
  pending->call_id = call->call_id;
  pending->kind = call->command.kind;
  pending->call = quince_ledger_call_copy (call);
  pending->round = quince_consensus_confirm (ledger->consensus, world->now, ledger->effects);
  if (pending->round == 0)
    {
      reply_status (world, ledger, pending, QUINCE_LEDGER_NOT_LEADER);
      pending_free (pending);
    }
  else
    g_queue_push_tail (&ledger->reads, pending);
  settle (world, ledger);
}

static void
lose_leadership (SimWorld *world, SimLedger *ledger)
{
  PendingCall *pending;
  while ((pending = g_queue_pop_head (&ledger->reads)) != NULL)
    {
      reply_status (world, ledger, pending, QUINCE_LEDGER_NOT_LEADER);
      pending_free (pending);
    }
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ledger->proposals);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      reply_status (world, ledger, value, QUINCE_LEDGER_UNKNOWN);
      g_hash_table_iter_remove (&iter);
    }
  quince_rollout_book_forget_leases (ledger->book);
}

/* ---- Disk ------------------------------------------------------------------- */

/* No bytes stand for the empty book of a new ledger. */
static QuinceRolloutBook *
load_book (GBytes *data)
{
  gsize length = 0;
  gconstpointer bytes = data != NULL ? g_bytes_get_data (data, &length) : NULL;
  QuinceRolloutBook *book
      = length > 0 ? quince_rollout_book_load (bytes, length, NULL) : quince_rollout_book_new ();
  g_assert (book != NULL);
  return book;
}

static void
install_snapshot (SimLedger *ledger, const QuinceSnapshotRequest *snapshot)
{
  g_autoptr (GBytes) data = g_bytes_new (snapshot->data.data_val, snapshot->data.data_len);
  sim_disk_put_snapshot (ledger->disk, snapshot->last_index, snapshot->last_epoch, &snapshot->voters, data,
                         TRUE);
  g_clear_pointer (&ledger->book, quince_rollout_book_free);
  ledger->book = load_book (data);
  ledger->applied_index = snapshot->last_index;
  ledger->applied_epoch = snapshot->last_epoch;
}

static void
persist (SimWorld *world, SimLedger *ledger, const QuinceEffect *effect)
{
  SimDisk *disk = ledger->disk;
  if (effect->kind == QUINCE_EFFECT_PERSIST_VOTE)
    {
      disk->epoch = effect->epoch;
      disk->voted_for = effect->voted_for;
    }
  else if (effect->kind == QUINCE_EFFECT_PERSIST_ENTRIES)
    sim_disk_put_entries (disk, effect->entries);
  else if (effect->kind == QUINCE_EFFECT_PERSIST_SNAPSHOT)
    install_snapshot (ledger, effect->snapshot);
}

/* ---- Effects ---------------------------------------------------------------- */

static void
apply (SimWorld *world, SimLedger *ledger, const QuinceEntry *entry)
{
  if (entry->index != ledger->applied_index + 1)
    sim_world_violate (world, "%s applies entry %" G_GUINT64_FORMAT " after %" G_GUINT64_FORMAT,
                       ledger->process->name, (guint64)entry->index, ledger->applied_index);
  ledger->applied_index = entry->index;
  ledger->applied_epoch = entry->epoch;
  if (entry->kind != QUINCE_ENTRY_RECORD)
    return;
  g_autoptr (QuinceLedgerRecord) record
      = quince_ledger_record_decode (entry->data.data_val, entry->data.data_len, NULL);
  QuinceLedgerReply reply = { 0 };
  ledger->last_record_ms = MAX (ledger->last_record_ms, (gint64)record->leader_time_ms);
  record->leader_time_ms = (guint64)ledger->last_record_ms;
  quince_rollout_book_apply (ledger->book, record, &reply);
  guint64 index = entry->index;
  PendingCall *pending = g_hash_table_lookup (ledger->proposals, &index);
  if (pending != NULL && pending->epoch == entry->epoch)
    {
      reply.result.kind = pending->kind;
      send_reply (world, ledger, pending, &reply);
    }
  else if (pending != NULL)
    reply_status (world, ledger, pending, QUINCE_LEDGER_UNKNOWN);
  g_hash_table_remove (ledger->proposals, &index);
  xdr_free ((xdrproc_t)xdr_QuinceLedgerReply, &reply);
}

static void
send_replication (SimWorld *world,
                  SimLedger *ledger,
                  const char *address,
                  const QuinceReplication *replication)
{
  SimProcess *target = sim_world_find (world, address);
  if (target == NULL)
    return;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_REPLICATION };
  message.QuinceMessage_u.replication = *replication;
  sim_world_send (world, ledger->process, target->id, quince_message_copy (&message));
}

static void
send_snapshot (SimWorld *world, SimLedger *ledger, guint64 to)
{
  g_autoptr (GBytes) data = quince_rollout_book_save (ledger->book);
  quince_consensus_send_snapshot (ledger->consensus, world->now, to, ledger->applied_index,
                                  ledger->applied_epoch, quince_consensus_get_voters (ledger->consensus),
                                  data, ledger->effects);
}

static void
confirmed (SimWorld *world, SimLedger *ledger, guint64 round)
{
  PendingCall *pending;
  while ((pending = g_queue_peek_head (&ledger->reads)) != NULL && pending->round <= round)
    answer_read (world, ledger, g_queue_pop_head (&ledger->reads));
}

static void
carry_out (SimWorld *world, SimLedger *ledger, const QuinceEffect *effect)
{
  switch (effect->kind)
    {
    case QUINCE_EFFECT_SEND:
      send_replication (world, ledger, effect->address, effect->message);
      break;
    case QUINCE_EFFECT_COMMITTED:
      apply (world, ledger, effect->entry);
      break;
    case QUINCE_EFFECT_CONFIRMED:
      confirmed (world, ledger, effect->round);
      break;
    case QUINCE_EFFECT_ROLE:
      if (effect->role != QUINCE_CONSENSUS_LEADER)
        lose_leadership (world, ledger);
      break;
    case QUINCE_EFFECT_SEND_SNAPSHOT:
      send_snapshot (world, ledger, effect->to);
      break;
    default:
      break;
    }
}

static void
compact (SimLedger *ledger)
{
  if (ledger->applied_index < ledger->disk->snapshot_index + SNAPSHOT_ENTRIES)
    return;
  g_autoptr (GBytes) data = quince_rollout_book_save (ledger->book);
  sim_disk_put_snapshot (ledger->disk, ledger->applied_index, ledger->applied_epoch,
                         quince_consensus_get_voters (ledger->consensus), data, FALSE);
  quince_consensus_compacted (ledger->consensus, ledger->applied_index);
}

static void
die (SimWorld *world, SimProcess *process, gpointer data)
{
  sim_world_kill (world, process);
}

static void
timer (SimWorld *world, SimProcess *process, gpointer data)
{
  SimLedger *ledger = data;
  if (ledger->timer_at > world->now)
    return;
  ledger->timer_at = G_MAXINT64;
  quince_consensus_tick (ledger->consensus, world->now, ledger->effects);
  settle (world, ledger);
}

static void
arm (SimWorld *world, SimLedger *ledger)
{
  gint64 at = quince_consensus_next_wakeup (ledger->consensus);
  if (at == G_MAXINT64 || (ledger->timer_at != G_MAXINT64 && ledger->timer_at <= at))
    return;
  ledger->timer_at = MAX (at, world->now + 1);
  sim_world_at (world, ledger->process, ledger->timer_at - world->now, timer, ledger, NULL);
}

/* First everything durable, then the rest; the node may die between the two. */
static void
settle (SimWorld *world, SimLedger *ledger)
{
  quince_consensus_flush (ledger->consensus, world->now, ledger->effects);
  while (ledger->effects->len > 0 && !ledger->crashing)
    {
      g_autoptr (GPtrArray) effects = ledger->effects;
      ledger->effects = quince_effects_new ();
      for (guint i = 0; i < effects->len; i++)
        persist (world, ledger, effects->pdata[i]);
      if (sim_model (world)->faults && sim_chance (world, 0.00002))
        {
          ledger->crashing = TRUE;
          sim_model (world)->judge.kills++;
          sim_world_at (world, ledger->process, 0, die, NULL, NULL);
          return;
        }
      for (guint i = 0; i < effects->len; i++)
        carry_out (world, ledger, effects->pdata[i]);
      quince_consensus_flush (ledger->consensus, world->now, ledger->effects);
    }
  if (!ledger->crashing)
    {
      compact (ledger);
      arm (world, ledger);
    }
}

void
sim_ledger_receive (SimWorld *world, SimLedger *ledger, const QuinceReplication *message)
{
  if (ledger->crashing)
    return;
  quince_consensus_receive (ledger->consensus, world->now, message, ledger->effects);
  settle (world, ledger);
}

gboolean
sim_ledger_leads (const SimLedger *ledger, guint64 *epoch)
{
  *epoch = quince_consensus_get_epoch (ledger->consensus);
  return quince_consensus_get_role (ledger->consensus) == QUINCE_CONSENSUS_LEADER;
}

const QuinceConsensus *
sim_ledger_get_consensus (const SimLedger *ledger)
{
  return ledger->consensus;
}

void
sim_ledger_hand_over (SimWorld *world, SimLedger *ledger)
{
  if (ledger->crashing)
    return;
  quince_consensus_transfer (ledger->consensus, world->now, ledger->effects);
  settle (world, ledger);
}

/* ---- Life -------------------------------------------------------------------- */

static void
bootstrap (SimWorld *world, SimLedger *ledger)
{
  QuinceReplica voters[3];
  for (guint i = 0; i < G_N_ELEMENTS (voters); i++)
    {
      SimProcess *node = sim_model (world)->nodes[i];
      voters[i] = (QuinceReplica){
        .replica_id = i + 1, .node = node->name, .zone = (char *)"zone", .address = node->name
      };
    }
  QuinceReplicaSet set = { { G_N_ELEMENTS (voters), voters } };
  quince_consensus_bootstrap (ledger->consensus, world->now, &set, ledger->effects);
}

/* An empty replica that is no first voter asks to be taken in until it is. */
static void
ask_to_join (SimWorld *world, SimProcess *process, gpointer data)
{
  SimLedger *ledger = data;
  const QuinceReplicaSet *voters = quince_consensus_get_voters (ledger->consensus);
  for (guint i = 0; voters != NULL && i < voters->voters.voters_len; i++)
    if (voters->voters.voters_val[i].replica_id == ledger->disk->replica_id)
      return;
  QuinceReplication message = { .from = ledger->disk->replica_id };
  message.body.kind = QUINCE_REPLICATION_JOIN;
  message.body.QuinceReplicationBody_u.join.replica = ledger->self;
  for (guint i = 0; i < SIM_LEDGER_NODES; i++)
    if (i != process->index)
      send_replication (world, ledger, sim_model (world)->nodes[i]->name, &message);
  sim_world_at (world, process, SIM_SECOND, ask_to_join, ledger, NULL);
}

static void
load_disk (SimLedger *ledger, QuinceConsensusState *state)
{
  SimDisk *disk = ledger->disk;
  ledger->book = load_book (disk->snapshot);
  ledger->applied_index = disk->snapshot_index;
  ledger->applied_epoch = disk->snapshot_epoch;
  *state = (QuinceConsensusState){ .epoch = disk->epoch,
                                   .voted_for = disk->voted_for,
                                   .snapshot_index = disk->snapshot_index,
                                   .snapshot_epoch = disk->snapshot_epoch,
                                   .snapshot_voters = disk->snapshot_voters,
                                   .entries = disk->entries };
}

SimLedger *
sim_ledger_new (SimWorld *world, SimProcess *process)
{
  SimLedger *ledger = g_new0 (SimLedger, 1);
  SimDisk *disk = &sim_model (world)->disks[process->index];
  gboolean first = process->life == 1 && process->index < 3;
  ledger->process = process;
  ledger->disk = disk;
  ledger->effects = quince_effects_new ();
  ledger->proposals = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, pending_free);
  ledger->timer_at = G_MAXINT64;
  g_queue_init (&ledger->reads);
  if (disk->replica_id == 0)
    {
      disk->replica_id = first ? process->index + 1 : 1000 + world->serial;
      disk->entries = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_entry_free);
    }
  ledger->self = (QuinceReplica){
    .replica_id = disk->replica_id, .node = process->name, .zone = (char *)"zone", .address = process->name
  };
  QuinceConsensusState state;
  load_disk (ledger, &state);
  QuinceConsensusLimits limits = quince_consensus_default_limits;
  limits.dead_after_us = 5 * SIM_SECOND;
  ledger->consensus
      = quince_consensus_new (&limits, &ledger->self, disk->snapshot_voters != NULL ? &state : NULL,
                              g_rand_int (world->random), world->now);
  if (first)
    bootstrap (world, ledger);
  sim_world_at (world, process, SIM_SECOND, ask_to_join, ledger, NULL);
  settle (world, ledger);
  return ledger;
}

void
sim_ledger_free (SimLedger *ledger)
{
  quince_consensus_free (ledger->consensus);
  quince_rollout_book_free (ledger->book);
  g_ptr_array_unref (ledger->effects);
  g_hash_table_unref (ledger->proposals);
  g_queue_clear_full (&ledger->reads, pending_free);
  g_free (ledger);
}
