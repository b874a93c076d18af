/*
 * dispatch.c: choice of a worker and admission of attempts, for lookups and streams.
 */
#include "dispatch.h"

#include "runtime/log.h"
#include "runtime/clock.h"

void
quince_dispatch_init (QuinceDispatch *dispatch,
                      QuinceBackends *backends,
                      const QuinceForwardCodec *codec,
                      const QuinceForwardRequest *request,
                      gboolean repeatable)
{
  dispatch->backends = backends;
  dispatch->codec = codec;
  dispatch->service = g_strdup (request->service);
  dispatch->caller = g_strdup (request->caller);
  dispatch->tenant = g_strdup (request->tenant != NULL ? request->tenant : request->caller);
  dispatch->kind = g_strdup (request->kind);
  dispatch->method = g_strdup (request->method);
  dispatch->target = g_strdup (request->target);
  dispatch->request_id = g_strdup (request->request_id != NULL ? request->request_id : "");
  dispatch->headers = quince_http_headers_copy (request->headers);
  dispatch->body = request->body != NULL ? g_bytes_ref (request->body) : NULL;
  dispatch->prompt = g_strdupv ((char **)request->prompt);
  dispatch->avoid = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  dispatch->target_latency_us = (gint64)request->target_latency_ms * 1000;
  dispatch->is_reward = request->is_reward;
  dispatch->mixed_targets = request->mixed_targets;
  dispatch->attempt_state.earlier_runs = request->earlier_runs;
  dispatch->started_us = quince_now_us ();
  QuinceShareMetrics *shares = quince_backends_get_share_metrics (backends);
  dispatch->route_share = quince_share_metrics_begin (shares, QUINCE_SHARE_ROUTE, dispatch->kind);
  dispatch->tenant_share = quince_share_metrics_begin (shares, QUINCE_SHARE_TENANT, dispatch->tenant);
  quince_tenant_limits_begin (quince_backends_get_tenant_limits (backends), dispatch->service,
                              dispatch->caller);
  dispatch->deadline_us = request->deadline_us;
  dispatch->retry = (QuinceRetryState){ .repeatable = repeatable,
                                        .max_attempts = MAX (request->max_attempts, 1),
                                        .give_up_us = MIN (request->give_up_us, request->deadline_us) };
}

/* Returns by how much @took_us exceeds the latency target of the request, us; 0 if it has no target. */
static gint64
get_late_us (const QuinceDispatch *dispatch, gint64 took_us)
{
  gboolean has_target = dispatch->target_latency_us > 0 && !dispatch->is_stream;
  return has_target ? MAX (took_us - dispatch->target_latency_us, 0) : 0;
}

void
quince_dispatch_clear (QuinceDispatch *dispatch)
{
  gint64 late_us = get_late_us (dispatch, quince_now_us () - dispatch->started_us);
  quince_share_metrics_end (QUINCE_SHARE_ROUTE, dispatch->route_share, late_us);
  quince_share_metrics_end (QUINCE_SHARE_TENANT, dispatch->tenant_share, late_us);
  quince_tenant_limits_end (quince_backends_get_tenant_limits (dispatch->backends), dispatch->service,
                            dispatch->caller);
  quince_dispatch_return_permit (dispatch);
  quince_http_headers_free (dispatch->headers);
  g_clear_pointer (&dispatch->body, g_bytes_unref);
  g_hash_table_unref (dispatch->avoid);
  g_strfreev (dispatch->prompt);
  g_free (dispatch->service);
  g_free (dispatch->caller);
  g_free (dispatch->tenant);
  quince_residency_lookup_clear (&dispatch->residency_lookup);
  g_free (dispatch->kind);
  g_free (dispatch->method);
  g_free (dispatch->target);
  g_free (dispatch->request_id);
}

/* Computes the identity on first use, since most requests never need it. */
static const QuinceRequestIdentity *
get_identity (QuinceDispatch *dispatch)
{
  QuinceRequestIdentity *identity = &dispatch->identity;
  if (dispatch->has_identity)
    return identity;
  const char *host = quince_http_headers_get (dispatch->headers, "Host");
  gsize length = 0;
  gconstpointer body = dispatch->body != NULL ? g_bytes_get_data (dispatch->body, &length) : NULL;
  quince_request_digest_make (&identity->request, dispatch->caller, host, dispatch->method, dispatch->target,
                              body, length);
  identity->has_prompt = quince_request_digest_make_prompt (&identity->prompt, dispatch->caller, host,
                                                            (const char *const *)dispatch->prompt);
  dispatch->has_identity = TRUE;
  return identity;
}

