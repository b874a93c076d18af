/*
 * callers-faults.h: the faults that test-callers.c injects into workers, processes, the store and the
 * network.
 */
#pragma once

#include "call-load.h"
#include "relayed-world.h"

#define LOOKUP_MS 80
#define EVENT_INTERVAL_MS 40
#define SLOW_EVENT_INTERVAL_MS 300
#define FAULTY_ANSWERS 8
/* Answer bytes on one connection before it is closed; one stream has about 300. */
#define CONNECTION_LIMIT_BYTES 900

typedef struct _Scene Scene;

/**
 * FaultCase:
 * @begin: (nullable): injects the fault while calls are in flight
 * @end: (nullable): ends the fault, @duration_ms after @begin
 * @pauses_relays: the fault pauses relays, and must affect at least one connection
 * @must_break_calls: at least one call must fail, be cut off or run more than once
 * @stops_front: calls at front 0 may exceed their deadline, so deadlines are not checked
 * @min_complete_calls: minimum of calls with a complete answer, in percent
 */
typedef struct
{
  const char *name;
  void (*begin) (Scene *scene);
  void (*end) (Scene *scene);
  guint duration_ms;
  gboolean pauses_relays;
  gboolean must_break_calls;
  gboolean stops_front;
  guint min_complete_calls;
} FaultCase;

