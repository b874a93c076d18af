/*
 * power-loss-world.h: a deployment of thirteen replicas in three zones that tolerates the loss of two, with
 * steps of trainers and seeded faults.
 */
#pragma once

#define PATH_FRONTS 6
#define PATH_REPLICAS 13
#define PATH_PLAIN 3
#define PATH_MODEL 6

#include "protocol/codec.h"

#include "path-world.h"

#include "core/group/ledger-view.h"

#define POWER_ZONES 3
#define POWER_LOSSES 2
#define POWER_MEMBERS 5
#define POWER_BATCHES 12
#define POWER_ITEMS 8
#define POWER_EVENTS 12
#define POWER_EVENT_INTERVAL_MS 40

typedef struct
{
  PathAnswer answer;
  gboolean started;
  gboolean accepted;
  gboolean ended; /* its end was asked for */
} PowerBatch;

typedef struct
{
  PathWorld *path;
  GRand *random;
  PowerBatch batches[POWER_BATCHES];
  guint submitted;
  guint64 version;
  guint disks_lost;
  gboolean suspended[PATH_REPLICAS];
  char *retired_key; /* NULL: no machine is being emptied */
} PowerWorld;

static const char *const power_zones[POWER_ZONES] = { "z1", "z2", "z3" };

/* Returns a random number from @from to @to - 1. */
static inline guint
power_draw (PowerWorld *world, guint from, guint to)
{
  return (guint)g_rand_int_range (world->random, (gint32)from, (gint32)to);
}

/* Returns: (transfer full) (nullable): the view in the store */
static inline QuinceLedgerView *
power_read_view (const PowerWorld *world)
{
  g_autoptr (GBytes) bytes = standin_store_get_bytes (world->path->store, "quinceroute/ledger");
  if (bytes == NULL)
    return NULL;
  gsize length;
  gconstpointer data = g_bytes_get_data (bytes, &length);
  return quince_ledger_view_decode (data, length, NULL);
}

static inline guint
power_count_members (const PowerWorld *world)
{
  QuinceLedgerView *view = power_read_view (world);
  guint members = view != NULL ? view->members.members_len : 0;
  g_clear_pointer (&view, quince_ledger_view_free);
  return members;
}

static inline guint
power_replica_of (const QuinceLedgerMember *member)
{
  return (guint)g_ascii_strtoull (member->node + strlen ("replica-"), NULL, 10);
}

static inline PowerWorld *
power_world_new (guint32 seed)
{
  PowerWorld *world = g_new0 (PowerWorld, 1);
  g_autofree char *name = g_strdup_printf ("power-%u", seed);
  world->random = g_rand_new_with_seed (seed);
  world->version = 1;
  world->path = path_world_new (name);
  world->path->losses = "losses=2";
  world->path->zones = "z1=r,z2=r,z3=r";
  for (guint i = 0; i < PATH_FRONTS; i++)
    world->path->front_zones[i] = power_zones[i % POWER_ZONES];
  for (guint i = 0; i < PATH_REPLICAS; i++)
    world->path->replica_zones[i] = power_zones[i % POWER_ZONES];
  for (guint i = 0; i < PATH_PLAIN; i++)
    standin_worker_set_zone (world->path->plain[i], power_zones[i % POWER_ZONES]);
  for (guint i = 0; i < PATH_MODEL; i++)
    {
      standin_worker_set_zone (world->path->model[i], power_zones[i % POWER_ZONES]);
      standin_worker_set_events (world->path->model[i], POWER_EVENTS, POWER_EVENT_INTERVAL_MS);
    }
  path_reserve_links (world->path);
  return world;
}

static inline void
power_world_start (PowerWorld *world)
{
  PathWorld *path = world->path;
  path_configure (path, 7);
  path_register_workers (path);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    path_start_replica (path, i);
  for (guint i = 0; i < PATH_FRONTS; i++)
    path_start_front (path, i);
  path->bootstrapped = TRUE;
  AWAIT (power_count_members (world) == POWER_MEMBERS);
  for (guint i = 0; i < PATH_FRONTS; i++)
    AWAIT (path_status (path_front (path, i), "GET", "/quinceroute/lots/none", "q", NULL) == 404);
}

static inline void
power_world_free (PowerWorld *world)
{
  for (guint i = 0; i < POWER_BATCHES; i++)
    path_answer_clear (&world->batches[i].answer);
  g_rand_free (world->random);
  g_free (world->retired_key);
  path_world_free (world->path);
  g_free (world);
}

/* ---- Work ------------------------------------------------------------------- */

static inline void
power_submit (PowerWorld *world)
{
  if (world->submitted == POWER_BATCHES)
    return;
  guint number = world->submitted++;
  g_autofree char *id = g_strdup_printf ("b%u", number);
  g_autofree char *text = path_make_batch (id, POWER_ITEMS);
  PowerBatch *batch = &world->batches[number];
  batch->started = TRUE;
  path_start_call (path_front (world->path, power_draw (world, 0, PATH_FRONTS)), "POST", "/r/batch", id, text,
                   &batch->answer);
}

