/* consensus.c: life cycle, dispatch of messages and time, and what every role shares. */
#include "consensus-private.h"

const QuinceConsensusLimits quince_consensus_default_limits = {
  .heartbeat_us = 100 * 1000,
  .election_least_us = 600 * 1000,
  .election_most_us = 1200 * 1000,
  .dead_after_us = 30 * 1000 * 1000,
  .voters_target = 3,
  .append_most_bytes = 1024 * 1024,
};

/* Introductions kept at most; beyond this they are forgotten and learnt anew. */
#define MAX_ADDRESSES 64

void
quince_replica_init_copy (QuinceReplica *to, const QuinceReplica *from)
{
  to->replica_id = from->replica_id;
  to->node = quince_string (from->node);
  to->zone = quince_string (from->zone);
  to->address = quince_string (from->address);
}

void
quince_replica_clear (QuinceReplica *replica)
{
  g_clear_pointer (&replica->node, g_free);
  g_clear_pointer (&replica->zone, g_free);
  g_clear_pointer (&replica->address, g_free);
}

static guint64 *
id_key (guint64 id)
{
  return g_memdup2 (&id, sizeof id);
}

static void
load_state (QuinceConsensus *self, const QuinceConsensusState *state)
{
  self->epoch = state->epoch;
  self->voted_for = state->voted_for;
  if (state->snapshot_voters != NULL)
    quince_replicated_log_reset (&self->log, state->snapshot_index, state->snapshot_epoch,
                                 state->snapshot_voters);
  for (guint i = 0; state->entries != NULL && i < state->entries->len; i++)
    {
      const QuinceEntry *entry = g_ptr_array_index (state->entries, i);

      if (entry->index > state->snapshot_index)
        quince_replicated_log_append (&self->log,
                                      quince_log_entry_new (entry->index, entry->epoch, entry->kind,
                                                            entry->data.data_val, entry->data.data_len));
    }
  self->commit_index = state->snapshot_index;
}

QuinceConsensus *
quince_consensus_new (const QuinceConsensusLimits *limits,
                      const QuinceReplica *self_replica,
                      const QuinceConsensusState *state,
                      guint64 seed,
                      gint64 now_us)
{
  QuinceConsensus *self = g_new0 (QuinceConsensus, 1);

  self->limits = limits != NULL ? *limits : quince_consensus_default_limits;
  quince_replica_init_copy (&self->self, self_replica);
  self->random_state = seed;
  quince_replicated_log_init (&self->log);
  self->addresses = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  self->votes = g_array_new (FALSE, FALSE, sizeof (guint64));
  self->peers = g_ptr_array_new_with_free_func (quince_replication_peer_free);
  if (state != NULL)
    load_state (self, state);
  self->voters = quince_replicated_log_voters_at (&self->log, G_MAXUINT64, &self->voters_index);
  self->role = quince_consensus_is_voter (self, self->self.replica_id) ? QUINCE_CONSENSUS_FOLLOWER
                                                                       : QUINCE_CONSENSUS_LEARNER;
  quince_election_reset_deadline (self, now_us);
  return self;
}

void
quince_consensus_free (QuinceConsensus *self)
{
  quince_replica_clear (&self->self);
  quince_replicated_log_clear (&self->log);
  quince_replica_set_free (self->voters);
  g_hash_table_unref (self->addresses);
  g_array_unref (self->votes);
  g_ptr_array_unref (self->peers);
  g_clear_pointer (&self->incoming, g_byte_array_unref);
  g_free (self);
}

gboolean
quince_consensus_is_voter (const QuinceConsensus *self, guint64 id)
{
  for (guint i = 0; i < self->voters->voters.voters_len; i++)
    if (self->voters->voters.voters_val[i].replica_id == id)
      return TRUE;
  return FALSE;
}

guint
quince_consensus_majority (const QuinceConsensus *self)
{
  return self->voters->voters.voters_len / 2 + 1;
}

const char *
quince_consensus_address_of (const QuinceConsensus *self, guint64 id)
{
  const QuincePeer *peer = quince_replication_find_peer (self, id);
  const char *address = g_hash_table_lookup (self->addresses, &id);

  if (peer != NULL)
    return peer->replica.address;
  if (address != NULL)
    return address;
  for (guint i = 0; i < self->voters->voters.voters_len; i++)
    if (self->voters->voters.voters_val[i].replica_id == id)
      return self->voters->voters.voters_val[i].address;
  return "";
}

