/*
 * ledger-orders.h: orders of the simulated leaders to workers, with order records (order-history.h).
 *
 * Without World.orders, the leaders of ledger-world.h give no orders.  As in the daemon, an order is sent
 * only if the lease and the permit allow it.  A test fails if two machines order one worker within the pause.
 */
#pragma once

#include "ledger-checks.h"

#define WORLD_WORKERS 6

/* Records that all records after the first @n_same were received now. */
static inline void
world_receive_records (World *world, WorldNode *node, guint n_same)
{
  quince_order_history_record_receipt (node->history, world->now_us, n_same + 1);
}

static inline char *
world_worker_name (guint worker)
{
  return g_strdup_printf ("w%u", worker);
}

static inline void
world_read_order_record (WorldNode *node, guint64 index, const WorldRecord *record)
{
  QuinceOrderRecord orders = { 0 };
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < WORLD_WORKERS; i++)
    if ((record->workers & 1u << i) != 0)
      g_ptr_array_add (names, world_worker_name (i));
  orders.workers.workers_val = (QuinceText *)names->pdata;
  orders.workers.workers_len = names->len;
  quince_order_history_read_entry (node->history, index, record->epoch, record->is_order ? &orders : NULL);
}

/* Returns the index up to which committed FORGET records list the order records of @node. */
static inline guint64
world_get_forgotten_index (const World *world, const WorldNode *node)
{
  guint64 index = 0;
  for (guint i = 0; i < MIN (node->disk.log->len, world->committed->len); i++)
    index = MAX (index, g_array_index (node->disk.log, WorldRecord, i).forgets_up_to);
  return index;
}

/* Reads the log of a leader that has recovered.  Its disk has cleared all forgotten records. */
static inline void
world_read_orders (World *world, WorldNode *node)
{
  guint64 forgotten_index = world_get_forgotten_index (world, node);
  quince_order_permits_clear (node->permits);
  for (guint i = 0; i < node->disk.log->len; i++)
    {
      WorldRecord record = g_array_index (node->disk.log, WorldRecord, i);
      record.is_order = record.is_order && i + 1 > forgotten_index;
      world_read_order_record (node, i + 1, &record);
    }
}

static inline void
world_append_leader_record (World *world, WorldNode *node, const WorldRecord *record)
{
  g_array_append_vals (node->disk.log, record, 1);
  world_update_log_end (node);
  world_receive_records (world, node, node->disk.log->len - 1);
}

static inline void
world_append_forget_record (World *world, WorldNode *node)
{
  g_autoptr (GArray) indexes = quince_order_history_take_finished (node->history, world->now_us, 4, 1000);
  if (indexes->len == 0)
    return;
  const WorldRecord record = { .epoch = node->led_epoch,
                               .value = ++world->next_value,
                               .forgets_up_to = g_array_index (indexes, guint64, indexes->len - 1) };
  world_append_leader_record (world, node, &record);
}

static inline gboolean
world_may_order (World *world, WorldNode *node)
{
  if (!node->records_orders)
    return quince_ledger_group_may_order (node->group, world->now_us);
  return quince_ledger_group_has_order_lease (node->group, world->now_us)
         && (quince_order_history_is_complete (node->history)
             || quince_ledger_group_waited_order_pause (node->group, world->now_us));
}

static inline gboolean
world_may_order_worker (World *world, WorldNode *node, const char *worker)
{
  return world_may_order (world, node)
         && (quince_ledger_group_may_order (node->group, world->now_us)
             || quince_order_history_may_order (node->history, world->now_us, worker));
}

/* Appends a record that names some workers which the leader may order. */
static inline void
world_append_order_record (World *world, WorldNode *node)
{
  if (world->orders == NULL || !node->records_orders || !node->recovered || !world_may_order (world, node)
      || quince_order_permits_is_stalled (node->permits, world->now_us))
    return;
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  WorldRecord record = { .epoch = node->led_epoch, .value = ++world->next_value, .is_order = TRUE };
  for (guint i = 0; i < WORLD_WORKERS; i++)
    {
      g_autofree char *name = world_worker_name (i);
      if (!world_may_order_worker (world, node, name) || g_rand_int_range (world->orders, 0, 4) != 0)
        continue;
      record.workers |= 1u << i;
      g_ptr_array_add (names, g_steal_pointer (&name));
    }
  world_append_leader_record (world, node, &record);
  guint64 index = node->disk.log->len;
  quince_order_history_add_own (node->history, world->now_us, index);
  quince_order_permits_add (node->permits, world->now_us, index, (const char *const *)names->pdata,
                            names->len);
  world_append_forget_record (world, node);
}

static inline void
world_check_worker_order (World *world, guint index, guint worker)
{
  gint64 since_us = world->now_us - world->worker_orders[worker].sent_us;
  if (world->worker_orders[worker].sent_us != 0 && world->worker_orders[worker].node != index
      && since_us < WORLD_ORDER_MAX_US)
    fail_msg ("seed %u: n%u orders w%u %" G_GINT64_FORMAT " us after n%u", world->seed, index, worker,
              since_us, world->worker_orders[worker].node);
  world->worker_orders[worker].node = index;
  world->worker_orders[worker].sent_us = world->now_us;
}

/* Sends orders at random times while they are permitted. */
static inline void
world_send_orders (World *world, guint index)
{
  WorldNode *node = &world->nodes[index];
  quince_order_permits_commit (node->permits, quince_ledger_group_get_commit_index (node->group));
  for (guint i = 0; i < WORLD_WORKERS; i++)
    {
      g_autofree char *name = world_worker_name (i);
      gboolean permitted = !node->records_orders
                           || quince_order_permits_get_send_by_us (node->permits, world->now_us, name) != 0;
      gboolean may_order
          = node->records_orders ? world_may_order_worker (world, node, name) : world_may_order (world, node);
      if (!permitted || !may_order || g_rand_int_range (world->orders, 0, 8) != 0)
        continue;
      world->n_orders++;
      world->n_early_orders += !quince_ledger_group_may_order (node->group, world->now_us);
      world_check_worker_order (world, index, i);
    }
}

static inline void
world_step_orders (World *world)
{
  for (guint i = 0; world->orders != NULL && i < world->n_nodes; i++)
    if (world->nodes[i].group != NULL && !world->nodes[i].frozen && world->nodes[i].recovered)
      world_send_orders (world, i);
}
