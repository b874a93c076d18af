/*
 * caller-connection.c: a caller's HTTP connection.
 *
 * A request is processed once its whole body has arrived, and cancelled if the caller closes the connection.
 * During a planned stop the connection closes after the current answer.
 */
#include "caller-connection.h"

#include "runtime/log.h"
#include "runtime/clock.h"
#include "runtime/timer.h"

#include "caller-request.h"
#include "platform.h"

/* Limits until the first configuration is known.  They are generous, so that they do not refuse a request
 * that the configuration allows. */
/* Maximum size of a request head, bytes. */
#define DEFAULT_HEAD_MAX_BYTES (64 * 1024)
/* Maximum size of a request body, bytes. */
#define DEFAULT_BODY_MAX_BYTES (64 * 1024 * 1024)
/* Time after which an idle connection is closed, ms. */
#define DEFAULT_IDLE_TIMEOUT_MS 15000
/* Maximum time to receive a request head, ms; also the delay of the first check of a new connection. */
#define DEFAULT_HEAD_TIMEOUT_MS 3000
/* Added to the idle timeout, ms.  A caller may reuse a connection just before the timeout; the margin covers
 * the round trip, so that the request is not lost. */
#define IDLE_TIMEOUT_MARGIN_MS 1000
/* Initial buffer size for the head of an answer, bytes; the buffer grows if needed. */
#define ANSWER_HEAD_INITIAL_BYTES 512
/* Maximum size of a body that is copied behind its head to be sent in one write, bytes. */
#define ONE_WRITE_MAX_BYTES (64 * 1024)

struct _QuinceCallerConnection
{
  /* All fields belong to the main context. */
  QuinceFrontContext *context;
  QuinceListenKind kind;
  QuinceCallerConnectionClosed closed;
  gpointer user_data;
  QuinceHttpConnection *http;
  QuinceHttpHead *head; /* of the request being read; NULL: none */
  GByteArray *body;
  QuinceCallerRequest *request; /* in progress; NULL: none */
  gboolean answering;           /* a request was read and its answer is not complete */
  gboolean keep_alive;
  gboolean head_only;           /* the request's method is HEAD, so that its answer ends with the head */
  gboolean paused;              /* the caller does not take the streamed answer, see write_answer_chunk() */
  gint64 received_us;           /* when the last request head was read, monotonic */
  gint64 idle_since_us;         /* end of the last answer or start of the connection, monotonic */
  gint64 partial_head_since_us; /* when the timer first found an incomplete head, monotonic; 0: none */
  QuinceTimer *timer;
};

static void
connection_free (QuinceCallerConnection *connection)
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
  g_clear_pointer (&connection->body, g_byte_array_unref);
  g_free (connection);
}

void
quince_caller_connection_close (QuinceCallerConnection *connection)
{
  quince_http_connection_close (connection->http);
  connection_free (connection);
}

gboolean
quince_caller_connection_is_idle (const QuinceCallerConnection *connection)
{
  return !connection->answering && !quince_http_connection_is_reading (connection->http);
}

/* ---- Limits ----------------------------------------------------------- */

static QuinceCallerLimits
get_current_limits (const QuinceFrontContext *context)
{
  QuinceRouteTable *routes = quince_observer_get_routes (context->observer);
  const QuinceCallerLimits defaults = { .max_head_bytes = DEFAULT_HEAD_MAX_BYTES,
                                        .max_body_bytes = DEFAULT_BODY_MAX_BYTES,
                                        .head_timeout_ms = DEFAULT_HEAD_TIMEOUT_MS,
                                        .idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS };
  return routes != NULL ? *quince_route_table_get_limits (routes) : defaults;
}

static gboolean check_timeouts (gpointer data);
static void refuse_request (QuinceCallerConnection *connection, guint status);

static gboolean
is_reading_head (const QuinceCallerConnection *connection)
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
  const QuinceCallerLimits limits = get_current_limits (connection->context);
  gint64 now = quince_now_us ();
  gint64 head_timeout_us = (gint64)limits.head_timeout_ms * 1000;
  gint64 idle_timeout_us = ((gint64)limits.idle_timeout_ms + IDLE_TIMEOUT_MARGIN_MS) * 1000;
  gint64 idle_left_us = MAX (connection->idle_since_us, connection->received_us) + idle_timeout_us - now;
  if (is_reading_head (connection))
    {
      connection->partial_head_since_us
          = connection->partial_head_since_us > 0 ? connection->partial_head_since_us : now;
      if (now - connection->partial_head_since_us >= head_timeout_us)
        {
          refuse_request (connection, 408);
          return G_SOURCE_REMOVE;
        }
    }
  if (connection->answering || idle_left_us > 0)
    {
      gint64 wait_us = connection->answering ? idle_timeout_us / 2 : idle_left_us;
      schedule_timeout_check (connection, (guint)(MIN (wait_us, head_timeout_us) / 1000));
      return G_SOURCE_REMOVE;
    }
  quince_caller_connection_close (connection);
  return G_SOURCE_REMOVE;
}

