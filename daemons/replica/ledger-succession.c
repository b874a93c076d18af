/*
 * ledger-succession.c: who leads where the metadata store can't tell: asked, answered, and told.
 */
#include "ledger-node-private.h"

#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/clock.h"

/* A replica that hears no leader asks the members so often: the next leader is found within half the silence
 * after which members elect one, and asks two small messages a member. */
#define QUERY_MEMBERS_US (440 * 1000)
/* A primary that does not know this message closes the link: it is asked no more often than this. */
#define QUERY_PRIMARY_US (1000 * 1000)

static gint64
get_pace (QuinceLedgerQueryKind kind)
{
  if (kind == QUINCE_LEDGER_QUERY_PRIMARY)
    return QUERY_PRIMARY_US;
  return kind == QUINCE_LEDGER_QUERY_MEMBERS ? QUERY_MEMBERS_US : 0;
}

/* Members that are not linked are told; all others ask. */
static void
tell_members (QuinceLedgerNode *node)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_LEAD };
  const QuinceLedgerView *view = quince_ledger_group_get_view (node->group);
  quince_ledger_group_tell_lead (node->group, &message.QuinceMessage_u.ledger_lead);
  for (guint i = 0; i < view->members.members_len; i++)
    {
      const QuinceLedgerMember *member = &view->members.members_val[i];
      guint64 replica = member->replica;
      if (replica != node->self.replica && g_hash_table_lookup (node->backups, &replica) == NULL)
        quince_link_send (quince_ledger_node_link_to (node, member), &message);
    }
}

/* A member that was started anew while the store is away knows no view, and nobody whom it could ask. */
static void
tell_lost_members (QuinceLedgerNode *node, gint64 now)
{
  if (node->led_epoch == 0 || !quince_meta_store_is_failing (node->store)
      || now - node->members_informed_us < QUERY_MEMBERS_US)
    return;
  node->members_informed_us = now;
  tell_members (node);
}

void
quince_ledger_node_query_leader (QuinceLedgerNode *node)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_QUERY };
  gint64 now = quince_now_us ();
  QuinceLedgerQueryKind kind = quince_ledger_group_get_query (
      node->group, now, quince_meta_store_is_failing (node->store), &message.QuinceMessage_u.ledger_query);
  quince_ledger_node_close_idle_queries (node);
  tell_lost_members (node, now);
  if (kind == QUINCE_LEDGER_QUERY_NONE || now - node->queried_us < get_pace (kind))
    return;
  node->queried_us = now;
  const QuinceLedgerView *view = quince_ledger_group_get_view (node->group);
  for (guint i = 0; i < view->members.members_len; i++)
    {
      const QuinceLedgerMember *member = &view->members.members_val[i];
      gboolean asked = kind != QUINCE_LEDGER_QUERY_PRIMARY || member->replica == view->primary;
      if (asked && member->replica != node->self.replica)
        quince_link_send (quince_ledger_node_link_to (node, member), &message);
    }
}

void
quince_ledger_node_handle_query (QuinceLedgerNode *node, QuinceLink *link, const QuinceLedgerQuery *query)
{
  quince_ledger_group_handle_query (node->group, quince_now_us (), query);
  g_autoptr (GError) error = NULL;
  if (!quince_ledger_node_keep (node, &error))
    {
      quince_log_failure ("ledger_disk_failed", "doing=note reason=\"%s\"", error->message);
      return;
    }
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_LEAD };
  if (quince_ledger_group_tell_lead (node->group, &message.QuinceMessage_u.ledger_lead))
    quince_link_send (link, &message);
}

static guint64
get_lead (const QuinceLedgerNode *node)
{
  const QuinceLedgerView *view = quince_ledger_group_get_view (node->group);
  return view != NULL ? view->epoch : 0;
}

void
quince_ledger_node_take_lead (QuinceLedgerNode *node, const QuinceLedgerLead *lead)
{
  guint64 before = get_lead (node);
  quince_ledger_group_take_lead (node->group, quince_now_us (), lead);
  if (get_lead (node) != before)
    quince_log_info ("ledger_lead_told",
                     "by=%" G_GUINT64_FORMAT " epoch=%" G_GUINT64_FORMAT " primary=%" G_GUINT64_FORMAT
                     " on_revision=%" G_GUINT64_FORMAT,
                     (guint64)lead->replica, (guint64)lead->view.epoch, (guint64)lead->view.primary,
                     (guint64)lead->revision);
  quince_ledger_node_update_role (node);
  quince_ledger_node_propose (node);
  quince_ledger_node_lead_without_store (node);
}

void
quince_ledger_node_lead_without_store (QuinceLedgerNode *node)
{
  gboolean store_fails = quince_meta_store_is_failing (node->store);
  if (!quince_ledger_group_lead_without_store (node->group, quince_now_us (), store_fails))
    return;
  quince_ledger_node_keep_or_abort (node);
  const QuinceLedgerView *view = quince_ledger_group_get_view (node->group);
  quince_log_notice ("ledger_led_without_store", "epoch=%" G_GUINT64_FORMAT " members=%u store=%s",
                     (guint64)view->epoch, view->members.members_len, store_fails ? "away" : "slow");
  quince_metric_add ("quince_replica_led_without_store_total", "", 1);
  quince_ledger_node_update_role (node);
  tell_members (node);
}
