/*
 * sample-dispatch.c: on which worker a sample runs, and when it moves to another one.
 *
 * The policy program admits each sample (its priority) and scores the workers for it.
 */
#include "runtime/log.h"
#include "forward/residency-lookup.h"
#include "core/decisions/sample-move.h"
#include "runtime/clock.h"

#include "sample-runner-private.h"

/* Last priority at a worker; 0 goes first.  The platform's bound. */
#define WORKER_PRIORITY_MAX 9
/* Requests at one worker where the configuration names no slots.  Not measured. */
#define SLOTS_UNTOLD 8
/* Time for which the pace of a service's fastest worker is kept, us: a leader asks for it for each sample.
 * Not measured: two or three events of a worker. */
#define FASTEST_KEEP_US (100 * 1000)
/* ---- What is known of a sample and its workers -------------------------- */

/* One sample's service, as a dispatch sees it. */
typedef struct
{
  const char *service;
  GPtrArray *workers; /* owned reference: QuinceWorker */
  gint64 fastest_pace_us;
  guint slots;
} ServiceView;

/* 0: no worker's pace is measured. */
static gint64
fastest_pace_us (QuinceSampleRunner *runner, const char *service, const GPtrArray *workers, gint64 now_us)
{
  QuinceServicePace *pace = g_hash_table_lookup (runner->paces, service);
  if (pace != NULL && now_us - pace->found_us < FASTEST_KEEP_US)
    return pace->fastest_us;
  if (pace == NULL)
    {
      pace = g_new0 (QuinceServicePace, 1);
      g_hash_table_insert (runner->paces, g_strdup (service), pace);
    }
  pace->found_us = now_us;
  pace->fastest_us = quince_workers_fastest_pace_us (workers, now_us);
  return pace->fastest_us;
}

const char *
quince_sample_dispatch_service (const QuinceRoute *route, const QuinceSample *sample)
{
  /* The samples of a group stay in one part of the route's traffic. */
  const QuinceBatchItem *item = quince_sample_get_item (sample);
  return quince_route_pick_service (route, (g_str_hash (item->group) % 1000) / 1000.0);
}

static void
view_service (QuinceSampleRunner *runner,
              const QuinceRoute *route,
              const QuinceSample *sample,
              gint64 now_us,
              ServiceView *view)
{
  QuinceRouteTable *routes = quince_observer_get_routes (runner->observer);
  view->service = quince_sample_dispatch_service (route, sample);
  const QuinceService *service = quince_route_table_find_service (routes, view->service);
  view->slots = service != NULL && service->slots > 0 ? service->slots : SLOTS_UNTOLD;
  view->workers = quince_worker_table_list (quince_backends_get_workers (runner->backends), view->service);
  view->fastest_pace_us = fastest_pace_us (runner, view->service, view->workers, now_us);
}

/* Events that are still to come. */
static double
remaining_events (QuinceSampleRunner *runner, const QuinceSample *sample)
{
  return quince_length_model_remaining (
      quince_sample_runner_get_lengths (runner, sample->entry->batch->model), sample->estimated_tokens,
      sample->last_event);
}

/* ---- A new run ---------------------------------------------------------- */

/* The end of a worker says nothing of two suspects that ran on it. */
static void
avoid_suspects (const QuinceSampleRunner *runner, const QuinceSample *sample, GHashTable *avoid)
{
  for (guint i = 0; sample->permit.alone && i < runner->samples->len; i++)
    {
      const QuinceSample *other = runner->samples->pdata[i];
      if (other != sample && other->state == QUINCE_SAMPLE_RUNNING && other->permit.alone)
        g_hash_table_add (avoid, other->worker_id);
    }
}

