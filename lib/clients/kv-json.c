/*
 * kv-json.c: answers of the etcd v3 JSON gateway; see kv-json.h.
 */
#include "kv-json.h"

#include "runtime/http.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* Greatest number of items in one answer. */
#define MAX_ITEMS 65536

QuinceKvItem *
quince_kv_item_copy (const QuinceKvItem *item)
{
  QuinceKvItem *copy = g_new0 (QuinceKvItem, 1);
  copy->key = g_strdup (item->key);
  copy->value = g_malloc (item->length + 1);
  memcpy (copy->value, item->value, item->length);
  copy->value[item->length] = '\0';
  copy->length = item->length;
  copy->create_revision = item->create_revision;
  copy->mod_revision = item->mod_revision;
  return copy;
}

void
quince_kv_item_free (QuinceKvItem *item)
{
  if (item == NULL)
    return;
  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

/* ---- Answers ---------------------------------------------------------- */

static gboolean
refuse (GError **error, const char *what)
{
  g_set_error (error, QUINCE_KV_ERROR, QUINCE_KV_ERROR_PROTOCOL, "key-value service: %s", what);
  return FALSE;
}

/* Absent members are 0, as the gateway leaves out zero values. */
static gboolean
read_u64 (JsonObject *object, const char *name, guint64 *value, GError **error)
{
  *value = 0;
  JsonNode *node = json_object_get_member (object, name);
  if (node == NULL)
    return TRUE;
  if (!JSON_NODE_HOLDS_VALUE (node))
    return refuse (error, "a number is of another type");
  if (json_node_get_value_type (node) == G_TYPE_INT64)
    {
      gint64 number = json_node_get_int (node);
      *value = (guint64)number;
      return number >= 0 ? TRUE : refuse (error, "a number is negative");
    }
  const char *text = json_node_get_string (node);
  if (text == NULL || !g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT64, value, NULL))
    return refuse (error, "a number does not parse");
  return TRUE;
}

static gboolean
read_bool (JsonObject *object, const char *name, gboolean *value, GError **error)
{
  *value = FALSE;
  JsonNode *node = json_object_get_member (object, name);
  if (node == NULL)
    return TRUE;
  if (!JSON_NODE_HOLDS_VALUE (node) || json_node_get_value_type (node) != G_TYPE_BOOLEAN)
    return refuse (error, "a boolean is of another type");
  *value = json_node_get_boolean (node);
  return TRUE;
}

static gboolean
is_base64 (const char *text, gsize length)
{
  if (length % 4 != 0)
    return FALSE;
  for (gsize i = 0; i < length; i++)
    {
      gboolean padding = text[i] == '=' && i + 2 >= length;
      if (!g_ascii_isalnum (text[i]) && text[i] != '+' && text[i] != '/' && !padding)
        return FALSE;
    }
  return TRUE;
}

/* (transfer full): NUL terminated bytes; empty when absent. */
static gboolean
read_base64 (JsonObject *object, const char *name, char **value, gsize *length, GError **error)
{
  JsonNode *node = json_object_get_member (object, name);
  const char *text = "";
  if (node != NULL)
    text = JSON_NODE_HOLDS_VALUE (node) ? json_node_get_string (node) : NULL;
  if (text == NULL || !is_base64 (text, strlen (text)))
    return refuse (error, "a key or value is not base64");
  g_autofree guchar *bytes = g_base64_decode (text, length);
  *value = g_malloc (*length + 1);
  if (*length > 0)
    memcpy (*value, bytes, *length);
  (*value)[*length] = '\0';
  return TRUE;
}

/* Absent: %TRUE with @value %NULL. */
static gboolean
read_object (JsonObject *object, const char *name, JsonObject **value, GError **error)
{
  *value = NULL;
  JsonNode *node = json_object_get_member (object, name);
  if (node == NULL)
    return TRUE;
  if (!JSON_NODE_HOLDS_OBJECT (node))
    return refuse (error, "an object is of another type");
  *value = json_node_get_object (node);
  return TRUE;
}

