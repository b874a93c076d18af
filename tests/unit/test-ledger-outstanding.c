/*
 * test-ledger-outstanding.c: the store goes down while a change of the ledger's members is under way, in
 * virtual time.  Guards against a ledger without a leader until the store is back although the members live
 * and hear each other: a candidate that got their promises could not lead, since they had acknowledged the
 * change.
 */
#include "ledger-faults.h"
#include "ledger-scene.h"
#include "soak-seeds.h"

/* Time for which the leader timeout of 1 s is exceeded a little. */
#define PAUSE_MS 1300
/* Maximum time from the end of a pause or from the loss of the leader until records are committed again: the
 * leader timeout, the rank delays of all other members, two campaigns that end without a leader. */
#define RECOVERY_MAX_MS 4000

typedef enum
{
  CHANGE_JOINER,   /* a further replica joins */
  CHANGE_REPLACED, /* the disk of a backup is replaced */
  CHANGE_SILENT,   /* a backup that was killed is removed */
  CHANGE_HANDOVER, /* the machine of the leader is drained */
} Change;

typedef enum
{
  EVENT_PAUSE,          /* the leader is suspended and goes on */
  EVENT_TWO_PAUSES,     /* the same twice */
  EVENT_CUT,            /* the leader hears nobody and nobody hears it for a while */
  EVENT_KILL,           /* the leader is killed */
  EVENT_RESTART,        /* a backup restarts, then the leader is suspended and goes on */
  EVENT_RESTART_LEADER, /* the leader restarts */
} Event;

typedef struct
{
  guint n_nodes;
  guint losses;
  Change change;
  Event event;
} Case;

static gint
find_backup (World *world, gint leader, guint nth)
{
  for (guint i = 0; i < world->n_nodes; i++)
    if ((gint)i != leader && world->nodes[i].group != NULL
        && quince_ledger_view_find (world->view, world->nodes[i].disk.replica) != NULL && nth-- == 0)
      return (gint)i;
  fail_msg ("seed %u: too few backups", world->seed);
  return -1;
}

static void
run_until_removed (World *world, guint node)
{
  guint64 replica = world->nodes[node].disk.replica;
  for (guint i = 0; i < 100 && quince_ledger_view_find (world->view, replica) != NULL; i++)
    world_run (world, 100);
  assert_null (quince_ledger_view_find (world->view, replica));
  world_run (world, 2000);
}

/* Begins the change.  The store goes down before it answers. */
static void
lose_change (World *world, Change change)
{
  gint leader = world_find_leader (world);
  guint backup = (guint)find_backup (world, leader, 0);
  if (change == CHANGE_JOINER)
    {
      world_kill (world, backup);
      run_until_removed (world, backup);
      world_wipe (world, backup);
    }
  world->loses_next_change = TRUE;
  if (change == CHANGE_HANDOVER)
    drain_node (world, (guint)leader);
  else
    world_kill (world, backup);
  if (change == CHANGE_REPLACED)
    world_wipe (world, backup);
  if (change == CHANGE_REPLACED || change == CHANGE_JOINER)
    world_start (world, backup, FALSE);
  for (guint i = 0; i < 500 && !world->change_is_lost; i++)
    world_run (world, 10);
  assert_true (world->change_is_lost);
}

static void
pause_leader (World *world, guint leader)
{
  world->nodes[leader].frozen = TRUE;
  world_run (world, PAUSE_MS);
  world->nodes[leader].frozen = FALSE;
}

