/*
 * attempt-scene.h: replays load on the workers of one service without a network, in steps of 1 ms: fronts
 * send lookups, a leader sends reward calls, each with its own measurements and attempt budget.
 *
 * With @budgeted false, the rules of services with one latency target apply: hedge delays from the response
 * times over all routes, and no budget.
 */
#pragma once

#include "core/decisions/attempt-budget.h"
#include "core/decisions/hedge.h"
#include "core/routing/worker-response.h"

/* A route of the replay; times in ms. */
typedef struct
{
  const char *name;
  guint work_ms;
  guint target_ms;
  guint deadline_ms;
  double per_second; /* requests of all processes together */
} SceneRoute;

typedef struct
{
  guint n_workers;
  guint slots;
  gboolean sheds; /* a full worker refuses; otherwise requests wait there */
  guint n_fronts; /* process 0 is the leader, and sends lookups too if there are no fronts */
  SceneRoute lookup;
  SceneRoute reward;
  guint n_slow;        /* workers that are slow at times */
  double slow_factor;  /* of their work */
  guint slow_ms;       /* slow for this long in each 10 s */
  gboolean in_bursts;  /* three quarters of the reward calls come in one second of four */
  guint burst_lookups; /* additional lookups in second 5, of a third of the fronts */
  double lost_share;   /* of the attempts whose connection breaks after the work */
  double silent_share; /* of the attempts that never get an answer */
  gboolean budgeted;
} Scene;

typedef struct
{
  guint firsts;   /* requests */
  guint arrivals; /* attempts that workers ran */
  guint retries;  /* of them, attempts after a failed one */
  guint failed;   /* requests without an answer */
  guint lookups;
  guint late_lookups; /* answered after their target, or not at all */
  guint late_rewards; /* answered after their target, or not at all */
  guint denied;       /* requests with a denied hedge */
} SceneResult;

#define MS 1000
#define REPLAY_MS 40000
#define TRANSIT_MS 4
#define MAX_ATTEMPTS 4
#define DENIED_CHECK_US (50 * MS)

typedef struct
{
  QuinceWorker **workers; /* as this process measures them */
  QuinceAttemptBudget *budget;
  guint rotation;
} Process;

typedef struct
{
  guint worker;
  gint64 started_us;
  gint64 work_us;   /* left; counts down only while it has a slot */
  gboolean runs;    /* has a slot */
  gint64 answer_us; /* 0: not known yet */
  gboolean refused, lost, silent;
  gboolean took_token;
} Attempt;

typedef struct
{
  Process *process;
  const SceneRoute *route;
  gint64 started_us, timer_us; /* timer_us 0: not set */
  GArray *in_flight;           /* Attempt; the oldest first */
  guint tried;                 /* bits of workers */
  guint retries, refused;
  gboolean is_reward, is_sent, is_late, is_denied;
  QuinceRetryState retry;
} Request;

typedef struct
{
  const Scene *scene;
  GRand *random;
  Process *processes;
  guint n_processes;
  guint *busy; /* requests at each worker */
  GPtrArray *requests;
  gint64 now_us;
  SceneResult result;
} Replay;

static double
get_factor (const Replay *replay, guint worker)
{
  const Scene *scene = replay->scene;
  gint64 phase_ms = replay->now_us / MS % 10000;
  return worker < scene->n_slow && phase_ms >= 2000 && phase_ms < 2000 + scene->slow_ms ? scene->slow_factor
                                                                                        : 1.0;
}

static double
get_load (const Replay *replay, const QuinceWorker *worker)
{
  return replay->scene->budgeted ? quince_worker_get_expected_load (worker, replay->now_us)
                                 : (double)worker->running / worker->slots;
}

static gint
choose (Replay *replay, Request *request)
{
  gint best = -1;
  Process *process = request->process;
  guint n = replay->scene->n_workers;
  guint start = process->rotation++;
  for (guint pass = 0; pass < 2 && best < 0; pass++)
    for (guint i = 0; i < n; i++)
      {
        guint at = (start + i) % n;
        const QuinceWorker *worker = process->workers[at];
        gboolean usable
            = (request->tried & (1u << at)) == 0 && (pass > 0 || worker->ejected_until_us <= replay->now_us);
        if (usable && (best < 0 || get_load (replay, worker) < get_load (replay, process->workers[best])))
          best = (gint)at;
      }
  return best;
}

static gint64
get_hedge_delay_us (const Replay *replay, const Request *request, const QuinceWorker *worker)
{
  gint64 target_us = (gint64)request->route->target_ms * MS;
  if (!replay->scene->budgeted)
    return quince_hedge_delay_us (target_us, worker->service_time_us);
  const char *name = request->route->name;
  const QuinceRouteTimes *times = quince_attempt_budget_get_times (request->process->budget);
  return quince_hedge_route_delay_us (target_us,
                                      quince_route_times_get_smoothed_us (worker->route_times, name),
                                      quince_route_times_get_usual_us (times, name));
}

