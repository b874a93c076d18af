/*
 * test-consensus-simulation.c: replicas on a simulated network and simulated disks.
 *
 * Time, faults and choices come from fixed seeds.  After each effect the
 * simulation checks: at most one leader an epoch; equal (index, epoch) means
 * equal entries and equal predecessors; what was committed once stays, in
 * every leader's log and in every state machine; confirmed reads see all that
 * was committed before they began; voters change one at a time.
 */
#include "consensus-world.h"

/* ---- Steps ---------------------------------------------------------- */

static Machine *
pick (World *world)
{
  return &world->machines[g_rand_int_range (world->random, 0, (gint32)world->scenario->machines)];
}

static void
deliver_one (World *world)
{
  guint at;
  Letter *letter;

  if (world->messages->len == 0)
    return;
  at = (guint)g_rand_int_range (world->random, 0, (gint32)world->messages->len);
  if (world->now_us < ((Letter *)g_ptr_array_index (world->messages, at))->after_us)
    return;
  letter = g_ptr_array_steal_index_fast (world->messages, at);
  for (guint i = 0; i < world->scenario->machines; i++)
    {
      Machine *machine = &world->machines[i];
      GPtrArray *effects;

      if (!g_str_equal (machine->address, letter->address) || machine->consensus == NULL
          || machine->group != world->machines[letter->from_group_slot].group)
        continue;
      if (machine->paused)
        {
          /* Waits in the socket of the paused process. */
          if (world->messages->len < 200)
            g_ptr_array_add (world->messages, g_steal_pointer (&letter));
          break;
        }
      effects = quince_effects_new ();
      quince_consensus_receive (machine->consensus, world->now_us, letter->message, effects);
      settle (world, machine, effects);
      break;
    }
  if (letter != NULL)
    letter_free (letter);
}

static void
wake_up (World *world, Machine *machine)
{
  if (world->now_us < machine->up_at_us)
    return;
  machine->up_at_us = G_MAXINT64;
  machine->paused = FALSE;
  if (machine->consensus == NULL)
    start (world, machine);
}

static void
tick_all (World *world)
{
  world->now_us += g_rand_int_range (world->random, 0, 2000);
  for (guint i = 0; i < world->scenario->machines; i++)
    {
      Machine *machine = &world->machines[i];
      GPtrArray *effects;

      wake_up (world, machine);
      /* A process that woke up may act before its timer does. */
      if (!runs (machine) || world->now_us < quince_consensus_next_wakeup (machine->consensus)
          || g_rand_int_range (world->random, 0, 3) == 0)
        continue;
      effects = quince_effects_new ();
      quince_consensus_tick (machine->consensus, world->now_us, effects);
      settle (world, machine, effects);
    }
}

/* A client at a machine that takes itself for the leader. */
static void
use_leader (World *world, Machine *machine)
{
  GPtrArray *effects;
  guint proposals = (guint)g_rand_int_range (world->random, 0, 4);

  if (!runs (machine) || quince_consensus_get_role (machine->consensus) != QUINCE_CONSENSUS_LEADER)
    return;
  effects = quince_effects_new ();
  if (machine->n_reads < MAX_READS)
    {
      Read *read = &machine->reads[machine->n_reads++];

      read->round = quince_consensus_confirm (machine->consensus, world->now_us, effects);
      read->committed = world->committed->len;
    }
  for (guint i = 0; i < proposals; i++)
    {
      guint64 value[4] = { ++world->next_value };

      quince_consensus_propose (machine->consensus, world->now_us, value, sizeof value, effects);
    }
  quince_consensus_flush (machine->consensus, world->now_us, effects);
  settle (world, machine, effects);
}

static void
compact (World *world, Machine *machine)
{
  guint64 tail = (guint64)g_rand_int_range (world->random, 0, 4);

  if (!runs (machine) || machine->applied <= machine->snapshot_index)
    return;
  g_ptr_array_remove_range (machine->entries, 0, machine->applied - machine->snapshot_index);
  set_snapshot (machine, machine->applied, machine->applied_epoch, machine->state, machine->applied_voters);
  quince_consensus_compacted (machine->consensus, machine->applied > tail ? machine->applied - tail : 0);
}

/* No voter set known anywhere may lose more than a minority of its disks. */
static gboolean
may_lose_disk (World *world, const Machine *machine)
{
  for (guint i = 0; i < world->scenario->machines; i++)
    {
      g_autoptr (QuinceReplicaSet) voters = disk_voters (&world->machines[i]);
      guint lost = 1;

      for (guint j = 0; j < voters->voters.voters_len; j++)
        lost += g_hash_table_contains (world->lost_ids, &voters->voters.voters_val[j].replica_id);
      if (voters->voters.voters_len > 0 && lost > (voters->voters.voters_len - 1) / 2)
        return FALSE;
    }
  return TRUE;
}

