/*
 * ledger-scene.h: helpers that create a settled ledger in virtual time and wait for a new leader.
 */
#pragma once

#include "ledger-world.h"

/* Maximum duration of a failover: 1 s leader timeout, the rank delay of a second backup, and two round trips,
 * one of them with a retransmission. */
#define ELECTION_MAX_MS 2500

static inline void
settle (World *world)
{
  for (guint i = 0; i < 200 && !(world_has_enough_members (world) && world_find_leader (world) >= 0); i++)
    world_run (world, 100);
  assert_true (world_has_enough_members (world));
  assert_int_not_equal (world_find_leader (world), -1);
  /* Let the last membership change complete. */
  world_run (world, 2000);
}

static inline World *
new_settled_world (guint32 seed, guint n_nodes, guint losses)
{
  World *world = world_new (seed, n_nodes, losses);
  settle (world);
  return world;
}

/* Returns the milliseconds until a machine other than @former is the leader.  Fails after @timeout_ms. */
static inline guint
await_leader (World *world, guint former, guint timeout_ms)
{
  for (guint waited_ms = 0; waited_ms <= timeout_ms; waited_ms += 10)
    {
      gint leader = world_find_leader (world);
      if (leader >= 0 && leader != (gint)former)
        return waited_ms;
      world_run (world, 10);
    }
  fail_msg ("no replica leads within %u ms", timeout_ms);
  return 0;
}