static gboolean
take_token (Replay *replay, Request *request, gboolean is_hedge)
{
  gboolean is_first = !request->is_sent;
  request->is_sent = TRUE;
  request->is_late = request->is_denied = FALSE;
  if (is_first)
    quince_attempt_budget_add_first (request->process->budget);
  if (is_first || (!is_hedge && request->retry.runs == 0))
    return FALSE;
  quince_attempt_budget_take (request->process->budget);
  return TRUE;
}

static void
send_attempt (Replay *replay, Request *request, guint at)
{
  const Scene *scene = replay->scene;
  QuinceWorker *worker = request->process->workers[at];
  gboolean full = scene->sheds && replay->busy[at] >= scene->slots;
  Attempt attempt = { .worker = at, .started_us = replay->now_us, .refused = full };
  attempt.took_token = take_token (replay, request, request->in_flight->len > 0);
  attempt.work_us = (gint64)(request->route->work_ms * MS * g_rand_double_range (replay->random, 0.7, 1.3));
  attempt.silent = g_rand_double (replay->random) < scene->silent_share;
  attempt.lost = g_rand_double (replay->random) < scene->lost_share;
  if (full)
    attempt.answer_us = replay->now_us + TRANSIT_MS * MS;
  replay->busy[at] += !full;
  replay->result.arrivals += !full;
  replay->result.retries += !full && request->in_flight->len == 0 && request->retry.runs > 0;
  g_array_append_val (request->in_flight, attempt);
  request->retry.runs++;
  request->tried |= 1u << at;
  worker->running++;
  request->timer_us = quince_hedge_is_allowed (&request->retry)
                          ? replay->now_us + get_hedge_delay_us (replay, request, worker)
                          : 0;
}

static void
remove_attempt (Replay *replay, Request *request, guint index)
{
  const Attempt *attempt = &g_array_index (request->in_flight, Attempt, index);
  request->process->workers[attempt->worker]->running--;
  replay->busy[attempt->worker] -= !attempt->refused && attempt->answer_us == 0;
  g_array_remove_index (request->in_flight, index);
}

static double
record_late (const Replay *replay, const Request *request, const Attempt *attempt)
{
  double slowdown
      = quince_route_times_get_slowdown (quince_attempt_budget_get_times (request->process->budget),
                                         request->route->name, replay->now_us - attempt->started_us);
  quince_worker_record_late (request->process->workers[attempt->worker], replay->now_us, slowdown);
  return slowdown;
}

/* As quince_extra_may_hedge(). */
static gboolean
may_hedge (Replay *replay, Request *request)
{
  if (!replay->scene->budgeted)
    return TRUE;
  QuinceAttemptBudget *budget = request->process->budget;
  const Attempt *newest = &g_array_index (request->in_flight, Attempt, request->in_flight->len - 1);
  double slowdown = record_late (replay, request, newest);
  if (!request->is_late)
    quince_attempt_budget_record_response (budget, replay->now_us, slowdown);
  request->is_late = TRUE;
  if (quince_attempt_budget_may_take (budget, replay->now_us, QUINCE_EXTRA_HEDGE, request->is_reward))
    return TRUE;
  gint64 target_us = (gint64)request->route->target_ms * MS;
  gint64 lost_us = quince_attempt_budget_lost_after_us (
      budget, replay->now_us, request->route->name, target_us, request->retry.give_up_us - newest->started_us,
      request->retry.max_attempts - request->retry.runs + 1);
  if (replay->now_us - newest->started_us >= lost_us)
    {
      if (request->is_denied)
        quince_attempt_budget_record_unhedged (budget, replay->now_us, TRUE);
      return TRUE;
    }
  replay->result.denied += !request->is_denied;
  request->is_denied = TRUE;
  request->timer_us = MIN (replay->now_us + DENIED_CHECK_US, newest->started_us + lost_us);
  return FALSE;
}

static void
start_attempt (Replay *replay, Request *request)
{
  request->timer_us = 0;
  if (!quince_retry_may_run (&request->retry))
    return;
  guint in_flight = request->in_flight->len;
  if (in_flight >= QUINCE_HEDGE_IN_FLIGHT_MAX)
    {
      const Attempt *oldest = &g_array_index (request->in_flight, Attempt, 0);
      gint64 timeout_us = quince_hedge_attempt_timeout_us ((gint64)request->route->target_ms * MS);
      request->timer_us = MAX (oldest->started_us + timeout_us, replay->now_us);
      if (request->timer_us > replay->now_us)
        return;
    }
  if (in_flight > 0 && !may_hedge (replay, request))
    return;
  if (in_flight >= QUINCE_HEDGE_IN_FLIGHT_MAX)
    {
      guint at = g_array_index (request->in_flight, Attempt, 0).worker;
      quince_worker_record_failure (request->process->workers[at], replay->now_us);
      remove_attempt (replay, request, 0);
    }
  gint at = choose (replay, request);
  if (at >= 0)
    send_attempt (replay, request, (guint)at);
  else
    {
      request->tried = 0;
      request->timer_us = replay->now_us + 20 * MS;
    }
}

