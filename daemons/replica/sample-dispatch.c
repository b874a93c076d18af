/*
 * sample-dispatch.c: starts runs of waiting samples at workers.
 */
#include "sample-dispatch.h"

#include "forward/residency-lookup.h"
#include "runtime/clock.h"
#include "runtime/log.h"

#include "sample-outcome.h"

/* Lowest priority that the platform's workers accept; 0 is the highest. */
#define WORKER_PRIORITY_MAX 9

/* If @sample has a permit to run alone, excludes the workers that run other samples with such a permit: if a
 * worker ended with two of them on it, the cause would be unknown. */
static void
avoid_workers_with_suspects (const QuinceSampleSet *set, const QuinceSample *sample, GHashTable *avoid)
{
  for (guint i = 0; sample->permit.alone && i < set->samples->len; i++)
    {
      const QuinceSample *other = set->samples->pdata[i];
      if (other != sample && other->state == QUINCE_SAMPLE_RUNNING && other->permit.alone)
        g_hash_table_add (avoid, other->worker.id);
    }
}

static QuinceBackendOutcome
choose_worker (QuinceSampleSet *set,
               const QuinceSample *sample,
               const QuinceSampleServiceView *view,
               const QuincePolicyRequest *request,
               QuinceWorker **worker)
{
  g_autoptr (GHashTable) avoid = g_hash_table_new (g_str_hash, g_str_equal);
  if (sample->avoid_worker != NULL)
    g_hash_table_add (avoid, sample->avoid_worker);
  avoid_workers_with_suspects (set, sample, avoid);
  /* The samples of a group share a prompt, so a worker that ran one of them has it cached. */
  g_autofree char *group
      = g_strconcat (sample->entry->batch->id, " ", quince_sample_get_item (sample)->group, NULL);
  const char *const prompt[] = { group, NULL };
  QuinceResidency residency;
  quince_sample_set_get_residency (set, sample->entry, &residency);
  QuinceBackendQuery query = { .request = request,
                               .model = sample->entry->batch->model,
                               .minimum_version = sample->entry->batch->minimum_version,
                               .avoid = avoid,
                               .running_max = view->slots,
                               .prompt = prompt,
                               .residency = &residency,
                               .fastest_pace_us = view->fastest_pace_us };
  QuinceBackendOutcome outcome = quince_backends_choose (set->backends, quince_now_us (), &query, worker);
  gboolean no_other_worker = outcome == QUINCE_BACKEND_NONE || outcome == QUINCE_BACKEND_EVACUATED;
  if (no_other_worker && g_hash_table_size (avoid) > 0)
    {
      query.avoid = NULL;
      outcome = quince_backends_choose (set->backends, quince_now_us (), &query, worker);
    }
  return outcome;
}

/* Returns the priority of @sample at a worker; 0 is the highest.  The priority of the tenant overrides that
 * of the route; a tenant that is no longer configured has none. */
static gint
get_worker_priority (QuinceSampleSet *set, const QuinceSample *sample, const QuinceRoute *route)
{
  QuinceRouteTable *routes = quince_observer_get_routes (set->observer);
  const QuinceTenantTable *tenants = quince_route_table_get_tenants (routes);
  const QuinceTenant *tenant
      = tenants != NULL ? quince_tenant_table_find (tenants, sample->entry->tenant) : NULL;
  gint priority = (gint)route->priority;
  if (tenant != NULL && tenant->priority != QUINCE_TENANT_NO_PRIORITY)
    priority = tenant->priority;
  return CLAMP (priority, 0, WORKER_PRIORITY_MAX);
}

static void
start_run_at_worker (QuinceSampleSet *set,
                     QuinceSample *sample,
                     const QuinceRoute *route,
                     QuinceWorker *worker)
{
  const QuinceBatchJob *batch = sample->entry->batch;
  sample->single_version = route->single_version;
  sample->suspect_run_us = sample->permit.taken ? quince_now_us () : sample->suspect_run_us;
  set->running++;
  if (sample->runs == 0)
    quince_step_reports_record_start (set->reports, sample->entry, quince_now_us ());
  quince_log_info ("sample_dispatched",
                   "sample=%s batch=%s worker=%s worker_running=%u version=%" G_GUINT64_FORMAT
                   " from_event=%" G_GUINT64_FORMAT " runs=%u age_ms=%" G_GINT64_FORMAT,
                   quince_sample_get_item (sample)->id, batch->id, worker->id, worker->running,
                   quince_worker_get_version (worker, batch->model), sample->last_event, sample->runs,
                   (quince_now_us () - sample->submitted_us) / 1000);
  QuinceSendGuard *guard = quince_backends_get_guard (set->backends);
  if (!quince_send_guard_is_idle (guard))
    {
      const QuinceRequestIdentity *identity = quince_sample_get_identity (sample);
      quince_send_guard_log_sent (guard, quince_now_us (), identity, &sample->permit,
                                  quince_sample_get_item (sample)->id, worker->id);
      quince_send_guard_report_send (guard, quince_now_us (), identity, &sample->permit, worker);
    }
  quince_sample_start_run (sample, set->backends, worker, get_worker_priority (set, sample, route),
                           quince_sample_outcome_handle_run_end, set);
}

