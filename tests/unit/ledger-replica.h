/*
 * ledger-replica.h: a simulated replica of the ledger: its role, its commits, and what it sends to elect a
 * leader.  ledger-world.h runs it.
 */
#pragma once

#include "ledger-orders.h"

/* ---- A replica -------------------------------------------------------- */

static inline void
world_update_role (World *world, guint index)
{
  WorldNode *node = &world->nodes[index];
  const QuinceLedgerView *view = quince_ledger_group_get_view (node->group);
  gboolean leader = quince_ledger_group_get_role (node->group) == QUINCE_LEDGER_LEADER;
  if (node->led_epoch != 0 && (!leader || view->epoch != node->led_epoch))
    {
      node->led_epoch = 0;
      node->recovered = FALSE;
    }
  if (leader && node->led_epoch == 0)
    {
      node->led_epoch = view->epoch;
      world_check_leader (world, index, view->epoch);
      world_save_state (node);
      const WorldRecord epoch_record = { .epoch = view->epoch };
      g_array_append_val (node->disk.log, epoch_record);
      world_update_log_end (node);
      quince_order_history_start_leading (node->history, view->epoch);
    }
}

/* Marks a leader as recovered once it may answer, then keeps the records that it has committed and compares
 * them with those that earlier leaders committed. */
static inline void
world_record_commits (World *world, guint index)
{
  WorldNode *node = &world->nodes[index];
  if (node->led_epoch == 0)
    return;
  if (!node->recovered && quince_ledger_group_may_answer (node->group, world->now_us))
    {
      node->recovered = TRUE;
      world->recoveries++;
      g_autofree char *event = g_strdup_printf ("LEADS n%u", index);
      world_trace (world, event, NULL);
      world_check_leader_log (world, node);
      world_read_orders (world, node);
    }
  if (!node->recovered)
    return;
  guint64 commit = quince_ledger_group_get_commit_index (node->group);
  for (guint64 i = world->committed->len; i < commit; i++)
    {
      g_array_append_val (world->committed, g_array_index (node->disk.log, WorldRecord, i));
      world->last_commit_us = world->now_us;
    }
  for (guint64 i = 0; i < MIN (commit, world->committed->len); i++)
    {
      const WorldRecord *committed = &g_array_index (world->committed, WorldRecord, i);
      const WorldRecord *record = &g_array_index (node->disk.log, WorldRecord, i);
      if (committed->value != record->value || committed->epoch != record->epoch)
        fail_msg ("seed %u: two leaders committed different records at %" G_GUINT64_FORMAT, world->seed,
                  i + 1);
    }
}

/* Links a backup to its leader, unless it is linked already.  A link lasts until either end restarts or the
 * leader has a new epoch. */
static inline void
world_connect_to_leader (World *world, guint index)
{
  WorldNode *node = &world->nodes[index];
  const QuinceLedgerView *view = quince_ledger_group_get_view (node->group);
  gint leader = view != NULL ? world_find_node (world, view->primary) : -1;
  if (leader < 0 || (guint)leader == index || world->cut[index][leader])
    return;
  const WorldNode *leader_node = &world->nodes[leader];
  if (leader_node->led_epoch != view->epoch
      || (node->hello_incarnation == leader_node->incarnation && node->hello_epoch == view->epoch))
    return;
  node->hello_incarnation = leader_node->incarnation;
  node->hello_epoch = view->epoch;
  world_send (world, WORLD_HELLO, index, (guint)leader)->replica = node->disk.replica;
}

/* ---- Leader election -------------------------------------------------- */

/* Returns whether @replica is a member of a view that may be in force. */
static inline gboolean
world_is_elector (const WorldNode *node, guint64 replica)
{
  g_autoptr (GPtrArray) electors = g_ptr_array_new ();
  quince_ledger_group_list_electors (node->group, electors);
  for (guint i = 0; i < electors->len; i++)
    if (((const QuinceLedgerMember *)electors->pdata[i])->replica == replica)
      return TRUE;
  return FALSE;
}

static inline void
world_send_lead (World *world, guint from, guint to)
{
  QuinceLedgerLead lead;
  if (!quince_ledger_group_get_lead (world->nodes[from].group, &lead))
    return;
  WorldMessage *message = world_send (world, WORLD_LEAD, from, to);
  message->view = quince_ledger_view_copy (&lead.view);
  message->lead = lead;
  message->lead.view = *message->view;
}

