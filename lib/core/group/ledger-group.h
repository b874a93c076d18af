/*
 * ledger-group.h: membership, leader election and commits of the batch ledger.
 *
 * The group has one leader and several backups.  The metadata store holds the view: epoch, leader and
 * members.  Every write to it is conditional on the revision, so views have a single history.  A record is
 * committed when a quorum of the members has it on disk.
 *
 * A backup that loses contact with the leader starts a campaign: it asks the other members for promises.  A
 * member that has also lost contact promises to follow no older leader and reports the end of its log.  With
 * enough promises, the candidate whose log is most up to date writes itself into the view as leader.
 *
 * While the metadata store is unreachable, the promises of a quorum are enough to elect a leader; the store
 * is updated later.  Members change in the store only, after enough members have acknowledged the change.
 * docs/design/succession.md explains why an epoch has at most one leader and no committed record is lost.
 *
 * The group copies its arguments and does no I/O: the caller sends messages, writes to disk and accesses the
 * store.  Times are in microseconds of this process's monotonic clock.
 */
#pragma once

#include "protocol/codec.h"
#include "core/group/ledger-persistent-state.h"
#include "core/group/ledger-refusal.h"
#include "core/group/ledger-view.h"

G_BEGIN_DECLS

/**
 * QuinceLedgerLimits:
 * @quorum: number of machines that must have a record on disk before it is acknowledged
 * @members_max: maximum number of members; at most 2 * @quorum - 1
 * @zone_losses: number of zones that may fail at the same time; 0: members are not spread over zones
 * @leader_timeout_us: a backup without contact to its leader for this long may campaign, or promise to follow
 *   another replica
 * @member_timeout_us: the leader removes a member from the view after this long without an acknowledgement
 * @lease_duration_us: how long a leader may rely on the last acknowledgements of a quorum; less than
 *   @leader_timeout_us
 * @order_pause_us: how long a new leader waits before it gives orders to workers, unless it was also the last
 *   replica to give them
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
  QUINCE_PROPOSAL_CONFLICT,    /* the view in the store had already changed */
  QUINCE_PROPOSAL_NOT_APPLIED, /* and will not be applied later */
  QUINCE_PROPOSAL_UNKNOWN,     /* may still be applied, unless the view changes first */
} QuinceProposalOutcome;

/* The last record of a log.  The log with the greater epoch is more up to date; if the epochs are equal, the
 * longer log is. */
typedef struct
{
  guint64 epoch;
  guint64 index;
} QuinceLogEnd;

typedef struct _QuinceLedgerGroup QuinceLedgerGroup;

/**
 * quince_ledger_group_new:
 * @self: this replica
 * @persistent: state read from its disk
 * @may_bootstrap: whether this replica may write the first view, on the first start of the whole system
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
 * @requested_us: when the read began; 0 if unknown: the view then does not confirm the leader
 * @view: (nullable): the view in the metadata store, or %NULL if there is none
 * @revision: revision of @view in the store; 0 if there is no view
 *
 * Ignores an older revision.  If a newer revision has a lower epoch than the known one, only the members are
 * updated.
 */
void quince_ledger_group_set_view (QuinceLedgerGroup *group,
                                   gint64 now_us,
                                   gint64 requested_us,
                                   const QuinceLedgerView *view,
                                   guint64 revision);
/* Reports the outcome of the proposal returned by quince_ledger_group_propose().  @revision: revision of the
 * view in the store if the outcome is %QUINCE_PROPOSAL_APPLIED. */
void quince_ledger_group_proposal_ended (QuinceLedgerGroup *group,
                                         gint64 now_us,
                                         QuinceProposalOutcome outcome,
                                         guint64 revision);
/* Sets the machines (nullable, %NULL-terminated) that are being drained: their replicas are removed from the
 * view. %NULL: none. */
void quince_ledger_group_set_draining_nodes (QuinceLedgerGroup *group, const char *const *nodes);
/* Sets the machines (nullable, %NULL-terminated) that may store records: all others are treated as draining.
 * %NULL: all machines may. */
