/*
 * http.c: JSON over libsoup, errors in the OpenAI form.
 */
#include "runtime/http.h"

#include <string.h>
#include <sys/socket.h>

#include "runtime/link.h"
#include "runtime/clock.h"

G_DEFINE_QUARK (quince - http - error - quark, quince_http_error)

/* Connections that may wait to be accepted: bursts come at once, and GLib's own backlog is 10. */
#define LISTEN_BACKLOG 4096

static void
end_connection (SoupServer *server, SoupServerMessage *message, gpointer user_data)
{
  soup_message_headers_replace (soup_server_message_get_response_headers (message), "Connection", "close");
}

SoupServer *
quince_http_server_new (const char *server_header)
{
  SoupServer *server = soup_server_new ("server-header", server_header, NULL);
  g_signal_connect (server, "request-started", G_CALLBACK (end_connection), NULL);
  return server;
}

/* On sockets that listen already this changes their backlog. */
static void
widen_backlog (SoupServer *server)
{
  g_autoptr (GSList) listeners = soup_server_get_listeners (server);
  for (GSList *item = listeners; item != NULL; item = item->next)
    listen (g_socket_get_fd (item->data), LISTEN_BACKLOG);
}

gboolean
quince_http_listen (SoupServer *server, const char *address, char **actual, GError **error)
{
  g_autoptr (GSocketAddress) wanted = quince_address_parse (address, error);
  if (wanted == NULL || !soup_server_listen (server, wanted, 0, error))
    return FALSE;
  widen_backlog (server);
  if (actual == NULL)
    return TRUE;
  g_autoslist (GUri) uris = soup_server_get_uris (server);
  if (uris == NULL)
    {
      g_set_error_literal (error, QUINCE_HTTP_ERROR, QUINCE_HTTP_ERROR_ADDRESS, "server listens nowhere");
      return FALSE;
    }
  *actual = g_strdup_printf ("%s:%d", g_uri_get_host (uris->data), g_uri_get_port (uris->data));
  return TRUE;
}

void
quince_http_reply_text (SoupServerMessage *message, guint status, const char *content_type, const char *text)
{
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, content_type, SOUP_MEMORY_COPY, text, strlen (text));
}

void
quince_http_reply_json (SoupServerMessage *message, guint status, JsonNode *root)
{
  gsize length;
  g_autoptr (JsonGenerator) generator = json_generator_new ();
  json_generator_set_root (generator, root);
  char *text = json_generator_to_data (generator, &length);
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, "application/json", SOUP_MEMORY_TAKE, text, length);
}

void
quince_http_reply_error (SoupServerMessage *message,
                         guint status,
                         const char *type,
                         const char *text,
                         int not_run,
                         gint64 retry_after_ms)
{
  g_autoptr (JsonObject) root = json_object_new ();
  JsonObject *details = json_object_new ();
  json_object_set_string_member (details, "type", type);
  json_object_set_string_member (details, "message", text);
  if (not_run >= 0)
    json_object_set_boolean_member (details, "not_run", not_run != 0);
  if (retry_after_ms >= 0)
    {
      json_object_set_int_member (details, "retry_after_ms", retry_after_ms);
      g_autofree char *seconds = g_strdup_printf ("%" G_GINT64_FORMAT, (retry_after_ms + 999) / 1000);
      soup_message_headers_replace (soup_server_message_get_response_headers (message), "Retry-After",
                                    seconds);
    }
  json_object_set_object_member (root, "error", details);
  g_autoptr (JsonNode) node = json_node_init_object (json_node_alloc (), root);
  quince_http_reply_json (message, status, node);
}

/* ---- Bodies of requests ------------------------------------------------ */

typedef struct
{
  gsize got;
  gsize most;
} BodyLimit;

/* The rest of the body is read and dropped. */
static void
refuse_large (SoupServerMessage *message, gsize most)
{
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  g_autofree char *text = g_strdup_printf ("body is above %" G_GSIZE_FORMAT " bytes", most);
  soup_message_body_set_accumulate (body, FALSE);
  soup_message_body_truncate (body);
  soup_message_headers_replace (soup_server_message_get_response_headers (message), "Connection", "close");
  quince_http_reply_error (message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, "too_large", text, TRUE, -1);
}

