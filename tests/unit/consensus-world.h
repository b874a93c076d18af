/*
 * consensus-world.h: replicas with their simulated disks and processes, and what
 * must hold of them after each effect.
 */
#pragma once

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <quince/consensus.h>
#include <quince/request-id.h>
#include <string.h>

#define MAX_MACHINES 5
#define MAX_READS 8
/* Makes snapshots span several parts. */
#define SNAPSHOT_PADDING 150

static const QuinceConsensusLimits test_limits = {
  .heartbeat_us = 100 * 1000,
  .election_least_us = 600 * 1000,
  .election_most_us = 1200 * 1000,
  .dead_after_us = 5 * 1000 * 1000,
  .voters_target = 3,
  .append_most_bytes = 64,
};

/* Chances in 1 of 10000, each step. */
typedef struct
{
  const char *name;
  guint32 seed;
  guint machines;
  guint first_voters;
  guint steps;
  guint drop, duplicate, delay, crash, crash_between_effects, partition, pause, lose_disk, transfer, compact;
} Scenario;

typedef struct
{
  guint64 round;
  guint64 committed; /* by anyone when the read began                      */
} Read;

/* One machine with its disk; survives crashes of its process. */
typedef struct
{
  guint slot;
  guint64 id;
  char *address;
  char *node;
  char *zone;
  /* Disk. */
  guint64 epoch, voted_for, snapshot_index, snapshot_epoch, snapshot_state;
  QuinceReplicaSet *snapshot_voters;
  GPtrArray *entries; /* QuinceEntry                                        */
  /* Process. */
  QuinceConsensus *consensus; /* NULL: crashed                              */
  gint64 up_at_us;            /* restart, or end of pause                   */
  gboolean paused;
  guint group; /* partition                                                 */
  guint64 applied, applied_epoch, state;
  QuinceReplicaSet *applied_voters;
  Read reads[MAX_READS];
  guint n_reads;
} Machine;

typedef struct
{
  guint64 epoch, hash, state;
} Committed;

typedef struct
{
  const Scenario *scenario;
  GRand *random;
  gint64 now_us, healed_at_us;
  gboolean faults;
  Machine machines[MAX_MACHINES];
  GPtrArray *messages;  /* QuinceReplication with its address in Letter     */
  GHashTable *leaders;  /* epoch → replica id                               */
  GHashTable *entries;  /* "index/epoch" → hash of entry and predecessor    */
  GArray *committed;    /* Committed, index 1 first                         */
  GHashTable *lost_ids; /* replica ids whose disk is gone                   */
  guint64 next_value;
  guint step, elections, snapshots, voter_changes, confirmed_reads, lost_disks;
} World;

typedef struct
{
  char *address;
  guint from_group_slot;
  gint64 after_us; /* not delivered before                                 */
  QuinceReplication *message;
} Letter;

static void
letter_free (gpointer data)
{
  Letter *letter = data;

  g_free (letter->address);
  quince_replication_free (letter->message);
  g_free (letter);
}

