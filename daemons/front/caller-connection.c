/*
 * caller-connection.c: a caller's HTTP connection.
 *
 * A request is processed once its whole body has arrived, and cancelled if the caller closes the connection.
 * What it holds in memory is accounted for: it is refused if there is no room for it.
 * During a planned stop the connection closes after the current answer.
 */
#include "caller-connection-private.h"

#include "core/decisions/retry-after.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/metrics.h"

#include "caller-limits.h"
#include "platform.h"

/* Delay of the first check of a new connection, ms. */
#define FIRST_TIMEOUT_CHECK_MS 3000
/* Added to the idle timeout, ms.  A caller may reuse a connection just before the timeout; the margin covers
 * the round trip, so that the request is not lost. */
#define IDLE_TIMEOUT_MARGIN_MS 1000
/* Time without input after which a request that is being read may be ended for another one, us. */
#define STALLED_US (2 * G_USEC_PER_SEC)
/* Maximum size of the body of a request that has none by its kind, bytes; it is discarded. */
#define UNUSED_BODY_MAX_BYTES 4096

void
quince_caller_connection_free (QuinceCallerConnection *connection)
{
  connection->closed (connection, connection->user_data);
  quince_timer_clear (&connection->timer);
  if (connection->request != NULL)
    {
      quince_caller_request_cancel (connection->request);
      connection->context->in_progress--;
    }
  quince_http_connection_unref (connection->http);
  quince_http_head_free (connection->head);
  quince_caller_body_free (connection->body);
  quince_memory_hold_free (connection->hold);
  g_free (connection);
}

void
quince_caller_connection_close (QuinceCallerConnection *connection)
{
  quince_http_connection_close (connection->http);
  quince_caller_connection_free (connection);
}

gboolean
quince_caller_connection_is_idle (const QuinceCallerConnection *connection)
{
  return !connection->answering && !quince_http_connection_is_reading (connection->http);
}

gint64
quince_caller_connection_get_active_us (const QuinceCallerConnection *connection)
{
  return MAX (connection->idle_since_us, MAX (connection->received_us, connection->input_us));
}

QuinceConnectionUse
quince_caller_connection_get_use (const QuinceCallerConnection *connection, gint64 now_us)
{
  if (connection->answering)
    return QUINCE_CONNECTION_IN_USE;
  if (!quince_http_connection_is_reading (connection->http))
    return connection->used ? QUINCE_CONNECTION_RESTING : QUINCE_CONNECTION_UNUSED;
  gboolean has_stalled = now_us - quince_caller_connection_get_active_us (connection) >= STALLED_US;
  return has_stalled ? QUINCE_CONNECTION_STALLED : QUINCE_CONNECTION_IN_USE;
}

/* ---- Timeouts --------------------------------------------------------- */

static gboolean check_timeouts (gpointer data);
static void refuse_request (QuinceCallerConnection *connection, guint status, const char *cause);

gboolean
quince_caller_connection_is_reading_head (const QuinceCallerConnection *connection)
{
  return !connection->answering && connection->head == NULL
         && quince_http_connection_is_reading (connection->http);
}

static void
schedule_timeout_check (QuinceCallerConnection *connection, guint wait_ms)
{
  quince_timer_clear (&connection->timer);
  connection->timer = quince_timer_add (MAX (wait_ms, 1), check_timeouts, connection);
}

/* Checks the timeouts of the connection and schedules the next check. */
static gboolean
check_timeouts (gpointer data)
{
  QuinceCallerConnection *connection = data;
  const QuinceCallerLimits limits = quince_caller_limits_get (connection->context);
  gint64 now = quince_now_us ();
  gint64 head_timeout_us = (gint64)limits.head_timeout_ms * 1000;
  gint64 idle_timeout_us = ((gint64)limits.idle_timeout_ms + IDLE_TIMEOUT_MARGIN_MS) * 1000;
  gint64 idle_left_us = quince_caller_connection_get_active_us (connection) + idle_timeout_us - now;
  if (quince_caller_connection_is_reading_head (connection))
    {
      connection->partial_head_since_us
          = connection->partial_head_since_us > 0 ? connection->partial_head_since_us : now;
      if (now - connection->partial_head_since_us >= head_timeout_us)
        {
          refuse_request (connection, 408, "head_late");
          return G_SOURCE_REMOVE;
        }
    }
  if (connection->answering || idle_left_us > 0)
    {
      gint64 wait_us = connection->answering ? idle_timeout_us / 2 : idle_left_us;
      schedule_timeout_check (connection, (guint)(MIN (wait_us, head_timeout_us) / 1000));
      return G_SOURCE_REMOVE;
    }
  if (connection->head != NULL)
    refuse_request (connection, 408, "body_late");
  else
    quince_caller_connection_close (connection);
  return G_SOURCE_REMOVE;
}

