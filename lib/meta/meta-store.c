/*
 * meta-store.c: calls to the shared metadata store.
 */
#include "meta/meta-store.h"

#include <string.h>

#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/clock.h"
#include "runtime/timer.h"

#include "meta-private.h"

/* Timeout of a call, us; the wait of a watch is added to it.  Far above the usual response time of a few
 * milliseconds. */
#define CALL_TIMEOUT_US (1000 * 1000)
/* Maximum size of an answer.  A page holds about 1 MB of values, in base64. */
#define ANSWER_MAX_BYTES (8 * 1024 * 1024)
/* Delay of the first probe after a failed call, ms; short, since the cause may be one lost connection. */
#define FIRST_PROBE_DELAY_MS 30
/* Interval from the first probe to the second one, ms; doubled with each further probe. */
#define PROBE_INTERVAL_MIN_MS 400
/* Maximum interval between probes, ms, unless quince_meta_store_set_probe_interval_max() is called. */
#define DEFAULT_PROBE_INTERVAL_MAX_MS 800
/* Maximum interval between probes while a leader feeds this process, ms.  Pages from the leader show that the
 * store has recovered.  Below the 6 s lease of a front. */
#define SLOW_PROBE_INTERVAL_MAX_MS 4000
/* Key that probes read; it need not exist. */
#define PROBE_KEY "quinceroute/ledger"

typedef enum
{
  ANSWER_NONE,
  ANSWER_ITEM,
  ANSWER_PAGE,
  ANSWER_REVISION,
  ANSWER_LEASE,
} AnswerKind;

/* Called when the store recovers. */
typedef struct
{
  QuinceMetaStoreRecoveredFunc recovered;
  gpointer user_data;
} Listener;

struct _QuinceMetaStore
{
  /* All fields belong to the context that created the store. */
  QuinceHttpPool *pool;
  const QuinceMetaCodec *codec;
  GHashTable *calls; /* QuinceMetaCall, owned: calls in progress */
  GArray *listeners; /* Listener */
  QuinceMetaContact contact;
  gboolean failing;         /* the last call failed */
  QuinceTimer *probe_timer; /* starts the next probe; NULL while calls succeed */
  guint probe_interval_max_ms;
  guint probe_interval_ms; /* interval from the next probe to the one after it */
  gboolean slow_probes;    /* see quince_meta_store_set_slow_probes() */
};

/* Purpose of a call, for the labels of its metric. */
typedef struct
{
  const char *kind;    /* static */
  const char *subject; /* key or prefix; the metric shows its first two components; "": none */
  const char *reason;  /* static; "": none */
} CallPurpose;

struct _QuinceMetaCall
{
  QuinceMetaStore *store;
  QuinceHttpExchange *exchange;
  AnswerKind kind;
  char *labels; /* for the metric, without the outcome */
  QuinceMetaReply reply;
  gpointer user_data;
};

static void
call_free (gpointer data)
{
  QuinceMetaCall *call = data;
  if (call->exchange != NULL)
    quince_http_exchange_cancel (call->exchange);
  g_free (call->labels);
  g_free (call);
}

QuinceMetaStore *
quince_meta_store_new (const char *address, const QuinceMetaCodec *codec)
{
  QuinceMetaStore *store = g_new0 (QuinceMetaStore, 1);
  store->pool = quince_http_pool_new (address);
  store->probe_interval_max_ms = DEFAULT_PROBE_INTERVAL_MAX_MS;
  store->codec = codec;
  store->calls = g_hash_table_new_full (NULL, NULL, call_free, NULL);
  store->listeners = g_array_new (FALSE, FALSE, sizeof (Listener));
  return store;
}

void
quince_meta_store_free (QuinceMetaStore *store)
{
  if (store == NULL)
    return;
  quince_timer_clear (&store->probe_timer);
  g_hash_table_unref (store->calls);
  g_array_unref (store->listeners);
  quince_http_pool_unref (store->pool);
  g_free (store);
}

const QuinceMetaContact *
quince_meta_store_get_contact (const QuinceMetaStore *store)
{
  return &store->contact;
}

void
quince_meta_store_add_listener (QuinceMetaStore *store,
                                QuinceMetaStoreRecoveredFunc recovered,
                                gpointer user_data)
{
  const Listener listener = { recovered, user_data };
  g_array_append_val (store->listeners, listener);
}

