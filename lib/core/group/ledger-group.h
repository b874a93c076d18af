/*
 * ledger-group.h: who leads the batch ledger, who keeps it, and which records are committed.
 *
 * One leader and its backups.  The members lie in the metadata store and change there under a condition only,
 * so that they have one history.  A record is committed when a quorum of the members has it on disk.  A
 * backup that does not hear the leader campaigns: each other member that does not hear the leader either
 * promises not to follow it any more, and says how far its log goes.  With as many promises as meet each
 * quorum, the candidate whose log goes furthest writes itself into the view.
 *
 * While the metadata store is away the promises of a quorum make a leader; the store is updated when it is
 * back. Members change in the store alone, and only after as many of them as meet each quorum have noted the
 * change. docs/design/succession.md says why no epoch is led twice and no committed record is lost.
 *
 * Owns copies of all that it is given.  Pure: time is an argument, in microseconds of this process's
 * monotonic clock; messages, the disk and the store are its user's.
 */
#pragma once

#include "protocol/codec.h"
#include "core/group/ledger-persistent-state.h"
#include "core/group/ledger-view.h"

G_BEGIN_DECLS

/**
 * QuinceLedgerLimits:
 * @quorum: machines that must have a record on disk before it is acknowledged
 * @members_max: members while enough machines are there; at most 2 * @quorum - 1
 * @zone_losses: zones that may be lost at once: if any, members are spread over zones; 0: they are not
 * @leader_timeout_us: a backup that has not heard its leader for this long may promise another one to follow
 *   it, or campaign
 * @member_timeout_us: the leader takes a member that is silent for this long out of the view
 * @lease_duration_us: how long a leader may act on the last answers of a quorum; less than @leader_timeout_us
 * @order_pause_us: a new leader on another machine gives no orders for this long
 */
typedef struct
{
  guint quorum;
  guint members_max;
  guint zone_losses;
  gint64 leader_timeout_us;
  gint64 member_timeout_us;
  gint64 lease_duration_us;
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
  QUINCE_PROPOSAL_APPLIED,
  QUINCE_PROPOSAL_CONFLICT,    /* the view had changed before              */
  QUINCE_PROPOSAL_NOT_APPLIED, /* and will not be                          */
  QUINCE_PROPOSAL_UNKNOWN,     /* may be done, now or later, unless the view changes first */
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
 * @self: this replica
 * @persistent: what its disk keeps
 * @may_bootstrap: this is the first start of the whole system: the first view may be written
 */
QuinceLedgerGroup *quince_ledger_group_new (const QuinceLedgerMember *self,
                                            const QuinceLedgerLimits *limits,
                                            const QuinceLedgerPersistentState *persistent,
                                            gboolean may_bootstrap,
                                            gint64 now_us);
void quince_ledger_group_free (QuinceLedgerGroup *group);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLedgerGroup, quince_ledger_group_free)

/**
 * quince_ledger_group_set_view:
 * @requested_us: when the read began; 0: not known, the view may be an old one
 * @view: (nullable): what the metadata store holds; %NULL: no view
 * @revision: of @view in the store; 0 without one
 *
 * An older revision is ignored; a newer one with a lower epoch than is known changes the members alone.
 */
void quince_ledger_group_set_view (QuinceLedgerGroup *group,
                                   gint64 now_us,
                                   gint64 requested_us,
                                   const QuinceLedgerView *view,
                                   guint64 revision);
/* How the proposal of quince_ledger_group_propose() ended; @revision of the view where it is done. */
void quince_ledger_group_proposal_ended (QuinceLedgerGroup *group,
                                         gint64 now_us,
                                         QuinceProposalOutcome outcome,
                                         guint64 revision);
/* Names of machines that are to be emptied, %NULL-terminated: their replicas leave the view. */
void quince_ledger_group_set_draining_nodes (QuinceLedgerGroup *group, const char *const *nodes);
/* Only the machines @nodes (nullable, %NULL-terminated) may keep records: others are treated as machines that
 * are to be emptied.  %NULL: all may. */
void quince_ledger_group_set_allowed_nodes (QuinceLedgerGroup *group, const char *const *nodes);
/* The zone of @replica, this one or another; a replica whose zone was never set is in no zone. */
void quince_ledger_group_set_zone (QuinceLedgerGroup *group, guint64 replica, const char *zone);
/* End of the log on this machine's disk. */
void quince_ledger_group_set_log_end (QuinceLedgerGroup *group, const QuinceLogEnd *end);

/* Must be on disk before a message or record that follows from it is sent or written. (transfer none) */
const QuinceLedgerPersistentState *quince_ledger_group_get_persistent_state (const QuinceLedgerGroup *group);

/* ---- At a backup ------------------------------------------------------ */

/* Whether records of the leader of @epoch may be taken; if so this counts as its contact, and @epoch is kept
 * as promised. */
gboolean quince_ledger_group_accept_leader (QuinceLedgerGroup *group, gint64 now_us, guint64 epoch);
/* The member @replica, whose log ends at @end, campaigns with @epoch.  Returns: whether it is promised, or
 * was before; the answer may be sent once that is on disk */
gboolean quince_ledger_group_grant_promise (QuinceLedgerGroup *group,
                                            gint64 now_us,
                                            guint64 replica,
                                            guint64 epoch,
                                            const QuinceLogEnd *end);
/* Epoch to ask the other members a promise for now; 0: this replica does not campaign.  A former leader that
 * was restarted, and one that was refused, campaign at once. */
