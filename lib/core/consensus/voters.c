/*
 * voters.c: learners, and voter changes one at a time.
 *
 * A replacement is two changes: the caught-up learner is added, and only when
 * that is committed the silent voter is removed.  Two sets that differ by one
 * voter always share a majority (Ongaro's thesis, 4.1); a swap in one step
 * would not.  A voter whose node came back with an empty disk is removed first:
 * were its successor added beside it, the loss of that node's next disk would
 * leave two voters of four that never come back.
 */
#include "consensus-private.h"

/* Peers follow the voters in the log; who is no voter any more goes on as a learner. */
void
quince_voters_sync_peers (QuinceConsensus *self, gint64 now_us)
{
  for (guint i = 0; i < self->peers->len; i++)
    {
      QuincePeer *peer = g_ptr_array_index (self->peers, i);

      peer->voter = quince_consensus_is_voter (self, peer->replica.replica_id);
    }
  for (guint i = 0; i < self->voters->voters.voters_len; i++)
    {
      const QuinceReplica *voter = &self->voters->voters.voters_val[i];
      QuincePeer *peer = quince_replication_find_peer (self, voter->replica_id);

      if (voter->replica_id == self->self.replica_id)
        continue;
      if (peer == NULL)
        peer = quince_replication_add_peer (self, now_us, voter, TRUE);
      if (!g_str_equal (peer->replica.address, voter->address))
        {
          g_free (peer->replica.address);
          peer->replica.address = quince_string (voter->address);
        }
    }
}

/* ---- Joining -------------------------------------------------------- */

void
quince_voters_request_join (QuinceConsensus *self, GPtrArray *effects)
{
  guint count = self->voters->voters.voters_len;
  const QuinceReplica *voter;

  if (count == 0)
    return;
  voter = &self->voters->voters.voters_val[quince_consensus_random (self, 0, count - 1)];
  if (voter->replica_id != self->self.replica_id)
    quince_consensus_introduce (self, voter->replica_id, voter->address, effects);
}

/* A request that was not forwarded yet goes on to the leader. */
static void
forward_join (QuinceConsensus *self, const QuinceReplication *message, GPtrArray *effects)
{
  QuinceReplicationBody *body;

  if (self->leader_id == 0 || self->leader_id == self->self.replica_id || self->leader_id == message->from)
    return;
  body
      = quince_effect_add_send (effects, message->from, self->leader_id,
                                quince_consensus_address_of (self, self->leader_id), QUINCE_REPLICATION_JOIN);
  quince_replica_init_copy (&body->QuinceReplicationBody_u.join.replica,
                            &message->body.QuinceReplicationBody_u.join.replica);
}

static guint
count_learners (const QuinceConsensus *self)
{
  guint count = 0;

  for (guint i = 0; i < self->peers->len; i++)
    count += !((QuincePeer *)g_ptr_array_index (self->peers, i))->voter;
  return count;
}

static void
add_learner (QuinceConsensus *self, gint64 now_us, const QuinceReplica *replica, GPtrArray *effects)
{
  QuincePeer *peer = quince_replication_find_peer (self, replica->replica_id);

  if (peer == NULL)
    {
      if (count_learners (self) >= QUINCE_CONSENSUS_MAX_LEARNERS)
        return;
      peer = quince_replication_add_peer (self, now_us, replica, FALSE);
    }
  if (!g_str_equal (peer->replica.address, replica->address))
    {
      g_free (peer->replica.address);
      peer->replica.address = quince_string (replica->address);
    }
  quince_replication_send (self, now_us, peer, TRUE, effects);
}

void
quince_voters_receive_join (QuinceConsensus *self,
                            gint64 now_us,
                            const QuinceReplication *message,
                            GPtrArray *effects)
{
  const QuinceReplica *replica = &message->body.QuinceReplicationBody_u.join.replica;

  if ((message->to != 0 && message->to != self->self.replica_id) || replica->replica_id == 0
      || replica->replica_id == self->self.replica_id || replica->replica_id != message->from)
    return;
  quince_consensus_learn_address (self, replica);
  if (self->role == QUINCE_CONSENSUS_LEADER)
    add_learner (self, now_us, replica, effects);
  else if (message->to == 0 || !quince_consensus_is_voter (self, message->from))
    forward_join (self, message, effects);
}

