/*
 * consensus-private.h: state and functions that the files of this folder share.
 *
 * consensus.c dispatches; election.c holds votes and roles; replication.c
 * appends, the commit rule and read rounds; snapshots.c snapshot transfer;
 * voters.c learners and voter changes; replicated-log.c the entries; effects.c effects.
 */
#pragma once

#include <quince/consensus.h>

/* ---- replicated-log.c ---------------------------------------------------------- */

/* The tail of the log in memory.  Owner: the consensus that embeds it. */
typedef struct
{
  GPtrArray *entries;            /* QuinceEntry, indexes base_index + 1 and up */
  guint64 base_index;            /* entries up to here are in a snapshot    */
  guint64 base_epoch;            /* epoch of the entry at base_index        */
  QuinceReplicaSet *base_voters; /* voters as of base_index                 */
} QuinceReplicatedLog;

/* Entries are reference counted so that the log and effects share them. */
QuinceEntry *
quince_log_entry_new (guint64 index, guint64 epoch, QuinceEntryKind kind, gconstpointer data, gsize length);
QuinceEntry *quince_log_entry_ref (QuinceEntry *entry);
void quince_log_entry_unref (gpointer entry);

void quince_replicated_log_init (QuinceReplicatedLog *log);
void quince_replicated_log_clear (QuinceReplicatedLog *log);
guint64 quince_replicated_log_last_index (const QuinceReplicatedLog *log);
guint64 quince_replicated_log_last_epoch (const QuinceReplicatedLog *log);
/* (nullable) (transfer none) */
QuinceEntry *quince_replicated_log_get (const QuinceReplicatedLog *log, guint64 index);
/* Epoch of the entry at @index, which is at least base_index; 0 when absent. */
guint64 quince_replicated_log_epoch_at (const QuinceReplicatedLog *log, guint64 index);
/* Takes @entry, whose index is the next one. */
void quince_replicated_log_append (QuinceReplicatedLog *log, QuinceEntry *entry);
void quince_replicated_log_truncate_from (QuinceReplicatedLog *log, guint64 index);
/* Drops entries up to @index, which the log holds. */
void quince_replicated_log_compact (QuinceReplicatedLog *log, guint64 index);
/* Drops everything and starts anew after a snapshot. */
void quince_replicated_log_reset (QuinceReplicatedLog *log,
                                  guint64 index,
                                  guint64 epoch,
                                  const QuinceReplicaSet *voters);
/* Bytes of data in the entries after @after up to @through. */
guint64 quince_replicated_log_bytes_between (const QuinceReplicatedLog *log, guint64 after, guint64 through);
/* (transfer full): voters by the newest VOTERS entry up to @through; @index (out) where it stands. */
QuinceReplicaSet *
quince_replicated_log_voters_at (const QuinceReplicatedLog *log, guint64 through, guint64 *index);

/* ---- effects.c ------------------------------------------------------ */

QuinceEffect *quince_effect_add (GPtrArray *effects, QuinceEffectKind kind);
/* Starts a message; the caller fills the body in.  The executor drops one whose address is unknown (""). */
QuinceReplicationBody *quince_effect_add_send (GPtrArray *effects,
                                               guint64 from,
                                               guint64 to,
                                               const char *address,
                                               QuinceReplicationKind kind);

/* ---- Consensus ------------------------------------------------------ */

typedef enum
{
  QUINCE_PROGRESS_PROBE,     /* next_index is a guess: one append at a time */
  QUINCE_PROGRESS_REPLICATE, /* appends are pipelined                       */
  QUINCE_PROGRESS_SNAPSHOT,  /* the peer needs entries that are compacted   */
} QuinceProgress;