void quince_ledger_group_set_allowed_nodes (QuinceLedgerGroup *group, const char *const *nodes);
/* Sets the zone of @replica, which may be this replica.  A replica has no zone until one is set. */
void quince_ledger_group_set_zone (QuinceLedgerGroup *group, guint64 replica, const char *zone);
/* Returns: (transfer none) (nullable): the zone of @replica, or %NULL if none is set */
const char *quince_ledger_group_get_zone (const QuinceLedgerGroup *group, guint64 replica);
/* Sets the end of the log on this replica's disk. */
void quince_ledger_group_set_log_end (QuinceLedgerGroup *group, const QuinceLogEnd *end);

/* Returns: (transfer none): the state that must be on disk before any message or record that depends on it is
 * sent or written */
const QuinceLedgerPersistentState *quince_ledger_group_get_persistent_state (const QuinceLedgerGroup *group);

/* ---- At a backup ------------------------------------------------------ */

/* Returns %TRUE if records from the leader of @epoch may be accepted.  This then counts as contact with the
 * leader, and @epoch becomes the promised epoch. */
gboolean quince_ledger_group_accept_leader (QuinceLedgerGroup *group, gint64 now_us, guint64 epoch);
/* Handles the promise request of the member @replica, which campaigns for @epoch and whose log ends at @end.
 * Returns: whether the promise is granted, now or by an earlier call.  The answer may be sent once the
 * persistent state is on disk. */
gboolean quince_ledger_group_grant_promise (QuinceLedgerGroup *group,
                                            gint64 now_us,
                                            guint64 replica,
                                            guint64 epoch,
                                            const QuinceLogEnd *end);
/* Starts or continues a campaign if one is due.  Returns: the epoch for which to request promises from the
 * other members, or 0 if this replica does not campaign.  A restarted leader and a leader that a backup
 * refused campaign without waiting for the leader timeout. */
guint64 quince_ledger_group_campaign (QuinceLedgerGroup *group, gint64 now_us);
/* Handles the promise of the member @replica for @epoch; its log ends at @end. */
void quince_ledger_group_handle_promise (QuinceLedgerGroup *group,
                                         gint64 now_us,
                                         guint64 replica,
                                         guint64 epoch,
                                         const QuinceLogEnd *end);

/* Returns whether this candidate must read the view from the store before it may propose itself as leader: no
 * read that began since the campaigns did, or shortly before, has been answered.
 * Where nobody else's promise is needed, its own one binds it: a candidate that the store does not answer
 * would take itself out of the group of a leader that may go on. */
gboolean quince_ledger_group_needs_store_read (const QuinceLedgerGroup *group);

/* ---- Succession without the metadata store ---------------------------- */

/* Which members this replica queries, and for what. */
typedef enum
{
  QUINCE_LEDGER_QUERY_NONE,
  QUINCE_LEDGER_QUERY_LEADER,  /* the leader: whether it has membership changes acknowledged */
  QUINCE_LEDGER_QUERY_MEMBERS, /* all members: who is the leader */
  QUINCE_LEDGER_QUERY_VOTES,   /* all members, after each promise request: whether they know of a change */
} QuinceLedgerQueryKind;

/**
 * quince_ledger_group_get_query:
 * @store_fails: whether the metadata store is known to be unreachable
 * @query: (out): the query to send; not set if no view is known
 *
 * Returns: which members to send @query to
 */
QuinceLedgerQueryKind quince_ledger_group_get_query (const QuinceLedgerGroup *group,
                                                     gint64 now_us,
                                                     gboolean store_fails,
                                                     QuinceLedgerQuery *query);
/* Handles a query from another replica or a front.  A leader of a build that sends no change requests
 * announces a membership change by it, which is acknowledged without its views.  The persistent state must be
 * on disk before the answer is sent. */
void
quince_ledger_group_handle_query (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerQuery *query);
/* Sets @lead to the answer to a query.  Its view belongs to @group and is valid until the next call.  Returns
 * %FALSE if no view is known. */
gboolean quince_ledger_group_get_lead (const QuinceLedgerGroup *group, QuinceLedgerLead *lead);
/* Handles the answer of another replica to a query, or the announcement of a new leader. */
void quince_ledger_group_handle_lead (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerLead *lead);
/**
 * quince_ledger_group_list_electors:
 * @members: (inout) (element-type QuinceLedgerMember): array to which the members are appended; they belong
 * to
 *   @group and are valid until the next call
 *
 * Appends the members of the known view, then those of the outstanding views: promises and votes of all of
 * them are requested, and they are told of a new leader.
 */
