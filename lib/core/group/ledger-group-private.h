/*
 * ledger-group-private.h: the state of QuinceLedgerGroup and the functions that its source files share.
 */
#pragma once

#include "core/group/ledger-change.h"
#include "core/group/ledger-group.h"
#include "core/group/replica-list.h"

/* A replica that is connected to this leader as a backup. */
typedef struct
{
  guint64 replica;
  char *node;
  char *address;
  guint64 last_index;   /* last index of the leader's log on the peer's disk */
  gint64 acked_sent_us; /* send time of the latest message that it acknowledged; 0: none */
  gint64 contact_us;    /* arrival time of its latest message */
  gint64 cleared_us;    /* when it was last ordered to delete its log; 0: never */
} QuinceLedgerPeer;

struct _QuinceLedgerGroup
{
  QuinceLedgerMember self;
  QuinceLedgerLimits limits;
  gboolean may_bootstrap;
  QuinceLedgerRole role;
  QuinceLogEnd log_end;
  QuinceLedgerPersistentState persistent;
  QuinceLedgerChange *acknowledged; /* decoded from the persistent state; NULL: none */
  GHashTable *zones;                /* replica id to zone name, both owned */
  char **draining_nodes;            /* machines being drained; NULL: none */
  char **allowed_nodes;             /* machines that may store records; NULL: all */

  /* The view. */
  QuinceLedgerView *view; /* members of the newest known revision, with the greatest known epoch */
  guint64 revision;       /* revision of the members in the store; 0: none */
  guint64 store_epoch;    /* epoch in the store at that revision; 0: unknown */
  guint64 store_primary;  /* leader in the store at that revision */
  gboolean store_leader_collects_acks; /* the leader of store_epoch has changes acknowledged first */
  guint64 change_ack_epoch;            /* greatest epoch whose leader is known to do so; 0: none */
  gboolean view_is_read;               /* the store was read at least once, at this revision or later */
  gint64 confirmed_us;                 /* start of the latest store read that returned this revision */

  /* Proposals of this replica. */
  QuinceLedgerView *proposal;  /* being written to the store; NULL: none */
  gint64 proposed_us;          /* when the proposal was made */
  gint64 next_proposal_us;     /* earliest time of the next proposal, after a failed one */
  guint64 proposed_epoch;      /* latest epoch in which this process proposed itself as leader */
  guint64 led_epoch;           /* latest epoch that this process led; 0: none */
  gboolean proposal_is_change; /* the proposal was not among the outstanding views before */
  gboolean proposal_may_apply; /* the outcome of a proposal on this revision is unknown */

  /* Views with other members that leaders have proposed or may have proposed on this revision: any of them
   * may be in force.  QuinceLedgerView, owned. */
  GPtrArray *outstanding;
  guint64 outstanding_sequence; /* sequence number of the change that a candidate took them from; 0: none */

  /* State of a backup. */
  gint64 leader_contact_us;   /* last accepted message of the leader, or last change of leader */
  guint64 promised_at_start;  /* promised epoch on disk when this process started */
  guint64 promised_to;        /* replica that was promised; 0: unknown, or the current leader */
  guint consecutive_promises; /* successive promises to that replica, each of a greater epoch */

  /* Campaign of this replica. */
  guint64 campaign_epoch;      /* epoch for which promises are requested; 0: no campaign */
  gint64 campaigning_since_us; /* start of the first of several successive campaigns; 0: none */
  guint64 last_campaign;       /* greatest epoch of any campaign known to this replica */
  gint64 campaign_us;          /* start of the campaign; without one, earliest start of the next */
  gboolean was_promised;       /* a promise arrived since the campaign began, perhaps for an earlier one */
  guint failed_campaigns;      /* campaigns with a promise that timed out, since there was a leader */
  GArray *campaign_promises;   /* replicas that granted the promise */
  GArray *votes;               /* those of them whose acknowledged membership changes are all known */
  gint64 elected_us;           /* when enough promises for a write to the store were granted; 0: not yet */

  /* State of the leader. */
  GHashTable *peers; /* replica id to QuinceLedgerPeer, owned */
  guint64 commit_index;
  guint64 recovery_index;         /* index of the first record of its own epoch */
  guint64 refused_epoch;          /* greatest epoch for which a backup refused this leader; 0: none */
  QuinceLedgerView *wanted_view;  /* waits for acknowledgements of members; NULL: none */
  GArray *change_acks;            /* replicas that acknowledged it */
  gint64 orders_blocked_until_us; /* it gives no orders to workers before this time */
  gint64 leading_since_us;
  gint64 lease_lost_us;      /* when it first found that it has no lease; 0: it has one, or is no leader */
  gboolean wrote_first_view; /* no replica led before it */
};

/* How long an elected candidate waits for its write to the store before it leads without the store. */
#define QUINCE_LEDGER_STORE_TIMEOUT_US (300 * 1000)

/* Each source file below calls only functions of the files listed before it. */

/* ---- ledger-group.c ---- */
/* Returns: (transfer none) (nullable): the peer @replica, or %NULL if it is not connected */
QuinceLedgerPeer *quince_ledger_group_find_peer (const QuinceLedgerGroup *group, guint64 replica);
/* Returns %TRUE if @node is being drained or may not store records. */
gboolean quince_ledger_group_is_node_excluded (const QuinceLedgerGroup *group, const char *node);

/* ---- ledger-zones.c ---- */
/* Returns %TRUE if members must be spread over zones. */
gboolean quince_ledger_group_is_zone_aware (const QuinceLedgerGroup *group);
/* Returns: the maximum number of members in one zone */
guint quince_ledger_group_get_members_per_zone_max (const QuinceLedgerGroup *group);
/* Returns: the number of members of @view in the zone of @replica; 0 if that zone is unknown */
guint quince_ledger_group_count_in_zone (const QuinceLedgerGroup *group,
                                         const QuinceLedgerView *view,
                                         guint64 replica);

