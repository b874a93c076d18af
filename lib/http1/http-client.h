/*
 * http-client.h: a pool of persistent connections to one address, and exchanges (a request and its response).
 *
 * The outcome of a failed exchange states whether the server may have received the request, so that the
 * caller can decide whether to retry it.  The pool itself never retries.  A pool owns its connections, and an
 * exchange owns its request and response.  Both belong to the thread-default main context that created them.
 */
#pragma once

#include "http1/http1.h"

G_BEGIN_DECLS

/* Maximum size of a body that an exchange without a body() callback collects, unless its request states
 * another one, bytes.  Far above the answers of workers and below what a machine with 120 MB can hold twice.
 */
#define QUINCE_HTTP_COLLECTED_BODY_MAX_BYTES (16 * 1024 * 1024)
/* Maximum size of a body that is read but not used, bytes. */
#define QUINCE_HTTP_UNUSED_BODY_MAX_BYTES (1024 * 1024)

typedef struct _QuinceHttpPool QuinceHttpPool;
typedef struct _QuinceHttpExchange QuinceHttpExchange;

typedef enum
{
  QUINCE_HTTP_ANSWERED, /* a complete response was received */
  QUINCE_HTTP_NOT_SENT, /* not connected, so that no part of the request was sent */
  QUINCE_HTTP_BROKEN,   /* failed or timed out after connecting: the request may have been processed */
} QuinceHttpOutcome;

/**
 * QuinceHttpExchangeCallbacks:
 * @head: (nullable): the head of the response to this request was received
 * @body: (nullable): the next part of the body.  Without this callback the body is collected
 * @done: the last callback; the exchange is freed when it returns.  @error is %NULL if the outcome is
 *   %QUINCE_HTTP_ANSWERED
 */
typedef struct
{
  void (*head) (QuinceHttpExchange *exchange, const QuinceHttpHead *head, gpointer user_data);
  void (*body) (QuinceHttpExchange *exchange, const char *data, gsize length, gpointer user_data);
  void (*done) (QuinceHttpExchange *exchange,
                QuinceHttpOutcome outcome,
                const GError *error,
                gpointer user_data);
} QuinceHttpExchangeCallbacks;

/**
 * QuinceHttpRequest:
 * @headers: (nullable): must not contain Content-Length, which is added if there is a body or the method is
 *   not GET.  Host defaults to the pool's address
 * @body: (nullable): the request's body
 * @timeout_us: time from the start of the exchange to the end of the response; 0: no timeout
 * @max_body_bytes: maximum size of a body that is collected; 0: %QUINCE_HTTP_COLLECTED_BODY_MAX_BYTES.  A
 *   larger one ends the exchange with %QUINCE_HTTP_BROKEN and %QUINCE_HTTP1_ERROR_TOO_LARGE
 * @send_by_us: monotonic time; the request is not sent if a new connection is established later.  0: no limit
 */
typedef struct
{
  const char *method;
  const char *target;
  const QuinceHttpHeaders *headers;
  GBytes *body;
  gint64 timeout_us;
  gsize max_body_bytes;
  gint64 send_by_us;
} QuinceHttpRequest;

/* @address: numeric ip:port */
QuinceHttpPool *quince_http_pool_new (const char *address);
/**
 * quince_http_pool_new_with_ids:
 * @address: numeric ip:port
 * @id_header: header with the id of a request, which the server repeats in its response
 *
 * Creates a pool whose exchanges only see responses to their own requests.  A response that names another
 * request is skipped, and its connection carries no further request; the own response may still follow.  If
 * it cannot follow, or a response does not name its request although that has an id, the exchange ends with
 * %QUINCE_HTTP_BROKEN and %QUINCE_HTTP1_ERROR_UNMATCHED.  A connection carries an id once
 * among its last requests; a request that is sent again gets another connection.
 */
