/*
 * caller-request.c: processes one complete request of a caller.
 *
 * A request for a service is forwarded to a worker; a rollout or a call about a batch goes to the ledger's
 * leader.  A 503 of the front itself means that the request has not run, and the caller may send it
 * again.  Exception: a call about an existing batch also gets a 503 if the leader's reply is lost.
 */
#include "caller-request-private.h"

#include <string.h>

#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/clock.h"

#include "residency-check.h"

/* Time for a call to the leader in addition to the wait that its caller allows, ms. */
#define LEDGER_READ_MARGIN_MS 1500
/* Maximum wait for the leader's reply to a submission, ms.  The caller then gets a 504, since the leader may
 * have accepted the batch. */
#define LEDGER_SUBMIT_TIMEOUT_MS 4000

void
quince_caller_request_free (QuinceCallerRequest *request)
{
  quince_http_head_free (request->head);
  g_bytes_unref (request->body);
  quince_platform_call_clear (&request->call);
  g_free (request->api_key);
  g_free (request->ledger_reason);
  g_free (request->tenant);
  g_free (request->route);
  g_free (request);
}

void
quince_caller_request_record_usage (const QuinceCallerRequest *request, gint64 first_run_us)
{
  if (request->tenant != NULL && first_run_us != 0)
    quince_usage_reporter_record_start (request->context->usage, request->tenant, first_run_us);
}

void
quince_caller_request_cancel (QuinceCallerRequest *request)
{
  if (request->forward != NULL)
    {
      quince_caller_request_record_usage (request, quince_forward_get_first_run_us (request->forward));
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
  quince_caller_request_free (request);
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

void
quince_caller_request_finish (QuinceCallerRequest *request, const QuinceCallerAnswer *answer)
{
  const char *kind = get_kind_label (request);
  g_autofree char *outcome = g_strdup_printf ("kind=\"%s\",status=\"%u\"", kind, answer->status);
  g_autofree char *labels = g_strdup_printf ("kind=\"%s\"", kind);
  quince_metric_add ("quince_front_requests_total", outcome, 1);
  quince_metric_observe_us ("quince_front_request_seconds", labels, quince_now_us () - request->received_us);
  request->sink->answer (answer, request->user_data);
  quince_caller_request_free (request);
}

void
quince_caller_request_refuse (QuinceCallerRequest *request,
                              guint status,
                              const char *cause,
                              guint retry_after_ms)
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
  quince_caller_request_finish (request, &answer);
}

guint
quince_caller_request_get_retry_after_ms (QuinceRefusalCause cause, guint known_ms)
{
  const QuinceRetryAfterInput input
      = { .cause = cause, .known_ms = known_ms, .zone_change_ms = QUINCE_OBSERVER_CHANGE_BOUND_MIN_MS };
  return quince_retry_after_ms (&input);
}

/* ---- Calls about batches ---------------------------------------------- */

static void
ledger_done (QuinceLedgerCallOutcome outcome, QuinceServiceReply *reply, gpointer data)
{
  QuinceCallerRequest *request = data;
  request->ledger_call = NULL;
  if (outcome == QUINCE_LEDGER_CALL_LOST && request->is_submission)
    quince_caller_request_refuse (request, 504, "ledger_unknown", 0);
  else if (outcome == QUINCE_LEDGER_CALL_NO_MEMORY)
    quince_caller_request_refuse (request, 503, "memory",
                                  quince_caller_request_get_retry_after_ms (QUINCE_REFUSED_MEMORY, 0));
  else if (outcome != QUINCE_LEDGER_CALL_ANSWERED)
    quince_caller_request_refuse (request, 503, "ledger_unreachable",
                                  quince_caller_request_get_retry_after_ms (QUINCE_REFUSED_LEDGER, 0));
  else if (reply->status >= 500)
    {
      /* The reason; empty from a leader of an earlier build. */
      request->ledger_reason = g_strndup (reply->body.body_val, reply->body.body_len);
      quince_caller_request_refuse (request, reply->status, "ledger_refused", reply->retry_after_ms);
    }
  else
    {
      g_autoptr (GBytes) body
          = g_bytes_new_take (g_steal_pointer (&reply->body.body_val), reply->body.body_len);
      reply->body.body_len = 0;
      const QuinceCallerAnswer answer = { .status = reply->status,
                                          .content_type = reply->content_type,
                                          .shared_body = body,
                                          .retry_after_ms = reply->retry_after_ms };
      quince_caller_request_finish (request, &answer);
    }
}

static void
call_ledger (QuinceCallerRequest *request)
{
  guint wait_ms = quince_platform_read_wait_ms (request->head->headers);
  guint timeout_ms = request->is_submission ? LEDGER_SUBMIT_TIMEOUT_MS : wait_ms + LEDGER_READ_MARGIN_MS;
  /* The leader reads the body of a submission only. */
  g_autoptr (GBytes) body = request->is_submission ? g_bytes_ref (request->body) : g_bytes_new (NULL, 0);
  request->ledger_call
      = quince_ledger_caller_start (request->context->ledger, request->head->method, request->head->target,
                                    request->head->headers, body, timeout_ms, ledger_done, request);
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
    quince_caller_request_refuse (request, 401, api_key != NULL ? "unknown_key" : "no_key", 0);
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
    quince_caller_request_refuse (
        request, 503, "no_configuration",
        quince_caller_request_get_retry_after_ms (QUINCE_REFUSED_NO_CONFIGURATION, 0));
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
      quince_caller_request_refuse (request, 404, "no_route", 0);
      return FALSE;
    }
  request->route = g_strdup (route->name);
  if (!authorize (request, routes, route->is_public))
    return FALSE;
  request->is_submission = route->kind == QUINCE_ROUTE_ROLLOUT;
  if (!request->is_submission)
    return quince_caller_request_forward (request, route);
  if (!quince_residency_check_ledger (request->context, route, request->tenant))
    {
      quince_caller_request_refuse (request, 503, "residency_ledger",
                                    quince_caller_request_get_retry_after_ms (QUINCE_REFUSED_RESIDENCY, 0));
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
                             GBytes *body,
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
      quince_caller_request_refuse (request, 404, "no_route", 0);
      return NULL;
    }
}
