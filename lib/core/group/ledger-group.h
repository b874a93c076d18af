/*
 * ledger-group.h: who leads the batch ledger, who keeps it, and what is safely kept.
 *
 * One primary and its backups.  The members lie in the metadata store and change there under a condition
 * only, so that there is one history of them.  A record is committed when a quorum of the members has it on
 * disk, @quorum machines.  A backup that does not hear the primary asks the others; each that does not
 * hear it either promises to follow it no more and tells how far its log goes.  With as many promises as make
 * any quorum meet them, the one whose log goes furthest writes itself into the view.
 *
 * While the metadata store is away the promises of a quorum make a primary; the store is told when it is
 * back.  Members change in the store alone, and only after as many of them as meet each quorum have noted it.
 * docs/design/succession.md says why no epoch is led twice and nothing committed is lost.
 *
 * Pure: time is an argument, in microseconds of this process's monotonic clock.
 */
#pragma once

#include "protocol/codec.h"
#include "core/group/ledger-kept.h"
#include "core/group/ledger-view.h"

G_BEGIN_DECLS

/**
 * QuinceLedgerLimits:
 * @quorum: the quorum: machines that must hold a record before it is acknowledged
 * @members_max: members while enough machines are there; at most 2 * @quorum - 1
 * @zone_losses: zones that may be lost at once: if any, members are spread over zones; 0: they stand anywhere
 * @leader_silence_us: a backup that does not hear its primary for so long may be promised its place, or ask
 * for it
 * @member_silence_us: the primary takes a silent member out after it
 * @confirm_us: how long a primary may act on the last answers of a quorum; less than @leader_silence_us
 * @order_pause_us: a new primary on another machine gives no orders for this long
 */
typedef struct
{
  guint quorum;
  guint members_max;
  guint zone_losses;
  gint64 leader_silence_us;
  gint64 member_silence_us;
  gint64 confirm_us;
  gint64 order_pause_us;
} QuinceLedgerLimits;

typedef enum
{
  QUINCE_LEDGER_WAITING, /* no view is known */
  QUINCE_LEDGER_BACKUP,
  QUINCE_LEDGER_LEADER,
} QuinceLedgerRole;

typedef enum
{
  QUINCE_PROPOSAL_DONE,
  QUINCE_PROPOSAL_CONFLICT, /* the view had changed before              */
  QUINCE_PROPOSAL_NOT_DONE, /* and will not be                          */
  QUINCE_PROPOSAL_UNKNOWN,  /* may be done, now or later, unless the view changes first */
} QuinceProposalOutcome;

/* Where a log ends. A log that ends with the greater epoch goes further, then the longer one. */
typedef struct
{
  guint64 epoch;
  guint64 index;
} QuinceLogEnd;

typedef struct _QuinceLedgerGroup QuinceLedgerGroup;

/**
 * quince_ledger_group_new:
 * @kept: what this disk keeps
 * @may_found: this is the first start of the whole system: the first view may be written
 */
QuinceLedgerGroup *quince_ledger_group_new (const QuinceLedgerMember *self,
                                            const QuinceLedgerLimits *limits,
                                            const QuinceLedgerKept *kept,
                                            gboolean may_found,
                                            gint64 now_us);
void quince_ledger_group_free (QuinceLedgerGroup *group);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLedgerGroup, quince_ledger_group_free)

/* What the metadata store holds, read at @requested_us; NULL and 0 where it holds none. An older revision is
 * ignored; a newer one with a lower epoch than is known changes the members alone. */
void quince_ledger_group_set_view (QuinceLedgerGroup *group,
                                   gint64 now_us,
                                   gint64 requested_us,
                                   const QuinceLedgerView *view,
                                   guint64 revision);
/* How the proposal that step() gave ended; @revision of the view where it is done. */
void quince_ledger_group_proposal_ended (QuinceLedgerGroup *group,
                                         gint64 now_us,
                                         QuinceProposalOutcome outcome,
                                         guint64 revision);
/* Node names whose machines are to be emptied, %NULL-terminated. */
void quince_ledger_group_set_leaving (QuinceLedgerGroup *group, const char *const *nodes);
/* Only the machines @nodes (nullable, %NULL-terminated) may keep records: others are treated as those that
 * are to be emptied.  %NULL: all may. */
void quince_ledger_group_confine (QuinceLedgerGroup *group, const char *const *nodes);
/* Where the machine of @replica stands, this one or another; one that was never told stands in no zone. */
void quince_ledger_group_set_zone (QuinceLedgerGroup *group, guint64 replica, const char *zone);
/* End of the log on this machine's disk. */
void quince_ledger_group_set_log_end (QuinceLedgerGroup *group, const QuinceLogEnd *end);

/* Must be on disk before anything that follows from it is told or written. */
const QuinceLedgerKept *quince_ledger_group_get_kept (const QuinceLedgerGroup *group);

/* ---- At a backup ------------------------------------------------------ */

/* Whether records of the primary of @epoch may be taken; if so it is heard, and @epoch is kept as promised.
 */
gboolean quince_ledger_group_accepts (QuinceLedgerGroup *group, gint64 now_us, guint64 epoch);
/* The member @replica, whose log ends at @end, asks to be followed with @epoch.  %TRUE: promised, or promised
 * before, once it is on disk */
