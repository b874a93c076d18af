/*
 * agent-http.c: the HTTP server of a worker: routes, bounds and status.
 */
#include "agent-http.h"

#include <string.h>

#include <quince/http-listener.h>
#include <quince/http.h>
#include <quince/task.h>

#include "completions.h"
#include "trainer-api.h"

#define BODY_MOST_BYTES (8 * 1024 * 1024)

struct _QuinceAgentHttp
{
  /* All fields belong to the worker's context. */
  QuinceWorker *worker;
  SoupServer *server;
  GHashTable *views; /* of View, owned */
  gint64 asked_us;   /* when a request came last */
};

/* ---- Bounds -------------------------------------------------------------------- */

static void
headers_arrived (SoupServer *server,
                 SoupServerMessage *message,
                 const char *path,
                 GHashTable *query,
                 gpointer user_data)
{
  QuinceAgentHttp *http = user_data;
  http->asked_us = quince_now_us ();
  /* A caller that kept the connection would meet its end. */
  if (http->worker->stopping)
    soup_message_headers_replace (soup_server_message_get_response_headers (message), "Connection", "close");
  quince_http_limit_body (message, BODY_MOST_BYTES);
}

/* ---- Routes -------------------------------------------------------------------- */

/* Returns: %FALSE when @message is answered: with 413 before, or now with 405. */
static gboolean
check_method (SoupServerMessage *message, const char *method)
{
  if (soup_server_message_get_status (message) != 0)
    return FALSE;
  if (g_str_equal (soup_server_message_get_method (message), method))
    return TRUE;
  soup_message_headers_replace (soup_server_message_get_response_headers (message), "Allow", method);
  quince_http_reply_error (message, SOUP_STATUS_METHOD_NOT_ALLOWED, "method_not_allowed", method, TRUE, -1);
  return FALSE;
}

static void
handle_completions (SoupServer *server,
                    SoupServerMessage *message,
                    const char *path,
                    GHashTable *query,
                    gpointer user_data)
{
  QuinceAgentHttp *http = user_data;
  if (check_method (message, SOUP_METHOD_POST))
    quince_completions_handle (http->worker->completions, message);
}

static void
handle_rollouts (SoupServer *server,
                 SoupServerMessage *message,
                 const char *path,
                 GHashTable *query,
                 gpointer user_data)
{
  QuinceAgentHttp *http = user_data;
  if (check_method (message, SOUP_METHOD_POST))
    quince_trainer_api_submit (http->worker->trainer_api, message);
}

/* /v1/trainers/TRAINER/pull and /v1/trainers/TRAINER/release */
static void
handle_trainers (SoupServer *server,
                 SoupServerMessage *message,
                 const char *path,
                 GHashTable *query,
                 gpointer user_data)
{
  QuinceAgentHttp *http = user_data;
  g_auto (GStrv) parts = g_strsplit (path + 1, "/", 5);
  gboolean named = g_strv_length (parts) == 4 && *parts[2] != '\0' && strlen (parts[2]) <= QUINCE_MAX_NAME
                   && g_utf8_validate (parts[2], -1, NULL);
  if (!check_method (message, SOUP_METHOD_POST))
    return;
  if (named && g_str_equal (parts[3], "pull"))
    quince_trainer_api_pull (http->worker->trainer_api, message, parts[2]);
  else if (named && g_str_equal (parts[3], "release"))
    quince_trainer_api_release (http->worker->trainer_api, message, parts[2]);
  else
    quince_http_reply_error (message, SOUP_STATUS_NOT_FOUND, "not_found", "no such call", TRUE, -1);
}

static void
handle_health (SoupServer *server,
               SoupServerMessage *message,
               const char *path,
               GHashTable *query,
               gpointer user_data)
{
  if (check_method (message, SOUP_METHOD_GET))
    quince_http_reply_text (message, SOUP_STATUS_OK, "text/plain", "ok\n");
}

