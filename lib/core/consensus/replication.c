/* replication.c: appends and their replies, the commit rule, read rounds. */
#include "consensus-private.h"

/* Appends under way to one peer, in multiples of append_most_bytes. */
#define WINDOW_MESSAGES 4
/* Entries of one append; well under what the protocol allows. */
#define APPEND_MOST_ENTRIES 1024

void
quince_replication_peer_free (gpointer data)
{
  QuincePeer *peer = data;

  quince_snapshots_forget (peer);
  quince_replica_clear (&peer->replica);
  g_free (peer);
}

QuincePeer *
quince_replication_find_peer (const QuinceConsensus *self, guint64 id)
{
  for (guint i = 0; i < self->peers->len; i++)
    {
      QuincePeer *peer = g_ptr_array_index (self->peers, i);

      if (peer->replica.replica_id == id)
        return peer;
    }
  return NULL;
}

QuincePeer *
quince_replication_add_peer (QuinceConsensus *self,
                             gint64 now_us,
                             const QuinceReplica *replica,
                             gboolean voter)
{
  QuincePeer *peer = g_new0 (QuincePeer, 1);

  quince_replica_init_copy (&peer->replica, replica);
  peer->voter = voter;
  peer->contact_us = now_us;
  peer->next_index = quince_replicated_log_last_index (&self->log) + 1;
  g_ptr_array_add (self->peers, peer);
  return peer;
}

/* ---- Leader: sending ------------------------------------------------ */

/* Number of entries from @from that fit one append. */
static guint
count_entries (const QuinceConsensus *self, guint64 from)
{
  guint64 last = quince_replicated_log_last_index (&self->log);
  gsize bytes = 0;
  guint count = 0;

  while (from + count <= last && count < APPEND_MOST_ENTRIES)
    {
      bytes += quince_replicated_log_get (&self->log, from + count)->data.data_len;
      if (count > 0 && bytes > self->limits.append_most_bytes)
        break;
      count++;
    }
  return count;
}

static void
fill_entries (const QuinceConsensus *self, QuinceAppendRequest *request, guint64 from, guint count)
{
  if (count == 0)
    return;
  request->entries.entries_len = count;
  request->entries.entries_val = g_new0 (QuinceEntry, count);
  for (guint i = 0; i < count; i++)
    {
      const QuinceEntry *source = quince_replicated_log_get (&self->log, from + i);
      QuinceEntry *entry = &request->entries.entries_val[i];

      *entry = *source;
      entry->data.data_val = g_memdup2 (source->data.data_val, source->data.data_len);
    }
}

static void
send_append (QuinceConsensus *self, QuincePeer *peer, guint64 previous, guint count, GPtrArray *effects)
{
  QuinceAppendRequest *request;

  if (!peer->replied)
    quince_consensus_introduce (self, peer->replica.replica_id, peer->replica.address, effects);
  request
      = &quince_consensus_send (self, peer->replica.replica_id, QUINCE_REPLICATION_APPEND_REQUEST, effects)
             ->QuinceReplicationBody_u.append_request;
  request->epoch = self->epoch;
  request->leader = self->self.replica_id;
  request->previous_index = previous;
  request->previous_epoch = quince_replicated_log_epoch_at (&self->log, previous);
  request->commit_index = self->commit_index;
  request->round = self->round;
  fill_entries (self, request, previous + 1, count);
}

static gboolean
window_open (const QuinceConsensus *self, const QuincePeer *peer)
{
  guint64 sent = peer->next_index - 1;

  if (sent - peer->match_index >= (guint64)WINDOW_MESSAGES * APPEND_MOST_ENTRIES)
    return FALSE;
  return quince_replicated_log_bytes_between (&self->log, peer->match_index, sent)
         < (guint64)WINDOW_MESSAGES * self->limits.append_most_bytes;
}

static void
send_pipelined (QuinceConsensus *self, QuincePeer *peer, gboolean force, GPtrArray *effects)
{
  while (force || window_open (self, peer))
    {
      guint count = window_open (self, peer) ? count_entries (self, peer->next_index) : 0;

      if (count == 0 && !force)
        break;
      send_append (self, peer, peer->next_index - 1, count, effects);
      peer->next_index += count;
      force = FALSE;
    }
}