static QuinceBackendOutcome
choose_worker (QuinceSampleRunner *runner,
               const QuinceSample *sample,
               const ServiceView *view,
               const QuincePolicyRequest *request,
               QuinceWorker **worker)
{
  g_autoptr (GHashTable) avoid = g_hash_table_new (g_str_hash, g_str_equal);
  if (sample->avoid_worker != NULL)
    g_hash_table_add (avoid, sample->avoid_worker);
  avoid_suspects (runner, sample, avoid);
  /* The samples of a group share their prompt. */
  g_autofree char *group
      = g_strconcat (sample->entry->batch->id, " ", quince_sample_get_item (sample)->group, NULL);
  const char *const prompt[] = { group, NULL };
  QuinceResidency residency;
  quince_sample_runner_get_residency (runner, sample->entry, &residency);
  QuinceBackendQuery query = { .request = request,
                               .model = sample->entry->batch->model,
                               .minimum_version = sample->entry->batch->minimum_version,
                               .avoid = avoid,
                               .most_running = view->slots,
                               .prompt = prompt,
                               .residency = &residency,
                               .fastest_pace_us = view->fastest_pace_us };
  QuinceBackendOutcome outcome = quince_backends_choose (runner->backends, quince_now_us (), &query, worker);
  gboolean none_else = outcome == QUINCE_BACKEND_NONE || outcome == QUINCE_BACKEND_EVACUATED;
  if (none_else && g_hash_table_size (avoid) > 0)
    {
      query.avoid = NULL;
      outcome = quince_backends_choose (runner->backends, quince_now_us (), &query, worker);
    }
  return outcome;
}

/* At the worker, 0 first.  A tenant's priority goes before that of the route; one that was withdrawn since
 * has none. */
static gint
priority_at_worker (QuinceSampleRunner *runner, const QuinceSample *sample, const QuinceRoute *route)
{
  QuinceRouteTable *routes = quince_observer_get_routes (runner->observer);
  const QuinceTenantTable *tenants = quince_route_table_get_tenants (routes);
  const QuinceTenant *tenant
      = tenants != NULL ? quince_tenant_table_find (tenants, sample->entry->tenant) : NULL;
  gint priority = (gint)route->priority;
  if (tenant != NULL && tenant->priority != QUINCE_TENANT_NO_PRIORITY)
    priority = tenant->priority;
  return CLAMP (priority, 0, WORKER_PRIORITY_MAX);
}

static void
begin_run (QuinceSampleRunner *runner, QuinceSample *sample, const QuinceRoute *route, QuinceWorker *worker)
{
  const QuinceBatchJob *batch = sample->entry->batch;
  sample->single_version = route->single_version;
  runner->running++;
  if (sample->runs == 0)
    quince_step_reports_started (runner->reports, sample->entry, quince_now_us ());
  quince_log_info ("sample_dispatched",
                   "sample=%s batch=%s worker=%s worker_running=%u version=%" G_GUINT64_FORMAT
                   " from_event=%" G_GUINT64_FORMAT " runs=%u age_ms=%" G_GINT64_FORMAT,
                   quince_sample_get_item (sample)->id, batch->id, worker->id, worker->running,
                   quince_worker_get_version (worker, batch->model), sample->last_event, sample->runs,
                   (quince_now_us () - sample->submitted_us) / 1000);
  QuinceSendGuard *guard = quince_backends_get_guard (runner->backends);
  if (!quince_send_guard_is_idle (guard))
    {
      const QuinceRequestIdentity *identity = quince_sample_get_identity (sample);
      quince_send_guard_log_sent (guard, quince_now_us (), identity, &sample->permit,
                                  quince_sample_get_item (sample)->id, worker->id);
      quince_send_guard_sending (guard, quince_now_us (), identity, &sample->permit, worker->id);
    }
  quince_sample_run (sample, runner->backends, worker, priority_at_worker (runner, sample, route),
                     quince_sample_outcome_run_ended, runner);
}