static void
lose_disk (World *world, Machine *machine)
{
  if (!may_lose_disk (world, machine))
    return;
  crash (world, machine);
  g_hash_table_add (world->lost_ids, key_of (machine->id));
  machine->id = ((guint64)g_rand_int (world->random) << 32) | g_rand_int (world->random) | 1;
  machine->epoch = machine->voted_for = 0;
  machine->snapshot_index = machine->snapshot_epoch = machine->snapshot_state = 0;
  g_clear_pointer (&machine->snapshot_voters, quince_replica_set_free);
  g_ptr_array_set_size (machine->entries, 0);
  world->lost_disks++;
}

static void
transfer (World *world, Machine *machine)
{
  GPtrArray *effects;

  if (!runs (machine))
    return;
  effects = quince_effects_new ();
  quince_consensus_transfer (machine->consensus, world->now_us, effects);
  settle (world, machine, effects);
}

/* The daemon's part: an empty replica asks around until it is taken in. */
static void
ask_to_join (World *world, Machine *machine)
{
  QuinceReplication message = { 0 };

  if (!runs (machine) || quince_consensus_get_voters (machine->consensus)->voters.voters_len > 0)
    return;
  message.from = machine->id;
  message.body.kind = QUINCE_REPLICATION_JOIN;
  message.body.QuinceReplicationBody_u.join.replica
      = (QuinceReplica){ machine->id, machine->node, machine->zone, machine->address };
  post (world, machine, pick (world)->address, &message);
}

static void
pause_process (World *world, Machine *machine)
{
  if (!runs (machine))
    return;
  machine->paused = TRUE;
  machine->up_at_us = world->now_us + g_rand_int_range (world->random, 100 * 1000, 4000 * 1000);
}

static void
partition (World *world)
{
  gboolean heal = g_rand_int_range (world->random, 0, 2) == 0;

  for (guint i = 0; i < world->scenario->machines; i++)
    world->machines[i].group = heal ? 0 : (guint)g_rand_int_range (world->random, 0, 2);
}

static void
inject_faults (World *world)
{
  const Scenario *scenario = world->scenario;

  if (chance (world, scenario->crash))
    crash (world, pick (world));
  if (chance (world, scenario->partition))
    partition (world);
  if (chance (world, scenario->pause))
    pause_process (world, pick (world));
  if (chance (world, scenario->lose_disk))
    lose_disk (world, pick (world));
  if (chance (world, scenario->transfer))
    transfer (world, pick (world));
  if (chance (world, scenario->compact))
    compact (world, pick (world));
}

static void
step (World *world)
{
  world->step++;
  tick_all (world);
  deliver_one (world);
  deliver_one (world);
  if (g_rand_int_range (world->random, 0, 20) == 0)
    use_leader (world, pick (world));
  if (g_rand_int_range (world->random, 0, 200) == 0)
    ask_to_join (world, pick (world));
  inject_faults (world);
}

/* ---- Scenarios ------------------------------------------------------ */

static void
world_init (World *world, const Scenario *scenario)
{
  QuinceReplica first[MAX_MACHINES];
  QuinceReplicaSet voters = { { scenario->first_voters, first } };

  memset (world, 0, sizeof *world);
  world->scenario = scenario;
  world->random = g_rand_new_with_seed (scenario->seed);
  world->now_us = 1000 * 1000;
  world->faults = TRUE;
  world->messages = g_ptr_array_new_with_free_func (letter_free);
  world->leaders = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  world->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  world->lost_ids = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  world->committed = g_array_new (FALSE, FALSE, sizeof (Committed));
  for (guint i = 0; i < scenario->machines; i++)
    {
      Machine *machine = &world->machines[i];

      machine->slot = i;
      machine->id = 100 + i;
      machine->address = g_strdup_printf ("10.0.0.%u:7000", i + 1);
      machine->node = g_strdup_printf ("n%u", i + 1);
      machine->zone = g_strdup_printf ("z%u", i % 3);
      machine->entries = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_entry_free);
      first[i] = (QuinceReplica){ machine->id, machine->node, machine->zone, machine->address };
      start (world, machine);
    }
  for (guint i = 0; i < scenario->first_voters; i++)
    {
      GPtrArray *effects = quince_effects_new ();

      quince_consensus_bootstrap (world->machines[i].consensus, world->now_us, &voters, effects);
      settle (world, &world->machines[i], effects);
    }
}

