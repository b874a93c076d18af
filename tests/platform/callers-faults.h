/*
 * callers-faults.h: what test-callers.c does to workers, fronts, replicas, the store and the networks.
 */
#pragma once

#include "call-load.h"
#include "relayed-world.h"

#define LOOKUP_MS 80
#define EVENT_EVERY_MS 40
#define LATE_EVENT_MS 300
#define CUT_STREAMS 8
/* Of answers on one connection; a stream of these workers has some 300. */
#define LIMIT_BYTES 900

typedef struct _Scene Scene;

/**
 * FaultCase:
 * @begin: makes the fault while calls are in progress
 * @end: (nullable): ends it @hold_ms later
 * @is_held: relays are held meanwhile, and must hold some connection
 * @breaks: the fault must cost some call its answer, or have it run again
 * @stops_front: calls at front 0 may hear nothing until it is over
 * @min_complete_calls: of 100 calls
 */
typedef struct
{
  const char *name;
  void (*begin) (Scene *scene);
  void (*end) (Scene *scene);
  guint hold_ms;
  gboolean is_held;
  gboolean breaks;
  gboolean stops_front;
  guint min_complete_calls;
} FaultCase;

/* One deployment, shared by the cases until one of them fails. */
struct _Scene
{
  RelayedWorld *world;
  const FaultCase *running;
  guint leader; /* struck by the running case */
  guint loads;  /* so far */
  guint revived;
  gboolean sound; /* the last case came to its end */
};

/* ---- Workers ------------------------------------------------------------ */

static void
set_faults (Scene *scene, guint plain, guint model, StandinWorkerFault fault, guint times)
{
  for (guint i = 0; i < plain; i++)
    standin_worker_set_fault (scene->world->path->plain[i], fault, times);
  for (guint i = 0; i < model; i++)
    standin_worker_set_fault (scene->world->path->model[i], fault, times);
}

static void
end_faults (Scene *scene)
{
  set_faults (scene, PATH_PLAIN, PATH_MODEL, STANDIN_WORKER_HEALTHY, 0);
}

static void
cut_streams (Scene *scene)
{
  set_faults (scene, 0, PATH_MODEL, STANDIN_WORKER_TRUNCATES, CUT_STREAMS);
}

static void
cut_lookups (Scene *scene)
{
  for (guint i = 0; i < PATH_PLAIN; i++)
    standin_worker_set_answer_delay (scene->world->path->plain[i], 0);
  set_faults (scene, PATH_PLAIN, 0, STANDIN_WORKER_TRUNCATES, CUT_STREAMS);
}

static void
reset_before_answers (Scene *scene)
{
  set_faults (scene, 1, 1, STANDIN_WORKER_RESETS, CUT_STREAMS);
}

static void
hang_one (Scene *scene)
{
  set_faults (scene, 1, 1, STANDIN_WORKER_UNRESPONSIVE, G_MAXUINT);
}

static void
refuse_at_one (Scene *scene)
{
  set_faults (scene, 1, 1, STANDIN_WORKER_REFUSES, G_MAXUINT);
}

static void
refuse_at_all (Scene *scene)
{
  set_faults (scene, PATH_PLAIN, PATH_MODEL, STANDIN_WORKER_REFUSES, G_MAXUINT);
}

static void
set_pace (Scene *scene, guint event_every_ms)
{
  for (guint i = 0; i < PATH_PLAIN; i++)
    standin_worker_set_answer_delay (scene->world->path->plain[i], LOOKUP_MS);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (scene->world->path->model[i], CALL_EVENTS, event_every_ms);
}

static void
delay_events (Scene *scene)
{
  set_pace (scene, LATE_EVENT_MS);
}

static void
kill_workers (Scene *scene)
{
  standin_worker_crash (scene->world->path->plain[0]);
  standin_worker_crash (scene->world->path->model[0]);
}