static void
play_event (World *world, Event event, guint leader)
{
  if (event == EVENT_CUT)
    {
      world_cut_off (world, leader, TRUE);
      world_run (world, PAUSE_MS);
      world_cut_off (world, leader, FALSE);
      return;
    }
  if (event == EVENT_KILL)
    {
      world_kill (world, leader);
      return;
    }
  if (event == EVENT_RESTART)
    {
      guint backup = (guint)find_backup (world, (gint)leader, 0);
      world_kill (world, backup);
      world_start (world, backup, FALSE);
      world_run (world, 700);
    }
  if (event == EVENT_RESTART_LEADER)
    {
      world_kill (world, leader);
      world_start (world, leader, FALSE);
      return;
    }
  pause_leader (world, leader);
  if (event != EVENT_TWO_PAUSES)
    return;
  world_run (world, 200);
  gint next = world_find_leader (world);
  pause_leader (world, next >= 0 ? (guint)next : leader);
}

static void
run_case (const Case *played, guint32 seed)
{
  World *world = new_settled_world (seed, played->n_nodes, played->losses);
  guint leader = (guint)world_find_leader (world);
  world->lost_change_applied_us
      = seed % 2 == 0 ? world->now_us + g_rand_int_range (world->random, 1, 15) * G_USEC_PER_SEC : 0;
  lose_change (world, played->change);
  world_run (world, seed % 7 * 100);
  play_event (world, played->event, leader);
  world_run (world, RECOVERY_MAX_MS);
  guint before = world->committed->len;
  world_run (world, 700);
  if (world->committed->len <= before)
    fail_msg ("seed %u: %u nodes, change %d, event %d: nothing is committed while the store is down", seed,
              played->n_nodes, (int)played->change, (int)played->event);
  world->store_down = FALSE;
  clear_faults (world);
  world_run (world, 20000);
  assert_commits_continue (world, 1000);
  assert_true (world_has_enough_members (world));
  world_free (world);
}

static void
run_cases (const Case *cases, guint n_cases)
{
  for (guint i = 0; i < n_cases; i++)
    for (guint32 seed = 1; seed <= 20; seed++)
      run_case (&cases[i], 700 + seed);
}

/* The leader goes on, or all its members but it do. */
static void
test_view_of_two (void **state)
{
  static const Case cases[] = { { 3, 1, CHANGE_JOINER, EVENT_PAUSE },
                                { 3, 1, CHANGE_JOINER, EVENT_RESTART },
                                { 3, 1, CHANGE_JOINER, EVENT_RESTART_LEADER },
                                { 3, 1, CHANGE_JOINER, EVENT_TWO_PAUSES },
                                { 3, 1, CHANGE_JOINER, EVENT_CUT } };
  run_cases (cases, G_N_ELEMENTS (cases));
}

static void
test_view_of_three (void **state)
{
  static const Case cases[]
      = { { 3, 1, CHANGE_REPLACED, EVENT_PAUSE },       { 3, 1, CHANGE_REPLACED, EVENT_TWO_PAUSES },
          { 3, 1, CHANGE_REPLACED, EVENT_CUT },         { 3, 1, CHANGE_SILENT, EVENT_PAUSE },
          { 3, 1, CHANGE_SILENT, EVENT_CUT },           { 3, 1, CHANGE_HANDOVER, EVENT_PAUSE },
          { 3, 1, CHANGE_HANDOVER, EVENT_KILL },        { 3, 1, CHANGE_HANDOVER, EVENT_CUT },
          { 3, 1, CHANGE_REPLACED, EVENT_RESTART },     { 3, 1, CHANGE_REPLACED, EVENT_RESTART_LEADER },
          { 3, 1, CHANGE_SILENT, EVENT_RESTART_LEADER } };
  run_cases (cases, G_N_ELEMENTS (cases));
}

static void
test_view_of_five (void **state)
{
  static const Case cases[]
      = { { 5, 2, CHANGE_JOINER, EVENT_PAUSE },      { 5, 2, CHANGE_JOINER, EVENT_KILL },
          { 5, 2, CHANGE_REPLACED, EVENT_PAUSE },    { 5, 2, CHANGE_REPLACED, EVENT_KILL },
          { 5, 2, CHANGE_REPLACED, EVENT_RESTART },  { 5, 2, CHANGE_SILENT, EVENT_PAUSE },
          { 5, 2, CHANGE_SILENT, EVENT_KILL },       { 5, 2, CHANGE_SILENT, EVENT_RESTART },
          { 5, 2, CHANGE_SILENT, EVENT_TWO_PAUSES }, { 5, 2, CHANGE_HANDOVER, EVENT_KILL },
          { 5, 2, CHANGE_HANDOVER, EVENT_PAUSE } };
  run_cases (cases, G_N_ELEMENTS (cases));
}