static void
got_chunk (SoupServerMessage *message, GBytes *chunk, gpointer user_data)
{
  BodyLimit *limit = user_data;
  limit->got += g_bytes_get_size (chunk);
  if (limit->got > limit->most && soup_server_message_get_status (message) == 0)
    refuse_large (message, limit->most);
}

void
quince_http_limit_body (SoupServerMessage *message, gsize most)
{
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (message);
  if (soup_message_headers_get_content_length (headers) > (goffset)most)
    {
      refuse_large (message, most);
      return;
    }
  BodyLimit *limit = g_new0 (BodyLimit, 1);
  limit->most = most;
  g_signal_connect_data (message, "got-chunk", G_CALLBACK (got_chunk), limit, (GClosureNotify)g_free, 0);
}

static JsonNode *
parse_object (const char *text, gsize length, GError **error)
{
  g_autoptr (JsonParser) parser = json_parser_new_immutable ();
  if (!quince_json_check (text, length) || !json_parser_load_from_data (parser, text, (gssize)length, NULL))
    {
      g_set_error_literal (error, QUINCE_HTTP_ERROR, QUINCE_HTTP_ERROR_BAD_BODY, "body is not JSON");
      return NULL;
    }
  JsonNode *root = json_parser_get_root (parser);
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    {
      g_set_error_literal (error, QUINCE_HTTP_ERROR, QUINCE_HTTP_ERROR_BAD_BODY, "body is not a JSON object");
      return NULL;
    }
  return json_node_ref (root);
}

JsonNode *
quince_http_read_object (SoupServerMessage *message)
{
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  g_autoptr (GBytes) bytes = soup_message_body_flatten (body);
  g_autoptr (GError) error = NULL;
  gsize length;
  const char *text = g_bytes_get_data (bytes, &length);
  JsonNode *root = parse_object (text != NULL ? text : "", length, &error);
  if (root == NULL)
    quince_http_reply_error (message, SOUP_STATUS_BAD_REQUEST, "bad_request", error->message, TRUE, -1);
  return root;
}

/* ---- Typed members ---------------------------------------------------- */

static gboolean
bad_field (GError **error, const char *name, const char *wanted)
{
  g_set_error (error, QUINCE_HTTP_ERROR, QUINCE_HTTP_ERROR_BAD_FIELD, "field '%s': %s", name, wanted);
  return FALSE;
}

static JsonNode *
find_value (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);
  return node != NULL && !JSON_NODE_HOLDS_NULL (node) ? node : NULL;
}

gboolean
quince_json_opt_text (JsonObject *object, const char *name, gsize longest, const char **value, GError **error)
{
  JsonNode *node = find_value (object, name);
  if (node == NULL)
    return TRUE;
  if (!JSON_NODE_HOLDS_VALUE (node) || json_node_get_value_type (node) != G_TYPE_STRING)
    return bad_field (error, name, "a text is wanted");
  const char *text = json_node_get_string (node);
  if (strlen (text) > longest)
    return bad_field (error, name, "the text is too long");
  *value = text;
  return TRUE;
}

gboolean
quince_json_opt_u64 (JsonObject *object, const char *name, guint64 greatest, guint64 *value, GError **error)
{
  JsonNode *node = find_value (object, name);
  if (node == NULL)
    return TRUE;
  if (!JSON_NODE_HOLDS_VALUE (node) || json_node_get_value_type (node) != G_TYPE_INT64)
    return bad_field (error, name, "a whole number is wanted");
  gint64 number = json_node_get_int (node);
  if (number < 0 || (guint64)number > greatest)
    return bad_field (error, name, "the number is out of range");
  *value = (guint64)number;
  return TRUE;
}

gboolean
quince_json_opt_bool (JsonObject *object, const char *name, gboolean *value, GError **error)
{
  JsonNode *node = find_value (object, name);
  if (node == NULL)
    return TRUE;
  if (!JSON_NODE_HOLDS_VALUE (node) || json_node_get_value_type (node) != G_TYPE_BOOLEAN)
    return bad_field (error, name, "true or false is wanted");
  *value = json_node_get_boolean (node);
  return TRUE;
}