static void
revive (Scene *scene, StandinWorker *worker, const char *kind, const char *service)
{
  g_autofree char *old_key = g_strdup_printf ("servers/%s", standin_worker_get_id (worker));
  g_autofree char *id = g_strdup_printf ("%s0-%u", kind, ++scene->revived);
  g_autofree char *key = g_strdup_printf ("servers/%s", id);
  standin_worker_restart (worker, id);
  g_autofree char *entry = standin_worker_make_entry (worker, service, "ready");
  standin_store_remove (scene->world->path->store, old_key);
  standin_store_put (scene->world->path->store, key, entry);
}

static void
revive_workers (Scene *scene)
{
  revive (scene, scene->world->path->plain[0], "p", "svc");
  revive (scene, scene->world->path->model[0], "m", "llm");
}

/* ---- Networks between fronts and workers ------------------------------------ */

static void
for_each_route (Scene *scene, gboolean all, void (*set) (StandinRelay *relay, guint value), guint value)
{
  for (guint front = 0; front < PATH_FRONTS; front++)
    {
      for (guint i = 0; i < (all ? PATH_PLAIN : 1); i++)
        set (scene->world->relays[front][RELAYED_PLAIN (i)], value);
      for (guint i = 0; i < (all ? PATH_MODEL : 1); i++)
        set (scene->world->relays[front][RELAYED_MODEL (i)], value);
    }
}

static void
set_cut (StandinRelay *relay, guint cut)
{
  standin_relay_set_cut (relay, cut != 0);
}

static void
set_held (StandinRelay *relay, guint held)
{
  standin_relay_set_paused (relay, held != 0);
}

static void
set_half_closed (StandinRelay *relay, guint way)
{
  standin_relay_set_half_closed (relay, way);
}

static void
set_limit (StandinRelay *relay, guint bytes)
{
  standin_relay_set_byte_limit (relay, STANDIN_RELAY_ANSWERS, bytes);
}

static void
cut_routes (Scene *scene)
{
  for_each_route (scene, FALSE, set_cut, TRUE);
}

static void
join_routes (Scene *scene)
{
  for_each_route (scene, FALSE, set_cut, FALSE);
}

static void
hold_routes (Scene *scene)
{
  for_each_route (scene, FALSE, set_held, TRUE);
}

static void
release_routes (Scene *scene)
{
  for_each_route (scene, FALSE, set_held, FALSE);
}

static void
half_close_answers (Scene *scene)
{
  for_each_route (scene, FALSE, set_half_closed, STANDIN_RELAY_ANSWERS);
}

static void
half_close_requests (Scene *scene)
{
  for_each_route (scene, FALSE, set_half_closed, STANDIN_RELAY_REQUESTS);
}

static void
open_halves (Scene *scene)
{
  for_each_route (scene, FALSE, set_half_closed, STANDIN_RELAY_NEITHER);
}

static void
limit_routes (Scene *scene)
{
  for_each_route (scene, TRUE, set_limit, LIMIT_BYTES);
}

static void
unlimit_routes (Scene *scene)
{
  for_each_route (scene, TRUE, set_limit, 0);
}

/* ---- Processes ---------------------------------------------------------- */

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
freeze_front (Scene *scene)
{
  quince_process_suspend (scene->world->path->fronts[0]);
}

static void
thaw_front (Scene *scene)
{
  quince_process_resume (scene->world->path->fronts[0]);
}

static void
kill_leader (Scene *scene)
{
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
  relayed_set_replica_isolated (scene->world, scene->leader, TRUE);
}