QuinceBackendOutcome
quince_dispatch_choose_worker (QuinceDispatch *dispatch, gint64 now_us, QuinceWorker **worker)
{
  QuincePolicyRequest request = { .service = dispatch->service,
                                  .member = "",
                                  .kind = dispatch->kind,
                                  .at_most_once = !dispatch->retry.repeatable,
                                  .attempt = dispatch->attempts + 1,
                                  .deadline_ms = (guint)((dispatch->deadline_us - now_us) / 1000) };
  quince_backends_describe_events (dispatch->backends, quince_wall_ms (), &request);
  QuinceResidency residency;
  quince_residency_resolve (&dispatch->residency_lookup, dispatch->backends,
                            quince_http_headers_get (dispatch->headers, "Host"), dispatch->target,
                            dispatch->tenant, &residency);
  const QuinceBackendQuery query = { .request = &request,
                                     .avoid = dispatch->avoid,
                                     .prompt = (const char *const *)dispatch->prompt,
                                     .residency = &residency };
  return quince_backends_choose (dispatch->backends, now_us, &query, worker);
}

/* Returns the cause in logs and refusals. */
static const char *
get_no_worker_cause (QuinceBackendOutcome outcome)
{
  switch (outcome)
    {
    case QUINCE_BACKEND_EVACUATED:
      return QUINCE_FORWARD_CAUSE_EVACUATED;
    case QUINCE_BACKEND_ZONES_UNKNOWN:
      return "zones_unknown";
    case QUINCE_BACKEND_COLD:
      return "workers_cold";
    case QUINCE_BACKEND_FULL:
      return "workers_full";
    case QUINCE_BACKEND_CHOSEN:
    case QUINCE_BACKEND_NONE:
    default:
      return "no_worker";
    }
}

void
quince_dispatch_record_no_worker (QuinceDispatch *dispatch, QuinceBackendOutcome outcome)
{
  if (dispatch->cause == NULL || outcome == QUINCE_BACKEND_EVACUATED)
    dispatch->cause = get_no_worker_cause (outcome);
}

gboolean
quince_dispatch_may_wait_for_worker (QuinceDispatch *dispatch,
                                     QuinceBackendOutcome outcome,
                                     gboolean is_stream,
                                     gboolean response_started,
                                     gint64 now_us)
{
  const QuinceNoWorkerInput input
      = { .outcome = outcome,
          .is_stream = is_stream,
          .response_started = response_started,
          .tried_any = g_hash_table_size (dispatch->avoid) > 0,
          .runs = dispatch->retry.runs,
          .now_us = now_us,
          .started_us = dispatch->started_us,
          .target_latency_us = dispatch->target_latency_us,
          .cold_available_us = quince_backends_get_cold_worker_available_us (dispatch->backends) };
  const QuinceNoWorkerDecision decision = quince_no_worker_decide (&input);
  dispatch->retry_after_ms = decision.retry_after_ms;
  return decision.wait;
}

/* Records a refusal by a full worker for the limits of tenants and the metric of its zone. */
static void
record_refusal (const QuinceDispatch *dispatch, const QuinceWorkerRef *ref)
{
  quince_tenant_limits_handle_refusal (quince_backends_get_tenant_limits (dispatch->backends),
                                       dispatch->service);
  const QuinceWorker *worker = quince_dispatch_find_worker (dispatch, ref);
  if (worker != NULL)
    quince_share_metrics_count (quince_backends_get_share_metrics (dispatch->backends), QUINCE_SHARE_ZONE,
                                worker->zone, "quince_share_refused_total");
}

void
quince_dispatch_record_failed_attempt (const QuinceDispatch *dispatch,
                                       const QuinceWorkerRef *ref,
                                       gint64 since_us)
{
  quince_log_info ("request_retried",
                   "request=%s worker=%s cause=%s attempts=%u runs=%u took_ms=%" G_GINT64_FORMAT,
                   dispatch->request_id, ref->id, dispatch->cause, dispatch->attempts, dispatch->retry.runs,
                   (quince_now_us () - since_us) / 1000);
  if (g_str_equal (dispatch->cause, "worker_refused"))
    record_refusal (dispatch, ref);
}

void
quince_dispatch_count_hedge (const QuinceDispatch *dispatch, const QuinceWorker *worker)
{
  QuinceShareMetrics *shares = quince_backends_get_share_metrics (dispatch->backends);
  quince_share_metrics_count (shares, QUINCE_SHARE_ROUTE, dispatch->kind, "quince_share_hedges_total");
  quince_share_metrics_count (shares, QUINCE_SHARE_TENANT, dispatch->tenant, "quince_share_hedges_total");
  quince_share_metrics_count (shares, QUINCE_SHARE_ZONE, worker->zone, "quince_share_hedges_total");
}

