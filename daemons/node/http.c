/*
 * http.c: this node over HTTP: health, readiness, metrics and status.
 */
#include "http.h"

#include <quince/http.h>

#include "status-json.h"

/* No call has a body. */
#define BODY_MOST_BYTES 4096
#define METRICS_TYPE "text/plain; version=0.0.4"

/* Owned by the node, on its main context. */
struct _QuinceNodeHttp
{
  QuinceNode *node;   /* not owned                                          */
  SoupServer *server; /* owned                                              */
  char *address;      /* owned; really listened on                          */
};

static void
headers_arrived (SoupServer *server,
                 SoupServerMessage *message,
                 const char *path,
                 GHashTable *query,
                 gpointer user_data)
{
  quince_http_limit_body (message, BODY_MOST_BYTES);
}

/* Returns: %FALSE when @message is answered: with 413 before, or now with 405. */
static gboolean
is_get (SoupServerMessage *message)
{
  if (soup_server_message_get_status (message) != 0)
    return FALSE;
  if (g_str_equal (soup_server_message_get_method (message), "GET"))
    return TRUE;
  quince_http_reply_error (message, SOUP_STATUS_METHOD_NOT_ALLOWED, "method_not_allowed",
                           "only GET is served", -1, -1);
  return FALSE;
}

static void
serve_health (SoupServer *server,
              SoupServerMessage *message,
              const char *path,
              GHashTable *query,
              gpointer user_data)
{
  if (is_get (message))
    quince_http_reply_text (message, SOUP_STATUS_OK, "text/plain", "ok\n");
}

static void
serve_ready (SoupServer *server,
             SoupServerMessage *message,
             const char *path,
             GHashTable *query,
             gpointer user_data)
{
  QuinceNodeHttp *http = user_data;
  if (!is_get (message))
    return;
  if (quince_node_is_ready (http->node))
    quince_http_reply_text (message, SOUP_STATUS_OK, "text/plain", "ready\n");
  else if (http->node->stopping)
    quince_http_reply_error (message, SOUP_STATUS_SERVICE_UNAVAILABLE, "stopping", "this node stops", -1, -1);
  else
    quince_http_reply_error (message, SOUP_STATUS_SERVICE_UNAVAILABLE, "not_ready",
                             "the policy in force is not known here yet", -1, -1);
}

static void
serve_metrics (SoupServer *server,
               SoupServerMessage *message,
               const char *path,
               GHashTable *query,
               gpointer user_data)
{
  QuinceNodeHttp *http = user_data;
  if (!is_get (message))
    return;
  g_autofree char *text = quince_node_metrics_text (http->node);
  quince_http_reply_text (message, SOUP_STATUS_OK, METRICS_TYPE, text);
}

static void
serve_status (SoupServer *server,
              SoupServerMessage *message,
              const char *path,
              GHashTable *query,
              gpointer user_data)
{
  QuinceNodeHttp *http = user_data;
  if (!is_get (message))
    return;
  g_autoptr (JsonNode) status = quince_node_status_json (http->node);
  quince_http_reply_json (message, SOUP_STATUS_OK, status);
}

static void
serve_unknown (SoupServer *server,
               SoupServerMessage *message,
               const char *path,
               GHashTable *query,
               gpointer user_data)
{
  if (soup_server_message_get_status (message) == 0)
    quince_http_reply_error (message, SOUP_STATUS_NOT_FOUND, "not_found", "no such path", -1, -1);
}

static const struct
{
  const char *path;
  SoupServerCallback serve;
} routes[] = {
  { NULL, serve_unknown },       { "/healthz", serve_health },   { "/readyz", serve_ready },
  { "/metrics", serve_metrics }, { "/v1/status", serve_status },
};

QuinceNodeHttp *
quince_node_http_new (QuinceNode *node, GError **error)
{
  QuinceNodeHttp *http = g_new0 (QuinceNodeHttp, 1);
  http->node = node;
  http->server = quince_http_server_new (NULL);
  for (guint i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      soup_server_add_early_handler (http->server, routes[i].path, headers_arrived, http, NULL);
      soup_server_add_handler (http->server, routes[i].path, routes[i].serve, http, NULL);
    }
  const char *wanted = quince_settings_get_text (node->settings, "node", "http");
  if (!quince_http_listen (http->server, wanted, &http->address, error))
    {
      quince_node_http_free (http);
      return NULL;
    }
  return http;
}

void
quince_node_http_free (QuinceNodeHttp *http)
{
  if (http == NULL)
    return;
  soup_server_disconnect (http->server);
  g_object_unref (http->server);
  g_free (http->address);
  g_free (http);
}

const char *
quince_node_http_get_address (QuinceNodeHttp *http)
{
  return http->address;
}
