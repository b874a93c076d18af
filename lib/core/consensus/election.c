/* election.c: pre-vote, votes, and changes of role. */
#include "consensus-private.h"

void
quince_election_reset_deadline (QuinceConsensus *self, gint64 now_us)
{
  self->election_deadline_us = now_us
                               + (gint64)quince_consensus_random (self, self->limits.election_least_us,
                                                                  self->limits.election_most_us);
}

void
quince_election_emit_role (QuinceConsensus *self, GPtrArray *effects)
{
  QuinceEffect *effect = quince_effect_add (effects, QUINCE_EFFECT_ROLE);
  const char *address;

  effect->role = self->role;
  effect->epoch = self->epoch;
  effect->to = quince_consensus_get_leader (self, &address);
  effect->address = g_strdup (address);
}

static void
persist_vote (QuinceConsensus *self, GPtrArray *effects)
{
  QuinceEffect *effect = quince_effect_add (effects, QUINCE_EFFECT_PERSIST_VOTE);

  effect->epoch = self->epoch;
  effect->voted_for = self->voted_for;
}

/* Leader's state ends with its role. */
static void
leave_leadership (QuinceConsensus *self)
{
  g_ptr_array_set_size (self->peers, 0);
  self->transfer_target = 0;
  self->round_unsent = FALSE;
}

void
quince_election_become_follower (QuinceConsensus *self,
                                 gint64 now_us,
                                 guint64 epoch,
                                 guint64 leader,
                                 GPtrArray *effects)
{
  QuinceConsensusRole role = quince_consensus_is_voter (self, self->self.replica_id)
                                 ? QUINCE_CONSENSUS_FOLLOWER
                                 : QUINCE_CONSENSUS_LEARNER;
  gboolean changed = self->role != role || self->epoch != epoch || self->leader_id != leader;

  if (epoch > self->epoch)
    {
      self->epoch = epoch;
      self->voted_for = 0;
      persist_vote (self, effects);
    }
  if (self->role == QUINCE_CONSENSUS_LEADER)
    {
      leave_leadership (self);
      quince_election_reset_deadline (self, now_us);
    }
  if (leader != 0)
    {
      self->leader_contact_us = now_us;
      quince_election_reset_deadline (self, now_us);
    }
  self->role = role;
  self->leader_id = leader;
  if (changed)
    quince_election_emit_role (self, effects);
}

static void
become_leader (QuinceConsensus *self, gint64 now_us, GPtrArray *effects)
{
  gboolean has_voters_entry = self->voters_index > 0;

  self->role = QUINCE_CONSENSUS_LEADER;
  self->leader_id = self->self.replica_id;
  self->round = self->confirmed_round = 0;
  self->round_unsent = FALSE;
  self->transfer_target = 0;
  self->heartbeat_deadline_us = now_us + (gint64)self->limits.heartbeat_us;
  g_ptr_array_set_size (self->peers, 0);
  quince_voters_sync_peers (self, now_us);
  quince_election_emit_role (self, effects);
  self->epoch_start_index = quince_consensus_append_entry (self, now_us, QUINCE_ENTRY_NOOP, NULL, 0, effects);
  /* The first voters enter the log, so that a learner that starts empty learns them. */
  if (!has_voters_entry)
    {
      g_autoptr (GBytes) voters = quince_replica_set_encode (self->voters, NULL);

      quince_consensus_append_entry (self, now_us, QUINCE_ENTRY_VOTERS, g_bytes_get_data (voters, NULL),
                                     g_bytes_get_size (voters), effects);
    }
  quince_replication_broadcast (self, now_us, TRUE, effects);
  quince_replication_advance (self, effects);
}

/* Notes a vote once. Returns: TRUE when a majority of the voters has granted. */
static gboolean
count_vote (QuinceConsensus *self, guint64 voter)
{
  if (!quince_consensus_is_voter (self, voter))
    return FALSE;
  for (guint i = 0; i < self->votes->len; i++)
    if (g_array_index (self->votes, guint64, i) == voter)
      return FALSE;
  g_array_append_val (self->votes, voter);
  return self->votes->len >= quince_consensus_majority (self);
}

static void
request_votes (QuinceConsensus *self, guint64 epoch, gboolean transfer, GPtrArray *effects)
{
  for (guint i = 0; i < self->voters->voters.voters_len; i++)
    {
      const QuinceReplica *voter = &self->voters->voters.voters_val[i];
      QuinceVoteRequest *request;

      if (voter->replica_id == self->self.replica_id)
        continue;
      quince_consensus_introduce (self, voter->replica_id, voter->address, effects);
      request = &quince_consensus_send (self, voter->replica_id, QUINCE_REPLICATION_VOTE_REQUEST, effects)
                     ->QuinceReplicationBody_u.vote_request;
      request->epoch = epoch;
      request->candidate = self->self.replica_id;
      request->last_index = quince_replicated_log_last_index (&self->log);
      request->last_epoch = quince_replicated_log_last_epoch (&self->log);
      request->trial = self->trial;
      request->transfer = transfer;
    }
}

