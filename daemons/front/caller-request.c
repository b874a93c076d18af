/*
 * caller-request.c: processes one complete request of a caller.
 *
 * A request for a service is forwarded to a worker; a rollout or a call about a batch goes to the ledger's
 * leader.  A 503 of the front itself means that the request has not run, and the caller may send it
 * again.  Exception: a call about an existing batch also gets a 503 if the leader's reply is lost.
 */
#include "caller-request.h"

#include <string.h>

#include "core/decisions/retry-after.h"
#include "forward/stream.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/clock.h"

#include "residency-check.h"
#include "platform.h"

/* Deadline of a request that does not set one, ms. */
#define DEFAULT_DEADLINE_MS 30000
/* Time for a call to the leader in addition to the wait that its caller allows, ms. */
#define LEDGER_READ_MARGIN_MS 1500
/* Maximum wait for the leader's reply to a submission, ms.  The caller then gets a 504, since the leader may
 * have accepted the batch. */
#define LEDGER_SUBMIT_TIMEOUT_MS 4000

struct _QuinceCallerRequest
{
  /* All fields belong to the main context. */
  QuinceFrontContext *context;
  QuinceHttpHead *head;
  GByteArray *body;
  QuinceCall call;
  gint64 received_us;     /* when its head was read, monotonic */
  char *ledger_reason;    /* why the leader refused it; NULL: it did not */
  char *api_key;          /* key of the caller, until the lookup of its tenant; NULL: none */
  char *tenant;           /* name of the tenant that owns the key; NULL: none */
  char *route;            /* name of its route; NULL: not found, or a call about a batch */
  gboolean is_submission; /* the request submits a batch */
  /* The source of the pending answer; at most one is set. */
  QuinceForward *forward;
  QuinceStream *stream;
  QuinceLedgerCallHandle *ledger_call;
  gboolean answer_started; /* the head of a streamed answer was sent to the caller */
  const QuinceCallerSink *sink;
  gpointer user_data;
};

static void
request_free (QuinceCallerRequest *request)
{
  quince_http_head_free (request->head);
  g_byte_array_unref (request->body);
  quince_platform_call_clear (&request->call);
  g_free (request->api_key);
  g_free (request->ledger_reason);
  g_free (request->tenant);
  g_free (request->route);
  g_free (request);
}

/* @first_run_us: when a worker may have started the request, monotonic; 0: no worker can have started it */
static void
record_usage (const QuinceCallerRequest *request, gint64 first_run_us)
{
  if (request->tenant != NULL && first_run_us != 0)
    quince_usage_reporter_record_start (request->context->usage, request->tenant, first_run_us);
}

void
quince_caller_request_cancel (QuinceCallerRequest *request)
{
  if (request->forward != NULL)
    {
      record_usage (request, quince_forward_get_first_run_us (request->forward));
      quince_forward_cancel (request->forward);
    }
  if (request->stream != NULL)
    quince_stream_cancel (request->stream);
  if (request->ledger_call != NULL)
    quince_ledger_call_cancel (request->ledger_call);
  QuincePlatformRequestHeaders request_headers;
  quince_platform_read_request (request->head->headers, &request_headers);
  g_autofree char *id = quince_log_quote (request_headers.request_id);
  g_autofree char *target = quince_log_quote (request->head->target);
  quince_log_info ("caller_left", "request=%s target=%s age_ms=%" G_GINT64_FORMAT, id, target,
                   (quince_now_us () - request->received_us) / 1000);
  request_free (request);
}

void
quince_caller_request_set_paused (QuinceCallerRequest *request, gboolean paused)
{
  if (request->stream != NULL)
    quince_stream_set_paused (request->stream, paused);
}

static const char *
get_kind_label (const QuinceCallerRequest *request)
{
  if (request->is_submission)
    return "submit";
  switch (request->call.kind)
    {
    case QUINCE_CALL_REQUEST:
      return "lookup";
    case QUINCE_CALL_RESULTS:
      return "results";
    case QUINCE_CALL_ITEM:
      return "item";
    case QUINCE_CALL_END_BATCH:
      return "end";
    default:
      return "unknown";
    }
}