/* ---- Answers ---------------------------------------------------------- */

static const char *
get_reason_phrase (guint status)
{
  static const struct
  {
    guint status;
    const char *phrase;
  } phrases[] = { { 200, "OK" },
                  { 202, "Accepted" },
                  { 400, "Bad Request" },
                  { 401, "Unauthorized" },
                  { 404, "Not Found" },
                  { 408, "Request Timeout" },
                  { 413, "Content Too Large" },
                  { 429, "Too Many Requests" },
                  { 431, "Request Header Fields Too Large" },
                  { 500, "Internal Server Error" },
                  { 502, "Bad Gateway" },
                  { 503, "Service Unavailable" },
                  { 504, "Gateway Timeout" } };
  for (guint i = 0; i < G_N_ELEMENTS (phrases); i++)
    if (phrases[i].status == status)
      return phrases[i].phrase;
  return "Answer";
}

static void
append_headers (GString *text, const QuinceCallerAnswer *answer)
{
  for (guint i = 0; answer->headers != NULL && i < quince_http_headers_get_length (answer->headers); i++)
    {
      const QuinceHttpHeader *header = quince_http_headers_index (answer->headers, i);
      g_string_append_printf (text, "%s: %s\r\n", header->name, header->value);
    }
  if (answer->content_type != NULL && *answer->content_type != '\0')
    g_string_append_printf (text, "Content-Type: %s\r\n", answer->content_type);
  if (answer->retry_after_ms > 0)
    g_string_append_printf (text, "Retry-After: %u.%03u\r\n", answer->retry_after_ms / 1000,
                            answer->retry_after_ms % 1000);
}

static void
write_answer (QuinceCallerConnection *connection, const QuinceCallerAnswer *answer)
{
  gboolean keep_open = connection->keep_alive && !connection->context->stopping;
  g_autoptr (GString) text = g_string_sized_new (ANSWER_HEAD_INITIAL_BYTES);
  g_string_append_printf (text, "HTTP/1.1 %u %s\r\n", answer->status, get_reason_phrase (answer->status));
  append_headers (text, answer);
  if (!keep_open)
    g_string_append (text, "Connection: close\r\n");
  g_string_append_printf (text, "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n", answer->body_length);
  gboolean has_body = !connection->head_only && answer->body_length > 0;
  gboolean is_large = answer->body_length > ONE_WRITE_MAX_BYTES;
  if (has_body && !is_large)
    g_string_append_len (text, answer->body, (gssize)answer->body_length);
  connection->answering = FALSE;
  connection->idle_since_us = quince_now_us ();
  quince_http_connection_write (connection->http, text->str, text->len);
  if (has_body && is_large)
    quince_http_connection_write (connection->http, answer->body, answer->body_length);
  if (keep_open)
    {
      quince_http_connection_next (connection->http);
      return;
    }
  quince_http_connection_finish (connection->http);
  connection_free (connection);
}

static void
write_complete_answer (const QuinceCallerAnswer *result, gpointer data)
{
  QuinceCallerConnection *connection = data;
  connection->request = NULL;
  connection->context->in_progress--;
  write_answer (connection, result);
}

/* ---- Streamed answers -------------------------------------------------- */

/* Unsent output of a streamed answer from which on its worker is not read until the caller has taken all of
 * it, bytes; limits the memory that a slow caller uses.  The data that was read with the last bytes adds at
 * most one event. */
#define UNSENT_PAUSE_BYTES (256 * 1024)

static void
write_answer_head (const QuinceCallerAnswer *result, gpointer data)
{
  QuinceCallerConnection *connection = data;
  connection->keep_alive = connection->keep_alive && !connection->context->stopping;
  g_autoptr (GString) text = g_string_sized_new (ANSWER_HEAD_INITIAL_BYTES);
  g_string_append_printf (text, "HTTP/1.1 %u %s\r\n", result->status, get_reason_phrase (result->status));
  append_headers (text, result);
  if (!connection->keep_alive)
    g_string_append (text, "Connection: close\r\n");
  g_string_append (text, "Transfer-Encoding: chunked\r\n\r\n");
  quince_http_connection_write (connection->http, text->str, text->len);
}

static void
write_answer_chunk (const char *data, gsize length, gpointer user_data)
{
  QuinceCallerConnection *connection = user_data;
  if (connection->head_only)
    return;
  g_autofree char *size = g_strdup_printf ("%zx\r\n", length);
  g_autoptr (GString) chunk = g_string_new (size);
  g_string_append_len (chunk, data, (gssize)length);
  g_string_append (chunk, "\r\n");
  quince_http_connection_write (connection->http, chunk->str, chunk->len);
  if (connection->paused
      || quince_http_connection_get_pending_output_bytes (connection->http) <= UNSENT_PAUSE_BYTES)
    return;
  connection->paused = TRUE;
  quince_caller_request_set_paused (connection->request, TRUE);
}

