/*
 * ledger-node-private.h: state shared by the files of a replica's ledger.
 */
#pragma once

#include "core/group/send-window.h"

#include "ledger-node.h"

/* A backup's link, at the leader. */
typedef struct
{
  QuinceLink *link; /* owned */
  char *node;       /* owned: name of its machine */
  guint64 replica;
  guint64 serial;           /* no two links have the same one */
  guint64 next_index;       /* to send */
  gboolean reset;           /* its records are of no use: the next append replaces all */
  gboolean fed;             /* records are sent to it; others are only heard */
  gboolean has_records;     /* or had, when it introduced itself */
  QuinceSendWindow *window; /* owned: records on their way */
} QuinceBackupLink;

struct _QuinceLedgerNode
{
  /* All fields belong to the main context. */
  QuinceMetaStore *store;
  const QuinceLedgerNodeCallbacks *callbacks;
  gpointer user_data;
  QuinceLedgerMember self;
  char *zone; /* of this machine */
  QuinceBatchLog *log;
  QuinceLedgerGroup *group;
  QuinceLinkServer *server;
  GHashTable *incoming; /* QuinceLink, owned: fronts and backups */
  GSource *tick;
  gint64 view_requested_us; /* when the view was last asked for; 0: no call on its way */
  gboolean asking_view;
  gboolean answered_view; /* the store has answered once, also that there is none */
  guint64 compacted;      /* index up to which forgotten batches were looked for on the disk */
  gint64 compacted_us;

  /* At the leader. */
  gboolean several_regions;   /* see QuinceLedgerNodeOptions */
  guint copies_least;         /* see QuinceLedgerLimits */
  char **confined;            /* machines that may keep records; NULL: all */
  gboolean led;               /* leadership as told to the owner */
  gboolean confinement_known; /* the owner has said since who may keep records */
  GSource *reading;           /* a new leader reads its log; NULL: it has read all of it, or does not lead */
  guint64 delivered_index;    /* the owner was told of the records up to here */
  gint64 turn_ends_us;        /* reading rests then */
  gint64 read_since_us;
  guint64 led_epoch;          /* role as last looked at: epoch led, 0 none */
  guint64 next_index;         /* of the next record */
  GArray *unwritten;          /* QuinceLogEntry, owned records: not yet on disk */
  GQueue uncommitted;         /* QuinceLogEntry, owned: on disk or not, not yet told */
  GHashTable *backups;        /* QuinceBackupLink by replica */
  gint64 members_informed_us; /* when those that are not linked were last told who leads */
  guint64 joins;              /* backups that introduced themselves */
  GSource *flush;

  /* At a backup. */
  GHashTable *query_links; /* QuinceLink by replica, owned: to members that are asked */
  GHashTable
      *moved; /* replica to address, both owned: members that told of another one than @view_revision's */
  guint64 view_revision;   /* of the newest view that was read */
  gint64 requested_us;     /* when one of them was last used */
  gint64 query_connect_us; /* when those that do not connect were last closed */
  gint64 queried_us;       /* when it last asked who leads */
  QuinceLink *primary_link;
  gboolean primary_lost; /* told in the log */
  char *primary_address;
  gint64 primary_tried_us;
};

/* ledger-replication.c */
void quince_ledger_node_hello (QuinceLedgerNode *node, QuinceLink *link, const QuinceLedgerHello *hello);
void quince_ledger_node_acked (QuinceLedgerNode *node, QuinceLink *link, const QuinceLedgerAck *ack);
void quince_ledger_node_send_backups (QuinceLedgerNode *node, gboolean heartbeat);
void quince_ledger_node_drop_backup (QuinceLedgerNode *node, QuinceLink *link);
void quince_ledger_node_drop_backups (QuinceLedgerNode *node);
void quince_ledger_node_follow (QuinceLedgerNode *node);
void quince_ledger_node_unfollow (QuinceLedgerNode *node);
void quince_backup_link_free (gpointer data);

/* Chooses who is sent records, and clears the disks that may hold none. */
void quince_ledger_node_choose_fed (QuinceLedgerNode *node);

/* ledger-campaigning.c */
void quince_ledger_node_campaign (QuinceLedgerNode *node);
void quince_ledger_node_handle_ask (QuinceLedgerNode *node, QuinceLink *link, const QuinceLedgerAsk *ask);

/* ledger-succession.c */
/* Asks who leads where the leader is silent; called again and again. */
void quince_ledger_node_query_leader (QuinceLedgerNode *node);
void
quince_ledger_node_handle_query (QuinceLedgerNode *node, QuinceLink *link, const QuinceLedgerQuery *query);
void quince_ledger_node_take_lead (QuinceLedgerNode *node, const QuinceLedgerLead *lead);
/* Leads if a quorum has promised and the metadata store is away. */
void quince_ledger_node_lead_without_store (QuinceLedgerNode *node);

/* ledger-queries.c */
/* A link to the member, for questions. (transfer none) */
QuinceLink *quince_ledger_node_link_to (QuinceLedgerNode *node, const QuinceLedgerMember *member);
/* A member tells where it is found now. %TRUE: that is news */
gboolean quince_ledger_node_note_address (QuinceLedgerNode *node, const QuinceLedgerMember *member);
/* Closes the links for questions; or those that nothing was asked on lately. */
void quince_ledger_node_close_queries (QuinceLedgerNode *node);
void quince_ledger_node_close_idle_queries (QuinceLedgerNode *node);
/* Writes to the disk what the group promised since; before anything that follows from it is told. */
gboolean quince_ledger_node_keep (QuinceLedgerNode *node, GError **error);
/* A replica that cannot keep its own promise must not lead. */
void quince_ledger_node_keep_or_abort (QuinceLedgerNode *node);

/* ledger-views.c */
void quince_ledger_node_ask_view (QuinceLedgerNode *node);

/* ledger-node.c */
/* Acts on the role that the group has. */
void quince_ledger_node_update_role (QuinceLedgerNode *node);
void quince_ledger_node_advance (QuinceLedgerNode *node);
/* Tells the group where the log on disk ends. */
void quince_ledger_node_note_end (QuinceLedgerNode *node);
/* Proposes a change of the view where there is one to propose. */
void quince_ledger_node_propose (QuinceLedgerNode *node);
