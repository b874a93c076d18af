/*
 * weight-store.c: which weight versions the platform's weight store holds.
 */
#include <quince/weight-store.h>

#include <quince/http.h>

/* RFC 6585; libsoup has no name for it. */
#define STATUS_TOO_MANY_REQUESTS 429

G_DEFINE_QUARK (quince - weight - store - error - quark, quince_weight_store_error)

/* A call on its way.  Owned by the HTTP call until its callback has run. */
typedef struct
{
  GCancellable *cancellable;
  QuinceWeightStoreCallback callback;
  gpointer user_data;
} StoreCall;

static gboolean
parse_versions (guint status, JsonNode *answer, const GError *cause, guint64 *latest, GError **error)
{
  if (status == STATUS_TOO_MANY_REQUESTS)
    {
      g_set_error (error, QUINCE_WEIGHT_STORE_ERROR, QUINCE_WEIGHT_STORE_ERROR_RATE, "rate limit");
      return FALSE;
    }
  if (status != SOUP_STATUS_OK)
    {
      g_set_error (error, QUINCE_WEIGHT_STORE_ERROR, QUINCE_WEIGHT_STORE_ERROR_UNREACHABLE, "status %u: %s",
                   status, cause != NULL ? cause->message : "");
      return FALSE;
    }
  g_autoptr (GError) bad_field = NULL;
  if (answer == NULL || !JSON_NODE_HOLDS_OBJECT (answer)
      || !quince_json_get_u64 (json_node_get_object (answer), "latest", G_MAXINT64, latest, &bad_field))
    {
      g_set_error (error, QUINCE_WEIGHT_STORE_ERROR, QUINCE_WEIGHT_STORE_ERROR_PROTOCOL, "%s",
                   bad_field != NULL ? bad_field->message : "answer is not a JSON object");
      return FALSE;
    }
  return TRUE;
}

static void
versions_answered (guint status, JsonNode *answer, const GError *cause, gpointer user_data)
{
  g_autofree StoreCall *call = user_data;
  g_autoptr (GCancellable) cancellable = g_steal_pointer (&call->cancellable);
  if (cancellable != NULL && g_cancellable_is_cancelled (cancellable))
    return;
  g_autoptr (GError) error = NULL;
  guint64 latest = 0;
  if (!parse_versions (status, answer, cause, &latest, &error))
    latest = 0;
  call->callback (latest, error, call->user_data);
}

void
quince_weight_store_get_latest (SoupSession *session,
                                const char *address,
                                guint timeout_ms,
                                GCancellable *cancellable,
                                QuinceWeightStoreCallback callback,
                                gpointer user_data)
{
  g_autofree char *url = g_strdup_printf ("http://%s/versions", address);
  StoreCall *call = g_new0 (StoreCall, 1);
  g_set_object (&call->cancellable, cancellable);
  call->callback = callback;
  call->user_data = user_data;
  quince_http_call (session, url, NULL, timeout_ms, cancellable, versions_answered, call);
}
