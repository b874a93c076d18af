/*
 * http-exchange.c: one request and its response on a connection of a pool.
 */
#include "http-pool-private.h"

#include "http1/answer-budget.h"
#include "http1/answer-match.h"
#include "http1/http-syntax.h"
#include "runtime/clock.h"

/* Several round trips between regions, but less than the 1 s after which the kernel retransmits a SYN. */
#define CONNECT_TIMEOUT_MS 700

/* Maximum size of a body that is copied behind its head to be sent in one write, bytes. */
#define ONE_WRITE_MAX_BYTES (64 * 1024)

/* Responses to other requests that an exchange skips before it gives up.  A server that repeats an answer
 * sends one of them. */
#define SKIPPED_ANSWERS_MAX 4
/* Bytes of their bodies; as large as one answer may be. */
#define SKIPPED_BODY_MAX_BYTES QUINCE_HTTP_COLLECTED_BODY_MAX_BYTES

static void
exchange_free (QuinceHttpExchange *exchange)
{
  quince_timer_clear (&exchange->timer);
  quince_timer_clear (&exchange->connect_timer);
  quince_answer_budget_set (exchange, exchange->held_bytes, 0);
  quince_http_head_free (exchange->head);
  g_byte_array_unref (exchange->body);
  g_free (exchange->request_id);
  if (exchange->unsent_request != NULL)
    g_string_free (exchange->unsent_request, TRUE);
  g_clear_pointer (&exchange->unsent_body, g_bytes_unref);
  quince_http_pool_release (exchange->pool);
  g_free (exchange);
}

static void
exchange_end (QuinceHttpExchange *exchange, QuinceHttpOutcome outcome, const GError *error)
{
  gboolean answered = outcome == QUINCE_HTTP_ANSWERED;
  gboolean reuse = answered && exchange->head->keep_alive && !exchange->reuse_disabled
                   && !quince_http_connection_has_buffered_input (exchange->pooled->connection)
                   && !quince_http_connection_has_pending_output (exchange->pooled->connection);
  quince_timer_clear (&exchange->timer);
  quince_timer_clear (&exchange->connect_timer);
  quince_http_pool_detach (exchange, reuse);
  exchange->callbacks->done (exchange, outcome, error, exchange->user_data);
  exchange_free (exchange);
}

static void
exchange_fail (QuinceHttpExchange *exchange, const GError *error)
{
  exchange_end (exchange, exchange->connected ? QUINCE_HTTP_BROKEN : QUINCE_HTTP_NOT_SENT, error);
}

void
quince_http_exchange_cancel (QuinceHttpExchange *exchange)
{
  quince_http_pool_detach (exchange, FALSE);
  exchange_free (exchange);
}

/* Returns an exchange that @scope selects, or NULL if there is none. */
static QuinceHttpExchange *
find_withdrawable (const QuinceHttpPool *pool, QuinceHttpWithdrawScope scope)
{
  for (guint i = 0; i < pool->exchanges->len; i++)
    {
      QuinceHttpExchange *exchange = pool->exchanges->pdata[i];
      gboolean unacknowledged
          = scope == QUINCE_HTTP_WITHDRAW_UNACKNOWLEDGED && exchange->head == NULL
            && quince_http_connection_has_unacknowledged_data (exchange->pooled->connection);
      if (!exchange->connected || unacknowledged)
        return exchange;
    }
  return NULL;
}

guint
quince_http_pool_withdraw (QuinceHttpPool *pool, QuinceHttpWithdrawScope scope)
{
  g_autoptr (GError) error = g_error_new_literal (QUINCE_HTTP1_ERROR, QUINCE_HTTP1_ERROR_CLOSED,
                                                  "request was withdrawn before it was acknowledged");
  /* Limits the loop, because done() may start or end other exchanges. */
  guint max_withdrawals = pool->exchanges->len;
  guint count = 0;
  for (QuinceHttpExchange *exchange = find_withdrawable (pool, scope);
       exchange != NULL && count < max_withdrawals; exchange = find_withdrawable (pool, scope))
    {
      exchange_fail (exchange, error);
      count++;
    }
  return count;
}

gboolean
quince_http_exchange_defer_timeout (QuinceHttpExchange *exchange)
{
  if (exchange->timeout_deferrals >= QUINCE_TIMEOUT_DEFERRALS_MAX
      || !quince_http_connection_is_readable (exchange->pooled->connection))
    return FALSE;
  exchange->timeout_deferrals++;
  return TRUE;
}

