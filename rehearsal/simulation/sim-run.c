/*
 * sim-run.c: worlds of successive seeds, and the faults made in them.
 */
#include "model.h"

#define FAULT_INTERVAL (400 * SIM_MILLISECOND)
#define FAULT_TIME (40 * SIM_SECOND)
/* After the last fault everything must come to its end within this. */
#define SETTLE_TIME (90 * SIM_SECOND)
#define TRAINER_STEPS 12

static const char *const mutation_names[SIM_N_MUTATIONS] = {
  [SIM_MUTATION_NONE] = "none",
  [SIM_MUTATION_ACK_BEFORE_COMMIT] = "ack-before-commit",
  [SIM_MUTATION_DISPATCH_EXPIRED] = "dispatch-expired",
  [SIM_MUTATION_TRUST_ORDERED_VERSION] = "trust-ordered-version",
  [SIM_MUTATION_RETRY_UNREPEATABLE] = "retry-unrepeatable",
  [SIM_MUTATION_SAY_NOT_RUN] = "say-not-run",
  [SIM_MUTATION_SKIP_CLAIM] = "skip-claim",
  [SIM_MUTATION_ACCEPT_OLD_POLICY] = "accept-old-policy",
  [SIM_MUTATION_IGNORE_LEAVING] = "ignore-leaving",
  [SIM_MUTATION_MIX_ATTEMPTS] = "mix-attempts",
  [SIM_MUTATION_SKIP_STALENESS] = "skip-staleness",
  [SIM_MUTATION_STOP_AT_ONCE] = "stop-at-once",
  [SIM_MUTATION_NODE_TAKES_STREAMS] = "node-takes-streams",
};

const char *
sim_mutation_name (SimMutation mutation)
{
  return mutation_names[mutation];
}

/* ---- Faults -------------------------------------------------------------------- */

static void
start_again (SimWorld *world, SimProcess *weather, gpointer data)
{
  sim_world_start (world, data);
}

static SimProcess *
any_process (SimWorld *world)
{
  SimModel *model = sim_model (world);
  switch (sim_random (world, 4))
    {
    case 0:
      return model->agents[sim_random (world, SIM_AGENTS)];
    case 1:
      return model->engines[sim_random (world, SIM_ENGINES)];
    default:
      return model->nodes[sim_random (world, SIM_NODES)];
    }
}

static void
kill_one (SimWorld *world, SimProcess *weather)
{
  SimProcess *victim = any_process (world);
  SimModel *model = sim_model (world);
  if (!victim->alive)
    return;
  model->judge.kills++;
  sim_world_kill (world, victim);
  sim_world_at (world, weather, (gint64)sim_random (world, 4 * SIM_SECOND), start_again, victim, NULL);
}

/* A machine and its data folder go for good; a new one takes the name. */
static void
lose_disk (SimWorld *world, SimProcess *weather)
{
  SimModel *model = sim_model (world);
  guint index = sim_random (world, SIM_LEDGER_NODES);
  SimProcess *victim = model->nodes[index];
  if (!victim->alive || !sim_node_may_lose_disk (world, index))
    return;
  model->judge.disks_lost++;
  sim_world_kill (world, victim);
  sim_disk_clear (&model->disks[index]);
  sim_world_at (world, weather, (gint64)sim_random (world, 3 * SIM_SECOND), start_again, victim, NULL);
}

static void
heal (SimWorld *world, SimProcess *weather, gpointer data)
{
  sim_world_heal (world);
  sim_model (world)->last_disturbance = MAX (sim_model (world)->last_disturbance, world->now);
}

static void
cut_some (SimWorld *world, SimProcess *weather)
{
  guint count = world->processes->len;
  guint one = sim_random (world, count);
  sim_model (world)->judge.cuts++;
  /* One process from all, in one or both directions, or one pair. */
  gboolean both = sim_chance (world, 0.6);
  gboolean all = sim_chance (world, 0.5);
  guint other = sim_random (world, count);
  for (guint i = 0; i < count; i++)
    if (i != one && (all || i == other))
      {
        world->cut[one * count + i] = TRUE;
        if (both)
          world->cut[i * count + one] = TRUE;
      }
  sim_world_at (world, weather, (gint64)sim_random (world, 5 * SIM_SECOND), heal, NULL, NULL);
}