static inline void
world_send_change_ack (World *world, guint from, guint to)
{
  QuinceLedgerChangeAck ack;
  if (!quince_ledger_group_get_change_ack (world->nodes[from].group, &ack))
    return;
  WorldMessage *message = world_send (world, WORLD_CHANGE_ACK, from, to);
  message->change = quince_ledger_change_copy (&ack.change);
  message->change_ack = ack;
  message->change_ack.change = *message->change;
}

/* Asks the members to acknowledge the change that this leader wants to propose, if any. */
static inline void
world_request_change_acks (World *world, guint index)
{
  QuinceLedgerChangeRequest request;
  const WorldNode *node = &world->nodes[index];
  if (!quince_ledger_group_get_change_request (node->group, world->now_us, &request))
    return;
  for (guint i = 0; i < world->n_nodes; i++)
    {
      if (i == index || quince_ledger_view_find (&request.view, world->nodes[i].disk.replica) == NULL)
        continue;
      WorldMessage *message = world_send (world, WORLD_CHANGE_REQUEST, index, i);
      message->view = quince_ledger_view_copy (&request.view);
      message->change = quince_ledger_change_copy (&request.change);
    }
}

/* Tells members that are not linked who leads, repeatedly while the leader cannot reach the store. */
static inline void
world_inform_members (World *world, guint index)
{
  WorldNode *node = &world->nodes[index];
  if (node->led_epoch == 0 || !world_is_store_unreachable (world, index)
      || world->now_us - node->reported_us < WORLD_INFORM_INTERVAL_US)
    return;
  node->reported_us = world->now_us;
  for (guint i = 0; i < world->n_nodes; i++)
    {
      const WorldNode *other = &world->nodes[i];
      gboolean linked
          = other->hello_incarnation == node->incarnation && other->hello_epoch == node->led_epoch;
      if (i != index && !linked && world_is_elector (node, other->disk.replica))
        world_send_lead (world, index, i);
    }
}

/* Makes a replica leader that a quorum has promised to follow while the store is unreachable or slow, and
 * tells the members immediately. */
static inline void
world_lead_without_store (World *world, guint index)
{
  WorldNode *node = &world->nodes[index];
  if (!quince_ledger_group_try_lead_without_store (node->group, world->now_us,
                                                   world_is_store_unreachable (world, index)))
    return;
  world->elections_without_store++;
  world_trace (world, "LEADS WITHOUT STORE", quince_ledger_group_get_view (node->group));
  world_update_role (world, index);
  for (guint i = 0; i < world->n_nodes; i++)
    if (i != index && world_is_elector (node, world->nodes[i].disk.replica))
      world_send_lead (world, index, i);
}

static inline void
world_query_leader (World *world, guint index)
{
  static const gint64 interval_us_by_kind[] = { [QUINCE_LEDGER_QUERY_LEADER] = 1000 * 1000,
                                                [QUINCE_LEDGER_QUERY_MEMBERS] = 440 * 1000,
                                                [QUINCE_LEDGER_QUERY_VOTES] = 0 };
  WorldNode *node = &world->nodes[index];
  QuinceLedgerQuery query;
  QuinceLedgerQueryKind kind = quince_ledger_group_get_query (
      node->group, world->now_us, world_is_store_unreachable (world, index), &query);
  if (kind == QUINCE_LEDGER_QUERY_NONE || world->now_us - node->queried_us < interval_us_by_kind[kind])
    return;
  node->queried_us = world->now_us;
  const QuinceLedgerView *view = quince_ledger_group_get_view (node->group);
  for (guint i = 0; i < world->n_nodes; i++)
    {
      guint64 replica = world->nodes[i].disk.replica;
      gboolean is_recipient
          = kind == QUINCE_LEDGER_QUERY_LEADER ? replica == view->primary : world_is_elector (node, replica);
      if (i != index && is_recipient)
        world_send (world, WORLD_QUERY, index, i)->query = query;
      if (i != index && kind == QUINCE_LEDGER_QUERY_VOTES && world_is_elector (node, replica))
        world_send_lead (world, index, i);
    }
}
