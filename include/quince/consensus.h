/*
 * consensus.h: replicated log of the sample ledger (pure).
 *
 * Raft (Ongaro and Ousterhout, 2014) with pre-vote, leadership transfer,
 * learners, voter changes one at a time, and snapshots.  "epoch" is Raft's
 * term: it is the fencing token of the leader.  A replica is named by a random
 * id kept in its data folder, so that a machine that comes back with an empty
 * folder is a new replica and never votes with what it has forgotten.
 *
 * Pure: steps take (now, message) and append typed effects.  The executor
 * carries out effects in order, and makes every PERSIST durable before it
 * carries out any later SEND or COMMITTED.
 */
#pragma once

#include <quince/codec.h>

G_BEGIN_DECLS

typedef enum
{
  QUINCE_CONSENSUS_LEARNER, /* not a voter (yet)                            */
  QUINCE_CONSENSUS_FOLLOWER,
  QUINCE_CONSENSUS_CANDIDATE,
  QUINCE_CONSENSUS_LEADER,
} QuinceConsensusRole;

typedef enum
{
  QUINCE_EFFECT_PERSIST_VOTE,     /* epoch, voted_for                       */
  QUINCE_EFFECT_PERSIST_ENTRIES,  /* truncate at first index, then append   */
  QUINCE_EFFECT_PERSIST_SNAPSHOT, /* replace state by a received snapshot   */
  QUINCE_EFFECT_SEND,
  QUINCE_EFFECT_COMMITTED,     /* entry to apply, in index order         */
  QUINCE_EFFECT_ROLE,          /* role, epoch or leader changed          */
  QUINCE_EFFECT_CONFIRMED,     /* a read round is confirmed: still leader */
  QUINCE_EFFECT_SEND_SNAPSHOT, /* executor must supply snapshot bytes    */
} QuinceEffectKind;

typedef struct
{
  QuinceEffectKind kind;
  guint64 epoch;
  guint64 voted_for;
  GPtrArray *entries;              /* QuinceEntry, PERSIST_ENTRIES           */
  QuinceEntry *entry;              /* COMMITTED                              */
  char *address;                   /* SEND, SEND_SNAPSHOT                    */
  guint64 to;                      /* replica id                             */
  QuinceReplication *message;      /* SEND                                   */
  QuinceSnapshotRequest *snapshot; /* PERSIST_SNAPSHOT: whole, data joined  */
  guint64 round;                   /* CONFIRMED                              */
  QuinceConsensusRole role;        /* ROLE                                   */
} QuinceEffect;

GPtrArray *quince_effects_new (void); /* of QuinceEffect */

typedef struct
{
  guint64 heartbeat_us;      /* default 100 ms                              */
  guint64 election_least_us; /* default 600 ms; picked between, by seed     */
  guint64 election_most_us;  /* default 1200 ms                             */
  guint64 dead_after_us;     /* leader replaces a silent voter after this, default 30 s,
                                when a joined replica is there to take its place */
  guint voters_target;       /* default 3                                   */
  guint append_most_bytes;   /* a message's entries, default 1 MiB          */
} QuinceConsensusLimits;

extern const QuinceConsensusLimits quince_consensus_default_limits;

/* What the executor read back from disk. */
typedef struct
{
  guint64 epoch;
  guint64 voted_for;
  guint64 snapshot_index;
  guint64 snapshot_epoch;
  const QuinceReplicaSet *snapshot_voters; /* or the first voters           */
  GPtrArray *entries;                      /* QuinceEntry after the snapshot */
} QuinceConsensusState;

typedef struct _QuinceConsensus QuinceConsensus;

/* @state (nullable): empty disk: a learner that waits to be joined. */
QuinceConsensus *quince_consensus_new (const QuinceConsensusLimits *limits,
                                       const QuinceReplica *self,
                                       const QuinceConsensusState *state,
                                       guint64 seed,
                                       gint64 now_us);
void quince_consensus_free (QuinceConsensus *consensus);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceConsensus, quince_consensus_free)

/* First voters of a new ledger; only on an empty replica that is one of them. */
void quince_consensus_bootstrap (QuinceConsensus *consensus,
                                 gint64 now_us,
                                 const QuinceReplicaSet *voters,
                                 GPtrArray *effects);
void quince_consensus_receive (QuinceConsensus *consensus,
                               gint64 now_us,
                               const QuinceReplication *message,
                               GPtrArray *effects);
void quince_consensus_tick (QuinceConsensus *consensus, gint64 now_us, GPtrArray *effects);
gint64 quince_consensus_next_wakeup (const QuinceConsensus *consensus);

/* Leader only. Returns: index of the new entry, 0 when not leader.
 * Entries proposed in one batch go out together at quince_consensus_flush(). */
guint64 quince_consensus_propose (QuinceConsensus *consensus,
                                  gint64 now_us,
                                  gconstpointer data,
                                  gsize length,
                                  GPtrArray *effects);
void quince_consensus_flush (QuinceConsensus *consensus, gint64 now_us, GPtrArray *effects);
/* Starts a read round; CONFIRMED with this or a greater number means that
 * this replica still led after the call.  0 when not leader. */
guint64 quince_consensus_confirm (QuinceConsensus *consensus, gint64 now_us, GPtrArray *effects);
/* The executor wrote a snapshot of everything up to @index. */
void quince_consensus_compacted (QuinceConsensus *consensus, guint64 index);
/* Planned stop of a leader: hands leadership to the most caught-up voter. */
void quince_consensus_transfer (QuinceConsensus *consensus, gint64 now_us, GPtrArray *effects);
/* Snapshot bytes for a SEND_SNAPSHOT effect; sent in parts. */
void quince_consensus_send_snapshot (QuinceConsensus *consensus,
                                     gint64 now_us,
                                     guint64 to,
                                     guint64 index,
                                     guint64 epoch,
                                     const QuinceReplicaSet *voters,
                                     GBytes *data,
                                     GPtrArray *effects);

QuinceConsensusRole quince_consensus_get_role (const QuinceConsensus *consensus);
guint64 quince_consensus_get_epoch (const QuinceConsensus *consensus);
/* Replica id and address of the leader; 0 and "" when unknown. */
guint64 quince_consensus_get_leader (const QuinceConsensus *consensus, const char **address);
guint64 quince_consensus_get_commit_index (const QuinceConsensus *consensus);
guint64 quince_consensus_get_last_index (const QuinceConsensus *consensus);
const QuinceReplicaSet *quince_consensus_get_voters (const QuinceConsensus *consensus);

G_END_DECLS