static void
finish (QuinceCallerRequest *request, const QuinceCallerAnswer *answer)
{
  const char *kind = get_kind_label (request);
  g_autofree char *outcome = g_strdup_printf ("kind=\"%s\",status=\"%u\"", kind, answer->status);
  g_autofree char *labels = g_strdup_printf ("kind=\"%s\"", kind);
  quince_metric_add ("quince_front_requests_total", outcome, 1);
  quince_metric_observe_us ("quince_front_request_seconds", labels, quince_now_us () - request->received_us);
  request->sink->answer (answer, request->user_data);
  request_free (request);
}

static void
finish_error (QuinceCallerRequest *request, guint status, const char *cause, guint retry_after_ms)
{
  QuincePlatformRequestHeaders request_headers;
  quince_platform_read_request (request->head->headers, &request_headers);
  g_autofree char *labels = g_strdup_printf ("cause=\"%s\"", cause);
  quince_metric_add ("quince_front_refused_total", labels, 1);
  if (status == 503)
    quince_share_metrics_count_refusal (quince_backends_get_share_metrics (request->context->backends),
                                        request->route, request->tenant);
  g_autofree char *id = quince_log_quote (request_headers.request_id);
  g_autofree char *target = quince_log_quote (request->head->target);
  g_autofree char *reason = quince_log_quote (request->ledger_reason);
  quince_log_warning ("request_refused",
                      "request=%s target=%s status=%u cause=%s age_ms=%" G_GINT64_FORMAT " reason=%s", id,
                      target, status, cause, (quince_now_us () - request->received_us) / 1000, reason);
  g_autofree char *text = g_strdup_printf ("{\"error\":{\"type\":\"%s\"}}", cause);
  const QuinceCallerAnswer answer = { .status = status,
                                      .content_type = "application/json",
                                      .body = text,
                                      .body_length = strlen (text),
                                      .retry_after_ms = retry_after_ms };
  finish (request, &answer);
}

/* @known_ms: estimated time until the request may succeed, ms; 0: not known */
static guint
get_retry_after_ms (QuinceRefusalCause cause, guint known_ms)
{
  const QuinceRetryAfterInput input
      = { .cause = cause, .known_ms = known_ms, .zone_change_ms = QUINCE_OBSERVER_CHANGE_BOUND_MIN_MS };
  return quince_retry_after_ms (&input);
}

/* Refuses a request that no worker has run and that is not sent again.
 * @cause: (nullable)
 * @known_retry_after_ms: estimated time until a worker may accept it; 0: not known */
static void
finish_refused (QuinceCallerRequest *request, const char *cause, guint known_retry_after_ms)
{
  gboolean is_evacuated = g_strcmp0 (cause, QUINCE_FORWARD_CAUSE_EVACUATED) == 0;
  QuinceRefusalCause refusal_cause = is_evacuated ? QUINCE_REFUSED_EVACUATED : QUINCE_REFUSED_NO_WORKER;
  finish_error (request, 503, cause != NULL ? cause : "no_worker",
                get_retry_after_ms (refusal_cause, known_retry_after_ms));
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
    record_usage (request, quince_now_us ());
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
      finish_error (request, status, cause != NULL ? cause : "no_worker", 0);
      return;
    }
  gboolean complete = outcome == QUINCE_FORWARD_ANSWERED;
  quince_metric_add ("quince_front_streams_total", complete ? "outcome=\"whole\"" : "outcome=\"cut\"", 1);
  request->sink->end (complete, request->user_data);
  request_free (request);
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
  record_usage (request, result->first_run_us);
  switch (result->outcome)
    {
    case QUINCE_FORWARD_ANSWERED:
      {
        g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_copy (result->head->headers);
        quince_http_headers_remove_hop_by_hop (headers);
        log_answer (request, result);
        const QuinceCallerAnswer answer = { .status = result->head->status,
                                            .headers = headers,
                                            .body = (const char *)result->body->data,
                                            .body_length = result->body->len };
        finish (request, &answer);
        break;
      }
    case QUINCE_FORWARD_REFUSED:
      finish_refused (request, result->cause, result->retry_after_ms);
      break;
    case QUINCE_FORWARD_TIMEOUT:
      finish_error (request, 504, "timeout", 0);
      break;
    case QUINCE_FORWARD_HELD:
    case QUINCE_FORWARD_FAILED:
      finish_error (request, 502, result->cause != NULL ? result->cause : "worker_failed", 0);
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
    finish_error (request, 503, "policy",
                  get_retry_after_ms (QUINCE_REFUSED_POLICY, admission.retry_after_ms));
  return !admission.refuse;
}

