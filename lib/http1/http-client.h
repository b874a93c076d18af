/*
 * http-client.h: persistent connections to one address, and exchanges (a request and its answer) on them.
 *
 * The outcome of a failed exchange states whether the request can have reached the other side, which decides
 * whether it may be sent again; a pool never sends it again by itself.  A pool owns its connections, an
 * exchange its request and answer; both belong to the thread-default context that created them.  Relies on
 * http1.h.
 */
#pragma once

#include "http1/http1.h"

G_BEGIN_DECLS

typedef struct _QuinceHttpPool QuinceHttpPool;
typedef struct _QuinceHttpExchange QuinceHttpExchange;

typedef enum
{
  QUINCE_HTTP_ANSWERED, /* a whole answer came                                       */
  QUINCE_HTTP_NOT_SENT, /* no byte left this process: it has not run                 */
  QUINCE_HTTP_BROKEN,   /* it may have run: the connection broke, or time ran out    */
} QuinceHttpOutcome;

/**
 * QuinceHttpExchangeCallbacks:
 * @head: (nullable): the head of the answer has come
 * @body: (nullable): a piece of the body; without it the body is collected
 * @done: the last callback; the exchange is released after it
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
 * @headers: (nullable): without lengths, which are added
 * @body: (nullable): with it a length is sent
 * @timeout_us: from now to the end of the answer; 0: no bound
 * @send_by_us: without a connection by then it is not sent at all; 0: no such bound
 */
typedef struct
{
  const char *method;
  const char *target;
  const QuinceHttpHeaders *headers;
  GBytes *body;
  gint64 timeout_us;
  gint64 send_by_us;
} QuinceHttpRequest;

QuinceHttpPool *quince_http_pool_new (const char *address);
/* Closes idle connections; exchanges in progress go on. */
void quince_http_pool_unref (QuinceHttpPool *pool);
/* Closes the idle connections: the other side may have forgotten them. */
void quince_http_pool_close_idle (QuinceHttpPool *pool);
/* Which exchanges are given up by quince_http_pool_withdraw(). */
typedef enum
{
  QUINCE_HTTP_WITHDRAW_UNCONNECTED, /* no byte has left: their connection is not made yet                 */
  QUINCE_HTTP_WITHDRAW_UNACKNOWLEDGED, /* those, and connected ones whose request is not acknowledged in full
                                        */
} QuinceHttpWithdrawScope;

/* Gives up exchanges whose request has not arrived whole: it never will.  Their done() is called.
 * Returns: how many */
guint quince_http_pool_withdraw (QuinceHttpPool *pool, QuinceHttpWithdrawScope scope);
/* Connections with and without an exchange.  For tests, which check that none is lost or kept too long. */
guint quince_http_pool_get_n_busy (const QuinceHttpPool *pool);
guint quince_http_pool_get_n_idle (const QuinceHttpPool *pool);
/* Connections made since the start. */
guint64 quince_http_pool_get_n_connections_opened (const QuinceHttpPool *pool);

/**
 * quince_http_pool_start:
 * @callbacks: must outlive the exchange; never called before this returns
 *
 * Sends @request on an idle connection, or on a new one.
 *
 * Returns: (transfer none): the exchange; it releases itself after done() or quince_http_exchange_cancel()
 */
QuinceHttpExchange *quince_http_pool_start (QuinceHttpPool *pool,
                                            const QuinceHttpRequest *request,
                                            const QuinceHttpExchangeCallbacks *callbacks,
                                            gpointer user_data);
/* Ends the exchange without further callbacks; its connection is closed. */
void quince_http_exchange_cancel (QuinceHttpExchange *exchange);
/* %NULL before the head of the answer has come. */
const QuinceHttpHead *quince_http_exchange_get_head (const QuinceHttpExchange *exchange);
/* The body as collected so far. */
const GByteArray *quince_http_exchange_get_body (const QuinceHttpExchange *exchange);
/* For callers that end an exchange by a timer of their own: whether to wait QUINCE_TIMEOUT_DEFERRAL_MS more,
 * since bytes have arrived that were not read.  After a suspension answers and timers are ready at once, and
 * an answer that its worker gave in time would be replaced by a failure.  Returns: %TRUE at most
 * QUINCE_TIMEOUT_DEFERRALS_MAX times */
gboolean quince_http_exchange_defer_timeout (QuinceHttpExchange *exchange);
/* The connection will not be used again, for example because the answer belongs to another request. */
void quince_http_exchange_disable_reuse (QuinceHttpExchange *exchange);

G_END_DECLS