static void
http_drained (QuinceHttpConnection *http, gpointer data)
{
  QuinceCallerConnection *connection = data;
  if (!connection->paused)
    return;
  connection->paused = FALSE;
  if (connection->request != NULL)
    quince_caller_request_set_paused (connection->request, FALSE);
}

static void
end_streamed_answer (gboolean complete, gpointer data)
{
  QuinceCallerConnection *connection = data;
  static const char last_chunk[] = "0\r\n\r\n";
  connection->request = NULL;
  connection->paused = FALSE;
  connection->answering = FALSE;
  connection->idle_since_us = quince_now_us ();
  connection->context->in_progress--;
  if (!complete)
    {
      /* Without the last chunk the caller's HTTP library reports a truncated answer. */
      quince_http_connection_finish (connection->http);
      connection_free (connection);
      return;
    }
  if (!connection->head_only)
    quince_http_connection_write (connection->http, last_chunk, sizeof last_chunk - 1);
  if (connection->keep_alive)
    {
      quince_http_connection_next (connection->http);
      return;
    }
  quince_http_connection_finish (connection->http);
  connection_free (connection);
}

static const QuinceCallerSink answer_sink = { .answer = write_complete_answer,
                                              .begin = write_answer_head,
                                              .data = write_answer_chunk,
                                              .end = end_streamed_answer };

static void
write_status_answer (QuinceCallerConnection *connection, guint status)
{
  const QuinceCallerAnswer result = { .status = status, .body = "" };
  write_answer (connection, &result);
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
  write_answer (connection, &result);
}

/* ---- Requests --------------------------------------------------------- */

static void
start_request (QuinceCallerConnection *connection)
{
  connection->context->in_progress++;
  QuinceCallerRequest *request = quince_caller_request_start (
      connection->context, g_steal_pointer (&connection->head), g_steal_pointer (&connection->body),
      connection->received_us, &answer_sink, connection);
  /* After NULL the request is answered and the connection may have been freed. */
  if (request != NULL)
    connection->request = request;
}

static void
http_complete (QuinceHttpConnection *http, gpointer data)
{
  QuinceCallerConnection *connection = data;
  connection->answering = TRUE;
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

/* Refuses a request that is malformed, too large or too slow.  The request does not run, and the connection
 * closes without reading the rest of it. */
static void
refuse_request (QuinceCallerConnection *connection, guint status)
{
  quince_log_warning ("request_unreadable", "status=%u", status);
  connection->keep_alive = FALSE;
  write_status_answer (connection, status);
}

static void
http_refused (QuinceHttpConnection *http, const GError *error, gpointer data)
{
  gboolean too_large = g_error_matches (error, QUINCE_HTTP1_ERROR, QUINCE_HTTP1_ERROR_TOO_LARGE);
  refuse_request (data, too_large ? 431 : 400);
}

static void
http_head (QuinceHttpConnection *http, QuinceHttpHead *head, gpointer data)
{
  QuinceCallerConnection *connection = data;
  quince_http_head_free (connection->head);
  connection->head = head;
  connection->received_us = quince_now_us ();
  connection->partial_head_since_us = 0;
  g_clear_pointer (&connection->body, g_byte_array_unref);
  connection->body = g_byte_array_new ();
  const char *length = quince_http_headers_get (head->headers, "Content-Length");
  const QuinceCallerLimits limits = get_current_limits (connection->context);
  if (length != NULL && g_ascii_strtoull (length, NULL, 10) > limits.max_body_bytes)
    {
      refuse_request (connection, 413);
      return;
    }
  const char *expect = quince_http_headers_get (head->headers, "Expect");
  static const char continue_line[] = "HTTP/1.1 100 Continue\r\n\r\n";
  if (expect != NULL && g_ascii_strcasecmp (expect, "100-continue") == 0)
    quince_http_connection_write (http, continue_line, sizeof continue_line - 1);
}

static void
http_body (QuinceHttpConnection *http, const char *data, gsize length, gpointer user_data)
{
  QuinceCallerConnection *connection = user_data;
  if (connection->body->len + length > get_current_limits (connection->context).max_body_bytes)
    {
      refuse_request (connection, 413);
      return;
    }
  g_byte_array_append (connection->body, (const guint8 *)data, (guint)length);
}

static void
http_closed (QuinceHttpConnection *http, const GError *error, gpointer data)
{
  connection_free (data);
}

static const QuinceHttpConnectionCallbacks http_callbacks = { .head = http_head,
                                                              .body = http_body,
                                                              .complete = http_complete,
                                                              .refused = http_refused,
                                                              .closed = http_closed,
                                                              .drained = http_drained };

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
  connection->http = quince_http_connection_new_server (socket, get_current_limits (context).max_head_bytes,
                                                        &http_callbacks, connection);
  schedule_timeout_check (connection, DEFAULT_HEAD_TIMEOUT_MS);
  return connection;
}
