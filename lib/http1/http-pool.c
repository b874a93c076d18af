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
quince_http_pool_record_changed_head (const QuinceHttpPool *pool, const char *request_id)
{
  g_autofree char *request = quince_log_quote (request_id);
  quince_metric_add ("quince_http_changed_heads_total", "", 1);
  quince_log_warning ("request_head_changed", "server=%s request=%s", pool->address, request);
}

void
quince_http_pool_record_too_large (const QuinceHttpPool *pool,
                                   const char *request_id,
                                   const char *part,
                                   gsize n_bytes)
{
  g_autofree char *request = quince_log_quote (request_id);
  g_autofree char *labels = g_strdup_printf ("part=\"%s\"", part);
  quince_metric_add ("quince_http_answers_too_large_total", labels, 1);
  quince_log_warning ("answer_too_large", "server=%s request=%s part=%s bytes=%" G_GSIZE_FORMAT,
                      pool->address, request, part, n_bytes);
}

void
quince_http_pool_close_connection (QuincePooledConnection *pooled)
{
  QuinceHttpPool *pool = pooled->pool;
  g_ptr_array_remove (pool->idle, pooled);
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

static gboolean
is_usable (const QuincePooledConnection *pooled, gint64 now_us)
{
  /* Unread input answers no request, or is the end of the connection. */
  return pooled->usable_until_us > now_us && quince_http_connection_is_open (pooled->connection)
         && !quince_http_connection_has_buffered_input (pooled->connection)
         && !quince_http_connection_is_readable (pooled->connection);
}

/* Returns whether one of the last requests on the connection had the id @request_id (nullable).  Hashes may
 * collide, which costs another connection. */
static gboolean
has_carried (const QuincePooledConnection *pooled, const char *request_id)
{
  guint n_ids = MIN (pooled->n_carried, QUINCE_HTTP_CARRIED_IDS_MAX);
  guint hash = request_id != NULL ? g_str_hash (request_id) : 0;
  for (guint i = 0; request_id != NULL && i < n_ids; i++)
    if (pooled->carried_ids[i] == hash)
      return TRUE;
  return FALSE;
}

static void
record_carried (QuincePooledConnection *pooled, const char *request_id)
{
  if (request_id != NULL)
    pooled->carried_ids[pooled->n_carried++ % QUINCE_HTTP_CARRIED_IDS_MAX] = g_str_hash (request_id);
}

/* Returns the most recently used idle connection that can carry the request @request_id (nullable), or NULL.
 * A second answer to a request could not be told from the answer to the same request sent again, so a
 * connection does not carry an id twice.  If only connections that carried the id are idle, closes one of
 * them, which the next connection replaces: callers who use one id for all requests do not add connections.
 */
static QuincePooledConnection *
take_idle_connection (QuinceHttpPool *pool, const char *request_id)
{
  gint64 now = quince_now_us ();
  QuincePooledConnection *excluded = NULL; /* the most recently used one that carried the id */
  for (guint i = pool->idle->len; i > 0; i--)
    {
      QuincePooledConnection *pooled = pool->idle->pdata[i - 1];
      if (!is_usable (pooled, now))
        quince_http_pool_close_connection (pooled);
      else if (!has_carried (pooled, request_id))
        {
          g_ptr_array_remove_index (pool->idle, i - 1);
          return pooled;
        }
      else if (excluded == NULL)
        excluded = pooled;
    }
  if (excluded != NULL)
    quince_http_pool_close_connection (excluded);
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
  QuincePooledConnection *pooled = take_idle_connection (pool, exchange->request_id);
  gboolean was_idle = pooled != NULL;
  if (pooled == NULL)
    pooled = open_pooled_connection (pool);
  record_carried (pooled, exchange->request_id);
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
  quince_http_connection_set_reading (pooled->connection, TRUE);
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
