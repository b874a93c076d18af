/*
 * test-ledger-one-way.c: links of the batch ledger that deliver messages in one direction only, in virtual
 * time.
 *
 * A leader that receives no messages cannot commit.  If it went on sending heartbeats, the members would
 * elect no other leader for as long as the cut lasts.
 */
#include "ledger-scene.h"

/* Time limit for the next leader: the former one stops its heartbeats after 1 s without a quorum. */
#define FAILOVER_MAX_MS (1000 + ELECTION_MAX_MS)
#define SEEDS 60
/* Number of random changes of the links per seed, and the longest time between two. */
#define CUTS_PER_SEED 12
#define CUT_INTERVAL_MAX_MS 6000
/* Time limit for a leader and a complete view after all links and the store work again. */
#define HEAL_MS 9000

/* Drops all messages to @node, except answers of the metadata store, or stops dropping them. */
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
    world->store_unreachable[i] = unreachable && i != node;
}

/* The leader is in the region of the metadata store and receives nothing from the members, which cannot reach
 * the store. */
static void
test_leader_without_incoming_links (void **state)
{
  guint slowest_ms = 0;
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = new_settled_world (7000 + seed, seed % 2 == 0 ? 3 : 6, seed % 2 == 0 ? 1 : 2);
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
  print_message ("slowest failover: %u ms\n", slowest_ms);
}

/* The leader still receives messages from spare replicas and could replace the members with them.  If the
 * members acknowledged this change, but the leader could not complete it, they could not elect another
 * leader. */
static void
test_leader_cut_from_members (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = new_settled_world (10000 + seed, 6, 1);
      guint former = (guint)world_find_leader (world);
      for (guint i = 0; i < world->n_nodes; i++)
        {
          gboolean is_member = quince_ledger_view_find (world->view, world->nodes[i].disk.replica) != NULL;
          world->cut[i][former] = is_member && i != former;
          world->store_unreachable[i] = is_member && i != former;
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

/* Returns a ledger of four members, the fifth of which was removed since its machine is away.  There are no
 * spares. */
static World *
new_world_of_four (guint32 seed)
{
  World *world = new_settled_world (seed, 5, 2);
  guint away = ((guint)world_find_leader (world) + 1) % 5;
  world_kill (world, away);
  for (guint i = 0; i < 200 && world->view->members.members_len != 4; i++)
    world_run (world, 50);
  assert_int_equal (world->view->members.members_len, 4);
  world_run (world, 2000);
  return world;
}

/* Guards against a leader that hears enough members to change the view, but has no replicas to replace the
 * others with: its heartbeats keep a quorum of members, which hear each other, from electing a leader. */
static void
test_leader_that_hears_one_of_four_members (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = new_world_of_four (12000 + seed);
      guint former = (guint)world_find_leader (world);
      guint connected = G_MAXUINT;
      for (guint i = 0; i < world->n_nodes; i++)
        if (i != former && world->nodes[i].group != NULL && connected == G_MAXUINT)
          connected = i;
        else if (i != former)
          world->cut[i][former] = TRUE;
      await_leader (world, former, 3 * FAILOVER_MAX_MS);
      assert_commits_continue (world, 500);
      cut_incoming_links (world, former, FALSE);
      world_run (world, HEAL_MS);
      assert_commits_continue (world, 500);
      world_free (world);
    }
}

/* The same with links cut in both directions.  Only the leader reaches the store, so the others need the vote
 * of the member that the leader hears. */
static void
test_leader_with_store_cut_from_two_of_four_members (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = new_world_of_four (13000 + seed);
      guint former = (guint)world_find_leader (world);
      guint connected = G_MAXUINT;
      for (guint i = 0; i < world->n_nodes; i++)
        if (i != former && world->nodes[i].group != NULL && connected == G_MAXUINT)
          connected = i;
        else if (i != former)
          world->cut[i][former] = world->cut[former][i] = TRUE;
      set_store_unreachable_except (world, former, TRUE);
      await_leader (world, former, 3 * FAILOVER_MAX_MS);
      assert_commits_continue (world, 500);
      set_store_unreachable_except (world, former, FALSE);
      world_cut_off (world, former, FALSE);
      world_run (world, HEAL_MS);
      assert_commits_continue (world, 500);
      world_free (world);
    }
}

/* The leader restarts during the cut.  It campaigns again and again, since no promise reaches it, which must
 * not keep the members from electing another leader. */
static void
test_restarted_leader_without_incoming_links (void **state)
{
  guint slowest_ms = 0;
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = new_settled_world (8000 + seed, seed % 2 == 0 ? 3 : 6, seed % 2 == 0 ? 1 : 2);
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
  print_message ("slowest failover: %u ms\n", slowest_ms);
}

static void
inject_random_fault (World *world)
{
  guint from = (guint)g_rand_int_range (world->random, 0, (gint32)world->n_nodes);
  guint to = (guint)g_rand_int_range (world->random, 0, (gint32)world->n_nodes);
  if (from != to)
    world->cut[from][to] = !world->cut[from][to];
  if (g_rand_int_range (world->random, 0, 4) == 0)
    cut_incoming_links (world, to, TRUE);
  if (g_rand_int_range (world->random, 0, 4) == 0)
    world->store_unreachable[from] = !world->store_unreachable[from];
  if (g_rand_int_range (world->random, 0, 6) == 0 && world->nodes[to].group != NULL)
    {
      world_kill (world, to);
      world_start (world, to, FALSE);
    }
}

/* The world checks each step.  Once all links work again, there must be a leader and a complete view. */
static void
test_random_one_way_cuts (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = new_settled_world (9000 + seed, seed % 2 == 0 ? 3 : 6, seed % 2 == 0 ? 1 : 2);
      for (guint i = 0; i < CUTS_PER_SEED; i++)
        {
          inject_random_fault (world);
          world_run (world, (guint)g_rand_int_range (world->random, 10, CUT_INTERVAL_MAX_MS));
        }
      for (guint i = 0; i < world->n_nodes; i++)
        {
          world_cut_off (world, i, FALSE);
          world->store_unreachable[i] = FALSE;
        }
      world_run (world, HEAL_MS);
      if (world_find_leader (world) < 0 || !world_has_enough_members (world))
        fail_msg ("seed %u: no leader or an incomplete view %u ms after the last cut", 9000 + seed, HEAL_MS);
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
    cmocka_unit_test (test_leader_that_hears_one_of_four_members),
    cmocka_unit_test (test_leader_with_store_cut_from_two_of_four_members),
    cmocka_unit_test (test_restarted_leader_without_incoming_links),
    cmocka_unit_test (test_random_one_way_cuts),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
