/*
 * test-consensus-simulation.c: replicas on a simulated network and simulated disks.
 *
 * Time, faults and choices come from fixed seeds.  After each effect the
 * simulation checks: at most one leader an epoch; equal (index, epoch) means
 * equal entries and equal predecessors; what was committed once stays, in
 * every leader's log and in every state machine; confirmed reads see all that
 * was committed before they began; voters change one at a time.
 */
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

static void
check_voter_change (World *world, const Machine *machine, const QuinceEntry *entry)
{
  g_autoptr (QuinceReplicaSet) before = disk_voters (machine);
  g_autoptr (QuinceReplicaSet) after
      = quince_replica_set_decode (entry->data.data_val, entry->data.data_len, NULL);

  check (world, after != NULL);
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

/* ---- Steps ---------------------------------------------------------- */

static Machine *
pick (World *world)
{
  return &world->machines[g_rand_int_range (world->random, 0, (gint32)world->scenario->machines)];
}

static void
deliver_one (World *world)
{
  guint at;
  Letter *letter;

  if (world->messages->len == 0)
    return;
  at = (guint)g_rand_int_range (world->random, 0, (gint32)world->messages->len);
  if (world->now_us < ((Letter *)g_ptr_array_index (world->messages, at))->after_us)
    return;
  letter = g_ptr_array_steal_index_fast (world->messages, at);
  for (guint i = 0; i < world->scenario->machines; i++)
    {
      Machine *machine = &world->machines[i];
      GPtrArray *effects;

      if (!g_str_equal (machine->address, letter->address) || machine->consensus == NULL
          || machine->group != world->machines[letter->from_group_slot].group)
        continue;
      if (machine->paused)
        {
          /* Waits in the socket of the paused process. */
          if (world->messages->len < 200)
            g_ptr_array_add (world->messages, g_steal_pointer (&letter));
          break;
        }
      effects = quince_effects_new ();
      quince_consensus_receive (machine->consensus, world->now_us, letter->message, effects);
      settle (world, machine, effects);
      break;
    }
  if (letter != NULL)
    letter_free (letter);
}

static void
wake_up (World *world, Machine *machine)
{
  if (world->now_us < machine->up_at_us)
    return;
  machine->up_at_us = G_MAXINT64;
  machine->paused = FALSE;
  if (machine->consensus == NULL)
    start (world, machine);
}

static void
tick_all (World *world)
{
  world->now_us += g_rand_int_range (world->random, 0, 2000);
  for (guint i = 0; i < world->scenario->machines; i++)
    {
      Machine *machine = &world->machines[i];
      GPtrArray *effects;

      wake_up (world, machine);
      /* A process that woke up may act before its timer does. */
      if (!runs (machine) || world->now_us < quince_consensus_next_wakeup (machine->consensus)
          || g_rand_int_range (world->random, 0, 3) == 0)
        continue;
      effects = quince_effects_new ();
      quince_consensus_tick (machine->consensus, world->now_us, effects);
      settle (world, machine, effects);
    }
}

/* A client at a machine that takes itself for the leader. */
static void
use_leader (World *world, Machine *machine)
{
  GPtrArray *effects;
  guint proposals = (guint)g_rand_int_range (world->random, 0, 4);

  if (!runs (machine) || quince_consensus_get_role (machine->consensus) != QUINCE_CONSENSUS_LEADER)
    return;
  effects = quince_effects_new ();
  if (machine->n_reads < MAX_READS)
    {
      Read *read = &machine->reads[machine->n_reads++];

      read->round = quince_consensus_confirm (machine->consensus, world->now_us, effects);
      read->committed = world->committed->len;
    }
  for (guint i = 0; i < proposals; i++)
    {
      guint64 value[4] = { ++world->next_value };

      quince_consensus_propose (machine->consensus, world->now_us, value, sizeof value, effects);
    }
  quince_consensus_flush (machine->consensus, world->now_us, effects);
  settle (world, machine, effects);
}

static void
compact (World *world, Machine *machine)
{
  guint64 tail = (guint64)g_rand_int_range (world->random, 0, 4);

  if (!runs (machine) || machine->applied <= machine->snapshot_index)
    return;
  g_ptr_array_remove_range (machine->entries, 0, machine->applied - machine->snapshot_index);
  set_snapshot (machine, machine->applied, machine->applied_epoch, machine->state, machine->applied_voters);
  quince_consensus_compacted (machine->consensus, machine->applied > tail ? machine->applied - tail : 0);
}

/* No voter set known anywhere may lose more than a minority of its disks. */
static gboolean
may_lose_disk (World *world, const Machine *machine)
{
  for (guint i = 0; i < world->scenario->machines; i++)
    {
      g_autoptr (QuinceReplicaSet) voters = disk_voters (&world->machines[i]);
      guint lost = 1;

      for (guint j = 0; j < voters->voters.voters_len; j++)
        lost += g_hash_table_contains (world->lost_ids, &voters->voters.voters_val[j].replica_id);
      if (voters->voters.voters_len > 0 && lost > (voters->voters.voters_len - 1) / 2)
        return FALSE;
    }
  return TRUE;
}

static void
lose_disk (World *world, Machine *machine)
{
  if (!may_lose_disk (world, machine))
    return;
  crash (world, machine);
  g_hash_table_add (world->lost_ids, key_of (machine->id));
  machine->id = ((guint64)g_rand_int (world->random) << 32) | g_rand_int (world->random) | 1;
  machine->epoch = machine->voted_for = 0;
  machine->snapshot_index = machine->snapshot_epoch = machine->snapshot_state = 0;
  g_clear_pointer (&machine->snapshot_voters, quince_replica_set_free);
  g_ptr_array_set_size (machine->entries, 0);
  world->lost_disks++;
}

static void
transfer (World *world, Machine *machine)
{
  GPtrArray *effects;

  if (!runs (machine))
    return;
  effects = quince_effects_new ();
  quince_consensus_transfer (machine->consensus, world->now_us, effects);
  settle (world, machine, effects);
}

/* The daemon's part: an empty replica asks around until it is taken in. */
static void
ask_to_join (World *world, Machine *machine)
{
  QuinceReplication message = { 0 };

  if (!runs (machine) || quince_consensus_get_voters (machine->consensus)->voters.voters_len > 0)
    return;
  message.from = machine->id;
  message.body.kind = QUINCE_REPLICATION_JOIN;
  message.body.QuinceReplicationBody_u.join.replica
      = (QuinceReplica){ machine->id, machine->node, machine->zone, machine->address };
  post (world, machine, pick (world)->address, &message);
}

static void
pause_process (World *world, Machine *machine)
{
  if (!runs (machine))
    return;
  machine->paused = TRUE;
  machine->up_at_us = world->now_us + g_rand_int_range (world->random, 100 * 1000, 4000 * 1000);
}

static void
partition (World *world)
{
  gboolean heal = g_rand_int_range (world->random, 0, 2) == 0;

  for (guint i = 0; i < world->scenario->machines; i++)
    world->machines[i].group = heal ? 0 : (guint)g_rand_int_range (world->random, 0, 2);
}

static void
inject_faults (World *world)
{
  const Scenario *scenario = world->scenario;

  if (chance (world, scenario->crash))
    crash (world, pick (world));
  if (chance (world, scenario->partition))
    partition (world);
  if (chance (world, scenario->pause))
    pause_process (world, pick (world));
  if (chance (world, scenario->lose_disk))
    lose_disk (world, pick (world));
  if (chance (world, scenario->transfer))
    transfer (world, pick (world));
  if (chance (world, scenario->compact))
    compact (world, pick (world));
}

static void
step (World *world)
{
  world->step++;
  tick_all (world);
  deliver_one (world);
  deliver_one (world);
  if (g_rand_int_range (world->random, 0, 20) == 0)
    use_leader (world, pick (world));
  if (g_rand_int_range (world->random, 0, 200) == 0)
    ask_to_join (world, pick (world));
  inject_faults (world);
}

/* ---- Scenarios ------------------------------------------------------ */

static void
world_init (World *world, const Scenario *scenario)
{
  QuinceReplica first[MAX_MACHINES];
  QuinceReplicaSet voters = { { scenario->first_voters, first } };

  memset (world, 0, sizeof *world);
  world->scenario = scenario;
  world->random = g_rand_new_with_seed (scenario->seed);
  world->now_us = 1000 * 1000;
  world->faults = TRUE;
  world->messages = g_ptr_array_new_with_free_func (letter_free);
  world->leaders = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  world->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  world->lost_ids = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  world->committed = g_array_new (FALSE, FALSE, sizeof (Committed));
  for (guint i = 0; i < scenario->machines; i++)
    {
      Machine *machine = &world->machines[i];

      machine->slot = i;
      machine->id = 100 + i;
      machine->address = g_strdup_printf ("10.0.0.%u:7000", i + 1);
      machine->node = g_strdup_printf ("n%u", i + 1);
      machine->zone = g_strdup_printf ("z%u", i % 3);
      machine->entries = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_entry_free);
      first[i] = (QuinceReplica){ machine->id, machine->node, machine->zone, machine->address };
      start (world, machine);
    }
  for (guint i = 0; i < scenario->first_voters; i++)
    {
      GPtrArray *effects = quince_effects_new ();

      quince_consensus_bootstrap (world->machines[i].consensus, world->now_us, &voters, effects);
      settle (world, &world->machines[i], effects);
    }
}

