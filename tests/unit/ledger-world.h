/*
 * ledger-world.h: simulates replicas of the batch ledger in virtual time, with disks, links, a metadata store
 * and faults.
 *
 * Calls each replica in the same way as the daemon.  Keeps each record that a leader reports as committed and
 * compares it with the log of every later leader.  Checks all replicas at each step.
 */
#pragma once

#include "ledger-replica.h"

/* ---- Periodic work ----------------------------------------------------- */

static inline void
world_receive_lead (World *world, guint index, const WorldMessage *message)
{
  WorldNode *node = &world->nodes[index];
  quince_ledger_group_handle_lead (node->group, world->now_us, &message->lead);
  world_update_role (world, index);
  world_propose (world, index);
  world_lead_without_store (world, index);
}

static inline void
world_node_tick (World *world, guint index)
{
  WorldNode *node = &world->nodes[index];
  node->next_tick_us = world->now_us + WORLD_NODE_TICK_US;
  guint64 epoch = quince_ledger_group_campaign (node->group, world->now_us);
  if (world->now_us - node->read_view_us > 300 * 1000)
    {
      node->read_view_us = world->now_us;
      world_request_view (world, index);
    }
  for (guint i = 0; epoch != 0 && i < world->n_nodes; i++)
    if (i != index)
      {
        WorldMessage *request = world_send (world, WORLD_PROMISE_REQUEST, index, i);
        request->epoch = epoch;
        request->replica = node->disk.replica;
        request->end = world_log_end (node);
      }
  world_query_leader (world, index);
  world_request_change_acks (world, index);
  world_inform_members (world, index);
  world_propose (world, index);
  world_lead_without_store (world, index);
  world_update_role (world, index);
  if (quince_ledger_group_get_role (node->group) == QUINCE_LEDGER_BACKUP)
    world_connect_to_leader (world, index);
  if (node->led_epoch == 0)
    return;
  if (!world->idle && node->recovered && quince_ledger_group_may_accept (node->group, world->now_us))
    {
      const WorldRecord record = { .epoch = node->led_epoch, .value = ++world->next_value };
      g_array_append_val (node->disk.log, record);
      world_update_log_end (node);
    }
  world_append_order_record (world, node);
  for (guint i = 0; i < world->n_nodes; i++)
    if (i != index)
      world_send_append (world, index, i);
  world_record_commits (world, index);
  if (node->recovered)
    quince_ledger_group_record_orders (node->group, world->now_us);
}

/* ---- Receiving -------------------------------------------------------- */

static inline void
world_receive_append (World *world, guint index, const WorldMessage *message)
{
  WorldNode *node = &world->nodes[index];
  const QuinceLedgerView *view = quince_ledger_group_get_view (node->group);
  gint leader = view != NULL ? world_find_node (world, view->primary) : -1;
  if (message->replica != node->disk.replica || leader != (gint)message->from)
    return;
  gboolean accepted = quince_ledger_group_accept_leader (node->group, world->now_us, message->epoch);
  guint64 promised = quince_ledger_group_get_persistent_state (node->group)->promised;
  if (!accepted && promised <= message->epoch)
    return;
  if (accepted && message->records != NULL)
    {
      /* As in the daemon, records are kept up to the first difference, and all later ones are replaced. */
      guint n_same = 0;
      while (n_same < MIN (node->disk.log->len, message->records->len)
             && g_array_index (node->disk.log, WorldRecord, n_same).epoch
                    == g_array_index (message->records, WorldRecord, n_same).epoch)
        n_same++;
      /* Records after those that were sent stay, up to the end of the leader's log. */
      gboolean keeps_rest = n_same == message->records->len;
      g_array_set_size (node->disk.log,
                        keeps_rest ? MIN (node->disk.log->len, (guint)message->index) : n_same);
      if (n_same < message->records->len)
        g_array_append_vals (node->disk.log, &g_array_index (message->records, WorldRecord, n_same),
                             message->records->len - n_same);
      world_update_log_end (node);
      world_receive_records (world, node, n_same);
    }
  WorldMessage *ack = world_send (world, WORLD_ACK, index, message->from);
  ack->replica = node->disk.replica;
  ack->epoch = message->epoch;
  ack->index = message->records != NULL ? message->records->len : 0;
  ack->sent_us = message->sent_us;
  ack->promised = accepted ? 0 : promised;
}