static void
describe_request (QuinceSampleRunner *runner,
                  const QuinceSample *sample,
                  gint64 now_us,
                  const ServiceView *view,
                  QuincePolicyRequest *request)
{
  const QuinceBatchJob *batch = sample->entry->batch;
  double remaining_us = remaining_events (runner, sample) * (double)view->fastest_pace_us;
  *request = (QuincePolicyRequest){
    .service = view->service,
    .member = batch->model,
    .kind = "rollout",
    .rollout = TRUE,
    .attempt = sample->runs + 1,
    .deadline_ms = sample->give_up_us > 0 ? (guint)MAX ((sample->give_up_us - now_us) / 1000, 0) : 0,
    .expected_tokens = quince_sample_get_item (sample)->tokens,
    .waiting = runner->waiting,
    .newest_version = quince_observer_get_version (runner->observer, batch->model),
    .remaining_ms = (guint)MIN (remaining_us / 1000, G_MAXINT),
  };
  quince_backends_describe_events (runner->backends, quince_wall_ms (), request);
}

/* Logs once that @sample is not sent. */
static void
log_admission (QuinceSendGuard *guard,
               QuinceSample *sample,
               QuinceAdmission admission,
               const char *service,
               gint64 now_us)
{
  const char *id = quince_sample_get_item (sample)->id;
  if (admission != sample->logged && admission == QUINCE_ADMISSION_HELD)
    quince_send_guard_log_held (guard, now_us, quince_sample_get_identity (sample), id);
  else if (admission != sample->logged && admission == QUINCE_ADMISSION_PROTECTED)
    quince_send_guard_log_protected (guard, now_us, quince_sample_get_identity (sample), id, service);
  sample->logged = admission;
}

/* Returns: %FALSE when the sample is not to be sent now. */
static gboolean
is_admitted (QuinceSampleRunner *runner, QuinceSample *sample, const char *service, gint64 now_us)
{
  QuinceSendGuard *guard = quince_backends_get_guard (runner->backends);
  if (quince_send_guard_is_idle (guard))
    return TRUE;
  sample->backends = runner->backends;
  QuinceAdmission admission
      = quince_send_guard_ask (guard, now_us, quince_sample_get_identity (sample), service, &sample->permit);
  if (admission == QUINCE_ADMISSION_GRANTED || admission == QUINCE_ADMISSION_CAREFUL
      || admission == QUINCE_ADMISSION_PERMIT)
    return TRUE;
  sample->not_before_us = now_us + quince_sample_admission_pause_us (admission);
  if (admission == QUINCE_ADMISSION_HELD || admission == QUINCE_ADMISSION_PROTECTED)
    log_admission (guard, sample, admission, service, now_us);
  else
    quince_sample_runner_pump_after (runner, QUINCE_ADMISSION_RETRY_MS);
  return FALSE;
}

/* The permit is not used after all. */
static void
return_permit (QuinceSampleRunner *runner, QuinceSample *sample)
{
  quince_send_guard_over (quince_backends_get_guard (runner->backends), &sample->permit);
}

QuinceBackendOutcome
quince_sample_dispatch (QuinceSampleRunner *runner, QuinceSample *sample, gint64 now_us)
{
  const QuinceRoute *route = quince_sample_runner_route_of_batch (runner, sample->entry->batch);
  if (route == NULL)
    return QUINCE_BACKEND_NONE;
  ServiceView view;
  view_service (runner, route, sample, now_us, &view);
  QuincePolicyRequest request;
  describe_request (runner, sample, now_us, &view, &request);
  QuincePolicyAdmission admission;
  quince_backends_admit (runner->backends, &request, &admission);
  QuinceWorker *worker = NULL;
  QuinceBackendOutcome outcome = QUINCE_BACKEND_NONE;
  if (admission.refuse)
    sample->not_before_us = now_us + quince_sample_policy_pause_us (admission.retry_after_ms);
  else if (is_admitted (runner, sample, view.service, now_us))
    outcome = choose_worker (runner, sample, &view, &request, &worker);
  if (worker != NULL)
    begin_run (runner, sample, route, worker);
  else
    return_permit (runner, sample);
  g_ptr_array_unref (view.workers);
  return outcome;
}

