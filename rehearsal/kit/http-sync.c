/*
 * http-sync.c: blocking JSON requests over libsoup.
 */
#include "http-sync.h"

#include <libsoup/soup.h>
#include <string.h>

/* A session of its own each time: no connection outlives a fault it met. */
static SoupSession *
new_session (guint timeout_ms)
{
  SoupSession *session = soup_session_new ();
  soup_session_set_timeout (session, (timeout_ms + 999) / 1000);
  soup_session_set_proxy_resolver (session, NULL);
  return session;
}

static JsonNode *
parse (GBytes *bytes)
{
  gsize length;
  const char *text = g_bytes_get_data (bytes, &length);
  g_autoptr (JsonParser) parser = json_parser_new ();
  if (text == NULL || !json_parser_load_from_data (parser, text, (gssize)length, NULL))
    return NULL;
  return json_parser_steal_root (parser);
}

guint
quince_http_sync (const char *address,
                  const char *path,
                  const char *body,
                  guint timeout_ms,
                  JsonNode **answer)
{
  if (answer != NULL)
    *answer = NULL;
  g_autofree char *url = g_strconcat ("http://", address, path, NULL);
  g_autoptr (SoupMessage) message = soup_message_new (body != NULL ? "POST" : "GET", url);
  if (message == NULL)
    return 0;
  if (body != NULL)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));
      soup_message_set_request_body_from_bytes (message, "application/json", bytes);
    }
  g_autoptr (GMainContext) context = g_main_context_new ();
  g_main_context_push_thread_default (context);
  g_autoptr (SoupSession) session = new_session (timeout_ms);
  g_autoptr (GBytes) bytes = soup_session_send_and_read (session, message, NULL, NULL);
  soup_session_abort (session);
  g_main_context_pop_thread_default (context);
  if (bytes == NULL)
    return 0;
  if (answer != NULL)
    *answer = parse (bytes);
  return soup_message_get_status (message);
}

gboolean
quince_set_faults (const char *address, const char *faults)
{
  return quince_http_sync (address, "/_faults", faults, 10000, NULL) == 200;
}

static JsonNode *
dig (JsonNode *root, const char *path)
{
  g_auto (GStrv) names = g_strsplit (path, ".", -1);
  JsonNode *node = root;
  for (char **name = names; *name != NULL && node != NULL; name++)
    node = JSON_NODE_HOLDS_OBJECT (node) ? json_object_get_member (json_node_get_object (node), *name) : NULL;
  return node;
}

gint64
quince_json_dig_int (JsonNode *root, const char *path, gint64 fallback)
{
  JsonNode *node = root != NULL ? dig (root, path) : NULL;
  return node != NULL && JSON_NODE_HOLDS_VALUE (node) ? json_node_get_int (node) : fallback;
}

const char *
quince_json_dig_text (JsonNode *root, const char *path, const char *fallback)
{
  JsonNode *node = root != NULL ? dig (root, path) : NULL;
  const char *text = node != NULL && JSON_NODE_HOLDS_VALUE (node) ? json_node_get_string (node) : NULL;
  return text != NULL ? text : fallback;
}

JsonArray *
quince_json_dig_array (JsonNode *root, const char *path)
{
  JsonNode *node = root != NULL ? dig (root, path) : NULL;
  return node != NULL && JSON_NODE_HOLDS_ARRAY (node) ? json_node_get_array (node) : NULL;
}
