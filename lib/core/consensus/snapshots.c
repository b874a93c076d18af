/* snapshots.c: bringing a replica up to date whose next entries are compacted. */
#include "consensus-private.h"

/* next_offset of a reply: the whole snapshot is installed, or not needed. */
#define OFFSET_INSTALLED G_MAXUINT64

/* Greater snapshots are not taken in. */
#define SNAPSHOT_MOST_BYTES ((guint64)1 << 30)

/* ---- Leader --------------------------------------------------------- */

void
quince_snapshots_forget (QuincePeer *peer)
{
  g_clear_pointer (&peer->snapshot, g_bytes_unref);
  g_clear_pointer (&peer->snapshot_voters, quince_replica_set_free);
  peer->snapshot_offset = 0;
}

static void
ask_for_snapshot (QuinceConsensus *self, gint64 now_us, QuincePeer *peer, GPtrArray *effects)
{
  QuinceEffect *effect = quince_effect_add (effects, QUINCE_EFFECT_SEND_SNAPSHOT);

  effect->to = peer->replica.replica_id;
  effect->address = g_strdup (peer->replica.address);
  peer->snapshot_sent_us = now_us;
}

void
quince_snapshots_begin (QuinceConsensus *self, gint64 now_us, QuincePeer *peer, GPtrArray *effects)
{
  quince_snapshots_forget (peer);
  peer->progress = QUINCE_PROGRESS_SNAPSHOT;
  ask_for_snapshot (self, now_us, peer, effects);
}

static void
send_part (QuinceConsensus *self, gint64 now_us, QuincePeer *peer, GPtrArray *effects)
{
  gsize size;
  const guint8 *data = g_bytes_get_data (peer->snapshot, &size);
  gsize length = MIN (size - peer->snapshot_offset, self->limits.append_most_bytes);
  g_autoptr (QuinceReplicaSet) voters = quince_replica_set_copy (peer->snapshot_voters);
  QuinceSnapshotRequest *request
      = &quince_consensus_send (self, peer->replica.replica_id, QUINCE_REPLICATION_SNAPSHOT_REQUEST, effects)
             ->QuinceReplicationBody_u.snapshot_request;

  request->epoch = self->epoch;
  request->leader = self->self.replica_id;
  request->last_index = peer->snapshot_index;
  request->last_epoch = peer->snapshot_epoch;
  request->voters = *voters;
  voters->voters.voters_len = 0;
  voters->voters.voters_val = NULL;
  request->offset = peer->snapshot_offset;
  request->done = peer->snapshot_offset + length == size;
  request->data.data_len = length;
  request->data.data_val = length > 0 ? g_memdup2 (data + peer->snapshot_offset, length) : NULL;
  peer->snapshot_sent_us = now_us;
}

/* After a loss: the same part again, or the request for the bytes. */
void
quince_snapshots_resend (QuinceConsensus *self, gint64 now_us, QuincePeer *peer, GPtrArray *effects)
{
  if (now_us - peer->snapshot_sent_us < (gint64)self->limits.election_least_us)
    return;
  if (peer->snapshot != NULL)
    send_part (self, now_us, peer, effects);
  else
    ask_for_snapshot (self, now_us, peer, effects);
}

void
quince_consensus_send_snapshot (QuinceConsensus *self,
                                gint64 now_us,
                                guint64 to,
                                guint64 index,
                                guint64 epoch,
                                const QuinceReplicaSet *voters,
                                GBytes *data,
                                GPtrArray *effects)
{
  QuincePeer *peer = quince_replication_find_peer (self, to);

  if (self->role != QUINCE_CONSENSUS_LEADER || peer == NULL || peer->progress != QUINCE_PROGRESS_SNAPSHOT
      || index < self->log.base_index)
    return;
  quince_snapshots_forget (peer);
  peer->snapshot = g_bytes_ref (data);
  peer->snapshot_index = index;
  peer->snapshot_epoch = epoch;
  peer->snapshot_voters = quince_replica_set_copy (voters);
  send_part (self, now_us, peer, effects);
}

void
quince_snapshots_receive_reply (QuinceConsensus *self,
                                gint64 now_us,
                                const QuinceSnapshotReply *reply,
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
  if (peer->progress != QUINCE_PROGRESS_SNAPSHOT || peer->snapshot == NULL
      || reply->last_index != peer->snapshot_index)
    return;
  if (reply->next_offset == OFFSET_INSTALLED)
    {
      quince_replication_matched (self, now_us, peer, reply->last_index, effects);
      /* The log was compacted further in the meantime. */
      if (peer->progress == QUINCE_PROGRESS_SNAPSHOT)
        quince_snapshots_begin (self, now_us, peer, effects);
      quince_replication_advance (self, effects);
      quince_replication_send (self, now_us, peer, FALSE, effects);
    }
  else if (reply->next_offset <= g_bytes_get_size (peer->snapshot)
           && reply->next_offset != peer->snapshot_offset)
    {
      peer->snapshot_offset = reply->next_offset;
      send_part (self, now_us, peer, effects);
    }
}