/* ---- The readiness check and the directory ------------------------------ */

static void
write_status_answer (QuinceCallerConnection *connection, guint status)
{
  const QuinceCallerAnswer result = { .status = status, .body = "" };
  quince_caller_connection_write_answer (connection, &result);
}

static void
write_directory_answer (QuinceCallerConnection *connection, const QuinceCall *call)
{
  const QuinceFrontContext *context = connection->context;
  g_auto (GStrv) addresses
      = quince_directory_list (context->directory, quince_now_us (), call->zone, call->region);
  if (addresses[0] == NULL)
    {
      write_status_answer (connection, 503);
      return;
    }
  g_autoptr (GBytes) body
      = quince_platform_format_addresses ((const char *const *)addresses, context->directory_ttl_s);
  const QuinceCallerAnswer result = { .status = 200,
                                      .content_type = "application/json",
                                      .body = g_bytes_get_data (body, NULL),
                                      .body_length = g_bytes_get_size (body) };
  quince_caller_connection_write_answer (connection, &result);
}

/* ---- Requests --------------------------------------------------------- */

static void
start_request (QuinceCallerConnection *connection)
{
  connection->context->in_progress++;
  GBytes *body = connection->body != NULL ? quince_caller_body_finish (g_steal_pointer (&connection->body))
                                          : g_bytes_new (NULL, 0);
  QuinceCallerRequest *request
      = quince_caller_request_start (connection->context, g_steal_pointer (&connection->head), body,
                                     connection->received_us, &quince_caller_connection_sink, connection);
  /* After NULL the request is answered and the connection may have been freed. */
  if (request != NULL)
    connection->request = request;
}

static void
http_complete (QuinceHttpConnection *http, gpointer data)
{
  QuinceCallerConnection *connection = data;
  connection->answering = TRUE;
  connection->used = TRUE;
  connection->keep_alive = connection->head->keep_alive;
  connection->head_only = g_str_equal (connection->head->method, "HEAD");
  if (connection->kind == QUINCE_LISTEN_CALLERS)
    {
      start_request (connection);
      return;
    }
  QuinceCall call;
  quince_platform_read_call (connection->head->method, connection->head->target, &call);
  g_clear_pointer (&connection->head, quince_http_head_free);
  if (connection->kind == QUINCE_LISTEN_READY)
    write_status_answer (connection, quince_front_context_is_ready (connection->context) ? 200 : 503);
  else if (call.kind == QUINCE_CALL_RESOLVE)
    write_directory_answer (connection, &call);
  else
    write_status_answer (connection, 404);
  quince_platform_call_clear (&call);
}

/* Refuses a request that is malformed, too large or too slow, or for which there is no memory.  The request
 * does not run, and the connection closes without reading the rest of it. */
static void
refuse_request (QuinceCallerConnection *connection, guint status, const char *cause)
{
  g_autofree char *labels = g_strdup_printf ("cause=\"%s\",status=\"%u\"", cause, status);
  quince_metric_add ("quince_front_unread_requests_total", labels, 1);
  quince_log_warning ("request_unreadable", "status=%u cause=%s", status, cause);
  const QuinceRetryAfterInput refused = { .cause = QUINCE_REFUSED_MEMORY };
  const QuinceCallerAnswer result = {
    .status = status, .body = "", .retry_after_ms = status == 503 ? quince_retry_after_ms (&refused) : 0
  };
  connection->keep_alive = FALSE;
  quince_caller_connection_write_answer (connection, &result);
}

static void
http_refused (QuinceHttpConnection *http, const GError *error, gpointer data)
{
  gboolean too_large = g_error_matches (error, QUINCE_HTTP1_ERROR, QUINCE_HTTP1_ERROR_TOO_LARGE);
  refuse_request (data, too_large ? 431 : 400, too_large ? "head_too_large" : "malformed");
}

/* ---- Memory ------------------------------------------------------------ */

/* Ends a request whose body, or a connection whose answer, makes no progress while others need the memory. */
static void
evict (gpointer data)
{
  QuinceCallerConnection *connection = data;
  if (connection->head != NULL || quince_caller_connection_is_reading_head (connection))
    refuse_request (connection, 408, "memory_stalled");
  else
    {
      quince_metric_add ("quince_front_connections_closed_total", "cause=\"answer_stalled\"", 1);
      quince_log_warning ("connection_evicted", "cause=answer_stalled");
      quince_caller_connection_close (connection);
    }
}

/* Returns: (transfer none): the body of the request being read */
static QuinceCallerBody *
get_body (QuinceCallerConnection *connection)
{
  if (connection->body == NULL)
    connection->body = quince_caller_body_new (connection->context->memory,
                                               quince_caller_limits_get (connection->context).max_body_bytes,
                                               evict, connection);
  return connection->body;
}

