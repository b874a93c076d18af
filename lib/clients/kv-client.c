/*
 * kv-client.c: reads and compare-and-swaps on the key-value service.
 *
 * An operation goes to the preferred endpoint and, where that cannot do
 * harm, to the others in turn: a read after any failure, a write only while
 * it certainly never left this process.  Each try has the client's timeout.
 */
#include "clients/kv-client.h"

#include "kv-call.h"
#include "kv-internal.h"
#include "kv-json.h"

#include <string.h>

#define STATUS_RATE_LIMITED 429
#define STATUS_REQUEST_TIMEOUT 408

G_DEFINE_QUARK (quince_kv_error, quince_kv_error)

struct _QuinceKvClient
{
  SoupSession *session; /* owned */
  GPtrArray *endpoints; /* owned; char *, "ip:port" */
  guint preferred;      /* index of the endpoint that answered last */
  guint timeout_ms;     /* for one try */
  GPtrArray *pending;   /* owned; KvOperation, owned */
};

/* One read or write over its tries. Owned by the client's pending list. */
typedef struct
{
  QuinceKvClient *client; /* not owned */
  const char *path;       /* constant */
  char *body;             /* owned */
  guint tries;
  QuinceKvCall *call;          /* not owned; NULL between tries */
  GSource *idle;               /* owned; failure to be told without a try */
  QuinceKvRangeCallback range; /* one of these two is set */
  QuinceKvSwapCallback swap;
  gpointer user_data; /* not owned */
} KvOperation;

static void try_next (KvOperation *operation);

static void
operation_free (KvOperation *operation)
{
  if (operation->call != NULL)
    quince_kv_call_cancel (operation->call);
  if (operation->idle != NULL)
    g_source_destroy (operation->idle);
  g_clear_pointer (&operation->idle, g_source_unref);
  g_free (operation->body);
  g_free (operation);
}

QuinceKvClient *
quince_kv_client_new (const char *const *endpoints, guint timeout_ms)
{
  QuinceKvClient *client = g_new0 (QuinceKvClient, 1);
  client->session = quince_kv_session_new ();
  client->endpoints = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; endpoints != NULL && endpoints[i] != NULL; i++)
    g_ptr_array_add (client->endpoints, g_strdup (endpoints[i]));
  client->timeout_ms = timeout_ms;
  client->pending = g_ptr_array_new_with_free_func ((GDestroyNotify)operation_free);
  return client;
}

void
quince_kv_client_free (QuinceKvClient *client)
{
  if (client == NULL)
    return;
  g_ptr_array_unref (client->pending);
  g_ptr_array_unref (client->endpoints);
  soup_session_abort (client->session);
  g_object_unref (client->session);
  g_free (client);
}

SoupSession *
quince_kv_client_get_session (QuinceKvClient *client)
{
  return client->session;
}

const char *
quince_kv_client_get_endpoint (QuinceKvClient *client)
{
  return client->endpoints->len > 0 ? client->endpoints->pdata[client->preferred] : NULL;
}

void
quince_kv_client_next_endpoint (QuinceKvClient *client)
{
  if (client->endpoints->len > 0)
    client->preferred = (client->preferred + 1) % client->endpoints->len;
}

void
quince_kv_client_cancel (QuinceKvClient *client, gpointer user_data)
{
  for (guint i = client->pending->len; i > 0; i--)
    {
      KvOperation *operation = client->pending->pdata[i - 1];
      if (operation->user_data == user_data)
        g_ptr_array_remove_index_fast (client->pending, i - 1);
    }
}

/* ---- Ends of an operation ----------------------------------------------- */

/* Takes the operation off the list before its callback, which may free the client. */
static KvOperation *
take_operation (KvOperation *operation)
{
  guint index;
  if (!g_ptr_array_find (operation->client->pending, operation, &index))
    g_assert_not_reached ();
  return g_ptr_array_steal_index_fast (operation->client->pending, index);
}

static void
fail (KvOperation *operation, const GError *error)
{
  take_operation (operation);
  if (operation->range != NULL)
    operation->range (NULL, 0, error, operation->user_data);
  else
    operation->swap (FALSE, 0, NULL, error, operation->user_data);
  operation_free (operation);
}

static void
fail_with (KvOperation *operation, QuinceKvError code, const char *what)
{
  g_autoptr (GError) error = g_error_new (QUINCE_KV_ERROR, code, "key-value service: %s", what);
  fail (operation, error);
}

static void
succeed_range (KvOperation *operation, GBytes *answer)
{
  g_autoptr (GPtrArray) items = NULL;
  g_autoptr (GError) error = NULL;
  guint64 revision = 0;
  if (!quince_kv_json_parse_range (answer, &items, &revision, &error))
    {
      quince_kv_client_next_endpoint (operation->client);
      if (operation->tries < operation->client->endpoints->len)
        try_next (operation);
      else
        fail (operation, error);
      return;
    }
  take_operation (operation);
  operation->range (items, revision, NULL, operation->user_data);
  operation_free (operation);
}

