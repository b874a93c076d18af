/*
 * test-ledger-late-member.c: a member of the batch ledger that acknowledges records later than the next ones
 * are committed, in virtual time.  Guards against a ledger that replaces no lost member meanwhile, and so
 * tolerates one loss less for as long as the member is late and records are written.
 */
#include "ledger-faults.h"
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

/* Returns a member, drawn at random, that neither leads nor is @other. */
static guint
draw_backup (World *world, guint other)
{
  for (;;)
    {
      guint node = (guint)g_rand_int_range (world->random, 0, (gint32)world->n_nodes);
      if (node != other && (gint)node != world_find_leader (world) && is_member (world, node))
        return node;
    }
}

static void
assert_replaced (World *world, guint lost)
{
  guint waited_ms = 0;
  while ((is_member (world, lost) || !world_has_enough_members (world)) && waited_ms < REPLACEMENT_MAX_MS)
    {
      world_run (world, 50);
      waited_ms += 50;
    }
  if (is_member (world, lost) || !world_has_enough_members (world))
    fail_msg ("seed %u: the lost member is not replaced after %u ms", world->seed, waited_ms);
  assert_commits_continue (world, 500);
}

static void
run_lost_member (guint32 seed, guint n_nodes, guint losses)
{
  World *world = new_settled_world (seed, n_nodes, losses);
  guint late = draw_backup (world, G_MAXUINT);
  world->delay_us[late] = LATE_US;
  world_run (world, 2000);
  guint lost = draw_backup (world, late);
  world_kill (world, lost);
  assert_replaced (world, lost);
  world_free (world);
}

static void
test_lost_member_of_five (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    run_lost_member (30000 + seed, 8, 2);
}

static void
test_drained_member_of_five (void **state)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      World *world = new_settled_world (31000 + seed, 8, 2);
      guint late = draw_backup (world, G_MAXUINT);
      world->delay_us[late] = LATE_US;
      world_run (world, 2000);
      guint drained = draw_backup (world, late);
      drain_node (world, drained);
      assert_replaced (world, drained);
      world_free (world);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_lost_member_of_five),
    cmocka_unit_test (test_drained_member_of_five),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