void
quince_meta_store_remove_listener (QuinceMetaStore *store, gpointer user_data)
{
  for (guint i = 0; i < store->listeners->len; i++)
    if (g_array_index (store->listeners, Listener, i).user_data == user_data)
      {
        g_array_remove_index_fast (store->listeners, i);
        return;
      }
}

gboolean
quince_meta_store_is_failing (const QuinceMetaStore *store)
{
  return store->failing;
}

gboolean
quince_meta_store_leases_may_have_lapsed (const QuinceMetaStore *store, gint64 now_us)
{
  return store->failing
         || (store->contact.recovered_us > 0
             && now_us - store->contact.recovered_us < QUINCE_META_LEASE_RECOVERY_US);
}

/* ---- Answers ---------------------------------------------------------- */

static QuinceMetaCall *begin_call (QuinceMetaStore *store,
                                   const char *method,
                                   char *target,
                                   GBytes *body,
                                   gint64 timeout_us,
                                   AnswerKind kind,
                                   const CallPurpose *purpose,
                                   QuinceMetaReply reply,
                                   gpointer user_data);

static void
ignore_probe_reply (const QuinceMetaPage *page, guint64 number, const GError *error, gpointer data)
{
  /* handle_exchange_end() records the outcome of every call. */
}

static gboolean
probe_store (gpointer data)
{
  QuinceMetaStore *store = data;
  quince_timer_clear (&store->probe_timer);
  store->probe_timer = quince_timer_add (store->probe_interval_ms, probe_store, store);
  store->probe_interval_ms
      = MIN (store->probe_interval_ms * 2,
             store->slow_probes ? SLOW_PROBE_INTERVAL_MAX_MS : store->probe_interval_max_ms);
  const CallPurpose purpose = { "get", PROBE_KEY, "failing" };
  begin_call (store, "GET", store->codec->get_target (PROBE_KEY), NULL, CALL_TIMEOUT_US, ANSWER_ITEM,
              &purpose, ignore_probe_reply, store);
  return G_SOURCE_REMOVE;
}

void
quince_meta_store_set_probe_interval_max (QuinceMetaStore *store, guint probe_interval_max_ms)
{
  store->probe_interval_max_ms = probe_interval_max_ms;
}

void
quince_meta_store_set_slow_probes (QuinceMetaStore *store, gboolean slow_probes)
{
  if (store->slow_probes == slow_probes)
    return;
  store->slow_probes = slow_probes;
  if (slow_probes || store->probe_timer == NULL)
    return;
  quince_timer_clear (&store->probe_timer);
  store->probe_interval_ms = PROBE_INTERVAL_MIN_MS;
  store->probe_timer = quince_timer_add (FIRST_PROBE_DELAY_MS, probe_store, store);
}

/* Records whether a call succeeded, starts or stops the probes, and calls the listeners at the first success
 * after failures.
 * @answered_us: monotonic time of the outcome */
static void
record_call_outcome (QuinceMetaStore *store, gboolean success, gint64 answered_us)
{
  if (success)
    store->contact.last_answer_us = answered_us;
  if (success == !store->failing)
    return;
  store->failing = !success;
  if (success)
    quince_log_info ("dependency_regained", "what=meta_store");
  else
    quince_log_warning ("dependency_lost", "what=meta_store");
  if (success)
    store->contact.recovered_us = store->contact.last_answer_us;
  quince_timer_clear (&store->probe_timer);
  store->probe_interval_ms = PROBE_INTERVAL_MIN_MS;
  if (!success)
    store->probe_timer = quince_timer_add (FIRST_PROBE_DELAY_MS, probe_store, store);
  for (guint i = 0; success && i < store->listeners->len; i++)
    {
      const Listener *listener = &g_array_index (store->listeners, Listener, i);
      listener->recovered (answered_us, listener->user_data);
    }
}

static GError *
make_status_error (guint status)
{
  static const struct
  {
    guint status;
    QuinceMetaError code;
    const char *text;
  } table[] = {
    { 404, QUINCE_META_ERROR_GONE, "no such item or lease" },
    { 410, QUINCE_META_ERROR_GONE, "the store has compacted the requested revision" },
    { 412, QUINCE_META_ERROR_CONFLICT, "a key does not have the expected revision" },
    { 429, QUINCE_META_ERROR_UNAVAILABLE, "the store rejected the call: too many calls" },
    { 503, QUINCE_META_ERROR_UNAVAILABLE, "the store is unavailable" },
  };
  for (guint i = 0; i < G_N_ELEMENTS (table); i++)
    if (table[i].status == status)
      return g_error_new_literal (QUINCE_META_ERROR, table[i].code, table[i].text);
  if (status == 200)
    return NULL;
  return g_error_new (QUINCE_META_ERROR, QUINCE_META_ERROR_UNKNOWN, "unexpected status %u from the store",
                      status);
}

