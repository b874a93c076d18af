/*
 * http-pool-private.h: connections and exchanges of a pool, shared by
 *
 *   http-pool.c       the pool, its connections and their reuse
 *   http-exchange.c   requests, responses and timeouts of one exchange
 */
#pragma once

#include "http1/http-client.h"
#include "runtime/timer.h"

G_BEGIN_DECLS

/* Number of requests whose ids a connection remembers. */
#define QUINCE_HTTP_CARRIED_IDS_MAX 8

typedef struct
{
  QuinceHttpConnection *connection;
  QuinceHttpPool *pool;                           /* holds a reference */
  QuinceHttpExchange *exchange;                   /* NULL while idle */
  gint64 usable_until_us;                         /* monotonic; reused only before this time */
  guint carried_ids[QUINCE_HTTP_CARRIED_IDS_MAX]; /* hashes of the ids of its last requests, a ring */
  guint n_carried;                                /* number of requests with an id so far */
} QuincePooledConnection;

struct _QuinceHttpPool
{
  grefcount references; /* the owner, each connection and each exchange hold one */
  char *address;
  char *id_header;      /* by which responses name their requests; NULL: they don't */
  GPtrArray *idle;      /* QuincePooledConnection, most recently used last */
  GPtrArray *exchanges; /* QuinceHttpExchange, in progress */
  guint n_busy;         /* connections with an exchange */
  guint64 n_opened;
  gboolean owner_released; /* connections are closed instead of becoming idle */
};

struct _QuinceHttpExchange
{
  QuinceHttpPool *pool;
  QuincePooledConnection *pooled;
  const QuinceHttpExchangeCallbacks *callbacks;
  gpointer user_data;
  char *request_id; /* NULL: none */
  QuinceHttpHead *head;
  GByteArray *body;
  gsize max_body_bytes; /* 0: no limit */
  gsize n_body_bytes;   /* read so far, of the own response or of those to other requests before it */
  gsize held_bytes;     /* bytes of the response that are in memory, see answer-budget.h */
  gboolean skipping;    /* the response that is being read belongs to another request */
  guint n_skipped;      /* responses to other requests so far */
  QuinceTimer *timer;
  QuinceTimer *connect_timer;
  guint timeout_deferrals; /* how often the timeout was deferred to handle the connection or input first */
  gboolean reuse_disabled;
  gboolean connected;
  gint64 send_by_us;       /* monotonic; 0: no limit */
  GString *unsent_request; /* held until connected if send_by_us is set, else NULL */
  GBytes *unsent_body;     /* of unsent_request; NULL: none */
};

/* Callbacks of every connection of a pool; their data is a QuincePooledConnection. */
extern const QuinceHttpConnectionCallbacks quince_http_pooled_callbacks;

void quince_http_pool_ref (QuinceHttpPool *pool);
/* Releases a reference that a connection or an exchange holds. */
void quince_http_pool_release (QuinceHttpPool *pool);
/* Gives @exchange an idle connection that has not carried its request id lately, or else a new one.  Returns
 * %TRUE if the connection was idle. */
gboolean quince_http_pool_attach (QuinceHttpPool *pool, QuinceHttpExchange *exchange);
/* Takes the connection from @exchange and keeps it idle if @reuse is set and it is still usable; otherwise
 * closes it. */
void quince_http_pool_detach (QuinceHttpExchange *exchange, gboolean reuse);
/* Logs and counts input that does not belong to the request that waits.
 * @request_id, @answer_id: (nullable): ids of the request that waits and of the one that the input names
 * @status: status of the response; 0: the input was not read
 * @action: what becomes of the request that waits */
void quince_http_pool_record_unmatched (const QuinceHttpPool *pool,
                                        const char *request_id,
                                        const char *answer_id,
                                        guint status,
                                        const char *action);
/* Logs and counts a request whose head contains what cannot be written: it was left out or replaced.
 * @request_id: (nullable) */
void quince_http_pool_record_changed_head (const QuinceHttpPool *pool, const char *request_id);
/* Logs and counts a response that is larger than its limit.
 * @request_id: (nullable)
 * @part: "head", "body", "skipped", or "budget" if the process holds too many bytes of responses
 * @n_bytes: size of the body so far */
void quince_http_pool_record_too_large (const QuinceHttpPool *pool,
                                        const char *request_id,
                                        const char *part,
                                        gsize n_bytes);
/* Closes and frees a connection without an exchange. */
void quince_http_pool_close_connection (QuincePooledConnection *pooled);

G_END_DECLS
