/*
 * kv-json.c: requests and answers in the JSON form of the etcd v3 gateway:
 * keys and values in base64, 64-bit numbers as text, zero values left out.
 */
#include "kv.h"

#include <string.h>

G_DEFINE_QUARK (kv_json_error, kv_json_error)

/* ---- Fields ---- */

static char *
to_camel_case (const char *snake_name)
{
  GString *name = g_string_new (NULL);
  for (const char *c = snake_name; *c != '\0'; c++)
    if (*c == '_' && c[1] != '\0')
      g_string_append_c (name, g_ascii_toupper (*++c));
    else
      g_string_append_c (name, *c);
  return g_string_free (name, FALSE);
}

JsonNode *
kv_json_get_member (JsonObject *object, const char *snake_name)
{
  JsonNode *node = json_object_get_member (object, snake_name);
  if (node != NULL)
    return node;
  g_autofree char *camel_name = to_camel_case (snake_name);
  return json_object_get_member (object, camel_name);
}

static gboolean
set_bad_field (GError **error, const char *name)
{
  g_set_error (error, KV_JSON_ERROR, KV_JSON_ERROR_BAD_FIELD, "bad value for field %s", name);
  return FALSE;
}

static gboolean
holds (JsonNode *node, GType type)
{
  return JSON_NODE_HOLDS_VALUE (node) && json_node_get_value_type (node) == type;
}

gboolean
kv_json_get_int64 (JsonObject *object, const char *snake_name, gint64 *value, GError **error)
{
  JsonNode *node = kv_json_get_member (object, snake_name);
  *value = 0;
  if (node == NULL)
    return TRUE;
  if (holds (node, G_TYPE_INT64))
    *value = json_node_get_int (node);
  else if (!holds (node, G_TYPE_STRING)
           || !g_ascii_string_to_signed (json_node_get_string (node), 10, G_MININT64, G_MAXINT64, value,
                                         NULL))
    return set_bad_field (error, snake_name);
  return TRUE;
}

gboolean
kv_json_get_bytes (JsonObject *object, const char *snake_name, GBytes **value, GError **error)
{
  JsonNode *node = kv_json_get_member (object, snake_name);
  *value = NULL;
  if (node == NULL)
    return TRUE;
  if (!holds (node, G_TYPE_STRING))
    return set_bad_field (error, snake_name);
  gsize length = 0;
  g_autofree guchar *data = g_base64_decode (json_node_get_string (node), &length);
  if (length > 0)
    *value = g_bytes_new (data, length);
  return TRUE;
}

static gboolean
get_key (JsonObject *object, GBytes **key, GError **error)
{
  if (!kv_json_get_bytes (object, "key", key, error))
    return FALSE;
  return *key != NULL || set_bad_field (error, "key");
}

static const char *
get_text (JsonObject *object, const char *name, const char *otherwise)
{
  JsonNode *node = kv_json_get_member (object, name);
  return node != NULL && holds (node, G_TYPE_STRING) ? json_node_get_string (node) : otherwise;
}

static gboolean
get_flag (JsonObject *object, const char *name)
{
  JsonNode *node = kv_json_get_member (object, name);
  return node != NULL && holds (node, G_TYPE_BOOLEAN) && json_node_get_boolean (node);
}

/* ---- Answers ---- */

void
kv_json_append_header (GString *text, guint64 revision)
{
  g_string_append_printf (
      text,
      "\"header\":{\"cluster_id\":\"1\",\"member_id\":\"1\",\"revision\":\"%" G_GUINT64_FORMAT
      "\",\"raft_term\":\"1\"}",
      revision);
}

static void
append_base64 (GString *text, const char *name, GBytes *bytes)
{
  gsize length = 0;
  const guchar *data = g_bytes_get_data (bytes, &length);
  g_autofree char *encoded = g_base64_encode (data, length);
  g_string_append_printf (text, "\"%s\":\"%s\"", name, encoded);
}

static void
append_number (GString *text, const char *name, guint64 value)
{
  if (value != 0)
    g_string_append_printf (text, ",\"%s\":\"%" G_GUINT64_FORMAT "\"", name, value);
}

void
kv_json_append_entry (GString *text, const KvEntry *entry)
{
  g_string_append_c (text, '{');
  append_base64 (text, "key", entry->key);
  append_number (text, "create_revision", entry->create_revision);
  append_number (text, "mod_revision", entry->mod_revision);
  append_number (text, "version", entry->version);
  append_number (text, "lease", (guint64)entry->lease);
  if (entry->value != NULL && g_bytes_get_size (entry->value) > 0)
    {
      g_string_append_c (text, ',');
      append_base64 (text, "value", entry->value);
    }
  g_string_append_c (text, '}');
}