void
quince_replication_send (QuinceConsensus *self,
                         gint64 now_us,
                         QuincePeer *peer,
                         gboolean force,
                         GPtrArray *effects)
{
  if (peer->progress != QUINCE_PROGRESS_SNAPSHOT && peer->next_index <= self->log.base_index)
    quince_snapshots_begin (self, now_us, peer, effects);
  switch (peer->progress)
    {
    case QUINCE_PROGRESS_SNAPSHOT:
      if (!force)
        break;
      send_append (self, peer, self->log.base_index, 0, effects);
      quince_snapshots_resend (self, now_us, peer, effects);
      break;
    case QUINCE_PROGRESS_PROBE:
      if (peer->probing && !force)
        break;
      /* Entries go only to a peer that answers. */
      send_append (self, peer, peer->next_index - 1,
                   peer->replied && !peer->probing ? count_entries (self, peer->next_index) : 0, effects);
      peer->probing = TRUE;
      break;
    case QUINCE_PROGRESS_REPLICATE:
      send_pipelined (self, peer, force, effects);
      break;
    }
}

void
quince_replication_broadcast (QuinceConsensus *self, gint64 now_us, gboolean force, GPtrArray *effects)
{
  for (guint i = 0; i < self->peers->len; i++)
    quince_replication_send (self, now_us, g_ptr_array_index (self->peers, i), force, effects);
}

/* ---- Leader: commit rule and read rounds ---------------------------- */

static int
compare_descending (gconstpointer a, gconstpointer b)
{
  guint64 left = *(const guint64 *)a;
  guint64 right = *(const guint64 *)b;

  return left < right ? 1 : left > right ? -1 : 0;
}

/* Greatest number that a majority of the voters has reached. */
static guint64
majority_of (const QuinceConsensus *self, guint64 own, gsize peer_offset)
{
  guint64 reached[QUINCE_CONSENSUS_MAX_VOTERS] = { 0 };
  guint count = 0;

  if (quince_consensus_is_voter (self, self->self.replica_id))
    reached[count++] = own;
  for (guint i = 0; i < self->peers->len; i++)
    {
      const QuincePeer *peer = g_ptr_array_index (self->peers, i);

      if (peer->voter && count < G_N_ELEMENTS (reached))
        reached[count++] = G_STRUCT_MEMBER (guint64, peer, peer_offset);
    }
  qsort (reached, count, sizeof reached[0], compare_descending);
  return reached[quince_consensus_majority (self) - 1];
}

/* Commits what a majority holds and confirms the read round that it has echoed. */
void
quince_replication_advance (QuinceConsensus *self, GPtrArray *effects)
{
  guint64 index = majority_of (self, quince_replicated_log_last_index (&self->log),
                               G_STRUCT_OFFSET (QuincePeer, match_index));
  guint64 round = majority_of (self, self->round_unsent ? self->round - 1 : self->round,
                               G_STRUCT_OFFSET (QuincePeer, round));

  /* Entries of earlier epochs are committed only by one of this epoch after them (Raft, 5.4.2). */
  if (index > self->commit_index && quince_replicated_log_epoch_at (&self->log, index) == self->epoch)
    quince_consensus_commit_to (self, index, effects);
  if (round <= self->confirmed_round || self->commit_index < self->epoch_start_index)
    return;
  self->confirmed_round = round;
  quince_effect_add (effects, QUINCE_EFFECT_CONFIRMED)->round = round;
}

/* Time at which a majority of the voters, self included, was last heard. */
static gint64
quorum_contact (const QuinceConsensus *self, gint64 now_us)
{
  return (gint64)majority_of (self, (guint64)now_us, G_STRUCT_OFFSET (QuincePeer, contact_us));
}

void
quince_replication_leader_tick (QuinceConsensus *self, gint64 now_us, GPtrArray *effects)
{
  if (now_us - quorum_contact (self, now_us) > (gint64)self->limits.election_most_us)
    {
      quince_election_become_follower (self, now_us, self->epoch, 0, effects);
      return;
    }
  if (self->transfer_target != 0 && now_us >= self->transfer_deadline_us)
    self->transfer_target = 0;
  if (now_us < self->heartbeat_deadline_us)
    return;
  self->heartbeat_deadline_us = now_us + (gint64)self->limits.heartbeat_us;
  quince_voters_consider_change (self, now_us, effects);
  quince_replication_broadcast (self, now_us, TRUE, effects);
  self->round_unsent = FALSE;
  quince_replication_advance (self, effects);
}