#define check(world, condition)                                                                              \
  do                                                                                                         \
    {                                                                                                        \
      if (!(condition))                                                                                      \
        fail_msg ("%s, seed %u, step %u: %s", (world)->scenario->name, (world)->scenario->seed,              \
                  (world)->step, #condition);                                                                \
    }                                                                                                        \
  while (0)

static gboolean
chance (World *world, guint of_10000)
{
  return world->faults && of_10000 > 0 && (guint)g_rand_int_range (world->random, 0, 10000) < of_10000;
}

static guint64 *
key_of (guint64 value)
{
  return g_memdup2 (&value, sizeof value);
}

static guint64
hash_entry (const QuinceEntry *entry)
{
  return quince_hash64 (entry->data.data_len > 0 ? entry->data.data_val : "", entry->data.data_len,
                        entry->epoch * 4 + entry->kind);
}

/* ---- Disk and invariants -------------------------------------------- */

static guint64
disk_epoch_at (const Machine *machine, guint64 index)
{
  if (index == machine->snapshot_index)
    return machine->snapshot_epoch;
  g_assert (index > machine->snapshot_index && index <= machine->snapshot_index + machine->entries->len);
  return ((QuinceEntry *)g_ptr_array_index (machine->entries, index - machine->snapshot_index - 1))->epoch;
}

/* Newest voters on the disk; (transfer full). */
static QuinceReplicaSet *
disk_voters (const Machine *machine)
{
  for (guint i = machine->entries->len; i > 0; i--)
    {
      const QuinceEntry *entry = g_ptr_array_index (machine->entries, i - 1);

      if (entry->kind == QUINCE_ENTRY_VOTERS)
        return quince_replica_set_decode (entry->data.data_val, entry->data.data_len, NULL);
    }
  return machine->snapshot_voters != NULL ? quince_replica_set_copy (machine->snapshot_voters)
                                          : g_new0 (QuinceReplicaSet, 1);
}

static gboolean
set_has (const QuinceReplicaSet *set, guint64 id)
{
  for (guint i = 0; i < set->voters.voters_len; i++)
    if (set->voters.voters_val[i].replica_id == id)
      return TRUE;
  return FALSE;
}

static guint
count_missing (const QuinceReplicaSet *from, const QuinceReplicaSet *in)
{
  guint count = 0;

  for (guint i = 0; i < from->voters.voters_len; i++)
    count += !set_has (in, from->voters.voters_val[i].replica_id);
  return count;
}

/* A leader changes voters after an entry of its epoch and the last change are committed. */
static void
check_change_is_due (World *world, const Machine *machine, const QuinceEntry *entry)
{
  check (world, machine->applied_epoch == entry->epoch);
  for (guint i = 0; i < machine->entries->len; i++)
    {
      const QuinceEntry *earlier = g_ptr_array_index (machine->entries, i);

      check (world, earlier->kind != QUINCE_ENTRY_VOTERS || earlier->index <= machine->applied);
    }
}

/* A node that lost its disk is one voter, not two of which one never comes back. */
static void
check_nodes_differ (World *world, const QuinceReplicaSet *voters)
{
  for (guint i = 0; i < voters->voters.voters_len; i++)
    for (guint j = 0; j < i; j++)
      check (world, !g_str_equal (voters->voters.voters_val[i].node, voters->voters.voters_val[j].node));
}

static void
check_voter_change (World *world, const Machine *machine, const QuinceEntry *entry)
{
  g_autoptr (QuinceReplicaSet) before = disk_voters (machine);
  g_autoptr (QuinceReplicaSet) after
      = quince_replica_set_decode (entry->data.data_val, entry->data.data_len, NULL);

  check (world, after != NULL);
  check_nodes_differ (world, after);
  if (before->voters.voters_len == 0)
    return;
  check (world, count_missing (before, after) + count_missing (after, before) <= 1);
  if (quince_consensus_get_role (machine->consensus) == QUINCE_CONSENSUS_LEADER
      && count_missing (before, after) + count_missing (after, before) == 1)
    check_change_is_due (world, machine, entry);
  world->voter_changes++;
}

/* Log matching by induction: an entry fixes its predecessor's epoch. */
static void
check_log_matching (World *world, const Machine *machine, const QuinceEntry *entry)
{
  guint64 place[] = { entry->index, entry->epoch };
  guint64 place_hash = quince_hash64 (place, sizeof place, 0);
  guint64 hash = hash_entry (entry) ^ (disk_epoch_at (machine, entry->index - 1) * 0x9e3779b97f4a7c15u);
  const guint64 *known = g_hash_table_lookup (world->entries, &place_hash);

  if (known == NULL)
    g_hash_table_insert (world->entries, key_of (place_hash), key_of (hash));
  else
    check (world, *known == hash);
}

static void
persist_entries (World *world, Machine *machine, GPtrArray *entries)
{
  const QuinceEntry *first = g_ptr_array_index (entries, 0);

  check (world, first->index > machine->snapshot_index);
  check (world, first->index <= machine->snapshot_index + machine->entries->len + 1);
  g_ptr_array_set_size (machine->entries, first->index - machine->snapshot_index - 1);
  for (guint i = 0; i < entries->len; i++)
    {
      const QuinceEntry *entry = g_ptr_array_index (entries, i);

      check_log_matching (world, machine, entry);
      if (entry->kind == QUINCE_ENTRY_VOTERS)
        check_voter_change (world, machine, entry);
      g_ptr_array_add (machine->entries, quince_entry_copy (entry));
    }
}

static void
set_snapshot (Machine *machine, guint64 index, guint64 epoch, guint64 state, const QuinceReplicaSet *voters)
{
  QuinceReplicaSet *copy = quince_replica_set_copy (voters);

  g_clear_pointer (&machine->snapshot_voters, quince_replica_set_free);
  machine->snapshot_voters = copy;
  machine->snapshot_index = index;
  machine->snapshot_epoch = epoch;
  machine->snapshot_state = state;
}

static void
set_applied_voters (Machine *machine, QuinceReplicaSet *voters)
{
  g_clear_pointer (&machine->applied_voters, quince_replica_set_free);
  machine->applied_voters = voters;
}

static void
persist_snapshot (World *world, Machine *machine, const QuinceSnapshotRequest *snapshot)
{
  guint64 state = 0;

  if (snapshot->last_index > 0)
    {
      check (world, snapshot->data.data_len == sizeof state + SNAPSHOT_PADDING);
      memcpy (&state, snapshot->data.data_val, sizeof state);
      check (world, state == g_array_index (world->committed, Committed, snapshot->last_index - 1).state);
      world->snapshots++;
    }
  g_ptr_array_set_size (machine->entries, 0);
  set_snapshot (machine, snapshot->last_index, snapshot->last_epoch, state, &snapshot->voters);
  machine->applied = snapshot->last_index;
  machine->applied_epoch = snapshot->last_epoch;
  machine->state = state;
  set_applied_voters (machine, quince_replica_set_copy (&snapshot->voters));
}

static void
apply_entry (World *world, Machine *machine, const QuinceEntry *entry)
{
  Committed committed;

  check (world, entry->index == machine->applied + 1);
  committed.epoch = entry->epoch;
  committed.hash = hash_entry (entry);
  committed.state = quince_hash64 (&committed.hash, sizeof committed.hash, machine->state);
  if (entry->index > world->committed->len)
    g_array_append_val (world->committed, committed);
  check (world,
         memcmp (&g_array_index (world->committed, Committed, entry->index - 1), &committed, sizeof committed)
             == 0);
  machine->applied = entry->index;
  machine->applied_epoch = entry->epoch;
  machine->state = committed.state;
  if (entry->kind == QUINCE_ENTRY_VOTERS)
    set_applied_voters (machine,
                        quince_replica_set_decode (entry->data.data_val, entry->data.data_len, NULL));
}

static void
check_leader (World *world, const Machine *machine, guint64 epoch)
{
  const guint64 *known = g_hash_table_lookup (world->leaders, &epoch);

  if (known != NULL)
    {
      check (world, *known == machine->id);
      return;
    }
  g_hash_table_insert (world->leaders, key_of (epoch), key_of (machine->id));
  world->elections++;
  /* A new leader holds all that was ever committed. */
  check (world, machine->snapshot_index + machine->entries->len >= world->committed->len);
  for (guint64 index = machine->snapshot_index + 1; index <= world->committed->len; index++)
    check (world,
           disk_epoch_at (machine, index) == g_array_index (world->committed, Committed, index - 1).epoch);
}

static void
confirm_reads (World *world, Machine *machine, guint64 round)
{
  guint kept = 0;

  for (guint i = 0; i < machine->n_reads; i++)
    if (machine->reads[i].round <= round)
      {
        check (world, machine->applied >= machine->reads[i].committed);
        world->confirmed_reads++;
      }
    else
      machine->reads[kept++] = machine->reads[i];
  machine->n_reads = kept;
}

/* What a message claims must be on the sender's disk before it leaves. */
static void
check_claims (World *world, const Machine *machine, const QuinceReplication *message)
{
  const QuinceVoteReply *vote = &message->body.QuinceReplicationBody_u.vote_reply;
  const QuinceVoteRequest *candidacy = &message->body.QuinceReplicationBody_u.vote_request;
  const QuinceAppendReply *reply = &message->body.QuinceReplicationBody_u.append_reply;
  const QuinceAppendRequest *request = &message->body.QuinceReplicationBody_u.append_request;

  switch (message->body.kind)
    {
    case QUINCE_REPLICATION_VOTE_REPLY:
      check (world, vote->trial || vote->epoch == machine->epoch);
      check (world, vote->trial || !vote->granted || machine->voted_for == message->to);
      break;
    case QUINCE_REPLICATION_VOTE_REQUEST:
      check (world,
             candidacy->trial || (candidacy->epoch == machine->epoch && machine->voted_for == machine->id));
      break;
    case QUINCE_REPLICATION_APPEND_REQUEST:
      check (world, request->epoch == machine->epoch);
      break;
    case QUINCE_REPLICATION_APPEND_REPLY:
      check (world, reply->epoch == machine->epoch);
      check (world, !reply->success || reply->match_index <= machine->snapshot_index + machine->entries->len);
      break;
    default:
      break;
    }
}

/* ---- Processes ------------------------------------------------------ */

static void
post (World *world, const Machine *from, const char *address, const QuinceReplication *message)
{
  guint copies = 1;

  if (address[0] == '\0' || chance (world, world->scenario->drop))
    return;
  if (chance (world, world->scenario->duplicate))
    copies = 2;
  for (guint i = 0; i < copies; i++)
    {
      Letter *letter = g_new0 (Letter, 1);

      letter->address = g_strdup (address);
      letter->from_group_slot = from->slot;
      letter->message = quince_replication_copy (message);
      if (chance (world, world->scenario->delay))
        letter->after_us = world->now_us + g_rand_int_range (world->random, 0, 4000 * 1000);
      g_ptr_array_add (world->messages, letter);
    }
}

static void
crash (World *world, Machine *machine)
{
  g_clear_pointer (&machine->consensus, quince_consensus_free);
  machine->paused = FALSE;
  machine->n_reads = 0;
  machine->up_at_us = world->now_us + g_rand_int_range (world->random, 1000, 3000 * 1000);
}

static void
send_snapshot (World *world, Machine *machine, guint64 to, GPtrArray *effects)
{
  guint8 bytes[sizeof machine->state + SNAPSHOT_PADDING] = { 0 };
  g_autoptr (GBytes) data = NULL;

  memcpy (bytes, &machine->state, sizeof machine->state);
  data = g_bytes_new (bytes, sizeof bytes);
  quince_consensus_send_snapshot (machine->consensus, world->now_us, to, machine->applied,
                                  machine->applied_epoch, machine->applied_voters, data, effects);
}

/* Carries out one effect; what it causes is added to @more. */
static void
carry_out (World *world, Machine *machine, const QuinceEffect *effect, GPtrArray *more)
{
  switch (effect->kind)
    {
    case QUINCE_EFFECT_PERSIST_VOTE:
      check (world, effect->epoch > machine->epoch
                        || (effect->epoch == machine->epoch
                            && (machine->voted_for == 0 || machine->voted_for == effect->voted_for)));
      machine->epoch = effect->epoch;
      machine->voted_for = effect->voted_for;
      break;
    case QUINCE_EFFECT_PERSIST_ENTRIES:
      persist_entries (world, machine, effect->entries);
      break;
    case QUINCE_EFFECT_PERSIST_SNAPSHOT:
      persist_snapshot (world, machine, effect->snapshot);
      break;
    case QUINCE_EFFECT_SEND:
      check_claims (world, machine, effect->message);
      post (world, machine, effect->address, effect->message);
      break;
    case QUINCE_EFFECT_COMMITTED:
      apply_entry (world, machine, effect->entry);
      break;
    case QUINCE_EFFECT_ROLE:
      machine->n_reads = 0;
      if (effect->role == QUINCE_CONSENSUS_LEADER)
        check_leader (world, machine, effect->epoch);
      break;
    case QUINCE_EFFECT_CONFIRMED:
      confirm_reads (world, machine, effect->round);
      break;
    case QUINCE_EFFECT_SEND_SNAPSHOT:
      send_snapshot (world, machine, effect->to, more);
      break;
    }
}

/* Takes @effects. */
static void
settle (World *world, Machine *machine, GPtrArray *effects)
{
  while (effects->len > 0 && machine->consensus != NULL)
    {
      GPtrArray *more = quince_effects_new ();

      for (guint i = 0; i < effects->len && machine->consensus != NULL; i++)
        {
          if (chance (world, world->scenario->crash_between_effects))
            crash (world, machine);
          else
            carry_out (world, machine, g_ptr_array_index (effects, i), more);
        }
      g_ptr_array_unref (effects);
      effects = more;
    }
  g_ptr_array_unref (effects);
}

static void
start (World *world, Machine *machine)
{
  QuinceReplica self = { machine->id, machine->node, machine->zone, machine->address };
  QuinceConsensusState state = { 0 };

  state.epoch = machine->epoch;
  state.voted_for = machine->voted_for;
  state.snapshot_index = machine->snapshot_index;
  state.snapshot_epoch = machine->snapshot_epoch;
  state.snapshot_voters = machine->snapshot_voters;
  state.entries = machine->entries;
  machine->consensus
      = quince_consensus_new (&test_limits, &self, &state, g_rand_int (world->random), world->now_us);
  machine->applied = machine->snapshot_index;
  machine->applied_epoch = machine->snapshot_epoch;
  machine->state = machine->snapshot_state;
  machine->up_at_us = G_MAXINT64;
  set_applied_voters (machine, machine->snapshot_voters != NULL
                                   ? quince_replica_set_copy (machine->snapshot_voters)
                                   : g_new0 (QuinceReplicaSet, 1));
}

static gboolean
runs (const Machine *machine)
{
  return machine->consensus != NULL && !machine->paused;
}