/* ---- Voter changes -------------------------------------------------- */

static void
append_voters (QuinceConsensus *self,
               gint64 now_us,
               const QuinceReplica *voters,
               guint count,
               GPtrArray *effects)
{
  QuinceReplicaSet set = { 0 };
  g_autoptr (GBytes) data = NULL;

  set.voters.voters_len = count;
  set.voters.voters_val = (QuinceReplica *)voters;
  data = quince_replica_set_encode (&set, NULL);
  quince_consensus_append_entry (self, now_us, QUINCE_ENTRY_VOTERS, g_bytes_get_data (data, NULL),
                                 g_bytes_get_size (data), effects);
}

static void
append_addition (QuinceConsensus *self, gint64 now_us, const QuincePeer *learner, GPtrArray *effects)
{
  QuinceReplica voters[QUINCE_CONSENSUS_MAX_VOTERS];
  guint count = self->voters->voters.voters_len;

  for (guint i = 0; i < count; i++)
    voters[i] = self->voters->voters.voters_val[i];
  voters[count++] = learner->replica;
  append_voters (self, now_us, voters, count, effects);
}

static void
append_removal (QuinceConsensus *self, gint64 now_us, guint64 id, GPtrArray *effects)
{
  QuinceReplica voters[QUINCE_CONSENSUS_MAX_VOTERS];
  guint count = 0;

  for (guint i = 0; i < self->voters->voters.voters_len; i++)
    if (self->voters->voters.voters_val[i].replica_id != id)
      voters[count++] = self->voters->voters.voters_val[i];
  append_voters (self, now_us, voters, count, effects);
}

/* The same replica at another address; the set of ids stays. */
static gboolean
append_new_address (QuinceConsensus *self, gint64 now_us, GPtrArray *effects)
{
  QuinceReplica voters[QUINCE_CONSENSUS_MAX_VOTERS];
  guint count = self->voters->voters.voters_len;
  gboolean changed = FALSE;

  for (guint i = 0; i < count; i++)
    {
      const QuincePeer *peer
          = quince_replication_find_peer (self, self->voters->voters.voters_val[i].replica_id);
      const char *address = peer != NULL ? peer->replica.address : self->self.address;

      voters[i] = self->voters->voters.voters_val[i];
      changed = changed || !g_str_equal (voters[i].address, address);
      voters[i].address = (char *)address;
    }
  if (changed)
    append_voters (self, now_us, voters, count, effects);
  return changed;
}

static gboolean
silent_for (const QuincePeer *peer, gint64 now_us, guint64 duration_us)
{
  return now_us - peer->contact_us >= (gint64)duration_us;
}

static guint
count_live_voters (const QuinceConsensus *self, gint64 now_us, guint64 silence_us)
{
  guint count = quince_consensus_is_voter (self, self->self.replica_id);

  for (guint i = 0; i < self->peers->len; i++)
    {
      const QuincePeer *peer = g_ptr_array_index (self->peers, i);

      count += peer->voter && !silent_for (peer, now_us, silence_us);
    }
  return count;
}

static gboolean
caught_up (const QuinceConsensus *self, const QuincePeer *peer, gint64 now_us)
{
  return !peer->voter && peer->replied && peer->progress == QUINCE_PROGRESS_REPLICATE
         && peer->match_index >= self->commit_index
         && !silent_for (peer, now_us, self->limits.election_least_us);
}

/* A live voter, or a learner that may take the place at once, is of the same node: @peer's disk was lost. */
static gboolean
is_replaced (const QuinceConsensus *self, const QuincePeer *peer, gint64 now_us)
{
  if (!silent_for (peer, now_us, self->limits.election_most_us))
    return FALSE;
  for (guint i = 0; i < self->peers->len; i++)
    {
      const QuincePeer *other = g_ptr_array_index (self->peers, i);
      gboolean ready = other->voter ? !silent_for (other, now_us, self->limits.election_most_us)
                                    : caught_up (self, other, now_us);

      if (other != peer && ready && g_str_equal (other->replica.node, peer->replica.node))
        return TRUE;
    }
  return g_str_equal (self->self.node, peer->replica.node);
}