gboolean
quince_json_get_text (JsonObject *object, const char *name, gsize longest, const char **value, GError **error)
{
  if (find_value (object, name) == NULL)
    return bad_field (error, name, "is missing");
  return quince_json_opt_text (object, name, longest, value, error);
}

gboolean
quince_json_get_u64 (JsonObject *object, const char *name, guint64 greatest, guint64 *value, GError **error)
{
  if (find_value (object, name) == NULL)
    return bad_field (error, name, "is missing");
  return quince_json_opt_u64 (object, name, greatest, value, error);
}

/* ---- One request to a peer -------------------------------------------- */

typedef struct
{
  /* All fields belong to the context of the caller. */
  SoupMessage *message;
  GCancellable *cancellable; /* of this call: timeout or the caller's       */
  GCancellable *outer;
  gulong outer_handler;
  GSource *timeout;
  QuinceHttpCallback callback;
  gpointer user_data;
} HttpCall;

static gboolean
call_timeout (gpointer data)
{
  HttpCall *call = data;
  quince_source_clear (&call->timeout);
  g_cancellable_cancel (call->cancellable);
  return G_SOURCE_REMOVE;
}

static void
outer_cancelled (GCancellable *outer, gpointer data)
{
  g_cancellable_cancel (((HttpCall *)data)->cancellable);
}

static void
call_free (HttpCall *call)
{
  quince_source_clear (&call->timeout);
  if (call->outer != NULL)
    g_signal_handler_disconnect (call->outer, call->outer_handler);
  g_clear_object (&call->outer);
  g_clear_object (&call->cancellable);
  g_clear_object (&call->message);
  g_free (call);
}

static void
call_done (GObject *session, GAsyncResult *result, gpointer data)
{
  HttpCall *call = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (JsonNode) answer = NULL;
  guint status = 0;
  g_autoptr (GBytes) bytes = soup_session_send_and_read_finish (SOUP_SESSION (session), result, &error);
  if (bytes != NULL)
    {
      gsize length;
      const char *text = g_bytes_get_data (bytes, &length);
      status = soup_message_get_status (call->message);
      answer = parse_object (text != NULL ? text : "", length, NULL);
      if (status < 200 || status > 299)
        g_set_error (&error, QUINCE_HTTP_ERROR, QUINCE_HTTP_ERROR_STATUS, "status %u", status);
      else if (answer == NULL)
        g_set_error_literal (&error, QUINCE_HTTP_ERROR, QUINCE_HTTP_ERROR_BAD_BODY,
                             "answer is not a JSON object");
    }
  call->callback (status, answer, error, call->user_data);
  call_free (call);
}

void
quince_http_call (SoupSession *session,
                  const char *url,
                  const char *body,
                  guint timeout_ms,
                  GCancellable *cancellable,
                  QuinceHttpCallback callback,
                  gpointer user_data)
{
  g_autoptr (SoupMessage) message = soup_message_new (body != NULL ? "POST" : "GET", url);
  if (message == NULL)
    {
      g_autoptr (GError) error
          = g_error_new (QUINCE_HTTP_ERROR, QUINCE_HTTP_ERROR_ADDRESS, "'%s' is not a valid address", url);
      callback (0, NULL, error, user_data);
      return;
    }
  if (body != NULL)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));
      soup_message_set_request_body_from_bytes (message, "application/json", bytes);
    }
  HttpCall *call = g_new0 (HttpCall, 1);
  call->message = g_steal_pointer (&message);
  call->cancellable = g_cancellable_new ();
  call->callback = callback;
  call->user_data = user_data;
  call->timeout = quince_timer_add (timeout_ms, call_timeout, call);
  if (cancellable != NULL)
    {
      call->outer = g_object_ref (cancellable);
      call->outer_handler = g_signal_connect (cancellable, "cancelled", G_CALLBACK (outer_cancelled), call);
    }
  soup_session_send_and_read_async (session, call->message, G_PRIORITY_DEFAULT, call->cancellable, call_done,
                                    call);
}