static void
succeed_swap (KvOperation *operation, GBytes *answer)
{
  g_autoptr (QuinceKvItem) current = NULL;
  g_autoptr (GError) error = NULL;
  guint64 revision = 0;
  gboolean done = FALSE;
  if (!quince_kv_json_parse_swap (answer, &done, &revision, &current, &error))
    {
      /* The service may well have written; its answer just does not say so. */
      fail_with (operation, QUINCE_KV_ERROR_UNKNOWN, error->message);
      return;
    }
  take_operation (operation);
  operation->swap (done, revision, current, NULL, operation->user_data);
  operation_free (operation);
}

/* ---- Tries ------------------------------------------------------------------ */

/* An answer that proves that nothing was carried out. */
static gboolean
is_refusal (guint status)
{
  return status >= 400 && status < 500 && status != STATUS_REQUEST_TIMEOUT;
}

static void
try_failed (KvOperation *operation, guint status, gboolean maybe_sent)
{
  gboolean write = operation->swap != NULL;
  quince_kv_client_next_endpoint (operation->client);
  if (write && maybe_sent)
    fail_with (operation, QUINCE_KV_ERROR_UNKNOWN, "no answer that tells whether the write took effect");
  else if (operation->tries < operation->client->endpoints->len)
    try_next (operation);
  else if (status != 0)
    fail_with (operation, QUINCE_KV_ERROR_UNREACHABLE, "answered with an error status");
  else
    fail_with (operation, QUINCE_KV_ERROR_UNREACHABLE, "no answer");
}

static void
on_call (guint status, GBytes *answer, gboolean maybe_sent, gpointer user_data)
{
  KvOperation *operation = user_data;
  operation->call = NULL;
  if (status == STATUS_RATE_LIMITED)
    fail_with (operation, QUINCE_KV_ERROR_RATE, "refused by its rate limit");
  else if (is_refusal (status))
    fail_with (operation, QUINCE_KV_ERROR_PROTOCOL, "refused the request as invalid");
  else if (status != SOUP_STATUS_OK)
    try_failed (operation, status, maybe_sent);
  else if (operation->range != NULL)
    succeed_range (operation, answer);
  else
    succeed_swap (operation, answer);
}

static void
try_next (KvOperation *operation)
{
  QuinceKvClient *client = operation->client;
  operation->tries++;
  SoupMessage *message
      = quince_kv_message_new (quince_kv_client_get_endpoint (client), operation->path, operation->body);
  if (message == NULL)
    {
      try_failed (operation, 0, FALSE);
      return;
    }
  /* A kept connection that the peer has closed meanwhile would make a write's outcome unknown. */
  if (operation->swap != NULL)
    soup_message_add_flags (message, SOUP_MESSAGE_NEW_CONNECTION);
  operation->call = quince_kv_call_start (client->session, message, client->timeout_ms, on_call, operation);
}

static gboolean
on_start (gpointer user_data)
{
  KvOperation *operation = user_data;
  g_clear_pointer (&operation->idle, g_source_unref);
  if (operation->client->endpoints->len == 0)
    fail_with (operation, QUINCE_KV_ERROR_UNREACHABLE, "no address is set");
  else
    try_next (operation);
  return G_SOURCE_REMOVE;
}

/* The first try starts from the loop, so that no callback comes before the caller's return. */
static void
start (QuinceKvClient *client, KvOperation *operation)
{
  operation->client = client;
  g_ptr_array_add (client->pending, operation);
  operation->idle = g_idle_source_new ();
  g_source_set_priority (operation->idle, G_PRIORITY_DEFAULT);
  g_source_set_callback (operation->idle, on_start, operation, NULL);
  g_source_attach (operation->idle, g_main_context_get_thread_default ());
}

/* ---- Operations ------------------------------------------------------------- */

void
quince_kv_client_get (QuinceKvClient *client,
                      const char *key,
                      gboolean prefix,
                      QuinceKvRangeCallback callback,
                      gpointer user_data)
{
  KvOperation *operation = g_new0 (KvOperation, 1);
  operation->path = "/v3/kv/range";
  operation->body = quince_kv_json_range (key, prefix);
  operation->range = callback;
  operation->user_data = user_data;
  start (client, operation);
}

void
quince_kv_client_swap (QuinceKvClient *client,
                       const char *key,
                       guint64 expected,
                       const char *value,
                       gssize length,
                       QuinceKvSwapCallback callback,
                       gpointer user_data)
{
  KvOperation *operation = g_new0 (KvOperation, 1);
  operation->path = "/v3/kv/txn";
  operation->body = quince_kv_json_swap (key, expected, value, length < 0 ? strlen (value) : (gsize)length);
  operation->swap = callback;
  operation->user_data = user_data;
  start (client, operation);
}

void
quince_kv_client_swap_delete (QuinceKvClient *client,
                              const char *key,
                              guint64 expected,
                              QuinceKvSwapCallback callback,
                              gpointer user_data)
{
  KvOperation *operation = g_new0 (KvOperation, 1);
  operation->path = "/v3/kv/txn";
  operation->body = quince_kv_json_swap (key, expected, NULL, 0);
  operation->swap = callback;
  operation->user_data = user_data;
  start (client, operation);
}