static void
attempt_failed (Replay *replay, Request *request, guint index)
{
  const Attempt attempt = g_array_index (request->in_flight, Attempt, index);
  remove_attempt (replay, request, index);
  QuinceAttemptBudget *budget = request->process->budget;
  quince_attempt_budget_record_send (budget, replay->now_us, attempt.refused);
  if (attempt.refused)
    {
      request->retry.runs--;
      if (attempt.took_token)
        quince_attempt_budget_return (budget);
    }
  else
    quince_worker_record_failure (request->process->workers[attempt.worker], replay->now_us);
  if (attempt.refused && replay->scene->budgeted)
    quince_worker_record_refusal (request->process->workers[attempt.worker], replay->now_us);
  if (request->in_flight->len > 0)
    {
      if (attempt.refused && replay->scene->budgeted && request->timer_us == 0)
        request->timer_us = replay->now_us + 20 * MS;
      return;
    }
  request->timer_us = replay->now_us;
  if (!attempt.refused && replay->scene->budgeted
      && !quince_attempt_budget_may_take (budget, replay->now_us, QUINCE_EXTRA_RETRY, request->is_reward))
    request->timer_us += quince_attempt_budget_retry_pause_us (budget, request->route->name, request->retries,
                                                               request->retry.give_up_us - replay->now_us);
  request->retries += !attempt.refused;
}

static void
record_answer (Replay *replay, Request *request, const Attempt *attempt)
{
  const char *name = request->route->name;
  QuinceRouteTimes *times = quince_attempt_budget_get_times (request->process->budget);
  QuinceWorker *worker = request->process->workers[attempt->worker];
  gint64 elapsed_us = replay->now_us - attempt->started_us;
  double slowdown = quince_route_times_get_slowdown (times, name, elapsed_us);
  quince_worker_record_response (worker, elapsed_us);
  quince_route_times_record (times, name, elapsed_us);
  quince_worker_record_route_response (worker, replay->now_us, name, elapsed_us, slowdown);
  quince_attempt_budget_record_send (request->process->budget, replay->now_us, FALSE);
  if (!request->is_late)
    quince_attempt_budget_record_response (request->process->budget, replay->now_us, slowdown);
  if (request->is_denied)
    quince_attempt_budget_record_unhedged (request->process->budget, replay->now_us, FALSE);
  for (guint i = 0; i < request->in_flight->len; i++)
    if (&g_array_index (request->in_flight, Attempt, i) != attempt)
      record_late (replay, request, &g_array_index (request->in_flight, Attempt, i));
}

/* Returns whether the request has ended. */
static gboolean
step_request (Replay *replay, Request *request)
{
  gboolean answered = FALSE;
  for (guint i = 0; i < request->in_flight->len && !answered; i++)
    {
      Attempt *attempt = &g_array_index (request->in_flight, Attempt, i);
      if (attempt->answer_us == 0 || attempt->answer_us > replay->now_us)
        continue;
      answered = !attempt->refused && !attempt->lost;
      if (answered)
        record_answer (replay, request, attempt);
      else
        attempt_failed (replay, request, i--);
    }
  gboolean timed_out = replay->now_us >= request->retry.give_up_us;
  gboolean given_up = request->in_flight->len == 0 && !quince_retry_may_run (&request->retry);
  if (!answered && !timed_out && !given_up)
    {
      if (request->timer_us != 0 && replay->now_us >= request->timer_us)
        start_attempt (replay, request);
      return FALSE;
    }
  while (request->in_flight->len > 0)
    remove_attempt (replay, request, 0);
  gint64 took_us = replay->now_us - request->started_us;
  replay->result.failed += !answered;
  gboolean is_late = !answered || took_us > (gint64)request->route->target_ms * MS;
  replay->result.late_lookups += is_late && !request->is_reward;
  replay->result.late_rewards += is_late && request->is_reward;
  return TRUE;
}

