/*
 * caller-forward.c: forwards a request of a caller to a worker, and the worker's answer to the caller.
 */
#include "caller-request-private.h"

#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/clock.h"

#include "residency-check.h"

/* Deadline of a request that does not set one, ms. */
#define DEFAULT_DEADLINE_MS 30000

/* Refuses a request that no worker has run and that is not sent again.
 * @cause: (nullable)
 * @known_retry_after_ms: estimated time until a worker may accept it; 0: not known */
static void
finish_refused (QuinceCallerRequest *request, const char *cause, guint known_retry_after_ms)
{
  gboolean is_evacuated = g_strcmp0 (cause, QUINCE_FORWARD_CAUSE_EVACUATED) == 0;
  QuinceRefusalCause refusal_cause = is_evacuated ? QUINCE_REFUSED_EVACUATED : QUINCE_REFUSED_NO_WORKER;
  quince_caller_request_refuse (
      request, 503, cause != NULL ? cause : "no_worker",
      quince_caller_request_get_retry_after_ms (refusal_cause, known_retry_after_ms));
}

/* ---- Streams ---------------------------------------------------------- */

static void
stream_head (const QuinceHttpHead *head, gpointer data)
{
  QuinceCallerRequest *request = data;
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_copy (head->headers);
  quince_http_headers_remove_hop_by_hop (headers);
  const QuinceCallerAnswer answer = { .status = head->status, .headers = headers };
  if (!request->answer_started)
    quince_caller_request_record_usage (request, quince_now_us ());
  request->answer_started = TRUE;
  request->sink->begin (&answer, request->user_data);
}

static void
stream_data (const char *data, gsize length, gpointer user_data)
{
  QuinceCallerRequest *request = user_data;
  request->sink->data (data, length, request->user_data);
}

static void
stream_done (QuinceForwardOutcome outcome, const char *cause, gpointer data)
{
  QuinceCallerRequest *request = data;
  guint retry_after_ms = quince_stream_get_retry_after_ms (request->stream);
  request->stream = NULL;
  if (!request->answer_started && outcome == QUINCE_FORWARD_REFUSED)
    {
      finish_refused (request, cause, retry_after_ms);
      return;
    }
  if (!request->answer_started)
    {
      /* Workers ended while they ran a held request.  502 does not claim that the request has not run, and
       * without Retry-After the caller is not invited to send it again. */
      guint status = outcome == QUINCE_FORWARD_TIMEOUT ? 504 : 502;
      quince_caller_request_refuse (request, status, cause != NULL ? cause : "no_worker", 0);
      return;
    }
  gboolean complete = outcome == QUINCE_FORWARD_ANSWERED;
  quince_metric_add ("quince_front_streams_total", complete ? "outcome=\"whole\"" : "outcome=\"cut\"", 1);
  request->sink->end (complete, request->user_data);
  quince_caller_request_free (request);
}

static const QuinceStreamCallbacks stream_callbacks
    = { .head = stream_head, .data = stream_data, .done = stream_done };

/* ---- Requests for workers --------------------------------------------- */

static void
log_answer (const QuinceCallerRequest *request, const QuinceForwardResult *result)
{
  QuincePlatformRequestHeaders request_headers;
  quince_platform_read_request (request->head->headers, &request_headers);
  g_autofree char *id = quince_log_quote (request_headers.request_id);
  quince_log_info ("request_answered",
                   "request=%s status=%u worker=%s attempts=%u worker_ms=%" G_GINT64_FORMAT
                   " age_ms=%" G_GINT64_FORMAT,
                   id, result->head->status, result->worker_id, result->attempts,
                   result->attempt_duration_us / 1000, (quince_now_us () - request->received_us) / 1000);
}

static void
forward_done (const QuinceForwardResult *result, gpointer data)
{
  QuinceCallerRequest *request = data;
  request->forward = NULL;
  quince_caller_request_record_usage (request, result->first_run_us);
  switch (result->outcome)
    {
    case QUINCE_FORWARD_ANSWERED:
      {
        g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_copy (result->head->headers);
        quince_http_headers_remove_hop_by_hop (headers);
        log_answer (request, result);
        g_autoptr (GBytes) body = quince_http_body_share (result->body);
        const QuinceCallerAnswer answer
            = { .status = result->head->status, .headers = headers, .shared_body = body };
        quince_caller_request_finish (request, &answer);
        break;
      }
    case QUINCE_FORWARD_REFUSED:
      finish_refused (request, result->cause, result->retry_after_ms);
      break;
    case QUINCE_FORWARD_TIMEOUT:
      quince_caller_request_refuse (request, 504, "timeout", 0);
      break;
    case QUINCE_FORWARD_HELD:
    case QUINCE_FORWARD_FAILED:
      quince_caller_request_refuse (request, 502, result->cause != NULL ? result->cause : "worker_failed", 0);
      break;
    }
}