/* ---- ledger-quorums.c ---- */
/* Returns: how many members of @view must have a record on disk, or follow a leader, in that view */
guint quince_ledger_group_get_quorum (const QuinceLedgerGroup *group, const QuinceLedgerView *view);
/* Returns: how many members of @view, including the leader, must acknowledge a membership change for every
 * set of votes to include one of them; 0 if @view has too few members for such a set */
guint quince_ledger_group_get_change_acks_needed (const QuinceLedgerGroup *group,
                                                  const QuinceLedgerView *view);
/* Returns: how many members of @view are in @replicas, including this replica if it is a member */
guint quince_ledger_group_count_members (const QuinceLedgerGroup *group,
                                         const QuinceLedgerView *view,
                                         const GArray *replicas);
/* Returns: whether @replicas and this replica elect a leader without the store in each view that may be in
 * force */
gboolean quince_ledger_group_have_votes_in_all_views (const QuinceLedgerGroup *group, const GArray *replicas);
/* Returns: the greatest epoch of the known view and the outstanding ones */
guint64 quince_ledger_group_get_greatest_epoch (const QuinceLedgerGroup *group);

/* ---- ledger-leases.c ---- */
/* Returns %TRUE if a recent answer of the metadata store confirms the known revision, so that a change of it
 * can be written. */
gboolean quince_ledger_group_has_store_contact (const QuinceLedgerGroup *group, gint64 now_us);
/* Returns %TRUE if messages from a quorum of each view that may be in force arrived within the leader
 * timeout, or, while the store answers, from enough members of the known view to replace the others. Also
 * %TRUE for that long after this replica became leader. */
gboolean quince_ledger_group_has_quorum_contact (const QuinceLedgerGroup *group, gint64 now_us);
/* Returns %TRUE if a quorum acknowledged messages of this leader within the lease duration: no candidate can
 * have enough promises then. */
gboolean quince_ledger_group_has_quorum_lease (const QuinceLedgerGroup *group, gint64 now_us);
/* Returns %TRUE if no other replica can be leader now. */
gboolean quince_ledger_group_has_leader_lease (const QuinceLedgerGroup *group, gint64 now_us);

/* ---- ledger-acknowledged.c ---- */
/* Returns whether @replica leads @epoch and this replica may follow it. */
gboolean quince_ledger_group_follows (const QuinceLedgerGroup *group, guint64 replica, guint64 epoch);
/* Promises the epoch of the followed leader, so that this replica follows no older one. */
void quince_ledger_group_promise_followed_leader (QuinceLedgerGroup *group);
/* Acknowledges @change of the known revision in place of an earlier one.  Does nothing if it is not later
 * than that one, or if this replica has acknowledged an unknown change of this revision, or one of a greater
 * revision. */
void quince_ledger_group_acknowledge (QuinceLedgerGroup *group, const QuinceLedgerChange *change);
/* Acknowledges a change of @revision whose views are not known. */
void quince_ledger_group_acknowledge_unknown (QuinceLedgerGroup *group, guint64 revision);
/* Returns whether this replica has acknowledged changes of the known revision, and stored all of them. */
gboolean quince_ledger_group_has_acknowledged_views (const QuinceLedgerGroup *group);
/* Returns whether no change that this replica has acknowledged at the known revision or a greater one is
 * unknown to it. */
gboolean quince_ledger_group_knows_acknowledged (const QuinceLedgerGroup *group);
/* Makes the views of @change, which some replica has acknowledged at the known revision, the outstanding ones
 * of this candidate, unless it knows a later change.  A leader that campaigns adds them to its own. */
void quince_ledger_group_learn_change (QuinceLedgerGroup *group, const QuinceLedgerChange *change);
/* The same with the change that this replica has acknowledged itself, if any. */
void quince_ledger_group_learn_acknowledged (QuinceLedgerGroup *group);

/* ---- ledger-campaign.c ---- */
/* Returns %TRUE if enough members have promised for this replica to write itself into the store as leader. */
gboolean quince_ledger_group_is_elected (const QuinceLedgerGroup *group);
void quince_ledger_group_end_campaign (QuinceLedgerGroup *group);
/* Makes this replica promise its own campaign.  Returns %FALSE if it has promised that epoch to another
 * replica, or a greater one. */
gboolean quince_ledger_group_promise_self (QuinceLedgerGroup *group);

/* ---- ledger-roles.c ---- */
/* Makes @view (transfer full) the current view, ends the campaign and updates the role. */
void quince_ledger_group_adopt_view (QuinceLedgerGroup *group, gint64 now_us, QuinceLedgerView *view);
/* Sets the revision of the members to the greater @revision and resets all state of proposals and
 * acknowledgements of the previous one. */
void quince_ledger_group_begin_revision (QuinceLedgerGroup *group, guint64 revision);

/* ---- ledger-succession.c ---- */
/* Counts the vote of @replica for this campaign if @promised and @promised_to, the latest promise of
 * @replica, are for it. */
void quince_ledger_group_add_vote (QuinceLedgerGroup *group,
                                   guint64 replica,
                                   guint64 promised,
                                   guint64 promised_to);

/* ---- ledger-change-acks.c ---- */
/* Returns %TRUE if @proposed may be written: it has the same members, or enough members have acknowledged it.
 * Otherwise requests their acknowledgements, unless the leader has no quorum lease. */
gboolean quince_ledger_group_has_change_acks (QuinceLedgerGroup *group,
                                              gint64 now_us,
                                              const QuinceLedgerView *proposed);