static const QuincePeer *
find_removal (const QuinceConsensus *self, gint64 now_us)
{
  guint count = self->voters->voters.voters_len;

  /* Those that stay must have a live majority without the one that goes. */
  if (count < 2 || count_live_voters (self, now_us, self->limits.election_most_us) < (count - 1) / 2 + 1)
    return NULL;
  for (guint i = 0; i < self->peers->len; i++)
    {
      const QuincePeer *peer = g_ptr_array_index (self->peers, i);

      if (!peer->voter)
        continue;
      if (is_replaced (self, peer, now_us))
        return peer;
      if (count > self->limits.voters_target && silent_for (peer, now_us, self->limits.dead_after_us))
        return peer;
    }
  return NULL;
}

/* Its node's former voter goes first; see is_replaced(). */
static gboolean
node_has_voter (const QuinceConsensus *self, const char *node)
{
  for (guint i = 0; i < self->voters->voters.voters_len; i++)
    if (g_str_equal (self->voters->voters.voters_val[i].node, node))
      return TRUE;
  return FALSE;
}

/* Greater is better: takes the place of a zone without a live voter first. */
static guint
rank_learner (const QuinceConsensus *self, const QuincePeer *learner, gint64 now_us)
{
  gboolean new_zone = !g_str_equal (learner->replica.zone, self->self.zone);

  for (guint i = 0; i < self->peers->len; i++)
    {
      const QuincePeer *peer = g_ptr_array_index (self->peers, i);

      if (!peer->voter)
        continue;
      if (g_str_equal (peer->replica.zone, learner->replica.zone)
          && !silent_for (peer, now_us, self->limits.dead_after_us))
        new_zone = FALSE;
    }
  return new_zone ? 2 : 1;
}

static const QuincePeer *
find_addition (const QuinceConsensus *self, gint64 now_us)
{
  guint count = self->voters->voters.voters_len;
  gboolean lacking
      = count_live_voters (self, now_us, self->limits.dead_after_us) < self->limits.voters_target;
  const QuincePeer *best = NULL;
  guint best_rank = 0;

  if (!lacking || count > self->limits.voters_target || count + 1 > QUINCE_CONSENSUS_MAX_VOTERS)
    return NULL;
  for (guint i = 0; i < self->peers->len; i++)
    {
      const QuincePeer *peer = g_ptr_array_index (self->peers, i);
      guint rank;

      if (!caught_up (self, peer, now_us) || node_has_voter (self, peer->replica.node))
        continue;
      rank = rank_learner (self, peer, now_us);
      if (rank > best_rank)
        {
          best = peer;
          best_rank = rank;
        }
    }
  return best;
}

static void
drop_silent_learners (QuinceConsensus *self, gint64 now_us)
{
  for (guint i = self->peers->len; i > 0; i--)
    {
      const QuincePeer *peer = g_ptr_array_index (self->peers, i - 1);

      if (!peer->voter && silent_for (peer, now_us, self->limits.dead_after_us))
        g_ptr_array_remove_index (self->peers, i - 1);
    }
}

void
quince_voters_consider_change (QuinceConsensus *self, gint64 now_us, GPtrArray *effects)
{
  const QuincePeer *peer;

  drop_silent_learners (self, now_us);
  /* One change at a time, and only once an entry of this epoch is committed. */
  if (self->commit_index < self->epoch_start_index || self->commit_index < self->voters_index
      || self->transfer_target != 0)
    return;
  if (append_new_address (self, now_us, effects))
    return;
  peer = find_removal (self, now_us);
  if (peer != NULL)
    {
      append_removal (self, now_us, peer->replica.replica_id, effects);
      return;
    }
  peer = find_addition (self, now_us);
  if (peer != NULL)
    append_addition (self, now_us, peer, effects);
}
