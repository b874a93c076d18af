/*
 * ledger-node.h: one replica of the batch ledger: its log, its links and its role in the ledger group.
 *
 * A node owns the log file, the socket on which fronts and other replicas connect, and the links.  It reads
 * the view from the metadata store; its owner watches the view there and passes each change to
 * quince_ledger_node_set_view().  All functions must be called, and all callbacks run, in the main context.
 */
#pragma once

#include "batchlog/batch-log.h"
#include "core/group/ledger-group.h"
#include "core/group/order-history.h"
#include "runtime/link.h"
#include "meta/meta-store.h"

#include "ledger-replication.h"

typedef struct _QuinceLedgerNode QuinceLedgerNode;

/**
 * QuinceLedgerNodeCallbacks:
 * @started_leading: this replica is the leader and has read its log, which holds every acknowledged record;
 *   committed() was called for each record
 * @stopped_leading: this replica lost leadership after it had begun to read its log, perhaps before
 *   started_leading() was called
 * @committed: a record is committed; called only at the leader, in log order, and before started_leading()
 *   for the records that the log already had.  @record: (transfer full)
 * @service_call: a front sent a call; the answer is sent on @link, which may close before that
 * @admit_call: the large frame of a call @id arrives on @link.  Returns whether it is read, with @hold
 * (transfer full) for its memory; otherwise the call has been refused
 * @backup_joined: a backup or spare followed this leader on an incoming link
 * @link_closed: an incoming link, from a front or another replica, closed
 * @leader_connected: the link to the leader is up
 * @other_message: a message from a front, another replica or the leader that is neither a service call nor
 *   for the ledger; valid until the callback returns
 * @leader_disconnected: the link to the leader broke or could not be established
 */
typedef struct
{
  void (*started_leading) (gpointer user_data);
  void (*stopped_leading) (gpointer user_data);
  void (*committed) (guint64 index, QuinceBatchRecord *record, gpointer user_data);
  void (*service_call) (QuinceLink *link, QuinceServiceCall *call, gpointer user_data);
  gboolean (*admit_call) (QuinceLink *link,
                          guint64 id,
                          gsize frame_bytes,
                          QuinceMemoryHold **hold,
                          gpointer user_data);
  void (*backup_joined) (QuinceLink *link, const QuinceLedgerHello *hello, gpointer user_data);
  void (*link_closed) (QuinceLink *link, gpointer user_data);
  void (*leader_connected) (QuinceLink *link, gpointer user_data);
  void (*other_message) (QuinceLink *link, const QuinceMessage *message, gpointer user_data);
  void (*leader_disconnected) (gpointer user_data);
} QuinceLedgerNodeCallbacks;

/**
 * QuinceLedgerNodeOptions:
 * @node: name of this machine
 * @listen: ip:port to listen on, published in the view
 * @zone: zone of this machine
 * @folder: existing folder for the log
 * @several_regions: the platform has several regions: until a new leader has read its log and its owner has
 *   called quince_ledger_node_set_allowed_nodes(), it sends records only to members and to replicas that
 *   already have records
 * @may_bootstrap: whether this replica may write the first view, on the first start of the whole system
 * @limits: limits of the ledger group
 */
typedef struct
{
  const char *node;
  const char *listen;
  const char *zone;
  const char *folder;
  gboolean several_regions;
  gboolean may_bootstrap;
  QuinceLedgerLimits limits;
} QuinceLedgerNodeOptions;

/**
 * quince_ledger_node_new:
 * @options: copied
 * @store: borrowed, must outlive the node
 * @callbacks: borrowed, must outlive the node
 *
 * Opens the log, starts to listen and starts to read the view.
 *
 * Returns: (transfer full) (nullable): the node, or %NULL with @error if the log cannot be opened or the
 * address cannot be used
 */
QuinceLedgerNode *quince_ledger_node_new (const QuinceLedgerNodeOptions *options,
                                          QuinceMetaStore *store,
                                          const QuinceLedgerNodeCallbacks *callbacks,
                                          gpointer user_data,
                                          GError **error);
void quince_ledger_node_free (QuinceLedgerNode *node);

/* Sets the value and the revision of the ledger's key that a watch of the metadata store reported.  %NULL and
 * 0: the store holds no view. */
