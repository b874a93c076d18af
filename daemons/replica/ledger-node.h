/*
 * ledger-node.h: one replica of the batch ledger: its log on disk, its links, and its part in the group.
 */
#pragma once

#include "batchlog/batch-log.h"
#include "core/group/ledger-group.h"
#include "runtime/link.h"
#include "meta/meta-store.h"

typedef struct _QuinceLedgerNode QuinceLedgerNode;

/**
 * QuinceLedgerNodeCallbacks:
 * @leads: this replica leads now and knows all that was acknowledged; committed() has told every record
 * @stopped_leading: it does not lead any more, or lost the lead before leads() while it read its log
 * @committed: (transfer full): @record, in the order of the log; only at the leader, from before leads() on
 * @service_call: a call of a front; @link is to be answered on, and may close
 * @followed: a link to the leader is up
 * @other_message: a message that is not the ledger's, from a front or from the leader
 * @unfollowed: the link to the leader broke
 */
typedef struct
{
  void (*leads) (gpointer user_data);
  void (*stopped_leading) (gpointer user_data);
  void (*committed) (guint64 index, QuinceBatchRecord *record, gpointer user_data);
  void (*service_call) (QuinceLink *link, const QuinceServiceCall *call, gpointer user_data);
  void (*link_closed) (QuinceLink *link, gpointer user_data);
  void (*followed) (QuinceLink *link, gpointer user_data);
  void (*other_message) (QuinceLink *link, const QuinceMessage *message, gpointer user_data);
  void (*unfollowed) (gpointer user_data);
} QuinceLedgerNodeCallbacks;

/**
 * QuinceLedgerNodeOptions:
 * @node: name of this machine
 * @listen: ip:port of its links, which others are told
 * @zone: where this machine stands
 * @folder: on its disk
 * @several_regions: several regions are there: a new leader sends records to members alone until it has read
 *   its log and its owner has said who may keep them, see quince_ledger_node_confine()
 * @may_found: the whole system starts for the first time
 */
typedef struct
{
  const char *node;
  const char *listen;
  const char *zone;
  const char *folder;
  gboolean several_regions;
  gboolean may_found;
  QuinceLedgerLimits limits;
} QuinceLedgerNodeOptions;

QuinceLedgerNode *quince_ledger_node_new (const QuinceLedgerNodeOptions *options,
                                          QuinceMetaStore *store,
                                          const QuinceLedgerNodeCallbacks *callbacks,
                                          gpointer user_data,
                                          GError **error);
void quince_ledger_node_free (QuinceLedgerNode *node);
/* What the metadata store holds under the ledger's key; NULL and 0 when it holds nothing. */
void quince_ledger_node_take_view (QuinceLedgerNode *node, GBytes *value, guint64 revision);
void quince_ledger_node_set_leaving (QuinceLedgerNode *node, const char *const *nodes);
/* At the leader: only the machines @nodes (nullable, %NULL-terminated) may keep records, from now on; what
 * others hold of them that are no members is cleared.  %NULL: all may. */
void quince_ledger_node_confine (QuinceLedgerNode *node, const char *const *nodes);

/* Appends a record; it is told by committed() once enough machines hold it. Returns its index; 0: it does not
 * lead */
guint64 quince_ledger_node_append (QuinceLedgerNode *node, const QuinceBatchRecord *record);
/* At a backup: its link to the leader. (transfer none) (nullable) */
QuinceLink *quince_ledger_node_get_leader (QuinceLedgerNode *node);
/* The link to the backup that will likely lead next, as a number; 0: there is none.  Another number means
 * that it knows nothing of what was told before. */
guint64 quince_ledger_node_get_successor (QuinceLedgerNode *node);
/* (transfer none) (nullable): the link itself */
QuinceLink *quince_ledger_node_get_successor_link (QuinceLedgerNode *node);
/* (nullable): the name of its machine */
const char *quince_ledger_node_get_successor_name (QuinceLedgerNode *node);
/* Sends @message there; for what may be lost. */
void quince_ledger_node_tell_successor (QuinceLedgerNode *node, const QuinceMessage *message);
gboolean quince_ledger_node_is_leading (const QuinceLedgerNode *node);
gboolean quince_ledger_node_may_answer (const QuinceLedgerNode *node);
gboolean quince_ledger_node_may_accept (const QuinceLedgerNode *node);
gboolean quince_ledger_node_may_order (const QuinceLedgerNode *node);
/* Grows with each leader: the fence of orders. */
guint64 quince_ledger_node_get_epoch (const QuinceLedgerNode *node);
guint64 quince_ledger_node_get_last_index (const QuinceLedgerNode *node);
guint64 quince_ledger_node_get_commit_index (const QuinceLedgerNode *node);
const QuinceLedgerView *quince_ledger_node_get_view (const QuinceLedgerNode *node);
/* It leads, and the metadata store does not show it yet. */
gboolean quince_ledger_node_is_unpublished (const QuinceLedgerNode *node);
