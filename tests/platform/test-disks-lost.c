/*
 * test-disks-lost.c: as many disks as the ledger tolerates are lost together with the power of all replicas,
 * while the view has fewer members than it should have.
 */
/* As many replicas as a ledger of five members has beside it in the largest deployments. */
#define PATH_REPLICAS 13

#include "protocol/codec.h"

#include "path-world.h"

#include "core/group/ledger-view.h"

#define LOSSES "losses=2"
#define MEMBERS_MAX 5
#define ITEMS 4
/* From the start of the replicas to an answered read: two elections (2 s each) and changes of the members. */
#define RECOVERY_MAX_MS 10000

/* Returns: (transfer full) (nullable): the view in the store */
static QuinceLedgerView *
read_view (const PathWorld *world)
{
  g_autoptr (GBytes) bytes = standin_store_get_bytes (world->store, "quinceroute/ledger");
  if (bytes == NULL)
    return NULL;
  gsize length;
  gconstpointer data = g_bytes_get_data (bytes, &length);
  return quince_ledger_view_decode (data, length, NULL);
}

static guint
count_members (const PathWorld *world)
{
  QuinceLedgerView *view = read_view (world);
  guint members = view != NULL ? view->members.members_len : 0;
  g_clear_pointer (&view, quince_ledger_view_free);
  return members;
}

static guint
get_replica_index (const QuinceLedgerMember *member)
{
  return (guint)g_ascii_strtoull (member->node + strlen ("replica-"), NULL, 10);
}

/* Starts @replicas replicas and one front, and waits until @members of them are members. */
static PathWorld *
start_replicas (const char *name, guint replicas, guint members)
{
  PathWorld *world = path_world_new (name);
  world->losses = LOSSES;
  path_reserve_links (world);
  path_configure (world, 7);
  path_register_workers (world);
  for (guint i = 0; i < replicas; i++)
    path_start_replica (world, i);
  path_start_front (world, 0);
  world->bootstrapped = TRUE;
  AWAIT (count_members (world) == members);
  return world;
}

/* Submits a batch and waits for all its results. */
static void
run_batch (PathWorld *world, const char *batch)
{
  g_autofree char *text = path_make_batch (batch, ITEMS);
  AWAIT (path_status (path_front (world, 0), "POST", "/r/batch", batch, text) == 202);
  AWAIT (path_count_results (world, 0, batch) == ITEMS);
}

static void
kill_all (PathWorld *world)
{
  for (guint i = 0; i < PATH_REPLICAS; i++)
    if (world->replicas[i] != NULL)
      quince_process_kill (world->replicas[i]);
}

/* Deletes the disks of @lost_disks members other than the leader.
 * Returns: the machines that lost their disks, as a bit mask */
static guint
delete_disks (PathWorld *world, guint lost_disks)
{
  guint lost = 0;
  QuinceLedgerView *view = read_view (world);
  for (guint i = 0, deleted = 0; i < view->members.members_len && deleted < lost_disks; i++)
    if (view->members.members_val[i].replica != view->primary)
      {
        guint index = get_replica_index (&view->members.members_val[i]);
        path_delete_replica_data (world, index);
        lost |= 1U << index;
        deleted++;
      }
  quince_ledger_view_free (view);
  return lost;
}

/* Starts all machines again that are not in the bit mask @gone. */
static void
start_again (PathWorld *world, guint gone)
{
  for (guint i = 0; i < PATH_REPLICAS; i++)
    if (world->replicas[i] != NULL && (gone & 1U << i) == 0)
      path_start_replica (world, i);
}

/* The results of @batch are all there, soon. */
static void
assert_recovers (PathWorld *world, const char *batch)
{
  gint64 started_us = g_get_monotonic_time ();
  AWAIT (path_count_results (world, 0, batch) == ITEMS);
  gint64 recovery_ms = (g_get_monotonic_time () - started_us) / 1000;
  print_message ("  results readable after %" G_GINT64_FORMAT " ms\n", recovery_ms);
  assert_true (recovery_ms <= RECOVERY_MAX_MS);
}

/* All replicas are members. */
static void
lose_two_disks_of (const char *name, guint members)
{
  PathWorld *world = start_replicas (name, members, members);
  run_batch (world, "b1");
  kill_all (world);
  delete_disks (world, 2);
  start_again (world, 0);
  assert_recovers (world, "b1");
  run_batch (world, "b2");
  path_world_free (world);
}

static void
test_two_disks_of_three_members (void **state)
{
  lose_two_disks_of ("disks-of-three", 3);
}

static void
test_two_disks_of_four_members (void **state)
{
  lose_two_disks_of ("disks-of-four", 4);
}

static void
test_two_disks_of_five_members (void **state)
{
  lose_two_disks_of ("disks-of-five", MEMBERS_MAX);
}

/* Kills all replicas at the moment when a handover leaves a view of four members, with nine replicas beside
 * it, and deletes the disks of two of the four. */
static PathWorld *
lose_two_disks_after_handover (const char *name, gboolean return_empty)
{
  PathWorld *world = start_replicas (name, PATH_REPLICAS, MEMBERS_MAX);
  run_batch (world, "b1");
  run_for (1500); /* until the other replicas have the records */
  gint leader = path_find_leader (world);
  g_autofree char *key = g_strdup_printf ("op/retire/replica-%d", leader);
  standin_store_put (world->store, key, "{\"durationS\":10}");
  AWAIT (count_members (world) == MEMBERS_MAX - 1);
  kill_all (world);
  guint lost = delete_disks (world, 2);
  standin_store_remove (world->store, key);
  start_again (world, return_empty ? 0 : lost);
  return world;
}

/* The machines come back with empty disks, for which the leader does not send them its records as long as
 * enough other replicas have more of them. */
static void
test_two_disks_after_handover (void **state)
{
  PathWorld *world = lose_two_disks_after_handover ("disks-handover", TRUE);
  assert_recovers (world, "b1");
  run_batch (world, "b2");
  path_world_free (world);
}

static void
test_two_machines_after_handover (void **state)
{
  PathWorld *world = lose_two_disks_after_handover ("machines-handover", FALSE);
  assert_recovers (world, "b1");
  run_batch (world, "b2");
  path_world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_two_disks_of_three_members),  cmocka_unit_test (test_two_disks_of_four_members),
    cmocka_unit_test (test_two_disks_of_five_members),   cmocka_unit_test (test_two_disks_after_handover),
    cmocka_unit_test (test_two_machines_after_handover),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
