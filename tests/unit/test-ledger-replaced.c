/*
 * test-ledger-replaced.c: the answer to the replacement of a member that lives is lost, and the store is away
 * from then on, in virtual time.  The known view and the outstanding one then each have a member that the
 * other lacks, and a quorum of each lives.  Guards against a ledger without a leader until the store is back.
 */
#include "ledger-faults.h"
#include "ledger-scene.h"
#include "soak-seeds.h"

/* Maximum time until records are committed again, as in test-ledger-outstanding.c. */
#define RECOVERY_MAX_MS 6000
#define SEEDS 40

/* The nodes of a ledger of three members, of which one is being replaced. */
typedef struct
{
  guint leader;
  guint kept;     /* member of both views */
  guint replaced; /* member of the known view alone */
  guint joiner;   /* member of the proposed view alone */
} Roles;

/* Returns how many changes the leader has asked the members to acknowledge. */
static guint64
count_requests (const World *world, guint leader)
{
  gsize length;
  gconstpointer data = g_bytes_get_data (world->nodes[leader].disk.persistent.change, &length);
  QuinceLedgerChange *change = quince_ledger_change_decode (data, length, NULL);
  assert_non_null (change);
  guint64 count = change->sequence;
  quince_ledger_change_free (change);
  return count;
}

/* Sets the joiner in @roles.  Returns whether the leader has asked for one change only, and it has a joiner.
 */
static gboolean
find_joiner (World *world, Roles *roles)
{
  gsize length;
  gconstpointer data = g_bytes_get_data (world->nodes[roles->leader].disk.persistent.change, &length);
  QuinceLedgerChange *change = quince_ledger_change_decode (data, length, NULL);
  assert_non_null (change);
  gboolean found = FALSE;
  const QuinceLedgerView *proposed = &change->proposed.proposed_val[0];
  for (guint i = 0; i < proposed->members.members_len; i++)
    {
      guint64 replica = proposed->members.members_val[i].replica;
      if (quince_ledger_view_find (world->view, replica) != NULL)
        continue;
      roles->joiner = (guint)world_find_node (world, replica);
      found = TRUE;
    }
  found = found && change->proposed.proposed_len == 1;
  quince_ledger_change_free (change);
  return found;
}

/* Drains a backup; the store goes down before it answers the change that replaces it.  No client writes from
 * then on.  Returns %NULL if the leader asked for the removal of the backup alone first. */
static World *
new_world_with_replacement (guint32 seed, guint n_nodes, Roles *roles)
{
  World *world = new_settled_world (seed, n_nodes, 1);
  gint backups[2] = { 0 };
  guint n_backups = 0;
  roles->leader = (guint)world_find_leader (world);
  for (guint i = 0; i < n_nodes; i++)
    if (i != roles->leader && quince_ledger_view_find (world->view, world->nodes[i].disk.replica) != NULL)
      backups[n_backups++] = (gint)i;
  assert_int_equal (n_backups, 2);
  roles->kept = (guint)backups[seed % 2];
  roles->replaced = (guint)backups[1 - seed % 2];
  world->loses_next_change = TRUE;
  drain_node (world, roles->replaced);
  for (guint i = 0; i < 500 && !world->change_is_lost; i++)
    world_run (world, 10);
  assert_true (world->change_is_lost);
  if (!find_joiner (world, roles))
    {
      world_free (world);
      return NULL;
    }
  world->idle = TRUE;
  world_run (world, 800);
  return world;
}

static void
assert_recovers (World *world, const char *what)
{
  world_run (world, RECOVERY_MAX_MS);
  world->idle = FALSE;
  guint before = world->committed->len;
  world_run (world, 2000);
  if (world->committed->len <= before)
    fail_msg ("seed %u: %s: nothing is committed while the store is down", world->seed, what);
  world->store_down = FALSE;
  clear_faults (world);
  world_run (world, 20000);
  assert_commits_continue (world, 1000);
  assert_true (world_has_enough_members (world));
  world_free (world);
}

/* Plays @fault on @n_nodes machines with several seeds. */
static void
run_fault (guint n_nodes, void (*fault) (World *world, const Roles *roles), const char *what)
{
  guint n_played = 0;
  for (guint32 seed = 1; n_played < SEEDS; seed++)
    {
      Roles roles;
      World *world = new_world_with_replacement (seed, n_nodes, &roles);
      if (world == NULL)
        continue;
      n_played++;
      fault (world, &roles);
      assert_recovers (world, what);
    }
}

static void
cut_link (World *world, guint node, guint other)
{
  world->cut[node][other] = world->cut[other][node] = TRUE;
}

/* The leader hears the replaced member alone, a quorum of the known view but not of the proposed one. */
static void
leave_replaced (World *world, const Roles *roles)
{
  cut_link (world, roles->leader, roles->kept);
  cut_link (world, roles->leader, roles->joiner);
}

static void
test_leader_hears_replaced_member (void **state)
{
  run_fault (4, leave_replaced, "the leader hears the replaced member alone");
}

/* The leader hears the joiner alone, which the known view lacks. */
static void
leave_joiner (World *world, const Roles *roles)
{
  cut_link (world, roles->leader, roles->kept);
  cut_link (world, roles->leader, roles->replaced);
}

static void
test_leader_hears_joiner (void **state)
{
  run_fault (4, leave_joiner, "the leader hears the joiner alone");
}

/* The leader dies; the next one needs the joiner for each commit, although other spares are linked. */
static void
kill_leader (World *world, const Roles *roles)
{
  world_kill (world, roles->leader);
}

static void
test_joiner_among_spares (void **state)
{
  run_fault (9, kill_leader, "the leader died, and further spares live");
}