/* One deployment, shared by all cases; a failed case causes a new one to be created. */
struct _Scene
{
  RelayedWorld *world;
  const FaultCase *running;
  guint leader; /* replica that led when the case started */
  guint loads;  /* created so far */
  guint restarts;
  gboolean last_case_passed;
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
truncate_streams (Scene *scene)
{
  set_faults (scene, 0, PATH_MODEL, STANDIN_WORKER_TRUNCATES, FAULTY_ANSWERS);
}

static void
truncate_lookups (Scene *scene)
{
  for (guint i = 0; i < PATH_PLAIN; i++)
    standin_worker_set_answer_delay (scene->world->path->plain[i], 0);
  set_faults (scene, PATH_PLAIN, 0, STANDIN_WORKER_TRUNCATES, FAULTY_ANSWERS);
}

static void
reset_before_answers (Scene *scene)
{
  set_faults (scene, 1, 1, STANDIN_WORKER_RESETS, FAULTY_ANSWERS);
}

static void
hang_workers (Scene *scene)
{
  set_faults (scene, 1, 1, STANDIN_WORKER_UNRESPONSIVE, G_MAXUINT);
}

static void
refuse_at_one_of_each (Scene *scene)
{
  set_faults (scene, 1, 1, STANDIN_WORKER_REFUSES, G_MAXUINT);
}

static void
refuse_at_all (Scene *scene)
{
  set_faults (scene, PATH_PLAIN, PATH_MODEL, STANDIN_WORKER_REFUSES, G_MAXUINT);
}

static void
set_pace (Scene *scene, guint event_interval_ms)
{
  for (guint i = 0; i < PATH_PLAIN; i++)
    standin_worker_set_answer_delay (scene->world->path->plain[i], LOOKUP_MS);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (scene->world->path->model[i], CALL_EVENTS, event_interval_ms);
}

static void
delay_events (Scene *scene)
{
  set_pace (scene, SLOW_EVENT_INTERVAL_MS);
}

static void
kill_workers (Scene *scene)
{
  standin_worker_crash (scene->world->path->plain[0]);
  standin_worker_crash (scene->world->path->model[0]);
}

static void
restart_worker (Scene *scene, StandinWorker *worker, const char *kind, const char *service)
{
  g_autofree char *old_key = g_strdup_printf ("servers/%s", standin_worker_get_id (worker));
  g_autofree char *id = g_strdup_printf ("%s0-%u", kind, ++scene->restarts);
  g_autofree char *key = g_strdup_printf ("servers/%s", id);
  standin_worker_restart (worker, id);
  g_autofree char *entry = standin_worker_make_entry (worker, service, "ready");
  standin_store_remove (scene->world->path->store, old_key);
  standin_store_put (scene->world->path->store, key, entry);
}

static void
restart_workers (Scene *scene)
{
  restart_worker (scene, scene->world->path->plain[0], "p", "svc");
  restart_worker (scene, scene->world->path->model[0], "m", "llm");
}

/* ---- Network between fronts and workers ----------------------------------- */

static void
for_each_worker_relay (Scene *scene,
                       gboolean all,
                       void (*set) (StandinRelay *relay, guint value),
                       guint value)
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
set_paused (StandinRelay *relay, guint paused)
{
  standin_relay_set_paused (relay, paused != 0);
}

static void
set_half_closed (StandinRelay *relay, guint direction)
{
  standin_relay_set_half_closed (relay, direction);
}

static void
set_limit (StandinRelay *relay, guint bytes)
{
  standin_relay_set_byte_limit (relay, STANDIN_RELAY_ANSWERS, bytes);
}

static void
cut_routes (Scene *scene)
{
  for_each_worker_relay (scene, FALSE, set_cut, TRUE);
}

static void
restore_routes (Scene *scene)
{
  for_each_worker_relay (scene, FALSE, set_cut, FALSE);
}

static void
pause_routes (Scene *scene)
{
  for_each_worker_relay (scene, FALSE, set_paused, TRUE);
}

static void
resume_routes (Scene *scene)
{
  for_each_worker_relay (scene, FALSE, set_paused, FALSE);
}

static void
half_close_answers (Scene *scene)
{
  for_each_worker_relay (scene, FALSE, set_half_closed, STANDIN_RELAY_ANSWERS);
}

static void
half_close_requests (Scene *scene)
{
  for_each_worker_relay (scene, FALSE, set_half_closed, STANDIN_RELAY_REQUESTS);
}

static void
clear_half_closed (Scene *scene)
{
  for_each_worker_relay (scene, FALSE, set_half_closed, STANDIN_RELAY_NEITHER);
}

static void
set_route_limits (Scene *scene)
{
  for_each_worker_relay (scene, TRUE, set_limit, CONNECTION_LIMIT_BYTES);
}

static void
clear_route_limits (Scene *scene)
{
  for_each_worker_relay (scene, TRUE, set_limit, 0);
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
suspend_front (Scene *scene)
{
  quince_process_suspend (scene->world->path->fronts[0]);
}

static void
resume_front (Scene *scene)
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
suspend_leader (Scene *scene)
{
  quince_process_suspend (scene->world->path->replicas[scene->leader]);
}

static void
resume_leader (Scene *scene)
{
  quince_process_resume (scene->world->path->replicas[scene->leader]);
}

static void
isolate_leader (Scene *scene)
{
  relayed_set_replica_isolated (scene->world, scene->leader, TRUE);
}

static void
reconnect_leader (Scene *scene)
{
  relayed_set_replica_isolated (scene->world, scene->leader, FALSE);
}

static void
make_store_unavailable (Scene *scene)
{
  standin_store_set_fault (scene->world->path->store, STANDIN_STORE_UNAVAILABLE);
  standin_store_close_connections (scene->world->path->store);
}

static void
restore_store (Scene *scene)
{
  standin_store_set_fault (scene->world->path->store, STANDIN_STORE_HEALTHY);
}

static void
kill_workers_suspend_leader (Scene *scene)
{
  suspend_leader (scene);
  kill_workers (scene);
}

static void
restart_workers_resume_leader (Scene *scene)
{
  resume_leader (scene);
  restart_workers (scene);
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
  { .name = "no fault", .min_complete_calls = 100 },
  { .name = "workers crash and restart",
    .begin = kill_workers,
    .end = restart_workers,
    .duration_ms = 300,
    .must_break_calls = TRUE,
    .min_complete_calls = 70 },
  { .name = "workers run the request and reset the connection",
    .begin = reset_before_answers,
    .end = end_faults,
    .duration_ms = 500,
    .must_break_calls = TRUE,
    .min_complete_calls = 70 },
  { .name = "streams truncated",
    .begin = truncate_streams,
    .end = end_faults,
    .duration_ms = 500,
    .must_break_calls = TRUE,
    .min_complete_calls = 60 },
  { .name = "lookup answers truncated",
    .begin = truncate_lookups,
    .end = end_faults,
    .duration_ms = 500,
    .must_break_calls = TRUE,
    .min_complete_calls = 60 },
  { .name = "events delayed", .begin = delay_events, .duration_ms = 600, .min_complete_calls = 100 },
  { .name = "connections to workers closed",
    .begin = cut_routes,
    .end = restore_routes,
    .duration_ms = 400,
    .must_break_calls = TRUE,
    .min_complete_calls = 70 },
  { .name = "answers of workers half-closed",
    .begin = half_close_answers,
    .end = clear_half_closed,
    .duration_ms = 300,
    .must_break_calls = TRUE,
    .min_complete_calls = 60 },
  { .name = "requests to workers half-closed",
    .begin = half_close_requests,
    .end = clear_half_closed,
    .duration_ms = 300,
    .min_complete_calls = 60 },
  { .name = "network to workers partitioned",
    .begin = pause_routes,
    .end = resume_routes,
    .duration_ms = 1500,
    .pauses_relays = TRUE,
    .min_complete_calls = 70 },
  { .name = "connections closed after a byte limit",
    .begin = set_route_limits,
    .end = clear_route_limits,
    .duration_ms = 500,
    .must_break_calls = TRUE,
    .min_complete_calls = 30 },
  { .name = "workers do not answer",
    .begin = hang_workers,
    .end = end_faults,
    .duration_ms = 1000,
    .must_break_calls = TRUE,
    .min_complete_calls = 60 },
  { .name = "workers refuse requests",
    .begin = refuse_at_one_of_each,
    .end = end_faults,
    .duration_ms = 500,
    .min_complete_calls = 70 },
  { .name = "all workers refuse requests",
    .begin = refuse_at_all,
    .end = end_faults,
    .duration_ms = 500,
    .min_complete_calls = 30 },
  { .name = "front killed and restarted",
    .begin = kill_front,
    .end = restart_front,
    .duration_ms = 300,
    .must_break_calls = TRUE,
    .stops_front = TRUE,
    .min_complete_calls = 40 },
  { .name = "front suspended for three seconds",
    .begin = suspend_front,
    .end = resume_front,
    .duration_ms = 3000,
    .stops_front = TRUE,
    .min_complete_calls = 40 },
  { .name = "leader killed",
    .begin = kill_leader,
    .end = restart_leader,
    .duration_ms = 800,
    .min_complete_calls = 100 },
  { .name = "leader suspended for three seconds",
    .begin = suspend_leader,
    .end = resume_leader,
    .duration_ms = 3000,
    .min_complete_calls = 100 },
  { .name = "leader partitioned from all others",
    .begin = isolate_leader,
    .end = reconnect_leader,
    .duration_ms = 1500,
    .pauses_relays = TRUE,
    .min_complete_calls = 100 },
  { .name = "store unavailable",
    .begin = make_store_unavailable,
    .end = restore_store,
    .duration_ms = 1000,
    .min_complete_calls = 100 },
  { .name = "workers crash, leader suspended",
    .begin = kill_workers_suspend_leader,
    .end = restart_workers_resume_leader,
    .duration_ms = 3000,
    .must_break_calls = TRUE,
    .min_complete_calls = 50 },
  { .name = "front and leader killed",
    .begin = kill_front_and_leader,
    .end = restart_front_and_leader,
    .duration_ms = 500,
    .must_break_calls = TRUE,
    .stops_front = TRUE,
    .min_complete_calls = 30 },
};
