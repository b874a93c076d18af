/*
 * steps-faults.h: faults that test-steps.c injects into workers, fronts, replicas, disks, the store and
 * connections.
 */
#pragma once

#include "steps.h"

#define FAILED_SWAPS_PER_WORKER 2
#define WRONG_VERSION 9999       /* never published */
#define REQUEST_LIMIT_BYTES 600  /* less than a submit request */
#define RESPONSE_LIMIT_BYTES 900 /* more than a response to a submit, less than complete results */
#define RELAY_FAULT_MS 1200
#define REPLICATION_SETTLE_MS 2500 /* the replicas hold all records before the next disk is lost */

typedef struct _Scene Scene;

/**
 * FaultCase:
 * @at_start: inject the fault before the first step is submitted
 * @repeats: the trainer must have retried a call
 * @wrong: a sample must name WRONG_VERSION
 * @begin: (nullable): injects the fault
 * @end: (nullable): ends the fault @hold_ms later
 * @recover: (nullable): called after the training
 */
typedef struct
{
  const char *name;
  gboolean at_start;
  gboolean repeats;
  gboolean wrong;
  void (*begin) (Scene *scene);
  void (*end) (Scene *scene);
  void (*recover) (Scene *scene);
  guint hold_ms;
} FaultCase;

struct _Scene
{
  RelayedWorld *world;
  Trainer trainer;
  guint leader;      /* index of the replica that led when the fault began */
  guint relay_timer; /* ends the fault of the trainer's relays; 0: none */
};

/* ---- Weights ------------------------------------------------------------ */

static void
fail_swaps (Scene *scene, guint64 version)
{
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_fail_loads (scene->world->path->model[i], version, FAILED_SWAPS_PER_WORKER);
}

static void
fail_swaps_keeping_version (Scene *scene)
{
  fail_swaps (scene, 0);
}

static void
fail_swaps_to_wrong_version (Scene *scene)
{
  fail_swaps (scene, WRONG_VERSION);
}

static void
assert_swaps_failed (Scene *scene)
{
  for (guint i = 0; i < PATH_MODEL; i++)
    assert_true (standin_worker_get_n_failed_loads (scene->world->path->model[i]) > 0);
}

/* ---- Workers ------------------------------------------------------------ */

static void
kill_workers (Scene *scene)
{
  standin_worker_crash (scene->world->path->plain[0]);
  standin_worker_crash (scene->world->path->model[0]);
}

static void
revive (Scene *scene, StandinWorker *worker, const char *id, const char *service)
{
  g_autofree char *old_key = g_strdup_printf ("servers/%s", standin_worker_get_id (worker));
  g_autofree char *key = g_strdup_printf ("servers/%s", id);
  standin_worker_restart (worker, id);
  g_autofree char *entry = standin_worker_make_entry (worker, service, "ready");
  standin_store_remove (scene->world->path->store, old_key);
  standin_store_put (scene->world->path->store, key, entry);
}

static void
revive_workers (Scene *scene)
{
  revive (scene, scene->world->path->plain[0], "p0-2", "svc");
  revive (scene, scene->world->path->model[0], "m0-2", "llm");
}

/* ---- Processes ---------------------------------------------------------- */

static void
find_leader (Scene *scene)
{
  scene->leader = (guint)path_find_leader (scene->world->path);
}

static guint
get_follower (const Scene *scene)
{
  return (scene->leader + 1) % PATH_REPLICAS;
}

static void
kill_leader (Scene *scene)
{
  find_leader (scene);
  quince_process_kill (scene->world->path->replicas[scene->leader]);
}

static void
restart_leader (Scene *scene)
{
  relayed_start_process (scene->world, RELAYED_REPLICA_PROCESS (scene->leader));
}

static void
freeze_leader (Scene *scene)
{
  find_leader (scene);
  quince_process_suspend (scene->world->path->replicas[scene->leader]);
}

static void
thaw_leader (Scene *scene)
{
  quince_process_resume (scene->world->path->replicas[scene->leader]);
}

static void
cut_leader (Scene *scene)
{
  find_leader (scene);
  relayed_set_replica_isolated (scene->world, scene->leader, TRUE);
}

static void
join_leader (Scene *scene)
{
  assert_true (relayed_count_paused_connections (scene->world) > 0);
  relayed_set_replica_isolated (scene->world, scene->leader, FALSE);
}

static void
kill_front (Scene *scene)
{
  quince_process_kill (scene->world->path->fronts[0]);
}

static void
restart_front (Scene *scene)
{
  relayed_start_process (scene->world, 0);
}

static void
freeze_leader_kill_front (Scene *scene)
{
  freeze_leader (scene);
  kill_front (scene);
}

static void
thaw_leader_restart_front (Scene *scene)
{
  thaw_leader (scene);
  restart_front (scene);
}

static void
stop_store (Scene *scene)
{
  standin_store_set_fault (scene->world->path->store, STANDIN_STORE_UNAVAILABLE);
  standin_store_close_connections (scene->world->path->store);
}

static void
resume_store (Scene *scene)
{
  standin_store_set_fault (scene->world->path->store, STANDIN_STORE_HEALTHY);
}

static void
stop_store_kill_leader (Scene *scene)
{
  stop_store (scene);
  kill_leader (scene);
}