static void
world_clear (World *world)
{
  for (guint i = 0; i < world->scenario->machines; i++)
    {
      Machine *machine = &world->machines[i];

      g_clear_pointer (&machine->consensus, quince_consensus_free);
      g_clear_pointer (&machine->snapshot_voters, quince_replica_set_free);
      g_clear_pointer (&machine->applied_voters, quince_replica_set_free);
      g_ptr_array_unref (machine->entries);
      g_free (machine->address);
      g_free (machine->node);
      g_free (machine->zone);
    }
  g_rand_free (world->random);
  g_ptr_array_unref (world->messages);
  g_hash_table_unref (world->leaders);
  g_hash_table_unref (world->entries);
  g_hash_table_unref (world->lost_ids);
  g_array_unref (world->committed);
}

/* All machines run, know the same and hold the wanted number of live voters. */
static gboolean
is_settled (World *world, guint64 least_committed)
{
  guint wanted = MIN (world->scenario->machines, test_limits.voters_target);

  for (guint i = 0; i < world->scenario->machines; i++)
    {
      const Machine *machine = &world->machines[i];

      if (!runs (machine) || machine->applied < least_committed
          || machine->applied_voters->voters.voters_len < wanted)
        return FALSE;
      for (guint j = 0; j < machine->applied_voters->voters.voters_len; j++)
        if (g_hash_table_contains (world->lost_ids,
                                   &machine->applied_voters->voters.voters_val[j].replica_id))
          return FALSE;
    }
  return TRUE;
}