static void
fill_policy_request (QuinceSampleSet *set,
                     const QuinceSample *sample,
                     gint64 now_us,
                     const QuinceSampleServiceView *view,
                     QuincePolicyRequest *request)
{
  const QuinceBatchJob *batch = sample->entry->batch;
  double remaining_us
      = quince_sample_set_estimate_remaining_events (set, sample) * (double)view->fastest_pace_us;
  *request = (QuincePolicyRequest){
    .service = view->service,
    .member = batch->model,
    .kind = "rollout",
    .rollout = TRUE,
    .attempt = sample->runs + 1,
    .deadline_ms = sample->give_up_us > 0 ? (guint)MAX ((sample->give_up_us - now_us) / 1000, 0) : 0,
    .expected_tokens = quince_sample_get_item (sample)->tokens,
    .waiting = set->waiting,
    .newest_version = quince_observer_get_version (set->observer, batch->model),
    .remaining_ms = (guint)MIN (remaining_us / 1000, G_MAXINT),
  };
  quince_backends_describe_events (set->backends, quince_wall_ms (), request);
}

/* Logs that @sample is postponed or protected, unless it was logged before. */
static void
log_admission (QuinceSendGuard *guard,
               QuinceSample *sample,
               QuinceAdmission admission,
               const char *service,
               gint64 now_us)
{
  const char *id = quince_sample_get_item (sample)->id;
  if (admission != sample->logged_admission && admission == QUINCE_ADMISSION_POSTPONED)
    quince_send_guard_log_postponed (guard, now_us, quince_sample_get_identity (sample), id);
  else if (admission != sample->logged_admission && admission == QUINCE_ADMISSION_PROTECTED)
    quince_send_guard_log_protected (guard, now_us, quince_sample_get_identity (sample), id, service);
  sample->logged_admission = admission;
}

/* Returns whether the send guard admits @sample now; if it does not, postpones the next attempt. */
static gboolean
is_admitted (QuinceSampleSet *set, QuinceSample *sample, const char *service, gint64 now_us)
{
  QuinceSendGuard *guard = quince_backends_get_guard (set->backends);
  if (quince_send_guard_is_idle (guard))
    return TRUE;
  sample->backends = set->backends;
  QuinceAdmission admission = quince_send_guard_admit (guard, now_us, quince_sample_get_identity (sample),
                                                       TRUE, service, &sample->permit);
  if (admission == QUINCE_ADMISSION_GRANTED || admission == QUINCE_ADMISSION_UNHEDGED
      || admission == QUINCE_ADMISSION_PERMIT)
    return TRUE;
  sample->next_attempt_us = now_us + quince_sample_admission_pause_us (admission);
  if (admission == QUINCE_ADMISSION_POSTPONED || admission == QUINCE_ADMISSION_PROTECTED)
    log_admission (guard, sample, admission, service, now_us);
  else
    set->callbacks->request_dispatch (QUINCE_ADMISSION_RETRY_MS, set->owner);
  return FALSE;
}

/* Returns the permit of @sample, since no worker was chosen. */
static void
return_permit (QuinceSampleSet *set, QuinceSample *sample)
{
  quince_send_guard_return_permit (quince_backends_get_guard (set->backends), &sample->permit);
}

QuinceBackendOutcome
quince_sample_dispatch (QuinceSampleSet *set, QuinceSample *sample, gint64 now_us)
{
  const QuinceRoute *route = quince_sample_set_get_batch_route (set, sample->entry->batch);
  if (route == NULL)
    return QUINCE_BACKEND_NONE;
  QuinceSampleServiceView view;
  quince_sample_set_get_service_view (set, route, sample, now_us, &view);
  QuincePolicyRequest request;
  fill_policy_request (set, sample, now_us, &view, &request);
  QuincePolicyAdmission admission;
  quince_backends_admit (set->backends, &request, &admission);
  QuinceWorker *worker = NULL;
  QuinceBackendOutcome outcome = QUINCE_BACKEND_NONE;
  if (admission.refuse)
    sample->next_attempt_us = now_us + quince_sample_policy_pause_us (admission.retry_after_ms);
  else if (is_admitted (set, sample, view.service, now_us))
    outcome = choose_worker (set, sample, &view, &request, &worker);
  if (worker != NULL)
    start_run_at_worker (set, sample, route, worker);
  else
    return_permit (set, sample);
  quince_sample_service_view_clear (&view);
  return outcome;
}