/* Returns: %FALSE if the policy refuses the request, which is then answered and freed */
static gboolean
admit_by_policy (QuinceCallerRequest *request,
                 const QuinceRoute *route,
                 const char *service,
                 guint deadline_ms)
{
  QuincePolicyRequest policy_request = { .service = service,
                                         .member = request->tenant != NULL ? request->tenant : "",
                                         .kind = route->name,
                                         .at_most_once = route->kind == QUINCE_ROUTE_AT_MOST_ONCE,
                                         .attempt = 1,
                                         .deadline_ms = deadline_ms,
                                         .waiting = request->context->in_progress };
  quince_backends_describe_events (request->context->backends, quince_wall_ms (), &policy_request);
  QuincePolicyAdmission admission;
  quince_backends_admit (request->context->backends, &policy_request, &admission);
  if (admission.refuse)
    quince_caller_request_refuse (
        request, 503, "policy",
        quince_caller_request_get_retry_after_ms (QUINCE_REFUSED_POLICY, admission.retry_after_ms));
  return !admission.refuse;
}

/* Returns: %FALSE if residency rules, its tenant's share or the policy refused the request and freed it */
static gboolean
admit (QuinceCallerRequest *request, const QuinceRoute *route, const char *service, guint deadline_ms)
{
  if (!quince_residency_check_workers (request->context, route, request->tenant, service))
    {
      quince_caller_request_refuse (request, 503, "residency",
                                    quince_caller_request_get_retry_after_ms (QUINCE_REFUSED_RESIDENCY, 0));
      return FALSE;
    }
  if (!quince_backends_admit_tenant (request->context->backends, service, request->tenant))
    {
      quince_caller_request_refuse (request, 503, "tenant_share",
                                    quince_caller_request_get_retry_after_ms (QUINCE_REFUSED_NO_WORKER, 0));
      return FALSE;
    }
  return admit_by_policy (request, route, service, deadline_ms);
}

gboolean
quince_caller_request_forward (QuinceCallerRequest *request, const QuinceRoute *route)
{
  QuincePlatformRequestHeaders request_headers;
  quince_platform_read_request (request->head->headers, &request_headers);
  guint deadline_ms = request_headers.deadline_ms > 0 ? request_headers.deadline_ms : DEFAULT_DEADLINE_MS;
  guint timeout_ms = route->timeout_ms > 0 ? MIN (route->timeout_ms, deadline_ms) : deadline_ms;
  const char *service = quince_route_splits_next_service (request->context->splits, route);
  if (!admit (request, route, service, deadline_ms))
    return FALSE;
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_copy (request->head->headers);
  quince_http_headers_remove_hop_by_hop (headers);
  g_auto (GStrv) prompt = route->sticky ? quince_platform_read_prompt (headers) : NULL;
  const QuinceForwardRequest forward = {
    .service = service,
    .caller = request->tenant,
    .kind = route->name,
    .method = request->head->method,
    .target = request->head->target,
    .request_id = request_headers.request_id,
    .headers = headers,
    .body = request->body,
    .prompt = (const char *const *)prompt,
    .mixed_targets
    = quince_route_table_has_mixed_targets (quince_observer_get_routes (request->context->observer), service),
    .repeatable = route->kind == QUINCE_ROUTE_IDEMPOTENT,
    .max_attempts = route->max_attempts,
    .target_latency_ms = route->target_latency_ms,
    .deadline_us = request->received_us + (gint64)deadline_ms * 1000,
    .give_up_us = request->received_us + (gint64)timeout_ms * 1000,
  };
  if (route->kind == QUINCE_ROUTE_STREAMING)
    request->stream = quince_stream_start (request->context->backends, &quince_platform_stream_codec,
                                           &forward, route->resumable, &stream_callbacks, request);
  else
    request->forward = quince_forward_start (request->context->backends, &quince_platform_forward_codec,
                                             &forward, forward_done, request);
  return TRUE;
}
