/*
 * ledger-group-private.h: state shared by the files of lib/core/group.
 */
#pragma once

#include "core/group/ledger-group.h"
#include "core/group/replica-list.h"

/* A replica that is linked to this primary. */
typedef struct
{
  guint64 replica;
  char *node;
  char *address;
  guint64 last_index; /* holds the primary's log up to here */
  gint64 acked_us;    /* latest instant of ours that it answered; 0: none */
  gint64 cleared_us;  /* when it was told to drop all; 0: never */
} QuinceLedgerPeer;

struct _QuinceLedgerGroup
{
  QuinceLedgerMember self;
  QuinceLedgerLimits limits;
  gboolean may_found;
  QuinceLedgerRole role;
  QuinceLogEnd end;

  QuinceLedgerView *view; /* members of the newest revision known, epoch and primary of the greatest epoch */
  guint64 revision;       /* of the members; 0: none */
  guint64 store_epoch;    /* what the store shows at that revision; 0: not known */
  guint64 store_primary;
  gboolean store_leader_notes; /* the primary of that epoch notes before it changes members */
  guint64 noting_epoch;        /* greatest epoch whose primary is known to do so */
  gboolean view_is_read;       /* the store has answered at least once */
  gint64 confirmed_us;         /* the view was in force at least until then */

  QuinceLedgerView *proposal; /* on its way */
  gint64 proposed_us;         /* when it was made */
  guint64 proposed_epoch;     /* latest epoch that this process proposed to lead */
  guint64 led_epoch;          /* epoch that it leads or led */
  GArray *proposed_members;   /* replicas of all views that were proposed on this revision */
  guint proposed_members_min; /* members of the least of those views */
  gboolean proposal_may_come; /* one of them may yet be done */
  gboolean hands_over;        /* one of them names another primary */
  gint64 propose_after_us;    /* pause after a failed proposal */

  /* At a backup. */
  gint64 leader_contact_us;
  QuinceLedgerKept kept;
  guint64 promised_at_start; /* as the disk had it when this process was started */
  guint64 promised_to;    /* who has the promise; 0: not known, or it is one to a primary that was followed */
  guint64 campaign_epoch; /* asked for; 0: no campaign */
  guint64 last_campaign;  /* greatest epoch that anybody is known to have asked for */
  gint64 campaign_us;     /* since when, or not before which the next one */
  GArray *campaign_promises; /* replicas that promised it */
  GArray *votes;             /* those of them that told since that they know of no change of members */
  gboolean vote_refused;     /* one of them knows of a change */
  gint64 elected_us;         /* since when the promises are enough for the store; 0: they are not */

  /* At the primary. */
  GHashTable *peers; /* QuinceLedgerPeer by replica */
  guint64 commit_index;
  guint64 recovery_index; /* of the first record of its own epoch */
  guint64 refused_with;   /* greatest epoch that a member promised to another */
  gboolean wants_notes;   /* a change of members waits for them */
  GArray *notes;          /* replicas that noted a change on this revision */
  gint64 order_after_us;
  gint64 leading_since_us;
  GHashTable *zones; /* replica to zone, both owned */
  char **leaving;    /* nodes to be emptied */
  char **confined;   /* nodes that may keep records; NULL: all */
};

/* The files below are ordered: each calls only those that stand before it. */

/* ---- ledger-group.c: the state itself, peers, getters ---- */
/* (transfer none) (nullable) */
QuinceLedgerPeer *quince_ledger_group_find_peer (const QuinceLedgerGroup *group, guint64 replica);
/* The machine is to be emptied, or may not keep records. */
gboolean quince_ledger_group_is_leaving (const QuinceLedgerGroup *group, const char *node);

/* ---- ledger-zones.c ---- */
/* Members are to be spread over zones. */
gboolean quince_ledger_group_spreads (const QuinceLedgerGroup *group);
/* Members that may stand in one zone. */
guint quince_ledger_group_get_zone_max (const QuinceLedgerGroup *group);
/* Members of @view in the zone of @replica; 0 where it is not known. */
guint quince_ledger_group_count_in_zone (const QuinceLedgerGroup *group,
                                         const QuinceLedgerView *view,
                                         guint64 replica);

/* ---- ledger-leases.c ---- */
/* Nobody else can lead now. */
gboolean quince_ledger_group_is_confirmed (const QuinceLedgerGroup *group, gint64 now_us);

/* ---- ledger-campaign.c ---- */
/* Enough members have promised this replica's campaign for it to write itself into the store. */
gboolean quince_ledger_group_is_elected (const QuinceLedgerGroup *group);
void quince_ledger_group_end_campaign (QuinceLedgerGroup *group);
/* Promises its campaign's epoch to itself; %FALSE: another one has a later promise. */
gboolean quince_ledger_group_promise_self (QuinceLedgerGroup *group);

/* ---- ledger-roles.c ---- */
/* Takes @view (transfer full) as the one that is known, and the role that it gives. */
void quince_ledger_group_adopt (QuinceLedgerGroup *group, gint64 now_us, QuinceLedgerView *view);
/* The members are those of @revision from now on, a greater one than before. */
void quince_ledger_group_begin_revision (QuinceLedgerGroup *group, guint64 revision);

/* ---- ledger-succession.c ---- */
/* Enough members have noted that members may change on this revision; else they are asked to. */
gboolean quince_ledger_group_is_noted (QuinceLedgerGroup *group, const QuinceLedgerView *proposed);