static inline void
world_receive_ack (World *world, guint index, const WorldMessage *message)
{
  WorldNode *node = &world->nodes[index];
  if (message->epoch != node->led_epoch || node->led_epoch == 0)
    return;
  quince_ledger_group_record_contact (node->group, message->replica, world->now_us);
  if (message->promised > message->epoch)
    quince_ledger_group_peer_refused (node->group, message->promised);
  else
    quince_ledger_group_peer_acked (node->group, message->replica, message->index, message->sent_us);
  world_record_commits (world, index);
}

static inline void
world_receive_promise_request (World *world, guint index, const WorldMessage *message)
{
  WorldNode *node = &world->nodes[index];
  if (!quince_ledger_group_grant_promise (node->group, world->now_us, message->replica, message->epoch,
                                          &message->end))
    return;
  world_update_role (world, index);
  WorldMessage *promise = world_send (world, WORLD_PROMISE, index, message->from);
  promise->replica = node->disk.replica;
  promise->epoch = message->epoch;
  promise->end = world_log_end (node);
}

static inline void
world_receive_change_request (World *world, guint index, const WorldMessage *message)
{
  const QuinceLedgerChangeRequest request = { .view = *message->view, .change = *message->change };
  quince_ledger_group_handle_change_request (world->nodes[index].group, world->now_us, &request);
  world_update_role (world, index);
  world_send_change_ack (world, index, message->from);
}

/* Applies a proposed change to the store and passes the outcome to the proposer, if it has not restarted. */
static inline void
world_complete_store_call (World *world, WorldMessage *message)
{
  gboolean store_fails = world_is_store_unreachable (world, message->to) && !message->delayed;
  gboolean applied
      = message->outcome == QUINCE_PROPOSAL_APPLIED && !store_fails && world->revision == message->revision;
  if (applied)
    world_apply_change (world, message->view, message->revision);
  WorldNode *node = &world->nodes[message->to];
  if (node->group == NULL || node->incarnation != message->incarnation)
    return;
  QuinceProposalOutcome outcome = message->outcome;
  if (outcome == QUINCE_PROPOSAL_APPLIED && !applied)
    outcome = store_fails ? QUINCE_PROPOSAL_NOT_APPLIED : QUINCE_PROPOSAL_CONFLICT;
  if (store_fails && outcome == QUINCE_PROPOSAL_NOT_APPLIED && g_rand_int_range (world->random, 0, 2) == 0)
    {
      outcome = QUINCE_PROPOSAL_UNKNOWN;
      world_apply_later (world, message);
    }
  quince_ledger_group_proposal_ended (node->group, world->now_us, outcome, world->revision);
  world_update_role (world, message->to);
}

static inline void
world_deliver (World *world, WorldMessage *message)
{
  WorldNode *node = &world->nodes[message->to];
  if (message->kind == WORLD_STORE_ANSWER)
    {
      world_complete_store_call (world, message);
      return;
    }
  if (node->group == NULL || (message->incarnation != 0 && message->incarnation != node->incarnation)
      || (message->from != message->to && world->cut[message->from][message->to]))
    return;
  switch (message->kind)
    {
    case WORLD_STORE_VIEW:
      quince_ledger_group_set_view (node->group, world->now_us, message->sent_us, message->view,
                                    message->revision);
      world_update_role (world, message->to);
      world_propose (world, message->to);
      break;
    case WORLD_HELLO:
      if (node->led_epoch != 0 && world->nodes[message->from].disk.replica == message->replica)
        world_receive_hello (world, node, message->from);
      break;
    case WORLD_APPEND:
      world_receive_append (world, message->to, message);
      break;
    case WORLD_ACK:
      world_receive_ack (world, message->to, message);
      break;
    case WORLD_PROMISE_REQUEST:
      world_receive_promise_request (world, message->to, message);
      break;
    case WORLD_PROMISE:
      quince_ledger_group_handle_promise (node->group, world->now_us, message->replica, message->epoch,
                                          &message->end);
      world_propose (world, message->to);
      break;
    case WORLD_QUERY:
      quince_ledger_group_handle_query (node->group, world->now_us, &message->query);
      world_send_lead (world, message->to, message->from);
      world_send_change_ack (world, message->to, message->from);
      break;
    case WORLD_LEAD:
      world_receive_lead (world, message->to, message);
      break;
    case WORLD_CHANGE_REQUEST:
      world_receive_change_request (world, message->to, message);
      break;
    case WORLD_CHANGE_ACK:
      quince_ledger_group_handle_change_ack (node->group, world->now_us, &message->change_ack);
      world_propose (world, message->to);
      world_lead_without_store (world, message->to);
      break;
    case WORLD_STORE_ANSWER:
      break;
    }
}