QuinceHttpPool *quince_http_pool_new_with_ids (const char *address, const char *id_header);
/* Releases the owner's reference and closes idle connections.  Exchanges in progress continue. */
void quince_http_pool_unref (QuinceHttpPool *pool);
/* Closes the idle connections, for example after a suspension during which the peer may have dropped them. */
void quince_http_pool_close_idle (QuinceHttpPool *pool);
/* Selects the exchanges that quince_http_pool_withdraw() ends. */
typedef enum
{
  QUINCE_HTTP_WITHDRAW_UNCONNECTED,    /* not yet connected, so that nothing was sent */
  QUINCE_HTTP_WITHDRAW_UNACKNOWLEDGED, /* unconnected, or without a response and not fully acknowledged */
} QuinceHttpWithdrawScope;

/* Ends the exchanges that @scope selects and closes their connections without retransmitting unacknowledged
 * data.  Calls done() with %QUINCE_HTTP_NOT_SENT for unconnected exchanges and %QUINCE_HTTP_BROKEN for
 * others.  Returns the number of exchanges ended. */
guint quince_http_pool_withdraw (QuinceHttpPool *pool, QuinceHttpWithdrawScope scope);
/* Return the number of connections with and without an exchange.  Tests use them to detect leaked
 * connections. */
guint quince_http_pool_get_n_busy (const QuinceHttpPool *pool);
guint quince_http_pool_get_n_idle (const QuinceHttpPool *pool);
/* Returns the number of connections that the pool has started to open, including failed attempts. */
guint64 quince_http_pool_get_n_connections_opened (const QuinceHttpPool *pool);

/**
 * quince_http_pool_start:
 * @callbacks: must outlive the exchange; never called before this function returns
 *
 * Sends @request on an idle connection, or on a new one if there is none.
 *
 * Returns: (transfer none): the exchange, valid until done() returns or quince_http_exchange_cancel() is
 * called
 */
QuinceHttpExchange *quince_http_pool_start (QuinceHttpPool *pool,
                                            const QuinceHttpRequest *request,
                                            const QuinceHttpExchangeCallbacks *callbacks,
                                            gpointer user_data);
/* Ends the exchange without further callbacks and closes its connection. */
void quince_http_exchange_cancel (QuinceHttpExchange *exchange);
/* Limits the rest of the body of an exchange with a body() callback, for a response that is not used.  A
 * larger body ends the exchange as a collected one does. */
void quince_http_exchange_limit_body (QuinceHttpExchange *exchange, gsize max_body_bytes);
/* Tells how many bytes of the response the owner holds until their rest arrives.  If the exchanges of this
 * thread then hold more than QUINCE_ANSWER_BUDGET_BYTES, ends the largest holders, possibly this one,
 * with %QUINCE_HTTP_BROKEN and %QUINCE_HTTP1_ERROR_TOO_LARGE. */
void quince_http_exchange_set_held_bytes (QuinceHttpExchange *exchange, gsize held_bytes);
/* Stops or continues to read the response, for an owner that passes it on to a slow reader. */
void quince_http_exchange_set_reading (QuinceHttpExchange *exchange, gboolean reading);
/* Returns the head of the response, or %NULL if it has not been received. */
const QuinceHttpHead *quince_http_exchange_get_head (const QuinceHttpExchange *exchange);
/* Returns the part of the body received so far, which is empty if the exchange has a body() callback. */
const GByteArray *quince_http_exchange_get_body (const QuinceHttpExchange *exchange);
/* Returns: (transfer full): the bytes of @body without a copy; nothing may be appended to it any more */
GBytes *quince_http_body_share (const GByteArray *body);
/* For callers that end an exchange by their own timer.  Returns %TRUE if the timer should run for another
 * QUINCE_TIMEOUT_DEFERRAL_MS because the connection has unread input, at most QUINCE_TIMEOUT_DEFERRALS_MAX
 * times. After a suspension of the process, a timer may expire before a response that arrived in time is
 * read. */
gboolean quince_http_exchange_defer_timeout (QuinceHttpExchange *exchange);

G_END_DECLS
