/*
 * ledger-node-state.c: functions of a ledger node that only set or read the state of its parts.
 */
#include "ledger-node-private.h"

#include "runtime/clock.h"

void
quince_ledger_node_set_draining_nodes (QuinceLedgerNode *node, const char *const *nodes)
{
  quince_ledger_group_set_draining_nodes (node->group, nodes);
}

void
quince_ledger_node_set_allowed_nodes (QuinceLedgerNode *node, const char *const *nodes)
{
  quince_ledger_replication_set_allowed_nodes (node->replication, nodes);
}

guint64
quince_ledger_node_append (QuinceLedgerNode *node, const QuinceBatchRecord *record)
{
  return quince_ledger_records_append (node->records, record);
}

QuinceLink *
quince_ledger_node_get_leader_link (QuinceLedgerNode *node)
{
  return quince_ledger_follower_get_leader_link (node->follower);
}

guint64
quince_ledger_node_get_successor_serial (QuinceLedgerNode *node)
{
  return quince_ledger_replication_get_successor_serial (node->replication);
}

QuinceLink *
quince_ledger_node_get_successor_link (QuinceLedgerNode *node)
{
  return quince_ledger_replication_get_successor_link (node->replication);
}

guint64
quince_ledger_node_get_replica_id (const QuinceLedgerNode *node)
{
  return node->self.replica;
}

QuinceLedgerReplication *
quince_ledger_node_get_replication (QuinceLedgerNode *node)
{
  return node->replication;
}

gboolean
quince_ledger_node_is_leading (const QuinceLedgerNode *node)
{
  return quince_ledger_records_is_recovered (node->records);
}

/* Returns @refusal, or that the log is not read yet if the group refuses nothing. */
static QuinceLedgerRefusal
add_unread_log (const QuinceLedgerNode *node, QuinceLedgerRefusal refusal)
{
  gboolean is_unread = refusal == QUINCE_LEDGER_REFUSAL_NONE && !quince_ledger_node_is_leading (node);
  return is_unread ? QUINCE_LEDGER_REFUSAL_LOG_UNREAD : refusal;
}

QuinceLedgerRefusal
quince_ledger_node_get_answer_refusal (const QuinceLedgerNode *node)
{
  return add_unread_log (node, quince_ledger_group_get_answer_refusal (node->group, quince_now_us ()));
}

QuinceLedgerRefusal
quince_ledger_node_get_accept_refusal (const QuinceLedgerNode *node)
{
  return add_unread_log (node, quince_ledger_group_get_accept_refusal (node->group, quince_now_us ()));
}

gboolean
quince_ledger_node_may_answer (const QuinceLedgerNode *node)
{
  return quince_ledger_node_get_answer_refusal (node) == QUINCE_LEDGER_REFUSAL_NONE;
}

gboolean
quince_ledger_node_may_accept (const QuinceLedgerNode *node)
{
  return quince_ledger_node_get_accept_refusal (node) == QUINCE_LEDGER_REFUSAL_NONE;
}

gboolean
quince_ledger_node_may_order (const QuinceLedgerNode *node)
{
  return quince_ledger_node_is_leading (node)
         && quince_ledger_group_may_order (node->group, quince_now_us ());
}

gboolean
quince_ledger_node_has_order_lease (const QuinceLedgerNode *node)
{
  return quince_ledger_node_is_leading (node)
         && quince_ledger_group_has_order_lease (node->group, quince_now_us ());
}

gboolean
quince_ledger_node_waited_order_pause (const QuinceLedgerNode *node)
{
  return quince_ledger_node_is_leading (node)
         && quince_ledger_group_waited_order_pause (node->group, quince_now_us ());
}

QuinceOrderHistory *
quince_ledger_node_get_order_history (const QuinceLedgerNode *node)
{
  return quince_ledger_storage_get_order_history (node->storage);
}

guint64
quince_ledger_node_get_epoch (const QuinceLedgerNode *node)
{
  return quince_ledger_records_get_epoch (node->records);
}

guint64
quince_ledger_node_get_last_index (const QuinceLedgerNode *node)
{
  return quince_batch_log_get_last_index (quince_ledger_storage_get_log (node->storage));
}

guint64
quince_ledger_node_get_commit_index (const QuinceLedgerNode *node)
{
  return quince_ledger_group_get_commit_index (node->group);
}

const QuinceLedgerView *
quince_ledger_node_get_view (const QuinceLedgerNode *node)
{
  return quince_ledger_group_get_view (node->group);
}

gboolean
quince_ledger_node_is_unpublished (const QuinceLedgerNode *node)
{
  return quince_ledger_group_is_unpublished (node->group);
}
