/*
 * test-regions-members.c: the link between two regions is cut while certain replicas are the ledger's
 * members.
 *
 * test_deaf_leader: the leader stands in the east, the two other members in the west, and what the west sends
 * is lost.  No batch was taken anywhere until the cut was over, for two reasons, one after the other.  The
 * leader has no quorum and takes nothing, but its heartbeats kept the members from electing another one (no
 * 'promise_given' while the cut lasted).  And it wished to replace the members that it did not hear, and
 * asked them to note that: they heard it, noted it, and so did not lead without the store ('promise_got' on
 * and on, with epochs up to 106, and no 'ledger_led_without_store').
 *
 * test_cut_during_a_change: the leader and the other member stand in the west, and the answer to its proposal
 * of a third one in the east is lost.  No batch was taken in the west until the cut was over, although both
 * members held each record: all replicas that were ever proposed had to ('view_proposal_ended
 * outcome=unknown' and no commit after it).
 */
#include "regions-members-world.h"

static void
test_deaf_leader (void **state)
{
  static const guint members[] = { 0, 1, 3 };
  static const char *const batches[] = { "before", "during", "after", NULL };
  RelayedWorld *world = place ("regions-deaf", REGION_DELAY_MS);
  start_members (world, members, G_N_ELEMENTS (members));
  start_spares (world);
  start_fronts (world);
  run_batch (world, EAST_FRONT, "before");
  pause_region_link (world, FALSE, TRUE);
  assert_regional_service (world);
  assert_true (run_batch_with_fallback (world, EAST_FRONT, WEST_FRONT, "during") < STEP_MAX_MS);
  assert_regional_service (world);
  pause_region_link (world, FALSE, FALSE);
  run_batch (world, EAST_FRONT, "after");
  await_results_everywhere (world, batches);
  relayed_world_free (world);
}

static void
test_cut_during_a_change (void **state)
{
  static const guint members[] = { 1, 3 };
  static const char *const batches[] = { "before", "during", NULL };
  RelayedWorld *world = place ("regions-change", REGION_DELAY_MS);
  start_members (world, members, G_N_ELEMENTS (members));
  start_fronts (world);
  run_batch (world, WEST_FRONT, "before");
  hold_store_of (world, members[0], TRUE);
  relayed_start_process (world, RELAYED_REPLICA_PROCESS (JOINER));
  AWAIT (has_proposed (world, members[0], G_N_ELEMENTS (members) + 1));
  pause_region_link (world, TRUE, TRUE);
  hold_store_of (world, members[0], TRUE);
  assert_regional_service (world);
  assert_true (run_batch_with_fallback (world, EAST_FRONT, WEST_FRONT, "during") < STEP_MAX_MS);
  pause_region_link (world, FALSE, FALSE);
  hold_store_of (world, members[0], FALSE);
  await_results_everywhere (world, batches);
  relayed_world_free (world);
}

int
main (void)
{
  relayed_allow_preload ();
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_deaf_leader), cmocka_unit_test (test_cut_during_a_change) };
  return cmocka_run_group_tests_name ("regions-members", tests, NULL, NULL);
}