static QuinceMetaPage *
parse_answer (QuinceMetaCall *call, QuinceHttpExchange *exchange, guint64 *number, GError **error)
{
  const GByteArray *body = quince_http_exchange_get_body (exchange);
  const char *text = (const char *)body->data;
  const QuinceMetaCodec *codec = call->store->codec;
  switch (call->kind)
    {
    case ANSWER_ITEM:
      return codec->parse_item (text, body->len, error);
    case ANSWER_PAGE:
      return codec->parse_page (text, body->len, error);
    case ANSWER_REVISION:
      *number = codec->parse_revision (text, body->len);
      return NULL;
    case ANSWER_LEASE:
      *number = codec->parse_lease (text, body->len);
      return NULL;
    case ANSWER_NONE:
    default:
      return NULL;
    }
}

/* Returns: (transfer full): the labels of a call.  All keys of "a/b/..." are counted as "a/b", since a key
 * may contain the name of a machine. */
static char *
format_labels (const CallPurpose *purpose)
{
  const char *slash = strchr (purpose->subject, '/');
  const char *second_slash = slash != NULL ? strchr (slash + 1, '/') : NULL;
  gsize length = second_slash != NULL ? (gsize)(second_slash - purpose->subject) : strlen (purpose->subject);
  return g_strdup_printf ("kind=\"%s\",subject=\"%.*s\",reason=\"%s\"", purpose->kind, (int)length,
                          purpose->subject, purpose->reason);
}

static void
count_call (const QuinceMetaCall *call, const GError *error)
{
  static const char *const outcomes[] = { "unavailable", "unknown", "conflict", "gone", "malformed" };
  gboolean known_error
      = error != NULL && error->domain == QUINCE_META_ERROR && (guint)error->code < G_N_ELEMENTS (outcomes);
  g_autofree char *labels = g_strdup_printf ("%s,outcome=\"%s\"", call->labels,
                                             error == NULL ? "done"
                                             : known_error ? outcomes[error->code]
                                                           : "malformed");
  quince_metric_add ("quince_store_calls_total", labels, 1);
}

static void
handle_exchange_end (QuinceHttpExchange *exchange,
                     QuinceHttpOutcome outcome,
                     const GError *failure,
                     gpointer data)
{
  QuinceMetaCall *call = data;
  QuinceMetaStore *store = call->store;
  gint64 answered_us = quince_now_us ();
  g_autoptr (GError) error = NULL;
  g_autoptr (QuinceMetaPage) page = NULL;
  guint64 number = 0;
  guint status = 0;
  if (outcome == QUINCE_HTTP_NOT_SENT)
    g_set_error_literal (&error, QUINCE_META_ERROR, QUINCE_META_ERROR_UNAVAILABLE, failure->message);
  else if (outcome == QUINCE_HTTP_BROKEN)
    g_set_error_literal (&error, QUINCE_META_ERROR, QUINCE_META_ERROR_UNKNOWN, failure->message);
  else
    {
      status = quince_http_exchange_get_head (exchange)->status;
      error = make_status_error (status);
      if (error == NULL)
        page = parse_answer (call, exchange, &number, &error);
    }
  call->exchange = NULL;
  count_call (call, error);
  QuinceMetaReply reply = call->reply;
  gpointer user_data = call->user_data;
  g_hash_table_remove (store->calls, call);
  reply (page, number, error, user_data);
  /* Last, since listeners may start new watches. */
  record_call_outcome (store, outcome == QUINCE_HTTP_ANSWERED && status != 503 && status != 429, answered_us);
}

static const QuinceHttpExchangeCallbacks call_callbacks = { .done = handle_exchange_end };

/* ---- Calls ------------------------------------------------------------ */