/* Absent: %TRUE with @value %NULL. */
static gboolean
read_array (JsonObject *object, const char *name, JsonArray **value, GError **error)
{
  *value = NULL;
  JsonNode *node = json_object_get_member (object, name);
  if (node == NULL)
    return TRUE;
  if (!JSON_NODE_HOLDS_ARRAY (node))
    return refuse (error, "a list is of another type");
  *value = json_node_get_array (node);
  if (json_array_get_length (*value) > MAX_ITEMS)
    return refuse (error, "a list is too long");
  return TRUE;
}

static JsonObject *
element_object (JsonArray *array, guint i, GError **error)
{
  JsonNode *node = json_array_get_element (array, i);
  if (JSON_NODE_HOLDS_OBJECT (node))
    return json_node_get_object (node);
  refuse (error, "a list element is not an object");
  return NULL;
}

static QuinceKvItem *
parse_item (JsonObject *object, GError **error)
{
  g_autoptr (QuinceKvItem) item = g_new0 (QuinceKvItem, 1);
  gsize key_length = 0;
  if (!read_base64 (object, "key", &item->key, &key_length, error)
      || !read_base64 (object, "value", &item->value, &item->length, error)
      || !read_u64 (object, "create_revision", &item->create_revision, error)
      || !read_u64 (object, "mod_revision", &item->mod_revision, error))
    return NULL;
  if (key_length == 0 || strlen (item->key) != key_length)
    {
      refuse (error, "a key is empty or holds a zero byte");
      return NULL;
    }
  return g_steal_pointer (&item);
}

static int
compare_items (gconstpointer a, gconstpointer b)
{
  const QuinceKvItem *left = *(const QuinceKvItem *const *)a;
  const QuinceKvItem *right = *(const QuinceKvItem *const *)b;
  return strcmp (left->key, right->key);
}

static GPtrArray *
parse_items (JsonObject *object, GError **error)
{
  JsonArray *list;
  if (!read_array (object, "kvs", &list, error))
    return NULL;
  g_autoptr (GPtrArray) items = g_ptr_array_new_with_free_func ((GDestroyNotify)quince_kv_item_free);
  for (guint i = 0; list != NULL && i < json_array_get_length (list); i++)
    {
      JsonObject *element = element_object (list, i, error);
      QuinceKvItem *item = element != NULL ? parse_item (element, error) : NULL;
      if (item == NULL)
        return NULL;
      g_ptr_array_add (items, item);
    }
  g_ptr_array_sort (items, compare_items);
  return g_steal_pointer (&items);
}

static JsonNode *
parse_text (const char *text, gsize length, GError **error)
{
  g_autoptr (JsonParser) parser = json_parser_new_immutable ();
  if (length == 0 || !quince_json_check (text, length)
      || !json_parser_load_from_data (parser, text, length, NULL))
    {
      refuse (error, "the answer is not JSON");
      return NULL;
    }
  g_autoptr (JsonNode) root = json_parser_steal_root (parser);
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    {
      refuse (error, "the answer is not a JSON object");
      return NULL;
    }
  return g_steal_pointer (&root);
}

static gboolean
parse_header (JsonObject *object, guint64 *revision, GError **error)
{
  JsonObject *header;
  if (!read_object (object, "header", &header, error))
    return FALSE;
  if (header == NULL)
    return refuse (error, "the answer has no header");
  return read_u64 (header, "revision", revision, error);
}

gboolean
quince_kv_json_parse_range (GBytes *answer, GPtrArray **items, guint64 *revision, GError **error)
{
  gsize length;
  const char *text = g_bytes_get_data (answer, &length);
  g_autoptr (JsonNode) root = parse_text (text, length, error);
  if (root == NULL)
    return FALSE;
  JsonObject *object = json_node_get_object (root);
  if (!parse_header (object, revision, error))
    return FALSE;
  *items = parse_items (object, error);
  return *items != NULL;
}

