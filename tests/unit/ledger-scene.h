/*
 * ledger-scene.h: a ledger in virtual time that has settled, and waits for its next leader.
 */
#pragma once

#include "ledger-world.h"

/* Time in which another leader must lead, ms: 1 s of silence, the later turn of a second backup, two
 * exchanges of which one is sent again. */
#define ELECTION_MAX_MS 2500
static inline void
settle (World *world)
{
  for (guint i = 0; i < 200 && !(world_has_enough_members (world) && world_find_leader (world) >= 0); i++)
    world_run (world, 100);
  assert_true (world_has_enough_members (world));
  assert_int_not_equal (world_find_leader (world), -1);
  /* What the last change of members left to settle is settled. */
  world_run (world, 2000);
}

static inline World *
new_settled_world (guint32 seed, guint n_nodes, guint losses)
{
  World *world = world_new (seed, n_nodes, losses);
  settle (world);
  return world;
}

/* Milliseconds until another machine than @former leads; fails after @timeout_ms. */
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