/* ---- Leader: transfer ----------------------------------------------- */

static void
send_transfer_when_ready (QuinceConsensus *self, const QuincePeer *peer, GPtrArray *effects)
{
  QuinceTransferRequest *request;

  if (self->transfer_target != peer->replica.replica_id || self->transfer_sent
      || peer->match_index != quince_replicated_log_last_index (&self->log))
    return;
  self->transfer_sent = TRUE;
  request = &quince_consensus_send (self, peer->replica.replica_id, QUINCE_REPLICATION_TRANSFER, effects)
                 ->QuinceReplicationBody_u.transfer;
  request->epoch = self->epoch;
  request->leader = self->self.replica_id;
}

void
quince_consensus_transfer (QuinceConsensus *self, gint64 now_us, GPtrArray *effects)
{
  QuincePeer *best = NULL;

  if (self->role != QUINCE_CONSENSUS_LEADER || self->transfer_target != 0)
    return;
  for (guint i = 0; i < self->peers->len; i++)
    {
      QuincePeer *peer = g_ptr_array_index (self->peers, i);

      if (!peer->voter || now_us - peer->contact_us > (gint64)self->limits.election_most_us)
        continue;
      if (best == NULL || peer->match_index > best->match_index)
        best = peer;
    }
  if (best == NULL)
    return;
  self->transfer_target = best->replica.replica_id;
  self->transfer_sent = FALSE;
  self->transfer_deadline_us = now_us + (gint64)self->limits.election_most_us;
  quince_replication_send (self, now_us, best, FALSE, effects);
  send_transfer_when_ready (self, best, effects);
}

/* ---- Leader: replies ------------------------------------------------ */

void
quince_replication_matched (QuinceConsensus *self,
                            gint64 now_us,
                            QuincePeer *peer,
                            guint64 match_index,
                            GPtrArray *effects)
{
  if (match_index > quince_replicated_log_last_index (&self->log))
    return;
  if (match_index > peer->match_index)
    peer->match_index = match_index;
  if (peer->progress == QUINCE_PROGRESS_SNAPSHOT && peer->match_index < self->log.base_index)
    return;
  quince_snapshots_forget (peer);
  if (peer->progress != QUINCE_PROGRESS_REPLICATE)
    peer->next_index = peer->match_index + 1;
  peer->next_index = MAX (peer->next_index, peer->match_index + 1);
  peer->progress = QUINCE_PROGRESS_REPLICATE;
  peer->probing = FALSE;
  send_transfer_when_ready (self, peer, effects);
}

static void
mismatched (QuincePeer *peer, guint64 hint)
{
  if (peer->progress == QUINCE_PROGRESS_SNAPSHOT)
    return;
  peer->progress = QUINCE_PROGRESS_PROBE;
  peer->probing = FALSE;
  peer->next_index = MAX (peer->match_index + 1, MIN (peer->next_index, hint + 1));
}

void
quince_replication_receive_reply (QuinceConsensus *self,
                                  gint64 now_us,
                                  const QuinceAppendReply *reply,
                                  GPtrArray *effects)
{
  QuincePeer *peer = quince_replication_find_peer (self, reply->follower);

  if (reply->epoch > self->epoch)
    {
      quince_election_become_follower (self, now_us, reply->epoch, 0, effects);
      return;
    }
  if (self->role != QUINCE_CONSENSUS_LEADER || reply->epoch != self->epoch || peer == NULL)
    return;
  peer->contact_us = now_us;
  peer->replied = TRUE;
  peer->round = MAX (peer->round, MIN (reply->round, self->round));
  if (reply->success)
    quince_replication_matched (self, now_us, peer, reply->match_index, effects);
  else
    mismatched (peer, reply->match_index);
  quince_replication_advance (self, effects);
  quince_replication_send (self, now_us, peer, FALSE, effects);
}

/* ---- Follower ------------------------------------------------------- */

static void
reply_append (QuinceConsensus *self,
              const QuinceAppendRequest *request,
              gboolean success,
              guint64 match_index,
              GPtrArray *effects)
{
  QuinceAppendReply *reply
      = &quince_consensus_send (self, request->leader, QUINCE_REPLICATION_APPEND_REPLY, effects)
             ->QuinceReplicationBody_u.append_reply;

  reply->epoch = self->epoch;
  reply->follower = self->self.replica_id;
  reply->success = success;
  reply->match_index = match_index;
  reply->round = request->epoch == self->epoch ? request->round : 0;
}

