/*
 * http-pool.c: pool of persistent connections to one address.
 */
#include "http-pool-private.h"

#include <string.h>

#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/metrics.h"

/* Fraction of the keep-alive timeout announced by the server during which a connection is reused.  The rest
 * allows for clock differences and network latency. */
#define KEEP_ALIVE_USABLE_FRACTION 0.8
/* Used if the server announces no timeout; less than the 5 s after which common servers close. */
#define KEEP_ALIVE_DEFAULT_US (4 * G_USEC_PER_SEC)

QuinceHttpPool *
quince_http_pool_new (const char *address)
{
  QuinceHttpPool *pool = g_new0 (QuinceHttpPool, 1);
  g_ref_count_init (&pool->references);
  pool->address = g_strdup (address);
  pool->idle = g_ptr_array_new ();
  pool->exchanges = g_ptr_array_new ();
  return pool;
}

QuinceHttpPool *
quince_http_pool_new_with_ids (const char *address, const char *id_header)
{
  QuinceHttpPool *pool = quince_http_pool_new (address);
  pool->id_header = g_strdup (id_header);
  return pool;
}

void
quince_http_pool_ref (QuinceHttpPool *pool)
{
  g_ref_count_inc (&pool->references);
}

void
quince_http_pool_release (QuinceHttpPool *pool)
{
  if (!g_ref_count_dec (&pool->references))
    return;
  g_ptr_array_unref (pool->idle);
  g_ptr_array_unref (pool->exchanges);
  g_free (pool->address);
  g_free (pool->id_header);
  g_free (pool);
}

void
quince_http_pool_record_unmatched (const QuinceHttpPool *pool,
                                   const char *request_id,
                                   const char *answer_id,
                                   guint status,
                                   const char *action)
{
  g_autofree char *request = quince_log_quote (request_id);
  g_autofree char *answer = quince_log_quote (answer_id);
  g_autofree char *labels = g_strdup_printf ("action=\"%s\"", action);
  quince_metric_add ("quince_http_unmatched_answers_total", labels, 1);
  quince_log_warning ("answer_unmatched", "server=%s request=%s answer=%s status=%u action=%s", pool->address,
                      request, answer, status, action);
}

void
quince_http_pool_close_connection (QuincePooledConnection *pooled)
{
  QuinceHttpPool *pool = pooled->pool;
  g_ptr_array_remove_fast (pool->idle, pooled);
  quince_http_connection_close (pooled->connection);
  quince_http_connection_unref (pooled->connection);
  g_free (pooled);
  quince_http_pool_release (pool);
}

void
quince_http_pool_close_idle (QuinceHttpPool *pool)
{
  while (pool->idle->len > 0)
    quince_http_pool_close_connection (pool->idle->pdata[pool->idle->len - 1]);
}

void
quince_http_pool_unref (QuinceHttpPool *pool)
{
  pool->owner_released = TRUE;
  quince_http_pool_close_idle (pool);
  quince_http_pool_release (pool);
}

guint
quince_http_pool_get_n_busy (const QuinceHttpPool *pool)
{
  return pool->n_busy;
}

guint
quince_http_pool_get_n_idle (const QuinceHttpPool *pool)
{
  return pool->idle->len;
}

guint64
quince_http_pool_get_n_connections_opened (const QuinceHttpPool *pool)
{
  return pool->n_opened;
}

/* ---- Connections ------------------------------------------------------ */

static gint64
get_reuse_period_us (const QuinceHttpHead *head)
{
  const char *text = quince_http_headers_get (head->headers, "Keep-Alive");
  if (text == NULL)
    return KEEP_ALIVE_DEFAULT_US;
  const char *timeout = strstr (text, "timeout=");
  timeout = timeout != NULL ? timeout + strlen ("timeout=") : text;
  gint64 seconds = g_ascii_strtoll (timeout, NULL, 10);
  return (gint64)((double)seconds * KEEP_ALIVE_USABLE_FRACTION * G_USEC_PER_SEC);
}

static QuincePooledConnection *
take_idle_connection (QuinceHttpPool *pool)
{
  gint64 now = quince_now_us ();
  while (pool->idle->len > 0)
    {
      QuincePooledConnection *pooled = pool->idle->pdata[pool->idle->len - 1];
      /* Unread input answers no request, or is the end of the connection. */
      gboolean usable = pooled->usable_until_us > now && quince_http_connection_is_open (pooled->connection)
                        && !quince_http_connection_has_buffered_input (pooled->connection)
                        && !quince_http_connection_is_readable (pooled->connection);
      if (usable)
        {
          g_ptr_array_remove_index (pool->idle, pool->idle->len - 1);
          return pooled;
        }
      quince_http_pool_close_connection (pooled);
    }
  return NULL;
}

static QuincePooledConnection *
open_pooled_connection (QuinceHttpPool *pool)
{
  QuincePooledConnection *pooled = g_new0 (QuincePooledConnection, 1);
  quince_http_pool_ref (pool);
  pooled->pool = pool;
  pool->n_opened++;
  pooled->connection = quince_http_connection_connect (pool->address, &quince_http_pooled_callbacks, pooled);
  return pooled;
}

gboolean
quince_http_pool_attach (QuinceHttpPool *pool, QuinceHttpExchange *exchange)
{
  QuincePooledConnection *pooled = take_idle_connection (pool);
  gboolean was_idle = pooled != NULL;
  if (pooled == NULL)
    pooled = open_pooled_connection (pool);
  pooled->exchange = exchange;
  exchange->pooled = pooled;
  g_ptr_array_add (pool->exchanges, exchange);
  pool->n_busy++;
  return was_idle;
}

void
quince_http_pool_detach (QuinceHttpExchange *exchange, gboolean reuse)
{
  QuincePooledConnection *pooled = g_steal_pointer (&exchange->pooled);
  QuinceHttpPool *pool = pooled->pool;
  pooled->exchange = NULL;
  g_ptr_array_remove_fast (pool->exchanges, exchange);
  pool->n_busy--;
  reuse = reuse && !pool->owner_released && quince_http_connection_is_open (pooled->connection);
  if (!reuse)
    {
      /* Nobody waits for the response, so the kernel must not retransmit the request after an outage. */
      if (exchange->head == NULL && quince_http_connection_has_unacknowledged_data (pooled->connection))
        quince_http_connection_reset_on_close (pooled->connection);
      quince_http_pool_close_connection (pooled);
      return;
    }
  pooled->usable_until_us = quince_now_us () + get_reuse_period_us (exchange->head);
  g_ptr_array_add (pool->idle, pooled);
}