static void
freeze_one (SimWorld *world)
{
  sim_model (world)->judge.freezes++;
  sim_world_freeze (world, any_process (world), (gint64)sim_random (world, 3 * SIM_SECOND));
}

static void
kv_back (SimWorld *world, SimProcess *weather, gpointer data)
{
  sim_model (world)->kv_up = TRUE;
  sim_model (world)->last_disturbance = MAX (sim_model (world)->last_disturbance, world->now);
}

static void
kv_outage (SimWorld *world, SimProcess *weather)
{
  gint64 duration = (gint64)sim_random (world, 8 * SIM_SECOND);
  sim_model (world)->kv_up = FALSE;
  sim_model (world)->last_disturbance = MAX (sim_model (world)->last_disturbance, world->now + duration);
  sim_world_at (world, weather, duration, kv_back, NULL, NULL);
}

/* A machine that has left is replaced by a new one. */
static void
replace_engine (SimWorld *world, SimProcess *weather, gpointer data)
{
  sim_world_kill (world, data);
  sim_world_start (world, data);
}

static void
engine_leaves (SimWorld *world, SimProcess *weather)
{
  SimModel *model = sim_model (world);
  guint staying = 0;
  for (guint i = 0; i < SIM_ENGINES; i++)
    staying += model->engine_leaves_at[i] == 0;
  guint index = sim_random (world, SIM_ENGINES);
  if (staying <= 2 || model->engine_leaves_at[index] != 0)
    return;
  model->engine_leaves_at[index] = world->now;
  gint64 stay = 6 * SIM_SECOND + (gint64)sim_random (world, 4 * SIM_SECOND);
  sim_world_at (world, weather, stay, replace_engine, model->engines[index], NULL);
}

static void
make_fault (SimWorld *world, SimProcess *weather)
{
  SimModel *model = sim_model (world);
  guint kind = sim_random (world, 16);
  /* Policy spread is only timed from the end of what hinders it. */
  if (kind < 10)
    model->last_disturbance = MAX (model->last_disturbance, world->now + 5 * SIM_SECOND);
  switch (kind)
    {
    case 0:
    case 1:
    case 2:
    case 3:
      kill_one (world, weather);
      break;
    case 4:
    case 5:
      freeze_one (world);
      break;
    case 6:
    case 7:
      cut_some (world, weather);
      break;
    case 8:
      kv_outage (world, weather);
      break;
    case 9:
      lose_disk (world, weather);
      break;
    case 10:
    case 11:
    case 12:
      engine_leaves (world, weather);
      break;
    case 13:
    case 14:
      sim_stop_any (world);
      break;
    default:
      break;
    }
}

static void
accept_policy (SimWorld *world)
{
  SimModel *model = sim_model (world);
  /* While a policy spreads, nodes that lack it refuse. */
  gboolean keeps_still
      = world->now >= model->calm_since - SIM_POLICY_BOUND && world->now < model->calm_since + SIM_CALM_TIME;
  if (!model->kv_up || keeps_still || !sim_chance (world, 0.15))
    return;
  model->kv_revision += 1 + sim_random (world, 3);
  model->last_accept = world->now;
  model->judge.policies_accepted++;
}

/* Everything comes back and stays. */
static void
end_faults (SimWorld *world)
{
  SimModel *model = sim_model (world);
  model->faults = FALSE;
  model->calm_since = world->now + SIM_CALM_AFTER;
  model->kv_up = TRUE;
  model->last_disturbance = world->now + SIM_SECOND;
  sim_world_heal (world);
  world->loss = 0;
  for (guint i = 0; i < world->processes->len; i++)
    {
      SimProcess *process = world->processes->pdata[i];
      process->frozen_until = 0;
      sim_world_start (world, process);
    }
  for (guint i = 0; i < SIM_ENGINES; i++)
    model->engine_leaves_at[i] = 0;
}

/* Nothing but planned stops happens. */
static gboolean
is_calm (SimWorld *world)
{
  gint64 since = sim_model (world)->calm_since;
  return world->now >= since && world->now < since + SIM_CALM_TIME;
}

