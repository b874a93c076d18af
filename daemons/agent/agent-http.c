/*
 * agent-http.c: the HTTP server of the agent: routes, bounds and status.
 */
#include "agent-http.h"

#include <linux/filter.h>
#include <string.h>
#include <sys/socket.h>

#include <quince/http-listener.h>
#include <quince/http.h>
#include <quince/log.h>
#include <quince/task.h>

#include "agent-metrics.h"
#include "completions.h"
#include "node-links.h"
#include "trainer-api.h"

#define BODY_MOST_BYTES (8 * 1024 * 1024)
/* In the TCP header: where the flags are, and which of them tell a first packet. */
#define TCP_FLAGS_OFFSET 13
#define TCP_FLAGS_SYN 0x02
#define TCP_FLAGS_SYN_ACK 0x12

struct _QuinceAgentHttp
{
  /* All fields belong to the main context. */
  QuinceAgent *agent;
  SoupServer *server;
  QuinceHttpListener *listener;
  gint64 asked_us; /* when a request came last */
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
  if (http->agent->stopping)
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
    quince_completions_handle (http->agent->completions, message);
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
    quince_trainer_api_submit (http->agent->trainer_api, message);
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
    quince_trainer_api_pull (http->agent->trainer_api, message, parts[2]);
  else if (named && g_str_equal (parts[3], "release"))
    quince_trainer_api_release (http->agent->trainer_api, message, parts[2]);
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

static void
handle_ready (SoupServer *server,
              SoupServerMessage *message,
              const char *path,
              GHashTable *query,
              gpointer user_data)
{
  const QuinceAgent *agent = ((QuinceAgentHttp *)user_data)->agent;
  if (!check_method (message, SOUP_METHOD_GET))
    return;
  if (agent->stopping)
    quince_http_reply_text (message, SOUP_STATUS_SERVICE_UNAVAILABLE, "text/plain", "stopping\n");
  else if (!quince_node_links_has_ready (agent->node_links))
    quince_http_reply_text (message, SOUP_STATUS_SERVICE_UNAVAILABLE, "text/plain", "no node is ready\n");
  else
    quince_http_reply_text (message, SOUP_STATUS_OK, "text/plain", "ready\n");
}

static void
handle_metrics (SoupServer *server,
                SoupServerMessage *message,
                const char *path,
                GHashTable *query,
                gpointer user_data)
{
  if (!check_method (message, SOUP_METHOD_GET))
    return;
  g_autofree char *text = quince_agent_metrics_format (((QuinceAgentHttp *)user_data)->agent);
  quince_http_reply_text (message, SOUP_STATUS_OK, "text/plain; version=0.0.4", text);
}

static void
handle_status (SoupServer *server,
               SoupServerMessage *message,
               const char *path,
               GHashTable *query,
               gpointer user_data)
{
  if (!check_method (message, SOUP_METHOD_GET))
    return;
  g_autoptr (JsonNode) status = quince_agent_status_build (((QuinceAgentHttp *)user_data)->agent);
  quince_http_reply_json (message, SOUP_STATUS_OK, status);
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
quince_agent_http_new (QuinceAgent *agent, const char *address, GError **error)
{
  QuinceAgentHttp *http = g_new0 (QuinceAgentHttp, 1);
  http->agent = agent;
  http->server = quince_http_server_new ("quinceroute");
  for (guint i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      soup_server_add_early_handler (http->server, routes[i].path, headers_arrived, http, NULL);
      soup_server_add_handler (http->server, routes[i].path, routes[i].handle, http, NULL);
    }
  http->listener = quince_http_listener_new (http->server, address, error);
  if (http->listener != NULL)
    return http;
  quince_agent_http_free (http);
  return NULL;
}

void
quince_agent_http_free (QuinceAgentHttp *http)
{
  g_clear_pointer (&http->listener, quince_http_listener_free);
  soup_server_disconnect (http->server);
  g_object_unref (http->server);
  g_free (http);
}

const char *
quince_agent_http_get_address (const QuinceAgentHttp *http)
{
  return quince_http_listener_get_address (http->listener);
}

/* ---- Planned stop -------------------------------------------------------------- */

/* Closing a socket resets connections that it has not accepted yet, and their callers would never
 * hear whether their request ran.  So first packets are dropped for a while before: callers send
 * them again by themselves, and what was connected before is accepted and answered meanwhile. */
static gboolean
ignore_first_packets (GSocket *socket)
{
  struct sock_filter code[] = {
    BPF_STMT (BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
    BPF_STMT (BPF_ALU | BPF_AND | BPF_K, TCP_FLAGS_SYN_ACK),
    BPF_JUMP (BPF_JMP | BPF_JEQ | BPF_K, TCP_FLAGS_SYN, 0, 1),
    BPF_STMT (BPF_RET | BPF_K, 0),
    BPF_STMT (BPF_RET | BPF_K, G_MAXUINT32),
  };
  const struct sock_fprog filter = { G_N_ELEMENTS (code), code };
  return setsockopt (g_socket_get_fd (socket), SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter) == 0;
}

void
quince_agent_http_ignore_connections (QuinceAgentHttp *http)
{
  if (!ignore_first_packets (quince_http_listener_get_socket (http->listener)))
    quince_log_warning ("connections_not_ignored", "address=%s", quince_agent_http_get_address (http));
}

gint64
quince_agent_http_get_asked_us (const QuinceAgentHttp *http)
{
  return http->asked_us;
}
