/*
 * ledger-group-private.h: the state of QuinceLedgerGroup and the functions that its source files share.
 */
#pragma once

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
  GHashTable *zones;     /* replica id to zone name, both owned */
  char **draining_nodes; /* machines being drained; NULL: none */
  char **allowed_nodes;  /* machines that may store records; NULL: all */

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
  GArray *proposed_members;    /* members of all views proposed on this revision */
  guint proposed_members_min;  /* size of the smallest of those views */
  gboolean proposal_may_apply; /* one of those views may still be applied */
  gboolean handover_proposed;  /* one of those views names another leader */

  /* State of a backup. */
  gint64 leader_contact_us;   /* last accepted message of the leader, or last change of leader */
  guint64 promised_at_start;  /* promised epoch on disk when this process started */
  guint64 promised_to;        /* replica that was promised; 0: unknown, or the current leader */
  guint consecutive_promises; /* successive promises to that replica, each of a greater epoch */

  /* Campaign of this replica. */
  guint64 campaign_epoch;    /* epoch for which promises are requested; 0: no campaign */
  guint64 last_campaign;     /* greatest epoch of any campaign known to this replica */
  gint64 campaign_us;        /* start of the campaign; without one, earliest start of the next */
  GArray *campaign_promises; /* replicas that granted the promise */
  GArray *votes;             /* those of them that know of no membership change */
  gboolean vote_refused;     /* one of them knows of a membership change */
  gint64 elected_us;         /* when enough promises for a write to the store were granted; 0: not yet */

  /* State of the leader. */
  GHashTable *peers; /* replica id to QuinceLedgerPeer, owned */
  guint64 commit_index;
  guint64 recovery_index;         /* index of the first record of its own epoch */
  guint64 refused_epoch;          /* greatest epoch for which a backup refused this leader; 0: none */
  gboolean wants_change_acks;     /* a membership change waits for acknowledgements */
  GArray *change_acks;            /* replicas that acknowledged a change of this revision */
  gint64 orders_blocked_until_us; /* it gives no orders to workers before this time */
  gint64 leading_since_us;
  gboolean wrote_first_view; /* no replica led before it */
};

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

/* ---- ledger-leases.c ---- */
/* Returns %TRUE if messages from a quorum arrived within the leader timeout.  Also %TRUE for that long after
 * this replica became leader. */
gboolean quince_ledger_group_has_quorum_contact (const QuinceLedgerGroup *group, gint64 now_us);
/* Returns %TRUE if a quorum acknowledged messages of this leader within the lease duration: no candidate can
 * have enough promises then. */
gboolean quince_ledger_group_has_quorum_lease (const QuinceLedgerGroup *group, gint64 now_us);
/* Returns %TRUE if no other replica can be leader now. */
gboolean quince_ledger_group_has_leader_lease (const QuinceLedgerGroup *group, gint64 now_us);

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
/* Returns %TRUE if @proposed may be written: it has the same members, or enough members have acknowledged a
 * change of this revision.  Otherwise requests their acknowledgements, unless the leader has no quorum lease.
 */
gboolean quince_ledger_group_has_change_acks (QuinceLedgerGroup *group,
                                              gint64 now_us,
                                              const QuinceLedgerView *proposed);
