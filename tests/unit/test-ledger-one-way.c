/*
 * test-ledger-one-way.c: links of the batch ledger that pass messages one way alone, in virtual time.
 *
 * A leader that is heard and hears nobody takes nothing, since no quorum answers it.  Its heartbeats kept the
 * members from electing another leader for as long as the cut lasted: no replica led within any time.
 */
#include "ledger-scene.h"

/* Time in which another leader must lead, ms: the former one falls silent after 1 s without an answer. */
#define FAILOVER_MAX_MS (1000 + LEAD_MS)
#define SEEDS 60
/* Cuts of one seed, and the longest time of each, ms. */
#define CUTS_PER_SEED 12
#define CUT_INTERVAL_MAX_MS 6000
/* Time in which a leader must lead and all members follow after the last cut, ms. */
#define HEAL_MS 9000

/* Nothing that is sent to @node arrives, but for what the metadata store answers. */
static void
cut_incoming_links (World *world, guint node, gboolean cut)
{
  for (guint i = 0; i < world->n_nodes; i++)
    world->cut[i][node] = cut && i != node;
}

static void
set_store_unreachable_except (World *world, guint node, gboolean unreachable)
{
  for (guint i = 0; i < world->n_nodes; i++)
    world->store_away[i] = unreachable && i != node;
}

/* The leader stands in the region of the store, and the members in the other one: what they send is lost. */
static void
test_leader_without_incoming_links (void **state)
{
  guint slowest_ms = 0;
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = settled_world (7000 + seed, seed % 2 == 0 ? 3 : 6, seed % 2 == 0 ? 1 : 2);
      guint former = (guint)world_find_leader (world);
      set_store_unreachable_except (world, former, TRUE);
      cut_incoming_links (world, former, TRUE);
      world_run (world, 1000);
      guint waited_ms = await_leader (world, former, FAILOVER_MAX_MS);
      slowest_ms = MAX (slowest_ms, waited_ms);
      assert_commits_continue (world, 500);
      cut_incoming_links (world, former, FALSE);
      set_store_unreachable_except (world, former, FALSE);
      world_run (world, HEAL_MS);
      assert_true (world_has_enough_members (world));
      assert_commits_continue (world, 500);
      world_free (world);
    }
  print_message ("slowest: %u ms\n", slowest_ms);
}

/* Spare replicas stand on the leader's side and could replace the members that it does not hear: a change of
 * members that they have noted, and that it cannot make, would keep them from electing another leader. */
static void
test_leader_cut_from_members (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = settled_world (10000 + seed, 6, 1);
      guint former = (guint)world_find_leader (world);
      for (guint i = 0; i < world->n_nodes; i++)
        {
          gboolean is_member = quince_ledger_view_find (world->view, world->nodes[i].disk.replica) != NULL;
          world->cut[i][former] = is_member && i != former;
          world->store_away[i] = is_member && i != former;
        }
      await_leader (world, former, FAILOVER_MAX_MS + 1000);
      assert_commits_continue (world, 500);
      cut_incoming_links (world, former, FALSE);
      set_store_unreachable_except (world, former, FALSE);
      world_run (world, HEAL_MS);
      assert_true (world_has_enough_members (world));
      assert_commits_continue (world, 500);
      world_free (world);
    }
}

/* It is restarted behind the cut: it asks for the lead again and again, and no promise reaches it. */
static void
test_restarted_leader_without_incoming_links (void **state)
{
  guint slowest_ms = 0;
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = settled_world (8000 + seed, seed % 2 == 0 ? 3 : 6, seed % 2 == 0 ? 1 : 2);
      guint former = (guint)world_find_leader (world);
      set_store_unreachable_except (world, former, TRUE);
      cut_incoming_links (world, former, TRUE);
      world_kill (world, former);
      world_start (world, former, FALSE);
      guint waited_ms = await_leader (world, former, FAILOVER_MAX_MS);
      slowest_ms = MAX (slowest_ms, waited_ms);
      assert_commits_continue (world, 500);
      cut_incoming_links (world, former, FALSE);
      set_store_unreachable_except (world, former, FALSE);
      world_run (world, HEAL_MS);
      assert_true (world_has_enough_members (world));
      world_free (world);
    }
  print_message ("slowest: %u ms\n", slowest_ms);
}

static void
change_random_cut (World *world)
{
  guint from = (guint)g_rand_int_range (world->random, 0, (gint32)world->n_nodes);
  guint to = (guint)g_rand_int_range (world->random, 0, (gint32)world->n_nodes);
  if (from != to)
    world->cut[from][to] = !world->cut[from][to];
  if (g_rand_int_range (world->random, 0, 4) == 0)
    cut_incoming_links (world, to, TRUE);
  if (g_rand_int_range (world->random, 0, 4) == 0)
    world->store_away[from] = !world->store_away[from];
  if (g_rand_int_range (world->random, 0, 6) == 0 && world->nodes[to].group != NULL)
    {
      world_kill (world, to);
      world_start (world, to, FALSE);
    }
}

/* The world judges each step; after the last cut a leader leads and all follow. */
static void
test_random_one_way_cuts (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = settled_world (9000 + seed, seed % 2 == 0 ? 3 : 6, seed % 2 == 0 ? 1 : 2);
      for (guint i = 0; i < CUTS_PER_SEED; i++)
        {
          change_random_cut (world);
          world_run (world, (guint)g_rand_int_range (world->random, 10, CUT_INTERVAL_MAX_MS));
        }
      for (guint i = 0; i < world->n_nodes; i++)
        {
          world_cut_off (world, i, FALSE);
          world->store_away[i] = FALSE;
        }
      world_run (world, HEAL_MS);
      if (world_find_leader (world) < 0 || !world_has_enough_members (world))
        fail_msg ("seed %u: not whole %u ms after the last cut", 9000 + seed, HEAL_MS);
      assert_commits_continue (world, 1000);
      world_free (world);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_leader_without_incoming_links),
    cmocka_unit_test (test_leader_cut_from_members),
    cmocka_unit_test (test_restarted_leader_without_incoming_links),
    cmocka_unit_test (test_random_one_way_cuts),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