/* What a leader knows of another replica.  Owner: QuinceConsensus.peers. */
typedef struct
{
  QuinceReplica replica; /* own copies of the names                         */
  gboolean voter;        /* else a learner                                  */
  gboolean replied;      /* in this epoch: it can reach the leader          */
  gint64 contact_us;     /* last reply, or when it became a peer            */
  QuinceProgress progress;
  gboolean probing;    /* PROBE: one append is out                        */
  guint64 next_index;  /* first entry to send                             */
  guint64 match_index; /* known to hold the same entries up to here       */
  guint64 round;       /* greatest read round echoed                      */
  GBytes *snapshot;    /* SNAPSHOT: bytes being sent, or NULL: asked for  */
  guint64 snapshot_index;
  guint64 snapshot_epoch;
  QuinceReplicaSet *snapshot_voters;
  guint64 snapshot_offset;
  gint64 snapshot_sent_us; /* last part sent or bytes asked for             */
} QuincePeer;

/* One replica.  Everything is owned by the caller's single thread. */
struct _QuinceConsensus
{
  QuinceConsensusLimits limits;
  QuinceReplica self;
  guint64 random_state;

  /* Durable: each change goes out as a PERSIST effect. */
  guint64 epoch;
  guint64 voted_for;
  QuinceReplicatedLog log;

  /* Every role. */
  QuinceConsensusRole role;
  guint64 leader_id;
  guint64 commit_index;
  QuinceReplicaSet *voters; /* newest in the log, committed or not          */
  guint64 voters_index;     /* entry that set them                          */
  GHashTable *addresses;    /* replica id → address, from introductions     */
  gint64 election_deadline_us;
  gint64 leader_contact_us; /* last message of the current leader           */

  /* Candidate. */
  gboolean trial; /* pre-vote: nothing has changed yet                    */
  GArray *votes;  /* guint64: replicas that granted                       */

  /* Leader. */
  GPtrArray *peers; /* QuincePeer, without self                             */
  gint64 heartbeat_deadline_us;
  guint64 round;         /* newest read round                             */
  gboolean round_unsent; /* no append has carried it yet                  */
  guint64 confirmed_round;
  guint64 epoch_start_index; /* NOOP of this epoch                          */
  guint64 transfer_target;   /* 0: none under way                           */
  gboolean transfer_sent;
  gint64 transfer_deadline_us;

  /* Snapshot being received. */
  GByteArray *incoming;
  guint64 incoming_leader;
  guint64 incoming_index;
  guint64 incoming_epoch;
};

/* Peers beyond the voters that a leader feeds at most. */
#define QUINCE_CONSENSUS_MAX_LEARNERS 16
#define QUINCE_CONSENSUS_MAX_VOTERS 16

void quince_replica_init_copy (QuinceReplica *to, const QuinceReplica *from);
void quince_replica_clear (QuinceReplica *replica);

/* consensus.c */
gboolean quince_consensus_is_voter (const QuinceConsensus *self, guint64 id);
guint quince_consensus_majority (const QuinceConsensus *self);
/* (transfer none): address of replica @id, "" when unknown */
const char *quince_consensus_address_of (const QuinceConsensus *self, guint64 id);
void quince_consensus_learn_address (QuinceConsensus *self, const QuinceReplica *replica);
QuinceReplicationBody *
quince_consensus_send (QuinceConsensus *self, guint64 to, QuinceReplicationKind kind, GPtrArray *effects);
/* Tells @to the address of this replica, which its log may not hold yet. */
void quince_consensus_introduce (QuinceConsensus *self, guint64 to, const char *address, GPtrArray *effects);
guint64 quince_consensus_random (QuinceConsensus *self, guint64 least, guint64 most);
/* Voters by the log may have changed. */
void quince_consensus_refresh_voters (QuinceConsensus *self, gint64 now_us, GPtrArray *effects);
/* Appends an own entry: PERSIST effect, index. */
guint64 quince_consensus_append_entry (QuinceConsensus *self,
                                       gint64 now_us,
                                       QuinceEntryKind kind,
                                       gconstpointer data,
                                       gsize length,
                                       GPtrArray *effects);
void quince_consensus_commit_to (QuinceConsensus *self, guint64 index, GPtrArray *effects);