void
quince_dispatch_count_late_time (const QuinceDispatch *dispatch, const QuinceWorker *worker, gint64 took_us)
{
  if (worker != NULL)
    quince_share_metrics_add_late (quince_backends_get_share_metrics (dispatch->backends), QUINCE_SHARE_ZONE,
                                   worker->zone, get_late_us (dispatch, took_us));
}

QuinceForwardOutcome
quince_dispatch_give_up (gboolean may_have_run, gboolean timed_out)
{
  switch (quince_retry_give_up (may_have_run, timed_out))
    {
    case QUINCE_GIVE_UP_NOT_RUN:
      return QUINCE_FORWARD_REFUSED;
    case QUINCE_GIVE_UP_TIMEOUT:
      return QUINCE_FORWARD_TIMEOUT;
    case QUINCE_GIVE_UP_FAILED:
    default:
      return QUINCE_FORWARD_FAILED;
    }
}

QuinceHttpHeaders *
quince_dispatch_begin_attempt (QuinceDispatch *dispatch, QuinceWorker *worker, gint64 now_us)
{
  QuinceHttpHeaders *headers = quince_http_headers_copy (dispatch->headers);
  QuinceSendGuard *guard = quince_backends_get_guard (dispatch->backends);
  if (guard != NULL && !quince_send_guard_is_idle (guard))
    {
      const QuinceRequestIdentity *identity = get_identity (dispatch);
      quince_send_guard_log_sent (guard, now_us, identity, &dispatch->permit, dispatch->request_id,
                                  worker->id);
      quince_send_guard_report_send (guard, now_us, identity, &dispatch->permit, worker);
    }
  dispatch->codec->write_attempt_headers (headers, worker->id,
                                          MAX ((dispatch->deadline_us - now_us) / 1000, 1));
  g_hash_table_add (dispatch->avoid, g_strdup (worker->id));
  dispatch->attempts++;
  worker->running++;
  quince_share_metrics_count (quince_backends_get_share_metrics (dispatch->backends), QUINCE_SHARE_ZONE,
                              worker->zone, "quince_share_requests_total");
  return headers;
}

QuinceWorker *
quince_dispatch_find_worker (const QuinceDispatch *dispatch, const QuinceWorkerRef *ref)
{
  return quince_worker_table_find_ref (quince_backends_get_workers (dispatch->backends), ref);
}

void
quince_dispatch_release_worker (QuinceDispatch *dispatch, const QuinceWorkerRef *ref)
{
  QuinceWorker *worker = quince_dispatch_find_worker (dispatch, ref);
  if (worker != NULL && worker->running > 0)
    worker->running--;
}

/* ---- Admission ------------------------------------------------------- */

static QuinceAdmission
wait_for_admission (QuinceDispatch *dispatch, gint64 now_us)
{
  if (dispatch->admission_wait_since_us == 0)
    dispatch->admission_wait_since_us = now_us;
  gboolean may_wait = quince_admission_may_keep_waiting (now_us - dispatch->admission_wait_since_us,
                                                         dispatch->target_latency_us);
  return may_wait ? QUINCE_ADMISSION_WAIT : QUINCE_ADMISSION_NO_PERMIT;
}

static QuinceAdmission
request_admission (QuinceDispatch *dispatch, gint64 now_us)
{
  QuinceSendGuard *guard = quince_backends_get_guard (dispatch->backends);
  if (guard == NULL || quince_send_guard_is_idle (guard))
    return QUINCE_ADMISSION_GRANTED;
  const QuinceRequestIdentity *identity = get_identity (dispatch);
  QuinceAdmission admission = quince_send_guard_admit (guard, now_us, identity, dispatch->is_reward,
                                                       dispatch->service, &dispatch->permit);
  if (admission == QUINCE_ADMISSION_WAIT)
    return wait_for_admission (dispatch, now_us);
  dispatch->admission_wait_since_us = 0;
  if (admission == QUINCE_ADMISSION_HELD)
    quince_send_guard_log_held (guard, now_us, identity, dispatch->request_id);
  else if (admission == QUINCE_ADMISSION_PROTECTED)
    quince_send_guard_log_protected (guard, now_us, identity, dispatch->request_id, dispatch->service);
  return admission;
}

/* Handles a reward call under which workers ended; logs the first of successive waits. */
static QuinceDispatchAction
wait_while_postponed (QuinceDispatch *dispatch, gint64 now_us, guint *wait_ms)
{
  static const char postponed[] = "request_postponed";
  QuinceSendGuard *guard = quince_backends_get_guard (dispatch->backends);
  if (dispatch->cause != postponed)
    quince_send_guard_log_postponed (guard, now_us, get_identity (dispatch), dispatch->request_id);
  dispatch->cause = postponed;
  *wait_ms = QUINCE_ADMISSION_POSTPONED_RETRY_MS;
  return QUINCE_DISPATCH_WAIT;
}

