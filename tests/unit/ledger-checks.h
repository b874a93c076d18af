/*
 * ledger-checks.h: what must hold at each step of a simulated ledger.
 */
#pragma once

#include "ledger-parts.h"

/* Maximum time that an order is in flight to a worker. */
#define WORLD_ORDER_MAX_US (3 * G_USEC_PER_SEC)

static inline void
world_check_leader (World *world, guint index, guint64 epoch)
{
  const guint64 incarnation = world->nodes[index].incarnation;
  const WorldLeader *known = g_hash_table_lookup (world->leaders, &epoch);
  if (known != NULL && (known->node != index || known->incarnation != incarnation))
    fail_msg ("seed %u: epoch %" G_GUINT64_FORMAT " is led by n%u and n%u", world->seed, epoch, known->node,
              index);
  if (known != NULL)
    return;
  const WorldLeader leader = { .epoch = epoch, .node = index, .incarnation = incarnation };
  WorldLeader *stored = g_memdup2 (&leader, sizeof leader);
  g_hash_table_insert (world->leaders, &stored->epoch, stored);
}

/* Fails if a leader that may answer lacks a record that was reported as committed. */
static inline void
world_check_answers (World *world, guint index)
{
  WorldNode *node = &world->nodes[index];
  if (!quince_ledger_group_may_answer (node->group, world->now_us))
    return;
  if (quince_ledger_group_get_commit_index (node->group) < world->committed->len)
    fail_msg ("seed %u: n%u may answer with %" G_GUINT64_FORMAT " of %u committed records", world->seed,
              index, quince_ledger_group_get_commit_index (node->group), world->committed->len);
}

/* Fails unless the log of a new leader has every record that was reported as committed. */
static inline void
world_check_leader_log (World *world, WorldNode *node)
{
  if (node->disk.log->len < world->committed->len)
    fail_msg ("seed %u: a leader holds %u records, %u were committed", world->seed, node->disk.log->len,
              world->committed->len);
  for (guint i = 0; i < world->committed->len; i++)
    {
      const WorldRecord *committed = &g_array_index (world->committed, WorldRecord, i);
      const WorldRecord *record = &g_array_index (node->disk.log, WorldRecord, i);
      if (committed->value != record->value || committed->epoch != record->epoch)
        fail_msg ("seed %u: record %u was committed with another value", world->seed, i + 1);
    }
}

static inline void
world_check_orders (World *world, guint index)
{
  if (!quince_ledger_group_may_order (world->nodes[index].group, world->now_us))
    return;
  if (world->last_orderer >= 0 && world->last_orderer != (gint)index
      && world->now_us - world->last_order_us < WORLD_ORDER_MAX_US)
    fail_msg ("seed %u: n%u gives orders %" G_GINT64_FORMAT " us after n%d", world->seed, index,
              world->now_us - world->last_order_us, world->last_orderer);
  world->last_orderer = (gint)index;
  world->last_order_us = world->now_us;
}

static inline void
world_check (World *world)
{
  for (guint i = 0; i < world->n_nodes; i++)
    if (world->nodes[i].group != NULL && !world->nodes[i].frozen && world->nodes[i].recovered)
      {
        world_check_answers (world, i);
        world_check_orders (world, i);
      }
}