static QuinceMetaCall *
begin_call (QuinceMetaStore *store,
            const char *method,
            char *target,
            GBytes *body,
            gint64 timeout_us,
            AnswerKind kind,
            const CallPurpose *purpose,
            QuinceMetaReply reply,
            gpointer user_data)
{
  g_autofree char *owned_target = target;
  g_autoptr (QuinceHttpHeaders) headers = quince_http_headers_new ();
  if (body != NULL)
    quince_http_headers_add (headers, "Content-Type", "application/json");
  QuinceMetaCall *call = g_new0 (QuinceMetaCall, 1);
  call->store = store;
  call->kind = kind;
  call->labels = format_labels (purpose);
  call->reply = reply;
  call->user_data = user_data;
  g_hash_table_add (store->calls, call);
  const QuinceHttpRequest request = { .method = method,
                                      .target = target,
                                      .headers = headers,
                                      .body = body,
                                      .timeout_us = timeout_us,
                                      .max_body_bytes = ANSWER_MAX_BYTES };
  call->exchange = quince_http_pool_start (store->pool, &request, &call_callbacks, call);
  return call;
}

void
quince_meta_call_cancel (QuinceMetaCall *call)
{
  g_hash_table_remove (call->store->calls, call);
}

void
quince_meta_store_handle_resume (QuinceMetaStore *store)
{
  quince_http_pool_close_idle (store->pool);
}

void
quince_meta_store_get (QuinceMetaStore *store, const char *key, QuinceMetaReply reply, gpointer user_data)
{
  const CallPurpose purpose = { "get", key, "" };
  begin_call (store, "GET", store->codec->get_target (key), NULL, CALL_TIMEOUT_US, ANSWER_ITEM, &purpose,
              reply, user_data);
}

QuinceMetaCall *
quince_meta_store_list (QuinceMetaStore *store,
                        const char *prefix,
                        const char *after_key,
                        const char *reason,
                        QuinceMetaReply reply,
                        gpointer user_data)
{
  const CallPurpose purpose = { "list", prefix, reason };
  return begin_call (store, "GET", store->codec->list_target (prefix, after_key), NULL, CALL_TIMEOUT_US,
                     ANSWER_PAGE, &purpose, reply, user_data);
}

QuinceMetaCall *
quince_meta_store_watch (QuinceMetaStore *store,
                         const char *prefix,
                         guint64 after_revision,
                         guint wait_ms,
                         const char *reason,
                         QuinceMetaReply reply,
                         gpointer user_data)
{
  const CallPurpose purpose = { "watch", prefix, reason };
  return begin_call (store, "GET", store->codec->watch_target (prefix, after_revision, wait_ms), NULL,
                     CALL_TIMEOUT_US + (gint64)wait_ms * 1000, ANSWER_PAGE, &purpose, reply, user_data);
}

void
quince_meta_store_change (QuinceMetaStore *store,
                          const QuinceMetaChange *changes,
                          guint n_changes,
                          QuinceMetaReply reply,
                          gpointer user_data)
{
  const CallPurpose purpose = { "change", n_changes > 0 ? changes[0].key : "", "" };
  g_autoptr (GBytes) body = store->codec->format_change (changes, n_changes);
  begin_call (store, "POST", store->codec->change_target (), body, CALL_TIMEOUT_US, ANSWER_REVISION, &purpose,
              reply, user_data);
}

void
quince_meta_store_open_lease (QuinceMetaStore *store, guint ttl_ms, QuinceMetaReply reply, gpointer user_data)
{
  const CallPurpose purpose = { "lease", "", "open" };
  g_autoptr (GBytes) body = store->codec->format_lease (ttl_ms);
  begin_call (store, "POST", store->codec->open_lease_target (), body, CALL_TIMEOUT_US, ANSWER_LEASE,
              &purpose, reply, user_data);
}

void
quince_meta_store_renew_lease (QuinceMetaStore *store,
                               guint64 lease,
                               QuinceMetaReply reply,
                               gpointer user_data)
{
  const CallPurpose purpose = { "lease", "", "renew" };
  begin_call (store, "POST", store->codec->renew_lease_target (lease), NULL, CALL_TIMEOUT_US, ANSWER_NONE,
              &purpose, reply, user_data);
}

void
quince_meta_store_end_lease (QuinceMetaStore *store, guint64 lease, QuinceMetaReply reply, gpointer user_data)
{
  const CallPurpose purpose = { "lease", "", "end" };
  begin_call (store, "DELETE", store->codec->end_lease_target (lease), NULL, CALL_TIMEOUT_US, ANSWER_NONE,
              &purpose, reply, user_data);
}