/* ---- Follower ------------------------------------------------------- */

/* Replaces the state; entries after the snapshot that agree with it are kept. */
void
quince_snapshots_install (QuinceConsensus *self,
                          gint64 now_us,
                          guint64 index,
                          guint64 epoch,
                          const QuinceReplicaSet *voters,
                          GByteArray *data,
                          GPtrArray *effects)
{
  QuinceEffect *effect = quince_effect_add (effects, QUINCE_EFFECT_PERSIST_SNAPSHOT);
  QuinceReplicaSet *copy = quince_replica_set_copy (voters);
  GPtrArray *kept = g_ptr_array_new_with_free_func (quince_log_entry_unref);

  effect->snapshot = g_new0 (QuinceSnapshotRequest, 1);
  effect->snapshot->epoch = self->epoch;
  effect->snapshot->last_index = index;
  effect->snapshot->last_epoch = epoch;
  effect->snapshot->voters = *copy;
  effect->snapshot->done = TRUE;
  g_free (copy);
  if (data != NULL && data->len > 0)
    {
      effect->snapshot->data.data_len = data->len;
      effect->snapshot->data.data_val = g_memdup2 (data->data, data->len);
    }
  if (index > self->log.base_index && quince_replicated_log_epoch_at (&self->log, index) == epoch)
    for (guint64 at = index + 1; at <= quince_replicated_log_last_index (&self->log); at++)
      g_ptr_array_add (kept, quince_log_entry_ref (quince_replicated_log_get (&self->log, at)));
  quince_replicated_log_reset (&self->log, index, epoch, voters);
  for (guint i = 0; i < kept->len; i++)
    quince_replicated_log_append (&self->log, quince_log_entry_ref (g_ptr_array_index (kept, i)));
  if (kept->len > 0)
    quince_effect_add (effects, QUINCE_EFFECT_PERSIST_ENTRIES)->entries = g_ptr_array_ref (kept);
  g_ptr_array_unref (kept);
  self->commit_index = MAX (self->commit_index, index);
  quince_consensus_refresh_voters (self, now_us, effects);
}

static void
reply_snapshot (QuinceConsensus *self,
                const QuinceSnapshotRequest *request,
                guint64 next_offset,
                GPtrArray *effects)
{
  QuinceSnapshotReply *reply
      = &quince_consensus_send (self, request->leader, QUINCE_REPLICATION_SNAPSHOT_REPLY, effects)
             ->QuinceReplicationBody_u.snapshot_reply;

  reply->epoch = self->epoch;
  reply->follower = self->self.replica_id;
  reply->last_index = request->last_index;
  reply->next_offset = next_offset;
}

/* Begins to collect another snapshot when the request belongs to one. */
static void
match_incoming (QuinceConsensus *self, const QuinceSnapshotRequest *request)
{
  if (self->incoming != NULL && self->incoming_leader == request->leader
      && self->incoming_index == request->last_index && self->incoming_epoch == request->epoch)
    return;
  g_clear_pointer (&self->incoming, g_byte_array_unref);
  self->incoming = g_byte_array_new ();
  self->incoming_leader = request->leader;
  self->incoming_index = request->last_index;
  self->incoming_epoch = request->epoch;
}

void
quince_snapshots_receive_request (QuinceConsensus *self,
                                  gint64 now_us,
                                  const QuinceSnapshotRequest *request,
                                  GPtrArray *effects)
{
  if (request->epoch < self->epoch)
    {
      reply_snapshot (self, request, 0, effects);
      return;
    }
  if ((request->epoch == self->epoch && self->role == QUINCE_CONSENSUS_LEADER)
      || request->voters.voters.voters_len == 0)
    return;
  quince_election_become_follower (self, now_us, request->epoch, request->leader, effects);
  if (request->last_index <= self->commit_index)
    {
      reply_snapshot (self, request, OFFSET_INSTALLED, effects);
      return;
    }
  match_incoming (self, request);
  if (request->offset == self->incoming->len
      && request->data.data_len <= SNAPSHOT_MOST_BYTES - self->incoming->len)
    {
      g_byte_array_append (self->incoming, (const guint8 *)request->data.data_val, request->data.data_len);
      if (request->done)
        {
          quince_snapshots_install (self, now_us, request->last_index, request->last_epoch, &request->voters,
                                    self->incoming, effects);
          g_clear_pointer (&self->incoming, g_byte_array_unref);
          reply_snapshot (self, request, OFFSET_INSTALLED, effects);
          return;
        }
    }
  reply_snapshot (self, request, self->incoming->len, effects);
}
