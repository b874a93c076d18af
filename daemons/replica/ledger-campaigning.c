/*
 * ledger-campaigning.c: a replica asks the others to be followed, and answers when it is asked.
 */
#include "ledger-node-private.h"

#include "runtime/log.h"
#include "runtime/clock.h"

/* Asks the members while there is something to ask; called again and again. */
void
quince_ledger_node_campaign (QuinceLedgerNode *node)
{
  guint64 epoch = quince_ledger_group_campaign (node->group, quince_now_us ());
  if (epoch == 0)
    return;
  const QuinceLedgerView *view = quince_ledger_group_get_view (node->group);
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_ASK };
  message.QuinceMessage_u.ledger_ask.epoch = epoch;
  message.QuinceMessage_u.ledger_ask.replica = node->self.replica;
  message.QuinceMessage_u.ledger_ask.last_index = quince_batch_log_get_last_index (node->log);
  message.QuinceMessage_u.ledger_ask.last_epoch
      = quince_batch_log_get_epoch (node->log, message.QuinceMessage_u.ledger_ask.last_index);
  for (guint i = 0; i < view->members.members_len; i++)
    if (view->members.members_val[i].replica != node->self.replica)
      quince_link_send (quince_ledger_node_link_to (node, &view->members.members_val[i]), &message);
}

void
quince_ledger_node_handle_ask (QuinceLedgerNode *node, QuinceLink *link, const QuinceLedgerAsk *ask)
{
  const QuinceLogEnd end = { .epoch = ask->last_epoch, .index = ask->last_index };
  if (!quince_ledger_group_promise (node->group, quince_now_us (), ask->replica, ask->epoch, &end))
    return;
  g_autoptr (GError) error = NULL;
  if (!quince_ledger_node_keep (node, &error))
    {
      quince_log_failure ("ledger_disk_failed", "doing=promise reason=\"%s\"", error->message);
      return;
    }
  quince_ledger_node_update_role (node);
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_PROMISE };
  QuinceLedgerPromise *promise = &message.QuinceMessage_u.ledger_promise;
  promise->epoch = ask->epoch;
  promise->replica = node->self.replica;
  promise->last_index = quince_batch_log_get_last_index (node->log);
  promise->last_epoch = quince_batch_log_get_epoch (node->log, promise->last_index);
  quince_log_info ("promise_given", "to=%" G_GUINT64_FORMAT " epoch=%" G_GUINT64_FORMAT,
                   (guint64)ask->replica, (guint64)ask->epoch);
  quince_link_send (link, &message);
}