static gboolean
exchange_timed_out (gpointer data)
{
  QuinceHttpExchange *exchange = data;
  if (quince_http_exchange_defer_timeout (exchange))
    {
      quince_timer_clear (&exchange->timer);
      exchange->timer = quince_timer_add (QUINCE_TIMEOUT_DEFERRAL_MS, exchange_timed_out, exchange);
      return G_SOURCE_REMOVE;
    }
  g_autoptr (GError) error = g_error_new_literal (QUINCE_HTTP1_ERROR, QUINCE_HTTP1_ERROR_TIMEOUT,
                                                  "timed out waiting for the response");
  exchange_fail (exchange, error);
  return G_SOURCE_REMOVE;
}

/* ---- Size of the response ----------------------------------------------- */

static void
fail_too_large (QuinceHttpExchange *exchange, const char *part)
{
  quince_http_pool_record_too_large (exchange->pool, exchange->request_id, part, exchange->n_body_bytes);
  g_autoptr (GError) error = g_error_new_literal (QUINCE_HTTP1_ERROR, QUINCE_HTTP1_ERROR_TOO_LARGE,
                                                  "the body of the response is too large");
  exchange_fail (exchange, error);
}

void
quince_http_exchange_limit_body (QuinceHttpExchange *exchange, gsize max_body_bytes)
{
  exchange->max_body_bytes = exchange->n_body_bytes + max_body_bytes;
}

void
quince_http_exchange_set_held_bytes (QuinceHttpExchange *exchange, gsize held_bytes)
{
  quince_answer_budget_set (exchange, exchange->held_bytes, held_bytes);
  exchange->held_bytes = held_bytes;
  for (QuinceHttpExchange *excess = quince_answer_budget_find_excess (); excess != NULL;
       excess = quince_answer_budget_find_excess ())
    fail_too_large (excess, "budget");
}

void
quince_http_exchange_set_reading (QuinceHttpExchange *exchange, gboolean reading)
{
  quince_http_connection_set_reading (exchange->pooled->connection, reading);
}

/* Counts @length bytes of a body.  Returns FALSE if it is too large; the exchange has then ended. */
static gboolean
count_body (QuinceHttpExchange *exchange, gsize length)
{
  gsize limit = exchange->skipping ? SKIPPED_BODY_MAX_BYTES : exchange->max_body_bytes;
  exchange->n_body_bytes += length;
  if (limit == 0 || exchange->n_body_bytes <= limit)
    return TRUE;
  fail_too_large (exchange, exchange->skipping ? "skipped" : "body");
  return FALSE;
}

/* ---- Connections ---------------------------------------------------------- */

static void
fail_late_connect (QuinceHttpExchange *exchange)
{
  g_autoptr (GError) error
      = g_error_new_literal (QUINCE_HTTP1_ERROR, QUINCE_HTTP1_ERROR_CONNECT, "timed out connecting");
  exchange_fail (exchange, error);
}

/* If the process was stopped, the connection may have been established in time.  It is then handled first. */
static gboolean
connect_timed_out (gpointer data)
{
  QuinceHttpExchange *exchange = data;
  if (exchange->timeout_deferrals < QUINCE_TIMEOUT_DEFERRALS_MAX
      && quince_http_connection_has_connect_result (exchange->pooled->connection))
    {
      exchange->timeout_deferrals++;
      quince_timer_clear (&exchange->connect_timer);
      exchange->connect_timer = quince_timer_add (QUINCE_TIMEOUT_DEFERRAL_MS, connect_timed_out, exchange);
      return G_SOURCE_REMOVE;
    }
  fail_late_connect (exchange);
  return G_SOURCE_REMOVE;
}

/* Writes the request; the body of a large one is shared. */
static void
write_request (QuinceHttpExchange *exchange, const GString *text, GBytes *body)
{
  quince_http_connection_write (exchange->pooled->connection, text->str, text->len);
  if (body != NULL && g_bytes_get_size (body) > ONE_WRITE_MAX_BYTES)
    quince_http_connection_write_bytes (exchange->pooled->connection, body);
}

static void
pooled_connected (QuinceHttpConnection *connection, gpointer data)
{
  QuincePooledConnection *pooled = data;
  QuinceHttpExchange *exchange = pooled->exchange;
  if (exchange == NULL)
    return;
  quince_timer_clear (&exchange->connect_timer);
  /* The process may have been suspended while connecting. */
  if (exchange->send_by_us != 0 && quince_now_us () > exchange->send_by_us)
    {
      fail_late_connect (exchange);
      return;
    }
  exchange->connected = TRUE;
  exchange->timeout_deferrals = 0;
  if (exchange->unsent_request == NULL)
    return;
  write_request (exchange, exchange->unsent_request, exchange->unsent_body);
  g_string_free (g_steal_pointer (&exchange->unsent_request), TRUE);
  g_clear_pointer (&exchange->unsent_body, g_bytes_unref);
}