static void
restart_leader_resume_store (Scene *scene)
{
  restart_leader (scene);
  resume_store (scene);
}

/* ---- Disks -------------------------------------------------------------- */

/* Kills @replica and restarts it with an empty disk. */
static void
lose_disk (Scene *scene, guint replica)
{
  quince_process_kill (scene->world->path->replicas[replica]);
  path_delete_replica_data (scene->world->path, replica);
  relayed_start_process (scene->world, RELAYED_REPLICA_PROCESS (replica));
}

static void
lose_disk_of_leader (Scene *scene)
{
  find_leader (scene);
  lose_disk (scene, scene->leader);
}

static void
lose_disk_of_follower (Scene *scene)
{
  find_leader (scene);
  lose_disk (scene, get_follower (scene));
}

/* Loses the disk of the current leader. */
static void
lose_another_disk (Scene *scene)
{
  run_for (REPLICATION_SETTLE_MS);
  lose_disk_of_leader (scene);
}

static void
lose_disk_of_follower_kill_workers (Scene *scene)
{
  lose_disk_of_follower (scene);
  kill_workers (scene);
}

/* ---- The trainer's connections ---------------------------------------------- */

static void
set_relay_faults (Scene *scene, StandinRelayDirection limited, guint limit, StandinRelayDirection half_closed)
{
  for (guint i = 0; i < PATH_FRONTS; i++)
    {
      standin_relay_set_byte_limit (scene->trainer.front_relays[i], limited, limit);
      standin_relay_set_half_closed (scene->trainer.front_relays[i], half_closed);
    }
}

static gboolean
clear_relay_faults (gpointer data)
{
  Scene *scene = data;
  scene->relay_timer = 0;
  set_relay_faults (scene, STANDIN_RELAY_NEITHER, 0, STANDIN_RELAY_NEITHER);
  return G_SOURCE_REMOVE;
}

/* Ends the fault after RELAY_FAULT_MS by a timer, since the trainer blocks in its calls meanwhile. */
static void
inject_relay_faults (Scene *scene,
                     StandinRelayDirection limited,
                     guint limit,
                     StandinRelayDirection half_closed)
{
  if (scene->trainer.front_relays[0] == NULL)
    trainer_open_relays (&scene->trainer);
  set_relay_faults (scene, limited, limit, half_closed);
  scene->relay_timer = g_timeout_add (RELAY_FAULT_MS, clear_relay_faults, scene);
}

static void
truncate_requests (Scene *scene)
{
  inject_relay_faults (scene, STANDIN_RELAY_REQUESTS, REQUEST_LIMIT_BYTES, STANDIN_RELAY_NEITHER);
}

static void
truncate_responses (Scene *scene)
{
  inject_relay_faults (scene, STANDIN_RELAY_ANSWERS, RESPONSE_LIMIT_BYTES, STANDIN_RELAY_NEITHER);
}

static void
drop_responses (Scene *scene)
{
  inject_relay_faults (scene, STANDIN_RELAY_NEITHER, 0, STANDIN_RELAY_ANSWERS);
}

/* ---- Cases -------------------------------------------------------------- */

static const FaultCase fault_cases[] = {
  { .name = "no fault" },
  { .name = "swaps keep the old version",
    .at_start = TRUE,
    .begin = fail_swaps_keeping_version,
    .recover = assert_swaps_failed },
  { .name = "swaps load a wrong version",
    .begin = fail_swaps_to_wrong_version,
    .recover = assert_swaps_failed,
    .wrong = TRUE },
  { .name = "workers killed and restarted", .begin = kill_workers, .end = revive_workers, .hold_ms = 500 },
  { .name = "leader killed", .begin = kill_leader, .end = restart_leader, .hold_ms = 1000 },
  { .name = "leader frozen for three seconds", .begin = freeze_leader, .end = thaw_leader, .hold_ms = 3000 },
  { .name = "leader partitioned", .begin = cut_leader, .end = join_leader, .hold_ms = 1500 },
  { .name = "leader's disk lost, then the new leader's",
    .begin = lose_disk_of_leader,
    .end = lose_another_disk,
    .hold_ms = 300 },
  { .name = "follower's disk lost, then the leader's",
    .begin = lose_disk_of_follower,
    .end = lose_another_disk,
    .hold_ms = 300 },
  { .name = "front killed and restarted", .begin = kill_front, .end = restart_front, .hold_ms = 300 },
  { .name = "submit request truncated", .at_start = TRUE, .repeats = TRUE, .begin = truncate_requests },
  { .name = "submit response lost", .at_start = TRUE, .repeats = TRUE, .begin = drop_responses },
  { .name = "results truncated", .repeats = TRUE, .begin = truncate_responses },
  { .name = "results lost", .repeats = TRUE, .begin = drop_responses },
  { .name = "store down, leader killed",
    .begin = stop_store_kill_leader,
    .end = restart_leader_resume_store,
    .hold_ms = 3000 },
  { .name = "leader frozen, front killed",
    .begin = freeze_leader_kill_front,
    .end = thaw_leader_restart_front,
    .hold_ms = 2500 },
  { .name = "follower's disk lost, workers killed",
    .begin = lose_disk_of_follower_kill_workers,
    .end = revive_workers,
    .hold_ms = 500 },
};