/* ---- Time ------------------------------------------------------------- */

static inline void
world_step (World *world)
{
  world->now_us += WORLD_TICK_US;
  for (guint i = 0; i < world->messages->len;)
    {
      WorldMessage *message = world->messages->pdata[i];
      /* Messages to a frozen process wait until it resumes. */
      gboolean delayed = world->nodes[message->to].frozen && message->kind != WORLD_STORE_ANSWER;
      if (message->due_us > world->now_us || delayed)
        {
          i++;
          continue;
        }
      g_ptr_array_steal_index (world->messages, i);
      world_deliver (world, message);
      world_message_free (message);
    }
  for (guint i = 0; i < world->n_nodes; i++)
    if (world->nodes[i].group != NULL && !world->nodes[i].frozen
        && world->nodes[i].next_tick_us <= world->now_us)
      world_node_tick (world, i);
  world_step_orders (world);
  world_check (world);
}

static inline void
world_run (World *world, guint milliseconds)
{
  gint64 end = world->now_us + (gint64)milliseconds * 1000;
  while (world->now_us < end)
    world_step (world);
}

/* @losses: machines that may be lost; @zones: zones that the nodes are assigned to in turn, 0: none */
static inline World *
world_new_in_zones (guint32 seed, guint n_nodes, guint losses, guint zones)
{
  World *world = g_new0 (World, 1);
  world->seed = seed;
  world->random = g_rand_new_with_seed (seed);
  world->now_us = 100 * G_USEC_PER_SEC;
  world->n_nodes = n_nodes;
  world->losses = losses;
  world->zones = zones;
  world->messages = g_ptr_array_new ();
  world->committed = g_array_new (FALSE, FALSE, sizeof (WorldRecord));
  world->leaders = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  world->last_orderer = -1;
  for (guint i = 0; i < n_nodes; i++)
    {
      world->nodes[i].disk.log = g_array_new (FALSE, FALSE, sizeof (WorldRecord));
      world->nodes[i].disk.replica = ++world->next_replica;
    }
  for (guint i = 0; i < n_nodes; i++)
    world_start (world, i, TRUE);
  return world;
}

static inline World *
world_new (guint32 seed, guint n_nodes, guint losses)
{
  return world_new_in_zones (seed, n_nodes, losses, 0);
}

static inline void
world_free (World *world)
{
  for (guint i = 0; i < world->n_nodes; i++)
    {
      world_kill (world, i);
      g_array_unref (world->nodes[i].disk.log);
      quince_ledger_persistent_state_clear (&world->nodes[i].disk.persistent);
    }
  for (guint i = 0; i < world->messages->len; i++)
    world_message_free (world->messages->pdata[i]);
  g_ptr_array_unref (world->messages);
  g_array_unref (world->committed);
  g_hash_table_unref (world->leaders);
  quince_ledger_view_free (world->view);
  g_rand_free (world->random);
  g_clear_pointer (&world->orders, g_rand_free);
  g_free (world);
}

static inline void
world_cut_off (World *world, guint index, gboolean cut)
{
  for (guint i = 0; i < world->n_nodes; i++)
    {
      world->cut[index][i] = world->cut[i][index] = cut && i != index;
      world->nodes[i].hello_incarnation = 0; /* all replicas must link again */
    }
}

/* Returns the node whose replica leads, has recovered and may answer; or -1. */
static inline gint
world_find_leader (World *world)
{
  for (guint i = 0; i < world->n_nodes; i++)
    if (world->nodes[i].group != NULL && world->nodes[i].recovered
        && quince_ledger_group_may_answer (world->nodes[i].group, world->now_us))
      return (gint)i;
  return -1;
}

/* Returns whether the view in the store has the maximum number of running nodes as members: 2 * losses + 1,
 * or all nodes if the world has fewer. */
static inline gboolean
world_has_enough_members (World *world)
{
  guint members = 0;
  for (guint i = 0; i < world->n_nodes; i++)
    members += world->nodes[i].group != NULL
               && quince_ledger_view_find (world->view, world->nodes[i].disk.replica) != NULL;
  return members >= MIN (world->n_nodes, 2 * world->losses + 1);
}

static inline void
assert_commits_continue (World *world, guint within_ms)
{
  guint before = world->committed->len;
  world_run (world, within_ms);
  if (world->committed->len <= before)
    fail_msg ("no record was committed within %u ms", within_ms);
}