/* Gives slots to the oldest waiting attempts, and lets those with a slot work for 1 ms. */
static void
step_workers (Replay *replay)
{
  g_autofree guint *used = g_new0 (guint, replay->scene->n_workers);
  for (guint i = 0; i < replay->requests->len; i++)
    {
      const Request *request = replay->requests->pdata[i];
      for (guint j = 0; j < request->in_flight->len; j++)
        {
          Attempt *attempt = &g_array_index (request->in_flight, Attempt, j);
          if (attempt->refused || attempt->answer_us != 0 || used[attempt->worker] >= replay->scene->slots)
            continue;
          used[attempt->worker]++;
          attempt->work_us -= (gint64)(MS / get_factor (replay, attempt->worker));
          if (attempt->work_us <= 0)
            {
              attempt->answer_us = attempt->silent ? G_MAXINT64 : replay->now_us + TRANSIT_MS * MS;
              replay->busy[attempt->worker]--;
            }
        }
    }
}

static void
request_free (gpointer data)
{
  Request *request = data;
  g_array_unref (request->in_flight);
  g_free (request);
}

static void
start_request (Replay *replay, const SceneRoute *route, gboolean is_reward, guint process)
{
  Request *request = g_new0 (Request, 1);
  request->process = &replay->processes[process];
  request->route = route;
  request->is_reward = is_reward;
  request->started_us = request->timer_us = replay->now_us;
  request->in_flight = g_array_new (FALSE, FALSE, sizeof (Attempt));
  request->retry = (QuinceRetryState){ .repeatable = TRUE,
                                       .max_attempts = MAX_ATTEMPTS,
                                       .give_up_us = replay->now_us + (gint64)route->deadline_ms * MS };
  g_ptr_array_add (replay->requests, request);
  replay->result.firsts++;
  replay->result.lookups += !is_reward;
}

static void
start_requests (Replay *replay)
{
  const Scene *scene = replay->scene;
  gint32 fronts = (gint32)scene->n_fronts;
  gboolean in_reward_burst = replay->now_us / MS % 4000 < 1000;
  double reward_rate = scene->reward.per_second * (!scene->in_bursts ? 1.0 : in_reward_burst ? 3.0 : 1.0 / 3);
  if (g_rand_double (replay->random) < reward_rate / 1000)
    start_request (replay, &scene->reward, TRUE, 0);
  if (g_rand_double (replay->random) < scene->lookup.per_second / 1000)
    start_request (replay, &scene->lookup, FALSE,
                   fronts > 0 ? (guint)g_rand_int_range (replay->random, 1, fronts + 1) : 0);
  gboolean in_burst = replay->now_us >= 5000 * MS && replay->now_us < 6000 * MS;
  for (guint i = 0; in_burst && i < scene->burst_lookups / 1000; i++)
    start_request (replay, &scene->lookup, FALSE,
                   (guint)g_rand_int_range (replay->random, 1, fronts / 3 + 1));
}

static void
create_process (const Scene *scene, Process *process)
{
  process->workers = g_new0 (QuinceWorker *, scene->n_workers);
  process->budget = quince_attempt_budget_new ();
  for (guint i = 0; i < scene->n_workers; i++)
    {
      g_autofree char *id = g_strdup_printf ("w%u", i);
      process->workers[i] = quince_worker_new (id);
      process->workers[i]->slots = scene->slots;
    }
}

/* Replays REPLAY_MS, and then until all requests have ended. */
static SceneResult
scene_run (const Scene *scene, guint32 seed)
{
  Replay replay = { .scene = scene, .n_processes = scene->n_fronts + 1, .now_us = 0 };
  replay.random = g_rand_new_with_seed (seed);
  replay.processes = g_new0 (Process, replay.n_processes);
  replay.busy = g_new0 (guint, scene->n_workers);
  replay.requests = g_ptr_array_new_with_free_func (request_free);
  for (guint i = 0; i < replay.n_processes; i++)
    {
      create_process (scene, &replay.processes[i]);
      replay.processes[i].rotation = (guint)g_rand_int_range (replay.random, 0, 64);
    }
  for (guint ms = 1; ms <= REPLAY_MS || replay.requests->len > 0; ms++)
    {
      replay.now_us = (gint64)ms * MS;
      if (ms <= REPLAY_MS)
        start_requests (&replay);
      step_workers (&replay);
      for (guint i = 0; i < replay.requests->len; i++)
        if (step_request (&replay, replay.requests->pdata[i]))
          g_ptr_array_remove_index (replay.requests, i--);
    }
  for (guint i = 0; i < replay.n_processes; i++)
    {
      for (guint j = 0; j < scene->n_workers; j++)
        quince_worker_free (replay.processes[i].workers[j]);
      g_free (replay.processes[i].workers);
      quince_attempt_budget_free (replay.processes[i].budget);
    }
  g_free (replay.processes);
  g_free (replay.busy);
  g_ptr_array_unref (replay.requests);
  g_rand_free (replay.random);
  return replay.result;
}