static void
join_leader (Scene *scene)
{
  relayed_set_replica_isolated (scene->world, scene->leader, FALSE);
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
kill_workers_freeze_leader (Scene *scene)
{
  freeze_leader (scene);
  kill_workers (scene);
}

static void
revive_workers_thaw_leader (Scene *scene)
{
  thaw_leader (scene);
  revive_workers (scene);
}

static void
kill_front_and_leader (Scene *scene)
{
  kill_front (scene);
  kill_leader (scene);
}

static void
restart_front_and_leader (Scene *scene)
{
  restart_leader (scene);
  restart_front (scene);
}

/* ---- Cases -------------------------------------------------------------- */

static const FaultCase fault_cases[] = {
  { .name = "nothing fails", .min_complete_calls = 100 },
  { .name = "workers die and come back",
    .begin = kill_workers,
    .end = revive_workers,
    .hold_ms = 300,
    .breaks = TRUE,
    .min_complete_calls = 70 },
  { .name = "workers run it and reset",
    .begin = reset_before_answers,
    .end = end_faults,
    .hold_ms = 500,
    .breaks = TRUE,
    .min_complete_calls = 70 },
  { .name = "streams cut",
    .begin = cut_streams,
    .end = end_faults,
    .hold_ms = 500,
    .breaks = TRUE,
    .min_complete_calls = 60 },
  { .name = "answers cut",
    .begin = cut_lookups,
    .end = end_faults,
    .hold_ms = 500,
    .breaks = TRUE,
    .min_complete_calls = 60 },
  { .name = "events delayed", .begin = delay_events, .hold_ms = 600, .min_complete_calls = 100 },
  { .name = "workers' routes cut",
    .begin = cut_routes,
    .end = join_routes,
    .hold_ms = 400,
    .breaks = TRUE,
    .min_complete_calls = 70 },
  { .name = "workers' answers half-closed",
    .begin = half_close_answers,
    .end = open_halves,
    .hold_ms = 300,
    .breaks = TRUE,
    .min_complete_calls = 60 },
  { .name = "workers' requests half-closed",
    .begin = half_close_requests,
    .end = open_halves,
    .hold_ms = 300,
    .min_complete_calls = 60 },
  { .name = "workers' routes held",
    .begin = hold_routes,
    .end = release_routes,
    .hold_ms = 1500,
    .is_held = TRUE,
    .min_complete_calls = 70 },
  { .name = "connections cut after some bytes",
    .begin = limit_routes,
    .end = unlimit_routes,
    .hold_ms = 500,
    .breaks = TRUE,
    .min_complete_calls = 30 },
  { .name = "workers hang",
    .begin = hang_one,
    .end = end_faults,
    .hold_ms = 1000,
    .breaks = TRUE,
    .min_complete_calls = 60 },
  { .name = "workers refuse",
    .begin = refuse_at_one,
    .end = end_faults,
    .hold_ms = 500,
    .min_complete_calls = 70 },
  { .name = "all workers refuse",
    .begin = refuse_at_all,
    .end = end_faults,
    .hold_ms = 500,
    .min_complete_calls = 30 },
  { .name = "front killed and started again",
    .begin = kill_front,
    .end = restart_front,
    .hold_ms = 300,
    .breaks = TRUE,
    .stops_front = TRUE,
    .min_complete_calls = 40 },
  { .name = "front frozen for three seconds",
    .begin = freeze_front,
    .end = thaw_front,
    .hold_ms = 3000,
    .stops_front = TRUE,
    .min_complete_calls = 40 },
  { .name = "leader killed",
    .begin = kill_leader,
    .end = restart_leader,
    .hold_ms = 800,
    .min_complete_calls = 100 },
  { .name = "leader frozen for three seconds",
    .begin = freeze_leader,
    .end = thaw_leader,
    .hold_ms = 3000,
    .min_complete_calls = 100 },
  { .name = "leader cut from all others",
    .begin = cut_leader,
    .end = join_leader,
    .hold_ms = 1500,
    .is_held = TRUE,
    .min_complete_calls = 100 },
  { .name = "store down",
    .begin = stop_store,
    .end = resume_store,
    .hold_ms = 1000,
    .min_complete_calls = 100 },
  { .name = "workers die, leader frozen",
    .begin = kill_workers_freeze_leader,
    .end = revive_workers_thaw_leader,
    .hold_ms = 3000,
    .breaks = TRUE,
    .min_complete_calls = 50 },
  { .name = "front and leader killed",
    .begin = kill_front_and_leader,
    .end = restart_front_and_leader,
    .hold_ms = 500,
    .breaks = TRUE,
    .stops_front = TRUE,
    .min_complete_calls = 30 },
};