/* Returns whether all submissions were answered, and notes which were accepted. */
static inline gboolean
power_record_accepted (PowerWorld *world)
{
  gboolean all = TRUE;
  for (guint i = 0; i < POWER_BATCHES; i++)
    {
      PowerBatch *batch = &world->batches[i];
      batch->accepted = batch->accepted || (batch->answer.done && batch->answer.status == 202);
      all = all && (!batch->started || batch->answer.done);
    }
  return all;
}

static inline void
power_publish_version (PowerWorld *world)
{
  g_autofree char *text
      = g_strdup_printf ("{\"model\":\"model-a\",\"version\":%" G_GUINT64_FORMAT "}", ++world->version);
  standin_store_put (world->path->store, "op/version/model-a", text);
}

/* ---- Faults ----------------------------------------------------------------- */

static inline void
power_resume_all (PowerWorld *world)
{
  for (guint i = 0; i < PATH_REPLICAS; i++)
    if (world->suspended[i])
      quince_process_resume (world->path->replicas[i]);
  memset (world->suspended, 0, sizeof world->suspended);
}

static inline void
power_suspend (PowerWorld *world, guint replica)
{
  quince_process_suspend (world->path->replicas[replica]);
  world->suspended[replica] = TRUE;
}

/* Asks for @replica to be emptied; G_MAXUINT: for none any more. */
static inline void
power_retire (PowerWorld *world, guint replica)
{
  if (world->retired_key != NULL)
    standin_store_remove (world->path->store, world->retired_key);
  g_clear_pointer (&world->retired_key, g_free);
  if (replica == G_MAXUINT)
    return;
  world->retired_key = g_strdup_printf ("op/retire/replica-%u", replica);
  standin_store_put (world->path->store, world->retired_key, "{\"durationS\":10}");
}

static inline void
power_set_random_store_fault (PowerWorld *world)
{
  static const StandinStoreFault faults[]
      = { STANDIN_STORE_UNRESPONSIVE,        STANDIN_STORE_UNAVAILABLE,
          STANDIN_STORE_CLOSES_CONNECTIONS,  STANDIN_STORE_DROPS_WRITE_ANSWERS,
          STANDIN_STORE_DROPS_WRITE_ANSWERS, STANDIN_STORE_DROPS_WRITE_ANSWERS_FAILS_READS,
          STANDIN_STORE_FAILS_OWN_PREFIX };
  standin_store_set_fault (world->path->store, faults[power_draw (world, 0, G_N_ELEMENTS (faults))]);
  standin_store_set_watch_delay (world->path->store, power_draw (world, 0, 1500));
}

static inline void
power_heal_store (PowerWorld *world)
{
  standin_store_set_fault (world->path->store, STANDIN_STORE_HEALTHY);
  standin_store_set_watch_delay (world->path->store, 0);
}

/* Returns the replica that leads, by the view in the store. */
static inline guint
power_get_leader (PowerWorld *world)
{
  QuinceLedgerView *view = power_read_view (world);
  guint leader = 0;
  for (guint i = 0; i < view->members.members_len; i++)
    if (view->members.members_val[i].replica == view->primary)
      leader = power_replica_of (&view->members.members_val[i]);
  quince_ledger_view_free (view);
  return leader;
}

static inline guint
power_draw_member (PowerWorld *world)
{
  QuinceLedgerView *view = power_read_view (world);
  guint member
      = power_replica_of (&view->members.members_val[power_draw (world, 0, view->members.members_len)]);
  quince_ledger_view_free (view);
  return member;
}

/* Returns a replica: the leader, a member, or any. */
static inline guint
power_draw_replica (PowerWorld *world)
{
  guint kind = power_draw (world, 0, 3);
  if (kind == 0)
    return power_get_leader (world);
  return kind == 1 ? power_draw_member (world) : power_draw (world, 0, PATH_REPLICAS);
}

static inline void
power_kill_replicas (PowerWorld *world)
{
  power_resume_all (world);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    quince_process_kill (world->path->replicas[i]);
}

static inline void
power_kill_fronts (PowerWorld *world)
{
  for (guint i = 0; i < PATH_FRONTS; i++)
    quince_process_kill (world->path->fronts[i]);
}

/* Deletes the disks of up to @count members while no replica runs. */
static inline void
power_delete_disks (PowerWorld *world, guint count)
{
  QuinceLedgerView *view = power_read_view (world);
  guint members = view->members.members_len;
  guint first = power_draw (world, 0, members);
  for (guint i = 0; i < MIN (count, members); i++)
    path_delete_replica_data (world->path,
                              power_replica_of (&view->members.members_val[(first + i) % members]));
  world->disks_lost = count;
  quince_ledger_view_free (view);
}

/* Starts all replicas in a random order. */
static inline void
power_start_replicas (PowerWorld *world)
{
  guint order[PATH_REPLICAS];
  for (guint i = 0; i < PATH_REPLICAS; i++)
    order[i] = i;
  for (guint i = PATH_REPLICAS - 1; i > 0; i--)
    {
      guint j = power_draw (world, 0, i + 1);
      guint replica = order[i];
      order[i] = order[j];
      order[j] = replica;
    }
  for (guint i = 0; i < PATH_REPLICAS; i++)
    {
      path_start_replica (world->path, order[i]);
      run_for (power_draw (world, 0, 150));
    }
}