/* The only member of both views lacks records that the leader, the replaced member and the joiner hold: a
 * quorum of each view.  The leader dies. */
static void
commit_without_kept (World *world, const Roles *roles)
{
  cut_link (world, roles->leader, roles->kept);
  guint before = world->committed->len;
  world->idle = FALSE;
  for (guint i = 0; i < 80 && world->committed->len <= before; i++)
    world_run (world, 10);
  assert_true (world->committed->len > before);
  world->idle = TRUE;
  world_kill (world, roles->leader);
}

static void
test_common_member_lacks_records (void **state)
{
  run_fault (4, commit_without_kept, "the only member of both views lacks records");
}

/* The leader asked the members to acknowledge two changes, and wrote only the one with a joiner to the store.
 * The other one, with as many members as a quorum, cannot be in force.  The leader dies.  Guards against
 * members that keep it among the views that may be in force. */
static void
test_request_without_write (void **state)
{
  guint n_played = 0;
  for (guint32 seed = 1; seed <= 60; seed++)
    {
      World *world = new_settled_world (seed, 4, 1);
      guint leader = (guint)world_find_leader (world);
      guint drained = (leader + 1) % 4;
      while (quince_ledger_view_find (world->view, world->nodes[drained].disk.replica) == NULL)
        drained = (drained + 1) % 4;
      world->loses_next_change = TRUE;
      drain_node (world, drained);
      for (guint i = 0; i < 500 && !world->change_is_lost; i++)
        world_run (world, 10);
      assert_true (world->change_is_lost);
      if (world->lost_change_members != 3 || count_requests (world, leader) != 2)
        {
          world_free (world);
          continue;
        }
      n_played++;
      world->idle = TRUE;
      world_run (world, 800);
      world_kill (world, leader);
      assert_recovers (world, "a change was acknowledged and not written");
    }
  assert_true (n_played >= 5);
}

/* ---- Random faults ------------------------------------------------------ */

/* Maximum time until there is a leader with enough members after the last fault is cleared. */
#define CONVERGENCE_MAX_MS 15000

/* Drains a machine that has a member; the answer to the change is lost. */
static void
begin_random_change (World *world)
{
  guint node;
  do
    node = (guint)g_rand_int_range (world->random, 0, (gint32)world->n_nodes);
  while (quince_ledger_view_find (world->view, world->nodes[node].disk.replica) == NULL);
  world->change_is_lost = FALSE;
  world->loses_next_change = TRUE;
  world->lost_change_applied_us = world->now_us + g_rand_int_range (world->random, 100, 6000) * 1000;
  drain_node (world, node);
  for (guint i = 0; i < 300 && !world->change_is_lost; i++)
    world_run (world, 10);
}

static void
disturb (World *world)
{
  guint node = (guint)g_rand_int_range (world->random, 0, (gint32)world->n_nodes);
  guint other = (guint)g_rand_int_range (world->random, 0, (gint32)world->n_nodes);
  gint32 fault = g_rand_int_range (world->random, 0, 8);
  if (fault <= 1)
    world->cut[node][other] = node != other;
  else if (fault == 2)
    cut_link (world, node, other != node ? other : (node + 1) % world->n_nodes);
  else if (fault == 3)
    world_cut_off (world, node, FALSE);
  else if (fault == 4)
    world->store_unreachable[node] = !world->store_unreachable[node];
  else if (fault == 5)
    world->store_down = !world->store_down;
  else if (fault == 6)
    world->nodes[node].frozen = world->nodes[node].group != NULL && !world->nodes[node].frozen;
  else if (world->nodes[node].group != NULL)
    {
      world_kill (world, node);
      world_start (world, node, FALSE);
    }
}

static void
run_random_replacements (guint32 seed, guint n_nodes, guint losses)
{
  World *world = new_settled_world (seed, n_nodes, losses);
  for (guint round = 0; round < 6; round++)
    {
      begin_random_change (world);
      for (guint i = 0; i < 10; i++)
        {
          disturb (world);
          world_run (world, (guint)g_rand_int_range (world->random, 50, 1200));
        }
      world->loses_next_change = FALSE;
      clear_faults (world);
      world_run (world, CONVERGENCE_MAX_MS);
      if (world_find_leader (world) < 0 || !world_has_enough_members (world))
        fail_msg ("seed %u: no leader with enough members after the last fault", seed);
    }
  assert_commits_continue (world, 1000);
  world_free (world);
}

/* Nothing acknowledged is lost, and no epoch has two leaders, when replicas lead that the view in the store
 * turns out to lack. */
static void
test_random_replacements (void **state)
{
  guint32 seed = get_first_seed ();
  guint32 seeds = get_n_seeds (40);
  for (guint32 i = 0; i < seeds; i++)
    {
      run_random_replacements (seed + i, 4, 1);
      run_random_replacements (seed + 100000 + i, 5, 1);
      run_random_replacements (seed + 200000 + i, 7, 2);
      run_random_replacements (seed + 300000 + i, 9, 3);
    }
}

/* The joiner holds records that no member of the known view but the leader does. */
static void
write_to_joiner (World *world, const Roles *roles)
{
  leave_joiner (world, roles);
  world->idle = FALSE;
  world_run (world, 400);
  world->idle = TRUE;
  world_kill (world, roles->leader);
}

static void
test_joiner_has_more_records (void **state)
{
  run_fault (4, write_to_joiner, "the joiner has more records than the members");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_leader_hears_replaced_member), cmocka_unit_test (test_leader_hears_joiner),
    cmocka_unit_test (test_joiner_among_spares),          cmocka_unit_test (test_common_member_lacks_records),
    cmocka_unit_test (test_joiner_has_more_records),      cmocka_unit_test (test_request_without_write),
    cmocka_unit_test (test_random_replacements)
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