/* Returns: (nullable): the id of the request in @headers of a request or a response */
static const char *
get_id (const QuinceHttpPool *pool, const QuinceHttpHeaders *headers)
{
  return pool->id_header != NULL && headers != NULL ? quince_http_headers_get (headers, pool->id_header)
                                                    : NULL;
}

/* Skips a response that belongs to another request if the own one may follow; otherwise ends the exchange.
 * The connection carries no further request. */
static void
handle_unmatched_answer (QuinceHttpExchange *exchange, const QuinceHttpHead *head, QuinceAnswerMatch match)
{
  gboolean skips
      = match == QUINCE_ANSWER_OTHER && head->keep_alive && exchange->n_skipped < SKIPPED_ANSWERS_MAX;
  quince_http_pool_record_unmatched (exchange->pool, exchange->request_id,
                                     get_id (exchange->pool, head->headers), head->status,
                                     skips ? "skipped" : "failed");
  exchange->reuse_disabled = TRUE;
  if (skips)
    {
      exchange->skipping = TRUE;
      exchange->n_skipped++;
      return;
    }
  g_autoptr (GError) error = g_error_new_literal (QUINCE_HTTP1_ERROR, QUINCE_HTTP1_ERROR_UNMATCHED,
                                                  "the response does not belong to this request");
  exchange_fail (exchange, error);
}

static void
pooled_head (QuinceHttpConnection *connection, QuinceHttpHead *head, gpointer data)
{
  QuincePooledConnection *pooled = data;
  QuinceHttpExchange *exchange = pooled->exchange;
  if (exchange == NULL)
    {
      quince_http_head_free (head);
      return;
    }
  const char *answer_id = get_id (exchange->pool, head->headers);
  QuinceAnswerMatch match = quince_answer_match (exchange->request_id, answer_id);
  if (match != QUINCE_ANSWER_OWN)
    {
      handle_unmatched_answer (exchange, head, match);
      quince_http_head_free (head);
      return;
    }
  exchange->head = head;
  exchange->n_body_bytes = 0;
  if (exchange->callbacks->head != NULL)
    exchange->callbacks->head (exchange, head, exchange->user_data);
}

static void
pooled_body (QuinceHttpConnection *connection, const char *data, gsize length, gpointer user_data)
{
  QuincePooledConnection *pooled = user_data;
  QuinceHttpExchange *exchange = pooled->exchange;
  if (exchange == NULL || !count_body (exchange, length) || exchange->skipping)
    return;
  if (exchange->callbacks->body != NULL)
    {
      exchange->callbacks->body (exchange, data, length, exchange->user_data);
      return;
    }
  g_byte_array_append (exchange->body, (const guint8 *)data, (guint)length);
  quince_http_exchange_set_held_bytes (exchange, exchange->body->len);
}

static void
pooled_complete (QuinceHttpConnection *connection, gpointer data)
{
  QuincePooledConnection *pooled = data;
  QuinceHttpExchange *exchange = pooled->exchange;
  if (exchange == NULL)
    return;
  if (!exchange->skipping)
    {
      exchange_end (exchange, QUINCE_HTTP_ANSWERED, NULL);
      return;
    }
  exchange->skipping = FALSE;
  quince_http_connection_next (connection);
}

static void
pooled_closed (QuinceHttpConnection *connection, const GError *error, gpointer data)
{
  QuincePooledConnection *pooled = data;
  if (pooled->exchange == NULL)
    {
      if (g_error_matches (error, QUINCE_HTTP1_ERROR, QUINCE_HTTP1_ERROR_MALFORMED))
        quince_http_pool_record_unmatched (pooled->pool, NULL, NULL, 0, "idle");
      quince_http_pool_close_connection (pooled);
      return;
    }
  g_autoptr (GError) close_error = error != NULL
                                       ? g_error_copy (error)
                                       : g_error_new_literal (QUINCE_HTTP1_ERROR, QUINCE_HTTP1_ERROR_CLOSED,
                                                              "peer closed the connection before responding");
  if (g_error_matches (error, QUINCE_HTTP1_ERROR, QUINCE_HTTP1_ERROR_TOO_LARGE))
    quince_http_pool_record_too_large (pooled->pool, pooled->exchange->request_id, "head",
                                       pooled->exchange->n_body_bytes);
  exchange_fail (pooled->exchange, close_error);
}

const QuinceHttpConnectionCallbacks quince_http_pooled_callbacks = {
  .connected = pooled_connected,
  .head = pooled_head,
  .body = pooled_body,
  .complete = pooled_complete,
  .closed = pooled_closed,
};

/* Returns whether format_request() writes the header itself, since it tells where the request ends. */
static gboolean
is_framing_header (const char *name)
{
  return g_ascii_strcasecmp (name, "Content-Length") == 0
         || g_ascii_strcasecmp (name, "Transfer-Encoding") == 0;
}

