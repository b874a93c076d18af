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
#include "core/group/ledger-view.h"

#include "regions-world.h"

/* A replica in the east. */
#define JOINER 0

static guint
count_members (const RelayedWorld *world)
{
  g_autoptr (GBytes) bytes = standin_store_get_bytes (world->path->store, "quinceroute/ledger");
  if (bytes == NULL)
    return 0;
  gsize length;
  gconstpointer data = g_bytes_get_data (bytes, &length);
  QuinceLedgerView *view = quince_ledger_view_decode (data, length, NULL);
  guint count = view != NULL ? view->members.members_len : 0;
  g_clear_pointer (&view, quince_ledger_view_free);
  return count;
}

/* Starts @replicas one after the other, so that each is a member before the next one runs. */
static void
start_members (RelayedWorld *world, const guint *replicas, guint n_replicas)
{
  for (guint i = 0; i < n_replicas; i++)
    {
      relayed_start_process (world, RELAYED_REPLICA_PROCESS (replicas[i]));
      AWAIT (count_members (world) == i + 1);
    }
}

static void
start_spares (RelayedWorld *world)
{
  for (guint i = 0; i < PATH_REPLICAS; i++)
    if (world->path->replicas[i] == NULL)
      relayed_start_process (world, RELAYED_REPLICA_PROCESS (i));
}

static void
start_fronts (RelayedWorld *world)
{
  for (guint i = 0; i < PATH_FRONTS; i++)
    relayed_start_process (world, i);
  world->path->bootstrapped = TRUE;
  relayed_await_service (world);
}

/* The metadata store answers nothing of @replica that it asks from now on. */
static void
hold_store_of (RelayedWorld *world, guint replica, gboolean held)
{
  relayed_set_paused (world, RELAYED_REPLICA_PROCESS (replica), RELAYED_STORE, held);
}

/* @replica has proposed a view of so many members. */
static gboolean
has_proposed (const RelayedWorld *world, guint replica, guint members)
{
  g_autofree char *members_text = g_strdup_printf (" members=%u on_revision", members);
  g_autofree char *text = quince_process_read_output (world->path->replicas[replica]);
  const char *latest = g_strrstr (text, "event=view_proposed");
  return latest != NULL && strstr (latest, members_text) != NULL;
}

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
