/*
 * caller-connection.c: one caller's connection.
 *
 * A request is read whole before anything is done with it; a caller that goes away meanwhile has its work
 * cancelled.  While the front stops, each answer ends its connection.
 */
#include "caller-connection.h"

#include "runtime/log.h"
#include "runtime/clock.h"

#include "caller-request.h"
#include "platform.h"

/* Limits until the first configuration is known. */
#define HEAD_MAX_BYTES (64 * 1024)
#define BODY_MAX_BYTES (64 * 1024 * 1024)
#define IDLE_MS 15000
#define HEAD_MS 3000
/* A caller may use a connection that has rested for most of the idle time: leave it a little more. */
#define IDLE_MARGIN_MS 1000

struct _QuinceCallerConnection
{
  /* All fields belong to the main context. */
  QuinceFront *front;
  QuinceListenKind kind;
  QuinceHttpConnection *http;
  QuinceHttpHead *head; /* of the request being read */
  GByteArray *body;
  QuinceCallerRequest *request; /* being answered */
  gboolean answering;
  gboolean keep_alive;
  gboolean cut; /* a piece of an answer was left out: its caller did not read */
  gint64 received_us;
  gint64 quiet_since_us; /* of the last answer, or of the start */
  gint64 head_since_us;  /* when an unfinished head was first looked at; 0: none */
  GSource *timer;
};

static void
connection_free (QuinceCallerConnection *connection)
{
  g_hash_table_remove (connection->front->connections, connection);
  quince_source_clear (&connection->timer);
  if (connection->request != NULL)
    quince_caller_request_cancel (connection->request);
  quince_http_connection_unref (connection->http);
  quince_http_head_free (connection->head);
  g_clear_pointer (&connection->body, g_byte_array_unref);
  g_free (connection);
}

void
quince_caller_connection_drop (QuinceCallerConnection *connection)
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
limits_now (const QuinceFront *front)
{
  QuinceRouteTable *routes = front->observer != NULL ? quince_observer_get_routes (front->observer) : NULL;
  const QuinceCallerLimits unknown = { .max_head_bytes = HEAD_MAX_BYTES,
                                       .max_body_bytes = BODY_MAX_BYTES,
                                       .head_timeout_ms = HEAD_MS,
                                       .idle_timeout_ms = IDLE_MS };
  return routes != NULL ? *quince_route_table_get_limits (routes) : unknown;
}

static gboolean check_time (gpointer data);
static void refuse_input (QuinceCallerConnection *connection, guint status);

static gboolean
is_reading_head (const QuinceCallerConnection *connection)
{
  return !connection->answering && connection->head == NULL
         && quince_http_connection_is_reading (connection->http);
}

static void
watch_time (QuinceCallerConnection *connection, guint wait_ms)
{
  quince_source_clear (&connection->timer);
  connection->timer = quince_timer_add (MAX (wait_ms, 1), check_time, connection);
}

/* One timer for a connection: it looks again when its time may be up. */
static gboolean
check_time (gpointer data)
{
  QuinceCallerConnection *connection = data;
  const QuinceCallerLimits limits = limits_now (connection->front);
  gint64 now = quince_now_us ();
  gint64 head_us = (gint64)limits.head_timeout_ms * 1000;
  gint64 idle_us = ((gint64)limits.idle_timeout_ms + IDLE_MARGIN_MS) * 1000;
  gint64 left_us = MAX (connection->quiet_since_us, connection->received_us) + idle_us - now;
  if (is_reading_head (connection))
    {
      connection->head_since_us = connection->head_since_us > 0 ? connection->head_since_us : now;
      if (now - connection->head_since_us >= head_us)
        {
          refuse_input (connection, 408);
          return G_SOURCE_REMOVE;
        }
    }
  if (connection->answering || left_us > 0)
    {
      gint64 wait_us = connection->answering ? idle_us / 2 : left_us;
      watch_time (connection, (guint)(MIN (wait_us, head_us) / 1000));
      return G_SOURCE_REMOVE;
    }
  quince_caller_connection_drop (connection);
  return G_SOURCE_REMOVE;
}

/* ---- Answers ---------------------------------------------------------- */

