/*
 * ledger-node.h: one replica of the batch ledger: its log on disk, its links, and its part in the group.
 *
 * Owns the log's file, the socket at which fronts and other replicas link, the links, and a timer.  Relies on
 * the metadata store for the view, and on its owner to pass the view's changes on.  All calls and callbacks
 * belong to the main context.
 */
#pragma once

#include "batchlog/batch-log.h"
#include "core/group/ledger-group.h"
#include "runtime/link.h"
#include "meta/meta-store.h"

typedef struct _QuinceLedgerNode QuinceLedgerNode;

/**
 * QuinceLedgerNodeCallbacks:
 * @started_leading: this replica leads now and knows all that was acknowledged; committed() was called for
 * each record
 * @stopped_leading: it does not lead any more, or lost the lead before started_leading() while it read its
 * log
 * @committed: (transfer full): @record, in the order of the log; only at the leader, from before
 * started_leading() on
 * @service_call: a call of a front; @link is to be answered on, and may close
 * @link_closed: the link of a front or of another replica closed
 * @leader_connected: a link to the leader is up
 * @other_message: a message that is not the ledger's, from a front or from the leader; it lives until the
 *   return
 * @leader_disconnected: the link to the leader broke
 */
typedef struct
{
  void (*started_leading) (gpointer user_data);
  void (*stopped_leading) (gpointer user_data);
  void (*committed) (guint64 index, QuinceBatchRecord *record, gpointer user_data);
  void (*service_call) (QuinceLink *link, const QuinceServiceCall *call, gpointer user_data);
  void (*link_closed) (QuinceLink *link, gpointer user_data);
  void (*leader_connected) (QuinceLink *link, gpointer user_data);
  void (*other_message) (QuinceLink *link, const QuinceMessage *message, gpointer user_data);
  void (*leader_disconnected) (gpointer user_data);
} QuinceLedgerNodeCallbacks;

/**
 * QuinceLedgerNodeOptions:
 * @node: name of this machine
 * @listen: ip:port at which it accepts links, published in the view
 * @zone: of this machine
 * @folder: existing, on its disk
 * @several_regions: the platform has several regions: a new leader sends records to members alone until it
 * has read its log and its owner has called quince_ledger_node_set_allowed_nodes()
 * @limits: of the group
 * @may_bootstrap: the whole system starts for the first time
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
 * @callbacks: must outlive the node
 *
 * Opens the log and begins to read the view.
 *
 * Returns: (transfer full) (nullable): %NULL with @error where the disk or the address cannot be used
 */
QuinceLedgerNode *quince_ledger_node_new (const QuinceLedgerNodeOptions *options,
                                          QuinceMetaStore *store,
                                          const QuinceLedgerNodeCallbacks *callbacks,
                                          gpointer user_data,
                                          GError **error);
void quince_ledger_node_free (QuinceLedgerNode *node);

/* A change of the ledger's key in the metadata store; %NULL and 0 where it holds none. */
void quince_ledger_node_set_view (QuinceLedgerNode *node, GBytes *value, guint64 revision);
/* As quince_ledger_group_set_draining_nodes(). */
void quince_ledger_node_set_draining_nodes (QuinceLedgerNode *node, const char *const *nodes);
/* At the leader: only the machines @nodes (nullable, %NULL-terminated) may keep records, from now on; records
 * on others that are no members are cleared.  %NULL: all may. */
void quince_ledger_node_set_allowed_nodes (QuinceLedgerNode *node, const char *const *nodes);

/* Appends a record; committed() is called for it once a quorum has it on disk.  Returns: its index; 0: this
 * replica does not lead, or the record does not encode */
guint64 quince_ledger_node_append (QuinceLedgerNode *node, const QuinceBatchRecord *record);

/* At a backup: its link to the leader, while it is up. (transfer none) (nullable) */
QuinceLink *quince_ledger_node_get_leader_link (QuinceLedgerNode *node);
/* At the leader: a number that identifies the link to the successor; 0: there is none.  Another number means
 * that the successor knows nothing that was sent before. */
guint64 quince_ledger_node_get_successor_serial (QuinceLedgerNode *node);
/* The link to the successor. (transfer none) (nullable) */
QuinceLink *quince_ledger_node_get_successor_link (QuinceLedgerNode *node);
/* Name of the successor's machine. (transfer none) (nullable) */
const char *quince_ledger_node_get_successor_name (QuinceLedgerNode *node);
/* Sends @message to the successor, if there is one; for messages that may be lost. */
void quince_ledger_node_send_to_successor (QuinceLedgerNode *node, const QuinceMessage *message);

/* This replica leads and has read its log. */
gboolean quince_ledger_node_is_leading (const QuinceLedgerNode *node);
/* It leads, and what it knows of batches may be answered: no other replica can lead now. */
gboolean quince_ledger_node_may_answer (const QuinceLedgerNode *node);
/* It can also have new records committed. */
gboolean quince_ledger_node_may_accept (const QuinceLedgerNode *node);
/* It may give orders to workers: no other leader can have given some within the pause (QuinceLedgerLimits).
 */
gboolean quince_ledger_node_may_order (const QuinceLedgerNode *node);
/* The epoch that this replica leads, the fencing token of its orders; 0: none. */
guint64 quince_ledger_node_get_epoch (const QuinceLedgerNode *node);
guint64 quince_ledger_node_get_last_index (const QuinceLedgerNode *node);
guint64 quince_ledger_node_get_commit_index (const QuinceLedgerNode *node);
/* The view in force. (transfer none) (nullable): none is known */
const QuinceLedgerView *quince_ledger_node_get_view (const QuinceLedgerNode *node);
/* It leads, and the metadata store does not show it yet. */
gboolean quince_ledger_node_is_unpublished (const QuinceLedgerNode *node);
