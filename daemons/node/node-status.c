/*
 * node-status.c: what this node tells its link peers of itself.
 */
#include "node-status.h"

#include <quince/log.h>
#include <quince/task.h>

#include "gossip.h"
#include "grants.h"
#include "ledger-host.h"
#include "policy-spread.h"

void
quince_node_fill_hello (const QuinceNode *node, QuinceHello *hello)
{
  hello->protocol_version = QUINCE_PROTOCOL_VERSION;
  hello->deployment = node->deployment;
  hello->role = QUINCE_ROLE_NODE;
  hello->name = (char *)node->name;
  hello->zone = (char *)node->zone;
  hello->incarnation = node->incarnation;
  hello->policy_revision = quince_policy_spread_get_body (node->policy_spread)->revision;
}

static void
find_newest_version (const QuinceEngineView *view, gpointer user_data)
{
  guint64 *newest = user_data;
  if (view->usable && view->weight_version > *newest)
    *newest = view->weight_version;
}

/* Nodes of other zones that an agent is told of, as spares. */
#define OTHER_ZONES_MOST 8

/* Copies the members' records; their texts stay owned by the membership.  All of the zone
 * and a few others, so that a status stays small in a large deployment. */
static void
fill_members (QuinceNode *node, QuinceNodeStatus *status, GArray *members)
{
  g_autoptr (GPtrArray) known = quince_gossiper_get_members (node->gossiper);
  guint others = 0;
  for (guint i = 0; i < known->len && i < QUINCE_MAX_MEMBERS; i++)
    {
      const QuinceMember *member = g_ptr_array_index (known, i);
      gboolean here = g_str_equal (member->zone, node->zone);
      if (member->state == QUINCE_MEMBER_DEAD || (!here && others >= OTHER_ZONES_MOST))
        continue;
      others += here ? 0 : 1;
      g_array_append_vals (members, member, 1);
    }
  status->members.members_len = members->len;
  status->members.members_val = (QuinceMember *)(gpointer)members->data;
}

GBytes *
quince_node_encode_status (QuinceNode *node, gboolean with_members)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_NODE_STATUS };
  QuinceNodeStatus *status = &message.QuinceMessage_u.node_status;
  g_autoptr (GArray) members = g_array_new (FALSE, FALSE, sizeof (QuinceMember));
  g_autoptr (GError) error = NULL;
  guint64 newest = 0;
  quince_scheduler_foreach_engine (quince_grants_get_scheduler (node->grants), quince_now_us (),
                                   find_newest_version, &newest);
  status->name = (char *)node->name;
  status->incarnation = node->incarnation;
  status->sent_us = (guint64)quince_now_us ();
  status->ready = quince_node_is_ready (node);
  status->stopping = node->stopping;
  status->policy_revision = quince_policy_spread_get_body (node->policy_spread)->revision;
  status->ledger_leader = (char *)quince_ledger_host_get_leader (node->ledger_host, &status->ledger_epoch);
  status->weight_version = newest;
  if (with_members)
    fill_members (node, status, members);
  GBytes *encoded = quince_message_encode (&message, &error);
  if (encoded == NULL)
    {
      g_autofree char *reason = quince_log_quote (error->message);
      quince_log_failure ("node_status_not_encoded", "reason=%s", reason);
    }
  return encoded;
}