void quince_ledger_node_set_view (QuinceLedgerNode *node, GBytes *value, guint64 revision);
/* See quince_ledger_group_set_draining_nodes(). */
void quince_ledger_node_set_draining_nodes (QuinceLedgerNode *node, const char *const *nodes);
/* Sets the machines (nullable, %NULL-terminated) that may store records; %NULL: all machines may.  The leader
 * orders connected replicas on other machines to remove their logs, unless they are members. */
void quince_ledger_node_set_allowed_nodes (QuinceLedgerNode *node, const char *const *nodes);

/* Appends a record.  committed() is called for it once a quorum has it on disk.  Returns: its index, or 0 if
 * this replica does not lead, has not read its log yet, or cannot encode the record */
guint64 quince_ledger_node_append (QuinceLedgerNode *node, const QuinceBatchRecord *record);

/* Returns: (transfer none) (nullable): the link from this backup to the leader, or %NULL if it is not up */
QuinceLink *quince_ledger_node_get_leader_link (QuinceLedgerNode *node);
/* Returns the serial number of the link to the successor, the backup that is likely to lead next, or 0 if
 * there is none.  After a change of the number, the caller must assume that the successor has received
 * nothing so far. */
guint64 quince_ledger_node_get_successor_serial (QuinceLedgerNode *node);
/* Returns: (transfer none) (nullable): the link to the successor, or %NULL if there is none */
QuinceLink *quince_ledger_node_get_successor_link (QuinceLedgerNode *node);
/* Returns the replica id of this replica. */
guint64 quince_ledger_node_get_replica_id (const QuinceLedgerNode *node);
/* Returns: (transfer none): the connected backups, for messages that are not part of the log */
QuinceLedgerReplication *quince_ledger_node_get_replication (QuinceLedgerNode *node);

/* Returns %TRUE if this replica is the leader and has read its log. */
gboolean quince_ledger_node_is_leading (const QuinceLedgerNode *node);
/* Returns: why this replica may not answer calls about batches now; %QUINCE_LEDGER_REFUSAL_NONE if it is
 * leading and no other replica can be the leader */
QuinceLedgerRefusal quince_ledger_node_get_answer_refusal (const QuinceLedgerNode *node);
/* Returns: why this replica may not accept changes now; %QUINCE_LEDGER_REFUSAL_NONE if it may answer and can
 * also commit new records */
QuinceLedgerRefusal quince_ledger_node_get_accept_refusal (const QuinceLedgerNode *node);
/* Return %TRUE if the function above returns %QUINCE_LEDGER_REFUSAL_NONE. */
gboolean quince_ledger_node_may_answer (const QuinceLedgerNode *node);
gboolean quince_ledger_node_may_accept (const QuinceLedgerNode *node);
/* Returns %TRUE if this replica is leading and may give orders to workers.  No other replica can have given
 * any within the order pause (QuinceLedgerLimits). */
gboolean quince_ledger_node_may_order (const QuinceLedgerNode *node);
/* Return %TRUE if this replica is leading and the function of QuinceLedgerGroup with the same name does. */
gboolean quince_ledger_node_has_order_lease (const QuinceLedgerNode *node);
gboolean quince_ledger_node_waited_order_pause (const QuinceLedgerNode *node);
/* Returns: (transfer none): the orders of earlier leaders according to the log; complete while
 * quince_ledger_node_is_leading() */
QuinceOrderHistory *quince_ledger_node_get_order_history (const QuinceLedgerNode *node);
/* Returns the epoch that this replica leads, which is the fencing token of its orders, or 0 if it does not
 * lead. */
guint64 quince_ledger_node_get_epoch (const QuinceLedgerNode *node);
guint64 quince_ledger_node_get_last_index (const QuinceLedgerNode *node);
guint64 quince_ledger_node_get_commit_index (const QuinceLedgerNode *node);
/* Returns: (transfer none) (nullable): the current view, or %NULL if none is known */
const QuinceLedgerView *quince_ledger_node_get_view (const QuinceLedgerNode *node);
/* Returns %TRUE if this replica is the leader and its view is not known to be in the metadata store. */
gboolean quince_ledger_node_is_unpublished (const QuinceLedgerNode *node);
