/*
 * test-regions-change.c: guards against a quorum of members that serves no batch until the metadata store is
 * back, because one of them missed the leader's messages once.
 *
 * As in test_cut_during_a_change (test-regions-members.c), the leader and another member are cut off from the
 * store while a change of members is undecided.  In addition, the member hears nothing from the leader for
 * longer than the leader timeout, and then all messages arrive.  The member campaigns, and the leader, whose
 * lease has ended, promises to follow it and gives up its lead.  Neither can then be elected without the
 * store, since the leader acknowledged the change.  If the silence begins before the member knows that the
 * store is away, the member also promises itself.
 */
#include "regions-members-world.h"

/* Both are in the west. */
#define LEADER 1
#define MEMBER 3
/* Exceeds the leader timeout of 1 s and the interval of heartbeats and campaigns of 150 ms. */
#define SILENCE_MS 1500
/* Part of the silence that precedes the cut, in the case of a silence that begins before it. */
#define SILENCE_BEFORE_CUT_MS 500

/* Pauses or resumes all messages between the two members in the west. */
static void
set_link_silent (RelayedWorld *world, gboolean silent)
{
  relayed_set_paused (world, RELAYED_REPLICA_PROCESS (MEMBER), RELAYED_REPLICA (LEADER), silent);
  relayed_set_paused (world, RELAYED_REPLICA_PROCESS (LEADER), RELAYED_REPLICA (MEMBER), silent);
}

/* @replica knows that the metadata store does not answer it. */
static gboolean
has_lost_store (const RelayedWorld *world, guint replica)
{
  g_autofree char *text = quince_process_read_output (world->path->replicas[replica]);
  const char *lost = g_strrstr (text, "event=dependency_lost what=meta_store");
  const char *regained = g_strrstr (text, "event=dependency_regained what=meta_store");
  return lost != NULL && (regained == NULL || lost > regained);
}

/* Returns a deployment whose leader waits for the store's answer to its proposal of a third member. */
static RelayedWorld *
start_change_of_two (void)
{
  static const guint members[] = { LEADER, MEMBER };
  RelayedWorld *world = place ("regions-change-two", REGION_DELAY_MS);
  start_members (world, members, G_N_ELEMENTS (members));
  start_fronts (world);
  run_batch (world, WEST_FRONT, "before");
  hold_store_of (world, LEADER, TRUE);
  relayed_start_process (world, RELAYED_REPLICA_PROCESS (JOINER));
  AWAIT (has_proposed (world, LEADER, G_N_ELEMENTS (members) + 1));
  return world;
}

/* Returns a deployment whose leader waits for the store's answer to its proposal to remove the third member,
 * which was in the east and has ended. */
static RelayedWorld *
start_change_of_three (void)
{
  static const guint members[] = { LEADER, MEMBER, JOINER };
  RelayedWorld *world = place ("regions-change-three", REGION_DELAY_MS);
  start_members (world, members, G_N_ELEMENTS (members));
  start_fronts (world);
  run_batch (world, WEST_FRONT, "before");
  hold_store_of (world, LEADER, TRUE);
  quince_process_kill (world->path->replicas[JOINER]);
  AWAIT (has_proposed (world, LEADER, G_N_ELEMENTS (members) - 1));
  return world;
}

static void
cut_and_await_loss_of_store (RelayedWorld *world)
{
  pause_region_link (world, TRUE, TRUE);
  AWAIT (has_lost_store (world, LEADER) && has_lost_store (world, MEMBER));
}

/* Asserts that the west serves during the cut, ends the cut, and frees @world. */
static void
assert_service_and_end_cut (RelayedWorld *world)
{
  static const char *const batches[] = { "before", "during", NULL };
  assert_regional_service (world);
  assert_true (run_batch_with_fallback (world, EAST_FRONT, WEST_FRONT, "during") < STEP_MAX_MS);
  pause_region_link (world, FALSE, FALSE);
  hold_store_of (world, LEADER, FALSE);
  await_results_everywhere (world, batches);
  relayed_world_free (world);
}

/* The member promises itself, and the leader promises the member. */
static void
test_silent_link_at_the_cut (void **state)
{
  RelayedWorld *world = start_change_of_two ();
  set_link_silent (world, TRUE);
  run_for (SILENCE_BEFORE_CUT_MS);
  pause_region_link (world, TRUE, TRUE);
  run_for (SILENCE_MS - SILENCE_BEFORE_CUT_MS);
  set_link_silent (world, FALSE);
  assert_service_and_end_cut (world);
}

/* The leader promises the member, which knows that the store is away and so does not promise itself. */
static void
test_silent_link_during_the_cut (void **state)
{
  RelayedWorld *world = start_change_of_two ();
  cut_and_await_loss_of_store (world);
  set_link_silent (world, TRUE);
  run_for (SILENCE_MS);
  set_link_silent (world, FALSE);
  assert_service_and_end_cut (world);
}

/* The same without a fault of the network: the leader reads the member's campaign when it goes on. */
static void
test_suspended_leader_during_the_cut (void **state)
{
  RelayedWorld *world = start_change_of_two ();
  cut_and_await_loss_of_store (world);
  quince_process_suspend (world->path->replicas[LEADER]);
  run_for (SILENCE_MS);
  quince_process_resume (world->path->replicas[LEADER]);
  assert_service_and_end_cut (world);
}

static void
test_silent_link_of_three_members (void **state)
{
  RelayedWorld *world = start_change_of_three ();
  cut_and_await_loss_of_store (world);
  set_link_silent (world, TRUE);
  run_for (SILENCE_MS);
  set_link_silent (world, FALSE);
  assert_service_and_end_cut (world);
}

int
main (void)
{
  relayed_allow_preload ();
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_silent_link_at_the_cut), cmocka_unit_test (test_silent_link_during_the_cut),
          cmocka_unit_test (test_suspended_leader_during_the_cut),
          cmocka_unit_test (test_silent_link_of_three_members) };
  return cmocka_run_group_tests_name ("regions-change", tests, NULL, NULL);
}
