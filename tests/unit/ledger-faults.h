/*
 * ledger-faults.h: random faults of the simulated ledger.
 */
#pragma once

#include "ledger-world.h"

static inline void
restart_all_nodes (World *world)
{
  for (guint i = 0; i < world->n_nodes; i++)
    {
      world->nodes[i].frozen = FALSE;
      if (world->nodes[i].group == NULL)
        world_start (world, i, FALSE);
    }
}

/* Wipes the disk of @node, unless the group has not recovered from the last wipe yet. */
static inline void
wipe_disk (World *world, guint node, gint *last_wiped)
{
  if (*last_wiped >= 0 && !(world_has_enough_members (world) && world_find_leader (world) >= 0))
    return;
  world_wipe (world, node);
  *last_wiped = (gint)node;
}

/* Drains the machine of @node; %G_MAXUINT: drains none. */
static inline void
drain_node (World *world, guint node)
{
  g_autofree char *name = node != G_MAXUINT ? g_strdup_printf ("n%u", node) : NULL;
  const char *const nodes[] = { name, NULL };
  for (guint i = 0; i < world->n_nodes; i++)
    if (world->nodes[i].group != NULL)
      quince_ledger_group_set_draining_nodes (world->nodes[i].group, nodes);
}

static inline void
random_fault (World *world, gint *last_wiped)
{
  guint node = (guint)g_rand_int_range (world->random, 0, (gint32)world->n_nodes);
  guint other = (guint)g_rand_int_range (world->random, 0, (gint32)world->n_nodes);
  gint32 fault = g_rand_int_range (world->random, 0, 16);
  g_autofree char *event = g_strdup_printf ("FAULT %d on n%u n%u", fault, node, other);
  world_trace (world, event, NULL);
  if (fault <= 1 && world_find_leader (world) >= 0)
    world_kill (world, (guint)world_find_leader (world));
  else if (fault == 2 && world_find_leader (world) >= 0)
    world->nodes[world_find_leader (world)].frozen = TRUE;
  else if (fault == 3)
    world_cut_off (world, node, TRUE);
  else if (fault == 4)
    world_cut_off (world, node, FALSE);
  else if (fault == 5 && node != other)
    world->cut[node][other] = world->cut[other][node] = TRUE;
  else if (fault <= 7)
    world->store_down = !world->store_down;
  else if (fault <= 9)
    world->store_unreachable[node] = !world->store_unreachable[node];
  else if (fault == 10)
    wipe_disk (world, node, last_wiped);
  else if (fault == 12)
    drain_node (world, node);
  else if (fault == 13)
    drain_node (world, G_MAXUINT);
  else if (fault == 11 && world->nodes[node].group != NULL)
    {
      world_kill (world, node);
      world_start (world, node, FALSE);
    }
  else
    restart_all_nodes (world);
}

static inline void
clear_faults (World *world)
{
  world->store_down = FALSE;
  for (guint i = 0; i < world->n_nodes; i++)
    {
      world_cut_off (world, i, FALSE);
      world->store_unreachable[i] = FALSE;
    }
  restart_all_nodes (world);
  drain_node (world, G_MAXUINT);
}