gboolean quince_ledger_group_promise (QuinceLedgerGroup *group,
                                      gint64 now_us,
                                      guint64 replica,
                                      guint64 epoch,
                                      const QuinceLogEnd *end);
/* Epoch to ask the other members for now; 0: nothing to ask.  A former primary that was started anew, and one
 * that was refused, ask at once. */
guint64 quince_ledger_group_campaign (QuinceLedgerGroup *group, gint64 now_us);
/* A member promised @epoch; its log ends at @end. */
void quince_ledger_group_promised_by (QuinceLedgerGroup *group,
                                      gint64 now_us,
                                      guint64 replica,
                                      guint64 epoch,
                                      const QuinceLogEnd *end);

/* ---- Succession without the metadata store ---------------------------- */

/* Which members this replica asks who leads, and why. */
typedef enum
{
  QUINCE_LEDGER_QUERY_NONE,
  QUINCE_LEDGER_QUERY_LEADER,  /* the primary is asked whether it has changes of members noted first */
  QUINCE_LEDGER_QUERY_MEMBERS, /* the members are asked, now and then */
  QUINCE_LEDGER_QUERY_VOTES,   /* the members are asked after each question for a promise */
  QUINCE_LEDGER_QUERY_NOTES,   /* the members are asked to note a change of members */
} QuinceLedgerQueryKind;

/**
 * quince_ledger_group_get_query:
 * @store_fails: the metadata store is known to be out of reach
 * @query: (out): what to ask
 *
 * Returns: whom to ask
 */
QuinceLedgerQueryKind quince_ledger_group_get_query (const QuinceLedgerGroup *group,
                                                     gint64 now_us,
                                                     gboolean store_fails,
                                                     QuinceLedgerQuery *query);
/* Another replica, or a front, asks who leads.  Write quince_ledger_group_get_kept() to disk before the
 * answer is sent. */
void
quince_ledger_group_handle_query (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerQuery *query);
/* The answer; %FALSE: no view is known.  @lead borrows the view until the next call. */
gboolean quince_ledger_group_get_lead (const QuinceLedgerGroup *group, QuinceLedgerLead *lead);
/* Another replica's answer. */
void quince_ledger_group_take_lead (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerLead *lead);
/* Becomes primary if a quorum has promised and the store is away or too slow.  %TRUE: it leads now */
gboolean
quince_ledger_group_lead_without_store (QuinceLedgerGroup *group, gint64 now_us, gboolean store_fails);
/* This primary is not the one that the store is known to show. */
gboolean quince_ledger_group_is_unpublished (const QuinceLedgerGroup *group);

/* ---- At the primary --------------------------------------------------- */

/* A replica introduced itself; holds this log up to @last_index; has promised a greater epoch; went. */
void
quince_ledger_group_peer_joined (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerMember *member);
void quince_ledger_group_peer_acked (QuinceLedgerGroup *group,
                                     guint64 replica,
                                     guint64 last_index,
                                     gint64 requested_us);
/* It is told to drop all that it holds: answers to what was asked before count no more. */
void quince_ledger_group_peer_cleared (QuinceLedgerGroup *group, guint64 replica, gint64 now_us);
void quince_ledger_group_peer_refused (QuinceLedgerGroup *group, guint64 promised);
void quince_ledger_group_peer_left (QuinceLedgerGroup *group, guint64 replica);

/**
 * quince_ledger_group_choose_recipients:
 * @fed: (inout) (element-type guint64): the replicas that records are to be sent to are appended
 *
 * The members of the view that are linked, those that lack in it, and as many spare ones as a quorum has.
 */
void quince_ledger_group_choose_recipients (const QuinceLedgerGroup *group, gint64 now_us, GArray *fed);

/**
 * quince_ledger_group_propose:
 * @expected_revision: (out): the condition; 0: no view may be there
 *
 * Not to be called while the metadata store is known to be out of reach.
 *
 * Returns: (transfer full) (nullable): a view to write; its end is to be told
 */
QuinceLedgerView *
quince_ledger_group_propose (QuinceLedgerGroup *group, gint64 now_us, guint64 *expected_revision);

/* ---- What holds ------------------------------------------------------- */

QuinceLedgerRole quince_ledger_group_get_role (const QuinceLedgerGroup *group);
/* The members of the newest revision that is known, and the lead of the greatest epoch: the store may show a
 * lower one. (nullable) */
const QuinceLedgerView *quince_ledger_group_get_view (const QuinceLedgerGroup *group);
/* Every record up to it is held by a quorum, for good. */
guint64 quince_ledger_group_get_commit_index (QuinceLedgerGroup *group);
/* The primary knows all that was ever acknowledged and is surely still the primary. */
gboolean quince_ledger_group_may_answer (QuinceLedgerGroup *group, gint64 now_us);
/* It can also have new records committed now. */
gboolean quince_ledger_group_may_accept (QuinceLedgerGroup *group, gint64 now_us);
/* Nobody else can have given orders within the pause. */
gboolean quince_ledger_group_may_order (QuinceLedgerGroup *group, gint64 now_us);
/* Keeps that this replica may give orders in its epoch; called again and again at a primary that knows all.
 */
void quince_ledger_group_note_orders (QuinceLedgerGroup *group, gint64 now_us);
gboolean quince_ledger_group_has_member (const QuinceLedgerGroup *group, guint64 replica);

G_END_DECLS