void quince_ledger_group_list_electors (const QuinceLedgerGroup *group, GPtrArray *members);
/* Handles the request of the leader to acknowledge a membership change.  The persistent state must be on disk
 * before the answer, if any, is sent. */
void quince_ledger_group_handle_change_request (QuinceLedgerGroup *group,
                                                gint64 now_us,
                                                const QuinceLedgerChangeRequest *request);
/* Sets @ack to the changes of the known revision that this replica has acknowledged: the answer to a change
 * request, and the second answer to the query of a replica.  Its change belongs to @group and is valid until
 * the next call.  Returns %FALSE if there are none, or not all of them are known. */
gboolean quince_ledger_group_get_change_ack (const QuinceLedgerGroup *group, QuinceLedgerChangeAck *ack);
/* Handles the changes that another replica has acknowledged: counts its acknowledgement at the leader, and
 * its vote at a candidate. */
void quince_ledger_group_handle_change_ack (QuinceLedgerGroup *group,
                                            gint64 now_us,
                                            const QuinceLedgerChangeAck *ack);
/* Becomes leader if a quorum of each view that may be in force has promised and the store is unreachable or
 * too slow.  Returns: whether this replica became the leader */
gboolean
quince_ledger_group_try_lead_without_store (QuinceLedgerGroup *group, gint64 now_us, gboolean store_fails);
/* Sets @request to the request for acknowledgements that this leader sends to all members; its fields belong
 * to
 * @group and are valid until the next call.  Returns %FALSE if it needs none. */
gboolean quince_ledger_group_get_change_request (const QuinceLedgerGroup *group,
                                                 gint64 now_us,
                                                 QuinceLedgerChangeRequest *request);
/* Returns %TRUE if this replica is the leader and its view is not known to be in the store. */
gboolean quince_ledger_group_is_unpublished (const QuinceLedgerGroup *group);

/* ---- At the leader ---------------------------------------------------- */

/* Adds or replaces the peer @member, which has connected as a backup. */
void
quince_ledger_group_peer_joined (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerMember *member);
/* Records that @replica has the log up to @last_index on disk.  @requested_us: when the message that it
 * acknowledges was sent. */
void quince_ledger_group_peer_acked (QuinceLedgerGroup *group,
                                     guint64 replica,
                                     guint64 last_index,
                                     gint64 requested_us);
/* Records that a message of any kind arrived from @replica. */
void quince_ledger_group_record_contact (QuinceLedgerGroup *group, guint64 replica, gint64 now_us);
/* Returns %TRUE if heartbeats and records may be sent to @replica.  Members get none while the leader has no
 * contact with a quorum. */
gboolean quince_ledger_group_may_send (const QuinceLedgerGroup *group, gint64 now_us, guint64 replica);
/* Returns %TRUE if a view may be in force that is not the known one. */
gboolean quince_ledger_group_is_change_outstanding (const QuinceLedgerGroup *group);
/* Returns: the index of the last record that may be sent to @replica now.  While a change is outstanding, a
 * replica that is not a member of the known view gets only records that a quorum of that view holds.  It
 * cannot be elected without the store, and otherwise its vote could be needed by members that all lack its
 * records. */
guint64 quince_ledger_group_get_sendable_index (const QuinceLedgerGroup *group, guint64 replica);
/* Records that @replica was ordered to delete its log: acknowledgements of messages sent before @now_us are
 * ignored from now on. */
void quince_ledger_group_peer_cleared (QuinceLedgerGroup *group, guint64 replica, gint64 now_us);
/* Records that a backup refused this leader because it has promised the greater epoch @promised. */
void quince_ledger_group_peer_refused (QuinceLedgerGroup *group, guint64 promised);
/* Removes the peer @replica, whose connection was closed. */
void quince_ledger_group_peer_left (QuinceLedgerGroup *group, guint64 replica);