static GString *
begin_answer (KvStore *store, gboolean wrote)
{
  GString *text = g_string_new ("{");
  kv_json_append_header (text, kv_store_get_revision (store) + (wrote ? 1 : 0));
  return text;
}

static char *
end_answer (GString *text)
{
  g_string_append_c (text, '}');
  return g_string_free (text, FALSE);
}

/* ---- Operations ---- */

char *
kv_json_range (KvStore *store, JsonObject *request, GError **error)
{
  g_autoptr (GBytes) key = NULL;
  g_autoptr (GBytes) end = NULL;
  gint64 limit = 0;
  if (!get_key (request, &key, error) || !kv_json_get_bytes (request, "range_end", &end, error)
      || !kv_json_get_int64 (request, "limit", &limit, error))
    return NULL;
  g_autoptr (GPtrArray) found = kv_store_range (store, key, end);
  guint shown = limit > 0 ? (guint)MIN ((gint64)found->len, limit) : found->len;
  GString *text = begin_answer (store, FALSE);
  if (shown > 0 && !get_flag (request, "count_only"))
    {
      g_string_append (text, ",\"kvs\":[");
      for (guint i = 0; i < shown; i++)
        {
          if (i > 0)
            g_string_append_c (text, ',');
          kv_json_append_entry (text, g_ptr_array_index (found, i));
        }
      g_string_append_c (text, ']');
    }
  if (shown < found->len)
    g_string_append (text, ",\"more\":true");
  append_number (text, "count", found->len);
  return end_answer (text);
}

char *
kv_json_put (KvStore *store, JsonObject *request, GError **error)
{
  g_autoptr (GBytes) key = NULL;
  g_autoptr (GBytes) value = NULL;
  gint64 lease = 0;
  if (!get_key (request, &key, error) || !kv_json_get_bytes (request, "value", &value, error)
      || !kv_json_get_int64 (request, "lease", &lease, error))
    return NULL;
  if (lease != 0 && !kv_store_has_lease (store, lease))
    {
      g_set_error (error, KV_JSON_ERROR, KV_JSON_ERROR_NO_LEASE, "etcdserver: requested lease not found");
      return NULL;
    }
  if (value == NULL)
    value = g_bytes_new (NULL, 0);
  kv_store_put (store, key, value, lease);
  return end_answer (begin_answer (store, TRUE));
}

char *
kv_json_delete_range (KvStore *store, JsonObject *request, GError **error)
{
  g_autoptr (GBytes) key = NULL;
  g_autoptr (GBytes) end = NULL;
  if (!get_key (request, &key, error) || !kv_json_get_bytes (request, "range_end", &end, error))
    return NULL;
  guint deleted = kv_store_delete_range (store, key, end);
  GString *text = begin_answer (store, deleted > 0);
  append_number (text, "deleted", deleted);
  return end_answer (text);
}

/* ---- Transactions ---- */

static gboolean
relation_holds (const char *relation, int order)
{
  if (g_str_equal (relation, "EQUAL"))
    return order == 0;
  if (g_str_equal (relation, "NOT_EQUAL"))
    return order != 0;
  return g_str_equal (relation, "GREATER") ? order > 0 : order < 0;
}

static gboolean
compare_value (const KvEntry *entry, JsonObject *compare, int *order, GError **error)
{
  g_autoptr (GBytes) wanted = NULL;
  if (!kv_json_get_bytes (compare, "value", &wanted, error))
    return FALSE;
  if (wanted == NULL)
    wanted = g_bytes_new (NULL, 0);
  *order = g_bytes_compare (entry->value, wanted);
  return TRUE;
}

static gboolean
compare_number (const KvEntry *entry, JsonObject *compare, const char *target, int *order, GError **error)
{
  static const KvEntry absent = { 0 };
  const KvEntry *shown = entry != NULL ? entry : &absent;
  const struct
  {
    const char *target;
    const char *field;
    gint64 value;
  } numbers[] = {
    { "VERSION", "version", (gint64)shown->version },
    { "CREATE", "create_revision", (gint64)shown->create_revision },
    { "MOD", "mod_revision", (gint64)shown->mod_revision },
    { "LEASE", "lease", shown->lease },
  };
  for (guint i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      gint64 wanted = 0;
      if (!g_str_equal (numbers[i].target, target))
        continue;
      if (!kv_json_get_int64 (compare, numbers[i].field, &wanted, error))
        return FALSE;
      *order = numbers[i].value < wanted ? -1 : numbers[i].value > wanted;
      return TRUE;
    }
  return set_bad_field (error, "target");
}