/* election.c */
void quince_election_reset_deadline (QuinceConsensus *self, gint64 now_us);
void quince_election_become_follower (QuinceConsensus *self,
                                      gint64 now_us,
                                      guint64 epoch,
                                      guint64 leader,
                                      GPtrArray *effects);
void quince_election_timeout (QuinceConsensus *self, gint64 now_us, GPtrArray *effects);
void quince_election_receive_request (QuinceConsensus *self,
                                      gint64 now_us,
                                      const QuinceVoteRequest *request,
                                      GPtrArray *effects);
void quince_election_receive_reply (QuinceConsensus *self,
                                    gint64 now_us,
                                    const QuinceVoteReply *reply,
                                    GPtrArray *effects);
void quince_election_receive_transfer (QuinceConsensus *self,
                                       gint64 now_us,
                                       const QuinceTransferRequest *request,
                                       GPtrArray *effects);
void quince_election_emit_role (QuinceConsensus *self, GPtrArray *effects);

/* replication.c */
QuincePeer *quince_replication_find_peer (const QuinceConsensus *self, guint64 id);
QuincePeer *quince_replication_add_peer (QuinceConsensus *self,
                                         gint64 now_us,
                                         const QuinceReplica *replica,
                                         gboolean voter);
void quince_replication_peer_free (gpointer peer);
/* Sends @peer what it lacks; with @force an empty append when it lacks nothing. */
void quince_replication_send (QuinceConsensus *self,
                              gint64 now_us,
                              QuincePeer *peer,
                              gboolean force,
                              GPtrArray *effects);
void quince_replication_broadcast (QuinceConsensus *self, gint64 now_us, gboolean force, GPtrArray *effects);
void quince_replication_advance (QuinceConsensus *self, GPtrArray *effects);
void quince_replication_leader_tick (QuinceConsensus *self, gint64 now_us, GPtrArray *effects);
void quince_replication_receive_request (QuinceConsensus *self,
                                         gint64 now_us,
                                         const QuinceAppendRequest *request,
                                         GPtrArray *effects);
void quince_replication_receive_reply (QuinceConsensus *self,
                                       gint64 now_us,
                                       const QuinceAppendReply *reply,
                                       GPtrArray *effects);
/* A peer is known to hold the log up to @match_index. */
void quince_replication_matched (QuinceConsensus *self,
                                 gint64 now_us,
                                 QuincePeer *peer,
                                 guint64 match_index,
                                 GPtrArray *effects);

/* snapshots.c */
void quince_snapshots_begin (QuinceConsensus *self, gint64 now_us, QuincePeer *peer, GPtrArray *effects);
void quince_snapshots_resend (QuinceConsensus *self, gint64 now_us, QuincePeer *peer, GPtrArray *effects);
void quince_snapshots_forget (QuincePeer *peer);
void quince_snapshots_install (QuinceConsensus *self,
                               gint64 now_us,
                               guint64 index,
                               guint64 epoch,
                               const QuinceReplicaSet *voters,
                               GByteArray *data,
                               GPtrArray *effects);
void quince_snapshots_receive_request (QuinceConsensus *self,
                                       gint64 now_us,
                                       const QuinceSnapshotRequest *request,
                                       GPtrArray *effects);
void quince_snapshots_receive_reply (QuinceConsensus *self,
                                     gint64 now_us,
                                     const QuinceSnapshotReply *reply,
                                     GPtrArray *effects);

/* voters.c */
void quince_voters_sync_peers (QuinceConsensus *self, gint64 now_us);
void quince_voters_receive_join (QuinceConsensus *self,
                                 gint64 now_us,
                                 const QuinceReplication *message,
                                 GPtrArray *effects);
/* Asks a known voter to be taken in as a learner. */
void quince_voters_request_join (QuinceConsensus *self, GPtrArray *effects);
/* Leader: drops silent learners and takes the next voter change, if one is due. */
void quince_voters_consider_change (QuinceConsensus *self, gint64 now_us, GPtrArray *effects);