/* Without faults the ledger makes progress again, and lost voters are replaced. */
static void
heal (World *world)
{
  guint64 wanted = world->committed->len + 20;
  guint limit = world->step + 120 * 1000;

  world->faults = FALSE;
  for (guint i = 0; i < world->scenario->machines; i++)
    world->machines[i].group = 0;
  while (!is_settled (world, wanted) && world->step < limit)
    step (world);
  check (world, is_settled (world, wanted));
}

static const Scenario scenarios[] = {
  { .name = "calm", .machines = 3, .first_voters = 3, .steps = 20000 },
  { .name = "lossy",
    .machines = 3,
    .first_voters = 3,
    .steps = 40000,
    .drop = 1000,
    .duplicate = 1000,
    .delay = 500,
    .compact = 20 },
  { .name = "crashes",
    .machines = 3,
    .first_voters = 3,
    .steps = 40000,
    .drop = 200,
    .duplicate = 500,
    .delay = 200,
    .crash = 10,
    .crash_between_effects = 20,
    .compact = 20 },
  { .name = "partitions",
    .machines = 5,
    .first_voters = 5,
    .steps = 40000,
    .drop = 100,
    .duplicate = 500,
    .delay = 500,
    .crash = 5,
    .partition = 15,
    .compact = 20 },
  { .name = "pauses and transfers",
    .machines = 3,
    .first_voters = 3,
    .steps = 40000,
    .duplicate = 200,
    .delay = 500,
    .pause = 15,
    .partition = 5,
    .transfer = 20,
    .compact = 20 },
  { .name = "lost disks",
    .machines = 4,
    .first_voters = 3,
    .steps = 40000,
    .drop = 50,
    .duplicate = 200,
    .delay = 200,
    .crash = 3,
    .lose_disk = 3,
    .transfer = 3,
    .compact = 20 },
  { .name = "growth",
    .machines = 5,
    .first_voters = 1,
    .steps = 30000,
    .drop = 100,
    .delay = 200,
    .crash = 3,
    .compact = 20 },
  { .name = "everything",
    .machines = 5,
    .first_voters = 3,
    .steps = 40000,
    .drop = 200,
    .duplicate = 300,
    .delay = 300,
    .crash = 5,
    .crash_between_effects = 5,
    .partition = 5,
    .pause = 5,
    .lose_disk = 2,
    .transfer = 5,
    .compact = 30 },
};

#define SEEDS 24

static void
test_simulation (void **state)
{
  for (gsize i = 0; i < G_N_ELEMENTS (scenarios); i++)
    {
      guint steps = 0, committed = 0, elections = 0, snapshots = 0, voter_changes = 0, lost_disks = 0,
            reads = 0;

      for (guint32 seed = 1; seed <= SEEDS; seed++)
        {
          Scenario scenario = scenarios[i];
          World world;

          scenario.seed = seed;
          world_init (&world, &scenario);
          while (world.step < scenario.steps)
            step (&world);
          heal (&world);
          check (&world, world.confirmed_reads > 0);
          check (&world, scenario.lose_disk == 0 || (world.lost_disks > 0 && world.voter_changes >= 2));
          steps += world.step;
          committed += world.committed->len;
          elections += world.elections;
          snapshots += world.snapshots;
          voter_changes += world.voter_changes;
          lost_disks += world.lost_disks;
          reads += world.confirmed_reads;
          world_clear (&world);
        }
      print_message (
          "%-20s steps %u committed %u elections %u snapshots %u voter changes %u lost disks %u reads %u\n",
          scenarios[i].name, steps, committed, elections, snapshots, voter_changes, lost_disks, reads);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_simulation),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