guint64 quince_ledger_group_campaign (QuinceLedgerGroup *group, gint64 now_us);
/* The member @replica promised @epoch; its log ends at @end. */
void quince_ledger_group_handle_promise (QuinceLedgerGroup *group,
                                         gint64 now_us,
                                         guint64 replica,
                                         guint64 epoch,
                                         const QuinceLogEnd *end);

/* ---- Succession without the metadata store ---------------------------- */

/* Which members this replica asks who leads, and why. */
typedef enum
{
  QUINCE_LEDGER_QUERY_NONE,
  QUINCE_LEDGER_QUERY_LEADER,  /* the leader: whether it has changes of members noted first */
  QUINCE_LEDGER_QUERY_MEMBERS, /* all members: who leads */
  QUINCE_LEDGER_QUERY_VOTES, /* all members, after each request for a promise: whether they know of a note */
  QUINCE_LEDGER_QUERY_CHANGE_ACKS, /* all members: to note a change of members */
} QuinceLedgerQueryKind;

/**
 * quince_ledger_group_get_query:
 * @store_fails: the metadata store is known to be out of reach
 * @query: (out): the query to send
 *
 * Returns: which members to send it to
 */
QuinceLedgerQueryKind quince_ledger_group_get_query (const QuinceLedgerGroup *group,
                                                     gint64 now_us,
                                                     gboolean store_fails,
                                                     QuinceLedgerQuery *query);
/* Another replica, or a front, asks who leads.  Write quince_ledger_group_get_persistent_state() to disk
 * before the answer is sent. */
void
quince_ledger_group_handle_query (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerQuery *query);
/* The answer; %FALSE: no view is known.  @lead borrows the view until the next call. */
gboolean quince_ledger_group_get_lead (const QuinceLedgerGroup *group, QuinceLedgerLead *lead);
/* Another replica's answer. */
void quince_ledger_group_handle_lead (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerLead *lead);
/* Becomes leader if a quorum has promised and the store is away or too slow.  Returns: whether it leads now
 */
gboolean
quince_ledger_group_try_lead_without_store (QuinceLedgerGroup *group, gint64 now_us, gboolean store_fails);
/* This replica leads, and the store is not known to show it. */
gboolean quince_ledger_group_is_unpublished (const QuinceLedgerGroup *group);

/* ---- At the leader ---------------------------------------------------- */

/* A replica introduced itself as a backup. */
void
quince_ledger_group_peer_joined (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerMember *member);
/* It has this log on disk up to @last_index; @requested_us: when the message that it answers was sent. */
void quince_ledger_group_peer_acked (QuinceLedgerGroup *group,
                                     guint64 replica,
                                     guint64 last_index,
                                     gint64 requested_us);
/* A message of it arrived, whatever it says. */
void quince_ledger_group_record_contact (QuinceLedgerGroup *group, guint64 replica, gint64 now_us);
/* Whether heartbeats and records may be sent to @replica: not to members while no quorum is in contact. */
gboolean quince_ledger_group_may_send (const QuinceLedgerGroup *group, gint64 now_us, guint64 replica);
/* It was ordered to drop all its records: answers to what was sent before are ignored. */
void quince_ledger_group_peer_cleared (QuinceLedgerGroup *group, guint64 replica, gint64 now_us);
/* A backup refused this leader, since it has promised the greater epoch @promised. */
void quince_ledger_group_peer_refused (QuinceLedgerGroup *group, guint64 promised);
/* Its link closed. */
void quince_ledger_group_peer_left (QuinceLedgerGroup *group, guint64 replica);

/**
 * quince_ledger_group_choose_recipients:
 * @recipients: (inout) (element-type guint64): the replicas that records are to be sent to are appended
 *
 * The members of the view that are linked, as many others as the view lacks, and as many spare ones as a
 * quorum has.
 */
void
quince_ledger_group_choose_recipients (const QuinceLedgerGroup *group, gint64 now_us, GArray *recipients);

/**
 * quince_ledger_group_propose:
 * @expected_revision: (out): the condition of the write; 0: no view may be there
 *
 * Not to be called while the metadata store is known to be out of reach.
 *
 * Returns: (transfer full) (nullable): a view to write; quince_ledger_group_proposal_ended() must follow
 */
QuinceLedgerView *
quince_ledger_group_propose (QuinceLedgerGroup *group, gint64 now_us, guint64 *expected_revision);

/* ---- What holds ------------------------------------------------------- */

QuinceLedgerRole quince_ledger_group_get_role (const QuinceLedgerGroup *group);
/* The members of the newest revision that is known, and the lead of the greatest epoch: the store may show a
 * lower one. (transfer none) (nullable) */
const QuinceLedgerView *quince_ledger_group_get_view (const QuinceLedgerGroup *group);
/* A quorum holds every record up to this index, for good. */
guint64 quince_ledger_group_get_commit_index (QuinceLedgerGroup *group);
/* This leader knows all that was ever acknowledged, and no other replica can lead now. */
gboolean quince_ledger_group_may_answer (QuinceLedgerGroup *group, gint64 now_us);
/* It can also have new records committed now. */
gboolean quince_ledger_group_may_accept (QuinceLedgerGroup *group, gint64 now_us);
/* No other replica can have given orders within the pause. */
gboolean quince_ledger_group_may_order (QuinceLedgerGroup *group, gint64 now_us);
/* Keeps that this replica may give orders in its epoch; to be called several times a second at a leader that
 * has read its log. */
void quince_ledger_group_record_orders (QuinceLedgerGroup *group, gint64 now_us);
gboolean quince_ledger_group_has_member (const QuinceLedgerGroup *group, guint64 replica);

G_END_DECLS