/* Returns: whether a part of a body was accepted; otherwise the request is refused */
static gboolean
check_body_result (QuinceCallerConnection *connection, QuinceCallerBodyResult result)
{
  if (result == QUINCE_CALLER_BODY_TOO_LARGE)
    refuse_request (connection, 413, "body_too_large");
  else if (result == QUINCE_CALLER_BODY_NO_MEMORY)
    refuse_request (connection, 503, "memory");
  return result == QUINCE_CALLER_BODY_ACCEPTED;
}

/* Reserves memory for an announced body.  Returns %FALSE if the request was refused. */
static gboolean
announce_body (QuinceCallerConnection *connection, guint64 length)
{
  if (connection->kind == QUINCE_LISTEN_CALLERS)
    return check_body_result (
        connection, quince_caller_body_announce (get_body (connection), length, connection->input_us));
  return check_body_result (connection, length > UNUSED_BODY_MAX_BYTES ? QUINCE_CALLER_BODY_TOO_LARGE
                                                                       : QUINCE_CALLER_BODY_ACCEPTED);
}

static void
http_head (QuinceHttpConnection *http, QuinceHttpHead *head, gpointer data)
{
  QuinceCallerConnection *connection = data;
  quince_http_head_free (connection->head);
  connection->head = head;
  connection->received_us = connection->input_us = quince_now_us ();
  connection->partial_head_since_us = 0;
  connection->unused_body_bytes = 0;
  g_clear_pointer (&connection->body, quince_caller_body_free);
  const char *length = quince_http_headers_get (head->headers, "Content-Length");
  if (length != NULL && !announce_body (connection, g_ascii_strtoull (length, NULL, 10)))
    return;
  const char *expect = quince_http_headers_get (head->headers, "Expect");
  static const char continue_line[] = "HTTP/1.1 100 Continue\r\n\r\n";
  if (expect != NULL && g_ascii_strcasecmp (expect, "100-continue") == 0)
    quince_http_connection_write (http, continue_line, sizeof continue_line - 1);
}

static void
http_body (QuinceHttpConnection *http, const char *data, gsize length, gpointer user_data)
{
  QuinceCallerConnection *connection = user_data;
  connection->input_us = quince_now_us ();
  connection->unused_body_bytes += length;
  if (connection->kind == QUINCE_LISTEN_CALLERS)
    check_body_result (connection,
                       quince_caller_body_append (get_body (connection), data, length, connection->input_us));
  else if (connection->unused_body_bytes > UNUSED_BODY_MAX_BYTES)
    check_body_result (connection, QUINCE_CALLER_BODY_TOO_LARGE);
}

/* Accounts for an incomplete head, or for requests that were sent before the answer to the one in progress.
 */
static void
http_input_held (QuinceHttpConnection *http, gsize bytes, gpointer user_data)
{
  QuinceCallerConnection *connection = user_data;
  gint64 now_us = quince_now_us ();
  gsize unsent = quince_http_connection_get_pending_output_bytes (http);
  connection->input_bytes = bytes;
  connection->input_us = now_us;
  if (quince_memory_hold_reserve (connection->hold, bytes + unsent, now_us))
    {
      quince_memory_hold_set_waiting (
          connection->hold, unsent > 0 || quince_caller_connection_is_reading_head (connection), now_us);
      quince_memory_hold_record_progress (connection->hold, bytes, now_us);
    }
  else if (quince_caller_connection_is_reading_head (connection))
    refuse_request (connection, 503, "memory");
  else
    quince_caller_connection_close (connection);
}

static void
http_closed (QuinceHttpConnection *http, const GError *error, gpointer data)
{
  quince_caller_connection_free (data);
}

static const QuinceHttpConnectionCallbacks http_callbacks
    = { .head = http_head,
        .body = http_body,
        .complete = http_complete,
        .refused = http_refused,
        .closed = http_closed,
        .drained = quince_caller_connection_handle_drained,
        .input_held = http_input_held };

QuinceCallerConnection *
quince_caller_connection_new (QuinceFrontContext *context,
                              QuinceListenKind kind,
                              GSocket *socket,
                              QuinceCallerConnectionClosed closed,
                              gpointer user_data)
{
  QuinceCallerConnection *connection = g_new0 (QuinceCallerConnection, 1);
  connection->context = context;
  connection->kind = kind;
  connection->closed = closed;
  connection->user_data = user_data;
  connection->idle_since_us = quince_now_us ();
  connection->hold = quince_memory_hold_new (context->memory, evict, connection);
  connection->http = quince_http_connection_new_server (
      socket, quince_caller_limits_get (context).max_head_bytes, &http_callbacks, connection);
  schedule_timeout_check (connection, FIRST_TIMEOUT_CHECK_MS);
  return connection;
}