static const char *
reason_of (guint status)
{
  static const struct
  {
    guint status;
    const char *reason;
  } reasons[] = { { 200, "OK" },
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
  for (guint i = 0; i < G_N_ELEMENTS (reasons); i++)
    if (reasons[i].status == status)
      return reasons[i].reason;
  return "Answer";
}

static void
append_headers (GString *text, const QuinceCallerAnswer *answer)
{
  for (guint i = 0; answer->headers != NULL && i < quince_http_headers_get_length (answer->headers); i++)
    {
      const QuinceHttpHeader *line = quince_http_headers_index (answer->headers, i);
      g_string_append_printf (text, "%s: %s\r\n", line->name, line->value);
    }
  if (answer->content_type != NULL && *answer->content_type != '\0')
    g_string_append_printf (text, "Content-Type: %s\r\n", answer->content_type);
  if (answer->retry_after_ms > 0)
    g_string_append_printf (text, "Retry-After: %u.%03u\r\n", answer->retry_after_ms / 1000,
                            answer->retry_after_ms % 1000);
}

static void
answer (QuinceCallerConnection *connection, const QuinceCallerAnswer *answer)
{
  gboolean keep = connection->keep_alive && !quince_front_is_stopping (connection->front);
  g_autoptr (GString) text = g_string_sized_new (256 + answer->body_length);
  g_string_append_printf (text, "HTTP/1.1 %u %s\r\n", answer->status, reason_of (answer->status));
  append_headers (text, answer);
  if (!keep)
    g_string_append (text, "Connection: close\r\n");
  g_string_append_printf (text, "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n", answer->body_length);
  g_string_append_len (text, answer->body, (gssize)answer->body_length);
  connection->answering = FALSE;
  connection->quiet_since_us = quince_now_us ();
  quince_http_connection_write (connection->http, text->str, text->len);
  if (keep)
    {
      quince_http_connection_next (connection->http);
      return;
    }
  quince_http_connection_finish (connection->http);
  connection_free (connection);
}

static void
request_done (const QuinceCallerAnswer *result, gpointer data)
{
  QuinceCallerConnection *connection = data;
  connection->request = NULL;
  quince_front_request_ended (connection->front);
  answer (connection, result);
}

/* ---- Answers piece by piece ------------------------------------------- */

/* A caller that leaves this much unread is cut off. */
#define UNREAD_MAX_BYTES (1024 * 1024)

static void
request_begins (const QuinceCallerAnswer *result, gpointer data)
{
  QuinceCallerConnection *connection = data;
  connection->keep_alive = connection->keep_alive && !quince_front_is_stopping (connection->front);
  g_autoptr (GString) text = g_string_sized_new (512);
  g_string_append_printf (text, "HTTP/1.1 %u %s\r\n", result->status, reason_of (result->status));
  append_headers (text, result);
  if (!connection->keep_alive)
    g_string_append (text, "Connection: close\r\n");
  g_string_append (text, "Transfer-Encoding: chunked\r\n\r\n");
  quince_http_connection_write (connection->http, text->str, text->len);
}

static void
request_data (const char *data, gsize length, gpointer user_data)
{
  QuinceCallerConnection *connection = user_data;
  if (quince_http_connection_get_output (connection->http) > UNREAD_MAX_BYTES)
    return; /* the end of the chunks will be missing */
  g_autofree char *size = g_strdup_printf ("%zx\r\n", length);
  g_autoptr (GString) chunk = g_string_new (size);
  g_string_append_len (chunk, data, (gssize)length);
  g_string_append (chunk, "\r\n");
  quince_http_connection_write (connection->http, chunk->str, chunk->len);
  connection->cut
      = connection->cut || quince_http_connection_get_output (connection->http) > UNREAD_MAX_BYTES;
}

static void
request_ends (gboolean whole, gpointer data)
{
  QuinceCallerConnection *connection = data;
  static const char last_chunk[] = "0\r\n\r\n";
  connection->request = NULL;
  connection->answering = FALSE;
  connection->quiet_since_us = quince_now_us ();
  quince_front_request_ended (connection->front);
  if (!whole || connection->cut)
    {
      /* Without its last chunk nobody takes it for whole. */
      quince_http_connection_finish (connection->http);
      connection_free (connection);
      return;
    }
  quince_http_connection_write (connection->http, last_chunk, sizeof last_chunk - 1);
  if (connection->keep_alive)
    {
      quince_http_connection_next (connection->http);
      return;
    }
  quince_http_connection_finish (connection->http);
  connection_free (connection);
}

static const QuinceCallerSink request_sink
    = { .answer = request_done, .begin = request_begins, .data = request_data, .end = request_ends };

static void
answer_status (QuinceCallerConnection *connection, guint status)
{
  const QuinceCallerAnswer result = { .status = status, .body = "" };
  answer (connection, &result);
}

static void
answer_directory (QuinceCallerConnection *connection, const QuinceCall *call)
{
  QuinceFront *front = connection->front;
  g_auto (GStrv) addresses
      = quince_directory_list (front->directory, quince_now_us (), call->zone, call->region);
  if (addresses[0] == NULL)
    {
      answer_status (connection, 503);
      return;
    }
  g_autoptr (GBytes) body
      = quince_platform_format_addresses ((const char *const *)addresses, front->directory_keep_s);
  const QuinceCallerAnswer result = { .status = 200,
                                      .content_type = "application/json",
                                      .body = g_bytes_get_data (body, NULL),
                                      .body_length = g_bytes_get_size (body) };
  answer (connection, &result);
}

/* ---- Requests --------------------------------------------------------- */

static gboolean
is_ready (const QuinceFront *front)
{
  return !quince_front_is_stopping (front) && quince_observer_get_routes (front->observer) != NULL;
}

static void
begin_request (QuinceCallerConnection *connection)
{
  connection->front->in_progress++;
  QuinceCallerRequest *request = quince_caller_request_start (
      connection->front, g_steal_pointer (&connection->head), g_steal_pointer (&connection->body),
      connection->received_us, &request_sink, connection);
  /* When it is answered already the connection may be gone. */
  if (request != NULL)
    connection->request = request;
}

static void
http_complete (QuinceHttpConnection *http, gpointer data)
{
  QuinceCallerConnection *connection = data;
  connection->answering = TRUE;
  connection->keep_alive = connection->head->keep_alive;
  if (connection->kind == QUINCE_LISTEN_CALLERS)
    {
      begin_request (connection);
      return;
    }
  QuinceCall call;
  quince_platform_read_call (connection->head->method, connection->head->target, &call);
  g_clear_pointer (&connection->head, quince_http_head_free);
  if (connection->kind == QUINCE_LISTEN_READY)
    answer_status (connection, is_ready (connection->front) ? 200 : 503);
  else if (call.kind == QUINCE_CALL_RESOLVE)
    answer_directory (connection, &call);
  else
    answer_status (connection, 404);
  quince_platform_call_clear (&call);
}

/* What cannot be read, is too large or too slow: nothing of it runs, and the rest of it is not read. */
static void
refuse_input (QuinceCallerConnection *connection, guint status)
{
  quince_log_warning ("request_unreadable", "status=%u", status);
  connection->keep_alive = FALSE;
  answer_status (connection, status);
}

static void
http_refused (QuinceHttpConnection *http, const GError *error, gpointer data)
{
  gboolean too_large = g_error_matches (error, QUINCE_HTTP1_ERROR, QUINCE_HTTP1_ERROR_TOO_LARGE);
  refuse_input (data, too_large ? 431 : 400);
}

static void
http_head (QuinceHttpConnection *http, QuinceHttpHead *head, gpointer data)
{
  QuinceCallerConnection *connection = data;
  quince_http_head_free (connection->head);
  connection->head = head;
  connection->received_us = quince_now_us ();
  connection->head_since_us = 0;
  g_clear_pointer (&connection->body, g_byte_array_unref);
  connection->body = g_byte_array_new ();
  const char *length = quince_http_headers_get (head->headers, "Content-Length");
  const QuinceCallerLimits limits = limits_now (connection->front);
  if (length != NULL && g_ascii_strtoull (length, NULL, 10) > limits.max_body_bytes)
    {
      refuse_input (connection, 413);
      return;
    }
  const char *expect = quince_http_headers_get (head->headers, "Expect");
  static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
  if (expect != NULL && g_ascii_strcasecmp (expect, "100-continue") == 0)
    quince_http_connection_write (http, go_on, sizeof go_on - 1);
}

static void
http_body (QuinceHttpConnection *http, const char *data, gsize length, gpointer user_data)
{
  QuinceCallerConnection *connection = user_data;
  if (connection->body->len + length > limits_now (connection->front).max_body_bytes)
    {
      refuse_input (connection, 413);
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
                                                              .closed = http_closed };

void
quince_caller_connection_accept (QuinceFront *front, QuinceListenKind kind, GSocket *socket)
{
  QuinceCallerConnection *connection = g_new0 (QuinceCallerConnection, 1);
  connection->front = front;
  connection->kind = kind;
  connection->quiet_since_us = quince_now_us ();
  connection->http = quince_http_connection_new_server (socket, limits_now (front).max_head_bytes,
                                                        &http_callbacks, connection);
  g_hash_table_add (front->connections, connection);
  watch_time (connection, HEAD_MS);
}