void
quince_consensus_learn_address (QuinceConsensus *self, const QuinceReplica *replica)
{
  if (g_hash_table_size (self->addresses) >= MAX_ADDRESSES)
    g_hash_table_remove_all (self->addresses);
  g_hash_table_insert (self->addresses, id_key (replica->replica_id), g_strdup (replica->address));
}

QuinceReplicationBody *
quince_consensus_send (QuinceConsensus *self, guint64 to, QuinceReplicationKind kind, GPtrArray *effects)
{
  return quince_effect_add_send (effects, self->self.replica_id, to, quince_consensus_address_of (self, to),
                                 kind);
}

void
quince_consensus_introduce (QuinceConsensus *self, guint64 to, const char *address, GPtrArray *effects)
{
  QuinceReplicationBody *body
      = quince_effect_add_send (effects, self->self.replica_id, to, address, QUINCE_REPLICATION_JOIN);

  quince_replica_init_copy (&body->QuinceReplicationBody_u.join.replica, &self->self);
}

/* splitmix64 (Steele, Lea and Flood, 2014). */
guint64
quince_consensus_random (QuinceConsensus *self, guint64 least, guint64 most)
{
  guint64 word = self->random_state += 0x9e3779b97f4a7c15u;

  word = (word ^ (word >> 30)) * 0xbf58476d1ce4e5b9u;
  word = (word ^ (word >> 27)) * 0x94d049bb133111ebu;
  word ^= word >> 31;
  return most > least ? least + word % (most - least + 1) : least;
}

void
quince_consensus_refresh_voters (QuinceConsensus *self, gint64 now_us, GPtrArray *effects)
{
  gboolean is_voter;

  quince_replica_set_free (self->voters);
  self->voters = quince_replicated_log_voters_at (&self->log, G_MAXUINT64, &self->voters_index);
  if (self->role == QUINCE_CONSENSUS_LEADER)
    {
      quince_voters_sync_peers (self, now_us);
      return;
    }
  is_voter = quince_consensus_is_voter (self, self->self.replica_id);
  if (is_voter == (self->role != QUINCE_CONSENSUS_LEARNER))
    return;
  self->role = is_voter ? QUINCE_CONSENSUS_FOLLOWER : QUINCE_CONSENSUS_LEARNER;
  quince_election_emit_role (self, effects);
}

guint64
quince_consensus_append_entry (QuinceConsensus *self,
                               gint64 now_us,
                               QuinceEntryKind kind,
                               gconstpointer data,
                               gsize length,
                               GPtrArray *effects)
{
  guint64 index = quince_replicated_log_last_index (&self->log) + 1;
  QuinceEntry *entry = quince_log_entry_new (index, self->epoch, kind, data, length);
  QuinceEffect *effect = quince_effect_add (effects, QUINCE_EFFECT_PERSIST_ENTRIES);

  effect->entries = g_ptr_array_new_with_free_func (quince_log_entry_unref);
  g_ptr_array_add (effect->entries, quince_log_entry_ref (entry));
  quince_replicated_log_append (&self->log, entry);
  if (kind == QUINCE_ENTRY_VOTERS)
    quince_consensus_refresh_voters (self, now_us, effects);
  return index;
}

void
quince_consensus_commit_to (QuinceConsensus *self, guint64 index, GPtrArray *effects)
{
  index = MIN (index, quince_replicated_log_last_index (&self->log));
  while (self->commit_index < index)
    {
      QuinceEntry *entry = quince_replicated_log_get (&self->log, ++self->commit_index);

      quince_effect_add (effects, QUINCE_EFFECT_COMMITTED)->entry = quince_log_entry_ref (entry);
    }
}

void
quince_consensus_bootstrap (QuinceConsensus *self,
                            gint64 now_us,
                            const QuinceReplicaSet *voters,
                            GPtrArray *effects)
{
  gboolean included = FALSE;

  for (guint i = 0; i < voters->voters.voters_len; i++)
    included = included || voters->voters.voters_val[i].replica_id == self->self.replica_id;
  if (!included || self->voters->voters.voters_len > 0 || quince_replicated_log_last_index (&self->log) > 0)
    return;
  quince_snapshots_install (self, now_us, 0, 0, voters, NULL, effects);
  quince_election_reset_deadline (self, now_us);
}

