/*
 * ledger-group-private.h: state shared by the files of lib/core/group.
 */
#pragma once

#include <quince/ledger-group.h>

/* A replica that is linked to this primary. */
typedef struct
{
  guint64 replica;
  char *node;
  char *address;
  guint64 last_index; /* holds the primary's log up to here */
  gint64 acked_us;    /* latest instant of ours that it answered; 0: none */
} QuinceLedgerPeer;

struct _QuinceLedgerGroup
{
  QuinceLedgerMember self;
  QuinceLedgerLimits limits;
  gboolean may_found;
  QuinceLedgerRole role;

  QuinceLedgerView *view; /* as last seen in the metadata store */
  guint64 revision;       /* of that view; 0: none */
  gboolean view_is_read;  /* the store has answered at least once */
  gint64 confirmed_us;    /* the view was in force at least until then */

  QuinceLedgerView *proposal; /* on its way */
  guint64 proposed_epoch;     /* latest epoch that this process proposed to lead */
  guint64 led_epoch;          /* epoch that it leads or led */
  gint64 proposed_us;         /* when it was made */
  gboolean proposal_may_come; /* an earlier one on this revision may still be done */
  GArray *maybe_members;      /* replicas that a proposal on this revision may make members */
  gint64 propose_after_us;    /* pause after a failed proposal */

  /* At a backup. */
  gint64 primary_heard_us;

  /* At the primary. */
  GHashTable *peers; /* QuinceLedgerPeer by replica */
  guint64 last_index;
  guint64 commit_index;
  guint64 recovery_index; /* last index when it took over */
  gint64 order_after_us;
  gint64 became_primary_us;
  char **leaving; /* nodes to be emptied */
};

QuinceLedgerPeer *quince_ledger_group_find_peer (const QuinceLedgerGroup *group, guint64 replica);