/**
 * quince_ledger_group_choose_recipients:
 * @recipients: (inout) (element-type guint64): array to which the replicas that receive records are appended
 *
 * Appends all connected members of each view that may be in force.  Then appends other connected replicas:
 * one for each member that the view lacks, and @quorum spare ones.
 */
void
quince_ledger_group_choose_recipients (const QuinceLedgerGroup *group, gint64 now_us, GArray *recipients);

/**
 * quince_ledger_group_propose:
 * @expected_revision: (out): revision that the store must have for the write to succeed; 0: the store must
 * hold no view.  Set only if a view is returned.
 *
 * Must not be called while the metadata store is known to be unreachable.
 *
 * Returns: (transfer full) (nullable): the view to write to the store, or %NULL if there is nothing to
 * propose now. The caller reports the outcome with quince_ledger_group_proposal_ended().
 */
QuinceLedgerView *
quince_ledger_group_propose (QuinceLedgerGroup *group, gint64 now_us, guint64 *expected_revision);

/* ---- State ------------------------------------------------------------ */

QuinceLedgerRole quince_ledger_group_get_role (const QuinceLedgerGroup *group);
/* Returns: (transfer none) (nullable): the members of the newest known revision, with the greatest known
 * epoch and its leader, or %NULL if no view is known.  The store may hold a lower epoch. */
const QuinceLedgerView *quince_ledger_group_get_view (const QuinceLedgerGroup *group);
/* Returns: the index up to which a quorum has every record on disk; a backup does not update it */
guint64 quince_ledger_group_get_commit_index (QuinceLedgerGroup *group);
/* Returns: why this replica may not answer calls now; %QUINCE_LEDGER_REFUSAL_NONE if it is the leader, has
 * every record that was ever acknowledged, and no other replica can be leader now */
QuinceLedgerRefusal quince_ledger_group_get_answer_refusal (QuinceLedgerGroup *group, gint64 now_us);
/* Returns: why this replica may not accept changes now; %QUINCE_LEDGER_REFUSAL_NONE if it may answer and can
 * also commit new records */
QuinceLedgerRefusal quince_ledger_group_get_accept_refusal (QuinceLedgerGroup *group, gint64 now_us);
/* Return %TRUE if the function above returns %QUINCE_LEDGER_REFUSAL_NONE. */
gboolean quince_ledger_group_may_answer (QuinceLedgerGroup *group, gint64 now_us);
gboolean quince_ledger_group_may_accept (QuinceLedgerGroup *group, gint64 now_us);
/* Returns: index of the first record of the epoch that this replica leads or last led; 0: it never led */
guint64 quince_ledger_group_get_recovery_index (const QuinceLedgerGroup *group);
/* Returns: how many members of the known view, including this replica if it is one, have recently
 * acknowledged a message of this leader */
guint quince_ledger_group_count_lease_members (const QuinceLedgerGroup *group, gint64 now_us);
/* Returns %TRUE if this replica is the leader and may give orders to workers.  No other replica can have
 * given any within the order pause. */
gboolean quince_ledger_group_may_order (QuinceLedgerGroup *group, gint64 now_us);
/* Returns %TRUE if this replica is the leader and no other replica can be.  It may give an order to a worker
 * if no other leader has ordered that worker within the order pause (order-history.h). */
gboolean quince_ledger_group_has_order_lease (QuinceLedgerGroup *group, gint64 now_us);
/* Returns %TRUE if this replica has led this epoch for the whole order pause, or no replica led before it.
 * Unlike quince_ledger_group_may_order(), this also excludes orders that this replica gave before a restart.
 */
gboolean quince_ledger_group_waited_order_pause (const QuinceLedgerGroup *group, gint64 now_us);
/* Updates the persistent state with the current epoch if this replica may give orders in it.  A leader that
 * has read its log calls this several times a second. */
void quince_ledger_group_record_orders (QuinceLedgerGroup *group, gint64 now_us);
gboolean quince_ledger_group_has_member (const QuinceLedgerGroup *group, guint64 replica);
/* Returns: whether @replica is a member of the known view or of an outstanding one */
gboolean quince_ledger_group_is_in_any_view (const QuinceLedgerGroup *group, guint64 replica);

G_END_DECLS