/* The range answer of a failed compare: at most one item. */
static gboolean
parse_current (JsonObject *object, QuinceKvItem **current, GError **error)
{
  JsonArray *responses;
  if (!read_array (object, "responses", &responses, error))
    return FALSE;
  if (responses == NULL || json_array_get_length (responses) != 1)
    return refuse (error, "a failed compare has no range answer");
  JsonObject *element = element_object (responses, 0, error);
  JsonObject *range = NULL;
  if (element == NULL || !read_object (element, "response_range", &range, error))
    return FALSE;
  if (range == NULL)
    return refuse (error, "a failed compare has no range answer");
  g_autoptr (GPtrArray) items = parse_items (range, error);
  if (items == NULL)
    return FALSE;
  if (items->len > 1)
    return refuse (error, "one key has several items");
  *current = items->len == 1 ? quince_kv_item_copy (items->pdata[0]) : NULL;
  return TRUE;
}

gboolean
quince_kv_json_parse_swap (GBytes *answer,
                           gboolean *done,
                           guint64 *revision,
                           QuinceKvItem **current,
                           GError **error)
{
  *current = NULL;
  gsize length;
  const char *text = g_bytes_get_data (answer, &length);
  g_autoptr (JsonNode) root = parse_text (text, length, error);
  if (root == NULL)
    return FALSE;
  JsonObject *object = json_node_get_object (root);
  if (!parse_header (object, revision, error) || !read_bool (object, "succeeded", done, error))
    return FALSE;
  return *done || parse_current (object, current, error);
}

/* ---- Watch lines ------------------------------------------------------ */

static void
event_free (QuinceKvEvent *event)
{
  quince_kv_item_free (event->item);
  g_free (event);
}

static QuinceKvEvent *
parse_event (JsonObject *object, GError **error)
{
  const char *type = "PUT";
  JsonNode *node = json_object_get_member (object, "type");
  if (node != NULL)
    type = JSON_NODE_HOLDS_VALUE (node) ? json_node_get_string (node) : NULL;
  gboolean deleted = g_strcmp0 (type, "DELETE") == 0;
  JsonObject *kv = NULL;
  if (!deleted && g_strcmp0 (type, "PUT") != 0)
    {
      refuse (error, "a watch event is of an unknown type");
      return NULL;
    }
  if (!read_object (object, "kv", &kv, error))
    return NULL;
  if (kv == NULL)
    {
      refuse (error, "a watch event has no item");
      return NULL;
    }
  QuinceKvItem *item = parse_item (kv, error);
  if (item == NULL)
    return NULL;
  QuinceKvEvent *event = g_new0 (QuinceKvEvent, 1);
  event->deleted = deleted;
  event->item = item;
  return event;
}

static gboolean
parse_events (JsonObject *result, GPtrArray *events, GError **error)
{
  JsonArray *list;
  if (!read_array (result, "events", &list, error))
    return FALSE;
  for (guint i = 0; list != NULL && i < json_array_get_length (list); i++)
    {
      JsonObject *element = element_object (list, i, error);
      QuinceKvEvent *event = element != NULL ? parse_event (element, error) : NULL;
      if (event == NULL)
        return FALSE;
      g_ptr_array_add (events, event);
    }
  return TRUE;
}

static gboolean
parse_result (JsonObject *result, QuinceKvWatchLine *line, GError **error)
{
  guint64 compacted;
  if (!read_bool (result, "created", &line->created, error)
      || !read_bool (result, "canceled", &line->canceled, error)
      || !read_u64 (result, "compact_revision", &compacted, error))
    return FALSE;
  if (compacted > 0)
    line->canceled = TRUE;
  return parse_events (result, line->events, error);
}

gboolean
quince_kv_json_parse_watch (const char *text, gsize length, QuinceKvWatchLine *line, GError **error)
{
  memset (line, 0, sizeof *line);
  line->events = g_ptr_array_new_with_free_func ((GDestroyNotify)event_free);
  g_autoptr (JsonNode) root = parse_text (text, length, error);
  JsonObject *result = NULL;
  gboolean ok = root != NULL && read_object (json_node_get_object (root), "result", &result, error);
  if (ok && result == NULL)
    ok = refuse (error, "a watch line has no result");
  ok = ok && parse_result (result, line, error);
  if (!ok)
    quince_kv_watch_line_clear (line);
  return ok;
}

void
quince_kv_watch_line_clear (QuinceKvWatchLine *line)
{
  g_clear_pointer (&line->events, g_ptr_array_unref);
}