static gboolean
check_compare (KvStore *store, JsonNode *node, gboolean *holds_true, GError **error)
{
  if (!JSON_NODE_HOLDS_OBJECT (node))
    return set_bad_field (error, "compare");
  JsonObject *compare = json_node_get_object (node);
  g_autoptr (GBytes) key = NULL;
  if (!get_key (compare, &key, error))
    return FALSE;
  const KvEntry *entry = kv_store_lookup (store, key);
  const char *target = get_text (compare, "target", "VERSION");
  int order = 0;
  if (g_str_equal (target, "VALUE"))
    {
      if (entry == NULL)
        {
          *holds_true = FALSE;
          return TRUE;
        }
      if (!compare_value (entry, compare, &order, error))
        return FALSE;
    }
  else if (!compare_number (entry, compare, target, &order, error))
    return FALSE;
  *holds_true = relation_holds (get_text (compare, "result", "EQUAL"), order);
  return TRUE;
}

static gboolean
check_all (KvStore *store, JsonArray *compares, gboolean *all_hold, GError **error)
{
  *all_hold = TRUE;
  for (guint i = 0; compares != NULL && i < json_array_get_length (compares); i++)
    {
      gboolean one_holds = FALSE;
      if (!check_compare (store, json_array_get_element (compares, i), &one_holds, error))
        return FALSE;
      *all_hold = *all_hold && one_holds;
    }
  return TRUE;
}

static const struct
{
  const char *request;
  const char *response;
  char *(*run) (KvStore *store, JsonObject *request, GError **error);
} operations[] = {
  { "request_range", "response_range", kv_json_range },
  { "request_put", "response_put", kv_json_put },
  { "request_delete_range", "response_delete_range", kv_json_delete_range },
};

static gboolean
run_operation (KvStore *store, JsonNode *node, GString *text, GError **error)
{
  JsonObject *operation = JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
  for (guint i = 0; operation != NULL && i < G_N_ELEMENTS (operations); i++)
    {
      JsonNode *request = kv_json_get_member (operation, operations[i].request);
      if (request == NULL || !JSON_NODE_HOLDS_OBJECT (request))
        continue;
      g_autofree char *answer = operations[i].run (store, json_node_get_object (request), error);
      if (answer == NULL)
        return FALSE;
      g_string_append_printf (text, "{\"%s\":%s}", operations[i].response, answer);
      return TRUE;
    }
  g_set_error (error, KV_JSON_ERROR, KV_JSON_ERROR_UNKNOWN_OPERATION, "no such operation in a txn");
  return FALSE;
}

static gboolean
get_array (JsonObject *object, const char *name, JsonArray **array, GError **error)
{
  JsonNode *node = kv_json_get_member (object, name);
  *array = NULL;
  if (node == NULL)
    return TRUE;
  if (!JSON_NODE_HOLDS_ARRAY (node))
    return set_bad_field (error, name);
  *array = json_node_get_array (node);
  return TRUE;
}

char *
kv_json_txn (KvStore *store, JsonObject *request, GError **error)
{
  JsonArray *compares = NULL;
  JsonArray *branches[2] = { NULL, NULL };
  gboolean succeeded = FALSE;
  if (!get_array (request, "compare", &compares, error)
      || !get_array (request, "failure", &branches[0], error)
      || !get_array (request, "success", &branches[1], error)
      || !check_all (store, compares, &succeeded, error))
    return NULL;
  JsonArray *branch = branches[succeeded ? 1 : 0];
  guint n_operations = branch != NULL ? json_array_get_length (branch) : 0;
  g_autoptr (GString) responses = g_string_new (NULL);
  for (guint i = 0; i < n_operations; i++)
    {
      if (i > 0)
        g_string_append_c (responses, ',');
      if (!run_operation (store, json_array_get_element (branch, i), responses, error))
        return NULL;
    }
  gboolean wrote
      = strstr (responses->str, "\"response_put\"") != NULL || strstr (responses->str, "\"deleted\"") != NULL;
  GString *text = begin_answer (store, wrote);
  if (succeeded)
    g_string_append (text, ",\"succeeded\":true");
  if (n_operations > 0)
    g_string_append_printf (text, ",\"responses\":[%s]", responses->str);
  return end_answer (text);
}