/* Appends the header lines of @request.  Returns whether all of them could be written as they are. */
static gboolean
append_request_headers (GString *text, const QuinceHttpPool *pool, const QuinceHttpRequest *request)
{
  gboolean is_unchanged = TRUE;
  gboolean has_host = FALSE;
  for (guint i = 0; request->headers != NULL && i < quince_http_headers_get_length (request->headers); i++)
    {
      const QuinceHttpHeader *line = quince_http_headers_index (request->headers, i);
      if (!quince_http_is_name (line->name) || is_framing_header (line->name))
        {
          is_unchanged = FALSE;
          continue;
        }
      has_host = has_host || g_ascii_strcasecmp (line->name, "Host") == 0;
      g_string_append_printf (text, "%s: ", line->name);
      is_unchanged = quince_http_append_value (text, line->value) && is_unchanged;
      g_string_append (text, "\r\n");
    }
  if (!has_host)
    g_string_append_printf (text, "Host: %s\r\n", pool->address);
  return is_unchanged;
}

/* Formats the head, and behind it the body if it is small.  What would not be read as it was meant is left
 * out or replaced. */
static GString *
format_request (QuinceHttpPool *pool, const QuinceHttpRequest *request)
{
  GString *text = g_string_sized_new (512);
  g_string_append_printf (text, "%s ", request->method);
  gboolean is_unchanged = quince_http_append_target (text, request->target);
  g_string_append (text, " HTTP/1.1\r\n");
  is_unchanged = append_request_headers (text, pool, request) && is_unchanged;
  if (!is_unchanged)
    quince_http_pool_record_changed_head (pool, get_id (pool, request->headers));
  gsize length = request->body != NULL ? g_bytes_get_size (request->body) : 0;
  if (request->body != NULL || !g_str_equal (request->method, "GET"))
    g_string_append_printf (text, "Content-Length: %" G_GSIZE_FORMAT "\r\n", length);
  g_string_append (text, "\r\n");
  if (length > 0 && length <= ONE_WRITE_MAX_BYTES)
    g_string_append_len (text, g_bytes_get_data (request->body, NULL), (gssize)length);
  return text;
}

static guint
get_connect_timeout_ms (const QuinceHttpRequest *request)
{
  if (request->send_by_us == 0)
    return CONNECT_TIMEOUT_MS;
  return (guint)CLAMP ((request->send_by_us - quince_now_us ()) / 1000, 1, CONNECT_TIMEOUT_MS);
}

QuinceHttpExchange *
quince_http_pool_start (QuinceHttpPool *pool,
                        const QuinceHttpRequest *request,
                        const QuinceHttpExchangeCallbacks *callbacks,
                        gpointer user_data)
{
  QuinceHttpExchange *exchange = g_new0 (QuinceHttpExchange, 1);
  quince_http_pool_ref (pool);
  exchange->pool = pool;
  exchange->callbacks = callbacks;
  exchange->user_data = user_data;
  exchange->body = g_byte_array_new ();
  if (callbacks->body == NULL)
    exchange->max_body_bytes
        = request->max_body_bytes > 0 ? request->max_body_bytes : QUINCE_HTTP_COLLECTED_BODY_MAX_BYTES;
  exchange->request_id = g_strdup (get_id (pool, request->headers));
  exchange->connected = quince_http_pool_attach (pool, exchange);
  quince_http_connection_set_head_only (exchange->pooled->connection, g_str_equal (request->method, "HEAD"));
  if (exchange->connected)
    quince_http_connection_next (exchange->pooled->connection);
  else
    exchange->connect_timer
        = quince_timer_add (get_connect_timeout_ms (request), connect_timed_out, exchange);
  if (request->timeout_us > 0)
    exchange->timer
        = quince_timer_add ((guint)MAX (request->timeout_us / 1000, 1), exchange_timed_out, exchange);
  g_autoptr (GString) text = format_request (pool, request);
  exchange->send_by_us = request->send_by_us;
  if (!exchange->connected && request->send_by_us != 0)
    {
      exchange->unsent_request = g_steal_pointer (&text);
      exchange->unsent_body = request->body != NULL ? g_bytes_ref (request->body) : NULL;
    }
  else
    write_request (exchange, text, request->body);
  return exchange;
}

const QuinceHttpHead *
quince_http_exchange_get_head (const QuinceHttpExchange *exchange)
{
  return exchange->head;
}

const GByteArray *
quince_http_exchange_get_body (const QuinceHttpExchange *exchange)
{
  return exchange->body;
}

GBytes *
quince_http_body_share (const GByteArray *body)
{
  GByteArray *shared = g_byte_array_ref ((GByteArray *)body);
  return g_bytes_new_with_free_func (shared->data, shared->len, (GDestroyNotify)g_byte_array_unref, shared);
}