/* Returns: %FALSE if residency rules, its tenant's share or the policy refused the request and freed it */
static gboolean
admit (QuinceCallerRequest *request, const QuinceRoute *route, const char *service, guint deadline_ms)
{
  if (!quince_residency_check_workers (request->context, route, request->tenant, service))
    {
      finish_error (request, 503, "residency", get_retry_after_ms (QUINCE_REFUSED_RESIDENCY, 0));
      return FALSE;
    }
  if (!quince_backends_admit_tenant (request->context->backends, service, request->tenant))
    {
      finish_error (request, 503, "tenant_share", get_retry_after_ms (QUINCE_REFUSED_NO_WORKER, 0));
      return FALSE;
    }
  return admit_by_policy (request, route, service, deadline_ms);
}

/* Returns: %FALSE if the request was refused and freed */
static gboolean
forward_request (QuinceCallerRequest *request, const QuinceRoute *route)
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
  g_autoptr (GBytes) body = g_bytes_new (request->body->data, request->body->len);
  g_auto (GStrv) prompt = route->sticky ? quince_platform_read_prompt (headers) : NULL;
  const QuinceForwardRequest forward = {
    .service = service,
    .caller = request->tenant,
    .kind = route->name,
    .method = request->head->method,
    .target = request->head->target,
    .request_id = request_headers.request_id,
    .headers = headers,
    .body = body,
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

/* ---- Calls about batches ---------------------------------------------- */

static void
ledger_done (QuinceLedgerCallOutcome outcome, const QuinceServiceReply *reply, gpointer data)
{
  QuinceCallerRequest *request = data;
  request->ledger_call = NULL;
  if (outcome == QUINCE_LEDGER_CALL_LOST && request->is_submission)
    finish_error (request, 504, "ledger_unknown", 0);
  else if (outcome != QUINCE_LEDGER_CALL_ANSWERED)
    finish_error (request, 503, "ledger_unreachable", get_retry_after_ms (QUINCE_REFUSED_LEDGER, 0));
  else if (reply->status >= 500)
    {
      /* The reason; empty from a leader of an earlier build. */
      request->ledger_reason = g_strndup (reply->body.body_val, reply->body.body_len);
      finish_error (request, reply->status, "ledger_refused", reply->retry_after_ms);
    }
  else
    {
      const QuinceCallerAnswer answer = { .status = reply->status,
                                          .content_type = reply->content_type,
                                          .body = reply->body.body_val,
                                          .body_length = reply->body.body_len,
                                          .retry_after_ms = reply->retry_after_ms };
      finish (request, &answer);
    }
}

static void
call_ledger (QuinceCallerRequest *request)
{
  guint wait_ms = quince_platform_read_wait_ms (request->head->headers);
  guint timeout_ms = request->is_submission ? LEDGER_SUBMIT_TIMEOUT_MS : wait_ms + LEDGER_READ_MARGIN_MS;
  request->ledger_call
      = quince_ledger_caller_start (request->context->ledger, request->head->method, request->head->target,
                                    request->head->headers, request->body, timeout_ms, ledger_done, request);
}

/* ---- Tenants ----------------------------------------------------------- */

/* Finds the tenant of the caller's API key and adds its name to the request's headers.  Without tenants in
 * the configuration, any request is accepted.
 * @key_optional: also accept a request without a known key
 * Returns: %FALSE if the request was refused and freed */
static gboolean
authorize (QuinceCallerRequest *request, const QuinceRouteTable *routes, gboolean key_optional)
{
  const QuinceTenantTable *tenants = quince_route_table_get_tenants (routes);
  g_autofree char *api_key = g_steal_pointer (&request->api_key);
  if (tenants == NULL)
    return TRUE;
  const QuinceTenant *tenant = api_key != NULL ? quince_tenant_table_find_by_key (tenants, api_key) : NULL;
  if (tenant != NULL)
    {
      request->tenant = g_strdup (tenant->name);
      quince_platform_write_tenant (request->head->headers, tenant->name);
    }
  else if (!key_optional)
    finish_error (request, 401, api_key != NULL ? "unknown_key" : "no_key", 0);
  return tenant != NULL || key_optional;
}

/* ---- Routing ---------------------------------------------------------- */

/* Returns: (transfer none) (nullable): the route table, or %NULL if no configuration is known yet; the
 * request is then refused and freed */
static QuinceRouteTable *
require_routes (QuinceCallerRequest *request)
{
  QuinceRouteTable *routes = quince_observer_get_routes (request->context->observer);
  if (routes == NULL)
    finish_error (request, 503, "no_configuration", get_retry_after_ms (QUINCE_REFUSED_NO_CONFIGURATION, 0));
  return routes;
}

/* Returns: %FALSE if the request was refused and freed */
static gboolean
route_request (QuinceCallerRequest *request)
{
  QuinceRouteTable *routes = require_routes (request);
  if (routes == NULL)
    return FALSE;
  const char *host = quince_http_headers_get (request->head->headers, "Host");
  const QuinceRoute *route
      = quince_route_table_find (routes, host != NULL ? host : "", request->head->target);
  if (route == NULL)
    {
      finish_error (request, 404, "no_route", 0);
      return FALSE;
    }
  request->route = g_strdup (route->name);
  if (!authorize (request, routes, route->is_public))
    return FALSE;
  request->is_submission = route->kind == QUINCE_ROUTE_ROLLOUT;
  if (!request->is_submission)
    return forward_request (request, route);
  if (!quince_residency_check_ledger (request->context, route, request->tenant))
    {
      finish_error (request, 503, "residency_ledger", get_retry_after_ms (QUINCE_REFUSED_RESIDENCY, 0));
      return FALSE;
    }
  call_ledger (request);
  return TRUE;
}

/* Sends a call about a batch to the leader.  A call without a key is allowed here, since a batch of a public
 * route belongs to no tenant; the leader decides whether the batch is accessible.
 * Returns: %FALSE if the request was refused and freed */
static gboolean
start_batch_call (QuinceCallerRequest *request)
{
  QuinceRouteTable *routes = require_routes (request);
  if (routes == NULL || !authorize (request, routes, request->api_key == NULL))
    return FALSE;
  call_ledger (request);
  return TRUE;
}

QuinceCallerRequest *
quince_caller_request_start (QuinceFrontContext *context,
                             QuinceHttpHead *head,
                             GByteArray *body,
                             gint64 received_us,
                             const QuinceCallerSink *sink,
                             gpointer user_data)
{
  QuinceCallerRequest *request = g_new0 (QuinceCallerRequest, 1);
  request->context = context;
  request->head = head;
  request->body = body;
  request->received_us = received_us;
  request->sink = sink;
  request->user_data = user_data;
  request->api_key = quince_platform_steal_api_key (head->headers);
  quince_platform_read_call (head->method, head->target, &request->call);
  switch (request->call.kind)
    {
    case QUINCE_CALL_REQUEST:
      return route_request (request) ? request : NULL;
    case QUINCE_CALL_RESULTS:
    case QUINCE_CALL_ITEM:
    case QUINCE_CALL_END_BATCH:
      return start_batch_call (request) ? request : NULL;
    default:
      finish_error (request, 404, "no_route", 0);
      return NULL;
    }
}