void
quince_consensus_receive (QuinceConsensus *self,
                          gint64 now_us,
                          const QuinceReplication *message,
                          GPtrArray *effects)
{
  const QuinceReplicationBody *body = &message->body;

  if (body->kind == QUINCE_REPLICATION_JOIN)
    {
      quince_voters_receive_join (self, now_us, message, effects);
      return;
    }
  if (message->to != self->self.replica_id || message->from == 0 || message->from == message->to)
    return;
  switch (body->kind)
    {
    case QUINCE_REPLICATION_VOTE_REQUEST:
      quince_election_receive_request (self, now_us, &body->QuinceReplicationBody_u.vote_request, effects);
      break;
    case QUINCE_REPLICATION_VOTE_REPLY:
      quince_election_receive_reply (self, now_us, &body->QuinceReplicationBody_u.vote_reply, effects);
      break;
    case QUINCE_REPLICATION_APPEND_REQUEST:
      quince_replication_receive_request (self, now_us, &body->QuinceReplicationBody_u.append_request,
                                          effects);
      break;
    case QUINCE_REPLICATION_APPEND_REPLY:
      quince_replication_receive_reply (self, now_us, &body->QuinceReplicationBody_u.append_reply, effects);
      break;
    case QUINCE_REPLICATION_SNAPSHOT_REQUEST:
      quince_snapshots_receive_request (self, now_us, &body->QuinceReplicationBody_u.snapshot_request,
                                        effects);
      break;
    case QUINCE_REPLICATION_SNAPSHOT_REPLY:
      quince_snapshots_receive_reply (self, now_us, &body->QuinceReplicationBody_u.snapshot_reply, effects);
      break;
    case QUINCE_REPLICATION_TRANSFER:
      quince_election_receive_transfer (self, now_us, &body->QuinceReplicationBody_u.transfer, effects);
      break;
    default:
      break;
    }
}

void
quince_consensus_tick (QuinceConsensus *self, gint64 now_us, GPtrArray *effects)
{
  if (self->role == QUINCE_CONSENSUS_LEADER)
    quince_replication_leader_tick (self, now_us, effects);
  else if (now_us >= self->election_deadline_us)
    quince_election_timeout (self, now_us, effects);
}

gint64
quince_consensus_next_wakeup (const QuinceConsensus *self)
{
  return self->role == QUINCE_CONSENSUS_LEADER ? self->heartbeat_deadline_us : self->election_deadline_us;
}

guint64
quince_consensus_propose (QuinceConsensus *self,
                          gint64 now_us,
                          gconstpointer data,
                          gsize length,
                          GPtrArray *effects)
{
  if (self->role != QUINCE_CONSENSUS_LEADER || self->transfer_target != 0)
    return 0;
  return quince_consensus_append_entry (self, now_us, QUINCE_ENTRY_RECORD, data, length, effects);
}

void
quince_consensus_flush (QuinceConsensus *self, gint64 now_us, GPtrArray *effects)
{
  if (self->role != QUINCE_CONSENSUS_LEADER)
    return;
  quince_replication_broadcast (self, now_us, self->round_unsent, effects);
  self->round_unsent = FALSE;
  quince_replication_advance (self, effects);
}

guint64
quince_consensus_confirm (QuinceConsensus *self, gint64 now_us, GPtrArray *effects)
{
  if (self->role != QUINCE_CONSENSUS_LEADER)
    return 0;
  if (!self->round_unsent)
    self->round++;
  self->round_unsent = TRUE;
  return self->round;
}

void
quince_consensus_compacted (QuinceConsensus *self, guint64 index)
{
  if (index > self->log.base_index)
    quince_replicated_log_compact (&self->log, MIN (index, self->commit_index));
}

QuinceConsensusRole
quince_consensus_get_role (const QuinceConsensus *self)
{
  return self->role;
}

guint64
quince_consensus_get_epoch (const QuinceConsensus *self)
{
  return self->epoch;
}

guint64
quince_consensus_get_leader (const QuinceConsensus *self, const char **address)
{
  if (address != NULL && self->leader_id == self->self.replica_id)
    *address = self->self.address;
  else if (address != NULL)
    *address = self->leader_id != 0 ? quince_consensus_address_of (self, self->leader_id) : "";
  return self->leader_id;
}

guint64
quince_consensus_get_commit_index (const QuinceConsensus *self)
{
  return self->commit_index;
}

guint64
quince_consensus_get_last_index (const QuinceConsensus *self)
{
  return quince_replicated_log_last_index (&self->log);
}

const QuinceReplicaSet *
quince_consensus_get_voters (const QuinceConsensus *self)
{
  return self->voters;
}