/* One view that waits for the hub's answer. */
typedef struct
{
  QuinceAgentHttp *http;
  SoupServerMessage *message;
  const char *content_type;
  guint64 call; /* 0 once it is answered */
} View;

static void
view_answered (guint status, const char *text, gpointer user_data)
{
  View *view = user_data;
  view->call = 0;
  quince_http_reply_text (view->message, status, view->content_type, text);
  soup_server_message_unpause (view->message);
}

static void
view_finished (SoupServerMessage *message, gpointer user_data)
{
  View *view = user_data;
  g_hash_table_remove (view->http->views, view);
}

static void
view_free (gpointer data)
{
  View *view = data;
  g_signal_handlers_disconnect_by_data (view->message, view);
  if (view->call != 0)
    quince_hub_client_cancel (view->http->worker->hub, view->call);
  g_object_unref (view->message);
  g_free (view);
}

static void
start_view (QuinceAgentHttp *http, SoupServerMessage *message, QuinceViewKind kind, const char *content_type)
{
  if (!check_method (message, SOUP_METHOD_GET))
    return;
  View *view = g_new0 (View, 1);
  view->http = http;
  view->message = g_object_ref (message);
  view->content_type = content_type;
  g_hash_table_add (http->views, view);
  g_signal_connect (message, "finished", G_CALLBACK (view_finished), view);
  soup_server_message_pause (message);
  view->call = quince_hub_client_view (http->worker->hub, kind, view_answered, view);
}

static void
handle_ready (SoupServer *server,
              SoupServerMessage *message,
              const char *path,
              GHashTable *query,
              gpointer user_data)
{
  start_view (user_data, message, QUINCE_VIEW_READY, "text/plain");
}

static void
handle_metrics (SoupServer *server,
                SoupServerMessage *message,
                const char *path,
                GHashTable *query,
                gpointer user_data)
{
  start_view (user_data, message, QUINCE_VIEW_METRICS, "text/plain; version=0.0.4");
}

static void
handle_status (SoupServer *server,
               SoupServerMessage *message,
               const char *path,
               GHashTable *query,
               gpointer user_data)
{
  start_view (user_data, message, QUINCE_VIEW_STATUS, "application/json");
}

static void
handle_other (SoupServer *server,
              SoupServerMessage *message,
              const char *path,
              GHashTable *query,
              gpointer user_data)
{
  if (soup_server_message_get_status (message) == 0)
    quince_http_reply_error (message, SOUP_STATUS_NOT_FOUND, "not_found", "no such call", TRUE, -1);
}

static const struct
{
  const char *path;
  SoupServerCallback handle;
} routes[] = {
  { NULL, handle_other },
  { "/v1/completions", handle_completions },
  { "/v1/rollouts", handle_rollouts },
  { "/v1/trainers", handle_trainers },
  { "/v1/status", handle_status },
  { "/healthz", handle_health },
  { "/readyz", handle_ready },
  { "/metrics", handle_metrics },
};

/* ---- Life ---------------------------------------------------------------------- */

QuinceAgentHttp *
quince_agent_http_new (QuinceWorker *worker)
{
  QuinceAgentHttp *http = g_new0 (QuinceAgentHttp, 1);
  http->worker = worker;
  http->views = g_hash_table_new_full (NULL, NULL, view_free, NULL);
  http->server = quince_http_server_new ("quinceroute");
  for (guint i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      soup_server_add_early_handler (http->server, routes[i].path, headers_arrived, http, NULL);
      soup_server_add_handler (http->server, routes[i].path, routes[i].handle, http, NULL);
    }
  return http;
}

void
quince_agent_http_free (QuinceAgentHttp *http)
{
  g_hash_table_unref (http->views);
  soup_server_disconnect (http->server);
  g_object_unref (http->server);
  g_free (http);
}

void
quince_agent_http_serve (QuinceAgentHttp *http, GSocket *socket)
{
  quince_http_serve (http->server, socket);
}

gint64
quince_agent_http_get_asked_us (const QuinceAgentHttp *http)
{
  return http->asked_us;
}
