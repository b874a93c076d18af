/*
 * ledger-group.h: who leads the batch ledger, who holds all of it, and what is safely kept.
 *
 * One primary and its backups.  Who they are (the view) lies in the metadata store and changes there under a
 * condition only.  A record is committed when every member of the view has it on disk, and at least
 * @copies_least machines do.  A member that falls silent is taken out of the view as long as enough copies
 * remain; any member may take the primary's place, since each holds all that was committed.
 *
 * Pure: time is an argument, in microseconds of this process's monotonic clock.
 */
#pragma once

#include <quince/codec.h>

G_BEGIN_DECLS

/**
 * QuinceLedgerLimits:
 * @copies_least: machines that must hold a record before it is acknowledged
 * @members_wanted: members while enough machines are there
 * @primary_silence_us: a backup takes over after it
 * @member_silence_us: the primary takes a silent member out after it
 * @confirm_us: how long a primary may act on the last sign that it is still the primary
 * @order_pause_us: a new primary on another machine gives no orders for this long
 */
typedef struct
{
  guint copies_least;
  guint members_wanted;
  gint64 primary_silence_us;
  gint64 member_silence_us;
  gint64 confirm_us;
  gint64 order_pause_us;
} QuinceLedgerLimits;

typedef enum
{
  QUINCE_LEDGER_WAITING, /* no view is known */
  QUINCE_LEDGER_BACKUP,
  QUINCE_LEDGER_PRIMARY,
} QuinceLedgerRole;

typedef enum
{
  QUINCE_PROPOSAL_DONE,
  QUINCE_PROPOSAL_CONFLICT, /* the view had changed before              */
  QUINCE_PROPOSAL_NOT_DONE, /* and will not be                          */
  QUINCE_PROPOSAL_UNKNOWN,  /* may be done, now or later, unless the view changes first */
} QuinceProposalOutcome;

typedef struct _QuinceLedgerGroup QuinceLedgerGroup;

/* @may_found: this is the first start of the whole system: the first view may be written. */
QuinceLedgerGroup *quince_ledger_group_new (const QuinceLedgerMember *self,
                                            const QuinceLedgerLimits *limits,
                                            gboolean may_found,
                                            gint64 now_us);
void quince_ledger_group_free (QuinceLedgerGroup *group);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLedgerGroup, quince_ledger_group_free)

/* What the metadata store holds, read at @asked_us; NULL and 0 where it holds none. An older revision is
 * ignored. */
void quince_ledger_group_set_view (QuinceLedgerGroup *group,
                                   gint64 now_us,
                                   gint64 asked_us,
                                   const QuinceLedgerView *view,
                                   guint64 revision);
/* How the proposal that step() gave ended; @revision of the view where it is done. */
void quince_ledger_group_proposal_ended (QuinceLedgerGroup *group,
                                         gint64 now_us,
                                         QuinceProposalOutcome outcome,
                                         guint64 revision);
/* Node names whose machines are to be emptied, %NULL-terminated. */
void quince_ledger_group_set_leaving (QuinceLedgerGroup *group, const char *const *nodes);
/* Last index that is on this machine's disk. */
void quince_ledger_group_set_last_index (QuinceLedgerGroup *group, guint64 last_index);

/* At a backup: the primary of the view was heard. */
void quince_ledger_group_primary_heard (QuinceLedgerGroup *group, gint64 now_us);
/* At the primary: a replica introduced itself; holds the log up to @last_index as the primary has it; went.
 */
void
quince_ledger_group_peer_joined (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerMember *member);
void quince_ledger_group_peer_acked (QuinceLedgerGroup *group,
                                     guint64 replica,
                                     guint64 last_index,
                                     gint64 asked_us);
void quince_ledger_group_peer_left (QuinceLedgerGroup *group, guint64 replica);

/**
 * quince_ledger_group_step:
 * @expected_revision: (out): the condition; 0: no view may be there
 *
 * Returns: (transfer full) (nullable): a view to write; its end is to be told
 */
QuinceLedgerView *
quince_ledger_group_step (QuinceLedgerGroup *group, gint64 now_us, guint64 *expected_revision);

QuinceLedgerRole quince_ledger_group_get_role (const QuinceLedgerGroup *group);
const QuinceLedgerView *quince_ledger_group_get_view (const QuinceLedgerGroup *group);
guint64 quince_ledger_group_get_revision (const QuinceLedgerGroup *group);
/* Every record up to it is held by enough machines, for good. */
guint64 quince_ledger_group_get_commit_index (const QuinceLedgerGroup *group);
/* The primary knows all that was ever acknowledged and is surely still the primary. */
gboolean quince_ledger_group_may_answer (const QuinceLedgerGroup *group, gint64 now_us);
/* It can also have new records committed now. */
gboolean quince_ledger_group_may_accept (const QuinceLedgerGroup *group, gint64 now_us);
/* Nobody else can have given orders within the pause. */
gboolean quince_ledger_group_may_order (const QuinceLedgerGroup *group, gint64 now_us);
gboolean quince_ledger_group_has_member (const QuinceLedgerGroup *group, guint64 replica);
const QuinceLedgerMember *quince_ledger_view_find (const QuinceLedgerView *view, guint64 replica);

G_END_DECLS
