/*
 * ledger-group-private.h: the state that the files of lib/core/group act on, each for one part of it.
 */
#pragma once

#include "core/group/ledger-group.h"
#include "core/group/replica-list.h"

/* A replica that is linked to this leader as a backup. */
typedef struct
{
  guint64 replica;
  char *node;
  char *address;
  guint64 last_index;   /* it has the leader's log on disk up to here */
  gint64 acked_sent_us; /* when the latest message that it answered was sent; 0: none was */
  gint64 contact_us;    /* when its latest message arrived */
  gint64 cleared_us;    /* when it was ordered to drop all records; 0: never */
} QuinceLedgerPeer;

struct _QuinceLedgerGroup
{
  QuinceLedgerMember self;
  QuinceLedgerLimits limits;
  gboolean may_bootstrap;
  QuinceLedgerRole role;
  QuinceLogEnd log_end;
  QuinceLedgerPersistentState persistent;
  GHashTable *zones;     /* replica to zone, both owned */
  char **draining_nodes; /* machines to be emptied */
  char **allowed_nodes;  /* machines that may keep records; NULL: all */

  /* The view. */
  QuinceLedgerView *view; /* members of the newest revision known, epoch and primary of the greatest epoch */
  guint64 revision;       /* of the members; 0: none */
  guint64 store_epoch;    /* epoch that the store shows at that revision; 0: not known */
  guint64 store_primary;  /* leader that the store shows */
  gboolean store_leader_collects_acks; /* the leader of that epoch has changes of members noted first */
  guint64 change_ack_epoch;            /* greatest epoch whose leader is known to do so */
  gboolean view_is_read;               /* the store has answered at least once */
  gint64 confirmed_us;                 /* the view was in force at least until then */

  /* Proposals of this replica. */
  QuinceLedgerView *proposal;  /* on its way */
  gint64 proposed_us;          /* when it was made */
  gint64 next_proposal_us;     /* pause after a failed proposal */
  guint64 proposed_epoch;      /* latest epoch that this process proposed to lead */
  guint64 led_epoch;           /* epoch that it leads or led */
  GArray *proposed_members;    /* replicas of all views that were proposed on this revision */
  guint proposed_members_min;  /* number of members of the smallest of those views */
  gboolean proposal_may_apply; /* one of them may yet be done */
  gboolean handover_proposed;  /* one of them names another leader */

  /* At a backup. */
  gint64 leader_contact_us;  /* when records of the leader were last accepted, or it last changed */
  guint64 promised_at_start; /* promise on the disk when this process was started */
  guint64 promised_to;       /* replica that has the promise; 0: not known, or the leader that was followed */
  guint consecutive_promises; /* to that replica, each of a greater epoch */

  /* Its campaign. */
  guint64 campaign_epoch;    /* epoch that promises are asked for; 0: no campaign */
  guint64 last_campaign;     /* greatest epoch that any replica is known to have campaigned with */
  gint64 campaign_us;        /* when the campaign began; without one, when the next may begin */
  GArray *campaign_promises; /* replicas that promised it */
  GArray *votes;             /* those of them that know of no change of members */
  gboolean vote_refused;     /* one of them knows of a change */
  gint64 elected_us;         /* when the promises became enough for the store; 0: they are not */

  /* At the leader. */
  GHashTable *peers; /* QuinceLedgerPeer by replica, owned */
  guint64 commit_index;
  guint64 recovery_index;         /* of the first record of its own epoch */
  guint64 refused_epoch;          /* greatest epoch that a member promised to another replica */
  gboolean wants_change_acks;     /* a change of members waits for them */
  GArray *change_acks;            /* replicas that noted a change on this revision */
  gint64 orders_blocked_until_us; /* it gives no orders before */
  gint64 leading_since_us;
};

/* The files below are ordered: each calls only files that are listed before it. */

/* ---- ledger-group.c: the state itself, peers, getters ---- */
/* (transfer none) (nullable) */
QuinceLedgerPeer *quince_ledger_group_find_peer (const QuinceLedgerGroup *group, guint64 replica);
/* The machine is to be emptied, or may not keep records. */
gboolean quince_ledger_group_is_node_excluded (const QuinceLedgerGroup *group, const char *node);

/* ---- ledger-zones.c ---- */
/* Members are to be spread over zones. */
gboolean quince_ledger_group_is_zone_aware (const QuinceLedgerGroup *group);
/* Most members in one zone. */
guint quince_ledger_group_get_members_per_zone_max (const QuinceLedgerGroup *group);
/* Members of @view in the zone of @replica; 0 where it is not known. */
guint quince_ledger_group_count_in_zone (const QuinceLedgerGroup *group,
                                         const QuinceLedgerView *view,
                                         guint64 replica);

/* ---- ledger-leases.c ---- */
/* Messages of enough members for a quorum have arrived lately; also while a new leader waits for the first.
 */
gboolean quince_ledger_group_has_quorum_contact (const QuinceLedgerGroup *group, gint64 now_us);
/* No candidate can have enough promises: a quorum has followed this leader lately. */
gboolean quince_ledger_group_has_quorum_lease (const QuinceLedgerGroup *group, gint64 now_us);
/* No other replica can lead now. */
gboolean quince_ledger_group_has_leader_lease (const QuinceLedgerGroup *group, gint64 now_us);

/* ---- ledger-campaign.c ---- */
/* Enough members have promised this replica's campaign for it to write itself into the store. */
gboolean quince_ledger_group_is_elected (const QuinceLedgerGroup *group);
void quince_ledger_group_end_campaign (QuinceLedgerGroup *group);
/* Promises its campaign's epoch to this replica itself; %FALSE: another one has a later promise. */
gboolean quince_ledger_group_promise_self (QuinceLedgerGroup *group);

/* ---- ledger-roles.c ---- */
/* Takes @view (transfer full) as the one in force, and the role that it gives. */
void quince_ledger_group_adopt_view (QuinceLedgerGroup *group, gint64 now_us, QuinceLedgerView *view);
/* The members are those of @revision from now on, a greater one than before. */
void quince_ledger_group_begin_revision (QuinceLedgerGroup *group, guint64 revision);

/* ---- ledger-succession.c ---- */
/* Enough members have noted that members may change on this revision; else they are asked to note it, if a
 * quorum follows. */
gboolean quince_ledger_group_has_change_acks (QuinceLedgerGroup *group,
                                              gint64 now_us,
                                              const QuinceLedgerView *proposed);