/* ---- Moves -------------------------------------------------------------- */

/* The least pace among workers that could take @sample now; 0: there is none. */
static gint64
best_pace_elsewhere (QuinceSampleRunner *runner,
                     const QuinceSample *sample,
                     const ServiceView *view,
                     gint64 now_us)
{
  QuinceResidency residency;
  quince_sample_runner_get_residency (runner, sample->entry, &residency);
  const QuinceBatchJob *batch = sample->entry->batch;
  gint64 best = 0;
  g_autoptr (GPtrArray) workers = quince_worker_table_list_version (
      quince_backends_get_workers (runner->backends), view->service, batch->model, batch->minimum_version);
  for (guint i = 0; i < workers->len; i++)
    {
      const QuinceWorker *worker = workers->pdata[i];
      gint64 pace = quince_worker_get_pace_us (worker, now_us);
      if (pace == 0 || (best > 0 && pace >= best))
        continue;
      gboolean free_now = !worker->draining && !worker->loading && worker->gone_after_us == 0
                          && now_us >= worker->ejected_until_us && worker->running < view->slots
                          && quince_backends_may_send (runner->backends, worker)
                          && !quince_worker_is_cold (worker, now_us);
      if (!free_now || !quince_backends_allow (runner->backends, worker, &residency)
          || g_str_equal (worker->id, sample->worker_id))
        continue;
      best = pace;
    }
  return best;
}

static gboolean
may_move (const QuinceSample *sample, gint64 now_us)
{
  const QuinceSampleMoveCase move = { .single_version = sample->single_version,
                                      .moves = sample->moves,
                                      .run_us = now_us - sample->started_us,
                                      .measured = sample->event_us > 0 };
  return sample->state == QUINCE_SAMPLE_RUNNING && quince_sample_move_is_allowed (&move);
}

/* Its worker is slower than the fastest by so much that a move may pay at all. */
static gboolean
is_slow (const QuinceWorker *worker, const ServiceView *view, gint64 now_us)
{
  double remaining_most = G_MAXINT;
  return !worker->loading
         && quince_sample_move_pays (remaining_most, quince_worker_get_pace_us (worker, now_us),
                                     view->fastest_pace_us);
}

static gboolean
move_pays (QuinceSampleRunner *runner, const QuinceSample *sample, gint64 now_us)
{
  const QuinceRoute *route = quince_sample_runner_route_of_batch (runner, sample->entry->batch);
  const QuinceWorker *worker
      = quince_worker_table_find (quince_backends_get_workers (runner->backends), sample->worker_id);
  if (route == NULL || worker == NULL)
    return FALSE;
  ServiceView view;
  view_service (runner, route, sample, now_us, &view);
  gboolean pays = FALSE;
  if (is_slow (worker, &view, now_us))
    {
      gint64 there = best_pace_elsewhere (runner, sample, &view, now_us);
      pays = there > 0
             && quince_sample_move_pays (remaining_events (runner, sample),
                                         quince_worker_get_pace_us (worker, now_us), there);
    }
  g_ptr_array_unref (view.workers);
  return pays;
}

void
quince_sample_dispatch_move (QuinceSampleRunner *runner, gint64 now_us)
{
  guint moves = 0;
  if (!quince_sample_move_is_time (&runner->move_watch, now_us))
    return;
  for (guint i = 0; i < runner->samples->len && moves < QUINCE_SAMPLE_MOVES_AT_ONCE_MAX; i++)
    {
      QuinceSample *sample = runner->samples->pdata[i];
      if (!may_move (sample, now_us) || !move_pays (runner, sample, now_us))
        continue;
      moves++;
      sample->moves++;
      quince_sample_cut (sample, QUINCE_RUN_MOVED, "moved");
      quince_sample_dispatch (runner, sample, now_us);
    }
}
