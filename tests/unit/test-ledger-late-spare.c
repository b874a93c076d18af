/*
 * test-ledger-late-spare.c: a spare of the batch ledger whose messages are late, in virtual time.
 *
 * Guards against a vacancy of the view that lasts for as long as records are written, since the only replica
 * that could fill it is always one record behind.
 */
#include "ledger-scene.h"

#define SEEDS 40
/* The next record is committed meanwhile: records are written every 150 ms.  Far below the lease. */
#define LATE_US (200 * 1000)
/* Time limit for a replacement: the silence of 1 s after which a member is lost, the copy of the log, and a
 * few writes of the view, of which the simulated store loses one in five. */
#define REPLACEMENT_MAX_MS 5000

static gboolean
is_member (World *world, guint node)
{
  return quince_ledger_view_find (world->view, world->nodes[node].disk.replica) != NULL;
}

/* Returns a member, drawn at random, that does not lead. */
static guint
draw_backup (World *world)
{
  for (;;)
    {
      guint node = (guint)g_rand_int_range (world->random, 0, (gint32)world->n_nodes);
      if ((gint)node != world_find_leader (world) && is_member (world, node))
        return node;
    }
}

static void
test_late_spare_replaces_lost_member (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = new_settled_world (32000 + seed, 6, 2);
      for (guint i = 0; i < world->n_nodes; i++)
        if (!is_member (world, i))
          world->delay_us[i] = LATE_US;
      world_run (world, 2000);
      guint lost = draw_backup (world);
      world_kill (world, lost);
      for (guint i = 0; i < REPLACEMENT_MAX_MS / 50; i++)
        if (is_member (world, lost) || !world_has_enough_members (world))
          world_run (world, 50);
      if (is_member (world, lost) || !world_has_enough_members (world))
        fail_msg ("seed %u: the lost member is not replaced after %u ms", world->seed, REPLACEMENT_MAX_MS);
      assert_commits_continue (world, 500);
      world_free (world);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_late_spare_replaces_lost_member) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