static void
start_election (QuinceConsensus *self, gint64 now_us, gboolean transfer, GPtrArray *effects)
{
  self->epoch++;
  self->voted_for = self->self.replica_id;
  persist_vote (self, effects);
  self->role = QUINCE_CONSENSUS_CANDIDATE;
  self->trial = FALSE;
  self->leader_id = 0;
  g_array_set_size (self->votes, 0);
  quince_election_reset_deadline (self, now_us);
  quince_election_emit_role (self, effects);
  if (count_vote (self, self->self.replica_id))
    become_leader (self, now_us, effects);
  else
    request_votes (self, self->epoch, transfer, effects);
}

static void
start_trial (QuinceConsensus *self, gint64 now_us, GPtrArray *effects)
{
  self->role = QUINCE_CONSENSUS_CANDIDATE;
  self->trial = TRUE;
  self->leader_id = 0;
  g_array_set_size (self->votes, 0);
  quince_election_emit_role (self, effects);
  if (count_vote (self, self->self.replica_id))
    start_election (self, now_us, FALSE, effects);
  else
    request_votes (self, self->epoch + 1, FALSE, effects);
}

void
quince_election_timeout (QuinceConsensus *self, gint64 now_us, GPtrArray *effects)
{
  const char *known = "";

  quince_election_reset_deadline (self, now_us);
  for (guint i = 0; i < self->voters->voters.voters_len; i++)
    if (self->voters->voters.voters_val[i].replica_id == self->self.replica_id)
      known = self->voters->voters.voters_val[i].address;
  /* Not a voter, or one whose address has changed: make itself known. */
  if (!g_str_equal (known, self->self.address))
    quince_voters_request_join (self, effects);
  if (quince_consensus_is_voter (self, self->self.replica_id))
    start_trial (self, now_us, effects);
  else if (self->leader_id != 0)
    quince_election_become_follower (self, now_us, self->epoch, 0, effects);
}

static gboolean
log_is_current (const QuinceConsensus *self, const QuinceVoteRequest *request)
{
  guint64 last_epoch = quince_replicated_log_last_epoch (&self->log);

  if (request->last_epoch != last_epoch)
    return request->last_epoch > last_epoch;
  return request->last_index >= quince_replicated_log_last_index (&self->log);
}

static gboolean
hears_leader (const QuinceConsensus *self, gint64 now_us)
{
  if (self->role == QUINCE_CONSENSUS_LEADER)
    return TRUE;
  return self->leader_id != 0 && now_us - self->leader_contact_us < (gint64)self->limits.election_least_us;
}

static void
reply_vote (QuinceConsensus *self,
            const QuinceVoteRequest *request,
            guint64 epoch,
            gboolean granted,
            GPtrArray *effects)
{
  QuinceVoteReply *reply
      = &quince_consensus_send (self, request->candidate, QUINCE_REPLICATION_VOTE_REPLY, effects)
             ->QuinceReplicationBody_u.vote_reply;

  reply->epoch = epoch;
  reply->voter = self->self.replica_id;
  reply->granted = granted;
  reply->trial = request->trial;
}

void
quince_election_receive_request (QuinceConsensus *self,
                                 gint64 now_us,
                                 const QuinceVoteRequest *request,
                                 GPtrArray *effects)
{
  gboolean granted;

  if (request->trial)
    {
      granted
          = request->epoch > self->epoch && log_is_current (self, request) && !hears_leader (self, now_us);
      reply_vote (self, request, granted ? request->epoch : self->epoch, granted, effects);
      return;
    }
  if (!request->transfer && hears_leader (self, now_us))
    {
      reply_vote (self, request, self->epoch, FALSE, effects);
      return;
    }
  if (request->epoch > self->epoch)
    quince_election_become_follower (self, now_us, request->epoch, 0, effects);
  granted = request->epoch == self->epoch && (self->voted_for == 0 || self->voted_for == request->candidate)
            && log_is_current (self, request);
  if (granted)
    {
      self->voted_for = request->candidate;
      persist_vote (self, effects);
      quince_election_reset_deadline (self, now_us);
    }
  reply_vote (self, request, self->epoch, granted, effects);
}

void
quince_election_receive_reply (QuinceConsensus *self,
                               gint64 now_us,
                               const QuinceVoteReply *reply,
                               GPtrArray *effects)
{
  if (!reply->granted && reply->epoch > self->epoch)
    {
      quince_election_become_follower (self, now_us, reply->epoch, 0, effects);
      return;
    }
  if (self->role != QUINCE_CONSENSUS_CANDIDATE || !reply->granted || reply->trial != self->trial
      || reply->epoch != self->epoch + (self->trial ? 1 : 0))
    return;
  if (!count_vote (self, reply->voter))
    return;
  if (self->trial)
    start_election (self, now_us, FALSE, effects);
  else
    become_leader (self, now_us, effects);
}

void
quince_election_receive_transfer (QuinceConsensus *self,
                                  gint64 now_us,
                                  const QuinceTransferRequest *request,
                                  GPtrArray *effects)
{
  if (request->epoch != self->epoch || request->leader != self->leader_id
      || self->role != QUINCE_CONSENSUS_FOLLOWER)
    return;
  start_election (self, now_us, TRUE, effects);
}