static void
world_clear (World *world)
{
  for (guint i = 0; i < world->scenario->machines; i++)
    {
      Machine *machine = &world->machines[i];

      g_clear_pointer (&machine->consensus, quince_consensus_free);
      g_clear_pointer (&machine->snapshot_voters, quince_replica_set_free);
      g_clear_pointer (&machine->applied_voters, quince_replica_set_free);
      g_ptr_array_unref (machine->entries);
      g_free (machine->address);
      g_free (machine->node);
      g_free (machine->zone);
    }
  g_rand_free (world->random);
  g_ptr_array_unref (world->messages);
  g_hash_table_unref (world->leaders);
  g_hash_table_unref (world->entries);
  g_hash_table_unref (world->lost_ids);
  g_array_unref (world->committed);
}

/* All machines run, know the same and hold the wanted number of live voters. */
static gboolean
is_settled (World *world, guint64 least_committed)
{
  guint wanted = MIN (world->scenario->machines, test_limits.voters_target);

  for (guint i = 0; i < world->scenario->machines; i++)
    {
      const Machine *machine = &world->machines[i];

      if (!runs (machine) || machine->applied < least_committed
          || machine->applied_voters->voters.voters_len < wanted)
        return FALSE;
      for (guint j = 0; j < machine->applied_voters->voters.voters_len; j++)
        if (g_hash_table_contains (world->lost_ids,
                                   &machine->applied_voters->voters.voters_val[j].replica_id))
          return FALSE;
    }
  return TRUE;
}

/* Without faults the ledger makes progress again, and lost voters are replaced. */
static void
heal (World *world)
{
  guint64 wanted = world->committed->len + 20;
  guint limit = world->step + 120 * 1000;

  world->faults = FALSE;
  for (guint i = 0; i < world->scenario->machines; i++)
    world->machines[i].group = 0;
  while (!is_settled (world, wanted) && world->step < limit)
    step (world);
  check (world, is_settled (world, wanted));
}

static const Scenario scenarios[] = {
  { .name = "calm", .machines = 3, .first_voters = 3, .steps = 20000 },
  { .name = "lossy",
    .machines = 3,
    .first_voters = 3,
    .steps = 40000,
    .drop = 1000,
    .duplicate = 1000,
    .delay = 500,
    .compact = 20 },
  { .name = "crashes",
    .machines = 3,
    .first_voters = 3,
    .steps = 40000,
    .drop = 200,
    .duplicate = 500,
    .delay = 200,
    .crash = 10,
    .crash_between_effects = 20,
    .compact = 20 },
  { .name = "partitions",
    .machines = 5,
    .first_voters = 5,
    .steps = 40000,
    .drop = 100,
    .duplicate = 500,
    .delay = 500,
    .crash = 5,
    .partition = 15,
    .compact = 20 },
  { .name = "pauses and transfers",
    .machines = 3,
    .first_voters = 3,
    .steps = 40000,
    .duplicate = 200,
    .delay = 500,
    .pause = 15,
    .partition = 5,
    .transfer = 20,
    .compact = 20 },
  { .name = "lost disks",
    .machines = 4,
    .first_voters = 3,
    .steps = 40000,
    .drop = 50,
    .duplicate = 200,
    .delay = 200,
    .crash = 3,
    .lose_disk = 3,
    .transfer = 3,
    .compact = 20 },
  { .name = "growth",
    .machines = 5,
    .first_voters = 1,
    .steps = 30000,
    .drop = 100,
    .delay = 200,
    .crash = 3,
    .compact = 20 },
  { .name = "everything",
    .machines = 5,
    .first_voters = 3,
    .steps = 40000,
    .drop = 200,
    .duplicate = 300,
    .delay = 300,
    .crash = 5,
    .crash_between_effects = 5,
    .partition = 5,
    .pause = 5,
    .lose_disk = 2,
    .transfer = 5,
    .compact = 30 },
};

#define SEEDS 24

static void
test_simulation (void **state)
{
  for (gsize i = 0; i < G_N_ELEMENTS (scenarios); i++)
    {
      guint steps = 0, committed = 0, elections = 0, snapshots = 0, voter_changes = 0, lost_disks = 0,
            reads = 0;

      for (guint32 seed = 1; seed <= SEEDS; seed++)
        {
          Scenario scenario = scenarios[i];
          World world;

          scenario.seed = seed;
          world_init (&world, &scenario);
          while (world.step < scenario.steps)
            step (&world);
          heal (&world);
          check (&world, world.confirmed_reads > 0);
          check (&world, scenario.lose_disk == 0 || (world.lost_disks > 0 && world.voter_changes >= 2));
          steps += world.step;
          committed += world.committed->len;
          elections += world.elections;
          snapshots += world.snapshots;
          voter_changes += world.voter_changes;
          lost_disks += world.lost_disks;
          reads += world.confirmed_reads;
          world_clear (&world);
        }
      print_message (
          "%-20s steps %u committed %u elections %u snapshots %u voter changes %u lost disks %u reads %u\n",
          scenarios[i].name, steps, committed, elections, snapshots, voter_changes, lost_disks, reads);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_simulation),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