/* Handles a suspect whose service has too few workers to risk the loss of another one. */
static QuinceDispatchAction
handle_protected_service (QuinceDispatch *dispatch, gboolean response_started, gint64 now_us, guint *wait_ms)
{
  QuinceSendGuard *guard = quince_backends_get_guard (dispatch->backends);
  dispatch->cause = "workers_spared";
  *wait_ms = QUINCE_ADMISSION_PROTECTED_RETRY_MS;
  if (quince_admission_protected_may_wait (response_started))
    return QUINCE_DISPATCH_WAIT;
  dispatch->retry_after_ms = quince_send_guard_get_retry_after_ms (guard, now_us, dispatch->service);
  return QUINCE_DISPATCH_GIVE_UP;
}

QuinceDispatchAction
quince_dispatch_admit (QuinceDispatch *dispatch, gboolean response_started, gint64 now_us, guint *wait_ms)
{
  switch (request_admission (dispatch, now_us))
    {
    case QUINCE_ADMISSION_HELD:
      dispatch->cause = "request_held";
      return QUINCE_DISPATCH_HELD;
    case QUINCE_ADMISSION_POSTPONED:
      return wait_while_postponed (dispatch, now_us, wait_ms);
    case QUINCE_ADMISSION_PROTECTED:
      return handle_protected_service (dispatch, response_started, now_us, wait_ms);
    case QUINCE_ADMISSION_NO_PERMIT:
      dispatch->cause = "no_permit";
      return QUINCE_DISPATCH_GIVE_UP;
    case QUINCE_ADMISSION_WAIT:
      *wait_ms = QUINCE_ADMISSION_RETRY_MS;
      return QUINCE_DISPATCH_WAIT;
    case QUINCE_ADMISSION_GRANTED:
    case QUINCE_ADMISSION_UNHEDGED:
    case QUINCE_ADMISSION_PERMIT:
    default:
      return QUINCE_DISPATCH_SEND;
    }
}

gboolean
quince_dispatch_may_hedge (QuinceDispatch *dispatch, gint64 now_us)
{
  QuinceSendGuard *guard = quince_backends_get_guard (dispatch->backends);
  if (guard == NULL || quince_send_guard_is_idle (guard))
    return TRUE;
  return !dispatch->permit.taken
         && quince_send_guard_may_hedge (guard, now_us, get_identity (dispatch), dispatch->service);
}

void
quince_dispatch_handle_answer (QuinceDispatch *dispatch)
{
  QuinceSendGuard *guard = quince_backends_get_guard (dispatch->backends);
  if (guard == NULL || quince_send_guard_is_idle (guard))
    return;
  quince_send_guard_handle_answer (guard, get_identity (dispatch), &dispatch->permit);
}

const char *
quince_dispatch_get_cause (QuinceHttpOutcome outcome, const GError *error)
{
  if (outcome == QUINCE_HTTP_NOT_SENT)
    return "no_connection";
  switch (error->code)
    {
    case QUINCE_HTTP1_ERROR_TIMEOUT:
      return "worker_silent";
    case QUINCE_HTTP1_ERROR_UNMATCHED:
      return "wrong_answer";
    case QUINCE_HTTP1_ERROR_TOO_LARGE:
      return QUINCE_FORWARD_CAUSE_TOO_LARGE;
    default:
      return "connection_lost";
    }
}

gboolean
quince_dispatch_may_be_loss (QuinceHttpOutcome outcome, const GError *error)
{
  return outcome != QUINCE_HTTP_NOT_SENT && error->code != QUINCE_HTTP1_ERROR_TIMEOUT
         && error->code != QUINCE_HTTP1_ERROR_UNMATCHED && error->code != QUINCE_HTTP1_ERROR_TOO_LARGE;
}

void
quince_dispatch_handle_connection_loss (QuinceDispatch *dispatch, const QuinceWorkerRef *ref)
{
  const QuinceRequestIdentity *identity = get_identity (dispatch);
  g_autofree char *digest = quince_request_digest_format (&identity->request);
  quince_log_info ("run_lost", "request=%s worker=%s digest=%s", dispatch->request_id, ref->id, digest);
  QuinceSendGuard *guard = quince_backends_get_guard (dispatch->backends);
  if (guard != NULL)
    quince_send_guard_handle_connection_loss (guard, identity, &dispatch->permit, ref,
                                              quince_backends_find_lost_worker (dispatch->backends, ref));
}

void
quince_dispatch_return_permit (QuinceDispatch *dispatch)
{
  QuinceSendGuard *guard = quince_backends_get_guard (dispatch->backends);
  if (guard != NULL)
    quince_send_guard_return_permit (guard, &dispatch->permit);
}