/* Checks what a correct leader never breaks, so that a faulty peer cannot harm the log. */
static gboolean
request_is_valid (const QuinceAppendRequest *request)
{
  guint64 epoch = MAX (request->previous_epoch, 1);

  for (guint i = 0; i < request->entries.entries_len; i++)
    {
      const QuinceEntry *entry = &request->entries.entries_val[i];

      if (entry->index != request->previous_index + 1 + i || entry->epoch < epoch
          || entry->epoch > request->epoch)
        return FALSE;
      if (entry->kind == QUINCE_ENTRY_VOTERS)
        {
          g_autoptr (QuinceReplicaSet) voters
              = quince_replica_set_decode (entry->data.data_val, entry->data.data_len, NULL);

          if (voters == NULL || voters->voters.voters_len == 0)
            return FALSE;
        }
      epoch = entry->epoch;
    }
  return TRUE;
}

/* Where the leader should try next: before the whole epoch that conflicts. */
static guint64
conflict_hint (const QuinceConsensus *self, guint64 previous_index)
{
  guint64 last = quince_replicated_log_last_index (&self->log);
  guint64 epoch, index;

  if (previous_index > last)
    return last;
  epoch = quince_replicated_log_epoch_at (&self->log, previous_index);
  for (index = previous_index - 1; index > self->commit_index; index--)
    if (quince_replicated_log_epoch_at (&self->log, index) != epoch)
      break;
  return index;
}

/* Stores the entries that the log lacks. Returns: FALSE when they contradict what is committed. */
static gboolean
store_entries (QuinceConsensus *self, gint64 now_us, const QuinceAppendRequest *request, GPtrArray *effects)
{
  QuinceEffect *effect;
  guint i = 0;

  for (; i < request->entries.entries_len; i++)
    {
      const QuinceEntry *entry = &request->entries.entries_val[i];

      if (entry->index <= self->log.base_index)
        continue;
      if (quince_replicated_log_epoch_at (&self->log, entry->index) != entry->epoch)
        break;
    }
  if (i == request->entries.entries_len)
    return TRUE;
  if (request->entries.entries_val[i].index <= self->commit_index)
    return FALSE;
  quince_replicated_log_truncate_from (&self->log, request->entries.entries_val[i].index);
  effect = quince_effect_add (effects, QUINCE_EFFECT_PERSIST_ENTRIES);
  effect->entries = g_ptr_array_new_with_free_func (quince_log_entry_unref);
  for (; i < request->entries.entries_len; i++)
    {
      const QuinceEntry *source = &request->entries.entries_val[i];
      QuinceEntry *entry = quince_log_entry_new (source->index, source->epoch, source->kind,
                                                 source->data.data_val, source->data.data_len);

      quince_replicated_log_append (&self->log, entry);
      g_ptr_array_add (effect->entries, quince_log_entry_ref (entry));
    }
  quince_consensus_refresh_voters (self, now_us, effects);
  return TRUE;
}

void
quince_replication_receive_request (QuinceConsensus *self,
                                    gint64 now_us,
                                    const QuinceAppendRequest *request,
                                    GPtrArray *effects)
{
  guint64 matched = request->previous_index + request->entries.entries_len;

  if (request->epoch < self->epoch)
    {
      reply_append (self, request, FALSE, quince_replicated_log_last_index (&self->log), effects);
      return;
    }
  if (!request_is_valid (request) || (request->epoch == self->epoch && self->role == QUINCE_CONSENSUS_LEADER))
    return;
  quince_election_become_follower (self, now_us, request->epoch, request->leader, effects);
  if (request->previous_index > quince_replicated_log_last_index (&self->log)
      || (request->previous_index > self->log.base_index
          && quince_replicated_log_epoch_at (&self->log, request->previous_index) != request->previous_epoch))
    {
      reply_append (self, request, FALSE, conflict_hint (self, request->previous_index), effects);
      return;
    }
  if (!store_entries (self, now_us, request, effects))
    return;
  matched = MAX (matched, self->log.base_index);
  quince_consensus_commit_to (self, MIN (request->commit_index, matched), effects);
  reply_append (self, request, TRUE, matched, effects);
}