/* ---- Random faults ------------------------------------------------------ */

/* Maximum time until there is a leader with enough members after the last fault is cleared. */
#define CONVERGENCE_MAX_MS 15000

/* Starts a change, whose answer is lost if the leader proposes it in time. */
static void
begin_random_change (World *world)
{
  gint leader = world_find_leader (world);
  gint backup = find_backup (world, leader, (guint)g_rand_int_range (world->random, 0, 2));
  world->change_is_lost = FALSE;
  world->loses_next_change = TRUE;
  world->lost_change_applied_us = world->now_us + g_rand_int_range (world->random, 100, 6000) * 1000;
  if (g_rand_int_range (world->random, 0, 4) == 0)
    drain_node (world, (guint)leader);
  else if (g_rand_int_range (world->random, 0, 2) == 0)
    world_kill (world, (guint)backup);
  else
    {
      world_wipe (world, (guint)backup);
      world_start (world, (guint)backup, FALSE);
    }
  for (guint i = 0; i < 300 && !world->change_is_lost; i++)
    world_run (world, 10);
}

/* Cuts the machines into two sides, of which one at most reaches the store. */
static void
split (World *world)
{
  guint sides = (guint)g_rand_int_range (world->random, 1, (1 << world->n_nodes) - 1);
  guint side_with_store = (guint)g_rand_int_range (world->random, 0, 2);
  for (guint i = 0; i < world->n_nodes; i++)
    {
      world->store_unreachable[i] = (sides >> i & 1) != side_with_store;
      for (guint j = 0; j < world->n_nodes; j++)
        world->cut[i][j] = (sides >> i & 1) != (sides >> j & 1);
    }
  world->store_down = g_rand_int_range (world->random, 0, 3) == 0;
}

static void
disturb (World *world)
{
  guint node = (guint)g_rand_int_range (world->random, 0, (gint32)world->n_nodes);
  gint32 fault = g_rand_int_range (world->random, 0, 5);
  if (fault == 0)
    world->nodes[node].frozen = world->nodes[node].group != NULL;
  else if (fault == 1)
    restart_all_nodes (world);
  else if (fault == 2 && world->nodes[node].group != NULL)
    {
      world_kill (world, node);
      world_start (world, node, FALSE);
    }
  else if (fault == 3)
    split (world);
}

static void
run_random_changes (guint32 seed, guint n_nodes, guint losses)
{
  World *world = new_settled_world (seed, n_nodes, losses);
  for (guint round = 0; round < 6; round++)
    {
      begin_random_change (world);
      world_run (world, (guint)g_rand_int_range (world->random, 0, 1500));
      split (world);
      for (guint i = 0; i < 4; i++)
        {
          world_run (world, (guint)g_rand_int_range (world->random, 200, 2500));
          disturb (world);
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

/* Nothing acknowledged is lost, and no epoch has two leaders, when one side of a cut learns of the lost
 * change from the store and the other side elects a leader without it. */
static void
test_random_changes (void **state)
{
  guint32 seed = get_first_seed ();
  guint32 seeds = get_n_seeds (40);
  for (guint32 i = 0; i < seeds; i++)
    {
      run_random_changes (seed + i, 4, 1);
      run_random_changes (seed + 100000 + i, 3, 1);
      run_random_changes (seed + 200000 + i, 6, 2);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_view_of_two), cmocka_unit_test (test_view_of_three),
          cmocka_unit_test (test_view_of_five), cmocka_unit_test (test_random_changes) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