static void
blow (SimWorld *world, SimProcess *weather, gpointer data)
{
  SimModel *model = sim_model (world);
  sim_judge_tick (world);
  accept_policy (world);
  if (model->faults && world->now > FAULT_TIME)
    end_faults (world);
  else if (model->faults && sim_chance (world, 0.5))
    make_fault (world, weather);
  else if (is_calm (world))
    sim_stop_any (world);
  sim_world_at (world, weather, FAULT_INTERVAL, blow, NULL, NULL);
}

static void
weather_start (SimWorld *world, SimProcess *process)
{
  sim_world_at (world, process, 3 * SIM_SECOND, blow, NULL, NULL);
}

static void
weather_receive (SimWorld *world, SimProcess *process, guint from, QuinceMessage *message)
{
  quince_message_free (message);
}

const SimClass sim_weather_class = { weather_start, weather_receive, NULL, NULL };

/* ---- Worlds --------------------------------------------------------------------- */

SimWorld *
sim_model_new (guint64 seed, SimMutation mutation, guint steps_wanted)
{
  SimWorld *world = sim_world_new (seed);
  SimModel *model = g_new0 (SimModel, 1);
  world->model = model;
  world->mutation = mutation;
  world->loss = 0.01;
  world->duplication = 0.01;
  model->kv_up = TRUE;
  model->faults = TRUE;
  model->calm_since = G_MAXINT64;
  model->newest_weights = 1;
  model->steps_wanted = steps_wanted;
  sim_judge_init (world);
  for (guint i = 0; i < SIM_NODES; i++)
    model->nodes[i] = sim_world_add (world, &sim_node_class, "node", i);
  for (guint i = 0; i < SIM_AGENTS; i++)
    model->agents[i] = sim_world_add (world, &sim_agent_class, "agent", i);
  for (guint i = 0; i < SIM_ENGINES; i++)
    model->engines[i] = sim_world_add (world, &sim_engine_class, "engine", i);
  model->trainer = sim_world_add (world, &sim_trainer_class, "trainer", 0);
  model->weather = sim_world_add (world, &sim_weather_class, "weather", 0);
  sim_world_begin (world);
  return world;
}

void
sim_model_free (SimWorld *world)
{
  SimModel *model = world->model;
  /* Processes end first: they still tell the judge. */
  for (guint i = 0; i < world->processes->len; i++)
    sim_world_kill (world, world->processes->pdata[i]);
  sim_judge_free (world);
  for (guint i = 0; i < SIM_NODES; i++)
    sim_disk_clear (&model->disks[i]);
  sim_world_free (world);
  g_free (model);
}

static gboolean
is_done (SimWorld *world)
{
  SimModel *model = sim_model (world);
  if (model->faults || world->now < model->calm_since + SIM_CALM_TIME
      || model->judge.steps_delivered < model->steps_wanted)
    return FALSE;
  for (guint i = 0; i < model->judge.callers->len; i++)
    if (!((SimCaller *)model->judge.callers->pdata[i])->answered)
      return FALSE;
  return TRUE;
}

static void
run_world (SimWorld *world)
{
  gint64 next_look = FAULT_TIME;
  while (sim_world_step (world))
    {
      if (world->now < next_look)
        continue;
      if (is_done (world))
        return;
      if (world->now > FAULT_TIME + SETTLE_TIME)
        sim_world_violate (world,
                           "after the faults: %" G_GUINT64_FORMAT
                           " of %u steps delivered, or a caller is not answered",
                           sim_model (world)->judge.steps_delivered, sim_model (world)->steps_wanted);
      next_look = world->now + SIM_SECOND;
    }
}

guint64
sim_run (guint64 seed, guint64 steps, SimMutation mutation, guint64 *failing_seed, char **violation)
{
  guint64 done = 0;
  *violation = NULL;
  for (guint64 current = seed; done < steps && *violation == NULL; current++)
    {
      SimWorld *world = sim_model_new (current, mutation, TRAINER_STEPS);
      run_world (world);
      done += world->steps;
      *violation = g_strdup (world->violation);
      *failing_seed = current;
      sim_model_free (world);
    }
  return done;
}
